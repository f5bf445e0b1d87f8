// Answers that break the protocol must not reach callers as answers.

#include <doctest/doctest.h>

#include "net_harness.h"
#include "pimentohall/stream.h"

namespace pimentohall::stream {
namespace {

using std::chrono::milliseconds;

// What a client saw of one request.
struct seen_answer {
  int status = 0;
  std::string body;
  bool ended = false;
  std::optional<failure> failed;
  bool IsOver() const { return ended || failed; }
  bool IsLost() const { return failed == failure::kLost; }
};

struct pool_fixture {
  std::shared_ptr<exchange> Start(int port, const message_head& head,
                                  const std::shared_ptr<seen_answer>& seen) {
    exchange_handlers handlers;
    handlers.on_head = [seen](const message_head& answer) {
      seen->status = answer.status;
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

  net::net_harness net;
  client_pool pool{net.loop,
                   net.timers,
                   {std::chrono::seconds(5), std::chrono::seconds(2),
                    std::chrono::seconds(1), 4}};
};

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
