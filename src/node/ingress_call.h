#ifndef PIMENTOHALL_NODE_INGRESS_CALL_H_
#define PIMENTOHALL_NODE_INGRESS_CALL_H_

// A call at the ingress, and constants that the ingress's source files share.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "node/held_body.h"
#include "node/ingress.h"

namespace pimentohall::node {

// Default time after which a caller may retry.
inline constexpr duration kCallerRetryAfter = std::chrono::milliseconds(250);

struct ingress::call {
  explicit call(fleet_state& fleet) : body(fleet.buffered_request_bytes) {}

  std::shared_ptr<stream::server_exchange> inbound;  // From the caller.
  stream::message_head head;
  std::string caller_id;
  instant received{};
  instant deadline{};
  instant aim_at{};
  std::optional<duration> budget;  // As the caller stated it.
  duration spent{0};               // On the caller's earlier attempts.
  std::shared_ptr<const mesh::configuration> config;
  const mesh::route* route = nullptr;    // Lives in `config`.
  const mesh::tenant* tenant = nullptr;  // Lives in `config`.
  std::string service;
  bool nested = false;
  bool holds_token = false;          // Of the tenant's allotment.
  std::size_t head_bytes = 0;        // In memory.
  std::uint64_t received_bytes = 0;  // Of the body.
  held_body body;
  bool body_complete = false;
  bool streams_body = false;  // Too large to be buffered; can't be sent again.
  sigc::connection deadline_timer;

  // The current attempt.
  std::shared_ptr<stream::exchange> attempt;
  bool body_withheld = false;  // Until the egress has accepted it.
  std::string attempt_id;
  std::string upstream;
  std::string address;
  std::uint32_t peer_boot = 0;  // Of the daemon at `address`; 0: unknown.
  instant forwarded{};
  sched::cost_key cost_key;
  // At an upstream of usual speed; none without cost routing.
  std::optional<duration> cost;
  outcome_header outcome_info;
  stream::message_head answer;
  std::string answer_body;
  bool has_answer_head = false;
  bool streams_answer = false;    // The head went out to the caller.
  bool querying_attempt = false;  // Asking a daemon whether the attempt ran.
  // In a planned stop, the daemon was asked to drop the attempt if it waits.
  bool withdrawal_asked = false;

  // An upstream's failed answer, kept while another upstream is tried. The
  // caller gets it if no attempt succeeds.
  stream::message_head failed_answer;
  std::string failed_answer_body;
  bool has_failed_answer = false;

  std::vector<std::string> tried_upstreams;  // Ids.
  int sent = 0;               // Attempts that reached an upstream.
  bool may_have_run = false;  // Holds for any of the attempts.
  int refusals = 0;           // Attempts that a daemon refused.
  int waits = 0;              // For upstreams in backoff.
  sigc::connection wait_timer;
  duration retry_after{0};
  core::reason last_refusal = core::reason::kNone;
  bool refused_for_callee =
      false;  // A service that its run would call is full.
  bool finished = false;

  std::string RouteName() const { return route ? route->name : "-"; }
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_INGRESS_CALL_H_
