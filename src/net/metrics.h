#ifndef PIMENTOHALL_NET_METRICS_H_
#define PIMENTOHALL_NET_METRICS_H_

// Renders the engine's counters and the host's own metrics in the Prometheus
// text format.

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <vector>

#include "pimentohall/core.h"
#include "pimentohall/net.h"

namespace pimentohall::net {

struct host_gauges {
  bool ready = false;
  std::uint64_t config_version = 0;
  std::size_t calls_pending = 0;
  link_counts links;
};

class metrics {
 public:
  metrics();
  // Records a call that was answered `duration` after its request was complete.
  void ObserveCall(core::duration duration);
  // Counts a call that ended without an upstream's answer.
  void CountRefusal(core::reason reason);
  // Updates the metrics from `counters` and `gauges` and renders all of them.
  std::string Render(const core::counters& counters, const host_gauges& gauges);

 private:
  struct counter_row {
    std::uint64_t core::counters::*field;
    prometheus::Counter* counter;
  };
  prometheus::Gauge* AddGauge(const char* name, const char* help);

  prometheus::Registry registry_;
  std::vector<counter_row> counter_rows_;
  prometheus::Gauge* ready_;
  prometheus::Gauge* config_version_;
  prometheus::Gauge* calls_pending_;
  prometheus::Gauge* bad_frames_;
  prometheus::Gauge* links_up_;
  prometheus::Counter* control_bytes_sent_;
  prometheus::Counter* control_bytes_received_;
  prometheus::Family<prometheus::Counter>* refusals_;
  prometheus::Histogram* call_duration_;
};

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_METRICS_H_
