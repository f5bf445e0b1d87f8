#include <algorithm>
#include <cmath>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

constexpr double kRateWindowS = 1;
// Returning callers get this share of the room that becomes free; new callers
// take the rest.
constexpr double kReturnShare = 0.5;
constexpr double kMinGapS = 0.0005;
constexpr double kMaxGapS = 0.05;
// Multiples of the golden ratio fill an interval evenly in any number.
constexpr double kGoldenRatio = 0.6180339887498949;

}  // namespace

duration return_pacer::Gap(const schedule& of, instant now) {
  const std::chrono::duration<double> age = now - of.answered_at;
  const double rate =
      of.answers * std::exp(-age.count() / kRateWindowS) / kRateWindowS;
  const double gap_s =
      std::clamp(1 / std::max(1e-6, rate * kReturnShare), kMinGapS, kMaxGapS);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(gap_s));
}

void return_pacer::OnAnswered(const std::string& service, instant now) {
  schedule& of = services_[service];
  const std::chrono::duration<double> age = now - of.answered_at;
  of.answers = of.answers * std::exp(-age.count() / kRateWindowS) + 1;
  of.answered_at = now;
}

duration return_pacer::RetryAfter(const std::string& service, duration room_in,
                                  duration time_left, instant now) {
  const duration limit = std::max(duration{0}, time_left) / kMaxPart;
  const duration from = std::min(limit, std::max(kMin, room_in));
  schedule& of = services_[service];
  const instant returns = std::max(now + from, of.next);
  if (returns <= now + limit) {
    of.next = returns + Gap(of, now);
    return returns - now;
  }
  // No place is left before the limit: places are shared evenly.
  const double part =
      std::fmod(static_cast<double>(++of.refused) * kGoldenRatio, 1.0);
  const duration earliest = std::min(from, limit / 2);
  return earliest +
         std::chrono::duration_cast<duration>((limit - earliest) * part);
}

}  // namespace pimentohall::sched
