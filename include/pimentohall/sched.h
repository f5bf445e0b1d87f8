#ifndef PIMENTOHALL_SCHED_H_
#define PIMENTOHALL_SCHED_H_

// Library `sched`: estimates of work and decisions under overload. No I/O, no
// clock, no random state of its own: times are passed in.
//
// Durations and instants are `core::duration` (microseconds) and
// `core::instant` unless the name carries a unit. Functions without an error
// type can't fail.

#include <optional>
#include <string_view>

#include "pimentohall/core.h"

namespace pimentohall::sched {

using core::duration;
using core::instant;

// ---------------------------------------------------------------------------
// Switches.

// Whether a feature is used.
enum class feature_mode {
  kAuto,  // If nothing else bounds the demand.
  kOn,
  kOff,
};

// "auto", "on" or "off".
std::optional<feature_mode> ParseFeatureMode(std::string_view text);
// `demand_is_bounded`: the configuration limits the rate of the callers.
bool IsEnabled(feature_mode mode, bool demand_is_bounded);

// ---------------------------------------------------------------------------
// Cost of a call.

// ---------------------------------------------------------------------------
// Speed and pace of an upstream.

// ---------------------------------------------------------------------------
// Admission control, and the return of refused callers.

// ---------------------------------------------------------------------------
// Nested calls.

}  // namespace pimentohall::sched

#endif  // PIMENTOHALL_SCHED_H_
