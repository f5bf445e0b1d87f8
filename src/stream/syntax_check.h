#ifndef PIMENTOHALL_STREAM_SYNTAX_CHECK_H_
#define PIMENTOHALL_STREAM_SYNTAX_CHECK_H_

// Checks the heads of HTTP/1.1 messages against the grammar of RFC 9112.
//
// http-parser accepts more than the grammar: a status of any number of digits,
// blanks in and around field names, folded lines, and a CR without an LF. Such
// a message may mean something else to the next parser, or hide that its sender
// failed.
//
//   syntax_check check(syntax_check::first_line::kStatus);
//   check.BeginHead();
//   const std::optional<std::size_t> valid = check.Check(bytes);
//   // Not set: malformed. Otherwise parse `*valid` bytes, and then:
//   check.BeginBody();

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pimentohall::stream {

class syntax_check {
 public:
  // Request lines are left to http-parser.
  enum class first_line { kRequest, kStatus };
  explicit syntax_check(first_line kind) : kind_(kind) { BeginHead(); }

  // The next byte is the first one of a message.
  void BeginHead();
  // The next byte follows the head. Bodies aren't checked.
  void BeginBody();
  // Returns how many bytes are valid: all, or those up to the end of the head.
  // Null: malformed. Bytes aren't passed in again.
  std::optional<std::size_t> Check(std::string_view bytes);

 private:
  // A state reads the bytes that belong to it, sets the next state, and returns
  // the first byte that it didn't read; null: malformed.
  using state = const char* (syntax_check::*)(const char* at, const char* end);

  const char* BeforeFirstLine(const char* at, const char* end);
  const char* InStatusLine(const char* at, const char* end);
  const char* InLine(const char* at, const char* end);
  const char* AtFieldStart(const char* at, const char* end);
  const char* InFieldName(const char* at, const char* end);
  const char* AtLineFeed(const char* at, const char* end);
  const char* AtLastLineFeed(const char* at, const char* end);
  const char* InUncheckedBody(const char* at, const char* end);
  const char* EndLine(const char* at);

  const first_line kind_;
  state state_ = nullptr;
  bool section_ended_ = false;
  std::size_t line_bytes_ = 0;  // Of a status line, as far as it is fixed.
};

}  // namespace pimentohall::stream

#endif  // PIMENTOHALL_STREAM_SYNTAX_CHECK_H_
