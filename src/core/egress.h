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

// Schedules the calls to the upstreams beside this VM: decides when each
// forwarded call starts, waits or is refused, and determines its outcome. No
// other component sends calls to these upstreams.
//
// A call is waiting, running, or abandoned. An abandoned call was cancelled or
// passed its deadline, but its upstream may still be working on it. Each
// attempt is started at most once and answered at most once; an attempt that
// its ingress daemon cancelled is not answered. Ended and cancelled attempts
// are remembered for `kAttemptRetention`, so a duplicate message has no effect;
// if `kMaxRememberedAttempts` are remembered, the oldest is forgotten earlier.
// "Not run" is answered only for attempts that were never started or that the
// host reported as kNotSent.
//
// The host must report the end of each started call, including cancelled ones;
// the report frees the slot. Without a report, the slot of an abandoned call is
// freed after `kAbandonedSlotTimeout`.
class egress {
 public:
  static constexpr std::size_t kMaxCalls = 4096;
  // The maximum deadline of a call. A duplicate that arrives later than this
  // has passed its deadline anyway.
  static constexpr duration kAttemptRetention = std::chrono::seconds(60);
  static constexpr std::size_t kMaxRememberedAttempts = 65536;
  static constexpr duration kAbandonedSlotTimeout = std::chrono::seconds(5);
  // A call that is suspected of crashing upstreams runs isolated: no other call
  // runs beside it. Other calls wait at most this long for it to start, and at
  // most this long again for it to end. A crash usually comes early in a call.
  static constexpr duration kMaxIsolation = std::chrono::seconds(1);
  // A lost connection counts as a crash if the upstream refuses a connection
  // within this time after it.
  static constexpr duration kCrashWindow = std::chrono::seconds(10);
  // Two connections lost within this time count as one crash. The connections
  // of a crashed process break within a few milliseconds.
  static constexpr duration kLossBurstWindow = std::chrono::milliseconds(200);
  // An upstream that is draining according to reports alone is probed with a
  // call after `kDrainProbeDelay`. If the call is answered without a drain
  // mark, such reports are ignored for `kDrainReportsIgnoredFor`.
  static constexpr duration kDrainProbeDelay = std::chrono::seconds(10);
  static constexpr duration kDrainReportsIgnoredFor = std::chrono::seconds(60);
  // An upstream whose own answer said that it drains is tried again after this
  // time.
  static constexpr duration kDrainRetryDelay = std::chrono::seconds(60);

  // `seed` makes the identifiers of crashes unique across restarts of this VM's
  // daemon.
  egress(std::string vm, std::uint64_t seed);

  // Applies the configuration of the upstreams on this VM. Running calls of
  // removed upstreams finish; their waiting calls are answered "not run".
  void SetConfig(std::shared_ptr<const config::config_set> set, instant now,
                 actions* out);

  void OnPeerCall(const peer_call& call, instant now, actions* out);
  void OnPeerCancel(const peer_cancel& cancel, instant now, actions* out);
  // The link to the ingress daemon `vm` closed: drops its waiting calls and
  // cancels its running ones.
  void OnPeerGone(const std::string& vm, instant now, actions* out);
  void OnUpstreamAnswered(const upstream_answered& answer, instant now,
                          actions* out);
  void OnUpstreamFailed(const upstream_failed& failure, instant now,
                        actions* out);
  void OnUpstreamReport(const upstream_report& report, instant now,
                        actions* out);
  void OnCrashReport(const crash_report& report, instant now);
  // An upstream of this or another daemon answered or shed a call with this
  // fingerprint, and the answer reached the ingress of this daemon.
  void OnAnsweredElsewhere(std::uint64_t fingerprint);
  // From now on new calls are answered "not run"; running and waiting calls
  // finish.
  void BeginStop();
  void Tick(instant now, actions* out);
  instant NextWake() const;

  // Returns and clears the crash reports of this daemon; the engine sends them
  // to all linked peers.
  std::vector<crash_report> TakeCrashReports();
  // Returns whether calls with this fingerprint are refused at `now`.
  bool IsQuarantined(std::uint64_t fingerprint, instant now) const;

  bool IsIdle() const;  // No call waits or runs.

  // State of one upstream for status reports. The counters count calls since
  // the upstream was added.
  struct view {
    std::string upstream;
    std::string state;  // "cold", "warm", "draining", "down"
    upstream_load load;
    std::uint64_t started = 0;
    std::uint64_t shed = 0;
    std::uint64_t lost = 0;  // Calls whose connection broke.
  };
  std::vector<view> View(instant now) const;

 private:
  // An attempt and the VM of its ingress daemon.
  using attempt_key = std::pair<attempt_id, std::string>;
  enum class call_state { kWaiting, kRunning, kAbandoned };

  // Connections lost within `kLossBurstWindow` of the first one. Kept until it
  // is known whether the upstream crashed.
  struct connection_loss {
    std::vector<std::uint64_t> fingerprints;  // Not yet reported as a crash.
    bool alone = false;       // No call of another fingerprint was running.
    std::uint64_t crash = 0;  // Crash identifier; 0: not known to be a crash.
    // Number of calls started before the loss. An answer to a later call shows
    // that the upstream is still running.
    std::uint64_t started = 0;
    instant lost_at{};
  };

  struct upstream_state {
    config::upstream settings;
    slot_limiter limiter;
    fair_queue queue;
    // Serials of the running and abandoned calls.
    std::set<std::uint64_t> running;
    // Serial of the suspect call that runs isolated.
    std::optional<std::uint64_t> isolated;
    instant isolated_since{};
    // Since when the front call waits for the others to end, to run isolated.
    std::optional<instant> pending_since;
    instant last_dispatch = instant::min();
    std::optional<connection_loss> last_loss;
    bool drains_by_answer = false;  // By its own answer, not by reports alone.
    instant draining_until{};
    instant drain_reports_ignored_until{};
    std::uint64_t started = 0;
    std::uint64_t shed = 0;
    std::uint64_t lost = 0;
  };

  struct call_record {
    std::string vm;
    attempt_id attempt = 0;
    call_info info;
    upstream_state* upstream = nullptr;
    call_state state = call_state::kWaiting;
    instant deadline{};
    instant timer{};         // Its time in `timers_`.
    bool holds_key = false;  // Has reserved its idempotency key.
    bool timed_out = false;  // Abandoned because its deadline passed.
    slot_limiter::ticket ticket;
  };
  using call_table = std::map<std::uint64_t, call_record>;

  struct remembered_attempt {
    attempt_key key;
    instant remembered_at;
  };

  call_record* FindCall(const std::string& vm, attempt_id attempt,
                        std::uint64_t* serial);
  upstream_state* FindUpstream(const std::string& name) const;
  bool IsKnownAttempt(const attempt_key& key) const;
  void RememberAttempt(const attempt_key& key, instant now);
  void ExpireAttempts(instant now);

  reason FindRefusal(const call_info& info, const upstream_state* upstream,
                     instant now) const;
  bool ReserveKey(call_record* call, reason* why, instant now);
  void FinishKey(call_record* call, dedup_cache::key_outcome key_outcome,
                 instant now);
  void Enqueue(std::uint64_t serial, instant now, actions* out);
  void Dispatch(upstream_state* upstream, instant now, actions* out);
  bool RefuseFront(upstream_state* upstream, instant now, actions* out);
  bool MayStartFront(upstream_state* upstream, instant now);
  void Start(std::uint64_t serial, instant now, actions* out);

  void Answer(const call_record& call, outcome_kind outcome, reason why,
              int http_status, instant now, actions* out) const;
  // Ends a waiting call that is no longer in its queue.
  void Refuse(std::uint64_t serial, reason why, instant now, actions* out);
  void DropWaiting(upstream_state* upstream, reason why, instant now,
                   actions* out);
  // Ends a running or abandoned call and frees its slot.
  void EndRunning(std::uint64_t serial, slot_limiter::call_result result,
                  instant now);
  void Abandon(std::uint64_t serial, instant now, actions* out);
  void CancelCall(std::uint64_t serial, instant now, actions* out);
  void RemoveCall(std::uint64_t serial, instant now);
  void SetTimer(std::uint64_t serial, instant time);
  void OnTimer(std::uint64_t serial, instant now, actions* out);

  void OnConnectionLost(upstream_state* upstream, std::uint64_t serial,
                        instant now);
  void OnConnectionRefused(upstream_state* upstream, instant now);
  void ReportCrash(connection_loss* loss, instant now);
  void OnDrainAnswer(upstream_state* upstream, const call_record& call,
                     bool draining, instant now, actions* out);
  static bool IsDraining(const upstream_state& upstream, instant now);
  static bool IsRunningIsolated(const upstream_state& upstream, instant now);
  upstream_load FindLoad(const upstream_state& upstream, instant now) const;
  void ApplyUpstream(const config::upstream& settings, instant now,
                     actions* out);
  std::unique_ptr<upstream_state> ReclaimRemoved(
      const config::upstream& settings);
  void RemoveUpstream(std::unique_ptr<upstream_state> upstream, instant now,
                      actions* out);

  std::string vm_;
  std::uint64_t crash_seed_;
  std::uint64_t crash_count_ = 0;
  std::shared_ptr<const config::config_set> set_;
  std::map<std::string, std::unique_ptr<upstream_state>> upstreams_;
  // Upstreams removed from the configuration, kept at least until their calls
  // end.
  std::vector<std::unique_ptr<upstream_state>> removed_;
  call_table calls_;           // By serial.
  std::size_t abandoned_ = 0;  // Number of abandoned calls.
  // Timers by time, with the serial of the call: the deadline of a waiting or
  // running call, or the time at which the slot of an abandoned call is freed.
  std::set<std::pair<instant, std::uint64_t>> timers_;
  std::map<attempt_key, std::uint64_t> serials_;  // Attempts in `calls_`.
  // Attempts that must not start any more: ended, refused, or cancelled before
  // they arrived.
  std::set<attempt_key> ended_;
  std::deque<remembered_attempt> ended_order_;  // `ended_`, oldest first.
  std::uint64_t next_serial_ = 1;
  crash_guard guard_;
  dedup_cache idempotency_keys_;
  std::vector<crash_report> crash_reports_;
  bool is_stopping_ = false;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_EGRESS_H_
