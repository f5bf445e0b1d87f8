#ifndef PIMENTOHALL_MEASURE_COST_PREDICTORS_CANDIDATES_H_
#define PIMENTOHALL_MEASURE_COST_PREDICTORS_CANDIDATES_H_

// Predictors of the cost of a call that are compared with each other.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pimentohall/sched.h"

namespace pimentohall::measure {

// Milliseconds; `high` is the 80th percentile.
struct prediction {
  double mean = 0;
  double high = 0;
};

class candidate {
 public:
  virtual ~candidate() = default;
  virtual prediction Predict(const sched::call_features& call,
                             core::instant now) const = 0;
  virtual void Observe(const sched::call_features& call, core::duration work,
                       core::instant now) = 0;
  virtual std::size_t MemoryBytes() const = 0;
};

struct named_candidate {
  std::string name;
  std::function<std::unique_ptr<candidate>()> make;
};
const std::vector<named_candidate>& Candidates();

}  // namespace pimentohall::measure

#endif  // PIMENTOHALL_MEASURE_COST_PREDICTORS_CANDIDATES_H_
