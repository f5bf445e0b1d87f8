#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

config::fault Fault(const std::string& field, const std::string& problem,
                    const std::string& fix) {
  return {"configuration", 0, field, problem, fix};
}

void CheckRoute(const configuration_parts& parts, const route& checked,
                config::faults* faults) {
  const std::string field = "routes/" + checked.name;
  const std::string& prefix = checked.path_prefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    faults->push_back(Fault(field, "prefix \"" + prefix + "\"",
                            "begin and end it with a slash"));
  }
  if (checked.parts.empty()) {
    faults->push_back(Fault(field, "no service", "name a service"));
  }
  double total = 0;
  for (const route_part& part : checked.parts) {
    total += part.weight;
    const bool known = std::any_of(parts.services.begin(), parts.services.end(),
                                   [&](const service& known_service) {
                                     return known_service.name == part.service;
                                   });
    if (!known) {
      faults->push_back(Fault(field, "unknown service " + part.service,
                              "add the service or correct the name"));
    }
    if (part.weight < 0) {
      faults->push_back(
          Fault(field, "weight below zero", "use a weight of 0 or more"));
    }
  }
  if (!checked.parts.empty() && total <= 0) {
    faults->push_back(
        Fault(field, "all weights are 0", "give one part a weight above 0"));
  }
  if (checked.max_attempts < 1) {
    faults->push_back(Fault(field, "no attempt allowed", "allow 1 or more"));
  }
}

}  // namespace

bool operator==(const route_part& a, const route_part& b) {
  return a.service == b.service && a.weight == b.weight;
}
bool operator==(const route& a, const route& b) {
  return a.name == b.name && a.host == b.host &&
         a.path_prefix == b.path_prefix && a.parts == b.parts &&
         a.idempotent == b.idempotent && a.timeout == b.timeout &&
         a.aim == b.aim && a.max_attempts == b.max_attempts &&
         a.priority == b.priority && a.open == b.open && a.regions == b.regions;
}
bool operator==(const service& a, const service& b) {
  return a.name == b.name && a.health_path == b.health_path &&
         a.max_connections == b.max_connections && a.warmup == b.warmup &&
         a.warmup_per_s == b.warmup_per_s;
}
bool operator==(const tenant& a, const tenant& b) {
  return a.name == b.name && a.key_digests == b.key_digests &&
         a.priority == b.priority && a.rate_per_s == b.rate_per_s &&
         a.burst == b.burst && a.regions == b.regions;
}
bool operator==(const caller_limits& a, const caller_limits& b) {
  return a.header_bytes == b.header_bytes && a.body_bytes == b.body_bytes &&
         a.header_timeout == b.header_timeout &&
         a.idle_timeout == b.idle_timeout;
}
bool operator==(const configuration_parts& a, const configuration_parts& b) {
  return a.version == b.version && a.routes == b.routes &&
         a.services == b.services && a.tenants == b.tenants &&
         a.limits == b.limits;
}

tl::expected<std::shared_ptr<const configuration>, config::faults>
configuration::Build(configuration_parts parts) {
  config::faults faults;
  auto built = std::make_shared<configuration>();
  built->parts_ = std::move(parts);
  const configuration_parts& all = built->parts_;
  for (const service& each : all.services) {
    if (!built->services_.emplace(each.name, &each).second) {
      faults.push_back(
          Fault("services/" + each.name, "duplicate name", "remove one"));
    }
  }
  std::set<std::pair<std::string, std::string>> prefixes;
  for (const route& each : all.routes) {
    CheckRoute(all, each, &faults);
    if (!prefixes.emplace(each.host, each.path_prefix).second) {
      faults.push_back(Fault("routes/" + each.name,
                             "same host and prefix as another route",
                             "remove one"));
    }
    built->by_host_[each.host].push_back(&each);
  }
  for (auto& [host, routes] : built->by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const route* a, const route* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const tenant& each : all.tenants) {
    if (!built->tenants_.emplace(each.name, &each).second) {
      faults.push_back(
          Fault("tenants/" + each.name, "duplicate name", "remove one"));
    }
    for (const std::string& digest : each.key_digests) {
      const auto added = built->by_key_.emplace(digest, &each);
      if (!added.second && added.first->second != &each) {
        faults.push_back(Fault("tenants/" + each.name,
                               "shares a key with " + added.first->second->name,
                               "give each tenant keys of its own"));
      }
    }
  }
  if (!faults.empty()) return tl::unexpected(std::move(faults));
  return std::shared_ptr<const configuration>(std::move(built));
}

const route* configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  const auto found = by_host_.find(name);
  if (found == by_host_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const route* each : found->second) {
    const std::string& prefix = each->path_prefix;
    if (path.compare(0, prefix.size(), prefix) == 0) return each;
  }
  return nullptr;
}

const service* configuration::FindService(std::string_view name) const {
  const auto found = services_.find(std::string(name));
  return found == services_.end() ? nullptr : found->second;
}

const tenant* configuration::FindTenant(std::string_view name) const {
  const auto found = tenants_.find(std::string(name));
  return found == tenants_.end() ? nullptr : found->second;
}

const tenant* configuration::FindTenantByKeyDigest(
    std::string_view digest) const {
  const auto found = by_key_.find(std::string(digest));
  return found == by_key_.end() ? nullptr : found->second;
}

const std::string& route_splitter::Pick(const route& split) {
  if (split.parts.size() == 1) return split.parts.front().service;
  state& wrr = states_[split.name];
  double total = 0;
  for (const route_part& part : split.parts) total += part.weight;
  if (wrr.parts != split.parts) {
    wrr.parts = split.parts;
    wrr.credit.assign(split.parts.size(), 0);
    // A random phase keeps the daemons from picking in lockstep.
    seed_ = seed_ * 6364136223846793005ULL + 1442695040888963407ULL;
    const double phase = static_cast<double>(seed_ >> 40) / (1U << 24);
    for (std::size_t i = 0; i < wrr.credit.size(); ++i) {
      wrr.credit[i] = (i == 0 ? 1 : -1) * phase * split.parts[i].weight / 2;
    }
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < wrr.credit.size(); ++i) {
    wrr.credit[i] += split.parts[i].weight;
    if (split.parts[i].weight > 0 && wrr.credit[i] > wrr.credit[best]) best = i;
  }
  wrr.credit[best] -= total;
  return split.parts[best].service;
}

bool configuration::LimitsDemand() const {
  return std::any_of(parts_.tenants.begin(), parts_.tenants.end(),
                     [](const tenant& each) { return each.rate_per_s > 0; });
}

}  // namespace pimentohall::mesh
