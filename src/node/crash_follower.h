#ifndef PIMENTOHALL_NODE_CRASH_FOLLOWER_H_
#define PIMENTOHALL_NODE_CRASH_FOLLOWER_H_

// Keeps what this daemon knows of crashes as complete as what its peers know.
//
// News carry a crash to all daemons, for some seconds after it. A daemon that
// starts later asks a peer, one that started before it if possible, for what it
// holds, until one answers that was told of all itself or was among the first;
// so the knowledge outlasts daemons that are replaced in turn. A daemon that
// was out of touch with a peer asks that peer once they are in touch again.
// Each request is answered from memory, with some bytes for each crash.

#include <optional>
#include <set>
#include <string>

#include "node/egress.h"
#include "node/peer_follower.h"

namespace pimentohall::node {

class crash_follower {
 public:
  crash_follower(fleet_state& fleet, egress& egress, peer_transport& transport);

  // Asks a peer if there is something to learn. To be called when news arrive
  // from a daemon for the first time, and periodically.
  void Check();
  // News arrive from this daemon again, after a silence.
  void OnPeerReturned(const std::string& address);
  // Answers a peer's request, which its `Check` sent.
  std::string Answer() const;

 private:
  // Whether this daemon can tell others of all crashes.
  bool IsComplete(instant now) const;
  // The address of a peer to ask; empty: none.
  std::string FindPeer(instant now) const;
  void OnAnswer(const std::string& peer,
                const std::optional<std::string>& answer);

  fleet_state& fleet_;
  egress& egress_;
  peer_transport& transport_;
  bool is_introduced_ = false;      // A peer that knows all has answered.
  std::set<std::string> returned_;  // Peers to ask, as they were out of touch.
  bool asking_ = false;
  instant due_{};
  duration retry_delay_;
  std::uint64_t rotation_ = 0;  // Spreads the requests over the peers.
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_CRASH_FOLLOWER_H_
