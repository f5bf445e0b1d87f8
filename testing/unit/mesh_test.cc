// Tests of the decisions of library mesh.

#include "pimentohall/mesh.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>

namespace pimentohall::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{seconds(1000)};

configuration_parts ExampleParts() {
  configuration_parts parts;
  parts.version = 3;
  parts.services = {{"ledger", "/health", 100, seconds(3), 10},
                    {"counter", "/health", 100, seconds(3), 10}};
  route wide;
  wide.name = "wide";
  wide.host = "shop.example";
  wide.path_prefix = "/a/";
  wide.parts = {{"ledger", 1}};
  route narrow = wide;
  narrow.name = "narrow";
  narrow.path_prefix = "/a/b/";
  narrow.parts = {{"counter", 1}};
  parts.routes = {wide, narrow};
  parts.tenants = {{"large", {"d1", "d2"}, 1, 10, 20, {}},
                   {"small", {"d3"}, std::nullopt, 0, 0, {}}};
  return parts;
}

std::shared_ptr<const configuration> Example() {
  return *configuration::Build(ExampleParts());
}

// Far news that are too frequent fill the links between zones; too rare ones
// let lost daemons of other zones go unnoticed for more than 10 s.
TEST_CASE("periods of news grow with the fleet") {
  struct row {
    std::size_t fleet_size;
    bool needs_counts;
    int near_ms;
    int far_ms;
  };
  constexpr row kRows[] = {
      {0, true, 300, 600},     {12, true, 300, 600},
      {12, false, 300, 1200},  {50, true, 300, 600},
      {50, false, 300, 2400},  {79, true, 474, 948},
      {79, false, 474, 3792},  {100, false, 600, 4000},
      {300, true, 1800, 3600}, {300, false, 1800, 7200},
  };
  for (const row& each : kRows) {
    CAPTURE(each.fleet_size);
    const news_periods periods =
        NewsPeriods(each.fleet_size, each.needs_counts);
    CHECK(periods.near == std::chrono::milliseconds(each.near_ms));
    CHECK(periods.far == std::chrono::milliseconds(each.far_ms));
  }
}

// A daemon whose period grows must announce that before the old period ends;
// otherwise daemons of other zones take it for lost.
TEST_CASE("a longer period of far news is announced in time") {
  constexpr news_periods kShort = {milliseconds(400), milliseconds(400)};
  constexpr news_periods kLong = {milliseconds(400), milliseconds(3300)};
  far_news_schedule schedule;
  CHECK(schedule.IsDue(kLong, kStart));
  schedule.OnSent(kShort.far, kStart);
  CHECK_FALSE(schedule.IsDue(kLong, kStart + milliseconds(100)));
  CHECK(schedule.IsDue(kLong, kStart + milliseconds(400)));
  const instant announced = kStart + milliseconds(400);
  schedule.OnSent(kLong.far, announced);
  CHECK_FALSE(schedule.IsDue(kLong, announced + milliseconds(2000)));
  CHECK(schedule.IsDue(kLong, announced + milliseconds(3300)));
  CHECK(schedule.IsDue(kShort, announced + milliseconds(400)));
}

TEST_CASE("the route with the longest matching prefix of the host is used") {
  const auto config = Example();
  struct route_case {
    const char* host;
    const char* path;
    const char* route;
  };
  const route_case cases[] = {
      {"shop.example", "/a/x", "wide"},
      {"shop.example", "/a/b/x", "narrow"},
      {"shop.example", "/a/b", "wide"},
      {"SHOP.example:8080", "/a/b/?q=/a/", "narrow"},
      {"shop.example", "/ab/", nullptr},
      {"shop.example", "/x?/a/b/", nullptr},
      {"other.example", "/a/x", nullptr},
      {"", "/a/x", nullptr},
  };
  for (const route_case& lookup : cases) {
    CAPTURE(lookup.host);
    CAPTURE(lookup.path);
    const route* found = config->FindRoute(lookup.host, lookup.path);
    if (lookup.route == nullptr) {
      CHECK(found == nullptr);
    } else {
      REQUIRE(found != nullptr);
      CHECK(found->name == lookup.route);
    }
  }
}

TEST_CASE("a faulty configuration is refused, with every fault reported") {
  configuration_parts parts = ExampleParts();
  parts.routes[0].path_prefix = "a";
  parts.routes[1].parts = {{"nowhere", 1}};
  parts.tenants[1].key_digests = {"d1"};
  parts.services.push_back(parts.services[0]);
  const auto built = configuration::Build(parts);
  REQUIRE_FALSE(built);
  CHECK(built.error().size() == 4);
}

TEST_CASE("the splitter keeps to the weights for every seed") {
  route split;
  split.name = "split";
  split.parts = {{"a", 90}, {"b", 10}, {"c", 0}};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    route_splitter splitter(seed);
    std::map<std::string, int> count;
    for (int i = 0; i < 200; ++i) ++count[splitter.Pick(split)];
    CHECK(count["a"] >= 178);
    CHECK(count["a"] <= 182);
    CHECK(count["c"] == 0);
  }
}

// Guards DRAIN: an upstream that had left was kept for 2 s after its removal,
// long after the source was back (permisos trouble-1 seed 943932888173).
TEST_CASE("a missing entry is kept for the grace period unless it drained") {
  directory upstreams;
  upstream entry;
  entry.id = "u1";
  entry.service = "ledger";
  entry.address = "10.0.0.1";
  entry.port = 80;
  upstreams.Put(entry, kStart);
  CHECK(upstreams.Usable("ledger").size() == 1);

  upstreams.Remove("u1", milliseconds(700), kStart);
  CHECK(upstreams.Usable("ledger").size() == 1);
  CHECK_FALSE(upstreams.Expire(kStart + milliseconds(699)));
  CHECK(upstreams.Expire(kStart + milliseconds(700)));
  CHECK(upstreams.Usable("ledger").empty());

  upstreams.Put(entry, kStart);
  upstreams.Remove("u1", duration{0}, kStart);
  CHECK(upstreams.Usable("ledger").empty());

  entry.draining = true;
  upstreams.Put(entry, kStart);
  upstreams.Remove("u1", milliseconds(700), kStart);
  CHECK(upstreams.Entries().empty());

  entry.draining = false;
  upstreams.Put(entry, kStart);
  upstreams.Remove("u1", milliseconds(700), kStart);
  upstreams.Put(entry, kStart);
  CHECK_FALSE(upstreams.Expire(kStart + seconds(9)));
  CHECK(upstreams.Usable("ledger").size() == 1);
}

TEST_CASE("zones out, draining upstreams and newer starts at one address") {
  directory upstreams;
  upstream old_start;
  old_start.id = "old";
  old_start.service = "ledger";
  old_start.address = "10.0.0.1";
  old_start.port = 80;
  old_start.zone = "a";
  old_start.born_ms = 1;
  upstream new_start = old_start;
  new_start.id = "new";
  new_start.born_ms = 2;
  upstreams.Put(new_start, kStart);
  upstreams.Put(old_start, kStart);
  CHECK(upstreams.FindByAddress("10.0.0.1", 80)->what.id == "new");
  CHECK(upstreams.FindByAddress("10.0.0.1", 81) == nullptr);
  upstreams.SetZonesOut({"a"});
  CHECK(upstreams.Usable("ledger").empty());
  upstreams.SetZonesOut({});
  new_start.draining = true;
  upstreams.Put(new_start, kStart);
  CHECK(upstreams.Usable("ledger").empty());
}

peer_news NewsFrom(const std::string& address, std::uint32_t boot,
                   std::uint64_t sequence) {
  peer_news news;
  news.address = address;
  news.boot = boot;
  news.sequence = sequence;
  return news;
}

TEST_CASE("a daemon is reachable only if news arrive in both directions") {
  peer_table peers("10.0.0.1", 7);
  CHECK(peers.IsReachable("10.0.0.1", kStart));
  CHECK_FALSE(peers.IsReachable("10.0.0.2", kStart));
  peer_news news = NewsFrom("10.0.0.2", 5, 1);
  CHECK(peers.OnNews(news, kStart) == peer_table::change::kFirst);
  CHECK(peers.IsHeard("10.0.0.2", kStart));
  CHECK_FALSE(peers.IsReachable("10.0.0.2", kStart));
  news.sequence = 2;
  news.heard_boot = 6;  // It heard an earlier start of this daemon.
  peers.OnNews(news, kStart);
  CHECK_FALSE(peers.IsReachable("10.0.0.2", kStart));
  news.sequence = 3;
  news.heard_boot = 7;
  CHECK(peers.OnNews(news, kStart) == peer_table::change::kUpdate);
  CHECK(peers.IsReachable("10.0.0.2", kStart));
  CHECK(peers.OnNews(news, kStart) == peer_table::change::kStale);
  const instant later = kStart + peer_table::kSilenceTimeout + milliseconds(1);
  CHECK_FALSE(peers.IsReachable("10.0.0.2", later));
  news.sequence = 4;
  CHECK(peers.OnNews(news, later) == peer_table::change::kReturned);
  news = NewsFrom("10.0.0.2", 9, 1);
  CHECK(peers.OnNews(news, later) == peer_table::change::kNewBoot);
  CHECK_FALSE(peers.IsReachable("10.0.0.2", later));
}

TEST_CASE("daemons select the same few of them whichever are lost") {
  constexpr int kFleet = 12;
  const auto address = [](int i) { return "10.0.0." + std::to_string(i); };
  std::vector<peer_table> tables;
  tables.reserve(kFleet);
  for (int i = 0; i < kFleet; ++i) tables.emplace_back(address(i), 1);
  const auto count = [&](const std::set<int>& lost, instant now) {
    int chosen = 0;
    for (int i = 0; i < kFleet; ++i) {
      if (lost.count(i) != 0) continue;
      for (int sender = 0; sender < kFleet; ++sender) {
        if (sender == i || lost.count(sender) != 0) continue;
        const auto sequence =
            static_cast<std::uint64_t>(now.time_since_epoch().count());
        tables[static_cast<std::size_t>(i)].OnNews(
            NewsFrom(address(sender), 2, sequence), now);
      }
      if (tables[static_cast<std::size_t>(i)].IsSelected(3, now)) ++chosen;
    }
    return chosen;
  };
  CHECK(count({}, kStart) == 3);
  CHECK(count({0, 1, 2, 3}, kStart + seconds(2)) == 3);
  CHECK(count({4, 5, 6, 7, 8, 9}, kStart + seconds(4)) == 3);
}

// With news every 0.8 s, each lost datagram made its sender unreachable for a
// moment.
TEST_CASE("a daemon's silence timeout follows the period of its news") {
  peer_table peers("10.0.0.1", 7);
  peer_news news = NewsFrom("10.0.0.2", 5, 1);
  news.heard_boot = 7;
  news.period = milliseconds(830);
  peers.OnNews(news, kStart);
  CHECK(peers.IsReachable("10.0.0.2", kStart + milliseconds(1700)));
  CHECK_FALSE(peers.IsReachable("10.0.0.2", kStart + milliseconds(2100)));
  news.sequence = 2;
  news.period = milliseconds(300);
  peers.OnNews(news, kStart);
  CHECK(peers.IsReachable("10.0.0.2", kStart + milliseconds(950)));
  CHECK_FALSE(peers.IsReachable("10.0.0.2", kStart + milliseconds(1050)));
}

TEST_CASE("only daemons that read the source count as readers") {
  peer_table peers("10.0.0.1", 7);
  CHECK(peers.CountReadersBefore(kStart) == 0);
  std::size_t before = 0;
  for (int i = 2; i < 12; ++i) {
    const std::string address = "10.0.0." + std::to_string(i);
    peer_news news = NewsFrom(address, 5, 1);
    peers.OnNews(news, kStart);
    CHECK(peers.CountReadersBefore(kStart) == before);
    const bool is_before = !peers.IsSelected(before + 1, kStart);
    news.sequence = 2;
    news.reads_source = true;
    peers.OnNews(news, kStart);
    if (is_before) ++before;
    CHECK(peers.CountReadersBefore(kStart) == before);
  }
  CHECK(before > 0);
  CHECK(peers.CountReadersBefore(kStart + seconds(2)) == 0);
}

TEST_CASE("news round-trip through encoding, and malformed bytes are refused") {
  peer_news news = NewsFrom("10.0.0.2", 0xfffffffeU, 1ULL << 40);
  news.uptime_ms = 123456;
  news.heard_sequence = 17;
  news.heard_boot = 3;
  news.stopping = true;
  news.reads_source = true;
  news.period = milliseconds(828);
  news.settings_position = {0, 900};
  news.upstreams_position = {0, 901};
  news.load = load_news{"i-1", 4, 2, 9, 120, 1.25};
  news.admitted = {{1, 2, 30}, {0xffffffffU, 1ULL << 33, 0}};
  news.crashes = {{1ULL << 60, 2, true, 40}};
  const std::string bytes = EncodeNews(news);
  const auto decoded = DecodeNews(bytes, "10.0.0.2");
  REQUIRE(decoded);
  CHECK(*decoded == news);
  CHECK(decoded->load->slowness == doctest::Approx(1.25));
  CHECK(decoded->sequence == news.sequence);
  CHECK(decoded->settings_position == news.settings_position);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    CHECK_FALSE(DecodeNews(bytes.substr(0, cut), "10.0.0.2"));
  }
  CHECK_FALSE(DecodeNews("", "10.0.0.2"));
  CHECK_FALSE(DecodeNews("\x80", "10.0.0.2"));
  CHECK_FALSE(DecodeNews("hello", "10.0.0.2"));
}

// Guards against a fleet of two versions that falls apart: earlier ones take
// news with exactly these fields, and compare sequences and revisions.
TEST_CASE("news with an era have the fields of news without one") {
  peer_news news = NewsFrom("10.0.0.2", 1, 5);
  news.settings_position = {7, 900};
  news.upstreams_position = {7, 901};
  const auto decoded = DecodeNews(EncodeNews(news), "10.0.0.2");
  REQUIRE(decoded);
  CHECK(decoded->sequence == 5);
  CHECK(decoded->settings_position == source_position{7, 900});
  CHECK(decoded->upstreams_position == source_position{7, 901});
  const nlohmann::json fields = nlohmann::json::from_cbor(EncodeNews(news));
  CHECK(fields.size() == 14);
  CHECK(fields.at(6) == 900);
  peer_news next = NewsFrom("10.0.0.2", 1, 6);
  const nlohmann::json before = nlohmann::json::from_cbor(EncodeNews(next));
  next.settings_position = {8, 12};
  const nlohmann::json after = nlohmann::json::from_cbor(EncodeNews(next));
  CHECK(after.at(1) > fields.at(1));
  CHECK(fields.at(1) > before.at(1));
  // An area that is still in the era before offers nothing.
  next.upstreams_position = {7, 901};
  const auto mixed = DecodeNews(EncodeNews(next), "10.0.0.2");
  REQUIRE(mixed);
  CHECK(mixed->settings_position == source_position{8, 12});
  CHECK(mixed->upstreams_position == source_position{});
}

TEST_CASE("positions are ordered by era, then by revision") {
  const source_position lower{1, 900};
  const source_position higher{2, 3};
  CHECK(lower < higher);
  CHECK(higher > lower);
  CHECK(source_position{2, 2} < higher);
  CHECK_FALSE(higher < higher);
  CHECK(higher <= higher);
  CHECK(ToText(higher) == "2.3");
  CHECK(ToText({0, 3}) == "3");
}

// Guards the traffic between zones, which is mostly news.
TEST_CASE(
    "tenant counts take few bytes of news, and corrupt ones are refused") {
  peer_news news = NewsFrom("10.0.0.2", 1, 5);
  const std::size_t without = EncodeNews(news).size();
  constexpr std::size_t kCounts = 20;
  for (std::uint32_t i = 0; i < kCounts; ++i) {
    news.admitted.push_back({0x9e3779b9U * (i + 1), 40 + 3 * i, 2});
  }
  const std::string bytes = EncodeNews(news);
  CHECK(bytes.size() <= without + kCounts * 6 + 2);
  CHECK(DecodeNews(bytes, "10.0.0.2") == news);
  // Any changed byte leads to a refusal or to other numbers, never to a crash.
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    for (const char change : {'\x80', '\x7f', '\x01'}) {
      std::string changed = bytes;
      changed[i] = static_cast<char>(changed[i] ^ change);
      const auto read = DecodeNews(changed, "10.0.0.2");
      if (read) CHECK(read->admitted.size() <= bytes.size());
    }
  }
}

// ---------------------------------------------------------------------------
// Allotments: a small fleet whose daemons exchange news directly.

struct allotment_fleet {
  explicit allotment_fleet(std::size_t size) {
    for (std::size_t i = 0; i < size; ++i) Add();
  }
  void Add() {
    tables.emplace_back(now);
    tables.back().SetConfiguration(config, now);
    boots.push_back(static_cast<std::uint32_t>(boots.size() + 1));
  }
  void Restart(std::size_t i) {
    tables[i] = allotment_table(now);
    tables[i].SetConfiguration(config, now);
    boots[i] += 100;
    started[i] = now;
  }
  // Every daemon sends news to all others on its side of the partition.
  void Exchange() {
    for (std::size_t sender = 0; sender < tables.size(); ++sender) {
      for (std::size_t receiver = 0; receiver < tables.size(); ++receiver) {
        if (sender == receiver ||
            (is_partitioned &&
             (sender < tables.size() / 2) != (receiver < tables.size() / 2))) {
          continue;
        }
        if (static_cast<double>(random() % 1000) < loss * 1000) continue;
        peer_news news = NewsFrom(std::to_string(sender), boots[sender], 1);
        news.admitted = tables[sender].News(now, reported_at);
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - started[sender]);
        news.uptime_ms = static_cast<std::uint64_t>(age.count());
        const bool is_first = heard.emplace(sender, receiver).second;
        tables[receiver].OnNews(news, is_first, now);
      }
    }
    reported_at = now;
  }
  // Sends `per_s` calls per second to each daemon for `span`; returns the
  // number admitted.
  int Run(double per_s, duration span) {
    int admitted = 0;
    const instant end = now + span;
    constexpr duration kStep = milliseconds(10);
    double calls_due = 0;
    int step = 0;
    while (now < end) {
      now += kStep;
      calls_due += per_s * std::chrono::duration<double>(kStep).count();
      while (calls_due >= 1) {
        calls_due -= 1;
        for (allotment_table& table : tables) {
          if (table.Admit(caller, now)) ++admitted;
        }
      }
      if (++step % 30 != 0) continue;
      const std::size_t side =
          is_partitioned ? tables.size() / 2 : tables.size();
      for (allotment_table& table : tables) {
        table.SetFleet(tables.size(), side, now);
      }
      Exchange();
    }
    return admitted;
  }

  instant reported_at{};
  instant now = kStart;
  std::shared_ptr<const configuration> config = [] {
    configuration_parts parts = ExampleParts();
    parts.tenants[0].rate_per_s = 60;
    parts.tenants[0].burst = 60;
    return *configuration::Build(parts);
  }();
  const tenant& caller = *config->FindTenant("large");
  std::vector<allotment_table> tables;
  std::vector<std::uint32_t> boots;
  std::map<std::size_t, instant> started;
  std::set<std::pair<std::size_t, std::size_t>> heard;
  bool is_partitioned = false;
  double loss = 0;  // Share of the news that is lost.
  std::mt19937 random{1};
};

// The platform's bound for a window of 5 s: rate and burst, plus a quarter,
// plus 20 calls.
int Bound() { return static_cast<int>((60 * 5 + 60) * 1.25 + 20); }

TEST_CASE(
    "a tenant's rate holds over the fleet, and nearly all of it is used") {
  for (const std::size_t size : {1, 3, 12}) {
    CAPTURE(size);
    allotment_fleet fleet(size);
    for (std::size_t i = 0; i < size; ++i) fleet.started[i] = kStart;
    fleet.Run(1, seconds(10));
    const double heavy = 400.0 / static_cast<double>(size);
    CHECK(fleet.Run(heavy, seconds(5)) <= Bound());
    const int steady = fleet.Run(heavy, seconds(10));
    CHECK(steady >= 570);
    CHECK(steady <= 640);
  }
}

TEST_CASE("a tenant's rate holds while news are lost") {
  for (const double loss : {0.05, 0.2, 0.4}) {
    CAPTURE(loss);
    allotment_fleet fleet(12);
    for (std::size_t i = 0; i < 12; ++i) fleet.started[i] = kStart;
    fleet.loss = loss;
    fleet.Run(1, seconds(10));
    CHECK(fleet.Run(400.0 / 12, seconds(5)) <= Bound());
    CHECK(fleet.Run(400.0 / 12, seconds(10)) <= 2 * Bound());
  }
}

TEST_CASE("a count is reported again only after it changed") {
  allotment_fleet fleet(1);
  allotment_table& table = fleet.tables[0];
  CHECK(table.Admit(fleet.caller, kStart + seconds(1)));
  CHECK(table.News(kStart + seconds(2), kStart).size() == 1);
  CHECK(table.News(kStart + seconds(3), kStart + seconds(2)).empty());
  CHECK(table.Admit(fleet.caller, kStart + seconds(4)));
  const auto reported = table.News(kStart + seconds(4), kStart + seconds(4));
  REQUIRE(reported.size() == 1);
  CHECK(reported.front().admitted == 2);
}

TEST_CASE("calls within the rate are never refused") {
  allotment_fleet fleet(12);
  for (std::size_t i = 0; i < 12; ++i) fleet.started[i] = kStart;
  fleet.Run(1, seconds(5));
  // 48 calls a second over 12 daemons.
  CHECK(fleet.Run(4, seconds(10)) == 480);
}

TEST_CASE("both sides of a partition together keep the bound") {
  allotment_fleet fleet(12);
  for (std::size_t i = 0; i < 12; ++i) fleet.started[i] = kStart;
  fleet.Run(4, seconds(10));
  fleet.is_partitioned = true;
  CHECK(fleet.Run(40, seconds(5)) <= Bound());
  CHECK(fleet.Run(40, seconds(5)) <= Bound());
  fleet.is_partitioned = false;
  CHECK(fleet.Run(40, seconds(5)) <= Bound());
}

TEST_CASE("a restart of the whole fleet gives no second burst") {
  allotment_fleet fleet(12);
  for (std::size_t i = 0; i < 12; ++i) fleet.started[i] = kStart;
  fleet.Run(4, seconds(10));
  const int before = fleet.Run(40, milliseconds(2500));
  for (std::size_t i = 0; i < 12; ++i) fleet.Restart(i);
  CHECK(before + fleet.Run(40, milliseconds(2500)) <= Bound());
}

// ---------------------------------------------------------------------------

// Guards BUDGET: daemons spent a service's whole budget on their own retries,
// although nested calls made by retries elsewhere count there too (tsurumaki
// scale-1 seed 843747819832).
TEST_CASE("nested calls made by retries use up the budget") {
  retry_budget budget({0.2, 56, seconds(10)});
  budget.SetFleet(14);
  for (int i = 0; i < 200; ++i) budget.OnCall("ledger", kStart);
  int retries = 0;
  while (budget.TakeRetry("ledger", false, kStart)) ++retries;
  // A repeat makes two calls, of a service with as many calls (dimasalang
  // scale-1 seed 911779219037: 1,129 retries there where 981 were allowed).
  CHECK(2 * retries <= 0.2 * 200 + 56.0 / 14);
  CHECK(retries >= 10);
  // Calls of upstreams may use more of it, but not all.
  while (budget.TakeRetry("ledger", true, kStart)) ++retries;
  CHECK(retries <= 0.2 * 200 + 56.0 / 14);
  CHECK(retries >= 30);

  retry_budget nested({0.2, 56, seconds(10)});
  nested.SetFleet(14);
  for (int i = 0; i < 200; ++i) {
    nested.OnCall("ledger", kStart);
    if (i % 5 == 0) nested.OnRepeatsCall("ledger", kStart);
  }
  CHECK_FALSE(nested.TakeRetry("ledger", false, kStart));
  CHECK_FALSE(nested.TakeRetry("ledger", true, kStart));
  // The window passes.
  nested.OnCall("ledger", kStart + seconds(11));
  CHECK(nested.TakeRetry("ledger", false, kStart + seconds(11)));
}

// Guards against a fleet that spends its retries twice in a window, as daemons
// that are replaced know nothing of those before.
TEST_CASE("daemons that are replaced spend the retry budget once") {
  constexpr int kDaemons = 12;
  constexpr int kCalls = 5;  // Of each process.
  const retry_limits limits = {0.2, 56, seconds(10)};
  for (const bool callers_first : {false, true}) {
    int retries = 0;
    for (int i = 0; i < 2 * kDaemons; ++i) {
      const bool is_replacement = i >= kDaemons;
      const instant started = is_replacement ? kStart : kStart - seconds(60);
      const instant now = kStart + seconds(is_replacement ? 5 : 0);
      retry_budget budget(limits, started);
      budget.SetFleet(kDaemons);
      for (int call = 0; call < kCalls; ++call) budget.OnCall("ledger", now);
      while (callers_first && budget.TakeRetry("ledger", false, now)) ++retries;
      while (budget.TakeRetry("ledger", true, now)) ++retries;
    }
    CHECK(retries <= 0.2 * 2 * kDaemons * kCalls + 56);
    CHECK(retries >= kDaemons * 3);
  }
}

// dimasalang scale-1 seed 353710091171: a third of the runs make no calls, so
// the share of repeats among all runs was less than half of their share among
// those that do. The callee got 1,435 retries where 1,373 were allowed.
TEST_CASE("calls of repeated runs are counted although others make none") {
  repeat_ascriber repeats;
  int ascribed = 0;
  int made_by_repeats = 0;
  std::uint64_t last_run = 0;
  for (int round = 0; round < 400; ++round) {
    // Of ten runs at a time, three make no calls, and one of the others is a
    // repeat. Its calls come last.
    std::vector<std::uint64_t> runs;
    for (int i = 0; i < 10; ++i) {
      runs.push_back(++last_run);
      repeats.OnRunStarted(last_run, i == 9);
    }
    for (int i = 3; i < 10; ++i) {
      for (int call = 0; call < 2; ++call) {
        if (repeats.OnNestedCall()) ++ascribed;
        if (i == 9) ++made_by_repeats;
      }
    }
    for (const std::uint64_t run : runs) repeats.OnRunEnded(run);
  }
  CHECK(ascribed >= made_by_repeats);
  CHECK(ascribed <= 2 * made_by_repeats);
  // Without running repeats, no call is ascribed.
  CHECK_FALSE(repeats.OnNestedCall());
}

TEST_CASE("a cold upstream gets no more calls than its warmup rate allows") {
  warmup_gate gate;
  CHECK(gate.Take(kStart));
  gate.SetRate(13, false, kStart);
  gate.SetCold(kStart + seconds(5), kStart);
  std::deque<instant> taken;
  std::size_t max_taken = 0;
  for (instant now = kStart; now < kStart + seconds(5);
       now += milliseconds(2)) {
    if (gate.Take(now)) taken.push_back(now);
    while (!taken.empty() && taken.front() + seconds(1) <= now) {
      taken.pop_front();
    }
    max_taken = std::max(max_taken, taken.size());
  }
  CHECK(max_taken <= 13 * 1.5 + 5);
  CHECK(max_taken >= 13);
  CHECK(gate.Take(kStart + seconds(6)));
  // A further update for the same start doesn't refill the gate.
  gate.SetCold(kStart + seconds(20), kStart + seconds(10));
  gate.SetCold(kStart + seconds(20), kStart + seconds(10));
  CHECK_FALSE(gate.Take(kStart + seconds(10)));
  CHECK(gate.NextAt(kStart + seconds(10)) > kStart + seconds(10));
}

// Guards against full load on an upstream that becomes cold again and can't
// write so to the store (review case 7).
TEST_CASE("an upstream that becomes cold unseen gets few calls at any load") {
  constexpr double kRate = 13;
  constexpr int kBound = 24;  // Of the platform's pages, at this rate.
  std::mt19937 random(7);
  const auto draw = [&random](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  for (int round = 0; round < 400; ++round) {
    const int calls_per_s = draw(5, 300);
    const duration answer_time = milliseconds(draw(1, 80));
    const instant cold_at = kStart + milliseconds(draw(500, 3000));
    const bool asks = round % 8 != 0;  // Else the upstream never answers.
    CAPTURE(round);
    CAPTURE(calls_per_s);
    warmup_gate gate;
    gate.SetRate(kRate, true, kStart);
    std::optional<instant> asked_at;
    std::uint64_t taken_when_asked = 0;
    std::deque<instant> cold_starts;
    std::size_t most = 0;
    int wanted = 0;
    int starts_while_warm = 0;
    for (instant now = kStart; now < cold_at + seconds(2);
         now += milliseconds(1)) {
      if (asked_at && now >= *asked_at + answer_time) {
        // The state as of the asking, at the earliest.
        if (*asked_at < cold_at) {
          gate.OnWarm(taken_when_asked);
        } else {
          gate.SetCold(cold_at + seconds(30), now);
        }
        asked_at.reset();
      }
      if (draw(1, 1000) <= calls_per_s) wanted = std::min(wanted + 1, 60);
      while (wanted > 0 && gate.Take(now)) {
        --wanted;
        if (now >= cold_at) cold_starts.push_back(now);
        if (now < cold_at) ++starts_while_warm;
      }
      if (asks && !asked_at && gate.ShouldAsk(now)) {
        asked_at = now;
        taken_when_asked = gate.Taken();
      }
      while (!cold_starts.empty() && cold_starts.front() + seconds(1) <= now) {
        cold_starts.pop_front();
      }
      most = std::max(most, cold_starts.size());
    }
    CHECK(most <= kBound);
    // A warm one that answers soon isn't held back.
    if (asks && answer_time <= milliseconds(20) && calls_per_s <= 100) {
      CHECK(starts_while_warm + wanted + 8 >=
            0.7 * calls_per_s *
                std::chrono::duration<double>(cold_at - kStart).count());
    }
  }
}

// Calls that a cold upstream would bear too need no answer that it is warm.
TEST_CASE("an upstream isn't asked if it is warm for few calls") {
  warmup_gate gate;
  gate.SetRate(13, true, kStart);
  for (int i = 0; i < 120; ++i) {
    const instant now = kStart + i * milliseconds(70);
    CHECK(gate.Take(now));
    CHECK_FALSE(gate.ShouldAsk(now));
  }
  // Nor is one that can't be asked held back.
  gate.SetRate(13, false, kStart + seconds(10));
  for (int i = 0; i < 50; ++i) CHECK(gate.Take(kStart + seconds(10)));
}

TEST_CASE(
    "the picker prefers free slots, speed, low failures and its own zone") {
  const duration typical = milliseconds(100);
  const std::vector<target_picker::candidate> targets = {
      {"a", 9, true, false}, {"b", 9, false, false}};
  const auto count_first = [&](target_picker* picker) {
    int first = 0;
    for (int i = 0; i < 100; ++i) {
      const auto picked = picker->Pick(targets, {}, {typical}, kStart);
      if (picked == std::size_t{0}) ++first;
    }
    return first;
  };
  target_picker picker(1);
  CHECK(count_first(&picker) == 100);  // Near.
  picker.OnNews({"a", 9, 9, 9, 200, 1}, kStart);
  picker.OnNews({"b", 1, 0, 9, 10, 1}, kStart);
  CHECK(count_first(&picker) == 0);  // Full.
  picker.OnNews({"a", 1, 0, 9, 10, 3}, kStart);
  CHECK(count_first(&picker) == 0);  // Slow.
  picker.OnNews({"a", 1, 0, 9, 10, 1}, kStart);
  CHECK(count_first(&picker) == 100);
  for (int i = 0; i < 5; ++i) picker.OnDone("a", true, kStart);
  CHECK(count_first(&picker) == 0);  // Failing.
  // It is tried again after some seconds without failures.
  const instant later = kStart + seconds(15);
  picker.OnNews({"a", 1, 0, 9, 10, 1}, later);
  CHECK(picker.Pick(targets, {}, {typical}, later) == std::size_t{0});
  CHECK(picker.Pick(targets, {"a"}, {typical}, later) == std::size_t{1});
  CHECK_FALSE(picker.Pick(targets, {"a", "b"}, {typical}, later));
  picker.OnRefused("a", milliseconds(50), later);
  CHECK(picker.Pick(targets, {}, {typical}, later) == std::size_t{1});
}

TEST_CASE("calls sent since the last news count as load") {
  target_picker picker(3);
  const std::vector<target_picker::candidate> candidates = {
      {"a", 4, true, false}, {"b", 4, true, false}, {"c", 4, true, false}};
  for (const char* id : {"a", "b", "c"}) {
    picker.OnNews({id, 0, 0, 4, 0, 1}, kStart);
  }
  std::map<std::string, int> sent;
  for (int i = 0; i < 12; ++i) {
    const auto best = picker.Pick(candidates, {}, {milliseconds(100)}, kStart);
    REQUIRE(best);
    picker.OnSent(candidates[*best].id, duration{0});
    ++sent[candidates[*best].id];
  }
  for (const auto& [id, count] : sent) CHECK(count == 4);
}

// Guards against a choice by the number of calls: three long calls sent since
// the last news are more work ahead than five short ones.
TEST_CASE("the cost of calls sent since the last news counts as load") {
  target_picker picker(3);
  const target_picker::candidate few_long = {"a", 2, true, false};
  const target_picker::candidate many_short = {"b", 2, true, false};
  const auto report = [&picker] {
    picker.OnNews({"a", 0, 0, 2, 0, 1}, kStart);
    picker.OnNews({"b", 0, 0, 2, 0, 1}, kStart);
  };
  report();
  for (int i = 0; i < 3; ++i) picker.OnSent("a", milliseconds(500));
  for (int i = 0; i < 5; ++i) picker.OnSent("b", milliseconds(20));
  call_profile call;
  call.typical = milliseconds(100);
  const auto score = [&](const target_picker::candidate& target) {
    return picker.ScoreMs(target, call, kStart);
  };
  CHECK(score(few_long) < score(many_short));  // By count.
  call.cost = milliseconds(100);
  CHECK(score(few_long) > score(many_short));
  const double before = score(many_short);
  call.cost = milliseconds(200);
  CHECK(score(many_short) > before + 90);
  report();
  CHECK(score(few_long) == score(many_short));
}

// An upstream whose machine is busy is avoided after one report, and must be
// tried again soon after the stall. A pace has effect without cost routing
// too.
TEST_CASE("the picker avoids an upstream of a bad pace for a short time") {
  const std::vector<target_picker::candidate> targets = {{"a", 6, true, false},
                                                         {"b", 6, true, false}};
  target_picker picker(1);
  load_news news{"a", 1, 0, 6, 0, 1};
  news.pace = 2.5;
  picker.OnNews(news, kStart);
  picker.OnNews({"b", 2, 0, 6, 0, 1}, kStart);
  const call_profile call{milliseconds(100)};
  const auto prefers_a = [&](instant at) {
    return picker.ScoreMs(targets[0], call, at) <
           picker.ScoreMs(targets[1], call, at);
  };
  CHECK(picker.Pick(targets, {}, call, kStart) == std::size_t{1});
  CHECK_FALSE(prefers_a(kStart + milliseconds(100)));
  CHECK(prefers_a(kStart + milliseconds(900)));
}

// The reports of a daemon that was lost kept calls away from its upstream, or
// drew them there, for as long as the other daemons remembered them.
TEST_CASE("with cost routing, a report that isn't renewed loses its weight") {
  const target_picker::candidate target{"a", 6, true, false};
  const call_profile call{milliseconds(100)};
  const double unknown = target_picker(1).ScoreMs(target, call, kStart);
  for (const bool on : {false, true}) {
    CAPTURE(on);
    target_picker picker(1);
    picker.SetCostRouting(on);
    picker.OnNews({"a", 6, 12, 6, 400, 2}, kStart);
    const auto score_after = [&](duration age) {
      return picker.ScoreMs(target, call, kStart + age);
    };
    const double fresh = score_after(duration{0});
    CHECK(fresh > 4 * unknown);
    CHECK(score_after(milliseconds(900)) == doctest::Approx(fresh));
    CHECK((score_after(seconds(4)) < 2.5 * unknown) == on);
    CHECK((score_after(seconds(40)) < 1.1 * unknown) == on);
  }
}

// All daemons of a loaded zone see the same free upstream in another zone,
// and sent it their calls until its next report.
TEST_CASE("with cost routing, a daemon sends few calls to a far upstream") {
  const std::vector<target_picker::candidate> targets = {
      {"near", 8, true, false}, {"far", 8, false, false}};
  const call_profile call{milliseconds(100)};
  target_picker picker(1);
  picker.SetCostRouting(true);
  picker.OnNews({"near", 8, 30, 8, 500, 1}, kStart);
  picker.OnNews({"far", 0, 0, 8, 0, 1}, kStart);
  const auto count_far = [&] {
    int far = 0;
    for (int i = 0; i < 8; ++i) {
      const auto picked = picker.Pick(targets, {}, call, kStart);
      REQUIRE(picked);
      picker.OnSent(targets[*picked].id, milliseconds(100));
      if (*picked == 1) ++far;
    }
    return far;
  };
  CHECK(count_far() == 2);
  CHECK(count_far() == 0);
  // The call has no other place to go.
  CHECK(picker.Pick(targets, {"near"}, call, kStart) == std::size_t{1});
  picker.OnNews({"far", 2, 0, 8, 0, 1}, kStart);
  CHECK(count_far() == 2);
}

// Reports that swing around the limit made calls change zones with each.
TEST_CASE("with cost routing, calls don't change zones with every report") {
  const std::vector<target_picker::candidate> targets = {
      {"near", 8, true, false}, {"far", 8, false, false}};
  const call_profile call{milliseconds(100)};
  const auto count_changes = [&](bool on) {
    target_picker picker(1);
    picker.SetCostRouting(on);
    std::size_t last = 0;
    int changes = 0;
    for (int i = 0; i < 40; ++i) {
      const instant now = kStart + i * milliseconds(300);
      // The near upstream is 53 ms or 103 ms slower than the far one. The
      // cost of another zone is 53 ms; with cost routing, 28 ms or 78 ms.
      const double wait_ms = i % 2 == 0 ? 18 : 68;
      picker.OnNews({"near", 8, 0, 8, wait_ms, 1}, now);
      picker.OnNews({"far", 0, 0, 8, 0, 1}, now);
      const auto picked = picker.Pick(targets, {}, call, now);
      REQUIRE(picked);
      if (*picked != last) ++changes;
      last = *picked;
    }
    return changes;
  };
  CHECK(count_changes(false) > 10);
  CHECK(count_changes(true) <= 1);
}

// An ingress refuses calls by the least wait: a service counts as full only if
// none of its upstreams has room.
TEST_CASE("the least wait is that of the upstream with most room") {
  target_picker picker(3);
  picker.OnNews({"idle", 1, 0, 4, 30, 1}, kStart);
  picker.OnNews({"full", 4, 8, 4, 300, 1}, kStart);
  picker.OnNews({"fuller", 4, 20, 4, 900, 1}, kStart);
  picker.OnNews({"refused", 0, 0, 4, 0, 1}, kStart);
  picker.OnRefused("refused", milliseconds(50), kStart);
  const auto least = [&picker](const std::vector<std::string>& ids) {
    std::vector<target_picker::candidate> candidates;
    candidates.reserve(ids.size());
    for (const std::string& id : ids) candidates.push_back({id, 4});
    return picker.LeastWait(candidates, duration{0}, kStart);
  };
  CHECK_FALSE(least({}).has_value());
  CHECK(least({"unknown", "full"}) == duration{0});
  CHECK(least({"idle", "full"}) == duration{0});
  CHECK(least({"fuller", "full"}) == milliseconds(300));
  CHECK(least({"fuller"}) == milliseconds(900));
  CHECK(least({"refused", "full"}) == milliseconds(50));
}

work_item Item(std::uint64_t id, int rank, duration aim, duration budget,
               duration expected) {
  work_item item;
  item.id = id;
  item.rank = rank;
  item.aim_at = kStart + aim;
  item.deadline = kStart + budget;
  item.expected = expected;
  return item;
}

TEST_CASE("the queue starts nested calls, then ranks, then the nearest aim") {
  work_queue queue;
  work_item nested =
      Item(4, 9, milliseconds(400), seconds(2), milliseconds(30));
  nested.nested = true;
  for (const work_item& item :
       {Item(1, 1, milliseconds(600), seconds(2), milliseconds(30)),
        Item(2, 1, milliseconds(500), seconds(2), milliseconds(30)),
        Item(3, 0, milliseconds(900), seconds(2), milliseconds(30)), nested}) {
    REQUIRE(queue.Push(item, 2, milliseconds(20), kStart));
  }
  std::vector<std::uint64_t> order;
  while (const auto next = queue.Pop(kStart)) order.push_back(next->id);
  CHECK(order == std::vector<std::uint64_t>{4, 3, 2, 1});
}

// Callers' calls must not leave the queue for a slot that is kept from them.
TEST_CASE("for a reserved slot, the queue gives nested calls only") {
  work_queue queue;
  work_item nested = Item(2, 5, milliseconds(900), seconds(2), {});
  nested.nested = true;
  REQUIRE(queue.Push(Item(1, 0, seconds(1), seconds(2), {}), 1, {}, kStart));
  CHECK_FALSE(queue.HasNested());
  CHECK_FALSE(queue.PopNested(kStart));
  REQUIRE(queue.Push(nested, 1, {}, kStart));
  CHECK(queue.HasNested());
  CHECK(queue.PopNested(kStart)->id == 2);
  CHECK_FALSE(queue.PopNested(kStart));
  CHECK(queue.Pop(kStart)->id == 1);
}

// An estimate from a cold start had every call of one route refused, and so was
// never corrected (permisos trouble-1 seed 664576075616).
TEST_CASE("an estimate that is too high fades out") {
  time_estimator times;
  times.Observe("peek", seconds(5), kStart);
  CHECK(times.Expect("peek", milliseconds(30), kStart) == seconds(5));
  CHECK(times.Expect("peek", milliseconds(30), kStart + seconds(20)) <
        milliseconds(50));
  work_queue queue;
  const work_item item =
      Item(1, 0, milliseconds(100), milliseconds(250), seconds(5));
  CHECK(queue.Push(item, 6, duration{0}, kStart));
  CHECK(queue.Pop(kStart));
}

TEST_CASE("an entry replaced by a newer start gets no calls") {
  directory upstreams;
  upstream old_start;
  old_start.id = "old";
  old_start.service = "ledger";
  old_start.address = "10.0.0.1";
  old_start.port = 80;
  old_start.born_ms = 1;
  upstream new_start = old_start;
  new_start.id = "new";
  new_start.born_ms = 2;
  upstreams.Put(old_start, kStart);
  upstreams.Put(new_start, kStart);
  REQUIRE(upstreams.Usable("ledger").size() == 1);
  CHECK(upstreams.Usable("ledger")[0]->what.id == "new");
}

// Guards against calls that wait for a daemon which ends before they do.
TEST_CASE("queued calls that can't end before a stop expire") {
  work_queue queue;
  const duration aim = milliseconds(400);
  const duration work = milliseconds(100);
  REQUIRE(queue.Push(Item(1, 0, aim, seconds(5), work), 2, work, kStart));
  REQUIRE(queue.Push(Item(2, 0, aim, seconds(1), work), 2, work, kStart));
  queue.CapDeadlines(kStart + seconds(2));
  CHECK(queue.NextExpiry() == kStart + seconds(1) - work / 2);
  REQUIRE(queue.Remove(2));
  CHECK(queue.NextExpiry() == kStart + seconds(2) - work / 2);
  CHECK(queue.Expire(kStart + milliseconds(1950)).empty());
  CHECK(queue.Expire(kStart + milliseconds(1951)).size() == 1);
}

TEST_CASE("a call that can't end in time is refused with a retry time") {
  work_queue queue;
  const auto too_short = queue.Push(
      Item(1, 0, milliseconds(5), milliseconds(10), milliseconds(100)), 1,
      milliseconds(50), kStart);
  REQUIRE_FALSE(too_short);
  CHECK(too_short.error().why == core::reason::kDeadline);
  // One slot is busy for 3 s; the call's deadline is in 1 s.
  const auto behind =
      queue.Push(Item(2, 0, milliseconds(300), seconds(1), milliseconds(100)),
                 1, seconds(3), kStart);
  REQUIRE_FALSE(behind);
  CHECK(behind.error().retry_after >= seconds(2));
  CHECK(queue.Size() == 0);
}

TEST_CASE("a call that can no longer meet its deadline expires") {
  work_queue queue;
  REQUIRE(queue.Push(
      Item(1, 0, milliseconds(300), milliseconds(400), milliseconds(100)), 1,
      milliseconds(100), kStart));
  const auto expiry = queue.NextExpiry();
  REQUIRE(expiry);
  CHECK(queue.Expire(*expiry - milliseconds(1)).empty());
  CHECK(queue.Expire(*expiry + milliseconds(1)).size() == 1);
  CHECK_FALSE(queue.Pop(kStart));
}

// Calls waited until just before their deadline and were only refused then
// (permisos-sur-grown scale-2 seed 848738194131).
TEST_CASE("an overtaken call is dropped while there is time to try elsewhere") {
  work_queue queue;
  REQUIRE(queue.Push(
      Item(1, 5, milliseconds(300), milliseconds(1200), milliseconds(100)), 1,
      milliseconds(50), kStart));
  CHECK(queue.DropOvertaken(1, milliseconds(50), kStart).empty());
  for (std::uint64_t id = 2; id < 14; ++id) {
    REQUIRE(queue.Push(
        Item(id, 0, milliseconds(1500), milliseconds(2000), milliseconds(100)),
        1, milliseconds(50), kStart));
  }
  const auto overtaken =
      queue.DropOvertaken(1, milliseconds(50), kStart + milliseconds(100));
  REQUIRE(overtaken.size() == 1);
  CHECK(overtaken.front().id == 1);
  CHECK(queue.Size() == 12);
}

TEST_CASE("a dropped call doesn't count as work ahead of other calls") {
  work_queue queue;
  const auto late = [](std::uint64_t id, milliseconds deadline,
                       milliseconds expected) {
    return Item(id, 0, milliseconds(100), deadline, expected);
  };
  REQUIRE(queue.Push(late(1, milliseconds(900), milliseconds(400)), 1,
                     milliseconds(1), kStart));
  REQUIRE(queue.Push(late(2, milliseconds(1000), milliseconds(100)), 1,
                     milliseconds(1), kStart));
  CHECK(queue.DropOvertaken(1, milliseconds(600), kStart).empty());
  const auto overtaken = queue.DropOvertaken(1, milliseconds(900), kStart);
  REQUIRE(overtaken.size() == 1);
  CHECK(overtaken.front().id == 1);
}

TEST_CASE("the call that has waited longest is started in turn") {
  work_queue queue;
  REQUIRE(queue.Push(Item(1, 9, seconds(20), seconds(30), milliseconds(10)), 1,
                     duration{0}, kStart));
  std::uint64_t id = 2;
  int starts = 0;
  bool served = false;
  while (!served && starts < 100) {
    REQUIRE(
        queue.Push(Item(id++, 0, seconds(20), seconds(30), milliseconds(10)), 1,
                   duration{0}, kStart));
    served = queue.Pop(kStart)->id == 1;
    ++starts;
  }
  CHECK(starts <= work_queue::kOldestFirstInterval);
}

// ---------------------------------------------------------------------------
// Attempts whose link broke.

TEST_CASE("an attempt's outcome is kept for a while and never changes") {
  attempt_register attempts;
  CHECK_FALSE(attempts.HasStarted("a"));
  CHECK_FALSE(attempts.IsBarred("a"));
  attempts.Bar("a", kStart);
  attempts.NoteStarted("b", kStart + seconds(1));
  CHECK(attempts.IsBarred("a"));
  CHECK(attempts.HasStarted("b"));
  attempts.NoteStarted("a", kStart + seconds(2));
  attempts.Bar("b", kStart + seconds(2));
  CHECK_FALSE(attempts.HasStarted("a"));
  CHECK_FALSE(attempts.IsBarred("b"));
  attempts.Expire(kStart + attempt_register::kMemory);
  CHECK(attempts.IsBarred("a"));
  attempts.Expire(kStart + attempt_register::kMemory + milliseconds(1));
  CHECK_FALSE(attempts.IsBarred("a"));
  CHECK(attempts.HasStarted("b"));
}

TEST_CASE("the oldest attempts are forgotten first") {
  attempt_register attempts;
  for (std::size_t i = 0; i <= attempt_register::kMaxAttempts; ++i) {
    attempts.Bar(std::to_string(i), kStart);
  }
  attempts.Expire(kStart);
  CHECK_FALSE(attempts.IsBarred("0"));
  CHECK(attempts.IsBarred("1"));
}

// ---------------------------------------------------------------------------
// Large values.

std::string LargeValue(std::uint64_t seed, std::size_t words) {
  std::mt19937_64 random(seed);
  std::string value;
  for (std::size_t i = 0; i < words; ++i) {
    value += "route-" + std::to_string(random() % 100'000) + ",";
  }
  return value;
}

TEST_CASE("a packed value is restored only from its own bytes and base") {
  const std::string base = LargeValue(1, 20'000);
  std::string value = base;
  value.replace(value.size() / 2, 5, "other");
  value.insert(100, LargeValue(2, 10));
  constexpr std::size_t kMaxBytes = 1 << 20;
  const std::string whole = Pack(value, {});
  const std::string patch = Pack(value, base);
  CHECK(patch.size() < 1000);
  CHECK(whole.size() < value.size() / 2);
  CHECK(Unpack(whole, {}, kMaxBytes) == value);
  CHECK(Unpack(patch, base, kMaxBytes) == value);
  CHECK_FALSE(Unpack(patch, LargeValue(3, 20'000), kMaxBytes));
  CHECK_FALSE(Unpack(patch, {}, kMaxBytes));
  CHECK_FALSE(Unpack(whole, {}, value.size() - 1));
  for (const std::size_t kept :
       {std::size_t{0}, std::size_t{3}, whole.size() / 2, whole.size() - 1}) {
    CHECK_FALSE(Unpack(std::string_view(whole).substr(0, kept), {}, kMaxBytes));
  }
  const auto check_restored = [&](const std::string& bytes,
                                  const std::string& base_used) {
    const auto read = Unpack(bytes, base_used, kMaxBytes);
    CHECK((!read || *read == value));
  };
  for (std::size_t i = 0; i < patch.size(); ++i) {
    std::string changed = patch;
    changed[i] ^= 0x10;
    check_restored(changed, base);
  }
  for (std::size_t i = 0; i < base.size(); i += 997) {
    std::string changed = base;
    changed[i] ^= 0x10;
    check_restored(patch, changed);
  }
  CHECK(Unpack(Pack("", {}), {}, kMaxBytes) == std::string());
}

// Compares with a plain list of all patches.
TEST_CASE("a history returns the patches from a revision on") {
  patch_history history;
  CHECK_FALSE(history.Since(1));
  CHECK(history.Newest() == 0);
  std::vector<value_patch> all;
  std::uint64_t revision = 5;
  for (int i = 0; i < 20; ++i) {
    const std::uint64_t next = revision + 1 + static_cast<unsigned>(i) % 3;
    all.push_back({revision, next, std::to_string(i)});
    history.Add(all.back());
    revision = next;
    const std::size_t kept = std::min(all.size(), patch_history::kMaxPatches);
    const auto first = all.end() - static_cast<std::ptrdiff_t>(kept);
    for (std::uint64_t since = 0; since <= revision; ++since) {
      const auto steps = history.Since(since);
      CHECK(steps.has_value() == (since >= first->from));
      if (!steps) continue;
      std::vector<std::string> expected;
      for (auto patch = first; patch != all.end(); ++patch) {
        if (patch->to > since) expected.push_back(patch->packed);
      }
      std::vector<std::string> actual;
      for (const value_patch& patch : *steps) actual.push_back(patch.packed);
      CHECK(actual == expected);
    }
  }
  history.Add({revision + 7, revision + 9, "gap"});
  CHECK_FALSE(history.Since(revision));
  CHECK(history.Since(revision + 7)->size() == 1);
  history.Add({revision + 9, revision + 10,
               std::string(patch_history::kMaxBytes + 1, 'x')});
  CHECK_FALSE(history.Since(revision + 9));
}

}  // namespace
}  // namespace pimentohall::mesh
