#include "core/egress.h"

#include <xxhash.h>

#include <algorithm>

namespace pimentohall::core {
namespace {

// A report that clears a drain answer sooner may be older than the answer.
constexpr duration kDrainReportLag = std::chrono::seconds(5);

bool IsSameProcess(const config::upstream& a, const config::upstream& b) {
  return a.address == b.address && a.port == b.port && a.service == b.service;
}

}  // namespace

egress::egress(std::string vm, std::uint64_t seed)
    : vm_(std::move(vm)), crash_seed_(seed), keys_(seed) {}

// ---------------------------------------------------------------------------
// Configuration.

void egress::SetConfig(std::shared_ptr<const config::config_set> set,
                       instant now, actions* out) {
  set_ = std::move(set);
  std::map<std::string, std::unique_ptr<guarded>> before;
  before.swap(upstreams_);
  for (const config::service& service : set_->Services()) {
    for (const config::upstream& upstream : service.upstreams) {
      if (upstream.vm != vm_) continue;
      auto found = before.find(upstream.name);
      if (found != before.end() &&
          IsSameProcess(found->second->upstream, upstream)) {
        upstreams_[upstream.name] = std::move(found->second);
        before.erase(found);
      }
      TakeOver(upstream, now, out);
    }
  }
  for (auto& [name, old] : before) RemoveUpstream(std::move(old), now, out);
  removed_.erase(std::remove_if(removed_.begin(), removed_.end(),
                                [](const auto& each) {
                                  return each == nullptr ||
                                         each->running.empty();
                                }),
                 removed_.end());
}

void egress::TakeOver(const config::upstream& upstream, instant now,
                      actions* out) {
  auto& at = upstreams_[upstream.name];
  if (at == nullptr) at = TakeRemoved(upstream);
  if (at == nullptr) at = std::make_unique<guarded>();
  at->upstream = upstream;
  at->limiter.SetMax(upstream.max_connections);
  std::map<std::string, double> weights;
  for (const config::organisation& each : set_->Organisations()) {
    weights[each.name] = each.limits.rate_per_s;
  }
  at->queue.SetWeights(std::move(weights));
  Dispatch(at.get(), now, out);
}

// An upstream that was removed and returns may still run calls; they count.
std::unique_ptr<egress::guarded> egress::TakeRemoved(
    const config::upstream& upstream) {
  for (auto& each : removed_) {
    if (each == nullptr || each->upstream.name != upstream.name) continue;
    if (IsSameProcess(each->upstream, upstream)) return std::move(each);
  }
  return nullptr;
}

void egress::RemoveUpstream(std::unique_ptr<guarded> at, instant now,
                            actions* out) {
  DropWaiting(at.get(), reason::kUnknownUpstream, now, out);
  removed_.push_back(std::move(at));
}

// ---------------------------------------------------------------------------
// Attempts.

egress::call* egress::FindCall(const std::string& vm, attempt_id attempt,
                               std::uint64_t* serial) {
  auto found = serials_.find({attempt, vm});
  if (found == serials_.end()) return nullptr;
  *serial = found->second;
  return &calls_.at(found->second);
}

egress::guarded* egress::FindUpstream(const std::string& name) const {
  auto found = upstreams_.find(name);
  return found == upstreams_.end() ? nullptr : found->second.get();
}

bool egress::IsKnownAttempt(const attempt_key& key) const {
  return serials_.count(key) != 0 || ended_.count(key) != 0;
}

void egress::RememberAttempt(const attempt_key& key, instant now) {
  ForgetAttempts(now);
  if (!ended_.insert(key).second) return;
  ended_order_.push_back({key, now});
}

void egress::ForgetAttempts(instant now) {
  while (!ended_order_.empty()) {
    const remembered_attempt& oldest = ended_order_.front();
    const bool is_full = ended_order_.size() >= kMaxAttemptsRemembered;
    if (!is_full && oldest.at + kAttemptMemory > now) return;
    ended_.erase(oldest.key);
    ended_order_.pop_front();
  }
}

void egress::SetTimer(std::uint64_t serial, instant at) {
  call& which = calls_.at(serial);
  timers_.erase({which.timer, serial});
  which.timer = at;
  timers_.insert({at, serial});
}

void egress::Forget(std::uint64_t serial, instant now) {
  const call& which = calls_.at(serial);
  const attempt_key key{which.attempt, which.vm};
  timers_.erase({which.timer, serial});
  if (which.state == call_state::kAbandoned) --abandoned_;
  serials_.erase(key);
  calls_.erase(serial);
  RememberAttempt(key, now);
}

void egress::Answer(const call& which, outcome_kind outcome, reason why,
                    int http_status, instant now, actions* out) const {
  answer_peer answer;
  answer.vm = which.vm;
  answer.attempt = which.attempt;
  answer.outcome = outcome;
  answer.why = why;
  answer.http_status = http_status;
  if (which.at != nullptr) answer.load = LoadOf(*which.at, now);
  out->push_back(std::move(answer));
}

// ---------------------------------------------------------------------------
// Arrival.

reason egress::RefusalOf(const call_info& info, const guarded* at,
                         instant now) const {
  if (is_stopping_) return reason::kStopping;
  if (at == nullptr) return reason::kUnknownUpstream;
  if (IsDraining(*at, now)) return reason::kStopping;
  const bool is_down = at->limiter.IsDown() && now < at->limiter.PausedUntil();
  if (is_down) return reason::kConnectFailed;
  if (calls_.size() >= kMaxCalls) return reason::kOverloaded;
  if (info.remaining <= duration{0}) return reason::kDeadline;
  if (guard_.IsQuarantined(info.fingerprint, now)) return reason::kQuarantined;
  return reason::kNone;
}

// Reserves the idempotency key of a call that needs it.
bool egress::TakeKey(call* which, reason* why, instant now) {
  const call_info& info = which->info;
  if (info.idempotent || info.idempotency_key.empty()) return true;
  switch (keys_.Begin(info.organisation, info.idempotency_key, now)) {
    case dedup_cache::begin_result::kFresh:
      which->holds_key = true;
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

void egress::FinishKey(call* which, dedup_cache::fate fate, instant now) {
  if (!which->holds_key) return;
  which->holds_key = false;
  keys_.Finish(which->info.organisation, which->info.idempotency_key, fate,
               now);
}

void egress::OnPeerCall(const peer_call& message, instant now, actions* out) {
  const attempt_key key{message.attempt, message.vm};
  if (IsKnownAttempt(key)) return;
  call fresh;
  fresh.vm = message.vm;
  fresh.attempt = message.attempt;
  fresh.info = message.info;
  fresh.at = FindUpstream(message.info.upstream);
  fresh.deadline = now + message.info.remaining;
  reason why = RefusalOf(message.info, fresh.at, now);
  if (why != reason::kNone || !TakeKey(&fresh, &why, now)) {
    Answer(fresh, outcome_kind::kNotRun, why, 0, now, out);
    RememberAttempt(key, now);
    return;
  }
  const std::uint64_t serial = next_serial_++;
  serials_[key] = serial;
  calls_.emplace(serial, std::move(fresh));
  Enqueue(serial, now, out);
}

void egress::Enqueue(std::uint64_t serial, instant now, actions* out) {
  const call& which = calls_.at(serial);
  guarded* at = which.at;
  fair_queue::entry entry;
  entry.id = serial;
  entry.organisation = which.info.organisation;
  entry.traffic_class = which.info.traffic_class;
  entry.deadline = which.deadline;
  SetTimer(serial, which.deadline);
  const bool has_room = at->limiter.HasRoom(now) && !IsAloneRunning(*at, now);
  const auto refused =
      at->queue.Push(entry, at->limiter.Limit(now), has_room, now);
  if (refused) Refuse(refused->id, refused->why, now, out);
  Dispatch(at, now, out);
}

// ---------------------------------------------------------------------------
// Start.

void egress::Dispatch(guarded* at, instant now, actions* out) {
  at->dispatched_at = now;
  while (at->queue.Size() > 0) {
    if (RefuseFront(at, now, out)) continue;
    if (!MayStartFront(at, now)) return;
    Start(at->queue.Pop().id, now, out);
  }
}

// Refuses the next call if it must not start any more.
bool egress::RefuseFront(guarded* at, instant now, actions* out) {
  const fair_queue::entry front = *at->queue.Front();
  const call& which = calls_.at(front.id);
  reason why = reason::kNone;
  if (front.deadline <= now) {
    why = reason::kDeadline;
  } else if (guard_.IsQuarantined(which.info.fingerprint, now)) {
    why = reason::kQuarantined;
  }
  if (why == reason::kNone) return false;
  at->queue.Remove(front.id);
  Refuse(front.id, why, now, out);
  return true;
}

bool egress::MayStartFront(guarded* at, instant now) {
  if (!at->limiter.HasRoom(now)) return false;
  if (IsAloneRunning(*at, now)) return false;
  const call& which = calls_.at(at->queue.Front()->id);
  if (at->running.empty() || !guard_.IsSuspect(which.info.fingerprint, now)) {
    at->alone_wanted_since.reset();
    return true;
  }
  if (!at->alone_wanted_since) at->alone_wanted_since = now;
  return now >= *at->alone_wanted_since + kAloneWait;
}

void egress::Start(std::uint64_t serial, instant now, actions* out) {
  call& which = calls_.at(serial);
  guarded* at = which.at;
  which.ticket = *at->limiter.TryStart(now);
  which.state = call_state::kRunning;
  if (at->running.empty() && guard_.IsSuspect(which.info.fingerprint, now)) {
    at->alone = serial;
    at->alone_since = now;
  }
  at->alone_wanted_since.reset();
  at->running.insert(serial);
  ++at->started;
  start_upstream_call start;
  start.vm = which.vm;
  start.attempt = which.attempt;
  start.upstream = at->upstream;
  start.info = which.info;
  start.info.remaining = which.deadline - now;
  out->push_back(std::move(start));
}

bool egress::IsAloneRunning(const guarded& at, instant now) {
  return at.alone && now < at.alone_since + kAloneWait;
}

// ---------------------------------------------------------------------------
// End.

void egress::Refuse(std::uint64_t serial, reason why, instant now,
                    actions* out) {
  call& which = calls_.at(serial);
  FinishKey(&which, dedup_cache::fate::kNotRun, now);
  Answer(which, outcome_kind::kNotRun, why, 0, now, out);
  Forget(serial, now);
}

void egress::DropWaiting(guarded* at, reason why, instant now, actions* out) {
  for (const fair_queue::entry& each : at->queue.Clear()) {
    Refuse(each.id, why, now, out);
  }
}

void egress::EndRunning(std::uint64_t serial, slot_limiter::call_result result,
                        instant now) {
  call& which = calls_.at(serial);
  guarded* at = which.at;
  at->running.erase(serial);
  if (at->alone == serial) at->alone.reset();
  if (which.state == call_state::kAbandoned) {
    result = which.timed_out ? slot_limiter::call_result::kTimedOut
                             : slot_limiter::call_result::kAbandoned;
  }
  at->limiter.OnResult(which.ticket, which.info.route, result, now);
  if (result == slot_limiter::call_result::kAnswered ||
      result == slot_limiter::call_result::kTimedOut) {
    at->queue.OnServed(which.info.organisation, now - which.ticket.started);
  }
}

void egress::Abandon(std::uint64_t serial, instant now, actions* out) {
  call& which = calls_.at(serial);
  which.state = call_state::kAbandoned;
  ++abandoned_;
  SetTimer(serial, now + kAbandonedSlot);
  cancel_upstream_call cancel;
  cancel.vm = which.vm;
  cancel.attempt = which.attempt;
  out->push_back(std::move(cancel));
}

// Ends a call that its ingress daemon no longer wants. The caller dispatches
// after the last one, so that none of them starts or is answered meanwhile.
void egress::GiveUp(std::uint64_t serial, instant now, actions* out) {
  call& which = calls_.at(serial);
  guarded* at = which.at;
  switch (which.state) {
    case call_state::kWaiting:
      at->queue.Remove(serial);
      FinishKey(&which, dedup_cache::fate::kNotRun, now);
      Forget(serial, now);
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
  const call* which = FindCall(cancel.vm, cancel.attempt, &serial);
  if (which != nullptr) {
    guarded* at = which->at;
    GiveUp(serial, now, out);
    Dispatch(at, now, out);
    return;
  }
  // A call that arrives after its cancellation must not start.
  RememberAttempt({cancel.attempt, cancel.vm}, now);
}

void egress::OnPeerGone(const std::string& vm, instant now, actions* out) {
  std::vector<std::uint64_t> gone;
  for (const auto& [serial, each] : calls_) {
    if (each.vm == vm) gone.push_back(serial);
  }
  for (std::uint64_t serial : gone) GiveUp(serial, now, out);
  for (auto& [name, at] : upstreams_) Dispatch(at.get(), now, out);
}

void egress::OnUpstreamAnswered(const upstream_answered& answer, instant now,
                                actions* out) {
  std::uint64_t serial = 0;
  call* which = FindCall(answer.vm, answer.attempt, &serial);
  if (which == nullptr || which->state == call_state::kWaiting) return;
  guarded* at = which->at;
  const bool is_abandoned = which->state == call_state::kAbandoned;
  // A shed answer is the upstream's own word that the call did not run, so a
  // repeated call with the key is not a duplicate.
  FinishKey(
      which,
      answer.shed ? dedup_cache::fate::kNotRun : dedup_cache::fate::kAnswered,
      now);
  if (answer.shed) {
    ++at->shed;
  } else {
    guard_.OnAnswered(which->info.fingerprint);
  }
  if (at->last_loss && which->ticket.serial > at->last_loss->started) {
    at->last_loss.reset();
  }
  EndRunning(serial,
             answer.shed ? slot_limiter::call_result::kShed
                         : slot_limiter::call_result::kAnswered,
             now);
  OnDrainAnswer(at, *which, answer.draining, now, out);
  if (!is_abandoned) {
    Answer(*which, outcome_kind::kAnswered,
           answer.shed ? reason::kShed : reason::kNone, answer.http_status, now,
           out);
  }
  Forget(serial, now);
  Dispatch(at, now, out);
}

void egress::OnUpstreamFailed(const upstream_failed& failure, instant now,
                              actions* out) {
  std::uint64_t serial = 0;
  call* which = FindCall(failure.vm, failure.attempt, &serial);
  if (which == nullptr || which->state == call_state::kWaiting) return;
  guarded* at = which->at;
  const bool is_abandoned = which->state == call_state::kAbandoned;
  auto outcome = outcome_kind::kMayHaveRun;
  auto fate = dedup_cache::fate::kMayHaveRun;
  auto why = reason::kConnectionLost;
  auto result = slot_limiter::call_result::kLost;
  switch (failure.failure) {
    case upstream_failure::kNotSent:
      outcome = outcome_kind::kNotRun;
      fate = dedup_cache::fate::kNotRun;
      why = reason::kConnectFailed;
      result = slot_limiter::call_result::kRefused;
      if (!is_abandoned) OnRefused(at, now);
      break;
    case upstream_failure::kLost:
      if (!is_abandoned) OnLost(at, serial, now);
      break;
    case upstream_failure::kTimeout:
      why = reason::kDeadline;
      result = slot_limiter::call_result::kTimedOut;
      break;
  }
  FinishKey(which, fate, now);
  EndRunning(serial, result, now);
  if (!is_abandoned) Answer(*which, outcome, why, 0, now, out);
  Forget(serial, now);
  // A second refusal in a row shows that the upstream is down: the waiting
  // calls have better chances elsewhere.
  if (at->limiter.IsDown()) {
    DropWaiting(at, reason::kConnectFailed, now, out);
  }
  Dispatch(at, now, out);
}

// ---------------------------------------------------------------------------
// Crashes.

void egress::OnLost(guarded* at, std::uint64_t serial, instant now) {
  ++at->lost;
  const std::uint64_t fingerprint = calls_.at(serial).info.fingerprint;
  const bool is_together =
      at->last_loss && now - at->last_loss->at <= kLostTogether;
  if (!is_together) {
    loss first;
    first.alone = std::all_of(
        at->running.begin(), at->running.end(), [&](std::uint64_t other) {
          return calls_.at(other).info.fingerprint == fingerprint;
        });
    first.started = at->started;
    first.at = now;
    at->last_loss = first;
  }
  at->last_loss->fingerprints.push_back(fingerprint);
  if (is_together) ReportCrash(&*at->last_loss, now);
}

void egress::OnRefused(guarded* at, instant now) {
  if (!at->last_loss) return;
  if (now - at->last_loss->at <= kCrashWindow) {
    ReportCrash(&*at->last_loss, now);
  }
  at->last_loss.reset();
}

// Records the fingerprints that were not reported yet, under one crash.
void egress::ReportCrash(loss* lost, instant now) {
  if (lost->crash == 0) {
    const std::uint64_t parts[] = {
        static_cast<std::uint64_t>(now.time_since_epoch().count()), ++crashes_};
    const std::uint64_t salt = XXH64(vm_.data(), vm_.size(), crash_seed_);
    lost->crash = XXH64(parts, sizeof(parts), salt);
  }
  for (crash_report& report :
       guard_.OnCrash(lost->crash, lost->fingerprints, lost->alone, now)) {
    reports_.push_back(report);
  }
  lost->fingerprints.clear();
}

void egress::OnCrashReport(const crash_report& report, instant now) {
  guard_.Merge(report, now);
}

void egress::OnAnsweredElsewhere(std::uint64_t fingerprint) {
  guard_.OnAnswered(fingerprint);
}

std::vector<crash_report> egress::TakeCrashReports() {
  return std::exchange(reports_, {});
}

bool egress::IsQuarantined(std::uint64_t fingerprint, instant now) const {
  return guard_.IsQuarantined(fingerprint, now);
}

// ---------------------------------------------------------------------------
// Reports, drain, stop.

bool egress::IsDraining(const guarded& at, instant now) {
  return now < at.draining_until;
}

void egress::OnDrainAnswer(guarded* at, const call& which, bool draining,
                           instant now, actions* out) {
  if (draining) {
    at->drains_by_answer = true;
    at->draining_until = now + kDrainMemory;
    DropWaiting(at, reason::kStopping, now, out);
    return;
  }
  // An answer to a call that was started after the drain time outranks reports.
  if (at->draining_until == instant{}) return;
  if (which.ticket.started < at->draining_until) return;
  at->draining_until = instant{};
  at->drain_reports_ignored_until = now + kDrainReportsIgnored;
}

void egress::OnUpstreamReport(const upstream_report& report, instant now,
                              actions* out) {
  guarded* at = FindUpstream(report.upstream);
  if (at == nullptr) return;
  at->limiter.OnReport(report.healthy, report.load, now);
  if (!report.draining) {
    const bool may_be_older =
        at->drains_by_answer &&
        now < at->draining_until - kDrainMemory + kDrainReportLag;
    if (!may_be_older) at->draining_until = instant{};
    return;
  }
  if (now < at->drain_reports_ignored_until) return;
  // After the drain time, calls get as long to prove the reports wrong.
  const bool is_probe_time =
      at->draining_until != instant{} && now < at->draining_until + kDrainProbe;
  if (is_probe_time) return;
  at->drains_by_answer = false;
  at->draining_until = now + kDrainProbe;
  DropWaiting(at, reason::kStopping, now, out);
}

void egress::BeginStop() { is_stopping_ = true; }

bool egress::IsIdle() const { return calls_.size() == abandoned_; }

// ---------------------------------------------------------------------------
// Time.

void egress::OnTimer(std::uint64_t serial, instant now, actions* out) {
  call& which = calls_.at(serial);
  guarded* at = which.at;
  switch (which.state) {
    case call_state::kWaiting:
      for (const fair_queue::entry& each : at->queue.Expire(now)) {
        Refuse(each.id, reason::kDeadline, now, out);
      }
      break;
    case call_state::kRunning:
      which.timed_out = true;
      Answer(which, outcome_kind::kMayHaveRun, reason::kDeadline, 0, now, out);
      Abandon(serial, now, out);
      break;
    case call_state::kAbandoned:
      FinishKey(&which, dedup_cache::fate::kMayHaveRun, now);
      EndRunning(serial, slot_limiter::call_result::kAbandoned, now);
      Forget(serial, now);
      Dispatch(at, now, out);
      break;
  }
}

void egress::Tick(instant now, actions* out) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    OnTimer(timers_.begin()->second, now, out);
  }
  for (auto& [name, at] : upstreams_) Dispatch(at.get(), now, out);
}

instant egress::NextWake() const {
  instant wake = instant::max();
  if (!timers_.empty()) wake = timers_.begin()->first;
  for (const auto& [name, at] : upstreams_) {
    if (at->queue.Size() == 0) continue;
    // Times up to the last dispatch were acted on.
    const auto consider = [&wake, seen = at->dispatched_at](instant time) {
      if (time > seen) wake = std::min(wake, time);
    };
    consider(at->limiter.PausedUntil());
    if (at->alone) consider(at->alone_since + kAloneWait);
    if (at->alone_wanted_since) {
      consider(*at->alone_wanted_since + kAloneWait);
    }
  }
  return wake;
}

// ---------------------------------------------------------------------------
// State.

// A limit of zero tells the routers that the upstream takes no calls.
upstream_load egress::LoadOf(const guarded& at, instant now) const {
  upstream_load load;
  load.in_flight = at.limiter.InFlight();
  load.queued = static_cast<int>(at.queue.Size());
  load.limit = is_stopping_ || IsDraining(at, now) ? 0 : at.limiter.Limit(now);
  return load;
}

std::vector<egress::view> egress::View(instant now) const {
  std::vector<view> result;
  for (const auto& [name, at] : upstreams_) {
    view line;
    line.upstream = name;
    line.load = LoadOf(*at, now);
    line.started = at->started;
    line.shed = at->shed;
    line.lost = at->lost;
    if (IsDraining(*at, now)) {
      line.state = "draining";
    } else if (at->limiter.IsDown()) {
      line.state = "down";
    } else {
      line.state = at->limiter.Limit(now) <= 1 ? "cold" : "warm";
    }
    result.push_back(std::move(line));
  }
  return result;
}

}  // namespace pimentohall::core
