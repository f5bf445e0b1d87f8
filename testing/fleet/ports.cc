#include "fleet/ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

namespace pimentohall::testing {
namespace {

constexpr int kMinPort = 11000;
constexpr int kPortsEnd = 32000;
constexpr int kAttempts = 200;

bool IsFree(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0;
  close(fd);
  return is_free;
}

bool AreFree(int first, int count) {
  for (int port = first; port < first + count; ++port) {
    if (!IsFree(port)) return false;
  }
  return true;
}

}  // namespace

fleet_result<int> FindFreePorts(int count) {
  // Random, so that two harnesses that start at once rarely pick the same
  // ports.
  std::random_device random;
  std::uniform_int_distribution<int> choose(kMinPort, kPortsEnd - count);
  for (int i = 0; i < kAttempts; ++i) {
    const int first = choose(random);
    if (AreFree(first, count)) return first;
  }
  return FleetError("no " + std::to_string(count) + " free ports in a row");
}

}  // namespace pimentohall::testing
