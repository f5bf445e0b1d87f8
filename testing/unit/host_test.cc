#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>

#include "net_harness.h"

namespace pimentohall::net {
namespace {

// An engine whose actions and state are set by the test.
class scripted_engine : public decision_engine {
 public:
  struct script {
    std::function<core::actions(const core::event&)> on_event;
    std::vector<std::string> events;  // Names of events, in order.
    core::instant wake = core::instant::max();
    bool ready = true;
  };
  explicit scripted_engine(script* script) : script_(script) {}

  core::actions Handle(const core::event& event, core::instant now) override {
    if (script_->wake <= now) script_->wake = core::instant::max();
    script_->events.emplace_back(Name(event));
    return script_->on_event ? script_->on_event(event) : core::actions{};
  }
  core::instant NextWake() const override { return script_->wake; }
  bool IsReady() const override { return script_->ready; }
  std::shared_ptr<const config::config_set> Set() const override { return {}; }
  core::counters Counters() const override {
    core::counters counters;
    counters.calls = 7;
    return counters;
  }
  std::string Dump(core::instant) const override { return "{\"dump\":1}"; }
  std::string Explain(const core::call_arrived& call,
                      core::instant) const override {
    return call.method + " " + call.path + " " + call.key_digest;
  }

 private:
  static const char* Name(const core::event& event) {
    static constexpr const char* kNames[] = {"tick",
                                             "call_arrived",
                                             "call_cancelled",
                                             "peer_answer",
                                             "forward_failed",
                                             "peer_call",
                                             "peer_cancel",
                                             "upstream_answered",
                                             "upstream_failed",
                                             "upstream_report",
                                             "link_up",
                                             "link_down",
                                             "call_link_down",
                                             "message_received",
                                             "source_value",
                                             "source_failed",
                                             "begin_stop"};
    static_assert(std::size(kNames) == std::variant_size_v<core::event>);
    return kNames[event.index()];
  }
  script* script_;
};

// The actions that forward every call to daemon `egress` and from there to the
// upstream on `port`.
core::actions Relay(const core::event& event, const std::string& egress,
                    int port) {
  if (const auto* call = std::get_if<core::call_arrived>(&event)) {
    core::forward_call forward{call->call, 100 + call->call, egress, {}};
    forward.info.method = call->method;
    forward.info.path = call->path;
    forward.info.remaining = std::chrono::seconds(10);
    return {forward};
  }
  if (const auto* call = std::get_if<core::peer_call>(&event)) {
    core::start_upstream_call start{call->vm, call->attempt, {}, call->info};
    start.upstream.address = "127.0.0.1";
    start.upstream.port = port;
    return {start};
  }
  if (const auto* answer = std::get_if<core::upstream_answered>(&event)) {
    return {core::answer_peer{answer->vm,
                              answer->attempt,
                              core::outcome_kind::kAnswered,
                              core::reason::kNone,
                              answer->http_status,
                              {}}};
  }
  if (const auto* answer = std::get_if<core::peer_answer>(&event)) {
    core::answer_call action;
    action.call = answer->attempt - 100;
    action.attempt = answer->attempt;
    action.outcome = answer->outcome;
    action.http_status = answer->http_status;
    return {action};
  }
  if (const auto* cancelled = std::get_if<core::call_cancelled>(&event)) {
    return {core::cancel_forward{egress, 100 + cancelled->call}};
  }
  if (const auto* cancel = std::get_if<core::peer_cancel>(&event)) {
    return {core::cancel_upstream_call{cancel->vm, cancel->attempt}};
  }
  return {};
}

struct daemon {
  daemon(net_harness& net, const std::string& vm) {
    daemon_settings settings;
    settings.vm = vm;
    settings.zone = "z";
    host = std::make_unique<daemon_host>(
        net.loop, settings, std::make_unique<scripted_engine>(&script));
    const auto listening = host->Listen();
    REQUIRE(listening);
    ports = *listening;
  }
  bool Handled(const std::string& event) const {
    return std::find(script.events.begin(), script.events.end(), event) !=
           script.events.end();
  }
  scripted_engine::script script;
  std::unique_ptr<daemon_host> host;
  daemon_host::ports ports;
};

void AnswerRequests(raw_server* upstream) {
  upstream->on_read = [](raw_stream* stream) {
    if (!stream->Has("\r\n\r\nask")) return;
    stream->received.clear();
    stream->Write(
        "HTTP/1.1 201 Created\r\nContent-Length: 4\r\nX: y\r\n\r\ntold");
  };
}

constexpr char kRequest[] =
    "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nask";

// Guards against bodies that the host loses or mixes up.
TEST_CASE("a call through one daemon keeps its request and answer") {
  net_harness net;
  raw_server upstream(net);
  AnswerRequests(&upstream);
  daemon a(net, "a");
  a.script.on_event = [&](const core::event& event) {
    return Relay(event, "a", upstream.port);
  };
  raw_stream caller(net, a.ports.http);
  caller.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return caller.Has("told"); }));
  CHECK(caller.Has("HTTP/1.1 201"));
  CHECK(caller.Has("X: y\r\n"));
  CHECK(a.script.events ==
        std::vector<std::string>{"tick", "call_arrived", "peer_call",
                                 "upstream_answered", "peer_answer"});
}

// Guards against bodies that are lost or mixed up between two daemons, and
// against a caller's disconnection that doesn't cancel the call at the
// upstream.
TEST_CASE("calls and cancellations pass through two daemons") {
  net_harness net;
  raw_server upstream(net);
  AnswerRequests(&upstream);
  daemon a(net, "a");
  daemon b(net, "b");
  const auto vms = std::make_shared<config::vm_list>();
  vms->vms = {{"b", "z", "127.0.0.1", 0, b.ports.link, {}}};
  a.script.on_event = [&](const core::event& event) {
    if (std::holds_alternative<core::tick>(event)) {
      return core::actions{core::config_in_force{nullptr, vms}};
    }
    return Relay(event, "b", 0);
  };
  b.script.on_event = [&](const core::event& event) {
    return Relay(event, "b", upstream.port);
  };
  raw_stream caller(net, a.ports.http);
  caller.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return caller.Has("told"); }));
  CHECK(caller.Has("HTTP/1.1 201"));

  upstream.on_read = [](raw_stream*) {};
  upstream.streams[0]->on_read = upstream.on_read;
  raw_stream disconnecting(net, a.ports.http);
  disconnecting.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return upstream.streams[0]->Has("ask"); }));
  disconnecting.Close();
  REQUIRE(net.RunUntil([&] { return upstream.streams[0]->closed; }));
  CHECK(b.Handled("peer_cancel"));
  REQUIRE(net.RunUntil([&] { return b.Handled("upstream_failed"); }));
}

// Guards against callers that wait at a daemon that can't serve them yet, and
// against a daemon that never accepts callers.
TEST_CASE("callers are refused a connection until the engine is ready") {
  net_harness net;
  scripted_engine::script script;
  script.ready = false;
  bool may_be_ready = false;
  script.on_event = [&](const core::event& event) {
    script.ready = may_be_ready;
    script.wake = net.loop.Now() + std::chrono::milliseconds(5);
    const auto* call = std::get_if<core::call_arrived>(&event);
    if (call == nullptr) return core::actions{};
    core::answer_call action;
    action.call = call->call;
    action.http_status = 404;
    return core::actions{action};
  };
  daemon_settings settings;
  settings.vm = "a";
  settings.zone = "z";
  daemon_host host(net.loop, settings,
                   std::make_unique<scripted_engine>(&script));
  const auto ports = host.Listen();
  REQUIRE(ports);
  REQUIRE(ports->http != 0);
  raw_stream early(net, ports->http);
  REQUIRE(net.RunUntil([&] { return early.closed; }));

  // The engine becomes ready while it handles a wake-up.
  may_be_ready = true;
  REQUIRE(net.RunUntil([&] { return script.ready; }));
  raw_stream caller(net, ports->http);
  caller.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return caller.Has("}") || caller.closed; }));
  CHECK(caller.Has("HTTP/1.1 404"));

  host.BeginStop();
  raw_stream late(net, ports->http);
  REQUIRE(net.RunUntil([&] { return late.closed; }));
}

// Guards against a socket that starts to listen after the planned stop began.
TEST_CASE("an engine ready only during a planned stop accepts no callers") {
  net_harness net;
  scripted_engine::script script;
  script.ready = false;
  daemon_settings settings;
  settings.vm = "a";
  settings.zone = "z";
  daemon_host host(net.loop, settings,
                   std::make_unique<scripted_engine>(&script));
  const auto ports = host.Listen();
  REQUIRE(ports);
  script.on_event = [&](const core::event&) {
    script.ready = true;
    return core::actions{};
  };
  host.BeginStop();
  REQUIRE(script.ready);
  raw_stream late(net, ports->http);
  REQUIRE(net.RunUntil([&] { return late.closed; }));
}

// Guards against a daemon that never accepts callers because another process
// that was bound to the same port listened first.
TEST_CASE("listening for callers is retried") {
  net_harness net;
  const auto other = OpenBoundSocket({"127.0.0.1", 0});
  REQUIRE(other);
  scripted_engine::script script;
  script.ready = false;
  daemon_settings settings;
  settings.vm = "a";
  settings.zone = "z";
  settings.http.port = BoundPort(*other);
  daemon_host host(net.loop, settings,
                   std::make_unique<scripted_engine>(&script));
  const auto ports = host.Listen();
  REQUIRE(ports);
  REQUIRE(StartListening(*other, settings.http));
  script.ready = true;
  REQUIRE(net.RunUntil([&] { return !script.events.empty(); }));
  close(*other);
  const auto connects = [&] {
    raw_stream caller(net, ports->http);
    caller.Write(kRequest);
    const std::size_t before = script.events.size();
    REQUIRE(net.RunUntil(
        [&] { return caller.closed || script.events.size() > before; }));
    return !caller.closed;
  };
  REQUIRE(net.RunUntil(connects));
}

// Guards against a port conflict that is reported only once the engine is
// ready.
TEST_CASE("a port for callers that is in use is an error at the start") {
  net_harness net;
  raw_server other(net);
  scripted_engine::script script;
  script.ready = false;
  daemon_settings settings;
  settings.vm = "a";
  settings.zone = "z";
  settings.http.port = other.port;
  daemon_host host(net.loop, settings,
                   std::make_unique<scripted_engine>(&script));
  const auto ports = host.Listen();
  REQUIRE(!ports);
  CHECK(ports.error().find("bind") != std::string::npos);
}

// Guards against a forward to a VM without an address that waits forever.
TEST_CASE("a forward without an address fails") {
  net_harness net;
  daemon a(net, "a");
  a.script.on_event = [&](const core::event& event) {
    if (std::holds_alternative<core::forward_failed>(event)) {
      core::answer_call action;
      action.call = 1;
      action.why = core::reason::kPeerLost;
      action.http_status = 503;
      return core::actions{action};
    }
    return Relay(event, "nowhere", 0);
  };
  raw_stream caller(net, a.ports.http);
  caller.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return caller.Has("}"); }));
  CHECK(caller.Has("HTTP/1.1 503"));
  CHECK(caller.Has("\"reason\":\"peer_lost\",\"not_run\":true"));
}

// Guards against a success status when the host has no stored answer.
TEST_CASE("a call whose answer is missing is reported as may have run") {
  net_harness net;
  daemon a(net, "a");
  a.script.on_event = [&](const core::event& event) {
    if (!std::holds_alternative<core::call_arrived>(event)) {
      return core::actions{};
    }
    core::answer_call action;
    action.call = 1;
    action.attempt = 5;
    action.outcome = core::outcome_kind::kAnswered;
    action.http_status = 200;
    return core::actions{action};
  };
  raw_stream caller(net, a.ports.http);
  caller.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return caller.Has("}"); }));
  CHECK(caller.Has("HTTP/1.1 502"));
  CHECK(caller.Has("\"not_run\":false"));
}

// Guards against an engine that isn't woken, and against a paused daemon that
// handles a call before the engine's overdue wake-up.
TEST_CASE("the engine is woken in time and before any call") {
  net_harness net;
  daemon a(net, "a");
  REQUIRE(net.RunUntil([&] { return a.Handled("tick"); }));
  a.script.events.clear();
  raw_stream caller(net, a.ports.http);
  a.script.wake = net.loop.Now() - std::chrono::seconds(1);
  caller.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return a.Handled("call_arrived"); }));
  CHECK(a.script.events == std::vector<std::string>{"tick", "call_arrived"});
  a.script.wake = net.loop.Now() + std::chrono::milliseconds(20);
  a.script.events.clear();
  caller.Close();
  REQUIRE(net.RunUntil([&] { return a.Handled("tick"); }));
}

// Guards against sockets that are never served because the engine always asks
// to be woken at once.
TEST_CASE("an engine that is always due doesn't starve callers") {
  net_harness net;
  raw_server upstream(net);
  AnswerRequests(&upstream);
  daemon a(net, "a");
  a.script.on_event = [&](const core::event& event) {
    a.script.wake = core::instant{};
    return Relay(event, "a", upstream.port);
  };
  raw_stream caller(net, a.ports.http);
  caller.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return caller.Has("told"); }));
}

// Guards against admin pages that are missing or have the wrong content.
TEST_CASE("admin pages have the expected status and content") {
  net_harness net;
  daemon a(net, "a");
  const auto get = [&](const std::string& path) {
    raw_stream reader(net, a.ports.admin);
    reader.Write("GET " + path +
                 " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(net.RunUntil([&] { return reader.closed; }));
    return reader.received;
  };
  const auto has = [&](const std::string& path, const char* text) {
    return get(path).find(text) != std::string::npos;
  };
  CHECK(has("/healthz", "HTTP/1.1 200"));
  CHECK(has("/readyz", "HTTP/1.1 200"));
  CHECK(has("/state", "{\"dump\":1}"));
  CHECK(has("/config", "{\"version\":0}"));
  CHECK(has("/explain?method=GET&path=%2Fa%3Fb&key_sha256=ff", "GET /a?b ff"));
  CHECK(has("/explain", "HTTP/1.1 200"));
  CHECK(has("/metrics", "pimentohall_calls_total 7\n"));
  CHECK(has("/metrics", "pimentohall_ready 1\n"));
  CHECK(has("/other", "HTTP/1.1 404"));
  CHECK(has("//x:y/", "HTTP/1.1 4"));
  a.script.ready = false;
  CHECK(has("/readyz", "HTTP/1.1 503"));
  CHECK(has("/metrics", "pimentohall_ready 0\n"));
}

// Guards against metrics that miss calls, count refusals under a wrong reason
// or miss control traffic.
TEST_CASE("calls, refusals and links are counted in metrics") {
  net_harness net;
  raw_server upstream(net);
  AnswerRequests(&upstream);
  daemon a(net, "a");
  daemon b(net, "b");
  a.script.on_event = [&](const core::event& event) {
    const auto* call = std::get_if<core::call_arrived>(&event);
    if (call == nullptr || call->call != 2) {
      return Relay(event, "a", upstream.port);
    }
    core::answer_call action;
    action.call = call->call;
    action.why = core::reason::kRateExceeded;
    action.http_status = 429;
    return core::actions{action};
  };
  raw_stream caller(net, a.ports.http);
  caller.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return caller.Has("told"); }));
  caller.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return caller.Has("HTTP/1.1 429"); }));

  // The next call opens a link to b; the one after it sends a message.
  const core::status_message status;
  a.script.on_event = [&](const core::event& event) {
    const auto* call = std::get_if<core::call_arrived>(&event);
    if (call == nullptr) return core::actions{};
    core::answer_call action;
    action.call = call->call;
    action.why = core::reason::kRateExceeded;
    action.http_status = 429;
    if (call->call == 3) {
      return core::actions{core::open_link{"b", "127.0.0.1", b.ports.link},
                           action};
    }
    return core::actions{core::send_message{"b", status}, action};
  };
  caller.Write(kRequest);
  REQUIRE(net.RunUntil(
      [&] { return a.Handled("link_up") && b.Handled("link_up"); }));
  caller.Write(kRequest);
  REQUIRE(net.RunUntil([&] { return b.Handled("message_received"); }));

  const auto metrics = [&](int port) {
    raw_stream reader(net, port);
    reader.Write(
        "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(net.RunUntil([&] { return reader.closed; }));
    return reader.received;
  };
  const auto has = [](const std::string& text, const std::string& line) {
    return text.find("\n" + line + "\n") != std::string::npos;
  };
  const std::string size =
      std::to_string(EncodeMessage(core::message{status}).size());
  const std::string metrics_a = metrics(a.ports.admin);
  CHECK(
      has(metrics_a, "pimentohall_refusals_total{reason=\"rate_exceeded\"} 3"));
  CHECK(has(metrics_a, "pimentohall_call_duration_seconds_count 4"));
  CHECK(metrics_a.find("_bucket{le=\"0.0005\"}") != std::string::npos);
  CHECK(
      has(metrics_a, "pimentohall_call_duration_seconds_bucket{le=\"10\"} 4"));
  CHECK(has(metrics_a, "pimentohall_links_up 1"));
  CHECK(has(metrics_a,
            "pimentohall_control_bytes_total{direction=\"sent\"} " + size));
  const std::string metrics_b = metrics(b.ports.admin);
  CHECK(has(metrics_b,
            "pimentohall_control_bytes_total{direction=\"received\"} " + size));
  CHECK(has(metrics_b, "pimentohall_call_duration_seconds_count 0"));
}

// Guards against a planned stop that aborts the running call or never ends.
TEST_CASE("a planned stop finishes the running call and ends the loop") {
  net_harness net;
  raw_server upstream(net);
  daemon a(net, "a");
  raw_stream* waiting = nullptr;
  upstream.on_read = [&](raw_stream* stream) {
    waiting = stream;
    a.host->BeginStop();
    stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntold");
  };
  a.script.on_event = [&](const core::event& event) {
    core::actions actions = Relay(event, "a", upstream.port);
    if (std::holds_alternative<core::peer_answer>(event)) {
      actions.emplace_back(core::stop_finished{});
    }
    return actions;
  };
  raw_stream caller(net, a.ports.http);
  caller.Write(kRequest);
  sigc::connection watchdog = net.timers.After(
      std::chrono::seconds(20), sigc::slot<void()>([&] { net.loop.Stop(); }));
  net.loop.Run();
  CHECK(watchdog.connected());
  CHECK(a.Handled("begin_stop"));
  CHECK(caller.Has("told"));
  CHECK(caller.Has("Connection: close"));
}

}  // namespace
}  // namespace pimentohall::net
