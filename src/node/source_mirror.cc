#include "node/source_mirror.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pimentohall::node {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Number of daemons that watch the source. With three, one remains if one is
// cut off from the source while another fails.
constexpr std::size_t kReaderCount = 3;
// How long a watch waits at the source. A watch that the source lost is noticed
// only when this time is over, so the first reader's is shorter.
constexpr duration kFirstReaderWatchDuration = milliseconds(1500);
constexpr duration kBackupWatchDuration = milliseconds(3000);
// After its start a daemon waits this long for its peers' news before it
// decides on its role.
constexpr duration kRoleDelay = milliseconds(1500);
constexpr duration kRoleCheckPeriod = milliseconds(50);
// Readers that lost the source are replaced after this time. It exceeds the
// time that news take to report that a daemon began to read.
constexpr duration kTakeoverDelay = milliseconds(1000);
// The source usually answers within a few milliseconds; when it is slow, within
// some hundreds.
constexpr duration kReadTimeout = milliseconds(1500);
constexpr duration kWatchTimeoutMargin = milliseconds(800);
// An answer is late when it exceeds its wait by this much. The daemon then no
// longer counts as a reader, and others take over.
constexpr duration kAnswerGrace = milliseconds(400);
// Delay before the next watch after an answer with changes, so that changes in
// quick succession come in one answer. The first reader's delay is the
// shortest; the other readers are backups and usually get the changes from it
// in the meantime.
constexpr duration kBatchDelay = milliseconds(250);
constexpr duration kBatchDelayPerReader = milliseconds(600);
// An empty answer that comes sooner after its call ends a watch that the source
// cut; the next one isn't sent at once.
constexpr duration kMinWatchInterval = milliseconds(100);
// Delay after a failed call; doubled with each consecutive failure.
constexpr duration kInitialRetryDelay = milliseconds(100);
constexpr duration kMaxRetryDelay = milliseconds(800);
// The same for a daemon that only substitutes for readers that lost the source.
constexpr duration kStandInRetryDelay = milliseconds(2400);
// Minimum interval between reads that are triggered by a peer's report.
// Together with the delays of the news and of the read itself, a change is in
// force within 2 s, the strictest requirement that a platform may set.
constexpr duration kMinReadInterval = milliseconds(900);
// The same for a daemon that reads the source instead of following peers. It is
// usually between two watches, so its last call isn't stuck.
constexpr duration kMinReaderReadInterval = milliseconds(150);
// A failed call says nothing about the source's state after this time.
constexpr duration kFailureExpiry = milliseconds(3000);
// Removals that are kept for peers; a rolling release causes some tens.
constexpr std::size_t kMaxRemovals = 400;
// Items that expired during an outage of the source are restored within this
// time after it returns, as the platform specifies.
constexpr duration kRestoreTime = milliseconds(2000);
// Values of at least this size are sent to peers compressed. An entry of an
// upstream has some hundreds of bytes, a configuration tens of thousands.
constexpr std::size_t kLargeValueBytes = 8 * 1024;
// Allows for a configuration of some thousands of routes.
constexpr std::size_t kMaxValueBytes = 8 * 1024 * 1024;

// A revision names one value of a key, so the value isn't hashed.
std::uint64_t ItemHash(const source_item& item) {
  return XXH64(item.key.data(), item.key.size(), item.revision);
}

const char* ProblemName(source_problem problem) {
  switch (problem) {
    case source_problem::kUnreachable:
      return "unreachable";
    case source_problem::kRefused:
      return "refused";
    case source_problem::kHistoryGone:
      return "history_gone";
    case source_problem::kMalformed:
      return "unreadable";
  }
  return "unreadable";
}

// Delay before the next call after this many failures in a row.
duration RetryDelay(int failures) {
  const int doublings = std::clamp(failures - 1, 0, 3);
  return std::min(kMaxRetryDelay, kInitialRetryDelay * (1 << doublings));
}

}  // namespace

source_mirror::source_mirror(fleet_state& fleet, source_reader& reader)
    : fleet_(fleet), reader_(reader) {
  for (const source_area area : kSourceAreas) At(area).area = area;
}

source_mirror::~source_mirror() {
  for (area_state& state : areas_) state.retry_timer.disconnect();
}

void source_mirror::Start() {
  for (area_state& s : areas_) Read(&s, "", read_consistency::kAllowStale);
}

bool source_mirror::CanRead(source_area area) const {
  const area_state& state = At(area);
  if (!state.complete) return false;
  return state.failures == 0 ||
         fleet_.loop.Now() - state.call_started_at >= kFailureExpiry;
}

// ---------------------------------------------------------------------------
// The role.

bool source_mirror::IsReading() const {
  const instant now = fleet_.loop.Now();
  return std::all_of(
      std::begin(areas_), std::end(areas_), [now](const area_state& state) {
        return state.complete && !state.following && state.connected &&
               state.failures == 0 && now <= state.answer_deadline;
      });
}

bool source_mirror::ShouldRead(instant now) const {
  if (fleet_.peers.IsSelected(kReaderCount, now)) return true;
  return few_readers_since_ && now - *few_readers_since_ >= kTakeoverDelay;
}

void source_mirror::SetFollowing(area_state* state, bool following) {
  if (state->following == following) return;
  state->following = following;
  state->reading = false;
  state->watching = false;
  ++state->generation;
  state->retry_timer.disconnect();
  const instant now = fleet_.loop.Now();
  net::Log(core::log_level::kInfo,
           following ? "follows the readers" : "reads the source",
           {{"area", AreaName(state->area)},
            {"revision", std::to_string(state->revision)},
            {"heard", std::to_string(fleet_.peers.CountHeard(now))},
            {"readers_before",
             std::to_string(fleet_.peers.CountReadersBefore(now))}});
}

void source_mirror::UpdateRole() {
  const instant now = fleet_.loop.Now();
  if (fleet_.peers.CountReadersBefore(now) >= kReaderCount) {
    few_readers_since_.reset();
  } else if (!few_readers_since_) {
    few_readers_since_ = now;
  }
  for (area_state& state : areas_) {
    if (!state.following || !ShouldRead(now)) continue;
    SetFollowing(&state, false);
    Watch(&state);
  }
}

duration source_mirror::ExpiryGrace(const area_state& state) const {
  if (state.reconnected_at == instant{}) return duration{0};
  return std::max(duration{0},
                  state.reconnected_at + kRestoreTime - fleet_.loop.Now());
}

// ---------------------------------------------------------------------------
// Reading.

void source_mirror::Read(area_state* state, const std::string& after,
                         read_consistency quality) {
  if (after.empty()) {
    state->read_items.clear();
    state->read_revision.reset();
    state->quality = quality;
  }
  state->read_after = after;
  state->call_started_at = fleet_.loop.Now();
  state->answer_deadline = state->call_started_at + kAnswerGrace;
  state->reading = true;
  state->watching = false;
  const std::uint64_t generation = ++state->generation;
  reader_.ReadPage(state->area, after, state->quality, kReadTimeout,
                   [this, state, generation](
                       tl::expected<source_page, source_problem> page) {
                     if (generation != state->generation) return;
                     state->reading = false;
                     if (!page) {
                       OnProblem(state, page.error());
                     } else {
                       OnPage(state, std::move(*page));
                     }
                   });
}

void source_mirror::Restart(area_state* state) {
  if (state->restarts++ == 0) {
    ReadAgain(state);
    return;
  }
  state->watching = false;
  ++state->generation;
  state->retry_timer.disconnect();
  state->retry_timer = fleet_.timers.After(
      RetryDelay(state->restarts - 1),
      sigc::slot<void()>([this, state] { ReadAgain(state); }));
}

void source_mirror::OnPage(area_state* state, source_page page) {
  OnAnswered(state, page);
  const bool may_be_stale = state->quality == read_consistency::kAllowStale;
  std::string last;
  std::uint64_t newest = 0;
  for (source_item& item : page.items) {
    last = std::max(last, item.key);
    newest = std::max(newest, item.revision);
    state->read_items[item.key] = std::move(item);
  }
  const std::uint64_t complete_up_to = may_be_stale ? newest : page.revision;
  state->read_revision =
      std::min(state->read_revision.value_or(complete_up_to), complete_up_to);
  if (page.has_more) {
    if (last > state->read_after) {
      Read(state, last, state->quality);
    } else {
      OnProblem(state, source_problem::kMalformed);  // It would never end.
    }
    return;
  }
  const std::uint64_t revision = *state->read_revision;
  // Changes that were made since the last revision held may have left no trace
  // in the items, such as an entry that came and went.
  std::uint64_t change_revision = 0;
  if (!may_be_stale && (!state->complete || revision > state->revision)) {
    change_revision = revision;
  }
  Replace(state, std::exchange(state->read_items, {}), revision,
          change_revision, ExpiryGrace(*state));
  WatchWhenRoleIsKnown(state);
}

// Starts to watch at once, unless this daemon has just started and isn't needed
// as a reader if all others are alive. It then waits until its role is known.
void source_mirror::WatchWhenRoleIsKnown(area_state* state) {
  const instant decided_at = fleet_.started_at + kRoleDelay;
  const bool is_needed =
      At(source_area::kUpstreams).complete &&
      fleet_.peers.IsSelected(kReaderCount, fleet_.directory.Addresses());
  if (fleet_.loop.Now() >= decided_at || is_needed) {
    Watch(state);
    return;
  }
  state->answer_deadline = instant{};  // Not a reader until then.
  state->retry_timer.disconnect();
  state->retry_timer = fleet_.timers.After(
      kRoleCheckPeriod,
      sigc::slot<void()>([this, state] { WatchWhenRoleIsKnown(state); }));
}

void source_mirror::Watch(area_state* state) {
  const instant now = fleet_.loop.Now();
  SetFollowing(state, !ShouldRead(now));
  if (state->following) return;
  const bool is_first = fleet_.peers.CountReadersBefore(now) == 0;
  const duration wait =
      is_first ? kFirstReaderWatchDuration : kBackupWatchDuration;
  state->call_started_at = now;
  state->answer_deadline = now + wait + kAnswerGrace;
  state->watching = true;
  const std::uint64_t generation = ++state->generation;
  reader_.Watch(state->area, state->revision, wait, wait + kWatchTimeoutMargin,
                [this, state,
                 generation](tl::expected<source_page, source_problem> page) {
                  if (generation != state->generation) return;
                  state->watching = false;
                  if (!page) {
                    OnProblem(state, page.error());
                  } else {
                    OnEvents(state, std::move(*page));
                  }
                });
}

void source_mirror::OnEvents(area_state* state, source_page page) {
  OnAnswered(state, page);
  state->restarts = 0;
  bool changed = false;
  for (source_item& item : page.items) {
    // A peer may have told of newer changes while the answer was on its way.
    if (item.revision <= state->revision) continue;
    if (item.removed) {
      Remove(state, item.key, item.revision, ExpiryGrace(*state));
      changed = true;
    } else {
      changed = Apply(state, std::move(item)) || changed;
    }
  }
  state->revision = std::max(state->revision, page.revision);
  if (changed && on_changes_applied) on_changes_applied(state->area);
  const instant now = fleet_.loop.Now();
  if (page.items.empty() && now - state->call_started_at >= kMinWatchInterval) {
    Watch(state);
    return;
  }
  const auto before = static_cast<int>(
      std::min(kReaderCount, fleet_.peers.CountReadersBefore(now)));
  const duration delay = page.items.empty()
                             ? kInitialRetryDelay
                             : kBatchDelay + kBatchDelayPerReader * before;
  ++state->generation;
  state->answer_deadline = now + delay + kAnswerGrace;
  state->retry_timer.disconnect();
  state->retry_timer = fleet_.timers.After(
      delay, sigc::slot<void()>([this, state] { Watch(state); }));
}

void source_mirror::OnAnswered(area_state* state, const source_page& page) {
  const instant now = fleet_.loop.Now();
  state->answered = {page.era, page.revision};
  answered_at_ = now;
  state->failures = 0;
  fleet_.metrics.CountSource("answered");
  if (state->connected) return;
  state->connected = true;
  if (state->lost_at != instant{}) state->reconnected_at = now;
  net::Log(
      core::log_level::kInfo,
      state->loss_logged ? "source regained" : "source reached",
      {{"area", AreaName(state->area)},
       {"revision", std::to_string(state->revision)},
       {"away_ms",
        state->lost_at != instant{} ? MsText(now - state->lost_at) : "0"}});
  state->loss_logged = false;
}

void source_mirror::OnProblem(area_state* state, source_problem problem) {
  const instant now = fleet_.loop.Now();
  fleet_.metrics.CountSource(ProblemName(problem));
  if (problem == source_problem::kHistoryGone) {
    net::Log(core::log_level::kInfo, "source dropped its history",
             {{"area", AreaName(state->area)},
              {"revision", std::to_string(state->revision)}});
    Restart(state);
    return;
  }
  ++state->failures;
  // A single broken watch isn't an outage.
  const bool is_lost = state->failures >= 2;
  if (state->connected && is_lost) {
    state->connected = false;
    state->lost_at = now;
  }
  if (is_lost && !state->loss_logged) {
    state->loss_logged = true;
    net::Log(core::log_level::kWarning, "source lost",
             {{"area", AreaName(state->area)},
              {"problem", ProblemName(problem)},
              {"revision", std::to_string(state->revision)}});
  }
  duration wait = RetryDelay(state->failures);
  const bool is_primary = fleet_.peers.IsSelected(kReaderCount, now);
  if (is_lost && state->complete && !is_primary) wait = kStandInRetryDelay;
  state->retry_timer.disconnect();
  state->retry_timer = fleet_.timers.After(
      wait, sigc::slot<void()>([this, state] {
        const bool is_needed =
            !state->complete || ShouldRead(fleet_.loop.Now());
        SetFollowing(state, !is_needed);
        if (is_needed) ReadAgain(state);
      }));
}

void source_mirror::RequestRead(source_area area) {
  area_state& state = At(area);
  const duration age =
      state.following ? kMinReadInterval : kMinReaderReadInterval;
  if (state.reading || fleet_.loop.Now() - state.call_started_at < age) return;
  state.retry_timer.disconnect();
  ReadAgain(&state);
}

// ---------------------------------------------------------------------------
// Items.

bool source_mirror::Apply(area_state* state, source_item item) {
  const auto removal = state->removals.find(item.key);
  if (removal != state->removals.end() && removal->second >= item.revision) {
    return false;
  }
  source_item& held = state->items[item.key];
  if (held.revision >= item.revision && !held.key.empty()) return false;
  const bool same = !held.key.empty() && held.value == item.value;
  RecordPatch(state, held, item);
  if (!held.key.empty()) state->digest -= ItemHash(held);
  held = std::move(item);
  state->digest += ItemHash(held);
  state->change_revision = std::max(state->change_revision, held.revision);
  if (!same && on_item) on_item(state->area, held, duration{0});
  return !same;
}

// Records a patch for a changed large value, unless it arrived as a patch.
void source_mirror::RecordPatch(area_state* state, const source_item& held,
                                const source_item& next) {
  if (held.value.size() < kLargeValueBytes ||
      next.value.size() < kLargeValueBytes) {
    return;
  }
  mesh::patch_history& history = state->patches[next.key];
  if (history.Newest() >= next.revision) return;
  history.Add(
      {held.revision, next.revision, mesh::Pack(next.value, held.value)});
}

void source_mirror::Remove(area_state* state, const std::string& key,
                           std::uint64_t revision, duration expiry_grace) {
  const auto found = state->items.find(key);
  state->change_revision = std::max(state->change_revision, revision);
  RecordRemoval(state, key, revision);
  if (found == state->items.end()) return;
  if (revision != 0 && found->second.revision > revision) return;
  source_item removed_item = std::move(found->second);
  state->digest -= ItemHash(removed_item);
  state->patches.erase(key);
  state->items.erase(found);
  removed_item.removed = true;
  if (revision != 0) removed_item.revision = revision;
  if (on_item) on_item(state->area, removed_item, expiry_grace);
}

void source_mirror::Replace(area_state* state,
                            std::map<std::string, source_item> items,
                            std::uint64_t revision,
                            std::uint64_t change_revision,
                            duration expiry_grace) {
  if (state->complete && revision < state->revision) {
    net::Log(core::log_level::kWarning, "older copy of the source ignored",
             {{"area", AreaName(state->area)},
              {"revision", std::to_string(revision)},
              {"own_revision", std::to_string(state->revision)}});
    return;
  }
  std::vector<std::string> missing;
  for (const auto& [key, held] : state->items) {
    // The copy says nothing of changes after its revision.
    if (items.count(key) == 0 && held.revision <= revision) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    Remove(state, key, 0, expiry_grace);
    RecordRemoval(state, key, revision);
  }
  for (auto& entry : items) Apply(state, std::move(entry.second));
  // Removals that only the read revealed get the revision of the read.
  if (!missing.empty()) change_revision = std::max(change_revision, revision);
  state->change_revision = std::max(state->change_revision, change_revision);
  state->revision = revision;
  state->complete = true;
  if (on_changes_applied) on_changes_applied(state->area);
}

// Records a removal for peers; beyond the limit, the oldest one is dropped.
void source_mirror::RecordRemoval(area_state* state, const std::string& key,
                                  std::uint64_t revision) {
  if (revision == 0) return;
  std::uint64_t& held = state->removals[key];
  held = std::max(held, revision);
  if (state->removals.size() <= kMaxRemovals) return;
  const auto oldest = std::min_element(
      state->removals.begin(), state->removals.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  state->removals.erase(oldest);
}

// ---------------------------------------------------------------------------
// Exchange of items between daemons. A message is a CBOR array: the area,
// whether the items are all of the area's, the area's revision and its change
// revision, the items, the removals, the time within which expired items may be
// restored, and the digest of all items. An item is an array of key, value and
// revision; a compressed item is followed by the revision of the value that it
// is a patch of, 0 for none. An item that the receiver holds already is an
// array of key and revision.

namespace {

json PackedItem(const std::string& key, const std::string& packed,
                std::uint64_t revision, std::uint64_t base) {
  return json::array(
      {key,
       json::binary(std::vector<std::uint8_t>(packed.begin(), packed.end())),
       revision, base});
}

// Decodes an item. `held`: the item that it may refer to or be a patch of, or
// null.
tl::expected<source_item, std::string> ReadItem(const json& encoded,
                                                const source_item* held) {
  source_item item;
  item.key = encoded.at(0).get<std::string>();
  if (encoded.size() == 2) {
    const auto revision = encoded.at(1).get<std::uint64_t>();
    if (held == nullptr || held->revision != revision) {
      return tl::unexpected("no item of revision " + std::to_string(revision));
    }
    return *held;
  }
  item.revision = encoded.at(2).get<std::uint64_t>();
  if (encoded.size() == 3) {
    item.value = encoded.at(1).get<std::string>();
    return item;
  }
  const auto base = encoded.at(3).get<std::uint64_t>();
  if (base != 0 && (held == nullptr || held->revision != base)) {
    return tl::unexpected("a patch of revision " + std::to_string(base));
  }
  std::string_view base_value;
  if (base != 0) base_value = held->value;
  const json::binary_t& packed = encoded.at(1).get_binary();
  auto value = mesh::Unpack(
      {reinterpret_cast<const char*>(packed.data()), packed.size()}, base_value,
      kMaxValueBytes);
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

std::string source_mirror::Export(source_area area, std::uint64_t since,
                                  export_form form) {
  area_state& state = At(area);
  const bool is_full = since == 0 || form == export_form::kList;
  const bool patched = form == export_form::kPatches;
  if (patched && is_full) return {};
  json items = json::array();
  json removals = json::array();
  for (const auto& [key, item] : state.items) {
    if (item.revision <= since) {
      if (is_full) items.push_back(json::array({key, item.revision}));
    } else if (item.value.size() < kLargeValueBytes) {
      items.push_back(json::array({key, item.value, item.revision}));
    } else if (!patched) {
      items.push_back(
          PackedItem(key, PackFull(&state, item), item.revision, 0));
    } else {
      const mesh::patch_history& history = state.patches[key];
      const auto steps = history.Since(since);
      if (!steps || history.Newest() != item.revision) return {};
      for (const mesh::value_patch& patch : *steps) {
        items.push_back(PackedItem(key, patch.packed, patch.to, patch.from));
      }
    }
  }
  for (const auto& [key, revision] : state.removals) {
    if (is_full || revision <= since || state.items.count(key) != 0) continue;
    removals.push_back(json::array({key, revision}));
  }
  const json message = json::array(
      {static_cast<int>(area), is_full, state.complete ? state.revision : 0,
       state.change_revision, std::move(items), std::move(removals),
       ExpiryGrace(state).count(), state.digest});
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

tl::expected<std::map<std::string, source_item>, std::string>
source_mirror::ReadItems(area_state* state, const json& encoded) {
  std::map<std::string, source_item> items;
  for (const json& entry : encoded) {
    const auto key = entry.at(0).get<std::string>();
    const auto next = items.find(key);
    const auto held = state->items.find(key);
    const source_item* base = nullptr;
    if (held != state->items.end()) base = &held->second;
    if (next != items.end()) base = &next->second;
    auto item = ReadItem(entry, base);
    if (!item) return tl::unexpected(item.error());
    if (entry.size() > 3 && entry.at(3).get<std::uint64_t>() != 0) {
      const json::binary_t& packed = entry.at(1).get_binary();
      state->patches[key].Add({entry.at(3).get<std::uint64_t>(), item->revision,
                               std::string(packed.begin(), packed.end())});
    }
    items[key] = std::move(*item);
  }
  return items;
}

source_mirror::import_result source_mirror::Import(std::string_view bytes) {
  try {
    const json message = json::from_cbor(bytes.begin(), bytes.end());
    const int area = message.at(0).get<int>();
    if (area != 0 && area != 1) return import_result::kRejected;
    area_state& state = areas_[area];
    const bool is_full = message.at(1).get<bool>();
    const auto revision = message.at(2).get<std::uint64_t>();
    const auto change = message.at(3).get<std::uint64_t>();
    // A message that isn't newer is skipped, and so is a partial one while this
    // daemon has no complete items to apply it to.
    if (revision <= state.revision && state.complete) {
      return import_result::kApplied;
    }
    if (revision == 0 || (!is_full && !state.complete)) {
      return import_result::kApplied;
    }
    auto items = ReadItems(&state, message.at(4));
    if (!items) {
      net::Log(core::log_level::kInfo, "item of a peer doesn't fit",
               {{"area", AreaName(state.area)},
                {"own_revision", std::to_string(state.revision)},
                {"problem", items.error()}});
      return import_result::kRejected;
    }
    const duration grace{message.at(6).get<duration::rep>()};
    net::Log(core::log_level::kInfo, "took items over from a peer",
             {{"area", AreaName(state.area)},
              {"revision", std::to_string(revision)},
              {"own_revision", std::to_string(state.revision)},
              {"all", is_full ? "yes" : "no"},
              {"items", std::to_string(items->size())},
              {"removals", std::to_string(message.at(5).size())}});
    if (is_full) {
      Replace(&state, std::move(*items), revision, change, grace);
      return import_result::kApplied;
    }
    for (const json& entry : message.at(5)) {
      Remove(&state, entry.at(0).get<std::string>(),
             entry.at(1).get<std::uint64_t>(), grace);
    }
    for (auto& entry : *items) Apply(&state, std::move(entry.second));
    // Daemons of earlier versions send no digest.
    const bool differs = message.size() > 7 &&
                         message.at(7).get<std::uint64_t>() != state.digest;
    if (!differs) {
      state.revision = revision;
      state.change_revision = std::max(state.change_revision, change);
    }
    if (on_changes_applied) on_changes_applied(state.area);
    return differs ? import_result::kDiffers : import_result::kApplied;
  } catch (const json::exception& error) {
    net::Log(core::log_level::kWarning, "items of a peer are unreadable",
             {{"problem", error.what()}});
    return import_result::kRejected;
  }
}

}  // namespace pimentohall::node
