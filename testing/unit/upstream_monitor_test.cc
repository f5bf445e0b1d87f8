// Tests of the speed, pace and usable slots of an upstream.

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <random>
#include <vector>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{seconds(1000)};

duration Ms(double ms) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

upstream_report Counts(int running, int waiting, int slots) {
  return {running, waiting, slots, std::nullopt};
}
upstream_report PaceOf(int percent) {
  return {std::nullopt, std::nullopt, std::nullopt, percent};
}

// A pace that is trusted for too long keeps calls away from an upstream whose
// stall is over.
TEST_CASE("a reported pace decays to 1 within some hundred milliseconds") {
  upstream_monitor monitor;
  CHECK(monitor.Pace(kStart) == 1);
  monitor.OnReport(PaceOf(250), 0, kStart);
  CHECK(monitor.Pace(kStart) == doctest::Approx(2.5));
  CHECK(monitor.Pace(kStart + kPaceHalfLife) == doctest::Approx(1.75));
  CHECK(monitor.Pace(kStart + seconds(1)) < 1.02);
  // A pace that is sent on decays as if it had been kept.
  const double sent = monitor.Pace(kStart + milliseconds(70));
  CHECK(DecayedPace(sent, milliseconds(130)) ==
        doctest::Approx(monitor.Pace(kStart + milliseconds(200))));
}

TEST_CASE("nonsensical figures change nothing") {
  const int nonsense[] = {-1, std::numeric_limits<int>::min(),
                          std::numeric_limits<int>::max()};
  upstream_monitor monitor;
  for (const int value : nonsense) {
    monitor.OnReport({value, value, value, value}, 3, kStart);
    monitor.OnReport(Counts(4, value, 6), 3, kStart);
  }
  monitor.OnReport(PaceOf(0), 3, kStart);
  monitor.OnReport({4, std::nullopt, std::nullopt, std::nullopt}, 3, kStart);
  monitor.OnRun(duration{0}, Ms(100), kStart);
  monitor.OnRun(Ms(-5), Ms(100), kStart);
  monitor.OnRun(Ms(100), duration{0}, kStart);
  CHECK(monitor.Pace(kStart) == 1);
  CHECK(monitor.Speed(kStart) == 1);
  CHECK(monitor.UsableSlots(6, kStart) == 6);
  for (const double pace :
       {0.0, -2.0, 1e9, std::numeric_limits<double>::quiet_NaN(),
        std::numeric_limits<double>::infinity()}) {
    CHECK(DecayedPace(pace, duration{0}) == 1);
  }
}

// One run that takes very long must not brand an upstream as slow.
TEST_CASE("a run moves the speed by a bounded factor") {
  upstream_monitor monitor;
  monitor.OnRun(std::chrono::hours(5), Ms(100), kStart);
  CHECK(monitor.Speed(kStart) <= 2);
  CHECK(monitor.Speed(kStart + 10 * upstream_monitor::kRunHalfLife) < 1.01);
}

// An upstream with 6 slots makes some 50 runs of 120 ms in its first second.
TEST_CASE("a speed is learned in the first second, for every seed") {
  for (const double speed : {0.7, 1.0, 1.6}) {
    int close = 0;
    constexpr int kSeeds = 100;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      std::mt19937 random(seed);
      std::normal_distribution<double> normal(-0.18, 0.6);
      upstream_monitor monitor;
      instant now = kStart;
      for (int i = 0; i < 50; ++i) {
        now += milliseconds(20);
        monitor.OnRun(Ms(120 * speed * std::exp(normal(random))), Ms(120), now);
      }
      if (std::abs(monitor.Speed(now) / speed - 1) < 0.25) ++close;
    }
    CAPTURE(speed);
    CHECK(close >= 95);
  }
}

// Without the correction, an upstream that has many stalls counts as slow also
// between them, and a run that took its time in a stall counts as slow work.
TEST_CASE("stalls don't count as speed") {
  upstream_monitor monitor;
  instant now = kStart;
  // Of every second, 400 ms at a pace of 250, in which runs take 250 ms of 100.
  for (int i = 0; i < 500; ++i) {
    now += milliseconds(20);
    const bool stalls = i % 50 >= 30;
    monitor.OnReport(PaceOf(stalls ? 250 : 100), 0, now);
    const bool stalled_before = i % 50 >= 43;  // For at least 250 ms.
    if (stalled_before) monitor.OnRun(Ms(250), Ms(100), now);
    if (!stalls && i % 50 >= 6) monitor.OnRun(Ms(100), Ms(100), now);
  }
  CHECK(monitor.Speed(now) == doctest::Approx(1).epsilon(0.05));
}

// The load figures that an egress reads, and the slots that it may use then.
TEST_CASE("calls that the egress doesn't count take slots") {
  struct step {
    upstream_report report;
    int own;     // Calls that the egress has at the upstream.
    int usable;  // Of 6.
  };
  const struct {
    const char* what;
    std::vector<step> steps;
  } cases[] = {
      {"all work is known", {{Counts(6, 0, 6), 6, 6}, {Counts(5, 0, 6), 6, 6}}},
      {"an answer read late shows calls that have ended",
       {{Counts(6, 0, 6), 6, 6}, {Counts(6, 0, 6), 2, 6}}},
      {"cancelled runs go on",
       {{Counts(6, 2, 6), 4, 6},
        {Counts(6, 1, 6), 4, 3},
        {Counts(5, 0, 6), 4, 5},
        {Counts(4, 0, 6), 4, 6}}},
      {"more work than slots",
       {{Counts(6, 24, 6), 1, 6}, {Counts(6, 24, 6), 1, 0}}},
      {"more runs than slots",
       {{Counts(9, 0, 6), 1, 6}, {Counts(9, 0, 6), 1, 6}}},
      {"fewer slots than listed", {{Counts(2, 0, 4), 2, 4}}},
      {"more slots than listed", {{Counts(2, 0, 40), 2, 6}}},
      {"no slots", {{Counts(0, 0, 0), 0, 6}}},
  };
  for (const auto& each : cases) {
    CAPTURE(each.what);
    upstream_monitor monitor;
    instant now = kStart;
    monitor.OnStarted(6, now);
    for (const step& next : each.steps) {
      now += milliseconds(50);
      monitor.OnReport(next.report, next.own, now);
      CHECK(monitor.UsableSlots(6, now) == next.usable);
    }
    CHECK(monitor.UsableSlots(0, now) == 0);
    CHECK(monitor.UsableSlots(6, now + seconds(6)) == 6);
  }
}

// Between a cancellation and the next report, the egress started a new call for
// each cancelled one, which then waited inside the upstream.
TEST_CASE("a cancelled call takes its slot until a report says otherwise") {
  upstream_monitor monitor;
  monitor.OnAbandoned(kStart);
  CHECK(monitor.UsableSlots(6, kStart) == 6);  // Reports no counts.
  monitor.OnReport(Counts(6, 0, 6), 6, kStart);
  for (int i = 0; i < 4; ++i) monitor.OnAbandoned(kStart);
  CHECK(monitor.UsableSlots(6, kStart) == 2);
  SUBCASE("the runs go on") {
    monitor.OnReport(Counts(6, 0, 6), 2, kStart);
    CHECK(monitor.UsableSlots(6, kStart) == 2);
  }
  SUBCASE("the upstream ended them") {
    monitor.OnReport(Counts(2, 0, 6), 2, kStart);
    CHECK(monitor.UsableSlots(6, kStart) == 6);
  }
  SUBCASE("no report comes") {
    const instant later =
        kStart + upstream_monitor::kAbandonedMemory + milliseconds(1);
    CHECK(monitor.UsableSlots(6, later) == 6);
  }
}

// Figures that are always high must not keep an upstream without calls.
TEST_CASE("counts that a call disproves aren't used for a while") {
  const auto served = [](duration took) {
    upstream_monitor monitor;
    int calls = 0;
    for (instant now = kStart; now < kStart + seconds(60);
         now += milliseconds(100)) {
      monitor.OnReport(Counts(6, 20, 6), 0, now);
      if (monitor.UsableSlots(6, now) == 0) continue;
      monitor.OnStarted(6, now);
      monitor.OnRun(took, Ms(100), now + took);
      ++calls;
    }
    return calls;
  };
  CHECK(served(Ms(90)) > 0.85 * 600);
  CHECK(served(Ms(400)) <= 60 * 2 + 6);  // The counts are right.
}

}  // namespace
}  // namespace pimentohall::sched
