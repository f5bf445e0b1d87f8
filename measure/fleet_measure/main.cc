// Measures a fleet of real processes on loopback and prints the rows of
// docs/measuring.md with their bounds.
//
//   fleet_measure --programs build --out build/measure.jsonl [--quick]
//                 [--only latency]
//
// Exit codes: 0 every row was measured, 1 one could not be measured, 2 bad
// arguments. A value beyond its bound shows in the table only.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>

#include "fleet/child_process.h"
#include "fleet_measure/suite.h"

namespace pimentohall::measure {
namespace {

struct suite {
  const char* name;
  result (*run)(const context& c);
};

constexpr suite kSuites[] = {
    {"latency", MeasureLatency},
    {"resident", MeasureResidentMemory},
    {"changes", MeasureChanges},
    {"faults", MeasureFaults},
    {"planned_stop", MeasurePlannedStop},
    {"source_outage", MeasureSourceOutage},
    {"paused_daemons", MeasurePausedDaemons},
    {"fleet_sizes", MeasureFleetSizes},
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Measures a fleet of processes on loopback", ' ',
                      "0.1.0");
  TCLAP::ValueArg<std::string> programs("", "programs", "the build folder",
                                        false, "build", "folder", line);
  TCLAP::ValueArg<std::string> config(
      "", "config", "configuration of today's deployment", false,
      "examples/tsurumaki", "folder", line);
  TCLAP::ValueArg<std::string> out("", "out", "file to append rows to", false,
                                   "", "file", line);
  TCLAP::MultiArg<std::string> only("", "only", "name of a suite to run", false,
                                    "suite", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the arrival times",
                                      false, 1, "number", line);
  TCLAP::MultiArg<int> processes("", "processes",
                                 "size of a fleet of the suite fleet_sizes",
                                 false, "number", line);
  TCLAP::SwitchArg quick("", "quick", "small sizes and short runs", line);
  line.parse(argc, argv);

  testing::EndChildrenOnSignals();
  row_list rows(out.getValue());
  context c;
  c.programs = programs.getValue();
  c.examples = config.getValue();
  c.quick = quick.getValue();
  c.processes = processes.getValue();
  c.seed = seed.getValue();
  c.rows = &rows;
  const std::vector<std::string>& names = only.getValue();
  for (const suite& s : kSuites) {
    const bool chosen = names.empty() || std::find(names.begin(), names.end(),
                                                   s.name) != names.end();
    if (!chosen) continue;
    const auto begin = steady::now();
    const result done = s.run(c);
    if (!done) rows.AddMissing(s.name, done.error().problem);
    std::cerr << "suite " << s.name << " took " << SecondsSince(begin)
              << " s\n";
  }
  rows.PrintTable();
  return rows.AllMeasured() ? 0 : 1;
}

}  // namespace
}  // namespace pimentohall::measure

int main(int argc, char** argv) {
  return pimentohall::measure::Main(argc, argv);
}
