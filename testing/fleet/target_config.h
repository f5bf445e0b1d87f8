#ifndef PIMENTOHALL_TESTING_FLEET_TARGET_CONFIG_H_
#define PIMENTOHALL_TESTING_FLEET_TARGET_CONFIG_H_

#include <string>

#include "fleet/configuration.h"

namespace pimentohall::testing {

// Size of a generated configuration. The defaults are the target of
// docs/design.md section 1. `upstreams` is also the number of VMs. Each
// VM has at most one upstream.
struct config_size {
  int zones = 15;
  int regions = 6;
  int services = 120;
  int upstreams = 2200;
  int organisations = 500;
  int keys = 10000;
  double rate_per_s = 2000;  // Of each organisation.
};

// Generates documents of the given size. The same size gives the same
// documents. The names are zone-N, service-N (route read-N: GET /service-N,
// route post-N: POST /service-N), vm-N, upstream-N and org-N. The addresses of
// the VMs and the upstreams are loopback addresses of the block 127.64.0.0/10,
// where nothing listens.
configuration GenerateConfiguration(const config_size& size);

// Marks all VMs but the first `live_vms` as leaving and increments the list's
// version. The first VMs are then the readers of their zones and depend on no
// other VM.
void SetLiveVms(configuration* documents, std::size_t live_vms);

// Returns a key of a generated organisation; `index` is below
// keys / organisations.
std::string GeneratedKey(int organisation, int index);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_TARGET_CONFIG_H_
