#ifndef PIMENTOHALL_CORE_FLEET_SHARES_H_
#define PIMENTOHALL_CORE_FLEET_SHARES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Splits a limit over the VMs that were listed at any time of the last minute.
//
// A share never grows when a name is added, so daemons that hold different
// lists never use more than the whole together, as long as a newly listed VM
// waits until all others have heard of it.
class fleet_shares {
 public:
  // Time for which a VM that left the list keeps its part of the split. It may
  // still be running and unaware.
  static constexpr duration kMemory = std::chrono::seconds(60);

  explicit fleet_shares(std::string self) : self_(std::move(self)) {}

  void SetVms(const config::vm_list& vms, instant now);
  // Forgets names after `kMemory`; true if the split changed.
  bool Expire(instant now);

  bool IsListed() const { return listed_.count(self_) != 0; }
  // When this VM came to be listed without a break.
  instant ListedSince() const { return listed_since_; }
  // Names in the newest list.
  const std::set<std::string>& Listed() const { return listed_; }
  std::size_t Divisor() const { return names_.size(); }

  // This VM's whole permits out of `total`. Remainders go by rendezvous rank.
  std::int64_t Permits(const std::string& organisation,
                       std::int64_t total) const;

 private:
  std::string self_;
  std::set<std::string> listed_;
  std::map<std::string, instant> names_;  // With the time of forgetting.
  instant listed_since_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_FLEET_SHARES_H_
