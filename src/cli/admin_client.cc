#include "cli/admin_client.h"

#include <event2/http.h>
#include <event2/util.h>
#include <netinet/in.h>

#include <cstdlib>
#include <memory>
#include <optional>

#include "pimentohall/net.h"

namespace pimentohall::cli {
namespace {

// A daemon of a large fleet lists all upstreams and peers.
constexpr std::int64_t kMaxPageBytes = 64 * 1024 * 1024;

// Returns the IP address of a host, or an empty text.
std::string ResolveHost(const std::string& host) {
  evutil_addrinfo hints{};
  hints.ai_family = AF_INET;
  hints.ai_socktype = SOCK_STREAM;
  evutil_addrinfo* found = nullptr;
  if (evutil_getaddrinfo(host.c_str(), nullptr, &hints, &found) != 0) return {};
  char text[INET_ADDRSTRLEN] = "";
  evutil_inet_ntop(AF_INET,
                   &reinterpret_cast<sockaddr_in*>(found->ai_addr)->sin_addr,
                   text, sizeof(text));
  evutil_freeaddrinfo(found);
  return text;
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
  net::event_loop loop;
  net::timer_service timers(loop);
  net::http_client client(loop, timers, 1, kMaxPageBytes);
  net::http_request request;
  request.target = {ResolveHost(address.substr(0, colon)), port};
  request.path = path;
  request.headers = {{"Host", address}};
  request.timeout = std::chrono::seconds(kAdminTimeoutSeconds);
  std::optional<net::http_answer> answer;
  client.Start(request,
               [&](tl::expected<net::http_answer, net::http_failure> result) {
                 if (result) answer = std::move(*result);
                 loop.Stop();
               });
  loop.Run();
  if (!answer) return tl::make_unexpected(admin_error{address, "no answer"});
  if (answer->status != HTTP_OK) {
    return tl::make_unexpected(
        admin_error{address, "answered " + std::to_string(answer->status)});
  }
  return *answer->body;
}

std::string EncodeParameter(const std::string& text) {
  const std::unique_ptr<char, void (*)(void*)> encoded(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0),
      std::free);
  return encoded.get();
}

}  // namespace pimentohall::cli
