#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

constexpr duration kWindow = std::chrono::seconds(1);
// The limit on unproven calls is this much below the bound, as calls arrive in
// slightly less time than they are started in.
constexpr double kReserveCalls = 1;
// Of the calls that were started while the upstream was asked, each time.
constexpr double kKeptShare = 0.8;

duration Seconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

void warmup_gate::SetRate(double rate_per_s, bool can_ask, instant now) {
  if (rate_per_s == rate_per_s_ && can_ask == can_ask_) return;
  Refill(now);
  rate_per_s_ = rate_per_s;
  can_ask_ = can_ask;
}

void warmup_gate::Reset(instant now) {
  Refill(now);
  cold_until_ = {};
  unproven_.clear();
}

void warmup_gate::SetCold(instant until, instant now) {
  if (!IsCold(now)) {
    Refill(now);
    level_ = 0;
  }
  cold_until_ = std::max(cold_until_, until);
}

double warmup_gate::Limit() const {
  return bound_.factor * rate_per_s_ + bound_.calls - kReserveCalls;
}

double warmup_gate::AskMargin() const {
  constexpr double kLeast = 1.5;
  constexpr double kMostShare = 0.75;
  return std::min(kLeast + taken_while_asking_,
                  kMostShare * (Limit() - rate_per_s_));
}

double warmup_gate::Unproven(instant now) const {
  double most = 0;
  auto calls = static_cast<double>(unproven_.size());
  for (const instant at : unproven_) {
    const std::chrono::duration<double> left = at + kWindow - now;
    if (left.count() > 0) {
      most = std::max(most, calls + rate_per_s_ * left.count());
    }
    --calls;
  }
  return most;
}

double warmup_gate::LevelAt(instant now) const {
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  return std::min(kBurst, level_ + rate_per_s_ * elapsed.count());
}

void warmup_gate::Refill(instant now) {
  while (!unproven_.empty() && unproven_.front() + kWindow <= now) {
    unproven_.pop_front();
  }
  if (now <= refilled_at_) return;
  level_ = LevelAt(now);
  refilled_at_ = now;
}

bool warmup_gate::Take(instant now) {
  if (rate_per_s_ <= 0) return true;
  Refill(now);
  if (IsCold(now)) {
    if (level_ < 1) return false;
    level_ -= 1;
  } else if (can_ask_ && Unproven(now) + 1 > Limit()) {
    return false;
  }
  unproven_.push_back(now);
  ++taken_;
  return true;
}

instant warmup_gate::NextAt(instant now) const {
  if (rate_per_s_ <= 0) return now;
  if (IsCold(now)) {
    const double level = LevelAt(now);
    if (level >= 1) return now;
    const duration wait = Seconds((1 - level) / rate_per_s_);
    return std::min(cold_until_, now + wait + duration{1});
  }
  if (!can_ask_) return now;
  instant next = now;
  auto calls = static_cast<double>(unproven_.size());
  for (const instant at : unproven_) {
    // The rest of the second from `at` that a cold upstream's rate may fill.
    const double rest = (Limit() - calls - 1) / rate_per_s_;
    const duration wait = kWindow - Seconds(std::clamp(rest, 0.0, 1.0));
    next = std::max(next, at + wait + duration{1});
    --calls;
  }
  return next;
}

bool warmup_gate::ShouldAsk(instant now) const {
  return can_ask_ && rate_per_s_ > 0 && !IsCold(now) &&
         Unproven(now) + AskMargin() > Limit();
}

void warmup_gate::OnWarm(std::uint64_t taken) {
  const std::uint64_t since = taken_ - taken;
  taken_while_asking_ =
      std::max(static_cast<double>(since), kKeptShare * taken_while_asking_);
  while (unproven_.size() > since) unproven_.pop_front();
}

}  // namespace pimentohall::mesh
