#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "core/admission.h"
#include "core/config_store.h"
#include "core/contract_allocator.h"
#include "core/distribution.h"
#include "core/egress.h"
#include "core/ingress.h"
#include "core/membership.h"
#include "core/peer_sender.h"
#include "core/report.h"
#include "core/retry_policy.h"
#include "core/router.h"
#include "pimentohall/core.h"

// The engine composes the components and does what concerns several of them:
//  - after each event it applies a new configuration to every component, before
//    any further decision;
//  - it forwards crash reports to linked peers, one report for each crash
//    identifier;
//  - it ends a planned stop when no call is left and peers had time to learn of
//    it.
//
// Due timers run before each event is handled, so that a daemon that wakes late
// first drops what has expired. The ingress ticks once more after the event.

namespace pimentohall::core {
namespace {

// Number of identifiers kept of crash reports that were already forwarded.
constexpr std::size_t kMaxSeenCrashes = 1000;

// Minimum time between the begin of a planned stop and its end, so that peers
// learn of the stop before the port closes: twice the maximum one-way latency,
// with margin.
constexpr duration kMinStopDuration = std::chrono::milliseconds(500);

template <typename... handlers>
struct overloaded : handlers... {
  using handlers::operator()...;
};
template <typename... handlers>
overloaded(handlers...) -> overloaded<handlers...>;

}  // namespace

class engine::impl {
 public:
  impl(engine_options options, instant start)
      : options_(std::move(options)),
        members_(options_.vm, options_.zone, options_.bootstrap_peers),
        distribution_(options_, &store_, &members_, start),
        allocator_(&members_, options_.incarnation, start),
        router_(&members_, options_.zone, options_.seed),
        egress_(options_.vm, options_.seed),
        ingress_(options_.vm, options_.incarnation, IngressParts()),
        sender_(&members_) {
    store_.SignalInForce().connect([this] { config_changed_ = true; });
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  actions Handle(const event& event, instant now) {
    actions out;
    RunTimers(now, &out);
    std::visit([&](const auto& body) { On(body, now, &out); }, event);
    FinishEvent(now, &out);
    return out;
  }

  instant NextWake() const {
    instant wake = std::min({distribution_.NextWake(), allocator_.NextWake(),
                             egress_.NextWake(), ingress_.NextWake()});
    if (stopping_ && !stop_finished_) {
      const bool idle = ingress_.IsIdle() && egress_.IsIdle();
      if (idle) wake = std::min(wake, earliest_stop_);
    }
    return wake;
  }

  // The daemon accepts callers once it can admit calls from its own share, so
  // that a restart doesn't refuse calls that another daemon would admit.
  bool IsReady() const {
    return distribution_.IsReady() && allocator_.UsesOwnShare() && !stopping_;
  }
  const config_store& Store() const { return store_; }

  const counters& Counters() const {
    counters_ = ingress_.Counters();
    counters_.source_reads = distribution_.SourceReads();
    counters_.refused_sets = store_.RefusedSets();
    counters_.upstream_calls = upstream_calls_;
    return counters_;
  }

  report_input ReportInput() const {
    report_input input;
    input.options = &options_;
    input.store = &store_;
    input.members = &members_;
    input.distributor = &distribution_;
    input.allocator = &allocator_;
    input.routes = &router_;
    input.local_egress = &egress_;
    input.calls_in_flight = ingress_.CallsInFlight();
    input.ready = IsReady();
    input.stopping = stopping_;
    input.totals = Counters();
    return input;
  }

 private:
  ingress::modules IngressParts() {
    ingress::modules modules;
    modules.store = &store_;
    modules.allocator = &allocator_;
    modules.routes = &router_;
    modules.retries = &retries_;
    modules.is_quarantined = [this](std::uint64_t fingerprint, instant now) {
      return egress_.IsQuarantined(fingerprint, now);
    };
    modules.on_answered = [this](std::uint64_t fingerprint) {
      egress_.OnAnsweredElsewhere(fingerprint);
    };
    return modules;
  }

  // Runs the timers that are due. The cost of an allocator tick grows with the
  // number of organisations, so the allocator doesn't tick on every event.
  void RunTimers(instant now, actions* out) {
    if (now >= distribution_.NextWake()) distribution_.Tick(now, out);
    if (now >= allocator_.NextWake()) {
      actions grants;
      allocator_.Tick(now, &grants);
      sender_.Route(std::move(grants), now, out);
    }
    if (now >= egress_.NextWake()) egress_.Tick(now, out);
    RunIngress(now, out);
  }

  void RunIngress(instant now, actions* out) {
    actions calls;
    ingress_.Tick(now, &calls);
    sender_.Route(std::move(calls), now, out);
  }

  // Does the work that an event causes outside the component that handled it:
  // applies a new configuration, runs the ingress, forwards crash reports and
  // ends a planned stop.
  void FinishEvent(instant now, actions* out) {
    while (config_changed_) {
      config_changed_ = false;
      ApplyConfig(now, out);
    }
    RunIngress(now, out);
    for (const crash_report& report : egress_.TakeCrashReports()) {
      ForwardCrashReport(report, "", out);
    }
    FinishStop(now, out);
    for (const action& act : *out) {
      if (std::holds_alternative<start_upstream_call>(act)) ++upstream_calls_;
    }
  }

  void ApplyConfig(instant now, actions* out) {
    const auto set = store_.Set();
    const auto vms = store_.Vms();
    if (vms != nullptr && vms != applied_vms_) {
      applied_vms_ = vms;
      members_.SetVms(vms);
      router_.SetVms(vms);
      allocator_.SetVms(*vms, now);
      out->push_back(log_entry{log_level::kInfo,
                               "VM list in force",
                               {{"version", std::to_string(vms->version)}}});
    }
    if (set != nullptr && set != applied_set_) {
      applied_set_ = set;
      router_.SetConfig(set);
      allocator_.SetConfig(*set, now);
      egress_.SetConfig(set, now, out);
      out->push_back(log_entry{log_level::kInfo,
                               "configuration in force",
                               {{"version", std::to_string(set->Version())},
                                {"digest", set->Digest()}}});
    }
    distribution_.Tick(now, out);
    out->push_back(config_in_force{set, vms});
  }

  void ForwardCrashReport(const crash_report& report,
                          const std::string& source_vm, actions* out) {
    if (!seen_crashes_.insert(report.crash).second) return;
    seen_crash_order_.push_back(report.crash);
    if (seen_crash_order_.size() > kMaxSeenCrashes) {
      seen_crashes_.erase(seen_crash_order_.front());
      seen_crash_order_.pop_front();
    }
    for (const std::string& vm : members_.LinkedVms()) {
      if (vm != source_vm) out->push_back(send_message{vm, report});
    }
  }

  void FinishStop(instant now, actions* out) {
    if (!stopping_ || stop_finished_ || now < earliest_stop_) return;
    if (!ingress_.IsIdle() || !egress_.IsIdle()) return;
    stop_finished_ = true;
    out->push_back(stop_finished{});
  }

  void On(const tick&, instant, actions*) {}
  void On(const call_arrived& call, instant now, actions* out) {
    actions emitted;
    if (distribution_.IsReady()) {
      ingress_.OnCallArrived(call, now, &emitted);
    } else {
      ingress_.RefuseNotReady(call, now, &emitted);
    }
    sender_.Route(std::move(emitted), now, out);
  }
  void On(const call_cancelled& cancelled, instant now, actions* out) {
    ingress_.OnCallCancelled(cancelled, now, out);
  }
  void On(const peer_answer& answer, instant now, actions* out) {
    ingress_.OnPeerAnswer(answer, now, out);
  }
  void On(const forward_failed& failure, instant now, actions* out) {
    ingress_.OnForwardFailed(failure, now, out);
  }
  void On(const peer_call& call, instant now, actions* out) {
    egress_.OnPeerCall(call, now, out);
  }
  void On(const peer_cancel& cancel, instant now, actions* out) {
    egress_.OnPeerCancel(cancel, now, out);
  }
  void On(const upstream_answered& answer, instant now, actions* out) {
    egress_.OnUpstreamAnswered(answer, now, out);
  }
  void On(const upstream_failed& failure, instant now, actions* out) {
    egress_.OnUpstreamFailed(failure, now, out);
  }
  void On(const upstream_report& report, instant now, actions* out) {
    egress_.OnUpstreamReport(report, now, out);
  }
  void On(const link_up& up, instant now, actions* out) {
    distribution_.OnLinkUp(up.vm, now, out);
    sender_.OnLinkUp(up.vm, out);
  }
  void On(const link_down& down, instant now, actions* out) {
    sender_.OnLinkDown(down.vm);
    distribution_.OnLinkDown(down.vm, now, out);
  }
  void On(const call_link_down& down, instant now, actions* out) {
    ingress_.OnCallLinkDown(down.vm, now, out);
    egress_.OnPeerGone(down.vm, now, out);
  }
  void On(const message_received& received, instant now, actions* out) {
    const auto to_allocator = [&](const auto&) {
      actions emitted;
      allocator_.OnMessage(received.vm, received.body, now, &emitted);
      sender_.Route(std::move(emitted), now, out);
    };
    const auto to_distribution = [&](const auto&) {
      distribution_.OnMessage(received.vm, received.body, now, out);
    };
    std::visit(overloaded{
                   [&](const grant_request& body) { to_allocator(body); },
                   [&](const grant_reply& body) { to_allocator(body); },
                   [&](const permit_return& body) { to_allocator(body); },
                   [&](const status_message& body) { to_distribution(body); },
                   [&](const fetch_request& body) { to_distribution(body); },
                   [&](const fetch_reply& body) { to_distribution(body); },
                   [&](const crash_report& report) {
                     egress_.OnCrashReport(report, now);
                     ForwardCrashReport(report, received.vm, out);
                   },
               },
               received.body);
  }
  void On(const source_value& value, instant now, actions* out) {
    distribution_.OnSourceValue(value, now, out);
  }
  void On(const source_failed& failure, instant now, actions* out) {
    distribution_.OnSourceFailed(failure, now, out);
  }
  void On(const begin_stop&, instant now, actions* out) {
    if (stopping_) return;
    stopping_ = true;
    earliest_stop_ = now + kMinStopDuration;
    distribution_.BeginStop(now, out);
    ingress_.BeginStop();
    egress_.BeginStop();
  }

  engine_options options_;
  config_store store_;
  membership members_;
  distribution distribution_;
  contract_allocator allocator_;
  router router_;
  retry_policy retries_;
  egress egress_;
  ingress ingress_;
  peer_sender sender_;

  bool config_changed_ = false;
  std::shared_ptr<const config::config_set> applied_set_;
  std::shared_ptr<const config::vm_list> applied_vms_;
  bool stopping_ = false;
  bool stop_finished_ = false;
  instant earliest_stop_;
  std::set<std::uint64_t> seen_crashes_;
  std::deque<std::uint64_t> seen_crash_order_;
  std::uint64_t upstream_calls_ = 0;
  mutable counters counters_;
};

engine::engine(engine_options options, instant start)
    : impl_(std::make_unique<impl>(std::move(options), start)) {}
engine::~engine() = default;
engine::engine(engine&&) noexcept = default;
engine& engine::operator=(engine&&) noexcept = default;

actions engine::Handle(const event& event, instant now) {
  return impl_->Handle(event, now);
}

instant engine::NextWake() const { return impl_->NextWake(); }

bool engine::IsReady() const { return impl_->IsReady(); }

std::shared_ptr<const config::config_set> engine::Set() const {
  return impl_->Store().Set();
}

std::shared_ptr<const config::vm_list> engine::Vms() const {
  return impl_->Store().Vms();
}

const counters& engine::Counters() const { return impl_->Counters(); }

std::string engine::Dump(instant now) const {
  return DumpReport(impl_->ReportInput(), now);
}

std::string engine::Explain(const call_arrived& call, instant now) const {
  return ExplainReport(impl_->ReportInput(), call, now);
}

}  // namespace pimentohall::core
