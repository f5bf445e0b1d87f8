#ifndef PIMENTOHALL_MEASURE_FLEET_MEASURE_CONVERGENCE_H_
#define PIMENTOHALL_MEASURE_FLEET_MEASURE_CONVERGENCE_H_

#include <string>

#include "fleet_measure/suite.h"

namespace pimentohall::measure {

// A fleet of that many daemons without upstreams: today's deployment for 12, a
// generated configuration otherwise.
testing::fleet_result<running_fleet> StartConvergenceFleet(const context& c,
                                                           int daemons);

// An organisation of the fleet's documents, to be edited.
std::string FirstOrganisation(const running_fleet& f);

// Publishes contract edits one after another and adds convergence_p99_s and
// version_regressions.
result MeasureConvergence(const context& c, const running_fleet& f,
                          const std::string& processes);

}  // namespace pimentohall::measure

#endif  // PIMENTOHALL_MEASURE_FLEET_MEASURE_CONVERGENCE_H_
