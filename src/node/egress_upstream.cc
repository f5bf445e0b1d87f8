// Tracks the state of the egress's upstream: listed, cold, reachable, crashed.

#include <xxhash.h>

#include <algorithm>

#include "node/egress_call.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// How long a crash report is sent to the other daemons: in two datagrams, also
// at the longest period of news.
constexpr duration kCrashNewsLifetime = std::chrono::seconds(9);
// When a process crashes, its connections break within a few milliseconds. The
// refused connection that confirms the crash follows within this time.
constexpr duration kCrashWindow = std::chrono::seconds(3);
constexpr duration kProbeTimeout = milliseconds(900);
// Some upstreams never answer what they have no room for, so a check on which
// calls wait is given up early and made again.
constexpr duration kWarmthProbeTimeout = milliseconds(200);
// Shortest time between two checks if the upstream is warm.
constexpr duration kWarmthProbePeriod = milliseconds(40);

}  // namespace

void egress::OnDirectory() {
  SetQueueOrder();
  const instant now = fleet_.loop.Now();
  const net::endpoint& endpoint = fleet_.settings.upstream;
  const mesh::directory::entry* entry =
      fleet_.directory.FindByAddress(endpoint.address, endpoint.port);
  if (entry == nullptr) {
    if (upstream_) {
      net::Log(core::log_level::kInfo, "upstream is no longer listed",
               {{"upstream", upstream_->id}});
      upstream_.reset();
      StartQueuedCalls();
    }
    return;
  }
  const bool is_new = !upstream_ || upstream_->id != entry->what.id ||
                      upstream_->born_ms != entry->what.born_ms;
  const bool was_draining = upstream_ && upstream_->draining;
  upstream_ = entry->what;
  const mesh::service* service = UpstreamService();
  if (is_new) gate_.Reset(now);
  gate_.SetRate(service == nullptr ? 0 : service->warmup_per_s,
                service != nullptr && !service->health_path.empty(), now);
  const duration cold_left = entry->read_at + upstream_->warmup_left - now;
  if (cold_left.count() > 0) SetCold(cold_left);
  if (is_new) {
    net::Log(core::log_level::kInfo, "upstream listed",
             {{"upstream", upstream_->id},
              {"service", upstream_->service},
              {"slots", std::to_string(upstream_->slots)},
              {"cold_ms", MsText(std::max(duration{0}, cold_left))},
              {"revision", std::to_string(upstream_->revision)}});
    slowness_ = 1;
    monitor_ = {};
    breaker_ = {};
    pool_.CloseIdle(endpoint);
    state_ = upstream_state::kUnknown;
    Probe();
  } else if (upstream_->draining && !was_draining) {
    net::Log(core::log_level::kInfo, "upstream drains",
             {{"upstream", upstream_->id},
              {"revision", std::to_string(upstream_->revision)}});
  }
  StartQueuedCalls();
}

const mesh::service* egress::UpstreamService() const {
  return fleet_.config && upstream_
             ? fleet_.config->FindService(upstream_->service)
             : nullptr;
}

void egress::SetCold(duration left) {
  const instant now = fleet_.loop.Now();
  const mesh::service* service = UpstreamService();
  if (service == nullptr || service->warmup_per_s <= 0) return;
  if (!gate_.IsCold(now)) {
    net::Log(core::log_level::kInfo, "upstream is cold",
             {{"upstream", upstream_->id},
              {"left_ms", MsText(left)},
              {"per_s", std::to_string(service->warmup_per_s)}});
  }
  gate_.SetCold(now + left, now);
}

void egress::Probe(probe_purpose purpose) {
  const bool is_state = purpose == probe_purpose::kState;
  bool& in_flight = is_state ? probing_ : asking_if_warm_;
  if (in_flight || !upstream_ || !fleet_.config) return;
  const mesh::service* service = UpstreamService();
  if (service == nullptr || service->health_path.empty()) {
    OnUpstreamUp();
    return;
  }
  in_flight = true;
  (is_state ? probed_at_ : asked_if_warm_at_) = fleet_.loop.Now();
  fleet_.metrics.CountHealthCheck(is_state ? "state" : "warmth");
  net::http_request request;
  request.target = fleet_.settings.upstream;
  request.path = service->health_path;
  request.timeout = is_state ? kProbeTimeout : kWarmthProbeTimeout;
  (is_state ? probes_ : warmth_probes_)
      .Start(
          request,
          [this, purpose, &in_flight, taken = gate_.Taken()](
              const tl::expected<net::http_answer, net::http_failure>& answer) {
            in_flight = false;
            if (answer) {
              OnHealth(fleet_.dialect.ReadHealth(*answer), purpose, taken);
            } else if (answer.error() == net::http_failure::kNotSent) {
              OnUpstreamDown();
            } else {
              // It accepted the connection, so it may just be busy.
              OnUpstreamUp();
              StartQueuedCalls();
            }
          });
}

void egress::AskIfWarm() {
  const instant now = fleet_.loop.Now();
  if (state_ != upstream_state::kUp || !gate_.ShouldAsk(now)) return;
  if (now - asked_if_warm_at_ >= kWarmthProbePeriod) {
    Probe(probe_purpose::kWarmth);
  }
}

void egress::OnHealth(const health_answer& health, probe_purpose purpose,
                      std::uint64_t taken_before) {
  const bool is_own =
      health.upstream.empty() || !upstream_ || health.upstream == upstream_->id;
  if (health.warmup_left.count() > 0) {
    SetCold(health.warmup_left);
  } else if (health.is_own_word && is_own) {
    gate_.OnWarm(taken_before);
  }
  // The check itself may count as running.
  if (purpose == probe_purpose::kState) {
    monitor_.OnReport(health.load, static_cast<int>(running_.size()),
                      fleet_.loop.Now());
  }
  OnUpstreamUp();
  StartQueuedCalls();
}

void egress::OnUpstreamUp() {
  if (state_ != upstream_state::kUp) {
    net::Log(core::log_level::kInfo, "upstream reachable",
             {{"upstream", upstream_ ? upstream_->id : ""}});
  }
  state_ = upstream_state::kUp;
}

void egress::OnUpstreamDown() {
  const instant now = fleet_.loop.Now();
  if (state_ != upstream_state::kDown) {
    net::Log(core::log_level::kWarning, "upstream unreachable",
             {{"upstream", upstream_ ? upstream_->id : ""}});
  }
  state_ = upstream_state::kDown;
  pool_.CloseIdle(fleet_.settings.upstream);
  // Calls that failed just before were in flight when the upstream crashed.
  if (!lost_fingerprints_.empty() && now - lost_at_ <= kCrashWindow) {
    const std::uint64_t parts[] = {fleet_.boot, ++crashes_};
    const std::uint64_t crash = XXH64(parts, sizeof(parts), 0);
    std::sort(lost_fingerprints_.begin(), lost_fingerprints_.end());
    lost_fingerprints_.erase(
        std::unique(lost_fingerprints_.begin(), lost_fingerprints_.end()),
        lost_fingerprints_.end());
    for (const core::crash_report& report : guard_.OnCrash(
             crash, lost_fingerprints_, lost_fingerprints_.size() == 1, now)) {
      crash_news_.emplace_back(now, report);
    }
    ExpireCrashNews(now);
    net::Log(core::log_level::kWarning, "upstream crashed",
             {{"upstream", upstream_ ? upstream_->id : ""},
              {"in_flight", std::to_string(lost_fingerprints_.size())}});
  }
  lost_fingerprints_.clear();
  for (const mesh::work_item& item : queue_.Clear()) {
    // A copy: the end of the call drops the one in the table.
    const call_ptr call = calls_.at(item.id);
    Refuse(call, core::reason::kConnectFailed, kIngressRetryAfter);
  }
}

void egress::RecordLostCall(const call& call) {
  const instant now = fleet_.loop.Now();
  if (now - lost_at_ > kCrashWindow) lost_fingerprints_.clear();
  lost_fingerprints_.push_back(call.fingerprint);
  lost_at_ = now;
  Probe();
}

std::vector<core::crash_report> egress::CrashNews() const {
  const instant now = fleet_.loop.Now();
  std::vector<core::crash_report> reports;
  for (const auto& [reported_at, report] : crash_news_) {
    core::crash_report aged_report = report;
    aged_report.age_ms +=
        std::chrono::duration_cast<milliseconds>(now - reported_at).count();
    reports.push_back(aged_report);
  }
  return reports;
}

void egress::ExpireCrashNews(instant now) {
  while (!crash_news_.empty() &&
         (crash_news_.front().first + kCrashNewsLifetime < now ||
          crash_news_.size() > mesh::peer_news::kMaxCrashes)) {
    crash_news_.erase(crash_news_.begin());
  }
}

void egress::OnCrashNews(const core::crash_report& report) {
  guard_.Merge(report, fleet_.loop.Now());
}

std::vector<core::crash_report> egress::KnownCrashes() const {
  return guard_.Reports(fleet_.loop.Now());
}

std::optional<mesh::load_news> egress::Load() const {
  if (!upstream_) return std::nullopt;
  const instant now = fleet_.loop.Now();
  mesh::load_news load;
  load.upstream = upstream_->id;
  load.running = static_cast<int>(running_.size());
  if (BoundsSlots()) load.running += monitor_.HiddenCalls(now);
  load.queued = static_cast<int>(queue_.Size());
  const bool accepts_calls = state_ != upstream_state::kDown &&
                             !upstream_->draining && !stopping_ &&
                             MayStart(now);
  load.slots = accepts_calls ? upstream_->slots : 0;
  load.backlog_ms = static_cast<double>(ToWholeMs(
      (queue_.Work() + RunningWork(now)) / std::max(1, upstream_->slots)));
  load.slowness = fleet_.UsesCostRouting() ? monitor_.Speed(now) : slowness_;
  load.pace = monitor_.Pace(now);
  load.rank_limit = queue_.RankLimit();
  return load;
}

}  // namespace pimentohall::node
