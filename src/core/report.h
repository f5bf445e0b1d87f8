#ifndef PIMENTOHALL_CORE_REPORT_H_
#define PIMENTOHALL_CORE_REPORT_H_

#include <cstddef>
#include <string>

#include "core/config_store.h"
#include "core/contract_allocator.h"
#include "core/distribution.h"
#include "core/egress.h"
#include "core/membership.h"
#include "core/router.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// What the state dump and the explanation of a call are made from.
struct report_input {
  const engine_options* options = nullptr;
  const config_store* store = nullptr;
  const membership* members = nullptr;
  const distribution* distributor = nullptr;
  const contract_allocator* allocator = nullptr;
  const router* routes = nullptr;
  const egress* guard = nullptr;
  std::size_t calls_in_flight = 0;
  bool ready = false;
  bool stopping = false;
  counters totals;
};

// JSON with a fixed order of fields, without keys or digests of keys.
std::string DumpReport(const report_input& input, instant now);
std::string ExplainReport(const report_input& input, const call_arrived& call,
                          instant now);

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_REPORT_H_
