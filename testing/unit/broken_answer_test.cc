// Answers that break the protocol must not reach callers as answers.

#include <doctest/doctest.h>

#include "net_harness.h"
#include "node_fixture.h"
#include "pimentohall/stream.h"

namespace pimentohall::stream {
namespace {

using std::chrono::milliseconds;

// What a client saw of one request.
struct seen_answer {
  int status = 0;
  body_framing framing = body_framing::kNone;
  std::string body;
  bool ended = false;
  std::optional<failure> failed;
  bool IsOver() const { return ended || failed; }
  bool IsRejected() const { return failed == failure::kBadAnswer; }
  bool IsLost() const { return failed == failure::kLost; }
};

struct pool_fixture {
  std::shared_ptr<exchange> Start(int port, const message_head& head,
                                  const std::shared_ptr<seen_answer>& seen) {
    exchange_handlers handlers;
    handlers.on_head = [seen](const message_head& answer) {
      seen->status = answer.status;
      seen->framing = answer.framing;
    };
    handlers.on_data = [seen](std::string_view bytes) {
      seen->body.append(bytes);
    };
    handlers.on_end = [seen] { seen->ended = true; };
    handlers.on_failed = [seen](failure why) { seen->failed = why; };
    auto call = pool.Start({"127.0.0.1", port}, head, handlers);
    REQUIRE(static_cast<bool>(call));
    return call;
  }

  // Sends a request to an upstream that answers with these bytes and closes.
  std::shared_ptr<seen_answer> Get(const std::string& answer) {
    net::raw_server upstream(net);
    upstream.on_read = [&answer](net::raw_stream* stream) {
      if (!net::HasWholeHead(*stream)) return;
      stream->Write(answer);
      stream->CloseAfterWrite();
    };
    message_head head;
    head.method = "GET";
    head.target = "/";
    auto seen = std::make_shared<seen_answer>();
    Start(upstream.port, head, seen);
    CHECK(net.RunUntil([&seen] { return seen->IsOver(); }));
    return seen;
  }

  net::net_harness net;
  client_pool pool{net.loop,
                   net.timers,
                   {std::chrono::seconds(5), std::chrono::seconds(2),
                    std::chrono::seconds(1), 4}};
};

TEST_CASE("an answer without a valid status is no answer") {
  const std::string lines[] = {"HTTP/1.1 000 OK",
                               "HTTP/1.1 0 OK",
                               "HTTP/1.1 00 OK",
                               "HTTP/1.1 007 OK",
                               "HTTP/1.1 7 OK",
                               "HTTP/1.1 20 OK",
                               "HTTP/1.1 099 OK",
                               "HTTP/1.1 0200 OK",
                               "HTTP/1.1 600 OK",
                               "HTTP/1.1 999 OK",
                               "HTTP/1.1 1000 OK",
                               "HTTP/1.1 2000 OK",
                               "HTTP/1.1 -200 OK",
                               "HTTP/1.1 +200 OK",
                               "HTTP/1.1 2 0 OK",
                               "HTTP/1.1 2x0 OK",
                               "HTTP/1.1 200OK",
                               "HTTP/1.1  200 OK",
                               "HTTP/1.1 OK",
                               "HTTP/1.1",
                               "HTTP/2.0 200 OK",
                               "HTTP/0.9 200 OK",
                               "HTTP/3.7 200 OK",
                               "HTTP/11 200 OK",
                               "http/1.1 200 OK",
                               "ICY 200 OK",
                               "HTTP/1.1\t200 OK",
                               "HTTP/1.1 200 O\rK",
                               std::string("HTTP/1.1 200 O\0K", 16)};
  const std::string bodies[] = {"\r\nContent-Length: 2\r\n\r\nok",
                                "\r\nContent-Length: 0\r\n\r\n", "\r\n\r\nok"};
  for (const std::string& line : lines) {
    for (const std::string& body : bodies) {
      CAPTURE(line);
      CAPTURE(body);
      pool_fixture f;
      const auto seen = f.Get(line + body);
      CHECK(seen->status == 0);
      CHECK(seen->IsRejected());
    }
  }
}

// All bytes of a field's name but these are invalid (RFC 9110, section 5.6.2).
bool IsTokenByte(char byte) {
  return std::isalnum(static_cast<unsigned char>(byte)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(byte) !=
             std::string_view::npos;
}

TEST_CASE("an answer with an invalid byte in a field's name is no answer") {
  for (int i = 0; i < 256; ++i) {
    const char byte = static_cast<char>(i);
    if (IsTokenByte(byte) || byte == ':' || byte == '\n') continue;
    const std::string name = "Content-Length";
    for (const std::size_t at : {std::size_t{0}, std::size_t{7}, name.size()}) {
      for (const std::string& before :
           {std::string(), std::string("Server: x\r\n")}) {
        std::string answer = "HTTP/1.1 200 OK\r\n";
        answer += before;
        answer += name;
        answer.insert(answer.size() - name.size() + at, 1, byte);
        answer += ": 2\r\n\r\nok and more";
        pool_fixture f;
        const auto seen = f.Get(answer);
        CAPTURE(i);
        CAPTURE(at);
        CAPTURE(before);
        CHECK(seen->status == 0);
        CHECK(seen->IsRejected());
      }
    }
  }
}

TEST_CASE("an answer with a malformed field or length is no answer") {
  const std::string fields[] = {
      "no colon\r\n",
      "nocolon\r\n",
      ": no name\r\n",
      " : blank\r\n",
      "X: a\r\n folded\r\n",
      "Content-Length: 2\r\n 0\r\n",
      "X: a\rY: b\r\n",
      std::string("X: a\0b\r\n", 8),
      "X: a\x01\r\n",
      "X: a\x7f\r\n",
      "Content-Length:\r\n",
      "Content-Length: \r\n",
      "Content-Length: +2\r\n",
      "Content-Length: -2\r\n",
      "Content-Length: 2 2\r\n",
      "Content-Length: 2, 2\r\n",
      "Content-Length: 2x\r\n",
      "Content-Length: 0x2\r\n",
      "Content-Length: 2\r\nContent-Length: 2\r\n",
      "Content-Length: 99999999999999999999999\r\n",
      "X: y\r\n\rZ",
  };
  for (const std::string& field : fields) {
    CAPTURE(field);
    pool_fixture f;
    const auto seen = f.Get("HTTP/1.1 200 OK\r\n" + field + "\r\nok");
    CHECK(seen->status == 0);
    CHECK(seen->IsRejected());
  }
}

// Guards against a body that is passed on in a coding that its receiver isn't
// told of.
TEST_CASE("an answer in an unknown transfer coding is no answer") {
  for (const std::string& value : std::initializer_list<std::string>{
           "", "gzip", "identity", "xchunked", "chunked;q=1", "gzip, chunked",
           "chunked, gzip", "chunked, chunked",
           "chunked\r\nTransfer-Encoding: chunked",
           "gzip\r\nTransfer-Encoding: chunked"}) {
    CAPTURE(value);
    pool_fixture f;
    const auto seen = f.Get("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + value +
                            "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    CHECK(seen->status == 0);
    CHECK(seen->IsRejected());
  }
}

TEST_CASE("an answer with malformed chunks never ends as complete") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string bodies[] = {
      "2\r\nok0\r\n\r\n",
      "2\r\nokXX0\r\n\r\n",
      "2\r\nok\rX0\r\n\r\n",
      "2\r\nokX\n0\r\n\r\n",
      "2\rXok\r\n0\r\n\r\n",
      "2\r\nok\r\n0\rX\r\n",
      "2\r\nok\r\n0\r\n\rX",
      "2 \r\nok\r\n0 x\r\n\r\n",
      "x\r\nok\r\n0\r\n\r\n",
      "-2\r\nok\r\n0\r\n\r\n",
      "0x2\r\nok\r\n0\r\n\r\n",
      "\r\n2\r\nok\r\n0\r\n\r\n",
      "2;a\x01\r\nok\r\n0\r\n\r\n",
      "10000000000000002\r\nok\r\n0\r\n\r\n",
      "2\r\nok\r\n0\r\nbad name: x\r\n\r\n",
      "2\r\nok\r\n0\r\nname : x\r\n\r\n",
      "2\r\nok\r\n0\r\nnocolon\r\n\r\n",
      "2\r\nok\r\n0\r\nX: a\x01\r\n\r\n",
  };
  for (const std::string& body : bodies) {
    CAPTURE(body);
    pool_fixture f;
    const auto seen = f.Get(head + body);
    CHECK_FALSE(seen->ended);
    CHECK(seen->failed.has_value());
  }
}

// Answers that must go on to be passed on.
TEST_CASE("unusual but valid answers are answers") {
  struct valid_case {
    std::string bytes;
    int status;
    std::string body;
  };
  const valid_case cases[] = {
      {"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
      {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
      {"HTTP/1.1 200 Very  Odd \xe9\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
      {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
      {"HTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\nok", 299, "ok"},
      {"HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", 599, "ok"},
      {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", 200, "ok"},
      {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~1a: x\r\nContent-Length: 2\r\n\r\nok",
       200, "ok"},
      {"HTTP/1.1 200 OK\r\nX:\r\nY: \t a\tb\xff \r\nContent-Length:2\r\n\r\nok",
       200, "ok"},
      {"HTTP/1.1 200 OK\r\ncontent-length: 02 \r\n\r\nok", 200, "ok"},
      {"HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: Chunked\r\n\r\n"
       "002;a=\"b\"\r\nok\r\n00\r\nX: y\r\n\r\n",
       200, "ok"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2  \r\nok\r\n0 \r\n\r\n",
       200, "ok"},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n", 204, ""},
      {"HTTP/1.1 200 OK\r\n\r\nto the end", 200, "to the end"},
  };
  for (const valid_case& valid : cases) {
    CAPTURE(valid.bytes);
    pool_fixture f;
    const auto seen = f.Get(valid.bytes);
    CHECK(seen->ended);
    CHECK(seen->status == valid.status);
    CHECK(seen->body == valid.body);
  }
}

// Guards against a body behind an answer that has none for its receiver, who
// would read it as the start of the next answer.
TEST_CASE("an answer with status 204 or 304 has no body") {
  const std::string fields[] = {"", "Content-Length: 0\r\n",
                                "Content-Length: 2\r\n",
                                "Transfer-Encoding: chunked\r\n"};
  const std::string behind[] = {"", "ok", "2\r\nok\r\n0\r\n\r\n"};
  for (const int status : {204, 304}) {
    for (const std::string& field : fields) {
      for (const std::string& bytes : behind) {
        CAPTURE(status);
        CAPTURE(field);
        CAPTURE(bytes);
        pool_fixture f;
        std::string answer = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
        answer += field;
        answer += "\r\n";
        answer += bytes;
        const auto seen = f.Get(answer);
        CHECK(seen->ended);
        CHECK(seen->status == status);
        CHECK(seen->framing == body_framing::kNone);
        CHECK(seen->body.empty());
      }
    }
  }
}

// How an upload goes on while its answer is cut.
struct upload_plan {
  std::size_t piece;    // Bytes written at a time.
  milliseconds period;  // Between two pieces; 0: again when all is written.
};

// Guards against MIXED: the write that a reset failed took the socket's error,
// and the read after it found what looked like the end of the answer.
TEST_CASE("an answer that is reset during the upload is not complete") {
  const upload_plan plans[] = {{1, milliseconds(1)},
                               {1000, milliseconds(3)},
                               {65536, milliseconds(0)},
                               {4 << 20, milliseconds(0)}};
  const int resets_after_ms[] = {0, 1, 2, 5, 10, 30, 60, 100, 200, 400};
  const std::string heads[] = {
      "HTTP/1.1 200 OK\r\n\r\npart",
      "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\npart"};
  for (const upload_plan& plan : plans) {
    for (const int after_ms : resets_after_ms) {
      for (const bool reads : {true, false}) {
        const std::string& answer = heads[after_ms % 2];
        CAPTURE(plan.piece);
        CAPTURE(after_ms);
        CAPTURE(reads);
        pool_fixture f;
        net::raw_server upstream(f.net);
        bool answered = false;
        upstream.on_read = [&](net::raw_stream* stream) {
          if (answered) return;
          answered = true;
          stream->Write(answer);
          stream->SetReading(reads);
          f.net.timers.After(milliseconds(after_ms),
                             sigc::slot<void()>([stream] { stream->Reset(); }));
        };
        message_head head;
        head.method = "POST";
        head.target = "/";
        head.framing = body_framing::kLength;
        head.length = std::uint64_t{1} << 40;
        auto seen = std::make_shared<seen_answer>();
        const auto call = f.Start(upstream.port, head, seen);
        const std::string piece(plan.piece, 'u');
        const auto send = [&] {
          if (!seen->IsOver() && call->UnsentBytes() < 8 * plan.piece) {
            call->SendData(piece);
          }
        };
        sigc::connection timer = f.net.timers.Every(
            std::max(plan.period, milliseconds(1)), sigc::slot<void()>(send));
        CHECK(f.net.RunUntil([&seen] { return seen->IsOver(); }));
        timer.disconnect();
        CHECK_FALSE(seen->ended);
        CHECK(seen->IsLost());
      }
    }
  }
}

}  // namespace
}  // namespace pimentohall::stream

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// A caller's daemon and the upstream of another one.
struct two_daemons : node_fleet {
  two_daemons() : node_fleet(2) {
    Start();
    store.Remove("servers/i-0");
    RunFor(milliseconds(400));
  }
};

// Guards against MIXED on the whole way, through two daemons.
TEST_CASE("a malformed answer of an upstream reaches its caller as 502") {
  const std::string id = "X-Attempt-Id: ID\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string ok = id + length + "\r\nok";
  const std::string answers[] = {
      "HTTP/1.1 000 OK\r\n" + ok,
      "HTTP/1.1 000 OK\r\n" + id + "\r\nto the end",
      "HTTP/1.1 0 OK\r\n" + ok,
      "HTTP/1.1 099 OK\r\n" + ok,
      "HTTP/1.1 0200 OK\r\n" + ok,
      "HTTP/1.1 600 OK\r\n" + ok,
      "HTTP/1.1 999 OK\r\n" + ok,
      "HTTP/1.1 200 OK\r\nA b: c\r\n" + ok,
      "HTTP/1.1 200 OK\r\nAb : c\r\n" + ok,
      "HTTP/1.1 200 OK\r\n Ab: c\r\n" + ok,
      "HTTP/1.1 200 OK\r\nA\x01b: c\r\n" + ok,
      "HTTP/1.1 200 OK\r\nAb\t: c\r\n" + ok,
      "HTTP/1.1 200 OK\r\n" + id + "Content-Length : 2\r\n\r\nok and more",
      "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: gzip\r\n\r\nok",
      "HTTP/1.1 200 OK\r\n" + id +
          "Transfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n",
      "HTTP/1.1 103 Early\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n" + ok,
  };
  two_daemons fleet;
  int runs = 0;
  for (const std::string& answer : answers) {
    for (const std::string method : {"GET", "POST"}) {
      CAPTURE(answer);
      CAPTURE(method);
      fleet.upstreams[1]->script =
          [&answer](const std::shared_ptr<stream::server_exchange>& call,
                    const std::string& request) {
            std::string bytes = answer;
            const std::size_t at = bytes.find("ID\r\n");
            if (at != std::string::npos) bytes.replace(at, 2, request);
            call->Connection()->SendData(bytes);
            call->Connection()->CloseWhenSent();
          };
      const bool is_read = method == "GET";
      const auto call = fleet.Call(0, method, is_read ? "/read/1" : "/write/1",
                                   is_read ? "" : "x");
      CHECK_FALSE(call->failed);
      CHECK(call->status == 502);
      ++runs;
      CHECK(fleet.Runs() == runs);
    }
  }
  fleet.upstreams[1]->script = nullptr;
  CHECK(fleet.Call(0, "POST", "/write/1", "x")->status == 200);
}

TEST_CASE("an answer that is reset during an upload never looks complete") {
  constexpr std::size_t kUploadBytes = 7'000'000;
  constexpr std::size_t kPieceBytes = 20'000;
  for (const std::size_t part : {10, 400'000}) {
    for (const int reset_after_ms : {0, 60, 400}) {
      CAPTURE(part);
      CAPTURE(reset_after_ms);
      two_daemons fleet;
      const auto answer_normally = fleet.upstreams[1]->front.on_request;
      fleet.upstreams[1]->front.on_request =
          [&](const std::shared_ptr<stream::server_exchange>& call,
              const stream::message_head& head) {
            if (head.target == "/health") return answer_normally(call, head);
            call->Connection()->SendData(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
                std::string(net::FindHeader(head.headers, "X-Attempt-Id")) +
                "\r\n\r\n" + std::string(part, 'p'));
            fleet.net.timers.After(
                milliseconds(reset_after_ms),
                sigc::slot<void()>(
                    [conn = call->Connection()] { conn->Abort(); }));
          };
      auto upload = std::make_shared<caller_exchange>();
      stream::message_head head;
      head.method = "POST";
      head.target = "/write/1";
      head.headers = {{"Host", "a.example"},
                      {"X-Attempt-Id", "up-" + std::to_string(++fleet.last_id)},
                      {"X-Deadline-Ms", "2000"},
                      {"Authorization", "Token key-1"}};
      head.framing = stream::body_framing::kLength;
      head.length = kUploadBytes;
      fleet.StartExchange(0, head, upload);
      std::size_t sent = 0;
      sigc::connection sender = fleet.net.timers.Every(
          milliseconds(2), sigc::slot<void()>([&] {
            const std::size_t size = std::min(kPieceBytes, kUploadBytes - sent);
            if (upload->ended || size == 0) return;
            upload->exchange->SendData(std::string(size, 'u'));
            sent += size;
          }));
      CHECK(fleet.net.RunUntil([&upload] { return upload->ended; }));
      sender.disconnect();
      // Of an answer that wasn't passed on yet, nothing is.
      if (upload->failed) {
        CHECK(part > kPieceBytes);
      } else {
        CHECK(upload->status == 502);
      }
    }
  }
}

}  // namespace
}  // namespace pimentohall::node
