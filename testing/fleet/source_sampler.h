#ifndef PIMENTOHALL_TESTING_FLEET_SOURCE_SAMPLER_H_
#define PIMENTOHALL_TESTING_FLEET_SOURCE_SAMPLER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <thread>

#include "fleet/fleet_error.h"

namespace pimentohall::testing {

struct source_counts {
  std::uint64_t reads = 0;
  std::uint64_t refused = 0;
  std::uint64_t waiting = 0;
};

fleet_result<source_counts> ReadSourceCounts(int admin_port);

// Polls the source stand-in's counts on its own thread until it is destroyed or
// `Peak` is called.
class source_sampler {
 public:
  explicit source_sampler(int admin_port);
  ~source_sampler();
  source_sampler(const source_sampler&) = delete;
  source_sampler& operator=(const source_sampler&) = delete;

  // Ends the sampling, waits until its thread has ended, and returns the
  // maximum number of reads within any second, where each waiting watch counts
  // as one read.
  double Peak();

 private:
  struct sample {
    std::chrono::steady_clock::time_point time;
    std::uint64_t reads = 0;
  };

  void Run();
  void AddSample(const source_counts& counts);

  int port_;
  std::deque<sample> last_second_;
  double peak_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_SOURCE_SAMPLER_H_
