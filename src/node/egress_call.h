#ifndef PIMENTOHALL_NODE_EGRESS_CALL_H_
#define PIMENTOHALL_NODE_EGRESS_CALL_H_

// A call at the egress, and constants that the egress's source files share.

#include <memory>
#include <optional>
#include <string>

#include "node/egress.h"
#include "node/held_body.h"

namespace pimentohall::node {

// Default retry time in a refusal. The ingress passes the shortest one to its
// caller if no upstream takes the call; for itself it uses its own backoff.
inline constexpr duration kIngressRetryAfter = std::chrono::milliseconds(300);

struct egress::call {
  explicit call(fleet_state& fleet) : body(fleet.buffered_request_bytes) {}

  std::uint64_t id = 0;
  std::shared_ptr<stream::server_exchange> inbound;  // From the ingress.
  stream::message_head head;
  call_header info;
  sched::cost_key cost;
  // At its arrival, for an upstream of usual speed; none without cost routing.
  std::optional<sched::cost_estimate> predicted;
  std::string caller_id;  // The caller's own id of its request.
  instant received{};
  instant deadline{};
  instant aim_at{};
  instant started{};           // Zero: not started.
  std::size_t head_bytes = 0;  // In memory.
  held_body body;
  bool body_complete = false;
  bool streams_body = false;  // Too large to be buffered whole.
  bool queued = false;
  std::uint64_t group = 0;  // Of its tenant and route.
  bool carried = false;     // Its body was asked for.
  std::uint64_t fingerprint = 0;
  std::string upstream;  // Id of the upstream that runs the call.
  std::shared_ptr<stream::exchange> exchange;
  stream::message_head answer;
  upstream_answer answer_info;
  std::string answer_body;      // The part that is buffered.
  bool streams_answer = false;  // The head went out to the ingress.
  bool finished = false;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_EGRESS_CALL_H_
