// source_drill: plays drills of a store that comes back from an older copy.
//
//   source_drill --programs build --case eight_writes_lost
//
// Exit code 0: all rules held; 1: not.

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>

#include "drill/drill.h"
#include "fleet/child_process.h"

namespace pimentohall::testing {
namespace {

bool Play(const std::string& name, const drill_options& options) {
  const drill_report report = RunDrill(name, options);
  const bool holds = report.broken.empty();
  std::printf(
      "%s: %s; %d calls, %d served, %d calls to the store (%d in the busiest "
      "second)\n",
      name.c_str(), holds ? "held" : "BROKEN", report.calls, report.served,
      report.store_calls, report.most_store_calls_in_a_second);
  for (const auto& [rule, count] : report.broken) {
    std::printf("  BROKEN %s: %d\n", rule.c_str(), count);
  }
  for (const std::string& note : report.notes) {
    std::printf("  %s\n", note.c_str());
  }
  if (holds) {
    std::filesystem::remove_all(options.folder);
  } else {
    std::printf("  logs: %s\n", options.folder.c_str());
  }
  std::fflush(stdout);
  return holds;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Drills of a store that comes back from an older copy");
  TCLAP::ValueArg<std::string> programs("p", "programs", "Folder of programs",
                                        false, "build", "DIR", line);
  TCLAP::ValueArg<std::string> logs("k", "logs", "Folder for logs", false,
                                    "/tmp/pimentohall-drill", "DIR", line);
  TCLAP::ValueArg<std::string> chosen("c", "case", "Case; all without it",
                                      false, "", "NAME", line);
  TCLAP::SwitchArg list("l", "list", "Print the names of the cases", line);
  TCLAP::ValueArg<int> seed("s", "seed", "Seed, of the addresses", false, 1,
                            "N", line);
  TCLAP::ValueArg<int> daemons("d", "daemons", "Daemons", false, 6, "N", line);
  line.parse(argc, argv);
  if (list.getValue()) {
    for (const std::string& name : DrillCases()) {
      std::printf("%s\n", name.c_str());
    }
    return 0;
  }
  EndChildrenOnSignals();
  bool holds = true;
  for (const std::string& name : DrillCases()) {
    if (!chosen.getValue().empty() && name != chosen.getValue()) continue;
    drill_options options;
    options.programs = programs.getValue();
    options.folder =
        logs.getValue() + "/" + name + "-" + std::to_string(getpid());
    options.seed = static_cast<std::uint64_t>(seed.getValue());
    options.daemons = daemons.getValue();
    holds = Play(name, options) && holds;
  }
  return holds ? 0 : 1;
}

}  // namespace
}  // namespace pimentohall::testing

int main(int argc, char** argv) {
  return pimentohall::testing::Main(argc, argv);
}
