#include <algorithm>

#include "check/rules.h"
#include "check/value_text.h"

namespace pimentohall::check {
namespace {

void CheckUpstreams(const service_facts& facts, finding_list* found) {
  if (facts.usable > 0) return;
  if (facts.evacuated > 0) {
    found->Add(finding_id::kAllInEvacuatedZones,
               "all " + ToText(facts.evacuated) +
                   " upstream(s) that aren't draining are in evacuated zones");
  } else if (facts.draining > 0) {
    found->Add(finding_id::kNoUpstream,
               "all " + ToText(facts.draining) + " upstream(s) are draining");
  } else {
    found->Add(finding_id::kNoUpstream, "the service has no upstream");
  }
}

// Upstreams whose service isn't configured, in the order of the names.
void CheckMissing(entry_index* index, std::vector<finding>* out) {
  const auto first = static_cast<std::ptrdiff_t>(out->size());
  for (const auto& [name, facts] : index->Services()) {
    index->CountVisit();
    if (facts.is_configured) continue;
    finding_list("services/" + name, out)
        .Add(finding_id::kServiceMissing,
             ToText(facts.listed) + " upstream(s) serve it, but it isn't in " +
                 "the configuration");
  }
  std::sort(
      out->begin() + first, out->end(),
      [](const finding& a, const finding& b) { return a.place < b.place; });
}

}  // namespace

void CheckServices(entry_index* index, std::vector<finding>* out) {
  for (const mesh::service& each : index->Input().proposed.services) {
    index->CountVisit();
    finding_list found("services/" + each.name, out);
    if (index->Claim("service", each.name, each.name) != nullptr) {
      found.Add(finding_id::kServiceTwice,
                "another service has the name " + ToText(each.name));
      continue;
    }
    const service_facts* facts = index->FindService(each.name);
    if (index->HasUpstreams() && facts != nullptr) {
      CheckUpstreams(*facts, &found);
    }
  }
  CheckMissing(index, out);
}

}  // namespace pimentohall::check
