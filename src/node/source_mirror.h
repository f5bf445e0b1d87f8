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
// Invariant: an area's items never revert to an older revision. A page or event
// that is older than the item held for its key, or than its removal, is
// dropped. A complete copy (from a read or from a peer) replaces the items only
// if it is at least as new, and removes only items that aren't newer than it.
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
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "node/fleet_state.h"
#include "pimentohall/node.h"

namespace pimentohall::node {

class source_mirror {
 public:
  source_mirror(fleet_state& fleet, source_reader& reader);
  ~source_mirror();

  void Start();
  // Starts watching when this daemon becomes a reader. To be called often.
  void UpdateRole();
  // The newest revision at which this area's copy may have changed. After a
  // read that followed a gap this is the read's revision, as the gap may hide
  // changes that left no trace in the items.
  std::uint64_t ChangeRevision(source_area area) const {
    return At(area).change_revision;
  }
  // The copy contains all changes up to this revision.
  std::uint64_t Revision(source_area area) const { return At(area).revision; }
  // The place in the source's history that its last answer named.
  const mesh::source_position& Answered(source_area area) const {
    return At(area).answered;
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
  void RequestRead(source_area area);

  enum class export_form {
    kChanges,  // What changed, and the removals that are known.
    kPatches,  // The same, with large values as patches.
    kList,     // All items; those that didn't change by key and revision.
  };
  // An area's items for a peer that holds all changes up to `since`, as CBOR.
  // Every form holds all items if `since` is 0. Empty if patches are requested
  // and one is missing.
  std::string Export(source_area area, std::uint64_t since, export_form form);

  enum class import_result {
    kApplied,
    kRejected,  // Malformed, or based on an item that isn't held.
    kDiffers,   // Applied, but the copy differs from the peer's.
  };
  // Applies a peer's items where they are newer.
  import_result Import(std::string_view bytes);

  // Called when an item changed or was removed. `expiry_grace`: if the source
  // had an outage recently, a missing item may be restored within this time; 0
  // otherwise.
  std::function<void(source_area, const source_item&, duration expiry_grace)>
      on_item;
  // Called after `on_item` was called for all changes of one answer.
  std::function<void(source_area)> on_changes_applied;

 private:
  struct area_state {
    source_area area = source_area::kSettings;
    std::map<std::string, source_item> items;
    std::uint64_t revision = 0;         // All changes up to it are contained.
    std::uint64_t change_revision = 0;  // See `ChangeRevision`.
    std::uint64_t digest = 0;           // Sum of the hashes of all items.
    bool complete = false;              // A read was completed.
    bool following = false;             // Changes come from peers, not watches.
    std::map<std::string, mesh::patch_history> patches;  // Of large values.
    // Cache: the last large value that was compressed whole.
    std::string packed_key;
    std::uint64_t packed_revision = 0;
    std::string packed;
    // Revisions of the newest removals that this daemon learned of, by key.
    std::map<std::string, std::uint64_t> removals;
    mesh::source_position answered;  // Place of the source's last answer.
    bool reading = false;            // A read is in flight.
    bool watching = false;           // A watch is in flight.
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
  void OnEvents(area_state* state, source_page page);
  void OnProblem(area_state* state, source_problem problem);
  // Begins a read anew; with a growing delay if no watch was answered since the
  // last one.
  void Restart(area_state* state);
  void OnAnswered(area_state* state, const source_page& page);
  // Replaces all items and reports the differences to `on_item`.
  // `change_revision`: see `ChangeRevision`; 0 if the items show it.
  void Replace(area_state* state, std::map<std::string, source_item> items,
               std::uint64_t revision, std::uint64_t change_revision,
               duration expiry_grace);
  bool Apply(area_state* state, source_item item);
  void RecordPatch(area_state* state, const source_item& held,
                   const source_item& next);
  const std::string& PackFull(area_state* state, const source_item& item);
  // Decodes the items of a peer's message.
  tl::expected<std::map<std::string, source_item>, std::string> ReadItems(
      area_state* state, const nlohmann::json& encoded);
  void RecordRemoval(area_state* state, const std::string& key,
                     std::uint64_t revision);
  void Remove(area_state* state, const std::string& key, std::uint64_t revision,
              duration expiry_grace);
  // Remaining time within which expired items may be restored.
  duration ExpiryGrace(const area_state& state) const;

  fleet_state& fleet_;
  source_reader& reader_;
  area_state areas_[2];
  instant answered_at_{};
  // Since when too few readers precede this daemon; none: there are enough.
  std::optional<instant> few_readers_since_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_SOURCE_MIRROR_H_
