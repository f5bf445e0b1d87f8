#include "pimentohall/core.h"

namespace pimentohall::core {

const char* ReasonName(reason why) {
  switch (why) {
    case reason::kNone:
      return "none";
    case reason::kNotReady:
      return "not_ready";
    case reason::kNoKey:
      return "no_key";
    case reason::kNoRoute:
      return "no_route";
    case reason::kRouteNotAllowed:
      return "route_not_allowed";
    case reason::kRateExceeded:
      return "rate_exceeded";
    case reason::kConcurrencyExceeded:
      return "concurrency_exceeded";
    case reason::kNoUpstream:
      return "no_upstream";
    case reason::kQueueFull:
      return "queue_full";
    case reason::kDeadline:
      return "deadline";
    case reason::kConnectFailed:
      return "connect_failed";
    case reason::kConnectionLost:
      return "connection_lost";
    case reason::kShed:
      return "shed";
    case reason::kQuarantined:
      return "quarantined";
    case reason::kDuplicate:
      return "duplicate";
    case reason::kUnknownUpstream:
      return "unknown_upstream";
    case reason::kStopping:
      return "stopping";
    case reason::kCancelled:
      return "cancelled";
    case reason::kOverloaded:
      return "overloaded";
    case reason::kPeerLost:
      return "peer_lost";
  }
  return "unknown";
}

bool operator==(const upstream_load& a, const upstream_load& b) {
  return a.in_flight == b.in_flight && a.queued == b.queued &&
         a.limit == b.limit;
}

}  // namespace pimentohall::core
