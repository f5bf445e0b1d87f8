#include "net/link_connection.h"

#include <event2/util.h>

#include "net/socket.h"
#include "net/tls.h"

namespace pimentohall::net {
namespace {

constexpr char kVmHeader[] = "X-Pimentohall-Vm";
constexpr char kControlPath[] = "/v1/control";
constexpr char kCallsPath[] = "/v1/calls";
// Bounds the memory that a peer that doesn't read can use up.
constexpr std::size_t kMaxUnsentBytes = 16 * 1024 * 1024;

}  // namespace

link_connection::link_connection(event_loop& loop, observer* owner,
                                 std::string own_vm, int fd, SSL_CTX* tls,
                                 websocket_server* server)
    : loop_(loop),
      owner_(owner),
      own_vm_(std::move(own_vm)),
      dialled_(false),
      stream_(NewBufferevent(loop.Base(), fd, tls, tls_role::kAccept)),
      websocket_(server->get_connection()) {
  InstallHandlers();
  websocket_->set_validate_handler(
      [this](const websocketpp::connection_hdl&) { return AcceptHandshake(); });
  websocket_->start();
}

link_connection::link_connection(event_loop& loop, observer* owner,
                                 std::string own_vm, std::string peer_vm,
                                 link_kind kind, const endpoint& address,
                                 SSL_CTX* tls, websocket_client* client)
    : loop_(loop),
      owner_(owner),
      own_vm_(std::move(own_vm)),
      peer_vm_(std::move(peer_vm)),
      kind_(kind),
      dialled_(true),
      stream_(NewBufferevent(loop.Base(), -1, tls, tls_role::kConnect)),
      client_(client) {
  const bool is_ipv6 = address.address.find(':') != std::string::npos;
  const std::string host =
      is_ipv6 ? "[" + address.address + "]" : address.address;
  websocketpp::lib::error_code error;
  websocket_ = client_->get_connection(
      "ws://" + host + ":" + std::to_string(address.port) +
          (kind == link_kind::kControl ? kControlPath : kCallsPath),
      error);
  sockaddr_storage target{};
  int size = sizeof(target);
  const std::string host_and_port = host + ":" + std::to_string(address.port);
  const bool parsed = evutil_parse_sockaddr_port(
                          host_and_port.c_str(),
                          reinterpret_cast<sockaddr*>(&target), &size) == 0;
  if (websocket_ && parsed) {
    InstallHandlers();
    websocket_->append_header(kVmHeader, own_vm_);
    if (bufferevent_socket_connect(
            stream_.get(), reinterpret_cast<sockaddr*>(&target), size) == 0) {
      DisableNagle(bufferevent_getfd(stream_.get()));
      return;
    }
  }
  // The owner closes failed connections after its opening timeout.
}

link_connection::~link_connection() {
  Close();
  // The pending read holds a reference to the connection itself. An error ends
  // the read and thereby breaks the reference cycle.
  if (websocket_) websocket_->fatal_error();
}

void link_connection::InstallHandlers() {
  websocket_->set_write_handler([this](const websocketpp::connection_hdl&,
                                       const char* bytes, std::size_t size) {
    if (stream_) bufferevent_write(stream_.get(), bytes, size);
    return websocketpp::lib::error_code();
  });
  websocket_->set_open_handler(
      [this](const websocketpp::connection_hdl&) { OnWebsocketOpen(); });
  websocket_->set_fail_handler(
      [this](const websocketpp::connection_hdl&) { Fail(); });
  websocket_->set_close_handler(
      [this](const websocketpp::connection_hdl&) { Fail(); });
  websocket_->set_message_handler(
      [this](const websocketpp::connection_hdl&,
             const websocket_server::message_ptr& message) {
        if (state_ == state::kOpen) {
          owner_->OnFrame(this, message->get_payload());
        }
      });
  bufferevent_setcb(stream_.get(), &link_connection::OnReadable, nullptr,
                    &link_connection::OnEvent, this);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

bool link_connection::AcceptHandshake() {
  const std::string& path = websocket_->get_resource();
  if (path == kCallsPath) {
    kind_ = link_kind::kCalls;
  } else if (path != kControlPath) {
    return false;
  }
  peer_vm_ = websocket_->get_request_header(kVmHeader);
  if (peer_vm_.empty() || peer_vm_.size() > config::kMaxNameBytes) return false;
  if (!PeerHasName(stream_.get(), peer_vm_)) return false;
  websocket_->append_header(kVmHeader, own_vm_);
  return true;
}

void link_connection::OnConnected() { client_->connect(websocket_); }

void link_connection::OnWebsocketOpen() {
  if (state_ != state::kOpening) return;
  if (dialled_ && (websocket_->get_response_header(kVmHeader) != peer_vm_ ||
                   !PeerHasName(stream_.get(), peer_vm_))) {
    return Fail();
  }
  state_ = state::kOpen;
  owner_->OnOpen(this);
}

bool link_connection::Send(const std::string& frame) {
  if (state_ != state::kOpen || frame.size() > kMaxFrameBytes) return false;
  if (evbuffer_get_length(bufferevent_get_output(stream_.get())) >
      kMaxUnsentBytes) {
    return false;
  }
  return !websocket_->send(frame, websocketpp::frame::opcode::binary);
}

void link_connection::SetIdleTimeout(core::duration timeout) {
  const timeval interval = {
      static_cast<time_t>(timeout.count() / 1000000),
      static_cast<suseconds_t>(timeout.count() % 1000000)};
  bufferevent_set_timeouts(stream_.get(), &interval, &interval);
}

void link_connection::Close() {
  if (state_ == state::kClosed) return;
  state_ = state::kClosed;
  bufferevent_setcb(stream_.get(), nullptr, nullptr, nullptr, nullptr);
  // The socket is closed only when the object is destroyed; the shutdown
  // notifies the peer now.
  bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
  const int fd = bufferevent_getfd(stream_.get());
  if (fd >= 0) shutdown(fd, SHUT_RDWR);
}

void link_connection::Fail() {
  if (state_ == state::kClosed) return;
  Close();
  owner_->OnClosed(this);
}

void link_connection::OnReadable(bufferevent* stream, void* self) {
  auto* connection = static_cast<link_connection*>(self);
  evbuffer* input = bufferevent_get_input(stream);
  while (connection->state_ != state::kClosed) {
    evbuffer_iovec chunk{};
    if (evbuffer_peek(input, -1, nullptr, &chunk, 1) < 1) break;
    connection->websocket_->read_all(static_cast<const char*>(chunk.iov_base),
                                     chunk.iov_len);
    evbuffer_drain(input, chunk.iov_len);
  }
}

void link_connection::OnEvent(bufferevent*, short events, void* self) {
  auto* connection = static_cast<link_connection*>(self);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    if (connection->dialled_) connection->OnConnected();
    return;
  }
  connection->Fail();
}

}  // namespace pimentohall::net
