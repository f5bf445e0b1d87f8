#include <algorithm>

#include "sched/need_math.h"

namespace pimentohall::sched {
namespace {

// Whether the difference matters to the receiver's decisions.
bool IsSimilar(const callee_need& a, const callee_need& b) {
  constexpr double kStep = 0.1;
  const auto close = [](duration a_time, duration b_time) {
    const auto larger = std::max(a_time, b_time);
    return std::chrono::abs(a_time - b_time) <= larger / 4;
  };
  return a.service == b.service &&
         std::abs(a.calls - b.calls) <= kStep * std::max(a.calls, b.calls) &&
         std::abs(a.in_time - b.in_time) <= kStep && close(a.time, b.time) &&
         close(a.budget, b.budget);
}

}  // namespace

bool need_reporter::ShouldReport(const std::string& receiver,
                                 const std::string& route,
                                 const std::vector<callee_need>& needs,
                                 instant now) {
  const auto found = reports_.find({receiver, route});
  if (found == reports_.end() && needs.empty()) return false;
  if (found != reports_.end()) {
    const bool is_same =
        std::equal(needs.begin(), needs.end(), found->second.needs.begin(),
                   found->second.needs.end(), &IsSimilar);
    const duration period = is_same ? kUnchangedPeriod : kChangedPeriod;
    if (now - found->second.reported_at < period) return false;
  }
  if (reports_.size() >= kMaxReceivers) reports_.clear();
  reports_[{receiver, route}] = {needs, now};
  return true;
}

}  // namespace pimentohall::sched
