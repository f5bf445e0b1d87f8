#include <algorithm>
#include <cmath>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

constexpr double kWindowS = 1;
// Demand over capacity at which ranks are cut, and below which all are taken.
constexpr double kCutLoad = 1.15;
constexpr double kRestoreLoad = 0.95;
// Without a backlog of this length, calls are served whatever the demand.
constexpr duration kMinBacklog = std::chrono::milliseconds(100);

}  // namespace

double rank_limiter::DecayedWork(const demand& of, instant now) {
  const std::chrono::duration<double> age = now - of.at;
  return of.work_s * std::exp(-std::max(0.0, age.count()) / kWindowS);
}

void rank_limiter::OnOffered(int rank, duration work, instant now) {
  if (ranks_.count(rank) == 0 && ranks_.size() >= kMaxRanks) return;
  demand& offered = ranks_[rank];
  offered.work_s = DecayedWork(offered, now) +
                   WeightOf(rank) * std::chrono::duration<double>(work).count();
  offered.at = now;
}

int rank_limiter::Update(int slots, duration backlog, instant now) {
  const double capacity = kWindowS * std::max(1, slots);
  double total = 0;
  for (auto each = ranks_.begin(); each != ranks_.end();) {
    const double work = DecayedWork(each->second, now);
    total += work;
    each = work < 1e-4 ? ranks_.erase(each) : std::next(each);
  }
  if (cuts_) {
    cuts_ = total > kRestoreLoad * capacity;
  } else {
    cuts_ = total > kCutLoad * capacity && backlog >= kMinBacklog;
  }
  limit_ = kNone;
  if (!cuts_) return limit_;
  // The rank at which the capacity is exceeded is still taken, in part.
  double before = 0;
  for (const auto& [rank, offered] : ranks_) {
    if (rank >= 0) {
      if (limit_ != kNone && before > kCutLoad * capacity) break;
      limit_ = rank;
    }
    before += DecayedWork(offered, now);
  }
  if (!ranks_.empty() && limit_ == ranks_.rbegin()->first) limit_ = kNone;
  return limit_;
}

}  // namespace pimentohall::sched
