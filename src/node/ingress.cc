// Receives calls of callers and starts their attempts.

#include "node/ingress.h"

#include <openssl/crypto.h>

#include <algorithm>

#include "node/ingress_call.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// Budget of a call that states none; the route's timeout may shorten it.
constexpr duration kDefaultBudget = std::chrono::seconds(30);
// Refusals by daemons after which a call is given up, as each costs a round
// trip.
constexpr int kMaxRefusals = 4;
// Waits of a nested call for upstreams in backoff, each as long as the backoff
// after a refusal: more would keep its run's slot for nothing.
constexpr int kMaxWaits = 4;
constexpr duration kUntriedWait = milliseconds(15);
// A link between daemons counts as failed after this time of silence.
constexpr duration kLinkSilenceTimeout = milliseconds(600);
constexpr duration kLinkConnectTimeout = milliseconds(400);
constexpr duration kLinkIdleTimeout = std::chrono::seconds(20);
// Until the first configuration is in force.
constexpr duration kIdleTimeoutAtStart = std::chrono::seconds(60);
constexpr duration kHeadTimeoutAtStart = std::chrono::seconds(10);

// Tags of attempts, for the metrics of their traffic.
constexpr int kNestedTag = 1;
constexpr int kFarTag = 2;

}  // namespace

const char* AreaName(source_area area) {
  return area == source_area::kSettings ? "settings" : "upstreams";
}

std::string MsText(duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

ingress::ingress(fleet_state& fleet)
    : fleet_(fleet),
      server_(fleet.loop, fleet.timers,
              {fleet.settings.callers, kIdleTimeoutAtStart, kHeadTimeoutAtStart,
               fleet.settings.max_pipelined, 0,
               ClientLimitsFor(listener_kind::kCallers, fleet.settings)}),
      pool_(fleet.loop, fleet.timers,
            {kLinkIdleTimeout, kLinkSilenceTimeout, kLinkConnectTimeout,
             MaxLinksPerPeer(fleet.settings), MaxLinks(fleet.settings)}),
      attempt_queries_(fleet.loop, fleet.timers,
                       MaxQueryLinksPerPeer(fleet.settings)) {
  server_.on_request =
      [this](const std::shared_ptr<stream::server_exchange>& inbound,
             stream::message_head head) {
        OnRequest(inbound, std::move(head));
      };
  pool_.on_released = [this](const stream::exchange& attempt,
                             const stream::request_traffic& traffic) {
    CountTraffic(attempt.Tag(), traffic);
  };
}

ingress::~ingress() = default;

tl::expected<int, std::string> ingress::Listen() { return server_.Listen(); }

void ingress::BeginStop() { stopping_ = true; }

void ingress::StopListening() {
  handed_over_ = true;
  server_.Stop();
}

void ingress::OnConfiguration() {
  const mesh::caller_limits& limits = fleet_.config->Parts().limits;
  server_.SetTimeouts(limits.idle_timeout, limits.header_timeout);
  server_.SetMaxHeadBytes(limits.header_bytes);
  controls_overload_ = fleet_.UsesOverloadControl();
}

// ---------------------------------------------------------------------------
// Arrival.

void ingress::OnRequest(const std::shared_ptr<stream::server_exchange>& inbound,
                        stream::message_head head) {
  auto new_call = std::make_shared<call>(fleet_);
  new_call->inbound = inbound;
  new_call->received = fleet_.loop.Now();
  caller_request request = fleet_.dialect.ReadRequest(head);
  new_call->caller_id = request.id;
  new_call->budget = request.budget;
  new_call->deadline =
      new_call->received + request.budget.value_or(kDefaultBudget);
  new_call->head = std::move(head);
  new_call->head_bytes = stream::MemoryOf(new_call->head);
  inbound->SetHeldBytes(new_call->head_bytes);
  calls_[inbound.get()] = new_call;
  inbound->on_data = [this, new_call](std::string_view bytes) {
    OnBody(new_call, bytes);
  };
  inbound->on_end = [this, new_call] { OnBodyEnd(new_call); };
  inbound->on_closed = [this, new_call](stream::end_reason) {
    OnCallerDisconnected(new_call);
  };
  const bool authorised = Authorise(new_call, request.key);
  OPENSSL_cleanse(request.key.data(), request.key.size());
  if (!authorised) return;
  inbound->AcceptBody();
  new_call->deadline_timer = fleet_.timers.After(
      new_call->deadline - new_call->received,
      sigc::slot<void()>([this, new_call] { OnDeadline(new_call); }));
}

// Whether the upstream on this VM made the call. Callers send keys if the
// configuration has tenants.
bool ingress::IsNested(const call& call, bool has_no_key) {
  if (!has_no_key ||
      call.inbound->PeerAddress() != fleet_.settings.callers.address) {
    return false;
  }
  if (call.config->HasTenants()) return true;
  return fleet_.nested_routes.OnCall(call.route->name, call.budget,
                                     fleet_.LongestRun(call.received));
}

bool ingress::Authorise(const call_ptr& call, const std::string& key) {
  call->config = fleet_.config;
  if (!call->config) {
    Refuse(call, 503, core::reason::kNotReady, kCallerRetryAfter);
    return false;
  }
  const mesh::configuration& config = *call->config;
  const std::string host(net::FindHeader(call->head.headers, "Host"));
  call->route = config.FindRoute(host, call->head.target);
  if (call->route == nullptr) {
    Refuse(call, 404, core::reason::kNoRoute, {});
    return false;
  }
  if (!key.empty()) {
    call->tenant = config.FindTenantByKeyDigest(config::Sha256Hex(key));
  }
  call->nested = IsNested(*call, key.empty());
  if (!call->route->open && config.HasTenants() && call->tenant == nullptr) {
    Refuse(call, 401, core::reason::kNoKey, {});
    return false;
  }
  if (call->head.framing == stream::body_framing::kLength &&
      call->head.length > config.Parts().limits.body_bytes) {
    Refuse(call, 413, core::reason::kOverloaded, {});
    return false;
  }
  fleet_.dialect.StripRequest(&call->head.headers);
  DropFleetHeaders(&call->head.headers);
  if (controls_overload_ && !call->nested && call->budget) {
    call->spent =
        fleet_.budgets.Spent(call->route->name, *call->budget, call->received);
  }
  call->aim_at = call->received + call->route->aim - call->spent;
  if (call->route->timeout.count() > 0) {
    call->deadline =
        std::min(call->deadline, call->received + call->route->timeout);
  }
  return true;
}

void ingress::OnBody(const call_ptr& call, std::string_view bytes) {
  if (call->finished) return;
  call->received_bytes += bytes.size();
  if (call->received_bytes > call->config->Parts().limits.body_bytes) {
    EndOversized(call);
    return;
  }
  if (call->streams_body) {
    if (call->attempt == nullptr || call->body_withheld) {
      call->body.Append(bytes);
      return;
    }
    call->attempt->SendData(bytes);
    if (call->attempt->UnsentBytes() > kMaxUnsentBytes) {
      call->inbound->SetReading(false);
    }
    return;
  }
  call->body.Append(bytes);
  call->inbound->SetHeldBytes(call->head_bytes + call->body.Bytes().size());
  if (!call->body.IsTooLarge()) return;
  call->streams_body = true;
  // Stop reading until an attempt has taken the buffered part of the body.
  call->inbound->SetReading(false);
  Admit(call);
}

void ingress::OnBodyEnd(const call_ptr& call) {
  if (call->finished) return;
  call->body_complete = true;
  if (!call->streams_body) {
    Admit(call);
  } else if (call->attempt != nullptr && !call->body_withheld) {
    call->attempt->SendEnd();
  }
}

// The body of a request without a stated length exceeds the limit.
void ingress::EndOversized(const call_ptr& call) {
  if (call->streams_answer) {
    Finish(call, 0, "daemon", core::reason::kOverloaded);
    server_.Abort(call->inbound);
    return;
  }
  Refuse(call, 413, core::reason::kOverloaded, {});
}

void ingress::Admit(const call_ptr& call) {
  if (server_.IsOverLimit()) {
    RefuseUnavailable(call, core::reason::kOverloaded);
    return;
  }
  // An earlier answer on the connection may close it. The caller then repeats
  // the requests behind that answer, so only idempotent ones may run by then.
  if (!call->route->idempotent && !call->inbound->IsFirst()) {
    call->inbound->on_first = [this, call] {
      call->inbound->AcceptBody();
      Admit(call);
    };
    return;
  }
  const instant now = fleet_.loop.Now();
  if (call->tenant != nullptr) {
    const auto admitted = fleet_.allotments.Admit(*call->tenant, now);
    if (!admitted) {
      Refuse(call, 429, core::reason::kRateExceeded, admitted.error());
      return;
    }
    call->holds_token = true;
  }
  call->inbound->SetForwarded();
  call->service = fleet_.splitter.Pick(*call->route);
  if (RefuseForCallees(call, now)) return;
  fleet_.retries.OnCall(call->service, now);
  if (call->nested) OnNestedCall(*call, now);
  StartNextAttempt(call);
}

// ---------------------------------------------------------------------------
// Nested calls.

// Within this time, an answer has its full value.
duration ingress::UsefulTime(const call& call) {
  const duration budget = call.deadline - call.received;
  const duration aim = call.route->aim;
  return aim.count() > 0 ? std::min(aim, budget) : budget;
}

void ingress::OnNestedCall(const call& call, instant now) {
  if (fleet_.repeats.OnNestedCall()) {
    fleet_.retries.OnRepeatsCall(call.service, now);
  }
  if (!fleet_.UsesOverloadControl()) return;
  fleet_.call_tree.OnNestedCall(call.service, UsefulTime(call), now);
}

bool ingress::RefuseForCallees(const call_ptr& call, instant now) {
  if (call->nested || !fleet_.UsesOverloadControl()) return false;
  const auto refusal = fleet_.callees.FindRefusal(
      fleet_.needs.Needs(call->route->name, now),
      [this, now](const std::string& service) {
        return CalleeWait(service, now);
      },
      now);
  if (!refusal) return false;
  constexpr int kWaitDivisor = 3;  // R3: at most a third of the time left.
  call->retry_after = std::min(*refusal, (call->deadline - now) / kWaitDivisor);
  call->refused_for_callee = true;
  fleet_.metrics.CountNested("run_refused");
  RefuseUnavailable(call, core::reason::kQueueFull);
  return true;
}

std::optional<duration> ingress::CalleeWait(const std::string& service,
                                            instant now) const {
  std::vector<mesh::target_picker::candidate> candidates;
  for (const mesh::directory::entry* entry : fleet_.directory.Usable(service)) {
    if (!fleet_.peers.IsReachable(entry->what.address, now)) continue;
    candidates.push_back({entry->what.id, entry->what.slots});
  }
  return fleet_.picker.LeastWait(candidates, duration{0}, now);
}

bool ingress::IsSpared(const call& call) const {
  return call.nested && fleet_.UsesOverloadControl();
}

bool ingress::WaitForUntried(
    const call_ptr& call,
    const std::vector<mesh::target_picker::candidate>& candidates) {
  const auto is_untried = [&call](const auto& candidate) {
    const auto& tried = call->tried_upstreams;
    return std::find(tried.begin(), tried.end(), candidate.id) == tried.end();
  };
  if (!IsSpared(*call) || call->waits >= kMaxWaits ||
      std::none_of(candidates.begin(), candidates.end(), is_untried)) {
    return false;
  }
  ++call->waits;
  call->wait_timer = fleet_.timers.After(
      kUntriedWait,
      sigc::slot<void()>([this, call] { StartNextAttempt(call); }));
  return true;
}

// ---------------------------------------------------------------------------
// Attempts.

bool ingress::IsAllowedRegion(const call& call, const std::string& zone) const {
  const auto found = fleet_.settings.zone_regions.find(zone);
  const std::string region =
      found == fleet_.settings.zone_regions.end() ? "" : found->second;
  const auto allows = [&region](const std::vector<std::string>& regions) {
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
  };
  return allows(call.route->regions) &&
         (call.tenant == nullptr || allows(call.tenant->regions));
}

std::vector<mesh::target_picker::candidate> ingress::Candidates(
    const call& call, instant now) const {
  std::vector<mesh::target_picker::candidate> candidates;
  for (const mesh::directory::entry* entry :
       fleet_.directory.Usable(call.service)) {
    const mesh::upstream& upstream = entry->what;
    if (!fleet_.peers.IsReachable(upstream.address, now)) continue;
    const auto* peer = fleet_.peers.Find(upstream.address);
    if (peer != nullptr && peer->stopping) continue;
    if (!IsAllowedRegion(call, upstream.zone)) continue;
    const bool cold = entry->read_at + upstream.warmup_left > now;
    candidates.push_back({upstream.id, upstream.slots,
                          upstream.zone == fleet_.settings.zone, cold});
  }
  return candidates;
}

// Whether a call that starts now would be cut by the end of a planned stop.
bool ingress::CantEndBeforeStop(const call& call, instant now) const {
  return fleet_.stopping &&
         now + fleet_.TypicalTime(*call.route) >= fleet_.stop_ends_at;
}

// Callers have other daemons by now, so no call is passed on for the first time
// that might have to be cut, however long its upstream takes.
bool ingress::MightOutlastStop(const call& call) const {
  return handed_over_ && call.sent == 0 &&
         call.deadline > fleet_.final_answers_at;
}

void ingress::PredictCost(call* call, instant now) const {
  call->cost.reset();
  if (!fleet_.UsesCostRouting()) return;
  call->cost_key = sched::KeyOf(
      {call->route->name, call->head.method, call->head.target,
       fleet_.settings.caller_service, call->tenant ? call->tenant->name : "",
       static_cast<double>(RequestBytes(*call))});
  const duration typical = fleet_.TypicalTime(*call->route);
  call->cost = fleet_.costs.Predict(call->cost_key, typical, now).mean;
}

void ingress::StartNextAttempt(const call_ptr& call) {
  // After a stall, the daemon may read a call and the end of its connection in
  // the same turn of the loop.
  if (call->inbound->HasPeerClosed()) {
    OnCallerDisconnected(call);
    return;
  }
  const instant now = fleet_.loop.Now();
  if (now >= call->deadline) {
    OnDeadline(call);
    return;
  }
  if (CantEndBeforeStop(*call, now) || MightOutlastStop(*call)) {
    RefuseUnavailable(call, core::reason::kStopping);
    return;
  }
  const auto candidates = Candidates(*call, now);
  fleet_.picker.SetCostRouting(fleet_.UsesCostRouting());
  fleet_.picker.SetAvoidsClosed(fleet_.UsesOverloadControl());
  if (!IsRankTaken(*call, candidates, now)) {
    fleet_.metrics.CountRankRefusal(call->route->name);
    RefuseUnavailable(call, core::reason::kQueueFull);
    return;
  }
  mesh::call_profile profile;
  profile.typical = fleet_.TypicalTime(*call->route);
  profile.bytes = std::max(fleet_.carried.Expect(call->route->name),
                           static_cast<double>(RequestBytes(*call)));
  PredictCost(call.get(), now);
  profile.cost = call->cost;
  const auto best =
      fleet_.picker.Pick(candidates, call->tried_upstreams, profile, now);
  if (!best && WaitForUntried(call, candidates)) return;
  // The refusal of a nested call would fail its run.
  const bool may_go_on = call->refusals < kMaxRefusals || IsSpared(*call);
  if (!best || !may_go_on) {
    RefuseUnavailable(call, call->last_refusal != core::reason::kNone
                                ? call->last_refusal
                                : core::reason::kNoUpstream);
    return;
  }
  const std::string id = candidates[*best].id;
  Forward(call, id, fleet_.directory.Entries().at(id).what.address);
}

// The tenant's priority outranks the route's.
int ingress::RankOf(const call& call) const {
  constexpr int kRoutePriorities = 100;
  const int route_rank = std::clamp(call.route->priority, 0, 99);
  const int tenant_rank =
      call.tenant ? std::clamp(call.tenant->priority.value_or(0), 0, 99) : 0;
  return tenant_rank * kRoutePriorities + route_rank;
}

// Only a first attempt may be among the calls that pass in spite of their rank:
// callers gain nothing by coming back often.
bool ingress::IsRankTaken(
    const call& call,
    const std::vector<mesh::target_picker::candidate>& candidates,
    instant now) {
  const bool is_sent = !call.tried_upstreams.empty();
  if (!controls_overload_ || call.nested || is_sent) return true;
  if (fleet_.gate.Size() == 0) return true;
  fleet_.gate.Expire(now);
  std::vector<std::string> ids;
  ids.reserve(candidates.size());
  for (const auto& each : candidates) ids.push_back(each.id);
  const std::uint64_t key = call.spent.count() > 0 ? 1 : ++gate_key_;
  return fleet_.gate.Admits(call.service, ids, RankOf(call), key, now);
}

call_header ingress::BuildCallHeader(const call& call,
                                     const std::string& upstream,
                                     instant now) const {
  call_header header;
  header.attempt = call.attempt_id;
  header.upstream = upstream;
  header.route = call.route->name;
  header.tenant = call.tenant ? call.tenant->name : "";
  header.caller_service = fleet_.settings.caller_service;
  header.rank = RankOf(call);
  header.nested = call.nested;
  header.idempotent = call.route->idempotent;
  header.repeat = call.sent > 0;
  header.budget_ms =
      ToWholeMs(std::min(call.deadline, fleet_.stop_ends_at) - now);
  header.aim_ms = ToWholeMs(call.aim_at - now);
  header.typical_ms = ToWholeMs(fleet_.TypicalTime(*call.route));
  return header;
}

void ingress::Forward(const call_ptr& call, const std::string& upstream,
                      const std::string& address) {
  const instant now = fleet_.loop.Now();
  char attempt_id[40];
  std::snprintf(attempt_id, sizeof(attempt_id), "%08llx-%llx",
                static_cast<unsigned long long>(fleet_.boot),
                static_cast<unsigned long long>(++last_attempt_));
  call->attempt_id = attempt_id;
  call->upstream = upstream;
  call->address = address;
  const auto* const peer = fleet_.peers.Find(address);
  call->peer_boot = peer != nullptr ? peer->boot : 0;
  call->forwarded = now;
  call->tried_upstreams.push_back(upstream);
  call->has_answer_head = false;
  call->querying_attempt = false;
  call->withdrawal_asked = false;
  call->answer_body.clear();
  stream::message_head head;
  head.method = call->head.method;
  head.target = call->head.target;
  head.headers = call->head.headers;
  head.headers.emplace_back(kCallHeader,
                            EncodeCall(BuildCallHeader(*call, upstream, now)));
  head.framing = call->head.framing;
  head.length = call->head.length;
  if (!call->streams_body &&
      call->head.framing != stream::body_framing::kNone) {
    head.framing = stream::body_framing::kLength;
    head.length = call->body.Bytes().size();
  }
  call->body_withheld = RequestBytes(*call) >= kMinAskedBodyBytes;
  if (call->body_withheld) {
    head.headers.emplace_back("Expect", "100-continue");
  }
  stream::exchange_handlers handlers;
  handlers.on_head = [this, call](stream::message_head answer) {
    OnAnswerHead(call, std::move(answer));
  };
  handlers.on_data = [this, call](std::string_view bytes) {
    OnAnswerData(call, bytes);
  };
  handlers.on_end = [this, call] { OnAnswerEnd(call); };
  handlers.on_failed = [this, call](stream::failure failure) {
    OnAttemptFailed(call, failure);
  };
  handlers.on_drained = [call] { call->inbound->SetReading(true); };
  handlers.on_continue = [this, call] { SendBody(call); };
  call->attempt =
      pool_.Start(fleet_.PeerEndpoint(address), head, std::move(handlers));
  if (call->attempt == nullptr) {
    call->last_refusal = core::reason::kOverloaded;
    ++call->refusals;
    StartNextAttempt(call);
    return;
  }
  const bool is_far = fleet_.IsFar(address);
  call->attempt->SetTag((call->nested ? kNestedTag : 0) |
                        (is_far ? kFarTag : 0));
  fleet_.picker.OnSent(upstream, call->cost.value_or(duration{0}));
  fleet_.metrics.CountAttempt(call->sent > 0);
  if (!call->body_withheld) SendBody(call);
}

void ingress::CountTraffic(int tag, const stream::request_traffic& traffic) {
  using kinds = node_metrics::peer_traffic;
  const kinds kind =
      (tag & kNestedTag) != 0 ? kinds::kNestedCall : kinds::kCall;
  const bool is_far = (tag & kFarTag) != 0;
  fleet_.metrics.CountPeerBytes(kind, is_far, true, traffic.sent_bytes);
  fleet_.metrics.CountPeerBytes(kind, is_far, false, traffic.read_bytes);
  fleet_.metrics.CountLink(traffic.reused_connection, is_far);
}

std::size_t ingress::RequestBytes(const call& call) {
  const std::size_t stated =
      call.head.framing == stream::body_framing::kLength ? call.head.length : 0;
  return std::max(stated, call.body.Bytes().size());
}

void ingress::SendBody(const call_ptr& call) {
  if (call->attempt == nullptr) return;
  call->body_withheld = false;
  call->attempt->SendData(call->body.Bytes());
  if (call->body_complete) call->attempt->SendEnd();
  if (call->streams_body) {
    call->body.Clear();
    call->inbound->SetReading(true);
  }
}

bool ingress::MayRetry(const call_ptr& call, instant now) {
  if (call->streams_body || call->sent >= call->route->max_attempts) {
    return false;
  }
  const duration typical = fleet_.TypicalTime(*call->route);
  if (call->deadline - now < typical) return false;
  if (Candidates(*call, now).size() <= 1) return false;
  return fleet_.retries.TakeRetry(call->service, call->nested, now);
}

}  // namespace pimentohall::node
