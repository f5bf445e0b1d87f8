#ifndef PIMENTOHALL_CORE_BACKOFF_H_
#define PIMENTOHALL_CORE_BACKOFF_H_

#include <algorithm>
#include <random>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Returns a random duration in [0, limit). std::uniform_int_distribution is not
// used, because its values differ between standard libraries.
inline duration RandomBelow(duration limit, std::mt19937_64* random) {
  const auto steps = static_cast<std::uint64_t>(limit.count());
  return duration(static_cast<duration::rep>((*random)() % steps));
}

// Exponential backoff with jitter. Each delay is drawn from the upper half of a
// range that starts at 1 s and doubles up to `kMaxDelay`, and is never below
// `kMinDelay`. The jitter keeps daemons that failed at the same time from
// retrying at the same time.
class backoff {
 public:
  static constexpr duration kMinDelay = std::chrono::milliseconds(500);
  static constexpr duration kMaxDelay = std::chrono::seconds(30);

  duration Next(std::mt19937_64* random) {
    const duration upper_bound = std::min(last_upper_bound_ * 2, kMaxDelay);
    const duration lower_bound = std::max(kMinDelay, upper_bound / 2);
    last_upper_bound_ = std::min(upper_bound, kMaxDelay);
    return lower_bound +
           RandomBelow(upper_bound - lower_bound + duration(1), random);
  }
  void Reset() { last_upper_bound_ = kMinDelay; }

 private:
  duration last_upper_bound_ = kMinDelay;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_BACKOFF_H_
