// Handles the answers of egresses and ends calls.

#include <algorithm>
#include <nlohmann/json.hpp>

#include "node/ingress_call.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// An upstream whose daemon refused a call gets no calls for this long.
constexpr duration kRefusedBackoff = milliseconds(15);
// A slowness outside of this range isn't believed: no cost is learned.
constexpr double kMinSlowness = 0.05;
constexpr double kMaxSlowness = 20;
// An unreachable upstream gets no calls for this long, even if its news arrive.
constexpr duration kUnreachableBackoff = milliseconds(300);
constexpr duration kMaxRetryAfter = std::chrono::seconds(3);
// How long to wait for a daemon to report on an attempt whose link broke.
constexpr duration kAttemptQueryTimeout = milliseconds(500);

constexpr char kJsonType[] = "application/json";

const char* StatusText(int status) {
  switch (status) {
    case 400:
      return "malformed request";
    case 401:
      return "unknown key";
    case 404:
      return "no route";
    case 413:
      return "body too large";
    case 429:
      return "rate exceeded";
    case 502:
      return "no whole answer from the upstream";
    case 504:
      return "no answer in time";
    default:
      return "not taken now";
  }
}

}  // namespace

// ---------------------------------------------------------------------------
// Answers of the egress.

void ingress::OnAnswerHead(const call_ptr& call, stream::message_head head) {
  const auto outcome_info =
      DecodeOutcome(net::FindHeader(head.headers, kOutcomeHeader));
  if (!outcome_info) {
    net::Log(core::log_level::kWarning, "answer of a daemon has no outcome",
             {{"request", call->caller_id},
              {"peer", call->address},
              {"problem", outcome_info.error()}});
    call->outcome_info = outcome_header{};
  } else {
    call->outcome_info = *outcome_info;
    fleet_.OnLoad(call->service, outcome_info->load);
    if (outcome_info->needs && fleet_.UsesOverloadControl()) {
      fleet_.needs.OnNeeds(call->route->name, *outcome_info->needs,
                           fleet_.loop.Now());
    }
  }
  call->has_answer_head = true;
  call->answer = std::move(head);
  DropFleetHeaders(&call->answer.headers);
  const bool is_large =
      call->answer.framing == stream::body_framing::kChunked ||
      call->answer.length > kMaxBufferedAnswerBytes;
  if (call->outcome_info.result == outcome::kAnswered && is_large) Relay(call);
}

void ingress::OnAnswerData(const call_ptr& call, std::string_view bytes) {
  if (!call->streams_answer) {
    call->answer_body.append(bytes);
    return;
  }
  call->inbound->SendData(bytes);
  if (call->inbound->UnsentBytes() > MaxUnsentBytes(server_.IsCrowded()) &&
      call->attempt) {
    call->attempt->SetReading(false);
  }
}

void ingress::ObserveTransit(const call& call) {
  // A large body takes long on any link.
  if (RequestBytes(call) >= kMinAskedBodyBytes) return;
  const instant now = fleet_.loop.Now();
  const outcome_header& outcome = call.outcome_info;
  const duration at_egress = milliseconds(outcome.waited_ms + outcome.took_ms);
  const duration transit = now - call.forwarded - at_egress;
  fleet_.picker.OnTransit(call.upstream, std::max(duration{0}, transit), now);
}

void ingress::OnAnswerEnd(const call_ptr& call) {
  // Refused before the body was sent: the link isn't usable without it.
  if (call->body_withheld) call->attempt->Cancel();
  call->attempt = nullptr;
  ObserveTransit(*call);
  if (controls_overload_ && call->outcome_info.result == outcome::kAnswered) {
    fleet_.pacer.OnAnswered(call->service, fleet_.loop.Now());
  }
  if (call->streams_answer) {
    call->inbound->SendEnd();
    Finish(call, call->answer.status, "upstream", core::reason::kNone);
    return;
  }
  OnOutcome(call);
}

void ingress::OnOutcome(const call_ptr& call) {
  switch (call->outcome_info.result) {
    case outcome::kNotRun:
      OnRefused(call, call->outcome_info);
      return;
    case outcome::kShed:
      OnShed(call);
      return;
    case outcome::kMayHaveRun:
      OnMayHaveRun(call, call->outcome_info.reason);
      return;
    case outcome::kAnswered:
      break;
  }
  const instant now = fleet_.loop.Now();
  const bool failed = call->answer.status >= 500;
  ++call->sent;
  fleet_.picker.OnDone(call->upstream, failed, now);
  if (!failed) {
    fleet_.typical.Observe(call->route->name,
                           milliseconds(call->outcome_info.took_ms), now);
    ObserveCost(*call, now);
    fleet_.carried.Observe(
        call->route->name,
        static_cast<double>(RequestBytes(*call) + call->answer_body.size()));
  }
  call->may_have_run = true;
  if (failed && call->answer.status != 504 && call->route->idempotent &&
      MayRetry(call, now)) {
    call->failed_answer = std::move(call->answer);
    call->failed_answer_body = std::move(call->answer_body);
    call->has_failed_answer = true;
    StartNextAttempt(call);
    return;
  }
  Relay(call);
}

// The egress beside the upstream of this VM learns from the same runs itself.
void ingress::ObserveCost(const call& call, instant now) {
  const bool is_own = call.address == fleet_.settings.peers.address;
  if (!call.cost || is_own || call.answer.status >= 300) return;
  const double slowness = call.outcome_info.load.slowness;
  if (!(slowness >= kMinSlowness && slowness <= kMaxSlowness)) return;
  const duration took = milliseconds(call.outcome_info.took_ms);
  fleet_.costs.Observe(call.cost_key,
                       std::chrono::duration_cast<duration>(took / slowness),
                       now);
}

bool ingress::RelayFailedAnswer(const call_ptr& call) {
  if (!call->has_failed_answer) return false;
  if (call->attempt) call->attempt->Cancel();
  call->attempt = nullptr;
  call->answer = std::move(call->failed_answer);
  call->answer_body = std::move(call->failed_answer_body);
  Relay(call);
  return true;
}

void ingress::OnRefused(const call_ptr& call,
                        const outcome_header& outcome_info) {
  const instant now = fleet_.loop.Now();
  ++call->refusals;
  call->last_refusal = outcome_info.reason;
  const duration wait = milliseconds(outcome_info.retry_after_ms);
  if (call->retry_after.count() == 0 || wait < call->retry_after) {
    call->retry_after = wait;
  }
  const bool is_unreachable =
      outcome_info.reason == core::reason::kConnectFailed ||
      outcome_info.reason == core::reason::kUnknownUpstream ||
      outcome_info.reason == core::reason::kStopping;
  fleet_.picker.OnRefused(
      call->upstream, is_unreachable ? kUnreachableBackoff : kRefusedBackoff,
      now);
  if (outcome_info.reason == core::reason::kQuarantined) {
    RefuseUnavailable(call, outcome_info.reason);
    return;
  }
  // A streamed body isn't buffered, so it can't be sent again once it left.
  if (call->streams_body && !call->body_withheld) {
    RefuseUnavailable(call, outcome_info.reason);
    return;
  }
  StartNextAttempt(call);
}

void ingress::OnShed(const call_ptr& call) {
  const instant now = fleet_.loop.Now();
  ++call->sent;
  call->last_refusal = core::reason::kShed;
  fleet_.picker.OnDone(call->upstream, true, now);
  if (MayRetry(call, now)) {
    StartNextAttempt(call);
    return;
  }
  RefuseUnavailable(call, core::reason::kShed);
}

void ingress::OnMayHaveRun(const call_ptr& call, core::reason reason) {
  const instant now = fleet_.loop.Now();
  ++call->sent;
  call->may_have_run = true;
  fleet_.picker.OnDone(call->upstream, true, now);
  if (call->route->idempotent && MayRetry(call, now)) {
    StartNextAttempt(call);
    return;
  }
  if (RelayFailedAnswer(call)) return;
  const int status = reason == core::reason::kDeadline ? 504 : 502;
  Refuse(call, status, reason, {});
}

void ingress::OnAttemptFailed(const call_ptr& call, stream::failure failure) {
  if (call->finished) return;
  call->attempt = nullptr;
  net::Log(core::log_level::kInfo, "attempt lost its daemon",
           {{"request", call->caller_id},
            {"upstream", call->upstream},
            {"peer", call->address},
            {"sent", failure == stream::failure::kNotSent ? "no" : "yes"},
            {"after_ms", MsText(fleet_.loop.Now() - call->forwarded)}});
  const auto* const peer = fleet_.peers.Find(call->address);
  if (peer != nullptr && peer->heard_at < call->forwarded) {
    // Its VM may be gone: it gets no more calls for the time after which a
    // silent peer counts as lost.
    fleet_.picker.OnRefused(call->upstream, peer->silence, fleet_.loop.Now());
  }
  if (call->streams_answer) {
    // The caller has part of the answer and must detect that it is truncated.
    Finish(call, 0, "upstream", core::reason::kPeerLost);
    server_.Abort(call->inbound);
    return;
  }
  // The answer to the query decides.
  if (call->querying_attempt) return;
  // Without its body, no daemon starts a call.
  if (failure == stream::failure::kNotSent || call->body_withheld) {
    outcome_header not_sent;
    not_sent.result = outcome::kNotRun;
    not_sent.reason = core::reason::kConnectFailed;
    OnRefused(call, not_sent);
    return;
  }
  if (call->route->idempotent) {
    OnMayHaveRun(call, core::reason::kPeerLost);
    return;
  }
  ResolveLostAttempt(call);
}

// The answer "not_run" also guarantees that the attempt never will run. Only
// the process that got the attempt can give it: the daemon may have been
// started again since.
void ingress::QueryAttempt(const call_ptr& call,
                           const std::function<void(bool not_run)>& done) {
  call->querying_attempt = true;
  net::http_request query;
  query.target = fleet_.PeerEndpoint(call->address);
  query.path = "/pimentohall/attempt?boot=" + std::to_string(call->peer_boot) +
               "&id=" + call->attempt_id;
  query.timeout =
      std::min(kAttemptQueryTimeout, call->deadline - fleet_.loop.Now());
  fleet_.metrics.CountPeerBytes(node_metrics::peer_traffic::kAttemptQuery,
                                fleet_.IsFar(call->address), true,
                                query.path.size());
  attempt_queries_.Start(
      query,
      [this, call, done, attempt = call->attempt_id](
          const tl::expected<net::http_answer, net::http_failure>& answer) {
        if (call->finished || call->attempt_id != attempt) return;
        call->querying_attempt = false;
        const bool not_run = answer && answer->status == 200 && answer->body &&
                             *answer->body == "not_run";
        net::Log(core::log_level::kInfo, "asked for an attempt",
                 {{"request", call->caller_id},
                  {"attempt", call->attempt_id},
                  {"peer", call->address},
                  {"why", call->withdrawal_asked ? "stop" : "lost"},
                  {"outcome", not_run ? "not_run" : "may_have_run"}});
        done(not_run);
      });
}

void ingress::ResolveLostAttempt(const call_ptr& call) {
  QueryAttempt(call, [this, call](bool not_run) {
    if (!not_run) {
      OnMayHaveRun(call, core::reason::kPeerLost);
      return;
    }
    outcome_header outcome_info;
    outcome_info.result = outcome::kNotRun;
    outcome_info.reason = core::reason::kPeerLost;
    OnRefused(call, outcome_info);
  });
}

// An attempt that runs, or whose daemon doesn't answer, goes on.
void ingress::WithdrawAttempt(const call_ptr& call) {
  call->withdrawal_asked = true;
  QueryAttempt(call, [this, call](bool not_run) {
    if (not_run) {
      if (call->attempt) call->attempt->Cancel();
      call->attempt = nullptr;
      RefuseUnavailable(call, core::reason::kStopping);
    } else if (call->attempt == nullptr) {
      OnMayHaveRun(call, core::reason::kPeerLost);
    }
  });
}

void ingress::WithdrawHopelessCalls() {
  const instant now = fleet_.loop.Now();
  std::vector<call_ptr> hopeless;
  for (const auto& [inbound, call] : calls_) {
    const bool may_wait = call->attempt != nullptr && !call->has_answer_head;
    if (may_wait && !call->withdrawal_asked && CantEndBeforeStop(*call, now)) {
      hopeless.push_back(call);
    }
  }
  for (const call_ptr& call : hopeless) WithdrawAttempt(call);
}

void ingress::EndPendingCalls() {
  std::vector<call_ptr> pending;
  for (const auto& [inbound, call] : calls_) {
    if (!call->streams_answer) pending.push_back(call);
  }
  for (const call_ptr& call : pending) {
    EndUnanswered(call, core::reason::kStopping);
  }
}

void ingress::OnPeerRestarted(const std::string& address) {
  pool_.FailAll(fleet_.PeerEndpoint(address));
}

// ---------------------------------------------------------------------------
// Ends.

// Relays the upstream's answer: all of it, or only its head if it is streamed.
void ingress::Relay(const call_ptr& call) {
  stream::message_head head = call->answer;
  head.close = stopping_;
  const bool is_complete = call->attempt == nullptr;
  if (is_complete && head.framing != stream::body_framing::kNone) {
    head.framing = stream::body_framing::kLength;
    head.length = call->answer_body.size();
  }
  call->inbound->SendHead(head);
  if (is_complete) {
    call->inbound->SendData(call->answer_body);
    call->inbound->SendEnd();
    Finish(call, head.status, "upstream", core::reason::kNone);
    return;
  }
  call->streams_answer = true;
  call->inbound->on_drained = [call] {
    if (call->attempt) call->attempt->SetReading(true);
  };
}

void ingress::RefuseUnavailable(const call_ptr& call, core::reason reason) {
  if (RelayFailedAnswer(call)) return;
  // An earlier attempt may have run, so "not run" would be untrue.
  if (call->may_have_run) {
    Refuse(call, 502, reason, {});
    return;
  }
  if (call->holds_token && call->sent == 0) {
    fleet_.allotments.ReturnToken(*call->tenant, fleet_.loop.Now());
  }
  const duration wait = RetryAfter(*call, fleet_.loop.Now());
  if (controls_overload_) call->retry_after = wait;
  Refuse(call, 503, reason, wait);
}

duration ingress::RetryAfter(const call& call, instant now) {
  const duration wait = std::min(
      call.retry_after.count() > 0 ? call.retry_after : kCallerRetryAfter,
      kMaxRetryAfter);
  if (!controls_overload_) return wait;
  const duration budget = call.budget.value_or(call.deadline - call.received);
  const duration paced = fleet_.pacer.RetryAfter(
      call.service, wait, call.received + budget - now, now);
  fleet_.metrics.ObserveRetryAfter(paced);
  // The header has milliseconds, rounded; a third of the time left is a bound.
  return std::min(kMaxRetryAfter,
                  duration(std::chrono::floor<milliseconds>(paced)));
}

void ingress::Refuse(const call_ptr& call, int status, core::reason reason,
                     duration retry_after) {
  stream::message_head head;
  head.status = status;
  head.close = stopping_;
  head.headers.emplace_back("Content-Type", kJsonType);
  fleet_.dialect.WriteAnswerId(call->caller_id, &head.headers);
  if (status == 429 || status == 503) {
    fleet_.dialect.WriteRetryAfter(retry_after, &head.headers);
  }
  const nlohmann::ordered_json body = {{"error", StatusText(status)},
                                       {"reason", core::ReasonName(reason)}};
  const std::string text = body.dump();
  head.framing = stream::body_framing::kLength;
  head.length = text.size();
  call->inbound->SendHead(head);
  if (call->head.method != "HEAD") call->inbound->SendData(text);
  call->inbound->SendEnd();
  Finish(call, status, "daemon", reason);
}

void ingress::Finish(const call_ptr& call, int status, const char* source,
                     core::reason reason) {
  if (call->finished) return;
  call->finished = true;
  call->deadline_timer.disconnect();
  call->wait_timer.disconnect();
  if (call->attempt) {
    call->attempt->Cancel();
    call->attempt = nullptr;
  }
  const instant now = fleet_.loop.Now();
  const duration took = now - call->received;
  if (IsSpared(*call) && status != 0 && !call->service.empty()) {
    const bool in_time =
        source == std::string_view("upstream") && took <= UsefulTime(*call);
    fleet_.call_tree.OnNestedDone(call->service, took, in_time, now);
    fleet_.metrics.CountNested(in_time ? "in_time" : "late_or_refused");
  }
  fleet_.metrics.CountCall(call->RouteName(), status, source,
                           core::ReasonName(reason), took);
  net::Log(
      core::log_level::kInfo, "call ended",
      {{"request", call->caller_id},
       {"status", std::to_string(status)},
       {"from", source},
       {"reason", core::ReasonName(reason)},
       {"route", call->RouteName()},
       {"tenant", call->tenant ? call->tenant->name : ""},
       {"service", call->service},
       {"upstream", call->upstream},
       {"sent", std::to_string(call->sent)},
       {"refusals", std::to_string(call->refusals)},
       {"nested", call->nested ? "yes" : "no"},
       {"callee_full", call->refused_for_callee ? "yes" : "no"},
       {"retry_after_ms", MsText(call->retry_after)},
       {"took_ms", MsText(took)},
       {"queue_ms", std::to_string(call->outcome_info.waited_ms)},
       {"upstream_ms", std::to_string(call->outcome_info.took_ms)},
       {"budget_ms", MsText(call->deadline - call->received)},
       {"spent_ms", MsText(call->spent)},
       {"config", call->config ? std::to_string(call->config->Version()) : "0"},
       {"config_age_ms", MsText(now - fleet_.config_at)}});
  calls_.erase(call->inbound.get());
  if (status != 0) server_.FinishRequest(call->inbound);
}

void ingress::OnCallerDisconnected(const call_ptr& call) {
  Finish(call, 0, "caller", core::reason::kCancelled);
  server_.Abort(call->inbound);
}

void ingress::OnDeadline(const call_ptr& call) {
  EndUnanswered(call, core::reason::kDeadline);
}

void ingress::EndUnanswered(const call_ptr& call, core::reason reason) {
  if (call->finished) return;
  const bool may_run = call->attempt != nullptr || call->querying_attempt;
  if (call->streams_answer) {
    Finish(call, 0, "daemon", reason);
    server_.Abort(call->inbound);
    return;
  }
  if (RelayFailedAnswer(call)) return;
  if (may_run || call->may_have_run) {
    Refuse(call, 504, reason, {});
    return;
  }
  RefuseUnavailable(call, reason);
}

}  // namespace pimentohall::node
