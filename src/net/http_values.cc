#include <event2/util.h>

#include <nlohmann/json.hpp>

#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         evutil_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const char* ErrorName(int status) {
  switch (status) {
    case 401:
      return "unauthorized";
    case 403:
      return "forbidden";
    case 404:
      return "not_found";
    case 409:
      return "conflict";
    case 413:
      return "body_too_large";
    case 429:
      return "too_many_requests";
    case 502:
      return "bad_gateway";
    case 503:
      return "unavailable";
    case 504:
      return "deadline_exceeded";
    default:
      return "refused";
  }
}

}  // namespace

shared_bytes ShareBytes(std::string bytes) {
  return std::make_shared<const std::string>(std::move(bytes));
}

bool IsHopByHop(std::string_view name) {
  static constexpr std::string_view kHopByHopHeaders[] = {
      "Connection", "Keep-Alive",          "Proxy-Authenticate",
      "TE",         "Proxy-Authorization", "Proxy-Connection",
      "Trailer",    "Transfer-Encoding",   "Upgrade"};
  for (const std::string_view known : kHopByHopHeaders) {
    if (EqualsIgnoringCase(name, known)) return true;
  }
  return false;
}

std::string_view FindHeader(const header_list& headers, std::string_view name) {
  for (const header& entry : headers) {
    if (EqualsIgnoringCase(entry.first, name)) return entry.second;
  }
  return {};
}

http_answer RefusalAnswer(const core::answer_call& action) {
  const bool not_run = action.outcome == core::outcome_kind::kNotRun;
  const nlohmann::ordered_json body = {{"error", ErrorName(action.http_status)},
                                       {"reason", core::ReasonName(action.why)},
                                       {"not_run", not_run}};
  http_answer answer;
  answer.status = action.http_status;
  answer.headers.emplace_back("Content-Type", "application/json");
  answer.headers.emplace_back("X-Pimentohall-Not-Run",
                              not_run ? "true" : "false");
  if (action.retry_after_ms) {
    // Retry-After counts whole seconds; rounding down would make the caller
    // retry too early and be refused again.
    answer.headers.emplace_back(
        "Retry-After", std::to_string((*action.retry_after_ms + 999) / 1000));
  }
  answer.body = ShareBytes(body.dump());
  return answer;
}

}  // namespace pimentohall::net
