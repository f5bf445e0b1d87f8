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
  kWait,  // Tokens or permits were requested from other VMs. Try again when
          // `Generation` changes; refuse the call after `kAcquireTimeout`.
  kRateExceeded,
  kConcurrencyExceeded,
};

// What the allocator needs to know about the other VMs.
struct fleet_directory {
  std::string self;
  // The home VM of an organisation; empty if there is none.
  std::function<std::string(const std::string& organisation, instant now)>
      home_of;
  std::function<bool(const std::string& vm, instant now)> is_usable;
};

// Keeps every organisation within its rate, burst and concurrency, summed over
// all VMs, without shared state. Each VM owns a share, which depends only on
// the VM list and the contract. Shares and tokens are lent for a limited time;
// the lender and the borrower never use a loan at the same time.
//
//   acquire_result result = allocator.Acquire("yamaga", now, &actions);
//   if (result == acquire_result::kAcquired) { ...; allocator.Release(..); }
//
// Messages:
//   kShare   home -> every other VM: asks for the part of the receiver's share
//            that it doesn't need. `tokens` is the rate of the contract; 0
//            ends the use of the rate and cap of earlier loans.
//   kTokens  busy VM -> home: asks for a loan from the pool. `tokens` is the
//            number of calls expected in one term; 0 ends the use of the rate
//            and cap of earlier loans. A second item for the same organisation
//            returns unused tokens and ends that use too.
//   In both, `permits` is the maximum number of the receiver's permits that the
//   sender uses from then on, earlier loans included. So a request also returns
//   permits. A duplicate or late request does no harm, because the receiver
//   accepts each request identifier once and in order. `permit_return` carries
//   no identifier, so a duplicate could return permits twice; it is never sent,
//   and ignored when received.
//   kShare without organisations: start check. A starting VM asks every other
//   VM to stop using what its previous process lent. The item without a name
//   carries a hash of the VM list. The answer, a reply without grants, confirms
//   that the other VM has the same list and uses no loan of the sender.
class contract_allocator {
 public:
  // Maximum time that a call waits for tokens or permits from other VMs.
  static constexpr duration kAcquireTimeout = std::chrono::milliseconds(30);
  // Maximum fleet size for start checks. In larger fleets a starting VM waits
  // until the loans of its previous process have ended: start checks to 2,200
  // VMs opened as many links and kept the daemon from reading its
  // configuration.
  static constexpr std::size_t kMaxStartCheckVms = 64;
  // Maximum number of VMs that a home asks for shares in one round. In larger
  // fleets each round continues after the last VM of the round before.
  static constexpr int kMaxGatherVms = 64;
  // Term of an idle VM's loan to the home, and time between its renewals.
  static constexpr duration kShareTerm = std::chrono::milliseconds(2500);
  static constexpr duration kShareRenewalInterval =
      std::chrono::milliseconds(1000);
  // Term of the home's loan to a busy VM, and time between its renewals.
  static constexpr duration kTokenTerm = std::chrono::milliseconds(600);
  static constexpr duration kTokenRenewalInterval =
      std::chrono::milliseconds(250);
  // Maximum time until a new VM list has reached every live VM.
  static constexpr duration kMaxListDelay = std::chrono::seconds(5);
  // A newly started or newly listed VM doesn't use or lend its share before all
  // other VMs have the list that names it, and these loans have ended: those
  // that other VMs made from their larger shares before that list, and those of
  // its own previous process.
  static constexpr duration kStartDelay =
      kMaxListDelay + kShareTerm + std::chrono::milliseconds(500);
  // The delay for permits is longer, since running calls hold them beyond a
  // loan's term.
  static constexpr duration kPermitStartDelay =
      kStartDelay + contract_account::kPermitReclaimDelay;
  // A VM whose process was suspended for longer than this may have missed
  // changes of the VM list.
  static constexpr duration kPauseThreshold = std::chrono::seconds(2);

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

  // Takes one token and one permit for a call, or returns why it can't.
  acquire_result Acquire(const std::string& organisation, instant now,
                         actions* out);
  // Returns the permit of a call, and its token if `refund`: the call did not
  // run.
  void Release(const std::string& organisation, bool refund, instant now);

  // Changes when a reply arrives; waiting calls then try again.
  std::uint64_t Generation() const { return generation_; }
  // False while this VM may not use its own share: after a start or a pause,
  // and while it is newly listed or not listed. Until then every call needs a
  // loan.
  bool UsesOwnShare() const { return share_usable_; }
  // Estimated time until the next token is available, for Retry-After.
  duration RetryAfter(const std::string& organisation, instant now) const;

  void OnMessage(const std::string& vm, const message& body, instant now,
                 actions* out);
  void Tick(instant now, actions* out);
  // Maximum time between ticks.
  static constexpr duration kTickInterval = std::chrono::milliseconds(100);
  instant NextWake() const { return next_wake_; }

  // State of one organisation, for dumps.
  struct view {
    std::string organisation;
    double rate_per_s = 0;  // Usable on this VM, loans included.
    double burst = 0;
    double tokens = 0;
    std::int64_t permits = 0;
    std::int64_t in_use = 0;
    std::string home;
  };
  std::vector<view> View(instant now) const;

 private:
  // What another VM last requested from this one as the home.
  struct remote_demand {
    double rate_per_s = 0;
    std::int64_t permits = 0;
    instant received_at;
  };

  // The newest request of a borrower. Older and duplicate ones are ignored.
  struct received_request {
    std::uint64_t id = 0;
    instant received_at;
  };

  struct organisation_state {
    explicit organisation_state(instant now) : account(now) {}

    std::string name;
    config::contract limits;
    bool removed = false;
    contract_account account;
    demand_meter demand;
    instant last_call = instant::min();
    // Maximum number of running calls in the current window of one second and
    // in the previous one.
    std::int64_t peak_in_use = 0;
    std::int64_t previous_peak = 0;
    instant peak_window_start;
    // Calls that were made to wait since the last answer, for tokens and for
    // permits.
    std::int64_t waiting_tokens = 0;
    std::int64_t waiting_permits = 0;
    // As a borrower.
    // Number of waiting calls that the newest request to the home was for; only
    // set for a pooled organisation.
    std::int64_t requested_calls = 0;
    // Identifier of the newest request to each lender.
    std::map<loan_party, std::uint64_t> last_sent;
    // Until then calls are refused without a request to the home.
    instant backoff_until = instant::min();
    instant last_home_request_at = instant::min();
    // As the home.
    std::map<std::string, remote_demand> demands;  // By VM.
    instant last_gather_at = instant::min();
    int open_gathers = 0;  // Unanswered share requests of the last round.
    // Last VM of the last round. The next round starts after it.
    std::string last_gather_vm;
    // As a lender.
    std::map<loan_party, received_request> last_received;
  };

  struct pending_request {
    loan_party party;
    instant sent;
    bool timed_out = false;  // No answer within `kAcquireTimeout`; calls no
                             // longer wait for it.
    std::set<std::string> organisations;
  };

  struct deferred_reply {
    std::string vm;
    grant_request request;
    instant deadline;  // The reply is sent then at the latest.
  };

  // Lower bits of a request identifier, which count the requests. The upper
  // ones are a hash of the incarnation.
  static constexpr int kRequestCounterBits = 32;

  enum class gather_reason { kUrgent, kRenewal, kEnd };

  // Items by receiving VM, to be sent in one request each.
  using batch = std::map<std::string, std::vector<grant_item>>;

  organisation_state* Find(const std::string& organisation);
  const organisation_state* Find(const std::string& organisation) const;

  // Shares.
  void RefreshShares(instant now);
  void RefreshShare(organisation_state* state, instant now);
  // Called at each entry. After a pause, delays the use of the own share.
  void DetectPause(instant now);

  // Borrowing.
  acquire_result WaitOrRefuse(organisation_state* state, acquire_result refusal,
                              instant now, actions* out);
  // True if the call can wait for an answer of the home.
  bool RequestFromHome(organisation_state* state, const std::string& home,
                       instant now, actions* out);
  // Asks other VMs for their shares. True if answers are awaited.
  bool GatherShares(organisation_state* state, instant now, actions* out);
  // Rate and permits that this VM needs beyond its own unlent share. `urgent`:
  // a call waits.
  double RateToRequest(organisation_state* state, bool urgent, instant now);
  std::int64_t PermitsToRequest(organisation_state* state, bool urgent,
                                instant now);
  // Permits that the home needs in its pool, for itself and the borrowers.
  std::int64_t PoolPermitTarget(organisation_state* state, bool urgent,
                                instant now);
  static bool IsIdle(organisation_state* state, instant now);
  // True for a small contract, whose shares per VM admit too few calls in a
  // row. Its VMs lend all tokens to the home and request a token for each call.
  bool IsPooled(const organisation_state& state) const;
  // True if an answer of `vm` is outstanding that calls may still wait for.
  bool IsAwaiting(const organisation_state& state, const std::string& vm,
                  instant now) const;
  // True if this VM holds loans of a pooled organisation that no call needs.
  static bool HasSurplus(const organisation_state& state, instant now);
  // Lowers the use of the lender's loans and adds an item that declares it.
  static void AddItem(organisation_state* state, const loan_party& lender,
                      double requested_tokens, std::int64_t requested_permits,
                      instant now, std::vector<grant_item>* items);
  void AddTokenItem(organisation_state* state, const std::string& home,
                    bool urgent, instant now, batch* items);
  void AddGatherItems(organisation_state* state, gather_reason reason,
                      instant now, batch* items);
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
  // Makes the own share usable once all VMs have confirmed.
  void EndStartCheck(instant now);
  void SendStartChecks(instant now, actions* out);
  void OnStartCheck(const std::string& vm, const grant_request& request,
                    instant now, actions* out);

  // Ticks.
  void TickOrganisation(organisation_state* state, instant now, batch* to_homes,
                        batch* to_lenders);
  bool IsPoolActive(organisation_state* state, instant now);
  // True if the pool has a token and the requested permits for each pooled
  // organisation of the request.
  bool PoolCovers(const std::string& vm, const grant_request& request,
                  instant now);
  void DropExpired(instant now);

  fleet_directory directory_;
  fleet_shares shares_;
  std::uint64_t id_prefix_;
  std::uint64_t last_id_;
  std::uint64_t generation_ = 0;
  std::unordered_map<std::string, std::unique_ptr<organisation_state>> states_;
  // Sorted by name, so that the order of actions is deterministic.
  std::vector<organisation_state*> sorted_states_;
  std::map<std::uint64_t, pending_request> pending_;
  std::vector<deferred_reply> deferred_;

  instant last_run_;
  instant next_wake_;
  // Times from which the own rate and cap, and the own permits, are usable.
  instant share_usable_from_ = instant::max();
  instant permits_usable_from_ = instant::max();
  bool share_usable_ = false;
  bool permits_usable_ = false;
  // Start checks are not sent after a pause.
  bool start_check_enabled_ = true;
  std::set<std::string> confirmed_by_;
  instant last_start_check_at_ = instant::min();
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_CONTRACT_ALLOCATOR_H_
