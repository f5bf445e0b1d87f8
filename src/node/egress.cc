#include "node/egress.h"

#include <xxhash.h>

#include <algorithm>

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// As at the ingress: what is held of a body before it passes through.
constexpr std::size_t kHeldBodyBytes = 64 * 1024;
constexpr std::size_t kStreamAheadBytes = 256 * 1024;
constexpr std::size_t kMaxCalls = 2048;
// The upstream is on this VM; it takes a connection at once or not at all.
constexpr duration kConnectTime = milliseconds(300);
constexpr duration kUpstreamSilence = milliseconds(800);
constexpr duration kUpstreamIdle = std::chrono::seconds(8);
// Kept below an upstream's own limit, which counts probes too.
constexpr int kConnectionsPerUpstream = 100;
constexpr duration kProbeTimeout = milliseconds(900);
// An upstream that is down is asked this often whether it is back.
constexpr duration kDownProbePeriod = milliseconds(250);
constexpr duration kTickPeriod = milliseconds(100);
// A call is answered this long before its ingress gives up on it.
constexpr duration kAnswerMargin = milliseconds(10);
constexpr duration kDefaultRetryAfter = milliseconds(300);
// How long crash reports are told to the others.
constexpr duration kCrashNewsTime = std::chrono::seconds(5);
// Connections of a process that crashed break within a few milliseconds; the
// refused connection that proves the crash comes within this time.
constexpr duration kCrashWindow = std::chrono::seconds(3);
constexpr duration kBarredTime = std::chrono::seconds(60);
constexpr std::size_t kMaxBarred = 20000;
// Weight of the newest call in the slowness.
constexpr double kSlownessWeight = 0.08;

constexpr char kTextType[] = "text/plain";
constexpr char kCborType[] = "application/cbor";
constexpr char kMirrorPath[] = "/pimentohall/mirror?";
constexpr char kAttemptPath[] = "/pimentohall/attempt?id=";

duration_ms Ms(duration of) {
  return std::chrono::duration_cast<milliseconds>(of).count();
}

}  // namespace

struct egress::call {
  std::uint64_t id = 0;
  std::shared_ptr<stream::connection> conn;
  stream::message_head head;
  call_header info;
  std::string caller_id;  // The caller's id of its attempt.
  instant received{};
  instant deadline{};
  instant aim_at{};
  instant started{};
  std::string body;
  bool body_whole = false;
  bool streams_body = false;
  bool queued = false;
  std::uint64_t fingerprint = 0;
  std::string upstream;  // The start that has it.
  std::shared_ptr<stream::exchange> exchange;
  stream::message_head answer;
  upstream_answer facts;
  std::string answer_body;
  bool streams_answer = false;
  bool finished = false;
};

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
// The upstream.

void egress::OnDirectory() {
  const instant now = fleet_.loop.Now();
  const net::endpoint& at = fleet_.settings.upstream;
  const mesh::directory::entry* entry =
      fleet_.directory.FindByAddress(at.address, at.port);
  if (entry == nullptr) {
    if (upstream_) {
      net::Log(core::log_level::kInfo, "upstream is no longer listed",
               {{"upstream", upstream_->id}});
      upstream_.reset();
      Pump();
    }
    return;
  }
  const bool is_new = !upstream_ || upstream_->id != entry->what.id ||
                      upstream_->born_ms != entry->what.born_ms;
  const bool was_draining = upstream_ && upstream_->draining;
  upstream_ = entry->what;
  const duration cold_left = entry->read_at + upstream_->warmup_left - now;
  if (cold_left.count() > 0) SetCold(cold_left);
  if (is_new) {
    net::Log(core::log_level::kInfo, "upstream listed",
             {{"upstream", upstream_->id},
              {"service", upstream_->service},
              {"slots", std::to_string(upstream_->slots)},
              {"cold_ms", MsText(std::max(duration{0}, cold_left))},
              {"revision", std::to_string(upstream_->revision)}});
    slowness_ = 1;
    pool_.DropIdle(at);
    state_ = upstream_state::kUnknown;
    Probe();
  } else if (upstream_->draining && !was_draining) {
    net::Log(core::log_level::kInfo, "upstream drains",
             {{"upstream", upstream_->id},
              {"revision", std::to_string(upstream_->revision)}});
  }
  Pump();
}

void egress::SetCold(duration left) {
  const instant now = fleet_.loop.Now();
  const mesh::service* service =
      fleet_.config && upstream_
          ? fleet_.config->FindService(upstream_->service)
          : nullptr;
  if (service == nullptr || service->warmup_per_s <= 0) return;
  if (!gate_.IsCold(now)) {
    net::Log(core::log_level::kInfo, "upstream is cold",
             {{"upstream", upstream_->id},
              {"left_ms", MsText(left)},
              {"per_s", std::to_string(service->warmup_per_s)}});
  }
  gate_.SetCold(now + left, service->warmup_per_s, now);
}

void egress::Probe() {
  if (probing_ || !upstream_ || !fleet_.config) return;
  const mesh::service* service = fleet_.config->FindService(upstream_->service);
  if (service == nullptr || service->health_path.empty()) {
    OnUpstreamUp();
    return;
  }
  probing_ = true;
  probed_at_ = fleet_.loop.Now();
  net::http_request request;
  request.target = fleet_.settings.upstream;
  request.path = service->health_path;
  request.timeout = kProbeTimeout;
  probes_.Start(
      request,
      [this](const tl::expected<net::http_answer, net::http_failure>& answer) {
        probing_ = false;
        if (!answer) {
          if (answer.error() == net::http_failure::kNotSent) {
            OnUpstreamDown();
            return;
          }
          // It took the connection, so it may only be busy.
          OnUpstreamUp();
          Pump();
          return;
        }
        OnHealth(fleet_.dialect.ReadHealth(*answer));
      });
}

void egress::OnHealth(const health_answer& health) {
  if (health.warmup_left.count() > 0) SetCold(health.warmup_left);
  OnUpstreamUp();
  Pump();
}

void egress::OnUpstreamUp() {
  if (state_ != upstream_state::kUp) {
    net::Log(core::log_level::kInfo, "upstream reachable",
             {{"upstream", upstream_ ? upstream_->id : ""}});
  }
  state_ = upstream_state::kUp;
}

void egress::OnUpstreamDown() {
  const instant now = fleet_.loop.Now();
  if (state_ != upstream_state::kDown) {
    net::Log(core::log_level::kWarning, "upstream unreachable",
             {{"upstream", upstream_ ? upstream_->id : ""}});
  }
  state_ = upstream_state::kDown;
  pool_.DropIdle(fleet_.settings.upstream);
  // Calls that broke just before show what was in flight when it crashed.
  if (!lost_.empty() && now - lost_at_ <= kCrashWindow) {
    const std::uint64_t parts[] = {fleet_.boot, ++crashes_};
    const std::uint64_t crash = XXH64(parts, sizeof(parts), 0);
    std::sort(lost_.begin(), lost_.end());
    lost_.erase(std::unique(lost_.begin(), lost_.end()), lost_.end());
    for (const core::crash_report& report :
         guard_.OnCrash(crash, lost_, lost_.size() == 1, now)) {
      crash_news_.emplace_back(now, report);
    }
    net::Log(core::log_level::kWarning, "upstream crashed",
             {{"upstream", upstream_ ? upstream_->id : ""},
              {"in_flight", std::to_string(lost_.size())}});
  }
  lost_.clear();
  for (const mesh::work_item& each : queue_.Clear()) {
    Refuse(calls_.at(each.id), core::reason::kConnectFailed,
           kDefaultRetryAfter);
  }
}

void egress::NoteLost(const call& which) {
  const instant now = fleet_.loop.Now();
  if (now - lost_at_ > kCrashWindow) lost_.clear();
  lost_.push_back(which.fingerprint);
  lost_at_ = now;
  Probe();
}

std::vector<core::crash_report> egress::CrashNews() const {
  const instant now = fleet_.loop.Now();
  std::vector<core::crash_report> reports;
  for (const auto& [at, report] : crash_news_) {
    core::crash_report told = report;
    told.age_ms += std::chrono::duration_cast<milliseconds>(now - at).count();
    reports.push_back(told);
  }
  return reports;
}

void egress::OnCrashNews(const core::crash_report& report) {
  guard_.Merge(report, fleet_.loop.Now());
}

std::optional<mesh::load_news> egress::Load() const {
  if (!upstream_) return std::nullopt;
  const instant now = fleet_.loop.Now();
  mesh::load_news load;
  load.upstream = upstream_->id;
  load.running = static_cast<int>(running_.size());
  load.queued = static_cast<int>(queue_.Size());
  const bool takes =
      state_ != upstream_state::kDown && !upstream_->draining && !stopping_;
  load.slots = takes ? upstream_->slots : 0;
  load.backlog_ms = static_cast<double>(
      Ms((queue_.Work() + RunningWork(now)) / std::max(1, upstream_->slots)));
  load.slowness = slowness_;
  return load;
}

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
    // Ended attempts are remembered as barred too, by how they ended.
    not_run = barred_.count(attempt + "+") == 0;
  } else {
    const call_ptr which = calls_.at(found->second);
    not_run = running_.count(which->id) == 0;
    if (not_run) {
      queue_.Remove(which->id);
      Forget(which);
      server_.Abort(which->conn);
    }
  }
  if (not_run) {
    barred_.insert(attempt);
    barred_order_.emplace_back(fleet_.loop.Now(), attempt);
  }
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
  if (barred_.count(which.info.attempt) != 0) return core::reason::kCancelled;
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
    Refuse(which, why, kDefaultRetryAfter);
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
      Refuse(calls_.at(each.id), core::reason::kStopping, kDefaultRetryAfter);
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
      Refuse(which, core::reason::kUnknownUpstream, kDefaultRetryAfter);
    } else if (guard_.IsQuarantined(which->fingerprint, now)) {
      Refuse(which, core::reason::kQuarantined, kDefaultRetryAfter);
    } else {
      StartCall(which);
    }
  }
  for (const mesh::work_item& each : queue_.Expire(now)) {
    Refuse(calls_.at(each.id), core::reason::kDeadline, kDefaultRetryAfter);
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
    Refuse(which, core::reason::kOverloaded, kDefaultRetryAfter);
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

// ---------------------------------------------------------------------------
// The upstream's answer.

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
    told.took_ms = Ms(now - which.started);
    told.waited_ms = Ms(which.started - which.received);
  } else {
    told.waited_ms = Ms(now - which.received);
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
                kDefaultRetryAfter);
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
  told.retry_after_ms = Ms(retry_after);
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
    // Remembered as started, for an ingress that asks after its link broke.
    const std::string mark = which->info.attempt + "+";
    barred_.insert(mark);
    barred_order_.emplace_back(fleet_.loop.Now(), mark);
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

void egress::RefuseOvertaken() {
  if (!upstream_ || queue_.Size() == 0) return;
  const instant now = fleet_.loop.Now();
  const duration running = RunningWork(now);
  const duration room_in =
      (queue_.Work() + running) / std::max(1, upstream_->slots);
  for (const mesh::work_item& each :
       queue_.DropOvertaken(upstream_->slots, running, now)) {
    Refuse(calls_.at(each.id), core::reason::kQueueFull, room_in);
  }
}

void egress::BeginStop() { stopping_ = true; }

void egress::Tick() {
  const instant now = fleet_.loop.Now();
  while (!barred_order_.empty() &&
         (barred_order_.front().first + kBarredTime < now ||
          barred_order_.size() > kMaxBarred)) {
    barred_.erase(barred_order_.front().second);
    barred_order_.pop_front();
  }
  while (!crash_news_.empty() &&
         crash_news_.front().first + kCrashNewsTime < now) {
    crash_news_.erase(crash_news_.begin());
  }
  RefuseOvertaken();
  const bool ask = state_ != upstream_state::kUp;
  if (ask && now - probed_at_ >= kDownProbePeriod) Probe();
}

}  // namespace pimentohall::node
