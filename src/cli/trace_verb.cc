// The verb trace, which follows one call through the logs of several VMs.

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/call_trace.h"
#include "cli/command_line.h"
#include "cli/verbs.h"

namespace pimentohall::cli {
namespace {

// The cause of an outcome is usually logged within seconds of the call.
constexpr double kDefaultWindowS = 2;

void PrintLine(const trace_line& line) {
  std::cout << (line.belongs_to_call ? "* " : "  ") << line.time << " "
            << line.source << " " << line.message;
  for (const auto& [name, value] : line.fields) {
    std::cout << " " << name << "=" << value;
  }
  std::cout << "\n";
}

void PrintJson(const call_trace& trace) {
  nlohmann::ordered_json lines = nlohmann::ordered_json::array();
  for (const trace_line& entry : trace.lines) {
    nlohmann::ordered_json fields = nlohmann::ordered_json::object();
    for (const auto& [name, value] : entry.fields) fields[name] = value;
    lines.push_back({{"source", entry.source},
                     {"time", entry.time},
                     {"level", entry.level},
                     {"message", entry.message},
                     {"of_call", entry.belongs_to_call},
                     {"fields", fields}});
  }
  const nlohmann::ordered_json report = {
      {"verdict", trace.Verdict()},
      {"lines", lines},
      {"unreadable_lines", trace.unreadable}};
  std::cout << report.dump(2) << "\n";
}

}  // namespace

int RunTrace(arguments args) {
  command_line line(
      "Merges the log lines of several daemons on one call, the calls made "
      "while it ran, and how the daemons' state changed around it. Times are "
      "those of each VM's clock");
  TCLAP::UnlabeledValueArg<std::string> request("request", "id of the call",
                                                true, "", "ID", line);
  TCLAP::UnlabeledMultiArg<std::string> logs(
      "log", "standard output of a daemon, one file for each VM", true, "LOG",
      line);
  TCLAP::ValueArg<double> window(
      "", "around",
      "seconds around the call in which lines without a call are shown", false,
      kDefaultWindowS, "seconds", line);
  line.parse(args);

  trace_builder builder(request.getValue(), window.getValue());
  for (const std::string& path : logs.getValue()) {
    std::ifstream log(path);
    if (!log) {
      std::cerr << "pimentohall: " << path << ": can't be read\n";
      return kFileError;
    }
    builder.Read(path, log);
  }
  const call_trace trace = builder.Build();
  if (line.Json()) {
    PrintJson(trace);
  } else {
    for (const trace_line& entry : trace.lines) PrintLine(entry);
    if (trace.unreadable > 0) {
      std::cerr << "pimentohall: " << trace.unreadable
                << " lines are not log lines\n";
    }
  }
  if (trace.End() == nullptr) {
    std::cerr << "pimentohall: no line reports how " << request.getValue()
              << " ended\n";
    return kFaulty;
  }
  if (!line.Json()) std::cout << trace.Verdict() << "\n";
  return kOk;
}

}  // namespace pimentohall::cli
