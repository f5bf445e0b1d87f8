#ifndef PIMENTOHALL_CONFIG_SET_DATA_H_
#define PIMENTOHALL_CONFIG_SET_DATA_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "config/route_table.h"
#include "pimentohall/config.h"

namespace pimentohall::config {

// One verified part. Sets that list the same part share it.
struct parsed_part {
  part_ref ref;
  std::variant<std::vector<zone>, service, organisation> content;
};
using shared_part = std::shared_ptr<const parsed_part>;

// Lookup tables over the services. They keep the services alive.
struct service_tables {
  shared_list<service> services;
  std::unordered_map<std::string_view, const service*> by_name;
  std::unordered_map<std::string_view, const upstream*> upstreams;
  std::unordered_map<std::string_view, const route*> routes;
  route_table route_paths;
};

// Compares in a time that depends only on the lengths, so that the time taken
// to refuse a key reveals nothing about the digests in the table.
struct constant_time_equal {
  bool operator()(std::string_view a, std::string_view b) const {
    return ConstantTimeEquals(a, b);
  }
};

// Lookup tables over the organisations. The values are positions in the list of
// organisations, which is sorted by name. The tables hold no contracts, so sets
// that differ only in contracts share them. `organisations` owns the texts that
// the keys of the tables refer to.
struct organisation_tables {
  shared_list<organisation> organisations;
  std::unordered_map<std::string_view, std::size_t> by_name;
  std::unordered_map<std::string_view, std::size_t, std::hash<std::string_view>,
                     constant_time_equal>
      by_key_digest;
};

struct config_set::data {
  std::uint64_t version = 0;
  std::string digest;
  std::vector<shared_part> parts;  // Sorted by name.
  std::shared_ptr<const std::vector<zone>> zones;
  std::unordered_map<std::string_view, const zone*> zones_by_name;
  shared_list<service> services;
  shared_list<organisation> organisations;
  // The lookup tables over `services` and over `organisations`.
  std::shared_ptr<const service_tables> by_service;
  std::shared_ptr<const organisation_tables> by_organisation;
};

// Gives `AssembleSet` access to the private data of sets. No other code uses
// it.
struct set_builder {
  using set_data = config_set::data;
  static const set_data& Data(const config_set& set) { return *set.data_; }
  static config_set Make(std::shared_ptr<const set_data> data) {
    config_set set;
    set.data_ = std::move(data);
    return set;
  }
};

}  // namespace pimentohall::config

#endif  // PIMENTOHALL_CONFIG_SET_DATA_H_
