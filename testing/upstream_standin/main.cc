// Stand-in of an upstream, for tests, the demo and measurements.
//
// It serves every path: it takes one of --slots for about --service-ms, queues
// beyond that, and sheds (503 with Retry-After) beyond four times the slots. A
// cold upstream has --cold-slots until it has answered --warm-answers calls.
// The answer repeats the request's X-Call-Id, so that a caller can tell an
// answer that is not its own.
//
// A path that holds "crash" ends the process at once.
// GET /health, GET /load: {"load":0..1,"draining":bool}; --misleading reports
// an idle upstream whatever is true, --report-lag-ms delays the figures.
//
// Control, under /admin (not reached through the mesh, no route has it):
//   GET  /admin/counts  {"calls","executed","doubled","shed","cancelled",
//                        "keys_seen","cold_overloads"}
//   GET  /admin/posts   "ID COUNT" lines: how often each POST call ran here, to
//                       find calls that ran on two upstreams
//   POST /admin/cold, /admin/drain, /admin/serve

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <cstdint>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <unordered_map>

#include "http_standin/http_server.h"

namespace pimentohall::testing {
namespace {

constexpr int kShedFactor = 4;
constexpr int kColdOverloadFactor = 2;

struct upstream_options {
  int slots = 10;
  int cold_slots = 2;
  int warm_answers = 50;
  std::chrono::milliseconds service_time{5};
  std::chrono::milliseconds report_lag{1000};
  bool misleading = false;
  std::uint64_t seed = 1;
};

class upstream_standin {
 public:
  upstream_standin(http_server* server, upstream_options options)
      : server_(server), options_(options), random_(options.seed) {
    Sample();
  }

  // The server closes its connections after this object is gone.
  ~upstream_standin() {
    for (const work& w : running_) {
      evhttp_connection_set_closecb(evhttp_request_get_connection(w.request),
                                    nullptr, nullptr);
    }
  }
  upstream_standin(const upstream_standin&) = delete;
  upstream_standin& operator=(const upstream_standin&) = delete;

  void OnRequest(evhttp_request* request) {
    const std::string path = Path(request);
    if (path == "/health") return Reply(request, 200, "ok\n");
    if (path == "/load") return Reply(request, 200, LoadReport());
    if (path.compare(0, 7, "/admin/") == 0) {
      return OnAdmin(request, path.substr(7));
    }
    if (path.find("crash") != std::string::npos) _exit(1);
    OnCall(request);
  }

 private:
  struct work {
    std::uint64_t id = 0;
    evhttp_request* request = nullptr;
    bool in_slot = false;
  };

  int Slots() const {
    return answers_ < static_cast<std::uint64_t>(options_.warm_answers)
               ? options_.cold_slots
               : options_.slots;
  }

  void OnCall(evhttp_request* request) {
    ++calls_;
    if (!Header(request, "Authorization").empty()) ++keys_seen_;
    const int in_flight = static_cast<int>(running_.size());
    if (in_flight >= kShedFactor * Slots()) {
      ++shed_;
      evhttp_add_header(evhttp_request_get_output_headers(request),
                        "Retry-After", "1");
      return Reply(request, 503, "overloaded\n");
    }
    const bool cold = Slots() == options_.cold_slots;
    if (cold && in_flight >= kColdOverloadFactor * options_.cold_slots) {
      ++cold_overloads_;
    }
    CountExecution(request);
    const std::uint64_t id = ++next_work_;
    running_.push_back({id, request, false});
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  &upstream_standin::OnClose, this);
    FillSlots();
  }

  void CountExecution(evhttp_request* request) {
    ++executed_;
    const std::string call_id = Header(request, "X-Call-Id");
    if (call_id.empty() || !HasMethod(request, EVHTTP_REQ_POST)) return;
    if (++executions_[call_id] > 1) ++doubled_;
  }

  void FillSlots() {
    for (work& w : running_) {
      if (busy_ >= Slots()) return;
      if (w.in_slot) continue;
      w.in_slot = true;
      ++busy_;
      // Between half and one and a half times the mean, evenly.
      std::uniform_real_distribution<double> spread(0.5, 1.5);
      const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
          options_.service_time * spread(random_));
      if (time.count() == 0) return Finish(w.id);
      server_->After(time, [this, id = w.id] { Finish(id); });
    }
  }

  void Finish(std::uint64_t id) {
    for (auto it = running_.begin(); it != running_.end(); ++it) {
      if (it->id != id) continue;
      evhttp_request* request = it->request;
      running_.erase(it);
      --busy_;
      ++answers_;
      Answer(request);
      return FillSlots();
    }
  }

  void Answer(evhttp_request* request) {
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  nullptr, nullptr);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    const std::string call_id = Header(request, "X-Call-Id");
    if (!call_id.empty()) {
      evhttp_add_header(headers, "X-Call-Id", call_id.c_str());
    }
    if (draining_) evhttp_add_header(headers, "X-Upstream-Draining", "true");
    const std::string organisation =
        Header(request, "X-Pimentohall-Organisation");
    Reply(request, 200, organisation + " " + call_id + "\n");
  }

  static void OnClose(evhttp_connection* connection, void* argument) {
    auto* self = static_cast<upstream_standin*>(argument);
    for (auto it = self->running_.begin(); it != self->running_.end(); ++it) {
      if (evhttp_request_get_connection(it->request) != connection) continue;
      if (it->in_slot) --self->busy_;
      self->running_.erase(it);
      ++self->cancelled_;
      return self->FillSlots();
    }
  }

  std::string LoadReport() const {
    const double load =
        options_.misleading || samples_.empty() ? 0 : samples_.front();
    return nlohmann::json({{"load", load}, {"draining", draining_}}).dump() +
           "\n";
  }

  // Keeps the load of the last `report_lag`; reports give the oldest.
  void Sample() {
    constexpr std::chrono::milliseconds kInterval(100);
    samples_.push_back(static_cast<double>(running_.size()) / Slots());
    const auto kept =
        static_cast<std::size_t>(options_.report_lag / kInterval) + 1;
    while (samples_.size() > kept) samples_.pop_front();
    server_->After(kInterval, [this] { Sample(); });
  }

  void OnAdmin(evhttp_request* request, const std::string& verb) {
    if (verb == "counts") return Reply(request, 200, Counts());
    if (verb == "posts") return Reply(request, 200, Posts());
    if (verb == "cold") {
      answers_ = 0;
    } else if (verb == "drain" || verb == "serve") {
      draining_ = verb == "drain";
    } else {
      return Reply(request, 404, "");
    }
    Reply(request, 200, "");
  }

  std::string Counts() const {
    return nlohmann::json({{"calls", calls_},
                           {"executed", executed_},
                           {"doubled", doubled_},
                           {"shed", shed_},
                           {"cancelled", cancelled_},
                           {"keys_seen", keys_seen_},
                           {"cold_overloads", cold_overloads_}})
               .dump() +
           "\n";
  }

  std::string Posts() const {
    std::string lines;
    for (const auto& [call_id, count] : executions_) {
      lines += call_id + " " + std::to_string(count) + "\n";
    }
    return lines;
  }

  http_server* server_;
  upstream_options options_;
  std::mt19937_64 random_;
  std::list<work> running_;
  std::deque<double> samples_;
  std::unordered_map<std::string, std::uint64_t> executions_;  // Of POST calls.
  int busy_ = 0;
  bool draining_ = false;
  std::uint64_t next_work_ = 0;
  std::uint64_t answers_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t executed_ = 0;
  std::uint64_t doubled_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t keys_seen_ = 0;
  std::uint64_t cold_overloads_ = 0;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Stand-in of an upstream", ' ', "0.1.0");
  const upstream_options defaults;
  TCLAP::ValueArg<int> port("", "port", "port", true, 0, "port", line);
  TCLAP::ValueArg<int> slots("", "slots", "calls served at once when warm",
                             false, defaults.slots, "number", line);
  TCLAP::ValueArg<int> cold_slots("", "cold-slots",
                                  "calls served at once when cold", false,
                                  defaults.cold_slots, "number", line);
  TCLAP::ValueArg<int> warm_answers("", "warm-answers",
                                    "answers until it is warm", false,
                                    defaults.warm_answers, "number", line);
  TCLAP::ValueArg<int> service_ms("", "service-ms", "mean service time", false,
                                  5, "milliseconds", line);
  TCLAP::ValueArg<int> lag_ms("", "report-lag-ms", "age of load reports", false,
                              1000, "milliseconds", line);
  TCLAP::SwitchArg misleading("", "misleading", "always report idle", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of service times",
                                      false, 1, "number", line);
  line.parse(argc, argv);

  upstream_options options;
  options.slots = slots.getValue();
  options.cold_slots = cold_slots.getValue();
  options.warm_answers = warm_answers.getValue();
  options.service_time = std::chrono::milliseconds(service_ms.getValue());
  options.report_lag = std::chrono::milliseconds(lag_ms.getValue());
  options.misleading = misleading.getValue();
  options.seed = seed.getValue();

  http_server server;
  upstream_standin upstream(&server, options);
  server.OnRequest(
      [&](evhttp_request* request) { upstream.OnRequest(request); });
  if (!server.Listen("127.0.0.1", port.getValue())) return 1;
  server.Run();
  return 0;
}

}  // namespace
}  // namespace pimentohall::testing

int main(int argc, char** argv) {
  return pimentohall::testing::Main(argc, argv);
}
