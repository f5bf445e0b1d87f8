#ifndef PIMENTOHALL_CORE_DEDUP_CACHE_H_
#define PIMENTOHALL_CORE_DEDUP_CACHE_H_

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Remembers the idempotency keys of calls that are not idempotent, so that a
// call repeated by its caller does not run twice:
//
//   if (cache.Begin(organisation, key, now) != begin_result::kFresh) refuse;
//   ... run the call ...
//   cache.Finish(organisation, key, fate::kAnswered, now);
//
// A key is held while its call runs and for `kMemory` after the end. When the
// cache is full, the oldest keys of answered calls make room, but only after
// `kMinMemory`: by then the deadline of every repetition that the caller could
// have sent together with the first call has passed. Keys of calls with an
// unknown fate are never dropped early. Without room a new key is refused.
class dedup_cache {
 public:
  static constexpr std::size_t kCapacity = 10000;
  static constexpr duration kMemory = std::chrono::minutes(10);
  // The greatest deadline of a call.
  static constexpr duration kMinMemory = std::chrono::seconds(60);

  enum class begin_result { kFresh, kDuplicate, kFull };
  enum class fate {
    kNotRun,      // Certain; the key is free again.
    kAnswered,    // The upstream answered.
    kMayHaveRun,  // Given to the upstream, no answer.
  };

  // `seed` keeps callers from choosing keys that collide.
  explicit dedup_cache(std::uint64_t seed);

  begin_result Begin(std::string_view organisation, std::string_view key,
                     instant now);
  void Finish(std::string_view organisation, std::string_view key, fate how,
              instant now);

  std::size_t Size() const { return entries_.size(); }
  // Keys of answered calls that were dropped before `kMemory`.
  std::uint64_t DroppedEarly() const { return dropped_early_; }

 private:
  // Keys are stored as 128-bit hashes, since a key may be as long as a header
  // block.
  struct hashed_key {
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    friend bool operator==(const hashed_key& a, const hashed_key& b) {
      return a.low == b.low && a.high == b.high;
    }
  };
  struct key_hasher {
    std::size_t operator()(const hashed_key& key) const { return key.low; }
  };
  struct finished_key {
    hashed_key key;
    instant at;
  };

  hashed_key Hash(std::string_view organisation, std::string_view key) const;
  void Expire(std::deque<finished_key>* finished, instant now);
  bool MakeRoom(instant now);

  std::uint64_t seed_;
  std::unordered_map<hashed_key, bool, key_hasher> entries_;  // -> finished
  std::deque<finished_key> answered_;                         // Oldest first.
  std::deque<finished_key> unknown_;                          // Oldest first.
  std::uint64_t dropped_early_ = 0;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_DEDUP_CACHE_H_
