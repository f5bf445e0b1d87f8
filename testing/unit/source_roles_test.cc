// Few daemons read the source, the others follow them, and any of them stands
// in for readers that are lost.

#include "node_fixture.h"

namespace pimentohall::node {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::store_mode;

// Longer than a daemon waits before it decides on its role, and the news of it.
constexpr auto kSettled = milliseconds(4500);

bool ReadsSource(node_fleet* fleet, int i) {
  net::http_client client(fleet->net.loop, fleet->net.timers, 1);
  net::http_request request;
  request.target = {node_fleet::Address(i), fleet->ports[node_fleet::kAdmin]};
  request.path = "/state";
  request.timeout = seconds(1);
  std::optional<bool> reads;
  client.Start(
      request,
      [&reads](const tl::expected<net::http_answer, net::http_failure>& got) {
        REQUIRE(got);
        reads = json::parse(*got->body).at("reads_source").get<bool>();
      });
  REQUIRE(fleet->net.RunUntil([&reads] { return reads.has_value(); }));
  return *reads;
}

// Time until calls on every live daemon end with this status.
milliseconds TimeUntilAll(node_fleet* fleet, int status) {
  const core::instant began = fleet->net.loop.Now();
  for (const auto& [i, daemon] : fleet->nodes) {
    int seen = 0;
    for (int tries = 0; tries < 100 && seen != status; ++tries) {
      seen = fleet->Call(i, "GET", "/read/1")->status;
      if (seen != status) fleet->RunFor(milliseconds(20));
    }
    CHECK(seen == status);
  }
  return std::chrono::duration_cast<milliseconds>(fleet->net.loop.Now() -
                                                  began);
}

// Calls to the source while upstreams and configuration change.
int CallsForChanges(int size) {
  node_fleet fleet(size);
  fleet.Start();
  fleet.RunFor(kSettled);
  const int before = fleet.store.Calls();
  for (int i = 0; i < 6; ++i) {
    fleet.PutEntry(0, i % 2 == 0 ? "draining" : "ready");
    fleet.RunFor(milliseconds(400));
  }
  return fleet.store.Calls() - before;
}

TEST_CASE("calls to the source don't grow with the fleet") {
  const int few = CallsForChanges(4);
  const int many = CallsForChanges(10);
  MESSAGE("calls to the source: " << few << " by 4 daemons, " << many
                                  << " by 10");
  CHECK(many <= few + 4);
}

TEST_CASE("a change reaches every daemon in time, also without its readers") {
  node_fleet fleet(7);
  fleet.Start();
  fleet.RunFor(kSettled);
  std::vector<int> readers;
  for (int i = 0; i < 7; ++i) {
    if (ReadsSource(&fleet, i)) readers.push_back(i);
  }
  CHECK(readers.size() == 3);
  fleet.config["tenants"][0]["apiKeys"] = {"key-9"};
  fleet.PutConfig("r2");
  CHECK(TimeUntilAll(&fleet, 401) < seconds(2));
  for (const int i : readers) fleet.nodes.erase(i);
  fleet.config["tenants"][0]["apiKeys"] = {"key-1"};
  fleet.PutConfig("r3");
  CHECK(TimeUntilAll(&fleet, 200) < seconds(2));
}

// All daemons of a restarted fleet counted as readers before they watched, so
// that nobody stood in for readers that hadn't come back.
TEST_CASE("a daemon that has just started is no reader") {
  node_fleet fleet(7);
  fleet.Start();
  int readers = 0;
  for (int i = 0; i < 7; ++i) readers += ReadsSource(&fleet, i) ? 1 : 0;
  CHECK(readers == 3);
}

// A source that turns the readers away and serves the rest.
TEST_CASE("readers that the source turns away are replaced") {
  node_fleet fleet(6);
  for (int i = 0; i < 6; ++i) {
    fleet.stores[static_cast<std::size_t>(i)] =
        std::make_unique<testing::store_standin>(fleet.net.loop.Base());
  }
  const auto put_config = [&fleet](const std::string& version) {
    fleet.config["version"] = version;
    for (auto& each : fleet.stores) {
      each->Put("op/config", fleet.config.dump());
    }
  };
  put_config("r1");
  for (int i = 0; i < 6; ++i) {
    for (auto& each : fleet.stores) {
      each->Put("servers/i-" + std::to_string(i),
                json{{"service", "ledger"},
                     {"address",
                      node_fleet::Address(i) + ":" +
                          std::to_string(fleet.ports[node_fleet::kUpstream])},
                     {"zone", "z"},
                     {"slots", 4},
                     {"state", "ready"},
                     {"warmupLeftMs", 0},
                     {"sequence", 1},
                     {"version", "v1"},
                     {"born", 1000 + i}}
                    .dump());
    }
    fleet.StartNode(i);
  }
  fleet.RunFor(kSettled);
  for (int i = 0; i < 6; ++i) {
    if (!ReadsSource(&fleet, i)) continue;
    fleet.stores[static_cast<std::size_t>(i)]->SetMode(store_mode::kBusy);
    fleet.stores[static_cast<std::size_t>(i)]->Compact();
  }
  fleet.RunFor(kSettled);
  fleet.config["tenants"][0]["apiKeys"] = {"key-9"};
  put_config("r2");
  CHECK(TimeUntilAll(&fleet, 401) < seconds(2));
}

TEST_CASE("a first read that lags is caught up") {
  node_fleet fleet(2);
  fleet.PutConfig("r1");
  fleet.PutEntry(0);
  fleet.store.FreezeLaggingReads();
  fleet.config["tenants"][0]["apiKeys"] = {"key-9"};
  fleet.PutConfig("r2");
  fleet.PutEntry(1);
  fleet.StartNode(0);
  fleet.RunFor(kSettled);
  CHECK(fleet.Call(0, "GET", "/read/1")->status == 401);
  // A daemon of which the first one learns only by the catching up.
  fleet.StartNode(1);
  fleet.RunFor(kSettled);
  CHECK(fleet.Call(1, "GET", "/read/1")->status == 401);
}

}  // namespace
}  // namespace pimentohall::node
