#ifndef PIMENTOHALL_NODE_PAGE_SERVER_H_
#define PIMENTOHALL_NODE_PAGE_SERVER_H_

// Serves pages for the platform and for operators, within limits on what its
// clients may hold.

#include <functional>
#include <map>
#include <string>

#include "pimentohall/net.h"
#include "pimentohall/stream.h"

namespace pimentohall::node {

class page_server {
 public:
  using page = std::function<net::http_answer()>;

  page_server(net::event_loop& loop, net::timer_service& timers,
              net::endpoint listen, stream::client_limits clients);

  // `path` without a query. A later page of the same path replaces the earlier.
  void AddPage(const std::string& path, page content);
  tl::expected<int, std::string> Listen() { return server_.Listen(); }
  const stream::server& Server() const { return server_; }

 private:
  void Answer(const std::shared_ptr<stream::server_exchange>& call,
              const stream::message_head& request);

  stream::server server_;
  std::map<std::string, page> pages_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_PAGE_SERVER_H_
