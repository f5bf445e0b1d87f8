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
// retries whose result would be the same on every upstream.
TEST_CASE("retry_policy allows an attempt by outcome and reason") {
  constexpr auto kNotRun = outcome_kind::kNotRun;
  constexpr auto kMayHaveRun = outcome_kind::kMayHaveRun;
  constexpr auto kAnswered = outcome_kind::kAnswered;
  struct test_case {
    outcome_kind outcome;
    reason why;
    bool idempotent;      // Whether an idempotent call is retried.
    bool non_idempotent;  // Whether any other call is retried.
  };
  const test_case tests[] = {
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
  for (const test_case& test : tests) {
    CAPTURE(static_cast<int>(test.outcome));
    CAPTURE(ReasonName(test.why));
    for (bool idempotent : {true, false}) {
      const bool expected = idempotent ? test.idempotent : test.non_idempotent;
      const retry_policy::attempt_result result{test.outcome, test.why, 0};
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
// against a service that spends the budget of another.
TEST_CASE("retry_policy keeps a budget for each service") {
  struct test_case {
    int first_attempts_per_s;
    int length_s;
    int min_allowed;
    int max_allowed;
  };
  // The budget is 10% of the first attempts plus 3/s, and at most 30
  // accumulate.
  for (const test_case& test :
       {test_case{0, 100, 297, 303}, test_case{1000, 10, 1020, 1040},
        test_case{100, 100, 1290, 1310}}) {
    retry_policy policy;
    int allowed = 0;
    instant now{};
    for (int tick = 0; tick < 100 * test.length_s; ++tick) {
      now += milliseconds(10);
      for (int i = 0; i < test.first_attempts_per_s / 100; ++i) {
        policy.OnFirstAttempt("ledger", now);
      }
      while (policy.Allow(Call(true), 1,
                          {outcome_kind::kNotRun, reason::kConnectFailed, 0},
                          seconds(1), now)) {
        ++allowed;
      }
    }
    CAPTURE(test.first_attempts_per_s);
    CHECK(allowed >= test.min_allowed);
    CHECK(allowed <= test.max_allowed);
    call_info other_service_call = Call(true);
    other_service_call.service = "refunds";
    CHECK(policy.Allow(other_service_call, 1,
                       {outcome_kind::kNotRun, reason::kConnectFailed, 0},
                       seconds(1), now));
  }
}

// Guards against a large burst of retries after a long idle period.
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
