// Accounts what clients hold and selects those that have to go.
//
// A limit is reached rarely, so the selections scan all clients instead of
// keeping them ordered on each call.

#include <algorithm>
#include <utility>

#include "pimentohall/stream.h"

namespace pimentohall::stream {

bool operator==(const client_limits& a, const client_limits& b) {
  return a.connections == b.connections &&
         a.connections_per_address == b.connections_per_address &&
         a.bytes == b.bytes;
}

void client_budget::Open(client_id client, const std::string& address,
                         core::instant now) {
  holding& opened = clients_[client];
  opened.address = address;
  opened.since = now;
  opened.read_at = now;
  ++addresses_[address];
}

void client_budget::Close(client_id client) {
  const auto found = clients_.find(client);
  if (found == clients_.end()) return;
  bytes_ -= found->second.bytes;
  const auto address = addresses_.find(found->second.address);
  if (--address->second == 0) addresses_.erase(address);
  clients_.erase(found);
}

void client_budget::SetPhase(client_id client, client_phase phase,
                             core::instant now) {
  const auto found = clients_.find(client);
  if (found == clients_.end() || found->second.phase == phase) return;
  found->second.phase = phase;
  found->second.since = now;
}

void client_budget::SetBytes(client_id client, std::size_t held,
                             std::size_t unsent, core::instant now) {
  const auto found = clients_.find(client);
  if (found == clients_.end()) return;
  holding& updated = found->second;
  bytes_ += held - updated.bytes;
  updated.bytes = held;
  if (unsent == 0 || unsent < updated.unsent) updated.read_at = now;
  updated.unsent = unsent;
}

bool client_budget::IsFull() const {
  return limits_.connections > 0 && clients_.size() >= limits_.connections;
}

bool client_budget::IsFullFor(const std::string& address) const {
  if (limits_.connections_per_address == 0) return false;
  const auto found = addresses_.find(address);
  return found != addresses_.end() &&
         found->second >= limits_.connections_per_address;
}

bool client_budget::IsOverBytes() const {
  return limits_.bytes > 0 && bytes_ > limits_.bytes;
}

bool client_budget::IsCrowded() const {
  return limits_.bytes > 0 && bytes_ > limits_.bytes / 2;
}

std::optional<int> client_budget::CloseOrder(const holding& held,
                                             core::instant now) {
  if (held.phase == client_phase::kClosing) return 0;
  if (held.phase != client_phase::kInWork) return 1;
  const bool stalled = held.unsent > 0 && now - held.read_at >= kStallTimeout;
  return stalled ? std::optional<int>(2) : std::nullopt;
}

std::optional<client_budget::client_id> client_budget::SelectForConnection(
    const std::string& address, core::instant now) const {
  std::optional<client_id> selected;
  std::pair<int, core::instant> first;
  for (const auto& [client, held] : clients_) {
    if (!address.empty() && held.address != address) continue;
    const auto order = CloseOrder(held, now);
    if (!order) continue;
    const std::pair<int, core::instant> key(*order, held.since);
    if (selected && key >= first) continue;
    selected = client;
    first = key;
  }
  return selected;
}

std::optional<client_budget::client_id> client_budget::SelectForBytes(
    core::instant now) const {
  std::optional<client_id> selected;
  int first_order = 0;
  std::size_t most = 0;
  for (const auto& [client, held] : clients_) {
    const auto order = CloseOrder(held, now);
    if (!order) continue;
    // Closing clients hold little, so they aren't preferred here.
    const int rank = std::max(1, *order);
    const bool is_first = !selected || rank < first_order ||
                          (rank == first_order && held.bytes > most);
    if (!is_first) continue;
    selected = client;
    first_order = rank;
    most = held.bytes;
  }
  return selected;
}

}  // namespace pimentohall::stream
