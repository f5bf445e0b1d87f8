#include <cmath>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

void retry_budget::Expire(window_counts* at, instant now) const {
  const instant oldest = now - limits_.window;
  while (!at->calls.empty() && at->calls.front() <= oldest) {
    at->calls.pop_front();
  }
  while (!at->repeats.empty() && at->repeats.front().first <= oldest) {
    at->repeated -= at->repeats.front().second;
    at->repeats.pop_front();
  }
}

void retry_budget::OnCall(const std::string& service, instant now) {
  window_counts& at = services_[service];
  at.calls.push_back(now);
  Expire(&at, now);
}

bool retry_budget::TakeRepeat(const std::string& service, instant now) {
  window_counts& at = services_[service];
  Expire(&at, now);
  const double allowed =
      kUsedShare * (limits_.ratio * static_cast<double>(at.calls.size()) +
                    limits_.slack / static_cast<double>(daemons_));
  if (at.repeated + 1 > allowed) return false;
  at.repeats.emplace_back(now, 1);
  at.repeated += 1;
  return true;
}

void retry_budget::OnNestedCall(const std::string& service, double repeat_share,
                                instant now) {
  if (repeat_share <= 0) return;
  window_counts& at = services_[service];
  at.repeats.emplace_back(now, repeat_share);
  at.repeated += repeat_share;
  Expire(&at, now);
}

}  // namespace pimentohall::mesh
