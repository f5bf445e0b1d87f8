// Accepts connections and passes on their requests, one at a time for each
// connection.
//
// A connection is busy with a request from its head until its body has been
// received and its answer is complete. If the answer ends before the body, the
// remaining body is read and dropped, so that the caller can read the answer.

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "net/raii.h"
#include "net/socket.h"
#include "pimentohall/stream.h"

namespace pimentohall::stream {
namespace {

constexpr auto kExpiryCheckPeriod = std::chrono::seconds(1);

}  // namespace

server::server(net::event_loop& loop, net::timer_service& timers,
               server_options options)
    : loop_(loop), options_(std::move(options)) {
  expiry_timer_ = timers.Every(kExpiryCheckPeriod,
                               sigc::slot<void()>([this] { CloseExpired(); }));
}

server::~server() {
  expiry_timer_.disconnect();
  if (listener_ != nullptr) evconnlistener_free(listener_);
  for (auto& [conn, client] : connections_) conn->Close();
}

tl::expected<int, std::string> server::Listen() {
  auto socket = net::OpenListeningSocket(options_.listen);
  if (!socket) return tl::unexpected(socket.error());
  listener_ = evconnlistener_new(
      loop_.Base(),
      [](evconnlistener* listener, evutil_socket_t fd, sockaddr* address,
         int size, void* self) { OnAccept(listener, fd, address, size, self); },
      this, LEV_OPT_CLOSE_ON_FREE, 0, *socket);
  return net::BoundPort(*socket);
}

void server::SetTimeouts(core::duration idle_timeout,
                         core::duration head_timeout) {
  options_.idle_timeout = idle_timeout;
  options_.head_timeout = head_timeout;
}

void server::OnAccept(evconnlistener*, int socket, void*, int, void* self) {
  static_cast<server*>(self)->Accept(socket);
}

void server::Accept(int socket) {
  auto client = std::make_unique<client_state>();
  client->conn =
      std::make_shared<connection>(loop_, connection::side::kServer, socket);
  client->idle_since = loop_.Now();
  client_state* const raw_client = client.get();
  connections_[client->conn.get()] = std::move(client);
  InstallHandlers(raw_client);
  raw_client->conn->Open();
}

void server::InstallHandlers(client_state* client) {
  connection* const conn = client->conn.get();
  conn->on_head = [this, client](message_head head) {
    client->busy = true;
    client->close_after = head.close;
    on_request(client->conn, std::move(head));
  };
  conn->on_data = nullptr;
  conn->on_drained = nullptr;
  conn->on_end = nullptr;
  conn->on_closed = [this, conn](end_reason) { RemoveConnection(conn); };
}

void server::FinishRequest(const std::shared_ptr<connection>& conn) {
  const auto found = connections_.find(conn.get());
  if (found == connections_.end()) return;
  client_state* const client = found->second.get();
  conn->on_data = nullptr;
  conn->on_drained = nullptr;
  conn->on_closed = [this, raw = conn.get()](end_reason) {
    RemoveConnection(raw);
  };
  if (!conn->IsInMessage()) {
    Finish(client);
    return;
  }
  conn->on_end = [this, client] { Finish(client); };
  conn->SetReading(true);
}

void server::Abort(const std::shared_ptr<connection>& conn) {
  conn->Close();
  RemoveConnection(conn.get());
}

void server::Finish(client_state* client) {
  client->busy = false;
  client->idle_since = loop_.Now();
  const auto conn = client->conn;
  if (client->close_after || stopping_) {
    CloseAfterAnswer(client);
    return;
  }
  InstallHandlers(client);
  conn->NextMessage();
}

void server::CloseAfterAnswer(client_state* client) {
  const auto conn = client->conn;
  conn->on_head = nullptr;
  conn->on_drained = nullptr;
  conn->on_closed = [this, raw = conn.get()](end_reason) {
    RemoveConnection(raw);
  };
  conn->CloseWhenSent();
}

void server::RemoveConnection(connection* conn) { connections_.erase(conn); }

void server::Stop() {
  stopping_ = true;
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
  CloseUnusedIf([](const client_state&) { return true; });
}

// Closes the connections without a request for which `is_due` is true.
void server::CloseUnusedIf(
    const std::function<bool(const client_state&)>& is_due) {
  std::vector<client_state*> due;
  for (auto& [conn, c] : connections_) {
    if (!c->busy && conn->IsQuiet() && is_due(*c)) due.push_back(c.get());
  }
  for (client_state* client : due) CloseAfterAnswer(client);
}

// Closes connections that were idle, or took too long to send a head.
void server::CloseExpired() {
  if (options_.idle_timeout.count() == 0) return;
  const core::instant now = loop_.Now();
  for (auto& [conn, client] : connections_) {
    const bool in_head = !client->busy && conn->IsInMessage();
    if (!in_head) {
      client->head_started = core::instant{};
    } else if (client->head_started == core::instant{}) {
      client->head_started = now;
    }
  }
  CloseUnusedIf([&](const client_state& client) {
    const bool slow_head = client.head_started != core::instant{} &&
                           now - client.head_started > options_.head_timeout;
    return slow_head || now - client.idle_since > options_.idle_timeout;
  });
}

}  // namespace pimentohall::stream
