#ifndef PIMENTOHALL_CORE_EGRESS_H_
#define PIMENTOHALL_CORE_EGRESS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/crash_guard.h"
#include "core/dedup_cache.h"
#include "core/fair_queue.h"
#include "core/slot_limiter.h"
#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Guards the upstreams beside this VM: decides when each forwarded call starts,
// waits or is refused, and what is known of its fate. The only part that gives
// work to these upstreams.
//
// A call is waiting, running, or abandoned: cancelled or past its deadline, but
// still in the hands of its upstream. Each attempt is started at most once and
// answered at most once; one that its ingress daemon cancelled is not answered.
// Attempts are remembered for `kAttemptMemory`, so a doubled message has no
// effect. "Not run" is answered only for attempts that were never started or
// that the host gave back as kNotSent.
//
// The host must report the end of each started call, cancelled ones included:
// this frees the slot. Without a report the slot of an abandoned call is freed
// after `kAbandonedSlot`.
class egress {
 public:
  static constexpr std::size_t kMaxCalls = 4096;
  // The greatest deadline; a message that is later than that is too late
  // anyway.
  static constexpr duration kAttemptMemory = std::chrono::seconds(60);
  static constexpr std::size_t kMaxAttemptsRemembered = 65536;
  static constexpr duration kAbandonedSlot = std::chrono::seconds(5);
  // A suspect of a crash runs alone. Others wait at most this long for it to
  // start and then to end: a crash usually comes early in a call.
  static constexpr duration kAloneWait = std::chrono::seconds(1);
  // A refused connection this long after a lost call makes the loss a crash.
  static constexpr duration kCrashWindow = std::chrono::seconds(10);
  // Connections of a crashed process break within a few milliseconds.
  static constexpr duration kLostTogether = std::chrono::milliseconds(200);
  // An upstream said to be draining by reports alone gets a call after this
  // time; if it is answered, such reports are ignored for a while.
  static constexpr duration kDrainProbe = std::chrono::seconds(10);
  static constexpr duration kDrainReportsIgnored = std::chrono::seconds(60);
  // An upstream that drains by its own answer is tried again after this time.
  static constexpr duration kDrainMemory = std::chrono::seconds(60);

  // `seed` makes the identifiers of crashes unique among the starts of this
  // VM's daemon.
  egress(std::string vm, std::uint64_t seed);

  // Takes over the upstreams whose `vm` is this one; calls of removed
  // upstreams finish, waiting ones are answered "not run".
  void SetConfig(std::shared_ptr<const config::config_set> set, instant now,
                 actions* out);

  void OnPeerCall(const peer_call& call, instant now, actions* out);
  void OnPeerCancel(const peer_cancel& cancel, instant now, actions* out);
  // The link to the ingress daemon closed: its waiting calls are dropped and
  // its running ones cancelled.
  void OnPeerGone(const std::string& vm, instant now, actions* out);
  void OnUpstreamAnswered(const upstream_answered& answer, instant now,
                          actions* out);
  void OnUpstreamFailed(const upstream_failed& failure, instant now,
                        actions* out);
  void OnUpstreamReport(const upstream_report& report, instant now,
                        actions* out);
  void OnCrashReport(const crash_report& report, instant now);
  // A call with this fingerprint was answered at another daemon.
  void OnAnsweredElsewhere(std::uint64_t fingerprint);
  // New calls are answered "not run"; running and waiting calls finish.
  void BeginStop();
  void Tick(instant now, actions* out);
  instant NextWake() const;

  // Crash reports made here since the last call; the engine sends them to all
  // linked peers.
  std::vector<crash_report> TakeCrashReports();
  // True if calls with this fingerprint are refused now.
  bool IsQuarantined(std::uint64_t fingerprint, instant now) const;

  bool IsIdle() const;  // No call waits or runs.

  struct view {
    std::string upstream;
    std::string state;  // "cold", "warm", "draining", "down"
    upstream_load load;
    std::uint64_t started = 0;
    std::uint64_t shed = 0;
    std::uint64_t lost = 0;
  };
  std::vector<view> View(instant now) const;

 private:
  using attempt_key = std::pair<attempt_id, std::string>;  // With its VM.
  enum class call_state { kWaiting, kRunning, kAbandoned };

  // Connections lost within a short time, until it is known whether the
  // upstream died.
  struct loss {
    std::vector<std::uint64_t> fingerprints;  // Not yet reported as a crash.
    bool alone = false;
    std::uint64_t crash = 0;    // 0: not known to be a crash.
    std::uint64_t started = 0;  // Answers to later starts: the upstream lives.
    instant at{};
  };

  struct guarded {
    config::upstream upstream;
    slot_limiter limiter;
    fair_queue queue;
    std::set<std::uint64_t> running;  // Serials; abandoned ones included.
    std::optional<std::uint64_t> alone;
    instant alone_since{};
    std::optional<instant> alone_wanted_since;
    instant dispatched_at = instant::min();
    std::optional<loss> last_loss;
    bool drains_by_answer = false;
    instant draining_until{};
    instant drain_reports_ignored_until{};
    std::uint64_t started = 0;
    std::uint64_t shed = 0;
    std::uint64_t lost = 0;
  };

  struct call {
    std::string vm;
    attempt_id attempt = 0;
    call_info info;
    guarded* at = nullptr;
    call_state state = call_state::kWaiting;
    instant deadline{};
    instant timer{};
    bool holds_key = false;
    bool timed_out = false;
    slot_limiter::ticket ticket;
  };
  using call_table = std::map<std::uint64_t, call>;

  struct remembered_attempt {
    attempt_key key;
    instant at;
  };

  call* FindCall(const std::string& vm, attempt_id attempt,
                 std::uint64_t* serial);
  guarded* FindUpstream(const std::string& name) const;
  bool IsKnownAttempt(const attempt_key& key) const;
  void RememberAttempt(const attempt_key& key, instant now);
  void ForgetAttempts(instant now);

  reason RefusalOf(const call_info& info, const guarded* at, instant now) const;
  bool TakeKey(call* which, reason* why, instant now);
  void FinishKey(call* which, dedup_cache::fate fate, instant now);
  void Enqueue(std::uint64_t serial, instant now, actions* out);
  void Dispatch(guarded* at, instant now, actions* out);
  bool RefuseFront(guarded* at, instant now, actions* out);
  bool MayStartFront(guarded* at, instant now);
  void Start(std::uint64_t serial, instant now, actions* out);

  void Answer(const call& which, outcome_kind outcome, reason why,
              int http_status, instant now, actions* out) const;
  // Ends a waiting call that is no longer in its queue.
  void Refuse(std::uint64_t serial, reason why, instant now, actions* out);
  void DropWaiting(guarded* at, reason why, instant now, actions* out);
  // Ends a running or abandoned call and frees its slot.
  void EndRunning(std::uint64_t serial, slot_limiter::call_result result,
                  instant now);
  void Abandon(std::uint64_t serial, instant now, actions* out);
  void GiveUp(std::uint64_t serial, instant now, actions* out);
  void Forget(std::uint64_t serial, instant now);
  void SetTimer(std::uint64_t serial, instant at);
  void OnTimer(std::uint64_t serial, instant now, actions* out);

  void OnLost(guarded* at, std::uint64_t serial, instant now);
  void OnRefused(guarded* at, instant now);
  void ReportCrash(loss* lost, instant now);
  void OnDrainAnswer(guarded* at, const call& which, bool draining, instant now,
                     actions* out);
  static bool IsDraining(const guarded& at, instant now);
  static bool IsAloneRunning(const guarded& at, instant now);
  upstream_load LoadOf(const guarded& at, instant now) const;
  void TakeOver(const config::upstream& upstream, instant now, actions* out);
  std::unique_ptr<guarded> TakeRemoved(const config::upstream& upstream);
  void RemoveUpstream(std::unique_ptr<guarded> at, instant now, actions* out);

  std::string vm_;
  std::uint64_t crash_seed_;
  std::uint64_t crashes_ = 0;
  std::shared_ptr<const config::config_set> set_;
  std::map<std::string, std::unique_ptr<guarded>> upstreams_;
  // Removed ones, until their calls end.
  std::vector<std::unique_ptr<guarded>> removed_;
  call_table calls_;
  std::size_t abandoned_ = 0;
  // Deadlines of waiting and running calls; the time at which the slot of an
  // abandoned call is freed.
  std::set<std::pair<instant, std::uint64_t>> timers_;
  std::map<attempt_key, std::uint64_t> serials_;
  std::set<attempt_key> ended_;
  std::deque<remembered_attempt> ended_order_;
  std::uint64_t next_serial_ = 1;
  crash_guard guard_;
  dedup_cache keys_;
  std::vector<crash_report> reports_;
  bool is_stopping_ = false;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_EGRESS_H_
