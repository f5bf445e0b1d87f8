#include "soak/upstream.h"

namespace pimentohall::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kLeastWorkMs = 2;
constexpr int kMostWorkMs = 40;
constexpr int kSlowTimes = 10;

}  // namespace

std::string AnswerOf(const std::string& attempt, const std::string& tenant) {
  return "answer of " + attempt + " for " + tenant + std::string(200, '.');
}

soak_upstream::soak_upstream(net::event_loop& loop, net::timer_service& timers,
                             net::endpoint listen, run_log* runs,
                             std::uint64_t seed)
    : loop_(loop),
      timers_(timers),
      front_(loop, timers, {std::move(listen), {}, {}}),
      runs_(runs),
      random_(seed) {
  front_.on_request = [this](const connection_ptr& conn,
                             const stream::message_head& head) {
    conn->on_data = [](std::string_view) {};
    conn->on_closed = [](stream::end_reason) {};
    conn->on_end = [this, conn, head] { Take(conn, head); };
  };
}

bool soak_upstream::Open() { return front_.Listen().has_value(); }

void soak_upstream::Take(const connection_ptr& conn,
                         const stream::message_head& head) {
  const std::string id(net::FindHeader(head.headers, "X-Attempt-Id"));
  if (head.target == "/health") {
    Answer(conn, 200, "", {{"X-Instance-Id", start_}, {"X-Warmup-Ms", "0"}});
    return;
  }
  const net::header echo = {"X-Attempt-Id", id};
  if (net::FindHeader(head.headers, "X-Expected-Instance") != start_) {
    Answer(conn, 421, "", {echo});
    return;
  }
  if (fault_ == upstream_fault::kSheds) {
    Answer(conn, 503, "", {echo, {"X-Not-Executed", "1"}});
    return;
  }
  Run(conn, head);
}

void soak_upstream::Run(const connection_ptr& conn,
                        const stream::message_head& head) {
  const std::string id(net::FindHeader(head.headers, "X-Attempt-Id"));
  upstream_record& record = (*runs_)[id];
  ++record.runs;
  record.last_at = loop_.Now();
  record.last_start = start_;
  record.tenant = std::string(net::FindHeader(head.headers, "X-Tenant-Id"));
  record.key_shown = record.key_shown ||
                     !net::FindHeader(head.headers, "Authorization").empty();
  const upstream_fault fault = fault_;
  if (fault == upstream_fault::kHangs) return;
  milliseconds work(
      std::uniform_int_distribution<int>(kLeastWorkMs, kMostWorkMs)(random_));
  if (fault == upstream_fault::kSlow) work *= kSlowTimes;
  const std::string body = AnswerOf(id, record.tenant);
  timers_.After(work, sigc::slot<void()>([this, conn, id, body, fault] {
                  if (!conn->Connection()->IsOpen()) return;
                  const net::header_list headers = {
                      {"X-Attempt-Id", id}, {"X-Response-Seal", "seal-" + id}};
                  if (fault == upstream_fault::kLoses) {
                    front_.Abort(conn);
                  } else if (fault == upstream_fault::kCuts) {
                    stream::message_head cut;
                    cut.status = 200;
                    cut.headers = headers;
                    cut.framing = stream::body_framing::kLength;
                    cut.length = body.size();
                    conn->SendHead(cut);
                    conn->SendData(body.substr(0, body.size() / 2));
                    conn->Connection()->CloseWhenSent();
                  } else if (fault == upstream_fault::kFails) {
                    Answer(conn, 500, "failed", headers);
                  } else {
                    Answer(conn, 200, body, headers);
                    // Bytes after the end of an answer belong to no request.
                    if (fault == upstream_fault::kBabbles &&
                        conn->Connection()->IsOpen()) {
                      conn->Connection()->SendData(
                          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
                    }
                  }
                }));
}

void soak_upstream::Answer(const connection_ptr& conn, int status,
                           const std::string& body, net::header_list headers) {
  stream::message_head head;
  head.status = status;
  head.headers = std::move(headers);
  head.framing = stream::body_framing::kLength;
  head.length = body.size();
  conn->SendHead(head);
  conn->SendData(body);
  conn->SendEnd();
  front_.FinishRequest(conn);
}

}  // namespace pimentohall::testing
