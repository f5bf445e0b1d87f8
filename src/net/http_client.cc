// Pooled HTTP/1.1 connections on evhttp's client.
//
// evhttp reports a failed request without saying whether any of it was
// written, and a call may be sent again only if nothing was. So each
// connection counts the bytes written to its socket, with a callback on the
// output buffer that is told how many bytes were removed. evhttp also drains
// that buffer when it resets a connection; by then it has closed the socket or
// disabled writing, and such a removal isn't counted. A byte counts as written
// once the kernel has accepted it, even if the peer never reads it.
//
// Further constraints of libevent 2.1.12:
//
// - Retries stay at their default of 0, and no connection ever has a second
//   request queued: evhttp would connect again for it.
// - A connection goes back to the pool only if it is open and its input buffer
//   is empty; evhttp would parse left-over bytes as the next answer. Before it
//   is reused, the socket is checked again for a close by the peer.
// - It reads malformed answers, and keeps chunk lines, interim answers and what
//   arrives before the request is written without a limit. So `answer_check`
//   reads the bytes of an answer before evhttp does.
// - evhttp_connection_free isn't called from evhttp's own callbacks; discarded
//   connections are freed in the next iteration of the event loop.

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <unordered_map>

#include "net/raii.h"
#include "net/request_check.h"
#include "net/socket.h"
#include "net/syntax_check.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

using connection_ptr =
    std::unique_ptr<evhttp_connection, free_with<evhttp_connection_free>>;

// Longer than any deadline, so that evhttp's own timeouts never fire first.
constexpr int kEvhttpTimeoutSeconds = 3600;
// The connection is closed if sent bytes stay unacknowledged for this long.
constexpr auto kUnacknowledgedTimeout = std::chrono::seconds(2);
constexpr ev_ssize_t kMaxAnswerHeaderBytes = 16 * 1024;

std::optional<evhttp_cmd_type> MethodType(const std::string& name) {
  static const std::unordered_map<std::string, evhttp_cmd_type> kTypes = {
      {"GET", EVHTTP_REQ_GET},       {"POST", EVHTTP_REQ_POST},
      {"HEAD", EVHTTP_REQ_HEAD},     {"PUT", EVHTTP_REQ_PUT},
      {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS},
      {"PATCH", EVHTTP_REQ_PATCH}};
  const auto found = kTypes.find(name);
  if (found == kTypes.end()) return std::nullopt;
  return found->second;
}

// Returns the position of `name`, in lower case, in `text`.
std::size_t FindIgnoringCase(const std::string& text, std::string_view name) {
  const auto found = std::search(
      text.begin(), text.end(), name.begin(), name.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == b;
      });
  return found == text.end() ? std::string::npos
                             : static_cast<std::size_t>(found - text.begin());
}

bool IsIpAddress(const std::string& address) {
  sockaddr_storage parsed{};
  int size = sizeof(parsed);
  return evutil_parse_sockaddr_port(
             address.c_str(), reinterpret_cast<sockaddr*>(&parsed), &size) == 0;
}

std::string PoolKey(const endpoint& target) {
  return target.address + " " + std::to_string(target.port);
}

// Checks the bytes of an answer in their order of arrival.
class answer_check {
 public:
  void Begin() {
    *this = {};
    syntax_.BeginHead();
  }

  // False: the answer is malformed, or its heads are too long.
  bool Add(std::string_view bytes) {
    while (!bytes.empty() && part_ != part::kUnchecked) {
      const std::optional<std::size_t> valid = syntax_.Check(bytes);
      if (!valid) return false;
      if (part_ == part::kHead) {
        head_.append(bytes.substr(0, *valid));
        head_bytes_ += *valid;
        if (head_bytes_ > kMaxAnswerHeaderBytes) return false;
      }
      bytes.remove_prefix(*valid);
      if (syntax_.HasSectionEnded()) EndSection();
    }
    return true;
  }

 private:
  enum class part { kHead, kChunks, kUnchecked };

  void EndSection() {
    if (part_ == part::kChunks) {
      part_ = part::kUnchecked;
      return;
    }
    const std::string head = std::exchange(head_, {});
    // The status line is valid; empty lines may precede it.
    constexpr std::size_t kStatusAt = sizeof("HTTP/1.1 ") - 1;
    if (head[head.find('H') + kStatusAt] == '1') {
      syntax_.BeginHead();  // An interim answer.
      return;
    }
    // Other codings are rejected when evhttp has read the answer.
    const bool is_chunked =
        FindIgnoringCase(head, "\ntransfer-encoding:") != std::string::npos;
    part_ = is_chunked ? part::kChunks : part::kUnchecked;
    syntax_.BeginBody(is_chunked);
  }

  syntax_check syntax_{syntax_check::first_line::kStatus};
  part part_ = part::kHead;
  std::string head_;
  std::size_t head_bytes_ = 0;  // With those of interim answers.
};

struct connection {
  connection_ptr http;
  answer_check check;
  // Called once when the answer is broken; empty: it was called.
  std::function<void()> on_broken_answer;
  std::size_t max_unparsed_bytes = 0;
  std::size_t written = 0;  // Bytes of the current request.
  bool unusable = false;    // Must not return to the pool.
  core::instant idle_since;
};

bool IsOpen(const connection& conn) {
  bufferevent* stream = evhttp_connection_get_bufferevent(conn.http.get());
  return bufferevent_getfd(stream) >= 0 &&
         evbuffer_get_length(bufferevent_get_input(stream)) == 0;
}

// True if the peer has neither closed the connection nor sent anything.
bool IsReusable(const connection& conn) {
  if (!IsOpen(conn)) return false;
  bufferevent* stream = evhttp_connection_get_bufferevent(conn.http.get());
  char byte = 0;
  return recv(bufferevent_getfd(stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
             0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

void CountWrittenBytes(evbuffer* /*output*/, const evbuffer_cb_info* info,
                       void* argument) {
  auto* conn = static_cast<connection*>(argument);
  bufferevent* stream = evhttp_connection_get_bufferevent(conn->http.get());
  const bool by_socket = bufferevent_getfd(stream) >= 0 &&
                         (bufferevent_get_enabled(stream) & EV_WRITE) != 0;
  if (by_socket) conn->written += info->n_deleted;
}

void CheckReadBytes(evbuffer* input, const evbuffer_cb_info* info,
                    void* argument) {
  auto* conn = static_cast<connection*>(argument);
  if (info->n_added == 0 || !conn->on_broken_answer) return;
  const std::size_t size = evbuffer_get_length(input);
  std::string bytes(info->n_added, '\0');
  evbuffer_ptr start;
  evbuffer_ptr_set(input, &start, size - info->n_added, EVBUFFER_PTR_SET);
  evbuffer_copyout_from(input, &start, bytes.data(), bytes.size());
  if (conn->check.Add(bytes) && size <= conn->max_unparsed_bytes) return;
  conn->unusable = true;
  std::exchange(conn->on_broken_answer, nullptr)();
}

}  // namespace

class http_client::impl {
 public:
  impl(event_loop& loop, timer_service& timers, int connections_per_target,
       std::int64_t max_answer_bytes)
      : loop_(loop),
        timers_(timers),
        connections_per_target_(connections_per_target),
        max_answer_bytes_(max_answer_bytes) {
    free_discarded_event_ = event_ptr(evtimer_new(
        loop.Base(),
        [](evutil_socket_t, short, void* self) {
          static_cast<impl*>(self)->discarded_.clear();
        },
        this));
  }

  ~impl() {
    for (auto& [id, running] : exchanges_) running->timer.disconnect();
  }

  request_id Start(const http_request& request, handler done) {
    const request_id id = ++last_id_;
    auto running = std::make_unique<exchange>();
    running->client = this;
    running->id = id;
    running->done = std::move(done);
    running->key = PoolKey(request.target);
    running->timer =
        timers_.After(std::max(request.timeout, core::duration(0)),
                      sigc::slot<void()>([this, id] { OnTimeout(id); }));
    exchange* started = running.get();
    exchanges_[id] = std::move(running);
    if (!Write(started, request)) {
      loop_.Post([this, id, alive = std::weak_ptr<int>(alive_)] {
        if (alive.expired()) return;
        Finish(id, tl::unexpected(http_failure::kNotSent));
      });
    }
    return id;
  }

  bool Cancel(request_id id) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) return false;
    const connection* conn = found->second->conn.get();
    const bool sent = conn != nullptr && conn->written != 0;
    Abandon(found->second.get());
    RemoveExchange(found);
    return sent;
  }

  void RetainTargets(const std::vector<endpoint>& targets) {
    for (auto& [key, pool] : pools_) {
      const bool kept = std::any_of(
          targets.begin(), targets.end(),
          [&key = key](const endpoint& e) { return PoolKey(e) == key; });
      if (kept) continue;
      for (auto& conn : pool.idle) DiscardLater(std::move(conn));
      pool.idle.clear();
    }
  }

  std::size_t IdleConnections() const {
    std::size_t count = 0;
    for (const auto& [key, pool] : pools_) count += pool.idle.size();
    return count;
  }

 private:
  struct exchange {
    impl* client = nullptr;
    request_id id = 0;
    handler done;
    std::string key;                    // Of the target's pool.
    std::unique_ptr<connection> conn;   // Null until evhttp has the request.
    evhttp_request* request = nullptr;  // Null once evhttp is done with it.
    sigc::connection timer;             // The request's timeout.
  };
  using exchange_map =
      std::unordered_map<request_id, std::unique_ptr<exchange>>;
  struct target_pool {
    std::vector<std::unique_ptr<connection>> idle;  // Most recently used last.
    int running = 0;  // Connections with a request in progress.
  };

  std::unique_ptr<connection> TakeConnection(target_pool* pool,
                                             const endpoint& target) {
    while (!pool->idle.empty()) {
      std::unique_ptr<connection> conn = std::move(pool->idle.back());
      pool->idle.pop_back();
      if (IsReusable(*conn)) return conn;
      DiscardLater(std::move(conn));
    }
    auto conn = std::make_unique<connection>();
    conn->http.reset(evhttp_connection_base_new(
        loop_.Base(), nullptr, target.address.c_str(),
        static_cast<ev_uint16_t>(target.port)));
    evhttp_connection_set_timeout(conn->http.get(), kEvhttpTimeoutSeconds);
    evhttp_connection_set_max_headers_size(conn->http.get(),
                                           kMaxAnswerHeaderBytes);
    evhttp_connection_set_max_body_size(conn->http.get(), max_answer_bytes_);
    bufferevent* stream = evhttp_connection_get_bufferevent(conn->http.get());
    evbuffer_add_cb(bufferevent_get_output(stream), &CountWrittenBytes,
                    conn.get());
    evbuffer_add_cb(bufferevent_get_input(stream), &CheckReadBytes, conn.get());
    // evhttp takes a body of a known length from the buffer when it is whole.
    conn->max_unparsed_bytes =
        static_cast<std::size_t>(max_answer_bytes_ + kMaxAnswerHeaderBytes);
    return conn;
  }

  bool Write(exchange* running, const http_request& request) {
    const std::optional<evhttp_cmd_type> type = MethodType(request.method);
    if (!type || !IsIpAddress(request.target.address)) return false;
    target_pool& pool = pools_[running->key];
    if (pool.running >= connections_per_target_) return false;
    ++pool.running;
    running->conn = TakeConnection(&pool, request.target);
    running->conn->written = 0;
    running->conn->check.Begin();
    running->conn->on_broken_answer = [this, id = running->id] {
      OnBrokenAnswer(id);
    };
    evhttp_request* evhttp_call = evhttp_request_new(&impl::OnDone, running);
    FillRequest(evhttp_call, request);
    running->request = evhttp_call;
    evhttp_connection* http = running->conn->http.get();
    // On failure evhttp has freed the request.
    if (evhttp_make_request(http, evhttp_call, *type, request.path.c_str()) !=
        0) {
      running->request = nullptr;
      running->conn->unusable = true;
      return false;
    }
    // Null if the request failed at once, which was already reported.
    if (running->request == nullptr) return true;
    const int socket =
        bufferevent_getfd(evhttp_connection_get_bufferevent(http));
    DisableNagle(socket);
    SetPeerTimeout(socket, kUnacknowledgedTimeout);
    return true;
  }

  static void FillRequest(evhttp_request* evhttp_call,
                          const http_request& request) {
    evkeyvalq* headers = evhttp_request_get_output_headers(evhttp_call);
    bool has_host = false;
    for (const auto& [name, value] : request.headers) {
      has_host = has_host || evutil_ascii_strcasecmp(name.c_str(), "Host") == 0;
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (!has_host) {
      const std::string host =
          request.target.address + ":" + std::to_string(request.target.port);
      evhttp_add_header(headers, "Host", host.c_str());
    }
    if (!request.body || request.body->empty()) return;
    evbuffer_add_reference(
        evhttp_request_get_output_buffer(evhttp_call), request.body->data(),
        request.body->size(),
        [](const void*, std::size_t, void* owner) {
          delete static_cast<shared_bytes*>(owner);
        },
        new shared_bytes(request.body));
  }

  // evhttp calls this once for each request, with null if the request failed.
  static void OnDone(evhttp_request* request, void* argument) {
    auto* running = static_cast<exchange*>(argument);
    running->request = nullptr;
    running->client->OnAnswer(running, request);
  }

  void OnAnswer(exchange* running, evhttp_request* request) {
    const bool is_broken = !running->conn->on_broken_answer;
    if (request == nullptr || request->response_code == 0 || is_broken) {
      running->conn->unusable = true;
      return FinishLater(
          running->id,
          tl::unexpected(running->conn->written == 0 ? http_failure::kNotSent
                                                     : http_failure::kLost));
    }
    http_answer answer;
    answer.status = evhttp_request_get_response_code(request);
    const evkeyvalq* queue = evhttp_request_get_input_headers(request);
    for (const evkeyval* entry = queue->tqh_first; entry != nullptr;
         entry = entry->next.tqe_next) {
      answer.headers.emplace_back(entry->key, entry->value);
    }
    if (FindAnswerProblem(answer.status, answer.headers) != nullptr) {
      running->conn->unusable = true;
      return FinishLater(running->id, tl::unexpected(http_failure::kLost));
    }
    evbuffer* buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    answer.body = ShareBytes(std::move(body));
    FinishLater(running->id, std::move(answer));
  }

  // Reports the result in the next iteration of the event loop. Handlers may
  // start and cancel requests, which evhttp doesn't allow for the connection
  // whose callback is running, and a failure may be reported from inside
  // `Start`.
  void FinishLater(request_id id, tl::expected<http_answer, http_failure> end) {
    finished_.emplace_back(id, std::move(end));
    if (finished_.size() > 1) return;
    loop_.Post([this, alive = std::weak_ptr<int>(alive_)] {
      if (alive.expired()) return;
      auto batch = std::move(finished_);
      finished_.clear();
      for (auto& [done, result] : batch) Finish(done, std::move(result));
    });
  }

  void Finish(request_id id, tl::expected<http_answer, http_failure> end) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) return;
    const handler done = std::move(found->second->done);
    RemoveExchange(found);
    done(std::move(end));
  }

  void OnTimeout(request_id id) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end() || found->second->request == nullptr) return;
    exchange* running = found->second.get();
    const bool sent = running->conn->written != 0;
    Abandon(running);
    Finish(id, tl::unexpected(sent ? http_failure::kTimeout
                                   : http_failure::kNotSent));
  }

  // evhttp is reading the connection, which therefore ends on a later turn.
  void OnBrokenAnswer(request_id id) {
    loop_.Post([this, id, alive = std::weak_ptr<int>(alive_)] {
      if (alive.expired()) return;
      const auto found = exchanges_.find(id);
      // Not set: evhttp has ended the request, and its end was reported.
      if (found == exchanges_.end() || !found->second->request) return;
      Abandon(found->second.get());
      Finish(id, tl::unexpected(http_failure::kLost));
    });
  }

  // Stops evhttp from working on the request; its callback isn't called.
  static void Abandon(exchange* running) {
    if (running->request == nullptr) return;
    running->conn->unusable = true;
    evhttp_cancel_request(std::exchange(running->request, nullptr));
  }

  void RemoveExchange(exchange_map::iterator found) {
    exchange& running = *found->second;
    running.timer.disconnect();
    if (running.conn) {
      target_pool& pool = pools_[running.key];
      --pool.running;
      if (!running.conn->unusable && IsOpen(*running.conn)) {
        pool.idle.push_back(std::move(running.conn));
      } else {
        DiscardLater(std::move(running.conn));
      }
    }
    exchanges_.erase(found);
  }

  void DiscardLater(std::unique_ptr<connection> conn) {
    discarded_.push_back(std::move(conn));
    event_active(free_discarded_event_.get(), EV_TIMEOUT, 0);
  }

  event_loop& loop_;
  timer_service& timers_;
  const int connections_per_target_;
  const std::int64_t max_answer_bytes_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  event_ptr free_discarded_event_;
  request_id last_id_ = 0;
  std::map<std::string, target_pool> pools_;
  exchange_map exchanges_;
  std::vector<std::pair<request_id, tl::expected<http_answer, http_failure>>>
      finished_;
  std::vector<std::unique_ptr<connection>> discarded_;
};

http_client::http_client(event_loop& loop, timer_service& timers,
                         int connections_per_target,
                         std::int64_t max_answer_bytes)
    : impl_(std::make_unique<impl>(loop, timers, connections_per_target,
                                   max_answer_bytes)) {}
http_client::~http_client() = default;

http_client::request_id http_client::Start(const http_request& request,
                                           handler done) {
  return impl_->Start(request, std::move(done));
}
bool http_client::Cancel(request_id request) { return impl_->Cancel(request); }
void http_client::RetainTargets(const std::vector<endpoint>& targets) {
  impl_->RetainTargets(targets);
}
std::size_t http_client::IdleConnections() const {
  return impl_->IdleConnections();
}

}  // namespace pimentohall::net
