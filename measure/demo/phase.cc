#include "demo/phase.h"

#include <iomanip>
#include <iostream>
#include <sstream>

#include "load/summary.h"

namespace pimentohall::demo {
namespace {

std::string InForceText(const std::optional<double>& seconds) {
  if (!seconds) return "-";
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << *seconds;
  return text.str();
}

}  // namespace

void PrintPhases(const std::vector<phase>& phases) {
  std::cout << std::left << std::setw(18) << "PHASE" << std::right
            << std::setw(7) << "CALLS" << std::setw(10) << "ANSWERED"
            << std::setw(9) << "REFUSED" << std::setw(9) << "NOT RUN"
            << std::setw(10) << "NOT SENT" << std::setw(6) << "LOST"
            << std::setw(9) << "P50 MS" << std::setw(9) << "P99 MS"
            << std::setw(12) << "IN FORCE S"
            << "  NOTE\n";
  for (const phase& p : phases) {
    std::cout << std::left << std::setw(18) << p.name << std::right
              << std::setw(7) << p.calls.calls << std::setw(10)
              << p.calls.answered << std::setw(9) << p.calls.refused
              << std::setw(9) << p.calls.not_run << std::setw(10)
              << p.calls.not_sent << std::setw(6) << p.lost << std::fixed
              << std::setprecision(2) << std::setw(9)
              << load::PercentileMs(p.calls, 0.5) << std::setw(9)
              << load::PercentileMs(p.calls, 0.99) << std::setw(12)
              << InForceText(p.in_force_s) << "  " << p.note << "\n";
  }
}

}  // namespace pimentohall::demo
