#ifndef PIMENTOHALL_TESTING_MIRROR_MODEL_DOCUMENTS_H_
#define PIMENTOHALL_TESTING_MIRROR_MODEL_DOCUMENTS_H_

// Small documents of the source, as the users' platform publishes them.

#include <cstdint>
#include <string>

namespace pimentohall::testing {

// `reports` and `born` are the upstream's own count and start.
std::string EntryDocument(int reports, const std::string& state,
                          std::uint64_t born);
// `padding`: bytes that make the value larger.
std::string ConfigDocument(int version, std::size_t padding);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_MIRROR_MODEL_DOCUMENTS_H_
