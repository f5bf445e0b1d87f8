#ifndef PIMENTOHALL_NET_RAII_H_
#define PIMENTOHALL_NET_RAII_H_

// Owning pointers for the C libraries.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <openssl/ssl.h>

#include <memory>

namespace pimentohall::net {

template <auto free_function>
struct free_with {
  template <typename object>
  void operator()(object* pointer) const {
    free_function(pointer);
  }
};

using event_base_ptr = std::unique_ptr<event_base, free_with<event_base_free>>;
using event_ptr = std::unique_ptr<event, free_with<event_free>>;
using bufferevent_ptr =
    std::unique_ptr<bufferevent, free_with<bufferevent_free>>;
using evhttp_ptr = std::unique_ptr<evhttp, free_with<evhttp_free>>;
using evhttp_uri_ptr = std::unique_ptr<evhttp_uri, free_with<evhttp_uri_free>>;
using listener_ptr =
    std::unique_ptr<evconnlistener, free_with<evconnlistener_free>>;
using ssl_context_ptr = std::unique_ptr<SSL_CTX, free_with<SSL_CTX_free>>;

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_RAII_H_
