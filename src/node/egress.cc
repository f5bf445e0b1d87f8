// Receives calls from ingresses, queues them and starts them.

#include "node/egress.h"

#include <xxhash.h>

#include <algorithm>

#include "node/egress_call.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxCalls = 2048;
// The upstream is on this VM, so it accepts a connection at once or not at all.
constexpr duration kConnectTimeout = milliseconds(300);
constexpr duration kUpstreamSilenceTimeout = milliseconds(800);
constexpr duration kUpstreamIdleTimeout = std::chrono::seconds(8);
// Of links between daemons: longer than an ingress keeps an idle one.
constexpr duration kLinkIdleTimeout = std::chrono::seconds(30);
constexpr duration kLinkHeadTimeout = std::chrono::seconds(10);
// Meant to stay below the upstream's own connection limit, which includes
// probes and isn't consulted here.
constexpr int kMaxConnectionsPerUpstream = 100;
// How often an upstream that isn't known to be up is probed.
constexpr duration kDownProbePeriod = milliseconds(250);
constexpr duration kTickPeriod = milliseconds(100);
// Shortest time between two health checks for the upstream's load figures.
constexpr duration kLoadProbePeriod = milliseconds(50);
// A queued call expires this long before its deadline, so that the answer
// arrives before its ingress gives up.
constexpr duration kAnswerMargin = milliseconds(10);

// A running call is ended this long after its deadline. Its ingress closes the
// link at the deadline, unless that daemon is gone.
constexpr duration kOverdueMargin = milliseconds(300);

constexpr char kTextType[] = "text/plain";
constexpr char kCborType[] = "application/cbor";
constexpr char kMirrorPath[] = "/pimentohall/mirror?";
constexpr char kCrashesPath[] = "/pimentohall/crashes";
// "boot=B&id=A" follows: whether the process with boot B ran attempt A.
constexpr char kAttemptPath[] = "/pimentohall/attempt?";
constexpr std::string_view kIdField = "&id=";

duration Scale(duration time, double factor) {
  return std::chrono::duration_cast<duration>(time * factor);
}

sched::cost_key CostKeyOf(const call_header& info,
                          const stream::message_head& head) {
  const bool has_length = head.framing == stream::body_framing::kLength;
  return sched::KeyOf({info.route, head.method, head.target,
                       info.caller_service, info.tenant,
                       has_length ? static_cast<double>(head.length) : 0});
}

}  // namespace

egress::egress(fleet_state& fleet)
    : fleet_(fleet),
      server_(fleet.loop, fleet.timers,
              {fleet.settings.peers, kLinkIdleTimeout, kLinkHeadTimeout, 1, 0,
               ClientLimitsFor(listener_kind::kPeers, fleet.settings)}),
      pool_(fleet.loop, fleet.timers,
            {kUpstreamIdleTimeout, kUpstreamSilenceTimeout, kConnectTimeout,
             kMaxConnectionsPerUpstream}),
      probes_(fleet.loop, fleet.timers, 1),
      warmth_probes_(fleet.loop, fleet.timers, 1),
      gate_(fleet.settings.cold_upstreams) {
  server_.on_request =
      [this](const std::shared_ptr<stream::server_exchange>& inbound,
             stream::message_head head) {
        OnRequest(inbound, std::move(head));
      };
  tick_timer_ =
      fleet_.timers.Every(kTickPeriod, sigc::slot<void()>([this] { Tick(); }));
}

egress::~egress() {
  tick_timer_.disconnect();
  wake_timer_.disconnect();
}

tl::expected<int, std::string> egress::Listen() { return server_.Listen(); }

// ---------------------------------------------------------------------------
// Arrival.

void egress::OnRequest(const std::shared_ptr<stream::server_exchange>& inbound,
                       stream::message_head head) {
  if (head.target.rfind(kMirrorPath, 0) == 0) {
    Reply(inbound, 200, kCborType,
          on_mirror_request ? on_mirror_request(head.target) : "");
    return;
  }
  if (head.target == kCrashesPath) {
    Reply(inbound, 200, kCborType,
          on_crashes_request ? on_crashes_request() : "");
    return;
  }
  if (head.target.rfind(kAttemptPath, 0) == 0) {
    OnAttemptQuery(inbound, head.target.substr(sizeof(kAttemptPath) - 1));
    return;
  }
  auto info = DecodeCall(net::FindHeader(head.headers, kCallHeader));
  if (!info) {
    net::Log(core::log_level::kWarning, "call without a readable header",
             {{"peer", inbound->PeerAddress()}, {"problem", info.error()}});
    Reply(inbound, 400, kTextType, "not a call of a daemon");
    return;
  }
  auto new_call = std::make_shared<call>(fleet_);
  new_call->id = ++last_id_;
  new_call->inbound = inbound;
  new_call->info = std::move(*info);
  new_call->caller_id = fleet_.dialect.ReadRequest(head).id;
  new_call->received = fleet_.loop.Now();
  new_call->deadline =
      new_call->received + milliseconds(new_call->info.budget_ms);
  new_call->aim_at = new_call->received + milliseconds(new_call->info.aim_ms);
  new_call->group = XXH64(
      new_call->info.route.data(), new_call->info.route.size(),
      XXH64(new_call->info.tenant.data(), new_call->info.tenant.size(), 0));
  DropFleetHeaders(&head.headers);
  new_call->head = std::move(head);
  if (fleet_.UsesCostRouting()) {
    new_call->cost = CostKeyOf(new_call->info, new_call->head);
    new_call->predicted = fleet_.costs.Predict(
        new_call->cost, milliseconds(new_call->info.typical_ms),
        new_call->received);
  }
  new_call->head_bytes = stream::MemoryOf(new_call->head);
  inbound->SetHeldBytes(new_call->head_bytes);
  calls_[new_call->id] = new_call;
  by_attempt_[new_call->info.attempt] = new_call->id;
  inbound->on_data = [this, new_call](std::string_view bytes) {
    OnBody(new_call, bytes);
  };
  inbound->on_end = [this, new_call] { OnBodyEnd(new_call); };
  inbound->on_closed = [this, new_call](stream::end_reason) {
    OnLinkClosed(new_call);
  };
  if (new_call->head.expects_continue) DecideBeforeBody(new_call);
}

void egress::Reply(const std::shared_ptr<stream::server_exchange>& inbound,
                   int status, const std::string& type,
                   const std::string& body) {
  stream::message_head head;
  head.status = status;
  head.headers.emplace_back("Content-Type", type);
  head.framing = stream::body_framing::kLength;
  head.length = body.size();
  inbound->SendHead(head);
  inbound->SendData(body);
  inbound->SendEnd();
  server_.FinishRequest(inbound);
}

// Answers whether an attempt ran. An attempt that is unknown or still queued is
// barred, so that it never runs. An earlier process on this VM may have run an
// attempt that this one doesn't know.
void egress::OnAttemptQuery(
    const std::shared_ptr<stream::server_exchange>& inbound,
    const std::string& query) {
  const std::size_t id_at = query.find(kIdField);
  if (id_at == std::string::npos) {
    Reply(inbound, 400, kTextType, "no id");
    return;
  }
  const std::string attempt = query.substr(id_at + kIdField.size());
  if (query.substr(0, id_at) != "boot=" + std::to_string(fleet_.boot)) {
    net::Log(core::log_level::kInfo, "asked for an earlier process's attempt",
             {{"attempt", attempt}, {"query", query}});
    Reply(inbound, 200, kTextType, "may_have_run");
    return;
  }
  const auto found = by_attempt_.find(attempt);
  bool not_run = false;
  if (found == by_attempt_.end()) {
    not_run = !attempts_.HasStarted(attempt);
  } else {
    const call_ptr call = calls_.at(found->second);
    not_run = running_.count(call->id) == 0;
    if (not_run) {
      queue_.Remove(call->id);
      RemoveCall(call);
      server_.Abort(call->inbound);
    }
  }
  if (not_run) attempts_.Bar(attempt, fleet_.loop.Now());
  Reply(inbound, 200, kTextType, not_run ? "not_run" : "may_have_run");
}

void egress::OnBody(const call_ptr& call, std::string_view bytes) {
  if (call->finished) return;
  if (call->exchange != nullptr) {
    call->exchange->SendData(bytes);
    if (call->exchange->UnsentBytes() > kMaxUnsentBytes) {
      call->inbound->SetReading(false);
    }
    return;
  }
  call->body.Append(bytes);
  call->inbound->SetHeldBytes(call->head_bytes + call->body.Bytes().size());
  if (call->streams_body || !call->body.IsTooLarge()) return;
  call->streams_body = true;
  Enqueue(call);
  if (!call->finished && call->exchange == nullptr) {
    call->inbound->SetReading(false);
  }
}

void egress::OnBodyEnd(const call_ptr& call) {
  if (call->finished) return;
  call->body_complete = true;
  if (!call->streams_body) {
    Enqueue(call);
  } else if (call->exchange != nullptr) {
    call->exchange->SendEnd();
  }
}

// Neither leaving nor in a zone that was taken out. Both may change while calls
// wait, so this is checked on arrival and before each start.
bool egress::MayGetCalls() const {
  return upstream_ && !upstream_->draining &&
         fleet_.directory.ZonesOut().count(upstream_->zone) == 0;
}

core::reason egress::FindRefusal(const call& call, instant now) const {
  if (!upstream_ || upstream_->id != call.info.upstream) {
    return core::reason::kUnknownUpstream;
  }
  if (stopping_ || !MayGetCalls()) return core::reason::kStopping;
  if (attempts_.IsBarred(call.info.attempt)) return core::reason::kCancelled;
  if (state_ == upstream_state::kDown) return core::reason::kConnectFailed;
  if (!MayStart(now)) return core::reason::kOverloaded;
  if (calls_.size() > kMaxCalls) return core::reason::kOverloaded;
  if (guard_.IsQuarantined(call.fingerprint, now)) {
    return core::reason::kQuarantined;
  }
  return core::reason::kNone;
}

double egress::TimeFactor(instant now) const {
  return monitor_.Speed(now) * monitor_.Pace(now);
}

sched::cost_estimate egress::ExpectedTime(const call& call) const {
  if (call.predicted) {
    const double factor = TimeFactor(fleet_.loop.Now());
    return {Scale(call.predicted->mean, factor),
            Scale(call.predicted->high, factor)};
  }
  const duration typical = milliseconds(call.info.typical_ms);
  const duration time = times_.Expect(
      call.info.route, Scale(typical, slowness_), fleet_.loop.Now());
  return {time, time};
}

duration egress::RemainingTime(const call& call, instant now) const {
  const duration age = now - call.started;
  if (call.predicted) {
    const double factor = TimeFactor(now);
    const duration left =
        fleet_.costs.Remaining(call.cost, Scale(age, 1 / factor),
                               milliseconds(call.info.typical_ms), now);
    return Scale(left, factor);
  }
  // A call that exceeds its expected time is still assumed to have some left.
  const duration expected = ExpectedTime(call).mean;
  return std::max(expected / 4, expected - age);
}

duration egress::RunningWork(instant now) const {
  duration work{0};
  for (const auto& [id, call] : running_) {
    work += RemainingTime(*call, now);
  }
  return work;
}

mesh::work_item egress::WorkItem(const call& call) const {
  mesh::work_item item;
  item.id = call.id;
  item.rank = call.info.rank;
  item.nested = call.info.nested;
  item.aim_at = call.aim_at;
  item.deadline = std::min(call.deadline, fleet_.stop_ends_at) - kAnswerMargin;
  item.group = call.group;
  const sched::cost_estimate time = ExpectedTime(call);
  item.expected = time.mean;
  if (call.predicted) item.high = time.high;
  item.carried = call.carried;
  return item;
}

duration egress::WorkAhead(const call& call, instant now) const {
  if (HasSlot(call.info.nested, now)) return duration{0};
  if (!BoundsSlots()) return RunningWork(now);
  return RunningWork(now) + HiddenWork(ExpectedTime(call).mean, now);
}

int egress::ReservedSlots(instant now) const {
  return upstream_ && fleet_.UsesOverloadControl()
             ? reserve_.Slots(upstream_->slots, now)
             : 0;
}

bool egress::HasSlot(bool nested, instant now) const {
  const int slots = UsableSlots(now);
  if (static_cast<int>(running_.size()) >= slots) return false;
  const int reserved = nested ? 0 : ReservedSlots(now);
  if (reserved == 0) return true;
  const auto callers = std::count_if(
      running_.begin(), running_.end(),
      [](const auto& running) { return !running.second->info.nested; });
  return callers < slots - reserved;
}

bool egress::CanStartOne(instant now) const {
  return queue_.Size() > 0 &&
         (HasSlot(false, now) || (queue_.HasNested() && HasSlot(true, now)));
}

// Refuses a call with a large body before the body is sent, if it can.
void egress::DecideBeforeBody(const call_ptr& call) {
  const instant now = fleet_.loop.Now();
  const core::reason reason = FindRefusal(*call, now);
  if (reason != core::reason::kNone) {
    Refuse(call, reason, kIngressRetryAfter);
    return;
  }
  const auto checked = queue_.Check(WorkItem(*call), upstream_->slots,
                                    WorkAhead(*call, now), now);
  if (!checked) {
    Refuse(call, checked.error().why, checked.error().retry_after);
    return;
  }
  call->carried = true;
  call->inbound->AcceptBody();
}

void egress::Enqueue(const call_ptr& call) {
  const instant now = fleet_.loop.Now();
  const std::string identity = call->info.tenant + '\n' +
                               call->info.caller_service + '\n' +
                               call->head.target + '\n';
  call->fingerprint =
      XXH64(call->body.Bytes().data(), call->body.Bytes().size(),
            XXH64(identity.data(), identity.size(), 0));
  const core::reason reason = FindRefusal(*call, now);
  if (reason != core::reason::kNone) {
    Refuse(call, reason, kIngressRetryAfter);
    return;
  }
  const mesh::work_item item = WorkItem(*call);
  if (fleet_.UsesOverloadControl()) {
    if (item.nested) reserve_.OnNestedCall(item.expected, now);
    constexpr std::size_t kPlaces = mesh::work_queue::kMaxWaiting;
    const bool is_reserved =
        queue_.Size() + reserve_.Places(kPlaces, now) >= kPlaces;
    if (!item.nested && is_reserved) {
      Refuse(call, core::reason::kQueueFull, kIngressRetryAfter);
      return;
    }
  }
  const auto pushed =
      queue_.Push(item, upstream_->slots, WorkAhead(*call, now), now);
  if (!pushed) {
    Refuse(call, pushed.error().why, pushed.error().retry_after);
    return;
  }
  call->queued = true;
  call->inbound->SetForwarded();
  StartQueuedCalls();
}

// ---------------------------------------------------------------------------
// Start.

void egress::StartQueuedCalls() {
  const instant now = fleet_.loop.Now();
  if (!MayGetCalls() || state_ == upstream_state::kDown) {
    RefuseQueued();
    return;
  }
  // Until the upstream has answered once, it isn't known whether it is cold.
  if (state_ == upstream_state::kUnknown) return;
  while (MayStart(now) && CanStartOne(now)) {
    if (!gate_.Take(now)) break;
    const duration running =
        controls_overload_ ? RunningWork(now) : duration{0};
    const auto next =
        HasSlot(false, now) ? queue_.Pop(now, running) : queue_.PopNested(now);
    const call_ptr call = calls_.at(next->id);
    if (upstream_->id != call->info.upstream) {
      Refuse(call, core::reason::kUnknownUpstream, kIngressRetryAfter);
    } else if (guard_.IsQuarantined(call->fingerprint, now)) {
      Refuse(call, core::reason::kQuarantined, kIngressRetryAfter);
    } else {
      StartCall(call);
    }
  }
  for (const mesh::work_item& item : queue_.Expire(now)) {
    // A copy of the pointer: ending the call removes the one in the table.
    const call_ptr call = calls_.at(item.id);
    Refuse(call, core::reason::kDeadline, kIngressRetryAfter);
  }
  if (controls_overload_) RefuseOvertaken();
  AskIfWarm();
  ScheduleWake();
}

void egress::SetQueueOrder() {
  controls_overload_ = fleet_.UsesOverloadControl();
  queue_.SetOrder(controls_overload_ ? mesh::queue_order::kLargestSet
                                     : mesh::queue_order::kEarliestAim);
}

bool egress::MayStart(instant now) const {
  return !controls_overload_ || breaker_.MayStart(now);
}

// Queued calls may be served elsewhere while this upstream sheds.
void egress::OnShed(const call& call, instant now) {
  if (!controls_overload_) return;
  const bool may_start = breaker_.MayStart(now);
  breaker_.OnShed(now);
  if (!may_start || breaker_.MayStart(now)) return;
  net::Log(core::log_level::kWarning, "upstream sheds calls",
           {{"upstream", call.upstream},
            {"running", std::to_string(running_.size())},
            {"queued", std::to_string(queue_.Size())}});
  for (const mesh::work_item& item : queue_.Clear()) {
    // A copy of the pointer: ending the call removes the one in the table.
    const call_ptr queued = calls_.at(item.id);
    Refuse(queued, core::reason::kOverloaded, kIngressRetryAfter);
  }
}

void egress::RefuseQueued() {
  for (const mesh::work_item& item : queue_.Clear()) {
    // A copy of the pointer: ending the call removes the one in the table.
    const call_ptr call = calls_.at(item.id);
    Refuse(call, core::reason::kStopping, kIngressRetryAfter);
  }
}

void egress::LimitQueue() {
  queue_.CapDeadlines(fleet_.stop_ends_at - kAnswerMargin);
  StartQueuedCalls();
}

void egress::ScheduleWake() {
  const instant now = fleet_.loop.Now();
  instant wake = instant::max();
  if (const auto expiry = queue_.NextExpiry()) wake = *expiry;
  if (upstream_ && CanStartOne(now)) wake = std::min(wake, gate_.NextAt(now));
  if (wake == wake_at_) return;
  wake_at_ = wake;
  wake_timer_.disconnect();
  if (wake == instant::max()) return;
  const duration delay = std::max(duration{1000}, wake - now);
  wake_timer_ = fleet_.timers.After(delay, sigc::slot<void()>([this] {
                                      wake_at_ = instant::max();
                                      StartQueuedCalls();
                                    }));
}

void egress::StartCall(const call_ptr& call) {
  // After a stall, the daemon may read a call and the end of its connection in
  // the same turn of the loop.
  if (call->inbound->HasPeerClosed()) {
    OnLinkClosed(call);
    return;
  }
  const instant now = fleet_.loop.Now();
  call->started = now;
  call->queued = false;
  call->upstream = upstream_->id;
  stream::message_head head;
  head.method = call->head.method;
  head.target = call->head.target;
  head.headers = call->head.headers;
  head.framing = call->head.framing;
  head.length = call->head.length;
  upstream_request facts;
  facts.budget = call->deadline - now;
  facts.upstream = upstream_->id;
  facts.tenant = call->info.tenant;
  facts.caller_service = call->info.caller_service;
  fleet_.dialect.WriteRequest(facts, &head.headers);
  stream::exchange_handlers handlers;
  handlers.on_head = [this, call](stream::message_head answer) {
    OnAnswerHead(call, std::move(answer));
  };
  handlers.on_data = [this, call](std::string_view bytes) {
    OnAnswerData(call, bytes);
  };
  handlers.on_end = [this, call] { OnAnswerEnd(call); };
  handlers.on_failed = [this, call](stream::failure failure) {
    OnFailed(call, failure);
  };
  handlers.on_drained = [call] { call->inbound->SetReading(true); };
  const auto is_own =
      [this, id = call->caller_id](const stream::message_head& answer) {
        const upstream_answer facts = fleet_.dialect.ReadAnswer(answer);
        if (facts.id == id) return true;
        net::Log(core::log_level::kInfo, "answer to another request skipped",
                 {{"request", id},
                  {"answered", facts.id},
                  {"status", std::to_string(answer.status)}});
        return false;
      };
  call->exchange =
      pool_.Start(fleet_.settings.upstream, head, std::move(handlers), is_own);
  if (call->exchange == nullptr) {
    Refuse(call, core::reason::kOverloaded, kIngressRetryAfter);
    return;
  }
  monitor_.OnStarted(upstream_->slots, now);
  running_[call->id] = call;
  breaker_.OnStarted(now);
  fleet_.run_deadlines[call->id] = call->deadline;
  fleet_.repeats.OnRunStarted(call->id, call->info.repeat);
  if (fleet_.UsesOverloadControl()) {
    fleet_.call_tree.OnRunStarted(call->id, call->info.route, now);
  }
  fleet_.metrics.ObserveQueueWait(now - call->received);
  call->exchange->SendData(call->body.Bytes());
  if (call->body_complete) {
    call->exchange->SendEnd();
  } else {
    call->body.Clear();
    call->inbound->SetReading(true);
  }
}

void egress::RemoveRunning(const call& call) {
  running_.erase(call.id);
  fleet_.run_deadlines.erase(call.id);
  fleet_.repeats.OnRunEnded(call.id);
  if (call.answer_info.not_run) {
    fleet_.call_tree.OnRunRefused(call.id, fleet_.loop.Now());
  } else {
    fleet_.call_tree.OnRunEnded(call.id, fleet_.loop.Now());
  }
}

bool egress::BoundsSlots() const {
  return fleet_.UsesOverloadControl() || fleet_.UsesCostRouting();
}

int egress::UsableSlots(instant now) const {
  if (!upstream_) return 0;
  return BoundsSlots() ? monitor_.UsableSlots(upstream_->slots, now)
                       : upstream_->slots;
}

duration egress::HiddenWork(duration usual, instant now) const {
  return BoundsSlots() ? monitor_.HiddenWork(usual, upstream_->slots, now)
                       : duration{0};
}

void egress::OnAbandoned(instant now) {
  if (!BoundsSlots()) return;
  monitor_.OnAbandoned(now);
  if (now - probed_at_ >= kLoadProbePeriod) Probe();
}

void egress::RecheckSlots(instant now) {
  if (!upstream_ || queue_.Size() == 0 || !BoundsSlots()) return;
  if (UsableSlots(now) < upstream_->slots) Probe();
  StartQueuedCalls();
}

void egress::RefuseOvertaken() {
  if (!upstream_ || queue_.Size() == 0) return;
  const instant now = fleet_.loop.Now();
  const duration usual =
      queue_.Work() / static_cast<duration::rep>(queue_.Size());
  const duration running = RunningWork(now) + HiddenWork(usual, now);
  const duration free_slot_in =
      (queue_.Work() + running) / std::max(1, upstream_->slots);
  for (const mesh::work_item& item :
       queue_.DropOvertaken(upstream_->slots, running, now)) {
    // A copy of the pointer: ending the call removes the one in the table.
    const call_ptr call = calls_.at(item.id);
    Refuse(call, core::reason::kQueueFull, free_slot_in);
  }
}

// Ends running calls whose ingress doesn't: a slot must not stay taken by an
// upstream that never answers, or whose answer never ends.
void egress::EndOverdueCalls(instant now) {
  std::vector<call_ptr> overdue;
  for (const auto& [id, call] : running_) {
    if (now > call->deadline + kOverdueMargin) overdue.push_back(call);
  }
  for (const call_ptr& call : overdue) {
    if (call->exchange) call->exchange->Cancel();
    call->exchange = nullptr;
    RemoveRunning(*call);
    OnAbandoned(now);
    LogEnd(*call, outcome::kMayHaveRun, core::reason::kDeadline);
    RemoveCall(call);
    server_.Abort(call->inbound);
  }
  if (!overdue.empty()) StartQueuedCalls();
}

void egress::BeginStop() { stopping_ = true; }

void egress::Tick() {
  const instant now = fleet_.loop.Now();
  attempts_.Expire(now);
  ExpireCrashNews(now);
  EndOverdueCalls(now);
  RecheckSlots(now);
  RefuseOvertaken();
  if (controls_overload_ && upstream_) {
    const int before = queue_.RankLimit();
    const int limit =
        queue_.UpdateRankLimit(upstream_->slots, RunningWork(now), now);
    if (limit != before) {
      net::Log(core::log_level::kInfo, "rank limit changed",
               {{"upstream", upstream_->id},
                {"limit", std::to_string(limit)},
                {"before", std::to_string(before)},
                {"queued", std::to_string(queue_.Size())}});
    }
  }
  AskIfWarm();
  const bool should_probe = state_ != upstream_state::kUp;
  if (should_probe && now - probed_at_ >= kDownProbePeriod) Probe();
}

}  // namespace pimentohall::node
