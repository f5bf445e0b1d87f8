// Divides the VM's memory and descriptors among the listeners.
//
// A caller's call holds a descriptor here and one of a link to another daemon,
// so both have the same share. The shares of the listeners and of links add up
// to 0.81; the rest is reserved for the upstream and the source, so that
// clients can't cut the daemon off from them.

#include <algorithm>

#include "pimentohall/node.h"

namespace pimentohall::node {
namespace {

struct listener_share {
  listener_kind kind;
  double descriptors;
  double descriptors_of_one_address;  // Of the listener's; 0: no limit.
  double memory;
};

// Callers share few addresses, so one address isn't limited there.
constexpr listener_share kShares[] = {
    {listener_kind::kCallers, 0.25, 0, 0.30},
    {listener_kind::kPeers, 0.25, 0.75, 0.20},
    {listener_kind::kPages, 0.03, 0, 0.03},
};
constexpr double kLinkShare = 0.25;
constexpr std::size_t kMinConnections = 8;
// Of what a daemon accepts from one address. The rest is for the exchange of
// the source's items and for links that the peer hasn't seen closed yet.
constexpr double kCallShareOfPeer = 0.6;
constexpr double kQueryShareOfPeer = 0.2;
constexpr int kMaxLinksPerPeer = 300;
constexpr int kMaxQueryLinksPerPeer = 100;
constexpr double kBytesPerMb = 1024 * 1024;

int LinksPerPeer(const node_settings& settings, double share, int most) {
  const stream::client_limits accepted =
      ClientLimitsFor(listener_kind::kPeers, settings);
  const auto links = static_cast<int>(
      static_cast<double>(accepted.connections_per_address) * share);
  return std::clamp(links, 1, most);
}

}  // namespace

stream::client_limits ClientLimitsFor(listener_kind kind,
                                      const node_settings& settings) {
  const listener_share& share =
      *std::find_if(std::begin(kShares), std::end(kShares),
                    [kind](const auto& each) { return each.kind == kind; });
  const auto portion = [](double of, double part) {
    return static_cast<std::size_t>(of * part);
  };
  stream::client_limits limits;
  limits.connections = std::max(
      kMinConnections, portion(static_cast<double>(settings.max_descriptors),
                               share.descriptors));
  limits.connections_per_address =
      portion(static_cast<double>(limits.connections),
              share.descriptors_of_one_address);
  limits.bytes = portion(static_cast<double>(settings.memory_mb) * kBytesPerMb,
                         share.memory);
  return limits;
}

std::size_t MaxLinks(const node_settings& settings) {
  return static_cast<std::size_t>(
      static_cast<double>(settings.max_descriptors) * kLinkShare);
}

int MaxLinksPerPeer(const node_settings& settings) {
  return LinksPerPeer(settings, kCallShareOfPeer, kMaxLinksPerPeer);
}

int MaxQueryLinksPerPeer(const node_settings& settings) {
  return LinksPerPeer(settings, kQueryShareOfPeer, kMaxQueryLinksPerPeer);
}

}  // namespace pimentohall::node
