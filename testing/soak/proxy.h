#ifndef PIMENTOHALL_TESTING_SOAK_PROXY_H_
#define PIMENTOHALL_TESTING_SOAK_PROXY_H_

// A TCP proxy on loopback that harms the connections that pass through it.
//
//   tcp_proxy proxy(loop, timers, {"127.0.0.11", 7001}, {"127.0.0.1", 7002});
//   proxy.Open();
//   proxy.SetMode(link_mode::kSilent);

#include <sys/socket.h>

#include <list>
#include <memory>

#include "pimentohall/net.h"

struct bufferevent;
struct evconnlistener;

namespace pimentohall::testing {

enum class link_mode {
  kPass,
  kDelayed,       // Bytes come later.
  kSilent,        // Bytes of open and new connections are held.
  kSilentAnswer,  // The same, for bytes towards the client only.
};

class tcp_proxy {
 public:
  tcp_proxy(net::event_loop& loop, net::timer_service& timers,
            net::endpoint listen, net::endpoint target);
  ~tcp_proxy();

  // False if the address can't be bound.
  bool Open();
  // Held bytes are sent on when the mode is kPass again.
  void SetMode(link_mode mode);
  // Resets all open connections.
  void ResetAll();
  // The open connections go silent for good; new ones pass.
  void SilenceOpen();

 private:
  struct link;
  static void OnAccept(evconnlistener* listener, int socket, sockaddr* address,
                       int size, void* self);
  static void OnRead(bufferevent* from, void* which);
  static void OnEvent(bufferevent* from, short what, void* which);
  void Move(link* at);
  void End(link* at);

  net::event_loop& loop_;
  net::timer_service& timers_;
  net::endpoint listen_;
  net::endpoint target_;
  link_mode mode_ = link_mode::kPass;
  evconnlistener* listener_ = nullptr;
  std::list<std::unique_ptr<link>> links_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_SOAK_PROXY_H_
