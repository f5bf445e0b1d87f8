#ifndef PIMENTOHALL_CORE_TOPOLOGY_H_
#define PIMENTOHALL_CORE_TOPOLOGY_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "pimentohall/config.h"

namespace pimentohall::core {

// Position of one daemon in the distribution graph. It is derived from the VM
// list alone, so daemons with the same list agree without messages.
//
// - The live VMs of a zone are ranked by rendezvous weight; the first
//   `kReaders` are its readers and the next `kStandbys` link to both readers,
//   so that they detect when one fails.
// - Each zone has `kTrees` trees of fan-out `kFanOut`, tree t rooted at reader
//   t. A parent always precedes its child in the tree's order, so every chain
//   of parents ends at a reader, also when fallback parents are used.
// - Zones form a ring in rendezvous order, with chords across half of the ring.
//   The readers of a zone link to readers of the next and of the opposite zone.
//   The VM list names no regions, so the ring can't take them into account; the
//   chords keep the graph connected when any three zones are lost.
//
// A VM that is not listed as live takes the position in the trees that its
// weight gives it, but ranks after all live VMs in the reader ranking.
class topology {
 public:
  static constexpr std::size_t kReaders = 2;
  static constexpr std::size_t kStandbys = 2;
  static constexpr std::size_t kTrees = 2;
  static constexpr std::size_t kFanOut = 8;

  topology(const config::vm_list& list, const std::string& vm,
           const std::string& zone);

  // Live VMs of the zone in reader order.
  const std::vector<std::string>& ReaderRanking() const { return readers_; }
  // Position of this VM in ReaderRanking(), or the size of the ranking if this
  // VM is not listed as live.
  std::size_t ReaderRank() const { return reader_rank_; }

  // Candidates for this VM's parent in a tree, best first.
  const std::vector<std::string>& Parents(std::size_t tree) const {
    return parents_[tree];
  }
  // Candidates for each link to another zone, best first. Empty if there is no
  // other zone.
  const std::vector<std::vector<std::string>>& ZoneLinks() const {
    return zone_links_;
  }

 private:
  using vms_by_zone = std::map<std::string, std::vector<std::string>>;

  void RankReaders(std::vector<std::string> live, const std::string& vm);
  void FindParents(std::size_t tree, std::vector<std::string> live,
                   const std::string& vm);
  void FindZoneLinks(vms_by_zone live, const std::string& zone);

  std::vector<std::string> readers_;
  std::size_t reader_rank_ = 0;
  std::vector<std::string> parents_[kTrees];
  std::vector<std::vector<std::string>> zone_links_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_TOPOLOGY_H_
