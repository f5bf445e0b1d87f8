#ifndef PIMENTOHALL_SIM_DEPLOYMENT_FILES_H_
#define PIMENTOHALL_SIM_DEPLOYMENT_FILES_H_

#include <filesystem>

#include "sim/scenario.h"

namespace pimentohall::sim {

// Reads every configuration folder below `examples`, under its name.
scenario::deployments ReadDeployments(const std::filesystem::path& examples);

}  // namespace pimentohall::sim

#endif  // PIMENTOHALL_SIM_DEPLOYMENT_FILES_H_
