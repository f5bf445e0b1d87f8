#include "cli/admin_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <cstdlib>
#include <memory>

namespace pimentohall::cli {
namespace {

struct answer {
  event_base* base = nullptr;
  int status = 0;
  std::string body;
};

void OnAnswer(evhttp_request* request, void* argument) {
  auto* result = static_cast<answer*>(argument);
  if (request != nullptr) {
    result->status = evhttp_request_get_response_code(request);
    evbuffer* body = evhttp_request_get_input_buffer(request);
    result->body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, result->body.data(), result->body.size());
  }
  event_base_loopbreak(result->base);
}

}  // namespace

tl::expected<std::string, admin_error> AdminGet(const std::string& address,
                                                const std::string& path) {
  const std::size_t colon = address.rfind(':');
  const int port =
      colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
  if (port <= 0) {
    return tl::make_unexpected(
        admin_error{address, "is not of the form address:port"});
  }
  const std::unique_ptr<event_base, void (*)(event_base*)> base(
      event_base_new(), event_base_free);
  const std::unique_ptr<evhttp_connection, void (*)(evhttp_connection*)>
      connection(evhttp_connection_base_new(base.get(), nullptr,
                                            address.substr(0, colon).c_str(),
                                            static_cast<std::uint16_t>(port)),
                 evhttp_connection_free);
  evhttp_connection_set_timeout(connection.get(), kAdminTimeoutSeconds);
  answer result;
  result.base = base.get();
  evhttp_request* request = evhttp_request_new(OnAnswer, &result);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                    address.c_str());
  evhttp_make_request(connection.get(), request, EVHTTP_REQ_GET, path.c_str());
  event_base_dispatch(base.get());
  if (result.status == 0) {
    return tl::make_unexpected(admin_error{address, "no answer"});
  }
  if (result.status != HTTP_OK) {
    return tl::make_unexpected(
        admin_error{address, "answered " + std::to_string(result.status)});
  }
  return std::move(result.body);
}

std::string EncodeParameter(const std::string& text) {
  const std::unique_ptr<char, void (*)(void*)> encoded(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0),
      std::free);
  return encoded.get();
}

}  // namespace pimentohall::cli
