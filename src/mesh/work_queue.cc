// The queue before one upstream.
//
// The queue is short (a few times the slots in a service that is sound), so it
// is scanned instead of being kept in several orders.

#include <algorithm>
#include <cmath>
#include <tuple>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

// Calls taken as in time are averaged over about this long.
constexpr double kOnTimeMemoryS = 1.0;
// Calls that are late already drain in what the others leave; at least this
// share is assumed, since loads change.
constexpr double kLeastLateShare = 0.1;
// A call needs this part of its expected time at least; less can't succeed.
constexpr double kLeastTimeShare = 0.5;
// A waiting call is given up when its deadline would be missed even if this
// part of the expected wait sufficed: times vary, and a late start still helps.
constexpr double kOvertakenShare = 0.85;
constexpr duration kLeastRetryAfter = std::chrono::milliseconds(50);

double Seconds(duration of) {
  return std::chrono::duration<double>(of).count();
}

duration Scale(duration of, double by) {
  return std::chrono::duration_cast<duration>(of * by);
}

// Times of calls vary: one whose mean just fits its aim mostly misses it. This
// many means must fit.
constexpr double kAimMargin = 1.5;

// A nested call that is refused fails the call that made it, whose work is then
// lost: what counts for it is its deadline.
bool IsInTime(const work_item& item, instant start) {
  if (item.nested) return start + item.expected <= item.deadline;
  return start + Scale(item.expected, kAimMargin) <= item.aim_at;
}

// The order among waiting calls at `now`; smaller goes first.
auto OrderKey(const work_item& item, instant now) {
  const bool late = !IsInTime(item, now);
  return std::make_tuple(late, !item.nested, item.rank,
                         late || item.nested ? item.deadline : item.aim_at,
                         item.id);
}

}  // namespace

duration work_queue::Work() const {
  duration work{0};
  for (const work_item& each : items_) work += each.expected;
  return work;
}

// Work that would start before `item`.
duration work_queue::WorkBefore(const work_item& item, instant now) const {
  const auto key = OrderKey(item, now);
  duration work{0};
  for (const work_item& each : items_) {
    if (OrderKey(each, now) < key) work += each.expected;
  }
  return work;
}

// Share of the slots that calls in time took lately.
double work_queue::OnTimeShare(int slots, instant now) const {
  const double decay = std::exp(-Seconds(now - on_time_at_) / kOnTimeMemoryS);
  return on_time_work_s_ * decay / (kOnTimeMemoryS * slots);
}

void work_queue::NoteOnTime(const work_item& item, instant now) {
  const double decay = std::exp(-Seconds(now - on_time_at_) / kOnTimeMemoryS);
  on_time_work_s_ = on_time_work_s_ * decay + Seconds(item.expected);
  on_time_at_ = now;
}

tl::expected<void, work_refusal> work_queue::Push(const work_item& item,
                                                  int slots, duration running,
                                                  instant now) {
  const duration all = Scale(Work() + running, 1.0 / slots);
  work_refusal refusal;
  refusal.retry_after = std::max(kLeastRetryAfter, all);
  if (items_.size() >= kMaxWaiting) return tl::unexpected(refusal);
  // With room at once nothing is lost by a try, and the estimate gets checked.
  if (items_.empty() && running.count() == 0 && now < item.deadline) {
    NoteOnTime(item, now);
    items_.push_back(item);
    return {};
  }
  if (now + Scale(item.expected, kLeastTimeShare) > item.deadline) {
    refusal.why = core::reason::kDeadline;
    return tl::unexpected(refusal);
  }
  duration wait = Scale(WorkBefore(item, now) + running, 1.0 / slots);
  if (IsInTime(item, now + wait)) {
    NoteOnTime(item, now);
    items_.push_back(item);
    return {};
  }
  const double left = std::max(kLeastLateShare, 1 - OnTimeShare(slots, now));
  wait = Scale(all, 1 / left);
  if (now + wait + item.expected > item.deadline) {
    return tl::unexpected(refusal);
  }
  items_.push_back(item);
  return {};
}

std::optional<work_item> work_queue::Pop(instant now) {
  if (items_.empty()) return std::nullopt;
  ++starts_;
  auto next = items_.begin();
  if (starts_ % kTurnOfOldest != 0) {
    next = std::min_element(items_.begin(), items_.end(),
                            [now](const work_item& a, const work_item& b) {
                              return OrderKey(a, now) < OrderKey(b, now);
                            });
  }
  work_item item = *next;
  items_.erase(next);
  return item;
}

bool work_queue::Remove(std::uint64_t id) {
  const auto found =
      std::find_if(items_.begin(), items_.end(),
                   [id](const work_item& each) { return each.id == id; });
  if (found == items_.end()) return false;
  items_.erase(found);
  return true;
}

std::vector<work_item> work_queue::Expire(instant now) {
  std::vector<work_item> expired;
  const auto is_over = [now](const work_item& each) {
    return now + Scale(each.expected, kLeastTimeShare) > each.deadline;
  };
  for (const work_item& each : items_) {
    if (is_over(each)) expired.push_back(each);
  }
  items_.erase(std::remove_if(items_.begin(), items_.end(), is_over),
               items_.end());
  return expired;
}

std::vector<work_item> work_queue::DropOvertaken(int slots, duration running,
                                                 instant now) {
  const double left = std::max(kLeastLateShare, 1 - OnTimeShare(slots, now));
  const auto is_overtaken = [&](const work_item& each, duration work) {
    const duration wait = Scale(work, 1.0 / slots);
    if (IsInTime(each, now + wait)) return false;
    const duration least = Scale(each.expected, kLeastTimeShare);
    return now + Scale(wait, kOvertakenShare / left) + least > each.deadline;
  };
  std::vector<work_item> ordered = items_;
  std::sort(ordered.begin(), ordered.end(),
            [now](const work_item& a, const work_item& b) {
              return OrderKey(a, now) < OrderKey(b, now);
            });
  std::vector<work_item> overtaken;
  duration work = running;  // What starts before the next one.
  for (const work_item& each : ordered) {
    if (is_overtaken(each, work)) {
      overtaken.push_back(each);
    } else {
      work += each.expected;
    }
  }
  for (const work_item& each : overtaken) Remove(each.id);
  return overtaken;
}

std::vector<work_item> work_queue::Clear() { return std::exchange(items_, {}); }

std::optional<instant> work_queue::NextExpiry() const {
  std::optional<instant> next;
  for (const work_item& each : items_) {
    const instant at = each.deadline - Scale(each.expected, kLeastTimeShare);
    if (!next || at < *next) next = at;
  }
  return next;
}

}  // namespace pimentohall::mesh
