#include "fleet_measure/suite.h"

#include <algorithm>
#include <cmath>
#include <thread>

namespace pimentohall::measure {
namespace {

constexpr std::chrono::milliseconds kReadyBound = std::chrono::seconds(90);
constexpr std::chrono::milliseconds kShareWait(5500);

}  // namespace

testing::fleet_result<running_fleet> StartFleet(
    const context& c, testing::configuration documents,
    testing::fleet_options options) {
  running_fleet f;
  f.folder = std::make_unique<testing::temporary_folder>();
  options.programs = c.programs;
  options.folder = f.folder->Path();
  options.log_level = "warning";
  auto created = testing::fleet::Create(options, std::move(documents));
  if (!created) return tl::make_unexpected(created.error());
  f.processes = std::move(*created);
  auto done = f->Start();
  if (done) done = f->WaitReady(kReadyBound);
  if (!done) {
    f.folder->Keep();
    return testing::FleetError(done.error().problem + "; logs in " +
                               f.folder->Path());
  }
  return f;
}

testing::fleet_result<running_fleet> StartTsurumaki(
    const context& c, testing::configuration documents) {
  testing::fleet_options options;
  options.upstream_arguments = {"--service-ms", "2"};
  auto f = StartFleet(c, std::move(documents), options);
  if (f) std::this_thread::sleep_for(kShareWait);
  return f;
}

std::vector<int> HttpPorts(const running_fleet& f) {
  std::vector<int> ports;
  for (const auto& daemon : f->Daemons()) ports.push_back(daemon.http_port);
  return ports;
}

double SecondsSince(steady::time_point begin) {
  return std::chrono::duration<double>(steady::now() - begin).count();
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double rank = share * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::ceil(rank))];
}

}  // namespace pimentohall::measure
