// added_latency_p99_ms and proxy_cpu_ratio: calls that enter at one daemon and
// reach an upstream beside another, against direct calls to the same upstream
// and against a bare evhttp server.

#include <array>
#include <sstream>
#include <thread>

#include "fleet/ports.h"
#include "fleet/process_usage.h"
#include "fleet/target_config.h"
#include "fleet_measure/suite.h"
#include "load/plan.h"
#include "load/runner.h"
#include "load/summary.h"

namespace pimentohall::measure {
namespace {

constexpr char kPath[] = "/service-0";
constexpr std::size_t kIngress = 0;
constexpr std::size_t kEgress = 1;
constexpr double kP99 = 0.99;
constexpr double kMedian = 0.5;
// The limit of the upstream starts at 1 and grows with the answers.
constexpr std::chrono::milliseconds kWarmUp(4000);
constexpr double kWarmUpRate = 1500;
constexpr std::chrono::milliseconds kShareWait(5500);
// Processor time comes in steps of 10 ms; fewer calls give no usable ratio.
constexpr std::uint64_t kLeastCallsForCpu = 3000;
constexpr std::uint64_t kKindCount = 3;

enum class run_kind { kDirect, kProxied, kBaseline };

struct cpu_sum {
  double seconds = 0;
  std::uint64_t calls = 0;
  double PerCall() const { return seconds / static_cast<double>(calls); }
};

class latency_bench {
 public:
  latency_bench(const context& c, running_fleet f,
                testing::child_process baseline, int baseline_port)
      : context_(c),
        fleet_(std::move(f)),
        baseline_(std::move(baseline)),
        ports_{fleet_->Upstreams().front().port,
               fleet_->Daemons()[kIngress].http_port, baseline_port},
        seed_(c.seed) {}

  result Measure(double rate) {
    const int repetitions = context_.quick ? 3 : 5;
    const std::chrono::milliseconds length(context_.quick ? 1500 : 4000);
    std::vector<double> added;
    cpu_sum ingress;
    cpu_sum egress;
    cpu_sum baseline;
    load::tally proxied;
    for (int i = 0; i < repetitions; ++i) {
      // The order changes, so that a drift of the machine cancels out.
      load::tally direct;
      load::tally through;
      if (i % 2 == 0) direct = Run(run_kind::kDirect, rate, length);
      auto done = RunProxied(rate, length, &through, &ingress, &egress);
      if (!done) return done;
      if (i % 2 != 0) direct = Run(run_kind::kDirect, rate, length);
      auto echoed = RunBaseline(rate, length, &baseline);
      if (!echoed) return echoed;
      added.push_back(load::PercentileMs(through, kP99) -
                      load::PercentileMs(direct, kP99));
      proxied = load::Sum({proxied, through});
    }
    if (proxied.answered == 0) {
      return testing::FleetError("no proxied call was answered");
    }
    std::ostringstream size;
    size << rate << " calls/s a daemon, " << repetitions << " x "
         << static_cast<double>(length.count()) / 1000 << " s, answered "
         << proxied.answered << " of " << proxied.calls;
    context_.rows->Add("added_latency_p99_ms", Percentile(added, kMedian),
                       size.str(), context_.seed);
    if (baseline.calls < kLeastCallsForCpu || baseline.seconds <= 0) return {};
    context_.rows->Add("proxy_cpu_ratio",
                       ingress.PerCall() / baseline.PerCall(),
                       "ingress, " + size.str(), context_.seed);
    context_.rows->Add("proxy_cpu_ratio", egress.PerCall() / baseline.PerCall(),
                       "egress, " + size.str(), context_.seed);
    return {};
  }

  load::tally Run(run_kind kind, double rate,
                  std::chrono::milliseconds length) {
    const std::vector<load::stream> streams = {
        {"org-0", testing::GeneratedKey(0, 0), rate, "GET", kPath}};
    ++seed_;
    const auto plan = load::PlanArrivals(streams, length, seed_);
    load::run_options options;
    options.targets = {{"127.0.0.1", ports_[static_cast<std::size_t>(kind)]}};
    options.id_prefix = "latency-" + std::to_string(seed_) + "-";
    return load::Sum(load::Run(options, streams, plan));
  }

 private:
  result RunProxied(double rate, std::chrono::milliseconds length,
                    load::tally* through, cpu_sum* ingress, cpu_sum* egress) {
    const pid_t ingress_id = fleet_->Daemons()[kIngress].process.Id();
    const pid_t egress_id = fleet_->Daemons()[kEgress].process.Id();
    const auto ingress_before = testing::ReadUsage(ingress_id);
    const auto egress_before = testing::ReadUsage(egress_id);
    *through = Run(run_kind::kProxied, rate, length);
    const auto ingress_after = testing::ReadUsage(ingress_id);
    const auto egress_after = testing::ReadUsage(egress_id);
    if (!ingress_before || !egress_before || !ingress_after || !egress_after) {
      return testing::FleetError("a daemon ended during the run");
    }
    ingress->seconds += ingress_after->cpu_s - ingress_before->cpu_s;
    ingress->calls += through->calls;
    egress->seconds += egress_after->cpu_s - egress_before->cpu_s;
    egress->calls += through->calls;
    return {};
  }

  result RunBaseline(double rate, std::chrono::milliseconds length,
                     cpu_sum* baseline) {
    const auto before = testing::ReadUsage(baseline_.Id());
    const load::tally echoed = Run(run_kind::kBaseline, rate, length);
    const auto after = testing::ReadUsage(baseline_.Id());
    if (!before || !after) return testing::FleetError("the baseline ended");
    baseline->seconds += after->cpu_s - before->cpu_s;
    baseline->calls += echoed.calls;
    return {};
  }

  const context& context_;
  running_fleet fleet_;
  testing::child_process baseline_;
  std::array<int, kKindCount> ports_;
  std::uint64_t seed_;
};

// Two VMs; only the second has an upstream, so every call passes both daemons.
testing::configuration TwoVms() {
  testing::config_size size;
  size.zones = 1;
  size.regions = 1;
  size.services = 1;
  size.upstreams = 2;
  size.organisations = 1;
  size.keys = 1;
  size.rate_per_s = 100'000;
  testing::configuration documents = testing::GenerateConfiguration(size);
  documents.parts["services/service-0"]["upstreams"].erase(kIngress);
  return documents;
}

}  // namespace

result MeasureLatency(const context& c) {
  testing::fleet_options options;
  options.upstream_arguments = {"--service-ms", "0",   "--slots", "1000",
                                "--cold-slots", "1000"};
  auto f = StartFleet(c, TwoVms(), options);
  if (!f) return tl::make_unexpected(f.error());
  const auto port = testing::FindFreePorts(1);
  if (!port) return tl::make_unexpected(port.error());
  auto baseline = testing::child_process::Start(
      {c.programs + "/echo_baseline", "--port", std::to_string(*port)},
      f->folder->Path() + "/baseline.log");
  if (!baseline) return tl::make_unexpected(baseline.error());
  auto listening = testing::WaitListening(*port, std::chrono::seconds(10));
  if (!listening) return listening;
  std::this_thread::sleep_for(kShareWait);
  latency_bench bench(c, std::move(*f), std::move(*baseline), *port);
  bench.Run(run_kind::kProxied, kWarmUpRate, kWarmUp);
  for (const double rate : {310.0, 3100.0}) {
    auto done = bench.Measure(rate);
    if (!done) return done;
  }
  return {};
}

}  // namespace pimentohall::measure
