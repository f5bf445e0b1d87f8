// One event loop plays the source, the upstreams, the proxies before both, and
// the callers; the daemons are processes of their own.
//
// Rules with a time bound are checked only in calm: no fault was active within
// kCalm. The others hold always.

#include "soak/soak.h"

#include <event2/event.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "fleet/child_process.h"
#include "fleet/ports.h"
#include "soak/proxy.h"
#include "soak/upstream.h"
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
constexpr milliseconds kRouteTimeout(1500);
constexpr milliseconds kLateSlack(500);
constexpr milliseconds kCallerPatience(4000);
constexpr milliseconds kWarmUp(2500);
constexpr milliseconds kRecovery(6000);
constexpr milliseconds kLastPhase(3000);
constexpr double kServedAfterRecovery = 0.95;
constexpr int kZones = 3;
constexpr int kOtherRoutes = 100;  // Some 20 KB of settings.

enum port {
  kCallers,
  kPeers,
  kNews,
  kReady,
  kAdmin,
  kUpstream,
  kStore,
  kBehind,
  kPorts
};

struct vm {
  int index = 0;
  std::string address;
  child_process process;
  bool paused = false;
  int start = 0;  // Of the upstream.
  bool listed = false;
  instant left_at{};          // Its entry said that it leaves.
  instant disturbed_until{};  // Of the daemon's process.
  int boot = 0;
  // Newest key of the changing tenant that this boot accepted, and when.
  int accepted_key = 0;
  instant accepted_at{};
  std::optional<instant> stopping_since;
  std::unique_ptr<tcp_proxy> store_proxy;
  std::unique_ptr<tcp_proxy> upstream_proxy;
  std::unique_ptr<soak_upstream> upstream;
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
      : options_(options), random_(options.seed), store_(loop_.Base()) {}

  soak_report Run() {
    if (!SetUp()) return std::move(report_);
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
    const auto ports = FindFreePorts(kPorts);
    if (!ports) {
      Violation("set-up", "no free ports");
      return false;
    }
    first_port_ = *ports;
    PutConfiguration();
    for (int i = 0; i < options_.daemons; ++i) {
      auto at = std::make_unique<vm>();
      at->index = i;
      at->address = "127." + std::to_string(1 + options_.seed % 250) + "." +
                    std::to_string(1 + i / 200) + "." +
                    std::to_string(1 + i % 200);
      at->store_proxy = std::make_unique<tcp_proxy>(
          loop_, timers_, net::endpoint{at->address, Port(kStore)},
          net::endpoint{"127.0.0.1", store_.Port()});
      at->upstream_proxy = std::make_unique<tcp_proxy>(
          loop_, timers_, net::endpoint{at->address, Port(kUpstream)},
          net::endpoint{at->address, Port(kBehind)});
      at->upstream = std::make_unique<soak_upstream>(
          loop_, timers_, net::endpoint{at->address, Port(kBehind)}, &runs_,
          options_.seed * 1000 + static_cast<std::uint64_t>(i));
      if (!at->store_proxy->Open() || !at->upstream_proxy->Open() ||
          !at->upstream->Open()) {
        Violation("set-up", "can't listen at " + at->address);
        return false;
      }
      vms_.push_back(std::move(at));
      List(vms_.back().get());
      WriteSettings(*vms_.back());
    }
    for (const auto& each : vms_) StartDaemon(each.get());
    return true;
  }

  int Port(port which) const { return first_port_ + which; }

  std::string SettingsFile(const vm& of) const {
    return options_.folder + "/vm-" + std::to_string(of.index) + ".json";
  }

  static std::string ZoneOf(const vm& of) {
    return "zone-" + std::to_string(of.index % kZones);
  }

  void WriteSettings(const vm& of) {
    const auto at = [&](port which) {
      return of.address + ":" + std::to_string(Port(which));
    };
    const json settings = {
        {"name", "vm-" + std::to_string(of.index)},
        {"zone", ZoneOf(of)},
        {"zones", {{"zone-0", "r"}, {"zone-1", "r"}, {"zone-2", "r"}}},
        {"service", "ledger"},
        {"callers", at(kCallers)},
        {"peers", at(kPeers)},
        {"ready", at(kReady)},
        {"upstream", at(kUpstream)},
        {"source", at(kStore)},
        {"news_port", Port(kNews)},
        {"admin_port", Port(kAdmin)},
        {"bounds",
         {"graceS=6", "retryBudgetRatio=0.2", "retrySlack=50",
          "budgetWindowS=10"}}};
    std::ofstream(SettingsFile(of)) << settings.dump(1) << "\n";
  }

  void StartDaemon(vm* at) {
    setenv("PIMENTOHALL_NODE_FILE", SettingsFile(*at).c_str(), 1);
    auto started = child_process::Start(
        {options_.programs + "/pimentohalld", "--platform"},
        options_.folder + "/vm-" + std::to_string(at->index) + ".log");
    if (!started) {
      Violation("set-up", "a daemon can't be started");
      return;
    }
    at->process = std::move(*started);
    ++at->boot;
    at->accepted_key = 0;
    at->paused = false;
    at->stopping_since.reset();
    Disturb(at, kCalm);
  }

  void PutConfiguration() {
    ++version_;
    json routes = json::array();
    for (const char* kind : {"idempotent", "non_idempotent"}) {
      const bool reads = std::string(kind) == "idempotent";
      routes.push_back({{"name", reads ? "read" : "write"},
                        {"host", "a.example"},
                        {"prefix", reads ? "/read/" : "/write/"},
                        {"kind", kind},
                        {"timeoutMs", kRouteTimeout.count()},
                        {"aimMs", 400},
                        {"priority", reads ? 1 : 0},
                        {"maxAttempts", 2},
                        {"service", "ledger"}});
    }
    // Enough routes that daemons pass the settings on as patches.
    for (int i = 0; i < kOtherRoutes; ++i) {
      json other = routes.front();
      other["name"] = "other-" + std::to_string(i);
      other["prefix"] = "/other-" + std::to_string(i) + "/";
      routes.push_back(other);
    }
    const json document = {
        {"version", "r" + std::to_string(version_)},
        {"routes", routes},
        {"services",
         {{{"name", "ledger"},
           {"healthPath", "/health"},
           {"maxConnections", 100},
           {"warmupS", 3},
           {"warmupPerS", 0}}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 8000000},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}},
        {"tenants",
         {{{"name", "steady"}, {"apiKeys", {"steady"}}, {"ratePerS", 0}},
          {{"name", "changing"},
           {"apiKeys", {"key-" + std::to_string(key_)}},
           {"ratePerS", 0}}}}};
    store_.Put("op/config", document.dump());
  }

  // A new start of the upstream, and its entry.
  void List(vm* at) {
    ++at->start;
    at->upstream->SetStart(StartOf(*at));
    at->listed = true;
    PutEntry(*at, "ready");
  }

  static std::string StartOf(const vm& of) {
    return "i-" + std::to_string(of.index) + "-" + std::to_string(of.start);
  }

  void PutEntry(const vm& of, const char* state) {
    store_.Put(
        "servers/" + StartOf(of),
        json{{"service", "ledger"},
             {"address", of.address + ":" + std::to_string(Port(kUpstream))},
             {"zone", ZoneOf(of)},
             {"version", "v1"},
             {"slots", 6},
             {"state", state},
             {"warmupLeftMs", 0},
             {"sequence", of.start},
             {"born", 1000000 + of.start}}
            .dump());
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
        callers_.Start({at.address, Port(kCallers)}, head, std::move(handlers));
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
        Violation("still there after the grace time",
                  "vm-" + std::to_string(at->index));
      }
      at->process.Kill();
      StartDaemon(at);
      return;
    }
    if (at->process.IsRunning()) return;
    Violation("ended by itself", "vm-" + std::to_string(at->index));
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
          &soak::ChangeKey,     &soak::KillHerd};
      const int which = Draw(0, static_cast<int>(std::size(kFaults)) - 1);
      (this->*kFaults[which])(DrawVm(), milliseconds(Draw(300, 2500)));
      ScheduleFault();
    });
  }

  static std::string Name(const vm& of) {
    return "vm-" + std::to_string(of.index);
  }

  void PauseDaemon(vm* at, milliseconds time) {
    if (at->paused || at->stopping_since) return;
    Note("pause " + Name(*at) + " for " + std::to_string(time.count()) + " ms");
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
    Note("kill " + Name(*at));
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
    Note("stop " + Name(*at));
    at->stopping_since = loop_.Now();
    at->process.Signal(SIGTERM);
  }

  void ReloadDaemon(vm* at, milliseconds) {
    if (at->paused) return;
    Note("reload " + Name(*at));
    WriteSettings(*at);
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
    HarmLink(at->store_proxy.get(), time, "the store's link of " + Name(*at));
  }

  void HarmUpstreamLink(vm* at, milliseconds time) {
    DisturbFleet(time + kCalm);
    HarmLink(at->upstream_proxy.get(), time,
             "the upstream's link of " + Name(*at));
  }

  void HarmUpstream(vm* at, milliseconds time) {
    const auto fault = static_cast<upstream_fault>(Draw(1, 7));
    Note("upstream fault " + std::to_string(static_cast<int>(fault)) + " at " +
         Name(*at));
    DisturbFleet(time + kCalm);
    at->upstream->SetFault(fault);
    After(time, [at] { at->upstream->SetFault(upstream_fault::kNone); });
  }

  void Leave(vm* at) {
    left_[StartOf(*at)] = loop_.Now();
    at->listed = false;
  }

  void DrainUpstream(vm* at, milliseconds) {
    if (!at->listed) return;
    Note("drain the upstream of " + Name(*at));
    Leave(at);
    PutEntry(*at, "draining");
    After(kDrainBound + milliseconds(1500), [this, at] {
      store_.Remove("servers/" + StartOf(*at));
      List(at);
    });
  }

  // Its entry goes without a word, and another start takes the address.
  void ReplaceUpstream(vm* at, milliseconds time) {
    if (!at->listed) return;
    Note("replace the upstream of " + Name(*at));
    Leave(at);
    store_.Remove("servers/" + StartOf(*at));
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
  int first_port_ = 0;
  int version_ = 0;
  int key_ = 1;
  instant key_changed_at_{};
  instant fleet_disturbed_until_{};
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
