#ifndef PIMENTOHALL_NODE_NEWS_SERVICE_H_
#define PIMENTOHALL_NODE_NEWS_SERVICE_H_

// Sends and receives news datagrams.

#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "net/raii.h"
#include "node/fleet_state.h"

namespace pimentohall::node {

class news_service {
 public:
  explicit news_service(fleet_state& fleet);
  ~news_service();

  tl::expected<void, std::string> Open();
  // Sends to the daemon on the VM with this address. A datagram that can't be
  // sent is dropped, as the next one supersedes it.
  void Send(const std::string& address, const mesh::peer_news& news);

  std::function<void(mesh::peer_news)> on_news;

 private:
  void Receive();
  void Count(bool sent, const std::string& address, std::size_t bytes);

  fleet_state& fleet_;
  int socket_ = -1;
  net::event_ptr readable_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_NEWS_SERVICE_H_
