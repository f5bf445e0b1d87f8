#ifndef PIMENTOHALL_CORE_ROUTER_H_
#define PIMENTOHALL_CORE_ROUTER_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/membership.h"
#include "pimentohall/config.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Picks the upstream for an attempt, from in-band evidence:
//
//   const config::upstream* upstream = router.Pick({service, tried, ""}, now);
//   if (upstream == nullptr) refuse;
//   router.OnStart(upstream->name);
//   ...
//   router.OnOutcome(upstream->name, outcome, why, status, &load, now);
//
// Every OnStart must be followed by one OnOutcome.
//
// The upstreams of a service are kept in tables that are built when the set or
// the VM list changes. Pick draws two of them at random and takes the less
// loaded one, so its cost does not grow with the number of upstreams, unless
// most of them are unusable or `affinity` is given.
class router {
 public:
  // Failures in a row that eject an upstream, and the time until its probe.
  static constexpr int kFailuresToEject = 5;
  static constexpr duration kMinEjection = std::chrono::seconds(5);
  static constexpr duration kMaxEjection = std::chrono::seconds(60);
  // A near upstream with this load is no better than a far one.
  static constexpr double kNearLoad = 0.8;
  // Below this load the near upstream always goes first. In between, the
  // share of calls that stay near falls evenly, so that many daemons with the
  // same late report don't all send to one near upstream.
  static constexpr double kNearLoadAlways = 0.5;
  // Time in which a reported load fades, so that an upstream that looked full
  // is tried again.
  static constexpr duration kLoadFades = std::chrono::seconds(2);
  // An upstream that said that it drains is left out this long.
  static constexpr duration kDraining = std::chrono::seconds(10);

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
  // `load` is null if the outcome came without one. A load with limit 0 says
  // that the upstream takes no calls.
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

 private:
  struct upstream_state {
    std::string service;
    int in_flight = 0;
    upstream_load load;
    instant load_at{};
    int failures = 0;  // In a row.
    int ejections = 0;
    // Set while ejected and until the probe call after it succeeds.
    bool is_ejected = false;
    bool is_probing = false;  // The probe call runs.
    instant ejected_until{};
    instant draining_until{};
  };
  struct target {
    const config::upstream* upstream = nullptr;
    upstream_state* state = nullptr;
    std::uint64_t name_hash = 0;
    bool is_self = false;
  };
  // The listed upstreams of one service in zones that are in service.
  struct service_targets {
    std::vector<target> all;  // The near ones first.
    std::size_t near = 0;
  };

  void Rebuild();
  void RebuildService(const config::service& service);
  void KeepStates();
  // What the router knows itself; cheap.
  bool IsOpen(const target& candidate, const query& query, instant now) const;
  bool IsReachable(const target& candidate, instant now) const;
  double Load(const target& candidate, instant now) const;
  const target* PickOfTwo(const service_targets& targets, std::size_t count,
                          const query& query, instant now);
  const target* LessLoadedOfTwo(const service_targets& targets,
                                std::size_t count, const query& query,
                                bool check_links, instant now);
  const target* Draw(const service_targets& targets, std::size_t count,
                     const query& query, bool check_links, const target* other,
                     instant now);
  const target* PickByAffinity(const service_targets& targets,
                               const query& query, instant now) const;
  bool StaysNear(double load);
  void OnFailure(upstream_state* state, instant now);
  bool MayEject(const std::string& service) const;
  std::string StateName(const config::upstream& upstream,
                        const upstream_state* state, instant now) const;

  const membership* members_;
  std::string zone_;
  std::mt19937_64 random_;
  std::shared_ptr<const config::config_set> set_;
  std::shared_ptr<const config::vm_list> vms_;
  std::unordered_map<std::string, std::unique_ptr<upstream_state>> states_;
  std::unordered_map<std::string, service_targets> services_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_ROUTER_H_
