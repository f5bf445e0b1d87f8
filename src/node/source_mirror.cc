#include "node/source_mirror.h"

#include <algorithm>
#include <utility>

#include "node/carry_rules.h"

namespace pimentohall::node {
namespace {

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
// A daemon that was paused or cut off may have missed that a carried change was
// made again. It ends one only once changes have reached it for this long.
constexpr duration kMinFedTime = milliseconds(1000);
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
    case source_problem::kOlderEra:
      return "older_era";
  }
  return "unreadable";
}

// Keeps the newest of the removals that are recorded for peers.
template <typename removal_map>
void DropOldest(removal_map* removals) {
  while (removals->size() > kMaxRemovals) {
    removals->erase(std::min_element(
        removals->begin(), removals->end(), [](const auto& a, const auto& b) {
          return a.second.position < b.second.position;
        }));
  }
}

// Delay before the next call after this many failures in a row.
duration RetryDelay(int failures) {
  const int doublings = std::clamp(failures - 1, 0, 3);
  return std::min(kMaxRetryDelay, kInitialRetryDelay * (1 << doublings));
}

}  // namespace

source_mirror::source_mirror(fleet_state& fleet, source_reader& reader,
                             const source_decoder& decoder)
    : fleet_(fleet), reader_(reader), decoder_(decoder) {
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

bool source_mirror::KnowsPast(source_area area) const {
  const instant now = fleet_.loop.Now();
  if (At(area).knows_past) return true;
  if (now - fleet_.started_at < kRoleDelay) return false;
  return !fleet_.HearsElder(now);
}

bool source_mirror::IsReading() const {
  const instant now = fleet_.loop.Now();
  return std::all_of(
      std::begin(areas_), std::end(areas_), [now](const area_state& state) {
        return state.complete && !state.following && state.connected &&
               state.failures == 0 && now <= state.answer_deadline;
      });
}

bool source_mirror::IsFed(instant now) const {
  if (IsReading()) return true;
  const auto& peers = fleet_.peers.Peers();
  return std::any_of(peers.begin(), peers.end(), [this, now](const auto& each) {
    return each.second.reads_source && fleet_.peers.IsHeard(each.first, now);
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
            {"revision", mesh::ToText(state->position)},
            {"heard", std::to_string(fleet_.peers.CountHeard(now))},
            {"readers_before",
             std::to_string(fleet_.peers.CountReadersBefore(now))}});
}

mesh::source_position source_mirror::ChangePosition(source_area area) const {
  const area_state& state = At(area);
  // A copy of an unknown era.
  if (state.position.era == 0 && era_ != 0) return {};
  return {state.position.era, state.change_revision};
}

void source_mirror::RunMaintenance() {
  const instant now = fleet_.loop.Now();
  if (!IsFed(now)) {
    fed_since_.reset();
  } else if (!fed_since_) {
    fed_since_ = now;
  }
  for (area_state& state : areas_) {
    EndCarried(&state);
    state.knows_past = KnowsPast(state.area);
  }
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

bool source_mirror::CheckEra(area_state* state, const source_page& page) {
  if (page.era >= era_) {
    LearnEra(page.era);
    return true;
  }
  net::Log(core::log_level::kWarning, "answer of an earlier era dropped",
           {{"area", AreaName(state->area)},
            {"era", std::to_string(page.era)},
            {"newest_era", std::to_string(era_)}});
  OnProblem(state, source_problem::kOlderEra);
  return false;
}

void source_mirror::LearnEra(std::uint64_t era) {
  if (era <= era_) return;
  const std::uint64_t before = std::exchange(era_, era);
  if (before == 0) return;
  net::Log(core::log_level::kWarning, "source came back from an older copy",
           {{"era", std::to_string(era)}, {"before", std::to_string(before)}});
  // Watches of the era before may stay unanswered until their time is over.
  for (area_state& state : areas_) {
    if (state.complete && !state.following && state.watching) Restart(&state);
  }
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
  if (!CheckEra(state, page)) return;
  OnAnswered(state, page);
  if (state->read_after.empty()) {
    state->read_era = page.era;
  } else if (page.era != state->read_era) {
    Restart(state);
    return;
  }
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
  const mesh::source_position position = {may_be_stale ? 0 : page.era,
                                          *state->read_revision};
  // Changes that were made since the last revision held may have left no trace
  // in the items, such as an entry that came and went.
  std::uint64_t change_revision = 0;
  if (!may_be_stale && (!state->complete || position > state->position)) {
    change_revision = position.revision;
    // They may also hide that a carried change was made again and undone, which
    // a peer may have seen.
    if (!state->carried.empty()) state->introduced_era = 0;
  }
  Replace(state, std::exchange(state->read_items, {}), position,
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
  // A copy of another era, or of an unknown one, is no place to go on from.
  if (state->position.era == 0 && era_ != 0) {
    ReadAgain(state);
    return;
  }
  if (state->position.era != era_) {
    Restart(state);
    return;
  }
  const bool is_first = fleet_.peers.CountReadersBefore(now) == 0;
  const duration wait =
      is_first ? kFirstReaderWatchDuration : kBackupWatchDuration;
  state->call_started_at = now;
  state->answer_deadline = now + wait + kAnswerGrace;
  state->watching = true;
  const std::uint64_t generation = ++state->generation;
  reader_.Watch(state->area, state->position.revision, wait,
                wait + kWatchTimeoutMargin,
                [this, state, generation, since = state->position](
                    tl::expected<source_page, source_problem> page) {
                  if (generation != state->generation) return;
                  state->watching = false;
                  if (!page) {
                    OnProblem(state, page.error());
                  } else {
                    OnEvents(state, since, std::move(*page));
                  }
                });
}

void source_mirror::OnEvents(area_state* state,
                             const mesh::source_position& since,
                             source_page page) {
  if (!CheckEra(state, page)) return;
  OnAnswered(state, page);
  if (page.era != state->position.era) {
    Restart(state);
    return;
  }
  state->restarts = 0;
  // A peer told of a new era while the answer was on its way: it doesn't begin
  // at a place of that era.
  if (since.era != state->position.era) {
    Watch(state);
    return;
  }
  bool changed = false;
  for (source_item& item : page.items) {
    // A peer may have told of newer changes while the answer was on its way.
    if (item.revision <= state->position.revision) continue;
    if (item.removed) {
      Remove(state, item.key, item.revision, ExpiryGrace(*state));
      changed = true;
    } else {
      changed = Apply(state, std::move(item)) || changed;
    }
  }
  state->position.revision = std::max(state->position.revision, page.revision);
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
  state->answered_at = now;
  state->failures = 0;
  fleet_.metrics.CountSource("answered");
  if (state->connected) return;
  state->connected = true;
  if (state->lost_at != instant{}) state->reconnected_at = now;
  net::Log(
      core::log_level::kInfo,
      state->loss_logged ? "source regained" : "source reached",
      {{"area", AreaName(state->area)},
       {"revision", mesh::ToText(state->position)},
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
              {"revision", mesh::ToText(state->position)}});
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
              {"revision", mesh::ToText(state->position)}});
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

bool source_mirror::RequestRead(source_area area) {
  area_state& state = At(area);
  const duration age =
      state.following ? kMinReadInterval : kMinReaderReadInterval;
  if (state.reading || fleet_.loop.Now() - state.call_started_at < age) {
    return false;
  }
  state.retry_timer.disconnect();
  ReadAgain(&state);
  return true;
}

// ---------------------------------------------------------------------------
// Items.

bool source_mirror::Apply(area_state* state, source_item item) {
  const mesh::source_position position = {state->position.era, item.revision};
  const auto removed = state->removals.find(item.key);
  if (removed != state->removals.end() &&
      position <= removed->second.position) {
    return false;
  }
  source_item& held = state->items[item.key];
  const bool is_held = !held.key.empty();
  const bool is_newer =
      !is_held || held.revision < item.revision ||
      (held.revision == item.revision && held.value != item.value);
  if (!is_newer) return false;
  RecordPatch(state, held, item);
  if (is_held) state->digest -= ItemHash(held, state->position.era);
  const source_item before = std::exchange(held, std::move(item));
  state->digest += ItemHash(held, state->position.era);
  state->change_revision = std::max(state->change_revision, held.revision);
  const auto carried = state->carried.find(held.key);
  if (carried == state->carried.end()) {
    if (is_held && IsOutOfOrder(*state, before, held)) {
      state->carried[held.key] = {
          before, instant::max(), false, {position.era, before.revision}};
      return false;
    }
    Report(state, held.key, is_held ? &before : nullptr, false);
    return !is_held || before.value != held.value;
  }
  // A list may bring an older item that was missed.
  const auto origin = held.revision > state->era_revision
                          ? offer_origin::kWritten
                          : offer_origin::kCopy;
  const auto time = CarryTime(decoder_, carried->second.item, &held, origin);
  if (time) {
    const instant until = CarryEnd(state->era_began, *time);
    if (until > fleet_.loop.Now()) {
      carried->second.until = until;
      return false;
    }
  }
  const source_item in_force = std::move(carried->second.item);
  state->carried.erase(carried);
  Report(state, held.key, &in_force, true);
  return true;
}

bool source_mirror::IsOutOfOrder(const area_state& state,
                                 const source_item& before,
                                 const source_item& next) const {
  // Only a source that came back from an older copy is written so.
  if (state.position.era == 0) return false;
  return CarryTime(decoder_, before, &next, offer_origin::kWritten) ==
         kUntilWritten;
}

void source_mirror::Report(area_state* state, const std::string& key,
                           const source_item* before, bool ends_carried) {
  if (!on_item) return;
  const auto carried = state->carried.find(key);
  const auto held = state->items.find(key);
  const source_item* now = nullptr;
  if (held != state->items.end()) now = &held->second;
  if (carried != state->carried.end()) now = &carried->second.item;
  const bool was_there = before != nullptr && !before->removed;
  if (now != nullptr && !now->removed) {
    const bool same_value = was_there && before->value == now->value;
    on_item({state->area, *now, duration{0}, ends_carried, same_value});
  } else if (was_there) {
    source_item removed_item = *before;
    removed_item.removed = true;
    on_item({state->area, removed_item, duration{0}, ends_carried, false});
  }
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
  const bool is_held = found != state->items.end();
  const auto carried = state->carried.find(key);
  std::optional<source_item> in_force;
  if (is_held) in_force = found->second;
  if (carried != state->carried.end()) in_force = carried->second.item;
  state->change_revision = std::max(state->change_revision, revision);
  RecordRemoval(state, key, revision, in_force ? &*in_force : nullptr);
  if (is_held && revision != 0 && found->second.revision > revision) return;
  if (is_held) {
    state->digest -= ItemHash(found->second, state->position.era);
    state->patches.erase(key);
    state->items.erase(found);
  }
  if (carried != state->carried.end()) state->carried.erase(carried);
  if (!in_force || in_force->removed) return;
  in_force->removed = true;
  if (revision != 0) in_force->revision = revision;
  if (on_item) on_item({state->area, *in_force, expiry_grace, false, false});
}

void source_mirror::Replace(area_state* state,
                            std::map<std::string, source_item> items,
                            const mesh::source_position& position,
                            std::uint64_t change_revision,
                            duration expiry_grace) {
  if (state->complete && position < state->position) {
    net::Log(core::log_level::kInfo, "older copy of the source ignored",
             {{"area", AreaName(state->area)},
              {"revision", mesh::ToText(position)},
              {"own_revision", mesh::ToText(state->position)}});
    return;
  }
  if (position.era != state->position.era) {
    EnterEra(state, std::move(items), position);
    return;
  }
  std::vector<std::string> missing;
  for (const auto& [key, held] : state->items) {
    // The copy says nothing of changes after its revision.
    if (items.count(key) == 0 && held.revision <= position.revision) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    const source_item last = state->items[key];
    Remove(state, key, 0, expiry_grace);
    RecordRemoval(state, key, position.revision, &last);
  }
  for (auto& entry : items) Apply(state, std::move(entry.second));
  // Removals that only the read revealed get the revision of the read.
  if (!missing.empty()) {
    change_revision = std::max(change_revision, position.revision);
  }
  state->change_revision = std::max(state->change_revision, change_revision);
  state->position = position;
  state->complete = true;
  if (on_changes_applied) on_changes_applied(state->area);
}

source_item source_mirror::Tombstone(const std::string& key,
                                     const removal& removed) {
  source_item item = removed.last;
  item.key = key;
  item.removed = true;
  return item;
}

std::map<std::string, source_item> source_mirror::InForce(
    const area_state& state) {
  std::map<std::string, source_item> in_force;
  for (const auto& [key, removed] : state.removals) {
    in_force[key] = Tombstone(key, removed);
  }
  for (const auto& [key, item] : state.items) in_force[key] = item;
  for (const auto& [key, carried] : state.carried) in_force[key] = carried.item;
  return in_force;
}

void source_mirror::EnterEra(area_state* state,
                             std::map<std::string, source_item> items,
                             const mesh::source_position& position) {
  const bool knew_era = state->position.era != 0;
  const instant now = fleet_.loop.Now();
  const mesh::source_position before = std::exchange(state->position, position);
  const auto in_force = InForce(*state);
  const auto held = std::exchange(state->items, std::move(items));
  state->digest = 0;
  state->patches.clear();
  state->packed_key.clear();
  const auto carried_before = std::exchange(state->carried, {});
  state->new_in_era.clear();
  state->era_began = now;
  state->era_revision = position.revision;
  state->change_revision = position.revision;
  state->complete = true;
  // The new copy's history is that of the one before up to this revision, at
  // least: the newest change that both hold.
  std::uint64_t shared_up_to = 0;
  for (const auto& [key, item] : state->items) {
    state->digest += ItemHash(item, position.era);
    const auto same = held.find(key);
    if (same == held.end() || same->second.revision != item.revision ||
        same->second.value != item.value) {
      state->new_in_era.insert(key);
    } else {
      shared_up_to = std::max(shared_up_to, item.revision);
    }
    if (in_force.count(key) == 0) Report(state, key, nullptr, false);
  }
  for (const auto& [key, item] : in_force) {
    const auto offered = state->items.find(key);
    const bool is_offered = offered != state->items.end();
    if (item.removed && !is_offered) {
      state->removals[key].last = item;
      continue;
    }
    const bool same =
        is_offered && !item.removed && offered->second.value == item.value;
    // A copy of an unknown era carries only what a peer knows.
    const auto origin = knew_era || carried_before.count(key) != 0
                            ? offer_origin::kCopy
                            : offer_origin::kFirstEra;
    auto time =
        same ? std::nullopt
             : CarryTime(decoder_, item,
                         is_offered ? &offered->second : nullptr, origin);
    // It was removed before the copy was taken, so it isn't lost.
    const bool was_removed = !is_offered && held.count(key) != 0 &&
                             carried_before.count(key) == 0 &&
                             item.revision < shared_up_to;
    if (was_removed && time == kUntilWritten) time.reset();
    if (time) {
      const auto removed = state->removals.find(key);
      const bool is_inferred = item.removed &&
                               removed != state->removals.end() &&
                               removed->second.position.revision == 0;
      const auto earlier = carried_before.find(key);
      mesh::source_position made = {before.era, item.revision};
      if (item.removed && removed != state->removals.end()) {
        made = removed->second.position;
      }
      if (earlier != carried_before.end()) made = earlier->second.made;
      state->carried[key] = {item, CarryEnd(now, *time), is_inferred, made};
    } else if (!same || item.revision != offered->second.revision) {
      if (!is_offered) state->removals[key].last = item;
      Report(state, key, &item, true);
    }
  }
  DropOldest(&state->removals);
  net::Log(core::log_level::kInfo, "copy entered an era of the source",
           {{"area", AreaName(state->area)},
            {"revision", mesh::ToText(position)},
            {"before", mesh::ToText(before)},
            {"new", std::to_string(state->new_in_era.size())},
            {"carried", std::to_string(state->carried.size())}});
  if (on_changes_applied) on_changes_applied(state->area);
}

instant source_mirror::EndOfCarried(const area_state& state,
                                    const carried_change& carried) const {
  if (!fed_since_ || carried.until == instant::max()) return instant::max();
  // An upstream that isn't back by then counts as gone, and a zone that the
  // source shows as taken out is.
  const bool sends_less = state.area == source_area::kUpstreams
                              ? state.items.count(carried.item.key) == 0
                              : carried.item.removed;
  if (sends_less) return std::max(carried.until, *fed_since_ + kMinFedTime);
  // All else may bring back what its writer has ended again while the source
  // was away once more. So it ends only once an answer of the source since then
  // shows that nothing new came.
  if (IsReading()) {
    return state.answered_at < carried.until ? instant::max() : carried.until;
  }
  // A reader counts as one for this long after its last answer.
  constexpr duration kMaxAnswerAge = kBackupWatchDuration + kAnswerGrace;
  return std::max(carried.until, *fed_since_) + kMaxAnswerAge;
}

void source_mirror::EndCarried(area_state* state) {
  const instant now = fleet_.loop.Now();
  std::vector<source_item> ended;
  for (auto it = state->carried.begin(); it != state->carried.end();) {
    if (now < EndOfCarried(*state, it->second)) {
      ++it;
      continue;
    }
    ended.push_back(std::move(it->second.item));
    it = state->carried.erase(it);
  }
  if (ended.empty()) return;
  for (const source_item& item : ended) {
    net::Log(core::log_level::kWarning, "change wasn't made again",
             {{"key", item.key},
              {"revision", std::to_string(item.revision)},
              {"removal", item.removed ? "yes" : "no"}});
    if (!item.removed && state->items.count(item.key) == 0) {
      state->removals[item.key].last = item;
    }
    Report(state, item.key, &item, true);
  }
  DropOldest(&state->removals);
  if (on_changes_applied) on_changes_applied(state->area);
}

// Records a removal for peers; beyond the limit, the oldest one is dropped.
void source_mirror::RecordRemoval(area_state* state, const std::string& key,
                                  std::uint64_t revision,
                                  const source_item* last) {
  if (revision == 0) return;
  const mesh::source_position position = {state->position.era, revision};
  removal& recorded = state->removals[key];
  if (recorded.position < position) {
    recorded.position = position;
    if (last != nullptr) recorded.last = *last;
  }
  DropOldest(&state->removals);
}

}  // namespace pimentohall::node
