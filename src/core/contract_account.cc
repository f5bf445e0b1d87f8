#include "core/contract_account.h"

#include <algorithm>

namespace pimentohall::core {

namespace {

// Tolerance for rounding errors when sums of rates or caps are compared.
constexpr double kRounding = 1e-9;

}  // namespace

void contract_account::SetShare(const own_share& share, instant now) {
  AdvanceTo(now);
  share_ = share;
  Recompute(now);
}

void contract_account::AdvanceTo(instant now) {
  while (next_change_ <= now) {
    const instant change = next_change_;
    bucket_.Advance(change);
    Recompute(change);
  }
  bucket_.Advance(now);
}

void contract_account::Recompute(instant now) {
  next_change_ = std::min(borrowed_.Expire(now), lent_.Expire(now));
  borrowed_now_ = borrowed_.Total(now);
  lent_now_ = lent_.Total(now);
  bucket_.SetLimits(
      share_.rate_per_s + borrowed_now_.rate_per_s - lent_now_.rate_per_s,
      share_.cap + borrowed_now_.cap - lent_now_.cap);
}

void contract_account::Take() {
  CheckOverflow();
  bucket_.Take();
  ++in_use_;
}

void contract_account::Release(bool refund) {
  CheckOverflow();
  in_use_ = std::max<std::int64_t>(0, in_use_ - 1);
  if (refund && nonrefundable_calls_ == 0) {
    bucket_.Add(1);
  } else if (refund) {
    --nonrefundable_calls_;
  }
  nonrefundable_calls_ = std::min(nonrefundable_calls_, in_use_);
}

void contract_account::CheckOverflow() {
  if (bucket_.Overflows() != seen_overflows_) {
    seen_overflows_ = bucket_.Overflows();
    nonrefundable_calls_ = in_use_;
  }
}

std::int64_t contract_account::UsablePermits() const {
  return std::max(
      share_.unlent_permits,
      share_.permits + borrowed_now_.permits - lent_now_.held_permits);
}

std::int64_t contract_account::PermitsNeededHere() const {
  return std::max(share_.unlent_permits, in_use_);
}

bool contract_account::IsIdle() const {
  return in_use_ == 0 && borrowed_.IsEmpty() && lent_.IsEmpty();
}

loan_amount contract_account::UnlentShare(instant now) const {
  const loan_amount lent = lent_.Total(grant_mode::kShare, now);
  loan_amount left;
  left.rate_per_s = std::max(0.0, share_.rate_per_s - lent.rate_per_s);
  left.cap = std::max(0.0, share_.cap - lent.cap);
  left.permits = std::max<std::int64_t>(0, share_.permits - lent.held_permits);
  return left;
}

loan_amount contract_account::Pool(instant until) const {
  loan_amount pool = borrowed_.Total(until);
  pool.rate_per_s += share_.rate_per_s;
  pool.cap += share_.cap;
  pool.permits += share_.permits;
  return pool;
}

void contract_account::ApplyDeclaredUse(const loan_party& borrower,
                                        const loan_use& use, instant now) {
  lent_.LimitPermits(borrower, std::max<std::int64_t>(0, use.permits));
  if (!use.ends_rate) {
    Recompute(now);
    return;
  }
  // Tokens in transit are covered only by the cap that is still lent. After the
  // term, this VM has filled that cap again.
  const double covered = lent_.AmountOf(borrower, now).cap;
  lent_.EndRate(borrower);
  Recompute(now);
  bucket_.Add(std::clamp(use.returned_tokens, 0.0, covered));
}

std::int64_t contract_account::LendablePermits(const loan_party& borrower,
                                               instant now) const {
  return share_.permits + borrowed_now_.permits - PermitsNeededHere() -
         lent_now_.held_permits + lent_.AmountOf(borrower, now).held_permits;
}

grant contract_account::Lend(const loan_party& borrower,
                             const loan_amount& offer, const loan_amount& kept,
                             duration term, instant now) {
  const instant until = now + term;
  const loan_amount pool = Pool(until);
  const loan_amount before = lent_.AmountOf(borrower, now);
  const std::int64_t needed_here = PermitsNeededHere() + lent_now_.held_permits;
  loan_amount lent;
  lent.rate_per_s = std::clamp(pool.rate_per_s - kept.rate_per_s -
                                   lent_now_.rate_per_s + before.rate_per_s,
                               0.0, std::max(0.0, offer.rate_per_s));
  lent.cap = std::clamp(pool.cap - kept.cap - lent_now_.cap + before.cap, 0.0,
                        std::max(0.0, offer.cap));
  lent.permits =
      std::clamp<std::int64_t>(pool.permits - needed_here + before.held_permits,
                               0, std::max<std::int64_t>(0, offer.permits));
  const double tokens = std::clamp(bucket_.Level() - kept.cap, 0.0,
                                   std::max(0.0, lent.cap - before.cap));
  bucket_.Remove(tokens);
  if (lent.rate_per_s > 0 || lent.cap > 0 || lent.permits > 0) {
    lent_.Add(borrower, lent, until);
    Recompute(now);
  }
  grant result;
  result.rate_per_s = lent.rate_per_s;
  result.burst = lent.cap;
  result.tokens = tokens;
  result.permits = lent.permits;
  result.term = term;
  return result;
}

loan_use contract_account::DeclareUse(const loan_party& lender, bool ends_rate,
                                      std::int64_t requested_permits,
                                      instant now) {
  const std::int64_t held = borrowed_.AmountOf(lender, now).held_permits;
  const std::int64_t covered_elsewhere =
      share_.permits + borrowed_now_.held_permits - held;
  const std::int64_t needed =
      PermitsNeededHere() + lent_now_.held_permits - covered_elsewhere;
  loan_use use;
  use.ends_rate = ends_rate;
  use.permits =
      std::max(requested_permits, std::clamp<std::int64_t>(needed, 0, held));
  borrowed_.LimitPermits(lender, use.permits);
  const double tokens = bucket_.Level();
  if (ends_rate) {
    borrowed_.EndRate(lender);
  }
  Recompute(now);
  use.returned_tokens = tokens - bucket_.Level();
  return use;
}

void contract_account::Accept(const loan_party& lender, const grant& loan,
                              instant until, instant now) {
  borrowed_.Add(lender, {loan.rate_per_s, loan.burst, loan.permits, 0}, until);
  Recompute(now);
  bucket_.Add(loan.tokens);
}

void contract_account::EndTerms(const std::string& vm, instant now) {
  borrowed_.EndTerms(vm, now);
  Recompute(now);
}

bool contract_account::IsCoveredWithout(const std::string& vm,
                                        instant now) const {
  loan_amount others = borrowed_now_;
  for (const grant_mode mode : {grant_mode::kShare, grant_mode::kTokens}) {
    const loan_amount lent = borrowed_.AmountOf({vm, mode}, now);
    others.rate_per_s -= lent.rate_per_s;
    others.cap -= lent.cap;
    others.held_permits -= lent.held_permits;
  }
  return lent_now_.rate_per_s <=
             share_.rate_per_s + others.rate_per_s + kRounding &&
         lent_now_.cap <= share_.cap + others.cap + kRounding &&
         PermitsNeededHere() + lent_now_.held_permits <=
             share_.permits + others.held_permits;
}

}  // namespace pimentohall::core
