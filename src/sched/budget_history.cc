#include <algorithm>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

constexpr double kNewestWeight = 0.02;
// Callers compute their budgets to some milliseconds.
constexpr duration kTolerance = std::chrono::milliseconds(5);
// A caller with less left than this share of the largest budget is treated as
// one that never had more. Otherwise many callers with very large budgets would
// make the calls of all others late, and these would never be served.
constexpr double kMinShareLeft = 0.25;

}  // namespace

duration budget_history::Spent(const std::string& route, duration budget,
                               instant now) {
  if (budget.count() < 0) return duration{0};
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    if (routes_.size() >= kMaxRoutes) return duration{0};
    found = routes_.try_emplace(route).first;
    found->second.since = now;
  }
  largest& seen = found->second;
  if (now - seen.since >= kPeriod) {
    const bool is_stale = now - seen.since >= 2 * kPeriod;
    seen.previous = is_stale ? duration{0} : seen.current;
    seen.current = duration{0};
    seen.since = now;
  }
  seen.current = std::max(seen.current, budget);
  const duration full = std::max(seen.current, seen.previous);
  const duration spent = full - budget;
  const std::chrono::duration<double> least = full * kMinShareLeft;
  const bool is_later = spent > kTolerance && budget >= least;
  seen.later_share += kNewestWeight * ((is_later ? 1 : 0) - seen.later_share);
  return is_later && seen.later_share <= kMaxLaterShare ? spent : duration{0};
}

}  // namespace pimentohall::sched
