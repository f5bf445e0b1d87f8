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

// The configuration documents of a deployment. Tests edit and publish them.
struct configuration {
  std::uint64_t version = 0;  // Of the last publication.
  std::map<std::string, nlohmann::ordered_json> parts;  // By part name.
  nlohmann::ordered_json vms;
};

// Reads a configuration folder, laid out as in docs/design.md section 4, with
// its vms.json.
fleet_result<configuration> ReadConfiguration(const std::string& folder);

// Bytes of the parts, by part name.
std::map<std::string, std::string> PartBytes(const configuration& documents);

// Adds a key to an organisation, or removes one. Both take effect with the next
// publication.
void AddKey(configuration* documents, const std::string& organisation,
            const std::string& id, const std::string& key);
void WithdrawKey(configuration* documents, const std::string& organisation,
                 const std::string& id);
// Sets the state of a zone: "in" or "out".
void SetZoneState(configuration* documents, const std::string& zone,
                  const std::string& state);
// Changes the rate of an organisation's contract.
void SetRate(configuration* documents, const std::string& organisation,
             double rate_per_s);

// Writes a configuration to the source stand-in: first the parts that it does
// not hold yet, then the manifest.
class publisher {
 public:
  explicit publisher(int source_admin_port) : port_(source_admin_port) {}

  // Publishes as version `documents->version` + 1 and updates that field.
  fleet_result<void> Publish(configuration* documents);
  // Publishes the VM list under the version that the list states.
  fleet_result<void> PublishVms(const configuration& documents);

 private:
  fleet_result<void> Put(const std::string& key, const std::string& bytes);

  int port_;
  std::set<std::string> published_digests_;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_CONFIGURATION_H_
