#include <algorithm>
#include <cmath>

#include "pimentohall/sched.h"

namespace pimentohall::sched {

void nested_reserve::OnNestedCall(duration work, instant now) {
  work_s_ = BusySlots(now) * kWindowS +
            std::max(0.0, std::chrono::duration<double>(work).count());
  arrived_at_ = now;
}

double nested_reserve::BusySlots(instant now) const {
  const std::chrono::duration<double> age = now - arrived_at_;
  return work_s_ * std::exp(-std::max(0.0, age.count()) / kWindowS) / kWindowS;
}

int nested_reserve::Slots(int slots, instant now) const {
  const int limit = static_cast<int>(std::floor(slots * kMaxShare));
  const double busy = std::min<double>(BusySlots(now), slots);
  return std::min(static_cast<int>(std::floor(busy)), limit);
}

std::size_t nested_reserve::Places(std::size_t places, instant now) const {
  // Nested calls are short and go first, so they need few places.
  constexpr std::size_t kPart = 8;
  constexpr double kMinBusySlots = 0.01;
  return BusySlots(now) >= kMinBusySlots ? places / kPart : 0;
}

}  // namespace pimentohall::sched
