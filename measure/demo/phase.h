#ifndef PIMENTOHALL_MEASURE_DEMO_PHASE_H_
#define PIMENTOHALL_MEASURE_DEMO_PHASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "load/runner.h"

namespace pimentohall::demo {

// What a phase of the demo saw.
struct phase {
  std::string name;
  load::tally calls;
  // From publishing the phase's change to the last daemon's report.
  std::optional<double> in_force_s;
  // Calls that got no answer although their daemon was running.
  std::uint64_t lost = 0;
  std::string note;
};

void PrintPhases(const std::vector<phase>& phases);

}  // namespace pimentohall::demo

#endif  // PIMENTOHALL_MEASURE_DEMO_PHASE_H_
