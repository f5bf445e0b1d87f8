// What the egress believes of its upstream: listed, cold, reachable, crashed.

#include <xxhash.h>

#include <algorithm>

#include "node/egress_call.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// How long crash reports are told to the others.
constexpr duration kCrashNewsTime = std::chrono::seconds(5);
// Connections of a process that crashed break within a few milliseconds; the
// refused connection that proves the crash comes within this time.
constexpr duration kCrashWindow = std::chrono::seconds(3);
constexpr duration kProbeTimeout = milliseconds(900);

}  // namespace

void egress::OnDirectory() {
  const instant now = fleet_.loop.Now();
  const net::endpoint& at = fleet_.settings.upstream;
  const mesh::directory::entry* entry =
      fleet_.directory.FindByAddress(at.address, at.port);
  if (entry == nullptr) {
    if (upstream_) {
      net::Log(core::log_level::kInfo, "upstream is no longer listed",
               {{"upstream", upstream_->id}});
      upstream_.reset();
      Pump();
    }
    return;
  }
  const bool is_new = !upstream_ || upstream_->id != entry->what.id ||
                      upstream_->born_ms != entry->what.born_ms;
  const bool was_draining = upstream_ && upstream_->draining;
  upstream_ = entry->what;
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
    pool_.DropIdle(at);
    state_ = upstream_state::kUnknown;
    Probe();
  } else if (upstream_->draining && !was_draining) {
    net::Log(core::log_level::kInfo, "upstream drains",
             {{"upstream", upstream_->id},
              {"revision", std::to_string(upstream_->revision)}});
  }
  Pump();
}

void egress::SetCold(duration left) {
  const instant now = fleet_.loop.Now();
  const mesh::service* service =
      fleet_.config && upstream_
          ? fleet_.config->FindService(upstream_->service)
          : nullptr;
  if (service == nullptr || service->warmup_per_s <= 0) return;
  if (!gate_.IsCold(now)) {
    net::Log(core::log_level::kInfo, "upstream is cold",
             {{"upstream", upstream_->id},
              {"left_ms", MsText(left)},
              {"per_s", std::to_string(service->warmup_per_s)}});
  }
  gate_.SetCold(now + left, service->warmup_per_s, now);
}

void egress::Probe() {
  if (probing_ || !upstream_ || !fleet_.config) return;
  const mesh::service* service = fleet_.config->FindService(upstream_->service);
  if (service == nullptr || service->health_path.empty()) {
    OnUpstreamUp();
    return;
  }
  probing_ = true;
  probed_at_ = fleet_.loop.Now();
  net::http_request request;
  request.target = fleet_.settings.upstream;
  request.path = service->health_path;
  request.timeout = kProbeTimeout;
  probes_.Start(
      request,
      [this](const tl::expected<net::http_answer, net::http_failure>& answer) {
        probing_ = false;
        if (!answer) {
          if (answer.error() == net::http_failure::kNotSent) {
            OnUpstreamDown();
            return;
          }
          // It took the connection, so it may only be busy.
          OnUpstreamUp();
          Pump();
          return;
        }
        OnHealth(fleet_.dialect.ReadHealth(*answer));
      });
}

void egress::OnHealth(const health_answer& health) {
  if (health.warmup_left.count() > 0) SetCold(health.warmup_left);
  OnUpstreamUp();
  Pump();
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
  pool_.DropIdle(fleet_.settings.upstream);
  // Calls that broke just before show what was in flight when it crashed.
  if (!lost_.empty() && now - lost_at_ <= kCrashWindow) {
    const std::uint64_t parts[] = {fleet_.boot, ++crashes_};
    const std::uint64_t crash = XXH64(parts, sizeof(parts), 0);
    std::sort(lost_.begin(), lost_.end());
    lost_.erase(std::unique(lost_.begin(), lost_.end()), lost_.end());
    for (const core::crash_report& report :
         guard_.OnCrash(crash, lost_, lost_.size() == 1, now)) {
      crash_news_.emplace_back(now, report);
    }
    net::Log(core::log_level::kWarning, "upstream crashed",
             {{"upstream", upstream_ ? upstream_->id : ""},
              {"in_flight", std::to_string(lost_.size())}});
  }
  lost_.clear();
  for (const mesh::work_item& each : queue_.Clear()) {
    // A copy: the end of the call drops the one in the table.
    const call_ptr which = calls_.at(each.id);
    Refuse(which, core::reason::kConnectFailed, kIngressRetryAfter);
  }
}

void egress::NoteLost(const call& which) {
  const instant now = fleet_.loop.Now();
  if (now - lost_at_ > kCrashWindow) lost_.clear();
  lost_.push_back(which.fingerprint);
  lost_at_ = now;
  Probe();
}

std::vector<core::crash_report> egress::CrashNews() const {
  const instant now = fleet_.loop.Now();
  std::vector<core::crash_report> reports;
  for (const auto& [at, report] : crash_news_) {
    core::crash_report told = report;
    told.age_ms += std::chrono::duration_cast<milliseconds>(now - at).count();
    reports.push_back(told);
  }
  return reports;
}

void egress::ExpireCrashNews(instant now) {
  while (!crash_news_.empty() &&
         crash_news_.front().first + kCrashNewsTime < now) {
    crash_news_.erase(crash_news_.begin());
  }
}

void egress::OnCrashNews(const core::crash_report& report) {
  guard_.Merge(report, fleet_.loop.Now());
}

std::optional<mesh::load_news> egress::Load() const {
  if (!upstream_) return std::nullopt;
  const instant now = fleet_.loop.Now();
  mesh::load_news load;
  load.upstream = upstream_->id;
  load.running = static_cast<int>(running_.size());
  load.queued = static_cast<int>(queue_.Size());
  const bool takes =
      state_ != upstream_state::kDown && !upstream_->draining && !stopping_;
  load.slots = takes ? upstream_->slots : 0;
  load.backlog_ms = static_cast<double>(WholeMs(
      (queue_.Work() + RunningWork(now)) / std::max(1, upstream_->slots)));
  load.slowness = slowness_;
  return load;
}

}  // namespace pimentohall::node
