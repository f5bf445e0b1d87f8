#ifndef PIMENTOHALL_CORE_RENDEZVOUS_H_
#define PIMENTOHALL_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentohall::core {

// Weight of `name` under `salt` for rendezvous hashing (xxhash64). The same on
// every daemon of the same byte order.
std::uint64_t RendezvousWeight(std::string_view salt, std::string_view name);

// Sorts `names` by falling weight under `salt`; equal weights by name.
void SortByWeight(std::string_view salt, std::vector<std::string>* names);

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_RENDEZVOUS_H_
