#include <algorithm>

#include "config/set_data.h"
#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

template <typename M>
typename M::mapped_type FindPointer(const M& map, std::string_view name) {
  const auto found = map.find(name);
  return found == map.end() ? nullptr : found->second;
}

template <typename M>
const organisation* FindAt(const shared_list<organisation>& list,
                           const M& positions, std::string_view key) {
  const auto found = positions.find(key);
  return found == positions.end() ? nullptr : &list[found->second];
}

}  // namespace

config_set::config_set() {
  static const std::shared_ptr<const data> kEmpty = [] {
    auto empty = std::make_shared<data>();
    empty->zones = std::make_shared<std::vector<zone>>();
    empty->by_service = std::make_shared<service_tables>();
    empty->by_organisation = std::make_shared<organisation_tables>();
    return empty;
  }();
  data_ = kEmpty;
}

// Copies only: a moved-from set would have no data.
config_set::config_set(const config_set&) = default;
config_set& config_set::operator=(const config_set&) = default;
config_set::~config_set() = default;

std::uint64_t config_set::Version() const { return data_->version; }
const std::string& config_set::Digest() const { return data_->digest; }

const std::vector<zone>& config_set::Zones() const { return *data_->zones; }

const shared_list<service>& config_set::Services() const {
  return data_->services;
}

const shared_list<organisation>& config_set::Organisations() const {
  return data_->organisations;
}

const zone* config_set::FindZone(std::string_view name) const {
  return FindPointer(data_->zones_by_name, name);
}

const service* config_set::FindService(std::string_view name) const {
  return FindPointer(data_->by_service->by_name, name);
}

const organisation* config_set::FindOrganisation(std::string_view name) const {
  return FindAt(data_->organisations, data_->by_organisation->by_name, name);
}

const upstream* config_set::FindUpstream(std::string_view name) const {
  return FindPointer(data_->by_service->upstreams, name);
}

const route* config_set::FindRouteByName(std::string_view name) const {
  return FindPointer(data_->by_service->routes, name);
}

const route* config_set::FindRoute(std::string_view method,
                                   std::string_view path) const {
  return data_->by_service->route_paths.Find(method, path);
}

const organisation* config_set::FindByKeyDigest(std::string_view sha256) const {
  return FindAt(data_->organisations, data_->by_organisation->by_key_digest,
                sha256);
}

bool config_set::Allows(const organisation& organisation,
                        std::string_view route_name) const {
  const std::vector<std::string>& routes = organisation.limits.routes;
  // "*" sorts before every name.
  if (!routes.empty() && routes.front() == "*") return true;
  return std::binary_search(routes.begin(), routes.end(), route_name);
}

// The digest covers the manifest, which covers every part.
bool operator==(const config_set& a, const config_set& b) {
  return a.data_ == b.data_ ||
         (a.Version() == b.Version() && a.Digest() == b.Digest());
}

}  // namespace pimentohall::config
