#include "fault_matrix/faults.h"

#include <algorithm>
#include <utility>

namespace pimentohall::measure {
namespace {

using statements = std::vector<std::string>;

constexpr int kWarmUpMs = 8000;
constexpr int kFirstBeginMs = 12000;
constexpr int kFirstEndMs = 20000;
// The second fault of a pair begins and ends later, so that the two overlap
// without being simultaneous.
constexpr int kShiftMs = 1500;
constexpr int kLoadEndMs = 30000;
// The longest back-off and the longest deadline have passed by then.
constexpr int kRunEndMs = 75000;

statements None(const deployment&) { return {}; }

std::string At(int ms) { return "at " + std::to_string(ms) + "ms "; }

}  // namespace

const std::vector<deployment>& Deployments() {
  static const std::vector<deployment> kDeployments = {
      {"tsurumaki",
       {"org=yamaga rate=120 path=/ledger/balance",
        "org=hakata rate=80 path=/counter/list",
        "org=moji rate=40 method=POST path=/ledger/postings",
        "org=karatsu rate=4 path=/ledger/balance",
        "org=dazaifu rate=6 method=POST path=/ledger/postings"},
       "kumamoto-b",
       "zone=kumamoto-a+zone=kumamoto-c",
       "ledger-a",
       "vm-a2",
       "vm-a1,vm-c2",
       "yamaga",
       "hakata",
       "org=moji rate=2 path=/ledger/crash",
       "org=yamaga rate=1880 path=/ledger/balance"},
      {"berberecho",
       {"org=puerto-montt rate=100 path=/litoral/tides",
        "org=ancud rate=80 path=/licencias/7",
        "org=calbuco rate=30 method=POST path=/capturas",
        "org=dalcahue rate=4 path=/litoral/tides",
        "org=castro rate=6 method=POST path=/licencias"},
       "los-lagos-b",
       "zone=los-lagos-a+zone=los-lagos-c+zone=los-lagos-d",
       "litoral-a",
       "vm-a1",
       "vm-a2,vm-c1",
       "puerto-montt",
       "ancud",
       "org=calbuco rate=2 path=/litoral/crash",
       "org=puerto-montt rate=1150 path=/litoral/tides"},
  };
  return kDeployments;
}

const std::vector<fault>& Faults() {
  static const std::vector<fault> kFaults = {
      {"herd_death", [](const deployment&) { return statements{"kill half"}; },
       [](const deployment&) { return statements{"start half"}; }},
      {"source_down",
       [](const deployment&) { return statements{"source down"}; },
       [](const deployment&) { return statements{"source up"}; }},
      {"source_stale",
       [](const deployment&) { return statements{"source stale"}; },
       [](const deployment&) { return statements{"source fresh"}; }},
      {"contract_change",
       [](const deployment& d) {
         return statements{"publish organisations/" + d.limited_organisation +
                           R"( {"contract":{"rate_per_s":150}})"};
       },
       [](const deployment& d) {
         return statements{"publish organisations/" + d.limited_organisation +
                           R"( {"contract":{"rate_per_s":250}})"};
       }},
      {"key_withdrawal",
       [](const deployment& d) {
         return statements{"withdraw " + d.withdrawn_organisation};
       },
       None},
      {"zone_out",
       [](const deployment& d) {
         return statements{"zone " + d.zone + " out"};
       },
       [](const deployment& d) {
         return statements{"zone " + d.zone + " in"};
       }},
      {"partition",
       [](const deployment& d) {
         return statements{"partition zone=" + d.zone + " " + d.other_zones +
                           "+source"};
       },
       [](const deployment&) { return statements{"heal"}; }},
      {"pause",
       [](const deployment& d) { return statements{"pause " + d.paused_vms}; },
       [](const deployment& d) {
         return statements{"resume " + d.paused_vms};
       }},
      {"fall_to_cold",
       [](const deployment&) { return statements{"upstream all cold"}; }, None},
      {"upstream_crash",
       [](const deployment& d) {
         return statements{"upstream " + d.upstream + " crash"};
       },
       None},
      {"crashing_call",
       [](const deployment& d) {
         return statements{"load " + d.crash_load + " until=30s"};
       },
       None},
      {"five_times_rate",
       [](const deployment& d) {
         return statements{"load " + d.excess_load + " until=30s"};
       },
       None},
      {"misleading_reports",
       [](const deployment&) { return statements{"reports misleading"}; },
       [](const deployment&) { return statements{"reports honest"}; }},
      {"planned_stop",
       [](const deployment& d) { return statements{"stop " + d.vm}; },
       [](const deployment& d) { return statements{"start " + d.vm}; }},
      {"vm_leaving",
       [](const deployment& d) {
         return statements{"vm " + d.vm + " leaving"};
       },
       [](const deployment& d) { return statements{"vm " + d.vm + " live"}; }},
  };
  return kFaults;
}

std::string ScenarioText(const deployment& deployment,
                         const std::vector<const fault*>& faults,
                         std::uint64_t seed) {
  std::vector<std::pair<int, std::string>> script;
  int shift = 0;
  for (const fault* f : faults) {
    for (const std::string& line : f->begin(deployment)) {
      script.emplace_back(kFirstBeginMs + shift, line);
    }
    for (const std::string& line : f->end(deployment)) {
      script.emplace_back(kFirstEndMs + shift, line);
    }
    shift += kShiftMs;
  }
  std::stable_sort(
      script.begin(), script.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });

  std::string text = "deployment " + deployment.name + "\nseed " +
                     std::to_string(seed) + "\nstart all\n";
  for (const std::string& load : deployment.loads) {
    text += At(kWarmUpMs) + "load " + load +
            " until=" + std::to_string(kLoadEndMs) + "ms\n";
  }
  for (const auto& [ms, line] : script) text += At(ms) + line + "\n";
  return text + "run " + std::to_string(kRunEndMs) + "ms\n";
}

}  // namespace pimentohall::measure
