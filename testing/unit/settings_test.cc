#include <doctest/doctest.h>

#include <algorithm>

#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

constexpr char kMinimal[] = R"({
  // Comments are allowed.
  "vm": "vm-a1", "zone": "kumamoto-a",
  "http": {"port": 7001}, "link": {"port": 7101}, "admin": {"port": 7201},
  "source": {"addresses": [{"address": "127.0.0.1", "port": 8500}]}
})";

// Guards against defaults that differ from docs/settings.md.
TEST_CASE("absent fields have their defaults") {
  const auto settings = ParseSettings(kMinimal, "daemon.json");
  REQUIRE(settings);
  CHECK(settings->vm == "vm-a1");
  CHECK(settings->zone == "kumamoto-a");
  CHECK(settings->http == endpoint{"127.0.0.1", 7001});
  CHECK(settings->link == endpoint{"127.0.0.1", 7101});
  CHECK(settings->admin == endpoint{"127.0.0.1", 7201});
  CHECK(settings->source ==
        source_settings{{{"127.0.0.1", 8500}}, "pimentohall"});
  CHECK(settings->bootstrap_peers.empty());
  CHECK_FALSE(settings->http_tls.IsSet());
  CHECK_FALSE(settings->link_tls.IsSet());
  CHECK(settings->level == core::log_level::kInfo);
  CHECK(settings->limits == limit_settings{});
}

// Guards against a field that is parsed but not stored.
TEST_CASE("every field is parsed and stored") {
  const auto settings = ParseSettings(R"({
    "vm": "v", "zone": "z",
    "http": {"address": "127.0.0.2", "port": 1},
    "link": {"address": "::1", "port": 2},
    "admin": {"address": "127.0.0.3", "port": 0},
    "source": {"addresses": [{"address": "127.0.0.4", "port": 3},
                             {"address": "127.0.0.5", "port": 4}],
               "prefix": "mesh/prod"},
    "bootstrap_peers": [{"vm": "w", "address": "127.0.0.6", "port": 5}],
    "tls": {"http": {"certificate": "a", "key": "b"},
            "link": {"certificate": "c", "key": "d", "ca": "e"}},
    "log": {"level": "error"},
    "limits": {"body_bytes": 10, "header_bytes": 1024, "calls_in_flight": 1,
               "links": 2, "idle_connection_ms": 100}
  })",
                                      "daemon.json");
  REQUIRE(settings);
  CHECK(settings->http == endpoint{"127.0.0.2", 1});
  CHECK(settings->link == endpoint{"::1", 2});
  CHECK(settings->admin == endpoint{"127.0.0.3", 0});
  CHECK(settings->source ==
        source_settings{{{"127.0.0.4", 3}, {"127.0.0.5", 4}}, "mesh/prod"});
  REQUIRE(settings->bootstrap_peers.size() == 1);
  CHECK(settings->bootstrap_peers[0].vm == "w");
  CHECK(settings->bootstrap_peers[0].address == "127.0.0.6");
  CHECK(settings->bootstrap_peers[0].port == 5);
  CHECK(settings->http_tls == tls_files{"a", "b", ""});
  CHECK(settings->link_tls == tls_files{"c", "d", "e"});
  CHECK(settings->level == core::log_level::kError);
  CHECK(settings->limits == limit_settings{10, 1024, 1, 2, 100});
}

// Guards against a parser that stops at the first fault or reports no line.
TEST_CASE("all faults are reported at once with their lines") {
  const auto settings = ParseSettings(
      "{\n\"vm\": \"\",\n\"zone\": 7,\n\"http\": {\"port\": 70000},\n"
      "\"link\": {},\n\"admin\": [],\n\"source\": {\"addresses\": [\n"
      "{\"address\": \"localhost\", \"port\": 0}], \"prefix\": \"/x\"},\n"
      "\"limits\": {\"links\": 257},\n\"lgo\": {}\n}",
      "d.json");
  REQUIRE_FALSE(settings);
  std::vector<std::pair<int, std::string>> reported;
  for (const config::fault& fault : settings.error()) {
    CHECK(fault.document == "d.json");
    CHECK_FALSE(fault.problem.empty());
    CHECK_FALSE(fault.fix.empty());
    reported.emplace_back(fault.line, fault.field);
  }
  std::sort(reported.begin(), reported.end());
  const std::vector<std::pair<int, std::string>> expected = {
      {2, "/vm"},
      {3, "/zone"},
      {3, "/zone"},
      {4, "/http/port"},
      {5, "/link"},
      {6, "/admin"},
      {8, "/source/addresses/0/address"},
      {8, "/source/addresses/0/port"},
      {8, "/source/prefix"},
      {9, "/limits/links"},
      {10, "/lgo"}};
  CHECK(reported == expected);
}

// Guards against a fault that is accepted when it is the only one.
TEST_CASE("single faults are reported") {
  struct single_fault {
    const char* original;
    const char* replacement;
    const char* field;
  };
  const single_fault single_faults[] = {
      {"\"vm-a1\"", "\"vm a1\"", "/vm"},
      {"\"vm\": \"vm-a1\",", "", ""},
      {"\"vm\": \"vm-a1\"", "\"vm\": \"vm-a1\", \"vm\": \"b\"", "/vm"},
      {"7001", "7001.5", "/http/port"},
      {"7001", "-1", "/http/port"},
      {"7001", "18446744073709551615", "/http/port"},
      {"\"port\": 7001", "\"port\": 7001, \"address\": \"127.0.0.1:80\"",
       "/http/address"},
      {"[{\"address\": \"127.0.0.1\", \"port\": 8500}]", "[]",
       "/source/addresses"},
      {"[{\"address\": \"127.0.0.1\", \"port\": 8500}]", "[3]",
       "/source/addresses/0"},
      {"// Comments", "\"tls\": {\"http\": {\"key\": \"b\"}}, //", "/tls/http"},
      {"// Comments",
       "\"tls\": {\"link\": {\"certificate\": \"a\", \"key\": \"b\"}}, //",
       "/tls/link"},
      {"// Comments", "\"log\": {\"level\": \"debug\"}, //", "/log/level"},
      {"// Comments", "\"limits\": {\"body_bytes\": 1048577}, //",
       "/limits/body_bytes"},
      {"// Comments", "\"bootstrap_peers\": {}, //", "/bootstrap_peers"},
  };
  for (const single_fault& test_case : single_faults) {
    CAPTURE(test_case.replacement);
    std::string text = kMinimal;
    text.replace(text.find(test_case.original),
                 std::string(test_case.original).size(), test_case.replacement);
    const auto settings = ParseSettings(text, "d");
    REQUIRE_FALSE(settings);
    CHECK(settings.error()[0].field == test_case.field);
  }
  for (const char* malformed : {"", "{", "[]", "null", "{\"vm\":}", "\xff"}) {
    CAPTURE(malformed);
    CHECK_FALSE(ParseSettings(malformed, "d"));
  }
  CHECK_FALSE(LoadSettings("/nonexistent/settings.json"));
}

}  // namespace
}  // namespace pimentohall::net
