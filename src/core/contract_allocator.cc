#include "core/contract_allocator.h"

#include <xxhash.h>

#include <algorithm>

namespace pimentohall::core {

namespace {

// One in so many permits of the own share is never lent, so that a few calls
// start without waiting and while lent permits are not back.
constexpr std::int64_t kUnlentPermitsDivisor = 4;

// Time between attempts to return permits that are not needed any more.
constexpr duration kReturnInterval = std::chrono::seconds(5);

// Time between a released call and the return of its permit, so that calls that
// end together share a message.
constexpr duration kPooledReturnDelay = std::chrono::milliseconds(5);

// Requests without an answer are forgotten: their term is over.
constexpr duration kPendingMemory = std::chrono::seconds(5);

// How long doubled requests are recognised after the last request.
constexpr duration kRequestMemory = std::chrono::minutes(10);

std::int64_t UnlentPermits(std::int64_t permits) {
  return permits < 2
             ? 0
             : std::max<std::int64_t>(1, permits / kUnlentPermitsDivisor);
}

}  // namespace

contract_allocator::contract_allocator(fleet_directory directory,
                                       std::uint64_t incarnation, instant start)
    : directory_(std::move(directory)),
      shares_(directory_.self),
      id_prefix_(
          (XXH64(&incarnation, sizeof incarnation, 0) >> kRequestCounterBits)
          << kRequestCounterBits),
      last_id_(id_prefix_),
      last_run_(start),
      next_wake_(start + kTick) {}

contract_allocator::organisation_state* contract_allocator::Find(
    const std::string& organisation) {
  const auto found = states_.find(organisation);
  return found == states_.end() ? nullptr : found->second.get();
}

const contract_allocator::organisation_state* contract_allocator::Find(
    const std::string& organisation) const {
  const auto found = states_.find(organisation);
  return found == states_.end() ? nullptr : found->second.get();
}

void contract_allocator::SetOrganisations(
    const std::vector<config::organisation>& organisations, instant now) {
  NoteRunning(now);
  for (organisation_state* state : ordered_) {
    state->removed = true;
  }
  for (const config::organisation& organisation : organisations) {
    std::unique_ptr<organisation_state>& state = states_[organisation.name];
    if (state == nullptr) {
      state = std::make_unique<organisation_state>(now);
      state->name = organisation.name;
      ordered_.push_back(state.get());
    }
    state->limits = organisation.limits;
    state->removed = false;
  }
  std::sort(ordered_.begin(), ordered_.end(),
            [](const organisation_state* a, const organisation_state* b) {
              return a->name < b->name;
            });
  RefreshShares(now);
}

void contract_allocator::SetVms(const config::vm_list& vms, instant now) {
  NoteRunning(now);
  const bool was_listed = shares_.IsListed();
  shares_.SetVms(vms, now);
  shares_.Expire(now);
  if (shares_.IsListed() && !was_listed) {
    share_from_ = now + kStartWait;
    permits_from_ = now + kPermitStartWait;
    confirmed_by_.clear();
    start_check_ = true;
  }
  if (!shares_.IsListed()) {
    share_from_ = instant::max();
    permits_from_ = instant::max();
  }
  RefreshShares(now);
  next_wake_ = std::min(next_wake_, now + std::chrono::milliseconds(1));
}

void contract_allocator::NoteRunning(instant now) {
  const bool paused = now - last_run_ > kPause;
  last_run_ = std::max(last_run_, now);
  if (!paused || !shares_.IsListed()) {
    return;
  }
  // A VM may have been listed meanwhile and count on the smaller share.
  share_from_ = std::max(share_from_, now + kListLag);
  permits_from_ = std::max(permits_from_, now + kListLag);
  start_check_ = false;
  RefreshShares(now);
}

void contract_allocator::RefreshShares(instant now) {
  share_in_use_ = now >= share_from_;
  permits_in_use_ = now >= permits_from_;
  for (organisation_state* state : ordered_) {
    RefreshShare(state, now);
  }
}

void contract_allocator::RefreshShare(organisation_state* state, instant now) {
  own_share share;
  const auto divisor = static_cast<double>(shares_.Divisor());
  if (!state->removed && share_in_use_) {
    share.rate_per_s = state->limits.rate_per_s / divisor;
    share.cap = static_cast<double>(state->limits.burst) / divisor;
  }
  if (!state->removed && share_in_use_) {
    share.permits = shares_.Permits(state->name, state->limits.max_concurrent);
    share.unlent_permits = UnlentPermits(share.permits);
    // An earlier incarnation may have lent the rest.
    if (!permits_in_use_) share.permits = share.unlent_permits;
  }
  state->account.SetShare(share, now);
}

acquire_result contract_allocator::Acquire(const std::string& organisation,
                                           instant now, actions* out) {
  NoteRunning(now);
  organisation_state* state = Find(organisation);
  if (state == nullptr || state->removed) {
    return acquire_result::kRateExceeded;
  }
  state->account.Settle(now);
  state->last_call = now;
  if (!state->account.HasPermit()) {
    return WaitOrRefuse(state, acquire_result::kConcurrencyExceeded, now, out);
  }
  if (!state->account.HasToken()) {
    return WaitOrRefuse(state, acquire_result::kRateExceeded, now, out);
  }
  state->account.Take();
  state->demand.Count(now);
  state->peak_in_use = std::max(state->peak_in_use, state->account.InUse());
  return acquire_result::kAcquired;
}

void contract_allocator::Release(const std::string& organisation, bool refund,
                                 instant now) {
  NoteRunning(now);
  organisation_state* state = Find(organisation);
  if (state == nullptr) {
    return;
  }
  state->account.Settle(now);
  state->account.Release(refund);
  if (IsPooled(*state) && HasSurplus(*state, now)) {
    next_wake_ = std::min(next_wake_, now + kPooledReturnDelay);
  }
}

duration contract_allocator::RetryAfter(const std::string& organisation,
                                        instant now) const {
  constexpr duration kLeast = std::chrono::milliseconds(10);
  constexpr duration kGreatest = std::chrono::seconds(5);
  const organisation_state* state = Find(organisation);
  if (state == nullptr) {
    return kGreatest;
  }
  contract_account account = state->account;
  account.Settle(now);
  const token_bucket& bucket = account.Bucket();
  if (bucket.Rate() <= 0 || bucket.Cap() < 1) {
    return std::chrono::seconds(1);
  }
  const std::chrono::duration<double> wait(std::max(0.0, 1 - bucket.Level()) /
                                           bucket.Rate());
  if (wait >= kGreatest) {
    return kGreatest;
  }
  return std::max(kLeast, std::chrono::duration_cast<duration>(wait));
}

void contract_allocator::OnMessage(const std::string& vm, const message& body,
                                   instant now, actions* out) {
  NoteRunning(now);
  if (const auto* request = std::get_if<grant_request>(&body)) {
    OnRequest(vm, *request, now, out);
  } else if (const auto* reply = std::get_if<grant_reply>(&body)) {
    OnReply(vm, *reply, now);
    AnswerDeferred(now, out);
  }
}

void contract_allocator::Tick(instant now, actions* out) {
  NoteRunning(now);
  if (shares_.Expire(now) || share_in_use_ != (now >= share_from_) ||
      permits_in_use_ != (now >= permits_from_)) {
    RefreshShares(now);
  }
  DropOld(now);
  SendStartChecks(now, out);
  batch to_homes;
  batch to_sharers;
  for (organisation_state* state : ordered_) {
    TickOrganisation(state, now, &to_homes, &to_sharers);
  }
  Send(grant_mode::kTokens, to_homes, now, out);
  Send(grant_mode::kShare, to_sharers, now, out);
  AnswerDeferred(now, out);
  next_wake_ = now + kTick;
  for (const deferred_reply& reply : deferred_) {
    next_wake_ = std::min(next_wake_, reply.deadline);
  }
}

void contract_allocator::TickOrganisation(organisation_state* state,
                                          instant now, batch* to_homes,
                                          batch* to_sharers) {
  contract_account& account = state->account;
  account.Settle(now);
  if (now - state->peak_since >= std::chrono::seconds(1)) {
    state->previous_peak = state->peak_in_use;
    state->peak_in_use = account.InUse();
    state->peak_since = now;
  }
  const std::string home = directory_.home_of(state->name, now);
  if (home == directory_.self) {
    const bool active = IsPoolActive(state, now);
    const duration interval = active ? kShareRenewal : kReturnInterval;
    const bool holds =
        account.Taken().rate_per_s > 0 || account.Taken().held_permits > 0;
    if ((active || holds) && state->gathered_at <= now - interval) {
      AddGatherItems(state, active ? gather::kRenewal : gather::kEnd, now,
                     to_sharers);
    }
    return;
  }
  if (home.empty()) {
    return;
  }
  if (IsPooled(*state)) {
    const bool waits = state->waiting_tokens + state->waiting_permits > 0;
    if (!waits && HasSurplus(*state, now) && !IsAwaiting(*state, home, now)) {
      AddTokenItem(state, home, false, now, to_homes);
    }
    return;
  }
  const bool idle = IsIdle(state, now);
  const bool wants = !idle && (WantedRate(state, false, now) > 0 ||
                               WantedPermits(state, false, now) > 0);
  const bool has_rate = account.Taken().rate_per_s > 0;
  const bool returns = idle && (has_rate || account.Taken().held_permits > 0);
  const duration interval = wants      ? kTokenRenewal
                            : has_rate ? duration(0)
                                       : kReturnInterval;
  if ((wants || returns) && state->asked_home_at <= now - interval) {
    AddTokenItem(state, home, false, now, to_homes);
  }
}

void contract_allocator::DropOld(instant now) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    entry = entry->second.sent + kPendingMemory <= now ? pending_.erase(entry)
                                                       : std::next(entry);
  }
  for (organisation_state* state : ordered_) {
    for (auto mark = state->last_request.begin();
         mark != state->last_request.end();) {
      mark = mark->second.at + kRequestMemory <= now
                 ? state->last_request.erase(mark)
                 : std::next(mark);
    }
  }
  const auto is_over = [now](organisation_state* state) {
    state->account.Settle(now);
    return state->removed && state->account.IsIdle();
  };
  for (organisation_state* state : ordered_) {
    if (is_over(state)) {
      const std::string name = state->name;
      ordered_.erase(std::find(ordered_.begin(), ordered_.end(), state));
      states_.erase(name);
      break;  // One a tick is enough.
    }
  }
}

std::vector<contract_allocator::view> contract_allocator::View(
    instant now) const {
  std::vector<view> lines;
  for (const organisation_state* state : ordered_) {
    contract_account account = state->account;
    account.Settle(now);
    lines.push_back({state->name, account.Bucket().Rate(),
                     account.Bucket().Cap(), account.Bucket().Level(),
                     account.UsablePermits(), account.InUse(),
                     directory_.home_of(state->name, now)});
  }
  return lines;
}

}  // namespace pimentohall::core
