#include "core/report.h"

#include <nlohmann/json.hpp>

#include "core/admission.h"
#include "core/http_status.h"

namespace pimentohall::core {
namespace {

using json = nlohmann::ordered_json;

std::int64_t ToMs(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

json LoadJson(const upstream_load& load) {
  return {{"in_flight", load.in_flight},
          {"queued", load.queued},
          {"limit", load.limit}};
}

json ConfigJson(const report_input& input, instant now) {
  json config = {{"version", 0}, {"digest", ""}, {"age_ms", -1}};
  if (const auto set = input.store->Set()) {
    config["version"] = set->Version();
    config["digest"] = set->Digest();
  }
  const duration age = input.distributor->SourceAge(now);
  if (age >= duration::zero()) config["age_ms"] = ToMs(age);
  config["missing_parts"] = input.store->MissingParts().size();
  config["refused_sets"] = input.store->RefusedSets();
  if (const auto& refused = input.store->LastRefusal()) {
    json faults = json::array();
    for (const config::fault& fault : refused->faults) {
      faults.push_back(fault.ToString());
    }
    config["last_refusal"] = {{"version", refused->version},
                              {"digest", refused->digest},
                              {"faults", std::move(faults)}};
  }
  return config;
}

json MembershipJson(const report_input& input, instant now) {
  json peers = json::array();
  json membership = {{"version", 0}};
  if (const auto vms = input.store->Vms()) {
    membership["version"] = vms->version;
    for (const config::vm& vm : vms->vms) {
      peers.push_back(
          {{"vm", vm.name},
           {"zone", vm.zone},
           {"listed", vm.state == config::vm_state::kLive ? "live" : "leaving"},
           {"linked", input.members->HasLink(vm.name)},
           {"usable", input.members->IsUsable(vm.name, now)}});
    }
  }
  membership["reader"] = input.members->IsReader(now);
  membership["vms"] = std::move(peers);
  return membership;
}

json OrganisationsJson(const report_input& input, instant now) {
  json organisations = json::array();
  for (const contract_allocator::view& view : input.allocator->View(now)) {
    organisations.push_back({{"organisation", view.organisation},
                             {"rate_per_s", view.rate_per_s},
                             {"burst", view.burst},
                             {"tokens", view.tokens},
                             {"permits", view.permits},
                             {"in_use", view.in_use},
                             {"home", view.home}});
  }
  return organisations;
}

json RoutedUpstreamsJson(const report_input& input, const std::string& service,
                         instant now) {
  json upstreams = json::array();
  for (const router::view& view : input.routes->View(service, now)) {
    upstreams.push_back({{"upstream", view.upstream},
                         {"vm", view.vm},
                         {"zone", view.zone},
                         {"state", view.state},
                         {"in_flight_from_here", view.in_flight},
                         {"load", LoadJson(view.load)}});
  }
  return upstreams;
}

json LocalUpstreamsJson(const report_input& input, instant now) {
  json upstreams = json::array();
  for (const egress::view& view : input.local_egress->View(now)) {
    upstreams.push_back({{"upstream", view.upstream},
                         {"state", view.state},
                         {"load", LoadJson(view.load)},
                         {"started", view.started},
                         {"shed", view.shed},
                         {"lost", view.lost}});
  }
  return upstreams;
}

json CountersJson(const counters& totals) {
  return {{"calls", totals.calls},
          {"answered", totals.answered},
          {"refused_not_run", totals.refused_not_run},
          {"failed_may_have_run", totals.failed_may_have_run},
          {"attempts", totals.attempts},
          {"retries", totals.retries},
          {"source_reads", totals.source_reads},
          {"refused_sets", totals.refused_sets},
          {"upstream_calls", totals.upstream_calls}};
}

}  // namespace

std::string DumpReport(const report_input& input, instant now) {
  json dump;
  dump["vm"] = input.options->vm;
  dump["zone"] = input.options->zone;
  dump["incarnation"] = input.options->incarnation;
  dump["ready"] = input.ready;
  dump["stopping"] = input.stopping;
  dump["config"] = ConfigJson(input, now);
  dump["membership"] = MembershipJson(input, now);
  dump["organisations"] = OrganisationsJson(input, now);
  dump["upstreams_here"] = LocalUpstreamsJson(input, now);
  dump["upstreams"] = RoutedUpstreamsJson(input, "", now);
  dump["calls_in_flight"] = input.calls_in_flight;
  dump["counters"] = CountersJson(input.totals);
  return dump.dump(2);
}

std::string ExplainReport(const report_input& input, const call_arrived& call,
                          instant now) {
  json report;
  report["method"] = call.method;
  report["path"] = call.path;
  const auto set = input.store->Set();
  reason why = reason::kNone;
  if (input.stopping) why = reason::kStopping;
  if (set == nullptr || !input.ready) why = reason::kNotReady;
  if (why != reason::kNone) {
    report["verdict"] = "refused";
    report["reason"] = ReasonName(why);
    report["status"] = HttpStatusFor(outcome_kind::kNotRun, why);
    return report.dump(2);
  }

  report["config_version"] = set->Version();
  const admission_result admission =
      CheckAdmission(*set, call.method, call.path, call.key_digest);
  if (admission.organisation != nullptr) {
    report["organisation"] = admission.organisation->name;
  }
  if (admission.why != reason::kNone) {
    report["verdict"] = "refused";
    report["reason"] = ReasonName(admission.why);
    report["status"] = HttpStatusFor(outcome_kind::kNotRun, admission.why);
    return report.dump(2);
  }
  report["route"] = admission.route->name;
  report["service"] = admission.route->service;
  report["idempotent"] = admission.route->idempotent;
  report["class"] =
      admission.route->traffic_class == config::route_class::kInteractive
          ? "interactive"
          : "overnight";
  if (admission.organisation != nullptr) {
    const config::contract& limits = admission.organisation->limits;
    report["contract"] = {{"rate_per_s", limits.rate_per_s},
                          {"burst", limits.burst},
                          {"max_concurrent", limits.max_concurrent}};
    for (json& view : OrganisationsJson(input, now)) {
      if (view["organisation"] == admission.organisation->name) {
        report["limits_here"] = std::move(view);
      }
    }
  }
  json upstreams = RoutedUpstreamsJson(input, admission.route->service, now);
  const bool routable =
      std::any_of(upstreams.begin(), upstreams.end(),
                  [](const json& view) { return view["state"] == "usable"; });
  report["upstreams"] = std::move(upstreams);
  report["verdict"] = routable ? "admitted" : "refused";
  if (!routable) {
    report["reason"] = ReasonName(reason::kNoUpstream);
    report["status"] =
        HttpStatusFor(outcome_kind::kNotRun, reason::kNoUpstream);
  }
  return report.dump(2);
}

}  // namespace pimentohall::core
