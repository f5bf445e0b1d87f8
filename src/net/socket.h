#ifndef PIMENTOHALL_NET_SOCKET_H_
#define PIMENTOHALL_NET_SOCKET_H_

// Listening sockets and socket options.

#include <string>

#include "pimentohall/net.h"

namespace pimentohall::net {

// A non-blocking socket bound to `where`. Until `StartListening` the system
// refuses connections to its port. Two sockets can be bound to one port while
// neither listens; `StartListening` then fails for the second.
tl::expected<int, std::string> OpenBoundSocket(const endpoint& where);
// The socket stays open on error.
tl::expected<void, std::string> StartListening(int socket,
                                               const endpoint& where);
// A non-blocking listening socket. TCP_NODELAY is set on it, and on Linux
// accepted sockets inherit that.
tl::expected<int, std::string> OpenListeningSocket(const endpoint& where);
int BoundPort(int socket);
void DisableNagle(int socket);
// Ends the connection when bytes sent stay unacknowledged for `silence`, or
// when the other end doesn't answer the kernel's probes for about 3 s.
void SetSilenceLimit(int socket, core::duration silence);

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_SOCKET_H_
