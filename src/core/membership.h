#ifndef PIMENTOHALL_CORE_MEMBERSHIP_H_
#define PIMENTOHALL_CORE_MEMBERSHIP_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// What a daemon believes about the other VMs: the published list, the state of
// its own links, and what peers last said. Roles are derived from the list
// alone, so daemons with the same list agree without messages.
class membership {
 public:
  membership(std::string vm, std::string zone,
             std::vector<bootstrap_peer> bootstrap_peers);

  void SetVms(std::shared_ptr<const config::vm_list> vms);
  void OnLinkUp(const std::string& vm, instant now);
  void OnLinkDown(const std::string& vm, instant now);
  void OnStatus(const std::string& vm, const status_message& status,
                instant now);

  const std::string& Self() const;
  bool HasLink(const std::string& vm) const;

  // False for a VM that is listed as leaving, said that it is stopping, or
  // whose link failed recently. A VM that was never dialled is usable.
  bool IsUsable(const std::string& vm, instant now) const;

  // Live VMs of a zone (empty: of all zones) by falling rendezvous weight.
  std::vector<std::string> Ranked(std::string_view salt,
                                  std::string_view zone) const;

  // The best-ranked usable VM for an organisation's pooled tokens.
  std::string HomeOf(std::string_view organisation, instant now) const;

  bool IsReader(instant now) const;

  // The VMs to which this daemon keeps a control link of its own.
  std::vector<std::string> WantedLinks(instant now) const;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_MEMBERSHIP_H_
