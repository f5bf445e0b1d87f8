#ifndef PIMENTOHALL_CORE_INGRESS_H_
#define PIMENTOHALL_CORE_INGRESS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/admission.h"
#include "core/config_store.h"
#include "core/contract_allocator.h"
#include "core/retry_policy.h"
#include "core/router.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Handles the calls that enter the mesh at this daemon: admits each call under
// its organisation's contract, forwards one attempt at a time, and answers the
// caller exactly once.
//
// A call is in one of two states: waiting for tokens, or with one attempt in
// flight. Invariants: at most one attempt of a call is in flight; the permit is
// held from admission to the answer; the token is returned only if no attempt
// may have run; "not run" is answered only if it is certain that no attempt
// ran.
class ingress {
 public:
  // Maximum number of calls in flight; further calls are refused.
  static constexpr std::size_t kMaxCalls = 4096;
  // Maximum number of mesh calls above a call. Chains of 24 must work; a chain
  // beyond this maximum is treated as a loop.
  static constexpr int kMaxDepth = 32;
  static constexpr std::int64_t kMaxDeadlineMs = 60'000;
  // How long after the deadline the ingress waits for the outcome from the
  // egress daemon, which can often report that a queued call did not run.
  static constexpr duration kOutcomeGrace = std::chrono::milliseconds(100);

  // Collaborators of an ingress. All must outlive it.
  struct modules {
    const config_store* store = nullptr;
    contract_allocator* allocator = nullptr;
    router* routes = nullptr;
    retry_policy* retries = nullptr;
    // Returns true if calls with this fingerprint are quarantined because they
    // crash upstreams.
    std::function<bool(std::uint64_t, instant)> is_quarantined;
    // Called with the fingerprint of each call that an upstream answered or
    // shed, which shows that the call does not crash upstreams.
    std::function<void(std::uint64_t)> on_answered;
  };

  ingress(std::string vm, std::uint64_t incarnation, modules modules);

  void OnCallArrived(const call_arrived& call, instant now, actions* out);
  // Refuses a call that arrived before the daemon was ready.
  void RefuseNotReady(const call_arrived& call, instant now, actions* out);
  void OnCallCancelled(const call_cancelled& cancelled, instant now,
                       actions* out);
  void OnPeerAnswer(const peer_answer& answer, instant now, actions* out);
  void OnForwardFailed(const forward_failed& failure, instant now,
                       actions* out);
  void OnCallLinkDown(const std::string& vm, instant now, actions* out);
  void Tick(instant now, actions* out);
  instant NextWake() const;

  // New calls are refused; calls in flight finish.
  void BeginStop();
  bool IsIdle() const;
  std::size_t CallsInFlight() const;
  const counters& Counters() const;

 private:
  struct call {
    call_id id = 0;
    call_info info;
    bool charged = false;       // Holds a permit and has spent a token.
    bool may_have_run = false;  // For at least one attempt.
    int attempts = 0;
    attempt_id attempt = 0;  // In flight, or 0 while waiting for tokens.
    std::string attempt_vm;
    std::vector<std::string> tried;  // Names of upstreams.
    instant deadline;
    instant token_deadline;  // While waiting for tokens.
  };
  // The result of one attempt.
  struct attempt_end {
    outcome_kind outcome = outcome_kind::kNotRun;
    reason why = reason::kNone;
    int http_status = 0;
    const upstream_load* load = nullptr;
  };
  // What the caller is answered.
  struct caller_answer {
    outcome_kind outcome = outcome_kind::kNotRun;
    reason why = reason::kNone;
    int http_status = 0;
    attempt_id attempt = 0;  // Whose answer is relayed, or 0.
  };

  void Refuse(const call_arrived& arrived, const std::string& organisation,
              reason why, instant now, actions* out);
  void Admit(call* c, instant now, actions* out);
  void StartAttempt(call* c, instant now, actions* out);
  void EndAttempt(call* c, const attempt_end& end, instant now, actions* out);
  void Answer(call* c, const caller_answer& answer, instant now, actions* out);
  void OnTimeout(call* c, instant now, actions* out);
  void AdmitWaiting(instant now, actions* out);
  call* FindByAttempt(attempt_id attempt);
  void Schedule(instant due, call_id id);

  std::string vm_;
  attempt_id next_attempt_;
  modules modules_;
  bool stopping_ = false;
  std::unordered_map<call_id, call> calls_;
  std::unordered_map<attempt_id, call_id> attempts_;
  std::deque<call_id> waiting_;  // For tokens, in order of arrival.
  std::uint64_t seen_generation_ = 0;
  std::set<std::pair<instant, call_id>> timers_;
  counters counters_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_INGRESS_H_
