#ifndef PIMENTOHALL_NET_REQUEST_CHECK_H_
#define PIMENTOHALL_NET_REQUEST_CHECK_H_

// Checks of requests and answers that evhttp (libevent 2.1.12) doesn't make.
//
// evhttp takes the first of several Content-Length headers, prefers
// Transfer-Encoding over Content-Length, treats an unknown transfer coding as
// "no body", accepts a sign in a length, header names with spaces and bare CR
// in values, and parses the body of a GET as the next request. Each of these
// lets two HTTP parsers disagree on where a message ends.

#include <string>

#include "pimentohall/net.h"

namespace pimentohall::net {

struct request_head {
  std::string method;
  std::string target;  // The path with the query.
  int minor_version = 1;
  header_list headers;
};

// Why the request is refused with status 400, or null.
const char* FindRequestProblem(const request_head& head);

// Why the answer is no valid final answer, or null.
const char* FindAnswerProblem(int status, const header_list& headers);

// Why the length of a body is ambiguous or unknown, or null.
const char* FindLengthProblem(const header_list& headers);

// The parsed X-Pimentohall-* headers of a request.
struct call_options {
  std::optional<std::int64_t> deadline_ms;
  std::optional<config::route_class> traffic_class;
  bool retry = false;
  int depth = 0;
};
tl::expected<call_options, const char*> ParseCallOptions(
    const header_list& headers);

// Returns the headers to forward to the upstream: no credentials, no
// X-Pimentohall-*, no hop-by-hop headers or headers that Connection names, no
// length.
header_list ForwardedHeaders(const header_list& headers);

// Returns the headers to send to the caller. Those with the X-Pimentohall-
// prefix are removed: the caller must be able to rely on it that the proxy,
// not the upstream, says whether a call ran.
header_list AnswerHeaders(const header_list& headers);

// Parses a decimal number without sign, of at most 18 digits.
std::optional<std::int64_t> ParseDigits(std::string_view text);

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_REQUEST_CHECK_H_
