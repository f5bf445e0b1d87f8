#ifndef PIMENTOHALL_CHECK_H_
#define PIMENTOHALL_CHECK_H_

// Library `check`: finds faults in a configuration before an operator sends it,
// and lists how it differs from the one in force. No I/O.
//
//   check::input input;
//   input.proposed = parts;
//   const check::report report = check::Check(input);
//   if (report.Worst() == check::severity::kError) ...
//
// `mesh::configuration::Build` refuses a configuration if and only if the
// report has a finding whose kind says so (`refused_by_daemons`). The other
// findings are about configurations that daemons accept.
//
// The functions can't fail. The effort grows linearly with the input, except
// that sorting differences costs n log n.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentohall/config.h"
#include "pimentohall/mesh.h"

namespace pimentohall::check {

enum class severity { kWarning, kError };

enum class finding_id {
  // The configuration as a whole.
  kVersionNotNewer,
  // Routes.
  kPrefixMalformed,
  kPrefixNeverMatches,
  kHostNeverMatches,
  kRouteTwice,
  kRouteNameTwice,
  kNoService,
  kServiceUnknown,
  kWeightNegative,
  kWeightsAllZero,
  kWeightZero,
  kNoAttempt,
  kTimeoutBelowAim,
  kAttemptsOverUpstreams,
  // Services.
  kServiceTwice,
  kNoUpstream,
  kAllInEvacuatedZones,
  kServiceMissing,
  // Tenants.
  kTenantTwice,
  kKeyShared,
  kRateOverCapacity,
  // Limits.
  kBodyOverMemory,
};

struct finding_kind {
  finding_id id;
  const char* code;  // Stable, for scripts.
  severity level;
  bool refused_by_daemons;
  const char* field;  // Name of the member in mesh.h.
  const char* fix;
};
// All kinds, ordered by id.
const std::vector<finding_kind>& FindingKinds();
const finding_kind& KindOf(finding_id id);

struct finding {
  finding_id id;
  std::string
      place;  // For example "routes/search", "limits"; "" for the whole.
  std::string problem;
  friend bool operator==(const finding& a, const finding& b);
};

// One difference from the configuration in force.
struct difference {
  config::change_kind kind = config::change_kind::kChanged;
  std::string subject;  // For example "tenants/acme"; "" for the whole.
  // Name of the member in mesh.h; "key" with a digest as the value for one key
  // of a tenant; empty if the whole subject was added or removed.
  std::string field;
  std::string before;  // Empty if added.
  std::string after;   // Empty if removed.
  friend bool operator==(const difference& a, const difference& b);
};

struct input {
  mesh::configuration_parts proposed;
  // What isn't given isn't checked.
  std::optional<mesh::configuration_parts> in_force;
  std::optional<std::vector<mesh::upstream>> upstreams;
  std::set<std::string> evacuated_zones;
  std::optional<std::uint64_t> memory_bytes;  // Of a VM.
};

struct report {
  std::vector<finding> findings;        // Errors first.
  std::vector<difference> differences;  // Empty without `in_force`.
  // Comparisons of keys in lookups, and entries visited.
  std::uint64_t comparisons = 0;

  // None if there are no findings.
  std::optional<severity> Worst() const;
};

report Check(const input& checked);

// Share of a route's aim that daemons expect a call to take until they have
// measured one. A service's capacity is estimated with it.
inline constexpr double kUsualShareOfAim = 0.25;

}  // namespace pimentohall::check

#endif  // PIMENTOHALL_CHECK_H_
