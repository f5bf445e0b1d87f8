// The queue before one upstream.
//
// The queue is short (a few times the number of slots while the service is
// healthy), so it is scanned instead of being indexed by several orders.

#include <algorithm>
#include <cmath>
#include <tuple>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

// Time constant of the decaying sum of work that was queued as in time.
constexpr double kOnTimeWindowS = 1.0;
// Late calls get the share of the slots that calls in time leave free. It is
// assumed to be at least this much, since loads change.
constexpr double kMinLateShare = 0.1;
// A call needs at least this share of its expected time to succeed.
constexpr double kMinTimeShare = 0.5;
// A waiting call is dropped when it would miss its deadline even after only
// this share of the expected wait: durations vary, so a call that is expected
// to start slightly too late may still succeed.
constexpr double kOvertakenShare = 0.85;
constexpr duration kMinRetryAfter = std::chrono::milliseconds(50);

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

duration Scale(duration time, double factor) {
  return std::chrono::duration_cast<duration>(time * factor);
}

// A call counts as in time if this multiple of its expected time fits its aim.
// Durations vary: a call whose mean just fits mostly misses its aim.
constexpr double kAimMargin = 1.5;
// The high estimate of a call's time, relative to the expected time, where it
// isn't known: the 80th percentile of usual distributions of work.
constexpr double kHighFactor = 1.6;
// Share of the slots that calls in time take when the newest go first.
constexpr double kBehindShare = 0.9;

duration HighEstimate(const work_item& item) {
  return item.high.count() > 0 ? item.high : Scale(item.expected, kHighFactor);
}

// A refused nested call fails the call that made it, whose work is then lost,
// so a nested call is in time up to its deadline.
bool IsInTimeByMargin(const work_item& item, instant start) {
  if (item.nested) return start + item.expected <= item.deadline;
  return start + Scale(item.expected, kAimMargin) <= item.aim_at;
}

bool IsInTimeByHigh(const work_item& item, instant start) {
  if (item.nested) return start + item.expected <= item.deadline;
  return start + HighEstimate(item) <= item.aim_at;
}

// Sort key of a waiting call; the smallest goes first.
using order_key = std::tuple<bool, bool, bool, int, instant, std::int64_t>;

order_key ByRank(const work_item& item, bool owed, bool late, bool) {
  const instant end = late || item.nested ? item.deadline : item.aim_at;
  return {late,      !item.nested, !owed,
          item.rank, end,          static_cast<std::int64_t>(item.id)};
}

order_key ByAim(const work_item& item, bool owed, bool late, bool behind) {
  order_key key = ByRank(item, owed, late, behind);
  if (!late) std::get<3>(key) = 0;
  return key;
}

order_key ByNewestWhenBehind(const work_item& item, bool owed, bool late,
                             bool behind) {
  order_key key = ByRank(item, owed, late, behind);
  if (!behind || item.nested) return key;
  std::get<4>(key) = instant{};
  std::get<5>(key) = -static_cast<std::int64_t>(item.id);
  return key;
}

struct order_rules {
  bool (*is_in_time)(const work_item&, instant start);
  order_key (*key)(const work_item&, bool owed, bool late, bool behind);
  bool keeps_feasible_set;
  // Late calls wait for the share of the slots that calls in time leave free.
  // If not, they are refused unless a slot is free or they are carried.
  bool queues_late;
  bool has_floor;  // By group, in place of `kOldestFirstInterval`.
};

const order_rules& RulesOf(queue_order order) {
  static constexpr order_rules kRules[] = {
      {IsInTimeByMargin, ByRank, false, true, false},
      {IsInTimeByHigh, ByNewestWhenBehind, false, false, true},
      {IsInTimeByHigh, ByAim, true, false, true},
      {IsInTimeByHigh, ByRank, false, false, true},
  };
  return kRules[static_cast<int>(order)];
}

// Sorts the calls that wait at `now`.
struct ranking {
  const order_rules& rules;
  const sched::service_floor& floor;
  bool behind;
  instant now;

  bool IsOwed(const work_item& item) const {
    return rules.has_floor && !item.nested && floor.IsOwed(item.group);
  }
  bool IsLate(const work_item& item) const {
    return !rules.is_in_time(item, now);
  }
  order_key Key(const work_item& item) const {
    return rules.key(item, IsOwed(item), IsLate(item), behind);
  }
};

bool MayWaitLate(const work_item& item, queue_order order) {
  return RulesOf(order).queues_late || item.carried;
}

// Nested calls go before all others, whatever their rank.
int DemandRank(const work_item& item) { return item.nested ? -1 : item.rank; }

}  // namespace

duration work_queue::Work() const {
  duration work{0};
  for (const work_item& item : items_) work += item.expected;
  return work;
}

std::vector<work_queue::place> work_queue::Plan(const work_item* added,
                                                int slots, duration running,
                                                instant now) const {
  const ranking ranks = {RulesOf(order_), floor_, IsBehind(slots, now), now};
  std::vector<std::pair<order_key, place>> keyed;
  keyed.reserve(items_.size() + 1);
  const auto add = [&](const work_item& item) {
    keyed.emplace_back(ranks.Key(item),
                       place{&item, ranks.IsOwed(item), ranks.IsLate(item)});
  };
  for (const work_item& item : items_) add(item);
  if (added != nullptr) add(*added);
  std::sort(keyed.begin(), keyed.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<place> plan;
  plan.reserve(keyed.size());
  for (const auto& [key, at] : keyed) plan.push_back(at);
  if (ranks.rules.keeps_feasible_set) DisplaceLate(&plan, slots, running, now);
  return plan;
}

// Expected time of the calls that would start before `item`. Only the feasible
// set needs the whole order.
duration work_queue::WorkBefore(const work_item& item, int slots,
                                duration running, instant now) const {
  duration work{0};
  if (RulesOf(order_).keeps_feasible_set) {
    for (const place& each : Plan(&item, slots, running, now)) {
      if (each.item == &item) break;
      work += each.item->expected;
    }
    return work;
  }
  const ranking ranks = {RulesOf(order_), floor_, IsBehind(slots, now), now};
  const order_key key = ranks.Key(item);
  for (const work_item& other : items_) {
    if (ranks.Key(other) < key) work += other.expected;
  }
  return work;
}

const work_item* work_queue::First(duration running, instant now) const {
  if (RulesOf(order_).keeps_feasible_set) {
    return Plan(nullptr, slots_, running, now).front().item;
  }
  const ranking ranks = {RulesOf(order_), floor_, IsBehind(slots_, now), now};
  return &*std::min_element(items_.begin(), items_.end(),
                            [&ranks](const work_item& a, const work_item& b) {
                              return ranks.Key(a) < ranks.Key(b);
                            });
}

// Moves calls behind all others, as late, until the rest can end in time
// (Moore's and Hodgson's rule, extended by ranks). Nested and owed calls stay.
void work_queue::DisplaceLate(std::vector<place>* plan, int slots,
                              duration running, instant now) const {
  const order_rules& rules = RulesOf(order_);
  const auto goes_later = [](const place& a, const place& b) {
    return std::make_tuple(a.item->rank, a.item->expected, a.item->aim_at,
                           a.item->id) <
           std::make_tuple(b.item->rank, b.item->expected, b.item->aim_at,
                           b.item->id);
  };
  std::vector<place> kept;
  std::vector<place> displaced;
  duration work = running;
  for (const place& each : *plan) {
    kept.push_back(each);
    work += each.item->expected;
    if (each.late || each.owed || each.item->nested) continue;
    const instant start = now + Scale(work - each.item->expected, 1.0 / slots);
    if (rules.is_in_time(*each.item, start)) continue;
    auto last = kept.end();
    for (auto at = kept.begin(); at != kept.end(); ++at) {
      if (at->late || at->owed || at->item->nested) continue;
      if (last == kept.end() || goes_later(*last, *at)) last = at;
    }
    work -= last->item->expected;
    displaced.push_back(*last);
    displaced.back().late = true;
    kept.erase(last);
  }
  kept.insert(kept.end(), displaced.begin(), displaced.end());
  *plan = std::move(kept);
}

// Share of the slots that calls in time took recently.
double work_queue::OnTimeShare(int slots, instant now) const {
  const double decay = std::exp(-Seconds(now - on_time_at_) / kOnTimeWindowS);
  return on_time_work_s_ * decay / (kOnTimeWindowS * slots);
}

bool work_queue::IsBehind(int slots, instant now) const {
  return order_ == queue_order::kNewestFirst &&
         OnTimeShare(slots, now) > kBehindShare;
}

double work_queue::LateShare(int slots, instant now) const {
  return std::max(kMinLateShare, 1 - OnTimeShare(slots, now));
}

void work_queue::RecordOnTime(const work_item& item, instant now) {
  const double decay = std::exp(-Seconds(now - on_time_at_) / kOnTimeWindowS);
  on_time_work_s_ = on_time_work_s_ * decay + Seconds(item.expected);
  on_time_at_ = now;
}

int work_queue::UpdateRankLimit(int slots, duration running, instant now) {
  if (order_ == queue_order::kEarliestAim) return kNoRankLimit;
  return ranks_.Update(slots, Scale(Work() + running, 1.0 / slots), now);
}

tl::expected<work_queue::admission, work_refusal> work_queue::Judge(
    const work_item& item, int slots, duration running, instant now) const {
  const duration full_wait = Scale(Work() + running, 1.0 / slots);
  work_refusal refusal;
  refusal.retry_after = std::max(kMinRetryAfter, full_wait);
  if (items_.size() >= kMaxWaiting) return tl::unexpected(refusal);
  // With a free slot an attempt costs nothing, and it corrects a wrong
  // estimate.
  if (items_.empty() && running.count() == 0 && now < item.deadline) {
    return admission::kInTime;
  }
  if (now + Scale(item.expected, kMinTimeShare) > item.deadline) {
    refusal.why = core::reason::kDeadline;
    return tl::unexpected(refusal);
  }
  duration wait =
      Scale(WorkBefore(item, slots, running, now) + running, 1.0 / slots);
  if (RulesOf(order_).is_in_time(item, now + wait)) return admission::kInTime;
  if (!MayWaitLate(item, order_)) {
    const bool has_free_slot = running.count() == 0 && items_.empty();
    if (!has_free_slot) return tl::unexpected(refusal);
  } else {
    wait = Scale(full_wait, 1 / LateShare(slots, now));
  }
  if (now + wait + item.expected > item.deadline) {
    return tl::unexpected(refusal);
  }
  return admission::kLate;
}

tl::expected<void, work_refusal> work_queue::Check(const work_item& item,
                                                   int slots, duration running,
                                                   instant now) const {
  const auto judged = Judge(item, slots, running, now);
  if (!judged) return tl::unexpected(judged.error());
  return {};
}

tl::expected<void, work_refusal> work_queue::Push(const work_item& item,
                                                  int slots, duration running,
                                                  instant now) {
  slots_ = slots;
  if (RulesOf(order_).has_floor) {
    if (!item.nested) {
      floor_.OnOffered(item.group, ranks_.WeightOf(item.rank), now);
    }
    ranks_.OnOffered(DemandRank(item), item.expected, now);
  }
  const auto judged = Judge(item, slots, running, now);
  if (!judged) return tl::unexpected(judged.error());
  if (*judged == admission::kInTime) RecordOnTime(item, now);
  items_.push_back(item);
  return {};
}

std::optional<work_item> work_queue::Pop(instant now, duration running) {
  if (items_.empty()) return std::nullopt;
  ++starts_;
  const bool has_floor = RulesOf(order_).has_floor;
  auto next = items_.begin();
  if (has_floor || starts_ % kOldestFirstInterval != 0) {
    next += First(running, now) - items_.data();
  }
  work_item item = *next;
  items_.erase(next);
  if (has_floor && !item.nested) floor_.OnServed(item.group, now);
  return item;
}

std::optional<work_item> work_queue::PopNested(instant now) {
  for (const place& each : Plan(nullptr, slots_, duration{0}, now)) {
    if (!each.item->nested) continue;
    work_item item = *each.item;
    Remove(item.id);
    return item;
  }
  return std::nullopt;
}

bool work_queue::HasNested() const {
  return std::any_of(items_.begin(), items_.end(),
                     [](const work_item& item) { return item.nested; });
}

bool work_queue::Remove(std::uint64_t id) {
  const auto found =
      std::find_if(items_.begin(), items_.end(),
                   [id](const work_item& item) { return item.id == id; });
  if (found == items_.end()) return false;
  items_.erase(found);
  return true;
}

std::vector<work_item> work_queue::Expire(instant now) {
  std::vector<work_item> expired;
  const auto is_expired = [now](const work_item& item) {
    return now + Scale(item.expected, kMinTimeShare) > item.deadline;
  };
  for (const work_item& item : items_) {
    if (is_expired(item)) expired.push_back(item);
  }
  items_.erase(std::remove_if(items_.begin(), items_.end(), is_expired),
               items_.end());
  return expired;
}

std::vector<work_item> work_queue::DropOvertaken(int slots, duration running,
                                                 instant now) {
  const double late_share = LateShare(slots, now);
  const auto is_overtaken = [&](const place& at, duration work) {
    const work_item& item = *at.item;
    const duration wait = Scale(work, 1.0 / slots);
    if (RulesOf(order_).is_in_time(item, now + wait)) return false;
    if (!MayWaitLate(item, order_)) return true;
    const duration min_time = Scale(item.expected, kMinTimeShare);
    return now + Scale(wait, kOvertakenShare / late_share) + min_time >
           item.deadline;
  };
  std::vector<work_item> overtaken;
  duration work = running;  // Starts before the next call.
  for (const place& each : Plan(nullptr, slots, running, now)) {
    if (is_overtaken(each, work)) {
      overtaken.push_back(*each.item);
    } else {
      work += each.item->expected;
    }
  }
  for (const work_item& item : overtaken) Remove(item.id);
  return overtaken;
}

void work_queue::CapDeadlines(instant end) {
  for (work_item& item : items_) item.deadline = std::min(item.deadline, end);
}

std::vector<work_item> work_queue::Clear() { return std::exchange(items_, {}); }

std::optional<instant> work_queue::NextExpiry() const {
  std::optional<instant> next;
  for (const work_item& item : items_) {
    const instant expiry = item.deadline - Scale(item.expected, kMinTimeShare);
    if (!next || expiry < *next) next = expiry;
  }
  return next;
}

}  // namespace pimentohall::mesh
