#include "core/admission.h"

namespace pimentohall::core {

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

admission_result CheckAdmission(const config::config_set& set,
                                std::string_view method, std::string_view path,
                                std::string_view key_digest) {
  admission_result result;
  if (!key_digest.empty()) {
    result.organisation = set.FindByKeyDigest(key_digest);
  }
  result.route = set.FindRoute(method, PathOf(path));
  if (result.route != nullptr && result.route->open) return result;
  // Authentication is checked before the route, so that a caller without a key
  // can't find out which routes exist.
  if (result.organisation == nullptr) {
    result.why = reason::kNoKey;
  } else if (result.route == nullptr) {
    result.why = reason::kNoRoute;
  } else if (!set.Allows(*result.organisation, result.route->name)) {
    result.why = reason::kRouteNotAllowed;
  }
  return result;
}

}  // namespace pimentohall::core
