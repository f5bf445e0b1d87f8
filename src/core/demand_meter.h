#ifndef PIMENTOHALL_CORE_DEMAND_METER_H_
#define PIMENTOHALL_CORE_DEMAND_METER_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <numeric>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Estimates calls per second from counts in time bins of 100 ms.
class demand_meter {
 public:
  void Count(instant now) {
    Advance(now);
    ++bins_[Index(newest_bin_)];
  }

  // Calls in the last second.
  double Average(instant now) {
    Advance(now);
    return static_cast<double>(
        std::accumulate(bins_.begin(), bins_.end(), std::int64_t{0}));
  }

  // The peak of the average over the last seconds. The peak halves every 2 s
  // and is 0 after a second without a call. What a VM keeps for itself follows
  // this value, so that it doesn't lend at every short drop in its calls.
  double RecentPeak(instant now) {
    Average(now);
    return recent_peak_;
  }

  // The maximum of the averages over 1 s and over the newest 250 ms, so that a
  // rise of the demand is seen at once and a fall within a second.
  double PerSecond(instant now) {
    const double average = Average(now);
    std::int64_t newest = 0;
    for (std::int64_t age = 0; age < kNewestBins; ++age) {
      newest += bins_[Index(newest_bin_ + kBins - age)];
    }
    return std::max(average, static_cast<double>(newest) * 4.0);
  }

 private:
  static constexpr std::int64_t kBins = 10;
  static constexpr std::int64_t kNewestBins =
      3;  // Two full bins and the partial one.
  static constexpr double kDecayPerBin = 0.966;  // 20 bins halve it.
  static constexpr duration kBinWidth = std::chrono::milliseconds(100);

  static std::size_t Index(std::int64_t bin) {
    return static_cast<std::size_t>(bin % kBins);
  }

  void Advance(instant now) {
    const std::int64_t bin = now.time_since_epoch() / kBinWidth;
    const std::int64_t steps = std::min(bin - newest_bin_, kBins);
    if (steps <= 0) {
      return;
    }
    const double average = static_cast<double>(
        std::accumulate(bins_.begin(), bins_.end(), std::int64_t{0}));
    recent_peak_ =
        std::max(recent_peak_ * std::pow(kDecayPerBin, steps), average);
    for (std::int64_t step = 0; step < steps; ++step) {
      bins_[Index(bin - step)] = 0;
    }
    newest_bin_ = bin;
    if (average == 0 || steps == kBins) {
      recent_peak_ = 0;
    }
  }

  std::array<std::int64_t, kBins> bins_{};
  std::int64_t newest_bin_ = 0;
  double recent_peak_ = 0;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_DEMAND_METER_H_
