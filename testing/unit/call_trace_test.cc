// Follows one call through the logs of two VMs.

#include "cli/call_trace.h"

#include <doctest/doctest.h>

#include <sstream>

namespace pimentohall::cli {
namespace {

constexpr char kIngressLog[] =
    R"({"time":"2026-01-14T23:30:10.000000Z","level":"info","message":"peer heard","fields":{"peer":"10.0.0.2"}}
{"time":"2026-01-14T23:30:17.500000Z","level":"warning","message":"peer lost","fields":{"peer":"10.0.0.3"}}
{"time":"2026-01-14T23:30:18.100000Z","level":"info","message":"call ended","fields":{"request":"ab1","status":"502","from":"daemon","reason":"connection_lost","sent":"1"}}
{"time":"2026-01-14T23:30:18.200000Z","level":"info","message":"call ended","fields":{"request":"ab12","status":"200","from":"upstream","reason":"none","sent":"1"}}
not a log line
)";
constexpr char kEgressLog[] =
    R"({"time":"2026-01-14T23:30:18.090000Z","level":"info","message":"attempt ended","fields":{"request":"ab1","attempt":"7-1","outcome":"may_have_run","reason":"connection_lost"}}
{"time":"2026-01-14T23:30:18.050000Z","level":"info","message":"call ended","fields":{"request":"ab1.77","status":"200","from":"upstream","reason":"none","sent":"1"}}
{"time":"2026-01-14T23:30:18.095000Z","level":"warning","message":"upstream unreachable","fields":{"upstream":"i-1"}}
{"time":"2026-01-14T23:30:30.000000Z","level":"info","message":"upstream reachable","fields":{"upstream":"i-1"}}
)";

call_trace TraceOf(const std::string& request, double around_s) {
  trace_builder builder(request, around_s);
  std::istringstream ingress(kIngressLog);
  std::istringstream egress(kEgressLog);
  builder.Read("a", ingress);
  builder.Read("b", egress);
  return builder.Build();
}

std::vector<std::string> MessagesOf(const call_trace& trace) {
  std::vector<std::string> messages;
  for (const trace_line& line : trace.lines) {
    messages.push_back(line.source + " " + line.message);
  }
  return messages;
}

TEST_CASE("a trace merges a call's lines by time with the lines around them") {
  const call_trace trace = TraceOf("ab1", 2);
  CHECK(MessagesOf(trace) ==
        std::vector<std::string>{"a peer lost", "b call ended",
                                 "b attempt ended", "b upstream unreachable",
                                 "a call ended"});
  REQUIRE(trace.End() != nullptr);
  CHECK(trace.End()->source == "a");
  CHECK(trace.unreadable == 1);
  CHECK(trace.Verdict() ==
        "status 502 from daemon on a, reason connection_lost; 1 attempts ran "
        "or may have run, 0 didn't, 1 reached an upstream");
}

TEST_CASE("a window of 0 keeps none but the call's own lines") {
  CHECK(MessagesOf(TraceOf("ab1", 0)) ==
        std::vector<std::string>{"b call ended", "b attempt ended",
                                 "a call ended"});
}

TEST_CASE(
    "a trace of an id that no log has is empty, with no end and no verdict") {
  const call_trace trace = TraceOf("ab", 2);
  CHECK(trace.lines.empty());
  CHECK(trace.End() == nullptr);
  CHECK(trace.Verdict().empty());
}

}  // namespace
}  // namespace pimentohall::cli
