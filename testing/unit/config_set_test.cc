#include <doctest/doctest.h>

#include <algorithm>

#include "unit/config_files.h"
#include "unit/config_property.h"

namespace pimentohall::config {
namespace {

using part_map = std::map<std::string, std::string>;

std::string JsonList(const std::vector<std::string>& texts) {
  std::string list;
  for (const std::string& text : texts) {
    list += (list.empty() ? "\"" : ",\"") + text + "\"";
  }
  return "[" + list + "]";
}

std::string ZonesText(const char* state = "in") {
  return std::string(R"({"zones":[{"name":"z","region":"r","state":")") +
         state + "\"}]}";
}

struct route_text {
  std::string name;
  std::string prefix;
  std::vector<std::string> methods;
};

std::string ServiceText(const std::string& name,
                        const std::vector<route_text>& routes,
                        const std::string& upstream, int port = 1) {
  std::string list;
  for (const route_text& route : routes) {
    list += std::string(list.empty() ? "" : ",") + "{\"name\":\"" + route.name +
            "\",\"path_prefix\":\"" + route.prefix +
            "\",\"methods\":" + JsonList(route.methods) + "}";
  }
  return "{\"name\":\"" + name + "\",\"routes\":[" + list +
         "],\"upstreams\":[{\"name\":\"" + upstream +
         "\",\"vm\":\"v\",\"address\":\"10.0.0.1\",\"port\":" +
         std::to_string(port) + "}]}";
}

std::string OrganisationText(const std::string& name, int rate,
                             const std::vector<std::string>& routes,
                             const std::string& key) {
  return "{\"name\":\"" + name +
         "\",\"contract\":{\"rate_per_s\":" + std::to_string(rate) +
         ",\"burst\":1,\"max_concurrent\":1,\"routes\":" + JsonList(routes) +
         "},\"keys\":[{\"id\":\"k\",\"sha256\":\"" + Sha256Hex(key) + "\"}]}";
}

part_map SmallParts() {
  return {{"zones", ZonesText()},
          {"services/s", ServiceText("s", {{"r", "/r", {"GET"}}}, "u")},
          {"organisations/a", OrganisationText("a", 1, {"r"}, "ka")},
          {"organisations/b", OrganisationText("b", 1, {"*"}, "kb")}};
}

// Guards against a lookup that misses a resource, returns one that the parts do
// not hold or returns the wrong one.
TEST_CASE("lookups find what the parts hold and nothing else") {
  const auto set = AssembleParts(SmallParts(), 7);
  REQUIRE_MESSAGE(set, AllFaults(set.error()));
  CHECK(set->Version() == 7);
  CHECK(set->FindZone("z") != nullptr);
  CHECK(set->FindUpstream("u")->service == "s");
  CHECK(set->FindRouteByName("r") == set->FindRoute("GET", "/r/1"));
  const organisation* a = set->FindOrganisation("a");
  REQUIRE(a != nullptr);
  CHECK(set->FindByKeyDigest(Sha256Hex("ka")) == a);
  CHECK(set->Allows(*a, "r"));
  CHECK_FALSE(set->Allows(*a, "q"));
  CHECK_FALSE(set->Allows(*a, "*"));
  CHECK(set->Allows(*set->FindOrganisation("b"), "q"));

  const config_set empty;
  for (const config_set* searched : {&*set, &empty}) {
    CHECK(searched->FindZone("") == nullptr);
    CHECK(searched->FindService("a") == nullptr);
    CHECK(searched->FindOrganisation("s") == nullptr);
    CHECK(searched->FindUpstream("v") == nullptr);
    CHECK(searched->FindRouteByName("*") == nullptr);
    CHECK(searched->FindRoute("POST", "/r") == nullptr);
    CHECK(searched->FindRoute("GET", "r") == nullptr);
    CHECK(searched->FindRoute("GET", "") == nullptr);
    CHECK(searched->FindByKeyDigest("") == nullptr);
    CHECK(searched->FindByKeyDigest(Sha256Hex("kc")) == nullptr);
    CHECK(searched->FindByKeyDigest("ka") == nullptr);
  }
  CHECK(empty.Services().empty());
  CHECK(empty.Version() == 0);
}

// Guards against a binary search over routes in the operator's order.
TEST_CASE("a contract may list its routes in any order") {
  const auto parsed = ParseOrganisation(
      OrganisationText("a", 1, {"r", "c", "x", "b"}, "ka"), "organisations/a");
  REQUIRE(parsed);
  for (const char* route : {"b", "c", "r", "x"}) {
    CHECK(config_set().Allows(*parsed, route));
  }
  CHECK_FALSE(config_set().Allows(*parsed, "d"));
}

// Guards against accepting one back-end process behind two limiters, and
// against refusing equal loopback ports on different VMs.
TEST_CASE("an address is one back-end, a loopback address is one on each VM") {
  const auto assemble = [](const char* address, const char* other_vm,
                           const char* other_address = nullptr) {
    if (other_address == nullptr) other_address = address;
    part_map parts = SmallParts();
    std::string upstreams;
    for (const char* vm : {"v", other_vm}) {
      upstreams += std::string(upstreams.empty() ? "" : ",") + "{\"name\":\"u" +
                   std::to_string(upstreams.size()) + "\",\"vm\":\"" + vm +
                   "\",\"address\":\"" +
                   (upstreams.empty() ? address : other_address) +
                   "\",\"port\":1}";
    }
    parts["services/s"] =
        R"({"name":"s","routes":[{"name":"r","path_prefix":"/r",
            "methods":["GET"]}],"upstreams":[)" +
        upstreams + "]}";
    return AssembleParts(parts).has_value();
  };
  CHECK(assemble("127.0.0.1", "w"));
  CHECK(assemble("::1", "w"));
  CHECK_FALSE(assemble("127.0.0.1", "v"));
  CHECK_FALSE(assemble("10.0.0.1", "w"));
  CHECK_FALSE(assemble("2001:db8::7", "w", "2001:DB8:0:0::7"));
  CHECK_FALSE(assemble("10.0.0.1", "w", "::ffff:10.0.0.1"));
  CHECK(assemble("127.0.0.1", "w", "::ffff:127.0.0.1"));
}

// Guards against a set that lacks a part or holds bytes whose digest or size
// differs from the manifest.
TEST_CASE("parts that are missing or differ from the manifest are refused") {
  const part_map parts = SmallParts();
  const auto manifest = ParseManifest(BuildManifest(1, parts));
  REQUIRE(manifest);
  const part_map bytes = PartsByDigest(parts);
  for (const part_ref& ref : manifest->parts) {
    part_map without = bytes;
    without.erase(ref.sha256);
    part_map altered = bytes;
    altered[ref.sha256][0] = ' ';
    part_map longer = bytes;
    longer[ref.sha256] += ' ';
    struct row {
      const part_map* bytes;
      const char* phrase;
    };
    for (const row& row : {row{&without, "missing"}, row{&altered, "digest"},
                           row{&longer, "the manifest says"}}) {
      const auto set = AssembleSet(*manifest, *row.bytes);
      REQUIRE_FALSE(set);
      CHECK(set.error().size() == 1);
      CHECK(set.error()[0].document == ref.name);
      CHECK(set.error()[0].problem.find(row.phrase) != std::string::npos);
    }
  }
  CHECK(AssembleSet(*manifest, bytes));
}

// Guards against parsing or copying unchanged parts when one part changes, and
// against pointers in the new set that dangle once the old set is destroyed.
TEST_CASE("unchanged parts are shared with the previous set") {
  part_map parts = SmallParts();
  auto before = AssembleParts(parts, 1);
  REQUIRE(before);
  parts["organisations/a"] = OrganisationText("a", 9, {"*"}, "ka");
  const auto manifest = ParseManifest(BuildManifest(2, parts));
  REQUIRE(manifest);
  const part_map only_changed = PartsByDigest({*parts.find("organisations/a")});
  const auto after = AssembleSet(*manifest, only_changed, &*before);
  REQUIRE_MESSAGE(after, AllFaults(after.error()));
  CHECK(after->FindService("s") == before->FindService("s"));
  CHECK(after->FindOrganisation("b") == before->FindOrganisation("b"));
  CHECK(after->FindOrganisation("a") != before->FindOrganisation("a"));

  before = config_set();
  CHECK(after->FindByKeyDigest(Sha256Hex("ka"))->limits.rate_per_s == 9);
  CHECK(after->FindRoute("GET", "/r")->name == "r");
  CHECK_FALSE(AssembleSet(*manifest, only_changed, &*before));
}

// Guards against a reused table that still holds a withdrawn key.
TEST_CASE("a withdrawn key is unknown in the next set") {
  part_map parts = SmallParts();
  const auto before = AssembleParts(parts, 1);
  REQUIRE(before);
  parts["organisations/a"] = OrganisationText("a", 1, {"r"}, "new");
  const auto after = AssembleParts(parts, 2, &*before);
  REQUIRE(after);
  CHECK(before->FindByKeyDigest(Sha256Hex("ka")) != nullptr);
  CHECK(after->FindByKeyDigest(Sha256Hex("ka")) == nullptr);
  CHECK(after->FindByKeyDigest(Sha256Hex("new"))->name == "a");
}

// The functions below are the reference implementation of `FindRoute`: a linear
// search without tables.
bool MatchesPrefix(const std::string& prefix, const std::string& path) {
  return prefix == "/" || path == prefix || path.rfind(prefix + "/", 0) == 0;
}

bool HasDotSegmentReference(std::string path) {
  for (const char* dot : {"%2e", "%2E"}) {
    for (std::size_t position;
         (position = path.find(dot)) != std::string::npos;) {
      path.replace(position, 3, ".");
    }
  }
  path += "/";
  return path.find("/./") != std::string::npos ||
         path.find("/../") != std::string::npos;
}

std::string FindByLinearSearch(const std::vector<route_text>& routes,
                               const std::string& method,
                               const std::string& path) {
  const route_text* best = nullptr;
  if (path.rfind('/', 0) != 0 || HasDotSegmentReference(path)) return "";
  for (const route_text& route : routes) {
    const bool allowed = std::find(route.methods.begin(), route.methods.end(),
                                   method) != route.methods.end();
    if (!allowed || !MatchesPrefix(route.prefix, path)) continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size()) {
      best = &route;
    }
  }
  return best == nullptr ? "" : best->name;
}

std::string Path(int max_segments, const std::vector<std::string>& segments) {
  std::string path;
  const int count = *rc::gen::inRange(0, max_segments + 1);
  for (int i = 0; i < count; ++i) {
    path += "/" + *rc::gen::elementOf(segments);
  }
  return path.empty() ? "/" : path;
}

std::vector<route_text> RandomRoutes() {
  std::vector<route_text> routes;
  std::vector<std::string> taken;
  const int count = *rc::gen::inRange(1, 12);
  for (int i = 0; i < count; ++i) {
    const std::string prefix = Path(3, {"a", "b", "ab", "a..b"});
    const auto method = *rc::gen::element<std::string>("GET", "POST", "PUT");
    const std::string match = method + prefix;
    if (std::find(taken.begin(), taken.end(), match) != taken.end()) continue;
    taken.push_back(match);
    routes.push_back({"r" + std::to_string(i), prefix, {method}});
  }
  return routes;
}

// Guards against a route table that differs from the documented rule.
TEST_CASE("FindRoute matches a linear search") {
  CHECK(HoldsFor("routes", 500, [] {
    const std::vector<route_text> routes = RandomRoutes();
    part_map parts = {{"zones", ZonesText()}};
    for (std::size_t i = 0; i < routes.size(); ++i) {
      const std::string name = "s" + std::to_string(i % 3);
      std::vector<route_text> own;
      for (std::size_t j = i % 3; j < routes.size(); j += 3) {
        own.push_back(routes[j]);
      }
      parts["services/" + name] =
          ServiceText(name, own, "u" + name, 1 + static_cast<int>(i % 3));
    }
    const auto set = AssembleParts(parts);
    RC_ASSERT(set.has_value());
    for (int i = 0; i < 20; ++i) {
      const std::string path =
          Path(5, {"a", "b", "ab", "", "c", "a..b", ".", "..", "%2e", ".%2E"});
      for (const char* method : {"GET", "POST", "PUT", "HEAD"}) {
        const route* found = set->FindRoute(method, path);
        RC_ASSERT((found == nullptr ? "" : found->name) ==
                  FindByLinearSearch(routes, method, path));
      }
    }
  }));
}

// Random parts from small pools of names, keys, routes and ports, so that the
// test covers sets with and without faults, and equal parts in consecutive
// sets.
part_map RandomParts() {
  part_map parts = {
      {"zones", ZonesText(*rc::gen::element("in", "in", "in", "out"))}};
  for (const char* name : {"s", "t"}) {
    if (*rc::gen::inRange(0, 8) == 0) continue;
    const std::string own = *rc::gen::element<std::string>(name, name, "s");
    parts[std::string("services/") + name] =
        ServiceText(name, {{"r" + own, "/" + own, {"GET"}}}, "u" + own,
                    *rc::gen::element(1, 2, 3) + (name[0] == 't' ? 2 : 0));
  }
  for (const char* name : {"a", "b", "c"}) {
    if (*rc::gen::inRange(0, 4) == 0) continue;
    const std::string key = *rc::gen::element<std::string>(name, name, "a");
    parts[std::string("organisations/") + name] = OrganisationText(
        name, *rc::gen::element(1, 2),
        {*rc::gen::element<std::string>("*", "*", "rs", "rt")}, key);
  }
  return parts;
}

// Guards against a set that depends on the previous one: reused parts, reused
// tables and skipped checks must not change the result.
TEST_CASE(
    "assembling from a previous set gives the same result as from nothing") {
  int accepted = 0;
  int refused = 0;
  CHECK(HoldsFor("incremental", 400, [&] {
    config_set previous;
    for (std::uint64_t version = 1; version <= 6; ++version) {
      const part_map parts = RandomParts();
      const auto fresh = AssembleParts(parts, version);
      const auto set = AssembleParts(parts, version, &previous);
      RC_ASSERT(set.has_value() == fresh.has_value());
      if (!set) {
        ++refused;
        RC_ASSERT(AllFaults(set.error()) == AllFaults(fresh.error()));
        continue;
      }
      ++accepted;
      RC_ASSERT(*set == *fresh);
      RC_ASSERT(Diff(*set, *fresh).empty());
      for (const char* key : {"a", "b", "c"}) {
        const organisation* found = set->FindByKeyDigest(Sha256Hex(key));
        const organisation* expected = fresh->FindByKeyDigest(Sha256Hex(key));
        RC_ASSERT((found == nullptr) == (expected == nullptr));
        if (found != nullptr) RC_ASSERT(*found == *expected);
        RC_ASSERT((set->FindOrganisation(key) == nullptr) ==
                  (fresh->FindOrganisation(key) == nullptr));
      }
      for (const char* path : {"/s", "/t/1"}) {
        const route* found = set->FindRoute("GET", path);
        const route* expected = fresh->FindRoute("GET", path);
        RC_ASSERT((found == nullptr) == (expected == nullptr));
        if (found != nullptr) RC_ASSERT(*found == *expected);
      }
      previous = *set;
    }
  }));
  // The test proves little unless both outcomes are frequent.
  CHECK(accepted > 200);
  CHECK(refused > 200);
}

// Guards against a change that is not reported to operators and logs, and
// against key digests in logs.
TEST_CASE("Diff lists each difference once") {
  const auto before = AssembleParts(SmallParts());
  part_map parts = SmallParts();
  parts["zones"] = R"({"zones":[{"name":"z","region":"q"},
                                {"name":"y","region":"q"}]})";
  parts["services/s"] = R"({"name":"s","health_path":"/h","routes":[
      {"name":"r","path_prefix":"/q","methods":["GET","PUT"],
       "idempotent":true,"class":"overnight","timeout_ms":1,"open":true},
      {"name":"n","path_prefix":"/n","methods":["GET"]}],
      "upstreams":[{"name":"w","vm":"v","address":"::1","port":2}]})";
  parts["organisations/a"] = OrganisationText("a", 2, {"n"}, "other");
  parts.erase("organisations/b");
  const auto after = AssembleParts(parts);
  REQUIRE(before);
  REQUIRE_MESSAGE(after, AllFaults(after.error()));
  using kind = change_kind;
  const std::vector<change> expected = {
      {kind::kAdded, "zones/y", ""},
      {kind::kChanged, "zones/z", "region r -> q"},
      {kind::kChanged, "services/s", "health_path \"\" -> /h"},
      {kind::kAdded, "services/s/routes/n", ""},
      {kind::kChanged, "services/s/routes/r", "path_prefix /r -> /q"},
      {kind::kChanged, "services/s/routes/r", "methods [GET] -> [GET,PUT]"},
      {kind::kChanged, "services/s/routes/r", "idempotent false -> true"},
      {kind::kChanged, "services/s/routes/r", "class interactive -> overnight"},
      {kind::kChanged, "services/s/routes/r", "timeout_ms 5000 -> 1"},
      {kind::kChanged, "services/s/routes/r", "open false -> true"},
      {kind::kRemoved, "services/s/upstreams/u", ""},
      {kind::kAdded, "services/s/upstreams/w", ""},
      {kind::kChanged, "organisations/a", "rate_per_s 1 -> 2"},
      {kind::kChanged, "organisations/a", "routes [r] -> [n]"},
      {kind::kChanged, "organisations/a/keys/k", "sha256 changed"},
      {kind::kRemoved, "organisations/b", ""},
  };
  const std::vector<change> changes = Diff(*before, *after);
  CHECK(changes.size() == expected.size());
  for (std::size_t i = 0; i < std::min(changes.size(), expected.size()); ++i) {
    CAPTURE(changes[i].subject + ": " + changes[i].detail);
    CHECK(changes[i] == expected[i]);
  }
  CHECK(Diff(*after, *after).empty());
}

}  // namespace
}  // namespace pimentohall::config
