#include "core/ingress.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

#include "core/http_status.h"

// Order of checks for a new call: daemon state, calls in flight, depth,
// admission (key, route, contract), crash quarantine, then tokens. Every check
// that can refuse a call without spending a token comes before the token.
//
// Timers: a call has an entry in `timers_` for the end of its wait for tokens,
// and one for its deadline plus the grace time while an attempt is in flight.
// Entries are not removed when a call ends; a fired entry whose call has ended
// or is not due yet is ignored.

namespace pimentohall::core {
namespace {

constexpr int kIncarnationBits = 24;
constexpr int kCounterBits = 64 - kIncarnationBits;

std::uint64_t HashInto(std::uint64_t seed, std::string_view text) {
  return XXH64(text.data(), text.size(), seed);
}

std::uint64_t Fingerprint(const call_arrived& arrived,
                          const std::string& organisation) {
  std::uint64_t hash = HashInto(arrived.body_hash, organisation);
  hash = HashInto(hash, arrived.method);
  return HashInto(hash, arrived.path);
}

duration DeadlineFor(const config::route& route,
                     const std::optional<std::int64_t>& requested_ms) {
  std::int64_t deadline_ms =
      std::min(route.timeout_ms, ingress::kMaxDeadlineMs);
  if (requested_ms) deadline_ms = std::min(deadline_ms, *requested_ms);
  return std::chrono::milliseconds(std::max<std::int64_t>(deadline_ms, 0));
}

}  // namespace

ingress::ingress(std::string vm, std::uint64_t incarnation, modules modules)
    : vm_(std::move(vm)),
      next_attempt_((incarnation << kCounterBits) + 1),
      modules_(std::move(modules)) {}

void ingress::OnCallArrived(const call_arrived& arrived, instant now,
                            actions* out) {
  ++counters_.calls;
  const std::shared_ptr<const config::config_set> set = modules_.store->Set();
  if (stopping_) return Refuse(arrived, "", reason::kStopping, now, out);
  if (set == nullptr) return Refuse(arrived, "", reason::kNotReady, now, out);
  if (calls_.size() >= kMaxCalls || arrived.depth > kMaxDepth) {
    return Refuse(arrived, "", reason::kOverloaded, now, out);
  }
  const admission_result admitted =
      CheckAdmission(*set, arrived.method, arrived.path, arrived.key_digest);
  const std::string organisation =
      admitted.organisation == nullptr ? "" : admitted.organisation->name;
  if (admitted.why != reason::kNone) {
    return Refuse(arrived, organisation, admitted.why, now, out);
  }

  call c;
  c.id = arrived.call;
  c.info.organisation = organisation;
  c.info.route = admitted.route->name;
  c.info.service = admitted.route->service;
  c.info.method = arrived.method;
  c.info.path = arrived.path;
  c.info.idempotency_key = arrived.idempotency_key;
  c.info.fingerprint = Fingerprint(arrived, organisation);
  c.info.traffic_class =
      arrived.traffic_class.value_or(admitted.route->traffic_class);
  if (admitted.route->traffic_class == config::route_class::kOvernight) {
    c.info.traffic_class = config::route_class::kOvernight;
  }
  c.info.idempotent = admitted.route->idempotent;
  c.info.retry = arrived.retry;
  c.info.depth = arrived.depth;
  c.info.config_version = set->Version();
  c.deadline = now + DeadlineFor(*admitted.route, arrived.deadline_ms);
  c.token_deadline =
      std::min(c.deadline, now + contract_allocator::kAcquireTimeout);
  if (modules_.is_quarantined(c.info.fingerprint, now)) {
    return Refuse(arrived, organisation, reason::kQuarantined, now, out);
  }
  call* stored = &calls_.insert_or_assign(c.id, std::move(c)).first->second;
  Admit(stored, now, out);
}

void ingress::RefuseNotReady(const call_arrived& arrived, instant now,
                             actions* out) {
  ++counters_.calls;
  Refuse(arrived, "", reason::kNotReady, now, out);
}

void ingress::Refuse(const call_arrived& arrived,
                     const std::string& organisation, reason why, instant now,
                     actions* out) {
  call c;
  c.id = arrived.call;
  c.info.organisation = organisation;
  Answer(&c, {outcome_kind::kNotRun, why, 0, 0}, now, out);
}

void ingress::Admit(call* c, instant now, actions* out) {
  if (c->info.organisation.empty()) return StartAttempt(c, now, out);
  switch (modules_.allocator->Acquire(c->info.organisation, now, out)) {
    case acquire_result::kAcquired:
      c->charged = true;
      return StartAttempt(c, now, out);
    case acquire_result::kWait:
      if (now < c->token_deadline) {
        waiting_.push_back(c->id);
        Schedule(c->token_deadline, c->id);
        return;
      }
      return Answer(c, {outcome_kind::kNotRun, reason::kRateExceeded, 0, 0},
                    now, out);
    case acquire_result::kRateExceeded:
      return Answer(c, {outcome_kind::kNotRun, reason::kRateExceeded, 0, 0},
                    now, out);
    case acquire_result::kConcurrencyExceeded:
      return Answer(c,
                    {outcome_kind::kNotRun, reason::kConcurrencyExceeded, 0, 0},
                    now, out);
  }
}

void ingress::StartAttempt(call* c, instant now, actions* out) {
  router::query query;
  query.service = c->info.service;
  query.exclude = c->tried;
  if (!c->info.idempotent && !c->info.idempotency_key.empty()) {
    query.affinity = c->info.organisation + "/" + c->info.idempotency_key;
  }
  const config::upstream* upstream = modules_.routes->Pick(query, now);
  if (upstream == nullptr || now >= c->deadline) {
    const reason why =
        upstream == nullptr ? reason::kNoUpstream : reason::kDeadline;
    const outcome_kind outcome =
        c->may_have_run ? outcome_kind::kMayHaveRun : outcome_kind::kNotRun;
    return Answer(c, {outcome, why, 0, 0}, now, out);
  }
  if (c->attempts == 0) modules_.retries->OnFirstAttempt(c->info.service, now);
  if (c->attempts > 0) ++counters_.retries;
  ++counters_.attempts;
  ++c->attempts;
  c->attempt = next_attempt_++;
  c->attempt_vm = upstream->vm;
  c->info.upstream = upstream->name;
  c->info.remaining = c->deadline - now;
  c->tried.push_back(upstream->name);
  attempts_.emplace(c->attempt, c->id);
  modules_.routes->OnStart(upstream->name);
  Schedule(c->deadline + kOutcomeGrace, c->id);
  forward_call forward{c->id, c->attempt, c->attempt_vm, c->info};
  forward.info.retry = c->info.retry || c->attempts > 1;
  out->push_back(std::move(forward));
}

void ingress::EndAttempt(call* c, const attempt_end& end, instant now,
                         actions* out) {
  const attempt_id attempt = c->attempt;
  attempts_.erase(attempt);
  c->attempt = 0;
  modules_.routes->OnOutcome(c->info.upstream, end.outcome, end.why,
                             end.http_status, end.load, now);
  if (end.outcome != outcome_kind::kNotRun) c->may_have_run = true;

  const retry_policy::attempt_result result{end.outcome, end.why,
                                            end.http_status};
  if (modules_.retries->Allow(c->info, c->attempts, result, c->deadline - now,
                              now)) {
    return StartAttempt(c, now, out);
  }
  outcome_kind outcome = end.outcome;
  if (outcome == outcome_kind::kNotRun && c->may_have_run) {
    outcome = outcome_kind::kMayHaveRun;
  }
  const attempt_id relayed_attempt =
      outcome == outcome_kind::kAnswered ? attempt : attempt_id{0};
  Answer(c, {outcome, end.why, end.http_status, relayed_attempt}, now, out);
}

void ingress::Answer(call* c, const caller_answer& answer, instant now,
                     actions* out) {
  answer_call action;
  action.call = c->id;
  action.attempt = answer.attempt;
  action.outcome = answer.outcome;
  action.why = answer.why;
  action.organisation = c->info.organisation;
  action.http_status = answer.outcome == outcome_kind::kAnswered
                           ? answer.http_status
                           : HttpStatusFor(answer.outcome, answer.why);
  if (action.http_status == 429) {
    const duration retry_after =
        modules_.allocator->RetryAfter(c->info.organisation, now);
    action.retry_after_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(retry_after)
            .count();
  }
  switch (answer.outcome) {
    case outcome_kind::kAnswered:
      ++counters_.answered;
      modules_.on_answered(c->info.fingerprint);
      break;
    case outcome_kind::kNotRun:
      ++counters_.refused_not_run;
      break;
    case outcome_kind::kMayHaveRun:
      ++counters_.failed_may_have_run;
      break;
  }
  if (c->charged) {
    modules_.allocator->Release(c->info.organisation, !c->may_have_run, now);
  }
  const call_id id = c->id;
  calls_.erase(id);
  out->push_back(std::move(action));
}

void ingress::OnCallCancelled(const call_cancelled& cancelled, instant now,
                              actions* out) {
  const auto found = calls_.find(cancelled.call);
  if (found == calls_.end()) return;
  call& c = found->second;
  if (c.attempt != 0) {
    out->push_back(cancel_forward{c.attempt_vm, c.attempt});
    attempts_.erase(c.attempt);
    c.may_have_run = true;
    modules_.routes->OnOutcome(c.info.upstream, outcome_kind::kMayHaveRun,
                               reason::kCancelled, 0, nullptr, now);
  }
  const outcome_kind outcome =
      c.may_have_run ? outcome_kind::kMayHaveRun : outcome_kind::kNotRun;
  Answer(&c, {outcome, reason::kCancelled, 0, 0}, now, out);
}

ingress::call* ingress::FindByAttempt(attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return nullptr;
  return &calls_.at(found->second);
}

void ingress::OnPeerAnswer(const peer_answer& answer, instant now,
                           actions* out) {
  call* c = FindByAttempt(answer.attempt);
  // A late answer, a duplicate or an answer from another daemon belongs to no
  // attempt in flight and is dropped.
  if (c == nullptr || c->attempt_vm != answer.vm) return;
  EndAttempt(c, {answer.outcome, answer.why, answer.http_status, &answer.load},
             now, out);
}

void ingress::OnForwardFailed(const forward_failed& failure, instant now,
                              actions* out) {
  call* c = FindByAttempt(failure.attempt);
  if (c == nullptr) return;
  EndAttempt(c, {outcome_kind::kNotRun, reason::kPeerLost, 0, nullptr}, now,
             out);
}

void ingress::OnCallLinkDown(const std::string& vm, instant now, actions* out) {
  std::vector<attempt_id> lost_attempts;
  for (const auto& [attempt, id] : attempts_) {
    if (calls_.at(id).attempt_vm == vm) lost_attempts.push_back(attempt);
  }
  // The order of the hash map differs between builds; sorting by attempt id
  // makes the order deterministic.
  std::sort(lost_attempts.begin(), lost_attempts.end());
  for (const attempt_id attempt : lost_attempts) {
    call* c = FindByAttempt(attempt);
    if (c == nullptr) continue;
    EndAttempt(c, {outcome_kind::kMayHaveRun, reason::kPeerLost, 0, nullptr},
               now, out);
  }
}

void ingress::AdmitWaiting(instant now, actions* out) {
  if (modules_.allocator->Generation() == seen_generation_) return;
  seen_generation_ = modules_.allocator->Generation();
  std::deque<call_id> waiting;
  waiting.swap(waiting_);
  for (const call_id id : waiting) {
    const auto found = calls_.find(id);
    const bool still_waiting = found != calls_.end() &&
                               found->second.attempts == 0 &&
                               !found->second.charged;
    if (still_waiting) Admit(&found->second, now, out);
  }
}

void ingress::OnTimeout(call* c, instant now, actions* out) {
  if (c->attempt == 0) {
    // The wait for tokens is over: admit or refuse the call now.
    return Admit(c, now, out);
  }
  out->push_back(cancel_forward{c->attempt_vm, c->attempt});
  attempts_.erase(c->attempt);
  c->may_have_run = true;
  modules_.routes->OnOutcome(c->info.upstream, outcome_kind::kMayHaveRun,
                             reason::kDeadline, 0, nullptr, now);
  Answer(c, {outcome_kind::kMayHaveRun, reason::kDeadline, 0, 0}, now, out);
}

void ingress::Tick(instant now, actions* out) {
  AdmitWaiting(now, out);
  // Entries of calls that ended while they waited are still in the queue.
  while (!waiting_.empty() && calls_.count(waiting_.front()) == 0) {
    waiting_.pop_front();
  }
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const call_id id = timers_.begin()->second;
    timers_.erase(timers_.begin());
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    call& c = found->second;
    const instant due =
        c.attempt == 0 ? c.token_deadline : c.deadline + kOutcomeGrace;
    if (due <= now) OnTimeout(&c, now, out);
  }
}

void ingress::Schedule(instant due, call_id id) { timers_.emplace(due, id); }

instant ingress::NextWake() const {
  return timers_.empty() ? instant::max() : timers_.begin()->first;
}

void ingress::BeginStop() { stopping_ = true; }

bool ingress::IsIdle() const { return calls_.empty(); }

std::size_t ingress::CallsInFlight() const { return calls_.size(); }

const counters& ingress::Counters() const { return counters_; }

}  // namespace pimentohall::core
