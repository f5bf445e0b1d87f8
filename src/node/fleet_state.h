#ifndef PIMENTOHALL_NODE_FLEET_STATE_H_
#define PIMENTOHALL_NODE_FLEET_STATE_H_

// What the parts of one daemon share: the loop, the adapter and what the
// daemon believes of the fleet. Only the node changes the beliefs about the
// source; ingress and egress read them and feed back what calls show.

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
        retries(settings.retries),
        picker(own_boot) {}

  net::event_loop& loop;
  net::timer_service& timers;
  node_settings settings;
  const call_dialect& dialect;
  const std::uint32_t boot;
  const instant started_at;

  std::shared_ptr<const mesh::configuration> config;  // Null: none known yet.
  instant config_at{};
  mesh::route_splitter splitter;
  mesh::directory directory;
  instant directory_at{};                              // Last change.
  std::map<std::string, std::string> zone_of_address;  // From the directory.
  mesh::peer_table peers;
  mesh::allotment_table allotments;
  mesh::retry_budget retries;
  mesh::target_picker picker;
  // Usual time of calls by route, over the fleet.
  mesh::time_estimator typical;

  // The usual time of a call on this route. Before any was measured, the aim
  // tells its size.
  duration TypicalTime(const mesh::route& of) const {
    constexpr int kAimParts = 4;
    return typical.Expect(of.name, of.aim / kAimParts, loop.Now());
  }
  node_metrics metrics;
  bool stopping = false;
  // Share of the calls running at this VM's upstream that are repeats.
  double repeat_share = 0;

  // The availability zone of the VM with this address; empty: not known.
  std::string ZoneOf(const std::string& address) const {
    const auto found = zone_of_address.find(address);
    return found == zone_of_address.end() ? "" : found->second;
  }

  // The address at which the daemon on this VM takes calls of others.
  net::endpoint PeerEndpoint(const std::string& address) const {
    return {address, settings.peers.port};
  }
};

// Milliseconds as text for log fields.
std::string MsText(duration of);

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_FLEET_STATE_H_
