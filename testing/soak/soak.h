#ifndef PIMENTOHALL_TESTING_SOAK_SOAK_H_
#define PIMENTOHALL_TESTING_SOAK_SOAK_H_

// A randomized soak of the daemons as separate processes on loopback. Faults
// are injected from outside them, in series and overlapping, by a seed; the
// promises to callers and upstreams are checked from what both see.
//
//   soak_report report = RunSoak({"build", "/tmp/soak-7", 7});
//   for (const std::string& each : report.violations) ...

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimentohall::testing {

struct soak_options {
  std::string programs;  // Folder of the built programs.
  std::string folder;    // Settings and logs go there.
  std::uint64_t seed = 1;
  int daemons = 6;
  std::chrono::milliseconds length{12000};  // Of the time with faults.
  int calls_per_s = 80;
};

struct soak_report {
  std::vector<std::string> violations;
  std::vector<std::string> faults;  // What was injected, with times.
  std::map<int, int> answers;       // By status; 0: none.
  int calls = 0;
};

soak_report RunSoak(const soak_options& options);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_SOAK_SOAK_H_
