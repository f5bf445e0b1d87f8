#include "core/contract_allocator.h"

#include <xxhash.h>

#include <algorithm>

namespace pimentohall::core {

namespace {

// Divisor that gives the part of the own permits that is never lent. With it a
// few calls can start without waiting, also while lent permits are not back.
constexpr std::int64_t kUnlentPermitsDivisor = 4;

// Time between attempts to return permits that are no longer needed.
constexpr duration kReturnInterval = std::chrono::seconds(5);

// Delay between the release of a call and the return of its permit to the home,
// so that calls that end together share a message.
constexpr duration kPooledReturnDelay = std::chrono::milliseconds(5);

// Time after which an unanswered request is dropped: its term has ended.
constexpr duration kPendingRetention = std::chrono::seconds(5);

// Time after a borrower's newest request for which its identifier is kept, to
// detect duplicates.
constexpr duration kRequestIdRetention = std::chrono::minutes(10);

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
      next_wake_(start + kTickInterval) {}

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
  DetectPause(now);
  for (organisation_state* state : sorted_states_) {
    state->removed = true;
  }
  for (const config::organisation& organisation : organisations) {
    std::unique_ptr<organisation_state>& state = states_[organisation.name];
    if (state == nullptr) {
      state = std::make_unique<organisation_state>(now);
      state->name = organisation.name;
      sorted_states_.push_back(state.get());
    }
    state->limits = organisation.limits;
    state->removed = false;
  }
  std::sort(sorted_states_.begin(), sorted_states_.end(),
            [](const organisation_state* a, const organisation_state* b) {
              return a->name < b->name;
            });
  RefreshShares(now);
}

void contract_allocator::SetVms(const config::vm_list& vms, instant now) {
  DetectPause(now);
  const bool was_listed = shares_.IsListed();
  shares_.SetVms(vms, now);
  shares_.Expire(now);
  if (shares_.IsListed() && !was_listed) {
    share_usable_from_ = now + kStartDelay;
    permits_usable_from_ = now + kPermitStartDelay;
    confirmed_by_.clear();
    start_check_enabled_ = true;
  }
  if (!shares_.IsListed()) {
    share_usable_from_ = instant::max();
    permits_usable_from_ = instant::max();
  }
  RefreshShares(now);
  next_wake_ = std::min(next_wake_, now + std::chrono::milliseconds(1));
}

void contract_allocator::DetectPause(instant now) {
  const bool paused = now - last_run_ > kPauseThreshold;
  last_run_ = std::max(last_run_, now);
  if (!paused || !shares_.IsListed()) {
    return;
  }
  // Another VM may have been listed in the meantime and rely on this VM using
  // the smaller share.
  share_usable_from_ = std::max(share_usable_from_, now + kMaxListDelay);
  permits_usable_from_ = std::max(permits_usable_from_, now + kMaxListDelay);
  start_check_enabled_ = false;
  RefreshShares(now);
}

void contract_allocator::RefreshShares(instant now) {
  share_usable_ = now >= share_usable_from_;
  permits_usable_ = now >= permits_usable_from_;
  for (organisation_state* state : sorted_states_) {
    RefreshShare(state, now);
  }
}

void contract_allocator::RefreshShare(organisation_state* state, instant now) {
  own_share share;
  const auto divisor = static_cast<double>(shares_.Divisor());
  if (!state->removed && share_usable_) {
    share.rate_per_s = state->limits.rate_per_s / divisor;
    share.cap = static_cast<double>(state->limits.burst) / divisor;
  }
  if (!state->removed && share_usable_) {
    share.permits = shares_.Permits(state->name, state->limits.max_concurrent);
    share.unlent_permits = UnlentPermits(share.permits);
    // An earlier incarnation may have lent all but the unlent permits.
    if (!permits_usable_) share.permits = share.unlent_permits;
  }
  state->account.SetShare(share, now);
}

acquire_result contract_allocator::Acquire(const std::string& organisation,
                                           instant now, actions* out) {
  DetectPause(now);
  organisation_state* state = Find(organisation);
  if (state == nullptr || state->removed) {
    return acquire_result::kRateExceeded;
  }
  state->account.AdvanceTo(now);
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
  DetectPause(now);
  organisation_state* state = Find(organisation);
  if (state == nullptr) {
    return;
  }
  state->account.AdvanceTo(now);
  state->account.Release(refund);
  if (IsPooled(*state) && HasSurplus(*state, now)) {
    next_wake_ = std::min(next_wake_, now + kPooledReturnDelay);
  }
}

duration contract_allocator::RetryAfter(const std::string& organisation,
                                        instant now) const {
  constexpr duration kMinDelay = std::chrono::milliseconds(10);
  constexpr duration kMaxDelay = std::chrono::seconds(5);
  const organisation_state* state = Find(organisation);
  if (state == nullptr) {
    return kMaxDelay;
  }
  contract_account account = state->account;
  account.AdvanceTo(now);
  const token_bucket& bucket = account.Bucket();
  if (bucket.Rate() <= 0 || bucket.Cap() < 1) {
    return std::chrono::seconds(1);
  }
  const std::chrono::duration<double> wait(std::max(0.0, 1 - bucket.Level()) /
                                           bucket.Rate());
  if (wait >= kMaxDelay) {
    return kMaxDelay;
  }
  return std::max(kMinDelay, std::chrono::duration_cast<duration>(wait));
}

void contract_allocator::OnMessage(const std::string& vm, const message& body,
                                   instant now, actions* out) {
  DetectPause(now);
  if (const auto* request = std::get_if<grant_request>(&body)) {
    OnRequest(vm, *request, now, out);
  } else if (const auto* reply = std::get_if<grant_reply>(&body)) {
    OnReply(vm, *reply, now);
    AnswerDeferred(now, out);
  }
}

void contract_allocator::Tick(instant now, actions* out) {
  DetectPause(now);
  if (shares_.Expire(now) || share_usable_ != (now >= share_usable_from_) ||
      permits_usable_ != (now >= permits_usable_from_)) {
    RefreshShares(now);
  }
  DropExpired(now);
  SendStartChecks(now, out);
  batch to_homes;
  batch to_lenders;
  for (organisation_state* state : sorted_states_) {
    TickOrganisation(state, now, &to_homes, &to_lenders);
  }
  Send(grant_mode::kTokens, to_homes, now, out);
  Send(grant_mode::kShare, to_lenders, now, out);
  AnswerDeferred(now, out);
  next_wake_ = now + kTickInterval;
  for (const deferred_reply& reply : deferred_) {
    next_wake_ = std::min(next_wake_, reply.deadline);
  }
}

void contract_allocator::TickOrganisation(organisation_state* state,
                                          instant now, batch* to_homes,
                                          batch* to_lenders) {
  contract_account& account = state->account;
  account.AdvanceTo(now);
  if (now - state->peak_window_start >= std::chrono::seconds(1)) {
    state->previous_peak = state->peak_in_use;
    state->peak_in_use = account.InUse();
    state->peak_window_start = now;
  }
  const std::string home = directory_.home_of(state->name, now);
  if (home == directory_.self) {
    const bool active = IsPoolActive(state, now);
    const duration interval = active ? kShareRenewalInterval : kReturnInterval;
    const bool holds_loans = account.Borrowed().rate_per_s > 0 ||
                             account.Borrowed().held_permits > 0;
    if ((active || holds_loans) && state->last_gather_at <= now - interval) {
      AddGatherItems(state,
                     active ? gather_reason::kRenewal : gather_reason::kEnd,
                     now, to_lenders);
    }
    return;
  }
  if (home.empty()) {
    return;
  }
  if (IsPooled(*state)) {
    const bool has_waiting_calls =
        state->waiting_tokens + state->waiting_permits > 0;
    if (!has_waiting_calls && HasSurplus(*state, now) &&
        !IsAwaiting(*state, home, now)) {
      AddTokenItem(state, home, false, now, to_homes);
    }
    return;
  }
  const bool idle = IsIdle(state, now);
  const bool needs_loan = !idle && (RateToRequest(state, false, now) > 0 ||
                                    PermitsToRequest(state, false, now) > 0);
  const bool has_rate = account.Borrowed().rate_per_s > 0;
  const bool returns_loans =
      idle && (has_rate || account.Borrowed().held_permits > 0);
  const duration interval = needs_loan ? kTokenRenewalInterval
                            : has_rate ? duration(0)
                                       : kReturnInterval;
  if ((needs_loan || returns_loans) &&
      state->last_home_request_at <= now - interval) {
    AddTokenItem(state, home, false, now, to_homes);
  }
}

void contract_allocator::DropExpired(instant now) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    entry = entry->second.sent + kPendingRetention <= now
                ? pending_.erase(entry)
                : std::next(entry);
  }
  for (organisation_state* state : sorted_states_) {
    for (auto received = state->last_received.begin();
         received != state->last_received.end();) {
      received = received->second.received_at + kRequestIdRetention <= now
                     ? state->last_received.erase(received)
                     : std::next(received);
    }
  }
  const auto is_unused = [now](organisation_state* state) {
    state->account.AdvanceTo(now);
    return state->removed && state->account.IsIdle();
  };
  for (organisation_state* state : sorted_states_) {
    if (is_unused(state)) {
      const std::string name = state->name;
      sorted_states_.erase(
          std::find(sorted_states_.begin(), sorted_states_.end(), state));
      states_.erase(name);
      break;  // At most one per tick, since the vector has changed.
    }
  }
}

std::vector<contract_allocator::view> contract_allocator::View(
    instant now) const {
  std::vector<view> views;
  for (const organisation_state* state : sorted_states_) {
    contract_account account = state->account;
    account.AdvanceTo(now);
    views.push_back({state->name, account.Bucket().Rate(),
                     account.Bucket().Cap(), account.Bucket().Level(),
                     account.UsablePermits(), account.InUse(),
                     directory_.home_of(state->name, now)});
  }
  return views;
}

}  // namespace pimentohall::core
