#ifndef PIMENTOHALL_TESTING_FLEET_FLEET_ERROR_H_
#define PIMENTOHALL_TESTING_FLEET_FLEET_ERROR_H_

#include <string>
#include <tl/expected.hpp>

namespace pimentohall::testing {

// Why a step of a test or measurement could not be done.
struct fleet_error {
  std::string problem;
};

template <typename T>
using fleet_result = tl::expected<T, fleet_error>;

inline tl::unexpected<fleet_error> FleetError(std::string problem) {
  return tl::make_unexpected(fleet_error{std::move(problem)});
}

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_FLEET_FLEET_ERROR_H_
