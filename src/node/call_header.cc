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
constexpr int kOutcomeCount = 4;
constexpr double kSlownessSteps = 100;
constexpr double kNeedSteps = 100;  // Of shares and calls per run.
constexpr int kReasonCount = static_cast<int>(core::reason::kPeerLost) + 1;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

call_header ReadCall(const json& encoded) {
  call_header call;
  call.attempt = encoded.at(0).get<std::string>();
  call.upstream = encoded.at(1).get<std::string>();
  call.route = encoded.at(2).get<std::string>();
  call.tenant = encoded.at(3).get<std::string>();
  call.caller_service = encoded.at(4).get<std::string>();
  call.rank = encoded.at(5).get<int>();
  const int flags = encoded.at(6).get<int>();
  call.nested = (flags & kNestedFlag) != 0;
  call.idempotent = (flags & kIdempotentFlag) != 0;
  call.repeat = (flags & kRepeatFlag) != 0;
  call.budget_ms = encoded.at(7).get<duration_ms>();
  call.aim_ms = encoded.at(8).get<duration_ms>();
  call.typical_ms = encoded.at(9).get<duration_ms>();
  return call;
}

json WriteNeeds(const std::vector<sched::callee_need>& needs) {
  json fields = json::array();
  for (const sched::callee_need& each : needs) {
    fields.push_back(
        json::array({each.service, std::llround(each.calls * kNeedSteps),
                     ToWholeMs(each.time), ToWholeMs(each.budget),
                     std::llround(each.in_time * kNeedSteps)}));
  }
  return fields;
}

// Needs are optional: unreadable ones don't make the outcome unreadable.
std::optional<std::vector<sched::callee_need>> ReadNeeds(const json& fields) {
  if (!fields.is_array() || fields.size() > sched::call_tree::kMaxNeeds) {
    return std::nullopt;
  }
  std::vector<sched::callee_need> needs;
  for (const json& each : fields) {
    constexpr std::size_t kFields = 5;
    if (!each.is_array() || each.size() < kFields || !each[0].is_string() ||
        !std::all_of(each.begin() + 1, each.begin() + kFields,
                     [](const json& field) { return field.is_number(); })) {
      return std::nullopt;
    }
    const auto time = [&each](std::size_t i) {
      static constexpr double kMaxMs = 1'000'000;  // Fits `core::duration`.
      return std::chrono::milliseconds(static_cast<duration_ms>(
          std::clamp(each[i].get<double>(), -kMaxMs, kMaxMs)));
    };
    needs.push_back({each[0].get<std::string>(),
                     each[1].get<double>() / kNeedSteps, time(2), time(3),
                     each[4].get<double>() / kNeedSteps});
  }
  return needs;
}

outcome_header ReadOutcome(const json& encoded) {
  outcome_header read;
  const int result = encoded.at(0).get<int>();
  const int reason = encoded.at(1).get<int>();
  if (result < 0 || result >= kOutcomeCount || reason < 0 ||
      reason >= kReasonCount) {
    throw json::other_error::create(501, "value out of range", &encoded);
  }
  read.result = static_cast<outcome>(result);
  read.reason = static_cast<core::reason>(reason);
  read.retry_after_ms = encoded.at(2).get<duration_ms>();
  read.took_ms = encoded.at(3).get<duration_ms>();
  read.waited_ms = encoded.at(4).get<duration_ms>();
  const json& load = encoded.at(5);
  read.load.upstream = load.at(0).get<std::string>();
  read.load.running = load.at(1).get<int>();
  read.load.queued = load.at(2).get<int>();
  read.load.slots = load.at(3).get<int>();
  read.load.backlog_ms = load.at(4).get<double>();
  read.load.slowness = load.at(5).get<double>() / kSlownessSteps;
  // Daemons of earlier versions don't send these.
  constexpr std::size_t kLoadFields = 8;
  if (load.size() >= kLoadFields) {
    read.load.pace = load.at(6).get<double>() / kSlownessSteps;
    read.load.rank_limit = load.at(7).get<int>();
  }
  constexpr std::size_t kNeedsField = 6;
  if (encoded.size() > kNeedsField) {
    read.needs = ReadNeeds(encoded[kNeedsField]);
  }
  return read;
}

template <typename header>
tl::expected<header, std::string> Parse(std::string_view text,
                                        header (*read)(const json&)) {
  try {
    return read(json::parse(text));
  } catch (const json::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

}  // namespace

void DropFleetHeaders(net::header_list* headers) {
  const auto is_fleet_header = [](const net::header& header) {
    for (const char* name : {kCallHeader, kOutcomeHeader}) {
      if (evutil_ascii_strcasecmp(header.first.c_str(), name) == 0) return true;
    }
    return false;
  };
  headers->erase(
      std::remove_if(headers->begin(), headers->end(), is_fleet_header),
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
  json fields = json::array(
      {static_cast<int>(outcome.result), static_cast<int>(outcome.reason),
       outcome.retry_after_ms, outcome.took_ms, outcome.waited_ms,
       json::array({load.upstream, load.running, load.queued, load.slots,
                    std::llround(load.backlog_ms),
                    std::llround(load.slowness * kSlownessSteps),
                    std::llround(load.pace * kSlownessSteps),
                    load.rank_limit})});
  if (outcome.needs) fields.push_back(WriteNeeds(*outcome.needs));
  return Dump(fields);
}

tl::expected<outcome_header, std::string> DecodeOutcome(std::string_view text) {
  return Parse<outcome_header>(text, &ReadOutcome);
}

const char* OutcomeName(outcome result) {
  static constexpr const char* kNames[] = {"answered", "shed", "not_run",
                                           "may_have_run"};
  return kNames[static_cast<int>(result)];
}

}  // namespace pimentohall::node
