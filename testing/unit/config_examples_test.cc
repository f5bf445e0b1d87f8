#include <doctest/doctest.h>

#include "unit/config_files.h"

namespace pimentohall::config {
namespace {

struct example {
  const char* folder;
  std::size_t zones;
  std::size_t vms;
  const char* organisation;
  const char* open_path;
};
constexpr example kExamples[] = {
    {"tsurumaki", 3, 12, "yamaga", "/counter/hours/today"},
    {"berberecho", 4, 16, "ancud", "/litoral/map"},
};

// Guards against examples that the daemon refuses or that lack a part.
TEST_CASE("the examples assemble at their deployment's size") {
  for (const example& example : kExamples) {
    CAPTURE(example.folder);
    const test_folder folder = ReadTestFolder(std::string(PIMENTOHALL_ROOT) +
                                              "/examples/" + example.folder);
    const auto set = AssembleParts(folder.parts);
    REQUIRE_MESSAGE(set, AllFaults(set.error()));
    const auto vms = ParseVmList(folder.vms);
    REQUIRE_MESSAGE(vms, AllFaults(vms.error()));
    CHECK(AllFaults(CheckVms(*set, *vms)).empty());
    CHECK(set->Zones().size() == example.zones);
    CHECK(set->Services().size() == 4);
    CHECK(set->Organisations().size() == 8);
    CHECK(vms->vms.size() == example.vms);
    for (const service& service : set->Services()) {
      CHECK(service.upstreams.size() == example.zones);
    }

    const std::string key = std::string("demo-key-") + example.organisation;
    const organisation* owner = set->FindByKeyDigest(Sha256Hex(key));
    REQUIRE(owner != nullptr);
    CHECK(owner->name == example.organisation);
    const route* open = set->FindRoute("GET", example.open_path);
    REQUIRE(open != nullptr);
    CHECK(open->open);
  }
}

}  // namespace
}  // namespace pimentohall::config
