#include "check/rules.h"
#include "check/value_text.h"

namespace pimentohall::check {
namespace {

// Daemons ignore a version that isn't above the one in force. The configuration
// in force itself, unchanged, is no fault.
void CheckVersion(const input& checked, std::vector<finding>* out) {
  const auto& in_force = checked.in_force;
  if (!in_force || checked.proposed.version > in_force->version) return;
  if (checked.proposed == *in_force) return;
  finding_list("", out).Add(
      finding_id::kVersionNotNewer,
      "daemons ignore version " + ToText(checked.proposed.version) +
          " while version " + ToText(in_force->version) + " is in force");
}

// A daemon passes bodies through in small pieces, but an upstream on the same
// VM may have to hold one whole.
void CheckBodyLimit(const input& checked, std::vector<finding>* out) {
  const std::uint64_t body_bytes = checked.proposed.limits.body_bytes;
  if (!checked.memory_bytes || body_bytes <= *checked.memory_bytes) return;
  finding_list("limits", out)
      .Add(finding_id::kBodyOverMemory,
           "bodies of up to " + ToText(body_bytes) +
               " bytes on VMs with memory of " + ToText(*checked.memory_bytes) +
               " bytes");
}

}  // namespace

void CheckWhole(entry_index* index, std::vector<finding>* out) {
  CheckVersion(index->Input(), out);
  CheckBodyLimit(index->Input(), out);
}

}  // namespace pimentohall::check
