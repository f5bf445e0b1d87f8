#include "node/source_mirror.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pimentohall::node {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Daemons that watch the source: one may be cut off from it while another
// dies.
constexpr std::size_t kReaders = 3;
// How long a watch waits at the source. One that the source lost is found only
// when its time is over; the first reader finds that soonest.
constexpr duration kWatchWait = milliseconds(1500);
constexpr duration kBackupWait = milliseconds(3000);
// A daemon that started decides on its role when it has heard the others.
constexpr duration kRoleDelay = milliseconds(1500);
constexpr duration kRoleCheck = milliseconds(50);
// Readers that lost the source are replaced after this time: longer than a
// daemon's news take to tell that it began to read.
constexpr duration kTakeOverTime = milliseconds(1000);
// The source answers within a few milliseconds; a slow one takes up to some
// hundreds.
constexpr duration kReadTimeout = milliseconds(1500);
constexpr duration kWatchMargin = milliseconds(800);
// An answer is late after this time beyond its wait; then others take over.
constexpr duration kLateAnswer = milliseconds(400);
// Wait after an answer with changes, so that changes in quick succession come
// in one answer. The first reader waits least; the others back it up, and
// mostly learn from it in the meantime.
constexpr duration kBatchTime = milliseconds(250);
constexpr duration kBatchStep = milliseconds(600);
// First wait after a failed call; doubled with each failure in a row.
constexpr duration kFirstRetry = milliseconds(100);
constexpr duration kLongestRetry = milliseconds(800);
// The same for a daemon that only stands in for readers that lost the source.
constexpr duration kStandInRetry = milliseconds(2400);
// Reads at a peer's word come this far apart: with the way of the news and the
// read itself, a change is in force within the least time that is allowed, 2 s.
constexpr duration kNudgeAge = milliseconds(900);
// The same for a reader between two watches: its last call isn't stuck.
constexpr duration kReaderNudgeAge = milliseconds(150);
// A call that failed tells nothing of the source after this time.
constexpr duration kFaultMemory = milliseconds(3000);
// Removals that are remembered for peers; a rolling release makes some tens.
constexpr std::size_t kMaxRemovals = 400;
// Items that lapsed while the source was away are back within this time after
// its return; the platform's stated time.
constexpr duration kReturnTime = milliseconds(2000);
// Values of this size and more go to peers packed; a list entry has some
// hundreds of bytes, a configuration tens of thousands.
constexpr std::size_t kLargeValueBytes = 8 * 1024;
// A configuration of some thousands of routes.
constexpr std::size_t kMaxValueBytes = 8 * 1024 * 1024;

const char* AreaName(source_area area) {
  return area == source_area::kSettings ? "settings" : "upstreams";
}

const char* ProblemName(source_problem problem) {
  switch (problem) {
    case source_problem::kUnreachable:
      return "unreachable";
    case source_problem::kRefused:
      return "refused";
    case source_problem::kHistoryGone:
      return "history_gone";
    case source_problem::kUnreadable:
      return "unreadable";
  }
  return "unreadable";
}

}  // namespace

source_mirror::source_mirror(fleet_state& fleet, source_reader& reader)
    : fleet_(fleet), reader_(reader) {
  for (const source_area area : kSourceAreas) At(area).area = area;
}

source_mirror::~source_mirror() {
  for (area_state& at : areas_) at.retry_timer.disconnect();
}

void source_mirror::Start() {
  for (area_state& at : areas_) Read(&at, "", read_quality::kMayLag);
}

bool source_mirror::CanRead(source_area area) const {
  const area_state& at = At(area);
  if (!at.whole) return false;
  return at.failures == 0 || fleet_.loop.Now() - at.asked_at >= kFaultMemory;
}

// ---------------------------------------------------------------------------
// The role.

bool source_mirror::IsReading() const {
  const instant now = fleet_.loop.Now();
  return std::all_of(std::begin(areas_), std::end(areas_),
                     [now](const area_state& at) {
                       return at.whole && !at.following && at.connected &&
                              at.failures == 0 && now <= at.answer_due;
                     });
}

bool source_mirror::ShouldRead(instant now) const {
  if (fleet_.peers.IsOneOf(kReaders, now)) return true;
  return few_readers_since_ && now - *few_readers_since_ >= kTakeOverTime;
}

void source_mirror::SetFollowing(area_state* at, bool following) {
  if (at->following == following) return;
  at->following = following;
  at->reading = false;
  at->watching = false;
  ++at->generation;
  at->retry_timer.disconnect();
  const instant now = fleet_.loop.Now();
  net::Log(core::log_level::kInfo,
           following ? "follows the readers" : "reads the source",
           {{"area", AreaName(at->area)},
            {"revision", std::to_string(at->revision)},
            {"heard", std::to_string(fleet_.peers.CountHeard(now))},
            {"readers_before",
             std::to_string(fleet_.peers.CountReadersBefore(now))}});
}

void source_mirror::Upkeep() {
  const instant now = fleet_.loop.Now();
  if (fleet_.peers.CountReadersBefore(now) >= kReaders) {
    few_readers_since_.reset();
  } else if (!few_readers_since_) {
    few_readers_since_ = now;
  }
  for (area_state& at : areas_) {
    if (!at.following || !ShouldRead(now)) continue;
    SetFollowing(&at, false);
    Watch(&at);
  }
}

duration source_mirror::LapseGrace(const area_state& at) const {
  if (at.regained_at == instant{}) return duration{0};
  return std::max(duration{0},
                  at.regained_at + kReturnTime - fleet_.loop.Now());
}

// ---------------------------------------------------------------------------
// Reading.

void source_mirror::Read(area_state* at, const std::string& after,
                         read_quality quality) {
  if (after.empty()) {
    at->read_items.clear();
    at->read_revision = 0;
    at->quality = quality;
  }
  at->asked_at = fleet_.loop.Now();
  at->answer_due = at->asked_at + kLateAnswer;
  at->reading = true;
  at->watching = false;
  const std::uint64_t generation = ++at->generation;
  reader_.ReadPage(
      at->area, after, at->quality, kReadTimeout,
      [this, at, generation](tl::expected<source_page, source_problem> page) {
        if (generation != at->generation) return;
        at->reading = false;
        if (!page) {
          OnProblem(at, page.error());
        } else {
          OnPage(at, std::move(*page));
        }
      });
}

void source_mirror::OnPage(area_state* at, source_page page) {
  OnAnswered(at);
  if (at->read_revision == 0) at->read_revision = page.revision;
  std::string last;
  for (source_item& item : page.items) {
    last = std::max(last, item.key);
    at->read_items[item.key] = std::move(item);
  }
  if (page.more && !last.empty()) {
    Read(at, last, at->quality);
    return;
  }
  // A page that may lag doesn't tell up to which revision it is complete.
  if (at->quality == read_quality::kMayLag) {
    at->read_revision = 0;
    for (const auto& [key, item] : at->read_items) {
      at->read_revision = std::max(at->read_revision, item.revision);
    }
  }
  Replace(at, std::exchange(at->read_items, {}), at->read_revision,
          LapseGrace(*at));
  WatchInTime(at);
}

// Watches at once, but for a daemon that has just started and that others, if
// they live, make needless as a reader.
void source_mirror::WatchInTime(area_state* at) {
  const instant decided_at = fleet_.started_at + kRoleDelay;
  const bool is_needed =
      At(source_area::kUpstreams).whole &&
      fleet_.peers.IsOneOf(kReaders, fleet_.directory.Addresses());
  if (fleet_.loop.Now() >= decided_at || is_needed) {
    Watch(at);
    return;
  }
  at->answer_due = instant{};  // Until then it is no reader.
  at->retry_timer.disconnect();
  at->retry_timer = fleet_.timers.After(
      kRoleCheck, sigc::slot<void()>([this, at] { WatchInTime(at); }));
}

void source_mirror::Watch(area_state* at) {
  const instant now = fleet_.loop.Now();
  SetFollowing(at, !ShouldRead(now));
  if (at->following) return;
  const bool is_first = fleet_.peers.CountReadersBefore(now) == 0;
  const duration wait = is_first ? kWatchWait : kBackupWait;
  at->asked_at = now;
  at->answer_due = now + wait + kLateAnswer;
  at->watching = true;
  const std::uint64_t generation = ++at->generation;
  reader_.Watch(
      at->area, at->revision, wait, wait + kWatchMargin,
      [this, at, generation](tl::expected<source_page, source_problem> page) {
        if (generation != at->generation) return;
        at->watching = false;
        if (!page) {
          OnProblem(at, page.error());
        } else {
          OnEvents(at, std::move(*page));
        }
      });
}

void source_mirror::OnEvents(area_state* at, source_page page) {
  OnAnswered(at);
  bool changed = false;
  for (source_item& item : page.items) {
    if (item.removed) {
      Remove(at, item.key, item.revision, LapseGrace(*at));
      changed = true;
    } else {
      changed = Apply(at, std::move(item)) || changed;
    }
  }
  at->revision = std::max(at->revision, page.revision);
  if (changed && on_settled) on_settled(at->area);
  if (page.items.empty()) {
    Watch(at);
    return;
  }
  const auto before = static_cast<int>(
      std::min(kReaders, fleet_.peers.CountReadersBefore(fleet_.loop.Now())));
  const duration pause = kBatchTime + kBatchStep * before;
  ++at->generation;
  at->answer_due = fleet_.loop.Now() + pause + kLateAnswer;
  at->retry_timer.disconnect();
  at->retry_timer =
      fleet_.timers.After(pause, sigc::slot<void()>([this, at] { Watch(at); }));
}

void source_mirror::OnAnswered(area_state* at) {
  const instant now = fleet_.loop.Now();
  answered_at_ = now;
  at->failures = 0;
  fleet_.metrics.CountSource("answered");
  if (at->connected) return;
  at->connected = true;
  if (at->lost_at != instant{}) at->regained_at = now;
  net::Log(core::log_level::kInfo,
           at->told_lost ? "source regained" : "source reached",
           {{"area", AreaName(at->area)},
            {"revision", std::to_string(at->revision)},
            {"away_ms",
             at->lost_at != instant{} ? MsText(now - at->lost_at) : "0"}});
  at->told_lost = false;
}

void source_mirror::OnProblem(area_state* at, source_problem problem) {
  const instant now = fleet_.loop.Now();
  fleet_.metrics.CountSource(ProblemName(problem));
  if (problem == source_problem::kHistoryGone) {
    net::Log(core::log_level::kInfo, "source dropped its history",
             {{"area", AreaName(at->area)},
              {"revision", std::to_string(at->revision)}});
    ReadAgain(at);
    return;
  }
  ++at->failures;
  // One cut watch is no outage.
  const bool is_lost = at->failures >= 2;
  if (at->connected && is_lost) {
    at->connected = false;
    at->lost_at = now;
  }
  if (is_lost && !at->told_lost) {
    at->told_lost = true;
    net::Log(core::log_level::kWarning, "source lost",
             {{"area", AreaName(at->area)},
              {"problem", ProblemName(problem)},
              {"revision", std::to_string(at->revision)}});
  }
  const int doublings = std::clamp(at->failures - 1, 0, 3);
  duration wait = std::min(kLongestRetry, kFirstRetry * (1 << doublings));
  const bool is_primary = fleet_.peers.IsOneOf(kReaders, now);
  if (is_lost && at->whole && !is_primary) wait = kStandInRetry;
  at->retry_timer.disconnect();
  at->retry_timer = fleet_.timers.After(
      wait, sigc::slot<void()>([this, at] {
        const bool is_needed = !at->whole || ShouldRead(fleet_.loop.Now());
        SetFollowing(at, !is_needed);
        if (is_needed) ReadAgain(at);
      }));
}

void source_mirror::Nudge(source_area area) {
  area_state& at = At(area);
  const duration age = at.following ? kNudgeAge : kReaderNudgeAge;
  if (at.reading || fleet_.loop.Now() - at.asked_at < age) return;
  at.retry_timer.disconnect();
  ReadAgain(&at);
}

// ---------------------------------------------------------------------------
// Items.

bool source_mirror::Apply(area_state* at, source_item item) {
  source_item& held = at->items[item.key];
  if (held.revision >= item.revision && !held.key.empty()) return false;
  const bool same = !held.key.empty() && held.value == item.value;
  NotePatch(at, held, item);
  held = std::move(item);
  at->change_revision = std::max(at->change_revision, held.revision);
  if (!same && on_item) on_item(at->area, held, duration{0});
  return !same;
}

// Remembers how a large value changed, unless it came as a patch.
void source_mirror::NotePatch(area_state* at, const source_item& held,
                              const source_item& next) {
  if (held.value.size() < kLargeValueBytes ||
      next.value.size() < kLargeValueBytes) {
    return;
  }
  mesh::patch_history& history = at->patches[next.key];
  if (history.Newest() >= next.revision) return;
  history.Add(
      {held.revision, next.revision, mesh::Pack(next.value, held.value)});
}

void source_mirror::Remove(area_state* at, const std::string& key,
                           std::uint64_t revision, duration lapse_grace) {
  const auto found = at->items.find(key);
  at->change_revision = std::max(at->change_revision, revision);
  NoteRemoval(at, key, revision);
  if (found == at->items.end()) return;
  if (revision != 0 && found->second.revision > revision) return;
  source_item gone = std::move(found->second);
  at->patches.erase(key);
  at->items.erase(found);
  gone.removed = true;
  if (revision != 0) gone.revision = revision;
  if (on_item) on_item(at->area, gone, lapse_grace);
}

void source_mirror::Replace(area_state* at,
                            std::map<std::string, source_item> items,
                            std::uint64_t revision, duration lapse_grace) {
  if (at->whole && revision < at->revision) return;
  std::vector<std::string> missing;
  for (const auto& [key, held] : at->items) {
    if (items.count(key) == 0) missing.push_back(key);
  }
  for (const std::string& key : missing) {
    Remove(at, key, 0, lapse_grace);
    NoteRemoval(at, key, revision);
  }
  for (auto& each : items) Apply(at, std::move(each.second));
  if (!at->whole) at->removals_since = revision;
  // Removals that only the read shows are as new as the read itself.
  if (!missing.empty()) at->change_revision = revision;
  at->revision = revision;
  at->whole = true;
  if (on_settled) on_settled(at->area);
}

// Remembers a removal for peers; the oldest are forgotten.
void source_mirror::NoteRemoval(area_state* at, const std::string& key,
                                std::uint64_t revision) {
  if (revision == 0) return;
  std::uint64_t& held = at->removals[key];
  held = std::max(held, revision);
  if (at->removals.size() <= kMaxRemovals) return;
  const auto oldest = std::min_element(
      at->removals.begin(), at->removals.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  at->removals_since = std::max(at->removals_since, oldest->second);
  at->removals.erase(oldest);
}

// ---------------------------------------------------------------------------
// Passing on between daemons, as a CBOR array: the area, whether the items are
// all of it, its revisions, the items, the removals, and the time in which
// lapsed items may come back. An item is its key, value and revision; a packed
// one has the revision of its base behind that, 0 for none.

namespace {

json PackedItem(const std::string& key, const std::string& packed,
                std::uint64_t revision, std::uint64_t base) {
  return json::array(
      {key,
       json::binary(std::vector<std::uint8_t>(packed.begin(), packed.end())),
       revision, base});
}

// Reads an item. `held`: what it may build on, or null.
tl::expected<source_item, std::string> ReadItem(const json& from,
                                                const source_item* held) {
  source_item item;
  item.key = from.at(0).get<std::string>();
  item.revision = from.at(2).get<std::uint64_t>();
  if (from.size() == 3) {
    item.value = from.at(1).get<std::string>();
    return item;
  }
  const auto base = from.at(3).get<std::uint64_t>();
  if (base != 0 && (held == nullptr || held->revision != base)) {
    return tl::unexpected("a patch of revision " + std::to_string(base));
  }
  std::string_view onto;
  if (base != 0) onto = held->value;
  const json::binary_t& packed = from.at(1).get_binary();
  auto value = mesh::Unpack(
      {reinterpret_cast<const char*>(packed.data()), packed.size()}, onto,
      kMaxValueBytes);
  if (!value) return tl::unexpected(value.error());
  item.value = std::move(*value);
  return item;
}

}  // namespace

// Many peers ask for the same value within a second.
const std::string& source_mirror::PackedWhole(area_state* at,
                                              const source_item& item) {
  if (at->packed_key != item.key || at->packed_revision != item.revision) {
    at->packed_key = item.key;
    at->packed_revision = item.revision;
    at->packed = mesh::Pack(item.value, {});
  }
  return at->packed;
}

std::string source_mirror::Export(source_area area, std::uint64_t since,
                                  large_values how) {
  area_state& at = At(area);
  const bool is_full = since < at.removals_since || since == 0;
  const bool patched = how == large_values::kPatched;
  if (patched && is_full) return {};
  json items = json::array();
  json removals = json::array();
  for (const auto& [key, item] : at.items) {
    if (!is_full && item.revision <= since) continue;
    if (item.value.size() < kLargeValueBytes) {
      items.push_back(json::array({key, item.value, item.revision}));
    } else if (!patched) {
      items.push_back(
          PackedItem(key, PackedWhole(&at, item), item.revision, 0));
    } else {
      const mesh::patch_history& history = at.patches[key];
      const auto steps = history.Since(since);
      if (!steps || history.Newest() != item.revision) return {};
      for (const mesh::value_patch& each : *steps) {
        items.push_back(PackedItem(key, each.packed, each.to, each.from));
      }
    }
  }
  for (const auto& [key, revision] : at.removals) {
    if (is_full || revision <= since || at.items.count(key) != 0) continue;
    removals.push_back(json::array({key, revision}));
  }
  const json message =
      json::array({static_cast<int>(area), is_full, at.whole ? at.revision : 0,
                   at.change_revision, std::move(items), std::move(removals),
                   LapseGrace(at).count()});
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

bool source_mirror::Import(std::string_view bytes) {
  try {
    const json from = json::from_cbor(bytes.begin(), bytes.end());
    const int area = from.at(0).get<int>();
    if (area != 0 && area != 1) return false;
    area_state& at = areas_[area];
    const bool is_full = from.at(1).get<bool>();
    const auto revision = from.at(2).get<std::uint64_t>();
    const auto change = from.at(3).get<std::uint64_t>();
    // A part builds on what this daemon has told that it holds.
    if (revision <= at.revision && at.whole) return true;
    if (revision == 0 || (!is_full && !at.whole)) return true;
    std::map<std::string, source_item> items;
    for (const json& each : from.at(4)) {
      const auto key = each.at(0).get<std::string>();
      const auto next = items.find(key);
      const auto held = at.items.find(key);
      const source_item* base = nullptr;
      if (held != at.items.end()) base = &held->second;
      if (next != items.end()) base = &next->second;
      auto item = ReadItem(each, base);
      if (!item) {
        net::Log(core::log_level::kInfo, "item of a peer doesn't fit",
                 {{"area", AreaName(at.area)},
                  {"own_revision", std::to_string(at.revision)},
                  {"problem", item.error()}});
        return false;
      }
      if (each.size() > 3 && each.at(3).get<std::uint64_t>() != 0) {
        const json::binary_t& packed = each.at(1).get_binary();
        at.patches[key].Add({each.at(3).get<std::uint64_t>(), item->revision,
                             std::string(packed.begin(), packed.end())});
      }
      items[key] = std::move(*item);
    }
    const duration grace{from.at(6).get<duration::rep>()};
    net::Log(core::log_level::kInfo, "took items over from a peer",
             {{"area", AreaName(at.area)},
              {"revision", std::to_string(revision)},
              {"own_revision", std::to_string(at.revision)},
              {"items", std::to_string(items.size())},
              {"removals", std::to_string(from.at(5).size())}});
    if (is_full) {
      Replace(&at, std::move(items), revision, grace);
    } else {
      for (const json& each : from.at(5)) {
        Remove(&at, each.at(0).get<std::string>(),
               each.at(1).get<std::uint64_t>(), grace);
      }
      for (auto& each : items) Apply(&at, std::move(each.second));
      at.revision = revision;
      if (on_settled) on_settled(at.area);
    }
    at.change_revision = std::max(at.change_revision, change);
    return true;
  } catch (const json::exception& problem) {
    net::Log(core::log_level::kWarning, "items of a peer are unreadable",
             {{"problem", problem.what()}});
    return false;
  }
}

}  // namespace pimentohall::node
