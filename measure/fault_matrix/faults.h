#ifndef PIMENTOHALL_MEASURE_FAULT_MATRIX_FAULTS_H_
#define PIMENTOHALL_MEASURE_FAULT_MATRIX_FAULTS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace pimentohall::measure {

// What the scripts need to know of a deployment.
struct deployment {
  std::string name;
  std::vector<std::string> loads;  // "org= rate= path= [method=]"
  std::string zone;                // The one that is taken out or cut off.
  std::string other_zones;         // Group expression for `partition`.
  std::string upstream;
  std::string vm;  // Stopped, crashed and so on.
  std::string paused_vms;
  std::string limited_organisation;  // Its contract changes.
  std::string withdrawn_organisation;
  std::string crash_load;
  std::string excess_load;  // Four times an organisation's rate, besides it.
};
const std::vector<deployment>& Deployments();

// A fault that begins at `begin_ms` and ends at `end_ms` of virtual time; both
// are statements of the scenario language. `end` may be empty.
struct fault {
  std::string name;
  std::vector<std::string> (*begin)(const deployment&);
  std::vector<std::string> (*end)(const deployment&);
};
const std::vector<fault>& Faults();

// A whole scenario with the faults of the list, at slightly different times.
std::string ScenarioText(const deployment& deployment,
                         const std::vector<const fault*>& faults,
                         std::uint64_t seed);

}  // namespace pimentohall::measure

#endif  // PIMENTOHALL_MEASURE_FAULT_MATRIX_FAULTS_H_
