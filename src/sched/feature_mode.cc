#include "pimentohall/sched.h"

namespace pimentohall::sched {

std::optional<feature_mode> ParseFeatureMode(std::string_view text) {
  constexpr std::pair<std::string_view, feature_mode> kNames[] = {
      {"auto", feature_mode::kAuto},
      {"on", feature_mode::kOn},
      {"off", feature_mode::kOff}};
  for (const auto& [name, mode] : kNames) {
    if (name == text) return mode;
  }
  return std::nullopt;
}

bool IsEnabled(feature_mode mode, bool demand_is_bounded) {
  if (mode == feature_mode::kAuto) return !demand_is_bounded;
  return mode == feature_mode::kOn;
}

}  // namespace pimentohall::sched
