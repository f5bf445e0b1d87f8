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

// A daemon's view of the other VMs: the published list, the state of its own
// links, and the last status of each peer. Roles are derived from the list
// alone, so daemons with the same list agree without messages; only the
// replacement of a failed VM by the next rank depends on a daemon's own links.
//
// `distribution` supplies link events, statuses and new lists; the engine also
// supplies the list in force, and `peer_sender` asks to keep links. The other
// modules only query.
class membership {
 public:
  // Backoff after a failure of the link to a VM. It doubles with each further
  // failure, up to the maximum. Restarts of a daemon take about a second,
  // partitions minutes.
  static constexpr duration kMinBackoff = std::chrono::seconds(5);
  static constexpr duration kMaxBackoff = std::chrono::seconds(30);
  // A link that was up for this long resets the count of failures.
  static constexpr duration kStableLinkTime = std::chrono::seconds(30);
  // A link without a status for this long (three heartbeats) is treated as
  // dead.
  static constexpr duration kMaxSilence = std::chrono::seconds(6);
  // A longer gap between two ticks means that this process was paused.
  static constexpr duration kMaxTickGap = std::chrono::seconds(1);

  membership(std::string vm, std::string zone,
             std::vector<bootstrap_peer> bootstrap_peers);

  void SetVms(std::shared_ptr<const config::vm_list> vms);
  void OnLinkUp(const std::string& vm, instant now);
  // The link failed or could not be opened. A duplicate of the event at the
  // same instant has no effect.
  void OnLinkDown(const std::string& vm, instant now);
  // The link was closed on purpose. This does not count as a failure of the VM,
  // unless its last status said that it is stopping.
  void OnLinkClosed(const std::string& vm, instant now);
  void OnStatus(const std::string& vm, const status_message& status,
                instant now);
  // Must be called regularly. The time of a gap of more than `kMaxTickGap` does
  // not count towards `kMaxSilence`.
  void Tick(instant now);

  // Keeps the link to `vm`, which another module opens and uses, until `until`.
  // `distribution` does not dial it again if it breaks.
  void KeepLink(const std::string& vm, instant until);

  const std::string& Self() const;
  bool HasLink(const std::string& vm) const;
  // True if another module opened a link that is neither up nor failed yet.
  bool IsDialling(const std::string& vm) const;
  // All VMs with a link, whichever side or module opened it, in name order.
  std::vector<std::string> LinkedVms() const;
  // The VM's entry in the list, or null.
  const config::vm* FindVm(std::string_view vm) const;

  // False for a VM that is listed as leaving, reported that it is stopping, or
  // is in backoff after a failed link. A VM that was never dialled is usable.
  bool IsUsable(const std::string& vm, instant now) const;

  // Live VMs of `zone`, or of all zones if it is empty, by descending
  // rendezvous weight.
  std::vector<std::string> Ranked(std::string_view salt,
                                  std::string_view zone) const;

  // The home of an organisation's pooled tokens: the best-ranked usable VM.
  // Empty if there is no list yet or no listed VM is usable.
  std::string HomeOf(std::string_view organisation, instant now) const;

  // True if this VM is a reader of its zone, that is, fewer than
  // `topology::kReaders` live VMs ranked before it are presumed up. The next
  // rank replaces a VM that is stopping or whose link has been down for
  // `kMinBackoff`. A VM that is not live ranks last. False before the first
  // list.
  bool IsReader(instant now) const;

  // The VMs to which this daemon should have a control link.
  std::vector<std::string> DesiredLinks(instant now) const;

  // True if `vm`, given this list and no failures, would open a link to this
  // VM. Costs as much as SetVms (0.4 ms for 2,200 VMs).
  bool IsFirstChoiceOf(const std::string& vm) const;

  // Linked VMs that have sent no status for `kMaxSilence`.
  std::vector<std::string> SilentLinks(instant now) const;

  // Address and port of a VM's control link; nullopt if unknown.
  std::optional<bootstrap_peer> AddressOf(const std::string& vm) const;

 private:
  struct peer {
    bool linked = false;
    bool dialling = false;  // By another module, see KeepLink.
    bool stopping = false;
    std::uint64_t incarnation = 0;  // 0: unknown.
    int failures = 0;               // Consecutive.
    instant up_since;
    instant status_at;
    std::optional<instant> down_since;  // Start of the current outage.
    instant failed_at;                  // Last failure.
    instant retry_at;    // End of the backoff, if `failures` > 0.
    instant keep_until;  // See KeepLink.
  };

  const peer* Find(const std::string& vm) const;
  bool IsStopping(const std::string& vm) const;
  bool IsBackingOff(const peer& peer, instant now) const;
  // True if a link to `vm` may be kept or dialled now.
  bool CanLink(const std::string& vm, instant now) const;
  bool IsPresumedUp(const std::string& vm, instant now) const;
  // Appends the best linkable VM of each list of candidates, and a linked
  // substitute while that VM has no link yet.
  void PickOnePerList(const std::vector<const std::vector<std::string>*>& lists,
                      instant now, std::vector<std::string>* picked) const;
  void PickBootstrapPeers(instant now, std::vector<std::string>* picked) const;
  void PickReaderLinks(instant now, std::vector<std::string>* picked) const;
  void PickParents(instant now, std::vector<std::string>* picked) const;
  void PickKept(instant now, std::vector<std::string>* picked) const;
  void RemoveUnlisted();
  // The best-ranked VMs for an organisation, cached until the list changes.
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
