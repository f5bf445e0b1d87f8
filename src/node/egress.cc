// Arrival and start of calls.

#include "node/egress.h"

#include <xxhash.h>

#include <algorithm>

#include "node/egress_call.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxCalls = 2048;
// The upstream is on this VM; it takes a connection at once or not at all.
constexpr duration kConnectTime = milliseconds(300);
constexpr duration kUpstreamSilence = milliseconds(800);
constexpr duration kUpstreamIdle = std::chrono::seconds(8);
// Kept below an upstream's own limit, which counts probes too.
constexpr int kConnectionsPerUpstream = 100;
// An upstream that is down is asked this often whether it is back.
constexpr duration kDownProbePeriod = milliseconds(250);
constexpr duration kTickPeriod = milliseconds(100);
// A call is answered this long before its ingress gives up on it.
constexpr duration kAnswerMargin = milliseconds(10);

constexpr char kTextType[] = "text/plain";
constexpr char kCborType[] = "application/cbor";
constexpr char kMirrorPath[] = "/pimentohall/mirror?";
constexpr char kAttemptPath[] = "/pimentohall/attempt?id=";

}  // namespace

egress::egress(fleet_state& fleet)
    : fleet_(fleet),
      server_(fleet.loop, fleet.timers, {fleet.settings.peers, {}, {}}),
      pool_(fleet.loop, fleet.timers,
            {kUpstreamIdle, kUpstreamSilence, kConnectTime,
             kConnectionsPerUpstream}),
      probes_(fleet.loop, fleet.timers, 1) {
  server_.on_request = [this](const std::shared_ptr<stream::connection>& conn,
                              stream::message_head head) {
    OnRequest(conn, std::move(head));
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

void egress::OnRequest(const std::shared_ptr<stream::connection>& conn,
                       stream::message_head head) {
  if (head.target.rfind(kMirrorPath, 0) == 0) {
    Reply(conn, 200, kCborType,
          on_mirror_asked ? on_mirror_asked(head.target) : "");
    return;
  }
  if (head.target.rfind(kAttemptPath, 0) == 0) {
    OnAttemptQuestion(conn, head.target.substr(sizeof(kAttemptPath) - 1));
    return;
  }
  auto info = DecodeCall(net::FindHeader(head.headers, kCallHeader));
  if (!info) {
    net::Log(core::log_level::kWarning, "call without a readable header",
             {{"peer", conn->PeerAddress()}, {"problem", info.error()}});
    Reply(conn, 400, kTextType, "not a call of a daemon");
    return;
  }
  auto which = std::make_shared<call>();
  which->id = ++last_id_;
  which->conn = conn;
  which->info = std::move(*info);
  which->caller_id = fleet_.dialect.ReadRequest(head).id;
  which->received = fleet_.loop.Now();
  which->deadline = which->received + milliseconds(which->info.budget_ms);
  which->aim_at = which->received + milliseconds(which->info.aim_ms);
  DropFleetHeaders(&head.headers);
  which->head = std::move(head);
  calls_[which->id] = which;
  by_attempt_[which->info.attempt] = which->id;
  conn->on_data = [this, which](std::string_view bytes) {
    OnBody(which, bytes);
  };
  conn->on_end = [this, which] { OnBodyEnd(which); };
  conn->on_closed = [this, which](stream::end_reason) { OnLinkClosed(which); };
}

void egress::Reply(const std::shared_ptr<stream::connection>& conn, int status,
                   const std::string& type, const std::string& body) {
  stream::message_head head;
  head.status = status;
  head.headers.emplace_back("Content-Type", type);
  head.framing = stream::body_framing::kLength;
  head.length = body.size();
  conn->SendHead(head);
  conn->SendData(body);
  conn->SendEnd();
  server_.Done(conn);
}

// Tells whether an attempt ran. One that is unknown, or waits, is barred: it
// will not run.
void egress::OnAttemptQuestion(const std::shared_ptr<stream::connection>& conn,
                               const std::string& attempt) {
  const auto found = by_attempt_.find(attempt);
  bool not_run = false;
  if (found == by_attempt_.end()) {
    not_run = !attempts_.HasStarted(attempt);
  } else {
    const call_ptr which = calls_.at(found->second);
    not_run = running_.count(which->id) == 0;
    if (not_run) {
      queue_.Remove(which->id);
      Forget(which);
      server_.Abort(which->conn);
    }
  }
  if (not_run) attempts_.Bar(attempt, fleet_.loop.Now());
  Reply(conn, 200, kTextType, not_run ? "not_run" : "may_have_run");
}

void egress::OnBody(const call_ptr& which, std::string_view bytes) {
  if (which->finished) return;
  if (which->exchange != nullptr) {
    which->exchange->SendData(bytes);
    if (which->exchange->Unsent() > kStreamAheadBytes) {
      which->conn->SetReading(false);
    }
    return;
  }
  which->body.append(bytes);
  if (which->streams_body || which->body.size() <= kHeldBodyBytes) return;
  which->streams_body = true;
  Enqueue(which);
  if (!which->finished && which->exchange == nullptr) {
    which->conn->SetReading(false);
  }
}

void egress::OnBodyEnd(const call_ptr& which) {
  if (which->finished) return;
  which->body_whole = true;
  if (!which->streams_body) {
    Enqueue(which);
  } else if (which->exchange != nullptr) {
    which->exchange->SendEnd();
  }
}

core::reason egress::FindRefusal(const call& which, instant now) const {
  if (!upstream_ || upstream_->id != which.info.upstream) {
    return core::reason::kUnknownUpstream;
  }
  if (stopping_ || upstream_->draining ||
      fleet_.directory.ZonesOut().count(upstream_->zone) != 0) {
    return core::reason::kStopping;
  }
  if (attempts_.IsBarred(which.info.attempt)) return core::reason::kCancelled;
  if (state_ == upstream_state::kDown) return core::reason::kConnectFailed;
  if (calls_.size() > kMaxCalls) return core::reason::kOverloaded;
  if (guard_.IsQuarantined(which.fingerprint, now)) {
    return core::reason::kQuarantined;
  }
  return core::reason::kNone;
}

duration egress::ExpectedTime(const call_header& of) const {
  const auto usual = std::chrono::duration<double, std::milli>(
      static_cast<double>(of.typical_ms) * slowness_);
  return times_.Expect(of.route, std::chrono::duration_cast<duration>(usual),
                       fleet_.loop.Now());
}

duration egress::RunningWork(instant now) const {
  duration work{0};
  for (const auto& [id, each] : running_) {
    const duration expected = ExpectedTime(each->info);
    // A call that takes longer than expected has some time left still.
    work += std::max(expected / 4, expected - (now - each->started));
  }
  return work;
}

void egress::Enqueue(const call_ptr& which) {
  const instant now = fleet_.loop.Now();
  const std::string identity = which->info.tenant + '\n' +
                               which->info.caller_service + '\n' +
                               which->head.target + '\n';
  which->fingerprint = XXH64(which->body.data(), which->body.size(),
                             XXH64(identity.data(), identity.size(), 0));
  const core::reason why = FindRefusal(*which, now);
  if (why != core::reason::kNone) {
    Refuse(which, why, kIngressRetryAfter);
    return;
  }
  mesh::work_item item;
  item.id = which->id;
  item.rank = which->info.rank;
  item.nested = which->info.nested;
  item.aim_at = which->aim_at;
  item.deadline = which->deadline - kAnswerMargin;
  item.expected = ExpectedTime(which->info);
  const bool has_room = static_cast<int>(running_.size()) < upstream_->slots;
  const auto taken = queue_.Push(
      item, upstream_->slots, has_room ? duration{0} : RunningWork(now), now);
  if (!taken) {
    Refuse(which, taken.error().why, taken.error().retry_after);
    return;
  }
  which->queued = true;
  Pump();
}

// ---------------------------------------------------------------------------
// Start.

void egress::Pump() {
  const instant now = fleet_.loop.Now();
  const bool may_start =
      upstream_ && !upstream_->draining && state_ != upstream_state::kDown;
  if (!may_start) {
    for (const mesh::work_item& each : queue_.Clear()) {
      // A copy: the end of the call drops the one in the table.
      const call_ptr which = calls_.at(each.id);
      Refuse(which, core::reason::kStopping, kIngressRetryAfter);
    }
    return;
  }
  // Until the upstream's first word nothing is known of a cold start.
  if (state_ == upstream_state::kUnknown) return;
  while (queue_.Size() > 0 &&
         static_cast<int>(running_.size()) < upstream_->slots) {
    if (!gate_.Take(now)) break;
    const auto next = queue_.Pop(now);
    const call_ptr which = calls_.at(next->id);
    if (upstream_->id != which->info.upstream) {
      Refuse(which, core::reason::kUnknownUpstream, kIngressRetryAfter);
    } else if (guard_.IsQuarantined(which->fingerprint, now)) {
      Refuse(which, core::reason::kQuarantined, kIngressRetryAfter);
    } else {
      StartCall(which);
    }
  }
  for (const mesh::work_item& each : queue_.Expire(now)) {
    // A copy: the end of the call drops the one in the table.
    const call_ptr which = calls_.at(each.id);
    Refuse(which, core::reason::kDeadline, kIngressRetryAfter);
  }
  ScheduleWake();
}

void egress::ScheduleWake() {
  const instant now = fleet_.loop.Now();
  instant at = instant::max();
  if (const auto expiry = queue_.NextExpiry()) at = *expiry;
  const bool has_room =
      upstream_ && static_cast<int>(running_.size()) < upstream_->slots;
  if (queue_.Size() > 0 && has_room) at = std::min(at, gate_.NextAt(now));
  if (at == wake_at_) return;
  wake_at_ = at;
  wake_timer_.disconnect();
  if (at == instant::max()) return;
  const duration wait = std::max(duration{1000}, at - now);
  wake_timer_ = fleet_.timers.After(wait, sigc::slot<void()>([this] {
                                      wake_at_ = instant::max();
                                      Pump();
                                    }));
}

void egress::StartCall(const call_ptr& which) {
  // A daemon that was held up reads a call and the close behind it at once.
  if (which->conn->HasPeerClosed()) {
    OnLinkClosed(which);
    return;
  }
  const instant now = fleet_.loop.Now();
  which->started = now;
  which->queued = false;
  which->upstream = upstream_->id;
  stream::message_head head;
  head.method = which->head.method;
  head.target = which->head.target;
  head.headers = which->head.headers;
  head.framing = which->head.framing;
  head.length = which->head.length;
  upstream_request facts;
  facts.budget = which->deadline - now;
  facts.upstream = upstream_->id;
  facts.tenant = which->info.tenant;
  facts.caller_service = which->info.caller_service;
  fleet_.dialect.WriteRequest(facts, &head.headers);
  stream::exchange_handlers handlers;
  handlers.on_head = [this, which](stream::message_head answer) {
    OnAnswerHead(which, std::move(answer));
  };
  handlers.on_data = [this, which](std::string_view bytes) {
    OnAnswerData(which, bytes);
  };
  handlers.on_end = [this, which] { OnAnswerEnd(which); };
  handlers.on_failed = [this, which](stream::failure why) {
    OnFailed(which, why);
  };
  handlers.on_drained = [which] { which->conn->SetReading(true); };
  const auto is_own =
      [this, id = which->caller_id](const stream::message_head& answer) {
        const upstream_answer facts = fleet_.dialect.ReadAnswer(answer);
        return facts.id.empty() ? answer.status >= 300 : facts.id == id;
      };
  which->exchange =
      pool_.Start(fleet_.settings.upstream, head, std::move(handlers), is_own);
  if (which->exchange == nullptr) {
    Refuse(which, core::reason::kOverloaded, kIngressRetryAfter);
    return;
  }
  running_[which->id] = which;
  NoteRepeats();
  fleet_.metrics.ObserveQueueWait(now - which->received);
  which->exchange->SendData(which->body);
  if (which->body_whole) {
    which->exchange->SendEnd();
  } else {
    which->body.clear();
    which->conn->SetReading(true);
  }
}

void egress::NoteRepeats() {
  const auto repeats =
      std::count_if(running_.begin(), running_.end(),
                    [](const auto& each) { return each.second->info.repeat; });
  fleet_.repeat_share =
      running_.empty()
          ? 0
          : static_cast<double>(repeats) / static_cast<double>(running_.size());
}

void egress::RefuseOvertaken() {
  if (!upstream_ || queue_.Size() == 0) return;
  const instant now = fleet_.loop.Now();
  const duration running = RunningWork(now);
  const duration room_in =
      (queue_.Work() + running) / std::max(1, upstream_->slots);
  for (const mesh::work_item& each :
       queue_.DropOvertaken(upstream_->slots, running, now)) {
    // A copy: the end of the call drops the one in the table.
    const call_ptr which = calls_.at(each.id);
    Refuse(which, core::reason::kQueueFull, room_in);
  }
}

void egress::BeginStop() { stopping_ = true; }

void egress::Tick() {
  const instant now = fleet_.loop.Now();
  attempts_.Expire(now);
  ExpireCrashNews(now);
  RefuseOvertaken();
  const bool ask = state_ != upstream_state::kUp;
  if (ask && now - probed_at_ >= kDownProbePeriod) Probe();
}

}  // namespace pimentohall::node
