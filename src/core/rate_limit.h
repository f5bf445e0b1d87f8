#ifndef PIMENTOHALL_CORE_RATE_LIMIT_H_
#define PIMENTOHALL_CORE_RATE_LIMIT_H_

#include <algorithm>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Token bucket that allows `burst` events at once and `per_second` on average.
class rate_limit {
 public:
  rate_limit(int per_second, int burst, instant start)
      : interval_(duration(std::chrono::seconds(1)) / per_second),
        burst_span_(interval_ * burst),
        spent_until_(start - burst_span_) {}

  // Takes a token if one is available; returns false otherwise.
  bool Take(instant now) {
    if (NextTokenAt() > now) return false;
    spent_until_ = std::max(spent_until_, now - burst_span_) + interval_;
    return true;
  }
  // The earliest time at which `Take` returns true.
  instant NextTokenAt() const { return spent_until_ + interval_; }

 private:
  duration interval_;    // Time in which one token is refilled.
  duration burst_span_;  // Time in which `burst` tokens are refilled.
  instant spent_until_;  // Time up to which tokens are spent.
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_RATE_LIMIT_H_
