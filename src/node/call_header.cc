#include "node/call_header.h"

#include <event2/util.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace pimentohall::node {
namespace {

using nlohmann::json;

constexpr int kNestedFlag = 1;
constexpr int kIdempotentFlag = 2;
constexpr int kRepeatFlag = 4;
constexpr int kOutcomes = 4;
constexpr double kSlownessSteps = 100;
constexpr int kReasons = static_cast<int>(core::reason::kPeerLost) + 1;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

call_header ReadCall(const json& from) {
  call_header call;
  call.attempt = from.at(0).get<std::string>();
  call.upstream = from.at(1).get<std::string>();
  call.route = from.at(2).get<std::string>();
  call.tenant = from.at(3).get<std::string>();
  call.caller_service = from.at(4).get<std::string>();
  call.rank = from.at(5).get<int>();
  const int flags = from.at(6).get<int>();
  call.nested = (flags & kNestedFlag) != 0;
  call.idempotent = (flags & kIdempotentFlag) != 0;
  call.repeat = (flags & kRepeatFlag) != 0;
  call.budget_ms = from.at(7).get<duration_ms>();
  call.aim_ms = from.at(8).get<duration_ms>();
  call.typical_ms = from.at(9).get<duration_ms>();
  return call;
}

outcome_header ReadOutcome(const json& from) {
  outcome_header read;
  const int what = from.at(0).get<int>();
  const int why = from.at(1).get<int>();
  if (what < 0 || what >= kOutcomes || why < 0 || why >= kReasons) {
    throw json::other_error::create(501, "value out of range", &from);
  }
  read.what = static_cast<outcome>(what);
  read.why = static_cast<core::reason>(why);
  read.retry_after_ms = from.at(2).get<duration_ms>();
  read.took_ms = from.at(3).get<duration_ms>();
  read.waited_ms = from.at(4).get<duration_ms>();
  const json& load = from.at(5);
  read.load.upstream = load.at(0).get<std::string>();
  read.load.running = load.at(1).get<int>();
  read.load.queued = load.at(2).get<int>();
  read.load.slots = load.at(3).get<int>();
  read.load.backlog_ms = load.at(4).get<double>();
  read.load.slowness = load.at(5).get<double>() / kSlownessSteps;
  return read;
}

template <typename result>
tl::expected<result, std::string> Parse(std::string_view text,
                                        result (*read)(const json&)) {
  try {
    return read(json::parse(text));
  } catch (const json::exception& problem) {
    return tl::unexpected(std::string(problem.what()));
  }
}

}  // namespace

void DropFleetHeaders(net::header_list* headers) {
  const auto is_ours = [](const net::header& each) {
    for (const char* name : {kCallHeader, kOutcomeHeader}) {
      if (evutil_ascii_strcasecmp(each.first.c_str(), name) == 0) return true;
    }
    return false;
  };
  headers->erase(std::remove_if(headers->begin(), headers->end(), is_ours),
                 headers->end());
}

std::string EncodeCall(const call_header& call) {
  const int flags = (call.nested ? kNestedFlag : 0) |
                    (call.idempotent ? kIdempotentFlag : 0) |
                    (call.repeat ? kRepeatFlag : 0);
  return Dump(json::array({call.attempt, call.upstream, call.route, call.tenant,
                           call.caller_service, call.rank, flags,
                           call.budget_ms, call.aim_ms, call.typical_ms}));
}

tl::expected<call_header, std::string> DecodeCall(std::string_view text) {
  return Parse<call_header>(text, &ReadCall);
}

std::string EncodeOutcome(const outcome_header& outcome) {
  const mesh::load_news& load = outcome.load;
  return Dump(json::array(
      {static_cast<int>(outcome.what), static_cast<int>(outcome.why),
       outcome.retry_after_ms, outcome.took_ms, outcome.waited_ms,
       json::array({load.upstream, load.running, load.queued, load.slots,
                    std::llround(load.backlog_ms),
                    std::llround(load.slowness * kSlownessSteps)})}));
}

tl::expected<outcome_header, std::string> DecodeOutcome(std::string_view text) {
  return Parse<outcome_header>(text, &ReadOutcome);
}

const char* OutcomeName(outcome what) {
  static constexpr const char* kNames[] = {"answered", "shed", "not_run",
                                           "may_have_run"};
  return kNames[static_cast<int>(what)];
}

}  // namespace pimentohall::node
