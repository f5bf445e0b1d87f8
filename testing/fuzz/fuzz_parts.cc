// Any bytes as each kind of part, alone and in a set with sound other parts.

#include <map>
#include <string>

#include "fuzz_check.h"

namespace pimentohall::config {
namespace {

using part_map = std::map<std::string, std::string>;

part_map SoundParts() {
  return {{"zones", R"({"zones":[{"name":"z","region":"r"}]})"},
          {"services/s", R"({"name":"s",
             "routes":[{"name":"r","path_prefix":"/r","methods":["GET"]}],
             "upstreams":[{"name":"u","vm":"v","address":"10.0.0.1",
                           "port":1}]})"}};
}

template <typename T>
void CheckParsed(const tl::expected<T, faults>& parsed, std::string_view text) {
  if (!parsed) CheckFaults(parsed.error(), text);
}

// Each contract route, upstream and key of an accepted set can be looked up.
void CheckSet(const config_set& set) {
  for (const organisation& organisation : set.Organisations()) {
    for (const key_digest& key : organisation.keys) {
      FUZZ_CHECK(set.FindByKeyDigest(key.sha256) == &organisation);
    }
    for (const std::string& route : organisation.limits.routes) {
      FUZZ_CHECK(route == "*" || set.FindRouteByName(route) != nullptr);
      FUZZ_CHECK(set.Allows(organisation, route));
    }
  }
  for (const service& service : set.Services()) {
    FUZZ_CHECK(!service.upstreams.empty());
    for (const route& route : service.routes) {
      FUZZ_CHECK(set.FindRoute(route.methods[0], route.path_prefix) == &route);
    }
  }
}

void AssembleWith(const std::string& name, std::string_view text) {
  part_map parts = SoundParts();
  parts[name] = std::string(text);
  const auto manifest = ParseManifest(BuildManifest(1, parts));
  if (!manifest) return;
  const auto set = AssembleSet(*manifest, PartsByDigest(parts));
  if (set) CheckSet(*set);
}

}  // namespace
}  // namespace pimentohall::config

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace config = pimentohall::config;
  const auto text = config::AsText(data, size);
  const auto zones = config::ParseZones(text, "zones");
  const auto service = config::ParseService(text, "services/x");
  const auto organisation = config::ParseOrganisation(text, "organisations/x");
  config::CheckParsed(zones, text);
  config::CheckParsed(service, text);
  config::CheckParsed(organisation, text);
  if (zones) config::AssembleWith("zones", text);
  if (service) config::AssembleWith("services/" + service->name, text);
  if (organisation) {
    config::AssembleWith("organisations/" + organisation->name, text);
  }
  return 0;
}
