#ifndef PIMENTOHALL_UNIT_NET_HARNESS_H_
#define PIMENTOHALL_UNIT_NET_HARNESS_H_

// An event loop that runs until a condition holds, and raw TCP clients and
// servers that send exact bytes. Tests wait for conditions; the watchdog only
// ends a failed test.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/raii.h"
#include "net/socket.h"
#include "pimentohall/net.h"

namespace pimentohall::net {

struct net_harness {
  event_loop loop;
  timer_service timers{loop};

  // Returns false if `done` doesn't become true before the watchdog expires.
  bool RunUntil(const std::function<bool()>& done) {
    bool expired = false;
    sigc::connection watchdog =
        timers.After(std::chrono::seconds(20),
                     sigc::slot<void()>([&expired] { expired = true; }));
    while (!done() && !expired) event_base_loop(loop.Base(), EVLOOP_ONCE);
    watchdog.disconnect();
    return !expired;
  }
  // Runs events that are ready now, without waiting.
  void RunReady() {
    for (int i = 0; i < 10; ++i) event_base_loop(loop.Base(), EVLOOP_NONBLOCK);
  }
};

// 0 under AddressSanitizer, which keeps freed memory for a while.
inline std::size_t ResidentBytes() {
#ifdef __SANITIZE_ADDRESS__
  return 0;
#endif
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(getpagesize());
}

// One end of a TCP connection.
class raw_stream {
 public:
  // Connects to `port` of the loopback address.
  raw_stream(net_harness& net, int port) : raw_stream(net, "127.0.0.1", port) {}
  raw_stream(net_harness& net, const std::string& ip, int port, int socket = -1)
      : raw_stream(bufferevent_socket_new(net.loop.Base(), socket,
                                          BEV_OPT_CLOSE_ON_FREE)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    evutil_inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    bufferevent_socket_connect(
        stream_.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  // Connects from the local address `source`.
  raw_stream(net_harness& net, const std::string& source, const std::string& ip,
             int port)
      : raw_stream(net, ip, port, OpenBoundSocket({source, 0}).value()) {}
  explicit raw_stream(bufferevent* stream) : stream_(stream) {
    bufferevent_setcb(stream, &raw_stream::OnRead, nullptr,
                      &raw_stream::OnEvent, this);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
  }
  raw_stream(const raw_stream&) = delete;
  raw_stream& operator=(const raw_stream&) = delete;

  void Write(const std::string& bytes) {
    bufferevent_write(stream_.get(), bytes.data(), bytes.size());
  }
  // libevent closes the descriptor on a later turn; the other end sees this at
  // once.
  void Close() {
    if (stream_) shutdown(bufferevent_getfd(stream_.get()), SHUT_RDWR);
    stream_.reset();
  }
  // Closes the connection once all buffered bytes are written.
  void CloseAfterWrite() {
    bufferevent_setcb(stream_.get(), nullptr, &raw_stream::OnWritten, nullptr,
                      this);
  }
  // Closes the connection with a TCP reset instead of a FIN.
  void Reset() {
    const linger abort_on_close = {1, 0};
    setsockopt(bufferevent_getfd(stream_.get()), SOL_SOCKET, SO_LINGER,
               &abort_on_close, sizeof(abort_on_close));
    stream_.reset();
  }
  void SetReading(bool on) {
    if (on) {
      bufferevent_enable(stream_.get(), EV_READ);
    } else {
      bufferevent_disable(stream_.get(), EV_READ);
    }
  }
  std::size_t UnsentBytes() const {
    return evbuffer_get_length(bufferevent_get_output(stream_.get()));
  }
  bool Has(const std::string& text) const {
    return received.find(text) != std::string::npos;
  }

  std::string received;
  bool closed = false;
  std::function<void(raw_stream*)> on_read;

 private:
  static void OnRead(bufferevent* stream, void* self) {
    auto* raw = static_cast<raw_stream*>(self);
    char bytes[65536];
    for (;;) {
      const std::size_t size = bufferevent_read(stream, bytes, sizeof(bytes));
      if (size == 0) break;
      raw->received.append(bytes, size);
    }
    if (raw->on_read) raw->on_read(raw);
  }
  static void OnWritten(bufferevent*, void* self) {
    static_cast<raw_stream*>(self)->Close();
  }
  static void OnEvent(bufferevent*, short events, void* self) {
    if ((events & BEV_EVENT_CONNECTED) != 0) return;
    static_cast<raw_stream*>(self)->closed = true;
  }

  bufferevent_ptr stream_;
};

// Accepts connections and calls `on_read` when bytes arrive on one of them.
class raw_server {
 public:
  explicit raw_server(net_harness& net) : net_(net) {
    const int socket = *OpenListeningSocket({"127.0.0.1", 0});
    port = BoundPort(socket);
    listener_.reset(evconnlistener_new(net.loop.Base(), &raw_server::OnAccept,
                                       this, LEV_OPT_CLOSE_ON_FREE, 0, socket));
  }
  void StopListening() { listener_.reset(); }

  int port = 0;
  std::vector<std::unique_ptr<raw_stream>> streams;
  std::function<void(raw_stream*)> on_read;

 private:
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* self) {
    auto* server = static_cast<raw_server*>(self);
    server->streams.push_back(
        std::make_unique<raw_stream>(bufferevent_socket_new(
            server->net_.loop.Base(), fd, BEV_OPT_CLOSE_ON_FREE)));
    server->streams.back()->on_read = server->on_read;
  }

  net_harness& net_;
  listener_ptr listener_;
};

// True once a whole request with an empty body has arrived.
inline bool HasWholeHead(const raw_stream& stream) {
  return stream.Has("\r\n\r\n");
}

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_UNIT_NET_HARNESS_H_
