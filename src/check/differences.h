#ifndef PIMENTOHALL_CHECK_DIFFERENCES_H_
#define PIMENTOHALL_CHECK_DIFFERENCES_H_

#include <cstdint>
#include <vector>

#include "pimentohall/check.h"

namespace pimentohall::check {

// The differences by subject: the version, routes, services, tenants (each in
// the order of the names), limits. Entries are matched by name, entries of the
// same name by their order. The order of entries and of keys doesn't count.
// Adds the comparisons of names and keys to `comparisons`.
std::vector<difference> Compare(const mesh::configuration_parts& before,
                                const mesh::configuration_parts& after,
                                std::uint64_t* comparisons);

}  // namespace pimentohall::check

#endif  // PIMENTOHALL_CHECK_DIFFERENCES_H_
