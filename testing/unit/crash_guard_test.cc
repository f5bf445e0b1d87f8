#include "core/crash_guard.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace pimentohall::core {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using fingerprints = std::vector<std::uint64_t>;

constexpr std::uint64_t kPoison = 1000000;

// Guards against a crashing call that is not quarantined, and against the
// quarantine of calls that were only in flight at the same time.
TEST_CASE("crash_guard quarantines by the crashes that contain a call") {
  struct test_case {
    const char* name;
    std::vector<fingerprints> crashes;  // One per second.
    fingerprints quarantined;
    fingerprints suspect;  // Including the quarantined ones.
  };
  const test_case tests[] = {
      {"once alone", {{1}}, {}, {1}},
      {"twice alone", {{1}, {1}}, {1}, {1}},
      {"once alone, once not", {{1}, {1, 2}}, {}, {1}},
      {"twice together", {{1, 2}, {1, 3}}, {}, {1}},
      {"three times", {{1, 2}, {1, 3}, {1, 4}}, {1}, {1}},
      {"same neighbour", {{1, 2}, {1, 2}, {1, 2}}, {1, 2}, {1, 2}},
      {"neighbour cleared", {{1, 2}, {1, 2}, {1, 3}}, {1}, {1}},
      {"different calls", {{1, 2}, {3, 4}, {5, 6}}, {}, {1, 2, 3, 4, 5, 6}},
      {"two crashing calls",
       {{1, 3}, {2, 4}, {1, 5}, {2, 6}, {1, 7}, {2, 8}},
       {1, 2},
       {1, 2}},
  };
  for (const test_case& test : tests) {
    CAPTURE(test.name);
    // The verdict must not depend on the order or the source of the reports.
    for (int variant = 0; variant < 3; ++variant) {
      crash_guard guard;
      std::vector<crash_report> reports;
      instant now{};
      for (std::size_t i = 0; i < test.crashes.size(); ++i) {
        now += seconds(1);
        crash_guard peer;
        auto& recorder = variant == 0 ? guard : peer;
        for (const crash_report& report : recorder.OnCrash(
                 i + 1, test.crashes[i], test.crashes[i].size() == 1, now)) {
          reports.push_back(report);
        }
      }
      if (variant == 2) std::reverse(reports.begin(), reports.end());
      if (variant > 0) {
        for (const crash_report& report : reports) guard.Merge(report, now);
      }
      // Duplicates of local reports and of peers' reports have no effect.
      for (const crash_report& report : reports) guard.Merge(report, now);
      for (std::uint64_t fingerprint = 1; fingerprint <= 8; ++fingerprint) {
        CAPTURE(fingerprint);
        const auto is_in = [&](const fingerprints& all) {
          return std::count(all.begin(), all.end(), fingerprint) > 0;
        };
        CHECK(guard.IsQuarantined(fingerprint, now) == is_in(test.quarantined));
        CHECK(guard.IsSuspect(fingerprint, now) == is_in(test.suspect));
      }
    }
  }
}

// Guards against a quarantine that never ends, and against a late report of a
// peer that prolongs a quarantine.
TEST_CASE("crash_guard expires crashes and quarantines in time") {
  crash_guard guard;
  const instant start = instant{} + minutes(60);
  guard.OnCrash(1, {1}, true, start);
  guard.OnCrash(2, {1}, true, start);
  CHECK(guard.IsQuarantined(1, start + minutes(10) - seconds(1)));
  CHECK_FALSE(guard.IsQuarantined(1, start + minutes(10)));
  // One further crash within the retention time starts another quarantine.
  guard.OnCrash(3, {1}, true, start + minutes(11));
  CHECK(guard.IsQuarantined(1, start + minutes(12)));
  CHECK_FALSE(guard.IsSuspect(1, start + minutes(31)));
  guard.Expire(start + minutes(40));
  CHECK(guard.Size() == 0);

  crash_report old;
  old.fingerprint = 2;
  old.alone = true;
  old.age_ms = 9 * 60 * 1000;
  for (std::uint64_t crash : {11, 12}) {
    old.crash = crash;
    guard.Merge(old, start);
  }
  CHECK(guard.IsQuarantined(2, start));
  CHECK_FALSE(guard.IsQuarantined(2, start + minutes(1)));
  old.age_ms = 21 * 60 * 1000;
  old.fingerprint = 3;
  guard.Merge(old, start);
  CHECK_FALSE(guard.IsSuspect(3, start));
}

// Guards against a call that stays suspect after it was answered.
TEST_CASE("crash_guard clears an answered call") {
  crash_guard guard;
  guard.OnCrash(1, {1, 2}, false, instant{});
  guard.OnAnswered(1);
  CHECK_FALSE(guard.IsSuspect(1, instant{}));
  CHECK(guard.IsSuspect(2, instant{}));
}

// Guards against unbounded memory, and against many harmless calls that evict a
// quarantined one.
TEST_CASE("crash_guard holds a bounded number of fingerprints") {
  crash_guard guard;
  instant now{};
  for (std::uint64_t crash : {1, 2}) guard.OnCrash(crash, {kPoison}, true, now);
  for (std::uint64_t i = 1; i <= 5000; ++i) {
    now += std::chrono::milliseconds(10);
    guard.OnCrash(100 + i, {i}, true, now);
    REQUIRE(guard.Size() <= crash_guard::kMaxFingerprints);
  }
  CHECK(guard.IsQuarantined(kPoison, now));
}

// An upstream that crashes once a minute for other reasons, with 10 calls in
// flight. The calls are drawn from 50 fingerprints; fingerprint 1 is in flight
// in half of the crashes.
struct random_crashes {
  int crashes = 0;
  int wrong_verdicts = 0;  // Crashes after which fingerprint 1 was quarantined.
  int first_wrong_verdict = 0;
  int crashes_until_quarantine = 0;  // Until the quarantine of kPoison.
};
random_crashes RunRandomCrashes(double answer_probability, bool with_poison,
                                std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto chance = [&random](double p) {
    return static_cast<double>(random() >> 11) * 0x1.0p-53 < p;
  };
  crash_guard guard;
  random_crashes result;
  instant now{};
  for (int crash = 1; crash <= 1000; ++crash) {
    now += minutes(1);
    if (chance(answer_probability)) guard.OnAnswered(1);
    for (std::uint64_t other = 2; other <= 50; ++other) {
      if (chance(answer_probability)) guard.OnAnswered(other);
    }
    fingerprints in_flight;
    if (chance(0.5)) in_flight.push_back(1);
    while (in_flight.size() < 10) in_flight.push_back(2 + random() % 49);
    std::sort(in_flight.begin(), in_flight.end());
    in_flight.erase(std::unique(in_flight.begin(), in_flight.end()),
                    in_flight.end());
    if (with_poison) in_flight.push_back(kPoison);
    guard.OnCrash(static_cast<std::uint64_t>(crash), in_flight, false, now);
    ++result.crashes;
    if (guard.IsQuarantined(1, now)) {
      ++result.wrong_verdicts;
      if (result.first_wrong_verdict == 0) result.first_wrong_verdict = crash;
    }
    if (with_poison && guard.IsQuarantined(kPoison, now)) {
      result.crashes_until_quarantine = crash;
      break;
    }
  }
  return result;
}

// Guards against the quarantine of a frequent call that is in flight in many
// crashes by chance.
TEST_CASE("crash_guard does not blame a frequent call for random crashes") {
  for (std::uint64_t seed : {1, 2, 3}) {
    const random_crashes often = RunRandomCrashes(1, false, seed);
    const random_crashes rare = RunRandomCrashes(0.8, false, seed);
    const random_crashes never = RunRandomCrashes(0, false, seed);
    const random_crashes poison = RunRandomCrashes(1, true, seed);
    INFO("figure: crash_guard seed ", seed, ": wrong verdicts in ",
         often.crashes, " crashes: ", often.wrong_verdicts,
         " if each call is answered between crashes, ", rare.wrong_verdicts,
         " if 80% are, ", never.wrong_verdicts, " (first after ",
         never.first_wrong_verdict,
         ") if none is; a crashing call is quarantined after ",
         poison.crashes_until_quarantine);
    CHECK(often.wrong_verdicts == 0);
    CHECK(rare.wrong_verdicts <= 20);
    CHECK(poison.crashes_until_quarantine == 3);
  }
}

}  // namespace
}  // namespace pimentohall::core
