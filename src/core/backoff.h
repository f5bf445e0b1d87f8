#ifndef PIMENTOHALL_CORE_BACKOFF_H_
#define PIMENTOHALL_CORE_BACKOFF_H_

#include <algorithm>
#include <random>

#include "pimentohall/core.h"

namespace pimentohall::core {

// A random duration in [0, limit). std::uniform_int_distribution gives other
// values in other standard libraries, so it is not used.
inline duration RandomBelow(duration limit, std::mt19937_64* random) {
  const auto steps = static_cast<std::uint64_t>(limit.count());
  return duration(static_cast<duration::rep>((*random)() % steps));
}

// Exponential backoff with jitter: waits are drawn from the upper half of a
// range that starts at 1 s and doubles up to `kGreatest`, and are never under
// `kFirst`. The jitter keeps daemons that failed together from retrying
// together.
class backoff {
 public:
  static constexpr duration kFirst = std::chrono::milliseconds(500);
  static constexpr duration kGreatest = std::chrono::seconds(30);

  duration Next(std::mt19937_64* random) {
    const duration ceiling = std::min(floor_ * 2, kGreatest);
    const duration low = std::max(kFirst, ceiling / 2);
    floor_ = std::min(ceiling, kGreatest);
    return low + RandomBelow(ceiling - low + duration(1), random);
  }
  void Reset() { floor_ = kFirst; }

 private:
  duration floor_ = kFirst;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_BACKOFF_H_
