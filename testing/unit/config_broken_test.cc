#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <sstream>

#include "unit/config_files.h"

namespace pimentohall::config {
namespace {

// All faults that are reported to an operator before publishing a folder.
faults FindFaults(const test_folder& folder) {
  const auto set = AssembleParts(folder.parts);
  const auto vms = ParseVmList(folder.vms);
  if (set && vms) return CheckVms(*set, *vms);
  faults found;
  if (!set) found = set.error();
  if (!vms) found.insert(found.end(), vms.error().begin(), vms.error().end());
  return found;
}

// Guards against a fault that is accepted, reported at the wrong line or with
// another description, or accompanied by consequential faults.
TEST_CASE("each broken folder is refused for its own fault only") {
  namespace fs = std::filesystem;
  int folders = 0;
  for (const auto& entry : fs::directory_iterator(
           std::string(PIMENTOHALL_ROOT) + "/testing/broken")) {
    ++folders;
    CAPTURE(entry.path().filename().string());
    std::istringstream expected(ReadTestFile(entry.path() / "EXPECTED"));
    std::string position;
    std::string problem;
    std::getline(expected, position);
    std::getline(expected, problem);
    REQUIRE_FALSE(problem.empty());

    const faults found = FindFaults(ReadTestFolder(entry.path()));
    CAPTURE(AllFaults(found));
    CHECK(std::any_of(found.begin(), found.end(), [&](const fault& fault) {
      return fault.ToString().rfind(position + ": ", 0) == 0;
    }));
    for (const fault& fault : found) {
      CHECK(fault.ToString().find(problem) != std::string::npos);
      CHECK_FALSE(fault.fix.empty());
    }
  }
  CHECK(folders >= 24);
}

}  // namespace
}  // namespace pimentohall::config
