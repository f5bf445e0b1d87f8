// The borrower's side of contract_allocator: what is asked of whom, and what is
// taken from replies.

#include <algorithm>
#include <cmath>

#include "core/contract_allocator.h"

namespace pimentohall::core {

namespace {

// Headroom over the measured demand, for calls that come in bursts.
constexpr double kUrgentHeadroom = 1.5;
constexpr double kPrefetchHeadroom = 1.15;
// Greatest number of permits asked for ahead of need, in even shares.
constexpr std::int64_t kUrgentShares = 4;
// A bucket is low below this part of its cap; the newest demand counts then.
constexpr double kLowPart = 0.25;

// Pause after which a VM returns its loans, in usual gaps between calls.
constexpr double kIdleGaps = 4;
constexpr duration kLeastIdle = std::chrono::milliseconds(50);
constexpr duration kGreatestIdle = std::chrono::milliseconds(100);

// After an answer that brought nothing, calls are refused without asking again.
constexpr duration kDeniedPause = std::chrono::milliseconds(50);
// The same after a request without an answer in time.
constexpr duration kUnansweredPause = std::chrono::milliseconds(200);
// Time between share requests that calls wait for.
constexpr duration kGatherInterval = std::chrono::milliseconds(200);

// Below this share of the burst per VM a contract is pooled at its home. Larger
// shares cover the usual gaps between answers without a wait for each call.
constexpr double kLeastUnpooledCap = 4;

double TermSeconds() {
  return std::chrono::duration<double>(contract_allocator::kTokenTerm).count();
}

// End of a term by the borrower's clock: counted from its request, less 5% for
// clock drift. The lender counts the whole term from its later reply.
instant UsableUntil(instant sent, duration term) {
  return sent + term - term / 20;
}

bool IsSound(const grant& loan) {
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
  const bool asked = home == directory_.self ? Gather(state, now, out)
                                             : AskHome(state, home, now, out);
  if (asked) {
    return acquire_result::kWait;
  }
  --*waiting;
  state->demand.Count(now);
  return refusal;
}

bool contract_allocator::AskHome(organisation_state* state,
                                 const std::string& home, instant now,
                                 actions* out) {
  if (home.empty() || now < state->denied_until) {
    return false;
  }
  const auto latest = state->latest_request.find({home, grant_mode::kTokens});
  // A request that only returns loans brings nothing to wait for.
  const bool only_returned = IsPooled(*state) && state->asked_calls == 0;
  if (latest != state->latest_request.end() && !only_returned) {
    const auto open = pending_.find(latest->second);
    if (open != pending_.end() && !open->second.gave_up) {
      if (now - open->second.sent < kAcquireWait) {
        return true;
      }
      open->second.gave_up = true;
      state->denied_until = now + kUnansweredPause;
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
         kLeastUnpooledCap * static_cast<double>(shares_.Divisor());
}

bool contract_allocator::IsAwaiting(const organisation_state& state,
                                    const std::string& vm, instant now) const {
  const auto latest = state.latest_request.find({vm, grant_mode::kTokens, 0});
  if (latest == state.latest_request.end()) {
    return false;
  }
  const auto open = pending_.find(latest->second);
  return open != pending_.end() && now - open->second.sent < kAcquireWait;
}

bool contract_allocator::HasSurplus(const organisation_state& state,
                                    instant now) {
  const contract_account& account = state.account;
  const loan_amount& taken = account.Taken();
  const std::int64_t needed =
      std::max<std::int64_t>(0, account.InUse() - account.OwnLeft(now).permits);
  // A cap whose tokens are spent counts too: held back at the home, it would
  // make a nearly full pool overflow.
  return taken.cap > 0 || taken.held_permits > needed;
}

bool contract_allocator::Gather(organisation_state* state, instant now,
                                actions* out) {
  if (IsGathering(*state, now)) {
    return true;
  }
  if (state->gathered_at > now - kGatherInterval) {
    return false;
  }
  batch items;
  AddGatherItems(state, gather::kUrgent, now, &items);
  Send(grant_mode::kShare, items, now, out);
  return state->open_gathers > 0;
}

bool contract_allocator::IsGathering(const organisation_state& state,
                                     instant now) const {
  return state.open_gathers > 0 && state.gathered_at > now - kAcquireWait;
}

double contract_allocator::WantedRate(organisation_state* state, bool urgent,
                                      instant now) {
  const token_bucket& bucket = state->account.Bucket();
  const bool low = urgent || bucket.Level() < kLowPart * bucket.Cap();
  const double target =
      (low ? kUrgentHeadroom * state->demand.PerSecond(now)
           : kPrefetchHeadroom * state->demand.Average(now)) +
      static_cast<double>(state->waiting_tokens) / TermSeconds();
  const double wanted = target - state->account.OwnLeft(now).rate_per_s;
  return urgent ? std::max(wanted, 1 / TermSeconds()) : std::max(wanted, 0.0);
}

std::int64_t contract_allocator::WantedPermits(organisation_state* state,
                                               bool urgent, instant now) {
  if (IsPooled(*state)) {
    const std::int64_t needed =
        state->account.InUse() + state->waiting_tokens + state->waiting_permits;
    return std::max<std::int64_t>(
        0, std::min(needed, state->limits.max_concurrent) -
               state->account.OwnLeft(now).permits);
  }
  const std::int64_t peak = std::max(
      {state->peak_in_use, state->previous_peak, state->account.InUse()});
  std::int64_t wanted = peak + peak / 4 + state->waiting_permits;
  if (urgent) {
    // At worst the calls to come all run at once; but a few calls must not take
    // most permits of a small contract from the other VMs.
    const auto expected = static_cast<std::int64_t>(
        kUrgentHeadroom * state->demand.PerSecond(now));
    const auto vms = static_cast<std::int64_t>(shares_.Divisor());
    const std::int64_t greatest = kUrgentShares * state->limits.max_concurrent /
                                  std::max<std::int64_t>(1, vms);
    wanted =
        std::max(wanted, state->account.InUse() + std::min(expected, greatest));
  }
  return std::max<std::int64_t>(0,
                                std::min(wanted, state->limits.max_concurrent) -
                                    state->account.OwnLeft(now).permits);
}

std::int64_t contract_allocator::PooledPermitsWanted(organisation_state* state,
                                                     bool urgent, instant now) {
  if (IsPooled(*state)) {
    return state->limits.max_concurrent;
  }
  std::int64_t wanted = WantedPermits(state, urgent, now);
  for (const auto& [vm, demand] : state->demands) {
    wanted += demand.at > now - kTokenTerm ? demand.permits : 0;
  }
  return std::min(wanted, state->limits.max_concurrent);
}

void contract_allocator::AddItem(organisation_state* state,
                                 const loan_party& lender, double wanted_tokens,
                                 std::int64_t wanted_permits, instant now,
                                 std::vector<grant_item>* items) {
  const bool ends_rate = wanted_tokens <= 0;
  const loan_use use =
      state->account.Declare(lender, ends_rate, wanted_permits, now);
  items->push_back({state->name, ends_rate ? 0 : wanted_tokens, use.permits});
  if (use.returned_tokens > 0) {
    items->push_back({state->name, use.returned_tokens, 0});
  }
}

void contract_allocator::AddTokenItem(organisation_state* state,
                                      const std::string& home, bool urgent,
                                      instant now, batch* items) {
  state->asked_home_at = now;
  if (IsPooled(*state)) {
    // Earlier loans end, so that the cap that covered spent tokens is at the
    // home again and covers the next ones.
    const loan_use use =
        state->account.Declare({home, grant_mode::kTokens, 0}, true,
                               WantedPermits(state, urgent, now), now);
    const std::int64_t calls = state->waiting_tokens + state->waiting_permits;
    state->asked_calls = calls;
    std::vector<grant_item>& list = (*items)[home];
    list.push_back({state->name, static_cast<double>(calls), use.permits});
    list.push_back({state->name, use.returned_tokens, 0});
    return;
  }
  const bool idle = IsIdle(state, now);
  AddItem(state, {home, grant_mode::kTokens, 0},
          idle ? 0 : WantedRate(state, urgent, now) * TermSeconds(),
          idle ? 0 : WantedPermits(state, urgent, now), now, &(*items)[home]);
}

void contract_allocator::AddGatherItems(organisation_state* state, gather why,
                                        instant now, batch* items) {
  const bool ends = why == gather::kEnd;
  const std::int64_t pooled =
      ends ? 0 : PooledPermitsWanted(state, why == gather::kUrgent, now);
  // Twice an even part, since not every VM can lend.
  const auto vms = static_cast<std::int64_t>(shares_.Listed().size());
  const std::int64_t permits =
      std::min(pooled, 2 * pooled / std::max<std::int64_t>(1, vms - 1) + 1);
  state->gathered_at = now;
  state->open_gathers = 0;
  const std::set<std::string>& listed = shares_.Listed();
  auto next = listed.upper_bound(state->last_asked);
  for (std::size_t i = 0; i < listed.size(); ++i) {
    if (state->open_gathers == kMaxGatherVms) {
      return;
    }
    if (next == listed.end()) {
      next = listed.begin();
    }
    const std::string& vm = *next++;
    state->last_asked = vm;
    if (vm == directory_.self || !directory_.is_usable(vm, now)) {
      continue;
    }
    AddItem(state, {vm, grant_mode::kShare, 0},
            ends ? 0 : state->limits.rate_per_s, permits, now, &(*items)[vm]);
    ++state->open_gathers;
  }
}

// A VM is idle after a pause of a few times the usual gap between calls.
bool contract_allocator::IsIdle(organisation_state* state, instant now) {
  const double calls_per_s = std::max(1.0, state->demand.Recent(now));
  const duration pause = std::chrono::duration_cast<duration>(
      kIdleGaps / calls_per_s * std::chrono::seconds(1));
  return state->last_call < now - std::clamp(pause, kLeastIdle, kGreatestIdle);
}

void contract_allocator::Send(grant_mode mode, const batch& items, instant now,
                              actions* out) {
  for (const auto& [vm, list] : items) {
    grant_request request;
    request.id = ++last_id_;
    request.mode = mode;
    pending_request open;
    open.party = {vm, mode};
    open.sent = now;
    for (const grant_item& item : list) {
      open.organisations.insert(item.organisation);
      Find(item.organisation)->latest_request[open.party] = request.id;
    }
    request.items = list;
    pending_.emplace(request.id, std::move(open));
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
    if (state == nullptr || !IsSound(loan) || now >= until ||
        state->latest_request[request.party] != reply.id) {
      continue;
    }
    state->account.Settle(now);
    state->account.Accept(request.party, loan, until, now);
  }
  for (const std::string& name : request.organisations) {
    organisation_state* state = Find(name);
    if (state != nullptr && state->latest_request[request.party] == reply.id) {
      FinishWait(state, request.party, now);
    }
  }
  ++generation_;
}

void contract_allocator::FinishWait(organisation_state* state,
                                    const loan_party& party, instant now) {
  state->account.Settle(now);
  if (party.mode == grant_mode::kShare) {
    state->open_gathers = std::max(0, state->open_gathers - 1);
    if (state->open_gathers > 0) {
      return;
    }
  } else if (!state->account.HasToken() || !state->account.HasPermit()) {
    if (IsPooled(*state) && state->asked_calls == 0) {
      return;  // The answer to a return.
    }
    state->denied_until = now + kDeniedPause;
  }
  state->waiting_tokens = 0;
  state->waiting_permits = 0;
}

}  // namespace pimentohall::core
