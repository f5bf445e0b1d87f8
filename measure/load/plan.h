#ifndef PIMENTOHALL_MEASURE_LOAD_PLAN_H_
#define PIMENTOHALL_MEASURE_LOAD_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace pimentohall::load {

// One stream of calls: "ORGANISATION KEY RATE METHOD PATH", one a line of the
// plan file. KEY "-" sends no key.
struct stream {
  std::string organisation;
  std::string key;
  double rate_per_s = 0;
  std::string method;
  std::string path;
};

struct planned_call {
  std::chrono::microseconds at{0};  // From the start of the run.
  std::size_t stream = 0;
};

// An error names the line of the plan file.
tl::expected<std::vector<stream>, std::string> ParsePlan(
    const std::string& text);

// All arrival times of the run, fixed beforehand: Poisson arrivals of each
// stream from the seed, merged in order of time.
std::vector<planned_call> PlanArrivals(const std::vector<stream>& streams,
                                       std::chrono::microseconds duration,
                                       std::uint64_t seed);

}  // namespace pimentohall::load

#endif  // PIMENTOHALL_MEASURE_LOAD_PLAN_H_
