#include <algorithm>
#include <cmath>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

constexpr std::uint64_t kHashStart = 0xcbf29ce484222325ULL;
// Longer segments are taken for identifiers: words of a path are shorter.
constexpr std::size_t kMaxWord = 24;
// Deeper segments don't count, which bounds the work for a hostile path.
constexpr int kMaxSegments = 8;

// FNV-1a.
std::uint64_t Append(std::uint64_t hash, std::string_view text) {
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  for (const char each : text) {
    hash = (hash ^ static_cast<unsigned char>(each)) * kPrime;
  }
  return (hash ^ 0xff) * kPrime;  // Ends the text: "a", "bc" isn't "ab", "c".
}

// FNV-1a's low bits depend on few bits of the input; tables use low bits. 0
// marks a free entry.
std::uint64_t Finish(std::uint64_t hash) {
  hash ^= hash >> 32;
  hash *= 0x9e3779b97f4a7c15ULL;
  hash ^= hash >> 29;
  return hash == 0 ? 1 : hash;
}

bool IsIdentifier(std::string_view segment) {
  return segment.size() > kMaxWord ||
         std::any_of(segment.begin(), segment.end(),
                     [](char each) { return each >= '0' && each <= '9'; });
}

std::uint64_t AppendShape(std::uint64_t hash, std::string_view path) {
  path = path.substr(0, path.find_first_of("?#"));
  for (int i = 0; i < kMaxSegments && !path.empty(); ++i) {
    const std::size_t end = std::min(path.find('/'), path.size());
    const std::string_view segment = path.substr(0, end);
    hash = Append(hash, IsIdentifier(segment) ? "*" : segment);
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return hash;
}

// Sizes within a factor of 4 are equal.
char SizeClass(double bytes) {
  if (!(bytes >= 1)) return 0;
  return static_cast<char>(1 + std::min(std::ilogb(bytes), 60) / 2);
}

}  // namespace

cost_key KeyOf(const call_features& call) {
  cost_key key;
  const std::uint64_t route = Append(kHashStart, call.route);
  const std::uint64_t path =
      AppendShape(Append(Append(route, "path"), call.method), call.path);
  const char size = SizeClass(call.body_bytes);
  key.route = Finish(route);
  key.effects = {
      Finish(path), Finish(Append(Append(path, "caller"), call.caller_service)),
      Finish(Append(Append(path, "tenant"), call.tenant)),
      Finish(Append(Append(path, "size"), std::string_view(&size, 1)))};
  return key;
}

}  // namespace pimentohall::sched
