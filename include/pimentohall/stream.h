#ifndef PIMENTOHALL_STREAM_H_
#define PIMENTOHALL_STREAM_H_

// Library `stream`: HTTP/1.1 messages that pass through without being held
// whole.
//
//   stream::server server(loop, timers, options);
//   server.on_request = [](std::shared_ptr<stream::connection> from,
//                          stream::message_head head) {
//     from->SendHead(answer_head);
//     from->SendEnd();
//     server.Done(from);
//   };
//   server.Listen();
//
//   stream::client_pool pool(loop, timers, pool_options);
//   auto exchange = pool.Start(target, head, framing, handlers);
//   exchange->SendData(bytes);
//   exchange->SendEnd();
//
// evhttp (library `net`) holds each body whole; this library hands bytes on as
// they come and lets the receiver stop the sender. Parsing is http-parser's.
//
// Everything runs on the loop's thread. Objects are held by shared pointers,
// and may be closed or dropped from inside their own handlers.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentohall/net.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;

namespace pimentohall::stream {

// How the end of a body is told.
enum class body_framing { kNone, kLength, kChunked };

// The head of a request (`method`, `target`) or of an answer (`status`).
struct message_head {
  std::string method;
  std::string target;
  int status = 0;
  net::header_list headers;  // Without the framing and hop-by-hop headers.
  body_framing framing = body_framing::kNone;
  std::uint64_t length = 0;  // With kLength, bytes.
  bool close = false;        // The sender closes after this message.
  // Answers: the connection's end is the body's end. Such a body is sent on
  // with kChunked.
  bool ends_with_connection = false;
  // Answers: idle seconds after which the sender may close; 0: not told.
  int keep_alive_s = 0;
};

// Why a connection ended.
enum class end_reason {
  kClosed,    // The other end closed in order.
  kReset,     // Reset, or not acknowledged in time.
  kBadBytes,  // What came isn't HTTP/1.1, or comes where nothing is expected.
};

namespace detail {
class parser;
}

// One connection, of either side. Handlers are called in the order head, data,
// end; `on_closed` at most once, and not after `Close`.
class connection : public std::enable_shared_from_this<connection> {
 public:
  enum class side { kServer, kClient };

  connection(net::event_loop& loop, side which, int socket);
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // Registers the callbacks. Call once, after the handlers are set.
  void Open();
  // Client side: starts to connect.
  bool Connect(const net::endpoint& target);

  void SendHead(const message_head& head);
  void SendData(std::string_view bytes);
  void SendEnd();
  // Closes at once. Bytes not sent yet are dropped.
  void Close();
  // Closes when all is sent; `on_closed` is called then, possibly at once.
  void CloseWhenSent();
  // Stops or resumes reading, for back-pressure.
  void SetReading(bool on);
  // Server side: the answer is complete; the next request may be read.
  void NextMessage();

  // Bytes taken but not yet written to the socket.
  std::size_t Unsent() const;
  // Bytes that the socket took since the last `ResetSentCount`.
  std::size_t SentBytes() const { return sent_bytes_; }
  void ResetSentCount() { sent_bytes_ = 0; }
  bool IsOpen() const { return stream_ != nullptr; }
  // The address of the other end, without the port.
  std::string PeerAddress() const;
  // A message's head was received and its end was not.
  bool IsInMessage() const;
  // True if no byte waits that was received and not parsed.
  bool IsQuiet() const;
  // True if the other end closed, also when the loop hasn't come to read that
  // yet. Bytes that wait before the close hide it.
  bool HasPeerClosed() const;
  int Socket() const;

  std::function<void(message_head)> on_head;
  std::function<void(std::string_view)> on_data;
  std::function<void()> on_end;
  std::function<void(end_reason)> on_closed;
  // `Unsent` fell to zero.
  std::function<void()> on_drained;

 private:
  friend class detail::parser;
  static void OnRead(bufferevent* stream, void* self);
  static void OnWrite(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, short what, void* self);
  static void CountSent(evbuffer* output, const evbuffer_cb_info* info,
                        void* self);
  void Parse();
  void End(end_reason why);

  const side side_;
  bufferevent* stream_ = nullptr;
  std::unique_ptr<detail::parser> parser_;
  bool chunked_out_ = false;
  bool close_when_sent_ = false;
  bool reading_ = true;
  std::size_t sent_bytes_ = 0;
};

struct server_options {
  net::endpoint listen;
  // A connection without a request for this long is closed; 0: never.
  core::duration idle{0};
  // The longest time from a request's first byte to the end of its head. Heads
  // of more than 80 KB, http-parser's limit, end the connection.
  core::duration head_time{0};
};

// Accepts connections and hands out requests, one at a time on a connection.
class server {
 public:
  server(net::event_loop& loop, net::timer_service& timers,
         server_options options);
  ~server();

  tl::expected<int, std::string> Listen();
  // Refuses new connections and closes idle ones; others close after their
  // answer.
  void Stop();
  // Changes the idle and head times for all connections.
  void SetTimes(core::duration idle, core::duration head_time);
  std::size_t Connections() const { return connections_.size(); }

  // A request's head. The receiver sets the connection's other handlers, sends
  // one answer and calls `Done`, or closes the connection.
  std::function<void(std::shared_ptr<connection>, message_head)> on_request;
  // The answer to the request of this connection is complete. The connection
  // closes if either side asked for that.
  void Done(const std::shared_ptr<connection>& which);
  // Closes the connection at once, in the middle of an answer too.
  void Abort(const std::shared_ptr<connection>& which);

 private:
  struct slot {
    std::shared_ptr<connection> conn;
    bool busy = false;         // A request was handed out and isn't done.
    bool close_after = false;  // Asked by the caller.
    core::instant idle_since{};
    core::instant head_since{};  // A part of a head was seen; 0: none.
  };
  static void OnAccept(evconnlistener* listener, int socket, void* address,
                       int size, void* self);
  void Accept(int socket);
  void Attach(slot* at);
  void Finish(slot* at);
  void Forget(connection* which);
  // Closes a connection without a request once its last answer is sent.
  void Retire(slot* at);
  void RetireIf(const std::function<bool(const slot&)>& is_due);
  void Sweep();

  net::event_loop& loop_;
  server_options options_;
  evconnlistener* listener_ = nullptr;
  std::map<connection*, std::unique_ptr<slot>> connections_;
  sigc::connection sweep_timer_;
  bool stopping_ = false;
};

enum class failure {
  kNotSent,    // No byte of the request was written.
  kLost,       // Bytes were written; the connection broke before the answer.
  kBadAnswer,  // What came isn't a whole answer.
};

struct exchange_handlers {
  std::function<void(message_head)> on_head;
  std::function<void(std::string_view)> on_data;
  // The answer is complete.
  std::function<void()> on_end;
  std::function<void(failure)> on_failed;
  std::function<void()> on_drained;
};

class client_pool;

// One request and its answer. Dropping it does not cancel; `Cancel` does.
class exchange : public std::enable_shared_from_this<exchange> {
 public:
  void SendData(std::string_view bytes);
  void SendEnd();
  // Closes the connection; no handler is called any more.
  void Cancel();
  void SetReading(bool on);
  std::size_t Unsent() const;
  // True if a byte of the request was written to the socket.
  bool WasSent() const;

 private:
  friend class client_pool;
  std::shared_ptr<connection> conn_;
  exchange_handlers handlers_;
  client_pool* pool_ = nullptr;
  std::string key_;
  std::string target_id_;
  bool request_ended_ = false;
  bool answer_ended_ = false;
  bool skipping_ = false;  // An answer that belongs to an earlier request.
  bool reusable_ = true;
  bool finished_ = false;
  int keep_alive_s_ = 0;
};

struct pool_options {
  // A connection that was idle for longer is not used again.
  core::duration idle{0};
  // Unacknowledged bytes end a connection after this time.
  core::duration silence{0};
  core::duration connect_time{0};
  int connections_per_target = 100;
};

// Connections to servers, kept open between requests.
class client_pool {
 public:
  client_pool(net::event_loop& loop, net::timer_service& timers,
              pool_options options);
  ~client_pool();

  // Starts a request. `is_own_answer` (may be empty) tells whether an answer's
  // head belongs to it; other answers are dropped with their bodies. Handlers
  // are never called from inside `Start`. Null if the limit of connections is
  // reached.
  std::shared_ptr<exchange> Start(
      const net::endpoint& target, const message_head& head,
      exchange_handlers handlers,
      std::function<bool(const message_head&)> is_own_answer = {});
  // Closes the idle connections to `target`.
  void DropIdle(const net::endpoint& target);
  // Ends all exchanges with `target` as lost or not sent.
  void FailAll(const net::endpoint& target);
  std::uint64_t ConnectionsOpened() const { return opened_; }

 private:
  friend class exchange;
  struct idle_connection {
    std::shared_ptr<connection> conn;
    core::instant usable_until;
  };
  struct target_state {
    std::deque<idle_connection> idle;  // Last used at the back.
    std::map<exchange*, std::shared_ptr<exchange>> running;
    std::size_t open = 0;
  };
  std::shared_ptr<connection> TakeIdle(target_state* at);
  void Attach(const std::shared_ptr<exchange>& which,
              std::function<bool(const message_head&)> is_own_answer);
  void OnHead(exchange* which, message_head head,
              const std::function<bool(const message_head&)>& is_own_answer);
  void OnAnswerEnd(exchange* which);
  void Release(exchange* which);
  void Fail(exchange* which, failure why);
  void Sweep();

  net::event_loop& loop_;
  net::timer_service& timers_;
  const pool_options options_;
  std::map<std::string, target_state> targets_;
  sigc::connection sweep_timer_;
  std::uint64_t opened_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pimentohall::stream

#endif  // PIMENTOHALL_STREAM_H_
