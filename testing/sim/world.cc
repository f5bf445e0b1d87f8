#include "sim/world.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace pimentohall::sim {
namespace {

// An established link that delivers nothing for this long is closed, as the
// daemon's links are.
constexpr core::duration kLinkTimeout = std::chrono::seconds(5);
constexpr core::duration kReportInterval = std::chrono::seconds(1);
// Reports describe the upstream as it was this long ago.
constexpr core::duration kReportLag = std::chrono::seconds(2);

std::pair<std::string, std::string> Unordered(const std::string& a,
                                              const std::string& b) {
  return a < b ? std::make_pair(a, b) : std::make_pair(b, a);
}

std::string VmListText(const config::vm_list& vms) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const config::vm& vm : vms.vms) {
    list.push_back(
        {{"name", vm.name},
         {"zone", vm.zone},
         {"address", vm.address},
         {"http_port", vm.http_port},
         {"link_port", vm.link_port},
         {"state", vm.state == config::vm_state::kLive ? "live" : "leaving"}});
  }
  return nlohmann::ordered_json(
             {{"format", 1}, {"version", vms.version}, {"vms", list}})
      .dump();
}

}  // namespace

struct world::node {
  std::string vm;
  std::string zone;
  std::unique_ptr<core::engine> engine;
  std::uint64_t life = 0;  // Counts starts; events of an earlier life are lost.
  bool paused = false;
  bool stopping = false;
  std::vector<core::event> held;  // While paused.
  core::instant wake = core::instant::max();
};

world::world(world_options options, std::map<std::string, std::string> parts,
             config::vm_list vms)
    : options_(options),
      random_(options.seed),
      source_(&queue_),
      parts_(std::move(parts)),
      vms_(std::move(vms)) {
  for (const config::vm& vm : vms_.vms) {
    auto n = std::make_unique<node>();
    n->vm = vm.name;
    n->zone = vm.zone;
    nodes_.emplace(vm.name, std::move(n));
  }
  PublishVms();
  PublishParts();
  Report();
}

world::~world() = default;

// A daemon listens for callers once it is ready and until it stops. A paused
// one still accepts connections: the kernel does.
bool world::IsAccepting(const node& n) {
  return n.engine != nullptr && n.engine->IsReady();
}

void world::Note(const std::string& line) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      queue_.Now().time_since_epoch());
  session_ += std::to_string(ms.count()) + "ms " + line + "\n";
}

void world::PublishParts() {
  std::map<std::string, std::string> by_digest;
  for (const auto& [name, bytes] : parts_) {
    const std::string digest = config::Sha256Hex(bytes);
    by_digest[digest] = bytes;
    source_.Put("parts/" + digest, bytes);
  }
  const std::string manifest_bytes = config::BuildManifest(++version_, parts_);
  source_.Put("manifest", manifest_bytes);
  const auto manifest = config::ParseManifest(manifest_bytes);
  if (!manifest) return;
  const auto set = config::AssembleSet(*manifest, by_digest);
  if (!set) return;
  for (const config::organisation& organisation : set->Organisations()) {
    oracle_.SetContract(organisation.name,
                        {queue_.Now(), organisation.limits.rate_per_s,
                         static_cast<double>(organisation.limits.burst)});
  }
  for (const config::service& service : set->Services()) {
    for (const config::upstream& upstream : service.upstreams) {
      auto& model = upstreams_[upstream.name];
      if (model != nullptr) continue;
      model = std::make_unique<upstream_model>(
          &queue_, options_.slots, options_.service_time, random_());
    }
  }
}

void world::PublishVms() {
  ++vms_.version;
  source_.Put("vms", VmListText(vms_));
}

world::node* world::Find(const std::string& vm) {
  const auto found = nodes_.find(vm);
  return found == nodes_.end() ? nullptr : found->second.get();
}

bool world::IsRunning(const std::string& vm) const {
  return nodes_.at(vm)->engine != nullptr;
}

void world::StartNode(const std::string& vm) {
  node* n = Find(vm);
  if (n == nullptr || n->engine != nullptr) return;
  ++n->life;
  n->paused = false;
  n->stopping = false;
  n->held.clear();
  core::engine_options options;
  options.vm = n->vm;
  options.zone = n->zone;
  options.incarnation = random_();
  options.seed = random_();
  for (const config::vm& peer : vms_.vms) {
    if (options.bootstrap_peers.size() == 3) break;
    if (peer.name == vm) continue;
    options.bootstrap_peers.push_back(
        {peer.name, peer.address, peer.link_port});
  }
  n->engine = std::make_unique<core::engine>(options, queue_.Now());
  Feed(n, core::tick{});
}

void world::BreakLinks(const std::string& vm) {
  for (auto& [pair, link] : links_) {
    if (!link.up || (pair.first != vm && pair.second != vm)) continue;
    link.up = false;
    ++link.generation;
    const std::string& other = pair.first == vm ? pair.second : pair.first;
    Send(vm, other, true, core::link_down{vm});
  }
  for (const auto& [name, n] : nodes_) {
    if (name != vm) Send(vm, name, true, core::call_link_down{vm});
  }
}

void world::KillNode(const std::string& vm) {
  node* n = Find(vm);
  if (n == nullptr || n->engine == nullptr) return;
  n->engine.reset();
  ++n->life;
  for (const auto& [id, call] : oracle_.Calls()) {
    // A refused connection (`broken`) was never accepted.
    if (call.ingress_vm != vm || call.answered || call.broken) continue;
    oracle_.Find(id)->broken = true;
    if (n->stopping) ++cut_by_planned_stop_;
  }
  BreakLinks(vm);
}

void world::PauseNode(const std::string& vm) { Find(vm)->paused = true; }

void world::ResumeNode(const std::string& vm) {
  node* n = Find(vm);
  n->paused = false;
  std::vector<core::event> held;
  held.swap(n->held);
  if (n->engine == nullptr) return;
  Feed(n, core::tick{});
  for (const core::event& event : held) {
    if (n->engine != nullptr) Feed(n, event);
  }
}

void world::StopNode(const std::string& vm) {
  node* n = Find(vm);
  if (n == nullptr || n->engine == nullptr) return;
  n->stopping = true;
  Feed(n, core::begin_stop{});
}

bool world::Reachable(const std::string& a, const std::string& b) const {
  const auto group_of = [this](const std::string& name) {
    for (std::size_t i = 0; i < groups_.size(); ++i) {
      if (groups_[i].count(name) != 0) return static_cast<int>(i);
    }
    return -1;
  };
  const int group_a = group_of(a);
  const int group_b = group_of(b);
  return group_a == -1 || group_b == -1 || group_a == group_b;
}

void world::Partition(const std::vector<std::set<std::string>>& groups) {
  groups_ = groups;
  const std::uint64_t partition = ++partition_;
  queue_.After(kLinkTimeout, [this, partition] { TimeOutLinks(partition); });
}

void world::Heal() {
  groups_.clear();
  ++partition_;
  FlushHeld();
}

void world::FlushHeld() {
  std::vector<std::pair<vm_pair, core::event>> held;
  held.swap(held_);
  for (auto& [direction, event] : held) Transmit(direction, std::move(event));
}

void world::TimeOutLinks(std::uint64_t partition) {
  if (partition != partition_) return;
  held_.clear();
  for (const auto& [a, node_a] : nodes_) {
    for (const auto& [b, node_b] : nodes_) {
      if (a >= b || Reachable(a, b)) continue;
      link& l = links_[{a, b}];
      if (l.up) {
        l.up = false;
        ++l.generation;
        Deliver(a, node_a->life, core::link_down{b});
        Deliver(b, node_b->life, core::link_down{a});
      }
      Deliver(a, node_a->life, core::call_link_down{b});
      Deliver(b, node_b->life, core::call_link_down{a});
    }
  }
}

core::duration world::Latency(const std::string& a, const std::string& b) {
  const bool near = nodes_.at(a)->zone == nodes_.at(b)->zone;
  const core::duration base =
      near ? options_.zone_latency : options_.cross_zone_latency;
  std::uniform_int_distribution<core::duration::rep> jitter(
      0, base.count() / 4 + 1);
  return base + core::duration(jitter(random_));
}

void world::Transmit(const vm_pair& direction, core::event event) {
  core::instant& last = last_delivery_[direction];
  const core::instant arrival =
      std::max(last, queue_.Now() + Latency(direction.first, direction.second));
  last = arrival;
  const std::string to = direction.second;
  const std::uint64_t life = nodes_.at(to)->life;
  queue_.At(arrival, [this, to, life, event = std::move(event)] {
    Deliver(to, life, event);
  });
}

void world::Send(const std::string& from, const std::string& to, bool calls,
                 core::event event) {
  if (!calls && !links_[Unordered(from, to)].up) return;
  if (!Reachable(from, to)) {
    held_.emplace_back(vm_pair(from, to), std::move(event));
    return;
  }
  Transmit({from, to}, std::move(event));
}

void world::Deliver(const std::string& vm, std::uint64_t life,
                    core::event event) {
  node* n = Find(vm);
  if (n->engine == nullptr || n->life != life) return;
  if (n->paused) {
    n->held.push_back(std::move(event));
    return;
  }
  Feed(n, event);
}

void world::Feed(node* n, const core::event& event) {
  const core::actions actions = n->engine->Handle(event, queue_.Now());
  for (const core::action& action : actions) {
    if (n->engine == nullptr) return;
    std::visit([&](const auto& body) { Do(n, body); }, action);
  }
  if (n->engine == nullptr) return;
  const bool due_again = n->engine->NextWake() <= queue_.Now();
  if (std::holds_alternative<core::tick>(event) && due_again) ++busy_wakes_;
  CheckVersion(*n);
  ArmTimer(n);
}

void world::CheckVersion(const node& n) {
  // Only a ready daemon decides calls by its configuration.
  if (!n.engine->IsReady()) return;
  const std::uint64_t version = n.engine->Set()->Version();
  std::uint64_t& highest = highest_seen_[n.vm];
  if (version < highest) ++regressions_;
  highest = std::max(highest, version);
}

void world::ArmTimer(node* n) {
  const core::instant wake =
      std::max(n->engine->NextWake(), queue_.Now() + core::duration(1));
  if (n->wake > queue_.Now() && n->wake <= wake) return;
  if (wake == core::instant::max()) return;
  n->wake = wake;
  const std::uint64_t life = n->life;
  queue_.At(wake, [this, n, life, wake] {
    if (n->life != life || n->engine == nullptr || n->wake != wake) return;
    n->wake = core::instant::max();
    if (!n->paused) Feed(n, core::tick{});
  });
}

upstream_model& world::Upstream(const std::string& name) {
  return *upstreams_.at(name);
}

std::vector<std::string> world::UpstreamNames() const {
  std::vector<std::string> names;
  for (const auto& [name, model] : upstreams_) names.push_back(name);
  return names;
}

core::call_id world::SendCall(const std::string& vm, const std::string& method,
                              const std::string& path,
                              const std::string& organisation,
                              const std::string& key_digest,
                              const std::string& idempotency_key) {
  const core::call_id id = next_call_++;
  call_record& record = oracle_.NewCall(id);
  record.organisation = organisation;
  record.ingress_vm = vm;
  record.path = path;
  record.idempotent = method == "GET" || method == "HEAD";
  record.sent = queue_.Now();
  node* n = Find(vm);
  if (n == nullptr || !IsAccepting(*n)) {
    record.broken = true;  // Connection refused: the caller knows.
    return id;
  }
  core::call_arrived arrived;
  arrived.call = id;
  arrived.method = method;
  arrived.path = path;
  arrived.key_digest = key_digest;
  arrived.idempotency_key = idempotency_key;
  // Calls to different paths have different bodies.
  arrived.body_hash = std::hash<std::string>()(path);
  Deliver(vm, n->life, arrived);
  return id;
}

void world::AddLoad(const load_options& load) { NextLoadCall(load, 0); }

void world::NextLoadCall(const load_options& load, std::size_t turn) {
  if (queue_.Now() >= load.until) return;
  // Callers go to the next VM when theirs refuses the connection.
  std::size_t entry = turn;
  for (std::size_t i = 0; i < load.vms.size(); ++i) {
    entry = turn + i;
    const node* n = Find(load.vms[entry % load.vms.size()]);
    if (IsAccepting(*n)) break;
  }
  SendCall(load.vms[entry % load.vms.size()], load.method, load.path,
           load.organisation, load.key_digest);
  // Arrivals of many independent callers: exponential gaps.
  std::exponential_distribution<double> gap(load.rate_per_s);
  const auto wait = std::chrono::duration_cast<core::duration>(
      std::chrono::duration<double>(gap(random_)));
  queue_.After(wait, [this, load, turn] { NextLoadCall(load, turn + 1); });
}

void world::Report() {
  for (const auto& [name, model] : upstreams_) {
    core::upstream_report report;
    report.upstream = name;
    report.draining = model->Draining();
    report.load = misleading_ ? 0 : model->Load();
    queue_.After(kReportLag, [this, report] {
      for (const auto& [vm, n] : nodes_) {
        if (n->engine == nullptr || n->engine->Set() == nullptr) continue;
        for (const config::service& service : n->engine->Set()->Services()) {
          for (const config::upstream& upstream : service.upstreams) {
            if (upstream.name == report.upstream && upstream.vm == vm) {
              Deliver(vm, n->life, report);
            }
          }
        }
      }
    });
  }
  queue_.After(kReportInterval, [this] { Report(); });
}

std::uint64_t world::LowestVersion() const {
  std::uint64_t lowest = version_;
  for (const auto& [vm, n] : nodes_) {
    if (n->engine == nullptr) continue;
    const auto set = n->engine->Set();
    lowest = std::min(lowest, set == nullptr ? 0 : set->Version());
  }
  return lowest;
}

core::instant world::LastStartAt(const std::string& vm) const {
  const auto found = last_start_at_.find(vm);
  return found == last_start_at_.end() ? core::instant{} : found->second;
}

core::instant world::LastStartFor(const std::string& organisation) const {
  const auto found = last_start_for_.find(organisation);
  return found == last_start_for_.end() ? core::instant{} : found->second;
}

std::string world::Dump(const std::string& vm) const {
  const node& n = *nodes_.at(vm);
  return n.engine == nullptr ? "" : n.engine->Dump(queue_.Now());
}

void world::Do(node* n, const core::answer_call& action) {
  call_record* call = oracle_.Find(action.call);
  if (call == nullptr || call->answered) {
    if (call != nullptr) call->crossed = true;
    return;
  }
  call->answered = true;
  call->outcome = action.outcome;
  call->why = action.why;
  call->http_status = action.http_status;
  if (action.outcome == core::outcome_kind::kAnswered) {
    const auto owner = attempts_.find(action.attempt);
    call->crossed = owner == attempts_.end() || owner->second != action.call;
  }
  // A call that was given all the time up to its deadline, or whose egress
  // daemon is cut off by a partition, was not cut by the stop.
  const bool had_its_time =
      queue_.Now() >= call->deadline || !Reachable(n->vm, call->attempt_vm);
  const bool unknown = action.outcome == core::outcome_kind::kMayHaveRun;
  if (n->stopping && unknown && !had_its_time) {
    ++cut_by_planned_stop_;
  }
}

void world::Do(node* n, const core::forward_call& action) {
  attempts_[action.attempt] = action.call;
  call_record* call = oracle_.Find(action.call);
  call->attempt_vm = action.vm;
  if (!call->was_admitted) {
    call->was_admitted = true;
    call->admitted = queue_.Now();
    call->deadline = queue_.Now() + action.info.remaining;
  }
  const core::peer_call forwarded{n->vm, action.attempt, action.info};
  if (action.vm == n->vm) {
    const std::uint64_t life = n->life;
    queue_.After(core::duration(0), [this, vm = n->vm, life, forwarded] {
      Deliver(vm, life, forwarded);
    });
    return;
  }
  node* peer = Find(action.vm);
  if (peer == nullptr || peer->engine == nullptr) {
    // The connection is refused after a round trip.
    const std::uint64_t life = n->life;
    const core::forward_failed failed{action.attempt};
    queue_.After(2 * Latency(n->vm, n->vm), [this, vm = n->vm, life, failed] {
      Deliver(vm, life, failed);
    });
    return;
  }
  Send(n->vm, action.vm, true, forwarded);
}

void world::Do(node* n, const core::cancel_forward& action) {
  const core::peer_cancel cancel{n->vm, action.attempt};
  if (action.vm == n->vm) {
    const std::uint64_t life = n->life;
    queue_.After(core::duration(0), [this, vm = n->vm, life, cancel] {
      Deliver(vm, life, cancel);
    });
    return;
  }
  Send(n->vm, action.vm, true, cancel);
}

void world::Do(node* n, const core::start_upstream_call& action) {
  call_record* call = oracle_.Find(attempts_.at(action.attempt));
  last_start_at_[n->vm] = queue_.Now();
  last_start_for_[action.info.organisation] = queue_.Now();
  const std::uint64_t life = n->life;
  const auto done = [this, vm = n->vm, life](const core::event& event) {
    Deliver(vm, life, event);
  };
  upstream_model& model = Upstream(action.upstream.name);
  const int before = model.InFlight();
  model.Start(action, done);
  // A call that the upstream sheds or refuses is not run.
  if (model.InFlight() > before) ++call->executions;
}

void world::Do(node*, const core::cancel_upstream_call& action) {
  for (const auto& [name, model] : upstreams_) {
    model->Cancel(action.vm, action.attempt);
  }
}

void world::Do(node* n, const core::answer_peer& action) {
  const core::peer_answer answer{n->vm,      action.attempt,     action.outcome,
                                 action.why, action.http_status, action.load};
  if (action.vm == n->vm) {
    const std::uint64_t life = n->life;
    queue_.After(core::duration(0), [this, vm = n->vm, life, answer] {
      Deliver(vm, life, answer);
    });
    return;
  }
  Send(n->vm, action.vm, true, answer);
}

void world::Do(node* n, const core::send_message& action) {
  Send(n->vm, action.vm, false, core::message_received{n->vm, action.body});
}

void world::Do(node* n, const core::open_link& action) {
  OpenLink(n->vm, action);
}

void world::OpenLink(const std::string& from, const core::open_link& open) {
  node* peer = Find(open.vm);
  const std::uint64_t life = nodes_.at(from)->life;
  const bool refused = peer == nullptr || peer->engine == nullptr;
  if (refused || !Reachable(from, open.vm)) {
    const core::duration wait =
        refused ? core::duration(std::chrono::milliseconds(1)) : kLinkTimeout;
    queue_.After(wait, [this, from, life, vm = open.vm] {
      Deliver(from, life, core::link_down{vm});
    });
    return;
  }
  link& l = links_[Unordered(from, open.vm)];
  const bool was_up = l.up;
  l.up = true;
  queue_.After(2 * Latency(from, open.vm), [this, from, life, vm = open.vm] {
    Deliver(from, life, core::link_up{vm});
  });
  if (!was_up) Send(from, open.vm, true, core::link_up{from});
}

void world::Do(node* n, const core::close_link& action) {
  link& l = links_[Unordered(n->vm, action.vm)];
  if (!l.up) return;
  l.up = false;
  ++l.generation;
  Send(n->vm, action.vm, true, core::link_down{n->vm});
}

void world::Do(node* n, const core::read_source& action) {
  const std::uint64_t life = n->life;
  const std::string vm = n->vm;
  if (!Reachable(vm, "source")) {
    queue_.After(kLinkTimeout, [this, vm, life, action] {
      Deliver(vm, life, core::source_failed{action.key, action.digest});
    });
    return;
  }
  source_.Read(action, [this, vm, life](const core::event& event) {
    if (!Reachable(vm, "source")) return;
    Deliver(vm, life, event);
  });
}

void world::Do(node*, const core::config_in_force& action) {
  if (action.set == nullptr || action.set->Version() != version_) return;
  if (LowestVersion() == version_) converged_at_ = queue_.Now();
}

void world::Do(node*, const core::log_entry&) {}

void world::Do(node* n, const core::stop_finished&) {
  const std::string vm = n->vm;
  queue_.After(core::duration(0), [this, vm] { KillNode(vm); });
}

}  // namespace pimentohall::sim
