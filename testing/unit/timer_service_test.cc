#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>

#include "net_harness.h"

namespace pimentohall::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int ConnectBlocking(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  return fd;
}

// Guards against timers that run out of order or early.
TEST_CASE("timers run in order of due time and not before it") {
  net_harness net;
  const core::instant start = net.loop.Now();
  std::vector<int> order;
  const auto add = [&](int id, milliseconds delay) {
    net.timers.After(delay,
                     sigc::slot<void()>([&order, id, start, delay, &net] {
                       CHECK(net.loop.Now() - start >= delay);
                       order.push_back(id);
                     }));
  };
  add(3, milliseconds(9));
  add(1, milliseconds(1));
  add(2, milliseconds(5));
  REQUIRE(net.RunUntil([&] { return order.size() == 3; }));
  CHECK(order == std::vector<int>{1, 2, 3});
}

// Guards against a disconnected timer that still fires, a periodic timer that
// runs once for each missed period, and a slot that can't disconnect itself.
TEST_CASE("disconnected timers don't fire and missed periods are skipped") {
  net_harness net;
  const core::instant start = net.loop.Now();
  int once = 0;
  int periodic_runs = 0;
  sigc::connection disconnected =
      net.timers.After(seconds(1), sigc::slot<void()>([&] { ++once; }));
  sigc::connection timer;
  timer = net.timers.Every(seconds(1), sigc::slot<void()>([&] {
                             if (++periodic_runs == 3) timer.disconnect();
                           }));
  disconnected.disconnect();
  net.timers.RunDue(start + milliseconds(500));
  CHECK(periodic_runs == 0);
  net.timers.RunDue(start + seconds(60));
  CHECK(periodic_runs == 1);
  for (int i = 1; i < 10; ++i) net.timers.RunDue(start + seconds(60 + 2 * i));
  CHECK(periodic_runs == 3);
  CHECK(once == 0);
}

// Guards against memory that grows with timers which are always disconnected
// before they are due (one for each call).
TEST_CASE("many disconnected timers keep their order and don't fire") {
  net_harness net;
  const core::instant start = net.loop.Now();
  int fired = 0;
  for (int i = 0; i < 10000; ++i) {
    net.timers.After(seconds(60), sigc::slot<void()>([&] { ++fired; }))
        .disconnect();
  }
  net.timers.After(seconds(1), sigc::slot<void()>([&] { fired += 100; }));
  net.timers.RunDue(start + seconds(61));
  CHECK(fired == 100);
}

// Guards against posted tasks that run inside `Post`, out of order, or after
// their mailbox is destroyed.
TEST_CASE("mailbox delivers in order on a later turn") {
  net_harness net;
  std::vector<int> received;
  mailbox<int> box(net.loop, [&](int message) { received.push_back(message); });
  {
    mailbox<int> destroyed(net.loop, [&](int) { received.push_back(-1); });
    destroyed.Post(7);
  }
  box.Post(1);
  box.Post(2);
  CHECK(received.empty());
  REQUIRE(net.RunUntil([&] { return received.size() == 2; }));
  CHECK(received == std::vector<int>{1, 2});
}

// Guards against a socket that is served before a timer that is due in the
// same turn: a paused daemon must drop expired grants before new calls.
TEST_CASE("due timers run before ready sockets") {
  net_harness net;
  std::vector<std::string> order;
  raw_server server(net);
  server.on_read = [&](raw_stream*) { order.push_back("socket"); };
  const int client = ConnectBlocking(server.port);
  REQUIRE(net.RunUntil([&] { return !server.streams.empty(); }));
  // On the loop's next turn both are ready: a byte in the socket and a timer
  // that fell due while the loop didn't run.
  net.timers.After(milliseconds(1),
                   sigc::slot<void()>([&] { order.push_back("timer"); }));
  REQUIRE(send(client, "x", 1, 0) == 1);
  // libevent reads a clock that advances every few milliseconds.
  const core::instant due = net.loop.Now() + milliseconds(20);
  while (net.loop.Now() < due) continue;
  REQUIRE(net.RunUntil([&] { return order.size() == 2; }));
  CHECK(order == std::vector<std::string>{"timer", "socket"});
  close(client);
}

// Guards against a signal that ends the process or never reaches its handler.
TEST_CASE("signals arrive on the loop") {
  net_harness net;
  int hangups = 0;
  net.loop.OnSignal(SIGHUP, [&] { ++hangups; });
  std::raise(SIGHUP);
  REQUIRE(net.RunUntil([&] { return hangups == 1; }));
}

// Guards against log records that aren't a single line with one JSON document.
TEST_CASE("log records are one JSON line") {
  CHECK(
      FormatLogLine("T", core::log_level::kWarning, "a\nb", {{"vm", "x\""}}) ==
      "{\"time\":\"T\",\"level\":\"warning\",\"message\":\"a\\nb\","
      "\"fields\":{\"vm\":\"x\\\"\"}}");
  CHECK(FormatLogLine("T", core::log_level::kInfo, "\xff", {}) ==
        "{\"time\":\"T\",\"level\":\"info\",\"message\":\"\xef\xbf\xbd\"}");
}

}  // namespace
}  // namespace pimentohall::net
