#include "soak/proxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>

namespace pimentohall::testing {
namespace {

constexpr auto kDelay = std::chrono::milliseconds(40);

sockaddr_in ToAddress(const net::endpoint& of) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(of.port));
  inet_pton(AF_INET, of.address.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

struct tcp_proxy::link {
  tcp_proxy* proxy = nullptr;
  bufferevent* client = nullptr;
  bufferevent* server = nullptr;
  bool silent = false;
  bool waiting = false;  // A delayed move is due.
};

tcp_proxy::tcp_proxy(net::event_loop& loop, net::timer_service& timers,
                     net::endpoint listen, net::endpoint target)
    : loop_(loop),
      timers_(timers),
      listen_(std::move(listen)),
      target_(std::move(target)) {}

tcp_proxy::~tcp_proxy() {
  while (!links_.empty()) End(links_.front().get());
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

bool tcp_proxy::Open() {
  const sockaddr_in address = ToAddress(listen_);
  listener_ = evconnlistener_new_bind(
      loop_.Base(), &tcp_proxy::OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return listener_ != nullptr;
}

void tcp_proxy::SetMode(link_mode mode) {
  mode_ = mode;
  for (const auto& each : links_) Move(each.get());
}

void tcp_proxy::ResetAll() {
  while (!links_.empty()) {
    // Closing with unread bytes or without lingering resets.
    for (bufferevent* end : {links_.front()->client, links_.front()->server}) {
      const linger at_once = {1, 0};
      setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &at_once,
                 sizeof(at_once));
    }
    End(links_.front().get());
  }
}

void tcp_proxy::SilenceOpen() {
  for (const auto& each : links_) each->silent = true;
}

void tcp_proxy::OnAccept(evconnlistener*, int socket, sockaddr*, int,
                         void* self) {
  auto* const proxy = static_cast<tcp_proxy*>(self);
  auto at = std::make_unique<link>();
  at->proxy = proxy;
  at->client = bufferevent_socket_new(proxy->loop_.Base(), socket,
                                      BEV_OPT_CLOSE_ON_FREE);
  at->server =
      bufferevent_socket_new(proxy->loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const sockaddr_in target = ToAddress(proxy->target_);
  link* const which = at.get();
  proxy->links_.push_back(std::move(at));
  for (bufferevent* end : {which->client, which->server}) {
    bufferevent_setcb(end, &tcp_proxy::OnRead, nullptr, &tcp_proxy::OnEvent,
                      which);
    bufferevent_enable(end, EV_READ | EV_WRITE);
  }
  bufferevent_socket_connect(which->server,
                             reinterpret_cast<const sockaddr*>(&target),
                             sizeof(target));
}

void tcp_proxy::OnRead(bufferevent*, void* which) {
  auto* const at = static_cast<link*>(which);
  tcp_proxy* const proxy = at->proxy;
  if (proxy->mode_ != link_mode::kDelayed) {
    proxy->Move(at);
    return;
  }
  if (at->waiting) return;
  at->waiting = true;
  const std::weak_ptr<int> alive = proxy->alive_;
  proxy->timers_.After(kDelay, sigc::slot<void()>([proxy, at, alive] {
                         if (alive.expired()) return;
                         for (const auto& each : proxy->links_) {
                           if (each.get() != at) continue;
                           at->waiting = false;
                           proxy->Move(at);
                           return;
                         }
                       }));
}

void tcp_proxy::Move(link* at) {
  if (at->silent || mode_ == link_mode::kSilent) return;
  bufferevent_write_buffer(at->server, bufferevent_get_input(at->client));
  if (mode_ == link_mode::kSilentAnswer) return;
  bufferevent_write_buffer(at->client, bufferevent_get_input(at->server));
}

void tcp_proxy::OnEvent(bufferevent* from, short what, void* which) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  auto* const at = static_cast<link*>(which);
  tcp_proxy* const proxy = at->proxy;
  const bool is_held = at->silent || proxy->mode_ == link_mode::kSilent ||
                       proxy->mode_ == link_mode::kSilentAnswer;
  // A silent link doesn't tell of the other end's close either.
  if (is_held && from == at->server) return;
  bufferevent* const other = from == at->client ? at->server : at->client;
  proxy->Move(at);
  // What the other end is still owed goes out before the close.
  bufferevent_flush(other, EV_WRITE, BEV_FLUSH);
  evbuffer* const owed = bufferevent_get_output(other);
  evbuffer_write(owed, bufferevent_getfd(other));
  proxy->End(at);
}

void tcp_proxy::End(link* at) {
  bufferevent_free(at->client);
  bufferevent_free(at->server);
  links_.remove_if([at](const auto& each) { return each.get() == at; });
}

}  // namespace pimentohall::testing
