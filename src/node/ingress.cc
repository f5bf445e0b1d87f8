#include "node/ingress.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// Bodies up to this size are held, so that a call can be sent again and an
// answer is known to be whole before its first byte goes out. Longer ones pass
// through.
constexpr std::size_t kHeldBodyBytes = 64 * 1024;
// A longer body stops its sender when this many bytes wait to be sent on.
constexpr std::size_t kStreamAheadBytes = 256 * 1024;
// A call without a budget of its own and without a timeout of its route.
constexpr duration kDefaultBudget = std::chrono::seconds(30);
// Daemons asked for one attempt at most, as each costs a round trip.
constexpr int kMaxRefusals = 4;
// An upstream whose daemon refused gets no call for this long.
constexpr duration kRefusedPause = milliseconds(15);
// One that can't be reached is left alone until news or this time.
constexpr duration kUnreachablePause = milliseconds(300);
// Callers come back after this time where nothing better is known.
constexpr duration kDefaultRetryAfter = milliseconds(250);
constexpr duration kLongestRetryAfter = std::chrono::seconds(3);
// Links between daemons: silence is a fault after this time.
constexpr duration kLinkSilence = milliseconds(600);
constexpr duration kLinkConnect = milliseconds(400);
constexpr duration kLinkIdle = std::chrono::seconds(20);
constexpr int kLinksPerPeer = 300;
// How long to wait for a daemon's word on an attempt whose link broke.
constexpr duration kQuestionTime = milliseconds(500);

constexpr char kJsonType[] = "application/json";

duration_ms Ms(duration of) {
  return std::chrono::duration_cast<milliseconds>(of).count();
}

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

std::string MsText(duration of) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(of).count());
}

struct ingress::call {
  std::shared_ptr<stream::connection> conn;
  stream::message_head head;
  std::string caller_id;
  instant received{};
  instant deadline{};
  instant aim_at{};
  std::shared_ptr<const mesh::configuration> config;
  const mesh::route* route = nullptr;    // Lives in `config`.
  const mesh::tenant* tenant = nullptr;  // Lives in `config`.
  std::string service;
  bool nested = false;
  std::string body;
  bool body_whole = false;
  bool streams_body = false;  // Longer than what is held; can't be repeated.
  sigc::connection deadline_timer;

  // The attempt in hand.
  std::shared_ptr<stream::exchange> attempt;
  std::string attempt_id;
  std::string upstream;
  std::string address;
  instant forwarded{};
  outcome_header told;
  stream::message_head answer;
  std::string answer_body;
  bool has_answer_head = false;
  bool streams_answer = false;  // Its head went out to the caller.
  bool asking = false;          // Waiting for a daemon's word on the attempt.

  // A failure that an upstream answered, kept while another is tried: if no
  // better answer comes, the caller gets this one.
  stream::message_head failure;
  std::string failure_body;
  bool has_failure = false;

  std::vector<std::string> tried;
  int sent = 0;  // Attempts that reached an upstream.
  bool may_have_run = false;
  int refusals = 0;  // Attempts that a daemon refused.
  duration retry_after{0};
  core::reason last_refusal = core::reason::kNone;
  bool finished = false;

  std::string RouteName() const { return route ? route->name : "-"; }
};

ingress::ingress(fleet_state& fleet)
    : fleet_(fleet),
      server_(fleet.loop, fleet.timers, {fleet.settings.callers, {}, {}}),
      pool_(fleet.loop, fleet.timers,
            {kLinkIdle, kLinkSilence, kLinkConnect, kLinksPerPeer}),
      questions_(fleet.loop, fleet.timers) {
  server_.on_request = [this](const std::shared_ptr<stream::connection>& conn,
                              stream::message_head head) {
    OnRequest(conn, std::move(head));
  };
}

ingress::~ingress() = default;

tl::expected<int, std::string> ingress::Listen() { return server_.Listen(); }

void ingress::BeginStop() { stopping_ = true; }

void ingress::StopListening() { server_.Stop(); }

void ingress::OnConfiguration() {
  const mesh::caller_limits& limits = fleet_.config->Parts().limits;
  server_.SetTimes(limits.idle_time, limits.header_time);
}

// ---------------------------------------------------------------------------
// Arrival.

void ingress::OnRequest(const std::shared_ptr<stream::connection>& conn,
                        stream::message_head head) {
  auto which = std::make_shared<call>();
  which->conn = conn;
  which->received = fleet_.loop.Now();
  caller_request request = fleet_.dialect.ReadRequest(head);
  which->caller_id = request.id;
  which->deadline = which->received + request.budget.value_or(kDefaultBudget);
  which->head = std::move(head);
  which->nested = request.key.empty() &&
                  conn->PeerAddress() == fleet_.settings.callers.address;
  calls_[conn.get()] = which;
  conn->on_data = [this, which](std::string_view bytes) {
    OnBody(which, bytes);
  };
  conn->on_end = [this, which] { OnBodyEnd(which); };
  conn->on_closed = [this, which](stream::end_reason) { OnCallerGone(which); };
  const bool authorised = Authorise(which, request.key);
  OPENSSL_cleanse(request.key.data(), request.key.size());
  if (!authorised) return;
  which->deadline_timer = fleet_.timers.After(
      which->deadline - which->received,
      sigc::slot<void()>([this, which] { OnDeadline(which); }));
}

bool ingress::Authorise(const call_ptr& which, const std::string& key) {
  which->config = fleet_.config;
  if (!which->config) {
    Refuse(which, 503, core::reason::kNotReady, kDefaultRetryAfter);
    return false;
  }
  const mesh::configuration& config = *which->config;
  const std::string host(net::FindHeader(which->head.headers, "Host"));
  which->route = config.FindRoute(host, which->head.target);
  if (which->route == nullptr) {
    Refuse(which, 404, core::reason::kNoRoute, {});
    return false;
  }
  if (!key.empty()) {
    which->tenant = config.FindTenantByKeyDigest(config::Sha256Hex(key));
  }
  if (!which->route->open && config.HasTenants() && which->tenant == nullptr) {
    Refuse(which, 401, core::reason::kNoKey, {});
    return false;
  }
  if (which->head.framing == stream::body_framing::kLength &&
      which->head.length > config.Parts().limits.body_bytes) {
    Refuse(which, 413, core::reason::kOverloaded, {});
    return false;
  }
  fleet_.dialect.StripRequest(&which->head.headers);
  DropFleetHeaders(&which->head.headers);
  which->aim_at = which->received + which->route->aim;
  if (which->route->timeout.count() > 0) {
    which->deadline =
        std::min(which->deadline, which->received + which->route->timeout);
  }
  return true;
}

void ingress::OnBody(const call_ptr& which, std::string_view bytes) {
  if (which->finished) return;
  if (which->streams_body) {
    if (which->attempt == nullptr) {
      which->body.append(bytes);
      return;
    }
    which->attempt->SendData(bytes);
    if (which->attempt->Unsent() > kStreamAheadBytes) {
      which->conn->SetReading(false);
    }
    return;
  }
  which->body.append(bytes);
  if (which->body.size() <= kHeldBodyBytes) return;
  which->streams_body = true;
  Admit(which);
  // Until the attempt has taken over what is held.
  if (!which->finished && which->attempt == nullptr) {
    which->conn->SetReading(false);
  }
}

void ingress::OnBodyEnd(const call_ptr& which) {
  if (which->finished) return;
  which->body_whole = true;
  if (!which->streams_body) {
    Admit(which);
  } else if (which->attempt != nullptr) {
    which->attempt->SendEnd();
  }
}

void ingress::Admit(const call_ptr& which) {
  const instant now = fleet_.loop.Now();
  if (which->tenant != nullptr) {
    const auto admitted = fleet_.allotments.Admit(*which->tenant, now);
    if (!admitted) {
      Refuse(which, 429, core::reason::kRateExceeded, admitted.error());
      return;
    }
  }
  which->service = fleet_.splitter.Pick(*which->route);
  fleet_.retries.OnCall(which->service, now);
  if (which->nested) {
    fleet_.retries.OnNestedCall(which->service, fleet_.repeat_share, now);
  }
  TryNext(which);
}

// ---------------------------------------------------------------------------
// Attempts.

bool ingress::IsAllowedRegion(const call& which,
                              const std::string& zone) const {
  const auto found = fleet_.settings.zone_regions.find(zone);
  const std::string region =
      found == fleet_.settings.zone_regions.end() ? "" : found->second;
  const auto allows = [&region](const std::vector<std::string>& regions) {
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
  };
  return allows(which.route->regions) &&
         (which.tenant == nullptr || allows(which.tenant->regions));
}

std::vector<mesh::target_picker::candidate> ingress::Candidates(
    const call& which, instant now) const {
  std::vector<mesh::target_picker::candidate> candidates;
  for (const mesh::directory::entry* each :
       fleet_.directory.Usable(which.service)) {
    const mesh::upstream& at = each->what;
    if (!fleet_.peers.IsReachable(at.address, now)) continue;
    const auto* peer = fleet_.peers.Find(at.address);
    if (peer != nullptr && peer->stopping) continue;
    if (!IsAllowedRegion(which, at.zone)) continue;
    const bool cold = each->read_at + at.warmup_left > now;
    candidates.push_back(
        {at.id, at.slots, at.zone == fleet_.settings.zone, cold});
  }
  return candidates;
}

void ingress::TryNext(const call_ptr& which) {
  // A daemon that was held up reads a call and the close behind it at once.
  if (which->conn->HasPeerClosed()) {
    OnCallerGone(which);
    return;
  }
  const instant now = fleet_.loop.Now();
  if (now >= which->deadline) {
    OnDeadline(which);
    return;
  }
  const auto candidates = Candidates(*which, now);
  const duration typical = fleet_.TypicalTime(*which->route);
  const auto best = fleet_.picker.Pick(candidates, which->tried, typical, now);
  if (!best || which->refusals >= kMaxRefusals) {
    RefuseAsFull(which, which->last_refusal != core::reason::kNone
                            ? which->last_refusal
                            : core::reason::kNoUpstream);
    return;
  }
  const std::string id = candidates[*best].id;
  Forward(which, id, fleet_.directory.Entries().at(id).what.address);
}

call_header ingress::HeaderOf(const call& which, const std::string& upstream,
                              instant now) const {
  call_header header;
  header.attempt = which.attempt_id;
  header.upstream = upstream;
  header.route = which.route->name;
  header.tenant = which.tenant ? which.tenant->name : "";
  header.caller_service = fleet_.settings.caller_service;
  // A tenant's priority goes before its route's.
  constexpr int kRoutePriorities = 100;
  const int route_rank = std::clamp(which.route->priority, 0, 99);
  const int tenant_rank =
      which.tenant ? std::clamp(which.tenant->priority.value_or(0), 0, 99) : 0;
  header.rank = tenant_rank * kRoutePriorities + route_rank;
  header.nested = which.nested;
  header.idempotent = which.route->idempotent;
  header.repeat = which.sent > 0;
  header.budget_ms = Ms(which.deadline - now);
  header.aim_ms = Ms(which.aim_at - now);
  header.typical_ms = Ms(fleet_.TypicalTime(*which.route));
  return header;
}

void ingress::Forward(const call_ptr& which, const std::string& upstream,
                      const std::string& address) {
  const instant now = fleet_.loop.Now();
  char attempt_id[40];
  std::snprintf(attempt_id, sizeof(attempt_id), "%08llx-%llx",
                static_cast<unsigned long long>(fleet_.boot),
                static_cast<unsigned long long>(++last_attempt_));
  which->attempt_id = attempt_id;
  which->upstream = upstream;
  which->address = address;
  which->forwarded = now;
  which->tried.push_back(upstream);
  which->has_answer_head = false;
  which->answer_body.clear();
  stream::message_head head;
  head.method = which->head.method;
  head.target = which->head.target;
  head.headers = which->head.headers;
  head.headers.emplace_back(kCallHeader,
                            EncodeCall(HeaderOf(*which, upstream, now)));
  head.framing = which->head.framing;
  head.length = which->head.length;
  if (!which->streams_body &&
      which->head.framing != stream::body_framing::kNone) {
    head.framing = stream::body_framing::kLength;
    head.length = which->body.size();
  }
  stream::exchange_handlers handlers;
  handlers.on_head = [this, which](stream::message_head answer) {
    OnAnswerHead(which, std::move(answer));
  };
  handlers.on_data = [this, which](std::string_view bytes) {
    OnAnswerData(which, bytes);
  };
  handlers.on_end = [this, which] { OnAnswerEnd(which); };
  handlers.on_failed = [this, which](stream::failure why) {
    OnAttemptFailed(which, why);
  };
  handlers.on_drained = [which] { which->conn->SetReading(true); };
  which->attempt =
      pool_.Start(fleet_.PeerEndpoint(address), head, std::move(handlers));
  if (which->attempt == nullptr) {
    which->last_refusal = core::reason::kOverloaded;
    ++which->refusals;
    TryNext(which);
    return;
  }
  fleet_.picker.OnSent(upstream);
  fleet_.metrics.CountAttempt(which->sent > 0);
  which->attempt->SendData(which->body);
  if (which->body_whole) which->attempt->SendEnd();
  if (which->streams_body) {
    which->body.clear();
    which->conn->SetReading(true);
  }
}

bool ingress::MayRepeat(const call_ptr& which, instant now) {
  if (which->streams_body || which->sent >= which->route->max_attempts) {
    return false;
  }
  const duration typical = fleet_.TypicalTime(*which->route);
  if (which->deadline - now < typical) return false;
  if (Candidates(*which, now).size() <= 1) return false;
  return fleet_.retries.TakeRepeat(which->service, now);
}

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
      which->retry_after.count() > 0 ? which->retry_after : kDefaultRetryAfter;
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
