// mirror_model: plays seeded schedules of the mirror model.
//
//   mirror_model --seed 1 --seeds 2000
//
// Exit code 0: every schedule kept the rules; 1: not.

#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdio>

#include "mirror_model/model.h"
#include "pimentohall/net.h"

namespace pimentohall::testing {
namespace {

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Schedules of a source and daemons in virtual time");
  TCLAP::ValueArg<int> seed("s", "seed", "First seed", false, 1, "N", line);
  TCLAP::ValueArg<int> seeds("n", "seeds", "Seeds to play", false, 100, "N",
                             line);
  TCLAP::ValueArg<int> daemons("d", "daemons", "Daemons", false, 5, "N", line);
  TCLAP::SwitchArg hide("", "hide-eras", "Withhold the era from the daemons",
                        line);
  TCLAP::SwitchArg none("", "no-eras", "The source never comes back older",
                        line);
  TCLAP::SwitchArg slow("", "slow-operators",
                        "Operators make lost changes again slowly", line);
  TCLAP::SwitchArg trace("t", "trace", "Write what happens", line);
  TCLAP::SwitchArg log("", "log", "Write the daemons' logs", line);
  line.parse(argc, argv);
  if (!log.getValue()) net::SetLogLevel(core::log_level::kError);
  const auto began = std::chrono::steady_clock::now();
  int broken = 0;
  int returns = 0;
  for (int i = 0; i < seeds.getValue(); ++i) {
    model_options options;
    options.seed = static_cast<std::uint64_t>(seed.getValue()) +
                   static_cast<std::uint64_t>(i);
    options.daemons = daemons.getValue();
    options.eras = !none.getValue();
    options.hide_eras = hide.getValue();
    options.trace = trace.getValue();
    options.slow_operators = slow.getValue();
    const model_report report = RunMirrorModel(options);
    returns += report.returns;
    if (report.violations.empty()) continue;
    ++broken;
    std::printf("seed %d: %zu violations\n", seed.getValue() + i,
                report.violations.size());
    for (const std::string& each : report.violations) {
      std::printf("  %s\n", each.c_str());
    }
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - began;
  std::printf("mirror_model: %d of %d seeds broken, %d returns, %.0f s\n",
              broken, seeds.getValue(), returns, took.count());
  return broken == 0 ? 0 : 1;
}

}  // namespace
}  // namespace pimentohall::testing

int main(int argc, char** argv) {
  return pimentohall::testing::Main(argc, argv);
}
