#include "fleet/http_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>
#include <optional>

namespace pimentohall::testing {
namespace {

constexpr std::chrono::milliseconds kGetTimeout(3000);
constexpr int kOk = 200;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

evhttp_cmd_type CommandOf(const std::string& method) {
  if (method == "PUT") return EVHTTP_REQ_PUT;
  if (method == "POST") return EVHTTP_REQ_POST;
  return EVHTTP_REQ_GET;
}

http_reply ReadReply(evhttp_request* request) {
  http_reply reply;
  reply.status = evhttp_request_get_response_code(request);
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* entry = headers->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    reply.headers[LowerCase(entry->key)] = entry->value;
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  reply.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, reply.body.data(), reply.body.size());
  return reply;
}

}  // namespace

std::string http_reply::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

class http_client::impl {
 public:
  impl(int port, std::chrono::milliseconds timeout)
      : port_(port),
        base_(event_base_new()),
        connection_(evhttp_connection_base_new(
            base_, nullptr, "127.0.0.1", static_cast<std::uint16_t>(port))) {
    constexpr int kMsPerSecond = 1000;
    timeval time{};
    time.tv_sec = timeout.count() / kMsPerSecond;
    time.tv_usec = timeout.count() % kMsPerSecond * kMsPerSecond;
    evhttp_connection_set_timeout_tv(connection_, &time);
  }
  ~impl() {
    evhttp_connection_free(connection_);
    event_base_free(base_);
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  fleet_result<http_reply> Send(const http_call& call) {
    reply_.reset();
    evhttp_request* request = evhttp_request_new(&impl::OnReply, this);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", "127.0.0.1");
    for (const auto& [name, value] : call.headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(),
                 call.body.size());
    evhttp_make_request(connection_, request, CommandOf(call.method),
                        call.path.c_str());
    event_base_dispatch(base_);
    if (reply_ && reply_->status != 0) return std::move(*reply_);
    return FleetError("port " + std::to_string(port_) + ": no answer to " +
                      call.method + " " + call.path);
  }

 private:
  static void OnReply(evhttp_request* request, void* argument) {
    auto* self = static_cast<impl*>(argument);
    if (request != nullptr) self->reply_ = ReadReply(request);
    event_base_loopbreak(self->base_);
  }

  int port_;
  event_base* base_;
  evhttp_connection* connection_;
  std::optional<http_reply> reply_;
};

http_client::http_client(int port, std::chrono::milliseconds timeout)
    : impl_(std::make_unique<impl>(port, timeout)) {}
http_client::~http_client() = default;
http_client::http_client(http_client&&) noexcept = default;
http_client& http_client::operator=(http_client&&) noexcept = default;

fleet_result<http_reply> http_client::Send(const http_call& call) {
  return impl_->Send(call);
}

fleet_result<std::string> HttpGet(int port, const std::string& path) {
  auto reply = http_client(port, kGetTimeout).Send({"GET", path, "", {}});
  if (!reply) return tl::make_unexpected(reply.error());
  if (reply->status != kOk) {
    return FleetError("port " + std::to_string(port) + ": " + path +
                      " answered " + std::to_string(reply->status));
  }
  return std::move(reply->body);
}

}  // namespace pimentohall::testing
