#ifndef PIMENTOHALL_TESTING_FLEET_PORTS_H_
#define PIMENTOHALL_TESTING_FLEET_PORTS_H_

#include "fleet/fleet_error.h"

namespace pimentohall::testing {

// Returns the first of `count` consecutive ports that are free on loopback now.
// They lie between 11000 and 32000, which is below Linux's default ephemeral
// range; otherwise outgoing connections could take some of them before the
// children listen.
fleet_result<int> FindFreePorts(int count);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_PORTS_H_
