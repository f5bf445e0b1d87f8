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

// Keeps the store up to date. If this daemon is a reader, it reads and watches
// the source. It exchanges versions with linked peers and fetches newer blobs
// from them. Actions (open_link, close_link, send_message, read_source,
// log_entry) are appended to `out`.
//
// It passes link events, statuses and new VM lists on to `members`. The engine
// forwards events to this class and also passes the VM list in force to
// `members`.
//
// All timeouts are deadlines checked by `Tick`, which the engine must call no
// later than `NextWake`.
//
// Confirmation. The source confirms the configuration in force when it answers
// a read of the manifest with a version that is not older, or with a manifest
// that is refused, for instance because it can't be parsed. Statuses carry the
// age of the last confirmation. Each receiver counts that age from the arrival
// of the status, so the age is too low by the network delays. A watch is
// answered within 30 s, so a peer counts as confirmed up to an age of
// `kMaxFreshAge`. A daemon that has had no such peer for `kUnconfirmedTimeout`
// reads the source directly, even if it is not a reader.
//
// Penalties. Nothing is fetched from a peer for `kInitialPenalty` if the peer
// violates the fetch protocol, if no peer delivers the version it announced, or
// if the blob delivered has another version than announced. A protocol
// violation or a wrong version doubles the next penalty. The link stays open,
// so that the peer can still fetch from this daemon.
class distribution {
 public:
  static constexpr duration kHeartbeat = std::chrono::seconds(2);
  static constexpr duration kUnconfirmedTimeout = std::chrono::seconds(10);
  // Replaces `kUnconfirmedTimeout` while no set is in force and no link is up:
  // calls fail until a set arrives.
  static constexpr duration kNoSetTimeout = std::chrono::seconds(3);
  // Replaces `kUnconfirmedTimeout` while there is no VM list: the time that
  // bootstrap peers have to answer.
  static constexpr duration kNoVmListTimeout = std::chrono::seconds(1);
  // A peer whose confirmation is older than this doesn't count as confirmed.
  static constexpr duration kMaxFreshAge =
      source_watch::kWatchTimeout + kHeartbeat;
  static constexpr duration kDirectReadInterval = std::chrono::seconds(1);
  static constexpr duration kDirectReadJitter = std::chrono::milliseconds(500);
  // Spreads the first direct reads of daemons that lost their peers at the same
  // time.
  static constexpr duration kDirectReadSpread = std::chrono::seconds(2);
  // A staged set is abandoned after this time without a new part.
  static constexpr duration kStagedTimeout = std::chrono::seconds(10);
  // Replaces `kStagedTimeout` if a newer manifest has been deferred.
  static constexpr duration kDeferredTimeout = std::chrono::seconds(2);
  // A manifest that was abandoned is not fetched again for this time.
  static constexpr duration kAbandonedDuration = std::chrono::seconds(30);
  static constexpr duration kInitialPenalty = std::chrono::seconds(10);
  static constexpr duration kMaxPenalty = std::chrono::minutes(5);
  static constexpr duration kDialTimeout = std::chrono::seconds(5);
  // Links that are no longer needed stay open this long, to avoid flapping.
  static constexpr duration kLinkHold = std::chrono::seconds(10);
  // Readiness waits this long for peers to be reached.
  static constexpr duration kReadyTimeout = std::chrono::seconds(1);
  // Maximum time between ticks, so that `membership` detects pauses of the
  // process.
  static constexpr duration kTickInterval = std::chrono::milliseconds(500);
  static constexpr duration kMinWakeInterval = std::chrono::milliseconds(1);
  static constexpr std::size_t kMaxLinks = 256;
  // Limits the fetch replies sent to one peer. In the largest fleet, a starting
  // peer requests about 130 parts at once; a later change is a few pieces.
  static constexpr int kRepliesPerSecond = 64;
  static constexpr int kReplyBurst = 256;
  // Limits the part reads of one reader. When 2,205 daemons start at once, 30
  // readers read parts while the other daemons read the VM list; the source
  // serves 2,000 reads/s.
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

  // True once a set and a VM list are in force, every peer reachable within
  // `kReadyTimeout` has announced its version, and the highest version
  // announced is in force. Versions that were refused or whose peers are all
  // under a penalty don't count. Once true it stays true.
  bool IsReady() const;

  // Time since the last known confirmation of the configuration in force, from
  // an own read of the source or from a peer's status. Negative if there was
  // none.
  duration SourceAge(instant now) const;
  std::uint64_t SourceReads() const;
  // Answers of the source that were older than the version in force or staged.
  std::uint64_t StaleAnswers() const;
  // Number of penalties imposed on peers.
  std::uint64_t Penalties() const;

 private:
  struct link {
    bool dialled = false;  // This daemon opened the link.
    std::optional<status_message> status;
    instant seen;  // Time of the last status, or of the link up.
    // When the source last confirmed the peer's version, by the peer's status.
    std::optional<instant> confirmed_at;
    // Sequence number of the status that last changed the peer's digests.
    std::uint64_t announcement_order = 0;
    // Since when membership no longer needs the link.
    std::optional<instant> unwanted_since;
    rate_limit reply_limit;

    explicit link(instant now)
        : seen(now), reply_limit(kRepliesPerSecond, kReplyBurst, now) {}
  };
  struct penalty {
    int count = 0;  // Faults so far; each doubles the next penalty.
    instant until;
  };
  struct part_read {
    bool in_flight = false;
    instant sent;
    instant not_before;  // Earliest time of the next attempt.
    backoff retry;
  };
  // The key that the next direct read is for.
  enum class direct_target { kVmList, kManifest };

  void OnStatus(const std::string& vm, const status_message& status,
                instant now);
  void OnFetchRequest(const std::string& vm, const fetch_request& request,
                      instant now, actions* out);
  void OnFetched(const fetched_blob& blob, instant now, actions* out);
  void OnPartValue(const source_value& value, instant now);
  void OnWatchValue(const source_value& value, instant now, actions* out);
  void DropLink(const std::string& vm, instant now, actions* out);

  // Runs the steps below after each event; the definition of `Advance` gives
  // their order.
  void Advance(instant now, actions* out);
  void CloseSilentLinks(instant now, actions* out);
  // Extends deadlines by the time for which the process was paused.
  void ShiftDeadlines(instant now);
  void ExpireDials(instant now, actions* out);
  void ExpireStaged(instant now, actions* out);
  void PenaliseViolations(instant now, actions* out);
  void UpdateFetches(instant now, actions* out);
  void PenaliseFailedFetches(instant now, actions* out);
  void AdoptVmList();
  void UpdateLinks(instant now, actions* out);
  void ReadSource(instant now, actions* out);
  void ReadParts(instant now, actions* out);
  void SendStatuses(instant now, actions* out);
  void UpdateReadiness(instant now);
  void UpdateNextWake(instant now);

  void OpenLink(const std::string& vm, instant now, actions* out);
  void CloseUnwanted(const std::vector<std::string>& wanted, instant now,
                     actions* out);
  void ReadDirectly(instant now, actions* out);
  // Updates `is_direct_` from the state of the peers and returns it.
  bool MustReadDirectly(instant now);
  bool HasFreshPeer(instant now) const;
  // Time without a confirmed peer after which direct reads start.
  duration DirectReadDelay() const;
  void SendRead(read_source read, actions* out);
  // True if the part is to be read from the source now. Consumes a token or the
  // next direct read.
  bool MayReadPart(const std::string& digest, bool reader, instant now);

  std::vector<wanted_blob> WantedBlobs(instant now) const;
  void AddWantedLists(blob_kind kind, instant now,
                      std::vector<wanted_blob>* blobs) const;
  void AddWantedParts(instant now, std::vector<wanted_blob>* blobs) const;
  // Linked peers without a penalty that announced this digest, in the order of
  // their announcements.
  std::vector<std::string> Holders(blob_kind kind, const std::string& digest,
                                   instant now) const;
  bool IsPenalised(const std::string& vm, instant now) const;
  // `fault`: the peer violated the protocol or announced a wrong version.
  // Otherwise it may only be slow, and its next penalty is not doubled.
  void Penalise(const std::string& vm, std::string_view reason, bool fault,
                instant now, actions* out);
  void PenaliseHolders(blob_kind kind, const std::string& digest,
                       std::string_view reason, instant now, actions* out);
  // Penalises peers that announced this digest with a version that the fetched
  // blob does not have.
  void CheckAnnouncements(const blob_id& id, instant now, actions* out);
  void LogRefusal(offer_result result, actions* out);
  void Confirm(instant confirmed_at);
  status_message MakeStatus(instant now) const;
  bool HaveAllPeersAnswered(instant now) const;
  bool IsHighestVersionInForce(instant now);

  std::string vm_;
  std::uint64_t incarnation_;
  bool has_bootstrap_peers_;
  config_store* store_;
  membership* members_;
  std::mt19937_64 random_;
  bool stopping_ = false;

  std::map<std::string, link> links_;
  std::map<std::string, instant> dials_;  // Pending; VM to start time.
  std::map<std::string, penalty> penalties_;
  std::uint64_t announcements_ = 0;
  std::uint64_t penalty_count_ = 0;

  blob_fetcher fetcher_;
  std::string staged_digest_;
  std::size_t staged_missing_ = 0;
  instant staged_progress_;  // When staged, or when a part last arrived.
  std::map<std::string, instant> abandoned_;  // Digest to expiry.

  source_watch manifest_watch_;
  source_watch vms_watch_;
  std::map<std::string, part_read> part_reads_;
  rate_limit part_read_tokens_;
  // A part is to be read as soon as a token is available. Parts that are being
  // read or fetched need no wake-up of their own.
  bool part_waits_for_token_ = false;
  std::optional<instant> confirmed_at_;           // By an own read or a peer.
  std::optional<instant> own_read_confirmed_at_;  // By an own read.
  // Since when no peer is confirmed.
  std::optional<instant> unconfirmed_since_;
  duration direct_read_spread_{0};
  bool is_direct_ = false;  // Reads the source although it is no reader.
  direct_target direct_target_ = direct_target::kVmList;
  instant next_direct_read_;
  backoff direct_backoff_;
  std::uint64_t source_reads_ = 0;
  std::uint64_t stale_answers_ = 0;

  std::string announced_config_;  // Digests sent in the last status.
  std::string announced_vms_;
  bool status_due_ = false;  // Send statuses at the next step.
  instant next_heartbeat_;

  bool ready_ = false;
  std::optional<instant> ready_check_start_;   // Start of `kReadyTimeout`.
  std::set<std::string> ready_pending_peers_;  // No status yet.
  // Highest version announced when readiness was first checked.
  std::optional<std::uint64_t> ready_target_version_;
  instant last_advance_;
  instant next_wake_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_DISTRIBUTION_H_
