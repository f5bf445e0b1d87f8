// Stand-in of the platform's configuration source, for tests and the demo.
//
// Read side (the Consul KV HTTP API's blocking query):
//   GET /v1/kv/KEY?raw[&index=N&wait=30s]
// Each read and each waiting watch counts as one call; beyond
// --reads-per-second the answer is 429.
//
// Control side, on --admin-port:
//   PUT  /kv/KEY          sets a value (at most 1 MB)
//   POST /state?up=0|1&stale=0|1
//   GET  /counts          {"reads":N,"refused":N,"waiting":N,"peak_per_s":N}

#include <netinet/in.h>
#include <sys/socket.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdlib>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "http_standin/http_server.h"

namespace pimentohall::testing {
namespace {

constexpr std::size_t kMaxValueBytes = 1024 * 1024;
constexpr int kDefaultWaitSeconds = 300;

class source_standin {
 public:
  source_standin(http_server* server, std::uint64_t reads_per_second)
      : server_(server), reads_per_second_(reads_per_second) {
    CountSecond();
  }

  // The server closes its connections after this object is gone.
  ~source_standin() {
    for (const watch& w : watches_) {
      evhttp_connection_set_closecb(evhttp_request_get_connection(w.request),
                                    nullptr, nullptr);
    }
  }
  source_standin(const source_standin&) = delete;
  source_standin& operator=(const source_standin&) = delete;

  void OnRead(evhttp_request* request) {
    static const std::string kPrefix = "/v1/kv/";
    const std::string path = Path(request);
    if (!up_) return Reply(request, 503, "source is down\n");
    if (path.compare(0, kPrefix.size(), kPrefix) != 0) {
      return Reply(request, 404, "");
    }
    ++reads_;
    if (++reads_this_second_ > reads_per_second_) {
      ++refused_;
      return Reply(request, 429, "too many reads\n");
    }
    const std::string key = path.substr(kPrefix.size());
    const auto query = Query(request);
    const auto index = query.find("index");
    const std::uint64_t known =
        index == query.end()
            ? 0
            : std::strtoull(index->second.c_str(), nullptr, 10);
    if (known == 0 || known != IndexOf(key)) return Answer(request, key);
    int wait_seconds = kDefaultWaitSeconds;
    const auto wait = query.find("wait");
    if (wait != query.end()) wait_seconds = std::atoi(wait->second.c_str());
    Wait(request, key, wait_seconds);
  }

  void OnAdmin(evhttp_request* request) {
    const std::string path = Path(request);
    static const std::string kValues = "/kv/";
    if (path == "/counts") return Reply(request, 200, Counts());
    if (path == "/state") {
      SetState(Query(request));
      return Reply(request, 200, "");
    }
    if (path.compare(0, kValues.size(), kValues) == 0 &&
        HasMethod(request, EVHTTP_REQ_PUT)) {
      const std::string value = Body(request);
      if (value.size() > kMaxValueBytes) {
        return Reply(request, 413, "a value holds at most 1 MB\n");
      }
      Put(path.substr(kValues.size()), value);
      return Reply(request, 200, "");
    }
    Reply(request, 404, "");
  }

 private:
  struct entry {
    std::uint64_t index = 0;
    std::string value;
  };
  struct watch {
    std::uint64_t id = 0;
    std::string key;
    evhttp_request* request = nullptr;
  };
  using entries = std::map<std::string, entry>;

  const entries& Values() const { return stale_ ? *stale_ : values_; }

  std::uint64_t IndexOf(const std::string& key) const {
    const auto found = Values().find(key);
    return found == Values().end() ? 0 : found->second.index;
  }

  void Answer(evhttp_request* request, const std::string& key) {
    const auto found = Values().find(key);
    const bool exists = found != Values().end();
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "X-Consul-Index",
                      std::to_string(exists ? found->second.index : 1).c_str());
    Reply(request, exists ? 200 : 404, exists ? found->second.value : "");
  }

  void Wait(evhttp_request* request, const std::string& key, int seconds) {
    const std::uint64_t id = ++next_watch_;
    watches_.push_back({id, key, request});
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  &source_standin::OnClose, this);
    server_->After(std::chrono::seconds(seconds), [this, id] {
      FinishIf([id](const watch& w) { return w.id == id; });
    });
  }

  static void OnClose(evhttp_connection* connection, void* self) {
    static_cast<source_standin*>(self)->watches_.remove_if(
        [connection](const watch& w) {
          return evhttp_request_get_connection(w.request) == connection;
        });
  }

  template <typename predicate>
  void FinishIf(predicate matches) {
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (!matches(*it)) {
        ++it;
        continue;
      }
      const watch ended = *it;
      it = watches_.erase(it);
      evhttp_connection_set_closecb(
          evhttp_request_get_connection(ended.request), nullptr, nullptr);
      Answer(ended.request, ended.key);
    }
  }

  void Put(const std::string& key, const std::string& value) {
    values_[key] = {++index_, value};
    if (!up_ || stale_) return;
    FinishIf([&key](const watch& w) { return w.key == key; });
  }

  void SetState(const std::map<std::string, std::string>& query) {
    const auto up = query.find("up");
    if (up != query.end()) up_ = up->second == "1";
    const auto stale = query.find("stale");
    if (stale == query.end()) return;
    if (stale->second == "1") {
      stale_ = values_;
    } else {
      stale_.reset();
      FinishIf([](const watch&) { return true; });
    }
  }

  std::string Counts() const {
    return nlohmann::json({{"reads", reads_},
                           {"refused", refused_},
                           {"waiting", watches_.size()},
                           {"peak_per_s", peak_per_second_}})
               .dump() +
           "\n";
  }

  void CountSecond() {
    // A waiting watch counts as one read in every second that it waits.
    peak_per_second_ = std::max(peak_per_second_, reads_this_second_);
    reads_this_second_ = watches_.size();
    server_->After(std::chrono::seconds(1), [this] { CountSecond(); });
  }

  http_server* server_;
  std::uint64_t reads_per_second_;
  bool up_ = true;
  std::uint64_t index_ = 1;
  std::uint64_t next_watch_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t reads_this_second_ = 0;
  std::uint64_t peak_per_second_ = 0;
  entries values_;
  std::optional<entries> stale_;
  std::list<watch> watches_;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Stand-in of the configuration source", ' ', "0.1.0");
  TCLAP::ValueArg<int> port("", "port", "port of the read side", true, 0,
                            "port", line);
  TCLAP::ValueArg<int> admin_port("", "admin-port", "port of the control side",
                                  true, 0, "port", line);
  TCLAP::ValueArg<std::uint64_t> limit("", "reads-per-second",
                                       "greatest number of reads a second",
                                       false, 2000, "number", line);
  line.parse(argc, argv);
  http_server server;
  source_standin source(&server, limit.getValue());
  evhttp* admin = evhttp_new(server.Base());
  evhttp_set_allowed_methods(admin,
                             EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST);
  evhttp_set_gencb(
      admin,
      [](evhttp_request* request, void* self) {
        static_cast<source_standin*>(self)->OnAdmin(request);
      },
      &source);
  server.OnRequest([&](evhttp_request* request) { source.OnRead(request); });
  const bool bound =
      server.Listen("127.0.0.1", port.getValue()) &&
      evhttp_bind_socket(admin, "127.0.0.1",
                         static_cast<std::uint16_t>(admin_port.getValue())) ==
          0;
  if (bound) server.Run();
  evhttp_free(admin);
  return bound ? 0 : 1;
}

}  // namespace
}  // namespace pimentohall::testing

int main(int argc, char** argv) {
  return pimentohall::testing::Main(argc, argv);
}
