// A short run of the mirror model (`mirror_model` plays more seeds).

#include <doctest/doctest.h>

#include "mirror_model/model.h"
#include "pimentohall/net.h"

namespace pimentohall::testing {
namespace {

// The model's daemons log some hundred lines a schedule.
struct quiet_log {
  quiet_log() { net::SetLogLevel(core::log_level::kError); }
  ~quiet_log() { net::SetLogLevel(core::log_level::kInfo); }
};

void Play(const model_options& options) {
  const quiet_log quiet;
  const model_report report = RunMirrorModel(options);
  CAPTURE(options.seed);
  CHECK(report.violations.empty());
  for (const std::string& each : report.violations) MESSAGE(each);
}

// Guards against the incident of issue 38, and against what a source that comes
// back older may do to daemons that restart, pause or are cut off meanwhile.
TEST_CASE("schedules of a source that comes back older keep the rules") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) Play({seed});
}

// Guards against ends by time of what operators wrote (review case 6).
TEST_CASE("schedules in which operators write again slowly keep the rules") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    model_options options{seed};
    options.slow_operators = true;
    Play(options);
  }
}

// Seeds that failed while the rules for lost changes were made.
TEST_CASE("schedules that once failed keep the rules") {
  constexpr std::uint64_t kSeeds[] = {
      92,    // A zone taken out anew waited for a lost take-back.
      95,    // A stale read's upstream counted as one that left.
      166,   // An older start's removal hid that of the newer one.
      286,   // A removal whose start wasn't known hid a new one.
      844,   // A peer's guess that an upstream is gone was taken over.
      1506,  // A lost entry was dropped before its news could arrive.
      1635,  // A peer's knowledge came after the new copy was in force.
  };
  for (const std::uint64_t seed : kSeeds) Play({seed});
}

TEST_CASE("schedules of a source that loses nothing keep the rules") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) Play({seed, 5, false});
}

// The model finds what it was made for: daemons that aren't told the era are
// those of before.
TEST_CASE("schedules without the era break the rules") {
  const quiet_log quiet;
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    if (!RunMirrorModel({seed, 5, true, true}).violations.empty()) ++broken;
  }
  CHECK(broken > 0);
}

}  // namespace
}  // namespace pimentohall::testing
