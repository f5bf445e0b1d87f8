#ifndef PIMENTOHALL_CORE_FLEET_SHARES_H_
#define PIMENTOHALL_CORE_FLEET_SHARES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Splits a limit over the VMs that were in the VM list at any time of the last
// minute.
//
// A share never grows when a VM is added. So daemons that hold different lists
// never use more than the limit together, as long as a newly listed VM waits
// until all others have received the list that names it.
class fleet_shares {
 public:
  // Time for which a VM that was removed from the list keeps its share. It may
  // still be running without knowing of its removal.
  static constexpr duration kDelistedRetention = std::chrono::seconds(60);

  explicit fleet_shares(std::string self) : self_(std::move(self)) {}

  void SetVms(const config::vm_list& vms, instant now);
  // Drops VMs that were removed `kDelistedRetention` ago. True if the split
  // changed.
  bool Expire(instant now);

  bool IsListed() const { return listed_.count(self_) != 0; }
  // Start of the current uninterrupted time in which this VM is listed.
  instant ListedSince() const { return listed_since_; }
  // VMs in the newest list.
  const std::set<std::string>& Listed() const { return listed_; }
  // Number of VMs that the limit is split over.
  std::size_t Divisor() const { return expiry_by_vm_.size(); }

  // This VM's share of `total` permits, a whole number. The VMs with the
  // highest rendezvous rank get the remainder.
  std::int64_t Permits(const std::string& organisation,
                       std::int64_t total) const;

 private:
  std::string self_;
  std::set<std::string> listed_;
  std::map<std::string, instant> expiry_by_vm_;  // Never for listed VMs.
  instant listed_since_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_FLEET_SHARES_H_
