#include "core/admission.h"

#include <doctest/doctest.h>

#include <string>

#include "unit/config_files.h"

namespace pimentohall::core {
namespace {

std::string OrganisationPart(const std::string& name, const std::string& routes,
                             const std::string& key) {
  return R"({"name":")" + name +
         R"(","contract":{"rate_per_s":1,"burst":1,"max_concurrent":1,)" +
         R"("routes":[)" + routes + R"(]},"keys":[{"id":"k","sha256":")" +
         config::Sha256Hex(key) + R"("}]})";
}

// Organisation `a` may use the route `own`, organisation `b` every route.
config::config_set MakeSet(std::uint64_t version, const std::string& key_of_a) {
  const auto set = config::AssembleParts(
      {{"zones", R"({"zones":[{"name":"z","region":"r","state":"in"}]})"},
       {"services/s",
        R"({"name":"s","routes":[)"
        R"({"name":"own","path_prefix":"/own","methods":["GET"]},)"
        R"({"name":"other","path_prefix":"/other","methods":["GET"]},)"
        R"({"name":"free","path_prefix":"/free","methods":["GET"],)"
        R"("open":true}],"upstreams":[{"name":"u","vm":"v",)"
        R"("address":"10.0.0.1","port":1}]})"},
       {"organisations/a", OrganisationPart("a", R"("own")", key_of_a)},
       {"organisations/b", OrganisationPart("b", R"("*")", "kb")}},
      version);
  if (!set) FAIL(config::AllFaults(set.error()));
  return *set;
}

// Guards against a call that runs without a key, or for an organisation whose
// key did not come with it.
TEST_CASE("admission takes the organisation from the key alone") {
  const config::config_set set = MakeSet(1, "ka");
  struct row {
    const char* key;  // Empty: the call has none.
    const char* path;
    reason why;
    const char* organisation;  // Empty: none.
  };
  const row rows[] = {
      {"ka", "/own", reason::kNone, "a"},
      {"kb", "/own?x=1", reason::kNone, "b"},
      {"kb", "/other", reason::kNone, "b"},
      {"ka", "/other", reason::kRouteNotAllowed, "a"},
      {"ka", "/absent", reason::kNoRoute, "a"},
      {"", "/own", reason::kNoKey, ""},
      {"unknown", "/own", reason::kNoKey, ""},
      {"unknown", "/absent", reason::kNoKey, ""},
      {"", "/free", reason::kNone, ""},
      {"unknown", "/free", reason::kNone, ""},
      {"ka", "/free", reason::kNone, "a"},
  };
  for (const row& each : rows) {
    CAPTURE(each.key);
    CAPTURE(each.path);
    const std::string key = each.key;
    const admission_result result = CheckAdmission(
        set, "GET", each.path, key.empty() ? "" : config::Sha256Hex(key));
    CHECK(result.why == each.why);
    const std::string organisation =
        result.organisation == nullptr ? "" : result.organisation->name;
    CHECK(organisation == each.organisation);
  }
}

// Guards against a key that still works after a newer set has dropped it.
TEST_CASE("admission forgets a key with the set that listed it") {
  const std::string old_key = config::Sha256Hex("ka");
  const config::config_set before = MakeSet(1, "ka");
  CHECK(CheckAdmission(before, "GET", "/own", old_key).why == reason::kNone);
  const config::config_set after = MakeSet(2, "kc");
  CHECK(CheckAdmission(after, "GET", "/own", old_key).why == reason::kNoKey);
  CHECK(CheckAdmission(after, "GET", "/own", config::Sha256Hex("kc")).why ==
        reason::kNone);
}

}  // namespace
}  // namespace pimentohall::core
