// Tests of cost routing in the daemon.

#include "unit/node_fixture.h"

namespace pimentohall::node {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kSlowMs = 400;
// Of three long calls on 4 slots, 200 ms after their start. By the mean of the
// route, of which a quarter is long, it is about 75 ms.
constexpr double kLongBacklogMs = 150;

std::string Page(node_fleet* fleet, const std::string& path) {
  net::http_client client(fleet->net.loop, fleet->net.timers, 1);
  net::http_request request;
  request.target = {node_fleet::Address(0), fleet->ports[node_fleet::kAdmin]};
  request.path = path;
  request.timeout = std::chrono::seconds(1);
  std::optional<std::string> body;
  client.Start(
      request,
      [&body](const tl::expected<net::http_answer, net::http_failure>& answer) {
        REQUIRE(answer);
        body = *answer->body;
      });
  REQUIRE(fleet->net.RunUntil([&body] { return body.has_value(); }));
  return *body;
}

// Answers calls of /read/long/ after `kSlowMs`, others at once.
void AnswerByPath(node_fleet* fleet) {
  upstream_standin* const upstream = fleet->upstreams[0].get();
  upstream->script = [fleet, upstream](const auto& conn,
                                       const std::string& id) {
    const bool is_long =
        upstream->requests.back().target.rfind("/read/long", 0) == 0;
    fleet->net.timers.After(
        milliseconds(is_long ? kSlowMs : 1),
        sigc::slot<void()>([upstream, conn, id] {
          upstream->Answer(conn, id, 200, "", {{"X-Response-Seal", "seal"}});
        }));
  };
}

// Backlog that the daemon reports while three long calls run on 4 slots.
double BacklogOfLongCalls(node_fleet* fleet) {
  std::vector<std::shared_ptr<caller_exchange>> calls;
  calls.reserve(3);
  for (int i = 0; i < 3; ++i) {
    calls.push_back(fleet->StartCall(0, "GET", "/read/long/1"));
  }
  // Some turns of the loop pass until all of them run.
  constexpr int kMaxLooks = 200;
  json state;
  for (int i = 0; i < kMaxLooks; ++i) {
    state = json::parse(Page(fleet, "/state"));
    if (state.at("running") == 3) break;
  }
  REQUIRE(state.at("running") == 3);
  for (const auto& call : calls) {
    REQUIRE(fleet->net.RunUntil([&call] { return call->ended; }));
    CHECK(call->status == 200);
  }
  return state.at("cost").at("backlog_ms").get<double>();
}

// Guards against a backlog that counts calls: three long calls of a route whose
// other calls are short must be reported as long.
TEST_CASE("a daemon reports its backlog by the cost of the calls") {
  node_fleet fleet(1);
  bool is_used = true;
  SUBCASE("without a tenant's rate") {}
  SUBCASE("off with a tenant's rate") {
    is_used = false;
    fleet.config["tenants"][0]["ratePerS"] = 1000;
    fleet.config["tenants"][0]["burst"] = 1000;
  }
  fleet.Start();
  AnswerByPath(&fleet);
  for (int i = 0; i < 24; ++i) {
    fleet.Call(0, "GET", i % 4 == 0 ? "/read/long/2" : "/read/brief/2");
  }
  const double backlog_ms = BacklogOfLongCalls(&fleet);
  CHECK((backlog_ms >= kLongBacklogMs) == is_used);
  const json cost = json::parse(Page(&fleet, "/state")).at("cost");
  CHECK(cost.at("used").get<bool>() == is_used);
  CHECK(cost.at("routes").get<int>() == (is_used ? 1 : 0));
  const std::string metrics = Page(&fleet, "/metrics");
  const bool has_ratio =
      metrics.find("pimentohall_cost_ratio_count") != std::string::npos;
  CHECK(has_ratio == is_used);
}

}  // namespace
}  // namespace pimentohall::node
