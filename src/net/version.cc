#include "pimentohall/net.h"

namespace pimentohall::net {

std::string VersionText() { return "0.1.0"; }

}  // namespace pimentohall::net
