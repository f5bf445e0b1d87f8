#ifndef PIMENTOHALL_STREAM_H_
#define PIMENTOHALL_STREAM_H_

// Library `stream`: HTTP/1.1 messages that are passed on in pieces, without
// buffering a whole message.
//
//   stream::server server(loop, timers, options);
//   server.on_request = [&server](std::shared_ptr<stream::server_exchange>
//   call,
//                                 stream::message_head head) {
//     call->SendHead(answer_head);
//     call->SendEnd();
//     server.FinishRequest(call);
//   };
//   server.Listen();
//
//   stream::client_pool pool(loop, timers, pool_options);
//   auto exchange = pool.Start(target, head, handlers);
//   exchange->SendData(bytes);
//   exchange->SendEnd();
//
// evhttp (library `net`) buffers each whole body; this library passes bytes on
// as they arrive and applies back-pressure. It parses with http-parser.
//
// Everything runs on the event loop's thread. Connections and exchanges are
// owned by shared pointers, and may be closed or released from inside their own
// handlers.

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentohall/net.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;

namespace pimentohall::stream {

// How the end of a body is marked.
enum class body_framing { kNone, kLength, kChunked };

// The head of a request (`method`, `target`) or of an answer (`status`).
struct message_head {
  std::string method;
  std::string target;
  int status = 0;
  // Received heads lack the framing and hop-by-hop headers and `Expect`.
  net::header_list headers;
  // Requests: the sender waits for permission before it sends the body.
  bool expects_continue = false;
  body_framing framing = body_framing::kNone;
  std::uint64_t length = 0;  // Body bytes, with kLength.
  bool close = false;        // The sender closes after this message.
  // Answers: the body ends when the connection closes. Such a body is
  // forwarded with kChunked.
  bool ends_with_connection = false;
  // Answers: idle seconds after which the sender may close; 0: unknown.
  int keep_alive_s = 0;
};

// Memory that the head's target and headers take.
std::size_t MemoryOf(const message_head& head);

// Why a connection ended.
enum class end_reason {
  // The peer closed the connection, not in the middle of a message, or
  // `CloseWhenSent` closed it.
  kClosed,
  // Refused, reset, not acknowledged in time, or closed by the peer in the
  // middle of a message.
  kReset,
  kBadBytes,  // Bytes that aren't HTTP/1.1, or aren't expected.
};

namespace detail {
class parser;
}

// One connection, on the server or the client side. Handlers are called in the
// order head, data, end; `on_closed` at most once, and not after `Close`.
class connection : public std::enable_shared_from_this<connection> {
 public:
  enum class side { kServer, kClient };

  connection(net::event_loop& loop, side own_side, int socket);
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
  // Closes at once with a reset, so that sent bytes that the peer doesn't have
  // yet aren't delivered later.
  void Abort();
  // Closes once everything is sent, and then calls `on_closed`, possibly from
  // inside this call. If received bytes are still unparsed, it sends the end of
  // its own bytes first and waits for the peer's close: closing at once would
  // reset the connection and could destroy what was sent.
  void CloseWhenSent();
  // Server side: permits the peer to send the body of the current request.
  void SendContinue();
  // Stops or resumes reading, for back-pressure.
  void SetReading(bool on);
  // The received message is dealt with; the next one may be read: a request on
  // the server side (the answer is complete), an answer on the client side.
  void NextMessage();

  // Limits the bytes of a message's target, header names and values; trailers
  // count too, and their names and values are dropped. A longer message is
  // malformed. 0: only http-parser's limit of 80 KB.
  void SetMaxHeadBytes(std::size_t bytes);

  // Bytes that were accepted for sending but not yet written to the socket.
  std::size_t UnsentBytes() const;
  // Memory of received bytes that aren't passed on: those not parsed yet, and
  // the head that is being parsed.
  std::size_t ReceivedBytes() const;
  // Bytes written to and read from the socket since the last `ResetCounts`.
  std::size_t SentBytes() const { return sent_bytes_; }
  std::size_t ReadBytes() const { return read_bytes_; }
  void ResetCounts() { sent_bytes_ = read_bytes_ = 0; }
  bool IsOpen() const { return stream_ != nullptr; }
  // The peer's IPv4 address without the port; empty if unknown.
  std::string PeerAddress() const;
  // True if a message has begun and its end wasn't received yet.
  bool IsInMessage() const;
  // True if both ends are open and no received byte is still unparsed.
  bool IsQuiet() const;
  // True if the peer closed the connection, even if the event loop hasn't
  // read the close yet. Unread bytes before the close hide it.
  bool HasPeerClosed() const;
  // The file descriptor.
  int Socket() const;

  std::function<void(message_head)> on_head;
  std::function<void(std::string_view)> on_data;
  std::function<void()> on_end;
  std::function<void(end_reason)> on_closed;
  // Called when `UnsentBytes` falls to zero.
  std::function<void()> on_drained;
  // Called after received bytes were parsed, or some were sent.
  std::function<void()> on_progress;
  // Client side: the peer permits to send the request's body.
  std::function<void()> on_continue;
  // Server side: the received bytes aren't HTTP/1.1. Nothing more is parsed;
  // the receiver closes the connection. Unset: it is closed at once. The status
  // tells the caller why.
  std::function<void(int status)> on_bad_message;

 private:
  friend class detail::parser;
  static void OnRead(bufferevent* stream, void* self);
  static void OnWrite(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, short events, void* self);
  static void CountSent(evbuffer* output, const evbuffer_cb_info* info,
                        void* self);
  static void CountRead(evbuffer* input, const evbuffer_cb_info* info,
                        void* self);
  void Parse();
  void ReportEnd();
  void PauseFullBuffer();
  void DropReceivedBytes();
  void CloseAndReport(end_reason reason);

  const side side_;
  bufferevent* stream_ = nullptr;
  std::unique_ptr<detail::parser> parser_;
  bool chunked_out_ = false;
  bool close_when_sent_ = false;
  bool drops_received_ = false;  // Received bytes are no longer parsed.
  bool has_dropped_ = false;     // Some were dropped.
  bool reading_ = true;
  std::size_t sent_bytes_ = 0;
  std::size_t read_bytes_ = 0;
};

// ---------------------------------------------------------------------------
// What the clients of a server may hold.

// Bounds over all clients of one server.
struct client_limits {
  std::size_t connections = 0;              // 0: no limit.
  std::size_t connections_per_address = 0;  // Of one IP address; 0: no limit.
  std::size_t bytes = 0;                    // Held in memory; 0: no limit.
  friend bool operator==(const client_limits& a, const client_limits& b);
};

// What a client's connection is used for at present.
enum class client_phase {
  kClosing,    // Everything is answered; waits for the client's close.
  kWaiting,    // Between two requests, or within a request's head.
  kReceiving,  // Part of a request was read; it isn't forwarded yet.
  kInWork,     // A request is whole or forwarded, or its answer isn't sent.
};

// Accounts what each client of a server holds, and selects the clients whose
// connections have to be closed when a limit is reached. No I/O.
//
// Clients with requests in work are closed last, and only if they don't read
// their answers: otherwise the outcome of their requests would be lost.
class client_budget {
 public:
  using client_id = const void*;

  explicit client_budget(client_limits limits) : limits_(limits) {}

  void Open(client_id client, const std::string& address, core::instant now);
  void Close(client_id client);
  void SetPhase(client_id client, client_phase phase, core::instant now);
  // `held`: bytes received but not parsed, heads and bodies in memory, and
  // bytes to be sent. `unsent`: the last of these.
  void SetBytes(client_id client, std::size_t held, std::size_t unsent,
                core::instant now);

  std::size_t Connections() const { return clients_.size(); }
  std::size_t Bytes() const { return bytes_; }
  bool IsFull() const;
  bool IsFullFor(const std::string& address) const;
  bool IsOverBytes() const;
  bool IsCrowded() const;  // Over half of the limit of bytes.

  // The client to close so that another one can connect: one that is closing,
  // or else waiting or receiving, or else in work and stalled; of these the one
  // for which that has lasted longest. With an `address`, only of that address.
  std::optional<client_id> SelectForConnection(const std::string& address,
                                               core::instant now) const;
  // The client to close while the bytes exceed their limit: the one that holds
  // most and isn't in work, or else the stalled one that holds most.
  std::optional<client_id> SelectForBytes(core::instant now) const;

  // A client that has read nothing of its answers for this long is stalled.
  static constexpr core::duration kStallTimeout = std::chrono::seconds(1);

 private:
  struct holding {
    std::string address;
    client_phase phase = client_phase::kWaiting;
    core::instant since{};  // Start of the phase.
    std::size_t bytes = 0;
    std::size_t unsent = 0;
    core::instant read_at{};  // When `unsent` last fell or was zero.
  };
  // The order in which clients are closed; the highest goes last. None: the
  // client isn't closed.
  static std::optional<int> CloseOrder(const holding& held, core::instant now);

  client_limits limits_;
  std::unordered_map<client_id, holding> clients_;
  std::unordered_map<std::string, std::size_t> addresses_;
  std::size_t bytes_ = 0;
};

// What a server did about its limits, since its start.
struct client_counts {
  std::uint64_t closed_for_connections = 0;
  std::uint64_t closed_for_bytes = 0;
  std::uint64_t closed_slow = 0;       // A head or a body took too long.
  std::uint64_t refused_messages = 0;  // Malformed, or over a limit.
  std::uint64_t accept_pauses = 0;
};

struct server_options {
  net::endpoint listen;
  // A connection without a request for this long is closed; 0: never.
  core::duration idle_timeout{0};
  // The maximum time for a request's head, counted from the first check (one a
  // second) that finds part of it; not applied if `idle_timeout` is 0. Heads of
  // more than 80 KB, http-parser's limit, are answered 431.
  core::duration head_timeout{0};
  // Requests of one connection that are passed on before the first of them is
  // answered. Beyond it, at most 64 KB per connection are read ahead.
  std::size_t max_pipelined = 1;
  // Names and values of a request's headers and trailers, and its target.
  // Beyond it, the request is answered 431. 0: only http-parser's limit.
  std::size_t max_head_bytes = 0;
  client_limits clients{};
};

class server;

// One request that a server received, and its answer. Answers leave in the
// order of the requests: until all earlier requests on the connection are
// answered, an answer is held.
//
// Handlers are called in the order data, end; `on_closed` at most once, when
// the connection ended before `server::FinishRequest`.
class server_exchange : public std::enable_shared_from_this<server_exchange> {
 public:
  // `head.close` asks for a close after the last request that was passed on;
  // only that one's answer announces the close.
  void SendHead(message_head head);
  void SendData(std::string_view bytes);
  void SendEnd();
  // Permits a caller that asked for it to send the body. Without effect once
  // the answer has begun.
  void AcceptBody();
  // Stops or resumes reading the request's body, for back-pressure.
  void SetReading(bool on);
  // Tells the server that the request is forwarded: its outcome would be lost
  // if the connection were closed to make room.
  void SetForwarded();
  // Bytes of the request that the receiver keeps in memory.
  void SetHeldBytes(std::size_t bytes);
  // Bytes of answers that aren't written to the socket yet: this answer's while
  // it is held, and then the connection's.
  std::size_t UnsentBytes() const;
  // True if no earlier request of the connection is unanswered.
  bool IsFirst() const { return first_; }
  // True if the connection ended, even if the event loop hasn't noticed yet.
  bool HasPeerClosed() const;
  // The caller's IPv4 address without the port; empty if unknown.
  std::string PeerAddress() const;
  // Closes the connection at once. No handler of this exchange is called
  // afterwards.
  void Close();
  // The connection, shared with other exchanges. Stand-ins for faulty servers
  // write to it directly.
  const std::shared_ptr<connection>& Connection() const { return conn_; }

  std::function<void(std::string_view)> on_data;
  std::function<void()> on_end;
  std::function<void(end_reason)> on_closed;
  // Called when `UnsentBytes` falls to zero.
  std::function<void()> on_drained;
  // Called when all earlier requests are answered, unless that holds from the
  // start.
  std::function<void()> on_first;

 private:
  friend class server;
  void ClearHandlers();
  // Writes what was held.
  void Flush();

  server* server_ = nullptr;  // Null once the exchange left its connection.
  std::shared_ptr<connection> conn_;
  bool first_ = false;
  bool expects_continue_ = false;
  bool received_ = false;  // The whole request was received.
  bool answered_ = false;  // The answer has begun.
  bool finished_ = false;  // The answer is complete.
  bool forwarded_ = false;
  std::size_t held_request_bytes_ = 0;
  // The held answer.
  std::optional<message_head> held_head_;
  std::string held_data_;
  bool held_end_ = false;
};

// Accepts connections and passes on their requests. Up to
// `server_options::max_pipelined` requests of one connection are passed on
// before the first is answered.
//
// A malformed request is answered 400 (431 if its head is too long) after all
// requests before it; then the connection closes.
class server {
 public:
  server(net::event_loop& loop, net::timer_service& timers,
         server_options options);
  ~server();

  tl::expected<int, std::string> Listen();
  // Refuses new connections and closes idle ones; others close after their
  // answer.
  void Stop();
  // Changes the idle and head timeouts of all connections.
  void SetTimeouts(core::duration idle_timeout, core::duration head_timeout);
  // Changes the limit of heads that are read from now on.
  void SetMaxHeadBytes(std::size_t bytes);
  std::size_t Connections() const { return connections_.size(); }
  // Bytes that all clients hold.
  std::size_t ClientBytes() const { return budget_.Bytes(); }
  // The clients hold more than the limit, or more than half of it.
  bool IsOverLimit() const { return budget_.IsOverBytes(); }
  bool IsCrowded() const { return budget_.IsCrowded(); }
  const client_counts& Counts() const { return counts_; }

  // Called with a request's head. The receiver sets the exchange's handlers,
  // sends one answer and calls `FinishRequest`, or closes the connection.
  std::function<void(std::shared_ptr<server_exchange>, message_head)>
      on_request;
  // Tells the server that the exchange's answer is complete. After the last
  // answer, the connection closes if a caller or an answer asked for that or
  // the server is stopping.
  void FinishRequest(const std::shared_ptr<server_exchange>& call);
  // Closes the connection at once, even in the middle of an answer. The other
  // exchanges on it are told.
  void Abort(const std::shared_ptr<server_exchange>& call);

 private:
  friend class server_exchange;
  struct client_state {
    std::shared_ptr<connection> conn;
    // Requests in order of arrival. The last one may still be arriving.
    std::deque<std::shared_ptr<server_exchange>> pending;
    bool close_after = false;  // No further requests are read.
    core::instant idle_since{};
    core::instant head_started{};   // When part of a head was seen; 0: none.
    core::instant closing_since{};  // Waits for the caller's close; 0: not.
    // The first request is answered, but its body still arrives; 0: not.
    core::instant draining_since{};
    // When the client stopped to read what is sent to it; 0: it reads.
    core::instant stalled_since{};
    std::size_t sent_bytes = 0;  // At the last check.
    bool IsIdle() const {
      return pending.empty() && closing_since == core::instant{};
    }
  };
  static void OnAccept(evconnlistener* listener, int socket, void* address,
                       int size, void* self);
  static void OnAcceptError(evconnlistener* listener, void* self);
  void Accept(int socket);
  // Closes a connection if the limits leave no room for one more. False: there
  // is none that may be closed.
  bool MakeRoom(const std::string& address);
  // Accepts connections or leaves them to the kernel's queue.
  void UpdateAccepting();
  void OnHoldingsChanged(const server_exchange& call);
  void UpdateHoldings(const client_state& client);
  // Closes connections until the clients hold no more than the limit.
  void ReclaimBytes();
  void CloseNow(connection* conn);
  void InstallHandlers(client_state* client);
  client_state* FindClient(const server_exchange& call);
  void OnHead(client_state* client, message_head head);
  void OnRequestEnd(client_state* client);
  void OnBadMessage(client_state* client, int status);
  void OnConnectionClosed(connection* conn, end_reason reason);
  std::shared_ptr<server_exchange> AddExchange(client_state* client);
  // Removes answered exchanges, and starts the answers of the next ones.
  void Advance(client_state* client);
  void ReadNextRequest(client_state* client);
  void WriteHead(const server_exchange& call, message_head head);
  // Closes a connection without requests once its last answer is sent.
  void CloseAfterAnswer(client_state* client);
  void CloseUnusedIf(const std::function<bool(const client_state&)>& is_due);
  static void UpdateTimes(connection* conn, client_state* client,
                          core::instant now);
  bool IsOverdue(const client_state& client, core::instant now) const;
  void CloseExpired();

  net::event_loop& loop_;
  server_options options_;
  evconnlistener* listener_ = nullptr;
  std::map<connection*, std::unique_ptr<client_state>> connections_;
  client_budget budget_;
  client_counts counts_;
  bool accepting_ = true;
  bool reclaim_posted_ = false;
  sigc::connection expiry_timer_;
  bool stopping_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

enum class failure {
  kNotSent,  // No byte of the request was written.
  // Bytes were written; the connection failed before the answer was complete.
  kLost,
  // The received bytes aren't HTTP/1.1, or aren't expected. An answer that is
  // cut off is kLost.
  kBadAnswer,
};

struct exchange_handlers {
  std::function<void(message_head)> on_head;
  std::function<void(std::string_view)> on_data;
  // Called when the answer is complete.
  std::function<void()> on_end;
  std::function<void(failure)> on_failed;
  std::function<void()> on_drained;
  // The server permits to send the body of a request with `Expect:
  // 100-continue`.
  std::function<void()> on_continue;
};

class client_pool;

// Why a pool closed a connection.
enum class connection_end {
  kAnnounced,    // The server announced the close.
  kCancelled,    // Its request was cancelled.
  kFailed,       // It broke during a request, or couldn't be opened.
  kBadAnswer,    // The server sent bytes that are no answer.
  kOtherAnswer,  // The server sent an answer to another request.
  kBrokenIdle,   // It was closed, or bytes arrived, while it was idle.
  kExpired,      // It was idle for longer than it may be used again.
  kNotNeeded,    // To make room, or its server is no longer used.
};
inline constexpr std::size_t kConnectionEnds = 8;

struct pool_counts {
  std::uint64_t opened = 0;  // Connections.
  std::uint64_t reused = 0;  // Requests on a connection that was idle.
  std::array<std::uint64_t, kConnectionEnds> ended{};  // By `connection_end`.
};

// What a request cost on its connection.
struct request_traffic {
  std::size_t sent_bytes = 0;
  std::size_t read_bytes = 0;
  bool reused_connection = false;
};

// One request and its answer. Releasing the pointer doesn't cancel the request;
// `Cancel` does.
class exchange : public std::enable_shared_from_this<exchange> {
 public:
  void SendData(std::string_view bytes);
  void SendEnd();
  // Resets the connection: bytes that are still on the way are dropped. No
  // handler is called afterwards.
  void Cancel();
  void SetReading(bool on);
  std::size_t UnsentBytes() const;
  // True if a byte of the request was written to the socket.
  bool WasSent() const;
  // A value chosen by the caller, for `client_pool::on_released`.
  void SetTag(int tag) { tag_ = tag; }
  int Tag() const { return tag_; }

 private:
  friend class client_pool;
  std::shared_ptr<connection> conn_;
  exchange_handlers handlers_;
  client_pool* pool_ = nullptr;
  std::string key_;
  std::string target_id_;
  bool request_ended_ = false;
  bool answer_ended_ = false;
  bool skipping_ = false;  // Dropping an earlier request's answer.
  bool reusable_ = true;
  bool finished_ = false;
  int keep_alive_s_ = 0;
  int tag_ = 0;
  bool reused_connection_ = false;
  connection_end end_ = connection_end::kFailed;
};

struct pool_options {
  // A connection that was idle for longer is not used again.
  core::duration idle_timeout{0};
  // A connection is closed if sent bytes stay unacknowledged for this long.
  core::duration unacknowledged_timeout{0};
  // A request on a new connection fails if its first byte isn't written within
  // this time.
  core::duration connect_timeout{0};
  int connections_per_target = 100;
  std::size_t connections = 0;  // To all targets together; 0: no limit.
};

// Connections to servers, kept open between requests.
class client_pool {
 public:
  client_pool(net::event_loop& loop, net::timer_service& timers,
              pool_options options);
  ~client_pool();

  // Starts a request. `is_own_answer` (may be empty) returns whether an
  // answer's head belongs to it; other answers are dropped with their bodies.
  // Handlers are never called from inside `Start`. Null if a limit of
  // connections is reached.
  std::shared_ptr<exchange> Start(
      const net::endpoint& target, const message_head& head,
      exchange_handlers handlers,
      std::function<bool(const message_head&)> is_own_answer = {});
  // Closes the idle connections to `target`.
  void CloseIdle(const net::endpoint& target);
  // Fails all exchanges with `target` as lost or not sent.
  void FailAll(const net::endpoint& target);
  std::uint64_t ConnectionsOpened() const { return counts_.opened; }
  const pool_counts& Counts() const { return counts_; }
  // Called once for each request, when it no longer uses its connection.
  std::function<void(const exchange&, const request_traffic&)> on_released;

 private:
  friend class exchange;
  struct idle_connection {
    std::shared_ptr<connection> conn;
    core::instant usable_until;
  };
  struct target_state {
    std::deque<idle_connection> idle;  // Most recently used at the back.
    std::map<exchange*, std::shared_ptr<exchange>> running;
    std::size_t open = 0;  // Connections, idle or running.
  };
  std::shared_ptr<connection> TakeIdle(target_state* state);
  // Closes an idle connection to another target if the limit requires it.
  // False: there is none.
  bool MakeRoom();
  void InstallHandlers(const std::shared_ptr<exchange>& call,
                       std::function<bool(const message_head&)> is_own_answer);
  void OnHead(exchange* call, message_head head,
              const std::function<bool(const message_head&)>& is_own_answer);
  void OnAnswerEnd(exchange* call);
  void Release(exchange* call);
  void Fail(exchange* call, failure reason);
  void CloseExpired();
  void CountEnd(connection_end end) {
    ++counts_.ended[static_cast<std::size_t>(end)];
  }

  net::event_loop& loop_;
  net::timer_service& timers_;
  const pool_options options_;
  std::map<std::string, target_state> targets_;
  sigc::connection expiry_timer_;
  pool_counts counts_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace pimentohall::stream

#endif  // PIMENTOHALL_STREAM_H_
