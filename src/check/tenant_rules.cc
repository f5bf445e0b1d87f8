#include "check/rules.h"
#include "check/value_text.h"

namespace pimentohall::check {
namespace {

// A key twice in one tenant's list is harmless.
void CheckKeys(const mesh::tenant& checked, entry_index* index,
               finding_list* found) {
  for (const std::string& digest : checked.key_digests) {
    const std::string* other = index->Claim("key", digest, checked.name);
    if (other == nullptr || *other == checked.name) continue;
    found->Add(
        finding_id::kKeyShared,
        "tenant " + ToText(*other) + " has the key with SHA-256 " + digest);
  }
}

// A tenant may send all its calls to one service. The rate is compared with the
// largest one only: a rate may exceed that of a small service on purpose.
void CheckRate(const mesh::tenant& checked, const entry_index& index,
               finding_list* found) {
  const std::optional<double> capacity = index.LargestCapacity();
  if (!capacity || checked.rate_per_s <= *capacity) return;
  found->Add(finding_id::kRateOverCapacity,
             ToText(checked.rate_per_s) +
                 " calls/s, but no service takes more than about " +
                 ToText(static_cast<std::uint64_t>(*capacity)) + " calls/s");
}

}  // namespace

void CheckTenants(entry_index* index, std::vector<finding>* out) {
  for (const mesh::tenant& each : index->Input().proposed.tenants) {
    index->CountVisit();
    finding_list found("tenants/" + each.name, out);
    if (index->Claim("tenant", each.name, each.name) != nullptr) {
      found.Add(finding_id::kTenantTwice,
                "another tenant has the name " + ToText(each.name));
    }
    CheckKeys(each, index, &found);
    CheckRate(each, *index, &found);
  }
}

}  // namespace pimentohall::check
