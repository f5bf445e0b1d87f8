#ifndef PIMENTOHALL_NET_H_
#define PIMENTOHALL_NET_H_

// Library `net`: sockets, HTTP, timers and files around the decision core.

#include <string>

namespace pimentohall::net {

// The version of this build, for example "0.1.0".
std::string VersionText();

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_H_
