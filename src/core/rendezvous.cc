#include "core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pimentohall::core {

std::uint64_t RendezvousWeight(std::string_view salt, std::string_view name) {
  const XXH64_hash_t seed = XXH64(salt.data(), salt.size(), 0);
  return XXH64(name.data(), name.size(), seed);
}

void SortByWeight(std::string_view salt, std::vector<std::string>* names) {
  const XXH64_hash_t seed = XXH64(salt.data(), salt.size(), 0);
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(names->size());
  for (std::string& name : *names) {
    const XXH64_hash_t weight = XXH64(name.data(), name.size(), seed);
    weighted.emplace_back(weight, std::move(name));
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  for (std::size_t i = 0; i < weighted.size(); ++i) {
    (*names)[i] = std::move(weighted[i].second);
  }
}

}  // namespace pimentohall::core
