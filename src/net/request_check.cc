#include "net/request_check.h"

#include <event2/util.h>

#include <algorithm>
#include <charconv>

#include "config/syntax.h"

namespace pimentohall::net {
namespace {

constexpr std::string_view kOurHeaderPrefix = "X-Pimentohall-";
// Calls are up to 24 deep by design; the engine refuses those above 32.
constexpr int kMaxDepth = 64;

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         evutil_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool IsTokenCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
  });
}

int CountHeader(const header_list& headers, std::string_view name) {
  return static_cast<int>(std::count_if(
      headers.begin(), headers.end(),
      [name](const header& h) { return EqualsIgnoringCase(h.first, name); }));
}

const char* FindHeaderProblem(const header_list& headers) {
  for (const auto& [name, value] : headers) {
    if (!IsToken(name)) return "bad header name";
    if (!IsFieldValue(value)) return "bad header value";
  }
  return nullptr;
}

bool MethodAllowsBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

bool HasBody(const header_list& headers) {
  if (CountHeader(headers, "Transfer-Encoding") != 0) return true;
  const std::string_view length = FindHeader(headers, "Content-Length");
  return !length.empty() && length.find_first_not_of('0') != std::string::npos;
}

bool HasOurPrefix(std::string_view name) {
  return name.size() >= kOurHeaderPrefix.size() &&
         EqualsIgnoringCase(name.substr(0, kOurHeaderPrefix.size()),
                            kOurHeaderPrefix);
}

std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

// True if the comma-separated list `value` contains `name`.
bool ListContains(std::string_view value, std::string_view name) {
  while (!value.empty()) {
    const std::size_t comma = std::min(value.find(','), value.size());
    const std::string_view item = value.substr(0, comma);
    value.remove_prefix(std::min(comma + 1, value.size()));
    if (EqualsIgnoringCase(TrimBlanks(item), name)) return true;
  }
  return false;
}

}  // namespace

std::optional<std::int64_t> ParseDigits(std::string_view text) {
  constexpr std::size_t kMaxDigits = 18;  // Fits in 63 bits.
  if (text.empty() || text.size() > kMaxDigits) return std::nullopt;
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() ||
      text.front() == '-') {
    return std::nullopt;
  }
  return number;
}

const char* FindLengthProblem(const header_list& headers) {
  const int lengths = CountHeader(headers, "Content-Length");
  const int codings = CountHeader(headers, "Transfer-Encoding");
  if (lengths > 1) return "several Content-Length headers";
  if (lengths + codings > 1) return "Content-Length with Transfer-Encoding";
  if (codings == 1 &&
      !EqualsIgnoringCase(TrimBlanks(FindHeader(headers, "Transfer-Encoding")),
                          "chunked")) {
    return "unknown Transfer-Encoding";
  }
  if (lengths == 1 &&
      !ParseDigits(TrimBlanks(FindHeader(headers, "Content-Length")))) {
    return "bad Content-Length";
  }
  return nullptr;
}

const char* FindRequestProblem(const request_head& head) {
  if (head.target.empty() || head.target.front() != '/') {
    return "the request target must be a path";
  }
  const bool visible =
      std::all_of(head.target.begin(), head.target.end(),
                  [](char c) { return c > 0x20 && c < 0x7f && c != '#'; });
  if (!visible) return "bad character in the path";
  // An upstream may resolve "..", which would lead out of the route that the
  // contract allows.
  const std::string_view target = head.target;
  const std::string_view path = target.substr(0, target.find('?'));
  if (config::HasDotSegment(path)) return "dot segment in the path";
  if (const char* problem = FindHeaderProblem(head.headers)) return problem;
  if (const char* problem = FindLengthProblem(head.headers)) return problem;
  const int hosts = CountHeader(head.headers, "Host");
  if (hosts > 1 || (hosts == 0 && head.minor_version >= 1)) {
    return "exactly one Host header is needed";
  }
  for (const char* unrepeatable : {"Authorization", "Idempotency-Key"}) {
    if (CountHeader(head.headers, unrepeatable) > 1) return "repeated header";
  }
  if (!MethodAllowsBody(head.method) && HasBody(head.headers)) {
    return "the method has no body";
  }
  return nullptr;
}

const char* FindAnswerProblem(int status, const header_list& headers) {
  // evhttp treats an interim answer other than 100 as the final one and leaves
  // the final one in the buffer, where it would be read as the next call's.
  if (status < 200) return "interim answer";
  if (const char* problem = FindHeaderProblem(headers)) return problem;
  return FindLengthProblem(headers);
}

tl::expected<call_options, const char*> ParseCallOptions(
    const header_list& headers) {
  call_options options;
  const std::string_view deadline =
      FindHeader(headers, "X-Pimentohall-Deadline-Ms");
  if (!deadline.empty()) {
    options.deadline_ms = ParseDigits(deadline);
    if (!options.deadline_ms) return tl::make_unexpected("bad deadline");
  }
  const std::string_view name = FindHeader(headers, "X-Pimentohall-Class");
  if (name == "interactive") {
    options.traffic_class = config::route_class::kInteractive;
  } else if (name == "overnight") {
    options.traffic_class = config::route_class::kOvernight;
  } else if (!name.empty()) {
    return tl::make_unexpected("bad class");
  }
  const std::string_view depth = FindHeader(headers, "X-Pimentohall-Depth");
  if (!depth.empty()) {
    const auto number = ParseDigits(depth);
    if (!number || *number > kMaxDepth) return tl::make_unexpected("bad depth");
    options.depth = static_cast<int>(*number);
  }
  const std::string_view retry = FindHeader(headers, "X-Pimentohall-Retry");
  if (!retry.empty() && retry != "true" && retry != "false") {
    return tl::make_unexpected("bad retry mark");
  }
  options.retry = retry == "true";
  return options;
}

header_list ForwardedHeaders(const header_list& headers) {
  header_list kept;
  const std::string_view connection = FindHeader(headers, "Connection");
  for (const header& entry : headers) {
    if (IsHopByHop(entry.first) || HasOurPrefix(entry.first)) continue;
    if (EqualsIgnoringCase(entry.first, "Authorization")) continue;
    if (EqualsIgnoringCase(entry.first, "Content-Length")) continue;
    if (EqualsIgnoringCase(entry.first, "Expect")) continue;
    if (ListContains(connection, entry.first)) continue;
    kept.push_back(entry);
  }
  return kept;
}

header_list AnswerHeaders(const header_list& headers) {
  header_list kept;
  const std::string_view connection = FindHeader(headers, "Connection");
  for (const header& entry : headers) {
    if (IsHopByHop(entry.first) || HasOurPrefix(entry.first)) continue;
    if (ListContains(connection, entry.first)) continue;
    kept.push_back(entry);
  }
  return kept;
}

}  // namespace pimentohall::net
