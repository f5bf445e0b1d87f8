#include <doctest/doctest.h>

#include "net_harness.h"

namespace pimentohall::net {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct client_fixture {
  client_fixture() : server(net), client(net.loop, net.timers) {
    client.on_answered = [this](const core::upstream_answered& a,
                                http_answer body) {
      answered.push_back(a);
      bodies.push_back(std::move(body));
    };
    client.on_failed = [this](const core::upstream_failed& f) {
      failed.push_back(f);
    };
    client.on_report = [this](const core::upstream_report& r) {
      reports.push_back(r);
    };
  }

  core::start_upstream_call Action(core::attempt_id attempt) const {
    core::start_upstream_call action;
    action.vm = "ingress";
    action.attempt = attempt;
    action.upstream.address = "127.0.0.1";
    action.upstream.port = server.port;
    action.info.method = "GET";
    action.info.path = "/p?q";
    action.info.organisation = "yamaga";
    action.info.depth = 2;
    action.info.remaining = std::chrono::seconds(10);
    return action;
  }
  void Start(core::attempt_id attempt) { client.Start(Action(attempt), {}); }
  // Answers each request on its connection with `bytes`.
  void AnswerWith(const std::string& bytes) {
    server.on_read = [this, bytes](raw_stream* stream) {
      if (!HasWholeHead(*stream)) return;
      requests.push_back(std::exchange(stream->received, ""));
      stream->Write(bytes);
    };
  }
  bool RunToEnd(std::size_t ends = 1) {
    return net.RunUntil(
        [this, ends] { return answered.size() + failed.size() == ends; });
  }

  net_harness net;
  raw_server server;
  upstream_client client;
  std::vector<std::string> requests;
  std::vector<core::upstream_answered> answered;
  std::vector<http_answer> bodies;
  std::vector<core::upstream_failed> failed;
  std::vector<core::upstream_report> reports;
};

// Guards against headers that don't reach the upstream, and against incomplete
// answers.
TEST_CASE("an upstream call and its answer") {
  client_fixture f;
  f.AnswerWith(
      "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-A: b\r\n"
      "X-Pimentohall-Not-Run: true\r\nX-Upstream-Draining: true\r\n\r\nok");
  core::start_upstream_call action = f.Action(7);
  action.info.method = "POST";
  action.info.retry = true;
  f.client.Start(action,
                 {{{"Host", "h"}, {"Accept", "*/*"}}, ShareBytes("body")});
  REQUIRE(f.RunToEnd());
  REQUIRE(f.answered.size() == 1);
  CHECK(f.answered[0].vm == "ingress");
  CHECK(f.answered[0].attempt == 7);
  CHECK(f.answered[0].http_status == 201);
  CHECK_FALSE(f.answered[0].shed);
  CHECK(f.answered[0].draining);
  CHECK(*f.bodies[0].body == "ok");
  CHECK(FindHeader(f.bodies[0].headers, "x-a") == "b");
  // An upstream can't claim that the call did not run.
  CHECK(FindHeader(f.bodies[0].headers, "X-Pimentohall-Not-Run").empty());
  const std::string& sent = f.requests[0];
  CHECK(sent.rfind("POST /p?q HTTP/1.1\r\n", 0) == 0);
  for (const char* part :
       {"Host: h\r\n", "Accept: */*\r\n", "Content-Length: 4\r\n",
        "X-Pimentohall-Deadline-Ms: 10000\r\n",
        "X-Pimentohall-Class: interactive\r\n", "X-Pimentohall-Depth: 3\r\n",
        "X-Pimentohall-Retry: true\r\n",
        "X-Pimentohall-Organisation: yamaga\r\n", "\r\n\r\nbody"}) {
    CAPTURE(part);
    CHECK(sent.find(part) != std::string::npos);
  }
}

// Guards against misjudging whether an answer reports overload.
TEST_CASE("shed answers") {
  const std::pair<const char*, bool> test_cases[] = {
      {"HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", true},
      {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false},
      {"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", true},
      {"HTTP/1.1 200 OK\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", false},
  };
  for (const auto& entry : test_cases) {
    const auto& bytes = entry.first;
    const auto& shed = entry.second;
    CAPTURE(bytes);
    client_fixture f;
    f.AnswerWith(bytes);
    f.Start(1);
    REQUIRE(f.RunToEnd());
    REQUIRE(f.answered.size() == 1);
    CHECK(f.answered[0].shed == shed);
  }
}

// Guards against reporting "not sent" for a call that the upstream may have
// run, and the reverse. In the case "reset" the kernel has accepted the
// request, so the upstream may have read it.
TEST_CASE("failures") {
  using core::upstream_failure;
  {
    client_fixture f;
    f.server.StopListening();
    f.Start(1);
    REQUIRE(f.RunToEnd());
    REQUIRE(f.failed.size() == 1);
    CHECK(f.failed[0].failure == upstream_failure::kNotSent);
  }
  {
    client_fixture f;
    core::start_upstream_call action = f.Action(1);
    action.upstream.address = "upstream.example";
    f.client.Start(action, {});
    REQUIRE(f.RunToEnd());
    REQUIRE(f.failed.size() == 1);
    CHECK(f.failed[0].failure == upstream_failure::kNotSent);
  }
  struct failure_case {
    const char* name;
    std::function<void(raw_stream*)> on_request;
    upstream_failure failure;
  };
  const failure_case test_cases[] = {
      {"close", [](raw_stream* s) { s->Close(); }, upstream_failure::kLost},
      {"reset", [](raw_stream* s) { s->Reset(); }, upstream_failure::kLost},
      {"close in the head",
       [](raw_stream* s) {
         s->Write("HTTP/1.1 200 OK\r\nContent-");
         s->on_read = nullptr;
         s->CloseAfterWrite();
       },
       upstream_failure::kLost},
      {"close in the body",
       [](raw_stream* s) {
         s->Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
         s->CloseAfterWrite();
       },
       upstream_failure::kLost},
      {"not HTTP",
       [](raw_stream* s) {
         s->Write("SSH-2.0-x\r\n\r\n");
         s->CloseAfterWrite();
       },
       upstream_failure::kLost},
      {"two lengths",
       [](raw_stream* s) {
         s->Write(
             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2"
             "\r\n\r\nab");
       },
       upstream_failure::kLost},
      {"length and coding",
       [](raw_stream* s) {
         s->Write(
             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
       },
       upstream_failure::kLost},
      {"interim answer other than 100",
       [](raw_stream* s) {
         s->Write(std::string("HTTP/1.1 103 Early Hints\r\n\r\n") + kOk);
       },
       upstream_failure::kLost},
      {"body over the limit",
       [](raw_stream* s) {
         s->Write("HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" +
                  std::string(1048577, 'b'));
       },
       upstream_failure::kLost},
      {"silence", [](raw_stream*) {}, upstream_failure::kTimeout},
  };
  for (const failure_case& r : test_cases) {
    CAPTURE(r.name);
    client_fixture f;
    int heads = 0;
    f.server.on_read = [&](raw_stream* stream) {
      if (!HasWholeHead(*stream)) return;
      ++heads;
      r.on_request(stream);
    };
    core::start_upstream_call action = f.Action(1);
    if (r.failure == upstream_failure::kTimeout) {
      action.info.remaining = std::chrono::milliseconds(50);
    }
    f.client.Start(action, {});
    REQUIRE(f.RunToEnd());
    REQUIRE(f.failed.size() == 1);
    CHECK(f.failed[0].failure == r.failure);
    // The client doesn't retry on its own.
    f.net.RunReady();
    CHECK(heads == 1);
    CHECK(f.failed.size() == 1);
  }
}

// Guards against a new connection for each call, and against more than one
// call on a connection at a time.
TEST_CASE("connections are reused, one call at a time") {
  client_fixture f;
  f.AnswerWith(kOk);
  for (core::attempt_id attempt = 1; attempt <= 3; ++attempt) {
    f.Start(attempt);
    REQUIRE(f.RunToEnd(attempt));
  }
  CHECK(f.server.streams.size() == 1);
  f.Start(4);
  f.Start(5);
  REQUIRE(f.RunToEnd(5));
  CHECK(f.server.streams.size() == 2);
  CHECK(f.answered.size() == 5);
}

// Guards against a call that is lost because its pooled connection was closed
// meanwhile. The close must be noticed before a byte is written, and a new
// connection opened.
TEST_CASE("a pooled connection that was closed is not used") {
  client_fixture f;
  f.AnswerWith(kOk);
  f.Start(1);
  REQUIRE(f.RunToEnd(1));
  f.server.streams[0]->Close();
  // The client's event loop has not run since, so only the check before reuse
  // can notice the close.
  f.Start(2);
  REQUIRE(f.RunToEnd(2));
  CHECK(f.answered.size() == 2);
  CHECK(f.requests.size() == 2);
  CHECK(f.server.streams.size() == 2);
}

// Guards against an answer that is delivered to another call: bytes behind an
// answer must not be parsed as the next one.
TEST_CASE("bytes behind an answer end the connection") {
  client_fixture f;
  f.AnswerWith(std::string(kOk) +
               "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
  for (core::attempt_id attempt = 1; attempt <= 3; ++attempt) {
    f.Start(attempt);
    REQUIRE(f.RunToEnd(attempt));
  }
  REQUIRE(f.answered.size() == 3);
  for (const http_answer& answer : f.bodies) CHECK(*answer.body == "ok");
  CHECK(f.server.streams.size() == 3);
}

// Guards against a cancelled call whose upstream isn't notified, and against a
// slot that is never freed because the end of its call isn't reported. The end
// must be reported exactly once.
TEST_CASE("cancellation closes the connection and reports the end") {
  client_fixture f;
  bool received = false;
  f.server.on_read = [&](raw_stream*) { received = true; };
  f.Start(1);
  REQUIRE(f.net.RunUntil([&] { return received; }));
  f.client.Cancel("ingress", 1);
  REQUIRE(f.net.RunUntil([&] { return f.server.streams[0]->closed; }));
  REQUIRE(f.failed.size() == 1);
  CHECK(f.failed[0].failure == core::upstream_failure::kLost);
  f.Start(2);
  f.client.Cancel("ingress", 2);  // Nothing is written yet.
  REQUIRE(f.RunToEnd(2));
  CHECK(f.failed[1].failure == core::upstream_failure::kNotSent);
  f.client.Cancel("ingress", 1);
  f.client.Cancel("ingress", 3);
  f.net.RunReady();
  CHECK(f.failed.size() == 2);
  CHECK(f.answered.empty());
}

// Guards against more connections than the agreed limit.
TEST_CASE("at most 100 connections a target") {
  client_fixture f;
  f.server.on_read = [](raw_stream*) {};
  for (core::attempt_id attempt = 1; attempt <= 101; ++attempt) {
    f.Start(attempt);
  }
  REQUIRE(f.net.RunUntil([&] { return f.failed.size() == 1; }));
  CHECK(f.failed[0].attempt == 101);
  CHECK(f.failed[0].failure == core::upstream_failure::kNotSent);
}

// Guards against probes that misread health, load or the drain mark, and
// against an invalid load body that clears the last known values.
TEST_CASE("probes report health and load") {
  client_fixture f;
  std::string load = "{\"load\": 0.5, \"draining\": true}";
  std::string health = "200 OK";
  f.server.on_read = [&](raw_stream* stream) {
    if (!HasWholeHead(*stream)) return;
    const bool is_load = stream->Has("GET /load ");
    stream->received.clear();
    stream->Write(is_load
                      ? "HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(load.size()) + "\r\n\r\n" + load
                      : "HTTP/1.1 " + health + "\r\nContent-Length: 0\r\n\r\n");
  };
  f.client.SetProbeTargets(
      {{"u1", {"127.0.0.1", f.server.port}, "/health", "/load"}});
  REQUIRE(f.net.RunUntil([&] { return f.reports.size() == 1; }));
  CHECK(f.reports[0].upstream == "u1");
  CHECK(f.reports[0].healthy);
  CHECK(f.reports[0].draining);
  CHECK(f.reports[0].load == 0.5);
  load = "{\"load\": 7}";
  health = "500 No";
  REQUIRE(f.net.RunUntil([&] { return f.reports.size() == 2; }));
  CHECK_FALSE(f.reports[1].healthy);
  CHECK(f.reports[1].load == 0.5);
}

}  // namespace
}  // namespace pimentohall::net
