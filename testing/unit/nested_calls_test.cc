// Tests whole daemons with an upstream that makes nested calls.

#include <nlohmann/json.hpp>

#include "node/call_header.h"
#include "node_fixture.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

constexpr int kNestedBudgetMs = 250;

// Upstream 0 serves "desk": each of its runs makes one nested call to "ledger",
// which the other upstreams serve, and fails if that isn't answered.
struct nested_fleet : node_fleet {
  explicit nested_fleet(int size) : node_fleet(size) {
    nlohmann::json route = config["routes"][0];
    nlohmann::json service = config["services"][0];
    route["name"] = route["service"] = service["name"] = "desk";
    route["prefix"] = "/desk/";
    config["routes"].push_back(route);
    config["services"].push_back(service);
    // Nested calls carry no key.
    config["routes"][0]["public"] = true;
    services = {"desk"};
  }

  void Start() {
    node_fleet::Start();
    upstreams[0]->script =
        [this](const std::shared_ptr<stream::server_exchange>& conn,
               const std::string& id) {
          Nest([this, conn, id](bool answered) {
            upstreams[0]->Answer(conn, id, answered ? 200 : 500, "");
          });
        };
  }

  // A call as upstream 0 makes it.
  void Nest(const std::function<void(bool answered)>& done) {
    nested.push_back(std::make_unique<net::raw_stream>(
        net, Address(0), Address(0), ports[kCallers]));
    nested.back()->Write(
        "GET /read/n HTTP/1.1\r\nHost: a.example\r\n"
        "X-Attempt-Id: nested-" +
        std::to_string(nested.size()) +
        "\r\nX-Deadline-Ms: " + std::to_string(kNestedBudgetMs) + "\r\n\r\n");
    nested.back()->on_read = [done](net::raw_stream* stream) {
      if (!stream->Has("\r\n\r\n")) return;
      // Copied, since it is destroyed with the handler.
      const auto report = done;
      stream->on_read = nullptr;
      report(stream->Has("HTTP/1.1 200"));
    };
  }

  std::string Page(int node, const std::string& path) {
    net::http_client client(net.loop, net.timers);
    net::http_request request;
    request.target = {Address(node), ports[kAdmin]};
    request.path = path;
    request.timeout = std::chrono::seconds(2);
    std::optional<std::string> body;
    client.Start(request, [&body](const auto& answer) {
      body = answer ? *answer->body : "";
    });
    CHECK(net.RunUntil([&body] { return body.has_value(); }));
    return body.value_or("");
  }

  std::vector<std::unique_ptr<net::raw_stream>> nested;
};

// Calls of "desk" through node 1 while callers fill its callee.
std::vector<std::shared_ptr<caller_exchange>> CallWhileLedgerIsFull(
    nested_fleet* fleet) {
  upstream_standin* const ledger = fleet->upstreams[1].get();
  ledger->script = [fleet, ledger](
                       const std::shared_ptr<stream::server_exchange>& conn,
                       const std::string& id) {
    fleet->net.timers.After(milliseconds(300),
                            sigc::slot<void()>([ledger, conn, id] {
                              ledger->Answer(conn, id, 200, "");
                            }));
  };
  std::vector<std::shared_ptr<caller_exchange>> reads;
  std::vector<std::shared_ptr<caller_exchange>> desk;
  for (int i = 0; i < 120; ++i) {
    reads.push_back(fleet->StartCall(1, "GET", "/read/1"));
    if (i % 3 == 0) desk.push_back(fleet->StartCall(1, "GET", "/desk/1"));
    fleet->RunFor(milliseconds(25));
  }
  CHECK(fleet->net.RunUntil([&] {
    const auto ended = [](const auto& call) { return call->ended; };
    return std::all_of(reads.begin(), reads.end(), ended) &&
           std::all_of(desk.begin(), desk.end(), ended);
  }));
  return desk;
}

// Guards against runs that hold a slot and then fail because the service that
// they call is full (7,503 runs on a day of high load).
TEST_CASE("a call whose callee is full is refused before it runs") {
  nested_fleet fleet(2);
  fleet.Start();
  for (int i = 0; i < 10; ++i) {
    CHECK(fleet.Call(1, "GET", "/desk/1")->status == 200);
  }
  const auto needs = nlohmann::json::parse(fleet.Page(1, "/state"))["needs"];
  CAPTURE(needs.dump());
  REQUIRE(needs.contains("desk"));
  CHECK(needs["desk"]["ledger"]["calls"].get<double>() ==
        doctest::Approx(1).epsilon(0.05));
  CHECK_FALSE(needs.contains("read"));
  fleet.upstreams[0]->runs.clear();
  int refused = 0;
  int answered = 0;
  const auto desk = CallWhileLedgerIsFull(&fleet);
  for (const auto& call : desk) {
    if (call->status != 503) continue;
    ++refused;
    const std::string wait(net::FindHeader(call->headers, "Retry-After"));
    CHECK(std::stod(wait) > 0);
    CHECK(std::stod(wait) <= 0.5);  // A third of the route's timeout.
  }
  for (const auto& call : desk) answered += call->status == 503 ? 0 : 1;
  // "Not run" is true, and the others did run.
  CHECK(fleet.upstreams[0]->Runs() == answered);
  CHECK(refused > 0);
  CHECK(answered > 0);
  CHECK(fleet.Page(1, "/metrics")
            .find("pimentohall_nested_total{event=\"run_refused\"} " +
                  std::to_string(refused)) != std::string::npos);
}

TEST_CASE("with overload control off, no call is refused for its callee") {
  nested_fleet fleet(2);
  fleet.overload_control = sched::feature_mode::kOff;
  fleet.Start();
  for (int i = 0; i < 10; ++i) fleet.Call(1, "GET", "/desk/1");
  CHECK_FALSE(nlohmann::json::parse(fleet.Page(1, "/state")).contains("needs"));
  fleet.upstreams[0]->runs.clear();
  const auto desk = CallWhileLedgerIsFull(&fleet);
  CHECK(fleet.upstreams[0]->Runs() == static_cast<int>(desk.size()));
}

// Guards against a nested call that is given up after 4 refusals although
// another upstream would take it.
TEST_CASE("a nested call is refused only after every upstream refused it") {
  nested_fleet fleet(7);
  fleet.far_upstream = 6;  // Tried last.
  fleet.Start();
  for (std::size_t i = 1; i < 6; ++i) fleet.upstreams[i]->front.Stop();
  for (int i = 0; i < 3; ++i) {
    std::optional<bool> answered;
    fleet.Nest([&answered](bool ok) { answered = ok; });
    CHECK(fleet.net.RunUntil([&] { return answered.has_value(); }));
    CHECK(answered.value_or(false));
    // The refusals are forgotten, and the upstreams tried again.
    fleet.RunFor(milliseconds(350));
  }
}

// Guards against callers' calls that take every slot of a service that others
// call: short nested calls then miss their deadline.
TEST_CASE("slots are kept for nested calls where they arrive") {
  nested_fleet fleet(2);
  fleet.Start();
  upstream_standin* const ledger = fleet.upstreams[1].get();
  int held = 0;
  ledger->script = [&](const std::shared_ptr<stream::server_exchange>& conn,
                       const std::string& id) {
    if (id.rfind("nested", 0) != 0) {
      ++held;  // Not answered before the deadline.
      return;
    }
    fleet.net.timers.After(milliseconds(160),
                           sigc::slot<void()>([ledger, conn, id] {
                             ledger->Answer(conn, id, 200, "");
                           }));
  };
  int answered = 0;
  const auto nest = [&](int calls, milliseconds gap) {
    for (int i = 0; i < calls; ++i) {
      fleet.Nest([&answered](bool ok) { answered += ok ? 1 : 0; });
      fleet.RunFor(gap);
    }
  };
  nest(40, milliseconds(80));
  for (int i = 0; i < 8; ++i) fleet.StartCall(1, "GET", "/read/1");
  fleet.RunFor(milliseconds(100));
  CHECK(held >= 2);
  CHECK(held <= 3);
  answered = 0;
  nest(5, milliseconds(200));
  fleet.RunFor(milliseconds(200));
  CHECK(answered == 5);
}

// Daemons of other versions send no needs, other ones, or more fields.
TEST_CASE("needs travel with an outcome, and unreadable ones are left out") {
  outcome_header sent;
  sent.result = outcome::kAnswered;
  sent.load.upstream = "i-1";
  const std::string without = EncodeOutcome(sent);
  sent.needs = {{{"ledger", 1.43, milliseconds(31), milliseconds(400), 0.87}}};
  const std::string with = EncodeOutcome(sent);
  CHECK(DecodeOutcome(with)->needs == sent.needs);
  CHECK_FALSE(DecodeOutcome(without)->needs.has_value());
  const std::string start = without.substr(0, without.size() - 1);
  for (const char* needs :
       {"7", "{}", "[7]", "[[]]", "[[\"a\",1,2,3]]", "[[1,1,2,3,4]]",
        "[[\"a\",\"1\",2,3,4]]", "[[],[],[],[],[]]", "null"}) {
    const auto read = DecodeOutcome(start + "," + needs + "]");
    CAPTURE(needs);
    REQUIRE(read);
    CHECK(read->load.upstream == "i-1");
    CHECK_FALSE(read->needs.has_value());
  }
  const auto huge = DecodeOutcome(start + ",[[\"a\",1,1e300,-1e300,4]]]");
  REQUIRE(huge);
  CHECK(huge->needs.has_value());
  const auto more = DecodeOutcome(start + ",[[\"a\",1,2,3,4,5]],6]");
  REQUIRE(more);
  CHECK(more->needs.value().size() == 1);
}

}  // namespace
}  // namespace pimentohall::node
