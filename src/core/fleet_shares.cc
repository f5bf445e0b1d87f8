#include "core/fleet_shares.h"

#include <xxhash.h>

#include <utility>

namespace pimentohall::core {

void fleet_shares::SetVms(const config::vm_list& vms, instant now) {
  const bool was_listed = IsListed();
  for (const std::string& name : listed_) {
    expiry_by_vm_[name] = now + kDelistedRetention;
  }
  listed_.clear();
  for (const config::vm& vm : vms.vms) {
    listed_.insert(vm.name);
    expiry_by_vm_[vm.name] = instant::max();
  }
  if (IsListed() && !was_listed) {
    listed_since_ = now;
  }
}

bool fleet_shares::Expire(instant now) {
  const std::size_t before = expiry_by_vm_.size();
  for (auto vm = expiry_by_vm_.begin(); vm != expiry_by_vm_.end();) {
    vm = vm->second <= now ? expiry_by_vm_.erase(vm) : std::next(vm);
  }
  return expiry_by_vm_.size() != before;
}

std::int64_t fleet_shares::Permits(const std::string& organisation,
                                   std::int64_t total) const {
  const XXH64_hash_t salt = XXH64(organisation.data(), organisation.size(), 0);
  const auto weight = [salt](const std::string& name) {
    return std::make_pair(XXH64(name.data(), name.size(), salt), name);
  };
  const auto own = weight(self_);
  std::int64_t rank = 0;
  for (const auto& [name, expiry] : expiry_by_vm_) {
    rank += weight(name) > own ? 1 : 0;
  }
  const auto divisor = static_cast<std::int64_t>(expiry_by_vm_.size());
  return rank >= total || divisor == 0 ? 0
                                       : (total - rank + divisor - 1) / divisor;
}

}  // namespace pimentohall::core
