#ifndef PIMENTOHALL_NET_WEBSOCKET_H_
#define PIMENTOHALL_NET_WEBSOCKET_H_

// websocketpp for links: one thread, no logging, frames up to 2 MB. Server and
// client use one configuration, so that both have the same connection type.

#include <random>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include "pimentohall/net.h"

namespace pimentohall::net {

// Generates the client's masking keys. Masking only prevents intermediaries
// from misreading frames as HTTP, so the generator needn't be cryptographic.
class mask_generator {
 public:
  std::uint32_t operator()() {
    return static_cast<std::uint32_t>(generator_());
  }

 private:
  std::mt19937 generator_{std::random_device{}()};
};

struct websocket_config : public websocketpp::config::core {
  // The names are websocketpp's.
  // NOLINTBEGIN(readability-identifier-naming)
  using type = websocket_config;
  using concurrency_type = websocketpp::concurrency::none;
  using elog_type = websocketpp::log::stub;
  using alog_type = websocketpp::log::stub;
  using rng_type = mask_generator;
  struct transport_config : public websocketpp::config::core::transport_config {
    using concurrency_type = type::concurrency_type;
    using elog_type = type::elog_type;
    using alog_type = type::alog_type;
    static bool const enable_multithreading = false;
  };
  using transport_type =
      websocketpp::transport::iostream::endpoint<transport_config>;
  static bool const enable_multithreading = false;
  static bool const drop_on_protocol_error = true;
  static bool const silent_close = true;
  static std::size_t const max_message_size = kMaxFrameBytes;
  static std::size_t const max_http_body_size = 0;
  // NOLINTEND(readability-identifier-naming)
};

using websocket_server = websocketpp::server<websocket_config>;
using websocket_client = websocketpp::client<websocket_config>;
using websocket_ptr = websocket_server::connection_ptr;

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_WEBSOCKET_H_
