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

// Guards against calls that run without a key, or for an organisation other
// than the key's.
TEST_CASE("admission takes the organisation from the key alone") {
  const config::config_set set = MakeSet(1, "ka");
  struct admission_case {
    const char* key;  // Empty: the call has none.
    const char* path;
    reason why;
    const char* organisation;  // Empty: none.
  };
  const admission_case cases[] = {
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
  for (const admission_case& row : cases) {
    CAPTURE(row.key);
    CAPTURE(row.path);
    const std::string key = row.key;
    const admission_result result = CheckAdmission(
        set, "GET", row.path, key.empty() ? "" : config::Sha256Hex(key));
    CHECK(result.why == row.why);
    const std::string organisation =
        result.organisation == nullptr ? "" : result.organisation->name;
    CHECK(organisation == row.organisation);
  }
}

// Guards against a key that still works after a newer set has removed it.
TEST_CASE("admission refuses a key once the set that listed it is replaced") {
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
