// Guards the adapter: a malformed document or setting is reported with a reason
// and never yields an upstream.

#include "platform/platform.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "net_harness.h"
#include "store_standin/store.h"

namespace pimentohall::platform {
namespace {

using nlohmann::json;
using node::source_area;
using node::source_page;
using node::source_problem;
using std::chrono::milliseconds;

constexpr char kEntry[] =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1",
        "slots":9,"state":"ready","warmupLeftMs":250.0,"sequence":4,
        "born":1700000000123})";

node::decoded_item Decode(const std::string& key, const std::string& value) {
  return MakeDecoder()->Decode({key, value, 12, false});
}

json Entry() { return json::parse(kEntry); }

TEST_CASE("a valid entry decodes to an upstream") {
  const auto meaning = Decode("servers/i-1", kEntry);
  const auto* read = std::get_if<mesh::upstream>(&meaning);
  REQUIRE(read != nullptr);
  CHECK(read->id == "i-1");
  CHECK(read->service == "s1");
  CHECK(read->address == "10.0.0.9");
  CHECK(read->port == 8080);
  CHECK(read->slots == 9);
  CHECK_FALSE(read->draining);
  CHECK(read->warmup_left == milliseconds(250));
  CHECK(read->born_ms == 1700000000123ULL);
  CHECK(read->revision == 12);
}

TEST_CASE("a malformed entry of another writer decodes to none") {
  std::vector<std::string> bad = {"",   "null",     "[]",
                                  "7",  "\"text\"", "{",
                                  "{}", "\xff\xfe", "{\"service\":"};
  for (const char* field : {"service", "address", "zone", "version", "slots",
                            "state", "sequence"}) {
    json missing = Entry();
    missing.erase(field);
    bad.push_back(missing.dump());
    json wrong = Entry();
    wrong[field] = json::array({1});
    bad.push_back(wrong.dump());
    json null = Entry();
    null[field] = nullptr;
    bad.push_back(null.dump());
  }
  const std::pair<const char*, json> values[] = {{"state", "gone"},
                                                 {"address", "10.0.0.9"},
                                                 {"address", "10.0.0.9:0"},
                                                 {"address", "10.0.0.9:99999"},
                                                 {"address", "10.0.0.9:x"},
                                                 {"slots", 0},
                                                 {"slots", -3},
                                                 {"slots", "9"},
                                                 {"warmupLeftMs", "soon"},
                                                 {"warmupLeftMs", -1},
                                                 {"warmupLeftMs", 1e300},
                                                 {"warmupLeftMs", 1e15},
                                                 {"slots", 1e300},
                                                 {"sequence", -1},
                                                 {"born", 1e300},
                                                 {"address", ":8080"},
                                                 {"address", "somewhere:80"},
                                                 {"address", "10.0.0:80"},
                                                 {"address", "10.0.0.9:-80"},
                                                 {"address", "10.0.0.9:65536"},
                                                 {"born", 1.5},
                                                 {"born", "now"}};
  for (const auto& [field, value] : values) {
    json wrong = Entry();
    wrong[field] = value;
    bad.push_back(wrong.dump());
  }
  // Nested deeply, as the whole entry and as a field that isn't used.
  constexpr std::size_t kDepth = 200'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  bad.push_back(nested);
  bad.push_back(std::string(kDepth, '{'));
  const std::string fields(kEntry, sizeof(kEntry) - 2);  // Without the brace.
  bad.push_back(fields + ",\"other\":" + nested + "}");
  bad.push_back(fields + ",\"other\":1e999}");
  bad.push_back(fields + ",\"other\":-99999999999999999999999}");
  for (const std::string& entry : bad) {
    CAPTURE(entry.substr(0, 200));
    const auto meaning = Decode("servers/i-1", entry);
    const auto* reason = std::get_if<node::malformed_item>(&meaning);
    REQUIRE(reason != nullptr);
    CHECK_FALSE(reason->reason.empty());
  }
}

constexpr char kConfig[] = R"({"version":"r7","routes":[
  {"name":"one","host":"a.example","prefix":"/x/","kind":"idempotent",
   "timeoutMs":1200,"aimMs":400,"priority":2,"maxAttempts":2,"public":false,
   "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
  {"name":"two","host":"b.example","prefix":"/y/","kind":"non_idempotent",
   "timeoutMs":1500,"aimMs":500,"priority":1,"service":"s2","maxAttempts":2,
   "public":true}],
  "services":[{"name":"s1","healthPath":"/h","maxConnections":110,
    "protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":13.0},
   {"name":"s2","healthPath":"/h","maxConnections":110,"warmupS":0,
    "warmupPerS":0}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,
    "idleTimeoutMs":15000},
  "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,"ratePerS":65,
    "burst":60}],"baseVersion":"r5"})";

TEST_CASE("the operator's configuration becomes the product's") {
  const auto meaning = Decode("op/config", kConfig);
  const auto* parts = std::get_if<mesh::configuration_parts>(&meaning);
  REQUIRE(parts != nullptr);
  const auto built = mesh::configuration::Build(*parts);
  REQUIRE(built);
  const mesh::configuration& config = **built;
  CHECK(config.Version() == 7);
  const mesh::route* one = config.FindRoute("a.example", "/x/1");
  REQUIRE(one != nullptr);
  CHECK(one->idempotent);
  CHECK(one->parts.size() == 2);
  CHECK(one->timeout == milliseconds(1200));
  CHECK(one->aim == milliseconds(400));
  CHECK_FALSE(config.FindRoute("b.example", "/y/")->idempotent);
  CHECK(config.FindRoute("b.example", "/y/")->open);
  CHECK(config.FindService("s1")->warmup == std::chrono::seconds(3));
  const mesh::tenant* owner =
      config.FindTenantByKeyDigest(config::Sha256Hex("k2"));
  REQUIRE(owner != nullptr);
  CHECK(owner->name == "t1");
  CHECK(config.FindTenantByKeyDigest("k2") == nullptr);
  CHECK(config.Parts().limits.body_bytes == 1000);
}

TEST_CASE("a malformed configuration is no configuration") {
  const std::pair<const char*, json> changes[] = {
      {"/version", 7},
      {"/version", "7"},
      {"/version", "rx"},
      {"/routes", "none"},
      {"/routes/0/host", 3},
      {"/routes/0/timeoutMs", "long"},
      {"/routes/0/aimMs", -1},
      {"/routes/1/service", nullptr},
      {"/services/0/name", 1},
      {"/tenants/0/apiKeys", 5},
      {"/tenants/0/ratePerS", "many"}};
  for (const auto& change : changes) {
    CAPTURE(change.first);
    json wrong = json::parse(kConfig);
    wrong[json::json_pointer(change.first)] = change.second;
    const auto meaning = Decode("op/config", wrong.dump());
    CHECK(std::holds_alternative<node::malformed_item>(meaning));
  }
  CHECK(std::holds_alternative<node::malformed_item>(
      Decode("op/config", std::string(kConfig).substr(0, 300))));
}

TEST_CASE("other keys") {
  const auto out = Decode("op/evacuate/zone-a", "{}");
  REQUIRE(std::holds_alternative<node::evacuated_zone>(out));
  CHECK(std::get<node::evacuated_zone>(out).zone == "zone-a");
  CHECK(std::holds_alternative<node::unknown_item>(Decode("op/other", "{}")));
  CHECK(MakeDecoder()->UpstreamIdFromKey("servers/i-9") == "i-9");
  CHECK(MakeDecoder()->UpstreamIdFromKey("op/config").empty());
}

TEST_CASE("headers of callers and upstreams") {
  const auto dialect = MakeDialect();
  stream::message_head head;
  head.headers = {{"Host", "a.example"},     {"x-attempt-id", "abc"},
                  {"X-Deadline-Ms", "2500"}, {"authorization", "token k1"},
                  {"X-Tenant-Id", "forged"}, {"X-Caller-Service", "forged"}};
  const node::caller_request request = dialect->ReadRequest(head);
  CHECK(request.id == "abc");
  CHECK(request.budget == milliseconds(2500));
  CHECK(request.key == "k1");
  dialect->StripRequest(&head.headers);
  CHECK(head.headers.size() == 2);
  dialect->WriteRequest({milliseconds(900), "i-1", "t1", "s9"}, &head.headers);
  CHECK(net::FindHeader(head.headers, "X-Deadline-Ms") == "900");
  CHECK(net::FindHeader(head.headers, "X-Expected-Instance") == "i-1");
  CHECK(net::FindHeader(head.headers, "X-Tenant-Id") == "t1");
  CHECK(net::FindHeader(head.headers, "X-Caller-Service") == "s9");
  CHECK(net::FindHeader(head.headers, "Authorization").empty());

  for (const char* other : {"", "Token", "Bearer k1", "Basic k1"}) {
    stream::message_head without;
    without.headers = {{"Authorization", other}};
    CHECK(dialect->ReadRequest(without).key.empty());
  }

  stream::message_head shed;
  shed.status = 503;
  shed.headers = {{"X-Not-Executed", "1"},
                  {"X-Attempt-Id", "abc"},
                  {"X-Instance-Load", "3,1,9"}};
  const node::upstream_answer answer = dialect->ReadAnswer(shed);
  CHECK(answer.not_run);
  CHECK_FALSE(answer.wrong_instance);
  CHECK(answer.id == "abc");
  CHECK(answer.load.running == 3);
  CHECK(answer.load.slots == 9);
  CHECK_FALSE(answer.load.pace_percent);
  shed.headers = {{"X-Instance-Load", "3,x"}};
  CHECK(dialect->ReadAnswer(shed).load.running == 3);
  CHECK_FALSE(dialect->ReadAnswer(shed).load.waiting);
  CHECK_FALSE(dialect->ReadAnswer(shed).not_run);
  shed.status = 421;
  CHECK(dialect->ReadAnswer(shed).wrong_instance);
  CHECK(dialect->ReadAnswer(shed).not_run);

  // An unreadable figure must not hide the readable ones before it.
  const std::pair<const char*, sched::upstream_report> loads[] = {
      {"3,1,9,250", {3, 1, 9, 250}},
      {"3,1,9,", {3, 1, 9, {}}},
      {"3,1,9,-5", {3, 1, 9, {}}},
      {"3,1,9,nan", {3, 1, 9, {}}},
      {"3,1,9,99999999999999999999", {3, 1, 9, {}}},
      {"3,1,9,250,7", {3, 1, 9, 250}},
      {"", {}}};
  for (const auto& each : loads) {
    const char* const text = each.first;
    const sched::upstream_report& load = each.second;
    CAPTURE(text);
    shed.headers = {{"X-Instance-Load", text}};
    CHECK(dialect->ReadAnswer(shed).load == load);
    net::http_answer health;
    health.headers = shed.headers;
    CHECK(dialect->ReadHealth(health).load == load);
  }

  net::header_list refusal;
  dialect->WriteRetryAfter(milliseconds(250), &refusal);
  CHECK(net::FindHeader(refusal, "Retry-After") == "0.250");
}

constexpr char kSettings[] = R"({
  // As rendered.
  "name": "n1", "zone": "a", "zones": {"a": "r"}, "service": "s1",
  "callers": "10.0.0.1:1000", "peers": "10.0.0.1:1001",
  "ready": "10.0.0.1:1002", "upstream": "10.0.0.1:1003",
  "source": "10.0.0.2:1004", "news_port": 7000, "admin_port": 7001,
  "bounds": ["graceS=6","retryBudgetRatio=0.2","retrySlack=56",
             "budgetWindowS=10","warmupSlack=8","revokeEverywhere=false"]})";

TEST_CASE("rendered settings") {
  const auto settings = ParseSettings(kSettings, "test");
  REQUIRE(settings);
  CHECK(settings->callers == net::endpoint{"10.0.0.1", 1000});
  CHECK(settings->news == net::endpoint{"10.0.0.1", 7000});
  CHECK(settings->zone_regions.at("a") == "r");
  CHECK(settings->grace == std::chrono::seconds(6));
  CHECK(settings->retries.ratio == doctest::Approx(0.2));
  CHECK(settings->retries.slack == doctest::Approx(56));
  CHECK(settings->cold_upstreams.factor == doctest::Approx(1.5));
  CHECK(settings->cold_upstreams.calls == doctest::Approx(8));
}

TEST_CASE("the number of pipelined requests is checked") {
  const auto parse = [](const std::string& value) {
    std::string text = kSettings;
    text.insert(text.find('{') + 1, "\"max_pipelined\": " + value + ",");
    return ParseSettings(text, "test");
  };
  CHECK(ParseSettings(kSettings, "test")->max_pipelined == 8);
  CHECK(parse("1")->max_pipelined == 1);
  CHECK(parse("64")->max_pipelined == 64);
  for (const char* faulty : {"0", "-1", "65", "1.5", "\"8\""}) {
    CAPTURE(faulty);
    CHECK_FALSE(parse(faulty));
  }
}

TEST_CASE("faulty settings list every fault") {
  std::string text = kSettings;
  const auto replace = [&text](const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
  };
  replace("\"10.0.0.1:1000\"", "\"10.0.0.1\"");
  replace("\"n1\"", "17");
  replace("7001", "0");
  replace("graceS=6", "graceS=six");
  const auto settings = ParseSettings(text, "test");
  REQUIRE_FALSE(settings);
  CHECK(settings.error().size() == 4);
  CHECK_FALSE(ParseSettings("", "test"));
  CHECK_FALSE(ParseSettings("[1]", "test"));
  CHECK_FALSE(LoadSettings("/nonexistent/settings"));
}

// ---------------------------------------------------------------------------
// Calls to the store, against a stand-in.

struct reader_fixture {
  tl::expected<source_page, source_problem> Read(
      const std::string& after = "") {
    tl::expected<source_page, source_problem> result;
    bool done = false;
    reader->ReadPage(source_area::kUpstreams, after,
                     node::read_consistency::kCurrent, milliseconds(300),
                     [&](tl::expected<source_page, source_problem> page) {
                       result = std::move(page);
                       done = true;
                     });
    CHECK(net.RunUntil([&done] { return done; }));
    return result;
  }
  tl::expected<source_page, source_problem> Watch(
      std::uint64_t revision, const std::function<void()>& then) {
    tl::expected<source_page, source_problem> result;
    bool done = false;
    reader->Watch(source_area::kUpstreams, revision, milliseconds(400),
                  milliseconds(900),
                  [&](tl::expected<source_page, source_problem> page) {
                    result = std::move(page);
                    done = true;
                  });
    const int before = store.Calls();
    CHECK(net.RunUntil([&] { return store.Calls() > before; }));
    if (then) then();
    CHECK(net.RunUntil([&done] { return done; }));
    return result;
  }

  net::net_harness net;
  testing::store_standin store{net.loop.Base()};
  std::unique_ptr<node::source_reader> reader =
      MakeReader(net.loop, net.timers, {"127.0.0.1", store.Port()});
};

// Guards against a store that came back from an older copy and isn't known to
// have done so.
TEST_CASE("answers tell the era of the store") {
  reader_fixture f;
  f.store.Put("servers/a", "v");
  CHECK(f.Read()->era == 0);
  f.store.SetEra(3);
  const auto copy = f.store.Copy();
  const std::uint64_t lost = f.store.Put("servers/b", "v");
  CHECK(f.Read()->era == 4);
  f.store.Restore(*copy);
  const auto page = f.Read();
  REQUIRE(page);
  CHECK(page->era == 5);
  CHECK(page->revision < lost);
  CHECK(page->items.size() == 1);
  CHECK(f.Watch(lost, {}).error() == node::source_problem::kHistoryGone);
  CHECK(f.Watch(page->revision, {})->era == 5);
  // The first era may be 0, which isn't the same as none.
  f.store.SetEra(0);
  CHECK(f.Read()->era == 1);
  f.store.SetEra(mesh::kMaxSourceEra + 1);
  CHECK(f.Read().error() == node::source_problem::kMalformed);
}

TEST_CASE("pages, watches and lost history") {
  reader_fixture f;
  f.store.SetPageSize(2);
  for (const char* id : {"a", "b", "c"}) {
    f.store.Put(std::string("servers/") + id, std::string("v\0x", 3) + id);
  }
  f.store.Put("op/config", "elsewhere");
  const auto first = f.Read();
  REQUIRE(first);
  CHECK(first->items.size() == 2);
  CHECK(first->has_more);
  CHECK(first->items[0].value == std::string("v\0x", 3) + "a");
  const auto second = f.Read("servers/b");
  REQUIRE(second);
  CHECK(second->items.size() == 1);
  CHECK_FALSE(second->has_more);

  const auto events =
      f.Watch(second->revision, [&f] { f.store.Remove("servers/b"); });
  REQUIRE(events);
  REQUIRE(events->items.size() == 1);
  CHECK(events->items[0].removed);
  CHECK(events->items[0].key == "servers/b");

  const auto quiet = f.Watch(events->revision, {});
  REQUIRE(quiet);
  CHECK(quiet->items.empty());

  f.store.Put("servers/d", "x");
  f.store.Compact();
  const auto gone = f.Watch(events->revision, {});
  REQUIRE_FALSE(gone);
  CHECK(gone.error() == source_problem::kHistoryGone);
}

TEST_CASE("a store that fails") {
  using testing::store_mode;
  const std::pair<store_mode, source_problem> cases[] = {
      {store_mode::kBusy, source_problem::kRefused},
      {store_mode::kLimited, source_problem::kRefused},
      {store_mode::kSilent, source_problem::kUnreachable},
      {store_mode::kGarbage, source_problem::kMalformed}};
  for (const auto& [mode, problem] : cases) {
    reader_fixture f;
    f.store.SetMode(mode);
    const auto page = f.Read();
    REQUIRE_FALSE(page);
    CHECK(page.error() == problem);
    f.store.SetMode(store_mode::kServing);
    CHECK(f.Read());
  }
}

}  // namespace
}  // namespace pimentohall::platform
