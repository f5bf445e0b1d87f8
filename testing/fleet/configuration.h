#ifndef PIMENTOHALL_TESTING_FLEET_CONFIGURATION_H_
#define PIMENTOHALL_TESTING_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "fleet/fleet_error.h"

namespace pimentohall::testing {

// Prefix of the keys in the source.
inline constexpr char kSourcePrefix[] = "pimentohall";

// The documents of a deployment, to be edited and published.
struct configuration {
  std::uint64_t version = 0;  // Of the last publication.
  std::map<std::string, nlohmann::ordered_json> parts;  // By part name.
  nlohmann::ordered_json vms;
};

// Reads a folder as docs/design.md section 4 describes it, with vms.json.
fleet_result<configuration> ReadConfiguration(const std::string& folder);

// Bytes of the parts, by part name.
std::map<std::string, std::string> PartBytes(const configuration& from);

// Adds a key to an organisation, or takes one away. Both take effect with the
// next publication.
void AddKey(configuration* to, const std::string& organisation,
            const std::string& id, const std::string& key);
void WithdrawKey(configuration* from, const std::string& organisation,
                 const std::string& id);
// Sets the state of a zone: "in" or "out".
void SetZoneState(configuration* of, const std::string& zone,
                  const std::string& state);
// Changes the rate of an organisation's contract.
void SetRate(configuration* of, const std::string& organisation,
             double rate_per_s);

// Puts a configuration into the source stand-in: first the parts that it does
// not hold, then the manifest.
class publisher {
 public:
  explicit publisher(int source_admin_port) : port_(source_admin_port) {}

  // Publishes as version `documents->version` + 1, which it sets.
  fleet_result<void> Publish(configuration* documents);
  // Publishes the VM list under the version that it holds.
  fleet_result<void> PublishVms(const configuration& documents);

 private:
  fleet_result<void> Put(const std::string& key, const std::string& bytes);

  int port_;
  std::set<std::string> put_digests_;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_CONFIGURATION_H_
