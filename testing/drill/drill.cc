// One event loop plays the store, the upstreams, the proxies and the callers.
//
// Callers ask every daemon in turn on all routes and with all keys that ever
// existed. What is expected of an answer follows from the operator's and the
// upstreams' changes and the times of their acknowledgement, also while the
// store has lost them: they are made again.

#include "drill/drill.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <functional>
#include <optional>
#include <random>
#include <set>

#include "soak/vm_process.h"
#include "store_standin/store.h"

namespace pimentohall::testing {
namespace {

using core::instant;
using nlohmann::json;
using std::chrono::milliseconds;

// Time bounds of the deployments, and what a store that just came back adds.
constexpr milliseconds kApplyBound(2000);
constexpr milliseconds kDrainBound(2000);
constexpr milliseconds kEvacuationBound(5000);
// Rules with a time bound hold this long after a disturbance.
constexpr milliseconds kCalm(3000);
constexpr milliseconds kCallPeriod(8);
constexpr milliseconds kStart(3000);
constexpr milliseconds kPatience(4000);
// Each daemon has two areas, each with a call at most every 0.1 s when the
// source fails it; twice that allows for reads that follow a failure.
constexpr int kStoreCallsPerDaemonAndSecond = 40;
constexpr std::size_t kMaxNotes = 3;

// A thing that callers ask for: a route, or a key.
struct asked_for {
  std::string path;
  std::string key;
  std::optional<instant> allowed_since;    // Acknowledged.
  std::optional<instant> forbidden_since;  // Acknowledged.
  int version = 0;  // Answers with 200 show at least this version; 0: nothing.
};

struct drill_vm : vm_process {
  instant disturbed_until{};
  bool paused = false;
  std::optional<instant> left_at;
  // Newest version that its answers showed, and when.
  int shown_version = 0;
  instant shown_at{};
};

struct drill_call {
  std::string id;
  std::size_t subject = 0;
  int daemon = 0;
  int boot = 0;
  instant sent{};
  int status = 0;
  bool ended = false;
  std::shared_ptr<stream::exchange> exchange;
  sigc::connection patience;
};

class drill {
 public:
  explicit drill(const drill_options& options)
      : options_(options), random_(options.seed), store_(loop_.Base()) {
    store_.SetEra(1);
  }

  using script = void (drill::*)();
  drill_report Run(script played) {
    std::filesystem::create_directories(options_.folder);
    if (!SetUp()) {
      Break("set-up", "the fleet can't be started");
      return std::move(report_);
    }
    RunFor(kStart);
    ScheduleCall();
    ScheduleCount();
    RunFor(milliseconds(1000));
    (this->*played)();
    calling_ = false;
    RunFor(kPatience);
    CheckLeaving();
    report_.store_calls = store_.Calls();
    CheckFlood();
    for (const auto& each : vms_) each->process.Kill();
    return std::move(report_);
  }

  // -------------------------------------------------------------------------
  // Scripts. The order of the incident: a version that adds a route and other
  // writes; 1.5 s later the store is away for 0.3 s and comes back as it was 3
  // s before; the operator writes again; a version that drops one route and
  // adds another; an upstream's entry is removed while it serves on.

  void Quiet() {
    Incident(
        8, [] {}, false);
  }
  void NothingElseLost() {
    Incident(0, [] {});
  }
  void EightWritesLost() {
    Incident(8, [] {});
  }
  void FortyWritesLost() {
    Incident(40, [] {});
  }
  void WritesMadeAgain() {
    Incident(8, [this] { WriteOthers(8); });
  }
  void AllKilledAfterLastChange() {
    Incident(
        8, [] {}, true, [this] { KillAll(milliseconds(300)); });
  }
  void AllKilledAtReturn() {
    Incident(8, [this] { KillAll(milliseconds(100)); });
  }
  void StartsFromStaleReads() {
    Incident(8, [this] {
      KillAll(milliseconds(100));
      stale_reads_lag_ = true;
    });
  }
  void HalfRestartAtReturn() {
    Incident(8, [this] { KillSome(milliseconds(50)); });
  }
  void PausedAcrossReturn() {
    Incident(
        8,
        [this] {
          // Paused since before the store went away, until the changes are
          // made.
          After(milliseconds(4000), [this] { Resume(); });
        },
        true, [] {}, [this] { PauseHalf(); });
  }
  void HalfCutOff() {
    Incident(
        8, [this] { After(milliseconds(3500), [this] { MendLinks(); }); }, true,
        [] {}, [this] { CutHalf(); });
  }
  void TwoReturnsInARow() {
    Incident(8, [this] {
      WriteOthers(5);
      RunFor(milliseconds(700));
      store_.SetMode(store_mode::kBusy);
      Disturb(milliseconds(200));
      RunFor(milliseconds(200));
      Return(1500);
    });
  }
  // The changes that the store has lost stay in force until they are made
  // again, 3 s later by the upstreams and 16 s later by the operator.
  void LostChangesStayInForce() {
    RunFor(milliseconds(2000));
    const auto route = AddRoute("late");
    const auto key = AddKey("withdrawn");
    WriteVersion();
    RunFor(milliseconds(2500));
    WriteOthers(20);
    Forbid(key);
    Forbid(AddRoute("old"));
    WriteVersion();
    Drain(vms_[1].get());
    Leave(vms_[2].get());
    Evacuate();
    RunFor(milliseconds(4000));
    GoAway(4500);
    RunFor(milliseconds(3000));
    PutEntry(*vms_[1], "draining");
    store_.Remove("servers/" + vms_[2]->Start());
    RunFor(milliseconds(13000));
    WriteVersion();
    store_.Put(evacuation_key_, "{}");
    (void)route;
    RunFor(milliseconds(5000));
  }
  // An upstream that was added and lost serves on, and so do those whose
  // entries are as before.
  void LostUpstreamServesOn() {
    RunFor(milliseconds(2500));
    vm_process* const added = vms_[0].get();
    store_.Remove("servers/" + added->Start());
    ++added->start;
    added->upstream->SetStart(added->Start());
    PutEntry(*added, "ready");
    RunFor(milliseconds(1500));
    const int before = RunsOf(added->Start());
    GoAway(2500);
    RunFor(milliseconds(1500));
    if (RunsOf(added->Start()) == before) Break("lost upstream", "got no call");
    PutEntry(*added, "ready");
    RunFor(milliseconds(4000));
  }
  // Versions that the store has lost are written again in order, with a long
  // pause before each. The last one withdraws a key. A daemon starts again in
  // each pause.
  void VersionsWrittenAgainSlowly() {
    const auto key = AddKey("withdrawn");
    WriteVersion();
    RunFor(milliseconds(4000));
    std::vector<std::string> lost;
    const auto write = [this, &lost] {
      WriteVersion();
      lost.push_back(Configuration());
      RunFor(milliseconds(500));
    };
    AddRoute("extra");
    write();
    AddRoute("more");
    write();
    Forbid(key);
    write();
    RunFor(milliseconds(4000));
    GoAway(6500);
    std::size_t next = 0;
    for (const std::string& version : lost) {
      RunFor(milliseconds(6000));
      Kill(vms_[next++].get(), milliseconds(200));
      RunFor(milliseconds(4000));
      store_.Put("op/config", version);
    }
    RunFor(milliseconds(4000));
  }

 private:
  void Incident(
      int others, const std::function<void()>& at_return, bool away = true,
      const std::function<void()>& at_end = [] {},
      const std::function<void()>& before = [] {}) {
    RunFor(milliseconds(1500));
    AddRoute("first");
    WriteVersion();
    WriteOthers(others);
    RunFor(milliseconds(1500));
    before();
    if (away) GoAway(3000);
    at_return();
    RunFor(milliseconds(500));
    PutConfiguration();
    RunFor(milliseconds(2000));
    Forbid(0);
    AddRoute("second");
    WriteVersion();
    RunFor(milliseconds(200));
    Leave(vms_[1].get());
    RunFor(milliseconds(100));
    at_end();
    RunFor(milliseconds(13000));
  }

  // -------------------------------------------------------------------------
  // Set-up and time.

  bool SetUp() {
    if (!fleet_.ClaimPorts()) return false;
    subjects_.push_back({"/dropped/x", "steady", instant{}, {}, 0});
    routes_.insert("dropped");
    subjects_.push_back({"/read/x", "steady", instant{}, {}, 0});
    routes_.insert("read");
    for (int i = 0; i < options_.daemons; ++i) {
      vms_.push_back(std::make_unique<drill_vm>());
      drill_vm* const at = vms_.back().get();
      if (!fleet_.Open(at, i, &runs_)) return false;
      at->start = 1;
      at->upstream->SetStart(at->Start());
      PutEntry(*at, "ready");
      fleet_.WriteSettings(*at);
    }
    WriteVersion();
    for (const auto& each : vms_) {
      if (!fleet_.StartDaemon(each.get())) return false;
    }
    return true;
  }

  void RunFor(milliseconds time) {
    bool over = false;
    timers_.After(time, sigc::slot<void()>([&over] { over = true; }));
    while (!over) event_base_loop(loop_.Base(), EVLOOP_ONCE);
  }
  void After(milliseconds wait, const std::function<void()>& run) {
    timers_.After(wait, sigc::slot<void()>(run));
  }
  // Rules with a time bound hold again `kCalm` after `time` from now.
  void Disturb(milliseconds time) {
    calm_at_ = std::max(calm_at_, loop_.Now() + time + kCalm);
  }
  void Disturb(drill_vm* at, milliseconds time) {
    at->disturbed_until =
        std::max(at->disturbed_until, loop_.Now() + time + kCalm);
  }
  std::string Seconds(instant at) const {
    return std::to_string((at - began_) / milliseconds(1)) + " ms";
  }
  void Break(const std::string& rule, const std::string& what) {
    if (static_cast<std::size_t>(report_.broken[rule]++) < kMaxNotes) {
      report_.notes.push_back(rule + " at " + Seconds(loop_.Now()) + ": " +
                              what);
    }
  }

  // -------------------------------------------------------------------------
  // The store, the operator and the upstreams.

  // Copies are taken every 0.1 s, to come back from.
  void TakeCopies() {
    copies_.emplace_back(loop_.Now(), store_.Copy());
    if (stale_reads_lag_) store_.FreezeLaggingReads();
    After(milliseconds(100), [this] { TakeCopies(); });
  }

  // The store is away for 0.3 s and comes back as it was `age_ms` before.
  void GoAway(int age_ms) {
    constexpr milliseconds kAway(300);
    store_.SetMode(store_mode::kBusy);
    store_.FreezeLaggingReads();
    Disturb(kAway);
    RunFor(kAway);
    Return(age_ms);
  }
  void Return(int age_ms) {
    const instant then = loop_.Now() - milliseconds(age_ms);
    auto chosen = copies_.front().second;
    for (const auto& [at, copy] : copies_) {
      if (at <= then) chosen = copy;
    }
    store_.Restore(*chosen);
    store_.SetMode(store_mode::kServing);
  }

  std::size_t AddSubject(asked_for subject) {
    subject.allowed_since = loop_.Now();
    subjects_.push_back(std::move(subject));
    return subjects_.size() - 1;
  }
  std::size_t AddRoute(const std::string& name) {
    routes_.insert(name);
    return AddSubject({"/" + name + "/x", "steady", {}, {}, version_ + 1});
  }
  std::size_t AddKey(const std::string& key) {
    keys_.insert(key);
    return AddSubject({"/read/x", key, {}, {}, 0});
  }
  // Takes the subject's route or key out of the next version.
  void Forbid(std::size_t subject) {
    asked_for& at = subjects_[subject];
    at.forbidden_since = loop_.Now();
    at.version = 0;
    if (at.key != "steady") {
      keys_.erase(at.key);
    } else {
      routes_.erase(at.path.substr(1, at.path.rfind('/') - 1));
    }
  }
  void WriteVersion() {
    ++version_;
    PutConfiguration();
  }
  void PutConfiguration() { store_.Put("op/config", Configuration()); }
  std::string Configuration() const {
    json routes = json::array();
    for (const std::string& name : routes_) {
      routes.push_back(RouteOf(name, true));
    }
    json tenants = {
        {{"name", "steady"}, {"apiKeys", {"steady"}}, {"ratePerS", 0}}};
    for (const std::string& key : keys_) {
      tenants.push_back(
          {{"name", "of-" + key}, {"apiKeys", {key}}, {"ratePerS", 0}});
    }
    return ConfigurationDocument(version_, routes, tenants).dump();
  }
  void PutEntry(const vm_process& of, const char* state) {
    json entry = fleet_.Entry(of, state);
    entry["sequence"] = ++reports_;
    store_.Put("servers/" + of.Start(), entry.dump());
  }
  // Keys that say nothing to a daemon.
  void WriteOthers(int count) {
    for (int i = 0; i < count; ++i) {
      store_.Put("else/" + std::to_string(i), std::to_string(++others_));
    }
  }
  void Drain(drill_vm* at) {
    at->left_at = loop_.Now();
    PutEntry(*at, "draining");
  }
  void Leave(drill_vm* at) {
    at->left_at = loop_.Now();
    store_.Remove("servers/" + at->Start());
  }
  void Evacuate() {
    evacuation_key_ = "op/evacuate/" + vms_[0]->Zone();
    evacuated_at_ = loop_.Now();
    store_.Put(evacuation_key_, "{}");
  }

  // -------------------------------------------------------------------------
  // Machines.

  void Kill(drill_vm* at, milliseconds down) {
    at->process.Kill();
    at->paused = false;
    at->shown_version = 0;
    Disturb(at, down);
    After(down, [this, at] {
      if (!fleet_.StartDaemon(at)) Break("set-up", "a daemon can't be started");
    });
  }
  void KillAll(milliseconds down) {
    for (const auto& each : vms_) Kill(each.get(), down);
  }
  void KillSome(milliseconds down) {
    for (std::size_t i = 0; i < vms_.size(); i += 2) Kill(vms_[i].get(), down);
  }
  void PauseHalf() {
    for (std::size_t i = 0; i < vms_.size(); i += 2) {
      vms_[i]->paused = true;
      vms_[i]->process.Signal(SIGSTOP);
    }
  }
  void Resume() {
    for (const auto& each : vms_) {
      if (!each->paused) continue;
      each->paused = false;
      each->process.Signal(SIGCONT);
      Disturb(each.get(), {});
    }
  }
  void CutHalf() {
    for (std::size_t i = 0; i < vms_.size(); i += 2) {
      vms_[i]->store_proxy->SetMode(link_mode::kSilent);
    }
  }
  void MendLinks() {
    for (const auto& each : vms_) {
      each->store_proxy->SetMode(link_mode::kPass);
    }
    Disturb({});
  }

  // -------------------------------------------------------------------------
  // Callers.

  void ScheduleCall() {
    TakeCopies();
    ScheduleNextCall();
  }
  void ScheduleNextCall() {
    After(kCallPeriod, [this] {
      if (!calling_) return;
      StartCall();
      ScheduleNextCall();
    });
  }

  void StartCall() {
    const auto number = static_cast<std::size_t>(report_.calls);
    const drill_vm& at = *vms_[number % vms_.size()];
    if (at.paused || at.disturbed_until > loop_.Now() + kCalm) {
      ++report_.calls;
      return;
    }
    auto call = std::make_shared<drill_call>();
    call->subject = number / vms_.size() % subjects_.size();
    call->id = "c" + std::to_string(++report_.calls);
    call->daemon = at.index;
    call->boot = at.boot;
    call->sent = loop_.Now();
    const asked_for& subject = subjects_[call->subject];
    stream::message_head head;
    head.method = "GET";
    head.target = subject.path;
    head.headers = {{"Host", "a.example"},
                    {"X-Attempt-Id", call->id},
                    {"X-Deadline-Ms", "2500"},
                    {"Authorization", "Token " + subject.key}};
    stream::exchange_handlers handlers;
    handlers.on_head = [call](const stream::message_head& answer) {
      call->status = answer.status;
    };
    handlers.on_data = [](std::string_view) {};
    handlers.on_end = [this, call] { EndCall(call); };
    handlers.on_failed = [this, call](stream::failure) {
      call->status = 0;
      EndCall(call);
    };
    call->exchange =
        callers_.Start({at.address, fleet_.Port(vm_port::kCallers)}, head,
                       std::move(handlers));
    if (call->exchange == nullptr) return;
    call->exchange->SendEnd();
    senders_[call->id] = call->daemon;
    call->patience = timers_.After(kPatience, sigc::slot<void()>([this, call] {
                                     if (call->ended) return;
                                     call->exchange->Cancel();
                                     call->status = 0;
                                     EndCall(call);
                                   }));
  }

  void EndCall(const std::shared_ptr<drill_call>& call) {
    if (call->ended) return;
    call->ended = true;
    call->patience.disconnect();
    call->exchange = nullptr;
    if (call->status == 200) ++report_.served;
    drill_vm* const at = vms_[static_cast<std::size_t>(call->daemon)].get();
    if (at->boot != call->boot) return;
    CheckForbidden(*call, *at);
    CheckAllowed(*call, *at);
    CheckForward(*call, at);
  }

  // -------------------------------------------------------------------------
  // Rules.

  std::string Of(const drill_call& call) const {
    const asked_for& subject = subjects_[call.subject];
    return call.id + " " + subject.path + " key " + subject.key + " vm-" +
           std::to_string(call.daemon) + " sent " + Seconds(call.sent) +
           " status " + std::to_string(call.status);
  }
  // What was acknowledged at `since` has to be in force for a call sent now.
  bool IsDue(instant since, milliseconds bound, const drill_vm& at,
             instant sent) const {
    return sent > since + bound && sent > calm_at_ && sent > at.disturbed_until;
  }

  void CheckForbidden(const drill_call& call, const drill_vm& at) {
    const asked_for& subject = subjects_[call.subject];
    if (call.status != 200 || !subject.forbidden_since) return;
    // A daemon that has it in force keeps it so while the store is disturbed.
    if (IsDue(*subject.forbidden_since, kApplyBound, at, call.sent)) {
      Break("dropped but run", Of(call));
    }
  }

  void CheckAllowed(const drill_call& call, const drill_vm& at) {
    const asked_for& subject = subjects_[call.subject];
    if (subject.forbidden_since || !subject.allowed_since) return;
    const bool is_denied = call.status == 401 || call.status == 404;
    if (is_denied &&
        IsDue(*subject.allowed_since, kApplyBound, at, call.sent)) {
      Break("added but denied", Of(call));
    }
  }

  // No answer may show an older configuration than an earlier one of the same
  // boot did.
  void CheckForward(const drill_call& call, drill_vm* at) {
    const asked_for& subject = subjects_[call.subject];
    if (subject.version == 0) return;
    if (call.status == 200 && subject.version > at->shown_version) {
      at->shown_version = subject.version;
      at->shown_at = loop_.Now();
    }
    if (call.status == 404 && subject.version <= at->shown_version &&
        call.sent > at->shown_at) {
      Break("went back",
            Of(call) + " after version " + std::to_string(at->shown_version));
    }
  }

  int RunsOf(const std::string& start) const {
    return static_cast<int>(
        std::count_if(runs_.begin(), runs_.end(), [&start](const auto& each) {
          return each.second.last_start == start;
        }));
  }

  void CheckLeaving() {
    for (const auto& [id, record] : runs_) {
      const auto sender = senders_.find(id);
      if (sender == senders_.end()) continue;
      const drill_vm& from = *vms_[static_cast<std::size_t>(sender->second)];
      for (const auto& each : vms_) {
        if (each->left_at && record.last_start == each->Start() &&
            IsDue(*each->left_at, kDrainBound, from, record.last_at)) {
          Break("left but called", id + " at " + record.last_start + " from " +
                                       from.Name() + " at " +
                                       Seconds(record.last_at));
        }
        if (evacuated_at_ && record.last_start == each->Start() &&
            each->Zone() == vms_[0]->Zone() &&
            IsDue(*evacuated_at_, kEvacuationBound, from, record.last_at)) {
          Break("evacuated but called", id + " at " + record.last_start);
        }
      }
    }
  }

  void ScheduleCount() {
    const int before = store_.Calls();
    After(milliseconds(1000), [this, before] {
      report_.most_store_calls_in_a_second = std::max(
          report_.most_store_calls_in_a_second, store_.Calls() - before);
      if (calling_) ScheduleCount();
    });
  }
  void CheckFlood() {
    const int most = options_.daemons * kStoreCallsPerDaemonAndSecond;
    if (report_.most_store_calls_in_a_second <= most) return;
    Break("store flooded",
          std::to_string(report_.most_store_calls_in_a_second) +
              " calls in a second, " + std::to_string(most) + " allowed");
  }

  const drill_options options_;
  std::mt19937_64 random_;
  drill_report report_;
  net::event_loop loop_;
  net::timer_service timers_{loop_};
  const instant began_ = loop_.Now();
  store_standin store_;
  vm_fleet fleet_{
      loop_,
      timers_,
      {options_.programs, options_.folder, options_.seed, store_.Port()}};
  std::vector<std::pair<instant, std::shared_ptr<const store_standin::copy>>>
      copies_;
  bool stale_reads_lag_ = false;
  int version_ = 0;
  int reports_ = 0;
  int others_ = 0;
  std::set<std::string> routes_;
  std::set<std::string> keys_;
  std::vector<asked_for> subjects_;
  std::string evacuation_key_;
  std::optional<instant> evacuated_at_;
  instant calm_at_{};
  bool calling_ = true;
  run_log runs_;
  std::map<std::string, int> senders_;  // By the call's id.
  std::vector<std::unique_ptr<drill_vm>> vms_;
  stream::client_pool callers_{
      loop_,
      timers_,
      {std::chrono::seconds(5), std::chrono::seconds(4),
       std::chrono::seconds(1), 400}};
};

struct named_script {
  const char* name;
  drill::script play;
};

constexpr named_script kScripts[] = {
    {"quiet", &drill::Quiet},
    {"nothing_else_lost", &drill::NothingElseLost},
    {"eight_writes_lost", &drill::EightWritesLost},
    {"forty_writes_lost", &drill::FortyWritesLost},
    {"writes_made_again", &drill::WritesMadeAgain},
    {"all_killed_after_last_change", &drill::AllKilledAfterLastChange},
    {"all_killed_at_return", &drill::AllKilledAtReturn},
    {"starts_from_stale_reads", &drill::StartsFromStaleReads},
    {"half_restart_at_return", &drill::HalfRestartAtReturn},
    {"paused_across_return", &drill::PausedAcrossReturn},
    {"half_cut_off", &drill::HalfCutOff},
    {"two_returns_in_a_row", &drill::TwoReturnsInARow},
    {"lost_changes_stay_in_force", &drill::LostChangesStayInForce},
    {"lost_upstream_serves_on", &drill::LostUpstreamServesOn},
    {"versions_written_again_slowly", &drill::VersionsWrittenAgainSlowly},
};

}  // namespace

std::vector<std::string> DrillCases() {
  std::vector<std::string> names;
  for (const named_script& each : kScripts) names.emplace_back(each.name);
  return names;
}

drill_report RunDrill(const std::string& name, const drill_options& options) {
  for (const named_script& each : kScripts) {
    if (name == each.name) return drill(options).Run(each.play);
  }
  drill_report unknown;
  unknown.broken["unknown case"] = 1;
  return unknown;
}

}  // namespace pimentohall::testing
