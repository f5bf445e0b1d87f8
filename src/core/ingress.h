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

// Calls that entered the mesh at this daemon: admits each call against its
// organisation's contract, forwards one attempt at a time, and answers the
// caller exactly once.
//
// A call is in one of two states: waiting for tokens, or with one attempt in
// flight. Invariants: at most one attempt of a call is in flight; the permit
// is held from admission to the answer; the token goes back only if no attempt
// may have run; "not run" is answered only if every attempt certainly did not
// run.
class ingress {
 public:
  // Greatest number of calls in flight; further calls are refused.
  static constexpr std::size_t kMaxCalls = 4096;
  // Greatest number of mesh calls above a call. The target is 24; a longer
  // chain is taken for a loop.
  static constexpr int kMaxDepth = 32;
  static constexpr std::int64_t kMaxDeadlineMs = 60'000;
  // How long past the deadline the egress daemon's verdict is awaited: it often
  // knows that a queued call did not run.
  static constexpr duration kVerdictGrace = std::chrono::milliseconds(100);

  // The parts that an ingress decides with. All must outlive it.
  struct parts {
    const config_store* store = nullptr;
    contract_allocator* allocator = nullptr;
    router* routes = nullptr;
    retry_policy* retries = nullptr;
    // True if calls with this fingerprint crash upstreams.
    std::function<bool(std::uint64_t, instant)> is_quarantined;
    // Told the fingerprint of each call that an upstream answered: it does not
    // crash upstreams.
    std::function<void(std::uint64_t)> on_answered;
  };

  ingress(std::string vm, std::uint64_t incarnation, parts parts);

  void OnCallArrived(const call_arrived& call, instant now, actions* out);
  // Answers a call that came before the daemon is ready.
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
    bool may_have_run = false;  // Some attempt was not certainly not run.
    int attempts = 0;
    attempt_id attempt = 0;  // In flight; 0: waiting for tokens.
    std::string attempt_vm;
    std::vector<std::string> tried;
    instant deadline;
    instant wait_until;  // While waiting for tokens.
  };
  // What an attempt ended with.
  struct attempt_end {
    outcome_kind outcome = outcome_kind::kNotRun;
    reason why = reason::kNone;
    int http_status = 0;
    const upstream_load* load = nullptr;
  };
  struct caller_answer {
    outcome_kind outcome = outcome_kind::kNotRun;
    reason why = reason::kNone;
    int http_status = 0;
    attempt_id attempt = 0;
  };

  void Refuse(const call_arrived& arrived, const std::string& organisation,
              reason why, instant now, actions* out);
  void Admit(call* c, instant now, actions* out);
  void StartAttempt(call* c, instant now, actions* out);
  void EndAttempt(call* c, const attempt_end& end, instant now, actions* out);
  void Answer(call* c, const caller_answer& answer, instant now, actions* out);
  void GiveUpAtDeadline(call* c, instant now, actions* out);
  void RetryWaiting(instant now, actions* out);
  call* FindByAttempt(attempt_id attempt);
  void Schedule(instant when, call_id id);

  std::string vm_;
  attempt_id next_attempt_;
  parts parts_;
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
