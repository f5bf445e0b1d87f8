#ifndef PIMENTOHALL_NODE_INGRESS_CALL_H_
#define PIMENTOHALL_NODE_INGRESS_CALL_H_

// A call at the ingress, and what its parts share.

#include <memory>
#include <string>
#include <vector>

#include "node/held_body.h"
#include "node/ingress.h"

namespace pimentohall::node {

// Callers come back after this time where nothing better is known.
inline constexpr duration kCallerRetryAfter = std::chrono::milliseconds(250);

struct ingress::call {
  std::shared_ptr<stream::connection> conn;
  stream::message_head head;
  std::string caller_id;
  instant received{};
  instant deadline{};
  instant aim_at{};
  std::shared_ptr<const mesh::configuration> config;
  const mesh::route* route = nullptr;    // Lives in `config`.
  const mesh::tenant* tenant = nullptr;  // Lives in `config`.
  std::string service;
  bool nested = false;
  std::string body;
  bool body_whole = false;
  bool streams_body = false;  // Longer than what is held; can't be repeated.
  sigc::connection deadline_timer;

  // The attempt in hand.
  std::shared_ptr<stream::exchange> attempt;
  std::string attempt_id;
  std::string upstream;
  std::string address;
  instant forwarded{};
  outcome_header told;
  stream::message_head answer;
  std::string answer_body;
  bool has_answer_head = false;
  bool streams_answer = false;  // Its head went out to the caller.
  bool asking = false;          // Waiting for a daemon's word on the attempt.

  // A failure that an upstream answered, kept while another is tried: if no
  // better answer comes, the caller gets this one.
  stream::message_head failure;
  std::string failure_body;
  bool has_failure = false;

  std::vector<std::string> tried;
  int sent = 0;  // Attempts that reached an upstream.
  bool may_have_run = false;
  int refusals = 0;  // Attempts that a daemon refused.
  duration retry_after{0};
  core::reason last_refusal = core::reason::kNone;
  bool finished = false;

  std::string RouteName() const { return route ? route->name : "-"; }
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_INGRESS_CALL_H_
