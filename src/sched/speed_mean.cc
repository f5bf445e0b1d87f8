#include <algorithm>
#include <cmath>

#include "pimentohall/sched.h"

namespace pimentohall::sched {

void speed_mean::Observe(double ratio) {
  constexpr int kMaxRuns = 100;
  constexpr double kLeast = 0.05;
  constexpr double kMost = 20;
  if (!std::isfinite(ratio) || ratio <= 0) return;
  // Counts as if one run at the usual speed went before.
  runs_ = std::min(runs_ + 1, kMaxRuns);
  mean_ += (std::clamp(ratio, kLeast, kMost) - mean_) / (runs_ + 1);
}

}  // namespace pimentohall::sched
