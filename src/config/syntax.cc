#include "config/syntax.h"

#include <arpa/inet.h>

#include <algorithm>
#include <string>

#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

constexpr std::size_t kMaxPathBytes = 1024;
constexpr std::size_t kDigestHexDigits = 64;

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool IsNameCharacter(char c) {
  return IsAlphanumeric(c) || c == '-' || c == '_' || c == '.';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         IsAlphanumeric(text[0]) &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsRouteOrAll(std::string_view text) { return text == "*" || IsName(text); }

bool IsPartName(std::string_view text) {
  if (text == "zones") return true;
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) return false;
  const std::string_view folder = text.substr(0, slash);
  return (folder == "services" || folder == "organisations") &&
         IsName(text.substr(slash + 1));
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestHexDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

bool IsAddress(std::string_view text) {
  const std::string address(text);
  if (address.size() != std::string(address.c_str()).size()) return false;
  in_addr v4{};
  if (inet_pton(AF_INET, address.c_str(), &v4) == 1) return v4.s_addr != 0;
  in6_addr v6{};
  if (inet_pton(AF_INET6, address.c_str(), &v6) != 1) return false;
  return !IN6_IS_ADDR_UNSPECIFIED(&v6);
}

// A character of a path segment (RFC 3986), without "%".
bool IsSegmentCharacter(char c) {
  return IsAlphanumeric(c) || std::string_view("-._~!$&'()*+,;=:@").find(c) !=
                                  std::string_view::npos;
}

bool IsPathPrefix(std::string_view text) {
  if (text == "/") return true;
  if (text.empty() || text.size() > kMaxPathBytes || text[0] != '/') {
    return false;
  }
  if (text.back() == '/' || text.find("//") != std::string_view::npos) {
    return false;
  }
  return !HasDotSegment(text) &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c == '/' || IsSegmentCharacter(c); });
}

bool IsRequestPath(std::string_view text) {
  return !text.empty() && text.size() <= kMaxPathBytes && text[0] == '/' &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return c == '/' || c == '?' || c == '%' || IsSegmentCharacter(c);
         });
}

bool IsMethod(std::string_view text) {
  static constexpr std::string_view kMethods[] = {
      "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};
  return std::find(std::begin(kMethods), std::end(kMethods), text) !=
         std::end(kMethods);
}

// Removes the first character from `path` and returns it. "%2e" is read as ".",
// "%2f" and a backslash as "/". Other escapes are not decoded.
char TakeDecoded(std::string_view* path) {
  const char first = path->front();
  if (first == '%' && path->size() >= 3 && (*path)[1] == '2') {
    const char low = (*path)[2];
    const bool dot = low == 'e' || low == 'E';
    const bool slash = low == 'f' || low == 'F';
    if (dot || slash) {
      path->remove_prefix(3);
      return dot ? '.' : '/';
    }
  }
  path->remove_prefix(1);
  return first == '\\' ? '/' : first;
}

}  // namespace

const text_rule kNameRule = {
    "name", IsName,
    "1 to 128 letters, digits, '-', '_' or '.', starting with a letter or "
    "digit"};
const text_rule kRouteOrAllRule = {"route name", IsRouteOrAll,
                                   "the name of a route, or \"*\" for all"};
const text_rule kPartNameRule = {
    "part name", IsPartName,
    "\"zones\", \"services/NAME\" or \"organisations/NAME\""};
const text_rule kDigestRule = {
    "SHA-256 digest", IsDigest,
    "the 64 lower-case hexadecimal digits that sha256sum prints",
    /*secret=*/true};
const text_rule kAddressRule = {
    "address", IsAddress,
    "an IPv4 or IPv6 number, for example 10.0.3.7; host names are not "
    "resolved"};
const text_rule kPathPrefixRule = {
    "path prefix", IsPathPrefix,
    "an absolute path such as /ledger/balance, without query, '%', empty or "
    "dot segments or a slash at the end"};
const text_rule kRequestPathRule = {
    "path", IsRequestPath,
    "an absolute path such as /health of at most 1024 bytes"};
const text_rule kMethodRule = {
    "method", IsMethod,
    "GET, HEAD, POST, PUT, DELETE, PATCH or OPTIONS, in upper case"};

bool HasDotSegment(std::string_view path) {
  std::size_t dots = 0;
  std::size_t others = 0;
  while (!path.empty()) {
    const char c = TakeDecoded(&path);
    if (c == '/') {
      if (others == 0 && (dots == 1 || dots == 2)) return true;
      dots = 0;
      others = 0;
    } else if (c == '.') {
      ++dots;
    } else {
      ++others;
    }
  }
  return others == 0 && (dots == 1 || dots == 2);
}

std::string CanonicalAddress(const std::string& address) {
  in6_addr v6{};
  if (inet_pton(AF_INET6, address.c_str(), &v6) != 1) return address;
  char text[INET6_ADDRSTRLEN] = {};
  const bool mapped = IN6_IS_ADDR_V4MAPPED(&v6);
  if (mapped) {
    inet_ntop(AF_INET, &v6.s6_addr[12], text, sizeof(text));
  } else {
    inet_ntop(AF_INET6, &v6, text, sizeof(text));
  }
  return text;
}

bool IsLoopback(std::string_view address) {
  return address.substr(0, 4) == "127." || address == "::1";
}

}  // namespace pimentohall::config
