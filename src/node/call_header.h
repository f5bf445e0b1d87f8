#ifndef PIMENTOHALL_NODE_CALL_HEADER_H_
#define PIMENTOHALL_NODE_CALL_HEADER_H_

// The two headers that daemons add to calls between each other, as JSON on one
// line. They never leave the fleet.

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "pimentohall/mesh.h"
#include "pimentohall/net.h"

namespace pimentohall::node {

// Whole milliseconds on the wire between daemons.
using duration_ms = std::int64_t;
inline duration_ms ToWholeMs(core::duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

inline constexpr char kCallHeader[] = "X-Pimentohall-Call";
inline constexpr char kOutcomeHeader[] = "X-Pimentohall-Outcome";

// The facts about a forwarded call that the egress needs.
struct call_header {
  std::string attempt;  // Unique over all daemons and starts.
  std::string upstream;
  std::string route;
  std::string tenant;
  std::string caller_service;
  int rank = 0;
  bool nested = false;
  bool idempotent = false;
  bool repeat = false;         // An earlier attempt reached an upstream.
  duration_ms budget_ms = 0;   // Time left until the deadline.
  duration_ms aim_ms = 0;      // Time left until the aim; may be negative.
  duration_ms typical_ms = 0;  // Typical duration of the call in the fleet.
};

enum class outcome {
  kAnswered,    // The upstream's own answer follows.
  kShed,        // The upstream received the call and refused to run it.
  kNotRun,      // No byte of the call reached an upstream.
  kMayHaveRun,  // The upstream received the call; whether it ran is unknown.
};

struct outcome_header {
  outcome result = outcome::kMayHaveRun;
  core::reason reason = core::reason::kNone;
  duration_ms retry_after_ms = 0;  // With kNotRun.
  duration_ms took_ms = 0;         // With kAnswered: time at the upstream.
  duration_ms waited_ms = 0;       // Time in the queue.
  mesh::load_news load;
  // What a run of the call's route needs; none: not reported with this answer.
  std::optional<std::vector<sched::callee_need>> needs;
};

// Removes both headers, so that a caller or an upstream can't impersonate a
// daemon.
void DropFleetHeaders(net::header_list* headers);

std::string EncodeCall(const call_header& call);
tl::expected<call_header, std::string> DecodeCall(std::string_view text);
std::string EncodeOutcome(const outcome_header& outcome);
tl::expected<outcome_header, std::string> DecodeOutcome(std::string_view text);
const char* OutcomeName(outcome result);

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_CALL_HEADER_H_
