// The host of the engine in a daemon.
//
// Events are handled one at a time. An event that occurs while actions are
// executed is queued. A call that is forwarded to this daemon's own VM becomes
// such an event, so that it needs no recursion.
//
// Bodies are stored in three maps: `calls_` holds the requests of callers by
// call, `attempts_` the answers to attempts of these calls, and `peer_calls_`
// the requests that other daemons (or this one) forwarded, by VM and attempt.
// The action or event that ends a call erases its entries, so that nothing is
// kept for a call that has ended.

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>

#include "net/metrics.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

// Time that a planned stop leaves callers to read their answers.
constexpr auto kFlushTimeout = std::chrono::seconds(5);
// Timers run before sockets. Without a minimum delay, an engine that repeatedly
// asks to be woken at once would starve the sockets, and with them the events
// that it waits for.
constexpr auto kMinWakeDelay = std::chrono::milliseconds(1);
constexpr auto kListenRetryDelay = std::chrono::seconds(1);

http_answer TextPage(int status, std::string text, const char* type) {
  return {status, {{"Content-Type", type}}, ShareBytes(std::move(text))};
}

constexpr char kJsonType[] = "application/json";

http_front_options FrontOptions(const daemon_settings& settings) {
  return {settings.http, settings.limits, settings.http_tls};
}

link_options LinkOptions(const daemon_settings& settings) {
  link_options options;
  options.vm = settings.vm;
  options.listen = settings.link;
  options.tls = settings.link_tls;
  options.max_links = settings.limits.links;
  return options;
}

std::string_view QueryValue(const page_query& query, std::string_view name) {
  for (const auto& [key, value] : query) {
    if (key == name) return value;
  }
  return {};
}

}  // namespace

class daemon_host::impl {
 public:
  impl(event_loop& loop, daemon_settings settings,
       std::unique_ptr<decision_engine> engine)
      : settings_(std::move(settings)),
        loop_(loop),
        timers_(loop),
        engine_(std::move(engine)),
        front_(loop, FrontOptions(settings_)),
        admin_(loop, settings_.admin),
        upstreams_(loop, timers_),
        source_(loop, timers_, settings_.source),
        links_(loop, timers_, LinkOptions(settings_)) {
    ConnectFront();
    ConnectLinks();
    ConnectClients();
    AddPages();
  }

  tl::expected<ports, std::string> Listen() {
    auto link = links_.Listen();
    if (!link) return tl::make_unexpected(link.error());
    auto admin = admin_.Listen();
    if (!admin) return tl::make_unexpected(admin.error());
    auto http = front_.Bind();
    if (!http) return tl::make_unexpected(http.error());
    Log(core::log_level::kInfo, "listening",
        {{"vm", settings_.vm},
         {"link_port", std::to_string(*link)},
         {"admin_port", std::to_string(*admin)}});
    front_bound_ = true;
    AcceptCallersIfReady();
    loop_.Post([this] { Feed(core::tick{}); });
    return ports{*http, *link, *admin};
  }

  void BeginStop() {
    if (stopping_) return;
    stopping_ = true;
    Log(core::log_level::kInfo, "planned stop begins");
    Feed(core::begin_stop{});
    front_.Stop([this] { front_stopped_ = true; });
  }

  void ReloadCertificates() {
    const auto front = front_.ReloadCertificates();
    const auto link = links_.ReloadCertificates();
    if (!front || !link) {
      Log(core::log_level::kError, "certificates not reloaded",
          {{"problem", !front ? front.error() : link.error()}});
      return;
    }
    Log(core::log_level::kInfo, "certificates reloaded");
  }

 private:
  using peer_key = std::pair<std::string, core::attempt_id>;
  struct attempt_state {
    core::call_id call = 0;
    std::optional<http_answer> answer;
  };
  struct call_state {
    http_message request;
    std::vector<core::attempt_id> attempts;
    core::instant arrived;
  };
  struct peer_call_state {
    http_message request;
    std::optional<http_answer> answer;
  };

  void ConnectFront() {
    front_.on_call = [this](core::call_arrived call, http_message request) {
      calls_[call.call] = {std::move(request), {}, loop_.Now()};
      Feed(std::move(call));
    };
    front_.on_cancelled = [this](core::call_id call) {
      Feed(core::call_cancelled{call});
    };
  }

  void ConnectLinks() {
    links_.on_link_up = [this](core::link_up up) { Feed(std::move(up)); };
    links_.on_link_down = [this](core::link_down down) {
      Feed(std::move(down));
    };
    links_.on_message = [this](core::message_received received) {
      Feed(std::move(received));
    };
    links_.on_call = [this](core::peer_call call, http_message request) {
      peer_calls_[{call.vm, call.attempt}].request = std::move(request);
      Feed(std::move(call));
    };
    links_.on_cancel = [this](core::peer_cancel cancel) {
      Feed(std::move(cancel));
    };
    links_.on_answer = [this](core::peer_answer answer, http_answer body) {
      const auto found = attempts_.find(answer.attempt);
      if (found != attempts_.end()) found->second.answer = std::move(body);
      Feed(std::move(answer));
    };
    links_.on_forward_failed = [this](core::forward_failed failed) {
      Feed(failed);
    };
    links_.on_call_link_down = [this](core::call_link_down down) {
      Feed(std::move(down));
    };
  }

  void ConnectClients() {
    upstreams_.on_answered = [this](core::upstream_answered answered,
                                    http_answer answer) {
      const auto found = peer_calls_.find({answered.vm, answered.attempt});
      if (found != peer_calls_.end()) found->second.answer = std::move(answer);
      Feed(std::move(answered));
    };
    upstreams_.on_failed = [this](core::upstream_failed failed) {
      Feed(std::move(failed));
    };
    upstreams_.on_report = [this](core::upstream_report report) {
      Feed(std::move(report));
    };
    source_.on_value = [this](core::source_value value) {
      Feed(std::move(value));
    };
    source_.on_failed = [this](core::source_failed failed) {
      Feed(std::move(failed));
    };
  }

  // Events and the wake-up.

  void Feed(core::event event) {
    events_.push_back(std::move(event));
    if (feeding_) return;
    feeding_ = true;
    while (!events_.empty()) {
      const core::event next = std::move(events_.front());
      events_.pop_front();
      const core::instant now = loop_.Now();
      // After the process was paused, the engine must drop expired state before
      // it makes a decision.
      const bool overdue = engine_->NextWake() <= now;
      if (overdue && !std::holds_alternative<core::tick>(next)) {
        Perform(engine_->Handle(core::tick{}, now));
      }
      Perform(engine_->Handle(next, now));
      AcceptCallersIfReady();
      std::visit([this](const auto& handled) { ReleaseState(handled); }, next);
    }
    feeding_ = false;
    ArmWakeTimer();
  }

  // Starts to accept callers once the engine is ready for the first time. The
  // port stays open if the engine becomes unready, as the engine then refuses
  // calls itself.
  void AcceptCallersIfReady() {
    if (accepting_ || stopping_ || !front_bound_ || !engine_->IsReady()) return;
    if (listen_retry_.connected()) return;
    const auto port = front_.Listen();
    if (!port) {
      // Another process also bound the port and listened first.
      Log(core::log_level::kError, "can't accept callers",
          {{"problem", port.error()}});
      listen_retry_ =
          timers_.After(kListenRetryDelay, sigc::slot<void()>([this] {
                          listen_retry_.disconnect();
                          AcceptCallersIfReady();
                        }));
      return;
    }
    accepting_ = true;
    Log(core::log_level::kInfo, "listening",
        {{"vm", settings_.vm}, {"http_port", std::to_string(*port)}});
  }

  // Erases the state of calls that ended with an event, once the engine has
  // handled the event.
  template <typename event_type>
  void ReleaseState(const event_type&) {}
  void ReleaseState(const core::peer_cancel& cancel) {
    peer_calls_.erase({cancel.vm, cancel.attempt});
  }
  void ReleaseState(const core::call_link_down& down) {
    peer_calls_.erase(peer_calls_.lower_bound({down.vm, 0}),
                      peer_calls_.upper_bound({down.vm, UINT64_MAX}));
  }
  void ReleaseState(const core::call_cancelled& cancelled) {
    EraseCall(cancelled.call);
  }

  void Perform(core::actions actions) {
    for (core::action& action : actions) {
      std::visit([this](auto& typed_action) { Execute(typed_action); }, action);
    }
  }

  // Arms the timer again only for an earlier wake-up. If the engine's wake-up
  // has moved to a later time, the timer fires early and arms itself again.
  void ArmWakeTimer() {
    const core::instant wake = engine_->NextWake();
    if (wake >= armed_wake_) return;
    wake_timer_.disconnect();
    armed_wake_ = wake;
    const core::duration delay =
        std::max<core::duration>(wake - loop_.Now(), kMinWakeDelay);
    wake_timer_ = timers_.After(delay, sigc::slot<void()>([this] {
                                  armed_wake_ = core::instant::max();
                                  if (engine_->NextWake() <= loop_.Now()) {
                                    Feed(core::tick{});
                                  } else {
                                    AcceptCallersIfReady();
                                    ArmWakeTimer();
                                  }
                                }));
  }

  // Actions.

  void Execute(core::answer_call& action) {
    const auto call = calls_.find(action.call);
    if (call != calls_.end()) {
      metrics_.ObserveCall(loop_.Now() - call->second.arrived);
    }
    if (action.outcome == core::outcome_kind::kAnswered) {
      const auto attempt = attempts_.find(action.attempt);
      if (attempt != attempts_.end() && attempt->second.answer) {
        front_.Answer(action.call, *attempt->second.answer);
        return EraseCall(action.call);
      }
      // The answer isn't stored. A status without its body would mislead the
      // caller.
      action.outcome = core::outcome_kind::kMayHaveRun;
      action.why = core::reason::kConnectionLost;
      action.http_status = 502;
    }
    metrics_.CountRefusal(action.why);
    front_.Answer(action.call, RefusalAnswer(action));
    EraseCall(action.call);
  }

  void Execute(core::forward_call& action) {
    const auto call = calls_.find(action.call);
    if (call == calls_.end()) {
      Feed(core::forward_failed{action.attempt});
      return;
    }
    call->second.attempts.push_back(action.attempt);
    attempts_[action.attempt].call = action.call;
    if (action.vm == settings_.vm) {
      peer_calls_[{action.vm, action.attempt}].request = call->second.request;
      Feed(core::peer_call{action.vm, action.attempt, std::move(action.info)});
      return;
    }
    links_.Forward(action.vm, {action.attempt, std::move(action.info),
                               call->second.request});
  }

  void Execute(core::cancel_forward& action) {
    attempts_.erase(action.attempt);
    if (action.vm == settings_.vm) {
      Feed(core::peer_cancel{action.vm, action.attempt});
      return;
    }
    links_.CancelForward(action.vm, action.attempt);
  }

  void Execute(core::start_upstream_call& action) {
    const auto found = peer_calls_.find({action.vm, action.attempt});
    if (found == peer_calls_.end()) {
      Feed(core::upstream_failed{action.vm, action.attempt,
                                 core::upstream_failure::kNotSent});
      return;
    }
    upstreams_.Start(action, found->second.request);
  }

  void Execute(core::cancel_upstream_call& action) {
    upstreams_.Cancel(action.vm, action.attempt);
  }

  void Execute(core::answer_peer& action) {
    http_answer body;
    const auto found = peer_calls_.find({action.vm, action.attempt});
    if (found != peer_calls_.end()) {
      if (found->second.answer) body = std::move(*found->second.answer);
      peer_calls_.erase(found);
    }
    if (action.outcome != core::outcome_kind::kAnswered) body = {};
    if (action.vm == settings_.vm) return AnswerLocal(action, std::move(body));
    body.status = action.http_status;
    links_.AnswerPeer(action.vm, {action.attempt, action.outcome, action.why,
                                  action.load, std::move(body)});
  }

  void AnswerLocal(const core::answer_peer& action, http_answer body) {
    const auto attempt = attempts_.find(action.attempt);
    if (attempt != attempts_.end()) attempt->second.answer = std::move(body);
    Feed(core::peer_answer{action.vm, action.attempt, action.outcome,
                           action.why, action.http_status, action.load});
  }

  void Execute(core::send_message& action) {
    links_.Send(action.vm, action.body);
  }
  void Execute(core::open_link& action) { links_.Open(action); }
  void Execute(core::close_link& action) { links_.Close(action.vm); }
  void Execute(core::read_source& action) { source_.Read(action); }

  void Execute(core::config_in_force& action) {
    if (action.vms) {
      for (const config::vm& vm : action.vms->vms) {
        links_.SetAddress(vm.name, {vm.address, vm.link_port});
      }
    }
    if (!action.set) return;
    in_force_since_ = loop_.Now();
    std::vector<probe_target> targets;
    for (const config::service& service : action.set->Services()) {
      for (const config::upstream& upstream : service.upstreams) {
        if (upstream.vm != settings_.vm) continue;
        targets.push_back({upstream.name,
                           {upstream.address, upstream.port},
                           service.health_path,
                           service.load_path});
      }
    }
    upstreams_.SetProbeTargets(targets);
  }

  void Execute(core::log_entry& action) {
    Log(action.level, action.text, action.fields);
  }

  // Answers may still be waiting to be written to callers. They are written
  // before the loop stops.
  void Execute(core::stop_finished&) {
    stop_deadline_ = loop_.Now() + kFlushTimeout;
    stop_timer_ = timers_.Every(std::chrono::milliseconds(5),
                                sigc::slot<void()>([this] { CheckStopped(); }));
  }

  void CheckStopped() {
    if (!front_stopped_ && loop_.Now() < stop_deadline_) return;
    stop_timer_.disconnect();
    Log(core::log_level::kInfo, "planned stop finished");
    loop_.Stop();
  }

  void EraseCall(core::call_id call) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) return;
    for (const core::attempt_id attempt : found->second.attempts) {
      attempts_.erase(attempt);
    }
    calls_.erase(found);
  }

  // Pages.

  void AddPages() {
    admin_.AddPage("/healthz", [](const page_query&) {
      return TextPage(200, "ok\n", "text/plain");
    });
    admin_.AddPage("/readyz", [this](const page_query&) {
      const bool ready = engine_->IsReady() && !stopping_;
      return TextPage(ready ? 200 : 503, ready ? "ready\n" : "not ready\n",
                      "text/plain");
    });
    admin_.AddPage("/metrics", [this](const page_query&) {
      return TextPage(200, Metrics(), "text/plain; version=0.0.4");
    });
    admin_.AddPage("/state", [this](const page_query&) {
      return TextPage(200, engine_->Dump(loop_.Now()), kJsonType);
    });
    admin_.AddPage("/explain", [this](const page_query& query) {
      return TextPage(200, Explain(query), kJsonType);
    });
    admin_.AddPage("/config", [this](const page_query&) {
      return TextPage(200, ConfigText(), kJsonType);
    });
  }

  std::string Metrics() {
    host_gauges gauges;
    gauges.ready = engine_->IsReady();
    const auto set = engine_->Set();
    gauges.config_version = set ? set->Version() : 0;
    gauges.calls_pending = front_.Pending();
    gauges.links = links_.Counts();
    return metrics_.Render(engine_->Counters(), gauges);
  }

  std::string Explain(const page_query& query) const {
    core::call_arrived call;
    call.method = QueryValue(query, "method");
    call.path = QueryValue(query, "path");
    call.key_digest = QueryValue(query, "key_sha256");
    return engine_->Explain(call, loop_.Now());
  }

  std::string ConfigText() const {
    nlohmann::ordered_json text = {{"version", 0}};
    if (const auto set = engine_->Set()) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
          loop_.Now() - in_force_since_);
      text["version"] = set->Version();
      text["digest"] = set->Digest();
      text["age_ms"] = age.count();
    }
    return text.dump();
  }

  const daemon_settings settings_;
  event_loop& loop_;
  timer_service timers_;
  std::unique_ptr<decision_engine> engine_;
  metrics metrics_;

  std::deque<core::event> events_;
  bool feeding_ = false;
  core::instant armed_wake_ = core::instant::max();
  sigc::connection wake_timer_;

  std::unordered_map<core::call_id, call_state> calls_;
  std::unordered_map<core::attempt_id, attempt_state> attempts_;
  std::map<peer_key, peer_call_state> peer_calls_;

  core::instant in_force_since_;
  bool front_bound_ = false;
  bool accepting_ = false;  // Accepting began; stays true during a stop.
  sigc::connection listen_retry_;
  bool stopping_ = false;
  bool front_stopped_ = false;
  core::instant stop_deadline_;
  sigc::connection stop_timer_;

  // Declared last, so that they are destroyed first: their handlers use the
  // members above.
  http_front front_;
  admin_server admin_;
  upstream_client upstreams_;
  source_client source_;
  link_service links_;
};

daemon_host::daemon_host(event_loop& loop, daemon_settings settings,
                         std::unique_ptr<decision_engine> engine)
    : impl_(std::make_unique<impl>(loop, std::move(settings),
                                   std::move(engine))) {}
daemon_host::~daemon_host() = default;

tl::expected<daemon_host::ports, std::string> daemon_host::Listen() {
  return impl_->Listen();
}
void daemon_host::BeginStop() { impl_->BeginStop(); }
void daemon_host::ReloadCertificates() { impl_->ReloadCertificates(); }

}  // namespace pimentohall::net
