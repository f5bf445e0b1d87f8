// Accepts connections and hands out their requests one at a time.
//
// A slot is busy from a request's head until both its body is in and its
// answer is complete. An answer may end before the body does; the rest of the
// body is then read and dropped, so that the caller can read the answer.

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "net/raii.h"
#include "net/socket.h"
#include "pimentohall/stream.h"

namespace pimentohall::stream {
namespace {

constexpr auto kSweepPeriod = std::chrono::seconds(1);

}  // namespace

server::server(net::event_loop& loop, net::timer_service& timers,
               server_options options)
    : loop_(loop), options_(std::move(options)) {
  sweep_timer_ =
      timers.Every(kSweepPeriod, sigc::slot<void()>([this] { Sweep(); }));
}

server::~server() {
  sweep_timer_.disconnect();
  if (listener_ != nullptr) evconnlistener_free(listener_);
  for (auto& [conn, at] : connections_) conn->Close();
}

tl::expected<int, std::string> server::Listen() {
  auto socket = net::OpenListeningSocket(options_.listen);
  if (!socket) return tl::unexpected(socket.error());
  listener_ = evconnlistener_new(
      loop_.Base(),
      [](evconnlistener* from, evutil_socket_t fd, sockaddr* address, int size,
         void* self) { OnAccept(from, fd, address, size, self); },
      this, LEV_OPT_CLOSE_ON_FREE, 0, *socket);
  return net::BoundPort(*socket);
}

void server::SetTimes(core::duration idle, core::duration head_time) {
  options_.idle = idle;
  options_.head_time = head_time;
}

void server::OnAccept(evconnlistener*, int socket, void*, int, void* self) {
  static_cast<server*>(self)->Accept(socket);
}

void server::Accept(int socket) {
  auto at = std::make_unique<slot>();
  at->conn =
      std::make_shared<connection>(loop_, connection::side::kServer, socket);
  at->idle_since = loop_.Now();
  slot* const added = at.get();
  connections_[at->conn.get()] = std::move(at);
  Attach(added);
  added->conn->Open();
}

void server::Attach(slot* at) {
  connection* const conn = at->conn.get();
  conn->on_head = [this, at](message_head head) {
    at->busy = true;
    at->close_after = head.close;
    on_request(at->conn, std::move(head));
  };
  conn->on_data = nullptr;
  conn->on_drained = nullptr;
  conn->on_end = nullptr;
  conn->on_closed = [this, conn](end_reason) { Forget(conn); };
}

void server::Done(const std::shared_ptr<connection>& which) {
  const auto found = connections_.find(which.get());
  if (found == connections_.end()) return;
  slot* const at = found->second.get();
  which->on_data = nullptr;
  which->on_drained = nullptr;
  which->on_closed = [this, conn = which.get()](end_reason) { Forget(conn); };
  if (!which->IsInMessage()) {
    Finish(at);
    return;
  }
  which->on_end = [this, at] { Finish(at); };
  which->SetReading(true);
}

void server::Abort(const std::shared_ptr<connection>& which) {
  which->Close();
  Forget(which.get());
}

void server::Finish(slot* at) {
  at->busy = false;
  at->idle_since = loop_.Now();
  const auto conn = at->conn;
  if (at->close_after || stopping_) {
    Retire(at);
    return;
  }
  Attach(at);
  conn->NextMessage();
}

void server::Retire(slot* at) {
  const auto conn = at->conn;
  conn->on_head = nullptr;
  conn->on_drained = nullptr;
  conn->on_closed = [this, raw = conn.get()](end_reason) { Forget(raw); };
  conn->CloseWhenSent();
}

void server::Forget(connection* which) { connections_.erase(which); }

void server::Stop() {
  stopping_ = true;
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
  RetireIf([](const slot&) { return true; });
}

// Retires the connections without a request that `is_due` names.
void server::RetireIf(const std::function<bool(const slot&)>& is_due) {
  std::vector<slot*> due;
  for (auto& [conn, at] : connections_) {
    if (!at->busy && conn->IsQuiet() && is_due(*at)) due.push_back(at.get());
  }
  for (slot* each : due) Retire(each);
}

// Closes connections that were idle, or have sent part of a head, for too long.
void server::Sweep() {
  if (options_.idle.count() == 0) return;
  const core::instant now = loop_.Now();
  for (auto& [conn, at] : connections_) {
    const bool in_head = !at->busy && conn->IsInMessage();
    if (!in_head) {
      at->head_since = core::instant{};
    } else if (at->head_since == core::instant{}) {
      at->head_since = now;
    }
  }
  RetireIf([&](const slot& at) {
    const bool slow_head = at.head_since != core::instant{} &&
                           now - at.head_since > options_.head_time;
    return slow_head || now - at.idle_since > options_.idle;
  });
}

}  // namespace pimentohall::stream
