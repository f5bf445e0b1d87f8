// Which connections are closed when clients hold too much. Guards against a
// crowd that ends the daemon by its memory or its descriptors, and against
// closing clients whose requests are in work.

#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "pimentohall/node.h"
#include "pimentohall/stream.h"

namespace pimentohall::stream {
namespace {

using std::chrono::milliseconds;

constexpr core::instant kStart{std::chrono::seconds(100)};

struct client_row {
  client_phase phase;
  int since_ms;
  std::size_t bytes;
  std::size_t unsent;
};

TEST_CASE("client_budget selects the client to close") {
  struct row {
    const char* what;
    std::vector<client_row> clients;
    int for_connection;  // Index; -1: none.
    int for_bytes;
  };
  constexpr client_phase kClosing = client_phase::kClosing;
  constexpr client_phase kWaiting = client_phase::kWaiting;
  constexpr client_phase kReceiving = client_phase::kReceiving;
  constexpr client_phase kInWork = client_phase::kInWork;
  const row rows[] = {
      {"no client", {}, -1, -1},
      {"in work only", {{kInWork, 0, 900, 0}, {kInWork, 1, 10, 0}}, -1, -1},
      {"the one that waits longest, the one that holds most",
       {{kWaiting, 20, 10, 0}, {kWaiting, 10, 20, 0}, {kWaiting, 30, 30, 0}},
       1,
       2},
      {"closing before waiting",
       {{kWaiting, 0, 50, 0}, {kClosing, 40, 10, 0}},
       1,
       0},
      {"receiving counts like waiting",
       {{kReceiving, 5, 50, 0}, {kWaiting, 9, 10, 0}},
       0,
       0},
      {"in work and stalled goes last",
       {{kInWork, 0, 900, 500}, {kWaiting, 50, 10, 0}},
       1,
       1},
      {"in work and stalled goes if there is no other",
       {{kInWork, 0, 900, 500}, {kInWork, 0, 950, 0}},
       0,
       0},
  };
  for (const row& each : rows) {
    CAPTURE(each.what);
    client_budget budget({0, 0, 1});
    for (const client_row& client : each.clients) {
      const core::instant since = kStart + milliseconds(client.since_ms);
      budget.Open(&client, "10.0.0.1", kStart);
      // The phase begins when it differs from the one before.
      budget.SetPhase(&client, client.phase == kWaiting ? kReceiving : kWaiting,
                      kStart);
      budget.SetPhase(&client, client.phase, since);
      budget.SetBytes(&client, client.bytes, client.unsent, kStart);
    }
    const core::instant now = kStart + std::chrono::seconds(2);
    const auto index = [&each](const auto& selected) {
      if (!selected) return -1;
      return static_cast<int>(static_cast<const client_row*>(*selected) -
                              each.clients.data());
    };
    CHECK(index(budget.SelectForConnection({}, now)) == each.for_connection);
    CHECK(index(budget.SelectForBytes(now)) == each.for_bytes);
  }
}

TEST_CASE("client_budget: a client that reads again is no longer stalled") {
  client_budget budget({0, 0, 1});
  const int client = 0;
  budget.Open(&client, "10.0.0.1", kStart);
  budget.SetPhase(&client, client_phase::kInWork, kStart);
  budget.SetBytes(&client, 100, 100, kStart);
  const core::instant later = kStart + client_budget::kStallTimeout;
  CHECK(budget.SelectForBytes(later));
  budget.SetBytes(&client, 90, 90, later);
  CHECK_FALSE(budget.SelectForBytes(later));
}

TEST_CASE("client_budget: connections of an address are limited apart") {
  client_budget budget({3, 2, 0});
  const int clients[3] = {};
  budget.Open(&clients[0], "10.0.0.1", kStart);
  budget.Open(&clients[1], "10.0.0.1", kStart + milliseconds(1));
  CHECK(budget.IsFullFor("10.0.0.1"));
  CHECK_FALSE(budget.IsFullFor("10.0.0.2"));
  CHECK_FALSE(budget.IsFull());
  budget.Open(&clients[2], "10.0.0.2", kStart - milliseconds(1));
  CHECK(budget.IsFull());
  CHECK(*budget.SelectForConnection("10.0.0.1", kStart) == &clients[0]);
  CHECK(*budget.SelectForConnection({}, kStart) == &clients[2]);
  budget.Close(&clients[0]);
  CHECK_FALSE(budget.IsFullFor("10.0.0.1"));
  CHECK_FALSE(budget.IsFull());
}

// Random changes against sums that are computed anew.
TEST_CASE("client_budget accounts every change") {
  std::mt19937 random(7);
  client_budget budget({0, 0, 4000});
  std::vector<int> names(20);
  std::map<const int*, std::size_t> oracle;
  for (int step = 0; step < 5000; ++step) {
    const int* const client = &names[random() % names.size()];
    const std::size_t bytes = random() % 1000;
    if (oracle.count(client) == 0) {
      budget.Open(client, "10.0.0.1", kStart);
      oracle[client] = 0;
    } else if (random() % 4 == 0) {
      budget.Close(client);
      oracle.erase(client);
    } else {
      budget.SetBytes(client, bytes, 0, kStart);
      oracle[client] = bytes;
    }
    std::size_t total = 0;
    for (const auto& [name, held] : oracle) total += held;
    REQUIRE(budget.Bytes() == total);
    REQUIRE(budget.Connections() == oracle.size());
    REQUIRE(budget.IsOverBytes() == (total > 4000));
    REQUIRE(budget.IsCrowded() == (total > 2000));
  }
}

TEST_CASE("the limits of all listeners leave a reserve of descriptors") {
  node::node_settings settings;
  for (const std::size_t descriptors : {256, 1024, 4100, 8192}) {
    settings.max_descriptors = descriptors;
    std::size_t most = node::MaxLinks(settings);
    std::size_t bytes = 0;
    for (const auto kind :
         {node::listener_kind::kCallers, node::listener_kind::kPeers,
          node::listener_kind::kPages, node::listener_kind::kPages}) {
      const client_limits limits = node::ClientLimitsFor(kind, settings);
      most += limits.connections;
      bytes += limits.bytes;
    }
    CHECK(most <= descriptors * 9 / 10);
    CHECK(bytes <= settings.memory_mb * 1024 * 1024 * 6 / 10);
  }
}

}  // namespace
}  // namespace pimentohall::stream
