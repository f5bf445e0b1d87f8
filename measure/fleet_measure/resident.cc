// resident_mb: the greatest resident memory of a daemon that holds the
// configuration.

#include <algorithm>
#include <thread>

#include "fleet/process_usage.h"
#include "fleet/target_config.h"
#include "fleet_measure/suite.h"

namespace pimentohall::measure {
namespace {

constexpr std::size_t kTargetDaemons = 3;
constexpr int kEdits = 5;

result AddRow(const context& c, const running_fleet& f,
              const std::string& size) {
  double greatest = 0;
  for (const auto& daemon : f->Daemons()) {
    const auto usage = testing::ReadUsage(daemon.process.Id());
    if (!usage) return tl::make_unexpected(usage.error());
    greatest = std::max(greatest, usage->resident_mb);
  }
  c.rows->Add("resident_mb", greatest, size, c.seed);
  return {};
}

// A change holds the old and the new set for a moment, which raises the peak.
result EditSomeContracts(const running_fleet& f,
                         const std::string& organisation) {
  for (int i = 0; i < kEdits; ++i) {
    testing::SetRate(&f->Documents(), organisation, 100 + i);
    auto published = f->Publish();
    if (!published) return published;
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  return {};
}

}  // namespace

result MeasureResidentMemory(const context& c) {
  const std::chrono::seconds settle(c.quick ? 5 : 15);
  testing::fleet_options options;
  options.upstreams = false;
  auto documents = testing::ReadConfiguration(c.examples);
  if (!documents) return tl::make_unexpected(documents.error());
  {
    const auto today = StartFleet(c, std::move(*documents), options);
    if (!today) return tl::make_unexpected(today.error());
    std::this_thread::sleep_for(settle);
    auto done = EditSomeContracts(*today, "yamaga");
    if (done) done = AddRow(c, *today, "today: 12 VMs, 4 services, 8 keys");
    if (!done) return done;
  }
  options.daemons = kTargetDaemons;
  testing::configuration generated = testing::GenerateConfiguration({});
  testing::SetLiveVms(&generated, kTargetDaemons);
  const auto target = StartFleet(c, std::move(generated), options);
  if (!target) return tl::make_unexpected(target.error());
  std::this_thread::sleep_for(settle);
  auto done = EditSomeContracts(*target, "org-0");
  if (done) {
    done =
        AddRow(c, *target,
               "target: 2,200 upstreams, 120 services, 500 organisations, "
               "10,000 keys, 15 zones; 3 of 2,200 VMs run, the others leaving");
  }
  return done;
}

}  // namespace pimentohall::measure
