#include <doctest/doctest.h>

#include "net_harness.h"

namespace pimentohall::net {
namespace {

struct source_fixture {
  source_fixture() : first(net), second(net) {
    settings.addresses = {{"127.0.0.1", first.port},
                          {"127.0.0.1", second.port}};
    settings.prefix = "mesh/prod";
  }
  void Connect() {
    client = std::make_unique<source_client>(net.loop, net.timers, settings);
    client->on_value = [this](const core::source_value& v) {
      values.push_back(v);
    };
    client->on_failed = [this](const core::source_failed& f) {
      failed.push_back(f);
    };
  }
  void Answer(raw_server* server, const std::string& bytes) {
    server->on_read = [this, server, bytes](raw_stream* stream) {
      if (!HasWholeHead(*stream)) return;
      requests.emplace_back(server, stream->received);
      stream->received.clear();
      stream->Write(bytes);
    };
  }
  bool Read(const core::read_source& action) {
    const std::size_t before = values.size() + failed.size();
    client->Read(action);
    return net.RunUntil(
        [&] { return values.size() + failed.size() == before + 1; });
  }

  net_harness net;
  raw_server first;
  raw_server second;
  source_settings settings;
  std::unique_ptr<source_client> client;
  std::vector<core::source_value> values;
  std::vector<core::source_failed> failed;
  std::vector<std::pair<raw_server*, std::string>> requests;
};

core::read_source MakeRead(core::source_key key, std::uint64_t index = 0) {
  core::read_source action;
  action.key = key;
  action.index = index;
  action.wait = std::chrono::seconds(30);
  if (key == core::source_key::kPart) action.digest = "abc";
  return action;
}

// Guards against a wrong key, index or wait in the request.
TEST_CASE("reads of each key") {
  const std::pair<core::read_source, const char*> test_cases[] = {
      {MakeRead(core::source_key::kManifest),
       "GET /v1/kv/mesh/prod/manifest?raw HTTP/1.1\r\n"},
      {MakeRead(core::source_key::kVmList, 41),
       "GET /v1/kv/mesh/prod/vms?raw&index=41&wait=30s HTTP/1.1\r\n"},
      {MakeRead(core::source_key::kPart),
       "GET /v1/kv/mesh/prod/parts/abc?raw HTTP/1.1\r\n"},
  };
  for (const auto& entry : test_cases) {
    const auto& action = entry.first;
    const auto& line = entry.second;
    CAPTURE(line);
    source_fixture f;
    f.Answer(&f.first,
             "HTTP/1.1 200 OK\r\nX-Consul-Index: 42\r\n"
             "Content-Length: 5\r\n\r\nvalue");
    f.Connect();
    REQUIRE(f.Read(action));
    REQUIRE(f.values.size() == 1);
    CHECK(f.values[0].key == action.key);
    CHECK(f.values[0].digest == action.digest);
    CHECK(f.values[0].index == 42);
    CHECK(f.values[0].value == "value");
    REQUIRE(f.requests.size() == 1);
    CHECK(f.requests[0].second.rfind(line, 0) == 0);
  }
}

// Guards against error answers that are reported as values, and absent keys
// that are reported as failures.
TEST_CASE("answers of the source") {
  enum class result_kind { kValue, kAbsent, kFailure };
  const std::string index = "X-Consul-Index: 3\r\n";
  const std::pair<std::string, result_kind> test_cases[] = {
      {"HTTP/1.1 200 OK\r\n" + index + "Content-Length: 0\r\n\r\n",
       result_kind::kValue},
      {"HTTP/1.1 200 OK\r\n" + index + "Content-Length: 1048576\r\n\r\n" +
           std::string(1048576, 'v'),
       result_kind::kValue},
      {"HTTP/1.1 200 OK\r\n" + index + "Content-Length: 1048577\r\n\r\n" +
           std::string(1048577, 'v'),
       result_kind::kFailure},
      {"HTTP/1.1 404 No\r\n" + index + "Content-Length: 0\r\n\r\n",
       result_kind::kAbsent},
      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", result_kind::kFailure},
      {"HTTP/1.1 200 OK\r\nX-Consul-Index: -3\r\nContent-Length: 0\r\n\r\n",
       result_kind::kFailure},
      {"HTTP/1.1 500 No\r\n" + index + "Content-Length: 0\r\n\r\n",
       result_kind::kFailure},
      {"HTTP/1.1 302 No\r\n" + index +
           "Location: /x\r\nContent-Length: 0\r\n\r\n",
       result_kind::kFailure},
      {"nonsense\r\n\r\n", result_kind::kFailure},
  };
  for (const auto& entry : test_cases) {
    const auto& bytes = entry.first;
    const auto& expected = entry.second;
    CAPTURE(bytes.substr(0, 80));
    source_fixture f;
    f.Answer(&f.first, bytes);
    f.Connect();
    REQUIRE(f.Read(MakeRead(core::source_key::kManifest)));
    CHECK(f.failed.empty() == (expected != result_kind::kFailure));
    if (expected == result_kind::kFailure) continue;
    CHECK(f.values[0].value.has_value() == (expected == result_kind::kValue));
  }
}

// Guards against reading again from an address that failed, and against reads
// that the engine didn't request.
TEST_CASE("a failed address is followed by the next") {
  source_fixture f;
  const std::string ok =
      "HTTP/1.1 200 OK\r\nX-Consul-Index: 1\r\nContent-Length: 0\r\n\r\n";
  f.first.StopListening();
  f.Answer(&f.second, ok);
  f.Connect();
  REQUIRE(f.Read(MakeRead(core::source_key::kManifest)));
  REQUIRE(f.failed.size() == 1);
  CHECK(f.failed[0].key == core::source_key::kManifest);
  f.net.RunReady();
  CHECK(f.requests.empty());
  REQUIRE(f.Read(MakeRead(core::source_key::kManifest)));
  REQUIRE(f.Read(MakeRead(core::source_key::kManifest)));
  CHECK(f.values.size() == 2);
  REQUIRE(f.requests.size() == 2);
  CHECK(f.requests[0].first == &f.second);
}

// Guards against a read that never ends when no source is configured.
TEST_CASE("without an address every read fails") {
  source_fixture f;
  f.settings.addresses.clear();
  f.Connect();
  REQUIRE(f.Read(MakeRead(core::source_key::kPart)));
  CHECK(f.failed[0].digest == "abc");
}

}  // namespace
}  // namespace pimentohall::net
