#ifndef PIMENTOHALL_SIM_SCENARIO_H_
#define PIMENTOHALL_SIM_SCENARIO_H_

// A small language for scripted failures in virtual time. A scenario is a text
// file with one statement a line; '#' starts a comment.
//
//   deployment tsurumaki            # parts and VM list of examples/NAME
//   seed 7
//   start all                       # at time 0
//   at 3s load org=yamaga rate=20 path=/counter/balance until=20s
//   at 5s kill vm-a1
//   at 9s start vm-a1
//   run 25s
//   expect lost == 0
//   expect success >= 0.99
//
// docs/scenarios.md lists every statement and measure.

#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "sim/world.h"

namespace pimentohall::sim {

// A fault in a scenario file; `line` is 1-based.
struct scenario_error {
  int line = 0;
  std::string problem;
};

// The files that a scenario needs, read by the caller.
struct deployment_files {
  std::map<std::string, std::string> parts;  // Part name -> bytes.
  std::string vms;
};

// Outcome of one `expect` statement.
struct expectation {
  int line = 0;
  std::string text;
  double value = 0;
  bool holds = false;
};

class scenario {
 public:
  using deployments = std::map<std::string, deployment_files>;

  // Runs the statements in order. The same text gives the same result.
  static tl::expected<scenario, scenario_error> Run(
      const std::string& text, const deployments& deployments);

  const std::vector<expectation>& Expectations() const { return expectations_; }
  // What was seen, for golden files; empty without `record`.
  const std::string& Session() const { return session_; }
  bool Holds() const;

  // All measures at the end of the run.
  const std::map<std::string, double>& Measures() const;
  // Value of one of them; 0 if it is not there.
  double Measure(const std::string& name) const;

 private:
  friend class scenario_run;
  std::vector<expectation> expectations_;
  std::string session_;
  std::map<std::string, double> measures_;
};

}  // namespace pimentohall::sim

#endif  // PIMENTOHALL_SIM_SCENARIO_H_
