#include "rows/rows.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace pimentohall::measure {
namespace {

struct bound_entry {
  const char* name;
  const char* unit;
  double bound;
  bound_kind kind;
};

// docs/design.md section 14.
constexpr bound_entry kBounds[] = {
    {"added_latency_p99_ms", "ms", 1.1, bound_kind::kMax},
    {"proxy_cpu_ratio", "ratio", 3, bound_kind::kMax},
    {"decision_cost_ratio", "ratio", 2, bound_kind::kMax},
    {"change_cost_ratio", "ratio", 2, bound_kind::kMax},
    {"convergence_p99_s", "s", 4, bound_kind::kMax},
    {"control_bytes_per_s", "bytes/s", 6144, bound_kind::kMax},
    {"control_cpu_percent", "%", 1.3, bound_kind::kMax},
    {"resident_mb", "MB", 128, bound_kind::kMax},
    {"source_reads_per_s", "reads/s", 2000, bound_kind::kMax},
    {"zone_leave_s", "s", 4, bound_kind::kMax},
    {"key_withdrawal_s", "s", 4, bound_kind::kMax},
    {"zone_move_success", "share", 0.999, bound_kind::kMin},
    {"worst_organisation_share", "share", 0.95, bound_kind::kMin},
    {"overshoot_calls", "calls", 0, bound_kind::kMax},
    {"busy_wakes", "ticks", 0, bound_kind::kMax},
    {"lost_calls", "calls", 0, bound_kind::kMax},
    {"doubled_calls", "calls", 0, bound_kind::kMax},
    {"false_not_run", "calls", 0, bound_kind::kMax},
    {"crossed_answers", "calls", 0, bound_kind::kMax},
    {"cut_by_planned_stop", "calls", 0, bound_kind::kMax},
    // Invariants 1 and 15: no daemon goes back to an older configuration.
    {"version_regressions", "reports", 0, bound_kind::kMax},
};

row MakeRow(const std::string& name) {
  row result;
  result.name = name;
  result.kind = bound_kind::kNone;
  for (const bound_entry& entry : kBounds) {
    if (name != entry.name) continue;
    result.unit = entry.unit;
    result.bound = entry.bound;
    result.kind = entry.kind;
  }
  return result;
}

const char* KindName(bound_kind kind) {
  switch (kind) {
    case bound_kind::kMax:
      return "max";
    case bound_kind::kMin:
      return "min";
    case bound_kind::kNone:
      break;
  }
  return "none";
}

std::string ToJsonLine(const row& r) {
  nlohmann::ordered_json line = {
      {"name", r.name}, {"value", r.value}, {"unit", r.unit}};
  line["bound"] = nullptr;
  if (r.bound) line["bound"] = *r.bound;
  line["bound_is"] = KindName(r.kind);
  line["size"] = r.size;
  line["seed"] = r.seed;
  return line.dump();
}

}  // namespace

bool row::Passes() const {
  if (!bound) return true;
  return kind == bound_kind::kMin ? value >= *bound : value <= *bound;
}

void row_list::Add(const std::string& name, double value,
                   const std::string& size, std::uint64_t seed) {
  row r = MakeRow(name);
  r.value = value;
  r.size = size;
  r.seed = seed;
  if (!file_.empty()) {
    std::ofstream(file_, std::ios::app) << ToJsonLine(r) << "\n";
  }
  std::cerr << "measured " << name << " = " << value << " (" << size << ")\n";
  rows_.push_back(std::move(r));
}

void row_list::AddMissing(const std::string& name, const std::string& why) {
  std::cerr << "not measured: " << name << ": " << why << "\n";
  missing_.push_back({name, why});
}

void row_list::PrintTable() const {
  std::cout << std::left << std::setw(23) << "MEASURE" << std::right
            << std::setw(12) << "VALUE" << std::setw(10) << "BOUND"
            << "  " << std::left << std::setw(9) << "UNIT" << std::setw(8)
            << "VERDICT"
            << "SIZE\n";
  for (const row& r : rows_) {
    std::cout << std::left << std::setw(23) << r.name << std::right
              << std::setw(12) << r.value << std::setw(10);
    if (r.bound) {
      std::cout << *r.bound;
    } else {
      std::cout << "-";
    }
    std::cout << "  " << std::left << std::setw(9) << r.unit << std::setw(8)
              << (!r.bound     ? "-"
                  : r.Passes() ? "pass"
                               : "FAIL")
              << r.size << "\n";
  }
  for (const missing_row& r : missing_) {
    std::cout << std::left << std::setw(23) << r.name
              << "NOT MEASURED: " << r.why << "\n";
  }
}

}  // namespace pimentohall::measure
