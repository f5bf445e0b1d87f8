#ifndef PIMENTOHALL_NODE_EGRESS_H_
#define PIMENTOHALL_NODE_EGRESS_H_

// Forwards calls to the upstream on this VM; no other part does. It receives
// calls from the ingress of every daemon, this one included, queues them, and
// runs at most as many at a time as the upstream has slots.
//
// The outcome of an attempt is exact here. An attempt is answered kNotRun only
// if no byte of it was written to the upstream, and it is never started after
// that answer. An upstream's answer counts only if it names the request: an
// earlier answer, a refusal above all, may arrive again on a connection that is
// in use by the next request. When the link to an attempt's ingress closes, the
// attempt is removed from the queue, or cancelled if it runs. An upstream may
// go on with a cancelled run, which then takes one of its slots: with overload
// control or cost routing, no more calls are started than
// `sched::upstream_monitor` finds room for.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/crash_guard.h"
#include "node/call_header.h"
#include "node/fleet_state.h"
#include "pimentohall/stream.h"

namespace pimentohall::node {

class egress {
 public:
  explicit egress(fleet_state& fleet);
  ~egress();

  tl::expected<int, std::string> Listen();
  // Applies the directory entry of this VM's upstream. To be called after each
  // change of the directory or the configuration.
  void OnDirectory();
  // A planned stop: queued calls that can't end by `fleet_state::stop_ends_at`
  // return to their ingress, which may send them elsewhere.
  void LimitQueue();
  // Refuses new calls; running and queued calls finish.
  void BeginStop();
  // Returns all queued calls to their ingress.
  void RefuseQueued();
  bool IsIdle() const { return calls_.empty(); }
  std::size_t Running() const { return running_.size(); }
  std::size_t Queued() const { return queue_.Size(); }
  // Higher ranks aren't taken at present.
  int RankLimit() const { return queue_.RankLimit(); }
  // Slots that are kept for nested calls.
  int ReservedSlots(instant now) const;
  const stream::server& Server() const { return server_; }

  std::optional<mesh::load_news> Load() const;
  const sched::upstream_monitor& Monitor() const { return monitor_; }
  // Calls that may run at the upstream at present; 0: no upstream.
  int UsableSlots(instant now) const;
  const stream::pool_counts& UpstreamConnections() const {
    return pool_.Counts();
  }
  // Recent crash reports, to be sent to the other daemons.
  std::vector<core::crash_report> CrashNews() const;
  void OnCrashNews(const core::crash_report& report);
  // What this daemon holds of crashes, its own and those of others.
  std::vector<core::crash_report> KnownCrashes() const;

  // Answers another daemon's request for items of the source. The argument is
  // the request's path and query.
  std::function<std::string(const std::string& target)> on_mirror_request;
  // Answers another daemon's request for the known crashes.
  std::function<std::string()> on_crashes_request;

 private:
  struct call;
  using call_ptr = std::shared_ptr<call>;
  enum class upstream_state { kUnknown, kUp, kDown };

  void OnRequest(const std::shared_ptr<stream::server_exchange>& inbound,
                 stream::message_head head);
  void OnAttemptQuery(const std::shared_ptr<stream::server_exchange>& inbound,
                      const std::string& query);
  void Reply(const std::shared_ptr<stream::server_exchange>& inbound,
             int status, const std::string& type, const std::string& body);
  void OnBody(const call_ptr& call, std::string_view bytes);
  void OnBodyEnd(const call_ptr& call);
  bool MayGetCalls() const;
  core::reason FindRefusal(const call& call, instant now) const;
  void DecideBeforeBody(const call_ptr& call);
  void Enqueue(const call_ptr& call);
  mesh::work_item WorkItem(const call& call) const;
  // Expected remaining time of the running calls; 0 if a slot is free for this
  // one.
  duration WorkAhead(const call& call, instant now) const;
  bool HasSlot(bool nested, instant now) const;
  // Whether a slot is free for a call that waits.
  bool CanStartOne(instant now) const;
  // Starts queued calls while the upstream has free slots.
  void StartQueuedCalls();
  void StartCall(const call_ptr& call);
  void RemoveRunning(const call& call);
  // At this upstream's speed.
  sched::cost_estimate ExpectedTime(const call& call) const;
  // Expected time left of a running call.
  duration RemainingTime(const call& call, instant now) const;
  void ObserveCost(const call& call, duration took, instant now);
  bool BoundsSlots() const;
  // False while the upstream sheds calls.
  bool MayStart(instant now) const;
  void OnShed(const call& call, instant now);
  // Expected time of work at the upstream that isn't counted as running.
  duration HiddenWork(duration usual, instant now) const;
  // The upstream may go on with a call that was cancelled or failed.
  void OnAbandoned(instant now);
  // Starts queued calls when slots become usable without an answer.
  void RecheckSlots(instant now);
  // Duration of work at this upstream now, relative to the usual one.
  double TimeFactor(instant now) const;
  duration RunningWork(instant now) const;

  void OnAnswerHead(const call_ptr& call, stream::message_head head);
  void OnAnswerData(const call_ptr& call, std::string_view bytes);
  void OnAnswerEnd(const call_ptr& call);
  void OnFailed(const call_ptr& call, stream::failure failure);
  void OnLinkClosed(const call_ptr& call);

  void Refuse(const call_ptr& call, core::reason reason, duration retry_after);
  void SendOutcome(const call_ptr& call, outcome result, core::reason reason,
                   duration retry_after);
  outcome_header BuildOutcome(const call& call, outcome result,
                              core::reason reason, instant now) const;
  void SendAnswer(const call_ptr& call);
  // Adds what runs of the call's route need, if its ingress is due for it.
  void AddNeeds(const call& call, instant now, outcome_header* outcome_info);
  void RemoveCall(const call_ptr& call);
  void LogEnd(const call& call, outcome result, core::reason reason);

  void OnUpstreamUp();
  void OnUpstreamDown();
  void RecordLostCall(const call& call);
  void ExpireCrashNews(instant now);
  // Why the upstream's health is checked: whether it is there and how loaded,
  // or only whether it is warm.
  enum class probe_purpose { kState, kWarmth };
  void Probe(probe_purpose purpose = probe_purpose::kState);
  void OnHealth(const health_answer& health, probe_purpose purpose,
                std::uint64_t taken_before);
  // Asks the upstream if it is warm, when calls beyond the rate of a cold one
  // depend on it.
  void AskIfWarm();
  const mesh::service* UpstreamService() const;
  void SetCold(duration left);
  void ScheduleWake();
  // The order of the queue, by the settings and the configuration in force.
  void SetQueueOrder();
  // Refuses queued calls that can no longer start in time.
  void RefuseOvertaken();
  void EndOverdueCalls(instant now);
  void Tick();

  fleet_state& fleet_;
  stream::server server_;
  stream::client_pool pool_;
  net::http_client probes_;
  // Apart from the others, so that calls don't wait for one that isn't
  // answered.
  net::http_client warmth_probes_;
  std::optional<mesh::upstream> upstream_;
  upstream_state state_ = upstream_state::kUnknown;
  bool probing_ = false;
  instant probed_at_{};
  bool asking_if_warm_ = false;
  instant asked_if_warm_at_{};
  bool stopping_ = false;

  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, call_ptr> calls_;  // By queue id.
  std::unordered_map<std::uint64_t, call_ptr> running_;
  std::unordered_map<std::string, std::uint64_t> by_attempt_;
  mesh::attempt_register attempts_;
  mesh::work_queue queue_;
  bool controls_overload_ = false;  // As of the last `SetQueueOrder`.
  mesh::warmup_gate gate_;
  mesh::time_estimator times_;
  sched::nested_reserve reserve_;
  sched::need_reporter need_reports_;
  double slowness_ = 1;
  sched::upstream_monitor monitor_;
  sched::shed_breaker breaker_;
  instant wake_at_ = instant::max();
  sigc::connection wake_timer_;
  sigc::connection tick_timer_;

  core::crash_guard guard_;
  // Fingerprints of calls lost within one crash window.
  std::vector<std::uint64_t> lost_fingerprints_;
  instant lost_at_{};
  std::uint64_t crashes_ = 0;
  std::vector<std::pair<instant, core::crash_report>> crash_news_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_EGRESS_H_
