#include "core/retry_policy.h"

#include <doctest/doctest.h>

namespace pimentohall::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

call_info Call(bool idempotent, bool retry = false) {
  call_info call;
  call.service = "ledger";
  call.idempotent = idempotent;
  call.retry = retry;
  return call;
}

// Guards against a second run of a call that is not idempotent, and against
// attempts that no upstream can answer differently.
TEST_CASE("retry_policy allows an attempt by outcome and reason") {
  constexpr auto kNotRun = outcome_kind::kNotRun;
  constexpr auto kMayHaveRun = outcome_kind::kMayHaveRun;
  constexpr auto kAnswered = outcome_kind::kAnswered;
  struct row {
    outcome_kind outcome;
    reason why;
    bool idempotent;  // Allowed for idempotent calls.
    bool other;       // Allowed for others.
  };
  const row rows[] = {
      {kNotRun, reason::kConnectFailed, true, true},
      {kNotRun, reason::kQueueFull, true, true},
      {kNotRun, reason::kUnknownUpstream, true, true},
      {kNotRun, reason::kStopping, true, true},
      {kNotRun, reason::kOverloaded, true, true},
      {kNotRun, reason::kPeerLost, true, true},
      {kNotRun, reason::kNotReady, true, true},
      {kNotRun, reason::kQuarantined, false, false},
      {kNotRun, reason::kDuplicate, false, false},
      {kNotRun, reason::kDeadline, false, false},
      {kNotRun, reason::kCancelled, false, false},
      {kNotRun, reason::kNoUpstream, false, false},
      {kMayHaveRun, reason::kConnectionLost, true, false},
      {kMayHaveRun, reason::kPeerLost, true, false},
      {kMayHaveRun, reason::kDeadline, false, false},
      {kMayHaveRun, reason::kCancelled, false, false},
      {kAnswered, reason::kShed, true, false},
      {kAnswered, reason::kNone, false, false},
  };
  for (const row& each : rows) {
    CAPTURE(static_cast<int>(each.outcome));
    CAPTURE(ReasonName(each.why));
    for (bool idempotent : {true, false}) {
      const bool expected = idempotent ? each.idempotent : each.other;
      const retry_policy::attempt_result result{each.outcome, each.why, 0};
      const auto allow = [&](const call_info& call, int attempts,
                             duration remaining) {
        return retry_policy().Allow(call, attempts, result, remaining,
                                    instant{});
      };
      CHECK(allow(Call(idempotent), 1, seconds(1)) == expected);
      CHECK(allow(Call(idempotent), 2, seconds(1)) == expected);
      CHECK_FALSE(allow(Call(idempotent), 3, seconds(1)));
      CHECK_FALSE(allow(Call(idempotent, true), 1, seconds(1)));
      CHECK_FALSE(allow(Call(idempotent), 1, milliseconds(9)));
      CHECK_FALSE(allow(Call(idempotent), 1, duration{0}));
    }
  }
}

// Guards against retries that multiply the load of a failing service, and
// against a budget that one service takes from another.
TEST_CASE("retry_policy keeps a budget for each service") {
  struct row {
    int first_attempts_per_s;
    int length_s;
    int least;
    int most;
  };
  // 10% of the first attempts, 3/s, and at most 30 saved up.
  for (const row& each : {row{0, 100, 297, 303}, row{1000, 10, 1020, 1040},
                          row{100, 100, 1290, 1310}}) {
    retry_policy policy;
    int allowed = 0;
    instant now{};
    for (int tick = 0; tick < 100 * each.length_s; ++tick) {
      now += milliseconds(10);
      for (int i = 0; i < each.first_attempts_per_s / 100; ++i) {
        policy.OnFirstAttempt("ledger", now);
      }
      while (policy.Allow(Call(true), 1,
                          {outcome_kind::kNotRun, reason::kConnectFailed, 0},
                          seconds(1), now)) {
        ++allowed;
      }
    }
    CAPTURE(each.first_attempts_per_s);
    CHECK(allowed >= each.least);
    CHECK(allowed <= each.most);
    call_info other = Call(true);
    other.service = "refunds";
    CHECK(policy.Allow(other, 1,
                       {outcome_kind::kNotRun, reason::kConnectFailed, 0},
                       seconds(1), now));
  }
}

// Guards against a burst of retries after a long quiet time.
TEST_CASE("retry_policy saves at most a bounded burst") {
  retry_policy policy;
  for (int i = 0; i < 100000; ++i) policy.OnFirstAttempt("ledger", instant{});
  const instant later = instant{} + std::chrono::hours(1);
  int allowed = 0;
  while (policy.Allow(Call(true), 1,
                      {outcome_kind::kNotRun, reason::kConnectFailed, 0},
                      seconds(1), later)) {
    ++allowed;
  }
  CHECK(allowed == static_cast<int>(retry_policy::kMaxBurst));
}

}  // namespace
}  // namespace pimentohall::core
