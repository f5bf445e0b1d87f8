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
// How long the rest of a body is read after its request was answered, and how
// long a client may leave its answers unread, if the server has no idle
// timeout.
constexpr auto kDrainTimeout = std::chrono::seconds(15);
// Of a connection and its buffers, without the bytes in them.
constexpr std::size_t kConnectionBytes = 4096;

// The budget knows connections by their address.
connection* ConnectionOf(client_budget::client_id client) {
  return static_cast<connection*>(const_cast<void*>(client));
}

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
  server_->OnHoldingsChanged(*this);
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

void server_exchange::SetForwarded() {
  forwarded_ = true;
  if (server_ != nullptr) server_->OnHoldingsChanged(*this);
}

void server_exchange::SetHeldBytes(std::size_t bytes) {
  held_request_bytes_ = bytes;
  if (server_ != nullptr) server_->OnHoldingsChanged(*this);
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
    : loop_(loop), options_(std::move(options)), budget_(options_.clients) {
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
  evconnlistener_set_error_cb(listener_,
                              [](evconnlistener* listener, void* self) {
                                OnAcceptError(listener, self);
                              });
  return net::BoundPort(*socket);
}

void server::SetMaxHeadBytes(std::size_t bytes) {
  options_.max_head_bytes = bytes;
  for (auto& [conn, client] : connections_) conn->SetMaxHeadBytes(bytes);
}

void server::SetTimeouts(core::duration idle_timeout,
                         core::duration head_timeout) {
  options_.idle_timeout = idle_timeout;
  options_.head_timeout = head_timeout;
}

void server::OnAccept(evconnlistener*, int socket, void*, int, void* self) {
  static_cast<server*>(self)->Accept(socket);
}

// Without descriptors, accepting fails until one is free. The listener would
// report the waiting connection again at once, so it pauses.
void server::OnAcceptError(evconnlistener*, void* self) {
  auto* const failed = static_cast<server*>(self);
  ++failed->counts_.accept_pauses;
  failed->accepting_ = false;
  evconnlistener_disable(failed->listener_);
  const auto chosen =
      failed->budget_.SelectForConnection({}, failed->loop_.Now());
  if (!chosen) return;
  ++failed->counts_.closed_for_connections;
  failed->CloseNow(ConnectionOf(*chosen));
}

void server::Accept(int socket) {
  auto client = std::make_unique<client_state>();
  client->conn =
      std::make_shared<connection>(loop_, connection::side::kServer, socket);
  const std::string address = client->conn->PeerAddress();
  if (!MakeRoom(address)) {
    client->conn->Close();
    return;
  }
  client->conn->SetMaxHeadBytes(options_.max_head_bytes);
  client->idle_since = loop_.Now();
  client_state* const raw_client = client.get();
  budget_.Open(raw_client->conn.get(), address, loop_.Now());
  connections_[client->conn.get()] = std::move(client);
  InstallHandlers(raw_client);
  raw_client->conn->Open();
  UpdateHoldings(*raw_client);
  UpdateAccepting();
}

bool server::MakeRoom(const std::string& address) {
  const core::instant now = loop_.Now();
  const auto close_one = [this, now](const std::string& of) {
    const auto chosen = budget_.SelectForConnection(of, now);
    if (!chosen) return false;
    ++counts_.closed_for_connections;
    CloseNow(ConnectionOf(*chosen));
    return true;
  };
  if (budget_.IsFullFor(address) && !close_one(address)) return false;
  return !budget_.IsFull() || close_one({});
}

void server::UpdateAccepting() {
  if (listener_ == nullptr) return;
  const bool has_room =
      !budget_.IsFull() ||
      budget_.SelectForConnection({}, loop_.Now()).has_value();
  if (has_room == accepting_) return;
  accepting_ = has_room;
  if (has_room) {
    evconnlistener_enable(listener_);
  } else {
    ++counts_.accept_pauses;
    evconnlistener_disable(listener_);
  }
}

void server::OnHoldingsChanged(const server_exchange& call) {
  const client_state* const client = FindClient(call);
  if (client != nullptr) UpdateHoldings(*client);
}

void server::UpdateHoldings(const client_state& client) {
  const core::instant now = loop_.Now();
  std::size_t unsent = client.conn->UnsentBytes();
  std::size_t requests = 0;
  bool in_work = false;
  for (const auto& call : client.pending) {
    unsent += call->held_data_.size();
    requests += call->held_request_bytes_;
    in_work =
        in_work || (!call->finished_ && (call->forwarded_ || call->received_));
  }
  client_phase phase = client_phase::kWaiting;
  if (in_work || unsent > 0) {
    phase = client_phase::kInWork;
  } else if (client.closing_since != core::instant{}) {
    phase = client_phase::kClosing;
  } else if (!client.pending.empty()) {
    phase = client_phase::kReceiving;
  }
  connection* const conn = client.conn.get();
  budget_.SetPhase(conn, phase, now);
  budget_.SetBytes(conn,
                   kConnectionBytes + conn->ReceivedBytes() + unsent + requests,
                   unsent, now);
  if (!budget_.IsOverBytes() || reclaim_posted_) return;
  // Later: this may run inside a handler of a connection that is to be closed.
  reclaim_posted_ = true;
  loop_.Post([this, alive = std::weak_ptr<int>(alive_)] {
    if (!alive.expired()) ReclaimBytes();
  });
}

void server::ReclaimBytes() {
  reclaim_posted_ = false;
  while (budget_.IsOverBytes()) {
    const auto chosen = budget_.SelectForBytes(loop_.Now());
    if (!chosen) return;
    ++counts_.closed_for_bytes;
    CloseNow(ConnectionOf(*chosen));
  }
}

void server::CloseNow(connection* conn) {
  const auto found = connections_.find(conn);
  if (found == connections_.end()) return;
  const auto kept = found->second->conn;
  kept->Close();
  OnConnectionClosed(kept.get(), end_reason::kReset);
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
  conn->on_progress = [this, client] { UpdateHoldings(*client); };
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
  ++counts_.refused_messages;
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
  budget_.Close(conn);
  for (const auto& call : client->pending) {
    const auto handler = call->on_closed;
    call->server_ = nullptr;
    call->ClearHandlers();
    if (handler) handler(reason);
  }
  UpdateAccepting();
}

void server::CloseAfterAnswer(client_state* client) {
  const auto conn = client->conn;
  conn->on_head = nullptr;
  conn->on_data = nullptr;
  conn->on_end = nullptr;
  conn->on_drained = nullptr;
  conn->on_bad_message = nullptr;
  client->closing_since = loop_.Now();
  UpdateHoldings(*client);
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
    if (c->IsIdle() && conn->IsQuiet() && is_due(*c)) due.push_back(c.get());
  }
  for (client_state* client : due) CloseAfterAnswer(client);
}

void server::UpdateTimes(connection* conn, client_state* client,
                         core::instant now) {
  const auto update = [now](bool holds, core::instant* since) {
    if (!holds) {
      *since = core::instant{};
    } else if (*since == core::instant{}) {
      *since = now;
    }
  };
  const auto& pending = client->pending;
  update(pending.empty() && conn->IsInMessage(), &client->head_started);
  update(!pending.empty() && pending.front()->finished_,
         &client->draining_since);
  update(conn->UnsentBytes() > 0 && conn->SentBytes() == client->sent_bytes,
         &client->stalled_since);
  client->sent_bytes = conn->SentBytes();
}

// Whether the connection has to be closed even if its client still sends.
bool server::IsOverdue(const client_state& client, core::instant now) const {
  const auto lasts = [now](core::instant since, core::duration longest) {
    return since != core::instant{} && now - since > longest;
  };
  const bool has_idle_timeout = options_.idle_timeout.count() > 0;
  const core::duration drain_timeout =
      has_idle_timeout ? options_.idle_timeout : kDrainTimeout;
  if (lasts(client.draining_since, drain_timeout)) return true;
  if (lasts(client.stalled_since, drain_timeout)) return true;
  if (has_idle_timeout && lasts(client.head_started, options_.head_timeout)) {
    return true;
  }
  return client.conn->UnsentBytes() == 0 &&
         lasts(client.closing_since, kCloseTimeout);
}

// Closes connections that were idle, took too long to send a head or the rest
// of an answered request's body, don't read, or aren't closed by their caller.
void server::CloseExpired() {
  const core::instant now = loop_.Now();
  std::vector<connection*> overdue;
  for (auto& [conn, client] : connections_) {
    UpdateTimes(conn, client.get(), now);
    if (!IsOverdue(*client, now)) continue;
    overdue.push_back(conn);
    if (client->closing_since == core::instant{}) ++counts_.closed_slow;
  }
  for (connection* conn : overdue) CloseNow(conn);
  ReclaimBytes();
  UpdateAccepting();
  if (options_.idle_timeout.count() == 0) return;
  CloseUnusedIf([&](const client_state& client) {
    return now - client.idle_since > options_.idle_timeout;
  });
}

}  // namespace pimentohall::stream
