#ifndef PIMENTOHALL_NODE_FLEET_STATE_H_
#define PIMENTOHALL_NODE_FLEET_STATE_H_

// State shared by the parts of one daemon: the event loop, the adapter and the
// daemon's view of the fleet. Only the node updates what comes from the source;
// ingress and egress read it and add what they observe from calls.

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>

#include "node/node_metrics.h"
#include "pimentohall/mesh.h"
#include "pimentohall/node.h"

namespace pimentohall::node {

struct fleet_state {
  fleet_state(net::event_loop& loop_used, net::timer_service& timers_used,
              node_settings settings_used, const call_dialect& dialect_used,
              std::uint32_t own_boot)
      : loop(loop_used),
        timers(timers_used),
        settings(std::move(settings_used)),
        dialect(dialect_used),
        boot(own_boot),
        started_at(loop_used.Now()),
        splitter(own_boot),
        peers(settings.peers.address, own_boot),
        allotments(started_at),
        retries(settings.retries, started_at),
        picker(own_boot) {}

  net::event_loop& loop;
  net::timer_service& timers;
  node_settings settings;
  const call_dialect& dialect;
  const std::uint32_t boot;
  const instant started_at;

  // The configuration in force; null: none received yet.
  std::shared_ptr<const mesh::configuration> config;
  instant config_at{};  // When `config` came into force.
  mesh::route_splitter splitter;
  mesh::directory directory;
  instant directory_at{};                              // Last change.
  std::map<std::string, std::string> zone_of_address;  // From the directory.
  mesh::peer_table peers;
  mesh::allotment_table allotments;
  mesh::retry_budget retries;
  mesh::target_picker picker;
  // Typical duration of calls by route, over the fleet.
  mesh::time_estimator typical;
  // Cost of calls, for cost routing: those that the upstream of this VM ran,
  // and those that this daemon sent to others.
  sched::cost_predictor costs;
  // Bytes that the calls of a route carry.
  mesh::size_estimator carried;
  // Of all calls of this daemon.
  std::shared_ptr<std::size_t> buffered_request_bytes =
      std::make_shared<std::size_t>(0);

  // The typical duration of a call on this route. Until a call was measured, it
  // is estimated from the route's aim.
  duration TypicalTime(const mesh::route& route) const {
    constexpr int kAimDivisor = 4;
    return typical.Expect(route.name, route.aim / kAimDivisor, loop.Now());
  }
  node_metrics metrics;
  bool stopping = false;
  // When a planned stop ends the process, whatever is still pending.
  instant stop_ends_at = instant::max();
  // When calls that are pending by then are answered.
  instant final_answers_at = instant::max();
  // Of the callers' calls, for overload control.
  sched::admission_gate gate;
  sched::return_pacer pacer;
  sched::budget_history budgets;
  // Deadlines of the runs of this VM's upstream.
  std::unordered_map<std::uint64_t, instant> run_deadlines;
  sched::nested_routes nested_routes;
  // Time left to the run with the latest deadline; none: no run is open.
  std::optional<duration> LongestRun(instant now) const {
    std::optional<duration> longest;
    for (const auto& [run, deadline] : run_deadlines) {
      longest = std::max(longest.value_or(duration{0}), deadline - now);
    }
    return longest;
  }
  // The repeats among the runs of this VM's upstream.
  mesh::repeat_ascriber repeats;
  // The calls that the runs of this VM's upstream make.
  sched::call_tree call_tree;
  // What the runs of each route need, as other daemons report it.
  sched::need_table needs;
  sched::callee_gate callees;

  bool UsesOverloadControl() const {
    return config &&
           sched::IsEnabled(settings.overload_control, config->LimitsDemand());
  }
  bool UsesCostRouting() const {
    return config &&
           sched::IsEnabled(settings.cost_routing, config->LimitsDemand());
  }

  // Takes in what the daemon beside an upstream of `service` reports; empty:
  // the service isn't known.
  void OnLoad(const std::string& service, const mesh::load_news& load) {
    picker.OnNews(load, loop.Now());
    if (service.empty()) return;
    gate.OnReport(service, load.upstream, load.rank_limit, loop.Now());
  }

  // Started clearly before this daemon. Those that start together, such as the
  // whole fleet, aren't ordered.
  bool IsElder(const mesh::peer_table::peer& peer, instant now) const {
    constexpr duration kClearly = std::chrono::seconds(1);
    const duration uptime =
        std::chrono::milliseconds(peer.uptime_ms) + (now - peer.heard_at);
    return uptime > now - started_at + kClearly;
  }

  bool HearsElder(instant now) const {
    const auto& known = peers.Peers();
    return std::any_of(known.begin(), known.end(), [&](const auto& each) {
      return peers.IsHeard(each.first, now) && IsElder(each.second, now);
    });
  }

  // The availability zone of the VM with this address; empty: not known.
  std::string ZoneOf(const std::string& address) const {
    const auto found = zone_of_address.find(address);
    return found == zone_of_address.end() ? "" : found->second;
  }

  // In another availability zone than this daemon, as far as known.
  bool IsFar(const std::string& address) const {
    return ZoneOf(address) != settings.zone;
  }

  // Where the daemon on the VM with this address accepts calls of other
  // daemons.
  net::endpoint PeerEndpoint(const std::string& address) const {
    return {address, settings.peers.port};
  }
};

// Milliseconds as text for log fields.
std::string MsText(duration time);
// An area's name in logs, metrics and state.
const char* AreaName(source_area area);

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_FLEET_STATE_H_
