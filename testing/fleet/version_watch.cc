#include "fleet/version_watch.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <thread>

namespace pimentohall::testing {
namespace {

using steady = std::chrono::steady_clock;

constexpr char kVersionMetric[] = "pimentohall_config_version";
constexpr int kOk = 200;
// A daemon that does not answer within this time is polled again.
constexpr int kTimeoutSeconds = 2;

}  // namespace

std::optional<double> MetricValue(const std::string& text,
                                  const std::string& name) {
  std::size_t line = 0;
  while (line < text.size()) {
    const std::size_t end = std::min(text.find('\n', line), text.size());
    if (text.compare(line, name.size(), name) == 0 &&
        line + name.size() < end && text[line + name.size()] == ' ') {
      return std::strtod(text.c_str() + line + name.size(), nullptr);
    }
    line = end + 1;
  }
  return std::nullopt;
}

class version_watch::impl {
 public:
  impl(const std::vector<int>& admin_ports, std::chrono::milliseconds interval)
      : base_(event_base_new()), states_(admin_ports.size()) {
    probes_.reserve(admin_ports.size());
    for (std::size_t i = 0; i < admin_ports.size(); ++i) {
      probes_.push_back(std::make_unique<probe>(this, i, admin_ports[i]));
    }
    constexpr int kMsPerSecond = 1000;
    interval_.tv_sec = interval.count() / kMsPerSecond;
    interval_.tv_usec = interval.count() % kMsPerSecond * kMsPerSecond;
    timer_ = event_new(
        base_, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* self) {
          static_cast<impl*>(self)->PollAll();
        },
        this);
    event_add(timer_, &interval_);
    thread_ = std::thread([this] { event_base_dispatch(base_); });
  }

  ~impl() {
    stopping_ = true;  // The next timer breaks the loop.
    thread_.join();
    event_free(timer_);
    probes_.clear();
    event_base_free(base_);
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  std::optional<time> Wait(std::uint64_t version,
                           const std::vector<std::size_t>& excluded,
                           std::chrono::milliseconds timeout) {
    std::unique_lock<std::mutex> lock(mutex_);
    std::optional<time> last;
    changed_.wait_for(lock, timeout, [&] {
      last = LastReportTime(version, excluded);
      return last.has_value();
    });
    return last;
  }

  std::vector<std::uint64_t> Versions() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::uint64_t> versions;
    for (const state& s : states_) versions.push_back(s.version);
    return versions;
  }

  std::uint64_t Regressions() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return regressions_;
  }

  std::uint64_t Answers() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return answers_;
  }

 private:
  struct state {
    std::uint64_t version = 0;
    std::uint64_t max_version = 0;
    std::map<std::uint64_t, time> first_seen;
  };

  struct probe {
    probe(impl* watch, std::size_t probe_index, int port)
        : owner(watch),
          index(probe_index),
          connection(
              evhttp_connection_base_new(watch->base_, nullptr, "127.0.0.1",
                                         static_cast<std::uint16_t>(port))) {
      evhttp_connection_set_timeout(connection, kTimeoutSeconds);
    }
    ~probe() { evhttp_connection_free(connection); }
    probe(const probe&) = delete;
    probe& operator=(const probe&) = delete;

    impl* owner;
    std::size_t index;
    evhttp_connection* connection;
    bool in_progress = false;
  };

  void PollAll() {
    if (stopping_) {
      event_base_loopbreak(base_);
      return;
    }
    for (const auto& p : probes_) {
      if (p->in_progress) continue;
      p->in_progress = true;
      evhttp_request* request = evhttp_request_new(&impl::OnAnswer, p.get());
      evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                        "127.0.0.1");
      evhttp_make_request(p->connection, request, EVHTTP_REQ_GET, "/metrics");
    }
  }

  static void OnAnswer(evhttp_request* request, void* argument) {
    auto* p = static_cast<probe*>(argument);
    p->in_progress = false;
    if (request == nullptr ||
        evhttp_request_get_response_code(request) != kOk) {
      return;
    }
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(body), '\0');
    evbuffer_copyout(body, text.data(), text.size());
    const auto version = MetricValue(text, kVersionMetric);
    if (version) {
      p->owner->RecordVersion(p->index, static_cast<std::uint64_t>(*version));
    }
  }

  void RecordVersion(std::size_t index, std::uint64_t version) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++answers_;
    state& s = states_[index];
    s.version = version;
    if (version == 0) return;
    if (version < s.max_version) ++regressions_;
    if (version <= s.max_version) return;
    s.max_version = version;
    s.first_seen[version] = steady::now();
    changed_.notify_all();
  }

  std::optional<time> LastReportTime(
      std::uint64_t version, const std::vector<std::size_t>& except) const {
    time last{};
    for (std::size_t i = 0; i < states_.size(); ++i) {
      if (std::find(except.begin(), except.end(), i) != except.end()) continue;
      const auto seen = states_[i].first_seen.lower_bound(version);
      if (seen == states_[i].first_seen.end()) return std::nullopt;
      last = std::max(last, seen->second);
    }
    return last;
  }

  event_base* base_;
  timeval interval_{};
  event* timer_ = nullptr;
  std::vector<std::unique_ptr<probe>> probes_;
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<state> states_;
  std::uint64_t regressions_ = 0;
  std::uint64_t answers_ = 0;
  std::thread thread_;
};

version_watch::version_watch(const std::vector<int>& admin_ports,
                             std::chrono::milliseconds interval)
    : impl_(std::make_unique<impl>(admin_ports, interval)) {}
version_watch::~version_watch() = default;

std::optional<version_watch::time> version_watch::WaitForAll(
    std::uint64_t version, std::chrono::milliseconds timeout) {
  return impl_->Wait(version, {}, timeout);
}

std::optional<version_watch::time> version_watch::WaitForAllExcept(
    std::uint64_t version, const std::vector<std::size_t>& excluded,
    std::chrono::milliseconds timeout) {
  return impl_->Wait(version, excluded, timeout);
}

std::vector<std::uint64_t> version_watch::Versions() const {
  return impl_->Versions();
}
std::uint64_t version_watch::Regressions() const {
  return impl_->Regressions();
}
std::uint64_t version_watch::Answers() const { return impl_->Answers(); }

}  // namespace pimentohall::testing
