#ifndef PIMENTOHALL_CORE_RENDEZVOUS_H_
#define PIMENTOHALL_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentohall::core {

// Weight of `name` under `salt` for rendezvous hashing (XXH64). Daemons on
// hosts of the same byte order compute the same weight.
std::uint64_t RendezvousWeight(std::string_view salt, std::string_view name);

// Sorts `names` by descending weight under `salt`; names of equal weight are in
// ascending order.
void SortByWeight(std::string_view salt, std::vector<std::string>* names);

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_RENDEZVOUS_H_
