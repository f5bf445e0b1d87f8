#include <cmath>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

void retry_budget::Expire(window_counts* counts, instant now) const {
  const instant oldest = now - limits_.window;
  while (!counts->calls.empty() && counts->calls.front() <= oldest) {
    counts->calls.pop_front();
  }
  while (!counts->retries.empty() && counts->retries.front().first <= oldest) {
    counts->retried -= counts->retries.front().second;
    counts->retries.pop_front();
  }
}

void retry_budget::OnCall(const std::string& service, instant now) {
  window_counts& counts = services_[service];
  counts.calls.push_back(now);
  Expire(&counts, now);
}

bool retry_budget::TakeRetry(const std::string& service, instant now) {
  window_counts& counts = services_[service];
  Expire(&counts, now);
  const double allowed =
      kUsedShare * (limits_.ratio * static_cast<double>(counts.calls.size()) +
                    limits_.slack / static_cast<double>(daemons_));
  if (counts.retried + 1 > allowed) return false;
  counts.retries.emplace_back(now, 1);
  counts.retried += 1;
  return true;
}

void retry_budget::OnNestedCall(const std::string& service, double retry_share,
                                instant now) {
  if (retry_share <= 0) return;
  window_counts& counts = services_[service];
  counts.retries.emplace_back(now, retry_share);
  counts.retried += retry_share;
  Expire(&counts, now);
}

}  // namespace pimentohall::mesh
