#include <algorithm>
#include <cctype>

#include "check/rules.h"
#include "check/value_text.h"

namespace pimentohall::check {
namespace {

void CheckPrefix(const mesh::route& checked, finding_list* found) {
  const std::string& prefix = checked.path_prefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    found->Add(
        finding_id::kPrefixMalformed,
        "the prefix " + ToText(prefix) + " doesn't begin and end with a slash");
  }
  // A call's path is compared without its query.
  if (prefix.find('?') != std::string::npos) {
    found->Add(finding_id::kPrefixNeverMatches,
               "the prefix " + ToText(prefix) +
                   " has a query, which is no part of a call's path");
  }
}

void CheckHost(const mesh::route& checked, finding_list* found) {
  const std::string& host = checked.host;
  // The host of a call is converted to lower case, and its port removed, before
  // it is compared.
  const bool is_lower = std::none_of(host.begin(), host.end(), [](char c) {
    return std::isupper(static_cast<unsigned char>(c)) != 0;
  });
  if (!host.empty() && is_lower && host.find(':') == std::string::npos) return;
  found->Add(finding_id::kHostNeverMatches,
             "no call has the host " + ToText(host));
}

void CheckUniqueness(const mesh::route& checked, entry_index* index,
                     finding_list* found) {
  // The zero byte separates the two: a host may hold a slash.
  const std::string* other = index->Claim(
      "match", checked.host + '\0' + checked.path_prefix, checked.name);
  if (other != nullptr) {
    found->Add(finding_id::kRouteTwice,
               "host and prefix are those of route " + ToText(*other));
  }
  // Learned times and the phase of a split are kept by the route's name.
  if (index->Claim("route", checked.name, checked.name) != nullptr) {
    found->Add(finding_id::kRouteNameTwice,
               "another route has the name " + ToText(checked.name));
  }
}

// The weights of one route, judged together.
void CheckWeights(const mesh::route& checked, finding_list* found) {
  double total = 0;
  for (const mesh::route_part& part : checked.parts) total += part.weight;
  if (total <= 0) {
    found->Add(finding_id::kWeightsAllZero,
               "the weights of the parts add up to " + ToText(total));
  }
  for (const mesh::route_part& part : checked.parts) {
    if (part.weight < 0) {
      found->Add(
          finding_id::kWeightNegative,
          "service " + ToText(part.service) + " has a weight below zero");
    } else if (part.weight == 0 && total > 0) {
      found->Add(finding_id::kWeightZero, "service " + ToText(part.service) +
                                              " has weight 0 and gets no call");
    }
  }
}

void CheckParts(const mesh::route& checked, entry_index* index,
                finding_list* found) {
  if (checked.parts.empty()) {
    found->Add(finding_id::kNoService, "the route leads to no service");
    return;
  }
  CheckWeights(checked, found);
  for (const mesh::route_part& part : checked.parts) {
    const service_facts* facts = index->FindService(part.service);
    if (facts == nullptr || !facts->is_configured) {
      found->Add(finding_id::kServiceUnknown,
                 "there is no service " + ToText(part.service));
    }
  }
}

void CheckTimes(const mesh::route& checked, finding_list* found) {
  // A timeout of 0 is no limit.
  if (checked.timeout.count() <= 0 || checked.timeout >= checked.aim) return;
  found->Add(finding_id::kTimeoutBelowAim,
             "calls end at the timeout of " + ToText(checked.timeout) +
                 ", before their aim of " + ToText(checked.aim));
}

// One call stays with one part of the route, so each part must have as many
// upstreams as the route allows attempts. Parts without upstreams have a
// finding of their own.
void CheckAttempts(const mesh::route& checked, entry_index* index,
                   finding_list* found) {
  if (checked.max_attempts < 1) {
    found->Add(finding_id::kNoAttempt, "the route allows no attempt");
  }
  if (!index->HasUpstreams()) return;
  for (const mesh::route_part& part : checked.parts) {
    const service_facts* facts = index->FindService(part.service);
    if (part.weight <= 0 || facts == nullptr || facts->usable == 0) continue;
    if (checked.max_attempts <= facts->usable) continue;
    found->Add(finding_id::kAttemptsOverUpstreams,
               ToText(checked.max_attempts) + " attempts, but service " +
                   ToText(part.service) + " has " + ToText(facts->usable) +
                   " upstream(s) that take calls");
  }
}

}  // namespace

void CheckRoutes(entry_index* index, std::vector<finding>* out) {
  for (const mesh::route& each : index->Input().proposed.routes) {
    index->CountVisit();
    finding_list found("routes/" + each.name, out);
    CheckPrefix(each, &found);
    CheckHost(each, &found);
    CheckUniqueness(each, index, &found);
    CheckParts(each, index, &found);
    CheckTimes(each, &found);
    CheckAttempts(each, index, &found);
  }
}

}  // namespace pimentohall::check
