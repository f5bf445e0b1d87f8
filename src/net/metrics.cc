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

}  // namespace

metrics::metrics()
    : ready_(AddGauge("pimentohall_ready", "1 if the daemon takes calls.")),
      config_version_(AddGauge("pimentohall_config_version",
                               "Version of the set in force; 0: none.")),
      calls_pending_(
          AddGauge("pimentohall_calls_pending", "Calls without an answer.")),
      bad_frames_(AddGauge("pimentohall_bad_frames",
                           "Links closed for a bad frame since the start.")) {
  for (const counter_name& row : kCounters) {
    rows_.push_back({row.field, &prometheus::BuildCounter()
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

std::string metrics::Render(const core::counters& counters,
                            const host_gauges& gauges) {
  for (const counter_row& row : rows_) {
    const auto now = static_cast<double>(counters.*row.field);
    row.counter->Increment(now - row.counter->Value());
  }
  ready_->Set(gauges.ready ? 1 : 0);
  config_version_->Set(static_cast<double>(gauges.config_version));
  calls_pending_->Set(static_cast<double>(gauges.calls_pending));
  bad_frames_->Set(static_cast<double>(gauges.bad_frames));
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace pimentohall::net
