#include "net/syntax_check.h"

#include <algorithm>
#include <array>
#include <limits>

namespace pimentohall::net {
namespace {

// Start of a status line: 'N' stands for a digit, and 'C' for one of a status's
// class (RFC 9110, section 15: 100 to 599).
constexpr std::string_view kStatusLine = "HTTP/1.N CNN";

enum byte_kind : std::uint8_t { kOther, kText, kToken };

constexpr bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Token bytes may stand in names, text bytes also in values, reasons and chunk
// extensions.
constexpr std::array<byte_kind, 256> ByteKinds() {
  std::array<byte_kind, 256> kinds{};
  for (std::size_t i = 0x20; i < kinds.size(); ++i) kinds[i] = kText;
  kinds['\t'] = kText;
  kinds[0x7f] = kOther;
  for (std::size_t i = 'a'; i <= 'z'; ++i) kinds[i] = kToken;
  for (std::size_t i = 'A'; i <= 'Z'; ++i) kinds[i] = kToken;
  for (std::size_t i = '0'; i <= '9'; ++i) kinds[i] = kToken;
  for (const char c : std::string_view("!#$%&'*+-.^_`|~")) {
    kinds[static_cast<unsigned char>(c)] = kToken;
  }
  return kinds;
}
constexpr std::array<byte_kind, 256> kByteKinds = ByteKinds();

byte_kind KindOf(char c) { return kByteKinds[static_cast<unsigned char>(c)]; }

const char* SkipText(const char* at, const char* end) {
  while (at != end && KindOf(*at) != kOther) ++at;
  return at;
}

bool MatchesStatusLine(std::size_t position, char c) {
  switch (kStatusLine[position]) {
    case 'N':
      return IsDigit(c);
    case 'C':
      return c >= '1' && c <= '5';
    default:
      return c == kStatusLine[position];
  }
}

// Returns -1 if the byte is no hexadecimal digit.
int HexDigit(char c) {
  if (IsDigit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

void syntax_check::BeginHead() {
  state_ = &syntax_check::BeforeFirstLine;
  section_ended_ = false;
  line_bytes_ = 0;
}

void syntax_check::BeginBody(bool is_chunked) {
  state_ =
      is_chunked ? &syntax_check::AtChunkSize : &syntax_check::InUncheckedBody;
  section_ended_ = false;
}

std::optional<std::size_t> syntax_check::Check(std::string_view bytes) {
  const char* at = bytes.data();
  const char* const end = at + bytes.size();
  while (at != end && !section_ended_) {
    at = (this->*state_)(at, end);
    if (at == nullptr) return std::nullopt;
  }
  return static_cast<std::size_t>(at - bytes.data());
}

// ---------------------------------------------------------------------------
// Head and trailers.

// RFC 9112, section 2.2: empty lines before a message are skipped.
const char* syntax_check::BeforeFirstLine(const char* at, const char*) {
  if (*at == '\r' || *at == '\n') return at + 1;
  state_ = kind_ == first_line::kStatus ? &syntax_check::InStatusLine
                                        : &syntax_check::InLine;
  return at;
}

const char* syntax_check::InStatusLine(const char* at, const char* end) {
  while (at != end && line_bytes_ < kStatusLine.size()) {
    if (!MatchesStatusLine(line_bytes_, *at)) return nullptr;
    ++line_bytes_;
    ++at;
  }
  if (at == end) return at;
  // The reason may be missing.
  if (*at != ' ' && *at != '\r' && *at != '\n') return nullptr;
  state_ = &syntax_check::InLine;
  return at;
}

const char* syntax_check::InLine(const char* at, const char* end) {
  at = SkipText(at, end);
  return at == end ? at : EndLine(at);
}

// RFC 9112, section 2.2: a line may end with an LF alone.
const char* syntax_check::EndLine(const char* at) {
  if (*at == '\r') {
    state_ = &syntax_check::AtLineFeed;
    return at + 1;
  }
  return AtLineFeed(at, at + 1);
}

const char* syntax_check::AtLineFeed(const char* at, const char*) {
  if (*at != '\n') return nullptr;
  state_ = &syntax_check::AtFieldStart;
  return at + 1;
}

// Folded lines, which start with a blank, are malformed (RFC 9112, section
// 5.2).
const char* syntax_check::AtFieldStart(const char* at, const char* end) {
  if (*at == '\r') {
    state_ = &syntax_check::AtLastLineFeed;
    return at + 1;
  }
  if (*at == '\n') return AtLastLineFeed(at, end);
  if (KindOf(*at) != kToken) return nullptr;
  state_ = &syntax_check::InFieldName;
  return at + 1;
}

const char* syntax_check::AtLastLineFeed(const char* at, const char*) {
  if (*at != '\n') return nullptr;
  section_ended_ = true;
  return at + 1;
}

const char* syntax_check::InFieldName(const char* at, const char* end) {
  while (at != end && KindOf(*at) == kToken) ++at;
  if (at == end) return at;
  if (*at != ':') return nullptr;
  state_ = &syntax_check::InLine;
  return at + 1;
}

// ---------------------------------------------------------------------------
// Bodies.

const char* syntax_check::InUncheckedBody(const char*, const char* end) {
  return end;
}

const char* syntax_check::AtChunkSize(const char* at, const char*) {
  if (HexDigit(*at) < 0) return nullptr;
  chunk_left_ = 0;
  state_ = &syntax_check::InChunkSize;
  return at;
}

const char* syntax_check::InChunkSize(const char* at, const char* end) {
  constexpr std::uint64_t kMaxSize =
      std::numeric_limits<std::uint64_t>::max() / 16 - 1;
  for (; at != end; ++at) {
    const int digit = HexDigit(*at);
    if (digit < 0) {
      state_ = &syntax_check::BehindChunkSize;
      return at;
    }
    if (chunk_left_ > kMaxSize) return nullptr;
    chunk_left_ = chunk_left_ * 16 + static_cast<std::uint64_t>(digit);
  }
  return at;
}

// Some servers pad the size with blanks.
const char* syntax_check::BehindChunkSize(const char* at, const char* end) {
  while (at != end && *at == ' ') ++at;
  if (at == end) return at;
  if (*at == ';') {
    state_ = &syntax_check::InChunkExtension;
    return at + 1;
  }
  if (*at != '\r') return nullptr;
  state_ = &syntax_check::AtChunkSizeLineFeed;
  return at + 1;
}

const char* syntax_check::InChunkExtension(const char* at, const char* end) {
  at = SkipText(at, end);
  if (at == end) return at;
  if (*at != '\r') return nullptr;
  state_ = &syntax_check::AtChunkSizeLineFeed;
  return at + 1;
}

const char* syntax_check::AtChunkSizeLineFeed(const char* at, const char*) {
  if (*at != '\n') return nullptr;
  // The trailers, which end like a head, follow the last chunk.
  state_ =
      chunk_left_ > 0 ? &syntax_check::InChunk : &syntax_check::AtFieldStart;
  return at + 1;
}

const char* syntax_check::InChunk(const char* at, const char* end) {
  const std::uint64_t size = std::min<std::uint64_t>(
      chunk_left_, static_cast<std::uint64_t>(end - at));
  chunk_left_ -= size;
  if (chunk_left_ == 0) state_ = &syntax_check::AtChunkEnd;
  return at + size;
}

const char* syntax_check::AtChunkEnd(const char* at, const char*) {
  if (*at != '\r') return nullptr;
  state_ = &syntax_check::AtChunkEndLineFeed;
  return at + 1;
}

const char* syntax_check::AtChunkEndLineFeed(const char* at, const char*) {
  if (*at != '\n') return nullptr;
  state_ = &syntax_check::AtChunkSize;
  return at + 1;
}

}  // namespace pimentohall::net
