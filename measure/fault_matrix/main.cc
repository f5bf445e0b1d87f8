// Runs every fault alone and every pair of faults, for both deployments, in
// virtual time, and writes rows: the invariants as totals over the matrix, and
// the wrongful refusals of each fault.
//
//   fault_matrix --examples examples --out build/measure.jsonl
//   fault_matrix --examples examples --only tsurumaki:partition+pause
//
// The verdict depends on the seed only. Exit codes: 0 measured, 1 a scenario is
// faulty, 2 bad arguments.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <thread>

#include "fault_matrix/faults.h"
#include "rows/rows.h"
#include "sim/deployment_files.h"
#include "sim/scenario.h"

namespace pimentohall::measure {
namespace {

struct cell {
  const deployment* where = nullptr;
  std::vector<const fault*> faults;
  std::string text;
  std::map<std::string, double> measures;
  std::string problem;  // Not empty: the scenario is faulty.

  std::string Name() const {
    std::string name = where->name + ":";
    for (std::size_t i = 0; i < faults.size(); ++i) {
      name += (i == 0 ? "" : "+") + faults[i]->name;
    }
    return faults.empty() ? name + "none" : name;
  }
};

// Invariants that hold for the sum over the matrix.
constexpr const char* kTotals[] = {"overshoot_calls",     "lost_calls",
                                   "doubled_calls",       "false_not_run",
                                   "crossed_answers",     "cut_by_planned_stop",
                                   "version_regressions", "busy_wakes"};

// Rows that one fault alone gives.
struct fault_row {
  const char* fault;
  const char* row;
  const char* measure;
};
constexpr fault_row kFaultRows[] = {
    {"zone_out", "zone_move_success", "success"},
    {"key_withdrawal", "key_withdrawal_s", "key_withdrawal_s"},
    {"five_times_rate", "worst_organisation_share", "worst_organisation_share"},
};

std::vector<cell> MakeCells(std::uint64_t seed) {
  std::vector<cell> cells;
  for (const deployment& d : Deployments()) {
    cells.push_back({&d, {}, ScenarioText(d, {}, seed), {}, ""});
    const std::vector<fault>& faults = Faults();
    for (std::size_t i = 0; i < faults.size(); ++i) {
      cells.push_back(
          {&d, {&faults[i]}, ScenarioText(d, {&faults[i]}, seed), {}, ""});
      for (std::size_t k = i + 1; k < faults.size(); ++k) {
        const std::vector<const fault*> pair = {&faults[i], &faults[k]};
        cells.push_back({&d, pair, ScenarioText(d, pair, seed), {}, ""});
      }
    }
  }
  return cells;
}

void RunCell(const sim::scenario::deployments& files, cell* c) {
  const auto run = sim::scenario::Run(c->text, files);
  if (run) {
    c->measures = run->Measures();
  } else {
    c->problem =
        "line " + std::to_string(run.error().line) + ": " + run.error().problem;
  }
}

// Scenarios share nothing, so the order in which threads take them has no
// effect on the results.
void RunAll(const sim::scenario::deployments& files, int threads,
            std::vector<cell>* cells) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(threads));
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&] {
      for (std::size_t k = next++; k < cells->size(); k = next++) {
        RunCell(files, &(*cells)[k]);
      }
    });
  }
  for (std::thread& worker : workers) worker.join();
}

// Prints each cell that breaks an invariant, with what it broke.
void PrintBroken(const std::vector<cell>& cells) {
  for (const cell& c : cells) {
    std::ostringstream broken;
    for (const char* name : kTotals) {
      const double value = c.measures.at(name);
      if (value != 0) broken << " " << name << "=" << value;
    }
    if (!broken.str().empty()) {
      std::cout << "broken " << c.Name() << ":" << broken.str() << "\n";
    }
  }
}

void AddRows(const std::vector<cell>& cells, std::uint64_t seed,
             row_list* rows) {
  for (const deployment& d : Deployments()) {
    std::size_t count = 0;
    std::map<std::string, double> totals;
    for (const cell& c : cells) {
      if (c.where != &d) continue;
      ++count;
      for (const char* name : kTotals) totals[name] += c.measures.at(name);
      if (c.faults.size() > 1) continue;
      const std::string size = c.Name() + ", virtual time";
      rows->Add("wrongful_refusals_ppm", c.measures.at("wrongful_refusals_ppm"),
                size, seed);
      for (const fault_row& r : kFaultRows) {
        if (c.faults.empty() || c.faults[0]->name != r.fault) continue;
        rows->Add(r.row, c.measures.at(r.measure), size, seed);
      }
    }
    for (const char* name : kTotals) {
      rows->Add(name, totals[name],
                d.name + ", sum over " + std::to_string(count) +
                    " scenarios, virtual time",
                seed);
    }
  }
}

int Main(int argc, char** argv) {
  constexpr int kBadArguments = 2;
  TCLAP::CmdLine line("Fault matrix in virtual time", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> examples(
      "", "examples", "folder of the deployments", true, "", "folder", line);
  TCLAP::ValueArg<std::string> out("", "out", "file of rows", false, "", "file",
                                   line);
  TCLAP::ValueArg<std::string> only("", "only", "one cell of the matrix", false,
                                    "", "deployment:fault+fault", line);
  TCLAP::ValueArg<int> threads("", "threads", "scenarios run at once", false, 8,
                               "number", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of every scenario",
                                      false, 1, "number", line);
  line.parse(argc, argv);

  const sim::scenario::deployments files =
      sim::ReadDeployments(examples.getValue());
  std::vector<cell> cells = MakeCells(seed.getValue());
  if (only.isSet()) {
    cells.erase(std::remove_if(
                    cells.begin(), cells.end(),
                    [&](const cell& c) { return c.Name() != only.getValue(); }),
                cells.end());
  }
  if (cells.empty()) {
    std::cerr << "fault_matrix: no such cell\n";
    return kBadArguments;
  }
  RunAll(files, threads.getValue(), &cells);
  for (const cell& c : cells) {
    if (c.problem.empty()) continue;
    std::cerr << c.Name() << ": " << c.problem << "\n";
    return 1;
  }
  PrintBroken(cells);
  if (only.isSet()) {
    std::cout << cells[0].text;
    for (const auto& [name, value] : cells[0].measures) {
      std::cout << name << " " << value << "\n";
    }
    return 0;
  }
  row_list rows(out.getValue());
  AddRows(cells, seed.getValue(), &rows);
  rows.PrintTable();
  return 0;
}

}  // namespace
}  // namespace pimentohall::measure

int main(int argc, char** argv) {
  return pimentohall::measure::Main(argc, argv);
}
