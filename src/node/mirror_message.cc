// A message is an array: the area, whether the items are all of the area's, the
// area's revision and its change revision, the items, the removals, the time
// within which expired items may be restored, and the digest of all items; with
// an era also the era, the carried changes, and whether the sender knows of all
// of these.
//
// An item is an array of key, value and revision. A packed value is followed by
// the revision that it is a patch of, 0 for none. An item that the receiver
// holds is an array of key, revision and, with an era, its hash. A carried
// change is an array of key, packed value, revision, the milliseconds that it
// has left, whether it is a removal (the value then is the last one), and its
// place in the source's history (era and revision).

#include "node/mirror_message.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "node/carry_rules.h"

namespace pimentohall::node {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using item_form = mirror_message::item::form;

constexpr std::size_t kFieldsWithoutEra = 8;
constexpr std::size_t kFieldsOfEarlierVersions = 10;
constexpr std::size_t kCarriedFieldsOfEarlierVersions = 5;
// The time left of a carried change that no time ends.
constexpr std::uint32_t kEndlessMs = std::numeric_limits<std::uint32_t>::max();

json Binary(const std::string& bytes) {
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string FromBinary(const json& binary) {
  const json::binary_t& bytes = binary.get_binary();
  return {bytes.begin(), bytes.end()};
}

json EncodeItem(const mirror_message::item& item, bool with_era) {
  switch (item.is) {
    case item_form::kHeld:
      return with_era ? json::array({item.key, item.revision, item.hash})
                      : json::array({item.key, item.revision});
    case item_form::kValue:
      return json::array({item.key, item.bytes, item.revision});
    case item_form::kPacked:
      break;
  }
  return json::array({item.key, Binary(item.bytes), item.revision, item.base});
}

mirror_message::item DecodeItem(const json& encoded) {
  mirror_message::item item;
  item.key = encoded.at(0).get<std::string>();
  if (encoded.at(1).is_number()) {
    item.is = item_form::kHeld;
    item.revision = encoded.at(1).get<std::uint64_t>();
    if (encoded.size() > 2) item.hash = encoded.at(2).get<std::uint64_t>();
    return item;
  }
  item.revision = encoded.at(2).get<std::uint64_t>();
  if (encoded.size() == 3) {
    item.bytes = encoded.at(1).get<std::string>();
    return item;
  }
  item.is = item_form::kPacked;
  item.bytes = FromBinary(encoded.at(1));
  item.base = encoded.at(3).get<std::uint64_t>();
  return item;
}

json EncodeCarried(const mirror_message::carried& carried) {
  const source_item& item = carried.item;
  const std::int64_t remaining_ms = std::min<std::int64_t>(
      std::chrono::duration_cast<milliseconds>(carried.remaining).count(),
      kEndlessMs);
  return json::array({item.key, Binary(mesh::Pack(item.value, {})),
                      item.revision, remaining_ms, item.removed,
                      carried.made.era, carried.made.revision});
}

tl::expected<mirror_message::carried, std::string> DecodeCarried(
    const json& encoded) {
  mirror_message::carried carried;
  carried.item.key = encoded.at(0).get<std::string>();
  auto value = mesh::Unpack(FromBinary(encoded.at(1)), {}, kMaxValueBytes);
  if (!value) return tl::unexpected(value.error());
  carried.item.value = std::move(*value);
  carried.item.revision = encoded.at(2).get<std::uint64_t>();
  const auto remaining_ms = encoded.at(3).get<std::uint32_t>();
  carried.remaining = remaining_ms == kEndlessMs
                          ? kUntilWritten
                          : duration(milliseconds(remaining_ms));
  carried.item.removed = encoded.at(4).get<bool>();
  if (encoded.size() > kCarriedFieldsOfEarlierVersions) {
    carried.made = {encoded.at(5).get<std::uint64_t>(),
                    encoded.at(6).get<std::uint64_t>()};
  }
  return carried;
}

tl::expected<mirror_message, std::string> Decode(const json& fields) {
  mirror_message message;
  const int area = fields.at(0).get<int>();
  if (area != 0 && area != 1) {
    return tl::unexpected<std::string>("unknown area");
  }
  message.area = static_cast<source_area>(area);
  message.is_full = fields.at(1).get<bool>();
  message.position.revision = fields.at(2).get<std::uint64_t>();
  message.change_revision = fields.at(3).get<std::uint64_t>();
  for (const json& each : fields.at(4)) {
    message.items.push_back(DecodeItem(each));
  }
  for (const json& each : fields.at(5)) {
    message.removals.push_back(
        {each.at(0).get<std::string>(), each.at(1).get<std::uint64_t>()});
  }
  message.expiry_grace = duration(fields.at(6).get<duration::rep>());
  if (fields.size() < kFieldsWithoutEra) return message;
  message.digest = fields.at(7).get<std::uint64_t>();
  if (fields.size() == kFieldsWithoutEra) return message;
  message.position.era = fields.at(8).get<std::uint64_t>();
  if (message.position.era > mesh::kMaxSourceEra) {
    return tl::unexpected<std::string>("the era is too large");
  }
  for (const json& each : fields.at(9)) {
    auto carried = DecodeCarried(each);
    if (!carried) return tl::unexpected(carried.error());
    message.carried_changes.push_back(std::move(*carried));
  }
  if (fields.size() > kFieldsOfEarlierVersions) {
    message.knows_past = fields.at(kFieldsOfEarlierVersions).get<bool>();
  }
  return message;
}

}  // namespace

std::string Encode(const mirror_message& message) {
  const bool with_era = message.position.era != 0;
  json items = json::array();
  for (const mirror_message::item& each : message.items) {
    items.push_back(EncodeItem(each, with_era));
  }
  json removals = json::array();
  for (const mirror_message::removal& each : message.removals) {
    removals.push_back(json::array({each.key, each.revision}));
  }
  json fields =
      json::array({static_cast<int>(message.area), message.is_full,
                   message.position.revision, message.change_revision,
                   std::move(items), std::move(removals),
                   message.expiry_grace.count(), message.digest.value_or(0)});
  if (with_era) {
    json carried = json::array();
    for (const mirror_message::carried& each : message.carried_changes) {
      carried.push_back(EncodeCarried(each));
    }
    fields.push_back(message.position.era);
    fields.push_back(std::move(carried));
    fields.push_back(message.knows_past);
  }
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

tl::expected<mirror_message, std::string> DecodeMirrorMessage(
    std::string_view bytes) {
  try {
    return Decode(json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const json::exception& error) {
    return tl::unexpected<std::string>(error.what());
  }
}

std::uint64_t ItemHash(const source_item& item, std::uint64_t era) {
  const std::uint64_t name =
      XXH64(item.key.data(), item.key.size(), item.revision);
  return era == 0 ? name : XXH64(item.value.data(), item.value.size(), name);
}

}  // namespace pimentohall::node
