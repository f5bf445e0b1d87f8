#ifndef PIMENTOHALL_CONFIG_SYNTAX_H_
#define PIMENTOHALL_CONFIG_SYNTAX_H_

#include <string>
#include <string_view>

namespace pimentohall::config {

// The rule that a text field must satisfy.
struct text_rule {
  const char* text_kind;  // Kind of text, which completes "bad ..." in a fault.
  bool (*accepts)(std::string_view text);
  const char* fix;  // Describes valid texts; completes "use ..." in a fault.
  // True if faults must not quote the text. Otherwise a key that was
  // written where its digest belongs would reach the logs of every daemon.
  bool secret = false;
};

// 1 to 128 bytes of ASCII letters, digits, "-", "_" and ".", starting with a
// letter or digit. Such names are safe as file names and in paths and logs.
extern const text_rule kNameRule;
// A name, or "*" for every route.
extern const text_rule kRouteOrAllRule;
// "zones", "services/NAME" or "organisations/NAME".
extern const text_rule kPartNameRule;
// 64 lower-case hexadecimal digits.
extern const text_rule kDigestRule;
// An IPv4 or IPv6 number other than the unspecified address. Host names are
// refused, because the mesh has no name service.
extern const text_rule kAddressRule;
// An absolute path without query, escapes, empty or dot segments, and without
// a slash at its end unless it is "/".
extern const text_rule kPathPrefixRule;
// A path as sent in a request, with an optional query.
extern const text_rule kRequestPathRule;
// An HTTP method that callers may use.
extern const text_rule kMethodRule;

// True if the path has a segment that an upstream could resolve as "." or
// "..", also when dots or slashes are percent-encoded or a slash is written as
// a backslash.
bool HasDotSegment(std::string_view path);

// Returns the canonical spelling of an address that `kAddressRule` accepts. An
// IPv6 number has several spellings, and an IPv4 number can be written as an
// IPv6 one.
std::string CanonicalAddress(const std::string& address);

// True for 127.0.0.0/8 and ::1, in their canonical spelling.
bool IsLoopback(std::string_view address);

}  // namespace pimentohall::config

#endif  // PIMENTOHALL_CONFIG_SYNTAX_H_
