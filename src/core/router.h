#ifndef PIMENTOHALL_CORE_ROUTER_H_
#define PIMENTOHALL_CORE_ROUTER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/membership.h"
#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Picks the upstream for an attempt, from in-band evidence.
class router {
 public:
  // `members` must outlive this object. `zone` is this daemon's own.
  router(const membership* members, std::string zone, std::uint64_t seed);

  void SetConfig(std::shared_ptr<const config::config_set> set);
  void SetVms(std::shared_ptr<const config::vm_list> vms);

  struct query {
    std::string service;
    // Names of upstreams that this call has already tried.
    std::vector<std::string> exclude;
    // Not empty: prefer the upstream ranked first by rendezvous hashing on it.
    std::string affinity;
  };
  // Null if no upstream is usable. The pointer lives as long as the set.
  const config::upstream* Pick(const query& query, instant now);

  void OnStart(const std::string& upstream);
  // `load` is null if the outcome came without one.
  void OnOutcome(const std::string& upstream, outcome_kind outcome, reason why,
                 int http_status, const upstream_load* load, instant now);

  struct view {
    std::string upstream;
    std::string vm;
    std::string zone;
    std::string state;  // "usable", or why not: "zone_out", "ejected", ...
    int in_flight = 0;  // From this daemon.
    upstream_load load;
  };
  // State of every upstream of a service (empty: of all services).
  std::vector<view> View(const std::string& service, instant now) const;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_ROUTER_H_
