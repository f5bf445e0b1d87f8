#ifndef PIMENTOHALL_NODE_PEER_FOLLOWER_H_
#define PIMENTOHALL_NODE_PEER_FOLLOWER_H_

// Keeps this daemon's copy of the source as current as its peers' copies.
//
// News report the newest change that each peer holds. When a peer is ahead of
// this daemon, the missing items of upstreams are fetched from a peer, one of
// the own zone if possible: they are small, and traffic between zones costs
// more than a short wait. The settings are one large value. They are fetched
// from a peer as patches; if no patch is available, they are read from the
// source, or whole from a peer if the source doesn't answer this daemon. When
// the copies still differ after that, the list of all items is fetched.

#include <map>
#include <string>

#include "node/fleet_state.h"
#include "node/source_mirror.h"

namespace pimentohall::node {

class peer_follower {
 public:
  peer_follower(fleet_state& fleet, source_mirror& mirror);

  // Starts fetches where a peer is ahead. To be called when news arrive, and
  // periodically.
  void Check();
  // Answers a peer's request, which its `Check` sent.
  std::string Answer(const std::string& target);

 private:
  struct area_progress {
    std::optional<instant> behind_since;
    bool fetching = false;
    int failures = 0;  // Consecutive failures of peers.
    // A peer answered a request for settings without items that fit (it may
    // lack a patch for a large value), so the whole value is needed.
    bool needs_whole = false;
    // The changes were applied, and this daemon's items still weren't the
    // peer's, so the list of all items is needed.
    bool needs_list = false;
  };

  void CatchUp(source_area area, area_progress* progress, instant now);
  static source_mirror::export_form NextForm(source_area area,
                                             const area_progress& progress);
  // An area's items with large values whole; empty if a large answer may not be
  // sent yet.
  std::string AnswerWhole(source_area area, std::uint64_t since,
                          source_mirror::export_form form);
  // The address of a peer that is ahead in this area; empty: none.
  std::string FindPeerAhead(source_area area, instant now);
  void Fetch(source_area area, area_progress* progress,
             const std::string& peer);
  void OnAnswer(
      source_area area, area_progress* progress, const std::string& peer,
      const tl::expected<net::http_answer, net::http_failure>& answer);
  void OnNoItems(source_area area, area_progress* progress,
                 const std::string& peer, bool answered);

  fleet_state& fleet_;
  source_mirror& mirror_;
  net::http_client client_;
  std::map<source_area, area_progress> progress_;
  std::uint64_t peer_rotation_ = 0;  // Spreads the requests over the peers.
  instant large_answer_sent_at_{};
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_PEER_FOLLOWER_H_
