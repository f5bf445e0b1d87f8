// Pages for operators, served by evhttp. The server listens on the loopback
// address unless the settings name another one. No page shows keys or their
// digests.

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <map>

#include "net/raii.h"
#include "net/socket.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

constexpr ev_ssize_t kMaxHeaderBytes = 16 * 1024;
constexpr int kIdleTimeoutSeconds = 60;

page_query ReadQuery(const char* text) {
  page_query query;
  evkeyvalq parsed{};
  if (text == nullptr || evhttp_parse_query_str(text, &parsed) != 0) {
    return query;
  }
  for (const evkeyval* entry = parsed.tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    query.emplace_back(entry->key, entry->value);
  }
  evhttp_clear_headers(&parsed);
  return query;
}

}  // namespace

class admin_server::impl {
 public:
  impl(event_loop& loop, endpoint listen) : listen_(std::move(listen)) {
    http_.reset(evhttp_new(loop.Base()));
    evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET);
    evhttp_set_max_headers_size(http_.get(), kMaxHeaderBytes);
    evhttp_set_max_body_size(http_.get(), 0);
    evhttp_set_timeout(http_.get(), kIdleTimeoutSeconds);
    evhttp_set_default_content_type(http_.get(), "text/plain");
    evhttp_set_gencb(http_.get(), &impl::OnRequest, this);
  }

  void AddPage(const std::string& path,
               std::function<http_answer(const page_query&)> page) {
    pages_[path] = std::move(page);
  }

  tl::expected<int, std::string> Listen() {
    auto socket = OpenListeningSocket(listen_);
    if (!socket) return tl::make_unexpected(socket.error());
    evhttp_accept_socket(http_.get(), *socket);
    return BoundPort(*socket);
  }

 private:
  static void OnRequest(evhttp_request* request, void* self) {
    static_cast<impl*>(self)->HandleRequest(request);
  }

  void HandleRequest(evhttp_request* request) {
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    const auto page = pages_.find(path == nullptr ? "" : path);
    if (page == pages_.end()) {
      evhttp_send_error(request, HTTP_NOTFOUND, nullptr);
      return;
    }
    const http_answer answer =
        page->second(ReadQuery(evhttp_uri_get_query(uri)));
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    for (const auto& [name, value] : answer.headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (answer.body) {
      evbuffer_add(evhttp_request_get_output_buffer(request),
                   answer.body->data(), answer.body->size());
    }
    evhttp_send_reply(request, answer.status, nullptr, nullptr);
  }

  const endpoint listen_;
  std::map<std::string, std::function<http_answer(const page_query&)>> pages_;
  evhttp_ptr http_;
};

admin_server::admin_server(event_loop& loop, endpoint listen)
    : impl_(std::make_unique<impl>(loop, std::move(listen))) {}
admin_server::~admin_server() = default;

void admin_server::AddPage(const std::string& path,
                           std::function<http_answer(const page_query&)> page) {
  impl_->AddPage(path, std::move(page));
}
tl::expected<int, std::string> admin_server::Listen() {
  return impl_->Listen();
}

}  // namespace pimentohall::net
