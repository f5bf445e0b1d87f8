// lost_calls, doubled_calls, crossed_answers, false_not_run: today's deployment
// under calls while other daemons die and pause. cut_by_planned_stop: daemons
// under calls get SIGTERM.

#include <algorithm>
#include <csignal>
#include <thread>

#include "fleet/upstream_counts.h"
#include "fleet_measure/suite.h"
#include "load/background.h"
#include "load/summary.h"

namespace pimentohall::measure {
namespace {

using namespace std::chrono_literals;

// Calls enter at the other daemons only: these two guard upstreams.
constexpr char kKilledVm[] = "vm-b2";
constexpr char kPausedVm[] = "vm-c3";
constexpr std::chrono::milliseconds kStopBound = 15s;
constexpr std::chrono::milliseconds kReadyBound = 20s;

testing::fleet_result<running_fleet> Start(const context& c) {
  auto documents = testing::ReadConfiguration(c.examples);
  if (!documents) return tl::make_unexpected(documents.error());
  return StartTsurumaki(c, std::move(*documents));
}

std::vector<int> PortsWithout(const running_fleet& f,
                              const std::vector<std::string>& vms) {
  std::vector<int> ports;
  for (const auto& daemon : f->Daemons()) {
    const bool left_out =
        std::find(vms.begin(), vms.end(), daemon.vm) != vms.end();
    if (!left_out) ports.push_back(daemon.http_port);
  }
  return ports;
}

// One round of faults: a daemon dies and returns, another is paused for 3 s.
result DisturbOnce(const running_fleet& f) {
  testing::fleet_daemon* killed = f->FindDaemon(kKilledVm);
  testing::fleet_daemon* paused = f->FindDaemon(kPausedVm);
  killed->process.Kill();
  paused->process.Signal(SIGSTOP);
  std::this_thread::sleep_for(1s);
  auto started = f->StartDaemon(killed);
  std::this_thread::sleep_for(2s);
  paused->process.Signal(SIGCONT);
  if (!started) return started;
  return f->WaitReady(kReadyBound);
}

std::uint64_t CountFalseNotRun(
    const std::vector<std::string>& not_run_ids,
    const std::map<std::string, std::uint64_t>& posts) {
  return static_cast<std::uint64_t>(std::count_if(
      not_run_ids.begin(), not_run_ids.end(),
      [&posts](const std::string& id) { return posts.count(id) != 0; }));
}

}  // namespace

result MeasureFaults(const context& c) {
  auto started = Start(c);
  if (!started) return tl::make_unexpected(started.error());
  const running_fleet& f = *started;
  const int rounds = c.quick ? 1 : 4;
  const auto length = std::chrono::milliseconds(7s) * rounds + 1s;
  load::background_load calls(PortsWithout(f, {kKilledVm, kPausedVm}),
                              load::TsurumakiStreams(), length, "faults-",
                              c.seed);
  for (int i = 0; i < rounds; ++i) {
    const auto begin = steady::now();
    std::this_thread::sleep_for(1s);
    auto done = DisturbOnce(f);
    if (!done) return done;
    std::this_thread::sleep_until(begin + 7s);
  }
  const load::tally tally = calls.Finish();
  const auto posts =
      testing::ReadPosts(testing::UpstreamPorts(f.processes.get()));
  if (!posts) return tl::make_unexpected(posts.error());
  const std::string size = "12 daemons, " + std::to_string(tally.calls) +
                           " calls (" + std::to_string(tally.answered) +
                           " answered, " + std::to_string(tally.refused) +
                           " refused), " + std::to_string(rounds) +
                           " x one killed, one paused 3 s";
  const auto add = [&](const char* name, std::uint64_t value) {
    c.rows->Add(name, static_cast<double>(value), size, c.seed);
  };
  add("lost_calls", tally.broken + tally.lost + tally.not_sent);
  add("doubled_calls", testing::CountDoubled(*posts));
  add("crossed_answers", tally.crossed + tally.wrong_organisation);
  add("false_not_run", CountFalseNotRun(tally.not_run_ids, *posts));
  return {};
}

result MeasurePlannedStop(const context& c) {
  auto started = Start(c);
  if (!started) return tl::make_unexpected(started.error());
  const running_fleet& f = *started;
  std::vector<std::string> vms = {"vm-a1", "vm-b2", "vm-c3"};
  if (c.quick) vms.resize(1);
  std::uint64_t cut = 0;
  std::uint64_t calls = 0;
  std::uint64_t unclean = 0;
  for (std::size_t i = 0; i < vms.size(); ++i) {
    testing::fleet_daemon* stopped = f->FindDaemon(vms[i]);
    load::background_load others(PortsWithout(f, {vms[i]}),
                                 load::TsurumakiStreams(), 5s, "others-",
                                 c.seed + i);
    load::background_load at_stopped({stopped->http_port},
                                     load::TsurumakiStreams(), 4s, "stopped-",
                                     c.seed + i);
    std::this_thread::sleep_for(2s);
    if (!stopped->process.Stop(kStopBound)) ++unclean;
    // Calls that found the port closed were never accepted.
    const load::tally here = at_stopped.Finish();
    const load::tally elsewhere = others.Finish();
    cut += here.broken + here.lost;
    cut += elsewhere.broken + elsewhere.lost + elsewhere.not_sent;
    calls += here.calls - here.not_sent + elsewhere.calls;
    auto returned = f->StartDaemon(stopped);
    if (returned) returned = f->WaitReady(kReadyBound);
    if (!returned) return returned;
  }
  c.rows->Add("cut_by_planned_stop", static_cast<double>(cut),
              "12 daemons, " + std::to_string(vms.size()) + " stops, " +
                  std::to_string(calls) + " calls, " + std::to_string(unclean) +
                  " exits late or not 0",
              c.seed);
  return {};
}

}  // namespace pimentohall::measure
