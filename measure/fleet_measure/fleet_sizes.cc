// convergence_p99_s, control_bytes_per_s, control_cpu_percent and
// source_reads_per_s for growing numbers of processes.

#include <algorithm>
#include <cmath>
#include <csignal>
#include <sstream>
#include <thread>

#include "fleet/http_client.h"
#include "fleet/process_usage.h"
#include "fleet/source_sampler.h"
#include "fleet/version_watch.h"
#include "fleet_measure/convergence.h"
#include "fleet_measure/suite.h"

namespace pimentohall::measure {
namespace {

using namespace std::chrono_literals;

constexpr double kChangesPerDay = 1300;
constexpr double kSecondsPerDay = 86400;
constexpr double kPercent = 100;
constexpr std::chrono::milliseconds kHerdBound = 60s;

// What all daemons used up to now.
struct control_use {
  std::vector<double> cpu_s;
  std::vector<double> bytes;
  double source_reads = 0;
  double waiting = 0;
};

testing::fleet_result<double> ControlBytes(int admin_port) {
  const auto text = testing::HttpGet(admin_port, "/metrics");
  if (!text) return tl::make_unexpected(text.error());
  const auto sent = testing::MetricValue(
      *text, "pimentohall_control_bytes_total{direction=\"sent\"}");
  const auto received = testing::MetricValue(
      *text, "pimentohall_control_bytes_total{direction=\"received\"}");
  if (!sent || !received) {
    return testing::FleetError(
        "/metrics has no pimentohall_control_bytes_total{direction}");
  }
  return *sent + *received;
}

testing::fleet_result<control_use> ReadUse(const running_fleet& f,
                                           std::string* bytes_problem) {
  control_use use;
  for (const auto& daemon : f->Daemons()) {
    const auto usage = testing::ReadUsage(daemon.process.Id());
    if (!usage) return tl::make_unexpected(usage.error());
    use.cpu_s.push_back(usage->cpu_s);
    const auto bytes = ControlBytes(daemon.admin_port);
    if (!bytes) *bytes_problem = bytes.error().problem;
    use.bytes.push_back(bytes ? *bytes : 0);
  }
  const auto counts = testing::ReadSourceCounts(f->SourceAdminPort());
  if (!counts) return tl::make_unexpected(counts.error());
  use.source_reads = static_cast<double>(counts->reads);
  use.waiting = static_cast<double>(counts->waiting);
  return use;
}

double GreatestDifference(const std::vector<double>& before,
                          const std::vector<double>& after) {
  double greatest = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    greatest = std::max(greatest, after[i] - before[i]);
  }
  return greatest;
}

// Nothing but the control work and the changes of the day goes on, and no one
// asks the daemons in between.
result MeasureSteadyState(const context& c, const running_fleet& f,
                          const std::string& processes) {
  const std::chrono::seconds length(c.quick ? 15 : 60);
  const auto seconds = static_cast<double>(length.count());
  const double share = kChangesPerDay / kSecondsPerDay * seconds;
  const int changes = std::max(1, static_cast<int>(std::lround(share)));
  std::string bytes_problem;
  const auto before = ReadUse(f, &bytes_problem);
  if (!before) return tl::make_unexpected(before.error());
  const auto begin = steady::now();
  for (int i = 0; i < changes; ++i) {
    std::this_thread::sleep_until(begin + length * (2 * i + 1) / (2 * changes));
    testing::SetRate(&f->Documents(), FirstOrganisation(f), 500 + i);
    auto published = f->Publish();
    if (!published) return published;
  }
  std::this_thread::sleep_until(begin + length);
  const auto after = ReadUse(f, &bytes_problem);
  if (!after) return tl::make_unexpected(after.error());
  std::ostringstream size;
  size << processes << ", " << seconds << " s, " << changes
       << " change(s), 1,300 a day are " << share;
  if (bytes_problem.empty()) {
    c.rows->Add("control_bytes_per_s",
                GreatestDifference(before->bytes, after->bytes) / seconds,
                size.str() + ", busiest daemon", c.seed);
  } else {
    c.rows->AddMissing("control_bytes_per_s", bytes_problem);
  }
  c.rows->Add(
      "control_cpu_percent",
      kPercent * GreatestDifference(before->cpu_s, after->cpu_s) / seconds,
      size.str() + ", busiest daemon", c.seed);
  c.rows->Add(
      "source_reads_per_s",
      (after->source_reads - before->source_reads) / seconds + after->waiting,
      size.str() + ", steady", c.seed);
  return {};
}

result MeasureHerdRestart(const context& c, const running_fleet& f,
                          const std::string& processes) {
  testing::source_sampler sampler(f->SourceAdminPort());
  const auto begin = steady::now();
  std::vector<testing::fleet_daemon*> half;
  for (std::size_t i = 0; i < f->Daemons().size(); i += 2) {
    half.push_back(&f->Daemons()[i]);
  }
  for (testing::fleet_daemon* daemon : half) daemon->process.Signal(SIGKILL);
  for (testing::fleet_daemon* daemon : half) daemon->process.Kill();
  for (testing::fleet_daemon* daemon : half) {
    auto started = f->StartDaemon(daemon);
    if (!started) return started;
  }
  auto ready = f->WaitReady(kHerdBound);
  if (!ready) return ready;
  std::ostringstream size;
  size << processes << ", half killed and returned, all ready after "
       << SecondsSince(begin) << " s, peak";
  std::this_thread::sleep_for(5s);
  c.rows->Add("source_reads_per_s", sampler.Peak(), size.str(), c.seed);
  return {};
}

result MeasureSize(const context& c, int processes) {
  auto f = StartConvergenceFleet(c, processes);
  if (!f) return tl::make_unexpected(f.error());
  // Loops of the start (links, first reads) come to rest.
  std::this_thread::sleep_for(c.quick ? 8s : 15s);
  const std::string name = std::to_string(processes) + " processes";
  auto done = MeasureSteadyState(c, *f, name);
  if (done) done = MeasureConvergence(c, *f, name);
  if (done) done = MeasureHerdRestart(c, *f, name);
  return done;
}

}  // namespace

result MeasureFleetSizes(const context& c) {
  std::vector<int> sizes = {12, 50, 100, 200};
  if (c.quick) sizes = {12};
  if (!c.processes.empty()) sizes = c.processes;
  for (const int size : sizes) {
    auto done = MeasureSize(c, size);
    if (!done) {
      return testing::FleetError(std::to_string(size) +
                                 " processes: " + done.error().problem);
    }
  }
  return {};
}

}  // namespace pimentohall::measure
