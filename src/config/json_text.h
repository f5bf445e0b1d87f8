#ifndef PIMENTOHALL_CONFIG_JSON_TEXT_H_
#define PIMENTOHALL_CONFIG_JSON_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace pimentohall::config {

// The deepest document of the format has 4 levels. The limit bounds the
// recursion of everything that walks a tree, including its destructor.
inline constexpr std::size_t kMaxDepth = 16;

// Bounds the memory of one tree to about 8 MB. An organisation part of the
// maximum size that holds only keys has about 33,000 values.
inline constexpr std::size_t kMaxValues = 65536;

enum class json_kind {
  kNull,
  kBoolean,
  kInteger,  // Fits in std::int64_t.
  kNumber,   // Any other number.
  kString,
  kArray,
  kObject,
};

// Name of a kind for messages, for example "an object".
const char* KindName(json_kind kind);

// A JSON value with the line it starts on. nlohmann::json keeps no lines and
// drops all but the last of repeated fields, so documents are read into this.
struct json_value {
  json_kind kind = json_kind::kNull;
  int line = 0;  // 1-based.
  bool boolean = false;
  std::int64_t integer = 0;
  double number = 0;  // Also set for kInteger.
  std::string key;    // The field's name, for a member of an object.
  std::string text;
  std::vector<json_value> children;  // Elements, or members in text order.
};

struct json_error {
  int line = 0;
  std::string problem;
};

// Parses JSON with comments. Never throws.
tl::expected<json_value, json_error> ParseJsonText(std::string_view text);

// The value at a JSON pointer, or null.
const json_value* FindValue(const json_value& root, std::string_view pointer);

// `pointer` extended by one field name, escaped as RFC 6901 requires.
std::string AppendToPointer(const std::string& pointer, std::string_view field);

// Untrusted text made safe for a message: at most its first 64 bytes, then
// "..." if there are more, and "?" in place of bytes that are not printable
// ASCII.
std::string Printable(std::string_view text);

}  // namespace pimentohall::config

#endif  // PIMENTOHALL_CONFIG_JSON_TEXT_H_
