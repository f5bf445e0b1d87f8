#ifndef PIMENTOHALL_NODE_INGRESS_H_
#define PIMENTOHALL_NODE_INGRESS_H_

// Takes calls of callers on this VM, its upstream's own calls included, and
// answers each exactly once.
//
// At most once: a call that isn't idempotent is forwarded again only after the
// daemon or the upstream that had it said that it didn't run. Statuses that
// promise "not run" (429, 503) are sent only on such words, or if nothing was
// forwarded.

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
  // Answers from now on ask callers to close their connections.
  void BeginStop();
  // Closes idle connections and refuses new ones.
  void StopListening();
  std::size_t Pending() const { return calls_.size(); }
  std::size_t Connections() const { return server_.Connections(); }
  // The daemon at this address started anew or is gone: what it had is lost.
  void OnPeerRestarted(const std::string& address);
  void OnConfiguration();

 private:
  struct call;
  using call_ptr = std::shared_ptr<call>;

  void OnRequest(const std::shared_ptr<stream::connection>& conn,
                 stream::message_head head);
  // Fills in route and tenant; false if the call was refused.
  bool Authorise(const call_ptr& which, const std::string& key);
  void OnBody(const call_ptr& which, std::string_view bytes);
  void OnBodyEnd(const call_ptr& which);
  void Admit(const call_ptr& which);
  void TryNext(const call_ptr& which);
  std::vector<mesh::target_picker::candidate> Candidates(const call& which,
                                                         instant now) const;
  bool IsAllowedRegion(const call& which, const std::string& zone) const;
  void Forward(const call_ptr& which, const std::string& upstream,
               const std::string& address);
  call_header HeaderOf(const call& which, const std::string& upstream,
                       instant now) const;

  void OnAnswerHead(const call_ptr& which, stream::message_head head);
  void OnAnswerData(const call_ptr& which, std::string_view bytes);
  void OnAnswerEnd(const call_ptr& which);
  void OnOutcome(const call_ptr& which);
  void OnRefused(const call_ptr& which, const outcome_header& told);
  void OnShed(const call_ptr& which);
  void OnMayHaveRun(const call_ptr& which, core::reason why);
  void OnAttemptFailed(const call_ptr& which, stream::failure why);
  void ResolveLost(const call_ptr& which);
  bool MayRepeat(const call_ptr& which, instant now);

  void Relay(const call_ptr& which);
  // Passes on a failure that was kept; false if there is none.
  bool RelayFailure(const call_ptr& which);
  void Refuse(const call_ptr& which, int status, core::reason why,
              duration retry_after);
  void RefuseAsFull(const call_ptr& which, core::reason why);
  void Finish(const call_ptr& which, int status, const char* source,
              core::reason why);
  void OnCallerGone(const call_ptr& which);
  void OnDeadline(const call_ptr& which);

  fleet_state& fleet_;
  stream::server server_;
  stream::client_pool pool_;
  net::http_client questions_;
  std::unordered_map<stream::connection*, call_ptr> calls_;
  std::uint64_t last_attempt_ = 0;
  bool stopping_ = false;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_INGRESS_H_
