#include "core/topology.h"

#include <algorithm>
#include <utility>

#include "core/rendezvous.h"

namespace pimentohall::core {
namespace {

constexpr std::string_view kReaderSalt = "reader";
constexpr std::string_view kZoneSalt = "zone-ring";
constexpr std::string_view kTreeSalts[topology::kTrees] = {"tree-0", "tree-1"};

// Maximum number of fallback parents from the tree, and of those from the
// reader ranking that follow them.
constexpr std::size_t kTreeFallbacks = 8;

void AppendUnique(const std::string& name, std::vector<std::string>* names) {
  const bool known =
      std::find(names->begin(), names->end(), name) != names->end();
  if (!known) names->push_back(name);
}

std::map<std::string, std::vector<std::string>> LiveByZone(
    const config::vm_list& list) {
  std::map<std::string, std::vector<std::string>> live;
  for (const config::vm& vm : list.vms) {
    if (vm.state == config::vm_state::kLive) live[vm.zone].push_back(vm.name);
  }
  return live;
}

}  // namespace

topology::topology(const config::vm_list& list, const std::string& vm,
                   const std::string& zone) {
  vms_by_zone live = LiveByZone(list);
  const auto own_zone = live.find(zone);
  if (own_zone != live.end()) {
    RankReaders(own_zone->second, vm);
    for (std::size_t tree = 0; tree < kTrees; ++tree) {
      FindParents(tree, own_zone->second, vm);
    }
  }
  FindZoneLinks(std::move(live), zone);
}

void topology::RankReaders(std::vector<std::string> live,
                           const std::string& vm) {
  SortByWeight(kReaderSalt, &live);
  readers_ = std::move(live);
  const auto self = std::find(readers_.begin(), readers_.end(), vm);
  reader_rank_ = static_cast<std::size_t>(self - readers_.begin());
}

void topology::FindParents(std::size_t tree, std::vector<std::string> live,
                           const std::string& vm) {
  const std::size_t readers = std::min(kReaders, readers_.size());
  const std::size_t root = std::min(tree, readers - 1);
  const auto is_reader = [&](const std::string& name) {
    const auto end = readers_.begin() + static_cast<std::ptrdiff_t>(readers);
    return std::find(readers_.begin(), end, name) != end;
  };
  live.erase(std::remove_if(live.begin(), live.end(), is_reader), live.end());
  AppendUnique(vm, &live);
  SortByWeight(kTreeSalts[tree], &live);
  live.insert(live.begin(), readers_[root]);

  const auto self = std::find(live.begin() + 1, live.end(), vm);
  const auto index = static_cast<std::size_t>(self - live.begin());
  const std::size_t parent = (index - 1) / kFanOut;
  const std::size_t min_index =
      parent > kTreeFallbacks ? parent - kTreeFallbacks : 0;
  std::vector<std::string>& candidates = parents_[tree];
  for (std::size_t i = parent + 1; i-- > min_index;) {
    if (live[i] != vm) AppendUnique(live[i], &candidates);
  }
  if (readers_[root] != vm) AppendUnique(readers_[root], &candidates);
  for (std::size_t i = 0; i < readers_.size() && i < kTreeFallbacks; ++i) {
    if (readers_[i] != vm) AppendUnique(readers_[i], &candidates);
  }
}

void topology::FindZoneLinks(vms_by_zone live, const std::string& zone) {
  std::vector<std::string> ring;
  for (auto& [name, vms] : live) {
    SortByWeight(kReaderSalt, &vms);
    ring.push_back(name);
  }
  AppendUnique(zone, &ring);
  SortByWeight(kZoneSalt, &ring);
  const std::size_t count = ring.size();
  if (count < 2) return;

  const auto self = static_cast<std::size_t>(
      std::find(ring.begin(), ring.end(), zone) - ring.begin());
  const std::size_t steps[] = {1, count == 3 ? 2 : count / 2};
  for (std::size_t link_index = 0; link_index < 2; ++link_index) {
    std::vector<std::string> candidates;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string& other = ring[(self + steps[link_index] + i) % count];
      if (other == zone) continue;
      const std::vector<std::string>& ranked = live[other];
      // The two readers of this zone prefer different readers of the other
      // zone.
      const std::size_t first = (reader_rank_ + link_index) % kReaders;
      if (first < ranked.size()) AppendUnique(ranked[first], &candidates);
      const std::size_t max_candidates = kReaders + kStandbys;
      for (std::size_t j = 0; j < ranked.size() && j < max_candidates; ++j) {
        AppendUnique(ranked[j], &candidates);
      }
    }
    zone_links_.push_back(std::move(candidates));
  }
}

}  // namespace pimentohall::core
