#ifndef PIMENTOHALL_CORE_LOAN_LEDGER_H_
#define PIMENTOHALL_CORE_LOAN_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "pimentohall/core.h"

namespace pimentohall::core {

// The other side of a loan. Loans of the two modes are kept apart because they
// are requested and renewed apart. A lender also keeps the incarnations of a
// borrower apart, so that no statement of one affects the loans of another.
struct loan_party {
  std::string vm;
  grant_mode mode = grant_mode::kTokens;
  std::uint64_t incarnation = 0;  // Of a borrower; 0 for lenders.
  friend bool operator<(const loan_party& a, const loan_party& b) {
    return std::tie(a.vm, a.mode, a.incarnation) <
           std::tie(b.vm, b.mode, b.incarnation);
  }
};

// What is lent. Values of one kind are added over parties.
struct loan_amount {
  double rate_per_s = 0;
  double cap = 0;
  std::int64_t permits = 0;
  // Permits of loans whose term is over may still be in use by running calls;
  // counted here (live permits included) until the hold time has passed.
  std::int64_t held_permits = 0;
};

// The loans of one organisation, either all given or all taken by this VM.
//
// A reply to a later request replaces the loan of the same party, but the
// lender can't know which replies arrived. Both sides therefore count, for each
// party, the maximum over the loans whose term is not over: the borrower uses
// one of them at a time, and the lender's maximum is never below it.
class loan_ledger {
 public:
  // Permits stay held for `permit_hold` after the end of a term.
  explicit loan_ledger(duration permit_hold) : permit_hold_(permit_hold) {}

  void Add(const loan_party& party, const loan_amount& amount, instant until);
  // Lowers the permits of all loans of a party to at most `permits`.
  void LimitPermits(const loan_party& party, std::int64_t permits);
  // Ends the rate and cap of all loans of a party.
  void EndRate(const loan_party& party);
  // Ends the terms of all loans of a VM; its permits stay held.
  void EndTerms(const std::string& vm, instant now);

  // Sums over all parties, of loans that last beyond `now`.
  loan_amount Total(instant now) const;
  loan_amount Total(grant_mode mode, instant now) const;
  loan_amount Of(const loan_party& party, instant now) const;
  bool IsEmpty() const { return loans_.empty(); }

  // Drops what is over and returns the next time at which a total changes.
  instant Expire(instant now);

 private:
  struct loan {
    loan_amount amount;
    instant until;
    instant held_until;
  };
  static void Add(const loan_amount& amount, loan_amount* total);
  static loan_amount Maximum(const std::vector<loan>& loans, instant now);

  duration permit_hold_;
  std::map<loan_party, std::vector<loan>> loans_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_LOAN_LEDGER_H_
