// soak: plays seeds of the randomized soak and fails if a promise was broken.

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>

#include "fleet/child_process.h"
#include "soak/soak.h"

namespace pimentohall::testing {
namespace {

// Returns true if the seed kept every promise.
bool Play(const soak_options& options) {
  const soak_report report = RunSoak(options);
  std::string answers;
  for (const auto& [status, count] : report.answers) {
    answers += " " + std::to_string(status) + ":" + std::to_string(count);
  }
  std::printf("seed %llu: %d calls,%s; %zu faults, %zu violations\n",
              static_cast<unsigned long long>(options.seed), report.calls,
              answers.c_str(), report.faults.size(), report.violations.size());
  for (const std::string& each : report.violations) {
    std::printf("  VIOLATION %s\n", each.c_str());
  }
  if (!report.violations.empty()) {
    for (const std::string& each : report.faults) {
      std::printf("  fault %s\n", each.c_str());
    }
    std::printf("  logs: %s\n", options.folder.c_str());
  } else {
    std::filesystem::remove_all(options.folder);
  }
  std::fflush(stdout);
  return report.violations.empty();
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Randomized soak of daemons under faults");
  TCLAP::ValueArg<std::string> programs("p", "programs", "Folder of programs",
                                        true, "", "DIR", line);
  TCLAP::ValueArg<std::string> logs("k", "logs", "Folder for logs", false,
                                    "/tmp/pimentohall-soak", "DIR", line);
  TCLAP::ValueArg<int> seed("s", "seed", "First seed", false, 1, "N", line);
  TCLAP::ValueArg<int> seeds("n", "seeds", "Seeds to play", false, 1, "N",
                             line);
  TCLAP::ValueArg<int> daemons("d", "daemons", "Daemons", false, 6, "N", line);
  TCLAP::ValueArg<int> seconds("l", "length", "Seconds with faults", false, 12,
                               "S", line);
  line.parse(argc, argv);
  EndChildrenOnSignals();
  int broken = 0;
  const auto first = static_cast<std::uint64_t>(seed.getValue());
  const auto count = static_cast<std::uint64_t>(seeds.getValue());
  for (std::uint64_t number = first; number < first + count; ++number) {
    soak_options options;
    options.programs = programs.getValue();
    options.seed = number;
    options.folder = logs.getValue() + "/" + std::to_string(options.seed) +
                     "-" + std::to_string(getpid());
    options.daemons = daemons.getValue();
    options.length = std::chrono::seconds(seconds.getValue());
    if (!Play(options)) ++broken;
  }
  std::printf("soak: %d of %d seeds broken\n", broken, seeds.getValue());
  return broken == 0 ? 0 : 1;
}

}  // namespace
}  // namespace pimentohall::testing

int main(int argc, char** argv) {
  return pimentohall::testing::Main(argc, argv);
}
