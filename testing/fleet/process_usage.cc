#include "fleet/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>

namespace pimentohall::testing {
namespace {

constexpr double kKbPerMb = 1024;

// Sums fields 14 and 15 of proc(5) stat. The name in field 2 may contain
// spaces, so the fields are counted from its closing parenthesis.
bool ParseCpuTicks(const std::string& stat, double* ticks) {
  constexpr int kSkippedFields = 11;  // From the state to cmajflt.
  std::istringstream words(stat.substr(stat.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kSkippedFields; ++i) words >> skipped;
  double user = 0;
  double system = 0;
  words >> user >> system;
  *ticks = user + system;
  return !words.fail();
}

bool ParseResidentKb(std::istream& status, double* kb) {
  std::string line;
  while (std::getline(status, line)) {
    if (line.compare(0, 6, "VmRSS:") != 0) continue;
    std::istringstream words(line.substr(6));
    words >> *kb;
    return !words.fail();
  }
  return false;
}

}  // namespace

fleet_result<process_usage> ReadUsage(pid_t id) {
  const std::string folder = "/proc/" + std::to_string(id);
  std::ifstream stat(folder + "/stat");
  std::ostringstream text;
  text << stat.rdbuf();
  std::ifstream status(folder + "/status");
  double ticks = 0;
  double kb = 0;
  if (!ParseCpuTicks(text.str(), &ticks) || !ParseResidentKb(status, &kb)) {
    return FleetError(folder + " can't be read; has the process ended?");
  }
  process_usage usage;
  usage.cpu_s = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.resident_mb = kb / kKbPerMb;
  return usage;
}

}  // namespace pimentohall::testing
