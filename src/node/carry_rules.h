#ifndef PIMENTOHALL_NODE_CARRY_RULES_H_
#define PIMENTOHALL_NODE_CARRY_RULES_H_

// Which changes of an earlier era stay in force although the source doesn't
// hold them.
//
// A source that comes back from an older copy has lost its newest changes, and
// whoever made them makes them again: the operators, and each upstream that is
// alive. Until then the copy shows what was true before, and following it would
// bring back a withdrawn key or an upstream that is leaving. What is older is
// decided by the writer's own count (the configuration's version, the start and
// the reports of an upstream), never by the source's revisions, which are given
// out twice. Upstreams write again within times that the platform specifies.
// Operators take as long as they like, so their changes end only when the
// source shows a later one (decision 008).

#include <optional>

#include "pimentohall/node.h"

namespace pimentohall::node {

// From the source's return on, within this time:
//
// Entries are back, as the platform specifies.
inline constexpr duration kRestoreTime = std::chrono::milliseconds(2000);
// The same, at all daemons: a reader delays its next watch by up to a second.
inline constexpr duration kMissingTime = std::chrono::milliseconds(3000);
// Upstreams that are silent have lost their entries: three of their report
// intervals of 1.5 s, and the time that the entries take to be back.
inline constexpr duration kRewriteTime = std::chrono::milliseconds(6500);

// No time ends it, only a later change of the same key.
inline constexpr duration kUntilWritten = duration::max();

// What is known of an item that the source offers in a new era.
enum class offer_origin {
  kFirstEra,  // What is in force may be newer or older: it was read as stale.
  kCopy,      // Part of the copy, or written after the source's return.
  kWritten,   // Certainly written after the source's return.
};

// How long after the source's return `held`, which is in force, stays so when
// the source offers `offered` for the same key. `held.removed`: the item is
// known to be removed; its value is the last one, if known. `offered` null: the
// source doesn't hold the key. No value: what the source offers is in force.
std::optional<duration> CarryTime(const source_decoder& decoder,
                                  const source_item& held,
                                  const source_item* offered,
                                  offer_origin origin);

// The end of a change that is carried for `time` from `began` on.
inline instant CarryEnd(instant began, duration time) {
  return time == kUntilWritten ? instant::max() : began + time;
}

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_CARRY_RULES_H_
