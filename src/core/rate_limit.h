#ifndef PIMENTOHALL_CORE_RATE_LIMIT_H_
#define PIMENTOHALL_CORE_RATE_LIMIT_H_

#include <algorithm>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Allows `burst` events at once and `per_second` on average.
class rate_limit {
 public:
  rate_limit(int per_second, int burst, instant start)
      : interval_(duration(std::chrono::seconds(1)) / per_second),
        span_(interval_ * burst),
        next_(start - span_) {}

  // Takes a token if there is one.
  bool Take(instant now) {
    if (TokenAt() > now) return false;
    next_ = std::max(next_, now - span_) + interval_;
    return true;
  }
  // The earliest time at which `Take` gives true.
  instant TokenAt() const { return next_ + interval_; }

 private:
  duration interval_;
  duration span_;
  instant next_;  // Time up to which tokens are spent.
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_RATE_LIMIT_H_
