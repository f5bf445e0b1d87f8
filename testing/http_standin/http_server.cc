#include "http_standin/http_server.h"

#include <csignal>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace pimentohall::testing {
namespace {

constexpr ev_ssize_t kMaxBodyBytes = 2 * 1024 * 1024;
constexpr int kBacklog = 1024;

void BreakLoop(evutil_socket_t, short, void* base) {
  event_base_loopbreak(static_cast<event_base*>(base));
}

void RunOnce(evutil_socket_t, short, void* argument) {
  const std::unique_ptr<std::function<void()>> run(
      static_cast<std::function<void()>*>(argument));
  (*run)();
}

}  // namespace

void Reply(evhttp_request* request, int status, const std::string& body) {
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, body.data(), body.size());
  evhttp_send_reply(request, status, nullptr, buffer);
  evbuffer_free(buffer);
}

std::string Header(evhttp_request* request, const char* name) {
  const char* value =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? "" : value;
}

std::string Path(evhttp_request* request) {
  const char* path =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  return path == nullptr ? "" : path;
}

// libevent's parser refuses parameters without a value, such as "raw".
std::map<std::string, std::string> Query(evhttp_request* request) {
  std::map<std::string, std::string> result;
  const char* text =
      evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  std::istringstream parameters(text == nullptr ? "" : text);
  std::string parameter;
  while (std::getline(parameters, parameter, '&')) {
    const std::size_t equals = parameter.find('=');
    const std::string value =
        equals == std::string::npos ? "" : parameter.substr(equals + 1);
    const std::unique_ptr<char, void (*)(void*)> decoded(
        evhttp_uridecode(value.c_str(), 1, nullptr), std::free);
    result[parameter.substr(0, equals)] = decoded.get();
  }
  return result;
}

std::string Body(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

bool HasMethod(evhttp_request* request, evhttp_cmd_type method) {
  return evhttp_request_get_command(request) == method;
}

http_server::http_server() : base_(event_base_new()), http_(evhttp_new(base_)) {
  signal(SIGPIPE, SIG_IGN);
  evhttp_set_max_body_size(http_, kMaxBodyBytes);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD |
                                        EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE);
  evhttp_set_gencb(http_, &http_server::Dispatch, this);
  terminate_ = evsignal_new(base_, SIGTERM, BreakLoop, base_);
  interrupt_ = evsignal_new(base_, SIGINT, BreakLoop, base_);
  event_add(terminate_, nullptr);
  event_add(interrupt_, nullptr);
}

http_server::~http_server() {
  event_free(terminate_);
  event_free(interrupt_);
  evhttp_free(http_);
  event_base_free(base_);
}

void http_server::OnRequest(handler handler) { handler_ = std::move(handler); }

bool http_server::Listen(const std::string& address, int port) {
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(
      http_, address.c_str(), static_cast<std::uint16_t>(port));
  if (socket == nullptr) return false;
  listen(evhttp_bound_socket_get_fd(socket), kBacklog);
  return true;
}

void http_server::Run() { event_base_dispatch(base_); }

void http_server::After(std::chrono::microseconds delay,
                        std::function<void()> run) {
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  timeval time{};
  time.tv_sec = delay.count() / kMicrosPerSecond;
  time.tv_usec = delay.count() % kMicrosPerSecond;
  event_base_once(base_, -1, EV_TIMEOUT, RunOnce,
                  new std::function<void()>(std::move(run)), &time);
}

void http_server::Dispatch(evhttp_request* request, void* self) {
  static_cast<http_server*>(self)->handler_(request);
}

}  // namespace pimentohall::testing
