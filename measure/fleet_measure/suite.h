#ifndef PIMENTOHALL_MEASURE_FLEET_MEASURE_SUITE_H_
#define PIMENTOHALL_MEASURE_FLEET_MEASURE_SUITE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/temporary_folder.h"
#include "rows/rows.h"

namespace pimentohall::measure {

using steady = std::chrono::steady_clock;
using result = testing::fleet_result<void>;

struct context {
  std::string programs;        // The build folder.
  std::string examples;        // Configuration folder of today's deployment.
  bool quick = false;          // Small sizes and short runs.
  std::vector<int> processes;  // Sizes of `fleet_sizes`; empty: the usual.
  std::uint64_t seed = 1;
  row_list* rows = nullptr;
};

// A fleet with the folder of its files.
struct running_fleet {
  std::unique_ptr<testing::temporary_folder> folder;
  std::unique_ptr<testing::fleet> processes;

  testing::fleet* operator->() const { return processes.get(); }
};

// Starts the processes and waits until all daemons are ready. The programs and
// the folder in `options` are filled in.
testing::fleet_result<running_fleet> StartFleet(
    const context& c, testing::configuration documents,
    testing::fleet_options options);

// The same for today's deployment: 12 daemons and 12 upstreams in 3 zones,
// after the 5 s that a newly listed VM waits before it uses its share.
testing::fleet_result<running_fleet> StartTsurumaki(
    const context& c, testing::configuration documents);

std::vector<int> HttpPorts(const running_fleet& f);

double SecondsSince(steady::time_point begin);

// The value at rank `share` * (n - 1), rounded up; 0 for an empty list.
double Percentile(std::vector<double> values, double share);

// Each suite adds its rows, or returns why it could not measure them.
result MeasureLatency(const context& c);
result MeasureResidentMemory(const context& c);
result MeasureChanges(const context& c);
result MeasureFaults(const context& c);
result MeasurePlannedStop(const context& c);
result MeasureFleetSizes(const context& c);
result MeasureSourceOutage(const context& c);
result MeasurePausedDaemons(const context& c);

}  // namespace pimentohall::measure

#endif  // PIMENTOHALL_MEASURE_FLEET_MEASURE_SUITE_H_
