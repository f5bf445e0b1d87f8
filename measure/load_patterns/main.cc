// load_patterns [SEEDS [MODE]]: prints a table of every load pattern, the mean
// over the seeds 1 to SEEDS (default 5). MODE: "pace": upstreams report their
// load; "cost": with cost routing as well.

#include <cstdio>
#include <cstdlib>

#include "load_model/model.h"

namespace pimentohall::testing {
namespace {

void PrintPattern(const load_pattern& pattern, int seeds) {
  double worth = 0;
  double served = 0;
  double worst = 0;
  double wait = 0;
  double in_vain = 0;
  double shed = 0;
  std::map<std::string, class_result> sums;
  for (int seed = 1; seed <= seeds; ++seed) {
    const load_result result =
        RunLoad(pattern, static_cast<std::uint64_t>(seed));
    worth += result.worth / seeds;
    served += result.served / seeds;
    worst += result.worst_window / seeds;
    wait += result.refused_wait_ms / seeds;
    in_vain += result.held_in_vain / seeds;
    shed += result.shed / seeds;
    for (const auto& [name, each] : result.classes) {
      class_result& sum = sums[name];
      sum.asked += each.asked;
      sum.in_aim += each.in_aim;
      sum.late += each.late;
    }
  }
  std::printf("%-30s %6.3f %6.3f %6.3f %8.0f %8.4f %6.4f ",
              pattern.name.c_str(), worth, served, worst, wait, in_vain, shed);
  for (const load_class& each : pattern.classes) {
    const class_result& sum = sums[each.name];
    if (each.per_s <= 0) {
      std::printf(" %s %.2f", each.name.c_str(), sum.Served());
    } else {
      std::printf(" %s %.2f+%.2f", each.name.c_str(),
                  static_cast<double>(sum.in_aim) / sum.asked,
                  static_cast<double>(sum.late) / sum.asked);
    }
  }
  std::printf("\n");
}

}  // namespace
}  // namespace pimentohall::testing

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 5;
  const std::string mode = argc > 2 ? argv[2] : "";
  std::printf("%-30s %6s %6s %6s %8s %8s %6s  %s\n", "pattern", "worth",
              "served", "worst", "wait ms", "in vain", "shed",
              "in aim + late, by kind");
  for (auto& pattern : pimentohall::testing::AllPatterns()) {
    pattern.cost_routing = mode == "cost";
    pattern.reports_load = pattern.cost_routing || mode == "pace";
    pimentohall::testing::PrintPattern(pattern, seeds);
  }
  return 0;
}
