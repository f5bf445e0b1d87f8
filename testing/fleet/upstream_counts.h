#ifndef PIMENTOHALL_TESTING_FLEET_UPSTREAM_COUNTS_H_
#define PIMENTOHALL_TESTING_FLEET_UPSTREAM_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/fleet_error.h"

namespace pimentohall::testing {

// Counts of upstream stand-ins, summed over those that were read.
struct upstream_counts {
  std::uint64_t calls = 0;
  std::uint64_t executed = 0;
  std::uint64_t shed = 0;
  std::uint64_t keys_seen = 0;
  std::uint64_t cold_overloads = 0;
};

fleet_result<upstream_counts> ReadCounts(const std::vector<int>& ports);

// Returns how often each POST call was executed, by call id and summed over the
// upstreams. A call that ran once on each of two upstreams counts twice.
fleet_result<std::map<std::string, std::uint64_t>> ReadPosts(
    const std::vector<int>& ports);

// Returns the number of executions beyond the first of each call.
std::uint64_t CountDoubled(const std::map<std::string, std::uint64_t>& posts);

// Ports of all upstreams, or of those in a zone. An upstream on a VM without a
// daemon is in no zone.
std::vector<int> UpstreamPorts(fleet* f);
std::vector<int> UpstreamPorts(fleet* f, const std::string& zone);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_UPSTREAM_COUNTS_H_
