#ifndef PIMENTOHALL_MEASURE_LOAD_SUMMARY_H_
#define PIMENTOHALL_MEASURE_LOAD_SUMMARY_H_

#include <vector>

#include "load/runner.h"

namespace pimentohall::load {

// All tallies as one.
tally Sum(const std::vector<tally>& tallies);

// Latency below which `share` (0..1) of the answered calls lie, in
// milliseconds; 0 without answered calls.
double PercentileMs(const tally& t, double share);

}  // namespace pimentohall::load

#endif  // PIMENTOHALL_MEASURE_LOAD_SUMMARY_H_
