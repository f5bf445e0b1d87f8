#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <sstream>

#include "unit/config_files.h"

namespace pimentohall::config {
namespace {

// Everything that an operator would be told about a folder before publishing.
faults AllFaultsOf(const test_folder& folder) {
  const auto set = AssembleParts(folder.parts);
  const auto vms = ParseVmList(folder.vms);
  if (set && vms) return CheckVms(*set, *vms);
  faults found;
  if (!set) found = set.error();
  if (!vms) found.insert(found.end(), vms.error().begin(), vms.error().end());
  return found;
}

// Guards against a fault that is accepted, placed at the wrong line, described
// otherwise, or that drags consequential faults with it.
TEST_CASE("each broken folder is refused for its own fault only") {
  namespace fs = std::filesystem;
  int folders = 0;
  for (const auto& entry : fs::directory_iterator(
           std::string(PIMENTOHALL_ROOT) + "/testing/broken")) {
    ++folders;
    CAPTURE(entry.path().filename().string());
    std::istringstream expected(ReadTestFile(entry.path() / "EXPECTED"));
    std::string place;
    std::string phrase;
    std::getline(expected, place);
    std::getline(expected, phrase);
    REQUIRE_FALSE(phrase.empty());

    const faults found = AllFaultsOf(ReadTestFolder(entry.path()));
    CAPTURE(AllFaults(found));
    CHECK(std::any_of(found.begin(), found.end(), [&](const fault& fault) {
      return fault.ToString().rfind(place + ": ", 0) == 0;
    }));
    for (const fault& fault : found) {
      CHECK(fault.ToString().find(phrase) != std::string::npos);
      CHECK_FALSE(fault.fix.empty());
    }
  }
  CHECK(folders >= 24);
}

}  // namespace
}  // namespace pimentohall::config
