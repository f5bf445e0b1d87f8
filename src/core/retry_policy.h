#ifndef PIMENTOHALL_CORE_RETRY_POLICY_H_
#define PIMENTOHALL_CORE_RETRY_POLICY_H_

#include <string>
#include <unordered_map>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Decides whether a call may be retried. A call that is not idempotent is
// retried only if it certainly did not run.
class retry_policy {
 public:
  static constexpr int kMaxAttempts = 3;
  // Retry budget of each service: a share of its first attempts, plus a
  // constant rate so that services with few calls can retry too.
  static constexpr double kShareOfFirstAttempts = 0.1;
  static constexpr double kRatePerSecond = 3;
  static constexpr double kMaxBurst = 30;
  // A short call over a new connection to a zone 3 ms away takes about this
  // long.
  static constexpr duration kMinRemaining = std::chrono::milliseconds(10);

  // Counts a first attempt, which adds its share to the service's budget.
  void OnFirstAttempt(const std::string& service, instant now);

  struct attempt_result {
    outcome_kind outcome = outcome_kind::kNotRun;
    reason why = reason::kNone;
    int http_status = 0;
  };
  // Returns true if another attempt is allowed, and then charges it to the
  // service's budget. `call.retry` is set if the call already arrived as a
  // retry; retries by this daemon don't set it.
  bool Allow(const call_info& call, int attempts_made,
             const attempt_result& result, duration remaining, instant now);

 private:
  struct budget {
    double tokens = kRatePerSecond;  // Retries that may still be made.
    instant refilled_at{};
  };
  budget& Refill(const std::string& service, instant now);

  std::unordered_map<std::string, budget> budgets_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_RETRY_POLICY_H_
