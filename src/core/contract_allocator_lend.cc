// The lender's side of contract_allocator: lending an idle VM's share to the
// home, lending from the home's pool, and the start check.

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "core/contract_allocator.h"

namespace pimentohall::core {

namespace {

// Maximum time that a request waits at the home for shares to arrive.
constexpr duration kGatherTimeout = std::chrono::milliseconds(12);

// Maximum time that a request of a pooled organisation waits at the home for
// tokens or permits. Together with one round trip between zones it stays within
// `kAcquireTimeout`.
constexpr duration kPoolTimeout = std::chrono::milliseconds(20);

// A pool without a request or call for this long is returned to its lenders.
constexpr duration kPoolIdleTimeout = std::chrono::seconds(5);

// Floor that a VM keeps of its cap when it lends its share, as a fraction of
// the cap.
constexpr double kFloorFraction = 1.0 / 8;
// Fraction of its rate that a VM keeps when it lends its share, to fill the
// floor.
constexpr double kFloorRateFraction = 1.0 / 50;
// Minimum cap with a floor. For smaller caps a floor would withhold too much.
constexpr double kMinFloorCap = 8;
// Part that a VM with demand keeps of its rate and cap when it lends its share,
// as a multiple of its own demand. It keeps at least the floor of the cap.
constexpr double kOwnDemandHeadroom = 1.6;

// Time between repeated start checks.
constexpr duration kStartCheckInterval = std::chrono::milliseconds(250);

// The part of the pool that the home keeps, as a multiple of its own demand.
constexpr double kHomeDemandHeadroom = 1.25;

// Minimum cap offered in a loan: a smaller one admits hardly any call.
constexpr double kMinLoanCap = 2;

double TermSeconds() {
  return std::chrono::duration<double>(contract_allocator::kTokenTerm).count();
}

double FloorFraction(double own_cap) {
  return own_cap < kMinFloorCap ? 0 : std::max(kFloorFraction, 1 / own_cap);
}

}  // namespace

void contract_allocator::OnRequest(const std::string& vm,
                                   const grant_request& request, instant now,
                                   actions* out) {
  const bool is_start_check = request.mode == grant_mode::kShare &&
                              request.items.size() == 1 &&
                              request.items.front().organisation.empty();
  if (is_start_check) {
    OnStartCheck(vm, request, now, out);
    return;
  }
  const std::uint64_t incarnation = request.id >> kRequestCounterBits;
  const loan_party borrower{vm, request.mode, incarnation};
  grant_request accepted{request.id, request.mode, {}};
  bool must_gather = false;
  bool any_pooled = false;
  for (std::size_t i = 0; i < request.items.size(); ++i) {
    const grant_item& item = request.items[i];
    double returned = 0;
    bool ends_rate = item.tokens <= 0;
    if (i + 1 < request.items.size() &&
        request.items[i + 1].organisation == item.organisation) {
      ++i;
      ends_rate = true;
      returned = request.items[i].tokens;
    }
    organisation_state* state = Find(item.organisation);
    if (state == nullptr) {
      continue;
    }
    received_request& received = state->last_received[borrower];
    if (request.id <= received.id) {
      continue;
    }
    received = {request.id, now};
    state->account.AdvanceTo(now);
    state->account.ApplyDeclaredUse(borrower,
                                    {item.permits, ends_rate, returned}, now);
    if (request.mode == grant_mode::kTokens) {
      state->demands[vm] = {item.tokens / TermSeconds(), item.permits, now};
      must_gather =
          must_gather || (item.tokens > 0 && NeedsGather(state, now) &&
                          GatherShares(state, now, out));
    }
    any_pooled = any_pooled || (request.mode == grant_mode::kTokens &&
                                IsPooled(*state) && item.tokens > 0);
    accepted.items.push_back(item);
  }
  if (any_pooled && !PoolCovers(vm, accepted, now)) {
    deferred_.push_back({vm, std::move(accepted), now + kPoolTimeout});
    next_wake_ = std::min(next_wake_, now + kPoolTimeout);
  } else if (must_gather && !any_pooled) {
    deferred_.push_back({vm, std::move(accepted), now + kGatherTimeout});
    next_wake_ = std::min(next_wake_, now + kGatherTimeout);
  } else if (!accepted.items.empty()) {
    Answer(vm, accepted, now, out);
  }
  // The returned tokens and permits may be enough for deferred requests.
  AnswerDeferred(now, out);
}

bool contract_allocator::PoolCovers(const std::string& vm,
                                    const grant_request& request, instant now) {
  const loan_party borrower{vm, request.mode,
                            request.id >> kRequestCounterBits};
  for (const grant_item& item : request.items) {
    organisation_state* state = Find(item.organisation);
    if (state == nullptr || !IsPooled(*state) || item.tokens <= 0) {
      continue;
    }
    state->account.AdvanceTo(now);
    if (!state->account.HasToken() ||
        state->account.LendablePermits(borrower, now) < item.permits) {
      return false;
    }
  }
  return true;
}

bool contract_allocator::NeedsGather(organisation_state* state, instant now) {
  if (directory_.home_of(state->name, now) != directory_.self) {
    return false;
  }
  if (IsPooled(*state)) {
    return !state->account.HasToken() || !state->account.HasPermit();
  }
  const loan_amount pool = state->account.Pool(now + kTokenTerm);
  const double target =
      std::min(state->demand.RecentPeak(now) + RemoteDemand(*state, now),
               state->limits.rate_per_s * 0.9);
  return pool.rate_per_s < target ||
         pool.permits < PoolPermitTarget(state, false, now);
}

double contract_allocator::RemoteDemand(const organisation_state& state,
                                        instant now) {
  double demand = 0;
  for (const auto& [vm, remote] : state.demands) {
    demand += remote.received_at > now - kTokenTerm ? remote.rate_per_s : 0;
  }
  return demand;
}

bool contract_allocator::IsPoolActive(organisation_state* state, instant now) {
  if (IsPooled(*state)) {
    return state->last_call > now - kPoolIdleTimeout ||
           std::any_of(state->demands.begin(), state->demands.end(),
                       [now](const auto& demand) {
                         return demand.second.received_at >
                                now - kPoolIdleTimeout;
                       });
  }
  for (const auto& [vm, remote] : state->demands) {
    if (remote.received_at > now - kTokenTerm &&
        (remote.rate_per_s > 0 || remote.permits > 0)) {
      return true;
    }
  }
  return state->last_call > now - std::chrono::seconds(1) &&
         (RateToRequest(state, false, now) > 0 ||
          PermitsToRequest(state, false, now) > 0);
}

void contract_allocator::Answer(const std::string& vm,
                                const grant_request& request, instant now,
                                actions* out) {
  const loan_party borrower{vm, request.mode,
                            request.id >> kRequestCounterBits};
  grant_reply reply;
  reply.id = request.id;
  for (const grant_item& item : request.items) {
    organisation_state* state = Find(item.organisation);
    // A newer request has replaced a deferred one.
    if (state == nullptr || state->last_received[borrower].id != request.id) {
      continue;
    }
    state->account.AdvanceTo(now);
    grant loan = request.mode == grant_mode::kShare
                     ? LendShare(state, borrower, item, now)
                     : LendFromPool(state, borrower, item, now);
    if (loan.rate_per_s <= 0 && loan.burst <= 0 && loan.permits <= 0) {
      continue;
    }
    loan.organisation = state->name;
    reply.grants.push_back(std::move(loan));
  }
  out->push_back(send_message{vm, std::move(reply)});
}

grant contract_allocator::LendShare(organisation_state* state,
                                    const loan_party& borrower,
                                    const grant_item& item, instant now) {
  const own_share& own = state->account.Share();
  if (IsPooled(*state)) {
    const loan_amount offer{item.tokens > 0 ? own.rate_per_s : 0,
                            item.tokens > 0 ? own.cap : 0, item.permits, 0};
    return state->account.Lend(borrower, offer, {}, kShareTerm, now);
  }
  const double demand = state->demand.RecentPeak(now);
  loan_amount kept;
  kept.rate_per_s = own.rate_per_s * kFloorRateFraction;
  kept.cap = own.cap * FloorFraction(own.cap);
  if (demand > 0 && own.rate_per_s > 0) {
    const double fraction =
        std::min(1.0, kOwnDemandHeadroom * demand / own.rate_per_s);
    kept.rate_per_s = own.rate_per_s * fraction;
    kept.cap = std::max(kept.cap, own.cap * fraction);
  }
  loan_amount offer;
  if (item.tokens > 0) {
    offer.rate_per_s = own.rate_per_s - kept.rate_per_s;
    offer.cap = own.cap - kept.cap;
  }
  const std::int64_t peak = std::max(state->peak_in_use, state->previous_peak);
  offer.permits = std::min(item.permits, own.permits - peak);
  return state->account.Lend(borrower, offer, kept, kShareTerm, now);
}

grant contract_allocator::LendFromPool(organisation_state* state,
                                       const loan_party& borrower,
                                       const grant_item& item, instant now) {
  if (IsPooled(*state)) {
    // Lends whole tokens and no rate: the rate keeps filling the pool.
    const double tokens =
        std::min(item.tokens, std::floor(state->account.Bucket().Level()));
    return state->account.Lend(borrower, {0, tokens, item.permits, 0}, {},
                               kTokenTerm, now);
  }
  const own_share& own = state->account.Share();
  const loan_amount pool = state->account.Pool(now + kTokenTerm);
  const double own_demand = kHomeDemandHeadroom * state->demand.RecentPeak(now);
  const double total_demand =
      std::max(own_demand + RemoteDemand(*state, now), pool.rate_per_s);
  const double fraction =
      total_demand > 0
          ? std::min(1.0, item.tokens / TermSeconds() / total_demand)
          : 0;
  const double kept_fraction = total_demand > 0 ? own_demand / total_demand : 0;
  loan_amount kept;
  kept.rate_per_s = std::max(pool.rate_per_s * kept_fraction,
                             std::min(own.rate_per_s, own_demand));
  const double own_fraction =
      own.rate_per_s > 0 ? std::min(1.0, own_demand / own.rate_per_s) : 0;
  kept.cap = std::max(pool.cap * kept_fraction,
                      own.cap * std::max(own_fraction, FloorFraction(own.cap)));
  loan_amount offer;
  if (item.tokens > 0) {
    offer.rate_per_s = pool.rate_per_s * fraction;
    // A smaller fraction of the cap than of the rate, so that some of the burst
    // is left for VMs where calls start to arrive.
    offer.cap = std::max(pool.cap * std::pow(fraction, 1.5), kMinLoanCap);
  }
  offer.permits = item.permits;
  return state->account.Lend(borrower, offer, kept, kTokenTerm, now);
}

void contract_allocator::AnswerDeferred(instant now, actions* out) {
  std::vector<deferred_reply> deferred;
  deferred.swap(deferred_);
  for (deferred_reply& reply : deferred) {
    const bool gathering =
        std::any_of(reply.request.items.begin(), reply.request.items.end(),
                    [&](const grant_item& item) {
                      const organisation_state* state = Find(item.organisation);
                      return state != nullptr && !IsPooled(*state) &&
                             IsGathering(*state, now);
                    });
    if ((gathering || !PoolCovers(reply.vm, reply.request, now)) &&
        now < reply.deadline) {
      deferred_.push_back(std::move(reply));
    } else {
      Answer(reply.vm, reply.request, now, out);
    }
  }
}

std::uint64_t contract_allocator::ListHash() const {
  std::string names;
  for (const std::string& name : shares_.Listed()) {
    names += name;
    names += '\n';
  }
  return XXH64(names.data(), names.size(), 0) >> 1;  // Fits a signed integer.
}

std::set<std::string> contract_allocator::MissingConfirmations() const {
  std::set<std::string> missing = shares_.Listed();
  missing.erase(directory_.self);
  for (const std::string& vm : confirmed_by_) {
    missing.erase(vm);
  }
  return missing;
}

bool contract_allocator::IsStarting(instant now) const {
  const bool small_fleet = shares_.Listed().size() <= kMaxStartCheckVms;
  return start_check_enabled_ && small_fleet && shares_.IsListed() &&
         now < permits_usable_from_;
}

void contract_allocator::EndStartCheck(instant now) {
  if (!IsStarting(now) || !MissingConfirmations().empty()) {
    return;
  }
  share_usable_from_ = std::min(share_usable_from_, now);
  permits_usable_from_ = now;
  RefreshShares(now);
}

void contract_allocator::SendStartChecks(instant now, actions* out) {
  EndStartCheck(now);
  if (!IsStarting(now)) {
    return;
  }
  if (last_start_check_at_ > now - kStartCheckInterval) {
    return;
  }
  last_start_check_at_ = now;
  for (const std::string& vm : MissingConfirmations()) {
    grant_request check;
    check.id = ++last_id_;
    check.mode = grant_mode::kShare;
    check.items.push_back({"", 0, static_cast<std::int64_t>(ListHash())});
    pending_[check.id] = {{vm, grant_mode::kShare, 0}, now, false, {}};
    out->push_back(send_message{vm, std::move(check)});
  }
}

void contract_allocator::OnStartCheck(const std::string& vm,
                                      const grant_request& request, instant now,
                                      actions* out) {
  // Replies of the sender's previous process must no longer be accepted.
  for (auto pending = pending_.begin(); pending != pending_.end();) {
    const bool is_from_sender = pending->second.party.vm == vm &&
                                !pending->second.organisations.empty();
    pending = is_from_sender ? pending_.erase(pending) : std::next(pending);
  }
  bool covered = true;
  for (organisation_state* state : sorted_states_) {
    state->account.AdvanceTo(now);
    state->account.EndTerms(vm, now);
    covered = covered && state->account.IsCoveredWithout(vm, now);
  }
  const bool same_list =
      request.items.front().permits == static_cast<std::int64_t>(ListHash());
  if (covered && same_list) {
    out->push_back(send_message{vm, grant_reply{request.id, {}}});
  }
}

}  // namespace pimentohall::core
