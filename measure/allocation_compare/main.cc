// Prints how three ways of keeping a fleet-wide rate compare on the same calls
// and faults, in virtual time from fixed seeds. Each row of the table is one
// scenario; 12 VMs in 3 zones, one organisation watched.
//
//   allocation_compare [SEEDS]

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "sim/allocation_strategies.h"

namespace pimentohall::sim {
namespace {

using core::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 100;
constexpr std::int64_t kBurst = 100;
constexpr std::int64_t kMaxConcurrent = 200;
constexpr int kZones = 3;
constexpr int kVmsPerZone = 4;
constexpr duration kWarmUp = seconds(15);
constexpr duration kMeasured = seconds(40);
const char* const kOrganisation = "yamaga";

using vm_names = std::vector<std::string>;

void LoadEvenly(allocation_fleet* fleet, const vm_names& vms,
                double calls_per_s, duration from, duration time) {
  for (const std::string& vm : vms) {
    fleet->Load(vm, kOrganisation,
                calls_per_s / static_cast<double>(vms.size()), from, time);
  }
}

vm_names ZoneOf(const vm_names& vms, int zone) {
  return {vms.begin() + zone * kVmsPerZone,
          vms.begin() + (zone + 1) * kVmsPerZone};
}

struct scenario {
  const char* name;
  std::function<void(allocation_fleet*, const vm_names&)> script;
};

void Even(allocation_fleet* fleet, const vm_names& vms) {
  LoadEvenly(fleet, vms, 0.8 * kRate, seconds(0), kMeasured);
}

void EvenFull(allocation_fleet* fleet, const vm_names& vms) {
  LoadEvenly(fleet, vms, 0.95 * kRate, seconds(0), kMeasured);
}

void OneVm(allocation_fleet* fleet, const vm_names& vms) {
  LoadEvenly(fleet, {vms[1]}, 0.95 * kRate, seconds(0), kMeasured);
}

void OneZone(allocation_fleet* fleet, const vm_names& vms) {
  LoadEvenly(fleet, ZoneOf(vms, 1), 0.95 * kRate, seconds(0), kMeasured);
}

void SuddenBurst(allocation_fleet* fleet, const vm_names& vms) {
  for (int step = 0; step < 8; ++step) {
    fleet->At(seconds(5 * step),
              [fleet, vm = vms[step]] { fleet->Burst(vm, kOrganisation, 80); });
  }
}

void MovingZone(allocation_fleet* fleet, const vm_names& vms) {
  for (int step = 0; step < 8; ++step) {
    LoadEvenly(fleet, ZoneOf(vms, step % kZones), 0.8 * kRate,
               seconds(5 * step), seconds(5));
  }
}

void FiveTimes(allocation_fleet* fleet, const vm_names& vms) {
  LoadEvenly(fleet, vms, 5 * kRate, seconds(0), kMeasured);
}

void PartitionedZone(allocation_fleet* fleet, const vm_names& vms) {
  LoadEvenly(fleet, vms, 0.8 * kRate, seconds(0), kMeasured);
  const vm_names zone = ZoneOf(vms, 2);
  fleet->At(seconds(10), [fleet, zone] {
    fleet->Partition({zone.begin(), zone.end()});
  });
  fleet->At(seconds(30), [fleet] { fleet->Partition({}); });
}

void LaggingList(allocation_fleet* fleet, const vm_names& vms) {
  LoadEvenly(fleet, vms, 2 * kRate, seconds(0), kMeasured);
  for (int step = 0; step < 3; ++step) {
    fleet->At(seconds(3 + 12 * step), [fleet, vms, step] {
      vm_names grown = vms;
      for (int vm = 0; vm <= step; ++vm) {
        grown.push_back("a-1" + std::to_string(vm));
      }
      fleet->SetVms(grown, seconds(4));
      fleet->Start(grown.back());
      fleet->Load(grown.back(), kOrganisation, kRate, seconds(0), seconds(12));
    });
  }
}

void PausedHolder(allocation_fleet* fleet, const vm_names& vms) {
  LoadEvenly(fleet, {vms[1], vms[5]}, 3 * kRate, seconds(0), kMeasured);
  fleet->At(seconds(10),
            [fleet, vm = vms[1]] { fleet->Pause(vm, seconds(4)); });
  fleet->At(seconds(25),
            [fleet, vm = vms[5]] { fleet->Pause(vm, seconds(1)); });
}

void HerdRestart(allocation_fleet* fleet, const vm_names& vms) {
  LoadEvenly(fleet, vms, 2 * kRate, seconds(0), kMeasured);
  for (const int second : {10, 20}) {
    fleet->At(seconds(second), [fleet, vms] {
      for (const std::string& vm : vms) {
        fleet->Start(vm);
      }
    });
  }
}

const std::vector<scenario>& Scenarios() {
  static const std::vector<scenario> kScenarios = {
      {"even entry, 80% of the rate", Even},
      {"even entry, 95% of the rate", EvenFull},
      {"all through one VM, 95%", OneVm},
      {"all through one zone, 95%", OneZone},
      {"80 calls at once, 8 VMs in turn", SuddenBurst},
      {"entry moves between zones, 80%", MovingZone},
      {"5 times the rate", FiveTimes},
      {"one zone cut off for 20 s, 80%", PartitionedZone},
      {"VMs added, lists lag up to 4 s, 200%", LaggingList},
      {"two busy VMs paused, 300%", PausedHolder},
      {"two herd restarts, 200%", HerdRestart},
  };
  return kScenarios;
}

struct result {
  double overshoot = 0;  // Worst of all seeds.
  std::int64_t arrived = 0;
  std::int64_t wrongly_refused = 0;
  std::int64_t waited = 0;
  double messages_per_vm_s = 0;
};

result RunOnce(const strategy_factory& factory, const scenario& scenario,
               std::uint64_t seed) {
  allocation_fleet fleet(factory, seed);
  const vm_names vms = allocation_fleet::VmNames(kZones, kVmsPerZone);
  config::organisation organisation;
  organisation.name = kOrganisation;
  organisation.limits = {kRate, kBurst, kMaxConcurrent, {}};
  fleet.SetOrganisations({organisation});
  fleet.SetVms(vms);
  for (const std::string& vm : vms) {
    fleet.Start(vm);
  }
  fleet.Run(kWarmUp);
  const std::int64_t messages = fleet.Messages();
  scenario.script(&fleet, vms);
  fleet.Run(kMeasured + seconds(1));
  const call_log& log = fleet.Log(kOrganisation);
  return {Overshoot(log.admitted, kRate, static_cast<double>(kBurst)),
          log.arrived, log.wrongly_refused, log.waited,
          static_cast<double>(fleet.Messages() - messages) /
              static_cast<double>(vms.size()) /
              std::chrono::duration<double>(kMeasured).count()};
}

void PrintRow(const scenario& scenario, int seeds) {
  std::printf("| %-36s |", scenario.name);
  for (const strategy_factory& factory :
       {LentShares(), StaticShares(), OneOwner()}) {
    result sum;
    for (int seed = 1; seed <= seeds; ++seed) {
      const result once =
          RunOnce(factory, scenario, static_cast<std::uint64_t>(seed));
      sum.overshoot = std::max(sum.overshoot, once.overshoot);
      sum.arrived += once.arrived;
      sum.wrongly_refused += once.wrongly_refused;
      sum.waited += once.waited;
      sum.messages_per_vm_s += once.messages_per_vm_s / seeds;
    }
    const double arrived = static_cast<double>(sum.arrived);
    std::printf(" %5.0f | %6.0f | %6.0f | %6.1f |", sum.overshoot,
                1e6 * static_cast<double>(sum.wrongly_refused) / arrived,
                1e6 * static_cast<double>(sum.waited) / arrived,
                sum.messages_per_vm_s);
  }
  std::printf("\n");
}

}  // namespace
}  // namespace pimentohall::sim

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 5;
  std::printf(
      "Over: greatest overshoot in calls. Wrong, waited: ppm of the calls.\n"
      "Msgs: messages sent per VM and second.\n\n"
      "| %-36s | lent  | shares |        |        | stat. | shares |        |"
      "        | one   | owner  |        |        |\n"
      "| %-36s | over  | wrong  | waited | msgs   | over  | wrong  | waited |"
      " msgs   | over  | wrong  | waited | msgs   |\n",
      "", "scenario");
  for (const auto& scenario : pimentohall::sim::Scenarios()) {
    pimentohall::sim::PrintRow(scenario, seeds);
  }
  return 0;
}
