// Demo: a source, the 12 daemons and 12 upstreams of examples/tsurumaki as
// processes on loopback, under calls of several organisations, while the
// configuration changes and a daemon is replaced.
//
//   demo --programs build --config examples/tsurumaki
//
// Exit codes: 0 all checks hold, 1 a check failed, 2 the demo could not run.

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <thread>

#include "demo/phase.h"
#include "fleet/change_probes.h"
#include "fleet/fleet.h"
#include "fleet/temporary_folder.h"
#include "fleet/upstream_counts.h"
#include "fleet/version_watch.h"
#include "load/background.h"
#include "load/summary.h"

namespace pimentohall::demo {
namespace {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;
using testing::fleet_result;

constexpr int kCheckFailed = 1;
constexpr int kCouldNotRun = 2;
// docs/design.md section 14: zone_leave_s and key_withdrawal_s.
constexpr double kChangeBoundS = 4;
constexpr std::chrono::milliseconds kReadyBound = 20s;
constexpr std::chrono::milliseconds kInForceBound = 10s;
constexpr std::chrono::milliseconds kStopBound = 10s;
constexpr std::chrono::milliseconds kWatchInterval = 20ms;
// A newly listed VM waits 5 s before it uses its share of the contracts.
constexpr std::chrono::milliseconds kShareWait = 5500ms;

constexpr char kWithdrawnKey[] = "demo-second-key-yamaga";
constexpr char kZone[] = "kumamoto-b";
constexpr char kStoppedVm[] = "vm-c2";

double Seconds(steady::duration time) {
  return std::chrono::duration<double>(time).count();
}

class demo {
 public:
  explicit demo(std::unique_ptr<testing::fleet> running)
      : fleet_(std::move(running)),
        watch_(fleet_->AdminPorts(), kWatchInterval) {}

  fleet_result<void> Run() {
    auto done = Steady("steady");
    if (done) done = EditContract();
    if (done) done = WithdrawKey();
    if (done) done = TakeZoneOut();
    if (done) done = TakeZoneIn();
    if (done) done = StopDaemon();
    if (done) done = StartDaemonAgain();
    if (done) done = StopAll();
    return done;
  }

  // Prints the table and the verdict; true if every check holds.
  bool Report() {
    PrintPhases(phases_);
    load::tally all;
    std::uint64_t lost = 0;
    for (const phase& p : phases_) {
      all.calls += p.calls.calls;
      all.answered += p.calls.answered;
      all.refused += p.calls.refused;
      lost += p.lost;
      Check(p.calls.answered > 0, "phase '" + p.name + "' saw answered calls");
      Check(p.calls.crossed == 0,
            "phase '" + p.name + "' saw no answer of another call");
      Check(p.calls.wrong_organisation == 0,
            "phase '" + p.name + "' ran no call for another organisation");
    }
    Check(lost == 0, "no call was lost");
    Check(doubled_ == 0, "no posting ran twice");
    Check(keys_seen_ == 0, "no upstream saw a key");
    Check(watch_.Regressions() == 0, "no daemon went back in version");
    for (const std::string& text : failures_) {
      std::cout << "FAILED: " << text << "\n";
    }
    std::cout << "demo: calls=" << all.calls << " answered=" << all.answered
              << " refused=" << all.refused << " lost=" << lost
              << " doubled=" << doubled_ << "\n";
    return failures_.empty();
  }

 private:
  void Check(bool holds, const std::string& text) {
    if (!holds) failures_.push_back(text);
  }

  std::vector<int> HttpPorts() {
    std::vector<int> ports;
    for (const auto& daemon : fleet_->Daemons()) {
      ports.push_back(daemon.http_port);
    }
    return ports;
  }

  std::unique_ptr<load::background_load> StartLoad(
      const std::vector<int>& ports, std::chrono::milliseconds duration) {
    return std::make_unique<load::background_load>(
        ports, load::TsurumakiStreams(), duration, "demo-", ++seed_);
  }
  std::unique_ptr<load::background_load> StartLoad(
      std::chrono::milliseconds duration) {
    return StartLoad(HttpPorts(), duration);
  }

  // In phases in which all daemons run, a call that could not be sent is lost.
  void AddPhase(const std::string& name, const load::tally& calls,
                std::optional<double> in_force_s, std::string note) {
    phases_.push_back({name, calls, in_force_s,
                       calls.broken + calls.lost + calls.not_sent,
                       std::move(note)});
  }

  // Publishes the documents and gives the time until all daemons had them.
  fleet_result<double> PublishAndWait(steady::time_point* published) {
    *published = steady::now();
    auto put = fleet_->Publish();
    if (!put) return tl::make_unexpected(put.error());
    const auto seen =
        watch_.WaitForAll(fleet_->Documents().version, kInForceBound);
    if (!seen) return testing::FleetError("a change was not in force in time");
    return Seconds(*seen - *published);
  }

  fleet_result<void> Steady(const std::string& name) {
    AddPhase(name, StartLoad(4s)->Finish(), std::nullopt, "");
    return {};
  }

  fleet_result<void> EditContract() {
    const auto calls = StartLoad(4s);
    std::this_thread::sleep_for(1s);
    testing::SetRate(&fleet_->Documents(), "karatsu", 25);
    steady::time_point published;
    const auto in_force = PublishAndWait(&published);
    AddPhase("edit contract", calls->Finish(), in_force ? *in_force : -1.0,
             "karatsu 10 -> 25 calls/s");
    if (!in_force) return tl::make_unexpected(in_force.error());
    return {};
  }

  fleet_result<void> WithdrawKey() {
    const auto calls = StartLoad(6s);
    std::this_thread::sleep_for(500ms);
    const auto before =
        testing::ProbeKey(HttpPorts(), "/ledger/balance/1", kWithdrawnKey,
                          steady::now(), steady::now() + 500ms);
    Check(before.seen_new == 0 && before.last_old > 0s,
          "the key was accepted before it was withdrawn");
    testing::WithdrawKey(&fleet_->Documents(), "yamaga", "second");
    const auto published = steady::now();
    auto put = fleet_->Publish();
    if (!put) return put;
    const auto probe =
        testing::ProbeKey(HttpPorts(), "/ledger/balance/1", kWithdrawnKey,
                          published, published + 5s);
    const auto seen =
        watch_.WaitForAll(fleet_->Documents().version, kInForceBound);
    Check(probe.seen_new > 0 && probe.last_old.count() <= kChangeBoundS,
          "the withdrawn key was refused within 4 s");
    AddPhase("withdraw key", calls->Finish(), SecondsTo(seen, published),
             "last accepted after " + Text(probe.last_old.count()) + " s");
    return {};
  }

  fleet_result<void> TakeZoneOut() {
    const auto calls = StartLoad(7s);
    std::this_thread::sleep_for(1s);
    testing::SetZoneState(&fleet_->Documents(), kZone, "out");
    const auto published = steady::now();
    auto put = fleet_->Publish();
    if (!put) return put;
    const auto probe = testing::ProbeCalls(
        testing::UpstreamPorts(fleet_.get(), kZone), published, published + 6s);
    if (!probe) return tl::make_unexpected(probe.error());
    const auto seen =
        watch_.WaitForAll(fleet_->Documents().version, kInForceBound);
    Check(probe->seen_new > 0 && probe->last_old.count() <= kChangeBoundS,
          "the zone that was out got no new call after 4 s");
    AddPhase("zone out", calls->Finish(), SecondsTo(seen, published),
             std::string(kZone) + ": last call after " +
                 Text(probe->last_old.count()) + " s");
    return {};
  }

  fleet_result<void> TakeZoneIn() {
    auto ports = testing::UpstreamPorts(fleet_.get(), kZone);
    const auto before = testing::ReadCounts(ports);
    const auto calls = StartLoad(5s);
    std::this_thread::sleep_for(500ms);
    testing::SetZoneState(&fleet_->Documents(), kZone, "in");
    steady::time_point published;
    const auto in_force = PublishAndWait(&published);
    const load::tally tally = calls->Finish();
    const auto after = testing::ReadCounts(ports);
    if (!before) return tl::make_unexpected(before.error());
    if (!after) return tl::make_unexpected(after.error());
    Check(after->calls > before->calls, "the zone that is in again got calls");
    AddPhase("zone in", tally, in_force ? *in_force : -1.0,
             std::string(kZone) + ": " +
                 std::to_string(after->calls - before->calls) + " calls");
    if (!in_force) return tl::make_unexpected(in_force.error());
    return {};
  }

  // Calls to the daemon that stops run apart: only these may find its port
  // closed.
  fleet_result<void> StopDaemon() {
    testing::fleet_daemon* stopped = fleet_->FindDaemon(kStoppedVm);
    std::vector<int> others;
    for (const auto& daemon : fleet_->Daemons()) {
      if (&daemon != stopped) others.push_back(daemon.http_port);
    }
    const auto calls = StartLoad(others, 5s);
    const auto calls_to_stopped = StartLoad({stopped->http_port}, 3s);
    std::this_thread::sleep_for(2s);
    const auto begin = steady::now();
    const bool clean = stopped->process.Stop(kStopBound);
    const double stop_s = Seconds(steady::now() - begin);
    Check(clean, "the planned stop ended with status 0");
    const load::tally to_stopped = calls_to_stopped->Finish();
    const load::tally to_others = calls->Finish();
    AddPhase("planned stop", load::Sum({to_others, to_stopped}), std::nullopt,
             std::string(kStoppedVm) + " exited after " + Text(stop_s) + " s");
    phases_.back().lost -= to_stopped.not_sent;
    return {};
  }

  fleet_result<void> StartDaemonAgain() {
    testing::fleet_daemon* stopped = fleet_->FindDaemon(kStoppedVm);
    const auto begin = steady::now();
    auto done = fleet_->StartDaemon(stopped);
    if (done) done = fleet_->WaitReady(kReadyBound);
    if (!done) return done;
    const double ready_s = Seconds(steady::now() - begin);
    AddPhase("start again", StartLoad(4s)->Finish(), std::nullopt,
             std::string(kStoppedVm) + " ready after " + Text(ready_s) + " s");
    return {};
  }

  fleet_result<void> StopAll() {
    auto ports = testing::UpstreamPorts(fleet_.get());
    Check(fleet_->StopDaemons(kStopBound),
          "every daemon stopped in time with status 0");
    const auto posts = testing::ReadPosts(ports);
    if (!posts) return tl::make_unexpected(posts.error());
    doubled_ = testing::CountDoubled(*posts);
    const auto counts = testing::ReadCounts(ports);
    if (!counts) return tl::make_unexpected(counts.error());
    keys_seen_ = counts->keys_seen;
    return {};
  }

  static std::optional<double> SecondsTo(
      const std::optional<steady::time_point>& seen, steady::time_point from) {
    if (!seen) return std::nullopt;
    return Seconds(*seen - from);
  }

  static std::string Text(double value) {
    const std::string text = std::to_string(value);
    return text.substr(0, text.find('.') + 3);
  }

  std::unique_ptr<testing::fleet> fleet_;
  testing::version_watch watch_;
  std::vector<phase> phases_;
  std::vector<std::string> failures_;
  std::uint64_t seed_ = 0;
  std::uint64_t doubled_ = 0;
  std::uint64_t keys_seen_ = 0;
};

fleet_result<std::unique_ptr<testing::fleet>> StartFleet(
    const std::string& programs, const std::string& config,
    const std::string& folder) {
  auto documents = testing::ReadConfiguration(config);
  if (!documents) return tl::make_unexpected(documents.error());
  testing::AddKey(&*documents, "yamaga", "second", kWithdrawnKey);
  testing::fleet_options options;
  options.programs = programs;
  options.folder = folder;
  options.upstream_arguments = {"--service-ms", "2"};
  auto created = testing::fleet::Create(options, std::move(*documents));
  if (!created) return created;
  auto done = (*created)->Start();
  if (done) done = (*created)->WaitReady(kReadyBound);
  if (!done) return tl::make_unexpected(done.error());
  return created;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Demo of a small fleet on loopback", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> programs("", "programs", "the build folder",
                                        false, "build", "folder", line);
  TCLAP::ValueArg<std::string> config("", "config", "configuration folder",
                                      false, "examples/tsurumaki", "folder",
                                      line);
  TCLAP::SwitchArg keep("", "keep-logs", "keep the folder of logs", line);
  line.parse(argc, argv);
  testing::EndChildrenOnSignals();
  testing::temporary_folder folder;
  if (keep.getValue()) {
    folder.Keep();
    std::cout << "logs: " << folder.Path() << std::endl;
  }
  const auto begin = steady::now();
  auto started =
      StartFleet(programs.getValue(), config.getValue(), folder.Path());
  if (!started) {
    std::cerr << "demo: " << started.error().problem << "\n";
    return kCouldNotRun;
  }
  std::cout << "source, 12 daemons in 3 zones and 12 upstreams ready after "
            << Seconds(steady::now() - begin) << " s\n";
  std::this_thread::sleep_for(kShareWait);
  demo show(std::move(*started));
  auto done = show.Run();
  const bool holds = show.Report();
  if (!done) {
    std::cerr << "demo: " << done.error().problem << "\n";
    return kCouldNotRun;
  }
  return holds ? 0 : kCheckFailed;
}

}  // namespace
}  // namespace pimentohall::demo

int main(int argc, char** argv) { return pimentohall::demo::Main(argc, argv); }
