// Who waits, who is refused and where work goes, under the named load patterns.
// Bounds are the aims of each pattern, over three seeds.

#include <doctest/doctest.h>

#include "load_model/model.h"

namespace pimentohall::testing {
namespace {

load_result Mean(const load_pattern& pattern) {
  constexpr int kSeeds = 3;
  load_result mean;
  mean.worst_window = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const load_result one = RunLoad(pattern, seed);
    mean.worth += one.worth / kSeeds;
    mean.served += one.served / kSeeds;
    mean.worst_window += one.worst_window / kSeeds;
    mean.held_in_vain += one.held_in_vain / kSeeds;
    for (const auto& [name, each] : one.classes) {
      class_result& sum = mean.classes[name];
      sum.asked += each.asked;
      sum.in_aim += each.in_aim;
      sum.late += each.late;
      sum.refused += each.refused;
    }
  }
  return mean;
}

// No kind may be served less than a quarter as often as all.
void CheckNobodyStarves(const load_result& result) {
  for (const auto& each : result.classes) {
    CAPTURE(each.first);
    CHECK(each.second.Served() >= result.served / 4);
  }
}

TEST_CASE("pattern: calm") {
  const load_result result = Mean(CalmPattern());
  CHECK(result.served >= 0.999);
  CHECK(result.worth >= 0.98);
}

TEST_CASE("pattern: bursts") {
  CHECK(Mean(BurstPattern(1.4)).worth >= 0.98);
  CHECK(Mean(BurstPattern(2)).worth >= 0.96);
  const load_result triple = Mean(BurstPattern(3));
  CHECK(triple.worth >= 0.88);
  CHECK(triple.served >= 0.9);
  CHECK(triple.held_in_vain <= 0.01);
  CheckNobodyStarves(triple);
}

// Most of what a full service serves must still count: tsurumaki scale-1 served
// more balance checks late than in aim.
TEST_CASE("pattern: scale in under load") {
  const load_result result = Mean(ScaleInPattern());
  const class_result& read = result.classes.at("read");
  CHECK(read.in_aim >= 2 * read.late);
  CHECK(result.classes.at("post").Served() >= 0.99);
  CHECK(result.classes.at("refund").Served() >= 0.99);
  CheckNobodyStarves(result);
}

TEST_CASE("pattern: slow minority") {
  const load_result result = Mean(SlowMinorityPattern());
  CHECK(result.served >= 0.99);
  CHECK(result.worth >= 0.95);
}

TEST_CASE("pattern: retry storm") {
  const load_result result = Mean(RetryStormPattern());
  CHECK(result.worth >= 0.92);
  CHECK(result.classes.at("refund").Served() >= 0.99);
  CheckNobodyStarves(result);
}

TEST_CASE("pattern: callers that leave") {
  CHECK(Mean(LeavingCallersPattern()).worth >= 0.98);
}

TEST_CASE("pattern: a zone's upstreams back cold") {
  CHECK(Mean(ColdZonePattern()).worth >= 0.96);
}

TEST_CASE("pattern: a full callee") {
  const load_result result = Mean(FullCalleePattern());
  // Work of the caller is wasted when a call that it makes is turned away.
  CHECK(result.classes.at("peek").Served() >= 0.98);
  CheckNobodyStarves(result);
}

// permisos incident inc-5f49: the last upstream of a service refused the short
// calls of another service's calls, whose work was then lost.
TEST_CASE("pattern: a callee's last upstream") {
  const load_result result = Mean(LastCalleePattern());
  CHECK(result.classes.at("peek").Served() >= 0.95);
  CHECK(result.classes.at("read").Served() >= 0.9);
  CHECK(result.held_in_vain <= 0.01);
  CheckNobodyStarves(result);
}

TEST_CASE("pattern: a grey minority") {
  const load_result result = Mean(GreyMinorityPattern());
  // Blind choice would send a third of two services' calls to an upstream that
  // fails half of them.
  CHECK(result.classes.at("read").Served() >= 1 - 0.5 / 3);
  CHECK(result.classes.at("post").Served() >= 0.95);
}

TEST_CASE("a pattern repeats exactly") {
  const load_result one = RunLoad(BurstPattern(3), 7);
  const load_result two = RunLoad(BurstPattern(3), 7);
  CHECK(one.worth == two.worth);
  CHECK(one.served == two.served);
}

}  // namespace
}  // namespace pimentohall::testing
