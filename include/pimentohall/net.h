#ifndef PIMENTOHALL_NET_H_
#define PIMENTOHALL_NET_H_

// Library `net`: sockets, HTTP, timers, links and settings around the decision
// core.
//
//   auto settings = net::LoadSettings("daemon.json");
//   if (!settings) return PrintFaults(settings.error());
//   net::event_loop loop;
//   net::timer_service timers(loop);
//   net::http_front front(loop, {settings->http, settings->limits});
//   front.on_call = [&](core::call_arrived call, net::http_message request) {
//     front.Answer(call.call, {200, {}, net::ShareBytes("hello")});
//   };
//   if (auto port = front.Listen(); !port) return Report(port.error());
//   loop.Run();
//
// Everything runs on the loop's thread. A task (one of the classes below) owns
// its sockets and state and reports events to its owner through handlers, its
// public `on_...` members. Unless a comment says otherwise, a handler is never
// called from inside a call that the owner made to the task. A `mailbox`
// lets tasks exchange messages without nested calls; no class uses it yet.
//
// Errors of the operating system and of TLS are texts (`std::string`); faults
// in settings are `config::faults`; a frame that can't be decoded is a
// `wire_fault`. Durations are `core::duration`.

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "pimentohall/config.h"
#include "pimentohall/core.h"

struct event_base;

namespace pimentohall::net {

// The version of this build, for example "0.1.0".
std::string VersionText();

// ---------------------------------------------------------------------------
// Loop, timers, mailbox, log.

// The event loop of the process. Within one turn, timers run before sockets, so
// that a process that was paused runs its overdue timers before it handles any
// new call.
class event_loop {
 public:
  // `clock`: the time of `Now`, for tests in virtual time.
  explicit event_loop(std::function<core::instant()> clock = {});
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  // By default the time of CLOCK_BOOTTIME, which includes time spent in
  // suspend.
  core::instant Now() const;
  // Runs until `Stop`.
  void Run();
  void Stop();
  // Runs the function `task` on a later turn of the loop, in the order of
  // posting.
  void Post(std::function<void()> task);
  // Calls `handler` on the loop when the process gets `signal_number`.
  void OnSignal(int signal_number, std::function<void()> handler);
  event_base* Base() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// One-shot and periodic timers on the loop. A slot may add and disconnect
// timers, including its own.
class timer_service {
 public:
  explicit timer_service(event_loop& loop);
  ~timer_service();

  // Calls `slot` every `period`, first after one period. Periods that
  // were missed while the process was paused are skipped.
  sigc::connection Every(core::duration period, sigc::slot<void()> slot);
  // Calls `slot` once, after `delay`.
  sigc::connection After(core::duration delay, sigc::slot<void()> slot);
  // Runs the timers that are due at `now`, in order of due time. The loop calls
  // this.
  void RunDue(core::instant now);
  // When the next timer is due, if any; it may have been disconnected.
  std::optional<core::instant> NextDue() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// Passes messages from one task to another: `Post` queues, and the handler
// gets the messages in order on a later turn of the loop. Messages still
// queued when the mailbox is destroyed are dropped.
template <typename message_type>
class mailbox {
 public:
  mailbox(event_loop& loop, std::function<void(message_type)> handler)
      : loop_(loop),
        handler_(std::make_shared<std::function<void(message_type)>>(
            std::move(handler))) {}
  void Post(message_type message) {
    std::weak_ptr<std::function<void(message_type)>> handler = handler_;
    loop_.Post([handler, message = std::move(message)]() mutable {
      if (auto locked = handler.lock()) (*locked)(std::move(message));
    });
  }

 private:
  event_loop& loop_;
  std::shared_ptr<std::function<void(message_type)>> handler_;
};

// Writes one JSON line: time, level, message, fields. It goes to standard
// error, or to the buffer of the log_stream if there is one.
void Log(core::log_level level, std::string_view message,
         const std::vector<std::pair<std::string, std::string>>& fields = {});
struct log_stream_options {
  // Lines are dropped while the buffer holds at least this many bytes.
  std::size_t buffer_bytes = 256 * 1024;
  // Rate limit with a burst of one second. Warnings and errors count towards it
  // but are not dropped by it.
  double lines_per_s = 400;
  core::duration flush_period = std::chrono::milliseconds(100);
};
// While a log_stream exists, log lines go to standard output instead of
// standard error, through a bounded buffer that is written without blocking. If
// the reader of standard output stalls, lines are dropped and the daemon is not
// delayed. Lines above the rate limit are dropped unless they are warnings or
// errors. Once the buffer has room again, the number of dropped lines is logged
// for each message.
class log_stream {
 public:
  log_stream(event_loop& loop, timer_service& timers,
             log_stream_options options);
  ~log_stream();
  log_stream(const log_stream&) = delete;
  log_stream& operator=(const log_stream&) = delete;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};
// Number of lines that the current log_stream dropped; 0 without one.
std::uint64_t DroppedLogLines();
// Sets the lowest level that is logged. The default is kInfo.
void SetLogLevel(core::log_level level);
// The line that `Log` writes, without the line feed. Bytes that are not UTF-8
// are replaced.
std::string FormatLogLine(
    std::string_view time, core::log_level level, std::string_view message,
    const std::vector<std::pair<std::string, std::string>>& fields);

// ---------------------------------------------------------------------------
// Settings.

struct endpoint {
  std::string address = "127.0.0.1";  // A numeric IP address.
  int port = 0;                       // 0: chosen by the system.
  friend bool operator==(const endpoint& a, const endpoint& b);
};

// Paths of PEM files. `ca` is used on links only.
struct tls_files {
  std::string certificate;
  std::string key;
  std::string ca;
  bool IsSet() const { return !certificate.empty(); }
  friend bool operator==(const tls_files& a, const tls_files& b);
};

// The defaults are the budgets of section 12 of the design and also the upper
// bounds: settings can only lower them.
struct limit_settings {
  std::int64_t body_bytes = 1024 * 1024;
  std::int64_t header_bytes = 16 * 1024;
  std::int64_t calls_in_flight = 4096;
  std::int64_t links = 256;
  std::int64_t idle_connection_ms = 60000;
  friend bool operator==(const limit_settings& a, const limit_settings& b);
};

struct source_settings {
  std::vector<endpoint> addresses;
  std::string prefix = "pimentohall";
  friend bool operator==(const source_settings& a, const source_settings& b);
};

struct daemon_settings {
  std::string vm;
  std::string zone;
  endpoint http;
  endpoint link;
  endpoint admin;
  source_settings source;
  std::vector<core::bootstrap_peer> bootstrap_peers;
  tls_files http_tls;
  tls_files link_tls;
  core::log_level level = core::log_level::kInfo;
  limit_settings limits;
};

// Parses settings (docs/settings.md) and returns every fault found.
tl::expected<daemon_settings, config::faults> ParseSettings(
    std::string_view bytes, const std::string& document);
tl::expected<daemon_settings, config::faults> LoadSettings(
    const std::string& path);

// ---------------------------------------------------------------------------
// HTTP values.

using header = std::pair<std::string, std::string>;
using header_list = std::vector<header>;
// A body. It is shared, so that retries and calls that a daemon forwards to its
// own VM don't copy it.
using shared_bytes = std::shared_ptr<const std::string>;
shared_bytes ShareBytes(std::string bytes);

// Headers and body of a caller's request on its way to an upstream, without
// credentials, hop-by-hop headers and X-Pimentohall-* headers.
struct http_message {
  header_list headers;
  shared_bytes body;
};

// An answer with its complete body.
struct http_answer {
  int status = 0;
  header_list headers;
  shared_bytes body;
};

// True for hop-by-hop headers, which apply to one connection only (RFC 9110,
// 7.6.1).
bool IsHopByHop(std::string_view name);
// The value of the first header of this name (any case), or empty.
std::string_view FindHeader(const header_list& headers, std::string_view name);
// The answer to a call that the engine ended without an upstream's answer.
http_answer RefusalAnswer(const core::answer_call& action);

// ---------------------------------------------------------------------------
// Wire format of links.

struct wire_fault {
  std::string problem;
};

inline constexpr std::size_t kMaxFrameBytes = 2 * 1024 * 1024;

// Forwards one attempt to the egress daemon.
struct forward_frame {
  core::attempt_id attempt = 0;
  core::call_info info;
  http_message request;
};
struct cancel_frame {
  core::attempt_id attempt = 0;
};
// The outcome of an attempt. Headers and body are set only with kAnswered.
struct answer_frame {
  core::attempt_id attempt = 0;
  core::outcome_kind outcome = core::outcome_kind::kMayHaveRun;
  core::reason why = core::reason::kNone;
  core::upstream_load load;
  http_answer answer;
};
using call_frame = std::variant<forward_frame, cancel_frame, answer_frame>;

// Frames are CBOR arrays: a type number, then the fields in the order of the
// struct. Decoding rejects missing, extra and out-of-range elements and texts
// over 64 KB. It accepts some forms that encoding doesn't produce, for example
// arrays of unknown length and integers for doubles.
std::string EncodeMessage(const core::message& message);
tl::expected<core::message, wire_fault> DecodeMessage(std::string_view bytes);
std::string EncodeFrame(const call_frame& frame);
tl::expected<call_frame, wire_fault> DecodeFrame(std::string_view bytes);

// ---------------------------------------------------------------------------
// HTTP front for callers.

struct http_front_options {
  endpoint listen;
  limit_settings limits;
  tls_files tls;
};

class http_front {
 public:
  http_front(event_loop& loop, http_front_options options);
  ~http_front();

  // Binds the port without listening and returns it. Until `Listen` is called,
  // the system refuses connections. Fails if a certificate can't be loaded.
  tl::expected<int, std::string> Bind();
  // Starts to accept connections and returns the port. Calls `Bind` first if
  // the port isn't bound. May be called again after an error.
  tl::expected<int, std::string> Listen();
  // Sends the answer to a call. Does nothing if the caller has disconnected.
  void Answer(core::call_id call, const http_answer& answer);
  // Refuses new connections and closes each open one after its running call.
  // Calls `done` on a later turn of the loop, once no call is pending, every
  // answer is written and these connections are closed. Connections without a
  // request so far are neither closed nor waited for.
  void Stop(std::function<void()> done);
  // Reads the certificate files again for new connections. On error the old
  // certificates stay in use.
  tl::expected<void, std::string> ReloadCertificates();
  // Number of calls that are not answered yet.
  std::size_t Pending() const;

  // A complete request arrived. The handler may call `Answer`.
  std::function<void(core::call_arrived, http_message)> on_call;
  // The caller closed its connection before the answer.
  std::function<void(core::call_id)> on_cancelled;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// Read-only HTTP pages for operators. A page's function receives the query
// parameters.
using page_query = std::vector<std::pair<std::string, std::string>>;
class admin_server {
 public:
  admin_server(event_loop& loop, endpoint listen);
  ~admin_server();
  void AddPage(const std::string& path,
               std::function<http_answer(const page_query&)> page);
  tl::expected<int, std::string> Listen();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// ---------------------------------------------------------------------------
// HTTP client, upstream client and source client.

enum class http_failure {
  kNotSent,  // No byte of the request was written to a connection.
  kLost,     // A byte was written, and no complete answer was received.
  kTimeout,  // A byte was written, and the timeout passed before a complete
             // answer.
};

struct http_request {
  endpoint target;
  std::string method = "GET";
  std::string path = "/";
  header_list headers;
  shared_bytes body;
  core::duration timeout{0};
};

// HTTP/1.1 client with pooled keep-alive connections. Each request is written
// at most once; it is never retried, nor sent on a second connection.
class http_client {
 public:
  using request_id = std::uint64_t;
  using handler = std::function<void(tl::expected<http_answer, http_failure>)>;

  static constexpr std::int64_t kDefaultMaxAnswerBytes = 1024 * 1024;
  // At most `connections_per_target` connections are open to one target; a
  // request that would need another one fails with kNotSent. An answer whose
  // body is longer than `max_answer_bytes` fails with kLost.
  http_client(event_loop& loop, timer_service& timers,
              int connections_per_target = 100,
              std::int64_t max_answer_bytes = kDefaultMaxAnswerBytes);
  ~http_client();

  // `done` is called once, never from inside `Start`, unless the request is
  // cancelled first.
  request_id Start(const http_request& request, handler done);
  // Closes the request's connection; `done` isn't called. True if a byte of the
  // request was written.
  bool Cancel(request_id request);
  // Closes idle connections to targets that are not in `targets`.
  void RetainTargets(const std::vector<endpoint>& targets);
  std::size_t IdleConnections() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// An upstream to probe. Empty paths are not probed.
struct probe_target {
  std::string upstream;
  endpoint address;
  std::string health_path;
  std::string load_path;
};

// Runs the calls that the engine starts on upstreams.
class upstream_client {
 public:
  upstream_client(event_loop& loop, timer_service& timers);
  ~upstream_client();

  void Start(const core::start_upstream_call& action,
             const http_message& request);
  // Closes the call's connection and reports a failure of the call, because the
  // engine counts the slot as in use until the call's end is reported.
  void Cancel(const std::string& vm, core::attempt_id attempt);
  // Replaces the set of upstreams that are probed once a second.
  void SetProbeTargets(const std::vector<probe_target>& targets);

  std::function<void(core::upstream_answered, http_answer)> on_answered;
  std::function<void(core::upstream_failed)> on_failed;
  std::function<void(core::upstream_report)> on_report;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// Reads keys of the configuration source (Consul KV, blocking queries).
class source_client {
 public:
  source_client(event_loop& loop, timer_service& timers,
                source_settings settings);
  ~source_client();

  // Starts one HTTP read. After a failed read, later reads use the next
  // address. A failed read isn't retried unless the engine asks for it again.
  void Read(const core::read_source& action);

  std::function<void(core::source_value)> on_value;
  std::function<void(core::source_failed)> on_failed;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// ---------------------------------------------------------------------------
// Links between daemons.

struct link_options {
  std::string vm;
  endpoint listen;
  tls_files tls;
  std::int64_t max_links = 256;
  core::duration open_timeout = std::chrono::seconds(2);
  // A control link that receives nothing, or can't write, for this long is
  // closed. Heartbeats are sent every 2 s: three of them are lost by then.
  core::duration control_silence_timeout = std::chrono::seconds(7);
  // An outgoing call connection that is unused for this long is closed.
  core::duration call_idle_timeout = std::chrono::seconds(60);
};

// Totals since the start, except `links_up`, which is the current number.
struct link_counts {
  // Bytes of messages on control links, without WebSocket and TLS framing.
  std::uint64_t control_bytes_sent = 0;
  std::uint64_t control_bytes_received = 0;
  std::uint64_t bad_frames = 0;  // Links closed because of a bad frame.
  std::size_t links_up = 0;      // Peers with an open control link.
};

// Control and call links to all peers. There is one logical control link for
// each peer, made of one connection or, after simultaneous dials, two; it goes
// down when the last one closes. Call connections are dialled by the ingress
// daemon at its first forward.
class link_service {
 public:
  link_service(event_loop& loop, timer_service& timers, link_options options);
  ~link_service();

  tl::expected<int, std::string> Listen();
  tl::expected<void, std::string> ReloadCertificates();

  // Dials the peer and reports the result with `on_link_up` or `on_link_down`.
  // If the link is already up, calls `on_link_up` without a new connection.
  void Open(const core::open_link& action);
  // Closes all control connections with the peer, dialled and accepted. The
  // peer's `on_link_down` is called, but not this side's: the owner may dial
  // again at once, and a late call would look like the failure of the new dial.
  void Close(const std::string& vm);
  // Drops the message if the link is down.
  void Send(const std::string& vm, const core::message& message);

  // Sets the address to which call connections to `vm` are dialled.
  void SetAddress(const std::string& vm, const endpoint& address);
  void Forward(const std::string& vm, const forward_frame& frame);
  void CancelForward(const std::string& vm, core::attempt_id attempt);
  // Answers a call that `on_call` reported. The answer is dropped if the call's
  // connection is closed.
  void AnswerPeer(const std::string& vm, const answer_frame& frame);

  std::function<void(core::link_up)> on_link_up;
  std::function<void(core::link_down)> on_link_down;
  std::function<void(core::message_received)> on_message;
  std::function<void(core::peer_call, http_message)> on_call;
  std::function<void(core::peer_cancel)> on_cancel;
  std::function<void(core::peer_answer, http_answer)> on_answer;
  std::function<void(core::forward_failed)> on_forward_failed;
  // A call connection closed with calls in flight. All call connections with
  // that peer, in both directions, are already closed when this is called,
  // because the engine drops the peer's calls and its own forwards together.
  std::function<void(core::call_link_down)> on_call_link_down;

  link_counts Counts() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// ---------------------------------------------------------------------------
// The daemon's host.

// The host's interface to the decision core. The daemon passes an adapter of
// `core::engine`; tests pass a scripted engine.
class decision_engine {
 public:
  virtual ~decision_engine() = default;
  virtual core::actions Handle(const core::event& event, core::instant now) = 0;
  virtual core::instant NextWake() const = 0;
  virtual bool IsReady() const = 0;
  virtual std::shared_ptr<const config::config_set> Set() const = 0;
  virtual core::counters Counters() const = 0;
  virtual std::string Dump(core::instant now) const = 0;
  virtual std::string Explain(const core::call_arrived& call,
                              core::instant now) const = 0;
};

// The daemon around an engine: passes events to the engine, executes its
// actions and stores the bodies of calls, which the engine doesn't see.
class daemon_host {
 public:
  daemon_host(event_loop& loop, daemon_settings settings,
              std::unique_ptr<decision_engine> engine);
  ~daemon_host();

  struct ports {
    int http = 0;
    int link = 0;
    int admin = 0;
  };
  // Listens for daemons and operators, and binds the port for callers. Until
  // the engine is ready, connections of callers are refused, so that callers
  // try another daemon.
  tl::expected<ports, std::string> Listen();
  // Starts a planned stop; the loop is stopped when all calls are finished.
  void BeginStop();
  void ReloadCertificates();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_H_
