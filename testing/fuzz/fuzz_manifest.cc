// Any bytes as a manifest: refused with faults, or sound in every field.

#include "fuzz_check.h"

namespace pimentohall::config {
namespace {

void CheckManifest(const manifest& manifest) {
  FUZZ_CHECK(manifest.version >= 1 && manifest.digest.size() == 64);
  FUZZ_CHECK(!manifest.parts.empty());
  std::size_t total = 0;
  for (const part_ref& part : manifest.parts) {
    FUZZ_CHECK(part.sha256.size() == 64);
    total += part.bytes;
  }
  FUZZ_CHECK(total <= kMaxSetBytes);
  // No part is at hand, so each must be reported missing.
  const auto set = AssembleSet(manifest, {});
  FUZZ_CHECK(!set && set.error().size() == manifest.parts.size());
}

}  // namespace
}  // namespace pimentohall::config

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace config = pimentohall::config;
  const auto text = config::AsText(data, size);
  const auto parsed = config::ParseManifest(text);
  if (parsed) {
    config::CheckManifest(*parsed);
  } else {
    config::CheckFaults(parsed.error(), text);
  }
  return 0;
}
