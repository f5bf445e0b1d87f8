#include "core/dedup_cache.h"

#include <xxhash.h>

namespace pimentohall::core {

dedup_cache::dedup_cache(std::uint64_t seed) : seed_(seed) {}

dedup_cache::hashed_key dedup_cache::Hash(std::string_view organisation,
                                          std::string_view key) const {
  const std::uint64_t organisation_hash =
      XXH3_64bits_withSeed(organisation.data(), organisation.size(), seed_);
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(key.data(), key.size(), organisation_hash);
  return {hash.low64, hash.high64};
}

void dedup_cache::Expire(std::deque<finished_key>* finished, instant now) {
  while (!finished->empty() &&
         finished->front().finished_at + kRetention <= now) {
    entries_.erase(finished->front().key);
    finished->pop_front();
  }
}

bool dedup_cache::MakeRoom(instant now) {
  if (entries_.size() < kCapacity) return true;
  if (answered_.empty()) return false;
  if (answered_.front().finished_at + kMinRetention > now) return false;
  entries_.erase(answered_.front().key);
  answered_.pop_front();
  ++evicted_early_;
  return true;
}

dedup_cache::begin_result dedup_cache::Begin(std::string_view organisation,
                                             std::string_view key,
                                             instant now) {
  Expire(&answered_, now);
  Expire(&unknown_, now);
  const hashed_key hashed = Hash(organisation, key);
  if (entries_.count(hashed) != 0) return begin_result::kDuplicate;
  if (!MakeRoom(now)) return begin_result::kFull;
  entries_.emplace(hashed, false);
  return begin_result::kFresh;
}

void dedup_cache::Finish(std::string_view organisation, std::string_view key,
                         key_outcome outcome, instant now) {
  const hashed_key hashed = Hash(organisation, key);
  auto found = entries_.find(hashed);
  if (found == entries_.end() || found->second) return;
  if (outcome == key_outcome::kNotRun) {
    entries_.erase(found);
    return;
  }
  found->second = true;
  auto& finished = outcome == key_outcome::kAnswered ? answered_ : unknown_;
  finished.push_back({hashed, now});
}

}  // namespace pimentohall::core
