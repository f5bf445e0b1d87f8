#ifndef PIMENTOHALL_CORE_CONTRACT_ACCOUNT_H_
#define PIMENTOHALL_CORE_CONTRACT_ACCOUNT_H_

#include <cstdint>
#include <string>

#include "core/loan_ledger.h"
#include "core/token_bucket.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// This VM's share of a contract. All fields are zero while the VM may not use
// its share yet.
struct own_share {
  double rate_per_s = 0;
  double cap = 0;  // Share of the burst, in tokens.
  std::int64_t permits = 0;
  // Number of `permits` that are never lent, so that no earlier loan can hold
  // them.
  std::int64_t unlent_permits = 0;
};

// What a borrower declares in a request: how much it uses of the lender's
// earlier loans from then on.
struct loan_use {
  std::int64_t permits = 0;  // Maximum number of permits in use.
  bool ends_rate = false;    // The borrower stops using the rate and cap.
  double returned_tokens = 0;
};

// The part of one contract that one VM may use: its own share, plus what it
// borrowed, less what it lent. Enforces the conservation rules. It holds no
// state of other VMs and sends nothing.
//
// Invariants, over the accounts of an organisation in all VMs: the sum of the
// caps never exceeds the burst, and the sum of the rates never exceeds the
// rate. An account's tokens never exceed its cap. Only one account at a time
// can use a permit.
class contract_account {
 public:
  // Maximum time that a call holds a permit: the maximum deadline.
  static constexpr duration kMaxCallDuration = std::chrono::seconds(60);
  // Time after a loan's term when the lender uses its permits again. 5% more
  // than a call can last, for clock drift.
  static constexpr duration kPermitReclaimDelay =
      kMaxCallDuration + kMaxCallDuration / 20;

  explicit contract_account(instant now)
      : bucket_(now), borrowed_(kMaxCallDuration), lent_(kPermitReclaimDelay) {}

  void SetShare(const own_share& share, instant now);
  const own_share& Share() const { return share_; }

  // Advances the account to `now`: fills the bucket and expires loans. Must be
  // called before any other function that is called at `now`.
  void AdvanceTo(instant now);

  bool HasToken() const { return bucket_.Level() >= 1; }
  bool HasPermit() const { return in_use_ + 1 <= UsablePermits(); }
  void Take();
  // Returns the permit of a call, and its token if `refund`. Tokens of calls
  // that began before the bucket was last full are not returned: without such
  // a call, its token would have been lost to the cap. The account does not
  // know which call ends, so it refuses the first refunds after the bucket was
  // full, at most one for each call that was running then.
  void Release(bool refund);

  const token_bucket& Bucket() const { return bucket_; }
  std::int64_t InUse() const { return in_use_; }
  std::int64_t UsablePermits() const;
  bool IsIdle() const;  // No running call and no loan.
  const loan_amount& Borrowed() const { return borrowed_now_; }

  // Own share less what is lent to the home.
  loan_amount UnlentShare(instant now) const;
  // Own share plus the borrowed amounts that last beyond `until`.
  loan_amount Pool(instant until) const;

  // Lender: applies what a borrower declared.
  void ApplyDeclaredUse(const loan_party& borrower, const loan_use& use,
                        instant now);
  // Lender: number of permits that `borrower` could hold from `now` on, those
  // that it holds already included.
  std::int64_t LendablePermits(const loan_party& borrower, instant now) const;
  // Lender: lends up to `offer` until `now + term`, in place of the borrower's
  // earlier loans. The rate and cap in `kept` are not lent. Tokens are sent
  // only for the part by which the borrower's cap grows, so that the lender
  // doesn't use the cap that covers them while they are in transit.
  grant Lend(const loan_party& borrower, const loan_amount& offer,
             const loan_amount& kept, duration term, instant now);

  // Borrower: lowers its use of the permits that `lender` lent to
  // `requested_permits`, or to what running calls need if that is more. Stops
  // using the lent rate and cap if `ends_rate`. Returns what the request that
  // is sent now must declare.
  loan_use DeclareUse(const loan_party& lender, bool ends_rate,
                      std::int64_t requested_permits, instant now);
  // Borrower: adds a loan that it may use until `until`.
  void Accept(const loan_party& lender, const grant& loan, instant until,
              instant now);
  // Borrower: stops using everything that `vm` lent. Running calls keep their
  // permits.
  void EndTerms(const std::string& vm, instant now);
  // True if neither running calls nor the loans that this VM lent depend on
  // anything that `vm` lent.
  bool IsCoveredWithout(const std::string& vm, instant now) const;

 private:
  void Recompute(instant now);
  void CheckOverflow();
  // Permits that must stay with this VM: those of running calls, or the unlent
  // ones if they are more.
  std::int64_t PermitsNeededHere() const;

  own_share share_;
  token_bucket bucket_;
  loan_ledger borrowed_;
  loan_ledger lent_;
  loan_amount borrowed_now_;
  loan_amount lent_now_;
  instant next_change_ = instant::max();
  std::int64_t in_use_ = 0;
  // Upper bound of the number of running calls that began before the bucket was
  // last full.
  std::int64_t nonrefundable_calls_ = 0;
  std::uint64_t seen_overflows_ = 0;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_CONTRACT_ACCOUNT_H_
