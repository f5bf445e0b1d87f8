#ifndef PIMENTOHALL_CORE_LOAN_LEDGER_H_
#define PIMENTOHALL_CORE_LOAN_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "pimentohall/core.h"

namespace pimentohall::core {

// The counterparty of a loan. Loans of the two modes are kept separately
// because they are requested and renewed separately. A lender also separates
// the incarnations of a borrower, so that a request of one incarnation doesn't
// affect the loans of another.
struct loan_party {
  std::string vm;
  grant_mode mode = grant_mode::kTokens;
  std::uint64_t incarnation = 0;  // Of a borrower; 0 for lenders.
  friend bool operator<(const loan_party& a, const loan_party& b) {
    return std::tie(a.vm, a.mode, a.incarnation) <
           std::tie(b.vm, b.mode, b.incarnation);
  }
};

// The amount of one loan, or the sum of several loans.
struct loan_amount {
  double rate_per_s = 0;
  double cap = 0;  // Share of the burst, in tokens.
  std::int64_t permits = 0;
  // Permits of current loans and of expired loans whose hold time has not
  // passed: running calls may still use the permits of an expired loan.
  std::int64_t held_permits = 0;
};

// The loans of one organisation: either those that this VM lent or those that
// it borrowed.
//
// A reply to a later request replaces the earlier loan of the same party, but
// the lender can't know which replies arrived. So both sides count, for each
// party, the maximum over the loans that have not expired: the borrower uses
// one of them at a time, and the lender's maximum is never below it.
class loan_ledger {
 public:
  // Permits stay held for `permit_hold` after the term of their loan.
  explicit loan_ledger(duration permit_hold) : permit_hold_(permit_hold) {}

  void Add(const loan_party& party, const loan_amount& amount, instant until);
  // Limits the permits of each loan of a party to `permits`.
  void LimitPermits(const loan_party& party, std::int64_t permits);
  // Sets the rate and cap of all loans of a party to zero.
  void EndRate(const loan_party& party);
  // Ends the terms of all loans of a VM. Their permits stay held.
  void EndTerms(const std::string& vm, instant now);

  // Sum over all parties, or those of one mode, of the loans whose term or hold
  // time lasts beyond `now`.
  loan_amount Total(instant now) const;
  loan_amount Total(grant_mode mode, instant now) const;
  // Amount that counts for one party.
  loan_amount AmountOf(const loan_party& party, instant now) const;
  bool IsEmpty() const { return loans_.empty(); }

  // Drops expired loans and returns the next time at which a total changes.
  instant Expire(instant now);

 private:
  struct loan {
    loan_amount amount;
    instant until;       // End of the term.
    instant held_until;  // End of the hold time of the permits.
  };
  static void Add(const loan_amount& amount, loan_amount* total);
  static loan_amount MaxAmount(const std::vector<loan>& loans, instant now);

  duration permit_hold_;
  std::map<loan_party, std::vector<loan>> loans_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_LOAN_LEDGER_H_
