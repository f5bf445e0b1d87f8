#ifndef PIMENTOHALL_NODE_EGRESS_H_
#define PIMENTOHALL_NODE_EGRESS_H_

// Guards the upstream on this VM: the only part that gives it work. It takes
// calls from the ingress of every daemon, this one included, queues them, and
// runs at most as many as the upstream has slots.
//
// What is known of an attempt is exact here. An attempt is answered kNotRun
// only if no byte of it was written to the upstream, and one that was answered
// so is never started. An attempt whose link to its ingress closed is dropped
// or cancelled.

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
  // Takes over the entry that names this VM's upstream, after each change of
  // the directory or the configuration.
  void OnDirectory();
  // Refuses new calls; the running and waiting ones finish.
  void BeginStop();
  bool IsIdle() const { return calls_.empty(); }
  std::size_t Running() const { return running_.size(); }
  std::size_t Queued() const { return queue_.Size(); }

  std::optional<mesh::load_news> Load() const;
  // Reports of the last seconds, to be told to the other daemons.
  std::vector<core::crash_report> CrashNews() const;
  void OnCrashNews(const core::crash_report& report);

  // The answer to another daemon's question for the source's items; gets the
  // question's path and query.
  std::function<std::string(const std::string& target)> on_mirror_asked;

 private:
  struct call;
  using call_ptr = std::shared_ptr<call>;
  enum class upstream_state { kUnknown, kUp, kDown };

  void OnRequest(const std::shared_ptr<stream::connection>& conn,
                 stream::message_head head);
  void OnAttemptQuestion(const std::shared_ptr<stream::connection>& conn,
                         const std::string& attempt);
  void Reply(const std::shared_ptr<stream::connection>& conn, int status,
             const std::string& type, const std::string& body);
  void OnBody(const call_ptr& which, std::string_view bytes);
  void OnBodyEnd(const call_ptr& which);
  core::reason FindRefusal(const call& which, instant now) const;
  void Enqueue(const call_ptr& which);
  // Starts waiting calls while there is room.
  void Pump();
  void StartCall(const call_ptr& which);
  // Keeps the share of repeats among the running calls current.
  void NoteRepeats();
  duration ExpectedTime(const call_header& of) const;
  duration RunningWork(instant now) const;

  void OnAnswerHead(const call_ptr& which, stream::message_head head);
  void OnAnswerData(const call_ptr& which, std::string_view bytes);
  void OnAnswerEnd(const call_ptr& which);
  void OnFailed(const call_ptr& which, stream::failure why);
  void OnLinkClosed(const call_ptr& which);

  void Refuse(const call_ptr& which, core::reason why, duration retry_after);
  void SendOutcome(const call_ptr& which, outcome what, core::reason why,
                   duration retry_after);
  outcome_header OutcomeOf(const call& which, outcome what, core::reason why,
                           instant now) const;
  void SendAnswer(const call_ptr& which);
  void Forget(const call_ptr& which);
  void LogEnd(const call& which, outcome what, core::reason why);

  void OnUpstreamUp();
  void OnUpstreamDown();
  void NoteLost(const call& which);
  void ExpireCrashNews(instant now);
  void Probe();
  void OnHealth(const health_answer& health);
  void SetCold(duration left);
  void ScheduleWake();
  // Refuses waiting calls that won't start in time any more.
  void RefuseOvertaken();
  void Tick();

  fleet_state& fleet_;
  stream::server server_;
  stream::client_pool pool_;
  net::http_client probes_;
  std::optional<mesh::upstream> upstream_;
  upstream_state state_ = upstream_state::kUnknown;
  bool probing_ = false;
  instant probed_at_{};
  bool stopping_ = false;

  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, call_ptr> calls_;  // By queue id.
  std::unordered_map<std::uint64_t, call_ptr> running_;
  std::unordered_map<std::string, std::uint64_t> by_attempt_;
  mesh::attempt_register attempts_;
  mesh::work_queue queue_;
  mesh::warmup_gate gate_;
  mesh::time_estimator times_;
  double slowness_ = 1;
  instant wake_at_ = instant::max();
  sigc::connection wake_timer_;
  sigc::connection tick_timer_;

  core::crash_guard guard_;
  std::vector<std::uint64_t> lost_;  // Fingerprints of calls lost together.
  instant lost_at_{};
  std::uint64_t crashes_ = 0;
  std::vector<std::pair<instant, core::crash_report>> crash_news_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_EGRESS_H_
