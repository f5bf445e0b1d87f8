#ifndef PIMENTOHALL_CORE_DEDUP_CACHE_H_
#define PIMENTOHALL_CORE_DEDUP_CACHE_H_

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

#include "pimentohall/core.h"

namespace pimentohall::core {

// Remembers the idempotency keys of calls to routes that are not idempotent, so
// that a call that its caller repeats does not run twice:
//
//   if (cache.Begin(organisation, key, now) != begin_result::kFresh) refuse;
//   ... run the call ...
//   cache.Finish(organisation, key, key_outcome::kAnswered, now);
//
// A key is held while its call runs and for `kRetention` after its end. When
// the cache is full, the oldest keys of answered calls are evicted, but only
// after `kMinRetention`: by then the deadline of every duplicate that the
// caller could have sent together with the first call has passed. Keys of calls
// with an unknown outcome are never evicted early. If nothing can be evicted, a
// new key is refused.
class dedup_cache {
 public:
  static constexpr std::size_t kCapacity = 10000;
  static constexpr duration kRetention = std::chrono::minutes(10);
  // The maximum deadline of a call.
  static constexpr duration kMinRetention = std::chrono::seconds(60);

  enum class begin_result { kFresh, kDuplicate, kFull };
  enum class key_outcome {
    kNotRun,      // The call certainly did not run; the key is released.
    kAnswered,    // The upstream answered.
    kMayHaveRun,  // Sent to the upstream, but not answered.
  };

  // `seed` randomises the hashes, so that callers can't choose keys that
  // collide.
  explicit dedup_cache(std::uint64_t seed);

  begin_result Begin(std::string_view organisation, std::string_view key,
                     instant now);
  void Finish(std::string_view organisation, std::string_view key,
              key_outcome outcome, instant now);

  std::size_t Size() const { return entries_.size(); }
  // Number of keys that were evicted before `kRetention`.
  std::uint64_t EvictedEarly() const { return evicted_early_; }

 private:
  // Keys are stored as 128-bit hashes, because a key may be as long as a whole
  // header block.
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
    instant finished_at;
  };

  hashed_key Hash(std::string_view organisation, std::string_view key) const;
  void Expire(std::deque<finished_key>* finished, instant now);
  bool MakeRoom(instant now);

  std::uint64_t seed_;
  // The value is true once the call has finished.
  std::unordered_map<hashed_key, bool, key_hasher> entries_;
  std::deque<finished_key> answered_;  // Oldest first.
  std::deque<finished_key> unknown_;   // Oldest first.
  std::uint64_t evicted_early_ = 0;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_DEDUP_CACHE_H_
