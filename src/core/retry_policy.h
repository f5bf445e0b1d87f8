#ifndef PIMENTOHALL_CORE_RETRY_POLICY_H_
#define PIMENTOHALL_CORE_RETRY_POLICY_H_

#include <string>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Decides whether a call may be tried again. A call that is not idempotent is
// tried again only after a certain "not run".
class retry_policy {
 public:
  static constexpr int kMaxAttempts = 3;

  // Counts a first attempt; the budget is a share of these.
  void OnFirstAttempt(const std::string& service, instant now);

  struct attempt_result {
    outcome_kind outcome = outcome_kind::kNotRun;
    reason why = reason::kNone;
    int http_status = 0;
  };
  // True if another attempt is allowed; takes it from the service's budget.
  bool Allow(const call_info& call, int attempts_made,
             const attempt_result& result, duration remaining, instant now);
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_RETRY_POLICY_H_
