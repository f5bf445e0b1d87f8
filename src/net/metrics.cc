#include "net/metrics.h"

#include <prometheus/text_serializer.h>

namespace pimentohall::net {
namespace {

struct counter_name {
  std::uint64_t core::counters::*field;
  const char* name;
  const char* help;
};

constexpr counter_name kCounters[] = {
    {&core::counters::calls, "pimentohall_calls_total", "Calls from callers."},
    {&core::counters::answered, "pimentohall_answered_total",
     "Calls that ended with an upstream's answer."},
    {&core::counters::refused_not_run, "pimentohall_refused_not_run_total",
     "Calls refused that certainly did not run."},
    {&core::counters::failed_may_have_run,
     "pimentohall_failed_may_have_run_total",
     "Calls that failed and may have run."},
    {&core::counters::attempts, "pimentohall_attempts_total",
     "Attempts forwarded."},
    {&core::counters::retries, "pimentohall_retries_total",
     "Attempts after the first."},
    {&core::counters::source_reads, "pimentohall_source_reads_total",
     "Reads of the configuration source."},
    {&core::counters::refused_sets, "pimentohall_refused_sets_total",
     "Configuration sets refused."},
    {&core::counters::upstream_calls, "pimentohall_upstream_calls_total",
     "Calls started on upstreams beside this VM."},
};

// Upper bounds in seconds, from half a millisecond to 10 s.
const prometheus::Histogram::BucketBoundaries kDurationBounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

// Increments `counter` to `total`. Prometheus counters can't be set.
void IncrementTo(prometheus::Counter* counter, std::uint64_t total) {
  counter->Increment(static_cast<double>(total) - counter->Value());
}

}  // namespace

metrics::metrics()
    : ready_(AddGauge("pimentohall_ready", "1 if the daemon takes calls.")),
      config_version_(AddGauge("pimentohall_config_version",
                               "Version of the set in force; 0: none.")),
      calls_pending_(
          AddGauge("pimentohall_calls_pending", "Calls without an answer.")),
      bad_frames_(AddGauge("pimentohall_bad_frames",
                           "Links closed for a bad frame since the start.")),
      links_up_(
          AddGauge("pimentohall_links_up", "Peers with an open control link.")),
      refusals_(&prometheus::BuildCounter()
                     .Name("pimentohall_refusals_total")
                     .Help("Calls that ended without an upstream's answer.")
                     .Register(registry_)),
      call_duration_(&prometheus::BuildHistogram()
                          .Name("pimentohall_call_duration_seconds")
                          .Help("Time from a whole request to its answer.")
                          .Register(registry_)
                          .Add({}, kDurationBounds)) {
  auto& control_bytes = prometheus::BuildCounter()
                            .Name("pimentohall_control_bytes_total")
                            .Help("Bytes of messages on control links.")
                            .Register(registry_);
  control_bytes_sent_ = &control_bytes.Add({{"direction", "sent"}});
  control_bytes_received_ = &control_bytes.Add({{"direction", "received"}});
  for (const counter_name& row : kCounters) {
    counter_rows_.push_back({row.field, &prometheus::BuildCounter()
                                             .Name(row.name)
                                             .Help(row.help)
                                             .Register(registry_)
                                             .Add({})});
  }
}

prometheus::Gauge* metrics::AddGauge(const char* name, const char* help) {
  return &prometheus::BuildGauge()
              .Name(name)
              .Help(help)
              .Register(registry_)
              .Add({});
}

void metrics::ObserveCall(core::duration duration) {
  call_duration_->Observe(std::chrono::duration<double>(duration).count());
}

void metrics::CountRefusal(core::reason reason) {
  refusals_->Add({{"reason", core::ReasonName(reason)}}).Increment();
}

std::string metrics::Render(const core::counters& counters,
                            const host_gauges& gauges) {
  for (const counter_row& row : counter_rows_) {
    IncrementTo(row.counter, counters.*row.field);
  }
  ready_->Set(gauges.ready ? 1 : 0);
  config_version_->Set(static_cast<double>(gauges.config_version));
  calls_pending_->Set(static_cast<double>(gauges.calls_pending));
  bad_frames_->Set(static_cast<double>(gauges.links.bad_frames));
  links_up_->Set(static_cast<double>(gauges.links.links_up));
  IncrementTo(control_bytes_sent_, gauges.links.control_bytes_sent);
  IncrementTo(control_bytes_received_, gauges.links.control_bytes_received);
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace pimentohall::net
