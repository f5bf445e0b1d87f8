#ifndef PIMENTOHALL_TESTING_DRILL_DRILL_H_
#define PIMENTOHALL_TESTING_DRILL_DRILL_H_

// Drills: the store goes away for a moment and comes back from a copy some
// seconds old, while daemons, as processes of their own, serve callers. Each
// case is a script of what the operator, the upstreams and the machines do.
// Checked throughout: what the operator and the upstreams were told is in force
// (routes, keys, leavings, zones) within its bound, no daemon goes back to an
// older configuration, and the store isn't flooded.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimentohall::testing {

struct drill_report {
  std::map<std::string, int> broken;  // Calls, by the rule that they broke.
  int calls = 0;
  int served = 0;
  int store_calls = 0;
  int most_store_calls_in_a_second = 0;
  std::vector<std::string> notes;  // The first cases of each rule.
};

struct drill_options {
  std::string programs;  // Folder of the built programs.
  std::string folder;    // Settings and logs go there.
  std::uint64_t seed = 1;
  int daemons = 6;
};

std::vector<std::string> DrillCases();
drill_report RunDrill(const std::string& name, const drill_options& options);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_DRILL_DRILL_H_
