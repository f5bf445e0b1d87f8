#ifndef PIMENTOHALL_CLI_OFFLINE_ENGINE_H_
#define PIMENTOHALL_CLI_OFFLINE_ENGINE_H_

#include <string>
#include <tl/expected.hpp>

#include "cli/folder.h"
#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::cli {

// Feeds a configuration folder to an engine as the source would. Returns the
// engine's explanation of the call (JSON) from the view of the VM whose name is
// first in the order of names. The folder must contain the VM list.
tl::expected<std::string, config::faults> ExplainOffline(
    const folder& folder, const core::call_arrived& call);

}  // namespace pimentohall::cli

#endif  // PIMENTOHALL_CLI_OFFLINE_ENGINE_H_
