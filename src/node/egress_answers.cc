// The upstream's answers, and the ends of calls.

#include <algorithm>

#include "node/egress_call.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// Weight of the newest call in the slowness.
constexpr double kSlownessWeight = 0.08;

}  // namespace

void egress::OnAnswerHead(const call_ptr& which, stream::message_head head) {
  which->facts = fleet_.dialect.ReadAnswer(head);
  which->answer = std::move(head);
  DropFleetHeaders(&which->answer.headers);
  OnUpstreamUp();
  const bool is_long = which->answer.framing == stream::body_framing::kLength &&
                       which->answer.length > kHeldBodyBytes;
  if (is_long && !which->facts.not_run) SendAnswer(which);
}

void egress::OnAnswerData(const call_ptr& which, std::string_view bytes) {
  if (!which->streams_answer) {
    which->answer_body.append(bytes);
    if (which->answer_body.size() <= kHeldBodyBytes) return;
    SendAnswer(which);
    return;
  }
  which->conn->SendData(bytes);
  if (which->conn->Unsent() > kStreamAheadBytes && which->exchange) {
    which->exchange->SetReading(false);
  }
}

void egress::OnAnswerEnd(const call_ptr& which) {
  const instant now = fleet_.loop.Now();
  const duration took = now - which->started;
  running_.erase(which->id);
  NoteRepeats();
  which->exchange = nullptr;
  guard_.OnAnswered(which->fingerprint);
  outcome what = outcome::kAnswered;
  core::reason why = core::reason::kNone;
  if (which->facts.wrong_instance) {
    what = outcome::kShed;
    why = core::reason::kUnknownUpstream;
  } else if (which->facts.not_run) {
    what = outcome::kShed;
    why = core::reason::kShed;
  } else if (which->answer.status < 300) {
    times_.Observe(which->info.route, took, now);
    const duration typical = std::max<duration>(
        milliseconds(1), milliseconds(which->info.typical_ms));
    const double ratio = std::clamp(static_cast<double>(took.count()) /
                                        static_cast<double>(typical.count()),
                                    0.05, 20.0);
    slowness_ += kSlownessWeight * (ratio - slowness_);
  }
  fleet_.metrics.ObserveUpstream(OutcomeName(what), took);
  if (which->streams_answer) {
    which->conn->SendEnd();
    LogEnd(*which, what, why);
    Forget(which);
    server_.Done(which->conn);
  } else if (what == outcome::kAnswered) {
    SendAnswer(which);
    which->conn->SendEnd();
    LogEnd(*which, what, why);
    Forget(which);
    server_.Done(which->conn);
  } else {
    SendOutcome(which, what, why, {});
  }
  Pump();
}

outcome_header egress::OutcomeOf(const call& which, outcome what,
                                 core::reason why, instant now) const {
  outcome_header told;
  told.what = what;
  told.why = why;
  if (const auto load = Load()) told.load = *load;
  told.load.upstream = which.info.upstream;
  if (which.started != instant{}) {
    told.took_ms = WholeMs(now - which.started);
    told.waited_ms = WholeMs(which.started - which.received);
  } else {
    told.waited_ms = WholeMs(now - which.received);
  }
  return told;
}

// Sends the answer's head and what is held of its body; the rest follows.
void egress::SendAnswer(const call_ptr& which) {
  const instant now = fleet_.loop.Now();
  stream::message_head head = which->answer;
  head.close = false;
  const outcome_header told =
      OutcomeOf(*which, outcome::kAnswered, core::reason::kNone, now);
  head.headers.emplace_back(kOutcomeHeader, EncodeOutcome(told));
  const bool is_whole = which->exchange == nullptr;
  if (is_whole && head.framing != stream::body_framing::kNone) {
    head.framing = stream::body_framing::kLength;
    head.length = which->answer_body.size();
  }
  which->streams_answer = true;
  which->conn->SendHead(head);
  which->conn->SendData(which->answer_body);
  which->answer_body.clear();
  which->conn->on_drained = [which] {
    if (which->exchange) which->exchange->SetReading(true);
  };
}

void egress::OnFailed(const call_ptr& which, stream::failure why) {
  const instant now = fleet_.loop.Now();
  running_.erase(which->id);
  NoteRepeats();
  which->exchange = nullptr;
  fleet_.metrics.ObserveUpstream("failed", now - which->started);
  if (which->streams_answer) {
    // The ingress must see that the answer is cut.
    LogEnd(*which, outcome::kMayHaveRun, core::reason::kConnectionLost);
    Forget(which);
    server_.Abort(which->conn);
    NoteLost(*which);
    Pump();
    return;
  }
  if (why == stream::failure::kNotSent) {
    SendOutcome(which, outcome::kNotRun, core::reason::kConnectFailed,
                kIngressRetryAfter);
    Probe();
  } else {
    SendOutcome(which, outcome::kMayHaveRun, core::reason::kConnectionLost, {});
    NoteLost(*which);
  }
  Pump();
}

// ---------------------------------------------------------------------------
// Ends.

void egress::Refuse(const call_ptr& which, core::reason why,
                    duration retry_after) {
  if (which->finished) return;
  queue_.Remove(which->id);
  SendOutcome(which, outcome::kNotRun, why, retry_after);
}

void egress::SendOutcome(const call_ptr& which, outcome what, core::reason why,
                         duration retry_after) {
  const instant now = fleet_.loop.Now();
  outcome_header told = OutcomeOf(*which, what, why, now);
  told.retry_after_ms = WholeMs(retry_after);
  stream::message_head head;
  head.status = 503;
  head.headers.emplace_back(kOutcomeHeader, EncodeOutcome(told));
  head.framing = stream::body_framing::kLength;
  which->conn->SendHead(head);
  which->conn->SendEnd();
  LogEnd(*which, what, why);
  Forget(which);
  server_.Done(which->conn);
}

void egress::LogEnd(const call& which, outcome what, core::reason why) {
  const instant now = fleet_.loop.Now();
  const bool started = which.started != instant{};
  net::Log(
      core::log_level::kInfo, "attempt ended",
      {{"request", which.caller_id},
       {"attempt", which.info.attempt},
       {"outcome", OutcomeName(what)},
       {"reason", core::ReasonName(why)},
       {"upstream", which.info.upstream},
       {"status", std::to_string(which.answer.status)},
       {"queue_ms", MsText((started ? which.started : now) - which.received)},
       {"upstream_ms", started ? MsText(now - which.started) : "0"},
       {"expected_ms", MsText(ExpectedTime(which.info))},
       {"budget_ms", MsText(which.deadline - which.received)},
       {"aim_ms", MsText(which.aim_at - which.received)},
       {"running", std::to_string(running_.size())},
       {"queued", std::to_string(queue_.Size())}});
}

void egress::Forget(const call_ptr& which) {
  which->finished = true;
  calls_.erase(which->id);
  by_attempt_.erase(which->info.attempt);
  if (which->started != instant{}) {
    attempts_.NoteStarted(which->info.attempt, fleet_.loop.Now());
  }
}

void egress::OnLinkClosed(const call_ptr& which) {
  if (which->finished) return;
  const bool ran = which->started != instant{};
  queue_.Remove(which->id);
  running_.erase(which->id);
  NoteRepeats();
  if (which->exchange) which->exchange->Cancel();
  which->exchange = nullptr;
  LogEnd(*which, ran ? outcome::kMayHaveRun : outcome::kNotRun,
         core::reason::kCancelled);
  Forget(which);
  server_.Abort(which->conn);
  Pump();
}

}  // namespace pimentohall::node
