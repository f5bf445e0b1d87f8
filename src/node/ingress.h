#ifndef PIMENTOHALL_NODE_INGRESS_H_
#define PIMENTOHALL_NODE_INGRESS_H_

// Accepts calls from callers on this VM, including calls made by its upstream,
// and answers each exactly once.
//
// At-most-once execution: a call that isn't idempotent is forwarded again only
// after the daemon or the upstream that received it reported that it didn't
// run. Statuses that promise "not run" (429, 503) are sent only after such a
// report, or if nothing was forwarded.

#include <functional>
#include <memory>
#include <unordered_map>

#include "node/call_header.h"
#include "node/fleet_state.h"
#include "pimentohall/stream.h"

namespace pimentohall::node {

class ingress {
 public:
  explicit ingress(fleet_state& fleet);
  ~ingress();

  tl::expected<int, std::string> Listen();
  // From now on, answers tell callers to close their connections.
  void BeginStop();
  // Closes idle connections and refuses new ones. From now on, callers use
  // other daemons.
  void StopListening();
  // In a planned stop: refuses calls that still wait before an upstream and
  // can't be answered any more before the process ends.
  void WithdrawHopelessCalls();
  // Answers all pending calls whose answer hasn't begun.
  void EndPendingCalls();
  std::size_t Pending() const { return calls_.size(); }
  std::size_t Connections() const { return server_.Connections(); }
  const stream::server& Server() const { return server_; }
  // The daemon at this address restarted: the attempts it held are lost.
  void OnPeerRestarted(const std::string& address);
  void OnConfiguration();

 private:
  struct call;
  using call_ptr = std::shared_ptr<call>;

  void OnRequest(const std::shared_ptr<stream::server_exchange>& inbound,
                 stream::message_head head);
  bool IsNested(const call& call, bool has_no_key);
  // Fills in route and tenant; false if the call was refused.
  bool Authorise(const call_ptr& call, const std::string& key);
  void OnBody(const call_ptr& call, std::string_view bytes);
  void OnBodyEnd(const call_ptr& call);
  void Admit(const call_ptr& call);
  void EndOversized(const call_ptr& call);
  static duration UsefulTime(const call& call);
  void OnNestedCall(const call& call, instant now);
  // Refuses a caller's call if the services that its run would call are full;
  // true if it did.
  bool RefuseForCallees(const call_ptr& call, instant now);
  std::optional<duration> CalleeWait(const std::string& service,
                                     instant now) const;
  void StartNextAttempt(const call_ptr& call);
  // A nested call is refused only after all upstreams refused it: waits for
  // untried ones that are in backoff. False if there are none.
  bool WaitForUntried(
      const call_ptr& call,
      const std::vector<mesh::target_picker::candidate>& candidates);
  bool IsSpared(const call& call) const;
  std::vector<mesh::target_picker::candidate> Candidates(const call& call,
                                                         instant now) const;
  bool IsAllowedRegion(const call& call, const std::string& zone) const;
  int RankOf(const call& call) const;
  // Whether an upstream may take a call of this rank at present.
  bool IsRankTaken(
      const call& call,
      const std::vector<mesh::target_picker::candidate>& candidates,
      instant now);
  // The Retry-After of a call that wasn't run.
  duration RetryAfter(const call& call, instant now);
  bool CantEndBeforeStop(const call& call, instant now) const;
  bool MightOutlastStop(const call& call) const;
  void Forward(const call_ptr& call, const std::string& upstream,
               const std::string& address);
  void CountTraffic(int tag, const stream::request_traffic& traffic);
  // Bytes of the request's body, as far as they are known.
  static std::size_t RequestBytes(const call& call);
  void SendBody(const call_ptr& call);
  void PredictCost(call* call, instant now) const;
  void ObserveCost(const call& call, instant now);
  call_header BuildCallHeader(const call& call, const std::string& upstream,
                              instant now) const;

  void OnAnswerHead(const call_ptr& call, stream::message_head head);
  void OnAnswerData(const call_ptr& call, std::string_view bytes);
  void OnAnswerEnd(const call_ptr& call);
  void OnOutcome(const call_ptr& call);
  // Learns from an attempt's times how long calls to its upstream are on the
  // way.
  void ObserveTransit(const call& call);
  void OnRefused(const call_ptr& call, const outcome_header& outcome_info);
  void OnShed(const call_ptr& call);
  void OnMayHaveRun(const call_ptr& call, core::reason reason);
  void OnAttemptFailed(const call_ptr& call, stream::failure failure);
  void ResolveLostAttempt(const call_ptr& call);
  // Asks whether the current attempt ran, and bars it if it didn't. `done` is
  // called unless the call has ended or is at another attempt by then.
  void QueryAttempt(const call_ptr& call,
                    const std::function<void(bool not_run)>& done);
  void WithdrawAttempt(const call_ptr& call);
  bool MayRetry(const call_ptr& call, instant now);

  void Relay(const call_ptr& call);
  // Relays the failed answer that was kept; returns false if there is none.
  bool RelayFailedAnswer(const call_ptr& call);
  void Refuse(const call_ptr& call, int status, core::reason reason,
              duration retry_after);
  void RefuseUnavailable(const call_ptr& call, core::reason reason);
  void Finish(const call_ptr& call, int status, const char* source,
              core::reason reason);
  void OnCallerDisconnected(const call_ptr& call);
  void OnDeadline(const call_ptr& call);
  // Ends a call that can't be waited for any longer.
  void EndUnanswered(const call_ptr& call, core::reason reason);

  fleet_state& fleet_;
  stream::server server_;
  stream::client_pool pool_;
  net::http_client attempt_queries_;
  std::unordered_map<stream::server_exchange*, call_ptr> calls_;
  std::uint64_t last_attempt_ = 0;
  bool controls_overload_ = false;  // As of the configuration in force.
  std::uint64_t gate_key_ = 0;
  bool stopping_ = false;
  bool handed_over_ = false;  // `StopListening` was called.
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_INGRESS_H_
