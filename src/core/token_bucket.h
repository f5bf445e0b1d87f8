#ifndef PIMENTOHALL_CORE_TOKEN_BUCKET_H_
#define PIMENTOHALL_CORE_TOKEN_BUCKET_H_

#include <algorithm>
#include <cstdint>

#include "pimentohall/core.h"

namespace pimentohall::core {

// A token bucket whose rate and cap change while it is in use. It starts empty.
//
// Invariant: 0 <= Level() <= Cap().
class token_bucket {
 public:
  explicit token_bucket(instant now) : refilled_at_(now) {}

  double Level() const { return level_; }
  double Rate() const { return rate_per_s_; }
  double Cap() const { return cap_; }

  // Adds the tokens for the time since the last call of `Advance`, at the
  // current rate.
  void Advance(instant now) {
    if (now <= refilled_at_) {
      return;
    }
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    refilled_at_ = now;
    level_ += rate_per_s_ * elapsed.count();
    Clamp();
  }

  // Sets rate and cap, effective from the time of the last `Advance`. Tokens
  // above the cap are lost.
  void SetLimits(double rate_per_s, double cap) {
    rate_per_s_ = std::max(0.0, rate_per_s);
    cap_ = std::max(0.0, cap);
    Clamp();
  }

  // Takes one token if there is one.
  bool Take() {
    if (level_ < 1) {
      return false;
    }
    level_ -= 1;
    return true;
  }

  void Add(double tokens) {
    level_ += tokens;
    Clamp();
  }

  void Remove(double tokens) { level_ = std::max(0.0, level_ - tokens); }

  // How often a change left the bucket full, with any excess tokens lost.
  std::uint64_t Overflows() const { return overflows_; }

 private:
  void Clamp() {
    if (level_ >= cap_) {
      level_ = cap_;
      ++overflows_;
    }
  }

  instant refilled_at_;
  double rate_per_s_ = 0;
  double cap_ = 0;
  double level_ = 0;
  std::uint64_t overflows_ = 0;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_TOKEN_BUCKET_H_
