#include "node/page_server.h"

namespace pimentohall::node {
namespace {

constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr auto kIdleTimeout = std::chrono::seconds(60);
constexpr auto kHeadTimeout = std::chrono::seconds(10);
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kTooLarge = 413;

stream::server_options Options(net::endpoint listen,
                               stream::client_limits clients) {
  stream::server_options options;
  options.listen = std::move(listen);
  options.idle_timeout = kIdleTimeout;
  options.head_timeout = kHeadTimeout;
  options.max_head_bytes = kMaxHeadBytes;
  options.clients = clients;
  return options;
}

}  // namespace

page_server::page_server(net::event_loop& loop, net::timer_service& timers,
                         net::endpoint listen, stream::client_limits clients)
    : server_(loop, timers, Options(std::move(listen), clients)) {
  server_.on_request =
      [this](const std::shared_ptr<stream::server_exchange>& call,
             const stream::message_head& head) { Answer(call, head); };
}

void page_server::AddPage(const std::string& path, page content) {
  pages_[path] = std::move(content);
}

void page_server::Answer(const std::shared_ptr<stream::server_exchange>& call,
                         const stream::message_head& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const auto found = pages_.find(path);
  const bool has_body =
      request.framing == stream::body_framing::kChunked || request.length > 0;
  net::http_answer answer;
  if (has_body) {
    answer.status = kTooLarge;
  } else if (request.method != "GET") {
    answer.status = kMethodNotAllowed;
  } else if (found == pages_.end()) {
    answer.status = kNotFound;
  } else {
    answer = found->second();
  }
  stream::message_head head;
  head.status = answer.status;
  head.headers = answer.headers;
  head.framing = stream::body_framing::kLength;
  head.length = answer.body ? answer.body->size() : 0;
  head.close = has_body;
  call->SendHead(head);
  if (answer.body) call->SendData(*answer.body);
  call->SendEnd();
  server_.FinishRequest(call);
}

}  // namespace pimentohall::node
