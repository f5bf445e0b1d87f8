#ifndef PIMENTOHALL_MEASURE_LOAD_RUNNER_H_
#define PIMENTOHALL_MEASURE_LOAD_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/plan.h"

namespace pimentohall::load {

struct target {
  std::string address;
  int port = 0;
};

struct run_options {
  std::vector<target> targets;  // Taken in turn.
  int connections = 100;        // Greatest number for each target.
  std::chrono::seconds answer_timeout{10};
  std::string id_prefix;  // Makes call identifiers unique over runs.
};

struct tally {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;  // 2xx.
  std::uint64_t refused = 0;   // Any other status.
  std::uint64_t not_run = 0;   // Of those, marked "not run".
  std::uint64_t not_sent = 0;  // The target accepted no connection.
  std::uint64_t broken = 0;    // The connection was closed before the answer.
  std::uint64_t lost = 0;      // No answer within the timeout.
  std::uint64_t crossed = 0;   // The answer carries another call's id.
  std::uint64_t wrong_organisation = 0;
  std::map<int, std::uint64_t> by_status;
  std::vector<std::uint32_t> latencies_us;  // Of answered calls.
  std::vector<std::string> not_run_ids;     // Of calls marked "not run".
};

// Sends every planned call at its time, whatever the earlier ones do, and
// counts its latency from the planned time. One tally for each stream.
std::vector<tally> Run(const run_options& options,
                       const std::vector<stream>& streams,
                       const std::vector<planned_call>& calls);

}  // namespace pimentohall::load

#endif  // PIMENTOHALL_MEASURE_LOAD_RUNNER_H_
