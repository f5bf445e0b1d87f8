#ifndef PIMENTOHALL_NET_SYNTAX_CHECK_H_
#define PIMENTOHALL_NET_SYNTAX_CHECK_H_

// Checks the lines of HTTP/1.1 messages against the grammar of RFC 9112.
//
// http-parser and evhttp accept more than the grammar, for example a status of
// any number of digits, blanks in and around field names, folded lines, a CR
// without an LF, and any two bytes behind a chunk. Such a message may mean
// something else to the next parser, or hide that its sender failed.
//
//   syntax_check check(syntax_check::first_line::kStatus);
//   check.BeginHead();
//   const std::optional<std::size_t> valid = check.Check(bytes);
//   // Not set: malformed. Otherwise parse `*valid` bytes, and then:
//   check.BeginBody(is_chunked);

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pimentohall::net {

class syntax_check {
 public:
  // Request lines are left to http-parser.
  enum class first_line { kRequest, kStatus };
  explicit syntax_check(first_line kind) : kind_(kind) { BeginHead(); }

  // The next byte is the first one of a message.
  void BeginHead();
  // The next byte follows the head. Bodies without chunks aren't checked.
  void BeginBody(bool is_chunked);
  // Returns how many bytes are valid: all, or those up to the end of the head
  // or of the chunked body. Null: malformed. Bytes aren't passed in again.
  std::optional<std::size_t> Check(std::string_view bytes);
  // Whether the last checked byte ended the head or the chunked body.
  bool HasSectionEnded() const { return section_ended_; }

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
  const char* AtChunkSize(const char* at, const char* end);
  const char* InChunkSize(const char* at, const char* end);
  const char* BehindChunkSize(const char* at, const char* end);
  const char* InChunkExtension(const char* at, const char* end);
  const char* AtChunkSizeLineFeed(const char* at, const char* end);
  const char* InChunk(const char* at, const char* end);
  const char* AtChunkEnd(const char* at, const char* end);
  const char* AtChunkEndLineFeed(const char* at, const char* end);
  const char* InUncheckedBody(const char* at, const char* end);
  const char* EndLine(const char* at);

  first_line kind_;
  state state_ = nullptr;
  bool section_ended_ = false;  // The head or the chunked body.
  std::size_t line_bytes_ = 0;  // Of a status line, as far as it is fixed.
  std::uint64_t chunk_left_ = 0;
};

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_SYNTAX_CHECK_H_
