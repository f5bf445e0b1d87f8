// Tests that few daemons read the source, that the others follow them, and that
// followers replace readers that are lost.

#include "node_fixture.h"

namespace pimentohall::node {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::store_mode;

// Exceeds the time until a daemon has decided on its role and news reported it.
constexpr auto kSettleTime = milliseconds(4500);

bool ReadsSource(node_fleet* fleet, int i) {
  net::http_client client(fleet->net.loop, fleet->net.timers, 1);
  net::http_request request;
  request.target = {node_fleet::Address(i), fleet->ports[node_fleet::kAdmin]};
  request.path = "/state";
  request.timeout = seconds(1);
  std::optional<bool> reads;
  client.Start(
      request,
      [&reads](
          const tl::expected<net::http_answer, net::http_failure>& answer) {
        REQUIRE(answer);
        reads = json::parse(*answer->body).at("reads_source").get<bool>();
      });
  REQUIRE(fleet->net.RunUntil([&reads] { return reads.has_value(); }));
  return *reads;
}

// Returns the time until calls on every live daemon end with this status.
milliseconds TimeUntilAll(node_fleet* fleet, int status) {
  const core::instant started_at = fleet->net.loop.Now();
  for (const auto& [i, daemon] : fleet->nodes) {
    int seen = 0;
    for (int tries = 0; tries < 100 && seen != status; ++tries) {
      seen = fleet->Call(i, "GET", "/read/1")->status;
      if (seen != status) fleet->RunFor(milliseconds(20));
    }
    CHECK(seen == status);
  }
  return std::chrono::duration_cast<milliseconds>(fleet->net.loop.Now() -
                                                  started_at);
}

// Counts calls to the source while an upstream changes its state.
int CountCallsForChanges(int size) {
  node_fleet fleet(size);
  fleet.Start();
  fleet.RunFor(kSettleTime);
  const int before = fleet.store.Calls();
  for (int i = 0; i < 6; ++i) {
    fleet.PutEntry(0, i % 2 == 0 ? "draining" : "ready");
    fleet.RunFor(milliseconds(400));
  }
  return fleet.store.Calls() - before;
}

TEST_CASE("calls to the source don't grow with the fleet") {
  const int few = CountCallsForChanges(4);
  const int many = CountCallsForChanges(10);
  MESSAGE("calls to the source: " << few << " by 4 daemons, " << many
                                  << " by 10");
  CHECK(many <= few + 4);
}

// Adds a few hundred routes, as on the grown sites.
void MakeConfigLarge(node_fleet* fleet) {
  const json sample = fleet->config["routes"][0];
  for (int i = 0; i < 600; ++i) {
    json route = sample;
    route["name"] = "extra-" + std::to_string(i);
    route["prefix"] = "/extra-" + std::to_string(i) + "/";
    fleet->config["routes"].push_back(route);
  }
}

// Guards against every daemon reading the source at each change of a large
// configuration.
TEST_CASE("large settings are sent to peers as patches, not read by all") {
  node_fleet fleet(10);
  MakeConfigLarge(&fleet);
  fleet.Start();
  fleet.RunFor(kSettleTime);
  const int before = fleet.store.Calls();
  for (int i = 0; i < 6; ++i) {
    const std::string key = i % 2 == 0 ? "key-9" : "key-1";
    fleet.config["tenants"][0]["apiKeys"] = {key};
    fleet.PutConfig("r" + std::to_string(i + 2));
    CHECK(TimeUntilAll(&fleet, i % 2 == 0 ? 401 : 200) < seconds(2));
  }
  const int calls = fleet.store.Calls() - before;
  MESSAGE("calls to the source for 6 changes: " << calls);
  // At most one watch by each of the three readers per change.
  CHECK(calls <= 18);
}

std::string QueryMirror(node_fleet* fleet, int i, const std::string& query) {
  net::http_client client(fleet->net.loop, fleet->net.timers, 1, 1 << 20);
  net::http_request request;
  request.target = {node_fleet::Address(i), fleet->ports[node_fleet::kPeers]};
  request.path = "/pimentohall/mirror?" + query;
  request.timeout = seconds(1);
  std::optional<std::string> bytes;
  client.Start(
      request,
      [&bytes](
          const tl::expected<net::http_answer, net::http_failure>& answer) {
        REQUIRE(answer);
        bytes = answer->body ? *answer->body : std::string();
      });
  REQUIRE(fleet->net.RunUntil([&bytes] { return bytes.has_value(); }));
  return *bytes;
}

// Guards against GONE in permisos-sur-grown scale-2 seed 848738194131: twenty
// daemons that couldn't read the source fetched the whole settings from one
// peer, whose slow link then delayed its calls by a second.
TEST_CASE("whole settings are sent to few peers at a time") {
  node_fleet fleet(1);
  MakeConfigLarge(&fleet);
  fleet.Start();
  std::size_t bytes = 0;
  for (int i = 0; i < 20; ++i) {
    bytes += QueryMirror(&fleet, 0, "settings=0").size();
  }
  CHECK(bytes > 0);
  CHECK(bytes < 100'000);
  fleet.config["version"] = "r2";
  const std::uint64_t held = fleet.store.Put("op/config", fleet.config.dump());
  fleet.RunFor(milliseconds(800));
  fleet.PutConfig("r3");
  fleet.RunFor(milliseconds(800));
  const std::string patch =
      QueryMirror(&fleet, 0, "patches=" + std::to_string(held));
  CHECK(!patch.empty());
  CHECK(patch.size() < 1000);
  // There is no patch from an unknown revision.
  CHECK(QueryMirror(&fleet, 0, "patches=0").empty());
}

TEST_CASE(
    "a change reaches every daemon in time, even if the readers are lost") {
  node_fleet fleet(7);
  fleet.Start();
  fleet.RunFor(kSettleTime);
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

// Guards against all daemons of a restarted fleet counting as readers before
// they watched, so that no daemon replaced readers that hadn't come back.
TEST_CASE("a daemon that has just started is no reader") {
  node_fleet fleet(7);
  fleet.Start();
  int readers = 0;
  for (int i = 0; i < 7; ++i) readers += ReadsSource(&fleet, i) ? 1 : 0;
  CHECK(readers == 3);
}

// The source refuses the readers and serves the other daemons.
TEST_CASE("readers that the source refuses are replaced") {
  node_fleet fleet(6);
  for (int i = 0; i < 6; ++i) {
    fleet.stores[static_cast<std::size_t>(i)] =
        std::make_unique<testing::store_standin>(fleet.net.loop.Base());
  }
  const auto put_config = [&fleet](const std::string& version) {
    fleet.config["version"] = version;
    for (auto& store : fleet.stores) {
      store->Put("op/config", fleet.config.dump());
    }
  };
  put_config("r1");
  for (int i = 0; i < 6; ++i) {
    for (auto& store : fleet.stores) {
      store->Put("servers/i-" + std::to_string(i),
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
  fleet.RunFor(kSettleTime);
  for (int i = 0; i < 6; ++i) {
    if (!ReadsSource(&fleet, i)) continue;
    fleet.stores[static_cast<std::size_t>(i)]->SetMode(store_mode::kBusy);
    fleet.stores[static_cast<std::size_t>(i)]->Compact();
  }
  fleet.RunFor(kSettleTime);
  fleet.config["tenants"][0]["apiKeys"] = {"key-9"};
  put_config("r2");
  CHECK(TimeUntilAll(&fleet, 401) < seconds(2));
}

TEST_CASE("a daemon whose first read was stale catches up") {
  node_fleet fleet(2);
  fleet.PutConfig("r1");
  fleet.PutEntry(0);
  fleet.store.FreezeLaggingReads();
  fleet.config["tenants"][0]["apiKeys"] = {"key-9"};
  fleet.PutConfig("r2");
  fleet.PutEntry(1);
  fleet.StartNode(0);
  fleet.RunFor(kSettleTime);
  CHECK(fleet.Call(0, "GET", "/read/1")->status == 401);
  // The first daemon learns of this one only by catching up.
  fleet.StartNode(1);
  fleet.RunFor(kSettleTime);
  CHECK(fleet.Call(1, "GET", "/read/1")->status == 401);
}

// Guards against daemons that end, or that no longer follow the list, because
// of one entry of another writer. Readers and followers both get it.
TEST_CASE("odd entries end no daemon and hide no other entry") {
  node_fleet fleet(5);
  fleet.Start();
  fleet.RunFor(kSettleTime);
  constexpr std::size_t kDepth = 100'000;
  const std::string bytes[] = {
      "",
      std::string("\xff\xfe\x00{", 4),
      std::string(kDepth, '['),
      std::string(kDepth, '[') + std::string(kDepth, ']'),
      R"({"service":"ledger","address":"127.0.0.11:99999","zone":"z",
          "version":"v1","slots":4,"state":"ready","sequence":1,"born":9})",
      R"({"service":"ledger","address":"127.0.0.11:1","zone":"z",
          "version":"v1","slots":1e300,"state":"ready","sequence":1})",
      R"({"service":"ledger","address":"127.0.0.11:1","zone":"z",
          "version":"v1","slots":4,"state":"ready","sequence":1e999})",
      R"({"service":"ledger","address":"127.0.0.11:1","zone":"z",
          "version":"v1","slots":4,"state":"ready","sequence":1,
          "warmupLeftMs":1e300,"born":18446744073709551615})",
  };
  for (const std::string& value : bytes) {
    fleet.store.Put("servers/odd", value);
    fleet.store.Put("servers/odd-" + std::to_string(value.size()), value);
    fleet.RunFor(milliseconds(100));
  }
  fleet.store.Remove("servers/i-4");
  fleet.config["tenants"][0]["apiKeys"] = {"key-9"};
  fleet.PutConfig("r2");
  CHECK(TimeUntilAll(&fleet, 401) < seconds(2));
  fleet.config["tenants"][0]["apiKeys"] = {"key-1"};
  fleet.PutConfig("r3");
  CHECK(TimeUntilAll(&fleet, 200) < seconds(2));
  const int before = fleet.upstreams[4]->Runs();
  for (int call = 0; call < 20; ++call) {
    for (const auto& [i, daemon] : fleet.nodes) {
      CHECK(fleet.Call(i, "GET", "/read/1")->status == 200);
    }
  }
  CHECK(fleet.upstreams[4]->Runs() == before);
  for (const auto& [i, daemon] : fleet.nodes) ReadsSource(&fleet, i);
}

std::vector<int> Readers(node_fleet* fleet) {
  std::vector<int> readers;
  for (const auto& [i, daemon] : fleet->nodes) {
    if (ReadsSource(fleet, i)) readers.push_back(i);
  }
  return readers;
}

// Changes the source while no reader runs, and drops its history before they
// run again.
void ChangeWithoutReaders(node_fleet* fleet,
                          const std::function<void()>& change) {
  fleet->RunFor(kSettleTime);
  const std::vector<int> readers = Readers(fleet);
  REQUIRE(readers.size() == 3);
  for (const int i : readers) fleet->nodes.erase(i);
  change();
  fleet->store.Compact();
  fleet->RunFor(milliseconds(200));
  for (const int i : readers) fleet->StartNode(i);
}

// Guards against DRAIN in review/4: the readers started again after an entry
// was removed, reported no change, and the others kept the entry.
TEST_CASE("a removal that no reader saw reaches the daemons that ran on") {
  node_fleet fleet(6);
  fleet.Start();
  int leaving = 0;
  ChangeWithoutReaders(&fleet, [&fleet, &leaving] {
    leaving = fleet.nodes.begin()->first;
    fleet.store.Remove("servers/i-" + std::to_string(leaving));
  });
  fleet.RunFor(seconds(2));
  const int before = fleet.upstreams[leaving]->Runs();
  for (int call = 0; call < 40; ++call) {
    for (const auto& [i, daemon] : fleet.nodes) {
      CHECK(fleet.Call(i, "GET", "/read/1")->status == 200);
    }
  }
  CHECK(fleet.upstreams[leaving]->Runs() == before);
}

// The same for the other area: the zone stayed out of service.
TEST_CASE("a zone taken back while no reader ran is used again") {
  node_fleet fleet(6);
  fleet.Start();
  fleet.store.Put("op/evacuate/z", "{}");
  CHECK(TimeUntilAll(&fleet, 503) < seconds(2));
  // The newest item is one that stays.
  fleet.PutConfig("r2");
  ChangeWithoutReaders(&fleet,
                       [&fleet] { fleet.store.Remove("op/evacuate/z"); });
  fleet.RunFor(seconds(2));
  CHECK(TimeUntilAll(&fleet, 200) < seconds(2));
}

}  // namespace
}  // namespace pimentohall::node
