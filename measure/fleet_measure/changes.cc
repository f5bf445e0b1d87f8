// zone_leave_s and key_withdrawal_s on today's deployment under calls.

#include <algorithm>
#include <thread>

#include "fleet/change_probes.h"
#include "fleet/upstream_counts.h"
#include "fleet_measure/suite.h"
#include "load/background.h"

namespace pimentohall::measure {
namespace {

using namespace std::chrono_literals;

constexpr char kZone[] = "kumamoto-b";
constexpr char kKey[] = "measure-second-key-yamaga";
constexpr char kPath[] = "/ledger/balance/1";
constexpr std::chrono::seconds kProbe(6);

// Seconds from the publication to the last call that an upstream of the zone
// got.
testing::fleet_result<double> LeaveZone(const running_fleet& f,
                                        std::uint64_t seed) {
  load::background_load calls(HttpPorts(f), load::TsurumakiStreams(),
                              kProbe + 3s, "zone-", seed);
  std::this_thread::sleep_for(1s);
  const auto ports = testing::UpstreamPorts(f.processes.get(), kZone);
  const auto before = testing::ReadCounts(ports);
  testing::SetZoneState(&f->Documents(), kZone, "out");
  const auto published = steady::now();
  const auto out = f->Publish();
  if (!out) return tl::make_unexpected(out.error());
  const auto probe = testing::ProbeCalls(ports, published, published + kProbe);
  testing::SetZoneState(&f->Documents(), kZone, "in");
  const auto in = f->Publish();
  calls.Finish();
  if (!in) return tl::make_unexpected(in.error());
  if (!probe) return tl::make_unexpected(probe.error());
  if (!before) return tl::make_unexpected(before.error());
  if (before->calls == 0) {
    return testing::FleetError("the zone had no calls before it left");
  }
  return probe->last_old.count();
}

testing::fleet_result<double> Withdraw(const running_fleet& f) {
  testing::AddKey(&f->Documents(), "yamaga", "second", kKey);
  const auto added = f->Publish();
  if (!added) return tl::make_unexpected(added.error());
  std::this_thread::sleep_for(4s);
  const auto before = testing::ProbeKey(HttpPorts(f), kPath, kKey,
                                        steady::now(), steady::now() + 1s);
  if (before.seen_new > 0) {
    return testing::FleetError("a new key was not in force after 4 s");
  }
  testing::WithdrawKey(&f->Documents(), "yamaga", "second");
  const auto published = steady::now();
  const auto withdrawn = f->Publish();
  if (!withdrawn) return tl::make_unexpected(withdrawn.error());
  const auto probe = testing::ProbeKey(HttpPorts(f), kPath, kKey, published,
                                       published + kProbe);
  if (probe.seen_new == 0) return std::chrono::duration<double>(kProbe).count();
  return probe.last_old.count();
}

}  // namespace

result MeasureChanges(const context& c) {
  auto documents = testing::ReadConfiguration(c.examples);
  if (!documents) return tl::make_unexpected(documents.error());
  const auto f = StartTsurumaki(c, std::move(*documents));
  if (!f) return tl::make_unexpected(f.error());
  const int repetitions = c.quick ? 1 : 3;
  double slowest_leave = 0;
  double slowest_key = 0;
  for (int i = 0; i < repetitions; ++i) {
    const auto leave = LeaveZone(*f, c.seed + static_cast<std::uint64_t>(i));
    if (!leave) return tl::make_unexpected(leave.error());
    slowest_leave = std::max(slowest_leave, *leave);
    const auto key = Withdraw(*f);
    if (!key) return tl::make_unexpected(key.error());
    slowest_key = std::max(slowest_key, *key);
  }
  const std::string size =
      "12 daemons, slowest of " + std::to_string(repetitions);
  c.rows->Add("zone_leave_s", slowest_leave, size, c.seed);
  c.rows->Add("key_withdrawal_s", slowest_key, size, c.seed);
  return {};
}

}  // namespace pimentohall::measure
