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

// Input of the state dump and of the explanation of a call.
struct report_input {
  const engine_options* options = nullptr;
  const config_store* store = nullptr;
  const membership* members = nullptr;
  const distribution* distributor = nullptr;
  const contract_allocator* allocator = nullptr;
  const router* routes = nullptr;
  const egress* local_egress = nullptr;  // Of the upstreams on this VM.
  std::size_t calls_in_flight = 0;
  bool ready = false;
  bool stopping = false;
  counters totals;
};

// The daemon's state as JSON with a fixed order of fields, without keys or
// digests of keys.
std::string DumpReport(const report_input& input, instant now);
// How this daemon would decide the call now, as JSON of the same kind.
std::string ExplainReport(const report_input& input, const call_arrived& call,
                          instant now);

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_REPORT_H_
