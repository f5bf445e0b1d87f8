#ifndef PIMENTOHALL_CORE_HTTP_STATUS_H_
#define PIMENTOHALL_CORE_HTTP_STATUS_H_

#include "pimentohall/core.h"

namespace pimentohall::core {

// The HTTP status for a call that no upstream answered.
int HttpStatusFor(outcome_kind outcome, reason why);

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_HTTP_STATUS_H_
