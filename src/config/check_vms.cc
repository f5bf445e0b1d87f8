#include "pimentohall/config.h"

namespace pimentohall::config {

faults CheckVms(const config_set& set, const vm_list& vms) {
  faults found;
  for (const vm& vm : vms.vms) {
    if (set.FindZone(vm.zone) != nullptr) continue;
    found.push_back(
        {"vms", 0, "",
         "VM \"" + vm.name + "\" is in the unknown zone \"" + vm.zone + "\"",
         "add the zone to the part zones"});
  }
  for (const service& service : set.Services()) {
    for (const upstream& upstream : service.upstreams) {
      if (vms.Find(upstream.vm) != nullptr) continue;
      found.push_back({"services/" + service.name, 0, "",
                       "upstream \"" + upstream.name + "\" is on the VM \"" +
                           upstream.vm + "\", which is not listed",
                       "correct the name of the VM or remove the upstream"});
    }
  }
  return found;
}

}  // namespace pimentohall::config
