// The borrower's side of contract_allocator: requests for loans, and handling
// of the replies.

#include <algorithm>
#include <cmath>

#include "core/contract_allocator.h"

namespace pimentohall::core {

namespace {

// Factors of headroom over the measured demand, for calls that come in bursts.
constexpr double kUrgentHeadroom = 1.5;
constexpr double kPrefetchHeadroom = 1.15;
// Maximum number of permits requested ahead of need, as a multiple of an even
// share per VM.
constexpr std::int64_t kMaxUrgentShares = 4;
// A bucket whose level is below this fraction of its cap is low. The newest
// demand counts then, instead of the average.
constexpr double kLowLevelFraction = 0.25;

// Time without a call after which a VM returns its loans, as a multiple of the
// usual gap between calls.
constexpr double kIdleGaps = 4;
constexpr duration kMinIdleTime = std::chrono::milliseconds(50);
constexpr duration kMaxIdleTime = std::chrono::milliseconds(100);

// Time after an answer without tokens or permits in which calls are refused
// without a new request.
constexpr duration kDeniedBackoff = std::chrono::milliseconds(50);
// The same after a request that was not answered in time.
constexpr duration kUnansweredBackoff = std::chrono::milliseconds(200);
// Minimum time between rounds of share requests that calls wait for.
constexpr duration kGatherInterval = std::chrono::milliseconds(200);

// A contract whose burst per VM is smaller than this is pooled at its home.
// Larger shares cover the usual time between answers, so that not every call
// has to wait.
constexpr double kMinUnpooledCap = 4;

double TermSeconds() {
  return std::chrono::duration<double>(contract_allocator::kTokenTerm).count();
}

// End of a loan's term for the borrower: counted from its request, less 5% for
// clock drift. The lender counts the whole term from its reply, which is later.
instant UsableUntil(instant sent, duration term) {
  return sent + term - term / 20;
}

bool IsValid(const grant& loan) {
  return loan.rate_per_s >= 0 && loan.burst >= 0 && loan.tokens >= 0 &&
         loan.tokens <= loan.burst && loan.permits >= 0 &&
         std::isfinite(loan.rate_per_s) && std::isfinite(loan.burst);
}

}  // namespace

acquire_result contract_allocator::WaitOrRefuse(organisation_state* state,
                                                acquire_result refusal,
                                                instant now, actions* out) {
  const std::string home = directory_.home_of(state->name, now);
  std::int64_t* waiting = refusal == acquire_result::kRateExceeded
                              ? &state->waiting_tokens
                              : &state->waiting_permits;
  ++*waiting;
  const bool asked = home == directory_.self
                         ? GatherShares(state, now, out)
                         : RequestFromHome(state, home, now, out);
  if (asked) {
    return acquire_result::kWait;
  }
  --*waiting;
  state->demand.Count(now);
  return refusal;
}

bool contract_allocator::RequestFromHome(organisation_state* state,
                                         const std::string& home, instant now,
                                         actions* out) {
  if (home.empty() || now < state->backoff_until) {
    return false;
  }
  const auto latest = state->last_sent.find({home, grant_mode::kTokens});
  // Calls can't wait for the answer to a request that only returned loans.
  const bool only_returned = IsPooled(*state) && state->requested_calls == 0;
  if (latest != state->last_sent.end() && !only_returned) {
    const auto pending = pending_.find(latest->second);
    if (pending != pending_.end() && !pending->second.timed_out) {
      if (now - pending->second.sent < kAcquireTimeout) {
        return true;
      }
      pending->second.timed_out = true;
      state->backoff_until = now + kUnansweredBackoff;
      return false;
    }
  }
  batch items;
  AddTokenItem(state, home, true, now, &items);
  Send(grant_mode::kTokens, items, now, out);
  return true;
}

bool contract_allocator::IsPooled(const organisation_state& state) const {
  return static_cast<double>(state.limits.burst) <
         kMinUnpooledCap * static_cast<double>(shares_.Divisor());
}

bool contract_allocator::IsAwaiting(const organisation_state& state,
                                    const std::string& vm, instant now) const {
  const auto latest = state.last_sent.find({vm, grant_mode::kTokens, 0});
  if (latest == state.last_sent.end()) {
    return false;
  }
  const auto pending = pending_.find(latest->second);
  return pending != pending_.end() &&
         now - pending->second.sent < kAcquireTimeout;
}

bool contract_allocator::HasSurplus(const organisation_state& state,
                                    instant now) {
  const contract_account& account = state.account;
  const loan_amount& borrowed = account.Borrowed();
  const std::int64_t needed = std::max<std::int64_t>(
      0, account.InUse() - account.UnlentShare(now).permits);
  // A cap whose tokens are spent counts too: while it is lent, the cap of the
  // home's pool is smaller, and a nearly full pool would overflow.
  return borrowed.cap > 0 || borrowed.held_permits > needed;
}

bool contract_allocator::GatherShares(organisation_state* state, instant now,
                                      actions* out) {
  if (IsGathering(*state, now)) {
    return true;
  }
  if (state->last_gather_at > now - kGatherInterval) {
    return false;
  }
  batch items;
  AddGatherItems(state, gather_reason::kUrgent, now, &items);
  Send(grant_mode::kShare, items, now, out);
  return state->open_gathers > 0;
}

bool contract_allocator::IsGathering(const organisation_state& state,
                                     instant now) const {
  return state.open_gathers > 0 && state.last_gather_at > now - kAcquireTimeout;
}

double contract_allocator::RateToRequest(organisation_state* state, bool urgent,
                                         instant now) {
  const token_bucket& bucket = state->account.Bucket();
  const bool low = urgent || bucket.Level() < kLowLevelFraction * bucket.Cap();
  const double target =
      (low ? kUrgentHeadroom * state->demand.PerSecond(now)
           : kPrefetchHeadroom * state->demand.Average(now)) +
      static_cast<double>(state->waiting_tokens) / TermSeconds();
  const double shortfall = target - state->account.UnlentShare(now).rate_per_s;
  return urgent ? std::max(shortfall, 1 / TermSeconds())
                : std::max(shortfall, 0.0);
}

std::int64_t contract_allocator::PermitsToRequest(organisation_state* state,
                                                  bool urgent, instant now) {
  if (IsPooled(*state)) {
    const std::int64_t needed =
        state->account.InUse() + state->waiting_tokens + state->waiting_permits;
    return std::max<std::int64_t>(
        0, std::min(needed, state->limits.max_concurrent) -
               state->account.UnlentShare(now).permits);
  }
  const std::int64_t peak = std::max(
      {state->peak_in_use, state->previous_peak, state->account.InUse()});
  std::int64_t target = peak + peak / 4 + state->waiting_permits;
  if (urgent) {
    // In the worst case all expected calls run at once. The limit keeps a few
    // calls from taking most permits of a small contract from the other VMs.
    const auto expected = static_cast<std::int64_t>(
        kUrgentHeadroom * state->demand.PerSecond(now));
    const auto vms = static_cast<std::int64_t>(shares_.Divisor());
    const std::int64_t max_expected = kMaxUrgentShares *
                                      state->limits.max_concurrent /
                                      std::max<std::int64_t>(1, vms);
    target = std::max(
        target, state->account.InUse() + std::min(expected, max_expected));
  }
  return std::max<std::int64_t>(0,
                                std::min(target, state->limits.max_concurrent) -
                                    state->account.UnlentShare(now).permits);
}

std::int64_t contract_allocator::PoolPermitTarget(organisation_state* state,
                                                  bool urgent, instant now) {
  if (IsPooled(*state)) {
    return state->limits.max_concurrent;
  }
  std::int64_t target = PermitsToRequest(state, urgent, now);
  for (const auto& [vm, demand] : state->demands) {
    target += demand.received_at > now - kTokenTerm ? demand.permits : 0;
  }
  return std::min(target, state->limits.max_concurrent);
}

void contract_allocator::AddItem(organisation_state* state,
                                 const loan_party& lender,
                                 double requested_tokens,
                                 std::int64_t requested_permits, instant now,
                                 std::vector<grant_item>* items) {
  const bool ends_rate = requested_tokens <= 0;
  const loan_use use =
      state->account.DeclareUse(lender, ends_rate, requested_permits, now);
  items->push_back(
      {state->name, ends_rate ? 0 : requested_tokens, use.permits});
  if (use.returned_tokens > 0) {
    items->push_back({state->name, use.returned_tokens, 0});
  }
}

void contract_allocator::AddTokenItem(organisation_state* state,
                                      const std::string& home, bool urgent,
                                      instant now, batch* items) {
  state->last_home_request_at = now;
  if (IsPooled(*state)) {
    // Ends the use of earlier loans, so that the cap that covered spent tokens
    // returns to the home and covers the next ones.
    const loan_use use =
        state->account.DeclareUse({home, grant_mode::kTokens, 0}, true,
                                  PermitsToRequest(state, urgent, now), now);
    const std::int64_t calls = state->waiting_tokens + state->waiting_permits;
    state->requested_calls = calls;
    std::vector<grant_item>& request_items = (*items)[home];
    request_items.push_back(
        {state->name, static_cast<double>(calls), use.permits});
    request_items.push_back({state->name, use.returned_tokens, 0});
    return;
  }
  const bool idle = IsIdle(state, now);
  AddItem(state, {home, grant_mode::kTokens, 0},
          idle ? 0 : RateToRequest(state, urgent, now) * TermSeconds(),
          idle ? 0 : PermitsToRequest(state, urgent, now), now,
          &(*items)[home]);
}

void contract_allocator::AddGatherItems(organisation_state* state,
                                        gather_reason reason, instant now,
                                        batch* items) {
  const bool is_end = reason == gather_reason::kEnd;
  const std::int64_t pooled =
      is_end ? 0
             : PoolPermitTarget(state, reason == gather_reason::kUrgent, now);
  // Twice an even share, since not every VM can lend.
  const auto vms = static_cast<std::int64_t>(shares_.Listed().size());
  const std::int64_t permits =
      std::min(pooled, 2 * pooled / std::max<std::int64_t>(1, vms - 1) + 1);
  state->last_gather_at = now;
  state->open_gathers = 0;
  const std::set<std::string>& listed = shares_.Listed();
  auto next = listed.upper_bound(state->last_gather_vm);
  for (std::size_t i = 0; i < listed.size(); ++i) {
    if (state->open_gathers == kMaxGatherVms) {
      return;
    }
    if (next == listed.end()) {
      next = listed.begin();
    }
    const std::string& vm = *next++;
    state->last_gather_vm = vm;
    if (vm == directory_.self || !directory_.is_usable(vm, now)) {
      continue;
    }
    AddItem(state, {vm, grant_mode::kShare, 0},
            is_end ? 0 : state->limits.rate_per_s, permits, now, &(*items)[vm]);
    ++state->open_gathers;
  }
}

// A VM is idle after a few times the usual gap between calls without a call.
bool contract_allocator::IsIdle(organisation_state* state, instant now) {
  const double calls_per_s = std::max(1.0, state->demand.RecentPeak(now));
  const duration idle_timeout = std::chrono::duration_cast<duration>(
      kIdleGaps / calls_per_s * std::chrono::seconds(1));
  return state->last_call <
         now - std::clamp(idle_timeout, kMinIdleTime, kMaxIdleTime);
}

void contract_allocator::Send(grant_mode mode, const batch& items, instant now,
                              actions* out) {
  for (const auto& [vm, request_items] : items) {
    grant_request request;
    request.id = ++last_id_;
    request.mode = mode;
    pending_request pending;
    pending.party = {vm, mode};
    pending.sent = now;
    for (const grant_item& item : request_items) {
      pending.organisations.insert(item.organisation);
      Find(item.organisation)->last_sent[pending.party] = request.id;
    }
    request.items = request_items;
    pending_.emplace(request.id, std::move(pending));
    out->push_back(send_message{vm, std::move(request)});
  }
}

void contract_allocator::OnReply(const std::string& vm,
                                 const grant_reply& reply, instant now) {
  const auto found = pending_.find(reply.id);
  if (found == pending_.end() || found->second.party.vm != vm) {
    return;
  }
  const pending_request request = std::move(found->second);
  pending_.erase(found);
  if (request.organisations.empty()) {
    confirmed_by_.insert(vm);
    EndStartCheck(now);
    return;
  }
  for (const grant& loan : reply.grants) {
    organisation_state* state = Find(loan.organisation);
    const instant until = UsableUntil(request.sent, loan.term);
    if (state == nullptr || !IsValid(loan) || now >= until ||
        state->last_sent[request.party] != reply.id) {
      continue;
    }
    state->account.AdvanceTo(now);
    state->account.Accept(request.party, loan, until, now);
  }
  for (const std::string& name : request.organisations) {
    organisation_state* state = Find(name);
    if (state != nullptr && state->last_sent[request.party] == reply.id) {
      FinishWait(state, request.party, now);
    }
  }
  ++generation_;
}

void contract_allocator::FinishWait(organisation_state* state,
                                    const loan_party& party, instant now) {
  state->account.AdvanceTo(now);
  if (party.mode == grant_mode::kShare) {
    state->open_gathers = std::max(0, state->open_gathers - 1);
    if (state->open_gathers > 0) {
      return;
    }
  } else if (!state->account.HasToken() || !state->account.HasPermit()) {
    if (IsPooled(*state) && state->requested_calls == 0) {
      return;  // The answer to a request that only returned loans.
    }
    state->backoff_until = now + kDeniedBackoff;
  }
  state->waiting_tokens = 0;
  state->waiting_permits = 0;
}

}  // namespace pimentohall::core
