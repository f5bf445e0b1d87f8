#ifndef PIMENTOHALL_CORE_CONTRACT_ALLOCATOR_H_
#define PIMENTOHALL_CORE_CONTRACT_ALLOCATOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/contract_account.h"
#include "core/demand_meter.h"
#include "core/fleet_shares.h"
#include "core/membership.h"
#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

enum class acquire_result {
  kAcquired,
  kWait,  // Tokens or permits were asked of the home VM; try again when
          // `Generation` changes, or give up after `kAcquireWait`.
  kRateExceeded,
  kConcurrencyExceeded,
};

// What the allocator asks about the other VMs.
struct fleet_directory {
  std::string self;
  // The home VM of an organisation; empty if there is none.
  std::function<std::string(const std::string& organisation, instant now)>
      home_of;
  std::function<bool(const std::string& vm, instant now)> is_usable;
};

// Keeps every organisation within its rate, burst and concurrency over all VMs
// together, without shared state: each VM owns a fixed share, and shares and
// tokens are lent by leases whose two uses never overlap.
//
//   acquire_result result = allocator.Acquire("yamaga", now, &actions);
//   if (result == acquire_result::kAcquired) { ...; allocator.Release(..); }
//
// Messages:
//   kShare   home -> every other VM: lend what you don't need of your share.
//   kTokens  busy VM -> home: lend from the pool; `tokens` is the number of
//            calls expected in one term. 0 ends the use of earlier loans; a
//            second item for the same organisation returns unused tokens and
//            also ends the use of earlier loans.
//   In both, `permits` states how many of the receiver's permits the sender
//   uses at most from then on, earlier loans included. So a request also
//   returns permits, and a doubled or late one does no harm: the receiver takes
//   each request identifier once and in order. `permit_return` carries no
//   identifier, so a doubled one could return permits twice; it is neither sent
//   nor obeyed.
//   kShare without organisations: start check. A starting VM asks every other
//   VM to stop using what its previous process lent; the item without a name
//   carries a hash of the VM list. The answer (a reply without grants) confirms
//   that the other VM holds the same list and needs nothing of the asker.
class contract_allocator {
 public:
  // Greatest time that a call waits for tokens from the home VM.
  static constexpr duration kAcquireWait = std::chrono::milliseconds(30);
  // In larger fleets a starting VM does not ask all others whether they hold
  // loans of its earlier run, but waits. Asking 2,200 VMs opened as many links
  // and kept the daemon from reading its configuration.
  static constexpr std::size_t kMaxStartCheckVms = 64;
  // VMs that a home asks in one round; in larger fleets the rounds take turns.
  static constexpr int kMaxGatherVms = 64;
  // Term of an idle VM's loan to the home, and time between its renewals.
  static constexpr duration kShareTerm = std::chrono::milliseconds(2500);
  static constexpr duration kShareRenewal = std::chrono::milliseconds(1000);
  // Term of the home's loan to a busy VM, and time between its renewals.
  static constexpr duration kTokenTerm = std::chrono::milliseconds(600);
  static constexpr duration kTokenRenewal = std::chrono::milliseconds(250);
  // A VM list reaches every live VM within this time.
  static constexpr duration kListLag = std::chrono::seconds(5);
  // A newly started or newly listed VM uses and lends no share before all
  // others have heard of it, and the loans have ended that they gave from their
  // larger shares or that its previous process gave.
  static constexpr duration kStartWait =
      kListLag + kShareTerm + std::chrono::milliseconds(500);
  // The same for permits, where running calls last beyond a loan's term.
  static constexpr duration kPermitStartWait =
      kStartWait + contract_account::kPermitReclaim;
  // A VM that was not run for longer may have missed changes of the VM list.
  static constexpr duration kPause = std::chrono::seconds(2);

  contract_allocator(fleet_directory directory, std::uint64_t incarnation,
                     instant start);
  // `members` must outlive this object.
  contract_allocator(membership* members, std::uint64_t incarnation,
                     instant start)
      : contract_allocator(
            {members->Self(),
             [members](const std::string& organisation, instant now) {
               return members->HomeOf(organisation, now);
             },
             [members](const std::string& vm, instant now) {
               return members->IsUsable(vm, now);
             }},
            incarnation, start) {}

  void SetConfig(const config::config_set& set, instant now) {
    SetOrganisations({set.Organisations().begin(), set.Organisations().end()},
                     now);
  }
  void SetOrganisations(const std::vector<config::organisation>& organisations,
                        instant now);
  void SetVms(const config::vm_list& vms, instant now);

  // Takes one token and one permit for a call, or says why not.
  acquire_result Acquire(const std::string& organisation, instant now,
                         actions* out);
  // Returns the permit. `refund` returns the token too: the call did not run.
  void Release(const std::string& organisation, bool refund, instant now);

  // Grows when a loan arrives; waiting calls then try again.
  std::uint64_t Generation() const { return generation_; }
  // False while this VM, just started or listed, may not use its own share yet.
  // Until then it depends on loans for every call.
  bool UsesOwnShare() const { return share_in_use_; }
  // Time until the next token is likely, for Retry-After.
  duration RetryAfter(const std::string& organisation, instant now) const;

  void OnMessage(const std::string& vm, const message& body, instant now,
                 actions* out);
  void Tick(instant now, actions* out);
  // At most `kTick` after the last tick.
  static constexpr duration kTick = std::chrono::milliseconds(100);
  instant NextWake() const { return next_wake_; }

  // One line of state for dumps.
  struct view {
    std::string organisation;
    double rate_per_s = 0;  // In use here now, loans included.
    double burst = 0;
    double tokens = 0;
    std::int64_t permits = 0;
    std::int64_t in_use = 0;
    std::string home;
  };
  std::vector<view> View(instant now) const;

 private:
  // What another VM last asked of this one as the home.
  struct remote_demand {
    double rate_per_s = 0;
    std::int64_t permits = 0;
    instant at;
  };

  // The newest request of a borrower; older and doubled ones are refused.
  struct request_mark {
    std::uint64_t id = 0;
    instant at;
  };

  struct organisation_state {
    explicit organisation_state(instant now) : account(now) {}

    std::string name;
    config::contract limits;
    bool removed = false;
    contract_account account;
    demand_meter demand;
    instant last_call = instant::min();
    std::int64_t peak_in_use = 0;  // In this second and the one before.
    std::int64_t previous_peak = 0;
    instant peak_since;
    // Calls told to wait since the last answer, for tokens and for permits.
    std::int64_t waiting_tokens = 0;
    std::int64_t waiting_permits = 0;
    // As a borrower.
    std::int64_t asked_calls = 0;  // By the newest request, if pooled.
    std::map<loan_party, std::uint64_t> latest_request;
    instant denied_until = instant::min();
    instant asked_home_at = instant::min();
    // As the home.
    std::map<std::string, remote_demand> demands;
    instant gathered_at = instant::min();
    int open_gathers = 0;    // Share requests without an answer.
    std::string last_asked;  // VM of the last gather; the next one follows.
    // As a lender.
    std::map<loan_party, request_mark> last_request;
  };

  struct pending_request {
    loan_party party;
    instant sent;
    bool gave_up = false;  // No answer in time; calls no longer wait for it.
    std::set<std::string> organisations;
  };

  struct deferred_reply {
    std::string vm;
    grant_request request;
    instant deadline;
  };

  static constexpr int kRequestCounterBits = 32;

  enum class gather { kUrgent, kRenewal, kEnd };

  using batch = std::map<std::string, std::vector<grant_item>>;

  organisation_state* Find(const std::string& organisation);
  const organisation_state* Find(const std::string& organisation) const;

  // Shares.
  void RefreshShares(instant now);
  void RefreshShare(organisation_state* state, instant now);
  void NoteRunning(instant now);

  // Borrowing.
  acquire_result WaitOrRefuse(organisation_state* state, acquire_result refusal,
                              instant now, actions* out);
  bool AskHome(organisation_state* state, const std::string& home, instant now,
               actions* out);
  bool Gather(organisation_state* state, instant now, actions* out);
  // `urgent`: a call waits.
  double WantedRate(organisation_state* state, bool urgent, instant now);
  std::int64_t WantedPermits(organisation_state* state, bool urgent,
                             instant now);
  std::int64_t PooledPermitsWanted(organisation_state* state, bool urgent,
                                   instant now);
  static bool IsIdle(organisation_state* state, instant now);
  // True for a small contract, whose shares admit too few calls in a row to be
  // used apart: its VMs lend all tokens to the home and ask for each call.
  bool IsPooled(const organisation_state& state) const;
  // True if an answer to `vm` is awaited that calls may still wait for.
  bool IsAwaiting(const organisation_state& state, const std::string& vm,
                  instant now) const;
  // Loans that no call here needs, of a pooled organisation.
  static bool HasSurplus(const organisation_state& state, instant now);
  // Lowers the use of the lender's loans and states it.
  static void AddItem(organisation_state* state, const loan_party& lender,
                      double wanted_tokens, std::int64_t wanted_permits,
                      instant now, std::vector<grant_item>* items);
  void AddTokenItem(organisation_state* state, const std::string& home,
                    bool urgent, instant now, batch* items);
  void AddGatherItems(organisation_state* state, gather why, instant now,
                      batch* items);
  void Send(grant_mode mode, const batch& items, instant now, actions* out);
  void OnReply(const std::string& vm, const grant_reply& reply, instant now);
  void FinishWait(organisation_state* state, const loan_party& party,
                  instant now);

  // Lending.
  void OnRequest(const std::string& vm, const grant_request& request,
                 instant now, actions* out);
  bool IsGathering(const organisation_state& state, instant now) const;
  bool NeedsGather(organisation_state* state, instant now);
  void Answer(const std::string& vm, const grant_request& request, instant now,
              actions* out);
  grant LendShare(organisation_state* state, const loan_party& borrower,
                  const grant_item& item, instant now);
  grant LendFromPool(organisation_state* state, const loan_party& borrower,
                     const grant_item& item, instant now);
  static double RemoteDemand(const organisation_state& state, instant now);
  void AnswerDeferred(instant now, actions* out);

  // Start check.
  std::uint64_t ListHash() const;
  bool IsStarting(instant now) const;
  std::set<std::string> MissingConfirmations() const;
  // Takes the own share into use once all VMs have confirmed.
  void EndStartCheck(instant now);
  void SendStartChecks(instant now, actions* out);
  void OnStartCheck(const std::string& vm, const grant_request& request,
                    instant now, actions* out);

  // Ticks.
  void TickOrganisation(organisation_state* state, instant now, batch* to_homes,
                        batch* to_sharers);
  bool IsPoolActive(organisation_state* state, instant now);
  // Whether the pool has what a pooled organisation's borrower asks for.
  bool PoolCovers(const std::string& vm, const grant_request& request,
                  instant now);
  void DropOld(instant now);

  fleet_directory directory_;
  fleet_shares shares_;
  std::uint64_t id_prefix_;
  std::uint64_t last_id_;
  std::uint64_t generation_ = 0;
  std::unordered_map<std::string, std::unique_ptr<organisation_state>> states_;
  std::vector<organisation_state*> ordered_;  // By name, for equal outputs.
  std::map<std::uint64_t, pending_request> pending_;
  std::vector<deferred_reply> deferred_;

  instant last_run_;
  instant next_wake_;
  instant share_from_ = instant::max();  // Own share is usable from then on.
  instant permits_from_ = instant::max();
  bool share_in_use_ = false;
  bool permits_in_use_ = false;
  // Start check; not used after a pause.
  bool start_check_ = true;
  std::set<std::string> confirmed_by_;
  instant start_checked_at_ = instant::min();
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_CONTRACT_ALLOCATOR_H_
