// Calls to upstreams, and probes of their health and load endpoints.

#include <map>
#include <nlohmann/json.hpp>

#include "net/request_check.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

constexpr auto kProbePeriod = std::chrono::seconds(1);
// A probe that takes longer has failed. Shorter than the period, so that it
// ends before the next one starts.
constexpr auto kProbeTimeout = std::chrono::milliseconds(900);
constexpr int kConnectionsPerTarget = 100;

const char* ClassName(config::route_class traffic_class) {
  return traffic_class == config::route_class::kOvernight ? "overnight"
                                                          : "interactive";
}

header_list UpstreamHeaders(const core::call_info& info,
                            const header_list& caller_headers) {
  header_list headers = caller_headers;
  const auto remaining_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(info.remaining);
  headers.emplace_back("X-Pimentohall-Deadline-Ms",
                       std::to_string(remaining_ms.count()));
  headers.emplace_back("X-Pimentohall-Class", ClassName(info.traffic_class));
  headers.emplace_back("X-Pimentohall-Depth", std::to_string(info.depth + 1));
  if (info.retry) headers.emplace_back("X-Pimentohall-Retry", "true");
  if (!info.organisation.empty()) {
    headers.emplace_back("X-Pimentohall-Organisation", info.organisation);
  }
  return headers;
}

core::upstream_failure ConvertFailure(http_failure failure) {
  switch (failure) {
    case http_failure::kNotSent:
      return core::upstream_failure::kNotSent;
    case http_failure::kLost:
      return core::upstream_failure::kLost;
    case http_failure::kTimeout:
      return core::upstream_failure::kTimeout;
  }
  return core::upstream_failure::kLost;
}

bool IsShed(const http_answer& answer) {
  return answer.status == 429 ||
         (answer.status == 503 &&
          !FindHeader(answer.headers, "Retry-After").empty());
}

// Sets the load and the drain mark from {"load": 0..1, "draining": bool}. A
// missing or invalid field leaves the old value.
void ParseLoad(const std::string& body, core::upstream_report* report) {
  const auto parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object()) return;
  const auto load = parsed.find("load");
  if (load != parsed.end() && load->is_number()) {
    const double value = load->get<double>();
    if (value >= 0 && value <= 1) report->load = value;
  }
  const auto draining = parsed.find("draining");
  if (draining != parsed.end() && draining->is_boolean()) {
    report->draining = draining->get<bool>();
  }
}

}  // namespace

class upstream_client::impl {
 public:
  impl(event_loop& loop, timer_service& timers, upstream_client* owner)
      : loop_(loop),
        owner_(owner),
        calls_(loop, timers, kConnectionsPerTarget),
        probes_(loop, timers, 2) {
    probe_timer_ =
        timers.Every(kProbePeriod, sigc::slot<void()>([this] { Probe(); }));
  }
  ~impl() { probe_timer_.disconnect(); }

  void Start(const core::start_upstream_call& action,
             const http_message& message) {
    http_request request;
    request.target = {action.upstream.address, action.upstream.port};
    request.method = action.info.method;
    request.path = action.info.path;
    request.headers = UpstreamHeaders(action.info, message.headers);
    request.body = message.body;
    request.timeout = action.info.remaining;
    const call_key key(action.vm, action.attempt);
    running_[key] = calls_.Start(request, [this, key](auto reply) {
      running_.erase(key);
      Report(key, std::move(reply));
    });
  }

  void Cancel(const std::string& vm, core::attempt_id attempt) {
    const auto found = running_.find(call_key(vm, attempt));
    if (found == running_.end()) return;
    const bool sent = calls_.Cancel(found->second);
    running_.erase(found);
    const core::upstream_failed failed = {
        vm, attempt,
        sent ? core::upstream_failure::kLost
             : core::upstream_failure::kNotSent};
    loop_.Post([this, failed, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) owner_->on_failed(failed);
    });
  }

  void SetProbeTargets(const std::vector<probe_target>& targets) {
    std::map<std::string, probe> previous = std::move(targets_);
    targets_.clear();
    std::vector<endpoint> addresses;
    for (const probe_target& target : targets) {
      probe& probed = targets_[target.upstream];
      const auto old = previous.find(target.upstream);
      if (old != previous.end()) probed = old->second;
      probed.target = target;
      probed.report.upstream = target.upstream;
      addresses.push_back(target.address);
    }
    calls_.RetainTargets(addresses);
    probes_.RetainTargets(addresses);
  }

 private:
  using call_key = std::pair<std::string, core::attempt_id>;
  struct probe {
    probe_target target;
    core::upstream_report report;
    int pending = 0;  // Probes without a result yet.
  };

  void Report(const call_key& key,
              tl::expected<http_answer, http_failure> reply) {
    if (!reply) {
      owner_->on_failed({key.first, key.second, ConvertFailure(reply.error())});
      return;
    }
    core::upstream_answered answered;
    answered.vm = key.first;
    answered.attempt = key.second;
    answered.http_status = reply->status;
    answered.shed = IsShed(*reply);
    answered.draining =
        FindHeader(reply->headers, "X-Upstream-Draining") == "true";
    reply->headers = AnswerHeaders(reply->headers);
    owner_->on_answered(std::move(answered), std::move(*reply));
  }

  void Probe() {
    for (auto& [name, probed] : targets_) {
      if (probed.pending != 0) continue;
      StartProbe(&probed, probed.target.health_path, &impl::OnHealth);
      StartProbe(&probed, probed.target.load_path, &impl::OnLoad);
    }
  }

  using reply_handler =
      void (*)(probe*, const tl::expected<http_answer, http_failure>&);

  void StartProbe(probe* probed, const std::string& path,
                  reply_handler handle_reply) {
    if (path.empty()) return;
    ++probed->pending;
    http_request request;
    request.target = probed->target.address;
    request.path = path;
    request.timeout = kProbeTimeout;
    const std::string name = probed->report.upstream;
    probes_.Start(request, [this, name, handle_reply](const auto& reply) {
      const auto found = targets_.find(name);
      if (found == targets_.end() || found->second.pending == 0) return;
      handle_reply(&found->second, reply);
      if (--found->second.pending == 0) owner_->on_report(found->second.report);
    });
  }

  static void OnHealth(probe* probed,
                       const tl::expected<http_answer, http_failure>& reply) {
    probed->report.healthy = reply && reply->status / 100 == 2;
  }
  static void OnLoad(probe* probed,
                     const tl::expected<http_answer, http_failure>& reply) {
    if (reply && reply->status == 200) ParseLoad(*reply->body, &probed->report);
  }

  event_loop& loop_;
  upstream_client* const owner_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  http_client calls_;
  http_client probes_;
  std::map<call_key, http_client::request_id> running_;
  std::map<std::string, probe> targets_;
  sigc::connection probe_timer_;
};

upstream_client::upstream_client(event_loop& loop, timer_service& timers)
    : impl_(std::make_unique<impl>(loop, timers, this)) {}
upstream_client::~upstream_client() = default;

void upstream_client::Start(const core::start_upstream_call& action,
                            const http_message& request) {
  impl_->Start(action, request);
}
void upstream_client::Cancel(const std::string& vm, core::attempt_id attempt) {
  impl_->Cancel(vm, attempt);
}
void upstream_client::SetProbeTargets(
    const std::vector<probe_target>& targets) {
  impl_->SetProbeTargets(targets);
}

}  // namespace pimentohall::net
