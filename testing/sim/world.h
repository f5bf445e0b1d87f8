#ifndef PIMENTOHALL_SIM_WORLD_H_
#define PIMENTOHALL_SIM_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pimentohall/core.h"
#include "sim/event_queue.h"
#include "sim/oracle.h"
#include "sim/source_model.h"
#include "sim/upstream_model.h"

namespace pimentohall::sim {

// Sizes and times of a deployment.
struct world_options {
  std::uint64_t seed = 1;
  core::duration zone_latency = std::chrono::microseconds(200);
  core::duration cross_zone_latency = std::chrono::milliseconds(1);
  core::duration service_time = std::chrono::milliseconds(10);
  int slots = 10;
};

// A steady, open-loop stream of calls of one organisation.
struct load_options {
  std::string organisation;
  std::string key_digest;
  double rate_per_s = 10;
  std::string method = "GET";
  std::string path;
  std::vector<std::string> vms;  // Entered in turn.
  core::instant until;
};

// A handful of engines over a fake network in virtual time, with models of the
// source and the upstreams. Links between two daemons keep the order of their
// messages; a partition holds messages back until it heals or the link times
// out.
class world {
 public:
  world(world_options options, std::map<std::string, std::string> parts,
        config::vm_list vms);
  ~world();

  event_queue& Queue() { return queue_; }
  source_model& Source() { return source_; }
  oracle& Oracle() { return oracle_; }
  const config::vm_list& Vms() const { return vms_; }

  // Publishes the parts, or the VM list, with the next version.
  void PublishParts();
  void PublishVms();
  std::map<std::string, std::string>& Parts() { return parts_; }
  config::vm_list& MutableVms() { return vms_; }
  std::uint64_t PublishedVersion() const { return version_; }

  void StartNode(const std::string& vm);
  void KillNode(const std::string& vm);
  void PauseNode(const std::string& vm);
  void ResumeNode(const std::string& vm);
  void StopNode(const std::string& vm);
  bool IsRunning(const std::string& vm) const;

  // VMs of different groups can't reach each other; VMs outside any group
  // reach all. The source is reachable unless its name "source" is in a group.
  void Partition(const std::vector<std::set<std::string>>& groups);
  void Heal();

  upstream_model& Upstream(const std::string& name);
  std::vector<std::string> UpstreamNames() const;
  // Reports of health and load say "idle" whatever is true.
  void SetMisleadingReports(bool misleading) { misleading_ = misleading; }

  core::call_id SendCall(const std::string& vm, const std::string& method,
                         const std::string& path,
                         const std::string& organisation,
                         const std::string& key_digest,
                         const std::string& idempotency_key = "");
  void AddLoad(const load_options& load);

  // Lowest version in force at a running node; 0 if one has none.
  std::uint64_t LowestVersion() const;
  // Number of times that a node's version in force went back.
  std::uint64_t Regressions() const { return regressions_; }
  // Time of the last start of a call at an upstream of this VM.
  core::instant LastStartAt(const std::string& vm) const;
  core::instant LastStartFor(const std::string& organisation) const;
  // Time at which the last node had the published version in force.
  core::instant ConvergedAt() const { return converged_at_; }
  std::uint64_t CutByPlannedStop() const { return cut_by_planned_stop_; }
  // Events after which an engine wanted to be woken at once, although its
  // timers had just run: such an engine keeps a processor busy.
  std::uint64_t BusyWakes() const { return busy_wakes_; }
  std::string Dump(const std::string& vm) const;

  // Text of everything that callers and operators saw, for golden files.
  const std::string& Session() const { return session_; }
  void Note(const std::string& line);

 private:
  struct node;
  struct link {
    bool up = false;
    std::uint64_t generation = 0;
  };
  using vm_pair = std::pair<std::string, std::string>;

  node* Find(const std::string& vm);
  static bool IsAccepting(const node& n);
  bool Reachable(const std::string& a, const std::string& b) const;
  core::duration Latency(const std::string& a, const std::string& b);
  void Deliver(const std::string& vm, std::uint64_t life, core::event event);
  void Feed(node* n, const core::event& event);
  void ArmTimer(node* n);
  void CheckVersion(const node& n);
  void Send(const std::string& from, const std::string& to, bool calls,
            core::event event);
  void Transmit(const vm_pair& direction, core::event event);
  void FlushHeld();
  void BreakLinks(const std::string& vm);
  void TimeOutLinks(std::uint64_t partition);
  void OpenLink(const std::string& from, const core::open_link& open);
  void Report();
  void NextLoadCall(const load_options& load, std::size_t turn);

  // One overload for each action.
  void Do(node* n, const core::answer_call& action);
  void Do(node* n, const core::forward_call& action);
  void Do(node* n, const core::cancel_forward& action);
  void Do(node* n, const core::start_upstream_call& action);
  void Do(node* n, const core::cancel_upstream_call& action);
  void Do(node* n, const core::answer_peer& action);
  void Do(node* n, const core::send_message& action);
  void Do(node* n, const core::open_link& action);
  void Do(node* n, const core::close_link& action);
  void Do(node* n, const core::read_source& action);
  void Do(node* n, const core::config_in_force& action);
  void Do(node* n, const core::log_entry& action);
  void Do(node* n, const core::stop_finished& action);

  world_options options_;
  event_queue queue_;
  std::mt19937_64 random_;
  source_model source_;
  oracle oracle_;
  std::map<std::string, std::string> parts_;
  config::vm_list vms_;
  std::uint64_t version_ = 0;
  std::map<std::string, std::unique_ptr<node>> nodes_;
  std::map<std::string, std::unique_ptr<upstream_model>> upstreams_;
  std::map<vm_pair, link> links_;  // Ordered pair (lower, higher name).
  std::map<vm_pair, core::instant> last_delivery_;
  std::vector<std::pair<vm_pair, core::event>> held_;
  std::vector<std::set<std::string>> groups_;
  std::uint64_t partition_ = 0;
  std::map<core::attempt_id, core::call_id> attempts_;
  std::map<std::string, core::instant> last_start_at_;
  std::map<std::string, core::instant> last_start_for_;
  std::map<std::string, std::uint64_t> highest_seen_;
  std::uint64_t regressions_ = 0;
  core::instant converged_at_{};
  std::uint64_t cut_by_planned_stop_ = 0;
  std::uint64_t busy_wakes_ = 0;
  bool misleading_ = false;
  core::call_id next_call_ = 1;
  std::string session_;
};

}  // namespace pimentohall::sim

#endif  // PIMENTOHALL_SIM_WORLD_H_
