#ifndef PIMENTOHALL_CORE_BLOB_FETCHER_H_
#define PIMENTOHALL_CORE_BLOB_FETCHER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Identifies a blob: what it is and the SHA-256 of its bytes.
using blob_id = std::pair<blob_kind, std::string>;

// A blob to fetch and the peers that announced it, in the order to ask them.
struct wanted_blob {
  blob_id id;
  std::size_t max_bytes = 0;
  std::size_t exact_bytes = 0;  // Expected size; 0: unknown.
  std::vector<std::string> peers;
};

struct fetched_blob {
  blob_id id;
  std::string bytes;
};

// Fetches blobs from peers piece by piece.
//
//   fetcher.SetWanted(blobs, now, &out);      // on each change of `blobs`
//   auto blob = fetcher.OnReply(vm, reply, now, &out);
//   if (blob) store.OfferPart(blob->id.second, blob->bytes);
//   for (auto& [vm, reason] : fetcher.TakeViolations()) ...
//
// If the link breaks, the peer does not hold the blob, or no reply arrives
// within `kReplyTimeout`, the fetch continues with the next peer at the offset
// reached. It fails after `kMaxRounds` rounds over all peers without progress.
// A peer violates the protocol by wrong totals, oversized or empty pieces, too
// many pieces, or bytes that don't match the digest. A peer that takes longer
// than `kBlobTimeout` is skipped. Pieces that repeat an offset or come from
// another peer than the one asked are ignored: they may be late.
class blob_fetcher {
 public:
  static constexpr std::size_t kPieceBytes = 64 * 1024;
  static constexpr duration kReplyTimeout = std::chrono::seconds(1);
  static constexpr duration kBlobTimeout = std::chrono::seconds(10);
  static constexpr int kMaxRounds = 3;
  // Maximum replies per peer and blob; 1 MB in pieces of 64 KB takes 16.
  static constexpr int kMaxRepliesPerPeer = 64;
  // Maximum concurrent fetches. Bounds the buffers to 16 MB.
  static constexpr std::size_t kMaxRunning = 16;

  // Replaces the list of wanted blobs. Fetches of other blobs are cancelled.
  void SetWanted(const std::vector<wanted_blob>& blobs, instant now,
                 actions* out);

  std::optional<fetched_blob> OnReply(const std::string& vm,
                                      const fetch_reply& reply, instant now,
                                      actions* out);
  void OnLinkDown(const std::string& vm, instant now, actions* out);
  void Tick(instant now, actions* out);
  // Moves all deadlines by `gap`, the time for which the process was paused.
  void Shift(duration gap);
  // The next deadline, or `instant::max()` if no fetch is running.
  instant NextWake() const;

  // True if no peer delivered the blob in `kMaxRounds` rounds. Reset when the
  // blob is no longer wanted or another peer announces it.
  bool HasFailed(const blob_id& id) const;
  // Peers that violated the protocol since the last call, with the reason.
  std::vector<std::pair<std::string, std::string>> TakeViolations();
  std::size_t Running() const { return running_.size(); }

 private:
  struct fetch {
    wanted_blob wanted;
    std::string bytes;
    std::size_t total = 0;  // 0: not known yet.
    std::string peer;       // Currently asked; empty: none.
    instant deadline;       // Of the reply, or start of the next round.
    instant asked_at;       // When the first request was sent to `peer`.
    int replies = 0;        // Received from `peer`.
    int rounds = 0;         // Rounds over all peers without progress.
    bool single_peer_only = false;  // Don't combine bytes of several peers.
    std::set<std::string> tried;    // Peers asked in this round.
    std::set<std::string> senders;  // Peers that sent `bytes`.
  };

  static bool Start(fetch* fetch, instant now, actions* out);
  static void Ask(fetch* fetch, instant now, actions* out);
  static void AskNextPeer(fetch* fetch, instant now, actions* out);
  static void Restart(fetch* fetch);
  // Drops failed blobs that are no longer wanted or have an untried peer.
  void PruneFailed(const std::map<blob_id, const wanted_blob*>& wanted);
  // The protocol violation in the reply, or null.
  static const char* FindFault(const fetch& fetch, const fetch_reply& reply);
  std::optional<fetched_blob> Finish(fetch* fetch, instant now, actions* out);
  void AddViolation(const std::string& vm, const std::string& reason);

  std::map<blob_id, fetch> running_;
  // Failed blobs, with the peers that were tried.
  std::map<blob_id, std::set<std::string>> failed_;
  std::vector<std::pair<std::string, std::string>> violations_;  // VM, reason.
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_BLOB_FETCHER_H_
