#include "fleet/target_config.h"

#include "pimentohall/config.h"

namespace pimentohall::testing {
namespace {

using json = nlohmann::ordered_json;

constexpr int kHttpPort = 7001;
constexpr int kLinkPort = 7101;
constexpr int kUpstreamPort = 7201;
constexpr int kTimeoutMs = 5000;
constexpr int kMaxConnections = 100;

std::string Numbered(const char* name, int number) {
  return name + std::to_string(number);
}

std::string AddressOf(int vm) {
  constexpr int kAddressesPerBlock = 250;
  constexpr int kFirstBlock = 64;
  return "127." + std::to_string(kFirstBlock) + "." +
         std::to_string(vm / kAddressesPerBlock) + "." +
         std::to_string(1 + vm % kAddressesPerBlock);
}

json Zones(const config_size& size) {
  json zones = json::array();
  for (int i = 0; i < size.zones; ++i) {
    zones.push_back({{"name", Numbered("zone-", i)},
                     {"region", Numbered("region-", i % size.regions)},
                     {"state", "in"}});
  }
  return {{"zones", std::move(zones)}};
}

json Route(const std::string& name, const std::string& path, const char* method,
           bool idempotent) {
  return {{"name", name},
          {"path_prefix", path},
          {"methods", json::array({method})},
          {"idempotent", idempotent},
          {"class", "interactive"},
          {"timeout_ms", kTimeoutMs},
          {"open", false}};
}

json Service(const config_size& size, int number) {
  const std::string name = Numbered("service-", number);
  json upstreams = json::array();
  for (int i = number; i < size.upstreams; i += size.services) {
    upstreams.push_back({{"name", Numbered("upstream-", i)},
                         {"vm", Numbered("vm-", i)},
                         {"address", AddressOf(i)},
                         {"port", kUpstreamPort},
                         {"max_connections", kMaxConnections}});
  }
  return {{"name", name},
          {"routes",
           json::array(
               {Route(Numbered("read-", number), "/" + name, "GET", true),
                Route(Numbered("post-", number), "/" + name, "POST", false)})},
          {"upstreams", std::move(upstreams)}};
}

json Organisation(const config_size& size, int number) {
  json keys = json::array();
  for (int i = 0; i < size.keys / size.organisations; ++i) {
    keys.push_back({{"id", Numbered("key-", i)},
                    {"sha256", config::Sha256Hex(GeneratedKey(number, i))}});
  }
  return {{"name", Numbered("org-", number)},
          {"contract",
           {{"rate_per_s", size.rate_per_s},
            {"burst", static_cast<int>(2 * size.rate_per_s)},
            {"max_concurrent", static_cast<int>(size.rate_per_s)},
            {"routes", json::array({"*"})}}},
          {"keys", std::move(keys)}};
}

json Vms(const config_size& size) {
  json vms = json::array();
  for (int i = 0; i < size.upstreams; ++i) {
    // The numbers of a service's upstreams are `services` apart. If that is a
    // multiple of the number of zones, i % zones would put them all in one
    // zone.
    const int zone = (i + i / size.services) % size.zones;
    vms.push_back({{"name", Numbered("vm-", i)},
                   {"zone", Numbered("zone-", zone)},
                   {"address", AddressOf(i)},
                   {"http_port", kHttpPort},
                   {"link_port", kLinkPort},
                   {"state", "live"}});
  }
  return {{"format", 1}, {"version", 1}, {"vms", std::move(vms)}};
}

}  // namespace

void SetLiveVms(configuration* documents, std::size_t live_vms) {
  json& vms = documents->vms;
  vms["version"] = vms["version"].get<int>() + 1;
  std::size_t i = 0;
  for (json& vm : vms["vms"]) vm["state"] = i++ < live_vms ? "live" : "leaving";
}

std::string GeneratedKey(int organisation, int index) {
  return "key-" + std::to_string(organisation) + "-" + std::to_string(index);
}

configuration GenerateConfiguration(const config_size& size) {
  configuration result;
  result.parts["zones"] = Zones(size);
  for (int i = 0; i < size.services; ++i) {
    result.parts[Numbered("services/service-", i)] = Service(size, i);
  }
  for (int i = 0; i < size.organisations; ++i) {
    result.parts[Numbered("organisations/org-", i)] = Organisation(size, i);
  }
  result.vms = Vms(size);
  return result;
}

}  // namespace pimentohall::testing
