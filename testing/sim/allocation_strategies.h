#ifndef PIMENTOHALL_TESTING_SIM_ALLOCATION_STRATEGIES_H_
#define PIMENTOHALL_TESTING_SIM_ALLOCATION_STRATEGIES_H_

#include "sim/allocation_fleet.h"

namespace pimentohall::sim {

// The project's allocator.
strategy_factory LentShares();
// Each VM uses 1/D of every limit and lends nothing.
strategy_factory StaticShares();
// One VM for each organisation, derived from the list, decides every call. It
// starts with a full bucket and keeps rate and burst only.
strategy_factory OneOwner();

}  // namespace pimentohall::sim

#endif  // PIMENTOHALL_TESTING_SIM_ALLOCATION_STRATEGIES_H_
