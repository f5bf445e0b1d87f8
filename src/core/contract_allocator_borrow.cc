// The borrower's side of contract_allocator: what is asked of whom, and what is
// taken from replies.

#include <algorithm>
#include <cmath>

#include "core/contract_allocator.h"

namespace pimentohall::core {

namespace {

// Headroom over the measured demand, for calls that come in bursts.
constexpr double kUrgentHeadroom = 2;
constexpr double kPrefetchHeadroom = 1.25;
// Below this part of the own rate no loan is needed.
constexpr double kOwnRateSuffices = 0.8;

// After an answer that brought nothing, calls are refused without asking again.
constexpr duration kDeniedPause = std::chrono::milliseconds(50);
// The same after a request without an answer in time.
constexpr duration kUnansweredPause = std::chrono::milliseconds(200);
// Time between share requests that calls wait for.
constexpr duration kGatherInterval = std::chrono::milliseconds(200);

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
  if (latest != state->latest_request.end()) {
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
  items[home].push_back(TokenItem(state, home, kUrgentHeadroom, now));
  Send(grant_mode::kTokens, items, now, out);
  return true;
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
  AddGatherItems(state, false, now, &items);
  Send(grant_mode::kShare, items, now, out);
  return state->open_gathers > 0;
}

bool contract_allocator::IsGathering(const organisation_state& state,
                                     instant now) const {
  return state.open_gathers > 0 && state.gathered_at > now - kAcquireWait;
}

double contract_allocator::WantedRate(organisation_state* state,
                                      double headroom, instant now) {
  const double target =
      headroom * state->demand.PerSecond(now) +
      static_cast<double>(state->waiting_tokens) / TermSeconds();
  const double own = state->account.Share().rate_per_s;
  const bool own_suffices =
      target <= kOwnRateSuffices * own && state->account.HasToken();
  return own_suffices || target <= 0
             ? 0
             : std::max(target - own, 1 / TermSeconds());
}

std::int64_t contract_allocator::WantedPermits(
    const organisation_state& state) const {
  const std::int64_t peak = std::max({state.peak_in_use, state.previous_peak,
                                      state.account.InUse()}) +
                            state.waiting_permits;
  return std::max<std::int64_t>(
      0, peak + peak / 4 - state.account.Share().permits);
}

std::int64_t contract_allocator::PooledPermitsWanted(
    const organisation_state& state, instant now) const {
  std::int64_t wanted = WantedPermits(state);
  for (const auto& [vm, demand] : state.demands) {
    wanted += demand.at > now - kTokenTerm ? demand.permits : 0;
  }
  return std::min(wanted, state.limits.max_concurrent);
}

grant_item contract_allocator::TokenItem(organisation_state* state,
                                         const std::string& home,
                                         double headroom, instant now) {
  const bool idle = state->last_call < now - std::chrono::milliseconds(300);
  grant_item item;
  item.organisation = state->name;
  item.tokens = idle ? 0 : WantedRate(state, headroom, now) * TermSeconds();
  item.permits =
      state->account.Declare({home, grant_mode::kTokens}, item.tokens <= 0,
                             idle ? 0 : WantedPermits(*state), now);
  state->asked_home_at = now;
  return item;
}

void contract_allocator::AddGatherItems(organisation_state* state, bool ends,
                                        instant now, batch* items) {
  const std::int64_t permits = ends ? 0 : PooledPermitsWanted(*state, now);
  state->gathered_at = now;
  state->open_gathers = 0;
  for (const std::string& vm : shares_.Listed()) {
    if (vm == directory_.self || !directory_.is_usable(vm, now)) {
      continue;
    }
    grant_item item;
    item.organisation = state->name;
    item.tokens = ends ? 0 : state->limits.rate_per_s;
    item.permits =
        state->account.Declare({vm, grant_mode::kShare}, ends, permits, now);
    (*items)[vm].push_back(std::move(item));
    ++state->open_gathers;
  }
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
      open.organisations.push_back(item.organisation);
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
    next_wake_ = now;
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
    state->denied_until = now + kDeniedPause;
  }
  state->waiting_tokens = 0;
  state->waiting_permits = 0;
}

}  // namespace pimentohall::core
