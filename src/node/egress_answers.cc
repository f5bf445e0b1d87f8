// Handles the upstream's answers and ends calls.

#include <algorithm>
#include <cstdio>

#include "node/egress_call.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// Weight of the newest call in the moving average of the slowness.
constexpr double kNewestCallWeight = 0.08;

// A factor with two decimals, for log fields.
std::string FactorText(double factor) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", factor);
  return text;
}

}  // namespace

void egress::OnAnswerHead(const call_ptr& call, stream::message_head head) {
  call->answer_info = fleet_.dialect.ReadAnswer(head);
  call->answer = std::move(head);
  DropFleetHeaders(&call->answer.headers);
  if (upstream_ && upstream_->id == call->upstream &&
      !call->answer_info.wrong_instance) {
    // Health checks in flight may count as calls there.
    const int own = static_cast<int>(running_.size()) + (probing_ ? 1 : 0) +
                    (asking_if_warm_ ? 1 : 0);
    monitor_.OnReport(call->answer_info.load, own, fleet_.loop.Now());
  }
  OnUpstreamUp();
  const bool is_large = call->answer.framing == stream::body_framing::kLength &&
                        call->answer.length > kMaxBufferedAnswerBytes;
  if (is_large && !call->answer_info.not_run) SendAnswer(call);
}

void egress::OnAnswerData(const call_ptr& call, std::string_view bytes) {
  if (!call->streams_answer) {
    call->answer_body.append(bytes);
    if (call->answer_body.size() <= kMaxBufferedAnswerBytes) return;
    SendAnswer(call);
    return;
  }
  call->inbound->SendData(bytes);
  if (call->inbound->UnsentBytes() > MaxUnsentBytes(server_.IsCrowded()) &&
      call->exchange) {
    call->exchange->SetReading(false);
  }
}

void egress::OnAnswerEnd(const call_ptr& call) {
  const instant now = fleet_.loop.Now();
  const duration took = now - call->started;
  RemoveRunning(*call);
  call->exchange = nullptr;
  guard_.OnAnswered(call->fingerprint);
  outcome result = outcome::kAnswered;
  core::reason reason = core::reason::kNone;
  if (call->answer_info.wrong_instance) {
    result = outcome::kShed;
    reason = core::reason::kUnknownUpstream;
  } else if (call->answer_info.not_run) {
    result = outcome::kShed;
    reason = core::reason::kShed;
    OnShed(*call, now);
  } else if (call->answer.status < 300) {
    ObserveCost(*call, took, now);
    times_.Observe(call->info.route, took, now);
    const duration typical = std::max<duration>(
        milliseconds(1), milliseconds(call->info.typical_ms));
    const double ratio = std::clamp(static_cast<double>(took.count()) /
                                        static_cast<double>(typical.count()),
                                    0.05, 20.0);
    slowness_ += kNewestCallWeight * (ratio - slowness_);
    if (!gate_.IsCold(now)) monitor_.OnRun(took, typical, now);
  }
  if (result == outcome::kAnswered) breaker_.OnNotShed();
  fleet_.metrics.ObserveUpstream(OutcomeName(result), took);
  if (call->streams_answer) {
    call->inbound->SendEnd();
    LogEnd(*call, result, reason);
    RemoveCall(call);
    server_.FinishRequest(call->inbound);
  } else if (result == outcome::kAnswered) {
    SendAnswer(call);
    call->inbound->SendEnd();
    LogEnd(*call, result, reason);
    RemoveCall(call);
    server_.FinishRequest(call->inbound);
  } else {
    SendOutcome(call, result, reason, {});
  }
  StartQueuedCalls();
}

void egress::ObserveCost(const call& call, duration took, instant now) {
  if (!call.predicted) return;
  fleet_.metrics.ObserveCostRatio(ExpectedTime(call).mean, took);
  fleet_.costs.Observe(
      call.cost, std::chrono::duration_cast<duration>(took / TimeFactor(now)),
      now);
}

outcome_header egress::BuildOutcome(const call& call, outcome result,
                                    core::reason reason, instant now) const {
  outcome_header outcome_info;
  outcome_info.result = result;
  outcome_info.reason = reason;
  if (const auto load = Load()) outcome_info.load = *load;
  outcome_info.load.upstream = call.info.upstream;
  if (call.started != instant{}) {
    outcome_info.took_ms = ToWholeMs(now - call.started);
    outcome_info.waited_ms = ToWholeMs(call.started - call.received);
  } else {
    outcome_info.waited_ms = ToWholeMs(now - call.received);
  }
  return outcome_info;
}

void egress::AddNeeds(const call& call, instant now,
                      outcome_header* outcome_info) {
  if (!fleet_.UsesOverloadControl()) return;
  auto needs = fleet_.call_tree.Needs(call.info.route, now);
  if (need_reports_.ShouldReport(call.inbound->PeerAddress(), call.info.route,
                                 needs, now)) {
    outcome_info->needs = std::move(needs);
  }
}

// Sends the answer's head and the buffered part of its body. The remainder is
// streamed.
void egress::SendAnswer(const call_ptr& call) {
  const instant now = fleet_.loop.Now();
  stream::message_head head = call->answer;
  head.close = false;
  outcome_header outcome_info =
      BuildOutcome(*call, outcome::kAnswered, core::reason::kNone, now);
  AddNeeds(*call, now, &outcome_info);
  head.headers.emplace_back(kOutcomeHeader, EncodeOutcome(outcome_info));
  const bool is_complete = call->exchange == nullptr;
  if (is_complete && head.framing != stream::body_framing::kNone) {
    head.framing = stream::body_framing::kLength;
    head.length = call->answer_body.size();
  }
  call->streams_answer = true;
  call->inbound->SendHead(head);
  call->inbound->SendData(call->answer_body);
  call->answer_body.clear();
  call->inbound->on_drained = [call] {
    if (call->exchange) call->exchange->SetReading(true);
  };
}

void egress::OnFailed(const call_ptr& call, stream::failure failure) {
  const instant now = fleet_.loop.Now();
  RemoveRunning(*call);
  call->exchange = nullptr;
  fleet_.metrics.ObserveUpstream("failed", now - call->started);
  if (failure == stream::failure::kBadAnswer) {
    net::Log(core::log_level::kWarning, "answer of the upstream is malformed",
             {{"request", call->caller_id},
              {"attempt", call->info.attempt},
              {"upstream", call->upstream}});
  }
  if (call->streams_answer) {
    // The ingress must detect that the answer is truncated.
    LogEnd(*call, outcome::kMayHaveRun, core::reason::kConnectionLost);
    RemoveCall(call);
    server_.Abort(call->inbound);
    RecordLostCall(*call);
    OnAbandoned(now);
    StartQueuedCalls();
    return;
  }
  if (failure == stream::failure::kNotSent) {
    SendOutcome(call, outcome::kNotRun, core::reason::kConnectFailed,
                kIngressRetryAfter);
    Probe();
  } else {
    SendOutcome(call, outcome::kMayHaveRun, core::reason::kConnectionLost, {});
    RecordLostCall(*call);
    OnAbandoned(now);
  }
  StartQueuedCalls();
}

// ---------------------------------------------------------------------------
// Ends.

void egress::Refuse(const call_ptr& call, core::reason reason,
                    duration retry_after) {
  if (call->finished) return;
  queue_.Remove(call->id);
  SendOutcome(call, outcome::kNotRun, reason, retry_after);
}

void egress::SendOutcome(const call_ptr& call, outcome result,
                         core::reason reason, duration retry_after) {
  const instant now = fleet_.loop.Now();
  outcome_header outcome_info = BuildOutcome(*call, result, reason, now);
  outcome_info.retry_after_ms = ToWholeMs(retry_after);
  AddNeeds(*call, now, &outcome_info);
  stream::message_head head;
  head.status = 503;
  head.headers.emplace_back(kOutcomeHeader, EncodeOutcome(outcome_info));
  head.framing = stream::body_framing::kLength;
  call->inbound->SendHead(head);
  call->inbound->SendEnd();
  LogEnd(*call, result, reason);
  RemoveCall(call);
  server_.FinishRequest(call->inbound);
}

void egress::LogEnd(const call& call, outcome result, core::reason reason) {
  const instant now = fleet_.loop.Now();
  const bool started = call.started != instant{};
  const sched::cost_estimate expected = ExpectedTime(call);
  net::Log(
      core::log_level::kInfo, "attempt ended",
      {{"request", call.caller_id},
       {"attempt", call.info.attempt},
       {"outcome", OutcomeName(result)},
       {"reason", core::ReasonName(reason)},
       {"upstream", call.info.upstream},
       {"status", std::to_string(call.answer.status)},
       {"queue_ms", MsText((started ? call.started : now) - call.received)},
       {"upstream_ms", started ? MsText(now - call.started) : "0"},
       {"expected_ms", MsText(expected.mean)},
       {"high_ms", MsText(expected.high)},
       {"budget_ms", MsText(call.deadline - call.received)},
       {"aim_ms", MsText(call.aim_at - call.received)},
       {"running", std::to_string(running_.size())},
       {"queued", std::to_string(queue_.Size())},
       {"usable_slots", std::to_string(UsableSlots(now))},
       {"hidden", std::to_string(monitor_.HiddenCalls(now))},
       {"speed", FactorText(monitor_.Speed(now))},
       {"pace", FactorText(monitor_.Pace(now))}});
}

void egress::RemoveCall(const call_ptr& call) {
  call->finished = true;
  calls_.erase(call->id);
  by_attempt_.erase(call->info.attempt);
  if (call->started != instant{}) {
    attempts_.NoteStarted(call->info.attempt, fleet_.loop.Now());
  }
}

void egress::OnLinkClosed(const call_ptr& call) {
  if (call->finished) return;
  const bool ran = call->started != instant{};
  queue_.Remove(call->id);
  RemoveRunning(*call);
  if (call->exchange) call->exchange->Cancel();
  call->exchange = nullptr;
  if (ran) OnAbandoned(fleet_.loop.Now());
  LogEnd(*call, ran ? outcome::kMayHaveRun : outcome::kNotRun,
         core::reason::kCancelled);
  RemoveCall(call);
  server_.Abort(call->inbound);
  StartQueuedCalls();
}

}  // namespace pimentohall::node
