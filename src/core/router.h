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

// Picks the upstream for an attempt by the outcomes and loads of earlier
// attempts:
//
//   const config::upstream* upstream = router.Pick({service, tried, ""}, now);
//   if (upstream == nullptr) refuse;
//   router.OnStart(upstream->name);
//   ...
//   router.OnOutcome(upstream->name, outcome, why, status, &load, now);
//
// Every OnStart must be followed by one OnOutcome.
//
// The upstreams of each service are kept in tables that are rebuilt when the
// configuration set or the VM list changes. Pick draws two of them at random
// and returns the less loaded one, so its cost does not grow with the number of
// upstreams, unless most of them are unusable or `affinity` is given.
class router {
 public:
  // Consecutive failures that eject an upstream, and the bounds of the time
  // until its probe. The time doubles with each further ejection.
  static constexpr int kFailuresToEject = 5;
  static constexpr duration kMinEjection = std::chrono::seconds(5);
  static constexpr duration kMaxEjection = std::chrono::seconds(60);
  // From this load on, an upstream in this zone is not preferred to one in
  // another zone.
  static constexpr double kSpillEndLoad = 0.8;
  // Below this load an upstream in this zone is always preferred. Between the
  // two loads the share of calls that stay in the zone falls linearly, so that
  // many daemons with the same outdated load report don't all send to one near
  // upstream.
  static constexpr double kSpillStartLoad = 0.5;
  // A reported load decays linearly to zero in this time, so that an upstream
  // that reported itself full is tried again.
  static constexpr duration kLoadDecayTime = std::chrono::seconds(2);
  // An upstream that reported that it is draining gets no calls for this long.
  static constexpr duration kDrainTime = std::chrono::seconds(10);

  // `members` must outlive this object. `zone` is the zone of this daemon.
  router(const membership* members, std::string zone, std::uint64_t seed);

  void SetConfig(std::shared_ptr<const config::config_set> set);
  void SetVms(std::shared_ptr<const config::vm_list> vms);

  struct query {
    std::string service;
    // Names of upstreams that this call has already tried.
    std::vector<std::string> exclude;
    // If not empty, the usable upstream that rendezvous hashing ranks first for
    // this key is picked.
    std::string affinity;
  };
  // Returns null if no upstream is usable. The pointer is valid as long as the
  // configuration set.
  const config::upstream* Pick(const query& query, instant now);

  void OnStart(const std::string& upstream);
  // `load` is null if the outcome came without a load report. A load with limit
  // 0 means that the upstream accepts no calls: it is draining or its daemon is
  // stopping, or the daemon does not know the upstream.
  void OnOutcome(const std::string& upstream, outcome_kind outcome, reason why,
                 int http_status, const upstream_load* load, instant now);

  struct view {
    std::string upstream;
    std::string vm;
    std::string zone;
    // "usable", or the reason why not: "zone_out", "ejected", ...
    std::string state;
    int in_flight = 0;  // Attempts from this daemon.
    upstream_load load;
  };
  // Returns the state of every upstream of `service`, or of all services if it
  // is empty.
  std::vector<view> View(const std::string& service, instant now) const;

 private:
  struct upstream_state {
    std::string service;
    int in_flight = 0;
    upstream_load load;
    instant load_reported_at{};
    int failures = 0;   // Consecutive.
    int ejections = 0;  // Since the last success.
    // Set while ejected and until the probe call after it succeeds.
    bool is_ejected = false;
    bool is_probing = false;  // The probe call is in flight.
    instant ejected_until{};
    instant draining_until{};
  };
  struct target {
    const config::upstream* upstream = nullptr;
    upstream_state* state = nullptr;
    std::uint64_t name_hash = 0;
    bool is_self = false;
  };
  // The upstreams of one service whose VM is live and whose zone is in.
  struct service_targets {
    std::vector<target> all;  // Those in this daemon's zone come first.
    std::size_t near = 0;     // Number of those in this daemon's zone.
  };

  void Rebuild();
  void RebuildService(const config::service& service);
  void RetainStates();
  // Checks what this router tracks itself: draining, ejection and the query's
  // exclusions.
  bool IsEligible(const target& candidate, const query& query,
                  instant now) const;
  bool IsReachable(const target& candidate, instant now) const;
  // Calls in flight and queued, relative to the upstream's limit.
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
  // Decides at random, by the load of the near upstream, whether a call stays
  // in this zone.
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
