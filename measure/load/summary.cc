#include "load/summary.h"

#include <algorithm>

namespace pimentohall::load {
namespace {

void Add(const tally& t, tally* all) {
  all->calls += t.calls;
  all->answered += t.answered;
  all->refused += t.refused;
  all->not_run += t.not_run;
  all->not_sent += t.not_sent;
  all->broken += t.broken;
  all->lost += t.lost;
  all->crossed += t.crossed;
  all->wrong_organisation += t.wrong_organisation;
  for (const auto& [status, count] : t.by_status) {
    all->by_status[status] += count;
  }
  all->latencies_us.insert(all->latencies_us.end(), t.latencies_us.begin(),
                           t.latencies_us.end());
  all->not_run_ids.insert(all->not_run_ids.end(), t.not_run_ids.begin(),
                          t.not_run_ids.end());
}

}  // namespace

tally Sum(const std::vector<tally>& tallies) {
  tally all;
  for (const tally& t : tallies) Add(t, &all);
  return all;
}

double PercentileMs(const tally& t, double share) {
  if (t.latencies_us.empty()) return 0;
  constexpr double kMicrosPerMs = 1000;
  std::vector<std::uint32_t> values = t.latencies_us;
  const auto rank = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)] / kMicrosPerMs;
}

}  // namespace pimentohall::load
