// A daemon is killed and started again just after a key was withdrawn. Its
// first read of the store may be stale, page by page.

#include <csignal>

#include "../harness/deployment.h"

namespace pimentohall::review {
namespace {

// Bounds of the site.
constexpr milliseconds kApplyBound(2000);
constexpr milliseconds kContact(3000);
// Stale reads are this old; `fleetbench kinds` names 3 s.
constexpr milliseconds kStaleAge(3000);
constexpr std::size_t kConfigurationBytes = 1020 * 1000;
constexpr std::size_t kMaxValueBytes = 1048576;
constexpr int kKilled = 2;
constexpr int kProbes = 12;
constexpr char kWithdrawnKey[] = "key-of-shore";

// A configuration with many routes, as `big_config` makes it.
nlohmann::json LargeConfiguration(int version, const std::string& key) {
  std::vector<nlohmann::json> routes = {
      Route("balance", "/balance/", "ledger", "idempotent", 2500, 400)};
  std::size_t bytes = 0;
  while (bytes < kConfigurationBytes) {
    const std::string name = "idle-" + std::to_string(routes.size());
    routes.push_back(
        Route(name, "/" + name + "/", "ledger", "idempotent", 2500, 400));
    bytes += routes.back().dump().size() + 1;
  }
  nlohmann::json configuration =
      Configuration(version, routes, {Service("ledger")});
  configuration["tenants"][0]["apiKeys"] = {key};
  return configuration;
}

int Run(const fleet_options& options, bool trouble) {
  fleet small(options);
  if (!small.Start(LargeConfiguration(1, kWithdrawnKey))) return kCouldNotRun;
  small.RunFor(seconds(2));
  small.Store().Put("op/evacuate/zone-b", "{}");
  small.RunFor(seconds(6));
  const request with_key = {"GET", kHost, "/balance/1", kWithdrawnKey, 2500, 0};
  for (int vm = 0; vm < 3; ++vm) small.Send(vm, with_key);
  small.RunFor(seconds(1));
  if (small.Runs().size() != 3) return kCouldNotRun;

  const std::string changed = LargeConfiguration(2, "new-key-of-shore").dump();
  if (changed.size() > kMaxValueBytes) return kCouldNotRun;
  const instant acked = small.Store().Put("op/config", changed);
  // The work on zone-b is over; zone-c is next.
  small.RunFor(milliseconds(200));
  small.Store().Remove("op/evacuate/zone-b");
  small.RunFor(milliseconds(200));
  small.Store().Put("op/evacuate/zone-c", "{}");
  small.RunFor(milliseconds(200));
  if (trouble) {
    // The page with the configuration comes from a replica that lags, the next
    // page from one that doesn't.
    small.Store().staleness = [](int vm, const std::string& prefix,
                                 const std::string& after) {
      const bool lags = vm == kKilled && prefix == "op/" && after.empty();
      return lags ? kStaleAge : milliseconds(0);
    };
    small.Signal(kKilled, SIGKILL);
    if (!small.RunUntil([&] { return small.HasEnded(kKilled); }, seconds(2))) {
      return kCouldNotRun;
    }
    small.RunFor(milliseconds(500));
    if (!small.StartDaemon(kKilled)) return kCouldNotRun;
  }
  // All machines are in touch, and the bound is long past.
  small.RunFor(kContact + kApplyBound + seconds(3));
  const instant begun = small.Now();
  for (int i = 0; i < kProbes; ++i) {
    for (int vm = 0; vm < 3; ++vm) small.Send(vm, with_key);
    small.RunFor(seconds(2));
  }
  int old = 0;
  int refused = 0;
  for (const auto& each : small.Calls()) {
    if (each->sent < begun) continue;
    if (each->status == 401) ++refused;
    if (small.FindRun(each->id) != nullptr) ++old;
  }
  small.Record().Write(
      "key withdrawn at " + std::to_string(small.Record().SecondsAt(acked)) +
      " s; of " + std::to_string(3 * kProbes) + " requests sent with it from " +
      std::to_string(small.Record().SecondsAt(begun)) + " s on, " +
      std::to_string(refused) + " were refused and " + std::to_string(old) +
      " ran");
  if (old + refused == 0) return kCouldNotRun;
  return old > 0 ? kBroken : kHeld;
}

}  // namespace

int Main(int argc, char** argv) {
  return RunCase(
      argc, argv,
      {"", "", {"ledger", "ledger", "ledger"}, {"zone-a", "zone-b", "zone-c"}},
      &Run);
}

}  // namespace pimentohall::review

int main(int argc, char** argv) {
  return pimentohall::review::Main(argc, argv);
}
