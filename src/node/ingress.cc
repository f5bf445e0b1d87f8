// Arrival of calls, and their attempts.

#include "node/ingress.h"

#include <openssl/crypto.h>

#include <algorithm>

#include "node/ingress_call.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// A call without a budget of its own and without a timeout of its route.
constexpr duration kDefaultBudget = std::chrono::seconds(30);
// Daemons asked for one attempt at most, as each costs a round trip.
constexpr int kMaxRefusals = 4;
// Links between daemons: silence is a fault after this time.
constexpr duration kLinkSilence = milliseconds(600);
constexpr duration kLinkConnect = milliseconds(400);
constexpr duration kLinkIdle = std::chrono::seconds(20);
constexpr int kLinksPerPeer = 300;

}  // namespace

std::string MsText(duration of) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(of).count());
}

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
    Refuse(which, 503, core::reason::kNotReady, kCallerRetryAfter);
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
  header.budget_ms = WholeMs(which.deadline - now);
  header.aim_ms = WholeMs(which.aim_at - now);
  header.typical_ms = WholeMs(fleet_.TypicalTime(*which.route));
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

}  // namespace pimentohall::node
