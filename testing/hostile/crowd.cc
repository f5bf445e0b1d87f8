#include "hostile/crowd.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "net/raii.h"

namespace pimentohall::testing {
namespace {

using std::chrono::milliseconds;

// Closed clients connect again in steps, so that the crowd doesn't only fill
// the queue of new connections.
constexpr milliseconds kReturnPeriod(50);

}  // namespace

struct crowd::client {
  crowd* owner = nullptr;
  net::bufferevent_ptr stream;
  core::instant opened_at{};
  bool ended = false;
};

crowd::crowd(net::event_loop& loop, net::timer_service& timers,
             net::endpoint target, client_plan plan)
    : loop_(loop), target_(std::move(target)), plan_(std::move(plan)) {
  if (plan_.pause.count() > 0) {
    piece_timer_ =
        timers.Every(plan_.pause, sigc::slot<void()>([this] { SendPieces(); }));
  }
  return_timer_ =
      timers.Every(kReturnPeriod, sigc::slot<void()>([this] { OpenClosed(); }));
}

crowd::~crowd() {
  piece_timer_.disconnect();
  return_timer_.disconnect();
}

void crowd::Start(int clients) {
  for (int i = 0; i < clients; ++i) {
    clients_.push_back(std::make_unique<client>());
    clients_.back()->owner = this;
    Connect(clients_.back().get());
  }
}

void crowd::Connect(client* each) {
  each->ended = false;
  each->opened_at = loop_.Now();
  each->stream.reset(
      bufferevent_socket_new(loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent* const stream = each->stream.get();
  const auto on_read = [](bufferevent* bev, void*) {
    evbuffer* input = bufferevent_get_input(bev);
    evbuffer_drain(input, evbuffer_get_length(input));
  };
  const auto on_write = [](bufferevent* bev, void* self) {
    const client_plan& plan = static_cast<client*>(self)->owner->plan_;
    if (plan.piece.empty() || plan.pause.count() > 0) return;
    bufferevent_write(bev, plan.piece.data(), plan.piece.size());
  };
  const auto on_event = [](bufferevent*, short events, void* self) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    static_cast<client*>(self)->ended = true;
  };
  bufferevent_setcb(stream, on_read, on_write, on_event, each);
  bufferevent_enable(stream, EV_WRITE);
  if (plan_.reads) {
    bufferevent_enable(stream, EV_READ);
  } else {
    bufferevent_disable(stream, EV_READ);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(target_.port));
  evutil_inet_pton(AF_INET, target_.address.c_str(), &address.sin_addr);
  if (bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    each->ended = true;
    return;
  }
  ++opened_;
  bufferevent_write(stream, plan_.opening.data(), plan_.opening.size());
}

void crowd::Disconnect(client* each, bool with_reset) {
  if (with_reset) {
    const linger reset = {1, 0};
    setsockopt(bufferevent_getfd(each->stream.get()), SOL_SOCKET, SO_LINGER,
               &reset, sizeof(reset));
  }
  each->stream.reset();
  each->ended = true;
}

void crowd::SendPieces() {
  for (const auto& each : clients_) {
    if (each->ended || plan_.piece.empty()) continue;
    bufferevent_write(each->stream.get(), plan_.piece.data(),
                      plan_.piece.size());
  }
}

void crowd::OpenClosed() {
  const core::instant now = loop_.Now();
  for (const auto& each : clients_) {
    const bool is_due = plan_.reset_after.count() > 0 && !each->ended &&
                        now - each->opened_at >= plan_.reset_after;
    if (is_due) Disconnect(each.get(), true);
    if (each->ended && plan_.returns) Connect(each.get());
  }
}

}  // namespace pimentohall::testing
