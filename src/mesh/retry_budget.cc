#include <cmath>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

void repeat_ascriber::OnRunStarted(std::uint64_t run, bool is_repeat) {
  constexpr double kMaxRuns = 500;  // Half of the counts is forgotten then.
  runs_ += 1;
  if (runs_ > kMaxRuns) {
    runs_ /= 2;
    nested_calls_ /= 2;
  }
  if (is_repeat) ascribed_[run] = 0;
}

void repeat_ascriber::OnRunEnded(std::uint64_t run) { ascribed_.erase(run); }

bool repeat_ascriber::OnNestedCall() {
  nested_calls_ += 1;
  const double mean = nested_calls_ / std::max(1.0, runs_);
  const int limit = static_cast<int>(std::ceil(kRepeatFactor * mean));
  for (auto& [run, count] : ascribed_) {
    if (count >= limit) continue;
    ++count;
    return true;
  }
  return false;
}

void retry_budget::Expire(window_counts* counts, instant now) const {
  const instant oldest = now - limits_.window;
  for (std::deque<instant>* times : {&counts->calls, &counts->retries}) {
    while (!times->empty() && times->front() <= oldest) times->pop_front();
  }
}

void retry_budget::OnCall(const std::string& service, instant now) {
  window_counts& counts = services_[service];
  counts.calls.push_back(now);
  Expire(&counts, now);
}

void retry_budget::OnRepeatsCall(const std::string& service, instant now) {
  window_counts& counts = services_[service];
  counts.retries.push_back(now);
  Expire(&counts, now);
}

bool retry_budget::TakeRetry(const std::string& service, bool nested,
                             instant now) {
  window_counts& counts = services_[service];
  Expire(&counts, now);
  const double share = nested ? kNestedUsedShare : kUsedShare;
  const bool is_new =
      started_at_ != instant::min() && now - started_at_ < limits_.window;
  const double slack_share = nested && is_new ? kNewNestedSlackShare : 1;
  const double allowed =
      share * (limits_.ratio * static_cast<double>(counts.calls.size()) +
               slack_share * limits_.slack / static_cast<double>(daemons_));
  if (static_cast<double>(counts.retries.size()) + 1 > allowed) return false;
  counts.retries.push_back(now);
  return true;
}

}  // namespace pimentohall::mesh
