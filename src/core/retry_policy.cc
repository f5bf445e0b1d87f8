#include "core/retry_policy.h"

#include <algorithm>

namespace pimentohall::core {
namespace {

// True for refusals that depend on the chosen upstream or its daemon, so that
// another upstream may accept the call.
bool IsLocalToUpstream(reason why) {
  switch (why) {
    case reason::kNotReady:
    case reason::kQueueFull:
    case reason::kConnectFailed:
    case reason::kShed:
    case reason::kUnknownUpstream:
    case reason::kStopping:
    case reason::kOverloaded:
    case reason::kPeerLost:
      return true;
    default:
      return false;
  }
}

bool IsRetryable(const call_info& call,
                 const retry_policy::attempt_result& result) {
  switch (result.outcome) {
    case outcome_kind::kNotRun:
      return IsLocalToUpstream(result.why);
    case outcome_kind::kMayHaveRun:
      return call.idempotent && result.why != reason::kDeadline &&
             result.why != reason::kCancelled;
    case outcome_kind::kAnswered:
      return call.idempotent && result.why == reason::kShed;
  }
  return false;
}

}  // namespace

retry_policy::budget& retry_policy::Refill(const std::string& service,
                                           instant now) {
  auto [found, is_new] = budgets_.try_emplace(service);
  budget& entry = found->second;
  if (!is_new && now > entry.refilled_at) {
    const std::chrono::duration<double> seconds = now - entry.refilled_at;
    entry.tokens =
        std::min(kMaxBurst, entry.tokens + kRatePerSecond * seconds.count());
  }
  entry.refilled_at = now;
  return entry;
}

void retry_policy::OnFirstAttempt(const std::string& service, instant now) {
  budget& entry = Refill(service, now);
  entry.tokens = std::min(kMaxBurst, entry.tokens + kShareOfFirstAttempts);
}

bool retry_policy::Allow(const call_info& call, int attempts_made,
                         const attempt_result& result, duration remaining,
                         instant now) {
  if (call.retry || attempts_made >= kMaxAttempts) return false;
  if (remaining < kMinRemaining) return false;
  if (!IsRetryable(call, result)) return false;
  budget& entry = Refill(call.service, now);
  if (entry.tokens < 1) return false;
  entry.tokens -= 1;
  return true;
}

}  // namespace pimentohall::core
