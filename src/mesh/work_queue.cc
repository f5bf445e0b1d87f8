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

// A refused nested call fails the call that made it, whose work is then lost,
// so a nested call is in time up to its deadline.
bool IsInTime(const work_item& item, instant start) {
  if (item.nested) return start + item.expected <= item.deadline;
  return start + Scale(item.expected, kAimMargin) <= item.aim_at;
}

// Sort key of a waiting call at `now`; the smallest goes first.
auto OrderKey(const work_item& item, instant now) {
  const bool late = !IsInTime(item, now);
  return std::make_tuple(late, !item.nested, item.rank,
                         late || item.nested ? item.deadline : item.aim_at,
                         item.id);
}

}  // namespace

duration work_queue::Work() const {
  duration work{0};
  for (const work_item& item : items_) work += item.expected;
  return work;
}

// Expected time of the calls that would start before `item`.
duration work_queue::WorkBefore(const work_item& item, instant now) const {
  const auto key = OrderKey(item, now);
  duration work{0};
  for (const work_item& other : items_) {
    if (OrderKey(other, now) < key) work += other.expected;
  }
  return work;
}

// Share of the slots that calls in time took recently.
double work_queue::OnTimeShare(int slots, instant now) const {
  const double decay = std::exp(-Seconds(now - on_time_at_) / kOnTimeWindowS);
  return on_time_work_s_ * decay / (kOnTimeWindowS * slots);
}

void work_queue::RecordOnTime(const work_item& item, instant now) {
  const double decay = std::exp(-Seconds(now - on_time_at_) / kOnTimeWindowS);
  on_time_work_s_ = on_time_work_s_ * decay + Seconds(item.expected);
  on_time_at_ = now;
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
  duration wait = Scale(WorkBefore(item, now) + running, 1.0 / slots);
  if (IsInTime(item, now + wait)) return admission::kInTime;
  const double late_share =
      std::max(kMinLateShare, 1 - OnTimeShare(slots, now));
  wait = Scale(full_wait, 1 / late_share);
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
  const auto judged = Judge(item, slots, running, now);
  if (!judged) return tl::unexpected(judged.error());
  if (*judged == admission::kInTime) RecordOnTime(item, now);
  items_.push_back(item);
  return {};
}

std::optional<work_item> work_queue::Pop(instant now) {
  if (items_.empty()) return std::nullopt;
  ++starts_;
  auto next = items_.begin();
  if (starts_ % kOldestFirstInterval != 0) {
    next = std::min_element(items_.begin(), items_.end(),
                            [now](const work_item& a, const work_item& b) {
                              return OrderKey(a, now) < OrderKey(b, now);
                            });
  }
  work_item item = *next;
  items_.erase(next);
  return item;
}

std::optional<work_item> work_queue::PopNested(instant now) {
  const auto next =
      std::min_element(items_.begin(), items_.end(),
                       [now](const work_item& a, const work_item& b) {
                         return std::make_pair(!a.nested, OrderKey(a, now)) <
                                std::make_pair(!b.nested, OrderKey(b, now));
                       });
  if (next == items_.end() || !next->nested) return std::nullopt;
  work_item item = *next;
  items_.erase(next);
  return item;
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
  const double late_share =
      std::max(kMinLateShare, 1 - OnTimeShare(slots, now));
  const auto is_overtaken = [&](const work_item& item, duration work) {
    const duration wait = Scale(work, 1.0 / slots);
    if (IsInTime(item, now + wait)) return false;
    const duration min_time = Scale(item.expected, kMinTimeShare);
    return now + Scale(wait, kOvertakenShare / late_share) + min_time >
           item.deadline;
  };
  std::vector<work_item> ordered = items_;
  std::sort(ordered.begin(), ordered.end(),
            [now](const work_item& a, const work_item& b) {
              return OrderKey(a, now) < OrderKey(b, now);
            });
  std::vector<work_item> overtaken;
  duration work = running;  // Starts before the next call.
  for (const work_item& item : ordered) {
    if (is_overtaken(item, work)) {
      overtaken.push_back(item);
    } else {
      work += item.expected;
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
