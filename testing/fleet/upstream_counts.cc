#include "fleet/upstream_counts.h"

#include <nlohmann/json.hpp>
#include <sstream>

#include "fleet/http_client.h"

namespace pimentohall::testing {

fleet_result<upstream_counts> ReadCounts(const std::vector<int>& ports) {
  upstream_counts sum;
  for (const int port : ports) {
    const auto body = HttpGet(port, "/admin/counts");
    if (!body) return tl::make_unexpected(body.error());
    const auto counts = nlohmann::json::parse(*body, nullptr, false);
    if (!counts.is_object()) return FleetError("counts are not JSON");
    sum.calls += counts.value("calls", std::uint64_t{0});
    sum.executed += counts.value("executed", std::uint64_t{0});
    sum.shed += counts.value("shed", std::uint64_t{0});
    sum.keys_seen += counts.value("keys_seen", std::uint64_t{0});
    sum.cold_overloads += counts.value("cold_overloads", std::uint64_t{0});
  }
  return sum;
}

fleet_result<std::map<std::string, std::uint64_t>> ReadPosts(
    const std::vector<int>& ports) {
  std::map<std::string, std::uint64_t> posts;
  for (const int port : ports) {
    const auto body = HttpGet(port, "/admin/posts");
    if (!body) return tl::make_unexpected(body.error());
    std::istringstream lines(*body);
    std::string call_id;
    std::uint64_t count = 0;
    while (lines >> call_id >> count) posts[call_id] += count;
  }
  return posts;
}

std::uint64_t CountDoubled(const std::map<std::string, std::uint64_t>& posts) {
  std::uint64_t doubled = 0;
  for (const auto& [call_id, count] : posts) doubled += count - 1;
  return doubled;
}

std::vector<int> UpstreamPorts(fleet* f) {
  std::vector<int> ports;
  for (const fleet_upstream& upstream : f->Upstreams()) {
    ports.push_back(upstream.port);
  }
  return ports;
}

std::vector<int> UpstreamPorts(fleet* f, const std::string& zone) {
  std::vector<int> ports;
  for (const fleet_upstream& upstream : f->Upstreams()) {
    if (f->ZoneOf(upstream) == zone) ports.push_back(upstream.port);
  }
  return ports;
}

}  // namespace pimentohall::testing
