#ifndef PIMENTOHALL_CORE_CONTRACT_ACCOUNT_H_
#define PIMENTOHALL_CORE_CONTRACT_ACCOUNT_H_

#include <cstdint>
#include <string>

#include "core/loan_ledger.h"
#include "core/token_bucket.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// This VM's own part of a contract. All zero while it must not be used yet.
struct own_share {
  double rate_per_s = 0;
  double cap = 0;
  std::int64_t permits = 0;
  // Permits that are never lent, so that no earlier loan can hold them.
  std::int64_t unlent_permits = 0;
};

// A borrower's statement on what it uses of a lender's loans from its request
// on.
struct loan_use {
  std::int64_t permits = 0;  // At most so many.
  bool ends_rate = false;    // No rate or cap any more.
  double returned_tokens = 0;
};

// What one VM may use of one contract: its own share, plus loans taken, less
// loans given. Enforces the conservation rules; knows no peers' states and
// sends nothing.
//
// Invariants: the caps of all accounts of an organisation, in any VM, together
// never exceed the burst, nor their rates the rate; tokens never exceed caps;
// each permit can be used by one account at a time.
class contract_account {
 public:
  // Greatest time that a call keeps a permit (greatest deadline).
  static constexpr duration kMaxCall = std::chrono::seconds(60);
  // The lender adds 5% for clock drift.
  static constexpr duration kPermitReclaim = kMaxCall + kMaxCall / 20;

  explicit contract_account(instant now)
      : bucket_(now), taken_(kMaxCall), given_(kPermitReclaim) {}

  void SetShare(const own_share& share, instant now);
  const own_share& Share() const { return share_; }

  // Applies the passing of time: fills the bucket and ends loans. Every other
  // function expects a settled account.
  void Settle(instant now);

  bool HasToken() const { return bucket_.Level() >= 1; }
  bool HasPermit() const { return in_use_ + 1 <= UsablePermits(); }
  void Take();
  // A refund of a call that began before the bucket was last full gives nothing
  // back: without that call, its token would have been lost to the cap.
  void Release(bool refund);

  const token_bucket& Bucket() const { return bucket_; }
  std::int64_t InUse() const { return in_use_; }
  std::int64_t UsablePermits() const;
  bool IsIdle() const;  // No call, no loan.
  const loan_amount& Taken() const { return taken_now_; }

  // Own share less what the home has of it.
  loan_amount OwnLeft(instant now) const;
  // Own share plus loans taken, of those that last beyond `until`.
  loan_amount Pool(instant until) const;

  // Lender: applies a borrower's statement.
  void OnDeclared(const loan_party& borrower, const loan_use& use, instant now);
  // Lender: the permits that `borrower` could have from `now` on.
  std::int64_t LendablePermits(const loan_party& borrower, instant now) const;
  // Lender: gives up to `offer` until `now + term`, replacing what the borrower
  // had, but nothing of `kept` (rate and cap). Tokens go only with a cap that
  // grows, so that the cap that covers them is held back here while they are
  // under way.
  grant Lend(const loan_party& borrower, const loan_amount& offer,
             const loan_amount& kept, duration term, instant now);

  // Borrower: lowers its use of what `lender` lent to `wanted_permits`, or more
  // if running calls need them, and ends the use of rate and cap if asked to.
  // Returns what to state in the request that goes out now.
  loan_use Declare(const loan_party& lender, bool ends_rate,
                   std::int64_t wanted_permits, instant now);
  // Borrower: takes a loan until `until`.
  void Accept(const loan_party& lender, const grant& loan, instant until,
              instant now);
  // Borrower: stops using everything that `vm` lent.
  void EndTerms(const std::string& vm, instant now);
  // True if calls and loans given don't depend on anything that `vm` lent.
  bool IsCoveredWithout(const std::string& vm, instant now) const;

 private:
  void Recompute(instant now);
  void NoteOverflow();
  // Permits that calls here use or may come to use without a loan.
  std::int64_t PermitsNeededHere() const;

  own_share share_;
  token_bucket bucket_;
  loan_ledger taken_;
  loan_ledger given_;
  loan_amount taken_now_;
  loan_amount given_now_;
  instant next_change_ = instant::max();
  std::int64_t in_use_ = 0;
  // At most so many running calls began before the bucket was last full.
  std::int64_t not_refundable_ = 0;
  std::uint64_t overflows_ = 0;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_CONTRACT_ACCOUNT_H_
