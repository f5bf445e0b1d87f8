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
// Kernel probes on a connection without traffic: silence is found after about
// kProbeIdleS + kProbes * kProbeGapS seconds.
constexpr int kProbeIdleS = 1;
constexpr int kProbeGapS = 1;
constexpr int kProbes = 2;

std::string ErrorText(const endpoint& where, const char* step) {
  return where.address + ":" + std::to_string(where.port) + ": " + step + ": " +
         std::strerror(errno);
}

}  // namespace

void DisableNagle(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void SetSilenceLimit(int socket, core::duration silence) {
  const auto silence_ms = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(silence).count());
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms,
             sizeof(silence_ms));
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeIdleS,
             sizeof(kProbeIdleS));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeGapS,
             sizeof(kProbeGapS));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

tl::expected<int, std::string> OpenBoundSocket(const endpoint& where) {
  sockaddr_storage address{};
  int size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (evutil_parse_sockaddr_port(where.address.c_str(), generic, &size) != 0) {
    return tl::unexpected(where.address + ": not an IP address");
  }
  if (address.ss_family == AF_INET) {
    reinterpret_cast<sockaddr_in*>(&address)->sin_port =
        htons(static_cast<std::uint16_t>(where.port));
  } else {
    reinterpret_cast<sockaddr_in6*>(&address)->sin6_port =
        htons(static_cast<std::uint16_t>(where.port));
  }
  const int fd =
      socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return tl::unexpected(ErrorText(where, "socket"));
  evutil_make_listen_socket_reuseable(fd);
  DisableNagle(fd);
  if (bind(fd, generic, static_cast<socklen_t>(size)) != 0) {
    std::string problem = ErrorText(where, "bind");
    close(fd);
    return tl::unexpected(std::move(problem));
  }
  return fd;
}

tl::expected<void, std::string> StartListening(int socket,
                                               const endpoint& where) {
  if (listen(socket, kBacklog) == 0) return {};
  return tl::unexpected(ErrorText(where, "listen"));
}

tl::expected<int, std::string> OpenListeningSocket(const endpoint& where) {
  auto fd = OpenBoundSocket(where);
  if (!fd) return fd;
  if (auto listening = StartListening(*fd, where); !listening) {
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
