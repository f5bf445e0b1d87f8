#ifndef PIMENTOHALL_SCHED_NEED_MATH_H_
#define PIMENTOHALL_SCHED_NEED_MATH_H_

// Arithmetic that the classes for nested calls share.

#include <algorithm>
#include <chrono>
#include <cmath>

#include "pimentohall/sched.h"

namespace pimentohall::sched {

// Longest time of a nested call that is recorded.
inline constexpr double kMaxNeedMs = 60'000;

inline double DecaySince(instant since, instant now, double half_life_s) {
  const std::chrono::duration<double> age = now - since;
  return std::exp2(-std::max(0.0, age.count()) / half_life_s);
}

inline double ClampedMs(duration time) {
  return std::clamp(std::chrono::duration<double, std::milli>(time).count(),
                    0.0, kMaxNeedMs);
}

inline duration FromMs(double ms) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

// The share in time returns to 1 by half in this time. Ingresses get a report a
// second at most: with 1 s, the gate hardly saw a callee that failed all calls.
inline constexpr double kInTimeHalfLifeS = 3;

inline double InTimeNow(double in_time, instant at, instant now) {
  return 1 - (1 - in_time) * DecaySince(at, now, kInTimeHalfLifeS);
}

// The entry whose `used_at` is the oldest.
template <typename table, typename member>
auto OldestOf(const table& entries, member used_at) {
  return std::min_element(entries.begin(), entries.end(),
                          [used_at](const auto& a, const auto& b) {
                            return a.second.*used_at < b.second.*used_at;
                          });
}

// Most calls first, at most as many as may be reported.
inline void SortAndLimit(std::vector<callee_need>* needs) {
  std::stable_sort(needs->begin(), needs->end(),
                   [](const callee_need& a, const callee_need& b) {
                     return a.calls > b.calls;
                   });
  if (needs->size() > call_tree::kMaxNeeds) needs->resize(call_tree::kMaxNeeds);
}

}  // namespace pimentohall::sched

#endif  // PIMENTOHALL_SCHED_NEED_MATH_H_
