#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

#include "config/json_text.h"
#include "config/syntax.h"
#include "unit/config_files.h"
#include "unit/config_property.h"

namespace pimentohall::config {
namespace {

const std::string kDigest(64, 'a');

std::string Positions(const faults& faults) {
  std::string text;
  for (const fault& fault : faults) {
    text += std::to_string(fault.line) + fault.field + " ";
  }
  return text;
}

std::string Manifest(const std::string& parts) {
  return "{\"format\": 1, \"version\": 2, \"parts\": [" + parts + "]}";
}

std::string Part(const std::string& name, const std::string& digest,
                 const std::string& bytes) {
  return "{\"name\": \"" + name + "\", \"sha256\": \"" + digest +
         "\", \"bytes\": " + bytes + "}";
}

// Guards against a parser that stops at its first fault.
TEST_CASE("every fault of a document is reported with its position") {
  const auto parsed = ParseService(
      "{\"name\": \"-x\",\n"
      " \"routes\": [\n"
      "  {\"name\": 1, \"path_prefix\": \"a\", \"methods\": [],\n"
      "   \"timeout_ms\": 0\n"
      "  }, 7],\n"
      " \"upstreams\": {},\n"
      " \"a/b~\": null}",
      "services/x");
  REQUIRE_FALSE(parsed);
  CHECK(Positions(parsed.error()) ==
        "1/name 3/routes/0/name 3/routes/0/path_prefix 3/routes/0/methods "
        "4/routes/0/timeout_ms 5/routes/1 6/upstreams 7/a~1b~0 ");
}

// Guards against a manifest that lists parts that no daemon can fetch or store.
TEST_CASE("manifests with bad parts are refused") {
  struct row {
    std::string text;
    const char* position;
    const char* phrase;
  };
  const std::string zones = Part("zones", kDigest, "10");
  std::string large;
  for (int i = 0; i < 17; ++i) {
    large += (i == 0 ? "" : ",") +
             Part("services/s" + std::to_string(i), kDigest, "1048576");
  }
  const row rows[] = {
      {Manifest(""), "/parts", "empty list"},
      {Manifest(zones + "," + zones), "/parts/1", "listed twice"},
      {Manifest(Part("zone", kDigest, "1")), "/parts/0/name", "bad part name"},
      {Manifest(Part("services/", kDigest, "1")), "/parts/0/name", "bad part"},
      {Manifest(Part("services/../x", kDigest, "1")), "/parts/0/name", "bad"},
      {Manifest(Part("services/" + std::string(129, 'n'), kDigest, "1")),
       "/parts/0/name", "bad part name"},
      {Manifest(Part("zones", "A" + kDigest.substr(1), "1")), "/parts/0/sha256",
       "bad SHA-256"},
      {Manifest(Part("zones", kDigest, "1048577")), "/parts/0/bytes",
       "out of range"},
      {Manifest(Part("zones", kDigest, "-1")), "/parts/0/bytes", "out of"},
      {Manifest(large), "/parts", "more than the limit of 16777216"},
      {"{\"format\": 1, \"version\": 18446744073709551615, \"parts\": [" +
           zones + "]}",
       "/version", "not an integer in range"},
      {"{\"format\": 2, \"version\": 1, \"parts\": [" + zones + "]}", "/format",
       "out of range"},
  };
  for (const row& row : rows) {
    const auto parsed = ParseManifest(row.text);
    REQUIRE_FALSE(parsed);
    CAPTURE(AllFaults(parsed.error()));
    CHECK(parsed.error().size() == 1);
    CHECK(parsed.error()[0].field == row.position);
    CHECK(parsed.error()[0].problem.find(row.phrase) != std::string::npos);
  }
  CHECK(ParseManifest(Manifest(zones)));
}

// Guards against unbounded work or memory on hostile documents.
TEST_CASE("documents over a limit are refused") {
  const std::string deep(200000, '[');
  std::string many = "[";
  for (std::size_t i = 0; i < kMaxValues; ++i) many += "0,";
  many += "0]";
  std::string unknown = "{";
  for (int i = 0; i < 3000; ++i) unknown += "\"f" + std::to_string(i) + "\":0,";
  unknown += "\"zones\":[]}";
  struct row {
    std::string text;
    const char* phrase;
  };
  const row rows[] = {
      {std::string(kMaxValueBytes + 1, ' '), "more than the limit of 1048576"},
      {deep, "nested deeper than 16 levels"},
      {"{\"zones\":" + deep, "nested deeper than 16 levels"},
      {many, "more than 65536 values"},
      {unknown, "further faults are not listed"},
  };
  for (const row& row : rows) {
    const auto parsed = ParseZones(row.text, "zones");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().size() <= kMaxFaults);
    CHECK(parsed.error().back().problem.find(row.phrase) != std::string::npos);
  }
  CHECK_FALSE(ParseManifest(std::string(kMaxManifestBytes + 1, ' ')));
}

// Guards against names, paths, methods and addresses that are unsafe in paths
// and logs or that no daemon can dial.
TEST_CASE("text rules accept and refuse texts as documented") {
  struct row {
    const text_rule* rule;
    std::vector<std::string> valid;
    std::vector<std::string> invalid;
  };
  const row rows[] = {
      {&kNameRule,
       {"a", "A9", "ledger-a", "a.b_c", std::string(128, 'x')},
       {"", "-a", ".", "..", "a/b", "a b", "\xc3\xa9", "a\n",
        std::string(129, 'x')}},
      {&kPathPrefixRule,
       {"/", "/a", "/a/b.c", "/a..b", "/~u/@x:1"},
       {"", "a", "/a/", "//", "/a//b", "/.", "/a/..", "/a?b", "/a#b", "/%61",
        "/a b", "/\\", "/" + std::string(1024, 'a')}},
      {&kMethodRule,
       {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"},
       {"", "get", "CONNECT", "GET ", "BREW"}},
      {&kAddressRule,
       {"127.0.0.1", "10.255.0.3", "::1", "2001:db8::7"},
       {"", "localhost", "10.0.0", "10.0.0.256", "0.0.0.0", "::", "1.2.3.4:80",
        "[::1]", std::string("10.0.0.1\0x", 10)}},
      {&kRequestPathRule,
       {"/health", "/load?x=1", "/a%20b"},
       {"", "health", "/a b", "/a\r\n", "/\xff"}},
      {&kDigestRule,
       {kDigest, Sha256Hex("")},
       {"", kDigest + "a", kDigest.substr(1), std::string(64, 'g'),
        std::string(64, 'A')}},
  };
  for (const row& row : rows) {
    for (const std::string& text : row.valid) {
      CHECK_MESSAGE(row.rule->accepts(text),
                    row.rule->text_kind << " " << text);
    }
    for (const std::string& text : row.invalid) {
      CHECK_MESSAGE(!row.rule->accepts(text),
                    row.rule->text_kind << " " << text);
    }
  }
}

// Guards against defaults that differ from docs/configuration.md.
TEST_CASE("optional fields have their documented defaults") {
  const auto service = ParseService(
      R"({"name":"s","routes":[{"name":"r","path_prefix":"/","methods":["GET"]}],
          "upstreams":[{"name":"u","vm":"v","address":"::1","port":1}]})",
      "services/s");
  REQUIRE(service);
  const route expected = {
      "r", "s", "/", {"GET"}, false, route_class::kInteractive, 5000, false};
  CHECK(service->routes[0] == expected);
  CHECK(service->upstreams[0] == upstream{"u", "s", "v", "::1", 1, 100});
  CHECK(service->health_path.empty());
  const auto vms = ParseVmList(
      R"({"format":1,"version":3,"vms":[
          {"name":"b","zone":"z","address":"::1","http_port":1,"link_port":2},
          {"name":"a","zone":"z","address":"::1","http_port":3,"link_port":4}
          ]})");
  REQUIRE(vms);
  CHECK(vms->vms[0].name == "a");  // Sorted.
  CHECK(vms->Find("b")->state == vm_state::kLive);
  CHECK(vms->Find("c") == nullptr);
}

// Guards against control characters from a document in a terminal or log.
TEST_CASE("a fault is printed on one line") {
  const auto parsed =
      ParseZones("{\"zo\\u001b\\nnes\": [], \"zones\": 1}", "z");
  REQUIRE_FALSE(parsed);
  CHECK(parsed.error()[0].ToString() ==
        "z:1: /zones: wrong type: an integer; use an array");
  CHECK(parsed.error()[1].ToString() ==
        "z:1: /zo??nes: unknown field \"zo??nes\"; remove it or correct its "
        "name; fields here are zones");
}

// Guards against logging a key that an operator published in place of its
// digest.
TEST_CASE("faults do not quote a text given in the place of a digest") {
  const std::string other_fields =
      R"("contract":{"rate_per_s":1,"burst":1,"max_concurrent":1,
         "routes":["*"]},"keys":[{"id":"k","sha256":)";
  for (const char* value :
       {"\"SeCrEt\"}]}", "\"SeCrEt", "\"SeCrEt\\x\"}]}", "SeCrEt}]}"}) {
    const auto parsed =
        ParseOrganisation("{\"name\":\"o\"," + other_fields + value, "o");
    REQUIRE_FALSE(parsed);
    CAPTURE(AllFaults(parsed.error()));
    CHECK(AllFaults(parsed.error()).find("SeC") == std::string::npos);
  }
}

// Random white space or a comment.
std::string Blank() {
  return *rc::gen::element<std::string>("", " ", "\n", "\r\n", "// c\n",
                                        "/* \n */", "\n\n");
}

// Guards against wrong line numbers after comments and line ends, and after
// numbers, where the lexer reads one character too far. The oracle counts the
// line ends before a marked value.
TEST_CASE("lines of values match a count of the line ends before them") {
  CHECK(HoldsFor("lines", 300, [] {
    const int size = *rc::gen::inRange(1, 8);
    const int marked = *rc::gen::inRange(0, size);
    std::string text = Blank() + "{" + Blank() + "\"a\"" + Blank() + ":[";
    int line = 0;
    for (int i = 0; i < size; ++i) {
      if (i > 0) text += Blank() + ",";
      text += Blank();
      if (i == marked) {
        line = 1 + static_cast<int>(std::count(text.begin(), text.end(), '\n'));
      }
      text += *rc::gen::element<std::string>("1", "-2.5", "\"s\"", "true",
                                             "null", "[]", "{}");
    }
    text += Blank() + "]" + Blank() + "}" + Blank();
    const auto root = ParseJsonText(text);
    RC_ASSERT(root.has_value());
    const json_value* value = FindValue(*root, "/a/" + std::to_string(marked));
    RC_ASSERT(value != nullptr);
    RC_ASSERT(value->line == line);
  }));
}

// Guards against a crash, a hang or an exception on untrusted bytes, and
// against accepting a truncated document.
TEST_CASE("truncated and mutated documents are answered with a value") {
  const test_folder folder =
      ReadTestFolder(std::string(PIMENTOHALL_ROOT) + "/examples/tsurumaki");
  const std::string manifest = BuildManifest(1, folder.parts);
  const std::string service = folder.parts.at("services/counter");
  const std::string organisation = folder.parts.at("organisations/yamaga");
  struct row {
    std::string text;
    std::function<bool(const std::string&)> is_accepted;
  };
  const row rows[] = {
      {manifest, [](const std::string& s) { return !!ParseManifest(s); }},
      {folder.vms, [](const std::string& s) { return !!ParseVmList(s); }},
      {folder.parts.at("zones"),
       [](const std::string& s) { return !!ParseZones(s, "z"); }},
      {service, [](const std::string& s) { return !!ParseService(s, "s"); }},
      {organisation,
       [](const std::string& s) { return !!ParseOrganisation(s, "o"); }},
  };
  for (const row& row : rows) {
    CHECK(row.is_accepted(row.text));
    const std::size_t end = row.text.rfind('}');
    for (std::size_t size = 0; size <= end; ++size) {
      if (row.is_accepted(row.text.substr(0, size))) FAIL("accepted " << size);
    }
    CHECK(HoldsFor("mutated", 300, [&row] {
      std::string text = row.text;
      const int edits = *rc::gen::inRange(1, 20);
      for (int i = 0; i < edits; ++i) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text[position] = *rc::gen::arbitrary<char>();
      }
      row.is_accepted(text);
    }));
  }
}

// Guards against a manifest that differs from the parts it was built from.
TEST_CASE("a built manifest parses to its parts") {
  CHECK(HoldsFor("round trip", 200, [] {
    const auto version = *rc::gen::inRange<std::uint64_t>(1, 1ULL << 62);
    const auto texts = *rc::gen::nonEmpty<std::vector<std::string>>();
    std::map<std::string, std::string> parts;
    for (const std::string& text : texts) {
      const char* folder = *rc::gen::element("services/", "organisations/");
      parts[folder + Sha256Hex(text).substr(0, 6)] = text;
    }
    const std::string bytes = BuildManifest(version, parts);
    const auto parsed = ParseManifest(bytes);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->version == version);
    RC_ASSERT(parsed->digest == Sha256Hex(bytes));
    std::vector<part_ref> expected;
    expected.reserve(parts.size());
    for (const auto& [name, text] : parts) {
      expected.push_back({name, Sha256Hex(text), text.size()});
    }
    RC_ASSERT(parsed->parts == expected);
  }));
}

// Guards against publishing an operator's file under a wrong part name.
TEST_CASE("PartNameOfFile maps paths to part names") {
  CHECK(PartNameOfFile("zones.json") == "zones");
  CHECK(PartNameOfFile("services/ledger.json") == "services/ledger");
  for (const char* bad :
       {"", ".json", "zones", "vms.json", "services/.json", "services/a/b.json",
        "../zones.json", "gateways/a.json", "services/a.jsonc"}) {
    CHECK_MESSAGE(!PartNameOfFile(bad), bad);
  }
}

}  // namespace
}  // namespace pimentohall::config
