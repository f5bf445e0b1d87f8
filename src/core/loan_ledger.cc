#include "core/loan_ledger.h"

#include <algorithm>

namespace pimentohall::core {

void loan_ledger::Add(const loan_party& party, const loan_amount& amount,
                      instant until) {
  std::vector<loan>& loans = loans_[party];
  const auto is_covered = [&](const loan& old) {
    return old.until <= until && old.amount.rate_per_s <= amount.rate_per_s &&
           old.amount.cap <= amount.cap && old.amount.permits <= amount.permits;
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

loan_amount loan_ledger::Maximum(const std::vector<loan>& loans, instant now) {
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
    Add(Maximum(loans, now), &total);
  }
  return total;
}

loan_amount loan_ledger::Total(grant_mode mode, instant now) const {
  loan_amount total;
  for (const auto& [party, loans] : loans_) {
    if (party.mode == mode) {
      Add(Maximum(loans, now), &total);
    }
  }
  return total;
}

loan_amount loan_ledger::Of(const loan_party& party, instant now) const {
  const auto found = loans_.find(party);
  return found == loans_.end() ? loan_amount{} : Maximum(found->second, now);
}

instant loan_ledger::Expire(instant now) {
  instant next = instant::max();
  for (auto entry = loans_.begin(); entry != loans_.end();) {
    std::vector<loan>& loans = entry->second;
    const auto is_over = [now](const loan& old) {
      return old.amount.permits > 0 ? old.held_until <= now : old.until <= now;
    };
    loans.erase(std::remove_if(loans.begin(), loans.end(), is_over),
                loans.end());
    for (const loan& old : loans) {
      next = std::min(next, old.until > now ? old.until : old.held_until);
    }
    entry = loans.empty() ? loans_.erase(entry) : std::next(entry);
  }
  return next;
}

}  // namespace pimentohall::core
