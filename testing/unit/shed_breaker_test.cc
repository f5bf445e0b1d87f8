// Guards against an upstream that sheds all calls, answers at once, and so
// attracts the calls of its whole service.

#include <doctest/doctest.h>

#include "pimentohall/mesh.h"
#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

using std::chrono::milliseconds;
using state = shed_breaker::state;

constexpr instant kStart{std::chrono::seconds(50)};

TEST_CASE("shed_breaker opens, tries and closes") {
  enum class what { kShed, kSheds, kRun, kStart, kLook };
  struct row {
    int at_ms;
    what event;
    state after;
  };
  const row rows[] = {
      {0, what::kSheds, state::kClosed},  {1, what::kLook, state::kClosed},
      {2, what::kRun, state::kClosed},  // Ends the row of sheds.
      {3, what::kSheds, state::kClosed},  {4, what::kLook, state::kClosed},
      {10, what::kShed, state::kOpen},    {20, what::kShed, state::kOpen},
      {309, what::kLook, state::kOpen},   {310, what::kLook, state::kHalfOpen},
      {320, what::kStart, state::kTrial}, {330, what::kShed, state::kOpen},
      {929, what::kLook, state::kOpen},  // Twice as long.
      {930, what::kStart, state::kTrial}, {940, what::kRun, state::kClosed},
      {950, what::kShed, state::kClosed},
  };
  shed_breaker breaker;
  for (const row& each : rows) {
    CAPTURE(each.at_ms);
    const instant now = kStart + milliseconds(each.at_ms);
    if (each.event == what::kShed) breaker.OnShed(now);
    // All but one of those that open it.
    for (int i = 1; each.event == what::kSheds && i < shed_breaker::kOpenAfter;
         ++i) {
      breaker.OnShed(now);
    }
    if (each.event == what::kRun) breaker.OnNotShed();
    if (each.event == what::kStart) breaker.OnStarted(now);
    CHECK(breaker.State(now) == each.after);
    CHECK(breaker.MayStart(now) ==
          (each.after == state::kClosed || each.after == state::kHalfOpen));
  }
}

TEST_CASE("shed_breaker: a trial that never ends doesn't block for ever") {
  shed_breaker breaker;
  for (int i = 0; i < shed_breaker::kOpenAfter; ++i) breaker.OnShed(kStart);
  breaker.OnStarted(kStart + milliseconds(400));
  CHECK_FALSE(breaker.MayStart(kStart + milliseconds(500)));
  CHECK(breaker.MayStart(kStart + std::chrono::seconds(5)));
}

TEST_CASE("shed_breaker: the time between trials is bounded") {
  shed_breaker breaker;
  instant now = kStart;
  for (int i = 0; i < 50; ++i) {
    breaker.OnShed(now);
    breaker.OnStarted(now);
    now += shed_breaker::kMaxHold;
    CHECK(breaker.MayStart(now));
  }
}

TEST_CASE("the picker leaves out an upstream that takes no calls") {
  const std::vector<mesh::target_picker::candidate> targets = {
      {"open", 6, true, false}, {"closed", 6, true, false}};
  mesh::call_profile call;
  call.typical = milliseconds(100);
  for (const bool on : {false, true}) {
    CAPTURE(on);
    mesh::target_picker picker(1);
    picker.SetAvoidsClosed(on);
    picker.OnNews({"open", 6, 4, 6, 100, 1}, kStart);
    picker.OnNews({"closed", 0, 0, 0, 0, 1}, kStart);
    CHECK(picker.Pick(targets, {}, call, kStart) == std::size_t{on ? 0U : 1U});
    // It is the only one left, or its report is old.
    CHECK(picker.Pick(targets, {"open"}, call, kStart) == std::size_t{1});
    const instant later = kStart + std::chrono::seconds(2);
    CHECK(picker.Pick(targets, {}, call, later) == std::size_t{1});
  }
}

}  // namespace
}  // namespace pimentohall::sched
