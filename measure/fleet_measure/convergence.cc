#include "fleet_measure/convergence.h"

#include <algorithm>
#include <csignal>
#include <thread>

#include "fleet/http_client.h"
#include "fleet/target_config.h"
#include "fleet/version_watch.h"

namespace pimentohall::measure {
namespace {

using namespace std::chrono_literals;

constexpr int kTodaysDaemons = 12;
constexpr int kDaemonsOfZone = 4;
constexpr int kServices = 12;
constexpr int kOrganisations = 50;
constexpr int kKeys = 500;
constexpr double kP99 = 0.99;
// A change that is not in force by then counts with this time.
constexpr std::chrono::milliseconds kConvergenceBound = 30s;
constexpr std::chrono::seconds kPause(10);
constexpr std::size_t kPausedShare = 10;
constexpr int kOk = 200;

// Often enough for the bound of 4 s, seldom enough that asking does not slow
// the daemons down.
std::chrono::milliseconds WatchInterval(const running_fleet& f) {
  return f->Daemons().size() <= kTodaysDaemons ? 20ms : 100ms;
}

std::string SourceState(const running_fleet& f, const char* state) {
  testing::http_client source(f->SourceAdminPort(), 5s);
  const auto reply =
      source.Send({"POST", std::string("/state?") + state, "", {}});
  if (!reply) return reply.error().problem;
  return reply->status == kOk ? "" : "the source refused the new state";
}

result PublishEdit(const running_fleet& f, int number) {
  testing::SetRate(&f->Documents(), FirstOrganisation(f), 100 + number);
  return f->Publish();
}

double BoundSeconds() {
  return std::chrono::duration<double>(kConvergenceBound).count();
}

double SecondsOrBound(const std::optional<steady::time_point>& seen,
                      steady::time_point begin) {
  if (!seen) return BoundSeconds();
  return std::max(0.0, std::chrono::duration<double>(*seen - begin).count());
}

void AddRegressions(const context& c, const testing::version_watch& watch,
                    const std::string& size) {
  c.rows->Add("version_regressions", static_cast<double>(watch.Regressions()),
              size + ", " + std::to_string(watch.Answers()) + " reports",
              c.seed);
}

int OutageDaemons(const context& c) { return c.quick ? kTodaysDaemons : 50; }

}  // namespace

testing::fleet_result<running_fleet> StartConvergenceFleet(const context& c,
                                                           int daemons) {
  testing::fleet_options options;
  options.upstreams = false;
  if (daemons == kTodaysDaemons) {
    auto documents = testing::ReadConfiguration(c.examples);
    if (!documents) return tl::make_unexpected(documents.error());
    return StartFleet(c, std::move(*documents), options);
  }
  testing::config_size size;
  size.zones = std::min(size.zones, daemons / kDaemonsOfZone);
  size.services = kServices;
  size.upstreams = daemons;
  size.organisations = kOrganisations;
  size.keys = kKeys;
  return StartFleet(c, testing::GenerateConfiguration(size), options);
}

std::string FirstOrganisation(const running_fleet& f) {
  const std::string prefix = "organisations/";
  const auto found = f->Documents().parts.lower_bound(prefix);
  return found->first.substr(prefix.size());
}

result MeasureConvergence(const context& c, const running_fleet& f,
                          const std::string& processes) {
  const int edits = c.quick ? 20 : 100;
  testing::version_watch watch(f->AdminPorts(), WatchInterval(f));
  std::vector<double> times;
  for (int i = 0; i < edits; ++i) {
    const auto begin = steady::now();
    auto published = PublishEdit(f, i);
    if (!published) return published;
    times.push_back(SecondsOrBound(
        watch.WaitForAll(f->Documents().version, kConvergenceBound), begin));
    if (times.back() >= BoundSeconds()) break;
  }
  const std::string size =
      processes + ", " + std::to_string(times.size()) + " edits in a row";
  c.rows->Add("convergence_p99_s", Percentile(times, kP99), size, c.seed);
  AddRegressions(c, watch, size);
  return {};
}

result MeasureSourceOutage(const context& c) {
  const int daemons = OutageDaemons(c);
  const std::chrono::seconds outage(c.quick ? 8 : 20);
  const auto started = StartConvergenceFleet(c, daemons);
  if (!started) return tl::make_unexpected(started.error());
  const running_fleet& f = *started;
  testing::version_watch watch(f->AdminPorts(), WatchInterval(f));
  std::string problem = SourceState(f, "up=0");
  auto published = PublishEdit(f, 1);
  std::this_thread::sleep_for(outage);
  if (problem.empty()) problem = SourceState(f, "up=1");
  const auto back = steady::now();
  if (!published) return published;
  if (!problem.empty()) return testing::FleetError(problem);
  const auto seen = watch.WaitForAll(f->Documents().version, kConvergenceBound);
  const std::string size =
      std::to_string(daemons) + " processes, source down " +
      std::to_string(outage.count()) + " s, counted from its return";
  c.rows->Add("convergence_p99_s", SecondsOrBound(seen, back), size, c.seed);
  AddRegressions(c, watch, size);
  return {};
}

result MeasurePausedDaemons(const context& c) {
  const int daemons = OutageDaemons(c);
  const auto started = StartConvergenceFleet(c, daemons);
  if (!started) return tl::make_unexpected(started.error());
  const running_fleet& f = *started;
  testing::version_watch watch(f->AdminPorts(), WatchInterval(f));
  std::vector<std::size_t> paused;
  for (std::size_t i = 0; i < f->Daemons().size(); i += kPausedShare) {
    paused.push_back(i);
    f->Daemons()[i].process.Signal(SIGSTOP);
  }
  const auto end = steady::now() + kPause;
  std::vector<double> times;
  for (int i = 0; steady::now() < end; ++i) {
    const auto begin = steady::now();
    auto published = PublishEdit(f, i);
    if (!published) return published;
    times.push_back(
        SecondsOrBound(watch.WaitForAllExcept(f->Documents().version, paused,
                                              kConvergenceBound),
                       begin));
    std::this_thread::sleep_for(200ms);
  }
  for (const std::size_t i : paused) {
    f->Daemons()[i].process.Signal(SIGCONT);
  }
  const auto woken = steady::now();
  const auto seen = watch.WaitForAll(f->Documents().version, kConvergenceBound);
  const std::string size = std::to_string(daemons) + " processes, " +
                           std::to_string(paused.size()) + " paused 10 s";
  c.rows->Add("convergence_p99_s", Percentile(times, kP99),
              size + ", the others, " + std::to_string(times.size()) + " edits",
              c.seed);
  c.rows->Add("convergence_p99_s", SecondsOrBound(seen, woken),
              size + ", the paused after waking", c.seed);
  AddRegressions(c, watch, size);
  return {};
}

}  // namespace pimentohall::measure
