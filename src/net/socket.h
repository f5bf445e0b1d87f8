#ifndef PIMENTOHALL_NET_SOCKET_H_
#define PIMENTOHALL_NET_SOCKET_H_

// Listening sockets and socket options.

#include <string>

#include "pimentohall/net.h"

namespace pimentohall::net {

// A non-blocking listening socket. TCP_NODELAY is set on it, and on Linux
// accepted sockets inherit that.
tl::expected<int, std::string> OpenListeningSocket(const endpoint& where);
int BoundPort(int socket);
void DisableNagle(int socket);

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_SOCKET_H_
