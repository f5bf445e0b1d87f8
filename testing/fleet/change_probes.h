#ifndef PIMENTOHALL_TESTING_FLEET_CHANGE_PROBES_H_
#define PIMENTOHALL_TESTING_FLEET_CHANGE_PROBES_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_error.h"

namespace pimentohall::testing {

// What was seen of a change from its publication to the end of the probe.
struct probe_result {
  // From the publication to the last sign of the old state; zero if there was
  // none after the publication.
  std::chrono::duration<double> last_old{0};
  // Signs of the new state.
  std::uint64_t seen_new = 0;
};

// Calls all daemons in turn with a key, each over one kept connection, until
// `end`. The old state is any answer but 401. A call counts with the time of
// its answer.
probe_result ProbeKey(const std::vector<int>& http_ports,
                      const std::string& path, const std::string& key,
                      std::chrono::steady_clock::time_point published,
                      std::chrono::steady_clock::time_point end);

// Reads the upstreams' counts again and again until `end`. The old state is a
// new call at one of them.
fleet_result<probe_result> ProbeCalls(
    const std::vector<int>& upstream_ports,
    std::chrono::steady_clock::time_point published,
    std::chrono::steady_clock::time_point end);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_CHANGE_PROBES_H_
