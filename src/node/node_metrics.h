#ifndef PIMENTOHALL_NODE_NODE_METRICS_H_
#define PIMENTOHALL_NODE_NODE_METRICS_H_

// Counters and latency histograms of a daemon in the Prometheus text format.

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "pimentohall/core.h"
#include "pimentohall/mesh.h"
#include "pimentohall/stream.h"

namespace pimentohall::node {

class node_metrics {
 public:
  node_metrics();
  // Counts a caller's call that ended with this status. `source` says who
  // answered, "upstream" or "daemon"; "caller" if the caller disconnected.
  void CountCall(const std::string& route, int status, const char* source,
                 const char* reason, core::duration took);
  // Records how long a started call waited in the egress's queue.
  void ObserveQueueWait(core::duration wait);
  void ObserveUpstream(const std::string& outcome, core::duration took);
  // `predicted` and `actual` time of a run that was answered.
  void ObserveCostRatio(core::duration predicted, core::duration actual);
  void CountAttempt(bool is_repeat);
  // `event`: "in_time" or "late_or_refused" of a nested call, "run_refused" of
  // a caller's call whose run needs a full service.
  void CountNested(const char* event);
  void CountSource(const char* result);
  // An area's place in the source's history: that of the copy in force, and the
  // one that the source's last answer named.
  void SetSourcePosition(const char* area, const mesh::source_position& copy,
                         const mesh::source_position& answered,
                         std::size_t carried_changes);
  // Counts a call that wasn't sent because no upstream takes its rank.
  void CountRankRefusal(const std::string& route);
  // Records the Retry-After that the pacer chose.
  void ObserveRetryAfter(core::duration wait);
  void CountNews(bool sent, std::size_t bytes);
  // Kinds of messages between daemons.
  enum class peer_traffic {
    kCall,          // Calls of callers, and their answers.
    kNestedCall,    // Calls of upstreams' runs, and their answers.
    kStatus,        // News.
    kItems,         // Copies and patches of the source's items.
    kAttemptQuery,  // Queries for the outcome of attempts.
  };
  // Heads and bodies of calls, counted by the daemon that opened the link;
  // datagrams of news, counted by both sides; bodies of received items; and
  // targets of queries. `is_far`: to or from another zone.
  void CountPeerBytes(peer_traffic kind, bool is_far, bool sent,
                      std::size_t bytes);
  // A request on a link to another daemon.
  void CountLink(bool is_reused, bool is_far);
  // `purpose`: what this VM's upstream is asked for.
  void CountHealthCheck(const char* purpose);
  void SetUpstreamConnections(const stream::pool_counts& counts);
  void CountDroppedLogLines(std::uint64_t total);

  // What the clients of a listener hold.
  struct listener_gauges {
    const char* name = "";
    std::size_t connections = 0;
    std::size_t bytes = 0;
    stream::client_counts counts;
  };
  void SetListener(const listener_gauges& values);

  struct gauges {
    bool ready = false;
    std::uint64_t config_version = 0;
    double config_age_s = 0;
    double source_age_s = 0;  // Time since the source last answered.
    std::size_t peers = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    double speed = 1;  // Of this VM's upstream.
    double pace = 1;
    int usable_slots = 0;
    int hidden_calls = 0;
    int rank_limit = 0;
    std::size_t limited_upstreams = 0;  // Whose reports limit ranks.
    int reserved_slots = 0;
  };
  std::string Render(const gauges& values);

 private:
  prometheus::Gauge* Gauge(const char* name, const char* help);
  prometheus::Family<prometheus::Gauge>* Gauges(const char* name,
                                                const char* help);
  prometheus::Family<prometheus::Counter>* Counters(const char* name,
                                                    const char* help);
  prometheus::Family<prometheus::Histogram>* Histograms(const char* name,
                                                        const char* help);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>* calls_;
  prometheus::Family<prometheus::Counter>* attempts_;
  prometheus::Family<prometheus::Counter>* nested_;
  prometheus::Family<prometheus::Counter>* source_;
  prometheus::Family<prometheus::Gauge>* source_eras_;
  prometheus::Family<prometheus::Gauge>* source_revisions_;
  prometheus::Family<prometheus::Gauge>* carried_changes_;
  prometheus::Family<prometheus::Counter>* rank_refusals_;
  prometheus::Family<prometheus::Counter>* health_checks_;
  prometheus::Family<prometheus::Counter>* news_;
  prometheus::Family<prometheus::Counter>* news_bytes_;
  prometheus::Family<prometheus::Counter>* peer_bytes_;
  static constexpr std::size_t kPeerTraffics = 5;
  // By `peer_traffic`, zone and direction; null until counted.
  prometheus::Counter* peer_byte_counters_[kPeerTraffics][2][2] = {};
  prometheus::Family<prometheus::Counter>* links_;
  prometheus::Counter* link_counters_[2][2] = {};  // By reuse and zone.
  prometheus::Family<prometheus::Counter>* upstream_connections_;
  prometheus::Family<prometheus::Counter>* upstream_closes_;
  prometheus::Family<prometheus::Counter>* dropped_lines_;
  prometheus::Family<prometheus::Counter>* client_limits_;
  prometheus::Family<prometheus::Gauge>* client_connections_;
  prometheus::Family<prometheus::Gauge>* client_bytes_;
  prometheus::Family<prometheus::Histogram>* call_time_;
  prometheus::Family<prometheus::Histogram>* queue_wait_;
  prometheus::Family<prometheus::Histogram>* retry_after_;
  prometheus::Family<prometheus::Histogram>* upstream_time_;
  prometheus::Family<prometheus::Histogram>* cost_ratios_;
  prometheus::Histogram* cost_ratio_ = nullptr;  // None before the first run.
  prometheus::Gauge* ready_;
  prometheus::Gauge* config_version_;
  prometheus::Gauge* config_age_;
  prometheus::Gauge* source_age_;
  prometheus::Gauge* peers_;
  prometheus::Gauge* running_;
  prometheus::Gauge* queued_;
  prometheus::Gauge* speed_;
  prometheus::Gauge* pace_;
  prometheus::Gauge* usable_slots_;
  prometheus::Gauge* hidden_calls_;
  prometheus::Gauge* rank_limit_;
  prometheus::Gauge* limited_upstreams_;
  prometheus::Gauge* reserved_slots_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_NODE_METRICS_H_
