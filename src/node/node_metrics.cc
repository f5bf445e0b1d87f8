#include "node/node_metrics.h"

#include <prometheus/text_serializer.h>

namespace pimentohall::node {
namespace {

// Upper bounds of the histograms' buckets, in seconds.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 8};

const prometheus::Histogram::BucketBoundaries kRatioBounds = {
    0.125, 0.25, 0.5, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 4, 8};

double Seconds(core::duration time) {
  return std::chrono::duration<double>(time).count();
}

void RaiseTo(prometheus::Counter* counter, double total) {
  const double increase = total - counter->Value();
  if (increase > 0) counter->Increment(increase);
}

}  // namespace

prometheus::Gauge* node_metrics::Gauge(const char* name, const char* help) {
  return &prometheus::BuildGauge()
              .Name(name)
              .Help(help)
              .Register(registry_)
              .Add({});
}

prometheus::Family<prometheus::Gauge>* node_metrics::Gauges(const char* name,
                                                            const char* help) {
  return &prometheus::BuildGauge().Name(name).Help(help).Register(registry_);
}

prometheus::Family<prometheus::Counter>* node_metrics::Counters(
    const char* name, const char* help) {
  return &prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
}

prometheus::Family<prometheus::Histogram>* node_metrics::Histograms(
    const char* name, const char* help) {
  return &prometheus::BuildHistogram().Name(name).Help(help).Register(
      registry_);
}

node_metrics::node_metrics()
    : calls_(Counters("pimentohall_calls_total",
                      "Callers' calls that ended, by route and outcome.")),
      attempts_(Counters("pimentohall_attempts_total",
                         "Attempts forwarded to a daemon.")),
      nested_(Counters("pimentohall_nested_total",
                       "Nested calls and runs refused for their sake.")),
      source_(Counters("pimentohall_source_answers_total",
                       "Answers of the configuration source, by result.")),
      source_eras_(Gauges("pimentohall_source_era",
                          "Era of the source, by area: of the copy, and as "
                          "last answered; 0: none.")),
      source_revisions_(Gauges("pimentohall_source_revision",
                               "Revision of the source, likewise.")),
      carried_changes_(Gauges("pimentohall_source_carried_changes",
                              "Changes of earlier eras of the source that are "
                              "in force instead of what it holds, by area.")),
      rank_refusals_(
          Counters("pimentohall_rank_refusals_total",
                   "Calls not sent because no upstream takes their rank.")),
      health_checks_(Counters("pimentohall_health_checks_total",
                              "Health checks of this VM's upstream.")),
      news_(Counters("pimentohall_news_total", "News datagrams.")),
      news_bytes_(
          Counters("pimentohall_news_bytes_total", "Bytes of news datagrams.")),
      peer_bytes_(Counters("pimentohall_peer_bytes_total",
                           "Bytes exchanged with other daemons, by kind.")),
      links_(Counters("pimentohall_peer_links_total",
                      "Requests to other daemons, by use of a link.")),
      upstream_connections_(
          Counters("pimentohall_upstream_connections_total",
                   "Calls to the upstream, by use of a connection.")),
      upstream_closes_(
          Counters("pimentohall_upstream_connections_closed_total",
                   "Connections to the upstream that were closed.")),
      dropped_lines_(Counters("pimentohall_dropped_log_lines_total",
                              "Log lines dropped for lack of room.")),
      client_limits_(Counters("pimentohall_client_limits_total",
                              "What a limit on clients did, by listener.")),
      client_connections_(Gauges("pimentohall_client_connections",
                                 "Open connections of clients.")),
      client_bytes_(
          Gauges("pimentohall_client_bytes", "Memory that clients hold.")),
      call_time_(Histograms("pimentohall_call_seconds",
                            "Time from a call's head to its answer.")),
      queue_wait_(Histograms("pimentohall_queue_wait_seconds",
                             "Time that started calls waited here.")),
      retry_after_(Histograms("pimentohall_retry_after_seconds",
                              "Retry-After of calls that were not run, as "
                              "overload control paces it.")),
      upstream_time_(Histograms("pimentohall_upstream_seconds",
                                "Time of calls at the upstream.")),
      cost_ratios_(Histograms("pimentohall_cost_ratio",
                              "Predicted / actual time at the upstream.")),
      ready_(Gauge("pimentohall_ready", "1 if callers are welcome.")),
      config_version_(Gauge("pimentohall_config_version",
                            "Configuration in force; 0: none.")),
      config_age_(Gauge("pimentohall_config_age_seconds",
                        "Since the configuration came into force.")),
      source_age_(Gauge("pimentohall_source_age_seconds",
                        "Since the source last answered.")),
      peers_(Gauge("pimentohall_peers", "Other daemons heard.")),
      running_(Gauge("pimentohall_running", "Calls at the upstream.")),
      queued_(Gauge("pimentohall_queued", "Calls that wait for it.")),
      speed_(Gauge("pimentohall_upstream_speed",
                   "Time of work at the upstream / usual in the service.")),
      pace_(Gauge("pimentohall_upstream_pace",
                  "Momentary time of work at the upstream / usual there.")),
      usable_slots_(Gauge("pimentohall_usable_slots",
                          "Calls that may run at the upstream.")),
      hidden_calls_(Gauge("pimentohall_hidden_calls",
                          "Calls at the upstream that aren't counted as "
                          "running, such as cancelled ones.")),
      rank_limit_(Gauge("pimentohall_rank_limit",
                        "Highest rank that the egress takes at present.")),
      limited_upstreams_(Gauge("pimentohall_limited_upstreams",
                               "Upstreams whose reports limit ranks.")),
      reserved_slots_(Gauge("pimentohall_reserved_slots",
                            "Slots that callers' calls may not take.")) {}

void node_metrics::CountCall(const std::string& route, int status,
                             const char* source, const char* reason,
                             core::duration took) {
  calls_
      ->Add({{"route", route},
             {"status", std::to_string(status)},
             {"source", source},
             {"reason", reason}})
      .Increment();
  call_time_->Add({{"source", source}}, kLatencyBounds).Observe(Seconds(took));
}

void node_metrics::ObserveQueueWait(core::duration wait) {
  queue_wait_->Add({}, kLatencyBounds).Observe(Seconds(wait));
}

void node_metrics::ObserveUpstream(const std::string& outcome,
                                   core::duration took) {
  upstream_time_->Add({{"outcome", outcome}}, kLatencyBounds)
      .Observe(Seconds(took));
}

void node_metrics::ObserveCostRatio(core::duration predicted,
                                    core::duration actual) {
  if (actual.count() <= 0) return;
  if (cost_ratio_ == nullptr) {
    cost_ratio_ = &cost_ratios_->Add({}, kRatioBounds);
  }
  cost_ratio_->Observe(Seconds(predicted) / Seconds(actual));
}

void node_metrics::CountAttempt(bool is_repeat) {
  attempts_->Add({{"repeat", is_repeat ? "true" : "false"}}).Increment();
}

void node_metrics::CountNested(const char* event) {
  nested_->Add({{"event", event}}).Increment();
}

void node_metrics::SetSourcePosition(const char* area,
                                     const mesh::source_position& copy,
                                     const mesh::source_position& answered,
                                     std::size_t carried_changes) {
  carried_changes_->Add({{"area", area}})
      .Set(static_cast<double>(carried_changes));
  const std::pair<const char*, const mesh::source_position&> places[] = {
      {"copy", copy}, {"answered", answered}};
  for (const auto& [of, place] : places) {
    const prometheus::Labels labels = {{"area", area}, {"of", of}};
    source_eras_->Add(labels).Set(static_cast<double>(place.era));
    source_revisions_->Add(labels).Set(static_cast<double>(place.revision));
  }
}

void node_metrics::CountSource(const char* result) {
  source_->Add({{"result", result}}).Increment();
}

void node_metrics::CountRankRefusal(const std::string& route) {
  rank_refusals_->Add({{"route", route}}).Increment();
}

void node_metrics::ObserveRetryAfter(core::duration wait) {
  retry_after_->Add({}, kLatencyBounds).Observe(Seconds(wait));
}

void node_metrics::CountNews(bool sent, std::size_t bytes) {
  const char* direction = sent ? "sent" : "received";
  news_->Add({{"direction", direction}}).Increment();
  news_bytes_->Add({{"direction", direction}})
      .Increment(static_cast<double>(bytes));
}

void node_metrics::CountPeerBytes(peer_traffic kind, bool is_far, bool sent,
                                  std::size_t bytes) {
  static constexpr const char* kNames[kPeerTraffics] = {
      "call", "nested_call", "status", "items", "attempt_query"};
  const auto index = static_cast<std::size_t>(kind);
  prometheus::Counter*& counter = peer_byte_counters_[index][is_far][sent];
  if (counter == nullptr) {
    counter = &peer_bytes_->Add({{"kind", kNames[index]},
                                 {"zone", is_far ? "other" : "same"},
                                 {"direction", sent ? "sent" : "received"}});
  }
  counter->Increment(static_cast<double>(bytes));
}

void node_metrics::CountLink(bool is_reused, bool is_far) {
  prometheus::Counter*& counter = link_counters_[is_reused][is_far];
  if (counter == nullptr) {
    counter = &links_->Add({{"event", is_reused ? "reused" : "opened"},
                            {"zone", is_far ? "other" : "same"}});
  }
  counter->Increment();
}

void node_metrics::CountHealthCheck(const char* purpose) {
  health_checks_->Add({{"purpose", purpose}}).Increment();
}

void node_metrics::SetUpstreamConnections(const stream::pool_counts& counts) {
  RaiseTo(&upstream_connections_->Add({{"event", "opened"}}),
          static_cast<double>(counts.opened));
  RaiseTo(&upstream_connections_->Add({{"event", "reused"}}),
          static_cast<double>(counts.reused));
  // By `stream::connection_end`.
  static constexpr const char* kReasons[stream::kConnectionEnds] = {
      "announced_close", "cancelled",   "failed",  "bad_answer",
      "other_answer",    "broken_idle", "expired", "not_needed"};
  for (std::size_t i = 0; i < stream::kConnectionEnds; ++i) {
    RaiseTo(&upstream_closes_->Add({{"reason", kReasons[i]}}),
            static_cast<double>(counts.ended[i]));
  }
}

void node_metrics::CountDroppedLogLines(std::uint64_t total) {
  RaiseTo(&dropped_lines_->Add({}), static_cast<double>(total));
}

void node_metrics::SetListener(const listener_gauges& values) {
  const std::string listener = values.name;
  client_connections_->Add({{"listener", listener}})
      .Set(static_cast<double>(values.connections));
  client_bytes_->Add({{"listener", listener}})
      .Set(static_cast<double>(values.bytes));
  const std::pair<const char*, std::uint64_t> effects[] = {
      {"closed_for_connections", values.counts.closed_for_connections},
      {"closed_for_bytes", values.counts.closed_for_bytes},
      {"closed_slow", values.counts.closed_slow},
      {"refused_messages", values.counts.refused_messages},
      {"accept_pauses", values.counts.accept_pauses}};
  for (const auto& [effect, count] : effects) {
    RaiseTo(&client_limits_->Add({{"listener", listener}, {"effect", effect}}),
            static_cast<double>(count));
  }
}

std::string node_metrics::Render(const gauges& values) {
  ready_->Set(values.ready ? 1 : 0);
  config_version_->Set(static_cast<double>(values.config_version));
  config_age_->Set(values.config_age_s);
  source_age_->Set(values.source_age_s);
  peers_->Set(static_cast<double>(values.peers));
  running_->Set(static_cast<double>(values.running));
  queued_->Set(static_cast<double>(values.queued));
  speed_->Set(values.speed);
  pace_->Set(values.pace);
  usable_slots_->Set(values.usable_slots);
  hidden_calls_->Set(values.hidden_calls);
  rank_limit_->Set(values.rank_limit);
  limited_upstreams_->Set(static_cast<double>(values.limited_upstreams));
  reserved_slots_->Set(values.reserved_slots);
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace pimentohall::node
