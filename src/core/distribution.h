#ifndef PIMENTOHALL_CORE_DISTRIBUTION_H_
#define PIMENTOHALL_CORE_DISTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/backoff.h"
#include "core/blob_fetcher.h"
#include "core/config_store.h"
#include "core/membership.h"
#include "core/rate_limit.h"
#include "core/source_watch.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Keeps the store up to date: reads and watches the source where this daemon
// is a reader, exchanges versions with linked peers, and fetches what is newer.
// Appends its actions (open_link, close_link, send_message, read_source,
// log_entry) to `out`.
//
// It feeds `members` with link events, statuses and new VM lists; the engine
// only passes events on. All times are deadlines checked by `Tick`, which the
// engine must call at `NextWake` at the latest.
//
// Confirmation. The source confirms when it answers a read of the manifest with
// something that is not older than what is in force. The age of the last
// confirmation travels with the statuses; each hop counts it from the arrival,
// so it is too small by the delays on the way. A watch answers after 30 s at
// the latest, so a peer counts as confirmed up to an age of `kFreshAge`. A
// daemon without such a peer for `kUnconfirmedWait` reads the source itself.
//
// Penalties. A peer that breaks the fetch protocol, or announces versions that
// nobody delivers or that are not what was announced, is not asked for
// `kFirstPenalty`; breaches of the protocol double the next penalty. The peer
// stays linked, so that it can still fetch.
class distribution {
 public:
  static constexpr duration kHeartbeat = std::chrono::seconds(2);
  static constexpr duration kUnconfirmedWait = std::chrono::seconds(10);
  // Without a set in force and without any link, waiting costs calls.
  static constexpr duration kNoSetWait = std::chrono::seconds(3);
  // Without a VM list: time for the bootstrap peers to answer.
  static constexpr duration kNoListWait = std::chrono::seconds(1);
  static constexpr duration kFreshAge = source_watch::kWait + kHeartbeat;
  static constexpr duration kDirectInterval = std::chrono::seconds(1);
  static constexpr duration kDirectJitter = std::chrono::milliseconds(500);
  // Spreads the first direct reads of daemons that lost their peers together.
  static constexpr duration kDirectSpread = std::chrono::seconds(2);
  // Time without a new part after which a staged set is given up.
  static constexpr duration kStagedWait = std::chrono::seconds(10);
  // The same if a newer manifest waits.
  static constexpr duration kDeferredWait = std::chrono::seconds(2);
  static constexpr duration kAbandonedFor = std::chrono::seconds(30);
  static constexpr duration kFirstPenalty = std::chrono::seconds(10);
  static constexpr duration kGreatestPenalty = std::chrono::minutes(5);
  static constexpr duration kDialWait = std::chrono::seconds(5);
  // Links that are no longer wanted stay open this long, against flapping.
  static constexpr duration kLinkHold = std::chrono::seconds(10);
  static constexpr duration kReadyWait = std::chrono::seconds(1);
  // Ticks are at least this frequent, so that `membership` notices pauses.
  static constexpr duration kTickInterval = std::chrono::milliseconds(500);
  static constexpr duration kLeastWake = std::chrono::milliseconds(1);
  static constexpr std::size_t kMaxLinks = 256;
  // Fetch replies to one peer. A starting child asks for some 130 parts of the
  // greatest fleet at once; afterwards one change is a few pieces.
  static constexpr int kRepliesPerSecond = 64;
  static constexpr int kReplyBurst = 256;
  // Part reads of one reader. When 2,205 daemons start at once, 30 readers read
  // parts while others read the VM list; the source serves 2,000 reads/s.
  static constexpr int kPartReadsPerSecond = 24;
  static constexpr int kPartReadBurst = 8;

  // `store` and `members` must outlive this object.
  distribution(const engine_options& options, config_store* store,
               membership* members, instant start);

  void OnLinkUp(const std::string& vm, instant now, actions* out);
  void OnLinkDown(const std::string& vm, instant now, actions* out);
  void OnMessage(const std::string& vm, const message& body, instant now,
                 actions* out);
  void OnSourceValue(const source_value& value, instant now, actions* out);
  void OnSourceFailed(const source_failed& failure, instant now, actions* out);
  void BeginStop(instant now, actions* out);
  void Tick(instant now, actions* out);
  instant NextWake() const;

  // True once a set and a VM list are in force and the peers that were
  // reachable in the first second have told their versions, and the highest
  // version told is in force or given up. Once true it stays true.
  bool IsReady() const;

  // Time since the source was last known to confirm what is in force, directly
  // or through peers; negative if never.
  duration SourceAge(instant now) const;
  std::uint64_t SourceReads() const;
  // Answers of the source that were older than what is in force.
  std::uint64_t StaleAnswers() const;
  // Penalties given to peers.
  std::uint64_t Penalties() const;

 private:
  struct link {
    bool dialled = false;  // By this daemon.
    std::optional<status_message> status;
    instant heard;
    std::optional<instant> confirmed;  // By the source, as the peer said.
    std::uint64_t announced = 0;       // Order of the announcements.
    std::optional<instant> unwanted_since;
    rate_limit replies;

    explicit link(instant now)
        : heard(now), replies(kRepliesPerSecond, kReplyBurst, now) {}
  };
  struct penalty {
    int count = 0;
    instant until;
  };
  struct part_read {
    bool under_way = false;
    instant sent;
    instant not_before;
    backoff wait;
  };
  enum class direct_target { kVmList, kManifest };

  void OnStatus(const std::string& vm, const status_message& status,
                instant now);
  void OnFetchRequest(const std::string& vm, const fetch_request& request,
                      instant now, actions* out);
  void OnFetched(const fetched_blob& blob, instant now, actions* out);
  void OnPartValue(const source_value& value, instant now);
  void OnWatchValue(const source_value& value, instant now, actions* out);
  void DropLink(const std::string& vm, instant now, actions* out);

  // The steps after each event, in this order.
  void Advance(instant now, actions* out);
  void CloseSilentLinks(instant now, actions* out);
  void ShiftDeadlines(instant now);
  void GiveUpDials(instant now, actions* out);
  void GiveUpStaged(instant now, actions* out);
  void PunishOffenders(instant now, actions* out);
  void UpdateFetches(instant now, actions* out);
  void PenaliseHopeless(instant now, actions* out);
  void AdoptVmList();
  void UpdateLinks(instant now, actions* out);
  void ReadSource(instant now, actions* out);
  void ReadParts(instant now, actions* out);
  void SendStatuses(instant now, actions* out);
  void UpdateReadiness(instant now);
  void UpdateWake(instant now);

  void OpenLink(const std::string& vm, instant now, actions* out);
  void CloseUnwanted(const std::vector<std::string>& wanted, instant now,
                     actions* out);
  void ReadDirectly(instant now, actions* out);
  bool IsDirect(instant now);
  bool HasFreshPeer(instant now) const;
  duration DirectWait() const;
  void SendRead(read_source read, actions* out);
  bool MayReadPart(const std::string& digest, bool reader, instant now);

  std::vector<wanted_blob> WantedBlobs(instant now) const;
  void AddWantedLists(blob_kind kind, instant now,
                      std::vector<wanted_blob>* blobs) const;
  void AddWantedParts(instant now, std::vector<wanted_blob>* blobs) const;
  // Linked peers without a penalty that announced this digest, first announcer
  // first.
  std::vector<std::string> Holders(blob_kind kind, const std::string& digest,
                                   instant now) const;
  bool IsPenalised(const std::string& vm, instant now) const;
  // `fault`: the peer broke the protocol; otherwise it may only be slow, and
  // the penalty does not grow.
  void Penalise(const std::string& vm, std::string_view why, bool fault,
                instant now, actions* out);
  void PenaliseHolders(blob_kind kind, const std::string& digest,
                       std::string_view why, instant now, actions* out);
  // Penalises peers whose announcement of this digest turned out false.
  void CheckAnnouncements(const blob_id& id, instant now, actions* out);
  void LogRefusal(offer_result result, actions* out);
  void Confirm(instant at);
  status_message MakeStatus(instant now) const;
  bool AllPeersAsked(instant now) const;
  bool HighestIsInForce(instant now);

  std::string vm_;
  std::uint64_t incarnation_;
  bool has_bootstrap_peers_;
  config_store* store_;
  membership* members_;
  std::mt19937_64 random_;
  bool stopping_ = false;

  std::map<std::string, link> links_;
  std::map<std::string, instant> dials_;  // Under way, with the start.
  std::map<std::string, penalty> penalties_;
  std::uint64_t announcements_ = 0;
  std::uint64_t penalties_given_ = 0;

  blob_fetcher fetcher_;
  std::string staged_digest_;
  std::size_t staged_missing_ = 0;
  instant staged_progress_;
  std::map<std::string, instant> abandoned_;  // Digest to the end of the wait.

  source_watch manifest_watch_;
  source_watch vms_watch_;
  std::map<std::string, part_read> part_reads_;
  rate_limit part_read_tokens_;
  // Some part is to be read as soon as a token is there. Parts that are being
  // read or fetched need no wake-up of their own.
  bool part_waits_for_token_ = false;
  std::optional<instant> confirmed_;      // By any way.
  std::optional<instant> own_confirmed_;  // By an own read.
  std::optional<instant> unconfirmed_since_;
  duration direct_spread_{0};
  bool direct_ = false;
  direct_target direct_target_ = direct_target::kVmList;
  instant next_direct_;
  backoff direct_wait_;
  std::uint64_t source_reads_ = 0;
  std::uint64_t stale_answers_ = 0;

  std::string announced_config_;  // Digests told to the peers.
  std::string announced_vms_;
  bool announce_ = false;  // Tell the peers now.
  instant next_heartbeat_;

  bool ready_ = false;
  std::optional<instant> ready_check_;  // Start of the first second.
  std::set<std::string> ready_asked_;   // Peers that must tell or fail.
  std::optional<std::uint64_t> ready_target_;
  instant last_advance_;
  instant next_wake_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_DISTRIBUTION_H_
