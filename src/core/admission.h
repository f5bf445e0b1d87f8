#ifndef PIMENTOHALL_CORE_ADMISSION_H_
#define PIMENTOHALL_CORE_ADMISSION_H_

#include <string_view>

#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// How the configuration in force decides a call, before any limit is applied.
struct admission_result {
  const config::route* route = nullptr;
  const config::organisation* organisation = nullptr;  // Null: no valid key.
  reason why = reason::kNone;  // kNone: the contract allows the call.
};

// Authenticates the caller and matches the route. Looks up the key in the set
// on every call, so a key that a newer set no longer lists is refused at once,
// even on connections that are already open.
admission_result CheckAdmission(const config::config_set& set,
                                std::string_view method, std::string_view path,
                                std::string_view key_digest);

// The part of a request target before the query string.
std::string_view PathOf(std::string_view target);

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_ADMISSION_H_
