#ifndef PIMENTOHALL_CORE_DEMAND_METER_H_
#define PIMENTOHALL_CORE_DEMAND_METER_H_

#include <algorithm>
#include <array>
#include <cstdint>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Estimates calls per second from counts of the last second in 100 ms slots.
class demand_meter {
 public:
  void Count(instant now) {
    Advance(now);
    ++slots_[Index(slot_)];
  }

  // The greater of the average over 1 s and over the newest 250 ms, so that a
  // rising demand is seen at once and a falling one within a second.
  double PerSecond(instant now) {
    Advance(now);
    std::int64_t all = 0;
    std::int64_t newest = 0;
    for (std::int64_t age = 0; age < kSlots; ++age) {
      const std::int64_t count = slots_[Index(slot_ + kSlots - age)];
      all += count;
      newest += age < kNewestSlots ? count : 0;
    }
    return std::max(static_cast<double>(all),
                    static_cast<double>(newest) * 4.0);
  }

 private:
  static constexpr std::int64_t kSlots = 10;
  static constexpr std::int64_t kNewestSlots =
      3;  // Two full ones, one partial.
  static constexpr duration kSlot = std::chrono::milliseconds(100);

  static std::size_t Index(std::int64_t slot) {
    return static_cast<std::size_t>(slot % kSlots);
  }

  void Advance(instant now) {
    const std::int64_t slot = now.time_since_epoch() / kSlot;
    const std::int64_t steps = std::min(slot - slot_, kSlots);
    for (std::int64_t step = 0; step < steps; ++step) {
      slots_[Index(slot - step)] = 0;
    }
    slot_ = std::max(slot_, slot);
  }

  std::array<std::int64_t, kSlots> slots_{};
  std::int64_t slot_ = 0;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_DEMAND_METER_H_
