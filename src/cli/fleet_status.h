#ifndef PIMENTOHALL_CLI_FLEET_STATUS_H_
#define PIMENTOHALL_CLI_FLEET_STATUS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimentohall::cli {

// The state that one daemon reports.
struct daemon_status {
  std::string address;
  std::string error;  // Empty if it answered.
  std::string vm;
  std::string zone;
  bool ready = false;
  bool stopping = false;
  std::uint64_t version = 0;
  std::string digest;
  std::int64_t age_ms =
      -1;  // Time since the source last confirmed the configuration; -1: never.
  std::uint64_t refused_sets = 0;
};

struct zone_status {
  int daemons = 0;
  int ready = 0;
  int behind = 0;  // Daemons below the newest version of the fleet.
  std::uint64_t oldest = 0;
  std::int64_t max_age_ms = -1;
};

struct fleet_status {
  std::vector<daemon_status> daemons;
  std::map<std::string, zone_status> zones;
  std::uint64_t newest = 0;
  int unreachable = 0;
  int behind = 0;
};

daemon_status QueryDaemon(const std::string& address);
fleet_status QueryFleet(const std::vector<std::string>& addresses);

// Returns the exit code that reports the state of the fleet.
int ExitCodeFor(const fleet_status& fleet);

std::string StatusTable(const fleet_status& fleet);
std::string StatusJson(const fleet_status& fleet);

}  // namespace pimentohall::cli

#endif  // PIMENTOHALL_CLI_FLEET_STATUS_H_
