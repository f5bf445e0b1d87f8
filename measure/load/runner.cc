#include "load/runner.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <csignal>
#include <cstring>
#include <memory>

// Each target has a pool of connections with at most one request on each, so a
// slow answer never delays another call. A call that finds no free connection
// below the limit waits, and the wait counts as latency.

namespace pimentohall::load {
namespace {

using steady = std::chrono::steady_clock;

// By default libevent rounds timers up to whole milliseconds, which would count
// as latency.
event_base* NewPreciseBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

class runner;

struct connection {
  runner* owner = nullptr;
  std::size_t target = 0;
  evhttp_connection* evhttp = nullptr;
  std::size_t call = 0;  // In flight.
  bool busy = false;
  bool closed = false;
};

class runner {
 public:
  runner(const run_options& options, const std::vector<stream>& streams,
         const std::vector<planned_call>& calls)
      : options_(options),
        streams_(streams),
        calls_(calls),
        tallies_(streams.size()),
        pools_(options.targets.size()),
        base_(NewPreciseBase()) {
    signal(SIGPIPE, SIG_IGN);
    timer_ = evtimer_new(
        base_,
        [](evutil_socket_t, short, void* self) {
          static_cast<runner*>(self)->SendDue();
        },
        this);
  }

  ~runner() {
    event_free(timer_);
    for (const auto& c : connections_) evhttp_connection_free(c->evhttp);
    event_base_free(base_);
  }
  runner(const runner&) = delete;
  runner& operator=(const runner&) = delete;

  std::vector<tally> Run() {
    start_ = steady::now();
    SendDue();
    event_base_dispatch(base_);
    return std::move(tallies_);
  }

 private:
  struct pool {
    std::vector<connection*> idle;
    std::vector<std::size_t> waiting;
    std::size_t next_waiting = 0;
    int open = 0;
  };

  std::chrono::microseconds Elapsed() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(steady::now() -
                                                                 start_);
  }

  void SendDue() {
    const auto now = Elapsed();
    while (next_ < calls_.size() && calls_[next_].at <= now) Send(next_++);
    if (next_ == calls_.size()) {
      if (unfinished_ == 0) event_base_loopbreak(base_);
      return;
    }
    const auto wait = calls_[next_].at - now;
    timeval time{};
    time.tv_sec = wait.count() / 1'000'000;
    time.tv_usec = wait.count() % 1'000'000;
    evtimer_add(timer_, &time);
  }

  void Send(std::size_t call) {
    ++unfinished_;
    ++tallies_[calls_[call].stream].calls;
    const std::size_t target = call % options_.targets.size();
    connection* c = TakeConnection(target);
    if (c == nullptr) {
      pools_[target].waiting.push_back(call);
    } else {
      SendOn(c, call);
    }
  }

  connection* TakeConnection(std::size_t target) {
    pool& p = pools_[target];
    while (!p.idle.empty()) {
      connection* c = p.idle.back();
      p.idle.pop_back();
      if (!c->closed) return c;
    }
    if (p.open >= options_.connections) return nullptr;
    ++p.open;
    auto owned = std::make_unique<connection>();
    connection* c = owned.get();
    c->owner = this;
    c->target = target;
    const load::target& to = options_.targets[target];
    c->evhttp = evhttp_connection_base_new(base_, nullptr, to.address.c_str(),
                                           static_cast<std::uint16_t>(to.port));
    evhttp_connection_set_timeout(
        c->evhttp, static_cast<int>(options_.answer_timeout.count()));
    evhttp_connection_set_retries(c->evhttp, 0);
    evhttp_connection_set_closecb(
        c->evhttp,
        [](evhttp_connection*, void* argument) {
          static_cast<connection*>(argument)->closed = true;
        },
        c);
    connections_.push_back(std::move(owned));
    return c;
  }

  std::string IdOf(std::size_t call) const {
    return options_.id_prefix + std::to_string(call);
  }

  void SendOn(connection* c, std::size_t call) {
    c->busy = true;
    c->call = call;
    const stream& s = streams_[calls_[call].stream];
    evhttp_request* request = evhttp_request_new(&runner::OnDone, c);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", "mesh");
    evhttp_add_header(headers, "X-Call-Id", IdOf(call).c_str());
    if (s.key != "-") {
      evhttp_add_header(headers, "Authorization", ("Bearer " + s.key).c_str());
    }
    const bool post = s.method == "POST";
    if (post) {
      evbuffer_add(evhttp_request_get_output_buffer(request), "{}", 2);
    }
    evhttp_make_request(c->evhttp, request,
                        post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                        s.path.c_str());
  }

  static void OnDone(evhttp_request* request, void* argument) {
    auto* c = static_cast<connection*>(argument);
    c->owner->Finish(c, request);
  }

  void Finish(connection* c, evhttp_request* request) {
    Count(c, request);
    c->busy = false;
    --unfinished_;
    pool& p = pools_[c->target];
    if (request == nullptr) c->closed = false;  // evhttp connects again.
    if (p.next_waiting < p.waiting.size()) {
      SendOn(c, p.waiting[p.next_waiting++]);
    } else {
      p.idle.push_back(c);
    }
    if (next_ == calls_.size() && unfinished_ == 0) {
      event_base_loopbreak(base_);
    }
  }

  void Count(connection* c, evhttp_request* request) {
    const planned_call& call = calls_[c->call];
    tally& t = tallies_[call.stream];
    const auto latency = Elapsed() - call.at;
    const int status =
        request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (status == 0) {
      // After a failed connect evhttp passes the request without a status;
      // after a connection that was closed it passes none.
      const bool timed_out = latency >= options_.answer_timeout;
      ++(timed_out ? t.lost : request == nullptr ? t.broken : t.not_sent);
      return;
    }
    ++t.by_status[status];
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    if (status < 200 || status >= 300) {
      ++t.refused;
      const char* not_run =
          evhttp_find_header(headers, "X-Pimentohall-Not-Run");
      if (not_run != nullptr && std::strcmp(not_run, "true") == 0) {
        ++t.not_run;
        t.not_run_ids.push_back(IdOf(c->call));
      }
      return;
    }
    ++t.answered;
    t.latencies_us.push_back(static_cast<std::uint32_t>(latency.count()));
    const char* id = evhttp_find_header(headers, "X-Call-Id");
    if (id == nullptr || IdOf(c->call) != id) ++t.crossed;
    CheckOrganisation(request, streams_[call.stream], &t);
  }

  // The stand-in's body starts with the organisation that it was called for.
  static void CheckOrganisation(evhttp_request* request, const stream& s,
                                tally* t) {
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(body), '\0');
    evbuffer_copyout(body, text.data(), text.size());
    const std::size_t space = text.find(' ');
    if (space == std::string::npos || s.key == "-") return;
    if (text.substr(0, space) != s.organisation) ++t->wrong_organisation;
  }

  const run_options& options_;
  const std::vector<stream>& streams_;
  const std::vector<planned_call>& calls_;
  std::vector<tally> tallies_;
  std::vector<pool> pools_;
  std::vector<std::unique_ptr<connection>> connections_;
  event_base* base_;
  event* timer_ = nullptr;
  steady::time_point start_;
  std::size_t next_ = 0;
  std::size_t unfinished_ = 0;
};

}  // namespace

std::vector<tally> Run(const run_options& options,
                       const std::vector<stream>& streams,
                       const std::vector<planned_call>& calls) {
  return runner(options, streams, calls).Run();
}

}  // namespace pimentohall::load
