// The part of `source_mirror` that exchanges items with other daemons.

#include <algorithm>
#include <utility>

#include "node/carry_rules.h"
#include "node/source_mirror.h"

namespace pimentohall::node {
namespace {

using item_form = mirror_message::item::form;

mirror_message::item HeldItem(const source_item& item, std::uint64_t era) {
  return {item.key, item_form::kHeld,   item.revision, {},
          0,        ItemHash(item, era)};
}

// Decodes an item. `held`: the item that it may refer to or be a patch of, or
// null.
tl::expected<source_item, std::string> ReadItem(
    const mirror_message::item& encoded, const source_item* held,
    std::uint64_t era) {
  const bool has_revision =
      held != nullptr && held->revision == encoded.revision;
  source_item item = {encoded.key, {}, encoded.revision, false};
  switch (encoded.is) {
    case item_form::kHeld:
      if (!has_revision || (era != 0 && ItemHash(*held, era) != encoded.hash)) {
        return tl::unexpected("no item of revision " +
                              std::to_string(encoded.revision));
      }
      return *held;
    case item_form::kValue:
      item.value = encoded.bytes;
      return item;
    case item_form::kPacked:
      break;
  }
  std::string_view base;
  if (encoded.base != 0) {
    if (held == nullptr || held->revision != encoded.base) {
      return tl::unexpected("a patch of revision " +
                            std::to_string(encoded.base));
    }
    base = held->value;
  }
  auto value = mesh::Unpack(encoded.bytes, base, kMaxValueBytes);
  if (!value) return tl::unexpected(value.error());
  item.value = std::move(*value);
  return item;
}

}  // namespace

// Compresses a whole value. The result is cached, as many peers request the
// same value within a second.
const std::string& source_mirror::PackFull(area_state* state,
                                           const source_item& item) {
  if (state->packed_key != item.key ||
      state->packed_revision != item.revision) {
    state->packed_key = item.key;
    state->packed_revision = item.revision;
    state->packed = mesh::Pack(item.value, {});
  }
  return state->packed;
}

bool source_mirror::IsHeldByPeer(const area_state& state,
                                 const source_item& item,
                                 const export_query& query) {
  if (query.since.revision == 0) return false;
  if (!query.knows_eras || query.since.era == state.position.era) {
    return item.revision <= query.since.revision;
  }
  // The peer's copy of an earlier era most likely holds what this one did.
  return item.revision <= state.era_revision &&
         state.new_in_era.count(item.key) == 0;
}

std::optional<std::vector<mirror_message::item>> source_mirror::ExportItems(
    area_state* state, const export_query& query, bool is_full) {
  std::vector<mirror_message::item> items;
  for (const auto& [key, item] : state->items) {
    if (IsHeldByPeer(*state, item, query)) {
      if (is_full) items.push_back(HeldItem(item, state->position.era));
    } else if (item.value.size() < kLargeValueBytes) {
      items.push_back(
          {key, item_form::kValue, item.revision, item.value, 0, 0});
    } else if (query.form != export_form::kPatches) {
      items.push_back({key, item_form::kPacked, item.revision,
                       PackFull(state, item), 0, 0});
    } else {
      const mesh::patch_history& history = state->patches[key];
      const auto steps = history.Since(query.since.revision);
      if (!steps || history.Newest() != item.revision) return std::nullopt;
      for (const mesh::value_patch& patch : *steps) {
        items.push_back(
            {key, item_form::kPacked, patch.to, patch.packed, patch.from, 0});
      }
    }
  }
  return items;
}

std::string source_mirror::Export(const export_query& query) {
  area_state& state = At(query.area);
  const bool other_era =
      query.knows_eras && query.since.era != state.position.era;
  const bool is_full = query.since.revision == 0 || other_era ||
                       query.form == export_form::kList;
  if (query.form == export_form::kPatches && is_full) return {};
  // A copy of an unknown era says nothing to a peer that knows eras.
  if (query.knows_eras && state.position.era == 0) return {};
  auto items = ExportItems(&state, query, is_full);
  if (!items) return {};
  const instant now = fleet_.loop.Now();
  mirror_message message;
  message.area = query.area;
  message.is_full = is_full;
  if (state.complete) message.position = state.position;
  message.change_revision = state.change_revision;
  message.items = std::move(*items);
  message.expiry_grace = ExpiryGrace(state);
  message.digest = state.digest;
  for (const auto& [key, removed] : state.removals) {
    if (removed.position.era != state.position.era ||
        state.items.count(key) != 0) {
      continue;
    }
    // A list shows what isn't held. With eras it can't show whether a missing
    // item was removed in this era or lost by the source.
    const bool is_needed =
        is_full ? query.knows_eras
                : removed.position.revision > query.since.revision;
    if (!is_needed) continue;
    message.removals.push_back({key, removed.position.revision});
  }
  if (query.knows_eras && is_full) {
    for (const auto& [key, carried] : state.carried) {
      if (carried.until <= now || carried.is_inferred) continue;
      const bool ends = carried.until != instant::max();
      message.carried_changes.push_back(
          {carried.item, ends ? carried.until - now : kUntilWritten,
           carried.made});
    }
    // The peer may carry what was undone in an earlier era. Upstreams that left
    // then are many, and their entries end in time.
    for (const auto& [key, removed] : state.removals) {
      if (query.area != source_area::kSettings || state.items.count(key) != 0 ||
          removed.position.era == state.position.era ||
          removed.position.revision == 0) {
        continue;
      }
      message.carried_changes.push_back(
          {Tombstone(key, removed), kUntilWritten, removed.position});
    }
    message.knows_past = KnowsPast(query.area);
  }
  if (!query.knows_eras) {
    // The digest that daemons of earlier versions compute.
    message.position.era = 0;
    message.digest = 0;
    for (const auto& [key, item] : state.items) {
      *message.digest += ItemHash(item, 0);
    }
  }
  return Encode(message);
}

tl::expected<std::map<std::string, source_item>, std::string>
source_mirror::ReadItems(area_state* state, const mirror_message& message) {
  std::map<std::string, source_item> items;
  for (const mirror_message::item& encoded : message.items) {
    const auto next = items.find(encoded.key);
    const auto held = state->items.find(encoded.key);
    const source_item* base = nullptr;
    if (held != state->items.end()) base = &held->second;
    if (next != items.end()) base = &next->second;
    auto item = ReadItem(encoded, base, message.position.era);
    if (!item) return tl::unexpected(item.error());
    if (encoded.base != 0) {
      state->patches[encoded.key].Add(
          {encoded.base, item->revision, encoded.bytes});
    }
    items[encoded.key] = std::move(*item);
  }
  return items;
}

source_mirror::import_result source_mirror::Import(std::string_view bytes) {
  auto decoded = DecodeMirrorMessage(bytes);
  if (!decoded) {
    net::Log(core::log_level::kWarning, "items of a peer are unreadable",
             {{"problem", decoded.error()}});
    return import_result::kRejected;
  }
  const mirror_message& message = *decoded;
  area_state& state = At(message.area);
  // A copy of an unknown era, or of an earlier version's daemon.
  if (message.position.era < state.position.era) return import_result::kApplied;
  const bool same_era = message.position.era == state.position.era;
  const bool is_known = state.complete && message.position <= state.position;
  // Changes are of no use without the items that they are based on.
  const bool has_no_base = !message.is_full && (!state.complete || !same_era);
  const bool nothing = message.position.revision == 0;
  if (is_known || has_no_base || nothing) {
    ImportCarried(&state, message);
    return import_result::kApplied;
  }
  auto items = ReadItems(&state, message);
  if (!items) {
    net::Log(core::log_level::kInfo, "item of a peer doesn't fit",
             {{"area", AreaName(state.area)},
              {"own_revision", mesh::ToText(state.position)},
              {"problem", items.error()}});
    return import_result::kRejected;
  }
  LearnEra(message.position.era);
  net::Log(core::log_level::kInfo, "took items over from a peer",
           {{"area", AreaName(state.area)},
            {"revision", mesh::ToText(message.position)},
            {"own_revision", mesh::ToText(state.position)},
            {"all", message.is_full ? "yes" : "no"},
            {"items", std::to_string(items->size())},
            {"removals", std::to_string(message.removals.size())}});
  if (!message.is_full) {
    return ImportChanges(&state, message, std::move(*items));
  }
  // What the peer knows of the eras before has to be known before the copy of
  // the new one is put in force.
  if (!same_era) AdoptCarried(&state, message);
  Replace(&state, std::move(*items), message.position, message.change_revision,
          message.expiry_grace);
  for (const mirror_message::removal& each : message.removals) {
    Remove(&state, each.key, each.revision, message.expiry_grace);
  }
  if (!message.removals.empty() && on_changes_applied) {
    on_changes_applied(state.area);
  }
  ImportCarried(&state, message);
  return import_result::kApplied;
}

source_mirror::import_result source_mirror::ImportChanges(
    area_state* state, const mirror_message& message,
    std::map<std::string, source_item> items) {
  for (const mirror_message::removal& each : message.removals) {
    Remove(state, each.key, each.revision, message.expiry_grace);
  }
  for (auto& entry : items) Apply(state, std::move(entry.second));
  const bool differs = message.digest && *message.digest != state->digest;
  if (!differs) {
    state->position = message.position;
    state->change_revision =
        std::max(state->change_revision, message.change_revision);
  }
  if (on_changes_applied) on_changes_applied(state->area);
  return differs ? import_result::kDiffers : import_result::kApplied;
}

std::optional<duration> source_mirror::CarryTimeOfPeer(
    const area_state& state, const mirror_message::carried& change) const {
  const source_item& item = change.item;
  if (state.carried.count(item.key) != 0) return std::nullopt;
  // The peer doesn't know which start of an upstream was removed.
  if (item.removed && item.value.empty()) return std::nullopt;
  const auto held = state.items.find(item.key);
  const source_item* const offered =
      held == state.items.end() ? nullptr : &held->second;
  const bool same = offered == nullptr
                        ? item.removed
                        : !item.removed && item.value == offered->value;
  if (same) return std::nullopt;
  const auto removed = state.removals.find(item.key);
  if (offered == nullptr && removed != state.removals.end()) {
    if (removed->second.position.era == state.position.era) return std::nullopt;
    // This daemon knows of a removal that the peer doesn't.
    const bool is_later =
        state.area == source_area::kSettings
            ? change.made < removed->second.position
            : CarryTime(decoder_, Tombstone(item.key, removed->second), &item,
                        offer_origin::kCopy)
                  .has_value();
    if (is_later) return std::nullopt;
  }
  const bool is_written =
      offered != nullptr && offered->revision > state.era_revision;
  return CarryTime(decoder_, item, offered,
                   is_written ? offer_origin::kWritten : offer_origin::kCopy);
}

bool source_mirror::EndUndone(area_state* state,
                              const mirror_message::carried& change) {
  const std::string& key = change.item.key;
  const auto carried = state->carried.find(key);
  if (carried == state->carried.end() || carried->second.item.removed ||
      !change.item.removed || state->items.count(key) != 0 ||
      change.made <= carried->second.made) {
    return false;
  }
  const source_item undone = std::move(carried->second.item);
  state->carried.erase(carried);
  state->removals[key] = {change.made, undone};
  Report(state, key, &undone, true);
  return true;
}

void source_mirror::RecordUndone(area_state* state,
                                 const mirror_message::carried& change) {
  const std::string& key = change.item.key;
  const bool is_new = change.item.removed && change.made.era != 0 &&
                      change.made.era != state->position.era &&
                      state->items.count(key) == 0 &&
                      state->carried.count(key) == 0;
  if (!is_new) return;
  removal& recorded = state->removals[key];
  if (recorded.position < change.made) recorded = {change.made, change.item};
}

void source_mirror::AdoptCarried(area_state* state,
                                 const mirror_message& message) {
  const instant now = fleet_.loop.Now();
  bool changed = false;
  for (const mirror_message::carried& each : message.carried_changes) {
    const std::string& key = each.item.key;
    if (EndUndone(state, each)) {
      changed = true;
      continue;
    }
    RecordUndone(state, each);
    const auto time = CarryTimeOfPeer(*state, each);
    if (!time) continue;
    std::optional<source_item> before;
    const auto held = state->items.find(key);
    if (held != state->items.end()) before = held->second;
    // A daemon of an earlier version ends all changes in time.
    const duration left =
        *time == kUntilWritten ? *time : std::min(*time, each.remaining);
    state->carried[key] = {each.item, CarryEnd(now, left), false, each.made};
    Report(state, key, before ? &*before : nullptr, false);
    changed = true;
  }
  if (changed && on_changes_applied) on_changes_applied(state->area);
}

void source_mirror::ImportCarried(area_state* state,
                                  const mirror_message& message) {
  if (!message.is_full || message.position.era == 0 ||
      message.position.era != state->position.era) {
    return;
  }
  if (message.knows_past) {
    state->introduced_era = message.position.era;
    state->knows_past = true;
  }
  AdoptCarried(state, message);
  // Its writer has undone it in this era, which left no other trace.
  bool changed = false;
  for (const mirror_message::removal& each : message.removals) {
    const bool undoes = state->carried.count(each.key) != 0 &&
                        state->items.count(each.key) == 0;
    if (!undoes) continue;
    Remove(state, each.key, each.revision, message.expiry_grace);
    changed = true;
  }
  if (changed && on_changes_applied) on_changes_applied(state->area);
}

}  // namespace pimentohall::node
