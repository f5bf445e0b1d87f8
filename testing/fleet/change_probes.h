#ifndef PIMENTOHALL_TESTING_FLEET_CHANGE_PROBES_H_
#define PIMENTOHALL_TESTING_FLEET_CHANGE_PROBES_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_error.h"

namespace pimentohall::testing {

// What a probe observed of a change, from its publication to the probe's end.
struct probe_result {
  // Time from the publication to the last observation of the old state; zero
  // if it was not observed after the publication.
  std::chrono::duration<double> last_old{0};
  // Number of observations of the new state.
  std::uint64_t seen_new = 0;
};

// Calls all daemons in turn with a key, each over one persistent connection,
// until `end`. An answer of 401 is the new state, any other answer the old
// state. The time of an observation is that of the answer.
probe_result ProbeKey(const std::vector<int>& http_ports,
                      const std::string& path, const std::string& key,
                      std::chrono::steady_clock::time_point published,
                      std::chrono::steady_clock::time_point end);

// Polls the upstreams' counts until `end`. The old state is observed when any
// of them has counted a new call since the last poll.
fleet_result<probe_result> ProbeCalls(
    const std::vector<int>& upstream_ports,
    std::chrono::steady_clock::time_point published,
    std::chrono::steady_clock::time_point end);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_CHANGE_PROBES_H_
