#include "pimentohall/sched.h"

namespace pimentohall::sched {

bool nested_routes::OnCall(const std::string& route,
                           std::optional<duration> budget,
                           std::optional<duration> longest_run) {
  const bool is_longer =
      !budget || !longest_run || *budget > *longest_run + kMargin;
  if (routes_.count(route) == 0 && routes_.size() >= kMaxRoutes) return false;
  counts& known = routes_[route];
  const double decay = 1 - 1 / kWindowCalls;
  known.calls = known.calls * decay + 1;
  known.longer = known.longer * decay + (is_longer ? 1 : 0);
  return !is_longer && known.longer < kCallersShare * known.calls;
}

}  // namespace pimentohall::sched
