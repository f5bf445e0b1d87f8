#ifndef PIMENTOHALL_CORE_MEMBERSHIP_H_
#define PIMENTOHALL_CORE_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/topology.h"
#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// What a daemon believes about the other VMs: the published list, the state of
// its own links, and what peers last said. Roles are derived from the list
// alone, so daemons with the same list agree without messages; only the
// replacement of a failed VM by the next rank depends on a daemon's own links.
//
// `distribution` feeds the lists, link events and statuses; the other modules
// only ask.
class membership {
 public:
  // Time that a VM is left alone after its link failed; doubles with each
  // further failure up to the greatest. Restarts of a daemon take about a
  // second, partitions minutes.
  static constexpr duration kFirstWait = std::chrono::seconds(5);
  static constexpr duration kGreatestWait = std::chrono::seconds(30);
  // A link that lasted this long ends a run of failures.
  static constexpr duration kStableLink = std::chrono::seconds(30);
  // A link without a status for this long (three heartbeats) is dead.
  static constexpr duration kSilence = std::chrono::seconds(6);
  // A longer gap between two ticks means that this process was paused.
  static constexpr duration kPause = std::chrono::seconds(1);

  membership(std::string vm, std::string zone,
             std::vector<bootstrap_peer> bootstrap_peers);

  void SetVms(std::shared_ptr<const config::vm_list> vms);
  void OnLinkUp(const std::string& vm, instant now);
  // The link failed or could not be opened. A repetition of the event at the
  // same instant changes nothing.
  void OnLinkDown(const std::string& vm, instant now);
  // The link was closed on purpose: no evidence against the VM, unless it said
  // that it is stopping.
  void OnLinkClosed(const std::string& vm, instant now);
  void OnStatus(const std::string& vm, const status_message& status,
                instant now);
  // After a gap of more than `kPause` the time of the gap is not counted as
  // silence of the peers.
  void Tick(instant now);

  // Wants the link to `vm`, which another module opens and uses, until then. It
  // is not dialled again by `distribution` if it breaks.
  void KeepLink(const std::string& vm, instant until);

  const std::string& Self() const;
  bool HasLink(const std::string& vm) const;
  // True if another module opened a link that is neither up nor failed yet.
  bool IsDialling(const std::string& vm) const;
  // All VMs with a link, whoever opened it, in name order.
  std::vector<std::string> LinkedVms() const;
  // The VM's entry in the list, or null.
  const config::vm* FindVm(std::string_view vm) const;

  // False for a VM that is listed as leaving, said that it is stopping, or
  // whose link failed recently. A VM that was never dialled is usable.
  bool IsUsable(const std::string& vm, instant now) const;

  // Live VMs of a zone (empty: of all zones) by falling rendezvous weight.
  std::vector<std::string> Ranked(std::string_view salt,
                                  std::string_view zone) const;

  // The best-ranked usable VM for an organisation's pooled tokens. Empty if no
  // list is known or no listed VM is usable.
  std::string HomeOf(std::string_view organisation, instant now) const;

  // True for the best-ranked live VMs of the zone. The next rank replaces a VM
  // whose link has been down for `kFirstWait`. False before a list is known.
  bool IsReader(instant now) const;

  // The VMs to which this daemon keeps a control link of its own.
  std::vector<std::string> WantedLinks(instant now) const;

  // True if the list makes this VM a first choice of `vm`. Costs as much as
  // taking over a list (0.4 ms for 2,200 VMs).
  bool IsFirstChoiceOf(const std::string& vm) const;

  // Linked VMs that have sent no status for `kSilence`.
  std::vector<std::string> SilentLinks(instant now) const;

  // Address and port of a VM's control link; nullopt if unknown.
  std::optional<bootstrap_peer> AddressOf(const std::string& vm) const;

 private:
  struct peer {
    bool linked = false;
    bool dialling = false;  // By another module, see `KeepLink`.
    bool stopping = false;
    std::uint64_t incarnation = 0;  // 0: unknown.
    int failures = 0;               // In a row.
    instant up_since;
    instant heard;
    std::optional<instant> down_since;  // First failure of the row.
    instant failed_at;                  // Last failure.
    instant retry_at;                   // With failures: not used before.
    instant keep_until;
  };

  const peer* Find(const std::string& vm) const;
  bool IsStopping(const std::string& vm) const;
  bool IsWaiting(const peer& peer, instant now) const;
  // True if a link to `vm` is worth keeping or dialling now.
  bool CanLink(const std::string& vm, instant now) const;
  bool IsBelievedUp(const std::string& vm, instant now) const;
  // Picks one VM from each list of candidates.
  void Pick(const std::vector<const std::vector<std::string>*>& lists,
            instant now, std::vector<std::string>* picked) const;
  void PickBootstrapPeers(instant now, std::vector<std::string>* picked) const;
  void PickReaderLinks(instant now, std::vector<std::string>* picked) const;
  void PickParents(instant now, std::vector<std::string>* picked) const;
  void PickKept(instant now, std::vector<std::string>* picked) const;
  void ForgetUnlisted();
  // The first ranks for an organisation, cached until the list changes.
  const std::vector<std::string>& HomeCandidates(
      std::string_view organisation) const;

  std::string vm_;
  std::string zone_;
  std::vector<bootstrap_peer> bootstrap_peers_;
  std::shared_ptr<const config::vm_list> vms_;
  std::optional<topology> topology_;
  std::map<std::string, peer> peers_;
  std::optional<instant> last_tick_;
  mutable std::map<std::string, std::vector<std::string>, std::less<>> homes_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_MEMBERSHIP_H_
