#include <algorithm>

#include "sched/need_math.h"

namespace pimentohall::sched {
namespace {

bool IsPlausible(const callee_need& need) {
  constexpr double kMaxCalls = 1000;
  const auto in_range = [](duration time) {
    return time.count() >= 0 && time <= FromMs(kMaxNeedMs);
  };
  return !need.service.empty() && need.calls >= 0 && need.calls <= kMaxCalls &&
         need.in_time >= 0 && need.in_time <= 1 && in_range(need.time) &&
         in_range(need.budget);
}

// Weight of a report: it covers one upstream only, so reports of many upstreams
// are averaged, but one after a pause replaces what was known.
double ReportWeight(duration pause) {
  constexpr double kMinWeight = 0.3;
  constexpr double kHalfLifeS = 0.5;
  const std::chrono::duration<double> age = pause;
  return std::max(kMinWeight, 1 - std::exp2(-age.count() / kHalfLifeS));
}

// Moves `known` towards the report by this weight.
void Merge(const callee_need& report, double weight, callee_need* known) {
  const auto mean = [weight](double before, double newest) {
    return before + (newest - before) * weight;
  };
  known->calls = mean(known->calls, report.calls);
  known->in_time = mean(known->in_time, report.in_time);
  known->time = FromMs(mean(ClampedMs(known->time), ClampedMs(report.time)));
  known->budget =
      FromMs(mean(ClampedMs(known->budget), ClampedMs(report.budget)));
}

}  // namespace

bool operator==(const callee_need& a, const callee_need& b) {
  return a.service == b.service && a.calls == b.calls && a.time == b.time &&
         a.budget == b.budget && a.in_time == b.in_time;
}

void need_table::OnNeeds(std::string_view route,
                         const std::vector<callee_need>& needs, instant now) {
  if (!std::all_of(needs.begin(), needs.end(), &IsPlausible)) return;
  std::vector<callee_need> merged = Needs(route, now);
  if (routes_.find(route) == routes_.end() && routes_.size() >= kMaxRoutes) {
    routes_.erase(OldestOf(routes_, &entry::reported_at));
  }
  entry& known = routes_[std::string(route)];
  const double weight = ReportWeight(now - known.reported_at);
  known.reported_at = now;
  for (callee_need& each : merged) {
    const auto same = std::find_if(needs.begin(), needs.end(),
                                   [&each](const callee_need& report) {
                                     return report.service == each.service;
                                   });
    callee_need none = each;
    none.calls = 0;
    Merge(same == needs.end() ? none : *same, weight, &each);
  }
  for (const callee_need& report : needs) {
    const bool is_new = std::none_of(merged.begin(), merged.end(),
                                     [&report](const callee_need& each) {
                                       return each.service == report.service;
                                     });
    if (is_new) merged.push_back(report);
  }
  merged.erase(std::remove_if(merged.begin(), merged.end(),
                              [](const callee_need& need) {
                                return need.calls < call_tree::kMinCalls;
                              }),
               merged.end());
  SortAndLimit(&merged);
  known.needs = std::move(merged);
}

std::vector<callee_need> need_table::Needs(std::string_view route,
                                           instant now) const {
  const auto found = routes_.find(route);
  if (found == routes_.end() || now - found->second.reported_at > kMemory) {
    return {};
  }
  std::vector<callee_need> needs = found->second.needs;
  for (callee_need& each : needs) {
    each.in_time = InTimeNow(each.in_time, found->second.reported_at, now);
  }
  return needs;
}

}  // namespace pimentohall::sched
