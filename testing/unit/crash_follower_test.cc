#include "node/crash_follower.h"

#include <doctest/doctest.h>

#include <memory>

#include "mirror_model/virtual_harness.h"
#include "platform/platform.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kCrasher = 7;
constexpr duration kNewsPeriod = milliseconds(300);
constexpr duration kStep = milliseconds(100);

// Daemons that exchange news and ask one another, in virtual time.
struct crash_fleet {
  struct daemon : peer_transport {
    daemon(crash_fleet& in, int i, std::uint32_t boot)
        : world(in),
          index(i),
          fleet(in.net.loop, in.net.timers, Settings(i), *in.platform.dialect,
                boot),
          upstream_side(fleet),
          follower(fleet, upstream_side, *this) {}

    static node_settings Settings(int i) {
      node_settings settings;
      settings.peers = {Address(i), 7000};
      return settings;
    }

    void Ask(const std::string& peer, const std::string& target,
             duration timeout, handler done) override {
      ++world.requests;
      CHECK(target == "/pimentohall/crashes");
      const daemon* const asked = world.Find(peer);
      const bool answers =
          asked != nullptr && !world.IsCut(index, asked->index);
      std::optional<std::string> answer;
      if (answers) answer = asked->follower.Answer();
      if (answer) world.answered_bytes += answer->size();
      const std::weak_ptr<int> alive = lifetime;
      world.net.timers.After(
          answers ? milliseconds(4) : timeout,
          sigc::slot<void()>([alive, answer, done = std::move(done)] {
            if (!alive.expired()) done(answer);
          }));
    }

    // Whether it would hold the crashing call back.
    bool Holds() const {
      core::crash_guard guard;
      const instant now = fleet.loop.Now();
      for (const auto& report : upstream_side.KnownCrashes()) {
        guard.Merge(report, now);
      }
      return guard.IsQuarantined(kCrasher, now);
    }

    crash_fleet& world;
    int index;
    std::uint64_t sequence = 0;
    instant news_at{};
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
    fleet_state fleet;
    egress upstream_side;
    crash_follower follower;
  };

  explicit crash_fleet(int size) {
    for (int i = 0; i < size; ++i) {
      daemons.push_back(nullptr);
      Start(i);
    }
  }

  static std::string Address(int i) {
    return "10.0.0." + std::to_string(i + 1);
  }

  daemon* Find(const std::string& address) const {
    for (const auto& each : daemons) {
      if (each && Address(each->index) == address) return each.get();
    }
    return nullptr;
  }
  bool IsCut(int a, int b) const { return (a == cut || b == cut) && a != b; }

  void Start(int i) {
    daemons[static_cast<std::size_t>(i)] =
        std::make_unique<daemon>(*this, i, ++boots);
  }
  void Kill(int i) { daemons[static_cast<std::size_t>(i)] = nullptr; }

  void SendNews(daemon& from) {
    const instant now = net.loop.Now();
    if (now - from.news_at < kNewsPeriod) return;
    from.news_at = now;
    mesh::peer_news news;
    news.address = Address(from.index);
    news.boot = from.fleet.boot;
    news.sequence = ++from.sequence;
    news.uptime_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now - from.fleet.started_at)
            .count());
    for (const auto& to : daemons) {
      if (!to || to.get() == &from || IsCut(from.index, to->index)) continue;
      if (to->fleet.peers.OnNews(news, now) ==
          mesh::peer_table::change::kReturned) {
        to->follower.OnPeerReturned(news.address);
      }
    }
  }

  void RunFor(duration time) {
    for (duration passed{0}; passed < time; passed += kStep) {
      for (const auto& each : daemons) {
        if (each) SendNews(*each);
      }
      for (const auto& each : daemons) {
        if (each) each->follower.Check();
      }
      net.RunFor(kStep);
    }
  }

  // The call crashes an upstream; the daemons in touch are told.
  void Crash(std::uint64_t crash) {
    for (const auto& each : daemons) {
      if (each && each->index != cut) {
        each->upstream_side.OnCrashNews({kCrasher, crash, false, 0});
      }
    }
  }

  int Holding() const {
    int holding = 0;
    for (const auto& each : daemons) holding += each && each->Holds() ? 1 : 0;
    return holding;
  }

  net::virtual_harness net;
  adapter platform =
      platform::MakeAdapter(net.loop, net.timers, {"127.0.0.1", 1});
  std::vector<std::unique_ptr<daemon>> daemons;
  std::uint32_t boots = 0;
  int cut = -1;  // Out of touch with the others.
  int requests = 0;
  std::size_t answered_bytes = 0;
};

// Guards against a crashing call that daemons let run again once they were
// replaced (review case 9).
TEST_CASE("daemons that are replaced in turn hold a crashing call back") {
  constexpr int kSize = 6;
  for (const auto gap :
       {milliseconds(200), milliseconds(500), milliseconds(1000),
        milliseconds(2000), milliseconds(16000)}) {
    for (const auto away : {milliseconds(100), milliseconds(700)}) {
      CAPTURE(gap.count());
      CAPTURE(away.count());
      crash_fleet fleet(kSize);
      fleet.RunFor(seconds(4));
      for (std::uint64_t crash = 1; crash <= 3; ++crash) fleet.Crash(crash);
      CHECK(fleet.Holding() == kSize);
      const int before = fleet.requests;
      duration passed{0};
      for (int i = 0; passed < kSize * gap + away + seconds(3);
           passed += kStep) {
        if (i < kSize && passed >= i * gap) fleet.Kill(i++);
        for (int j = 0; j < i; ++j) {
          const bool is_back = passed >= j * gap + away;
          if (is_back && !fleet.daemons[static_cast<std::size_t>(j)]) {
            fleet.Start(j);
          }
        }
        fleet.RunFor(kStep);
      }
      CHECK(fleet.Holding() == kSize);
      CHECK(fleet.requests - before <= 4 * kSize);
      CHECK(fleet.answered_bytes <= static_cast<std::size_t>(300 * kSize));
    }
  }
}

TEST_CASE("a daemon that was out of touch learns of crashes meanwhile") {
  crash_fleet fleet(4);
  fleet.RunFor(seconds(4));
  fleet.cut = 2;
  fleet.RunFor(seconds(8));
  for (std::uint64_t crash = 1; crash <= 3; ++crash) fleet.Crash(crash);
  fleet.RunFor(seconds(20));
  CHECK(fleet.Holding() == 3);
  fleet.cut = -1;
  fleet.RunFor(seconds(2));
  CHECK(fleet.Holding() == 4);
}

TEST_CASE("daemons that start together ask little") {
  constexpr int kSize = 12;
  crash_fleet fleet(kSize);
  fleet.RunFor(seconds(60));
  CHECK(fleet.requests <= 8 * kSize);
}

}  // namespace
}  // namespace pimentohall::node
