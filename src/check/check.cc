#include "pimentohall/check.h"

#include <algorithm>

#include "check/differences.h"
#include "check/entry_index.h"
#include "check/rules.h"

namespace pimentohall::check {

bool operator==(const finding& a, const finding& b) {
  return a.id == b.id && a.place == b.place && a.problem == b.problem;
}

bool operator==(const difference& a, const difference& b) {
  return a.kind == b.kind && a.subject == b.subject && a.field == b.field &&
         a.before == b.before && a.after == b.after;
}

std::optional<severity> report::Worst() const {
  if (findings.empty()) return std::nullopt;
  return KindOf(findings.front().id).level;  // Errors are first.
}

report Check(const input& checked) {
  constexpr void (*kRules[])(entry_index*, std::vector<finding>*) = {
      CheckWhole, CheckRoutes, CheckServices, CheckTenants};
  report result;
  entry_index index(checked);
  for (const auto rules : kRules) rules(&index, &result.findings);
  std::stable_partition(result.findings.begin(), result.findings.end(),
                        [](const finding& each) {
                          return KindOf(each.id).level == severity::kError;
                        });
  if (checked.in_force) {
    result.differences =
        Compare(*checked.in_force, checked.proposed, &result.comparisons);
  }
  result.comparisons += index.Comparisons();
  return result;
}

}  // namespace pimentohall::check
