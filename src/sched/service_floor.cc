#include <cmath>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

constexpr double kHalfLifeS = 4;
// A share of fewer calls says little.
constexpr double kMinOffered = 4;

}  // namespace

void service_floor::Decay(counts* counted, instant now) {
  const std::chrono::duration<double> age = now - counted->at;
  if (age.count() <= 0) return;
  const double factor = std::exp2(-age.count() / kHalfLifeS);
  counted->offered *= factor;
  counted->served *= factor;
  counted->at = now;
}

// Null if there is no room for a new group.
service_floor::counts* service_floor::Find(std::uint64_t group, instant now) {
  const auto known = groups_.find(group);
  if (known == groups_.end() && groups_.size() >= kMaxGroups) {
    for (auto each = groups_.begin(); each != groups_.end();) {
      Decay(&each->second, now);
      each = each->second.offered < 1 ? groups_.erase(each) : std::next(each);
    }
    if (groups_.size() >= kMaxGroups) return nullptr;
  }
  counts* const found = &groups_[group];
  Decay(found, now);
  return found;
}

void service_floor::OnOffered(std::uint64_t group, double weight, instant now) {
  Decay(&all_, now);
  all_.offered += weight;
  if (counts* const counted = Find(group, now)) counted->offered += weight;
}

void service_floor::OnServed(std::uint64_t group, instant now) {
  Decay(&all_, now);
  all_.served += 1;
  if (counts* const counted = Find(group, now)) counted->served += 1;
}

bool service_floor::IsOwed(std::uint64_t group) const {
  const auto found = groups_.find(group);
  if (found == groups_.end() || all_.offered <= 0) return false;
  const counts& own = found->second;
  if (own.offered < kMinOffered) return false;
  return own.served * all_.offered < kShare * all_.served * own.offered;
}

}  // namespace pimentohall::sched
