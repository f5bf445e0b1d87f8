#ifndef PIMENTOHALL_UNIT_NODE_FIXTURE_H_
#define PIMENTOHALL_UNIT_NODE_FIXTURE_H_

// A small fleet in one process: daemons on loopback addresses, an upstream for
// each, and a stand-in for the store.

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net_harness.h"
#include "pimentohall/node.h"
#include "platform/platform.h"
#include "store_standin/store.h"

namespace pimentohall::node {

// An upstream that answers as scripted and counts the calls it ran.
struct upstream_standin {
  upstream_standin(net::net_harness& net, const std::string& address, int port)
      : front(net.loop, net.timers, {{address, port}, {}, {}}) {
    front.on_request =
        [this](const std::shared_ptr<stream::server_exchange>& conn,
               stream::message_head head) { OnRequest(conn, std::move(head)); };
    const auto listening = front.Listen();
    REQUIRE(listening);
  }

  void OnRequest(const std::shared_ptr<stream::server_exchange>& conn,
                 stream::message_head head) {
    const std::string id(net::FindHeader(head.headers, "X-Attempt-Id"));
    const bool is_probe = head.target == "/health";
    auto body = std::make_shared<std::string>();
    conn->on_data = [body](std::string_view bytes) { body->append(bytes); };
    conn->on_end = [this, conn, id, body, is_probe, head = std::move(head)] {
      if (is_probe) {
        ++probes;
        Answer(conn, "", 200, "", {{"X-Warmup-Ms", warmup_ms}});
        return;
      }
      requests.push_back(head);
      bodies.push_back(*body);
      if (!sheds && !head.target.empty()) ++runs[id];
      if (script) {
        script(conn, id);
      } else if (sheds) {
        Answer(conn, id, 503, "", {{"X-Not-Executed", "1"}});
      } else {
        Answer(conn, id, 200, "hello", {{"X-Response-Seal", "seal"}});
      }
    };
    conn->on_closed = [this](stream::end_reason) { ++closed; };
  }

  void Answer(const std::shared_ptr<stream::server_exchange>& conn,
              const std::string& id, int status, const std::string& text,
              net::header_list headers = {}) {
    stream::message_head head;
    head.status = status;
    head.headers = std::move(headers);
    if (!id.empty()) head.headers.emplace_back("X-Attempt-Id", id);
    if (load) head.headers.emplace_back("X-Instance-Load", load());
    head.framing = stream::body_framing::kLength;
    head.length = text.size();
    conn->SendHead(head);
    conn->SendData(text);
    conn->SendEnd();
    front.FinishRequest(conn);
  }

  int Runs() const {
    int total = 0;
    for (const auto& [id, count] : runs) total += count;
    return total;
  }

  stream::server front;
  std::function<void(const std::shared_ptr<stream::server_exchange>&,
                     const std::string& id)>
      script;
  std::function<std::string()> load;  // The load header; null: none is sent.
  bool sheds = false;
  std::string warmup_ms = "0";
  int probes = 0;
  int closed = 0;
  std::map<std::string, int> runs;
  std::vector<stream::message_head> requests;
  std::vector<std::string> bodies;
};

// A caller's request and its answer.
struct caller_exchange {
  int status = 0;  // 0: none yet, or the connection closed.
  net::header_list headers;
  std::string body;
  bool keeps_body = true;  // False: the body is dropped as it arrives.
  bool ended = false;
  bool failed = false;
  std::shared_ptr<stream::exchange> exchange;
};

struct node_fleet {
  static constexpr int kCallers = 0, kPeers = 1, kReady = 2, kAdmin = 3,
                       kUpstream = 4, kNews = 5;

  explicit node_fleet(int size) {
    for (int i = 0; i < 6; ++i) ClaimPort();
    for (int i = 0; i < size; ++i) {
      upstreams.push_back(std::make_unique<upstream_standin>(net, Address(i),
                                                             ports[kUpstream]));
      stores.push_back(nullptr);
    }
    config = {{"version", "r1"},
              {"routes",
               {{{"name", "read"},
                 {"host", "a.example"},
                 {"prefix", "/read/"},
                 {"kind", "idempotent"},
                 {"timeoutMs", 1500},
                 {"aimMs", 400},
                 {"priority", 1},
                 {"maxAttempts", 2},
                 {"service", "ledger"}},
                {{"name", "write"},
                 {"host", "a.example"},
                 {"prefix", "/write/"},
                 {"kind", "non_idempotent"},
                 {"timeoutMs", 1500},
                 {"aimMs", 400},
                 {"priority", 0},
                 {"maxAttempts", 2},
                 {"service", "ledger"}}}},
              {"services",
               {{{"name", "ledger"},
                 {"healthPath", "/health"},
                 {"maxConnections", 50},
                 {"warmupS", 3},
                 {"warmupPerS", 10}}}},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 8000000},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}},
              {"tenants",
               {{{"name", "t1"},
                 {"apiKeys", {"key-1"}},
                 {"ratePerS", 0},
                 {"burst", 0}}}}};
  }

  ~node_fleet() {
    for (const int socket : claimed_sockets) evutil_closesocket(socket);
  }
  node_fleet(const node_fleet&) = delete;
  node_fleet& operator=(const node_fleet&) = delete;

  // Adds a port that no other fleet on this machine uses. It is claimed on one
  // address, and the daemons use it on others.
  void ClaimPort() {
    const auto socket = net::OpenBoundSocket({"127.0.0.1", 0});
    REQUIRE(socket);
    ports.push_back(net::BoundPort(*socket));
    claimed_sockets.push_back(*socket);
  }
  static std::string Address(int i) {
    return "127.0.0." + std::to_string(11 + i);
  }

  void PutConfig(const std::string& version) {
    config["version"] = version;
    store.Put("op/config", config.dump());
  }
  void PutEntry(int i, const std::string& state = "ready") {
    store.Put(
        "servers/i-" + std::to_string(i),
        nlohmann::json{
            {"service", i < static_cast<int>(services.size())
                            ? services[static_cast<std::size_t>(i)]
                            : "ledger"},
            {"address", Address(i) + ":" + std::to_string(ports[kUpstream])},
            {"zone", i == far_upstream ? "far" : "z"},
            {"version", "v1"},
            {"slots", 4},
            {"state", state},
            {"warmupLeftMs", 0},
            {"sequence", 1},
            {"born", 1000 + i}}
            .dump());
  }

  node_settings MakeSettings(int i) const {
    node_settings settings;
    settings.name = "n" + std::to_string(i);
    settings.zone = "z";
    settings.zone_regions = {{"z", "r"}};
    settings.caller_service = "service-" + std::to_string(i);
    settings.callers = {Address(i), ports[kCallers]};
    settings.peers = {Address(i), ports[kPeers]};
    settings.ready = {Address(i), ports[kReady]};
    settings.ready_path = "/api/ready";
    settings.admin = {Address(i), ports[kAdmin]};
    settings.news = {Address(i), ports[kNews]};
    settings.upstream = {Address(i), ports[kUpstream]};
    settings.retries = {0.2, 100, std::chrono::seconds(10)};
    settings.overload_control = overload_control;
    settings.cost_routing = cost_routing;
    settings.max_descriptors = max_descriptors;
    return settings;
  }

  void StartNode(int i) {
    const int port = stores[i] ? stores[i]->Port() : store.Port();
    auto started = std::make_unique<node>(
        net.loop, net.timers, MakeSettings(i),
        platform::MakeAdapter(net.loop, net.timers, {"127.0.0.1", port}));
    REQUIRE(started->Start());
    nodes[i] = std::move(started);
  }

  // Starts everything and waits until a call on each daemon is answered.
  void Start() {
    PutConfig("r1");
    for (int i = 0; i < static_cast<int>(upstreams.size()); ++i) {
      PutEntry(i);
      StartNode(i);
    }
    RunFor(std::chrono::milliseconds(800));
    for (int i = 0; i < static_cast<int>(upstreams.size()); ++i) {
      CHECK(Call(i, "GET", "/read/warm")->status == 200);
    }
    for (auto& upstream : upstreams) {
      upstream->requests.clear();
      upstream->bodies.clear();
      upstream->runs.clear();
    }
  }

  void RunFor(core::duration time) {
    bool done = false;
    net.timers.After(time, sigc::slot<void()>([&done] { done = true; }));
    net.RunUntil([&done] { return done; });
  }

  // Sends a request's head; the answer is stored in `call`.
  void StartExchange(int node, const stream::message_head& head,
                     const std::shared_ptr<caller_exchange>& call) {
    stream::exchange_handlers handlers;
    handlers.on_head = [call](const stream::message_head& answer) {
      call->status = answer.status;
      call->headers = answer.headers;
    };
    handlers.on_data = [call](std::string_view bytes) {
      if (call->keeps_body) call->body.append(bytes);
    };
    handlers.on_end = [call] { call->ended = true; };
    handlers.on_failed = [call](stream::failure) {
      call->ended = true;
      call->failed = true;
    };
    call->exchange =
        callers.Start({Address(node), ports[kCallers]}, head, handlers);
    REQUIRE(call->exchange);
  }

  std::shared_ptr<caller_exchange> StartCall(
      int node, const std::string& method, const std::string& path,
      const std::string& body = "", net::header_list headers = {},
      const std::string& budget = "2000") {
    auto call = std::make_shared<caller_exchange>();
    stream::message_head head;
    head.method = method;
    head.target = path;
    head.headers = {{"Host", "a.example"},
                    {"X-Attempt-Id", "id-" + std::to_string(++last_id)},
                    {"X-Deadline-Ms", budget}};
    if (headers.empty()) headers = {{"Authorization", "Token key-1"}};
    for (net::header& each : headers) head.headers.push_back(std::move(each));
    if (!body.empty()) {
      head.framing = stream::body_framing::kLength;
      head.length = body.size();
    }
    StartExchange(node, head, call);
    call->exchange->SendData(body);
    call->exchange->SendEnd();
    return call;
  }

  std::shared_ptr<caller_exchange> Call(int node, const std::string& method,
                                        const std::string& path,
                                        const std::string& body = "",
                                        net::header_list headers = {},
                                        const std::string& budget = "2000") {
    auto call = StartCall(node, method, path, body, std::move(headers), budget);
    CHECK(net.RunUntil([&call] { return call->ended; }));
    return call;
  }

  int Runs() const {
    int total = 0;
    for (const auto& upstream : upstreams) total += upstream->Runs();
    return total;
  }

  net::net_harness net;
  std::vector<int> ports;
  std::vector<int> claimed_sockets;  // Keep the ports reserved.
  testing::store_standin store{net.loop.Base()};
  // Separate stores of single daemons, set before a daemon starts; null:
  // `store`.
  std::vector<std::unique_ptr<testing::store_standin>> stores;
  nlohmann::json config;
  std::vector<std::string> services;  // By upstream; further ones: "ledger".
  int far_upstream = -1;  // In another zone than the daemons; -1: none.
  // Of daemons that start later.
  sched::feature_mode overload_control = sched::feature_mode::kAuto;
  sched::feature_mode cost_routing = sched::feature_mode::kAuto;
  std::size_t max_descriptors = 4096;
  std::vector<std::unique_ptr<upstream_standin>> upstreams;
  std::map<int, std::unique_ptr<node>> nodes;
  stream::client_pool callers{net.loop,
                              net.timers,
                              {std::chrono::seconds(5), std::chrono::seconds(2),
                               std::chrono::seconds(1), 200}};
  int last_id = 0;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_UNIT_NODE_FIXTURE_H_
