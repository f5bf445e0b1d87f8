#include "core/loan_ledger.h"

#include <algorithm>

namespace pimentohall::core {

void loan_ledger::Add(const loan_party& party, const loan_amount& amount,
                      instant until) {
  std::vector<loan>& loans = loans_[party];
  const auto is_covered = [&](const loan& entry) {
    return entry.until <= until &&
           entry.amount.rate_per_s <= amount.rate_per_s &&
           entry.amount.cap <= amount.cap &&
           entry.amount.permits <= amount.permits;
  };
  loans.erase(std::remove_if(loans.begin(), loans.end(), is_covered),
              loans.end());
  loans.push_back({amount, until, until + permit_hold_});
}

void loan_ledger::LimitPermits(const loan_party& party, std::int64_t permits) {
  const auto found = loans_.find(party);
  if (found == loans_.end()) {
    return;
  }
  for (loan& entry : found->second) {
    entry.amount.permits = std::min(entry.amount.permits, permits);
  }
}

void loan_ledger::EndRate(const loan_party& party) {
  const auto found = loans_.find(party);
  if (found == loans_.end()) {
    return;
  }
  for (loan& entry : found->second) {
    entry.amount.rate_per_s = 0;
    entry.amount.cap = 0;
  }
}

void loan_ledger::EndTerms(const std::string& vm, instant now) {
  for (const grant_mode mode : {grant_mode::kShare, grant_mode::kTokens}) {
    const auto found = loans_.find({vm, mode});
    if (found == loans_.end()) {
      continue;
    }
    for (loan& entry : found->second) {
      entry.until = std::min(entry.until, now);
    }
  }
}

loan_amount loan_ledger::MaxAmount(const std::vector<loan>& loans,
                                   instant now) {
  loan_amount maximum;
  for (const loan& entry : loans) {
    if (entry.until > now) {
      maximum.rate_per_s =
          std::max(maximum.rate_per_s, entry.amount.rate_per_s);
      maximum.cap = std::max(maximum.cap, entry.amount.cap);
      maximum.permits = std::max(maximum.permits, entry.amount.permits);
    }
    if (entry.held_until > now) {
      maximum.held_permits =
          std::max(maximum.held_permits, entry.amount.permits);
    }
  }
  return maximum;
}

void loan_ledger::Add(const loan_amount& amount, loan_amount* total) {
  total->rate_per_s += amount.rate_per_s;
  total->cap += amount.cap;
  total->permits += amount.permits;
  total->held_permits += amount.held_permits;
}

loan_amount loan_ledger::Total(instant now) const {
  loan_amount total;
  for (const auto& [party, loans] : loans_) {
    Add(MaxAmount(loans, now), &total);
  }
  return total;
}

loan_amount loan_ledger::Total(grant_mode mode, instant now) const {
  loan_amount total;
  for (const auto& [party, loans] : loans_) {
    if (party.mode == mode) {
      Add(MaxAmount(loans, now), &total);
    }
  }
  return total;
}

loan_amount loan_ledger::AmountOf(const loan_party& party, instant now) const {
  const auto found = loans_.find(party);
  return found == loans_.end() ? loan_amount{} : MaxAmount(found->second, now);
}

instant loan_ledger::Expire(instant now) {
  instant next = instant::max();
  for (auto party = loans_.begin(); party != loans_.end();) {
    std::vector<loan>& loans = party->second;
    const auto is_expired = [now](const loan& entry) {
      return entry.amount.permits > 0 ? entry.held_until <= now
                                      : entry.until <= now;
    };
    loans.erase(std::remove_if(loans.begin(), loans.end(), is_expired),
                loans.end());
    for (const loan& entry : loans) {
      next = std::min(next, entry.until > now ? entry.until : entry.held_until);
    }
    party = loans.empty() ? loans_.erase(party) : std::next(party);
  }
  return next;
}

}  // namespace pimentohall::core
