// Several daemons are killed at once and start again. Meanwhile the entry of an
// upstream is removed, and the upstream serves on for a while.

#include <csignal>

#include "../harness/deployment.h"

namespace pimentohall::review {
namespace {

// Bounds of the site.
constexpr milliseconds kDrainBound(2000);
constexpr milliseconds kWork(20);
constexpr int kVms = 6;
constexpr std::size_t kWatchers = 3;
constexpr milliseconds kRestartDelay(500);
// The upstream serves on for this long.
constexpr milliseconds kServesOn(12000);
constexpr milliseconds kGap(25);

int Run(const fleet_options& options, bool trouble) {
  fleet small(options);
  small.work = [](const std::string&) { return kWork; };
  std::vector<nlohmann::json> routes = {
      Route("balance", "/balance/", "counter", "idempotent", 2500, 400)};
  const std::vector<nlohmann::json> services = {Service("counter")};
  if (!small.Start(Configuration(1, routes, services))) return kCouldNotRun;
  small.RunFor(seconds(3));
  routes.push_back(
      Route("extra", "/extra/", "counter", "idempotent", 2500, 400));
  small.Store().Put("op/config", Configuration(2, routes, services).dump());
  // The site is calm for longer than the store's history.
  small.RunFor(seconds(23));

  std::set<int> watchers;
  small.RunUntil(
      [&] {
        watchers = small.Store().UpstreamWatchers();
        return watchers.size() == kWatchers;
      },
      seconds(5));
  if (watchers.size() != kWatchers) return kCouldNotRun;
  int leaving = 0;
  while (watchers.count(leaving) != 0) ++leaving;
  int calm = leaving + 1;
  while (watchers.count(calm) != 0) ++calm;

  const request balance = {"GET", kHost, "/balance/1", "key-of-shore", 2500, 0};
  if (trouble) {
    for (const int vm : watchers) small.Signal(vm, SIGKILL);
  }
  small.RunFor(milliseconds(100));
  const instant acked = small.RemoveEntry(leaving);
  small.RunFor(kRestartDelay - milliseconds(100));
  if (trouble) {
    for (const int vm : watchers) {
      if (!small.HasEnded(vm) || !small.StartDaemon(vm)) return kCouldNotRun;
    }
  }
  while (small.Now() < acked + kServesOn) {
    // Both daemons were calm all the time.
    small.Send(leaving, balance);
    small.Send(calm, balance);
    small.RunFor(kGap);
  }
  small.RunFor(seconds(3));
  int late = 0;
  int others = 0;
  for (const auto& ran : small.Runs()) {
    if (ran->vm != leaving) {
      ++others;
    } else if (ran->began > acked + kDrainBound) {
      ++late;
    }
  }
  small.Record().Write(
      "entry of upstream " + std::to_string(leaving) + " removed at " +
      std::to_string(small.Record().SecondsAt(acked)) + " s; " +
      std::to_string(late) +
      " requests reached it later than 2 s after that, " +
      std::to_string(others) + " reached other upstreams in all");
  if (others == 0) return kCouldNotRun;
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int Main(int argc, char** argv) {
  return RunCase(argc, argv,
                 {"",
                  "",
                  std::vector<std::string>(kVms, "counter"),
                  {"zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"}},
                 &Run);
}

}  // namespace pimentohall::review

int main(int argc, char** argv) {
  return pimentohall::review::Main(argc, argv);
}
