#include "net/socket.h"

#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace pimentohall::net {
namespace {

constexpr int kBacklog = 1024;
// TCP keepalive: a lost peer of a connection without traffic is detected after
// about kKeepaliveIdleSeconds + kKeepaliveProbes * kKeepaliveIntervalSeconds
// seconds.
constexpr int kKeepaliveIdleSeconds = 1;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 2;

std::string ErrorText(const endpoint& local, const char* operation) {
  return local.address + ":" + std::to_string(local.port) + ": " + operation +
         ": " + std::strerror(errno);
}

}  // namespace

void DisableNagle(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void SetPeerTimeout(int socket, core::duration timeout) {
  const auto timeout_ms = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepaliveIdleSeconds,
             sizeof(kKeepaliveIdleSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepaliveIntervalSeconds,
             sizeof(kKeepaliveIntervalSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepaliveProbes,
             sizeof(kKeepaliveProbes));
}

tl::expected<int, std::string> OpenBoundSocket(const endpoint& local) {
  sockaddr_storage address{};
  int size = sizeof(address);
  auto* const raw_address = reinterpret_cast<sockaddr*>(&address);
  if (evutil_parse_sockaddr_port(local.address.c_str(), raw_address, &size) !=
      0) {
    return tl::unexpected(local.address + ": not an IP address");
  }
  if (address.ss_family == AF_INET) {
    reinterpret_cast<sockaddr_in*>(&address)->sin_port =
        htons(static_cast<std::uint16_t>(local.port));
  } else {
    reinterpret_cast<sockaddr_in6*>(&address)->sin6_port =
        htons(static_cast<std::uint16_t>(local.port));
  }
  const int fd =
      socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return tl::unexpected(ErrorText(local, "socket"));
  evutil_make_listen_socket_reuseable(fd);
  DisableNagle(fd);
  if (bind(fd, raw_address, static_cast<socklen_t>(size)) != 0) {
    std::string problem = ErrorText(local, "bind");
    close(fd);
    return tl::unexpected(std::move(problem));
  }
  return fd;
}

tl::expected<void, std::string> StartListening(int socket,
                                               const endpoint& local) {
  if (listen(socket, kBacklog) == 0) return {};
  return tl::unexpected(ErrorText(local, "listen"));
}

tl::expected<int, std::string> OpenListeningSocket(const endpoint& local) {
  auto fd = OpenBoundSocket(local);
  if (!fd) return fd;
  if (auto listening = StartListening(*fd, local); !listening) {
    close(*fd);
    return tl::unexpected(listening.error());
  }
  return fd;
}

int BoundPort(int socket) {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return address.ss_family == AF_INET
             ? ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port)
             : ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
}

}  // namespace pimentohall::net
