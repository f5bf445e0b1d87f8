// The HTTP front on evhttp. Notes on libevent 2.1.12:
//
// - A request passes `FindRequestProblem` before it is processed. The
//   connection closes after a rejection, so later bytes are never parsed.
// - evhttp stops reading while a request is answered and so doesn't notice that
//   the client has disconnected. This file installs its own callbacks on the
//   bufferevent for that time. Bytes of a next request stay in the buffer.
// - If the length exceeds the limit, evhttp reads and drops the body before it
//   answers 413, since a client that is still sending would miss the answer. If
//   the body never arrives, the idle timeout closes the connection.
// - evhttp also takes bare LF line ends and signs or "0x" in chunk sizes, which
//   can't be detected here. Forwarded requests are framed anew, so this matters
//   only behind a proxy that parses them differently.
// - A client that shuts down its sending side before the answer counts as
//   disconnected.

#include <event2/bufferevent_ssl.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <openssl/crypto.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <unordered_map>

#include "net/raii.h"
#include "net/request_check.h"
#include "net/socket.h"
#include "net/tls.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

// Enough for a pipelined request's head; more waits in the kernel.
constexpr std::size_t kMaxPipelinedBytes = 32 * 1024;

const char* MethodName(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "";
  }
}

constexpr ev_uint16_t kMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

void ReleaseBody(const void*, std::size_t, void* owner) {
  delete static_cast<shared_bytes*>(owner);
}

header_list CopyHeaders(evhttp_request* request) {
  header_list headers;
  const evkeyvalq* queue = evhttp_request_get_input_headers(request);
  for (const evkeyval* entry = queue->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    headers.emplace_back(entry->key, entry->value);
  }
  return headers;
}

// Returns the digest of the key in the headers and erases the key from memory.
std::string ExtractKeyDigest(evhttp_request* request, header_list* headers) {
  constexpr std::string_view kScheme = "Bearer ";
  std::string digest;
  for (header& entry : *headers) {
    if (evutil_ascii_strcasecmp(entry.first.c_str(), "Authorization") != 0) {
      continue;
    }
    std::string& value = entry.second;
    if (value.size() > kScheme.size() &&
        evutil_ascii_strncasecmp(value.c_str(), kScheme.data(),
                                 kScheme.size()) == 0) {
      std::string_view key = value;
      key.remove_prefix(kScheme.size());
      digest = config::Sha256Hex(key);
    }
    OPENSSL_cleanse(value.data(), value.size());
    value.clear();
  }
  evkeyvalq* queue = evhttp_request_get_input_headers(request);
  for (evkeyval* entry = queue->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    if (evutil_ascii_strcasecmp(entry->key, "Authorization") == 0) {
      OPENSSL_cleanse(entry->value,
                      std::char_traits<char>::length(entry->value));
    }
  }
  return digest;
}

std::string ExtractBody(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

}  // namespace

class http_front::impl {
 public:
  impl(event_loop& loop, http_front_options options, http_front* owner)
      : loop_(loop), options_(std::move(options)), owner_(owner) {
    http_.reset(evhttp_new(loop.Base()));
    evhttp_set_allowed_methods(http_.get(), kMethods);
    evhttp_set_max_headers_size(http_.get(), options_.limits.header_bytes);
    evhttp_set_max_body_size(http_.get(), options_.limits.body_bytes);
    // Without this a client that is still sending gets a reset, not the 413.
    evhttp_set_flags(http_.get(), EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_default_content_type(http_.get(), nullptr);
    const timeval idle = {options_.limits.idle_connection_ms / 1000,
                          options_.limits.idle_connection_ms % 1000 * 1000};
    evhttp_set_timeout_tv(http_.get(), &idle);
    evhttp_set_bevcb(http_.get(), &impl::MakeBufferevent, this);
    evhttp_set_gencb(http_.get(), &impl::OnRequest, this);
  }

  ~impl() {
    // evhttp_free closes the connections, which would call `OnClose`.
    for (auto& [connection, state] : connections_) {
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    CloseBoundSocket();
  }

  tl::expected<int, std::string> Bind() {
    if (auto loaded = ReloadCertificates(); !loaded) {
      return tl::unexpected(loaded.error());
    }
    auto socket = OpenBoundSocket(options_.listen);
    if (!socket) return tl::unexpected(socket.error());
    bound_socket_ = *socket;
    return BoundPort(bound_socket_);
  }

  tl::expected<int, std::string> Listen() {
    if (bound_socket_ < 0) {
      if (auto port = Bind(); !port) return port;
    }
    if (auto listening = StartListening(bound_socket_, options_.listen);
        !listening) {
      return tl::unexpected(listening.error());
    }
    // evhttp closes the socket from here on.
    const int socket = std::exchange(bound_socket_, -1);
    bound_ = evhttp_accept_socket_with_handle(http_.get(), socket);
    return BoundPort(socket);
  }

  tl::expected<void, std::string> ReloadCertificates() {
    if (!options_.tls.IsSet()) return {};
    auto context = LoadTlsContext(options_.tls);
    if (!context) return tl::unexpected(context.error());
    tls_ = std::move(*context);
    return {};
  }

  void Answer(core::call_id call, const http_answer& answer) {
    const auto found = pending_.find(call);
    if (found == pending_.end()) return;
    evhttp_request* request = found->second;
    pending_.erase(found);
    connection_state& state =
        connections_[evhttp_request_get_connection(request)];
    state.call = 0;
    StopWatchingForDisconnect(&state);
    Reply(request, answer, stopping_);
  }

  void Stop(std::function<void()> done) {
    stopping_ = true;
    stopped_ = std::move(done);
    if (bound_ != nullptr) {
      evhttp_del_accept_socket(http_.get(), bound_);
      bound_ = nullptr;
    }
    CloseBoundSocket();
    CloseIdle();
    CheckStopped();
  }

  std::size_t Pending() const { return pending_.size(); }

 private:
  struct connection_state {
    evhttp_connection* connection = nullptr;
    core::call_id call = 0;  // 0: no call is pending.
    // evhttp's own callbacks while ours are in place.
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    void* argument = nullptr;
  };

  static bufferevent* MakeBufferevent(event_base* base, void* self) {
    return NewBufferevent(base, -1, static_cast<impl*>(self)->tls_.get(),
                          tls_role::kAccept);
  }

  static void OnRequest(evhttp_request* request, void* self) {
    static_cast<impl*>(self)->AcceptRequest(request);
  }

  // The connection is being closed; evhttp frees its request.
  static void OnClose(evhttp_connection* connection, void* self) {
    auto* front = static_cast<impl*>(self);
    const auto found = front->connections_.find(connection);
    if (found == front->connections_.end()) return;
    const core::call_id call = found->second.call;
    front->connections_.erase(found);
    if (call != 0) {
      front->pending_.erase(call);
      if (front->owner_->on_cancelled) front->owner_->on_cancelled(call);
    }
    front->CheckStopped();
  }

  static void OnPipelinedBytes(bufferevent*, void*) {}

  static void OnClientDisconnected(bufferevent*, short events, void* state) {
    // The idle timeout doesn't apply while the client waits for its answer.
    if ((events & BEV_EVENT_TIMEOUT) != 0) return;
    evhttp_connection_free(static_cast<connection_state*>(state)->connection);
  }

  void AcceptRequest(evhttp_request* request) {
    evhttp_connection* connection = evhttp_request_get_connection(request);
    connection_state& state = connections_[connection];
    if (state.connection == nullptr) {
      state.connection = connection;
      evhttp_connection_set_closecb(connection, &impl::OnClose, this);
    }
    request_head head = {MethodName(evhttp_request_get_command(request)),
                         evhttp_request_get_uri(request), request->minor,
                         CopyHeaders(request)};
    if (const char* problem = FindRequestProblem(head)) {
      return Reject(request, 400, "malformed_request", problem);
    }
    auto options = ParseCallOptions(head.headers);
    if (!options) {
      return Reject(request, 400, "malformed_request", options.error());
    }
    if (static_cast<std::int64_t>(pending_.size()) >=
        options_.limits.calls_in_flight) {
      return Reject(request, 503, "overloaded", "too many calls in flight");
    }
    core::call_arrived call;
    call.key_digest = ExtractKeyDigest(request, &head.headers);
    call.call = ++last_call_;
    call.method = std::move(head.method);
    call.path = std::move(head.target);
    call.idempotency_key = FindHeader(head.headers, "Idempotency-Key");
    call.deadline_ms = options->deadline_ms;
    call.traffic_class = options->traffic_class;
    call.retry = options->retry;
    call.depth = options->depth;
    http_message message = {ForwardedHeaders(head.headers),
                            ShareBytes(ExtractBody(request))};
    call.body_hash = XXH64(message.body->data(), message.body->size(), 0);
    state.call = call.call;
    pending_[call.call] = request;
    WatchForDisconnect(&state);
    owner_->on_call(std::move(call), std::move(message));
  }

  void WatchForDisconnect(connection_state* state) {
    bufferevent* stream = evhttp_connection_get_bufferevent(state->connection);
    bufferevent_getcb(stream, &state->read, &state->write, &state->event,
                      &state->argument);
    bufferevent_setcb(stream, &impl::OnPipelinedBytes, nullptr,
                      &impl::OnClientDisconnected, state);
    bufferevent_setwatermark(stream, EV_READ, 0, kMaxPipelinedBytes);
    bufferevent_enable(stream, EV_READ);
  }

  void StopWatchingForDisconnect(connection_state* state) {
    bufferevent* stream = evhttp_connection_get_bufferevent(state->connection);
    bufferevent_disable(stream, EV_READ);
    bufferevent_setwatermark(stream, EV_READ, 0, 0);
    bufferevent_setcb(stream, state->read, state->write, state->event,
                      state->argument);
  }

  void Reject(evhttp_request* request, int status, const char* reason,
              const char* problem) {
    http_answer answer;
    answer.status = status;
    answer.headers = {{"Content-Type", "application/json"},
                      {"X-Pimentohall-Not-Run", "true"}};
    answer.body =
        ShareBytes(std::string("{\"error\":\"") + problem + "\",\"reason\":\"" +
                   reason + "\",\"not_run\":true}");
    Reply(request, answer, true);
  }

  static void Reply(evhttp_request* request, const http_answer& answer,
                    bool close) {
    const bool is_head = evhttp_request_get_command(request) == EVHTTP_REQ_HEAD;
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    for (const auto& [name, value] : answer.headers) {
      if (IsHopByHop(name)) continue;
      // evhttp sets the length, except for HEAD, which has no body to count.
      if (!is_head &&
          evutil_ascii_strcasecmp(name.c_str(), "Content-Length") == 0) {
        continue;
      }
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (close) evhttp_add_header(headers, "Connection", "close");
    evbuffer* body = nullptr;
    if (answer.body && !answer.body->empty() && !is_head) {
      body = evhttp_request_get_output_buffer(request);
      evbuffer_add_reference(body, answer.body->data(), answer.body->size(),
                             &ReleaseBody, new shared_bytes(answer.body));
    }
    evhttp_send_reply(request, answer.status, nullptr, nullptr);
  }

  // Closes the socket that `Bind` opened if it never listened.
  void CloseBoundSocket() {
    if (bound_socket_ >= 0) close(std::exchange(bound_socket_, -1));
  }

  // Closes connections without a pending call or unprocessed bytes.
  void CloseIdle() {
    std::vector<evhttp_connection*> idle;
    for (const auto& [connection, state] : connections_) {
      bufferevent* stream = evhttp_connection_get_bufferevent(connection);
      if (state.call == 0 &&
          evbuffer_get_length(bufferevent_get_input(stream)) == 0 &&
          evbuffer_get_length(bufferevent_get_output(stream)) == 0) {
        idle.push_back(connection);
      }
    }
    for (evhttp_connection* connection : idle) {
      evhttp_connection_free(connection);
    }
  }

  void CheckStopped() {
    if (!stopping_ || !stopped_ || !connections_.empty()) return;
    loop_.Post(std::exchange(stopped_, nullptr));
  }

  event_loop& loop_;
  const http_front_options options_;
  http_front* const owner_;
  ssl_context_ptr tls_;
  std::unordered_map<evhttp_connection*, connection_state> connections_;
  std::unordered_map<core::call_id, evhttp_request*> pending_;
  core::call_id last_call_ = 0;
  int bound_socket_ = -1;  // Bound and not listening; -1: none.
  evhttp_bound_socket* bound_ = nullptr;
  bool stopping_ = false;
  std::function<void()> stopped_;
  // Declared last, so that it is destroyed first: closing connections uses the
  // other members.
  evhttp_ptr http_;
};

http_front::http_front(event_loop& loop, http_front_options options)
    : impl_(std::make_unique<impl>(loop, std::move(options), this)) {}
http_front::~http_front() = default;

tl::expected<int, std::string> http_front::Bind() { return impl_->Bind(); }
tl::expected<int, std::string> http_front::Listen() { return impl_->Listen(); }
void http_front::Answer(core::call_id call, const http_answer& answer) {
  impl_->Answer(call, answer);
}
void http_front::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}
tl::expected<void, std::string> http_front::ReloadCertificates() {
  return impl_->ReloadCertificates();
}
std::size_t http_front::Pending() const { return impl_->Pending(); }

}  // namespace pimentohall::net
