// Tests of queueing, refusal and upstream choice under the named load patterns.
// Each pattern's targets apply to the mean over three seeds.

#include <doctest/doctest.h>

#include "load_model/model.h"

namespace pimentohall::testing {
namespace {

load_result Mean(const load_pattern& pattern, const load_options& options = {},
                 int seeds = 3) {
  load_result mean;
  mean.worst_window = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const load_result run =
        RunLoad(pattern, static_cast<std::uint64_t>(seed), options);
    mean.worth += run.worth / seeds;
    mean.served += run.served / seeds;
    mean.worst_window += run.worst_window / seeds;
    mean.held_in_vain += run.held_in_vain / seeds;
    mean.refused_wait_ms += run.refused_wait_ms / seeds;
    mean.far_bytes += run.far_bytes / seeds;
    mean.need_reports += run.need_reports / seeds;
    mean.shed += run.shed / seeds;
    for (const auto& [name, counts] : run.classes) {
      class_result& sum = mean.classes[name];
      sum.asked += counts.asked;
      sum.in_aim += counts.in_aim;
      sum.late += counts.late;
      sum.refused += counts.refused;
      sum.failed += counts.failed;
    }
  }
  return mean;
}

// Each class must be served at least a quarter as often as all calls together.
void CheckNoClassStarves(const load_result& result) {
  for (const auto& named_class : result.classes) {
    CAPTURE(named_class.first);
    CHECK(named_class.second.Served() >= result.served / 4);
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
  CheckNoClassStarves(triple);
}

// Most calls that a full service answers must be within their aim. In tsurumaki
// scale-1 more balance checks were answered late than in aim.
TEST_CASE("pattern: scale in under load") {
  const load_result result = Mean(ScaleInPattern());
  const class_result& read = result.classes.at("read");
  CHECK(read.in_aim >= 2 * read.late);
  CHECK(result.classes.at("post").Served() >= 0.99);
  CHECK(result.classes.at("refund").Served() >= 0.99);
  CheckNoClassStarves(result);
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
  CheckNoClassStarves(result);
}

TEST_CASE("pattern: callers that leave") {
  CHECK(Mean(LeavingCallersPattern()).worth >= 0.98);
}

TEST_CASE("pattern: a zone's upstreams back cold") {
  CHECK(Mean(ColdZonePattern()).worth >= 0.96);
}

TEST_CASE("pattern: a full callee") {
  const load_result result = Mean(FullCalleePattern());
  // A refused nested call wastes the work of the call that made it.
  CHECK(result.classes.at("peek").Served() >= 0.98);
  CheckNoClassStarves(result);
}

// The last upstream of a service refused short calls nested in calls of another
// service, whose work was then lost (permisos incident inc-5f49).
TEST_CASE("pattern: a callee's last upstream") {
  const load_result result = Mean(LastCalleePattern());
  CHECK(result.classes.at("peek").Served() >= 0.95);
  CHECK(result.classes.at("read").Served() >= 0.9);
  CHECK(result.held_in_vain <= 0.01);
  CheckNoClassStarves(result);
}

TEST_CASE("pattern: a grey minority") {
  const load_result result = Mean(GreyMinorityPattern());
  // A choice regardless of failures would send a third of two services' calls
  // to an upstream that fails half of them.
  CHECK(result.classes.at("read").Served() >= 1 - 0.5 / 3);
  CHECK(result.classes.at("post").Served() >= 0.95);
}

// further-grown trouble-2: uploads filled the links of some VMs, and short
// lookups there took 500 ms on the way.
TEST_CASE("pattern: large uploads beside small reads") {
  const load_result result = Mean(UploadsPattern());
  CHECK(result.worth >= 0.95);
  CHECK(result.classes.at("lookup").Served() >= 0.98);
  CHECK(result.far_bytes <= 0.1);
}

TEST_CASE("pattern: one zone loaded twice") {
  const load_result result = Mean(LoadedZonePattern());
  CHECK(result.worth >= 0.95);
  CHECK(result.far_bytes <= 0.25);
  CheckNoClassStarves(result);
}

TEST_CASE("pattern: a zone lost its upstreams") {
  const load_result result = Mean(LostZonePattern());
  CHECK(result.worth >= 0.9);
  CHECK(result.classes.at("upload").Served() >= 0.95);
  CheckNoClassStarves(result);
}

// Each second must be as good as before the overload from 3 s after its end.
TEST_CASE("pattern: overload that sustains itself") {
  constexpr double kRecoveryS = 3;
  constexpr double kLengthS = 30;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const load_result result = RunLoad(ShortCalleePattern(), seed);
    CheckNoClassStarves(result);
    const auto from = static_cast<std::size_t>(kShortCalleeUntilS + kRecoveryS);
    for (std::size_t i = from; i < static_cast<std::size_t>(kLengthS); ++i) {
      CAPTURE(i);
      CHECK(result.worth_by_s.at(i) >= 0.95);
    }
  }
}

// Costs by the mean of the route, against costs by call: the first must be
// beaten where the path tells the costs, and must not win where nothing does.
TEST_CASE("pattern: calls of unlike cost on one route") {
  constexpr int kSeeds = 8;
  for (load_pattern pattern : {LookAlikesPattern(), TwoKindsPattern()}) {
    CAPTURE(pattern.name);
    const load_result by_mean = Mean(pattern, {}, kSeeds);
    pattern.uses_cost_routing = true;
    const load_result by_cost = Mean(pattern, {}, kSeeds);
    CHECK(by_cost.worth >= by_mean.worth + 0.004);
    CHECK(by_cost.classes.at("brief").Served() >= 0.99);
    CheckNoClassStarves(by_cost);
  }
}

// Cost routing must not cost the patterns without such calls anything.
TEST_CASE("patterns with cost routing") {
  for (load_pattern pattern :
       {BurstPattern(3), ScaleInPattern(), SlowMinorityPattern(),
        RetryStormPattern(), GreyMinorityPattern()}) {
    CAPTURE(pattern.name);
    const load_result before = Mean(pattern);
    pattern.uses_cost_routing = true;
    CHECK(Mean(pattern).worth >= before.worth - 0.02);
  }
}

constexpr int kComparedSeeds = 8;

load_result MeanWithReports(load_pattern pattern) {
  pattern.uses_cost_routing = true;
  pattern.reports = load_reports::kTrue;
  return Mean(pattern, {}, kComparedSeeds);
}

// An upstream of speed 1.6 must not get as many calls as those of 0.7.
TEST_CASE("pattern: speeds 0.7, 0.7, 1.6") {
  const load_result before = Mean(UnequalSpeedsPattern(), {}, kComparedSeeds);
  const load_result after = MeanWithReports(UnequalSpeedsPattern());
  CHECK(after.worth >= 0.97);
  CHECK(after.worth >= before.worth - 0.005);
}

// Calls were sent to upstreams whose machine was busy at the moment.
TEST_CASE("pattern: short stalls") {
  const load_result before = Mean(ShortStallsPattern(), {}, kComparedSeeds);
  const load_result after = MeanWithReports(ShortStallsPattern());
  CHECK(after.worth >= 0.95);
  CHECK(after.worth >= before.worth + 0.005);
  CHECK(after.served >= 0.995);
}

// An upstream was sent calls in place of cancelled ones that it still ran.
TEST_CASE("pattern: cancelled runs go on") {
  const load_result before = Mean(CancelledRunsPattern(), {}, kComparedSeeds);
  const load_result after = MeanWithReports(CancelledRunsPattern());
  CHECK(before.shed > 0.05);
  CHECK(after.shed <= 0.001);
  CHECK(after.worth >= before.worth + 0.03);
}

// Reports that are nonsense, that are wrong, or that stop may cost at most 0.02
// of the served share. Counts that are always high cost more (KNOWN-RED.txt).
TEST_CASE("patterns with load reports that can't be relied on") {
  constexpr double kMaxLoss = 0.02;
  constexpr double kStopS = 10;
  struct row {
    const char* name;
    load_reports reports;
    double until_s;
  };
  constexpr row kRows[] = {
      {"nonsense", load_reports::kNonsense, 1e9},
      {"always slow", load_reports::kAlwaysSlow, 1e9},
      {"reports stop", load_reports::kTrue, kStopS},
  };
  for (load_pattern pattern :
       {CalmPattern(), BurstPattern(2), ShortStallsPattern()}) {
    CAPTURE(pattern.name);
    const double before = Mean(pattern).served;
    pattern.uses_cost_routing = true;
    for (const row& each : kRows) {
      CAPTURE(each.name);
      pattern.reports = each.reports;
      pattern.reports_until_s = each.until_s;
      CHECK(Mean(pattern).served >= before - kMaxLoss);
    }
  }
}

// Every call of a service that was short for long ended just before or just
// after its aim (customer 1's high-load days).
TEST_CASE("pattern: lasting overload of one service") {
  const load_result before = Mean(LastingOverloadPattern());
  const load_result after = Mean(LastingOverloadPattern(), OverloadControl());
  CHECK(after.worth >= before.worth + 0.1);
  const class_result& lodge = after.classes.at("lodge");
  CHECK(lodge.in_aim >= 10 * lodge.late);
  CHECK(after.classes.at("check").Served() >= 0.99);
  CHECK(after.refused_wait_ms < before.refused_wait_ms);
  CheckNoClassStarves(after);
}

// Guards against a wave of returning callers that overloads a service anew.
TEST_CASE("pattern: all come back") {
  constexpr double kRecoveryS = 2;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const load_result result =
        RunLoad(AllComeBackPattern(), seed, OverloadControl());
    const auto from = static_cast<std::size_t>(kAllBackS + kRecoveryS);
    for (std::size_t i = from; i < from + 5; ++i) {
      CAPTURE(i);
      CHECK(result.worth_by_s.at(i) >= 0.95);
    }
  }
}

// Guards against a fleet that stays behind when it returns without state: a
// backlog of callers that come back, or a kind of calls that cold upstreams
// never serve.
TEST_CASE("pattern: the whole fleet returns") {
  constexpr double kColdS = 6;
  CheckNoClassStarves(Mean(FleetReturnPattern(), OverloadControl()));
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const load_result result =
        RunLoad(FleetReturnPattern(), seed, OverloadControl());
    const auto warm = static_cast<std::size_t>(kFleetBackS + kColdS);
    for (std::size_t i = warm; i < warm + 5; ++i) {
      CAPTURE(i);
      CHECK(result.worth_by_s.at(i) >= 0.95);
    }
  }
}

// In the order by aim, calls of the last rank got nothing during an overload.
TEST_CASE("pattern: three ranks in one service") {
  const load_result result = Mean(ThreeRanksPattern(), OverloadControl());
  CHECK(result.classes.at("urgent").Served() >= 0.8);
  CHECK(result.classes.at("urgent").Served() >
        result.classes.at("usual").Served());
  CheckNoClassStarves(result);
}

// Where overload control isn't needed, it must not cost more than this. The
// patterns are split into parts that scripts/run_tests.sh runs side by side.
void CheckOverloadControl(std::size_t part) {
  constexpr double kMaxLoss = 0.02;
  // Some collapses show in one seed of eight.
  constexpr int kSeeds = 8;
  constexpr std::size_t kParts = 3;
  const std::vector<load_pattern> patterns = AllPatterns();
  for (std::size_t i = part; i < patterns.size(); i += kParts) {
    CAPTURE(patterns[i].name);
    CHECK(Mean(patterns[i], OverloadControl(), kSeeds).worth >=
          Mean(patterns[i], {}, kSeeds).worth - kMaxLoss);
  }
}

TEST_CASE("patterns, part 1: overload control is no worse on any") {
  CheckOverloadControl(0);
}

TEST_CASE("patterns, part 2: overload control is no worse on any") {
  CheckOverloadControl(1);
}

TEST_CASE("patterns, part 3: overload control is no worse on any") {
  CheckOverloadControl(2);
}

// Before, 4% to 6% of the calls failed after they had run, since a nested call
// was refused or late.
TEST_CASE("pattern: nested calls where their service is short") {
  constexpr int kSeeds = 8;
  for (load_pattern pattern :
       {FullCalleePattern(), LastCalleePattern(), ShortCalleePattern()}) {
    CAPTURE(pattern.name);
    const load_result before = Mean(pattern, {}, kSeeds);
    pattern.nested_control = true;
    const load_result after = Mean(pattern, {}, kSeeds);
    CHECK(after.worth >= before.worth - 0.001);
    CHECK(after.need_reports <= 0.1);
    CheckNoClassStarves(after);
    for (const load_class& each : pattern.classes) {
      const class_result& counts = after.classes.at(each.name);
      CAPTURE(each.name);
      CHECK(counts.failed <= 0.005 * counts.asked);
      // Nested ones.
      if (each.per_s <= 0) CHECK(counts.Served() >= 0.99);
    }
    pattern.half_updated = true;
    const load_result half = Mean(pattern, {}, kSeeds);
    CHECK(half.served >= before.served - 0.02);
    CHECK(half.worth >= before.worth - 0.02);
  }
}

TEST_CASE("a pattern is deterministic for a seed") {
  const load_result first = RunLoad(BurstPattern(3), 7);
  const load_result second = RunLoad(BurstPattern(3), 7);
  CHECK(first.worth == second.worth);
  CHECK(first.served == second.served);
}

}  // namespace
}  // namespace pimentohall::testing
