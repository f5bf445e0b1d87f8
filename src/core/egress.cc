#include "core/egress.h"

#include <xxhash.h>

#include <algorithm>

namespace pimentohall::core {
namespace {

// For this time after an answer that said "draining", a report that says
// otherwise may be older than the answer and is not trusted.
constexpr duration kMaxReportLag = std::chrono::seconds(5);

bool IsSameProcess(const config::upstream& a, const config::upstream& b) {
  return a.address == b.address && a.port == b.port && a.service == b.service;
}

}  // namespace

egress::egress(std::string vm, std::uint64_t seed)
    : vm_(std::move(vm)), crash_seed_(seed), idempotency_keys_(seed) {}

// ---------------------------------------------------------------------------
// Configuration.

void egress::SetConfig(std::shared_ptr<const config::config_set> set,
                       instant now, actions* out) {
  set_ = std::move(set);
  std::map<std::string, std::unique_ptr<upstream_state>> previous;
  previous.swap(upstreams_);
  for (const config::service& service : set_->Services()) {
    for (const config::upstream& settings : service.upstreams) {
      if (settings.vm != vm_) continue;
      auto found = previous.find(settings.name);
      if (found != previous.end() &&
          IsSameProcess(found->second->settings, settings)) {
        upstreams_[settings.name] = std::move(found->second);
        previous.erase(found);
      }
      ApplyUpstream(settings, now, out);
    }
  }
  for (auto& [name, old] : previous) RemoveUpstream(std::move(old), now, out);
  removed_.erase(std::remove_if(removed_.begin(), removed_.end(),
                                [](const auto& state) {
                                  return state == nullptr ||
                                         state->running.empty();
                                }),
                 removed_.end());
}

void egress::ApplyUpstream(const config::upstream& settings, instant now,
                           actions* out) {
  auto& upstream = upstreams_[settings.name];
  if (upstream == nullptr) upstream = ReclaimRemoved(settings);
  if (upstream == nullptr) upstream = std::make_unique<upstream_state>();
  upstream->settings = settings;
  upstream->limiter.SetMax(settings.max_connections);
  std::map<std::string, double> weights;
  for (const config::organisation& organisation : set_->Organisations()) {
    weights[organisation.name] = organisation.limits.rate_per_s;
  }
  upstream->queue.SetWeights(std::move(weights));
  Dispatch(upstream.get(), now, out);
}

// Returns the state of an upstream that was removed and is configured again: it
// may still run calls, which hold slots.
std::unique_ptr<egress::upstream_state> egress::ReclaimRemoved(
    const config::upstream& settings) {
  for (auto& state : removed_) {
    if (state == nullptr || state->settings.name != settings.name) continue;
    if (IsSameProcess(state->settings, settings)) return std::move(state);
  }
  return nullptr;
}

void egress::RemoveUpstream(std::unique_ptr<upstream_state> upstream,
                            instant now, actions* out) {
  DropWaiting(upstream.get(), reason::kUnknownUpstream, now, out);
  removed_.push_back(std::move(upstream));
}

// ---------------------------------------------------------------------------
// Attempts.

egress::call_record* egress::FindCall(const std::string& vm, attempt_id attempt,
                                      std::uint64_t* serial) {
  auto found = serials_.find({attempt, vm});
  if (found == serials_.end()) return nullptr;
  *serial = found->second;
  return &calls_.at(found->second);
}

egress::upstream_state* egress::FindUpstream(const std::string& name) const {
  auto found = upstreams_.find(name);
  return found == upstreams_.end() ? nullptr : found->second.get();
}

bool egress::IsKnownAttempt(const attempt_key& key) const {
  return serials_.count(key) != 0 || ended_.count(key) != 0;
}

void egress::RememberAttempt(const attempt_key& key, instant now) {
  ExpireAttempts(now);
  if (!ended_.insert(key).second) return;
  ended_order_.push_back({key, now});
}

void egress::ExpireAttempts(instant now) {
  while (!ended_order_.empty()) {
    const remembered_attempt& oldest = ended_order_.front();
    const bool is_full = ended_order_.size() >= kMaxRememberedAttempts;
    if (!is_full && oldest.remembered_at + kAttemptRetention > now) return;
    ended_.erase(oldest.key);
    ended_order_.pop_front();
  }
}

void egress::SetTimer(std::uint64_t serial, instant time) {
  call_record& call = calls_.at(serial);
  timers_.erase({call.timer, serial});
  call.timer = time;
  timers_.insert({time, serial});
}

void egress::RemoveCall(std::uint64_t serial, instant now) {
  const call_record& call = calls_.at(serial);
  const attempt_key key{call.attempt, call.vm};
  timers_.erase({call.timer, serial});
  if (call.state == call_state::kAbandoned) --abandoned_;
  serials_.erase(key);
  calls_.erase(serial);
  RememberAttempt(key, now);
}

void egress::Answer(const call_record& call, outcome_kind outcome, reason why,
                    int http_status, instant now, actions* out) const {
  answer_peer answer;
  answer.vm = call.vm;
  answer.attempt = call.attempt;
  answer.outcome = outcome;
  answer.why = why;
  answer.http_status = http_status;
  if (call.upstream != nullptr) answer.load = FindLoad(*call.upstream, now);
  out->push_back(std::move(answer));
}

// ---------------------------------------------------------------------------
// Arrival.

reason egress::FindRefusal(const call_info& info,
                           const upstream_state* upstream, instant now) const {
  if (is_stopping_) return reason::kStopping;
  if (upstream == nullptr) return reason::kUnknownUpstream;
  if (IsDraining(*upstream, now)) return reason::kStopping;
  const bool is_down =
      upstream->limiter.IsDown() && now < upstream->limiter.BackoffUntil();
  if (is_down) return reason::kConnectFailed;
  if (calls_.size() >= kMaxCalls) return reason::kOverloaded;
  if (info.remaining <= duration{0}) return reason::kDeadline;
  if (guard_.IsQuarantined(info.fingerprint, now)) return reason::kQuarantined;
  return reason::kNone;
}

// Reserves the idempotency key of a call that needs one. On failure returns
// false and sets `*why`.
bool egress::ReserveKey(call_record* call, reason* why, instant now) {
  const call_info& info = call->info;
  if (info.idempotent || info.idempotency_key.empty()) return true;
  switch (
      idempotency_keys_.Begin(info.organisation, info.idempotency_key, now)) {
    case dedup_cache::begin_result::kFresh:
      call->holds_key = true;
      return true;
    case dedup_cache::begin_result::kDuplicate:
      *why = reason::kDuplicate;
      return false;
    case dedup_cache::begin_result::kFull:
      *why = reason::kOverloaded;
      return false;
  }
  return false;
}

void egress::FinishKey(call_record* call, dedup_cache::key_outcome key_outcome,
                       instant now) {
  if (!call->holds_key) return;
  call->holds_key = false;
  idempotency_keys_.Finish(call->info.organisation, call->info.idempotency_key,
                           key_outcome, now);
}

void egress::OnPeerCall(const peer_call& message, instant now, actions* out) {
  const attempt_key key{message.attempt, message.vm};
  if (IsKnownAttempt(key)) return;
  call_record call;
  call.vm = message.vm;
  call.attempt = message.attempt;
  call.info = message.info;
  call.upstream = FindUpstream(message.info.upstream);
  call.deadline = now + message.info.remaining;
  reason why = FindRefusal(message.info, call.upstream, now);
  if (why != reason::kNone || !ReserveKey(&call, &why, now)) {
    Answer(call, outcome_kind::kNotRun, why, 0, now, out);
    RememberAttempt(key, now);
    return;
  }
  const std::uint64_t serial = next_serial_++;
  serials_[key] = serial;
  calls_.emplace(serial, std::move(call));
  Enqueue(serial, now, out);
}

void egress::Enqueue(std::uint64_t serial, instant now, actions* out) {
  const call_record& call = calls_.at(serial);
  upstream_state* upstream = call.upstream;
  fair_queue::entry entry;
  entry.id = serial;
  entry.organisation = call.info.organisation;
  entry.traffic_class = call.info.traffic_class;
  entry.deadline = call.deadline;
  SetTimer(serial, call.deadline);
  const bool can_start_now =
      upstream->limiter.CanStart(now) && !IsRunningIsolated(*upstream, now);
  const auto refused = upstream->queue.Push(entry, upstream->limiter.Limit(now),
                                            can_start_now, now);
  if (refused) Refuse(refused->id, refused->why, now, out);
  Dispatch(upstream, now, out);
}

// ---------------------------------------------------------------------------
// Start.

void egress::Dispatch(upstream_state* upstream, instant now, actions* out) {
  upstream->last_dispatch = now;
  while (upstream->queue.Size() > 0) {
    if (RefuseFront(upstream, now, out)) continue;
    if (!MayStartFront(upstream, now)) return;
    Start(upstream->queue.Pop().id, now, out);
  }
}

// Refuses the next call if its deadline passed or it is quarantined meanwhile.
bool egress::RefuseFront(upstream_state* upstream, instant now, actions* out) {
  const fair_queue::entry front = *upstream->queue.Front();
  const call_record& call = calls_.at(front.id);
  reason why = reason::kNone;
  if (front.deadline <= now) {
    why = reason::kDeadline;
  } else if (guard_.IsQuarantined(call.info.fingerprint, now)) {
    why = reason::kQuarantined;
  }
  if (why == reason::kNone) return false;
  upstream->queue.Remove(front.id);
  Refuse(front.id, why, now, out);
  return true;
}

bool egress::MayStartFront(upstream_state* upstream, instant now) {
  if (!upstream->limiter.CanStart(now)) return false;
  if (IsRunningIsolated(*upstream, now)) return false;
  const call_record& call = calls_.at(upstream->queue.Front()->id);
  if (upstream->running.empty() ||
      !guard_.IsSuspect(call.info.fingerprint, now)) {
    upstream->pending_since.reset();
    return true;
  }
  if (!upstream->pending_since) upstream->pending_since = now;
  return now >= *upstream->pending_since + kMaxIsolation;
}

void egress::Start(std::uint64_t serial, instant now, actions* out) {
  call_record& call = calls_.at(serial);
  upstream_state* upstream = call.upstream;
  call.ticket = *upstream->limiter.TryStart(now);
  call.state = call_state::kRunning;
  if (upstream->running.empty() &&
      guard_.IsSuspect(call.info.fingerprint, now)) {
    upstream->isolated = serial;
    upstream->isolated_since = now;
  }
  upstream->pending_since.reset();
  upstream->running.insert(serial);
  ++upstream->started;
  start_upstream_call start;
  start.vm = call.vm;
  start.attempt = call.attempt;
  start.upstream = upstream->settings;
  start.info = call.info;
  start.info.remaining = call.deadline - now;
  out->push_back(std::move(start));
}

bool egress::IsRunningIsolated(const upstream_state& upstream, instant now) {
  return upstream.isolated && now < upstream.isolated_since + kMaxIsolation;
}

// ---------------------------------------------------------------------------
// End.

void egress::Refuse(std::uint64_t serial, reason why, instant now,
                    actions* out) {
  call_record& call = calls_.at(serial);
  FinishKey(&call, dedup_cache::key_outcome::kNotRun, now);
  Answer(call, outcome_kind::kNotRun, why, 0, now, out);
  RemoveCall(serial, now);
}

void egress::DropWaiting(upstream_state* upstream, reason why, instant now,
                         actions* out) {
  for (const fair_queue::entry& entry : upstream->queue.Clear()) {
    Refuse(entry.id, why, now, out);
  }
}

void egress::EndRunning(std::uint64_t serial, slot_limiter::call_result result,
                        instant now) {
  call_record& call = calls_.at(serial);
  upstream_state* upstream = call.upstream;
  upstream->running.erase(serial);
  if (upstream->isolated == serial) upstream->isolated.reset();
  if (call.state == call_state::kAbandoned) {
    result = call.timed_out ? slot_limiter::call_result::kTimedOut
                            : slot_limiter::call_result::kAbandoned;
  }
  upstream->limiter.OnResult(call.ticket, call.info.route, result, now);
  if (result == slot_limiter::call_result::kAnswered ||
      result == slot_limiter::call_result::kTimedOut) {
    upstream->queue.OnServed(call.info.organisation, now - call.ticket.started);
  }
}

void egress::Abandon(std::uint64_t serial, instant now, actions* out) {
  call_record& call = calls_.at(serial);
  call.state = call_state::kAbandoned;
  ++abandoned_;
  SetTimer(serial, now + kAbandonedSlotTimeout);
  cancel_upstream_call cancel;
  cancel.vm = call.vm;
  cancel.attempt = call.attempt;
  out->push_back(std::move(cancel));
}

// Cancels a call for its ingress daemon. The caller must dispatch after it has
// cancelled the last call, so that none of the others is started or answered in
// between.
void egress::CancelCall(std::uint64_t serial, instant now, actions* out) {
  call_record& call = calls_.at(serial);
  upstream_state* upstream = call.upstream;
  switch (call.state) {
    case call_state::kWaiting:
      upstream->queue.Remove(serial);
      FinishKey(&call, dedup_cache::key_outcome::kNotRun, now);
      RemoveCall(serial, now);
      break;
    case call_state::kRunning:
      Abandon(serial, now, out);
      break;
    case call_state::kAbandoned:
      break;
  }
}

void egress::OnPeerCancel(const peer_cancel& cancel, instant now,
                          actions* out) {
  std::uint64_t serial = 0;
  const call_record* call = FindCall(cancel.vm, cancel.attempt, &serial);
  if (call != nullptr) {
    upstream_state* upstream = call->upstream;
    CancelCall(serial, now, out);
    Dispatch(upstream, now, out);
    return;
  }
  // A call that arrives after its cancellation must not start.
  RememberAttempt({cancel.attempt, cancel.vm}, now);
}

void egress::OnPeerGone(const std::string& vm, instant now, actions* out) {
  std::vector<std::uint64_t> serials;
  for (const auto& [serial, call] : calls_) {
    if (call.vm == vm) serials.push_back(serial);
  }
  for (std::uint64_t serial : serials) CancelCall(serial, now, out);
  for (auto& [name, upstream] : upstreams_) Dispatch(upstream.get(), now, out);
}

void egress::OnUpstreamAnswered(const upstream_answered& answer, instant now,
                                actions* out) {
  std::uint64_t serial = 0;
  call_record* call = FindCall(answer.vm, answer.attempt, &serial);
  if (call == nullptr || call->state == call_state::kWaiting) return;
  upstream_state* upstream = call->upstream;
  const bool is_abandoned = call->state == call_state::kAbandoned;
  // A shed answer states that the call did not run, so a repeated call with the
  // same key is not a duplicate.
  FinishKey(call,
            answer.shed ? dedup_cache::key_outcome::kNotRun
                        : dedup_cache::key_outcome::kAnswered,
            now);
  if (answer.shed) {
    ++upstream->shed;
  } else {
    guard_.OnAnswered(call->info.fingerprint);
  }
  if (upstream->last_loss &&
      call->ticket.serial > upstream->last_loss->started) {
    upstream->last_loss.reset();
  }
  EndRunning(serial,
             answer.shed ? slot_limiter::call_result::kShed
                         : slot_limiter::call_result::kAnswered,
             now);
  OnDrainAnswer(upstream, *call, answer.draining, now, out);
  if (!is_abandoned) {
    Answer(*call, outcome_kind::kAnswered,
           answer.shed ? reason::kShed : reason::kNone, answer.http_status, now,
           out);
  }
  RemoveCall(serial, now);
  Dispatch(upstream, now, out);
}

void egress::OnUpstreamFailed(const upstream_failed& failure, instant now,
                              actions* out) {
  std::uint64_t serial = 0;
  call_record* call = FindCall(failure.vm, failure.attempt, &serial);
  if (call == nullptr || call->state == call_state::kWaiting) return;
  upstream_state* upstream = call->upstream;
  const bool is_abandoned = call->state == call_state::kAbandoned;
  auto outcome = outcome_kind::kMayHaveRun;
  auto key_outcome = dedup_cache::key_outcome::kMayHaveRun;
  auto why = reason::kConnectionLost;
  auto result = slot_limiter::call_result::kLost;
  switch (failure.failure) {
    case upstream_failure::kNotSent:
      outcome = outcome_kind::kNotRun;
      key_outcome = dedup_cache::key_outcome::kNotRun;
      why = reason::kConnectFailed;
      result = slot_limiter::call_result::kRefused;
      if (!is_abandoned) OnConnectionRefused(upstream, now);
      break;
    case upstream_failure::kLost:
      if (!is_abandoned) OnConnectionLost(upstream, serial, now);
      break;
    case upstream_failure::kTimeout:
      why = reason::kDeadline;
      result = slot_limiter::call_result::kTimedOut;
      break;
  }
  FinishKey(call, key_outcome, now);
  EndRunning(serial, result, now);
  if (!is_abandoned) Answer(*call, outcome, why, 0, now, out);
  RemoveCall(serial, now);
  // Two refused connections in a row show that the upstream is down. Refuse the
  // waiting calls, so that their ingress daemons can retry them elsewhere.
  if (upstream->limiter.IsDown()) {
    DropWaiting(upstream, reason::kConnectFailed, now, out);
  }
  Dispatch(upstream, now, out);
}

// ---------------------------------------------------------------------------
// Crashes.

void egress::OnConnectionLost(upstream_state* upstream, std::uint64_t serial,
                              instant now) {
  ++upstream->lost;
  const std::uint64_t fingerprint = calls_.at(serial).info.fingerprint;
  const bool is_burst = upstream->last_loss &&
                        now - upstream->last_loss->lost_at <= kLossBurstWindow;
  if (!is_burst) {
    connection_loss first;
    first.alone =
        std::all_of(upstream->running.begin(), upstream->running.end(),
                    [&](std::uint64_t other) {
                      return calls_.at(other).info.fingerprint == fingerprint;
                    });
    first.started = upstream->started;
    first.lost_at = now;
    upstream->last_loss = first;
  }
  upstream->last_loss->fingerprints.push_back(fingerprint);
  if (is_burst) ReportCrash(&*upstream->last_loss, now);
}

void egress::OnConnectionRefused(upstream_state* upstream, instant now) {
  if (!upstream->last_loss) return;
  if (now - upstream->last_loss->lost_at <= kCrashWindow) {
    ReportCrash(&*upstream->last_loss, now);
  }
  upstream->last_loss.reset();
}

// Reports the fingerprints that were not reported yet. All fingerprints of one
// loss share one crash identifier.
void egress::ReportCrash(connection_loss* loss, instant now) {
  if (loss->crash == 0) {
    const std::uint64_t parts[] = {
        static_cast<std::uint64_t>(now.time_since_epoch().count()),
        ++crash_count_};
    const std::uint64_t salt = XXH64(vm_.data(), vm_.size(), crash_seed_);
    loss->crash = XXH64(parts, sizeof(parts), salt);
  }
  for (crash_report& report :
       guard_.OnCrash(loss->crash, loss->fingerprints, loss->alone, now)) {
    crash_reports_.push_back(report);
  }
  loss->fingerprints.clear();
}

void egress::OnCrashReport(const crash_report& report, instant now) {
  guard_.Merge(report, now);
}

void egress::OnAnsweredElsewhere(std::uint64_t fingerprint) {
  guard_.OnAnswered(fingerprint);
}

std::vector<crash_report> egress::TakeCrashReports() {
  return std::exchange(crash_reports_, {});
}

bool egress::IsQuarantined(std::uint64_t fingerprint, instant now) const {
  return guard_.IsQuarantined(fingerprint, now);
}

// ---------------------------------------------------------------------------
// Reports, drain, stop.

bool egress::IsDraining(const upstream_state& upstream, instant now) {
  return now < upstream.draining_until;
}

void egress::OnDrainAnswer(upstream_state* upstream, const call_record& call,
                           bool draining, instant now, actions* out) {
  if (draining) {
    upstream->drains_by_answer = true;
    upstream->draining_until = now + kDrainRetryDelay;
    DropWaiting(upstream, reason::kStopping, now, out);
    return;
  }
  // An answer to a call that was started after the drain time overrides
  // reports.
  if (upstream->draining_until == instant{}) return;
  if (call.ticket.started < upstream->draining_until) return;
  upstream->draining_until = instant{};
  upstream->drain_reports_ignored_until = now + kDrainReportsIgnoredFor;
}

void egress::OnUpstreamReport(const upstream_report& report, instant now,
                              actions* out) {
  upstream_state* upstream = FindUpstream(report.upstream);
  if (upstream == nullptr) return;
  upstream->limiter.OnReport(report.healthy, report.load, now);
  if (!report.draining) {
    const bool may_be_older =
        upstream->drains_by_answer &&
        now < upstream->draining_until - kDrainRetryDelay + kMaxReportLag;
    if (!may_be_older) upstream->draining_until = instant{};
    return;
  }
  if (now < upstream->drain_reports_ignored_until) return;
  // After the drain time, reports are ignored for as long again, so that calls
  // can show whether the upstream answers.
  const bool is_probe_time = upstream->draining_until != instant{} &&
                             now < upstream->draining_until + kDrainProbeDelay;
  if (is_probe_time) return;
  upstream->drains_by_answer = false;
  upstream->draining_until = now + kDrainProbeDelay;
  DropWaiting(upstream, reason::kStopping, now, out);
}

void egress::BeginStop() { is_stopping_ = true; }

bool egress::IsIdle() const { return calls_.size() == abandoned_; }

// ---------------------------------------------------------------------------
// Time.

void egress::OnTimer(std::uint64_t serial, instant now, actions* out) {
  call_record& call = calls_.at(serial);
  upstream_state* upstream = call.upstream;
  switch (call.state) {
    case call_state::kWaiting:
      for (const fair_queue::entry& entry : upstream->queue.Expire(now)) {
        Refuse(entry.id, reason::kDeadline, now, out);
      }
      break;
    case call_state::kRunning:
      call.timed_out = true;
      Answer(call, outcome_kind::kMayHaveRun, reason::kDeadline, 0, now, out);
      Abandon(serial, now, out);
      break;
    case call_state::kAbandoned:
      FinishKey(&call, dedup_cache::key_outcome::kMayHaveRun, now);
      EndRunning(serial, slot_limiter::call_result::kAbandoned, now);
      RemoveCall(serial, now);
      Dispatch(upstream, now, out);
      break;
  }
}

void egress::Tick(instant now, actions* out) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    OnTimer(timers_.begin()->second, now, out);
  }
  for (auto& [name, upstream] : upstreams_) Dispatch(upstream.get(), now, out);
}

instant egress::NextWake() const {
  instant wake = instant::max();
  if (!timers_.empty()) wake = timers_.begin()->first;
  for (const auto& [name, upstream] : upstreams_) {
    if (upstream->queue.Size() == 0) continue;
    // Times up to the last dispatch have been handled.
    const auto consider = [&wake, last_dispatch =
                                      upstream->last_dispatch](instant time) {
      if (time > last_dispatch) wake = std::min(wake, time);
    };
    consider(upstream->limiter.BackoffUntil());
    if (upstream->isolated) consider(upstream->isolated_since + kMaxIsolation);
    if (upstream->pending_since) {
      consider(*upstream->pending_since + kMaxIsolation);
    }
  }
  return wake;
}

// ---------------------------------------------------------------------------
// State.

// A limit of zero tells the routers that the upstream accepts no calls.
upstream_load egress::FindLoad(const upstream_state& upstream,
                               instant now) const {
  upstream_load load;
  load.in_flight = upstream.limiter.InFlight();
  load.queued = static_cast<int>(upstream.queue.Size());
  load.limit = is_stopping_ || IsDraining(upstream, now)
                   ? 0
                   : upstream.limiter.Limit(now);
  return load;
}

std::vector<egress::view> egress::View(instant now) const {
  std::vector<view> result;
  for (const auto& [name, upstream] : upstreams_) {
    view entry;
    entry.upstream = name;
    entry.load = FindLoad(*upstream, now);
    entry.started = upstream->started;
    entry.shed = upstream->shed;
    entry.lost = upstream->lost;
    if (IsDraining(*upstream, now)) {
      entry.state = "draining";
    } else if (upstream->limiter.IsDown()) {
      entry.state = "down";
    } else {
      entry.state = upstream->limiter.Limit(now) <= 1 ? "cold" : "warm";
    }
    result.push_back(std::move(entry));
  }
  return result;
}

}  // namespace pimentohall::core
