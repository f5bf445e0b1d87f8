// Tests of library check, and of the platform's reading for it.

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

#include "pimentohall/check.h"
#include "platform/platform.h"

namespace pimentohall::check {
namespace {

using std::chrono::milliseconds;

mesh::upstream Upstream(const std::string& id, const std::string& service,
                        const std::string& zone) {
  mesh::upstream made;
  made.id = id;
  made.service = service;
  made.address = "host-of-" + id;
  made.port = 8080;
  made.zone = zone;
  made.slots = 6;
  return made;
}

mesh::route Route(const std::string& name, const std::string& service) {
  mesh::route made;
  made.name = name;
  made.host = "shop.example";
  made.path_prefix = "/" + name + "/";
  made.parts = {{service, 1}};
  made.timeout = milliseconds(800);
  made.aim = milliseconds(400);
  made.max_attempts = 2;
  return made;
}

mesh::tenant Tenant(const std::string& name, const std::string& key_digest) {
  mesh::tenant made;
  made.name = name;
  made.key_digests = {key_digest};
  made.rate_per_s = 100;
  return made;
}

// A configuration without findings. Each service has two usable upstreams in
// different zones, so its capacity is 12 slots / (400 ms / 4) = 120 calls/s.
input Clean() {
  input made;
  mesh::configuration_parts& parts = made.proposed;
  parts.version = 8;
  parts.routes = {Route("a", "ledger"), Route("b", "counter")};
  parts.services = {{"ledger", "/health", 100, milliseconds(0), 0},
                    {"counter", "/health", 100, milliseconds(0), 0}};
  parts.tenants = {Tenant("acme", "d1"), Tenant("zeta", "d2")};
  parts.limits.body_bytes = 1000;
  made.in_force = parts;
  made.in_force->version = 7;
  made.upstreams = {
      Upstream("l1", "ledger", "north"), Upstream("l2", "ledger", "south"),
      Upstream("c1", "counter", "north"), Upstream("c2", "counter", "south")};
  made.memory_bytes = 1000;
  return made;
}

using edit = std::function<void(input&)>;

struct finding_case {
  finding_id id;
  const char* place;
  edit faulty;      // Causes this finding and no other.
  edit just_short;  // Causes none.
};

mesh::route& First(input& of) { return of.proposed.routes[0]; }
std::vector<mesh::route_part>& Parts(input& of) { return First(of).parts; }
mesh::upstream& Listed(input& of, std::size_t i) { return (*of.upstreams)[i]; }

// Adds a draining start at the address of upstream `i`, which was born at 5.
void AddStart(input& in, std::size_t i, std::uint64_t born_ms) {
  Listed(in, i).born_ms = 5;
  mesh::upstream other = Listed(in, i);
  other.id = "other";
  other.draining = true;
  other.born_ms = born_ms;
  in.upstreams->push_back(other);
}

void AddShortAim(input& in, double rate_per_s) {
  First(in).aim = milliseconds(200);
  in.proposed.routes.push_back(Route("c", "ledger"));
  in.proposed.tenants[0].rate_per_s = rate_per_s;
}

const std::vector<finding_case>& Cases() {
  static const std::vector<finding_case> kCases = {
      {finding_id::kVersionNotNewer, "",
       [](input& in) {
         in.proposed.version = 7;
         First(in).priority = 1;
       },
       [](input& in) { in.proposed.version = 7; }},  // The one in force.
      {finding_id::kPrefixMalformed, "routes/a",
       [](input& in) { First(in).path_prefix = "/a"; },
       [](input& in) { First(in).path_prefix = "/"; }},
      {finding_id::kPrefixNeverMatches, "routes/a",
       [](input& in) { First(in).path_prefix = "/a?/"; },
       [](input& in) { First(in).path_prefix = "/a%3F/"; }},
      {finding_id::kHostNeverMatches, "routes/a",
       [](input& in) { First(in).host = "Shop.example"; },
       [](input& in) { First(in).host = "127.0.0.1"; }},
      {finding_id::kHostNeverMatches, "routes/a",
       [](input& in) { First(in).host = "shop.example:80"; },
       [](input& in) { First(in).host = "s"; }},
      {finding_id::kHostNeverMatches, "routes/a",
       [](input& in) { First(in).host = ""; },
       [](input& in) { First(in).host = "s"; }},
      {finding_id::kRouteTwice, "routes/b",
       [](input& in) { in.proposed.routes[1].path_prefix = "/a/"; },
       [](input& in) {
         in.proposed.routes[1].path_prefix = "/a/";
         in.proposed.routes[1].host = "other.example";
       }},
      {finding_id::kRouteNameTwice, "routes/a",
       [](input& in) { in.proposed.routes[1].name = "a"; },
       [](input& in) { in.proposed.routes[1].name = "A"; }},
      {finding_id::kNoService, "routes/a", [](input& in) { Parts(in).clear(); },
       [](input& in) {
         Parts(in) = {{"counter", 1}};
       }},
      {finding_id::kServiceUnknown, "routes/a",
       [](input& in) {
         Parts(in) = {{"ledgers", 1}};
       },
       [](input& in) {
         Parts(in) = {{"ledger", 1}};
       }},
      {finding_id::kWeightNegative, "routes/a",
       [](input& in) {
         Parts(in) = {{"ledger", 2}, {"counter", -1}};
       },
       [](input& in) {
         Parts(in) = {{"ledger", 2}, {"counter", 0.1}};
       }},
      {finding_id::kWeightsAllZero, "routes/a",
       [](input& in) {
         Parts(in) = {{"ledger", 0}, {"counter", 0}};
       },
       [](input& in) {
         Parts(in) = {{"ledger", 1e-9}, {"counter", 1e-9}};
       }},
      {finding_id::kWeightZero, "routes/a",
       [](input& in) {
         Parts(in) = {{"ledger", 1}, {"counter", 0}};
       },
       [](input& in) {
         Parts(in) = {{"ledger", 1}, {"counter", 1e-9}};
       }},
      {finding_id::kNoAttempt, "routes/a",
       [](input& in) { First(in).max_attempts = 0; },
       [](input& in) { First(in).max_attempts = 1; }},
      {finding_id::kTimeoutBelowAim, "routes/a",
       [](input& in) { First(in).timeout = milliseconds(399); },
       [](input& in) { First(in).timeout = milliseconds(400); }},
      {finding_id::kTimeoutBelowAim, "routes/a",
       [](input& in) { First(in).timeout = milliseconds(1); },
       [](input& in) { First(in).timeout = milliseconds(0); }},  // No limit.
      {finding_id::kAttemptsOverUpstreams, "routes/a",
       [](input& in) { First(in).max_attempts = 3; },
       [](input& in) {
         First(in).max_attempts = 3;
         in.upstreams->push_back(Upstream("l3", "ledger", "north"));
       }},
      {finding_id::kAttemptsOverUpstreams, "routes/a",
       [](input& in) { Listed(in, 0).draining = true; },
       [](input& in) {
         Listed(in, 0).draining = true;
         First(in).max_attempts = 1;
       }},
      // The entry of an ended start is no second upstream.
      {finding_id::kAttemptsOverUpstreams, "routes/a",
       [](input& in) {
         Listed(in, 1).address = Listed(in, 0).address;
         Listed(in, 1).born_ms = 5;
       },
       [](input& in) {
         Listed(in, 1).address = Listed(in, 0).address;
         Listed(in, 1).port = 8081;
       }},
      // Nor is one whose newest start is draining.
      {finding_id::kAttemptsOverUpstreams, "routes/a",
       [](input& in) { AddStart(in, 0, 9); },
       [](input& in) { AddStart(in, 0, 4); }},
      {finding_id::kServiceTwice, "services/ledger",
       [](input& in) {
         in.proposed.services.push_back(in.proposed.services[0]);
       },
       [](input& in) {
         in.proposed.services.push_back(in.proposed.services[0]);
         in.proposed.services.back().name = "third";
         in.upstreams->push_back(Upstream("t1", "third", "north"));
       }},
      {finding_id::kNoUpstream, "services/ledger",
       [](input& in) {
         Listed(in, 0).service = Listed(in, 1).service = "counter";
       },
       [](input& in) {
         Listed(in, 0).service = "counter";
         First(in).max_attempts = 1;
       }},
      {finding_id::kNoUpstream, "services/ledger",
       [](input& in) {
         Listed(in, 0).draining = Listed(in, 1).draining = true;
       },
       [](input& in) { in.upstreams.reset(); }},  // Not given: not checked.
      {finding_id::kAllInEvacuatedZones, "services/ledger",
       [](input& in) {
         in.evacuated_zones = {"west"};
         Listed(in, 0).zone = Listed(in, 1).zone = "west";
       },
       [](input& in) {
         in.evacuated_zones = {"west"};
         Listed(in, 0).zone = "west";
         First(in).max_attempts = 1;
       }},
      {finding_id::kAllInEvacuatedZones, "services/ledger",
       [](input& in) {
         in.evacuated_zones = {"west"};
         Listed(in, 0).zone = "west";
         Listed(in, 1).draining = true;
       },
       [](input& in) {
         in.evacuated_zones = {"west"};
         Listed(in, 0).zone = "west";
         First(in).max_attempts = 1;
       }},
      {finding_id::kServiceMissing, "services/gone",
       [](input& in) {
         in.upstreams->push_back(Upstream("g1", "gone", "north"));
       },
       [](input& in) {
         in.upstreams->push_back(Upstream("g1", "ledger", "north"));
       }},
      {finding_id::kTenantTwice, "tenants/acme",
       [](input& in) { in.proposed.tenants[1].name = "acme"; },
       [](input& in) { in.proposed.tenants[1].name = "acme2"; }},
      {finding_id::kKeyShared, "tenants/zeta",
       [](input& in) {
         in.proposed.tenants[1].key_digests = {"d2", "d1"};
       },
       [](input& in) {
         in.proposed.tenants[1].key_digests = {"d2", "d2"};
       }},
      {finding_id::kRateOverCapacity, "tenants/acme",
       [](input& in) { in.proposed.tenants[0].rate_per_s = 120.1; },
       [](input& in) { in.proposed.tenants[0].rate_per_s = 120; }},
      {finding_id::kRateOverCapacity, "tenants/acme",
       [](input& in) { in.proposed.tenants[0].rate_per_s = 1e9; },
       [](input& in) {  // Without an aim, the capacity is unknown.
         in.proposed.tenants[0].rate_per_s = 1e9;
         First(in).aim = milliseconds(0);
       }},
      // The shortest aim of a service's routes counts: 12 slots / 50 ms.
      {finding_id::kRateOverCapacity, "tenants/acme",
       [](input& in) { AddShortAim(in, 240.1); },
       [](input& in) { AddShortAim(in, 240); }},
      {finding_id::kBodyOverMemory, "limits",
       [](input& in) { in.proposed.limits.body_bytes = 1001; },
       [](input& in) { in.proposed.limits.body_bytes = 1000; }},
  };
  return kCases;
}

bool IsRefused(const report& result) {
  return std::any_of(
      result.findings.begin(), result.findings.end(),
      [](const finding& each) { return KindOf(each.id).refused_by_daemons; });
}

std::string Codes(const report& result) {
  std::string codes;
  for (const finding& each : result.findings) {
    codes += std::string(KindOf(each.id).code) + " " + each.place + "; ";
  }
  return codes;
}

// Guards against a rule that misses its fault, reports it elsewhere, reports
// what is still allowed, or disagrees with what daemons refuse.
TEST_CASE("check: each finding, and a configuration just short of it") {
  CHECK(Codes(Check(Clean())).empty());
  std::set<finding_id> covered;
  for (const finding_case& each : Cases()) {
    const finding_kind& kind = KindOf(each.id);
    CAPTURE(kind.code);
    covered.insert(each.id);
    input faulty = Clean();
    each.faulty(faulty);
    const report found = Check(faulty);
    const std::string once = std::string(kind.code) + " " + each.place + "; ";
    CHECK(Codes(found) == once);
    CHECK(found.Worst() == kind.level);
    input sound = Clean();
    each.just_short(sound);
    CHECK(Codes(Check(sound)).empty());
    for (const input* judged : {&faulty, &sound}) {
      CHECK(IsRefused(Check(*judged)) ==
            !mesh::configuration::Build(judged->proposed).has_value());
    }
  }
  CHECK(covered.size() == FindingKinds().size());
}

// Guards against a kind in the wrong row of the table, and a code used twice.
TEST_CASE("check: the table of kinds is in the order of the ids") {
  std::set<std::string> codes;
  for (const finding_kind& each : FindingKinds()) {
    CHECK(&KindOf(each.id) == &each);
    CHECK(codes.insert(each.code).second);
    CHECK(std::string(each.fix) != "");
  }
}

// Guards against errors that are overlooked below many warnings.
TEST_CASE("check: errors come before warnings") {
  input both = Clean();
  First(both).timeout = milliseconds(1);
  both.proposed.routes[1].path_prefix = "b";
  CHECK(Codes(Check(both)) ==
        "prefix-malformed routes/b; timeout-below-aim routes/a; ");
  CHECK(Check(both).Worst() == severity::kError);
}

// Guards against parts of weight 0 that count as if they got calls: their
// service may have few upstreams, and their route's aim is none of its calls'.
TEST_CASE("check: a part of weight 0 has no other finding") {
  input in = Clean();
  mesh::route split = Route("c", "ledger");
  split.parts.push_back({"counter", 0});
  split.aim = milliseconds(50);
  in.proposed.routes.push_back(split);
  in.proposed.routes[1].max_attempts = 1;
  Listed(in, 2).draining = true;
  Listed(in, 3).slots = 1000;  // 10,000 calls/s at the aim of route b.
  in.proposed.tenants[0].rate_per_s = 10'001;
  CHECK(Codes(Check(in)) ==
        "weight-zero routes/c; rate-over-capacity tenants/acme; ");
}

struct difference_case {
  edit change;  // Of the proposed configuration.
  std::vector<difference> expected;
};

// Guards against a member that isn't compared, and a wrong place or value.
TEST_CASE("check: the differences from the version in force") {
  using config::change_kind;
  const auto changed = [](const char* subject, const char* field,
                          const char* before, const char* after) {
    return difference{change_kind::kChanged, subject, field, before, after};
  };
  const auto route = [&](const char* field, const char* before,
                         const char* after) {
    return changed("routes/a", field, before, after);
  };
  const difference_case cases[] = {
      {[](input&) {}, {}},
      {[](input& in) {
         std::swap(in.proposed.routes[0], in.proposed.routes[1]);
       },
       {}},
      {[](input& in) { in.proposed.version = 9; },
       {changed("", "version", "7", "9")}},
      {[](input& in) {
         mesh::route& all = First(in);
         all.host = "h";
         all.path_prefix = "/z/";
         all.parts = {{"ledger", 0.1}, {"c, d", 2}};
         all.idempotent = all.open = true;
         all.timeout = mesh::duration(500);
         all.aim = milliseconds(1);
         all.max_attempts = all.priority = 1;
         all.regions = {"eu"};
       },
       {route("host", "shop.example", "h"), route("path_prefix", "/a/", "/z/"),
        route("parts", "[ledger 1]", "[ledger 0.1, \"c, d\" 2]"),
        route("idempotent", "false", "true"),
        route("timeout", "800 ms", "0.5 ms"), route("aim", "400 ms", "1 ms"),
        route("max_attempts", "2", "1"), route("priority", "0", "1"),
        route("open", "false", "true"), route("regions", "[]", "[eu]")}},
      {[](input& in) { in.proposed.routes.pop_back(); },
       {{change_kind::kRemoved, "routes/b", "", "", ""}}},
      // A second entry of a name is no change of the first.
      {[](input& in) { in.proposed.routes.push_back(Route("a", "counter")); },
       {{change_kind::kAdded, "routes/a", "", "", ""}}},
      {[](input& in) {
         in.proposed.services[0] = {"ledger", "/h", 1, milliseconds(2), 3};
       },
       {changed("services/ledger", "health_path", "/health", "/h"),
        changed("services/ledger", "max_connections", "100", "1"),
        changed("services/ledger", "warmup", "0 ms", "2 ms"),
        changed("services/ledger", "warmup_per_s", "0", "3")}},
      {[](input& in) {
         mesh::tenant& acme = in.proposed.tenants[0];
         acme = Tenant("acme", "d3");
         acme.priority = 0;
         acme.rate_per_s = 50;
         acme.burst = 4;
         acme.regions = {"eu", "us"};
       },
       {changed("tenants/acme", "priority", "that of the route", "0"),
        changed("tenants/acme", "rate_per_s", "100", "50"),
        changed("tenants/acme", "burst", "0", "4"),
        changed("tenants/acme", "regions", "[]", "[eu, us]"),
        {change_kind::kRemoved, "tenants/acme", "key", "d1", ""},
        {change_kind::kAdded, "tenants/acme", "key", "", "d3"}}},
      // Different values have different texts.
      {[](input& in) {
         in.in_force->tenants[0].burst = 0.3;
         in.proposed.tenants[0].burst = 0.1 + 0.2;
       },
       {changed("tenants/acme", "burst", "0.3", "0.30000000000000004")}},
      {[](input& in) { in.proposed.tenants.push_back(Tenant("new", "d4")); },
       {{change_kind::kAdded, "tenants/new", "", "", ""},
        {change_kind::kAdded, "tenants/new", "key", "", "d4"}}},
      {[](input& in) {
         in.proposed.limits = {1, 2, milliseconds(3), milliseconds(4)};
       },
       {changed("limits", "header_bytes", "65536", "1"),
        changed("limits", "body_bytes", "1000", "2"),
        changed("limits", "header_timeout", "10000 ms", "3 ms"),
        changed("limits", "idle_timeout", "60000 ms", "4 ms")}},
  };
  for (const difference_case& each : cases) {
    input in = Clean();
    in.proposed.version = 7;
    each.change(in);
    const std::vector<difference> found = Check(in).differences;
    CAPTURE(found.size());
    CAPTURE(found.empty() ? "" : found[0].subject + " " + found[0].field);
    CHECK(found == each.expected);
  }
}

// `count` routes, and as many services, tenants and upstreams.
input Large(int count) {
  input made;
  made.upstreams.emplace();
  for (int i = 0; i < count; ++i) {
    const std::string name = std::to_string(i);
    made.proposed.routes.push_back(Route(name, name));
    made.proposed.services.push_back({name, "/h", 1, milliseconds(0), 0});
    made.proposed.tenants.push_back(Tenant(name, name));
    made.upstreams->push_back(Upstream(name, name, "north"));
  }
  made.in_force = made.proposed;
  return made;
}

// Guards against quadratic work: 2,000 routes times 2,000 services would be
// 4,000,000 comparisons.
TEST_CASE("check: the comparisons grow with the size, not with its square") {
  const std::uint64_t at_2000 = Check(Large(2000)).comparisons;
  const std::uint64_t at_8000 = Check(Large(8000)).comparisons;
  CHECK(at_2000 < 1'000'000);
  // 4, and the growth of sorting by a factor of log(8000) / log(2000).
  CHECK(at_8000 < 5 * at_2000);
}

// Guards against a fault without a place, and a key in a message.
TEST_CASE("check: what can't be read is told with its place") {
  const std::pair<const char*, const char*> texts[] = {
      {R"({"version":"r1","routes":[],"services":[{"name":"s"}]})",
       "services[0]: healthPath is missing"},
      {R"({"version":"r1","routes":[],"services":[],"tenants":[
          {"name":"t","apiKeys":[]},{"name":"u","apiKeys":["secret",1]}]})",
       "tenants[1]: apiKeys holds what is not a text"},
      {R"({"version":"r1","services":[]})", "routes is missing"},
      {"[]", "not an object"}};
  for (const auto& [text, problem] : texts) {
    const auto parsed = platform::ParseConfiguration(text);
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error() == problem);
  }
  const std::string entry =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v",
          "slots":6,"state":"ready","sequence":1})";
  const auto upstreams =
      platform::ParseUpstreams("{\"servers/i-1\":" + entry + "}");
  REQUIRE(upstreams);
  REQUIRE(upstreams->size() == 1);
  CHECK(upstreams->front().id == "i-1");
  CHECK(platform::ParseUpstreams("{\"op/config\":" + entry + "}").error() ==
        "key op/config isn't that of an upstream's entry");
  CHECK(platform::ParseUpstreams("{\"servers/i-1\":{}}").error() ==
        "servers/i-1: service is missing");
  CHECK(platform::FieldName("aim") == "aimMs");
  CHECK(platform::FieldName("priority") == "priority");
}

}  // namespace
}  // namespace pimentohall::check
