#ifndef PIMENTOHALL_NET_LINK_CONNECTION_H_
#define PIMENTOHALL_NET_LINK_CONNECTION_H_

// One WebSocket connection between two daemons, over a bufferevent.
//
// The dialling end requests /v1/control or /v1/calls and sends its VM name in
// the header X-Pimentohall-Vm; the accepting end sends its own name in the same
// header of its answer. With TLS, each name must match the common name of the
// sender's certificate.

#include <memory>
#include <string>

#include "net/raii.h"
#include "net/websocket.h"
#include "pimentohall/net.h"

namespace pimentohall::net {

enum class link_kind { kControl, kCalls };

class link_connection {
 public:
  // Events of the connection. The owner may `Close` the connection from inside
  // these functions, but must not destroy it.
  struct observer {
    virtual ~observer() = default;
    virtual void OnOpen(link_connection* connection) = 0;
    virtual void OnFrame(link_connection* connection,
                         std::string_view frame) = 0;
    // Not called after `Close`.
    virtual void OnClosed(link_connection* connection) = 0;
  };

  // Accepts a connection on the socket `fd`.
  link_connection(event_loop& loop, observer* owner, std::string own_vm, int fd,
                  SSL_CTX* tls, websocket_server* server);
  // Dials. `OnOpen` and `OnClosed` are never called from inside the
  // constructor.
  link_connection(event_loop& loop, observer* owner, std::string own_vm,
                  std::string peer_vm, link_kind kind, const endpoint& address,
                  SSL_CTX* tls, websocket_client* client);
  ~link_connection();
  link_connection(const link_connection&) = delete;
  link_connection& operator=(const link_connection&) = delete;

  // Queues a frame. Frames queued in one iteration of the event loop are sent
  // in one write. Returns false if the connection isn't open, its buffer is
  // full or the frame is too large.
  bool Send(const std::string& frame);
  // Closes the connection at once.
  void Close();
  // Closes the connection if no byte was read, or if queued bytes could not be
  // written, for this long.
  void SetIdleTimeout(core::duration timeout);

  bool IsOpen() const { return state_ == state::kOpen; }
  bool IsDialled() const { return dialled_; }
  link_kind Kind() const { return kind_; }
  const std::string& PeerVm() const { return peer_vm_; }

 private:
  enum class state { kOpening, kOpen, kClosed };

  void InstallHandlers();
  bool AcceptHandshake();
  void OnConnected();
  void OnWebsocketOpen();
  void Fail();
  static void OnReadable(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, short events, void* self);

  event_loop& loop_;
  observer* const owner_;
  const std::string own_vm_;
  std::string peer_vm_;
  link_kind kind_ = link_kind::kControl;
  const bool dialled_;
  state state_ = state::kOpening;
  bufferevent_ptr stream_;
  websocket_ptr websocket_;
  websocket_client* client_ = nullptr;
};

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_LINK_CONNECTION_H_
