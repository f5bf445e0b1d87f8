// Open-loop load tool: sends calls at times fixed beforehand and prints one
// JSON object with the counts and latencies of each stream and of all.
//
//   load --target 127.0.0.1:20001 --plan plan.txt --seconds 10 --seed 7
//
// Exit codes: 0 done, 2 bad arguments or plan.

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "load/plan.h"
#include "load/runner.h"
#include "load/summary.h"

namespace pimentohall::load {
namespace {

using json = nlohmann::ordered_json;

constexpr int kBadInput = 2;

json ToJson(const tally& t) {
  json statuses = json::object();
  for (const auto& [status, count] : t.by_status) {
    statuses[std::to_string(status)] = count;
  }
  return {{"calls", t.calls},
          {"answered", t.answered},
          {"refused", t.refused},
          {"not_run", t.not_run},
          {"not_sent", t.not_sent},
          {"broken", t.broken},
          {"lost", t.lost},
          {"crossed", t.crossed},
          {"wrong_organisation", t.wrong_organisation},
          {"statuses", std::move(statuses)},
          {"p50_ms", PercentileMs(t, 0.5)},
          {"p99_ms", PercentileMs(t, 0.99)},
          {"p999_ms", PercentileMs(t, 0.999)}};
}

bool ParseTarget(const std::string& text, target* result) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  result->address = text.substr(0, colon);
  result->port = std::atoi(text.c_str() + colon + 1);
  return result->port > 0;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Open-loop load tool", ' ', "0.1.0");
  TCLAP::MultiArg<std::string> targets("", "target", "where calls enter", true,
                                       "address:port", line);
  TCLAP::ValueArg<std::string> plan("", "plan", "file of streams", true, "",
                                    "file", line);
  TCLAP::ValueArg<double> seconds("", "seconds", "length of the run", false, 5,
                                  "seconds", line);
  TCLAP::ValueArg<int> connections("", "connections",
                                   "greatest number for each target", false,
                                   100, "number", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the arrival times",
                                      false, 1, "number", line);
  line.parse(argc, argv);

  run_options options;
  options.connections = connections.getValue();
  options.id_prefix = std::to_string(seed.getValue()) + "-";
  for (const std::string& text : targets.getValue()) {
    target to;
    if (!ParseTarget(text, &to)) {
      std::cerr << "load: bad target '" << text << "', use address:port\n";
      return kBadInput;
    }
    options.targets.push_back(std::move(to));
  }
  std::ifstream file(plan.getValue());
  std::ostringstream text;
  text << file.rdbuf();
  const auto streams = ParsePlan(text.str());
  if (!file || !streams) {
    std::cerr << "load: " << plan.getValue() << ": "
              << (file ? streams.error() : "can't be read") << "\n";
    return kBadInput;
  }
  const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::duration<double>(seconds.getValue()));
  const std::vector<planned_call> calls =
      PlanArrivals(*streams, duration, seed.getValue());
  const std::vector<tally> tallies = Run(options, *streams, calls);

  json by_stream = json::array();
  for (std::size_t i = 0; i < tallies.size(); ++i) {
    json entry = ToJson(tallies[i]);
    entry["organisation"] = (*streams)[i].organisation;
    entry["path"] = (*streams)[i].path;
    by_stream.push_back(std::move(entry));
  }
  json report = ToJson(Sum(tallies));
  report["streams"] = std::move(by_stream);
  std::cout << report.dump() << "\n";
  return 0;
}

}  // namespace
}  // namespace pimentohall::load

int main(int argc, char** argv) { return pimentohall::load::Main(argc, argv); }
