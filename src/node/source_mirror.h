#ifndef PIMENTOHALL_NODE_SOURCE_MIRROR_H_
#define PIMENTOHALL_NODE_SOURCE_MIRROR_H_

// A copy of the source's items. It starts with a read and is kept current by
// watches or by items that peers send.
//
// Every daemon reads the source once when it starts. After that a few readers
// watch it, and the others follow these readers, so that the number of calls to
// the source doesn't grow with the fleet. Each daemon decides for itself
// whether it is a reader. It also becomes one when too few of the daemons that
// precede it report that the source answers them.
//
// Invariant: an area's items never revert to an older place in the source's
// history (`mesh::source_position`). A page or event that is older than the
// item held for its key, or than its removal, is dropped. A complete copy (from
// a read or from a peer) replaces the items only if it is at least as new, and
// removes only items that aren't newer than it.
//
// A source that comes back from an older copy begins a new era, in which its
// revisions are given out again. The first complete copy of an era replaces all
// items, whatever their revisions. What is in force may then be newer than what
// the source holds; `CarryTime` decides how long it stays so. Reads that may be
// stale may show items of an earlier era. Where the source has eras, such a
// read is in force but counts as a copy of an unknown era, which every other is
// newer than, and which isn't offered to peers.
//
// A revision doesn't tell whether two copies hold the same items: a daemon that
// started or read anew never saw what was removed before. A copy therefore has
// a digest too. Changes that a peer sends come with the digest of its copy; if
// the own digest differs once they are applied, the list of all items follows.
//
// The pages of a read aren't one snapshot. The watch therefore starts from the
// first page's revision, and changes made between pages arrive again as events.
// The pages of a read that may be stale (at start) may each be of another age,
// which only their items show: a page is complete up to its newest item. The
// watch then starts from the oldest of these revisions.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "node/fleet_state.h"
#include "node/mirror_message.h"
#include "pimentohall/node.h"

namespace pimentohall::node {

class source_mirror {
 public:
  source_mirror(fleet_state& fleet, source_reader& reader,
                const source_decoder& decoder);
  ~source_mirror();

  void Start();
  // Starts watching when this daemon becomes a reader, and ends carried changes
  // that nobody made again. To be called often.
  void RunMaintenance();
  // The newest position at which this area's copy may have changed. After a
  // read that followed a gap this is the read's position, as the gap may hide
  // changes that left no trace in the items. Zero if the copy isn't offered to
  // peers.
  mesh::source_position ChangePosition(source_area area) const;
  // The copy contains all changes up to this position.
  const mesh::source_position& Position(source_area area) const {
    return At(area).position;
  }
  // The source's newest known era; 0: none.
  std::uint64_t Era() const { return era_; }
  // The place in the source's history that its last answer named.
  const mesh::source_position& Answered(source_area area) const {
    return At(area).answered;
  }
  // Changes of earlier eras that are in force instead of what the source holds.
  std::size_t Carried(source_area area) const {
    return At(area).carried.size();
  }
  // This daemon watches all areas, and the source answers in time.
  bool IsReading() const;
  // A watch is open that will deliver the next change.
  bool IsWatching(source_area area) const { return At(area).watching; }
  // A read is likely to succeed.
  bool CanRead(source_area area) const;
  // When the source last answered, for any area.
  instant AnsweredAt() const { return answered_at_; }
  // Reads the area anew, unless a read is in flight or the last call is recent.
  // True if it does.
  bool RequestRead(source_area area);

  enum class export_form {
    kChanges,  // What changed, and the removals that are known.
    kPatches,  // The same, with large values as patches.
    kList,     // All items; those that didn't change by key and revision.
  };
  struct export_query {
    source_area area = source_area::kSettings;
    export_form form = export_form::kChanges;
    mesh::source_position since;  // The peer holds all changes up to here.
    // The peer knows eras. If not, the answer is one that daemons of earlier
    // versions understand, and `since` counts as of the copy's era.
    bool knows_eras = false;
  };
  // An area's items for a peer, encoded. Every form holds all items if `since`
  // is zero or of another era. Empty if patches are requested and one is
  // missing, or if the copy can't be offered to this peer.
  std::string Export(const export_query& query);

  enum class import_result {
    kApplied,
    kRejected,  // Malformed, or based on an item that isn't held.
    kDiffers,   // Applied, but the copy differs from the peer's.
  };
  // Applies a peer's items where they are newer.
  import_result Import(std::string_view bytes);
  // A peer's copy was taken over whole, with its carried changes, in this era,
  // and that peer knew the past.
  bool IsIntroduced(source_area area) const {
    return At(area).introduced_era == era_;
  }
  // Whether this daemon can tell others what the source has lost: it was
  // introduced itself since its start, or no daemon started before it.
  bool KnowsPast(source_area area) const;

  struct item_change {
    source_area area = source_area::kSettings;
    const source_item& item;
    // If the source had an outage recently, a missing item may be restored
    // within this time; 0 otherwise.
    duration expiry_grace{0};
    // Follows a change that was carried over from an earlier era: its writer's
    // count may be lower.
    bool ends_carried = false;
    // Only the item's revision differs.
    bool same_value = false;
  };
  // Called when an item changed or was removed.
  std::function<void(const item_change&)> on_item;
  // Called after `on_item` was called for all changes of one answer.
  std::function<void(source_area)> on_changes_applied;

 private:
  // Values of at least this size are sent to peers compressed. An entry of an
  // upstream has some hundreds of bytes, a configuration tens of thousands.
  static constexpr std::size_t kLargeValueBytes = 8 * 1024;

  struct removal {
    // Zero if only a new era's copy, in which the item is missing, told of it.
    mesh::source_position position;
    source_item last;  // Its value is empty if this daemon didn't hold it.
  };
  // A change of an earlier era that is in force instead of what the source
  // holds.
  struct carried_change {
    source_item item;  // `removed`: it's known to be removed.
    instant until{};
    // A removal that only a new era's copy told of; peers needn't share it.
    bool is_inferred = false;
    mesh::source_position made;  // Its place in the source's history.
  };
  struct area_state {
    source_area area = source_area::kSettings;
    std::map<std::string, source_item> items;  // As the source holds them.
    mesh::source_position position;     // All changes up to it are contained.
    std::uint64_t change_revision = 0;  // See `ChangePosition`.
    std::uint64_t digest = 0;           // Sum of the hashes of all items.
    bool complete = false;              // A read was completed.
    bool following = false;             // Changes come from peers, not watches.
    std::map<std::string, mesh::patch_history> patches;  // Of large values.
    // Cache: the last large value that was compressed whole.
    std::string packed_key;
    std::uint64_t packed_revision = 0;
    std::string packed;
    // The newest removals that this daemon learned of, by key.
    std::map<std::string, removal> removals;
    instant era_began{};  // When the copy entered its era.
    // Position at that time, and the items that the copy of the era before
    // didn't hold with the same value.
    std::uint64_t era_revision = 0;
    std::set<std::string> new_in_era;
    std::map<std::string, carried_change> carried;
    std::uint64_t introduced_era = 0;  // See `IsIntroduced`.
    bool knows_past = false;           // See `KnowsPast`.
    mesh::source_position answered;    // Place of the last answer.
    instant answered_at{};
    bool reading = false;   // A read is in flight.
    bool watching = false;  // A watch is in flight.
    bool connected = false;
    bool loss_logged = false;
    instant lost_at{};
    instant reconnected_at{};
    int failures = 0;
    std::uint64_t generation = 0;  // Answers to older calls are dropped.
    instant call_started_at{};
    instant answer_deadline{};  // A later answer counts as a failure.
    // State of the read in progress.
    read_consistency quality = read_consistency::kCurrent;
    std::map<std::string, source_item> read_items;
    std::string read_after;                      // Key before the next page.
    std::optional<std::uint64_t> read_revision;  // Set by the first page.
    std::uint64_t read_era = 0;
    int restarts = 0;  // Reads begun anew since a watch was last answered.
    sigc::connection retry_timer;
  };

  area_state& At(source_area area) {
    return areas_[static_cast<std::size_t>(area)];
  }
  const area_state& At(source_area area) const {
    return areas_[static_cast<std::size_t>(area)];
  }
  // Whether this daemon should watch the source now.
  bool ShouldRead(instant now) const;
  void SetFollowing(area_state* state, bool following);
  void Read(area_state* state, const std::string& after,
            read_consistency quality);
  void ReadAgain(area_state* state) {
    Read(state, "", read_consistency::kCurrent);
  }
  void OnPage(area_state* state, source_page page);
  void WatchWhenRoleIsKnown(area_state* state);
  void Watch(area_state* state);
  void OnEvents(area_state* state, const mesh::source_position& since,
                source_page page);
  void OnProblem(area_state* state, source_problem problem);
  // False if the answer is of an earlier era than others; it is then dropped,
  // and the area read anew later.
  bool CheckEra(area_state* state, const source_page& page);
  // The source, or a peer's copy, is of this era.
  void LearnEra(std::uint64_t era);
  // Begins a read anew; with a growing delay if no watch was answered since the
  // last one.
  void Restart(area_state* state);
  void OnAnswered(area_state* state, const source_page& page);
  // Replaces all items and reports the differences to `on_item`.
  // `change_revision`: see `ChangeRevision`; 0 if the items show it.
  void Replace(area_state* state, std::map<std::string, source_item> items,
               const mesh::source_position& position,
               std::uint64_t change_revision, duration expiry_grace);
  // Replaces the items of an earlier era.
  void EnterEra(area_state* state, std::map<std::string, source_item> items,
                const mesh::source_position& position);
  // The removed item, marked so.
  static source_item Tombstone(const std::string& key, const removal& removed);
  // What is in force by key, with the removals that are known.
  static std::map<std::string, source_item> InForce(const area_state& state);
  // Reports the item in force for this key. `before`: the one so far, or null.
  void Report(area_state* state, const std::string& key,
              const source_item* before, bool ends_carried);
  void EndCarried(area_state* state);
  instant EndOfCarried(const area_state& state,
                       const carried_change& carried) const;
  // Changes of the source reach this daemon: its own watches are answered, or a
  // daemon whose watches are answered is heard.
  bool IsFed(instant now) const;
  bool Apply(area_state* state, source_item item);
  // The operators wrote `next` again after `before`, though it's the older one.
  bool IsOutOfOrder(const area_state& state, const source_item& before,
                    const source_item& next) const;
  void RecordPatch(area_state* state, const source_item& held,
                   const source_item& next);
  const std::string& PackFull(area_state* state, const source_item& item);
  // Resolves the items of a peer's message against those held.
  tl::expected<std::map<std::string, source_item>, std::string> ReadItems(
      area_state* state, const mirror_message& message);
  // Applies a message of the copy's own era that doesn't hold all items.
  import_result ImportChanges(area_state* state, const mirror_message& message,
                              std::map<std::string, source_item> items);
  // The peer can be expected to hold this item.
  static bool IsHeldByPeer(const area_state& state, const source_item& item,
                           const export_query& query);
  // No value: a patch is missing.
  std::optional<std::vector<mirror_message::item>> ExportItems(
      area_state* state, const export_query& query, bool is_full);
  // How long a peer's carried change is to be in force here; none: not at all,
  // as this daemon knows as much or more of its key.
  std::optional<duration> CarryTimeOfPeer(
      const area_state& state, const mirror_message::carried& change) const;
  // Records a removal of an earlier era for others that ask this daemon.
  static void RecordUndone(area_state* state,
                           const mirror_message::carried& change);
  // Ends a carried change of this daemon that the peer knows to be undone.
  bool EndUndone(area_state* state, const mirror_message::carried& change);
  // Puts a peer's carried changes in force that this daemon doesn't know.
  void AdoptCarried(area_state* state, const mirror_message& message);
  // The same, if the copies are of the same era.
  void ImportCarried(area_state* state, const mirror_message& message);
  void RecordRemoval(area_state* state, const std::string& key,
                     std::uint64_t revision, const source_item* last);
  void Remove(area_state* state, const std::string& key, std::uint64_t revision,
              duration expiry_grace);
  // Remaining time within which expired items may be restored.
  duration ExpiryGrace(const area_state& state) const;

  fleet_state& fleet_;
  source_reader& reader_;
  const source_decoder& decoder_;
  area_state areas_[2];
  std::uint64_t era_ = 0;  // See `Era`.
  instant answered_at_{};
  std::optional<instant> fed_since_;  // See `IsFed`; none: it isn't.
  // Since when too few readers precede this daemon; none: there are enough.
  std::optional<instant> few_readers_since_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_SOURCE_MIRROR_H_
