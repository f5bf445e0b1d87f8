#ifndef PIMENTOHALL_NODE_SOURCE_MIRROR_H_
#define PIMENTOHALL_NODE_SOURCE_MIRROR_H_

// A copy of the source's items, kept current by a read and then by watches or
// by what peers pass on.
//
// Every daemon reads the source once when it starts. After that a few readers
// watch it, and the others follow them: calls to the source then don't grow
// with the fleet. Each daemon derives by itself whether it is a reader. It
// becomes one too when too few of those before it tell that the source answers
// them.
//
// Invariant: an area's items never go back. A page or event older than what is
// held for its key is dropped, and a whole copy (a read, or a peer's) replaces
// the items only if it is at least as new.
//
// Pages of a read aren't one snapshot, so watching goes on from the revision of
// the first page: what changed between pages comes again as events.

#include <cstdint>
#include <functional>
#include <map>
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
  // Takes up or ends the watches as this daemon's role changes; call often.
  void UpdateRole();
  // The newest revision of a change that this area's copy contains.
  std::uint64_t ChangeRevision(source_area area) const {
    return At(area).change_revision;
  }
  // The copy contains all changes up to this revision.
  std::uint64_t Revision(source_area area) const { return At(area).revision; }
  // This daemon watches all areas, and the source answers in time.
  bool IsReading() const;
  // A watch is open that will tell of the next change.
  bool IsWatching(source_area area) const { return At(area).watching; }
  // A read is likely to succeed.
  bool CanRead(source_area area) const;
  // When the source last answered, for any area.
  instant AnsweredAt() const { return answered_at_; }
  // Reads the area anew, unless that was done just now.
  void RequestRead(source_area area);

  // How large values go to a peer.
  enum class large_values { kWhole, kPatched };
  // The items of an area that changed after `since`, as CBOR, for a peer: all
  // of them if that isn't known any more. Empty if large values are to be
  // patched and a patch isn't known.
  std::string Export(source_area area, std::uint64_t since, large_values how);
  // Takes a peer's items over where they are newer. False if they are
  // unreadable.
  bool Import(std::string_view bytes);

  // An item changed or was removed. `expiry_grace`: the source was away lately,
  // and a missing item may come back within this time; 0 otherwise.
  std::function<void(source_area, const source_item&, duration expiry_grace)>
      on_item;
  // All changes of one answer were told.
  std::function<void(source_area)> on_changes_applied;

 private:
  struct area_state {
    source_area area = source_area::kSettings;
    std::map<std::string, source_item> items;
    std::uint64_t revision = 0;         // Everything up to it is contained.
    std::uint64_t change_revision = 0;  // Of the newest change contained.
    bool complete = false;              // A read was completed.
    bool following = false;             // Peers tell of changes.
    std::map<std::string, mesh::patch_history> patches;  // Of large values.
    // The last large value that was packed whole.
    std::string packed_key;
    std::uint64_t packed_revision = 0;
    std::string packed;
    // Removals by key, with their revisions; all after `removals_since`.
    std::map<std::string, std::uint64_t> removals;
    std::uint64_t removals_since = 0;
    bool reading = false;   // A read is in flight.
    bool watching = false;  // A watch is in flight.
    bool connected = false;
    bool loss_logged = false;
    instant lost_at{};
    instant reconnected_at{};
    int failures = 0;
    std::uint64_t generation = 0;  // Answers to older calls are dropped.
    instant call_started_at{};
    instant answer_deadline{};  // A call in flight that is late is a fault.
    // While a read goes on.
    read_quality quality = read_quality::kCurrent;
    std::map<std::string, source_item> read_items;
    std::uint64_t read_revision = 0;
    sigc::connection retry_timer;
  };

  area_state& At(source_area area) {
    return areas_[static_cast<std::size_t>(area)];
  }
  const area_state& At(source_area area) const {
    return areas_[static_cast<std::size_t>(area)];
  }
  // Whether this daemon is to watch the source now.
  bool ShouldRead(instant now) const;
  void SetFollowing(area_state* state, bool following);
  void Read(area_state* state, const std::string& after, read_quality quality);
  void ReadAgain(area_state* state) { Read(state, "", read_quality::kCurrent); }
  void OnPage(area_state* state, source_page page);
  void WatchWhenRoleIsKnown(area_state* state);
  void Watch(area_state* state);
  void OnEvents(area_state* state, source_page page);
  void OnProblem(area_state* state, source_problem problem);
  void OnAnswered(area_state* state);
  // Replaces all items; tells what differs.
  void Replace(area_state* state, std::map<std::string, source_item> items,
               std::uint64_t revision, duration expiry_grace);
  bool Apply(area_state* state, source_item item);
  void RecordPatch(area_state* state, const source_item& held,
                   const source_item& next);
  const std::string& PackFull(area_state* state, const source_item& item);
  void RecordRemoval(area_state* state, const std::string& key,
                     std::uint64_t revision);
  void Remove(area_state* state, const std::string& key, std::uint64_t revision,
              duration expiry_grace);
  // What is left of the time in which lapsed items come back.
  duration ExpiryGrace(const area_state& state) const;

  fleet_state& fleet_;
  source_reader& reader_;
  area_state areas_[2];
  instant answered_at_{};
  // Since when too few readers come before this daemon; none: enough do.
  std::optional<instant> few_readers_since_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_SOURCE_MIRROR_H_
