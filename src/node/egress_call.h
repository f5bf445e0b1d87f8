#ifndef PIMENTOHALL_NODE_EGRESS_CALL_H_
#define PIMENTOHALL_NODE_EGRESS_CALL_H_

// A call at the egress, and what its parts share.

#include <memory>
#include <string>

#include "node/egress.h"
#include "node/held_body.h"

namespace pimentohall::node {

// An ingress tries this upstream again after this time where nothing better is
// known.
inline constexpr duration kIngressRetryAfter = std::chrono::milliseconds(300);

struct egress::call {
  std::uint64_t id = 0;
  std::shared_ptr<stream::connection> conn;
  stream::message_head head;
  call_header info;
  std::string caller_id;  // The caller's id of its attempt.
  instant received{};
  instant deadline{};
  instant aim_at{};
  instant started{};
  std::string body;
  bool body_whole = false;
  bool streams_body = false;
  bool queued = false;
  std::uint64_t fingerprint = 0;
  std::string upstream;  // The start that has it.
  std::shared_ptr<stream::exchange> exchange;
  stream::message_head answer;
  upstream_answer facts;
  std::string answer_body;
  bool streams_answer = false;
  bool finished = false;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_EGRESS_CALL_H_
