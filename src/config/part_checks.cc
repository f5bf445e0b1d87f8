#include "config/part_checks.h"

#include "config/syntax.h"

namespace pimentohall::config {
namespace {

constexpr char kRename[] = "rename one of them; such names are unique in a set";

std::string ServicePart(const std::string& name) { return "services/" + name; }

std::string ElementPointer(const char* list, std::size_t index,
                           const char* field) {
  return std::string("/") + list + "/" + std::to_string(index) + "/" + field;
}

// Identifies the endpoint of an upstream. A loopback address is a different
// endpoint on each VM; any other address is the same endpoint on all VMs.
std::string EndpointOf(const upstream& upstream) {
  const std::string address = CanonicalAddress(upstream.address);
  const std::string host = IsLoopback(address) ? upstream.vm : "";
  return host + " " + address + " " + std::to_string(upstream.port);
}

class service_table_builder {
 public:
  service_table_builder(service_tables* tables, cross_faults* out)
      : tables_(tables), out_(out) {}

  void Add(const service& service) {
    tables_->by_name.emplace(service.name, &service);
    for (std::size_t i = 0; i < service.routes.size(); ++i) {
      AddRoute(service.routes[i], i);
    }
    for (std::size_t i = 0; i < service.upstreams.size(); ++i) {
      AddUpstream(service.upstreams[i], i);
    }
  }

 private:
  void AddRoute(const route& route, std::size_t index) {
    const std::string part = ServicePart(route.service);
    const auto [same_name, added] = tables_->routes.emplace(route.name, &route);
    if (!added) {
      out_->Add(part, ElementPointer("routes", index, "name"),
                "route name \"" + route.name + "\" is also used in " +
                    ServicePart(same_name->second->service),
                kRename);
    }
    const config::route* clash = tables_->route_paths.Add(route);
    if (clash != nullptr) {
      out_->Add(part, ElementPointer("routes", index, "path_prefix"),
                "route \"" + route.name + "\" matches the same calls as \"" +
                    clash->name + "\" in " + ServicePart(clash->service),
                "give them different path prefixes or methods");
    }
  }

  void AddUpstream(const upstream& upstream, std::size_t index) {
    const std::string part = ServicePart(upstream.service);
    const auto [same_name, added] =
        tables_->upstreams.emplace(upstream.name, &upstream);
    if (!added) {
      out_->Add(part, ElementPointer("upstreams", index, "name"),
                "upstream name \"" + upstream.name + "\" is also used in " +
                    ServicePart(same_name->second->service),
                kRename);
    }
    // If one process were listed as two upstreams, two daemons or limiters
    // would each use all of its slots.
    const auto [owner, inserted] =
        endpoints_.emplace(EndpointOf(upstream), &upstream);
    if (!inserted) {
      out_->Add(part, ElementPointer("upstreams", index, "port"),
                "upstream \"" + upstream.name +
                    "\" has the address and port of \"" + owner->second->name +
                    "\"",
                "list each back-end process once");
    }
  }

  service_tables* tables_;
  cross_faults* out_;
  std::unordered_map<std::string, const upstream*> endpoints_;
};

}  // namespace

void cross_faults::Add(const std::string& part, const std::string& field,
                       std::string problem, std::string fix) {
  if (faults_.size() >= kMaxFaults) return;
  const json_value* root = FindTree(part);
  const json_value* value = root == nullptr ? nullptr : FindValue(*root, field);
  const int line = value == nullptr ? 0 : value->line;
  AddFault({part, line, field, std::move(problem), std::move(fix)}, &faults_);
}

void cross_faults::AddAtText(const std::string& part, const std::string& field,
                             const std::string& text, std::string problem,
                             std::string fix) {
  std::string element = field;
  const json_value* root = FindTree(part);
  const json_value* list = root == nullptr ? nullptr : FindValue(*root, field);
  const std::size_t size = list == nullptr ? 0 : list->children.size();
  for (std::size_t i = 0; i < size; ++i) {
    if (list->children[i].text == text) {
      element = AppendToPointer(field, std::to_string(i));
    }
  }
  Add(part, element, std::move(problem), std::move(fix));
}

const json_value* cross_faults::FindTree(const std::string& part) {
  if (part != cached_part_) {
    cached_part_ = part;
    cached_tree_.reset();
    for (const part_ref& ref : manifest_->parts) {
      const auto bytes = parts_->find(ref.sha256);
      if (ref.name != part || bytes == parts_->end()) continue;
      auto parsed = ParseJsonText(bytes->second);
      if (parsed) cached_tree_ = std::move(*parsed);
    }
  }
  return cached_tree_ ? &*cached_tree_ : nullptr;
}

std::shared_ptr<const service_tables> BuildServiceTables(
    const shared_list<service>& services, cross_faults* out) {
  auto tables = std::make_shared<service_tables>();
  tables->services = services;
  service_table_builder builder(tables.get(), out);
  for (const service& service : services) builder.Add(service);
  return tables;
}

std::shared_ptr<const organisation_tables> BuildOrganisationTables(
    const shared_list<organisation>& organisations, cross_faults* out) {
  auto tables = std::make_shared<organisation_tables>();
  tables->organisations = organisations;
  for (std::size_t position = 0; position < organisations.size(); ++position) {
    const organisation& organisation = organisations[position];
    tables->by_name.emplace(organisation.name, position);
    for (std::size_t i = 0; i < organisation.keys.size(); ++i) {
      const key_digest& key = organisation.keys[i];
      const auto [owner, added] =
          tables->by_key_digest.emplace(key.sha256, position);
      if (added) continue;
      out->Add("organisations/" + organisation.name,
               ElementPointer("keys", i, "sha256"),
               "key \"" + key.id + "\" also belongs to organisations/" +
                   organisations[owner->second].name,
               "make a new key for one of them");
    }
  }
  return tables;
}

void CheckContract(const organisation& organisation,
                   const service_tables& tables, cross_faults* out) {
  for (const std::string& route : organisation.limits.routes) {
    if (route == "*" || tables.routes.count(route) != 0) continue;
    out->AddAtText("organisations/" + organisation.name, "/contract/routes",
                   route, "no service has a route \"" + route + "\"",
                   "add the route or remove it from the contract");
  }
}

}  // namespace pimentohall::config
