#ifndef PIMENTOHALL_MEASURE_LOAD_BACKGROUND_H_
#define PIMENTOHALL_MEASURE_LOAD_BACKGROUND_H_

#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "load/runner.h"

namespace pimentohall::load {

// Runs planned calls on a thread of its own while the caller goes on.
class background_load {
 public:
  // Calls enter at these ports of 127.0.0.1 in turn. The seed fixes the arrival
  // times and, with `id_prefix`, the identifiers of the calls.
  background_load(const std::vector<int>& ports, std::vector<stream> streams,
                  std::chrono::milliseconds duration,
                  const std::string& id_prefix, std::uint64_t seed);

  // Waits for the last answer. Call it once.
  tally Finish();

 private:
  run_options options_;
  std::vector<stream> streams_;
  std::vector<planned_call> plan_;
  std::future<std::vector<tally>> run_;
};

// Calls of several organisations of examples/tsurumaki, within their contracts
// and about 150 a second in all.
std::vector<stream> TsurumakiStreams();

}  // namespace pimentohall::load

#endif  // PIMENTOHALL_MEASURE_LOAD_BACKGROUND_H_
