// One event loop plays the source, the upstreams, the proxies before both, and
// the callers; the daemons are processes of their own.
//
// Rules with a time bound are checked only in calm: no fault was active within
// kCalm. The others hold always.

#include "soak/soak.h"

#include <event2/event.h>

#include <csignal>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "soak/vm_process.h"
#include "store_standin/store.h"

namespace pimentohall::testing {
namespace {

using core::instant;
using nlohmann::json;
using std::chrono::milliseconds;

// Time bounds of the deployments.
constexpr milliseconds kApplyBound(2000);
constexpr milliseconds kDrainBound(2000);
constexpr milliseconds kGrace(6000);
constexpr milliseconds kCalm(3000);
constexpr milliseconds kLateSlack(500);
constexpr milliseconds kCallerPatience(4000);
constexpr milliseconds kWarmUp(2500);
constexpr milliseconds kRecovery(6000);
constexpr milliseconds kLastPhase(3000);
constexpr double kServedAfterRecovery = 0.95;
// Changes that the store has lost are made again within this time.
constexpr int kMaxRewriteMs = 1500;
constexpr std::size_t kMaxCopies = 100;
constexpr int kOtherRoutes = 100;  // Some 20 KB of settings.

struct vm : vm_process {
  bool paused = false;
  bool listed = false;
  instant left_at{};          // Its entry said that it leaves.
  instant disturbed_until{};  // Of the daemon's process.
  // Newest key of the changing tenant that this boot accepted, and when.
  int accepted_key = 0;
  instant accepted_at{};
  std::optional<instant> stopping_since;
};

struct soak_call {
  std::string id;
  int daemon = 0;
  int boot = 0;
  int key = 0;
  bool idempotent = false;
  instant sent{};
  int status = 0;
  std::string body;
  bool ended = false;
  std::shared_ptr<stream::exchange> exchange;
  sigc::connection patience;
};

class soak {
 public:
  explicit soak(const soak_options& options)
      : options_(options), random_(options.seed), store_(loop_.Base()) {
    store_.SetEra(1);
  }

  soak_report Run() {
    if (!SetUp()) return std::move(report_);
    TakeCopies();
    RunFor(kWarmUp);
    calling_ = true;
    ScheduleCall();
    ScheduleFault();
    ScheduleChecks();
    RunFor(options_.length);
    faults_over_ = true;
    RunFor(kRecovery);
    CheckRecovery();
    calling_ = false;
    RunFor(kCallerPatience);
    CheckRuns();
    for (const auto& each : vms_) each->process.Kill();
    return std::move(report_);
  }

 private:
  // -------------------------------------------------------------------------
  // Set-up.

  bool SetUp() {
    std::filesystem::create_directories(options_.folder);
    if (!fleet_.ClaimPorts()) {
      Violation("set-up", "no free ports");
      return false;
    }
    PutConfiguration();
    for (int i = 0; i < options_.daemons; ++i) {
      auto at = std::make_unique<vm>();
      if (!fleet_.Open(at.get(), i, &runs_)) {
        Violation("set-up", "can't listen at " + at->address);
        return false;
      }
      vms_.push_back(std::move(at));
      List(vms_.back().get());
      fleet_.WriteSettings(*vms_.back());
    }
    for (const auto& each : vms_) StartDaemon(each.get());
    return true;
  }

  void StartDaemon(vm* at) {
    if (!fleet_.StartDaemon(at)) {
      Violation("set-up", "a daemon can't be started");
      return;
    }
    at->accepted_key = 0;
    at->paused = false;
    at->stopping_since.reset();
    Disturb(at, kCalm);
  }

  void PutConfiguration() {
    ++version_;
    json routes = {RouteOf("read", true), RouteOf("write", false)};
    // Enough routes that daemons pass the settings on as patches.
    for (int i = 0; i < kOtherRoutes; ++i) {
      routes.push_back(RouteOf("other-" + std::to_string(i), true));
    }
    const json tenants = {
        {{"name", "steady"}, {"apiKeys", {"steady"}}, {"ratePerS", 0}},
        {{"name", "changing"},
         {"apiKeys", {"key-" + std::to_string(key_)}},
         {"ratePerS", 0}}};
    Publish("op/config",
            ConfigurationDocument(version_, routes, tenants).dump());
  }

  // Puts or removes a key. While the store is away, and when it has lost the
  // change, it's made again.
  void Publish(const std::string& key,
               const std::optional<std::string>& value) {
    published_[key] = value;
    PublishAgain(key);
  }
  void PublishAgain(const std::string& key) {
    if (store_is_away_) {
      After(milliseconds(100), [this, key] { PublishAgain(key); });
      return;
    }
    const std::optional<std::string>& value = published_[key];
    if (store_.Find(key) == value) return;
    if (value) {
      store_.Put(key, *value);
    } else {
      store_.Remove(key);
    }
  }

  // A new start of the upstream, and its entry.
  void List(vm* at) {
    ++at->start;
    at->upstream->SetStart(at->Start());
    at->listed = true;
    PutEntry(*at, "ready");
  }

  void PutEntry(const vm& of, const char* state) {
    Publish("servers/" + of.Start(), fleet_.Entry(of, state).dump());
  }

  // -------------------------------------------------------------------------
  // Time.

  void RunFor(milliseconds time) {
    bool over = false;
    timers_.After(time, sigc::slot<void()>([&over] { over = true; }));
    while (!over) event_base_loop(loop_.Base(), EVLOOP_ONCE);
  }
  void After(milliseconds wait, const std::function<void()>& run) {
    timers_.After(wait, sigc::slot<void()>(run));
  }
  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  vm* DrawVm() {
    return vms_[static_cast<std::size_t>(
                    Draw(0, static_cast<int>(vms_.size()) - 1))]
        .get();
  }
  std::string Seconds(instant at) const {
    const std::chrono::duration<double> since = at - began_;
    return std::to_string(since.count()).substr(0, 6) + " s";
  }
  // The fleet isn't calm until `time` from now.
  void DisturbFleet(milliseconds time) {
    fleet_disturbed_until_ =
        std::max(fleet_disturbed_until_, loop_.Now() + time);
  }
  void Disturb(vm* at, milliseconds time) {
    at->disturbed_until = std::max(at->disturbed_until, loop_.Now() + time);
    DisturbFleet(time);
  }

  // -------------------------------------------------------------------------
  // Calls.

  void ScheduleCall() {
    const double mean_ms = 1000.0 / options_.calls_per_s;
    const double gap =
        std::exponential_distribution<double>(1 / mean_ms)(random_);
    After(milliseconds(1 + static_cast<int>(gap)), [this] {
      if (!calling_) return;
      StartCall();
      ScheduleCall();
    });
  }

  void StartCall() {
    const vm& at = *DrawVm();
    auto call = std::make_shared<soak_call>();
    call->id = "c" + std::to_string(++report_.calls);
    call->daemon = at.index;
    call->boot = at.boot;
    call->idempotent = Draw(0, 1) == 0;
    // Key 0 is never withdrawn; the others hold until the next change.
    call->key = Draw(0, 3) == 0 ? Draw(std::max(1, key_ - 1), key_) : 0;
    call->sent = loop_.Now();
    stream::message_head head;
    head.method = call->idempotent ? "GET" : "POST";
    head.target = call->idempotent ? "/read/x" : "/write/x";
    const std::string key =
        call->key == 0 ? "steady" : "key-" + std::to_string(call->key);
    head.headers = {{"Host", "a.example"},
                    {"X-Attempt-Id", call->id},
                    {"X-Deadline-Ms", "2500"},
                    {"Authorization", "Token " + key}};
    const std::string body = call->idempotent ? "" : "body of " + call->id;
    if (!body.empty()) {
      head.framing = stream::body_framing::kLength;
      head.length = body.size();
    }
    stream::exchange_handlers handlers;
    handlers.on_head = [call](const stream::message_head& answer) {
      call->status = answer.status;
    };
    handlers.on_data = [call](std::string_view bytes) {
      call->body.append(bytes);
    };
    handlers.on_end = [this, call] { EndCall(call); };
    handlers.on_failed = [this, call](stream::failure why) {
      call->status = 0;
      OnBroken(*call, why);
      EndCall(call);
    };
    call->exchange =
        callers_.Start({at.address, fleet_.Port(vm_port::kCallers)}, head,
                       std::move(handlers));
    if (call->exchange == nullptr) return;
    call->exchange->SendData(body);
    call->exchange->SendEnd();
    calls_.push_back(call);
    call->patience =
        timers_.After(kCallerPatience, sigc::slot<void()>([this, call] {
                        if (call->ended) return;
                        call->exchange->Cancel();
                        call->status = 0;
                        EndCall(call);
                      }));
  }

  void EndCall(const std::shared_ptr<soak_call>& call) {
    if (call->ended) return;
    call->ended = true;
    call->patience.disconnect();
    call->exchange = nullptr;
    ++report_.answers[call->status];
    ended_lately_.push_back(call);
    CheckAnswer(*call);
  }

  // -------------------------------------------------------------------------
  // Promises.

  void Violation(const std::string& rule, const std::string& what) {
    report_.violations.push_back(rule + " at " + Seconds(loop_.Now()) + ": " +
                                 what);
  }
  std::string Of(const soak_call& call) const {
    return call.id + (call.idempotent ? " (read, " : " (write, ") + "vm-" +
           std::to_string(call.daemon) + ", sent " + Seconds(call.sent) +
           ", status " + std::to_string(call.status) + ")";
  }

  // The daemon that took the call wasn't harmed while it had it.
  bool WasCalm(const soak_call& call) const {
    const vm& at = *vms_[static_cast<std::size_t>(call.daemon)];
    return at.boot == call.boot && at.disturbed_until < call.sent;
  }

  void CheckAnswer(const soak_call& call) {
    vm& at = *vms_[static_cast<std::size_t>(call.daemon)];
    if (call.status == 200) {
      const std::string tenant = call.key == 0 ? "steady" : "changing";
      if (call.body != AnswerOf(call.id, tenant)) {
        Violation("wrong answer", Of(call) + ": " + call.body.substr(0, 60));
      }
      if (call.key != 0 && call.boot == at.boot) CheckForward(call, &at);
    }
    const bool is_denied = call.status == 400 || call.status == 401 ||
                           call.status == 404 || call.status == 413;
    if (is_denied && call.key == 0) Violation("denied", Of(call));
    const instant key_bound =
        std::max(key_changed_at_, fleet_disturbed_until_) + kApplyBound;
    if (call.key != 0 && call.sent > key_bound) {
      if (call.status == 200 && call.key != key_) {
        Violation("old key", Of(call));
      }
      if (call.status == 401 && call.key == key_) {
        Violation("new key denied", Of(call));
      }
    }
    const auto took = loop_.Now() - call.sent;
    if (took > kRouteTimeout + kLateSlack && WasCalm(call)) {
      Violation("late", Of(call) + " took " +
                            std::to_string(took / milliseconds(1)) + " ms");
    }
  }

  // Key n holds in version n only, so accepted keys tell the version in force.
  void CheckForward(const soak_call& call, vm* at) {
    if (call.key < at->accepted_key && call.sent > at->accepted_at) {
      Violation("went back", Of(call) + " with key " +
                                 std::to_string(call.key) + " after " +
                                 std::to_string(at->accepted_key));
    }
    if (call.key <= at->accepted_key) return;
    at->accepted_key = call.key;
    at->accepted_at = loop_.Now();
  }

  void OnBroken(const soak_call& call, stream::failure why) {
    const vm& at = *vms_[static_cast<std::size_t>(call.daemon)];
    const bool planned = at.boot == call.boot && at.stopping_since &&
                         call.sent < *at.stopping_since + milliseconds(1500);
    const bool calm = at.boot == call.boot && at.disturbed_until < call.sent;
    if (why == stream::failure::kNotSent) return;
    if (planned && fleet_disturbed_until_ < call.sent) {
      Violation("cut by a planned stop", Of(call));
    } else if (calm && !at.stopping_since) {
      Violation("cut", Of(call));
    }
  }

  void CheckRuns() {
    for (const auto& call : calls_) {
      const auto found = runs_.find(call->id);
      if (found == runs_.end()) continue;
      const upstream_record& record = found->second;
      const bool told_not_run = call->status == 429 || call->status == 503 ||
                                call->status == 408 || call->status == 421;
      if (!call->idempotent && record.runs > 1) {
        Violation("twice", Of(*call));
      }
      if (!call->idempotent && told_not_run) {
        Violation("not run, but ran", Of(*call));
      }
      if (record.key_shown) Violation("key shown", Of(*call));
      const std::string tenant = call->key == 0 ? "steady" : "changing";
      if (record.tenant != tenant) {
        Violation("wrong tenant", Of(*call) + ": " + record.tenant);
      }
    }
  }

  // Calls that reach a start which left too long ago.
  void CheckLeaving() {
    for (const auto& [id, record] : runs_) {
      const auto left = left_.find(record.last_start);
      if (left == left_.end()) continue;
      const instant bound =
          std::max(left->second, fleet_disturbed_until_) + kDrainBound;
      if (record.last_at > bound && reported_.insert(id).second) {
        Violation("reached a leaving upstream",
                  id + " at " + record.last_start);
      }
    }
  }

  void ScheduleChecks() {
    After(milliseconds(200), [this] {
      CheckLeaving();
      for (const auto& each : vms_) CheckProcess(each.get());
      if (calling_) ScheduleChecks();
    });
  }

  void CheckProcess(vm* at) {
    if (at->stopping_since) {
      const bool over = loop_.Now() - *at->stopping_since > kGrace;
      const auto status = at->process.WaitExit(milliseconds(0));
      if (!status && !over) return;
      if (!status && at->disturbed_until < *at->stopping_since) {
        Violation("still there after the grace time", at->Name());
      }
      at->process.Kill();
      StartDaemon(at);
      return;
    }
    if (at->process.IsRunning()) return;
    Violation("ended by itself", at->Name());
    StartDaemon(at);
  }

  void CheckRecovery() {
    ended_lately_.clear();
    RunFor(kLastPhase);
    int asked = 0;
    int served = 0;
    for (const auto& call : ended_lately_) {
      if (call->key != 0) continue;
      ++asked;
      if (call->status == 200) ++served;
    }
    if (served < kServedAfterRecovery * asked) {
      Violation("not recovered", std::to_string(served) + " of " +
                                     std::to_string(asked) + " served");
    }
  }

  // -------------------------------------------------------------------------
  // Faults.

  void Note(const std::string& what) {
    report_.faults.push_back(Seconds(loop_.Now()) + " " + what);
  }

  void ScheduleFault() {
    After(milliseconds(Draw(200, 1200)), [this] {
      if (faults_over_) return;
      using inject = void (soak::*)(vm*, milliseconds);
      static constexpr inject kFaults[] = {
          &soak::PauseDaemon,   &soak::KillDaemon,    &soak::StopDaemon,
          &soak::StopDaemon,    &soak::ReloadDaemon,  &soak::HarmStore,
          &soak::HarmStoreLink, &soak::HarmUpstream,  &soak::HarmUpstreamLink,
          &soak::HarmUpstream,  &soak::DrainUpstream, &soak::ReplaceUpstream,
          &soak::ChangeKey,     &soak::KillHerd,      &soak::ReturnOlder};
      const int which = Draw(0, static_cast<int>(std::size(kFaults)) - 1);
      (this->*kFaults[which])(DrawVm(), milliseconds(Draw(300, 2500)));
      ScheduleFault();
    });
  }

  void PauseDaemon(vm* at, milliseconds time) {
    if (at->paused || at->stopping_since) return;
    Note("pause " + at->Name() + " for " + std::to_string(time.count()) +
         " ms");
    at->paused = true;
    Disturb(at, time + kCalm);
    at->process.Signal(SIGSTOP);
    After(time, [at, boot = at->boot] {
      if (at->boot != boot || !at->paused) return;
      at->paused = false;
      at->process.Signal(SIGCONT);
    });
  }

  void KillDaemon(vm* at, milliseconds time) {
    if (at->paused) return;
    Note("kill " + at->Name());
    at->process.Kill();
    at->stopping_since.reset();
    Disturb(at, kCalm);
    // The platform starts it again after a short time.
    (void)time;
    StartDaemon(at);
  }

  void KillHerd(vm*, milliseconds) {
    Note("kill half of the daemons");
    for (const auto& each : vms_) {
      if (Draw(0, 1) == 0) KillDaemon(each.get(), {});
    }
  }

  void StopDaemon(vm* at, milliseconds) {
    if (at->paused || at->stopping_since) return;
    Note("stop " + at->Name());
    at->stopping_since = loop_.Now();
    at->process.Signal(SIGTERM);
  }

  void ReloadDaemon(vm* at, milliseconds) {
    if (at->paused) return;
    Note("reload " + at->Name());
    fleet_.WriteSettings(*at);
    at->process.Signal(SIGHUP);
  }

  void HarmStore(vm*, milliseconds time) {
    static constexpr store_mode kModes[] = {
        store_mode::kBusy, store_mode::kLimited, store_mode::kSilent,
        store_mode::kGarbage, store_mode::kServing};
    const store_mode mode = kModes[Draw(0, 4)];
    Note("store mode " + std::to_string(static_cast<int>(mode)) +
         ", history dropped");
    DisturbFleet(time + kCalm);
    store_.SetMode(mode);
    store_.Compact();
    After(time, [this] { store_.SetMode(store_mode::kServing); });
  }

  // The store goes away and comes back from a copy some seconds old.
  void ReturnOlder(vm*, milliseconds) {
    if (store_is_away_) return;
    const milliseconds away(Draw(50, 500));
    const milliseconds age(Draw(300, 5000));
    Note("store away for " + std::to_string(away.count()) +
         " ms, back as it was " + std::to_string(age.count()) + " ms before");
    DisturbFleet(away + kCalm);
    // Writes of others raise the counter, and aren't made again.
    for (int left = Draw(0, 60); left > 0; --left) store_.Put("else", "x");
    store_is_away_ = true;
    store_.SetMode(store_mode::kBusy);
    After(away, [this, age] {
      const instant then = loop_.Now() - age;
      auto chosen = copies_.front().second;
      for (const auto& [at, copy] : copies_) {
        if (at <= then) chosen = copy;
      }
      store_.Restore(*chosen);
      store_.SetMode(store_mode::kServing);
      store_is_away_ = false;
      for (const auto& [key, value] : published_) {
        if (store_.Find(key) == value) continue;
        After(milliseconds(Draw(100, kMaxRewriteMs)),
              [this, key = key] { PublishAgain(key); });
      }
    });
  }
  void TakeCopies() {
    copies_.emplace_back(loop_.Now(), store_.Copy());
    if (copies_.size() > kMaxCopies) copies_.erase(copies_.begin());
    After(milliseconds(100), [this] { TakeCopies(); });
  }

  void HarmLink(tcp_proxy* proxy, milliseconds time, const std::string& what) {
    const int mode = Draw(1, 5);
    Note("harm " + std::to_string(mode) + " to " + what);
    if (mode == 4) {
      proxy->ResetAll();
    } else if (mode == 5) {
      proxy->SilenceOpen();
    } else {
      proxy->SetMode(static_cast<link_mode>(mode));
      After(time, [proxy] { proxy->SetMode(link_mode::kPass); });
    }
  }

  void HarmStoreLink(vm* at, milliseconds time) {
    DisturbFleet(time + kCalm);
    HarmLink(at->store_proxy.get(), time, "the store's link of " + at->Name());
  }

  void HarmUpstreamLink(vm* at, milliseconds time) {
    DisturbFleet(time + kCalm);
    HarmLink(at->upstream_proxy.get(), time,
             "the upstream's link of " + at->Name());
  }

  void HarmUpstream(vm* at, milliseconds time) {
    const auto fault = static_cast<upstream_fault>(Draw(1, 7));
    Note("upstream fault " + std::to_string(static_cast<int>(fault)) + " at " +
         at->Name());
    DisturbFleet(time + kCalm);
    at->upstream->SetFault(fault);
    After(time, [at] { at->upstream->SetFault(upstream_fault::kNone); });
  }

  void Leave(vm* at) {
    left_[at->Start()] = loop_.Now();
    at->listed = false;
  }

  void DrainUpstream(vm* at, milliseconds) {
    if (!at->listed) return;
    Note("drain the upstream of " + at->Name());
    Leave(at);
    PutEntry(*at, "draining");
    After(kDrainBound + milliseconds(1500), [this, at] {
      Publish("servers/" + at->Start(), std::nullopt);
      List(at);
    });
  }

  // Its entry goes without a word, and another start takes the address.
  void ReplaceUpstream(vm* at, milliseconds time) {
    if (!at->listed) return;
    Note("replace the upstream of " + at->Name());
    Leave(at);
    Publish("servers/" + at->Start(), std::nullopt);
    After(kDrainBound + time, [this, at] { List(at); });
  }

  void ChangeKey(vm*, milliseconds) {
    ++key_;
    Note("key " + std::to_string(key_));
    key_changed_at_ = loop_.Now();
    PutConfiguration();
  }

  const soak_options options_;
  std::mt19937_64 random_;
  soak_report report_;
  net::event_loop loop_;
  net::timer_service timers_{loop_};
  const instant began_ = loop_.Now();
  store_standin store_;
  vm_fleet fleet_{
      loop_,
      timers_,
      {options_.programs, options_.folder, options_.seed, store_.Port()}};
  int version_ = 0;
  int key_ = 1;
  instant key_changed_at_{};
  instant fleet_disturbed_until_{};
  std::map<std::string, std::optional<std::string>> published_;  // By key.
  bool store_is_away_ = false;
  std::vector<std::pair<instant, std::shared_ptr<const store_standin::copy>>>
      copies_;
  bool calling_ = false;
  bool faults_over_ = false;
  run_log runs_;
  std::map<std::string, instant> left_;  // By start.
  std::set<std::string> reported_;
  std::vector<std::shared_ptr<soak_call>> calls_;
  std::vector<std::shared_ptr<soak_call>> ended_lately_;
  std::vector<std::unique_ptr<vm>> vms_;
  stream::client_pool callers_{
      loop_,
      timers_,
      {std::chrono::seconds(5), std::chrono::seconds(4),
       std::chrono::seconds(1), 400}};
};

}  // namespace

soak_report RunSoak(const soak_options& options) { return soak(options).Run(); }

}  // namespace pimentohall::testing
