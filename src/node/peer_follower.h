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
// the copies still differ after that, the list of all items is fetched. So it
// is when a peer's copy is of a newer era of the source, and once when this
// daemon starts, as peers know what the source lost when its era began.

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "node/fleet_state.h"
#include "node/source_mirror.h"

namespace pimentohall::node {

// Carries a daemon's requests for items to its peers.
class peer_transport {
 public:
  // The answer's bytes; none: no answer in time, or a refusal.
  using handler = std::function<void(std::optional<std::string>)>;
  virtual ~peer_transport() = default;
  // `done` is called once, later.
  virtual void Ask(const std::string& peer, const std::string& target,
                   duration timeout, handler done) = 0;
};

// Over HTTP.
class http_peer_transport : public peer_transport {
 public:
  explicit http_peer_transport(fleet_state& fleet);
  void Ask(const std::string& peer, const std::string& target, duration timeout,
           handler done) override;

 private:
  fleet_state& fleet_;
  net::http_client client_;
};

class peer_follower {
 public:
  peer_follower(fleet_state& fleet, source_mirror& mirror,
                peer_transport& transport);

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
    // Earliest time of the next request for what the source has lost.
    instant introduction_due{};
    // Newest revision reported without an era for which the source was read.
    std::uint64_t read_for_revision = 0;
  };

  void CatchUp(source_area area, area_progress* progress, instant now);
  // `of`: the position that the peer reported.
  source_mirror::export_form NextForm(source_area area,
                                      const area_progress& progress,
                                      const mesh::source_position& of) const;
  // An area's items with large values whole; empty if a large answer may not be
  // sent yet.
  std::string AnswerWhole(const source_mirror::export_query& query);
  using peer_filter = std::function<bool(const mesh::peer_table::peer&)>;
  // The address of a heard peer that passes; empty: none. `prefers_near`: in
  // the own zone if possible.
  std::string FindPeer(instant now, const peer_filter& passes,
                       bool prefers_near = true) const;
  // Asks a peer for the changes that the source has lost, once an era, until
  // one answers that knows them. True if it does.
  bool AskForLostChanges(source_area area, area_progress* progress,
                         instant now);
  // The peer whose items are to be fetched; empty: none.
  std::string FindPeerAhead(source_area area, instant now) const;
  // Reads the source where a peer is ahead that tells no era, so that its items
  // can't be compared with this daemon's.
  void ReadForUnknownEra(source_area area, area_progress* progress,
                         instant now);
  void Fetch(source_area area, area_progress* progress,
             const std::string& peer);
  void OnAnswer(source_area area, area_progress* progress,
                const std::string& peer,
                const std::optional<std::string>& answer);
  void OnNoItems(source_area area, area_progress* progress,
                 const std::string& peer, bool answered);

  fleet_state& fleet_;
  source_mirror& mirror_;
  peer_transport& transport_;
  std::map<source_area, area_progress> progress_;
  std::uint64_t peer_rotation_ = 0;  // Spreads the requests over the peers.
  instant large_answer_sent_at_{};
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_PEER_FOLLOWER_H_
