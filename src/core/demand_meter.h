#ifndef PIMENTOHALL_CORE_DEMAND_METER_H_
#define PIMENTOHALL_CORE_DEMAND_METER_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <numeric>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Estimates calls per second from counts in slots of 100 ms.
class demand_meter {
 public:
  void Count(instant now) {
    Advance(now);
    ++slots_[Index(slot_)];
  }

  // Calls of the last second.
  double Average(instant now) {
    Advance(now);
    return static_cast<double>(
        std::accumulate(slots_.begin(), slots_.end(), std::int64_t{0}));
  }

  // The greatest average of the last seconds, fading by half in 2 s; 0 after a
  // second without a call. What a VM keeps for itself follows this value, so
  // that it doesn't lend on each chance lull.
  double Recent(instant now) {
    Average(now);
    return recent_;
  }

  // The greater of the average over 1 s and over the newest 250 ms, so that a
  // rising demand is seen at once and a falling one within a second.
  double PerSecond(instant now) {
    const double average = Average(now);
    std::int64_t newest = 0;
    for (std::int64_t age = 0; age < kNewestSlots; ++age) {
      newest += slots_[Index(slot_ + kSlots - age)];
    }
    return std::max(average, static_cast<double>(newest) * 4.0);
  }

 private:
  static constexpr std::int64_t kSlots = 10;
  static constexpr std::int64_t kNewestSlots =
      3;  // Two full ones, one partial.
  static constexpr double kFadingPerSlot = 0.966;  // 20 slots halve.
  static constexpr duration kSlot = std::chrono::milliseconds(100);

  static std::size_t Index(std::int64_t slot) {
    return static_cast<std::size_t>(slot % kSlots);
  }

  void Advance(instant now) {
    const std::int64_t slot = now.time_since_epoch() / kSlot;
    const std::int64_t steps = std::min(slot - slot_, kSlots);
    if (steps <= 0) {
      return;
    }
    const double average = static_cast<double>(
        std::accumulate(slots_.begin(), slots_.end(), std::int64_t{0}));
    recent_ = std::max(recent_ * std::pow(kFadingPerSlot, steps), average);
    for (std::int64_t step = 0; step < steps; ++step) {
      slots_[Index(slot - step)] = 0;
    }
    slot_ = slot;
    if (average == 0 || steps == kSlots) {
      recent_ = 0;
    }
  }

  std::array<std::int64_t, kSlots> slots_{};
  std::int64_t slot_ = 0;
  double recent_ = 0;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_DEMAND_METER_H_
