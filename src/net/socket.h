#ifndef PIMENTOHALL_NET_SOCKET_H_
#define PIMENTOHALL_NET_SOCKET_H_

// Listening sockets and socket options.

#include <string>

#include "pimentohall/net.h"

namespace pimentohall::net {

// Returns a non-blocking socket bound to `local`. Until `StartListening` the
// kernel refuses connections to its port. Two sockets can be bound to one port
// while neither listens; `StartListening` then fails for the second.
tl::expected<int, std::string> OpenBoundSocket(const endpoint& local);
// Starts to accept connections. The socket stays open on error.
tl::expected<void, std::string> StartListening(int socket,
                                               const endpoint& local);
// Returns a non-blocking listening socket. TCP_NODELAY is set on it, and on
// Linux accepted sockets inherit that.
tl::expected<int, std::string> OpenListeningSocket(const endpoint& local);
// Returns the local port of a bound socket.
int BoundPort(int socket);
void DisableNagle(int socket);
// Closes the connection if sent bytes stay unacknowledged for `timeout`, or if
// the peer doesn't answer the kernel's keepalive probes for about 3 s.
void SetPeerTimeout(int socket, core::duration timeout);

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_SOCKET_H_
