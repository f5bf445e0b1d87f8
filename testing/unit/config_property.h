#ifndef PIMENTOHALL_TESTING_UNIT_CONFIG_PROPERTY_H_
#define PIMENTOHALL_TESTING_UNIT_CONFIG_PROPERTY_H_

#include <rapidcheck.h>

#include <iostream>
#include <string>

namespace pimentohall::config {

// Runs a rapidcheck property with a fixed seed, so that every run gives the
// same result; rc::check uses a random seed. Prints the counterexample on
// failure.
template <typename F>
bool HoldsFor(const std::string& name, int cases, F property) {
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  rc::detail::TestParams params;
  params.seed = 20240501;
  params.maxSuccess = cases;
  const auto result =
      rc::detail::checkTestable(std::move(property), metadata, params);
  if (result.template is<rc::detail::SuccessResult>()) return true;
  rc::detail::printResultMessage(result, std::cerr);
  return false;
}

}  // namespace pimentohall::config

#endif  // PIMENTOHALL_TESTING_UNIT_CONFIG_PROPERTY_H_
