// load_patterns [SEEDS [OPTIONS [FIRST]]]: prints a table of every load
// pattern, the mean over SEEDS seeds (default 5) from FIRST (1) on.
//
// OPTIONS is a comma-separated list: a queue order (aim, newest, set, classes),
// the parts of overload control that are used (retries, gate, pacer), "cost"
// for cost routing, and "reports" for cost routing with load reports; "on": all
// as with the setting overload_control. Default: none.

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <sstream>

#include "load_model/model.h"

namespace pimentohall::testing {
namespace {

// None if the text names an unknown option.
std::optional<load_options> ParseOptions(const std::string& text) {
  static const std::map<std::string, mesh::queue_order> kOrders = {
      {"aim", mesh::queue_order::kEarliestAim},
      {"newest", mesh::queue_order::kNewestFirst},
      {"set", mesh::queue_order::kLargestSet},
      {"classes", mesh::queue_order::kTwoClasses}};
  static const std::map<std::string, bool load_options::*> kParts = {
      {"retries", &load_options::aims_of_retries},
      {"gate", &load_options::gate},
      {"pacer", &load_options::pacer},
      {"cost", &load_options::cost},
      {"reports", &load_options::reports}};
  load_options options;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');) {
    if (word == "on") {
      options = OverloadControl();
    } else if (kOrders.count(word) != 0) {
      options.order = kOrders.at(word);
    } else if (kParts.count(word) != 0) {
      options.*kParts.at(word) = true;
    } else {
      return std::nullopt;
    }
  }
  return options;
}

void PrintPattern(const load_pattern& pattern, int seeds, int first,
                  const load_options& options) {
  double worth = 0;
  double served = 0;
  double worst = 0;
  double wait = 0;
  double in_vain = 0;
  double shed = 0;
  std::map<std::string, class_result> sums;
  for (int seed = first; seed < first + seeds; ++seed) {
    const load_result result =
        RunLoad(pattern, static_cast<std::uint64_t>(seed), options);
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
  const int first = argc > 3 ? std::atoi(argv[3]) : 1;
  const auto options =
      pimentohall::testing::ParseOptions(argc > 2 ? argv[2] : "");
  if (!options) {
    std::cerr << "unknown option in " << argv[2] << "\n";
    return 2;
  }
  std::printf("%-30s %6s %6s %6s %8s %8s %6s  %s\n", "pattern", "worth",
              "served", "worst", "wait ms", "in vain", "shed",
              "in aim + late, by kind");
  for (auto pattern : pimentohall::testing::AllPatterns()) {
    pattern.uses_cost_routing = options->cost || options->reports;
    if (options->reports) {
      pattern.reports = pimentohall::testing::load_reports::kTrue;
    }
    pimentohall::testing::PrintPattern(pattern, seeds, first, *options);
  }
  return 0;
}
