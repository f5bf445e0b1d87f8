#include <algorithm>

#include "pimentohall/check.h"

namespace pimentohall::check {

const std::vector<finding_kind>& FindingKinds() {
  constexpr auto kError = severity::kError;
  constexpr auto kWarning = severity::kWarning;
  // Severity error: daemons refuse the configuration, or an entry of it can
  // never have an effect whatever upstreams exist.
  static const std::vector<finding_kind> kKinds = {
      {finding_id::kVersionNotNewer, "version-not-newer", kError, false,
       "version", "use a version above the one in force"},
      {finding_id::kPrefixMalformed, "prefix-malformed", kError, true,
       "path_prefix", "begin and end it with a slash"},
      {finding_id::kPrefixNeverMatches, "prefix-never-matches", kError, false,
       "path_prefix", "leave out the question mark and what follows"},
      {finding_id::kHostNeverMatches, "host-never-matches", kError, false,
       "host", "write the host in lower case and without a port"},
      {finding_id::kRouteTwice, "route-twice", kError, true, "path_prefix",
       "remove one of the two, or change its host or prefix"},
      {finding_id::kRouteNameTwice, "route-name-twice", kWarning, false, "name",
       "give each route a name of its own"},
      {finding_id::kNoService, "no-service", kError, true, "parts",
       "name a service"},
      {finding_id::kServiceUnknown, "service-unknown", kError, true, "parts",
       "add the service or correct the name"},
      {finding_id::kWeightNegative, "weight-negative", kError, true, "parts",
       "use a weight of 0 or more"},
      {finding_id::kWeightsAllZero, "weights-all-zero", kError, true, "parts",
       "give one part a weight above 0"},
      {finding_id::kWeightZero, "weight-zero", kWarning, false, "parts",
       "remove the part or give it a weight above 0"},
      {finding_id::kNoAttempt, "no-attempt", kError, true, "max_attempts",
       "allow 1 or more"},
      {finding_id::kTimeoutBelowAim, "timeout-below-aim", kWarning, false,
       "timeout", "raise the timeout or lower the aim"},
      {finding_id::kAttemptsOverUpstreams, "attempts-over-upstreams", kWarning,
       false, "max_attempts",
       "allow no more attempts than the service has upstreams, or add some"},
      {finding_id::kServiceTwice, "service-twice", kError, true, "name",
       "remove one of the two"},
      {finding_id::kNoUpstream, "no-upstream", kWarning, false, "name",
       "start upstreams of the service before calls are sent to it"},
      {finding_id::kAllInEvacuatedZones, "all-in-evacuated-zones", kWarning,
       false, "name", "start upstreams in another zone or end an evacuation"},
      {finding_id::kServiceMissing, "service-missing", kWarning, false, "name",
       "add the service or stop the upstreams"},
      {finding_id::kTenantTwice, "tenant-twice", kError, true, "name",
       "remove one of the two"},
      {finding_id::kKeyShared, "key-shared", kError, true, "key",
       "give each tenant keys of its own"},
      {finding_id::kRateOverCapacity, "rate-over-capacity", kWarning, false,
       "rate_per_s", "lower the rate or add upstreams"},
      {finding_id::kBodyOverMemory, "body-over-memory", kWarning, false,
       "body_bytes", "lower the limit or use VMs with more memory"},
  };
  return kKinds;
}

const finding_kind& KindOf(finding_id id) {
  return FindingKinds()[static_cast<std::size_t>(id)];
}

}  // namespace pimentohall::check
