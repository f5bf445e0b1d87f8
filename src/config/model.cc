#include <algorithm>
#include <tuple>

#include "pimentohall/config.h"

namespace pimentohall::config {

bool operator==(const zone& a, const zone& b) {
  return std::tie(a.name, a.region, a.state) ==
         std::tie(b.name, b.region, b.state);
}

bool operator==(const route& a, const route& b) {
  return std::tie(a.name, a.service, a.path_prefix, a.methods, a.idempotent,
                  a.traffic_class, a.timeout_ms, a.open) ==
         std::tie(b.name, b.service, b.path_prefix, b.methods, b.idempotent,
                  b.traffic_class, b.timeout_ms, b.open);
}

bool operator==(const upstream& a, const upstream& b) {
  return std::tie(a.name, a.service, a.vm, a.address, a.port,
                  a.max_connections) == std::tie(b.name, b.service, b.vm,
                                                 b.address, b.port,
                                                 b.max_connections);
}

bool operator==(const service& a, const service& b) {
  return std::tie(a.name, a.routes, a.upstreams, a.health_path, a.load_path) ==
         std::tie(b.name, b.routes, b.upstreams, b.health_path, b.load_path);
}

bool operator==(const contract& a, const contract& b) {
  return std::tie(a.rate_per_s, a.burst, a.max_concurrent, a.routes) ==
         std::tie(b.rate_per_s, b.burst, b.max_concurrent, b.routes);
}

bool operator==(const key_digest& a, const key_digest& b) {
  return std::tie(a.id, a.sha256) == std::tie(b.id, b.sha256);
}

bool operator==(const organisation& a, const organisation& b) {
  return std::tie(a.name, a.limits, a.keys) ==
         std::tie(b.name, b.limits, b.keys);
}

bool operator==(const part_ref& a, const part_ref& b) {
  return std::tie(a.name, a.sha256, a.bytes) ==
         std::tie(b.name, b.sha256, b.bytes);
}

bool operator==(const manifest& a, const manifest& b) {
  return std::tie(a.version, a.digest, a.parts) ==
         std::tie(b.version, b.digest, b.parts);
}

bool operator==(const vm& a, const vm& b) {
  return std::tie(a.name, a.zone, a.address, a.http_port, a.link_port,
                  a.state) ==
         std::tie(b.name, b.zone, b.address, b.http_port, b.link_port, b.state);
}

bool operator==(const vm_list& a, const vm_list& b) {
  return std::tie(a.version, a.digest, a.vms) ==
         std::tie(b.version, b.digest, b.vms);
}

bool operator==(const change& a, const change& b) {
  return std::tie(a.kind, a.subject, a.detail) ==
         std::tie(b.kind, b.subject, b.detail);
}

const vm* vm_list::Find(std::string_view name) const {
  const auto found = std::lower_bound(
      vms.begin(), vms.end(), name,
      [](const vm& vm, std::string_view key) { return vm.name < key; });
  return found != vms.end() && found->name == name ? &*found : nullptr;
}

}  // namespace pimentohall::config
