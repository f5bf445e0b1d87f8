// In fleets above the base size the periods grow, so that a daemon sends about
// the same number of datagrams a second.

#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

constexpr duration kNearPeriod = std::chrono::milliseconds(300);
constexpr std::size_t kBaseFleetSize = 50;
constexpr int kFarFactor = 2;  // Far period in near periods.
constexpr int kFarFactorWithoutCounts = 4;
// Without counts, the far news of some tens of daemons would be most of their
// traffic between zones, although they add little information: loads arrive
// with each answer. So their period grows from a smaller fleet on, up to a
// limit that lets a lost daemon of another zone be noticed within 10 s.
constexpr int kFarBaseFleetSizeWithoutCounts = 25;
constexpr duration kFarPeriodLimit = std::chrono::seconds(4);

}  // namespace

news_periods NewsPeriods(std::size_t fleet_size, bool needs_counts) {
  const auto size = static_cast<int>(std::max(fleet_size, kBaseFleetSize));
  const duration near = kNearPeriod * size / static_cast<int>(kBaseFleetSize);
  if (needs_counts) return {near, near * kFarFactor};
  const duration least = near * kFarFactorWithoutCounts;
  const duration grown =
      kNearPeriod * kFarFactorWithoutCounts *
      std::max(static_cast<int>(fleet_size), kFarBaseFleetSizeWithoutCounts) /
      kFarBaseFleetSizeWithoutCounts;
  return {near, std::max(least, std::min(grown, kFarPeriodLimit))};
}

bool far_news_schedule::IsDue(const news_periods& periods, instant now) const {
  const duration period = std::min(announced_, periods.far);
  return now - sent_at_ >= period - periods.near / 2;
}

void far_news_schedule::OnSent(duration far_period, instant now) {
  announced_ = far_period;
  sent_at_ = now;
}

bool operator==(const news_periods& a, const news_periods& b) {
  return a.near == b.near && a.far == b.far;
}

}  // namespace pimentohall::mesh
