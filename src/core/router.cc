#include "core/router.h"

#include <xxhash.h>

#include <algorithm>

namespace pimentohall::core {
namespace {

// Random draws before all upstreams of the service are searched in order.
constexpr int kMaxDraws = 4;
// Concurrency limit assumed for an upstream that has not reported one. It is
// low because a new upstream may be cold.
constexpr int kAssumedLimit = 2;

std::uint64_t HashOf(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

enum class evidence { kSuccess, kNeutral, kFailure };

// Refusals because of load, a deadline or the call itself are no evidence about
// the upstream's health. A status of 500 comes from the application, so its
// process works.
evidence Classify(outcome_kind outcome, reason why, int http_status) {
  switch (outcome) {
    case outcome_kind::kAnswered:
      if (why == reason::kShed) return evidence::kNeutral;
      return http_status >= 502 && http_status <= 504 ? evidence::kFailure
                                                      : evidence::kSuccess;
    case outcome_kind::kMayHaveRun:
      return why == reason::kCancelled ? evidence::kNeutral
                                       : evidence::kFailure;
    case outcome_kind::kNotRun:
      switch (why) {
        case reason::kConnectFailed:
        case reason::kUnknownUpstream:
        case reason::kPeerLost:
        case reason::kNotReady:
          return evidence::kFailure;
        default:
          return evidence::kNeutral;
      }
  }
  return evidence::kNeutral;
}

}  // namespace

router::router(const membership* members, std::string zone, std::uint64_t seed)
    : members_(members), zone_(std::move(zone)), random_(seed) {}

void router::SetConfig(std::shared_ptr<const config::config_set> set) {
  set_ = std::move(set);
  Rebuild();
}

void router::SetVms(std::shared_ptr<const config::vm_list> vms) {
  vms_ = std::move(vms);
  Rebuild();
}

void router::Rebuild() {
  services_.clear();
  if (set_ == nullptr) return;
  RetainStates();
  if (vms_ == nullptr) return;
  for (const config::service& service : set_->Services()) {
    RebuildService(service);
  }
}

// Keeps the state of upstreams that are still in the set and drops all other
// state.
void router::RetainStates() {
  std::unordered_map<std::string, std::unique_ptr<upstream_state>> kept;
  for (const config::service& service : set_->Services()) {
    for (const config::upstream& upstream : service.upstreams) {
      auto& state = kept[upstream.name];
      auto found = states_.find(upstream.name);
      if (found != states_.end()) state = std::move(found->second);
      if (state == nullptr) state = std::make_unique<upstream_state>();
      state->service = service.name;
    }
  }
  states_ = std::move(kept);
}

void router::RebuildService(const config::service& service) {
  service_targets& targets = services_[service.name];
  for (const config::upstream& upstream : service.upstreams) {
    const config::vm* vm = vms_->Find(upstream.vm);
    if (vm == nullptr || vm->state != config::vm_state::kLive) continue;
    const config::zone* zone = set_->FindZone(vm->zone);
    if (zone == nullptr || zone->state != config::zone_state::kIn) continue;
    target entry;
    entry.upstream = &upstream;
    entry.state = states_[upstream.name].get();
    entry.name_hash = HashOf(upstream.name);
    entry.is_self = upstream.vm == members_->Self();
    targets.all.push_back(entry);
    if (vm->zone != zone_) continue;
    std::swap(targets.all[targets.near], targets.all.back());
    ++targets.near;
  }
}

bool router::IsEligible(const target& candidate, const query& query,
                        instant now) const {
  const upstream_state& state = *candidate.state;
  if (now < state.draining_until) return false;
  if (state.is_ejected && (state.is_probing || now < state.ejected_until)) {
    return false;
  }
  const std::string& name = candidate.upstream->name;
  for (const std::string& tried : query.exclude) {
    if (tried == name) return false;
  }
  return true;
}

bool router::IsReachable(const target& candidate, instant now) const {
  return candidate.is_self || members_->IsUsable(candidate.upstream->vm, now);
}

double router::Load(const target& candidate, instant now) const {
  const upstream_state& state = *candidate.state;
  const duration age = now - state.load_reported_at;
  const int limit = state.load.limit > 0 ? state.load.limit : kAssumedLimit;
  double calls = state.in_flight;
  if (age < kLoadDecayTime) {
    const double fresh = 1 - static_cast<double>(age.count()) /
                                 static_cast<double>(kLoadDecayTime.count());
    calls += fresh * (state.load.in_flight + state.load.queued);
  }
  return calls / limit;
}

// Returns a random usable upstream among the first `count`, other than `other`,
// or null. Links are checked only if `check_links`.
const router::target* router::Draw(const service_targets& targets,
                                   std::size_t count, const query& query,
                                   bool check_links, const target* other,
                                   instant now) {
  if (count == 0) return nullptr;
  const auto may_use = [&](const target& candidate) {
    return &candidate != other && IsEligible(candidate, query, now) &&
           (!check_links || IsReachable(candidate, now));
  };
  std::size_t index = 0;
  for (int i = 0; i < kMaxDraws; ++i) {
    index = random_() % count;
    if (may_use(targets.all[index])) return &targets.all[index];
  }
  for (std::size_t i = 0; i < count; ++i) {
    const target& candidate = targets.all[(index + i) % count];
    if (may_use(candidate)) return &candidate;
  }
  return nullptr;
}

const router::target* router::LessLoadedOfTwo(const service_targets& targets,
                                              std::size_t count,
                                              const query& query,
                                              bool check_links, instant now) {
  const target* first = Draw(targets, count, query, check_links, nullptr, now);
  if (first == nullptr || count == 1) return first;
  const target* second = Draw(targets, count, query, check_links, first, now);
  if (second == nullptr) return first;
  return Load(*second, now) < Load(*first, now) ? second : first;
}

// The link check is most of the cost of a pick in a large fleet, so it is done
// for the picked upstream only. If it fails, the pick is repeated with the
// check for each candidate.
const router::target* router::PickOfTwo(const service_targets& targets,
                                        std::size_t count, const query& query,
                                        instant now) {
  const target* picked = LessLoadedOfTwo(targets, count, query, false, now);
  if (picked == nullptr || IsReachable(*picked, now)) return picked;
  return LessLoadedOfTwo(targets, count, query, true, now);
}

bool router::StaysNear(double load) {
  if (load < kSpillStartLoad) return true;
  if (load >= kSpillEndLoad) return false;
  constexpr double kSteps = 1024;
  const double draw = static_cast<double>(random_() % 1024) / kSteps;
  return draw < (kSpillEndLoad - load) / (kSpillEndLoad - kSpillStartLoad);
}

const router::target* router::PickByAffinity(const service_targets& targets,
                                             const query& query,
                                             instant now) const {
  const std::uint64_t salt = HashOf(query.affinity);
  const target* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const target& candidate : targets.all) {
    const std::uint64_t weight =
        XXH64(&candidate.name_hash, sizeof(candidate.name_hash), salt);
    if (best != nullptr && weight <= best_weight) continue;
    if (!IsEligible(candidate, query, now)) continue;
    if (!IsReachable(candidate, now)) continue;
    best = &candidate;
    best_weight = weight;
  }
  return best;
}

const config::upstream* router::Pick(const query& query, instant now) {
  auto found = services_.find(query.service);
  if (found == services_.end()) return nullptr;
  const service_targets& targets = found->second;
  const target* picked = nullptr;
  if (!query.affinity.empty()) {
    picked = PickByAffinity(targets, query, now);
  } else {
    picked = PickOfTwo(targets, targets.near, query, now);
    if (picked == nullptr || !StaysNear(Load(*picked, now))) {
      const target* any_zone =
          PickOfTwo(targets, targets.all.size(), query, now);
      if (picked == nullptr ||
          (any_zone != nullptr && Load(*any_zone, now) < Load(*picked, now))) {
        picked = any_zone;
      }
    }
  }
  return picked == nullptr ? nullptr : picked->upstream;
}

void router::OnStart(const std::string& upstream) {
  auto found = states_.find(upstream);
  if (found == states_.end()) return;
  upstream_state& state = *found->second;
  ++state.in_flight;
  if (state.is_ejected) state.is_probing = true;
}

void router::OnOutcome(const std::string& upstream, outcome_kind outcome,
                       reason why, int http_status, const upstream_load* load,
                       instant now) {
  auto found = states_.find(upstream);
  if (found == states_.end()) return;
  upstream_state& state = *found->second;
  // If the upstream left the set and came back during the attempt, the new
  // state has not counted the attempt.
  state.in_flight = std::max(0, state.in_flight - 1);
  if (load != nullptr) {
    state.load = *load;
    state.load_reported_at = now;
  }
  const bool is_draining =
      why == reason::kStopping || (load != nullptr && load->limit == 0);
  if (is_draining) state.draining_until = now + kDrainTime;
  state.is_probing = false;
  switch (Classify(outcome, why, http_status)) {
    case evidence::kSuccess:
      state.failures = 0;
      state.ejections = 0;
      state.is_ejected = false;
      break;
    case evidence::kFailure:
      OnFailure(&state, now);
      break;
    case evidence::kNeutral:
      break;
  }
}

void router::OnFailure(upstream_state* state, instant now) {
  ++state->failures;
  if (state->is_ejected) {
    // Calls that started before the ejection don't extend it when they fail.
    if (now < state->ejected_until) return;
  } else if (state->failures < kFailuresToEject || !MayEject(state->service)) {
    return;
  }
  const duration ejection = kMinEjection * (1 << std::min(state->ejections, 4));
  state->is_ejected = true;
  state->ejected_until = now + std::min(ejection, kMaxEjection);
  ++state->ejections;
}

// Limits ejection to half of the upstreams of a service.
bool router::MayEject(const std::string& service) const {
  const config::service* found = set_->FindService(service);
  if (found == nullptr) return false;
  std::size_t ejected = 0;
  for (const config::upstream& upstream : found->upstreams) {
    if (states_.at(upstream.name)->is_ejected) ++ejected;
  }
  return 2 * (ejected + 1) <= found->upstreams.size();
}

std::string router::StateName(const config::upstream& upstream,
                              const upstream_state* state, instant now) const {
  const config::vm* vm = vms_ == nullptr ? nullptr : vms_->Find(upstream.vm);
  if (vm == nullptr) return "vm_not_listed";
  if (vm->state != config::vm_state::kLive) return "vm_leaving";
  const config::zone* zone = set_->FindZone(vm->zone);
  if (zone == nullptr || zone->state != config::zone_state::kIn) {
    return "zone_out";
  }
  if (upstream.vm != members_->Self() &&
      !members_->IsUsable(upstream.vm, now)) {
    return "daemon_unusable";
  }
  if (now < state->draining_until) return "draining";
  if (state->is_ejected) {
    return now < state->ejected_until ? "ejected" : "probing";
  }
  return "usable";
}

std::vector<router::view> router::View(const std::string& service,
                                       instant now) const {
  std::vector<view> result;
  if (set_ == nullptr) return result;
  for (const config::service& listed : set_->Services()) {
    if (!service.empty() && listed.name != service) continue;
    for (const config::upstream& upstream : listed.upstreams) {
      const upstream_state* state = states_.at(upstream.name).get();
      const config::vm* vm =
          vms_ == nullptr ? nullptr : vms_->Find(upstream.vm);
      view row;
      row.upstream = upstream.name;
      row.vm = upstream.vm;
      if (vm != nullptr) row.zone = vm->zone;
      row.state = StateName(upstream, state, now);
      row.in_flight = state->in_flight;
      row.load = state->load;
      result.push_back(std::move(row));
    }
  }
  return result;
}

}  // namespace pimentohall::core
