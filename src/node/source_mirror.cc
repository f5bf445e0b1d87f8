#include "node/source_mirror.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pimentohall::node {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// How long a watch waits at the source. One that the source lost is found only
// when its time is over, so kScouts daemons ask often, and the others learn
// from them that they have missed something.
constexpr duration kScoutWait = milliseconds(1500);
constexpr duration kWatchWait = milliseconds(10000);
constexpr std::size_t kScouts = 3;
// The source answers within a few milliseconds; a slow one takes up to some
// hundreds.
constexpr duration kReadTimeout = milliseconds(1500);
constexpr duration kWatchMargin = milliseconds(800);
// Wait after an answer with changes, so that changes in quick succession come
// in one answer.
constexpr duration kBatchTime = milliseconds(250);
// First wait after a failed call; doubled with each failure in a row.
constexpr duration kFirstRetry = milliseconds(100);
constexpr duration kLongestRetry = milliseconds(800);
// A call that was made this lately is not stuck.
constexpr duration kNudgeAge = milliseconds(150);
// Items that lapsed while the source was away are back within this time after
// its return; the platform's stated time.
constexpr duration kReturnTime = milliseconds(2000);

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
  for (area_state& at : areas_) Read(&at, "");
}

std::uint64_t source_mirror::ChangeRevision(source_area area) const {
  return At(area).change_revision;
}

bool source_mirror::IsConnected(source_area area) const {
  return At(area).connected;
}

duration source_mirror::LapseGrace(const area_state& at) const {
  if (at.regained_at == instant{}) return duration{0};
  return std::max(duration{0},
                  at.regained_at + kReturnTime - fleet_.loop.Now());
}

// ---------------------------------------------------------------------------
// Reading.

void source_mirror::Read(area_state* at, const std::string& after) {
  if (after.empty()) {
    at->read_items.clear();
    at->read_revision = 0;
  }
  at->asked_at = fleet_.loop.Now();
  const std::uint64_t generation = ++at->generation;
  reader_.ReadPage(
      at->area, after, kReadTimeout,
      [this, at, generation](tl::expected<source_page, source_problem> page) {
        if (generation != at->generation) return;
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
    Read(at, last);
    return;
  }
  Replace(at, at->read_items, at->read_revision, LapseGrace(*at));
  at->read_items.clear();
  Watch(at);
}

void source_mirror::Watch(area_state* at) {
  const instant now = fleet_.loop.Now();
  at->asked_at = now;
  const std::uint64_t generation = ++at->generation;
  const duration wait =
      fleet_.peers.IsOneOf(kScouts, now) ? kScoutWait : kWatchWait;
  reader_.Watch(
      at->area, at->revision, wait, wait + kWatchMargin,
      [this, at, generation](tl::expected<source_page, source_problem> page) {
        if (generation != at->generation) return;
        if (!page) {
          OnProblem(at, page.error());
        } else {
          OnEvents(at, *page);
        }
      });
}

void source_mirror::OnEvents(area_state* at, const source_page& page) {
  OnAnswered(at);
  bool changed = false;
  for (const source_item& item : page.items) {
    if (item.removed) {
      Remove(at, item.key, item.revision, LapseGrace(*at));
      changed = true;
    } else {
      changed = Apply(at, item) || changed;
    }
  }
  at->revision = std::max(at->revision, page.revision);
  if (changed && on_settled) on_settled(at->area);
  if (page.items.empty()) {
    Watch(at);
    return;
  }
  ++at->generation;
  at->retry_timer.disconnect();
  at->retry_timer = fleet_.timers.After(
      kBatchTime, sigc::slot<void()>([this, at] { Watch(at); }));
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
    Read(at, "");
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
  const duration wait = std::min(kLongestRetry, kFirstRetry * (1 << doublings));
  at->retry_timer.disconnect();
  at->retry_timer = fleet_.timers.After(
      wait, sigc::slot<void()>([this, at] { Read(at, ""); }));
}

void source_mirror::Nudge(source_area area) {
  area_state& at = At(area);
  if (fleet_.loop.Now() - at.asked_at < kNudgeAge) return;
  at.retry_timer.disconnect();
  Read(&at, "");
}

// ---------------------------------------------------------------------------
// Items.

bool source_mirror::Apply(area_state* at, const source_item& item) {
  source_item& held = at->items[item.key];
  if (held.revision >= item.revision && !held.key.empty()) return false;
  const bool same = !held.key.empty() && held.value == item.value;
  held = item;
  at->change_revision = std::max(at->change_revision, item.revision);
  if (!same && on_item) on_item(at->area, held, duration{0});
  return !same;
}

void source_mirror::Remove(area_state* at, const std::string& key,
                           std::uint64_t revision, duration lapse_grace) {
  const auto found = at->items.find(key);
  at->change_revision = std::max(at->change_revision, revision);
  if (found == at->items.end()) return;
  if (revision != 0 && found->second.revision > revision) return;
  source_item gone = std::move(found->second);
  at->items.erase(found);
  gone.removed = true;
  if (revision != 0) gone.revision = revision;
  if (on_item) on_item(at->area, gone, lapse_grace);
}

void source_mirror::Replace(area_state* at,
                            const std::map<std::string, source_item>& items,
                            std::uint64_t revision, duration lapse_grace) {
  if (at->whole && revision < at->revision) return;
  std::vector<std::string> missing;
  for (const auto& [key, held] : at->items) {
    if (items.count(key) == 0) missing.push_back(key);
  }
  for (const std::string& key : missing) Remove(at, key, 0, lapse_grace);
  for (const auto& [key, item] : items) Apply(at, item);
  // Removals that only the read shows are as new as the read itself.
  if (!missing.empty()) at->change_revision = revision;
  at->revision = revision;
  at->whole = true;
  if (on_settled) on_settled(at->area);
}

// ---------------------------------------------------------------------------
// Passing on between daemons: CBOR, one array an area.

std::string source_mirror::Export() const {
  json areas = json::array();
  for (const area_state& at : areas_) {
    json items = json::array();
    if (at.whole) {
      for (const auto& [key, item] : at.items) {
        items.push_back(json::array({key, item.value, item.revision}));
      }
    }
    areas.push_back(json::array({at.whole, at.revision, at.change_revision,
                                 std::move(items), LapseGrace(at).count()}));
  }
  std::string bytes;
  json::to_cbor(areas, bytes);
  return bytes;
}

void source_mirror::Import(std::string_view bytes) {
  try {
    const json areas = json::from_cbor(bytes.begin(), bytes.end());
    for (area_state& at : areas_) {
      const json& from = areas.at(static_cast<std::size_t>(at.area));
      if (!from.at(0).get<bool>()) continue;
      const auto revision = from.at(1).get<std::uint64_t>();
      const auto change = from.at(2).get<std::uint64_t>();
      if (at.whole && change <= at.change_revision) continue;
      std::map<std::string, source_item> items;
      for (const json& each : from.at(3)) {
        source_item item;
        item.key = each.at(0).get<std::string>();
        item.value = each.at(1).get<std::string>();
        item.revision = each.at(2).get<std::uint64_t>();
        items[item.key] = std::move(item);
      }
      net::Log(core::log_level::kInfo, "took items over from a peer",
               {{"area", AreaName(at.area)},
                {"revision", std::to_string(revision)},
                {"own_revision", std::to_string(at.revision)}});
      const duration grace{from.at(4).get<duration::rep>()};
      Replace(&at, items, std::max(revision, at.revision), grace);
      at.change_revision = std::max(at.change_revision, change);
    }
  } catch (const json::exception& problem) {
    net::Log(core::log_level::kWarning, "items of a peer are unreadable",
             {{"problem", problem.what()}});
  }
}

}  // namespace pimentohall::node
