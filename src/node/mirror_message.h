#ifndef PIMENTOHALL_NODE_MIRROR_MESSAGE_H_
#define PIMENTOHALL_NODE_MIRROR_MESSAGE_H_

// The message in which one daemon gives items of its copy of the source to
// another.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "pimentohall/node.h"

namespace pimentohall::node {

// Allows for a configuration of some thousands of routes.
inline constexpr std::size_t kMaxValueBytes = 8 * 1024 * 1024;

struct mirror_message {
  struct item {
    enum class form {
      kHeld,    // The receiver is expected to hold it.
      kValue,   // The value as it is.
      kPacked,  // `mesh::Pack` of the value, with the value at `base`.
    };
    std::string key;
    form is = form::kValue;
    std::uint64_t revision = 0;
    std::string bytes;
    std::uint64_t base = 0;  // 0: packed without one.
    // Of a held item: `ItemHash`. Not sent without an era.
    std::uint64_t hash = 0;
  };
  struct removal {
    std::string key;
    std::uint64_t revision = 0;
  };
  // A change of an earlier era that is in force instead of what the source
  // holds.
  struct carried {
    source_item item;
    duration remaining{0};  // May be `kUntilWritten`.
    // Its place in the source's history; zero: not known.
    mesh::source_position made;
  };

  source_area area = source_area::kSettings;
  bool is_full = false;  // Holds all items of the area.
  mesh::source_position position;
  std::uint64_t change_revision = 0;  // In the era of `position`.
  std::vector<item> items;
  std::vector<removal> removals;
  duration expiry_grace{0};
  std::optional<std::uint64_t> digest;  // Daemons of earlier versions: none.
  // The rest is sent in full messages with an era.
  std::vector<carried> carried_changes;
  // These are all that the sender's fleet knows of; see
  // `source_mirror::KnowsPast`. Daemons of earlier versions always claim so.
  bool knows_past = true;
};

// A CBOR array. The era and the carried changes come last, so that a message
// without an era is the one that daemons of earlier versions know.
std::string Encode(const mirror_message& message);
tl::expected<mirror_message, std::string> DecodeMirrorMessage(
    std::string_view bytes);

// Names a value of an item. Without an era a revision names one value; a source
// that came back from an older copy gives it to another one, too.
std::uint64_t ItemHash(const source_item& item, std::uint64_t era);

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_MIRROR_MESSAGE_H_
