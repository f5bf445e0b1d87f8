// Broken answers to the client that probes upstreams and reads the source.

#include <doctest/doctest.h>

#include "net_harness.h"

namespace pimentohall::net {
namespace {

using std::chrono::milliseconds;
using result = tl::expected<http_answer, http_failure>;

struct client_fixture {
  // Sends a request and waits for its end.
  result Send(const http_request& request) {
    std::optional<result> end;
    client.Start(request, [&end](result got) { end = std::move(got); });
    CHECK(net.RunUntil([&end] { return end.has_value(); }));
    return *end;
  }

  // Sends a request to a server that answers with these bytes and closes.
  result Get(const std::string& answer) {
    raw_server server(net);
    server.on_read = [&answer](raw_stream* stream) {
      if (!HasWholeHead(*stream)) return;
      stream->Write(answer);
      stream->CloseAfterWrite();
    };
    http_request request;
    request.target = {"127.0.0.1", server.port};
    request.timeout = milliseconds(2000);
    return Send(request);
  }

  net_harness net;
  http_client client{net.loop, net.timers};
};

TEST_CASE("http_client fails a request whose answer is malformed") {
  const std::string ok = "Content-Length: 2\r\n\r\nok";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string answers[] = {
      "HTTP/1.1 000 OK\r\n" + ok,
      "HTTP/1.1 0 OK\r\n" + ok,
      "HTTP/1.1 007 OK\r\n" + ok,
      "HTTP/1.1 20 OK\r\n" + ok,
      "HTTP/1.1 099 OK\r\n" + ok,
      "HTTP/1.1 0200 OK\r\n" + ok,
      "HTTP/1.1 600 OK\r\n" + ok,
      "HTTP/1.1 999 OK\r\n" + ok,
      "HTTP/1.1 2000 OK\r\n" + ok,
      "HTTP/1.1 2x0 OK\r\n" + ok,
      "HTTP/1.1 200x OK\r\n" + ok,
      "HTTP/1.1  200 OK\r\n" + ok,
      "HTTP/2.0 200 OK\r\n" + ok,
      "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok and more",
      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more",
      "HTTP/1.1 200 OK\r\nContent\x01Length: 2\r\n\r\nok and more",
      "HTTP/1.1 200 OK\r\n: 2\r\n" + ok,
      "HTTP/1.1 200 OK\r\nnocolon\r\n" + ok,
      "HTTP/1.1 200 OK\r\nX: a\x01\r\n" + ok,
      "HTTP/1.1 200 OK\r\nX: a\r\n folded\r\n" + ok,
      std::string("HTTP/1.1 200 OK\r\nX: a\0b\r\n", 25) + ok,
      std::string("HTTP/1.1 200 OK\r\nX\0: a\r\n", 24) + ok,
      "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
      "HTTP/1.1 200 OK\r\n" + chunked + "2\r\nokXX0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + chunked + "2\r\nok0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + chunked + "2 x\r\nok\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + chunked + "-2\r\nok\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + chunked + "0x2\r\nok\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + chunked + "2\r\nok\r\n0\r\na b: c\r\n\r\n",
  };
  for (const std::string& answer : answers) {
    CAPTURE(answer);
    client_fixture f;
    const result end = f.Get(answer);
    CHECK_FALSE(end.has_value());
  }
}

TEST_CASE("http_client fails a request whose answer is reset") {
  for (const std::size_t body : {0, 1000, 1 << 22, 1 << 26}) {
    for (const int after_ms : {0, 1, 3, 10, 30, 100, 300}) {
      for (const bool reads : {true, false}) {
        CAPTURE(body);
        CAPTURE(after_ms);
        CAPTURE(reads);
        client_fixture f;
        raw_server server(f.net);
        bool answered = false;
        server.on_read = [&](raw_stream* stream) {
          if (answered) return;
          answered = true;
          stream->Write("HTTP/1.1 200 OK\r\n\r\npart");
          stream->SetReading(reads);
          f.net.timers.After(milliseconds(after_ms),
                             sigc::slot<void()>([stream] { stream->Reset(); }));
        };
        http_request request;
        request.target = {"127.0.0.1", server.port};
        request.method = body > 0 ? "POST" : "GET";
        if (body > 0) request.body = ShareBytes(std::string(body, 'u'));
        request.timeout = milliseconds(2000);
        const result end = f.Send(request);
        CHECK_FALSE(end.has_value());
      }
    }
  }
}

// Guards against a server whose answer never ends: it must not fill the memory
// until the request's timeout.
TEST_CASE("http_client keeps a bounded part of an answer without end") {
  struct endless_case {
    std::string name;
    std::size_t body;
    std::string start;
    std::string piece;
  };
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string field = "X: " + std::string(4000, 'x') + "\r\n";
  const endless_case cases[] = {
      {"no line end", 0, "", std::string(4096, 'x')},
      {"empty lines", 0, "", std::string(4096, '\n')},
      {"a field", 0, head + "X: ", std::string(4096, 'x')},
      {"fields", 0, head, field},
      {"permissions to send", 0, "",
       "HTTP/1.1 100 Continue\r\n" + field + "\r\n"},
      {"other interim answers", 0, "",
       "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n"},
      {"a body", 0, head + "\r\n", std::string(4096, 'x')},
      {"chunks", 0, chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n"},
      {"a chunk extension", 0, chunked + "1;", std::string(4096, 'x')},
      {"a chunk size", 0, chunked, std::string(4096, '0')},
      {"empty lines between chunks", 0, chunked, std::string(4096, '\n')},
      {"trailers", 0, chunked + "0\r\n", field},
      {"a body during the upload", 1 << 26, head + "\r\n",
       std::string(4096, 'x')},
  };
  constexpr std::size_t kMaxKept = 8 * 1024 * 1024;
  for (const endless_case& test_case : cases) {
    CAPTURE(test_case.name);
    client_fixture f;
    raw_server server(f.net);
    bool answered = false;
    std::size_t written = 0;
    std::string piece;
    while (piece.size() < 65536) piece += test_case.piece;
    sigc::connection writer;
    server.on_read = [&](raw_stream* stream) {
      if (std::exchange(answered, true)) return;
      stream->SetReading(false);
      stream->Write(test_case.start);
      writer = f.net.timers.Every(
          milliseconds(1), sigc::slot<void()>([&, stream] {
            while (!stream->closed && stream->UnsentBytes() < (1 << 20)) {
              stream->Write(piece);
              written += piece.size();
            }
          }));
    };
    http_request request;
    request.target = {"127.0.0.1", server.port};
    if (test_case.body > 0) {
      request.method = "POST";
      request.body = ShareBytes(std::string(test_case.body, 'u'));
    }
    request.timeout = milliseconds(1000);
    const std::size_t before = ResidentBytes();
    std::size_t most = before;
    sigc::connection sampler =
        f.net.timers.Every(milliseconds(5), sigc::slot<void()>([&most] {
                             most = std::max(most, ResidentBytes());
                           }));
    const result end = f.Send(request);
    writer.disconnect();
    sampler.disconnect();
    CAPTURE(written);
    CHECK_FALSE(end.has_value());
    CHECK(most < before + kMaxKept);
  }
}

}  // namespace
}  // namespace pimentohall::net
