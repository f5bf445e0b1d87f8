#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

// The allowance of an upstream that counts as warm lasts this long if the calls
// come at twice the rate of a cold one.
constexpr double kAllowanceS = 0.5;
// The upstream is asked when less than this share of the allowance is left.
constexpr double kAskShare = 0.4;

}  // namespace

double warmup_gate::Allowance() const {
  return kBurst + kAllowanceS * rate_per_s_;
}

void warmup_gate::SetRate(double rate_per_s, bool can_ask, instant now) {
  if (rate_per_s == rate_per_s_ && can_ask == can_ask_) return;
  rate_per_s_ = rate_per_s;
  can_ask_ = can_ask;
  unproven_ = Allowance();
  refilled_at_ = now;
}

void warmup_gate::Reset(instant now) {
  cold_until_ = {};
  unproven_ = Allowance();
  refilled_at_ = now;
}

void warmup_gate::SetCold(instant until, instant now) {
  if (!IsCold(now)) {
    Refill(now);
    level_ = 0;
  }
  cold_until_ = std::max(cold_until_, until);
}

double warmup_gate::LevelAt(double level, double most, instant now) const {
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  return std::min(most, level + rate_per_s_ * elapsed.count());
}

void warmup_gate::Refill(instant now) {
  if (now <= refilled_at_) return;
  level_ = LevelAt(level_, kBurst, now);
  unproven_ = LevelAt(unproven_, Allowance(), now);
  refilled_at_ = now;
}

bool warmup_gate::Take(instant now) {
  if (rate_per_s_ <= 0) return true;
  Refill(now);
  if (IsCold(now)) {
    if (level_ < 1) return false;
    level_ -= 1;
  } else if (can_ask_ && unproven_ < 1) {
    return false;
  }
  unproven_ = std::max(0.0, unproven_ - 1);
  ++taken_;
  return true;
}

instant warmup_gate::NextAt(instant now) const {
  if (rate_per_s_ <= 0 || (!IsCold(now) && !can_ask_)) return now;
  const double level = IsCold(now) ? LevelAt(level_, kBurst, now)
                                   : LevelAt(unproven_, Allowance(), now);
  if (level >= 1) return now;
  const auto wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>((1 - level) / rate_per_s_));
  const instant next = now + wait + duration{1};
  return IsCold(now) ? std::min(cold_until_, next) : next;
}

bool warmup_gate::ShouldAsk(instant now) const {
  return can_ask_ && rate_per_s_ > 0 && !IsCold(now) &&
         LevelAt(unproven_, Allowance(), now) < kAskShare * Allowance();
}

void warmup_gate::OnWarm(std::uint64_t taken) {
  const auto since = static_cast<double>(taken_ - taken);
  unproven_ = std::max(unproven_, Allowance() - since);
}

}  // namespace pimentohall::mesh
