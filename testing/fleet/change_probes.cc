#include "fleet/change_probes.h"

#include <thread>

#include "fleet/http_client.h"
#include "fleet/upstream_counts.h"

namespace pimentohall::testing {
namespace {

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCallTimeout(5000);
// Keeps the probe's calls below the contract rate of a large organisation.
constexpr std::chrono::milliseconds kCallInterval(5);
constexpr std::chrono::milliseconds kPollInterval(25);
constexpr int kUnauthorized = 401;

}  // namespace

probe_result ProbeKey(const std::vector<int>& http_ports,
                      const std::string& path, const std::string& key,
                      steady::time_point published, steady::time_point end) {
  std::vector<http_client> clients;
  clients.reserve(http_ports.size());
  for (const int port : http_ports) clients.emplace_back(port, kCallTimeout);
  probe_result result;
  for (std::size_t i = 0; steady::now() < end; ++i) {
    const auto reply = clients[i % clients.size()].Send(
        {"GET", path, "", {{"Authorization", "Bearer " + key}}});
    if (reply && reply->status == kUnauthorized) {
      ++result.seen_new;
    } else if (reply) {
      result.last_old = steady::now() - published;
    }
    std::this_thread::sleep_for(kCallInterval);
  }
  return result;
}

fleet_result<probe_result> ProbeCalls(const std::vector<int>& upstream_ports,
                                      steady::time_point published,
                                      steady::time_point end) {
  probe_result result;
  auto previous = ReadCounts(upstream_ports);
  while (previous && steady::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
    auto counts = ReadCounts(upstream_ports);
    if (!counts) return tl::make_unexpected(counts.error());
    if (counts->calls == previous->calls) {
      ++result.seen_new;
    } else {
      result.last_old = steady::now() - published;
    }
    previous = counts;
  }
  if (!previous) return tl::make_unexpected(previous.error());
  return result;
}

}  // namespace pimentohall::testing
