// What an egress answers, and the ends of calls.

#include <algorithm>
#include <nlohmann/json.hpp>

#include "node/ingress_call.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// An upstream whose daemon refused gets no call for this long.
constexpr duration kRefusedPause = milliseconds(15);
// One that can't be reached is left alone until news or this time.
constexpr duration kUnreachablePause = milliseconds(300);
constexpr duration kLongestRetryAfter = std::chrono::seconds(3);
// How long to wait for a daemon's word on an attempt whose link broke.
constexpr duration kQuestionTime = milliseconds(500);

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

void ingress::OnAnswerHead(const call_ptr& which, stream::message_head head) {
  const instant now = fleet_.loop.Now();
  const auto told =
      DecodeOutcome(net::FindHeader(head.headers, kOutcomeHeader));
  if (!told) {
    net::Log(core::log_level::kWarning, "answer of a daemon has no outcome",
             {{"request", which->caller_id},
              {"peer", which->address},
              {"problem", told.error()}});
    which->told = outcome_header{};
  } else {
    which->told = *told;
    fleet_.picker.OnNews(told->load, now);
  }
  which->has_answer_head = true;
  which->answer = std::move(head);
  DropFleetHeaders(&which->answer.headers);
  const bool is_long =
      which->answer.framing == stream::body_framing::kChunked ||
      which->answer.length > kHeldBodyBytes;
  if (which->told.what == outcome::kAnswered && is_long) Relay(which);
}

void ingress::OnAnswerData(const call_ptr& which, std::string_view bytes) {
  if (!which->streams_answer) {
    which->answer_body.append(bytes);
    return;
  }
  which->conn->SendData(bytes);
  if (which->conn->Unsent() > kStreamAheadBytes && which->attempt) {
    which->attempt->SetReading(false);
  }
}

void ingress::OnAnswerEnd(const call_ptr& which) {
  which->attempt = nullptr;
  if (which->streams_answer) {
    which->conn->SendEnd();
    Finish(which, which->answer.status, "upstream", core::reason::kNone);
    return;
  }
  OnOutcome(which);
}

void ingress::OnOutcome(const call_ptr& which) {
  switch (which->told.what) {
    case outcome::kNotRun:
      OnRefused(which, which->told);
      return;
    case outcome::kShed:
      OnShed(which);
      return;
    case outcome::kMayHaveRun:
      OnMayHaveRun(which, which->told.why);
      return;
    case outcome::kAnswered:
      break;
  }
  const instant now = fleet_.loop.Now();
  const bool failed = which->answer.status >= 500;
  ++which->sent;
  fleet_.picker.OnDone(which->upstream, failed, now);
  if (!failed) {
    fleet_.typical.Observe(which->route->name,
                           milliseconds(which->told.took_ms), now);
  }
  which->may_have_run = true;
  if (failed && which->answer.status != 504 && which->route->idempotent &&
      MayRepeat(which, now)) {
    which->failure = std::move(which->answer);
    which->failure_body = std::move(which->answer_body);
    which->has_failure = true;
    TryNext(which);
    return;
  }
  Relay(which);
}

bool ingress::RelayFailure(const call_ptr& which) {
  if (!which->has_failure) return false;
  if (which->attempt) which->attempt->Cancel();
  which->attempt = nullptr;
  which->answer = std::move(which->failure);
  which->answer_body = std::move(which->failure_body);
  Relay(which);
  return true;
}

void ingress::OnRefused(const call_ptr& which, const outcome_header& told) {
  const instant now = fleet_.loop.Now();
  ++which->refusals;
  which->last_refusal = told.why;
  const duration wait = milliseconds(told.retry_after_ms);
  if (which->retry_after.count() == 0 || wait < which->retry_after) {
    which->retry_after = wait;
  }
  const bool is_fault = told.why == core::reason::kConnectFailed ||
                        told.why == core::reason::kUnknownUpstream ||
                        told.why == core::reason::kStopping;
  fleet_.picker.OnRefused(which->upstream,
                          is_fault ? kUnreachablePause : kRefusedPause, now);
  if (told.why == core::reason::kQuarantined) {
    RefuseAsFull(which, told.why);
    return;
  }
  // A long body is gone once it was passed on.
  if (which->streams_body) {
    RefuseAsFull(which, told.why);
    return;
  }
  TryNext(which);
}

void ingress::OnShed(const call_ptr& which) {
  const instant now = fleet_.loop.Now();
  ++which->sent;
  which->last_refusal = core::reason::kShed;
  fleet_.picker.OnDone(which->upstream, true, now);
  if (MayRepeat(which, now)) {
    TryNext(which);
    return;
  }
  RefuseAsFull(which, core::reason::kShed);
}

void ingress::OnMayHaveRun(const call_ptr& which, core::reason why) {
  const instant now = fleet_.loop.Now();
  ++which->sent;
  which->may_have_run = true;
  fleet_.picker.OnDone(which->upstream, true, now);
  if (which->route->idempotent && MayRepeat(which, now)) {
    TryNext(which);
    return;
  }
  if (RelayFailure(which)) return;
  const int status = why == core::reason::kDeadline ? 504 : 502;
  Refuse(which, status, why, {});
}

void ingress::OnAttemptFailed(const call_ptr& which, stream::failure why) {
  if (which->finished) return;
  which->attempt = nullptr;
  net::Log(core::log_level::kInfo, "attempt lost its daemon",
           {{"request", which->caller_id},
            {"upstream", which->upstream},
            {"peer", which->address},
            {"sent", why == stream::failure::kNotSent ? "no" : "yes"},
            {"after_ms", MsText(fleet_.loop.Now() - which->forwarded)}});
  const auto* const peer = fleet_.peers.Find(which->address);
  if (peer != nullptr && peer->heard_at < which->forwarded) {
    // Its VM may be gone: no more calls until its next news are due.
    fleet_.picker.OnRefused(which->upstream, peer->silence, fleet_.loop.Now());
  }
  if (which->streams_answer) {
    // The caller has a part of the answer: it must see that it is cut.
    Finish(which, 0, "upstream", core::reason::kPeerLost);
    server_.Abort(which->conn);
    return;
  }
  if (why == stream::failure::kNotSent) {
    outcome_header not_sent;
    not_sent.what = outcome::kNotRun;
    not_sent.why = core::reason::kConnectFailed;
    OnRefused(which, not_sent);
    return;
  }
  if (which->route->idempotent) {
    OnMayHaveRun(which, core::reason::kPeerLost);
    return;
  }
  ResolveLost(which);
}

// Asks the daemon whether the attempt ran. Its word that it didn't also means
// that it never will.
void ingress::ResolveLost(const call_ptr& which) {
  which->asking = true;
  net::http_request question;
  question.target = fleet_.PeerEndpoint(which->address);
  question.path = "/pimentohall/attempt?id=" + which->attempt_id;
  question.timeout =
      std::min(kQuestionTime, which->deadline - fleet_.loop.Now());
  questions_.Start(
      question,
      [this,
       which](const tl::expected<net::http_answer, net::http_failure>& answer) {
        if (which->finished) return;
        which->asking = false;
        const bool not_run = answer && answer->status == 200 && answer->body &&
                             *answer->body == "not_run";
        net::Log(core::log_level::kInfo, "asked for a lost attempt",
                 {{"request", which->caller_id},
                  {"attempt", which->attempt_id},
                  {"peer", which->address},
                  {"outcome", not_run ? "not_run" : "may_have_run"}});
        if (!not_run) {
          OnMayHaveRun(which, core::reason::kPeerLost);
          return;
        }
        outcome_header told;
        told.what = outcome::kNotRun;
        told.why = core::reason::kPeerLost;
        OnRefused(which, told);
      });
}

void ingress::OnPeerRestarted(const std::string& address) {
  pool_.FailAll(fleet_.PeerEndpoint(address));
}

// ---------------------------------------------------------------------------
// Ends.

// Passes the upstream's answer on: whole, or its head if it is long.
void ingress::Relay(const call_ptr& which) {
  stream::message_head head = which->answer;
  head.close = stopping_;
  const bool is_whole = which->attempt == nullptr;
  if (is_whole && head.framing != stream::body_framing::kNone) {
    head.framing = stream::body_framing::kLength;
    head.length = which->answer_body.size();
  }
  which->conn->SendHead(head);
  if (is_whole) {
    which->conn->SendData(which->answer_body);
    which->conn->SendEnd();
    Finish(which, head.status, "upstream", core::reason::kNone);
    return;
  }
  which->streams_answer = true;
  which->conn->on_drained = [which] {
    if (which->attempt) which->attempt->SetReading(true);
  };
}

void ingress::RefuseAsFull(const call_ptr& which, core::reason why) {
  if (RelayFailure(which)) return;
  // An earlier attempt may have run, so "not run" would be untrue.
  if (which->may_have_run) {
    Refuse(which, 502, why, {});
    return;
  }
  if (which->tenant != nullptr && which->sent == 0) {
    fleet_.allotments.GiveBack(*which->tenant, fleet_.loop.Now());
  }
  const duration wait =
      which->retry_after.count() > 0 ? which->retry_after : kCallerRetryAfter;
  Refuse(which, 503, why, std::min(wait, kLongestRetryAfter));
}

void ingress::Refuse(const call_ptr& which, int status, core::reason why,
                     duration retry_after) {
  stream::message_head head;
  head.status = status;
  head.close = stopping_;
  head.headers.emplace_back("Content-Type", kJsonType);
  fleet_.dialect.WriteAnswerId(which->caller_id, &head.headers);
  if (status == 429 || status == 503) {
    fleet_.dialect.WriteRetryAfter(retry_after, &head.headers);
  }
  const nlohmann::ordered_json body = {{"error", StatusText(status)},
                                       {"reason", core::ReasonName(why)}};
  const std::string text = body.dump();
  head.framing = stream::body_framing::kLength;
  head.length = text.size();
  which->conn->SendHead(head);
  if (which->head.method != "HEAD") which->conn->SendData(text);
  which->conn->SendEnd();
  Finish(which, status, "daemon", why);
}

void ingress::Finish(const call_ptr& which, int status, const char* source,
                     core::reason why) {
  if (which->finished) return;
  which->finished = true;
  which->deadline_timer.disconnect();
  if (which->attempt) {
    which->attempt->Cancel();
    which->attempt = nullptr;
  }
  const instant now = fleet_.loop.Now();
  const duration took = now - which->received;
  fleet_.metrics.CountCall(which->RouteName(), status, source,
                           core::ReasonName(why), took);
  net::Log(core::log_level::kInfo, "call ended",
           {{"request", which->caller_id},
            {"status", std::to_string(status)},
            {"from", source},
            {"reason", core::ReasonName(why)},
            {"route", which->RouteName()},
            {"tenant", which->tenant ? which->tenant->name : ""},
            {"service", which->service},
            {"upstream", which->upstream},
            {"sent", std::to_string(which->sent)},
            {"refusals", std::to_string(which->refusals)},
            {"retry_after_ms", MsText(which->retry_after)},
            {"took_ms", MsText(took)},
            {"queue_ms", std::to_string(which->told.waited_ms)},
            {"upstream_ms", std::to_string(which->told.took_ms)},
            {"budget_ms", MsText(which->deadline - which->received)},
            {"config",
             which->config ? std::to_string(which->config->Version()) : "0"},
            {"config_age_ms", MsText(now - fleet_.config_at)}});
  calls_.erase(which->conn.get());
  if (status != 0) server_.Done(which->conn);
}

void ingress::OnCallerGone(const call_ptr& which) {
  Finish(which, 0, "caller", core::reason::kCancelled);
  server_.Abort(which->conn);
}

void ingress::OnDeadline(const call_ptr& which) {
  if (which->finished) return;
  const bool may_run = which->attempt != nullptr || which->asking;
  if (which->streams_answer) {
    Finish(which, 0, "daemon", core::reason::kDeadline);
    server_.Abort(which->conn);
    return;
  }
  if (RelayFailure(which)) return;
  if (may_run || which->may_have_run) {
    Refuse(which, 504, core::reason::kDeadline, {});
    return;
  }
  RefuseAsFull(which, core::reason::kDeadline);
}

}  // namespace pimentohall::node
