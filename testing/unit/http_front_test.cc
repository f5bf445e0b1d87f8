#include <doctest/doctest.h>
#include <event2/bufferevent_ssl.h>

#include <fstream>

#include "net/tls.h"
#include "net_harness.h"
#include "tls_fixture.h"

namespace pimentohall::net {
namespace {

struct received_call {
  core::call_arrived call;
  http_message request;
};

// A front that records calls and answers them at once if `answer` is set.
struct front_fixture {
  explicit front_fixture(limit_settings limits = {}, tls_files tls = {})
      : front(net.loop, {{"127.0.0.1", 0}, limits, std::move(tls)}) {
    front.on_call = [this](core::call_arrived call, http_message request) {
      const core::call_id id = call.call;
      calls.push_back({std::move(call), std::move(request)});
      if (answer) front.Answer(id, *answer);
    };
    front.on_cancelled = [this](core::call_id call) {
      cancelled.push_back(call);
    };
    const auto listening = front.Listen();
    REQUIRE(listening);
    port = *listening;
  }

  net_harness net;
  http_front front;
  int port = 0;
  std::vector<received_call> calls;
  std::vector<core::call_id> cancelled;
  std::optional<http_answer> answer =
      http_answer{200, {{"X-Reply", "yes"}}, ShareBytes("hello")};
};

// Guards against call fields that are read from the wrong header, and against a
// key that is passed on other than as its digest.
TEST_CASE("a call's fields and forwarded headers") {
  front_fixture f;
  raw_stream client(f.net, f.port);
  client.Write(
      "POST /ledger/post?x=1 HTTP/1.1\r\nHost: h\r\n"
      "authorization: bearer secret-key\r\nIdempotency-Key: k1\r\n"
      "X-Pimentohall-Deadline-Ms: 1500\r\nX-Pimentohall-Class: overnight\r\n"
      "X-Pimentohall-Depth: 3\r\nX-Pimentohall-Retry: true\r\n"
      "X-Pimentohall-Organisation: forged\r\nConnection: X-Private\r\n"
      "X-Private: 1\r\nKeep-Alive: 5\r\nAccept: */*\r\n"
      "Content-Length: 4\r\n\r\nbody");
  REQUIRE(f.net.RunUntil([&] { return client.Has("hello"); }));
  REQUIRE(f.calls.size() == 1);
  const core::call_arrived& call = f.calls[0].call;
  CHECK(call.method == "POST");
  CHECK(call.path == "/ledger/post?x=1");
  CHECK(call.key_digest == config::Sha256Hex("secret-key"));
  CHECK(call.idempotency_key == "k1");
  CHECK(call.deadline_ms == 1500);
  CHECK(call.traffic_class == config::route_class::kOvernight);
  CHECK(call.retry);
  CHECK(call.depth == 3);
  CHECK(f.calls[0].request.headers == header_list{{"Host", "h"},
                                                  {"Idempotency-Key", "k1"},
                                                  {"Accept", "*/*"}});
  CHECK(*f.calls[0].request.body == "body");
  CHECK(client.Has("HTTP/1.1 200 OK\r\n"));
  CHECK(client.Has("X-Reply: yes\r\n"));
  CHECK(client.Has("Content-Length: 5\r\n"));
}

// Guards against request smuggling, where two parsers disagree on the end of a
// message, and against headers that would be split or merged when forwarded.
// Each request must be answered with a 4xx status and reach no handler, and the
// request smuggled behind it must not be parsed.
TEST_CASE("malformed and smuggled requests") {
  const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::pair<std::string, std::string> test_cases[] = {
      {"both lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"two lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
       "Content-Length: 40\r\n\r\n"},
      {"equal lengths twice",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
       "Content-Length: 1\r\n\r\na"},
      {"signed length",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\na"},
      {"negative length",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n"},
      {"hexadecimal length",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x1\r\n\r\na"},
      {"list of lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\na"},
      {"unknown coding",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n"
       "\r\n0\r\n\r\n"},
      {"two codings",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"bad chunk size",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "\r\nzz\r\n\r\n"},
      {"body of a GET",
       "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"},
      {"chunked GET",
       "GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {"space before colon",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 0\r\n\r\n"},
      {"space in name", "GET / HTTP/1.1\r\nHost: h\r\nX Y: 0\r\n\r\n"},
      {"empty name", "GET / HTTP/1.1\r\nHost: h\r\n: 0\r\n\r\n"},
      {"no colon", "GET / HTTP/1.1\r\nHost: h\r\nnonsense\r\n\r\n"},
      {"bare CR", "GET / HTTP/1.1\r\nHost: h\r\nX: a\rY: b\r\n\r\n"},
      {"folded line", "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\x01\r\n\r\n"},
      {"control byte", "GET / HTTP/1.1\r\nHost: h\r\nX: a\x01\r\n\r\n"},
      {"no host", "GET / HTTP/1.1\r\n\r\n"},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
      {"two keys",
       "GET / HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer a\r\n"
       "Authorization: Bearer b\r\n\r\n"},
      {"absolute target", "GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"dot segment", "GET /a/../b HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"escaped dot segment", "GET /a/%2E%2e/b HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"fragment", "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"bad version", "GET / HTTP/x.1\r\nHost: h\r\n\r\n"},
      {"no version", "GET /\r\nHost: h\r\n\r\n"},
      {"bad deadline",
       "GET / HTTP/1.1\r\nHost: h\r\nX-Pimentohall-Deadline-Ms: -5\r\n\r\n"},
      {"bad class",
       "GET / HTTP/1.1\r\nHost: h\r\nX-Pimentohall-Class: fast\r\n\r\n"},
      {"bad depth",
       "GET / HTTP/1.1\r\nHost: h\r\nX-Pimentohall-Depth: 65\r\n\r\n"},
      {"bad retry mark",
       "GET / HTTP/1.1\r\nHost: h\r\nX-Pimentohall-Retry: 1\r\n\r\n"},
  };
  front_fixture f;
  for (const auto& entry : test_cases) {
    const auto& name = entry.first;
    const auto& bytes = entry.second;
    CAPTURE(name);
    raw_stream client(f.net, f.port);
    client.Write(bytes + smuggled);
    REQUIRE(f.net.RunUntil([&] { return client.closed; }));
    CHECK(client.received.substr(0, 10) == "HTTP/1.1 4");
    CHECK(client.received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(f.calls.empty());
  }
}

// Guards against parsing the bytes behind a request that evhttp rejects by
// itself. It answers 501 to an unknown method; after a length over the limit it
// drops bytes until the idle timeout.
TEST_CASE("requests that evhttp ends by itself") {
  limit_settings limits;
  limits.idle_connection_ms = 100;
  front_fixture f(limits);
  const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
  raw_stream brew(f.net, f.port);
  brew.Write("BREW / HTTP/1.1\r\nHost: h\r\n\r\n" + smuggled);
  raw_stream huge(f.net, f.port);
  huge.Write(
      "POST / HTTP/1.1\r\nHost: h\r\n"
      "Content-Length: 99999999999999999999\r\n\r\n" +
      smuggled);
  REQUIRE(f.net.RunUntil([&] { return brew.closed && huge.closed; }));
  CHECK(brew.Has("HTTP/1.1 501"));
  CHECK(huge.received.empty());
  CHECK(f.calls.empty());
}

// Guards against wrong limits, and against a connection reset instead of the
// status for a client that is still sending.
TEST_CASE("size limits") {
  limit_settings limits;
  limits.body_bytes = 1000;
  limits.header_bytes = 2000;
  front_fixture f(limits);
  const auto post = [](int size) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(size) + "\r\n\r\n" + std::string(size, 'b');
  };
  const std::string chunk = "3e8\r\n" + std::string(1000, 'c') + "\r\n";
  const std::string chunked =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string head = "GET / HTTP/1.1\r\nHost: h\r\nX: ";
  const std::pair<std::string, std::string> test_cases[] = {
      {post(1000), "HTTP/1.1 200"},
      {post(1001), "HTTP/1.1 413"},
      {post(1000000), "HTTP/1.1 413"},
      {chunked + chunk + "0\r\n\r\n", "HTTP/1.1 200"},
      {chunked + chunk + chunk + "0\r\n\r\n", "HTTP/1.1 413"},
      {head + std::string(1900, 'h') + "\r\n\r\n", "HTTP/1.1 200"},
      {head + std::string(2100, 'h') + "\r\n\r\n", "HTTP/1.1 4"},
  };
  for (const auto& entry : test_cases) {
    const auto& bytes = entry.first;
    const auto& status = entry.second;
    CAPTURE(bytes.size());
    raw_stream client(f.net, f.port);
    client.Write(bytes);
    REQUIRE(f.net.RunUntil(
        [&] { return client.closed || client.Has("\r\n\r\n"); }));
    CHECK(client.received.substr(0, status.size()) == status);
  }
  CHECK(f.calls.size() == 3);
}

// Guards against answers that are sent for the wrong call of a connection.
TEST_CASE("keep-alive and pipelined requests are answered in order") {
  front_fixture f;
  f.answer.reset();
  raw_stream client(f.net, f.port);
  client.Write(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return f.calls.size() == 1; }));
  f.net.RunReady();
  CHECK(f.calls.size() == 1);
  f.front.Answer(f.calls[0].call.call, {200, {}, ShareBytes("first")});
  REQUIRE(f.net.RunUntil([&] { return f.calls.size() == 2; }));
  f.front.Answer(f.calls[1].call.call, {200, {}, ShareBytes("second")});
  REQUIRE(f.net.RunUntil([&] { return client.Has("second"); }));
  CHECK(client.received.find("first") < client.received.find("second"));
  CHECK(f.calls[1].call.path == "/2");
  CHECK(f.cancelled.empty());
}

// Guards against calls that continue after their caller has disconnected:
// evhttp doesn't notice a closed connection while a request is answered.
TEST_CASE("a client that disconnects early cancels its call") {
  for (const bool by_reset : {false, true}) {
    CAPTURE(by_reset);
    front_fixture f;
    f.answer.reset();
    raw_stream client(f.net, f.port);
    client.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(f.net.RunUntil([&] { return f.calls.size() == 1; }));
    by_reset ? client.Reset() : client.Close();
    REQUIRE(f.net.RunUntil([&] { return !f.cancelled.empty(); }));
    CHECK(f.cancelled == std::vector<core::call_id>{f.calls[0].call.call});
    CHECK(f.front.Pending() == 0);
    f.front.Answer(f.calls[0].call.call, {200, {}, ShareBytes("late")});
    f.net.RunReady();
  }
}

// Guards against a client that waits forever for the interim answer, and
// against ignoring an unknown expectation.
TEST_CASE("Expect") {
  front_fixture f;
  raw_stream client(f.net, f.port);
  client.Write(
      "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Content-Length: 4\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return client.Has("HTTP/1.1 100"); }));
  client.Write("body");
  REQUIRE(f.net.RunUntil([&] { return client.Has("hello"); }));
  CHECK(*f.calls[0].request.body == "body");
  raw_stream other(f.net, f.port);
  other.Write(
      "POST / HTTP/1.1\r\nHost: h\r\nExpect: magic\r\n"
      "Content-Length: 4\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return other.Has("HTTP/1.1 417"); }));
}

// Guards against idle connections that are never closed.
TEST_CASE("idle connections close, those with a pending call don't") {
  limit_settings limits;
  limits.idle_connection_ms = 100;
  front_fixture f(limits);
  f.answer.reset();
  raw_stream waiting(f.net, f.port);
  waiting.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return f.calls.size() == 1; }));
  raw_stream idle(f.net, f.port);
  raw_stream half(f.net, f.port);
  half.Write("GET /1 HTTP/1.1\r\nHost");
  REQUIRE(f.net.RunUntil([&] { return idle.closed && half.closed; }));
  CHECK_FALSE(waiting.closed);
  f.front.Answer(f.calls[0].call.call, {200, {}, ShareBytes("late")});
  REQUIRE(f.net.RunUntil([&] { return waiting.Has("late"); }));
}

// Guards against answers that violate HTTP: a body after HEAD, 204 or 304,
// hop-by-hop headers, or a second length.
TEST_CASE("answers") {
  front_fixture f;
  f.answer = http_answer{200,
                         {{"Content-Length", "5"},
                          {"Transfer-Encoding", "chunked"},
                          {"Connection", "close"}},
                         ShareBytes("hello")};
  raw_stream client(f.net, f.port);
  client.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return client.Has("hello"); }));
  CHECK(client.received.find("Content-Length") ==
        client.received.rfind("Content-Length"));
  CHECK_FALSE(client.Has("chunked"));
  CHECK_FALSE(client.Has("Connection"));
  raw_stream head(f.net, f.port);
  f.answer->body = ShareBytes("");
  head.Write("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return head.Has("\r\n\r\n"); }));
  CHECK(head.Has("Content-Length: 5\r\n"));
  core::answer_call refusal;
  refusal.outcome = core::outcome_kind::kNotRun;
  refusal.why = core::reason::kRateExceeded;
  refusal.http_status = 429;
  refusal.retry_after_ms = 1001;
  f.answer = RefusalAnswer(refusal);
  raw_stream refused(f.net, f.port);
  refused.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return refused.Has("}"); }));
  CHECK(refused.Has("HTTP/1.1 429 "));
  CHECK(refused.Has("Retry-After: 2\r\n"));
  CHECK(refused.Has("X-Pimentohall-Not-Run: true\r\n"));
  CHECK(
      refused.Has("{\"error\":\"too_many_requests\","
                  "\"reason\":\"rate_exceeded\",\"not_run\":true}"));
}

// Guards against a planned stop that aborts a call or waits for idle
// connections.
TEST_CASE("a stop lets running calls finish") {
  front_fixture f;
  raw_stream idle(f.net, f.port);
  idle.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return idle.Has("hello"); }));
  f.answer.reset();
  raw_stream running(f.net, f.port);
  running.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return f.calls.size() == 2; }));
  bool stopped = false;
  f.front.Stop([&] { stopped = true; });
  REQUIRE(f.net.RunUntil([&] { return idle.closed; }));
  CHECK_FALSE(stopped);
  f.front.Answer(f.calls[1].call.call,
                 {200, {}, ShareBytes(std::string(500000, 'x') + "end")});
  REQUIRE(f.net.RunUntil([&] { return stopped && running.closed; }));
  CHECK(running.Has("xend"));
  CHECK(running.Has("Connection: close"));
  raw_stream late(f.net, f.port);
  REQUIRE(f.net.RunUntil([&] { return late.closed; }));
}

// Guards against more calls in memory than the limit allows.
TEST_CASE("calls in flight are bounded") {
  limit_settings limits;
  limits.calls_in_flight = 1;
  front_fixture f(limits);
  f.answer.reset();
  raw_stream first(f.net, f.port);
  first.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return f.calls.size() == 1; }));
  raw_stream second(f.net, f.port);
  second.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(f.net.RunUntil([&] { return second.closed; }));
  CHECK(second.Has("HTTP/1.1 503"));
  CHECK(second.Has("X-Pimentohall-Not-Run: true"));
  CHECK(f.calls.size() == 1);
}

// Guards against TLS connections without an answer, and against a reload that
// keeps the old certificate or replaces a valid one by a broken file.
TEST_CASE("TLS with reloaded certificates") {
  test_authority authority;
  const tls_files files = authority.Issue("front-1");
  front_fixture f({}, {files.certificate, files.key, ""});
  const auto get_served_name = [&] {
    tls_client client(f.net, f.port);
    client.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(f.net.RunUntil([&] { return client.Has("hello"); }));
    return client.PeerName();
  };
  CHECK(get_served_name() == "front-1");
  const tls_files next = authority.Issue("front-2");
  authority.Replace(next, files);
  REQUIRE(f.front.ReloadCertificates());
  CHECK(get_served_name() == "front-2");
  std::ofstream(files.certificate) << "broken";
  CHECK_FALSE(f.front.ReloadCertificates());
  CHECK(get_served_name() == "front-2");
}

}  // namespace
}  // namespace pimentohall::net
