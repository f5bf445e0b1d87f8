#ifndef PIMENTOHALL_TESTING_FUZZ_FUZZ_CHECK_H_
#define PIMENTOHALL_TESTING_FUZZ_FUZZ_CHECK_H_

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "pimentohall/config.h"

// Ends the process if `condition` is false, in every build type.
#define FUZZ_CHECK(condition)                                           \
  do {                                                                  \
    if (!(condition)) {                                                 \
      std::fprintf(stderr, "%s:%d: not true: %s\n", __FILE__, __LINE__, \
                   #condition);                                         \
      std::abort();                                                     \
    }                                                                   \
  } while (false)

namespace pimentohall::config {

inline std::string_view AsText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// A refusal names at least one fault, each within the text and with a fix.
inline void CheckFaults(const faults& faults, std::string_view text) {
  FUZZ_CHECK(!faults.empty() && faults.size() <= kMaxFaults);
  const auto lines = 1 + std::count(text.begin(), text.end(), '\n');
  for (const fault& fault : faults) {
    FUZZ_CHECK(fault.line >= 0 && fault.line <= lines);
    FUZZ_CHECK(!fault.problem.empty() && !fault.fix.empty());
    FUZZ_CHECK(fault.ToString().find('\n') == std::string::npos);
  }
}

}  // namespace pimentohall::config

#endif  // PIMENTOHALL_TESTING_FUZZ_FUZZ_CHECK_H_
