#include "check/entry_index.h"

#include <algorithm>

namespace pimentohall::check {
namespace {

std::pair<std::uint64_t, std::uint64_t> StartOrder(
    const mesh::upstream& start) {
  return {start.born_ms, start.revision};
}

void CountUpstream(const mesh::upstream& counted,
                   const std::set<std::string>& evacuated_zones,
                   service_facts* facts) {
  ++facts->listed;
  if (counted.draining) {
    ++facts->draining;
  } else if (evacuated_zones.count(counted.zone) != 0) {
    ++facts->evacuated;
  } else {
    ++facts->usable;
    facts->usable_slots += counted.slots;
  }
}

}  // namespace

std::optional<double> service_facts::Capacity() const {
  if (!shortest_aim || shortest_aim->count() <= 0) return std::nullopt;
  const double usual_s =
      std::chrono::duration<double>(*shortest_aim).count() * kUsualShareOfAim;
  return usable_slots / usual_s;
}

entry_index::entry_index(const input& indexed)
    : input_(indexed),
      services_(MakeCountedMap<service_facts>(&comparisons_)),
      claims_(MakeCountedMap<std::string>(&comparisons_)) {
  AddServices();
  AddAims();
  AddUpstreams();
  SetLargestCapacity();
}

const service_facts* entry_index::FindService(const std::string& name) {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

const std::string* entry_index::Claim(const std::string& space,
                                      const std::string& key,
                                      const std::string& owner) {
  // The zero byte keeps apart spaces of which one begins with the other.
  const auto added = claims_.emplace(space + '\0' + key, owner);
  return added.second ? nullptr : &added.first->second;
}

void entry_index::AddServices() {
  for (const mesh::service& each : input_.proposed.services) {
    CountVisit();
    services_[each.name].is_configured = true;
  }
}

void entry_index::AddAims() {
  for (const mesh::route& each : input_.proposed.routes) {
    for (const mesh::route_part& part : each.parts) {
      CountVisit();
      const auto found = services_.find(part.service);
      if (part.weight <= 0 || found == services_.end()) continue;
      found->second.is_routed = true;
      if (each.aim.count() <= 0) continue;
      auto& shortest = found->second.shortest_aim;
      shortest = std::min(shortest.value_or(each.aim), each.aim);
    }
  }
}

void entry_index::AddUpstreams() {
  if (!input_.upstreams) return;
  // The entry of an ended start stays listed for a while; the newest start at
  // an address counts.
  auto newest = MakeCountedMap<const mesh::upstream*>(&comparisons_);
  for (const mesh::upstream& each : *input_.upstreams) {
    CountVisit();
    const mesh::upstream*& kept =
        newest[each.address + ":" + std::to_string(each.port)];
    if (kept == nullptr || StartOrder(each) > StartOrder(*kept)) kept = &each;
  }
  for (const auto& [address, each] : newest) {
    CountVisit();
    CountUpstream(*each, input_.evacuated_zones, &services_[each->service]);
  }
}

void entry_index::SetLargestCapacity() {
  double largest = 0;
  for (const auto& [name, facts] : services_) {
    CountVisit();
    if (!facts.is_routed || facts.usable == 0) continue;
    const std::optional<double> capacity = facts.Capacity();
    if (!capacity) return;
    largest = std::max(largest, *capacity);
  }
  if (largest > 0) largest_capacity_ = largest;
}

}  // namespace pimentohall::check
