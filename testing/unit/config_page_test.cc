#include <doctest/doctest.h>

#include <sstream>

#include "unit/config_files.h"

namespace pimentohall::config {
namespace {

// The JSON examples of docs/configuration.md keyed by the heading above them.
std::map<std::string, std::string> ReadExamples(const std::string& page) {
  std::map<std::string, std::string> examples;
  std::istringstream lines(page);
  std::string heading;
  bool in_example = false;
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("## ", 0) == 0) heading = line.substr(3);
    if (line == "```") in_example = false;
    if (in_example) examples[heading] += line + "\n";
    if (line == "```json") in_example = true;
  }
  return examples;
}

// Guards against an operators' page whose examples are refused or whose
// messages differ from those of the library.
TEST_CASE("the examples and messages of the configuration page are true") {
  const std::string root = PIMENTOHALL_ROOT;
  const std::string page = ReadTestFile(root + "/docs/configuration.md");
  auto examples = ReadExamples(page);
  CHECK(examples.size() == 5);
  CHECK(ParseZones(examples["Zones"], "zones"));
  CHECK(ParseService(examples["Service"], "services/ledger"));
  CHECK(ParseOrganisation(examples["Organisation"], "organisations/yamaga"));
  CHECK(ParseVmList(examples["VM list"]));
  CHECK(ParseManifest(examples["Manifest"]));
  for (const char* folder : {"port-out-of-range", "contract-route-missing"}) {
    const test_folder broken =
        ReadTestFolder(root + "/testing/broken/" + folder);
    const auto set = AssembleParts(broken.parts);
    REQUIRE_FALSE(set);
    const std::string message = AllFaults(set.error());
    CHECK_MESSAGE(page.find(message) != std::string::npos, message);
  }
}

}  // namespace
}  // namespace pimentohall::config
