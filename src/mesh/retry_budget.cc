#include <cmath>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

void retry_budget::Expire(window_counts* at, instant now) const {
  const instant oldest = now - limits_.window;
  while (!at->calls.empty() && at->calls.front() <= oldest) {
    at->calls.pop_front();
  }
  while (!at->repeats.empty() && at->repeats.front() <= oldest) {
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
  if (static_cast<double>(at.repeats.size()) + 1 > allowed) return false;
  at.repeats.push_back(now);
  return true;
}

}  // namespace pimentohall::mesh
