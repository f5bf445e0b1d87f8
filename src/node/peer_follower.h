#ifndef PIMENTOHALL_NODE_PEER_FOLLOWER_H_
#define PIMENTOHALL_NODE_PEER_FOLLOWER_H_

// Keeps this daemon's copy of the source level with what its peers know.
//
// News tell the newest change that each peer holds. When one holds more than
// this daemon, the missing items of upstreams are fetched from a peer, one of
// the own zone if possible: they are small, and bytes between zones cost more
// than a short wait. The settings are one large value, so they are read from
// the source, and from a peer only if the source doesn't answer this daemon.

#include <map>
#include <string>

#include "node/fleet_state.h"
#include "node/source_mirror.h"

namespace pimentohall::node {

class peer_follower {
 public:
  peer_follower(fleet_state& fleet, source_mirror& mirror);

  // A peer's news came, or some time has passed.
  void Check();
  // Answers a peer's question, made by `Check` there.
  std::string Answer(const std::string& target);

 private:
  struct area_progress {
    std::optional<instant> behind_since;
    bool fetching = false;
    int failures = 0;  // In a row, of peers.
    // A peer had no patch for a large value, so that it is needed whole.
    bool needs_whole = false;
  };

  void CatchUp(source_area area, area_progress* progress, instant now);
  // The items that changed, unless that is more than this daemon may send now.
  std::string AnswerFull(source_area area, std::uint64_t since);
  // A peer that holds more of the area than this daemon; empty: none.
  std::string FindPeerAhead(source_area area, instant now);
  void Fetch(source_area area, area_progress* progress,
             const std::string& peer);
  void OnNoItems(source_area area, area_progress* progress,
                 const std::string& peer, bool answered);

  fleet_state& fleet_;
  source_mirror& mirror_;
  net::http_client client_;
  std::map<source_area, area_progress> progress_;
  std::uint64_t peer_rotation_ = 0;  // Spreads the questions over the peers.
  instant large_answer_sent_at_{};
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_PEER_FOLLOWER_H_
