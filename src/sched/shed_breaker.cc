#include <algorithm>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

// A trial call whose end isn't reported doesn't block the next one for longer.
constexpr duration kTrialTimeout = std::chrono::seconds(2);

}  // namespace

shed_breaker::state shed_breaker::State(instant now) const {
  if (hold_.count() == 0) return state::kClosed;
  if (now < open_until_) return state::kOpen;
  const bool in_trial = trial_at_ && now - *trial_at_ < kTrialTimeout;
  return in_trial ? state::kTrial : state::kHalfOpen;
}

bool shed_breaker::MayStart(instant now) const {
  const state current = State(now);
  return current == state::kClosed || current == state::kHalfOpen;
}

void shed_breaker::OnStarted(instant now) {
  if (State(now) == state::kHalfOpen) trial_at_ = now;
}

void shed_breaker::OnShed(instant now) {
  ++sheds_;
  if (sheds_ < kOpenAfter) return;
  // Calls that started before the breaker opened don't prolong it.
  if (State(now) == state::kOpen) return;
  hold_ = hold_.count() == 0 ? kMinHold : std::min(hold_ * 2, kMaxHold);
  open_until_ = now + hold_;
  trial_at_.reset();
}

void shed_breaker::OnNotShed() {
  sheds_ = 0;
  hold_ = duration{0};
  trial_at_.reset();
}

}  // namespace pimentohall::sched
