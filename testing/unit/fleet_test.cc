// Tests of the library that runs fleets of processes (testing/fleet).

#include <doctest/doctest.h>
#include <unistd.h>

#include <csignal>

#include "fleet/child_process.h"
#include "fleet/configuration.h"
#include "fleet/process_usage.h"
#include "fleet/target_config.h"
#include "fleet/temporary_folder.h"
#include "fleet/version_watch.h"
#include "pimentohall/config.h"

namespace pimentohall::testing {
namespace {

using namespace std::chrono_literals;

tl::expected<config::config_set, config::faults> Assemble(
    const configuration& documents) {
  const auto parts = PartBytes(documents);
  const auto manifest = config::ParseManifest(config::BuildManifest(1, parts));
  REQUIRE(manifest);
  return config::AssembleSet(*manifest, config::PartsByDigest(parts));
}

// Guards against measurements at a size other than the target's.
TEST_CASE("the generated target configuration is valid and has its size") {
  const configuration documents = GenerateConfiguration({});
  const auto set = Assemble(documents);
  REQUIRE(set);
  std::size_t upstreams = 0;
  std::size_t keys = 0;
  for (const config::service& service : set->Services()) {
    upstreams += service.upstreams.size();
  }
  for (const config::organisation& organisation : set->Organisations()) {
    keys += organisation.keys.size();
  }
  CHECK(set->Zones().size() == 15);
  CHECK(set->Services().size() == 120);
  CHECK(upstreams == 2200);
  CHECK(set->Organisations().size() == 500);
  CHECK(keys == 10000);
  const auto vms = config::ParseVmList(documents.vms.dump());
  REQUIRE(vms);
  CHECK(vms->vms.size() == 2200);
  CHECK(config::CheckVms(*set, *vms).empty());
  CHECK(set->FindByKeyDigest(config::Sha256Hex(GeneratedKey(499, 19))) !=
        nullptr);
}

// Guards against a generated service with all its targets in one zone.
TEST_CASE("a generated service has targets in many zones") {
  const configuration documents = GenerateConfiguration({});
  std::map<std::string, std::string> zone_of;
  for (const auto& vm : documents.vms["vms"]) zone_of[vm["name"]] = vm["zone"];
  std::set<std::string> zones;
  for (const auto& upstream :
       documents.parts.at("services/service-0")["upstreams"]) {
    zones.insert(zone_of[upstream["vm"]]);
  }
  CHECK(zones.size() == 15);
}

TEST_CASE("configuration edits change the key, zone or rate that they name") {
  auto documents = ReadConfiguration(PIMENTOHALL_ROOT "/examples/tsurumaki");
  REQUIRE(documents);
  AddKey(&*documents, "yamaga", "second", "some-key");
  SetZoneState(&*documents, "kumamoto-b", "out");
  SetRate(&*documents, "karatsu", 25);
  auto set = Assemble(*documents);
  REQUIRE(set);
  const auto* owner = set->FindByKeyDigest(config::Sha256Hex("some-key"));
  REQUIRE(owner != nullptr);
  CHECK(owner->name == "yamaga");
  CHECK(set->FindZone("kumamoto-b")->state == config::zone_state::kOut);
  CHECK(set->FindOrganisation("karatsu")->limits.rate_per_s == 25);
  WithdrawKey(&*documents, "yamaga", "second");
  set = Assemble(*documents);
  REQUIRE(set);
  CHECK(set->FindByKeyDigest(config::Sha256Hex("some-key")) == nullptr);
}

// Guards against children that outlive the harness.
TEST_CASE("destroying a child_process object kills the process") {
  const temporary_folder folder;
  pid_t id = 0;
  {
    auto child = child_process::Start({"/bin/sleep", "60"},
                                      folder.Path() + "/sleep.log");
    REQUIRE(child);
    id = child->Id();
    CHECK(child->IsRunning());
    CHECK(ReadUsage(id).has_value());
  }
  CHECK(kill(id, 0) != 0);
}

TEST_CASE("stopping a child distinguishes a clean exit from any other") {
  const temporary_folder folder;
  auto clean = child_process::Start({"/bin/true"}, folder.Path() + "/a.log");
  REQUIRE(clean);
  CHECK(clean->WaitExit(10s) == std::optional<int>(0));
  auto ended =
      child_process::Start({"/bin/sleep", "60"}, folder.Path() + "/b.log");
  REQUIRE(ended);
  CHECK_FALSE(ended->Stop(10s));  // By SIGTERM, without an exit status.
  CHECK_FALSE(ended->IsRunning());
  CHECK_FALSE(child_process::Start({"/no/such/program"}, folder.Path() + "/c"));
}

TEST_CASE("a metric is found by its full name with labels") {
  const std::string text =
      "# HELP a_total Something.\n"
      "a_total_more 3\n"
      "a_total 17\n"
      "b_total{direction=\"sent\"} 12.5\n";
  CHECK(MetricValue(text, "a_total") == std::optional<double>(17));
  CHECK(MetricValue(text, "b_total{direction=\"sent\"}") ==
        std::optional<double>(12.5));
  CHECK_FALSE(MetricValue(text, "b_total"));
  CHECK_FALSE(MetricValue("", "a_total"));
}

}  // namespace
}  // namespace pimentohall::testing
