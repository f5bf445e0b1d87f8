// Accepts connections and passes on their requests.
//
// Invariants:
// - Exchanges of a connection are kept in the order of their requests. Only the
//   first one writes to the socket; the others hold their answers.
// - An exchange is removed once its answer is complete and its request has been
//   received. If the answer ends before the body, the remaining body is read
//   and dropped, so that the caller can read the answer.
// - A request that was passed on is answered, even if an earlier answer asked
//   for a close: the close is announced by the last answer only. Requests that
//   weren't passed on by then are dropped unread.

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "net/raii.h"
#include "net/socket.h"
#include "pimentohall/stream.h"

namespace pimentohall::stream {
namespace {

constexpr auto kExpiryCheckPeriod = std::chrono::seconds(1);
// How long a closing connection waits for the caller to close its side.
constexpr auto kCloseTimeout = std::chrono::seconds(1);

}  // namespace

// ---------------------------------------------------------------------------
// server_exchange

void server_exchange::SendHead(message_head head) {
  answered_ = true;
  if (server_ == nullptr) return;
  if (first_) {
    server_->WriteHead(*this, std::move(head));
  } else {
    held_head_ = std::move(head);
  }
}

void server_exchange::SendData(std::string_view bytes) {
  if (server_ == nullptr) return;
  if (first_) {
    conn_->SendData(bytes);
  } else {
    held_data_.append(bytes);
  }
}

void server_exchange::SendEnd() {
  if (server_ == nullptr) return;
  if (first_) {
    conn_->SendEnd();
  } else {
    held_end_ = true;
  }
}

void server_exchange::Flush() {
  if (held_head_) server_->WriteHead(*this, std::move(*held_head_));
  held_head_.reset();
  conn_->SendData(held_data_);
  held_data_ = std::string();
  if (held_end_) conn_->SendEnd();
}

void server_exchange::AcceptBody() {
  if (server_ == nullptr || !expects_continue_ || answered_ || !first_) return;
  expects_continue_ = false;
  conn_->SendContinue();
}

void server_exchange::SetReading(bool on) {
  // Once the request is complete, what is read belongs to later ones.
  if (server_ != nullptr && !received_) conn_->SetReading(on);
}

std::size_t server_exchange::UnsentBytes() const {
  if (server_ == nullptr) return 0;
  return first_ ? conn_->UnsentBytes() : held_data_.size();
}

bool server_exchange::HasPeerClosed() const {
  return server_ == nullptr || conn_->HasPeerClosed();
}

std::string server_exchange::PeerAddress() const {
  return server_ == nullptr ? std::string() : conn_->PeerAddress();
}

void server_exchange::Close() {
  if (server_ != nullptr) server_->Abort(shared_from_this());
}

void server_exchange::ClearHandlers() {
  on_data = nullptr;
  on_end = nullptr;
  on_closed = nullptr;
  on_drained = nullptr;
  on_first = nullptr;
}

// ---------------------------------------------------------------------------
// server

server::server(net::event_loop& loop, net::timer_service& timers,
               server_options options)
    : loop_(loop), options_(std::move(options)) {
  expiry_timer_ = timers.Every(kExpiryCheckPeriod,
                               sigc::slot<void()>([this] { CloseExpired(); }));
}

server::~server() {
  expiry_timer_.disconnect();
  if (listener_ != nullptr) evconnlistener_free(listener_);
  for (auto& [conn, client] : connections_) {
    for (const auto& call : client->pending) {
      call->server_ = nullptr;
      call->ClearHandlers();
    }
    conn->Close();
  }
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
    OnHead(client, std::move(head));
  };
  conn->on_data = [client](std::string_view bytes) {
    const auto handler = client->pending.back()->on_data;
    if (handler) handler(bytes);
  };
  conn->on_end = [this, client] { OnRequestEnd(client); };
  conn->on_drained = [client] {
    if (client->pending.empty()) return;
    const auto handler = client->pending.front()->on_drained;
    if (handler) handler();
  };
  conn->on_bad_message = [this, client](int status) {
    OnBadMessage(client, status);
  };
  conn->on_closed = [this, conn](end_reason reason) {
    OnConnectionClosed(conn, reason);
  };
}

server::client_state* server::FindClient(const server_exchange& call) {
  if (call.server_ == nullptr) return nullptr;
  const auto found = connections_.find(call.conn_.get());
  return found == connections_.end() ? nullptr : found->second.get();
}

std::shared_ptr<server_exchange> server::AddExchange(client_state* client) {
  auto call = std::make_shared<server_exchange>();
  call->server_ = this;
  call->conn_ = client->conn;
  call->first_ = client->pending.empty();
  client->pending.push_back(call);
  return call;
}

void server::OnHead(client_state* client, message_head head) {
  if (head.close) client->close_after = true;
  const auto call = AddExchange(client);
  call->expects_continue_ = head.expects_continue;
  on_request(call, std::move(head));
}

void server::OnRequestEnd(client_state* client) {
  const auto conn = client->conn;
  const auto call = client->pending.back();
  call->received_ = true;
  const auto handler = call->on_end;
  if (handler) handler();
  // The handler may have closed the connection.
  if (!conn->IsOpen()) return;
  Advance(client);
  if (conn->IsOpen()) ReadNextRequest(client);
}

void server::ReadNextRequest(client_state* client) {
  if (client->close_after || stopping_) return;
  const bool is_receiving =
      !client->pending.empty() && !client->pending.back()->received_;
  if (is_receiving || client->pending.size() >= options_.max_pipelined) return;
  client->conn->NextMessage();
}

void server::OnBadMessage(client_state* client, int status) {
  client->close_after = true;
  const auto conn = client->conn;
  if (!client->pending.empty() && !client->pending.back()->received_) {
    // The request's own body is malformed.
    const auto broken = client->pending.back();
    client->pending.pop_back();
    const bool answered = broken->answered_;
    const auto handler = broken->on_closed;
    broken->server_ = nullptr;
    broken->ClearHandlers();
    if (handler) handler(end_reason::kBadBytes);
    if (!conn->IsOpen()) return;
    if (answered && broken->first_) {
      conn->Close();
      OnConnectionClosed(conn.get(), end_reason::kBadBytes);
      return;
    }
  }
  const auto refused = AddExchange(client);
  refused->received_ = true;
  message_head head;
  head.status = status;
  head.framing = body_framing::kLength;
  refused->SendHead(std::move(head));
  refused->SendEnd();
  FinishRequest(refused);
}

void server::WriteHead(const server_exchange& call, message_head head) {
  client_state* const client = FindClient(call);
  if (client == nullptr) return;
  if (head.close || stopping_) client->close_after = true;
  head.close = client->close_after && client->pending.back().get() == &call;
  client->conn->SendHead(head);
}

void server::FinishRequest(const std::shared_ptr<server_exchange>& call) {
  client_state* const client = FindClient(*call);
  if (client == nullptr) return;
  call->finished_ = true;
  call->SetReading(true);
  call->ClearHandlers();
  Advance(client);
}

void server::Advance(client_state* client) {
  const auto conn = client->conn;
  bool removed = false;
  while (!client->pending.empty()) {
    const auto front = client->pending.front();
    if (!front->first_) {
      front->first_ = true;
      front->Flush();
      const auto handler = front->on_first;
      if (handler) handler();
      // The handler may have closed the connection, or finished this request.
      if (!conn->IsOpen()) return;
      if (client->pending.empty() || client->pending.front() != front) return;
    }
    if (!front->finished_ || !front->received_) break;
    front->server_ = nullptr;
    client->pending.pop_front();
    removed = true;
  }
  if (!removed) return;
  if (!client->pending.empty()) {
    ReadNextRequest(client);
    return;
  }
  client->idle_since = loop_.Now();
  if (client->close_after || stopping_) {
    CloseAfterAnswer(client);
  } else {
    ReadNextRequest(client);
  }
}

void server::Abort(const std::shared_ptr<server_exchange>& call) {
  client_state* const client = FindClient(*call);
  if (client == nullptr) return;
  call->ClearHandlers();
  const auto conn = client->conn;
  conn->Close();
  OnConnectionClosed(conn.get(), end_reason::kReset);
}

void server::OnConnectionClosed(connection* conn, end_reason reason) {
  const auto found = connections_.find(conn);
  if (found == connections_.end()) return;
  const std::unique_ptr<client_state> client = std::move(found->second);
  connections_.erase(found);
  for (const auto& call : client->pending) {
    const auto handler = call->on_closed;
    call->server_ = nullptr;
    call->ClearHandlers();
    if (handler) handler(reason);
  }
}

void server::CloseAfterAnswer(client_state* client) {
  const auto conn = client->conn;
  conn->on_head = nullptr;
  conn->on_data = nullptr;
  conn->on_end = nullptr;
  conn->on_drained = nullptr;
  conn->on_bad_message = nullptr;
  client->closing_since = loop_.Now();
  conn->CloseWhenSent();
}

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
    const bool is_idle =
        c->pending.empty() && c->closing_since == core::instant{};
    if (is_idle && conn->IsQuiet() && is_due(*c)) due.push_back(c.get());
  }
  for (client_state* client : due) CloseAfterAnswer(client);
}

// Closes connections that were idle, took too long to send a head, or aren't
// closed by their caller.
void server::CloseExpired() {
  const core::instant now = loop_.Now();
  std::vector<std::shared_ptr<connection>> unclosed;
  for (auto& [conn, client] : connections_) {
    const bool in_head = client->pending.empty() && conn->IsInMessage();
    if (!in_head) {
      client->head_started = core::instant{};
    } else if (client->head_started == core::instant{}) {
      client->head_started = now;
    }
    if (client->closing_since != core::instant{} &&
        now - client->closing_since > kCloseTimeout &&
        conn->UnsentBytes() == 0) {
      unclosed.push_back(client->conn);
    }
  }
  for (const auto& conn : unclosed) {
    conn->Close();
    OnConnectionClosed(conn.get(), end_reason::kClosed);
  }
  if (options_.idle_timeout.count() == 0) return;
  CloseUnusedIf([&](const client_state& client) {
    const bool slow_head = client.head_started != core::instant{} &&
                           now - client.head_started > options_.head_timeout;
    return slow_head || now - client.idle_since > options_.idle_timeout;
  });
}

}  // namespace pimentohall::stream
