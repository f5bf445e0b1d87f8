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

// A blob to fetch and the peers that said they hold it, best first.
struct wanted_blob {
  blob_id id;
  std::size_t max_bytes = 0;
  std::size_t exact_bytes = 0;  // 0: unknown.
  std::vector<std::string> peers;
};

struct fetched_blob {
  blob_id id;
  std::string bytes;
};

// Fetches blobs from peers piece by piece.
//
//   fetcher.Want(blobs, now, &out);           // on each change of the wishes
//   auto blob = fetcher.OnReply(vm, reply, now, &out);
//   if (blob) store.OfferPart(blob->id.second, blob->bytes);
//   for (auto& vm : fetcher.TakeOffenders()) ...
//
// A fetch goes on at the offset reached from the next peer if the link breaks,
// the peer does not hold the blob, or no reply comes within `kReplyWait`. After
// `kRounds` rounds over all peers without progress it is hopeless. A peer that
// breaks the protocol (wrong totals, oversized or empty pieces, too many
// pieces, bytes that do not give the digest) is an offender. A peer that takes
// longer than `kBlobWait` is passed over. Pieces that repeat an offset or come
// from another peer than the one asked are ignored: they may be late.
class blob_fetcher {
 public:
  static constexpr std::size_t kPieceBytes = 64 * 1024;
  static constexpr duration kReplyWait = std::chrono::seconds(1);
  static constexpr duration kBlobWait = std::chrono::seconds(10);
  static constexpr int kRounds = 3;
  // Replies per peer and blob; 1 MB in pieces of 64 KB takes 16.
  static constexpr int kMaxReplies = 64;
  // Concurrent fetches. Bounds the buffers to 16 MB.
  static constexpr std::size_t kMaxRunning = 16;

  // Replaces the wishes. Running fetches that are no longer wanted end.
  void Want(const std::vector<wanted_blob>& blobs, instant now, actions* out);

  std::optional<fetched_blob> OnReply(const std::string& vm,
                                      const fetch_reply& reply, instant now,
                                      actions* out);
  void OnLinkDown(const std::string& vm, instant now, actions* out);
  void Tick(instant now, actions* out);
  // Moves all deadlines: the process was paused for `gap`.
  void Shift(duration gap);
  // The next deadline, or the greatest instant if nothing runs.
  instant NextWake() const;

  // True if no peer delivered the blob in `kRounds` rounds. Lasts until the
  // blob is no longer wanted or another peer holds it.
  bool IsHopeless(const blob_id& id) const;
  // Peers that broke the protocol since the last call, with the reason.
  std::vector<std::pair<std::string, std::string>> TakeOffenders();
  std::size_t Running() const { return running_.size(); }

 private:
  struct fetch {
    wanted_blob wanted;
    std::string bytes;
    std::size_t total = 0;  // 0: not known yet.
    std::string peer;       // Asked now; empty: none.
    instant deadline;       // For the reply, or for the next round.
    instant asked_since;    // Of `peer`.
    int replies = 0;        // Of `peer`.
    int rounds = 0;
    bool whole_from_one = false;  // Don't mix the bytes of several peers.
    std::set<std::string> tried;
    std::set<std::string> sources;  // Of `bytes`.
  };

  static bool Start(fetch* fetch, instant now, actions* out);
  static void Ask(fetch* fetch, instant now, actions* out);
  static void Advance(fetch* fetch, instant now, actions* out);
  static void Restart(fetch* fetch);
  // Drops what is no longer wanted or has a new peer to ask.
  void ForgetHopeless(const std::map<blob_id, const wanted_blob*>& wanted);
  // What is wrong with the reply, or null.
  static const char* FindFault(const fetch& fetch, const fetch_reply& reply);
  std::optional<fetched_blob> Finish(fetch* fetch, instant now, actions* out);
  void Blame(const std::string& vm, const std::string& why);

  std::map<blob_id, fetch> running_;
  // With the peers that were tried.
  std::map<blob_id, std::set<std::string>> hopeless_;
  std::vector<std::pair<std::string, std::string>> offenders_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_BLOB_FETCHER_H_
