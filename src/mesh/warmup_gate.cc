#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

void warmup_gate::SetCold(instant until, double rate_per_s, instant now) {
  if (!IsCold(now)) {
    level_ = 0;
    refilled_at_ = now;
  }
  cold_until_ = until;
  rate_per_s_ = rate_per_s;
}

void warmup_gate::Refill(instant now) {
  if (now <= refilled_at_) return;
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  refilled_at_ = now;
  level_ = std::min(kBurst, level_ + rate_per_s_ * elapsed.count());
}

bool warmup_gate::Take(instant now) {
  if (!IsCold(now) || rate_per_s_ <= 0) return true;
  Refill(now);
  if (level_ < 1) return false;
  level_ -= 1;
  return true;
}

instant warmup_gate::NextAt(instant now) const {
  if (!IsCold(now) || rate_per_s_ <= 0) return now;
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  const double level = std::min(kBurst, level_ + rate_per_s_ * elapsed.count());
  if (level >= 1) return now;
  const auto wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>((1 - level) / rate_per_s_));
  return std::min(cold_until_, now + wait + duration{1});
}

}  // namespace pimentohall::mesh
