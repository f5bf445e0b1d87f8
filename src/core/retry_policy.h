#ifndef PIMENTOHALL_CORE_RETRY_POLICY_H_
#define PIMENTOHALL_CORE_RETRY_POLICY_H_

#include <string>
#include <unordered_map>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Decides whether a call may be tried again. A call that is not idempotent is
// tried again only after a certain "not run".
class retry_policy {
 public:
  static constexpr int kMaxAttempts = 3;
  // Budget of each service: a share of its first attempts plus a steady rate,
  // so that services with few calls can retry at all.
  static constexpr double kShareOfFirstAttempts = 0.1;
  static constexpr double kRatePerSecond = 3;
  static constexpr double kMaxBurst = 30;
  // Two zones 3 ms apart, a new connection and a short call need about this.
  static constexpr duration kMinRemaining = std::chrono::milliseconds(10);

  // Counts a first attempt; the budget is a share of these.
  void OnFirstAttempt(const std::string& service, instant now);

  struct attempt_result {
    outcome_kind outcome = outcome_kind::kNotRun;
    reason why = reason::kNone;
    int http_status = 0;
  };
  // True if another attempt is allowed; takes it from the service's budget.
  // `call.retry` tells how the call itself arrived, not whether this daemon
  // already retried it.
  bool Allow(const call_info& call, int attempts_made,
             const attempt_result& result, duration remaining, instant now);

 private:
  struct budget {
    double tokens = kRatePerSecond;
    instant filled{};
  };
  budget& Refill(const std::string& service, instant now);

  std::unordered_map<std::string, budget> budgets_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_RETRY_POLICY_H_
