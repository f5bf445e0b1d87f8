#include "core/http_status.h"

namespace pimentohall::core {

int HttpStatusFor(outcome_kind outcome, reason why) {
  switch (why) {
    case reason::kNoKey:
      return 401;
    case reason::kRouteNotAllowed:
      return 403;
    case reason::kNoRoute:
      return 404;
    case reason::kDuplicate:
      return 409;
    case reason::kQuarantined:
      return 422;
    case reason::kRateExceeded:
    case reason::kConcurrencyExceeded:
      return 429;
    case reason::kDeadline:
      return 504;
    default:
      return outcome == outcome_kind::kNotRun ? 503 : 502;
  }
}

}  // namespace pimentohall::core
