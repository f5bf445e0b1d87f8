#ifndef PIMENTOHALL_CORE_H_
#define PIMENTOHALL_CORE_H_

// Library `core`: all decision logic of a daemon, without input or output.
//
// The engine is a deterministic state machine. The host (the daemon, a
// scripted scenario, a test) feeds it events with the time and carries out the
// actions that the engine returns:
//
//   core::engine engine(options, start);
//   for (;;) {
//     core::event event = host.Wait(engine.NextWake());  // or core::tick{}
//     for (core::action& action : engine.Handle(event, host.Now())) {
//       host.Perform(std::move(action));
//     }
//   }
//
// The engine reads no clock, socket, file or global random state. The same
// options, events and times give the same actions, byte for byte. Bodies of
// calls never enter the engine: the host keeps them under the call or attempt
// identifier and relays them when an action says so.
//
// A call passes two engines. The ingress engine accepts it from the caller,
// picks an upstream and forwards one attempt at a time to the daemon on that
// upstream's VM (`forward_call`). The egress engine takes it as `peer_call`,
// starts it on the upstream (`start_upstream_call`) and answers with
// `answer_peer`. If an engine forwards a call to its own VM, the host feeds
// the action straight back to it as an event.
//
// Units: durations are `core::duration` (microseconds), or carry their unit in
// the name. The clock must be monotonic and must count through suspend.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "pimentohall/config.h"

namespace pimentohall::core {

struct core_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<core_clock>;
};
using duration = core_clock::duration;
using instant = core_clock::time_point;

// Identifies a call at its ingress daemon; chosen by the host, never reused.
using call_id = std::uint64_t;
// Identifies one attempt of one call; unique over the daemon's incarnations.
using attempt_id = std::uint64_t;

// ---------------------------------------------------------------------------
// Outcomes of calls.

enum class outcome_kind {
  kAnswered,    // The host holds the upstream's complete answer.
  kNotRun,      // The call certainly did not run on any upstream.
  kMayHaveRun,  // The call was sent to an upstream; its outcome is unknown.
};

enum class reason {
  kNone,
  // The daemon has no configuration in force, or its version check at the start
  // is not done.
  kNotReady,
  kNoKey,            // No key, or a key that is not in force.
  kNoRoute,          // No route matches.
  kRouteNotAllowed,  // The contract does not name the route.
  // The rate and burst are exhausted, the call waited too long for a token or a
  // permit, or the organisation has no contract.
  kRateExceeded,
  kConcurrencyExceeded,
  kNoUpstream,  // No usable upstream in the service.
  kQueueFull,
  kDeadline,         // The deadline passed or can't be met.
  kConnectFailed,    // The upstream refused the connection.
  kConnectionLost,   // The connection broke after the call was sent.
  kShed,             // The upstream refused the call as overload.
  kQuarantined,      // The call's fingerprint crashed upstreams.
  kDuplicate,        // The idempotency key was seen before.
  kUnknownUpstream,  // The egress daemon does not serve this upstream.
  kStopping,         // The daemon is stopping or the upstream is draining.
  kCancelled,        // The caller closed its connection.
  // A budget of the daemon is exhausted, or the chain of calls is too deep.
  kOverloaded,
  kPeerLost,  // The link to the egress daemon broke.
};
// The stable name used in answers, logs and metrics, for example
// "rate_exceeded".
const char* ReasonName(reason why);

// Load of an upstream as its egress daemon counts it; sent with every answer.
struct upstream_load {
  int in_flight = 0;
  int queued = 0;
  int limit = 0;
  friend bool operator==(const upstream_load& a, const upstream_load& b);
};

// The properties of a call on which decisions are based; the same at the
// ingress and the egress daemon.
struct call_info {
  std::string organisation;  // Empty on open routes without a key.
  std::string route;
  std::string service;
  std::string upstream;
  std::string method;
  std::string path;               // With the query string.
  std::string idempotency_key;    // Empty if there is none.
  std::uint64_t fingerprint = 0;  // Hash of organisation, method, path, body.
  config::route_class traffic_class = config::route_class::kInteractive;
  bool idempotent = false;
  bool retry = false;     // A later attempt; lower layers must not retry again.
  int depth = 0;          // Number of mesh calls that led to this one.
  duration remaining{0};  // Time to the deadline when it was sent.
  std::uint64_t config_version = 0;  // In force at the ingress daemon.
};

// ---------------------------------------------------------------------------
// Messages between daemons, on control links.

// The versions that a daemon holds. Sent when a link opens, on each change, and
// as the heartbeat.
struct status_message {
  std::string vm;
  std::uint64_t incarnation = 0;
  std::uint64_t config_version = 0;  // 0: none.
  std::string config_digest;
  std::uint64_t vms_version = 0;  // 0: none.
  std::string vms_digest;
  // Since the source last confirmed; -1: never.
  std::int64_t source_age_ms = -1;
  bool stopping = false;
};

enum class blob_kind { kManifest, kPart, kVmList };

// Asks for a piece of a blob, starting at `offset`.
struct fetch_request {
  blob_kind kind = blob_kind::kPart;
  std::string digest;
  std::uint64_t offset = 0;
};

// A piece of a blob. `total_bytes` 0 means that the sender does not hold it.
struct fetch_reply {
  blob_kind kind = blob_kind::kPart;
  std::string digest;
  std::uint64_t offset = 0;
  std::uint64_t total_bytes = 0;
  std::string bytes;
};

enum class grant_mode {
  // Lend the receiver's share; sent by the organisation's home VM. Also the
  // start check, which a starting VM sends to other VMs.
  kShare,
  kTokens,  // Lend tokens or permits; sent to the home VM.
};

struct grant_item {
  std::string organisation;
  // With `kTokens`, the requested number of tokens, or in a second item for the
  // same organisation the number returned. With `kShare`, the contract's rate.
  // 0 ends the use of the rate and cap of earlier loans.
  double tokens = 0;
  // The most permits of the receiver that the sender uses from then on, earlier
  // loans included. In a start check, a hash of the VM list.
  std::int64_t permits = 0;
};

struct grant_request {
  std::uint64_t id = 0;
  grant_mode mode = grant_mode::kTokens;
  std::vector<grant_item> items;
};

// One loan. The borrower may use it until `term` after it sent the request. The
// lender does not use it until `term` after it sent the reply, so the two
// periods of use never overlap.
struct grant {
  std::string organisation;
  double rate_per_s = 0;
  double burst = 0;   // Cap lent with the rate or the tokens.
  double tokens = 0;  // At most `burst`.
  std::int64_t permits = 0;
  duration term{0};
};

struct grant_reply {
  std::uint64_t id = 0;
  std::vector<grant> grants;
};

// Would return unused permits of a loan before its term ends. Never sent, and
// ignored when received; a `grant_request` returns permits instead.
struct permit_return {
  std::string organisation;
  std::int64_t permits = 0;
};

// Reports that a call with this fingerprint was in flight when an upstream
// crashed.
struct crash_report {
  std::uint64_t fingerprint = 0;
  // Identifies one crash; a repeated report is dropped while it is remembered.
  std::uint64_t crash = 0;
  bool alone = false;  // No other call was in flight.
  std::int64_t age_ms = 0;
};

using message =
    std::variant<status_message, fetch_request, fetch_reply, grant_request,
                 grant_reply, permit_return, crash_report>;

// ---------------------------------------------------------------------------
// Events, which the host passes to the engine.

struct tick {};

// A caller's complete request. `key_digest` is the SHA-256 of the key that
// came with it, or empty; the key itself never enters the engine.
struct call_arrived {
  call_id call = 0;
  std::string method;
  std::string path;
  std::string key_digest;
  std::string idempotency_key;
  std::uint64_t body_hash = 0;
  std::optional<std::int64_t> deadline_ms;  // Remaining time, if given.
  std::optional<config::route_class> traffic_class;
  bool retry = false;
  int depth = 0;
};
// The caller closed its connection before the answer.
struct call_cancelled {
  call_id call = 0;
};

// Outcome of a forwarded attempt, from the daemon on `vm`.
struct peer_answer {
  std::string vm;
  attempt_id attempt = 0;
  outcome_kind outcome = outcome_kind::kMayHaveRun;
  reason why = reason::kNone;
  int http_status = 0;  // With kAnswered.
  upstream_load load;
};
// The host could not pass the attempt to the link; nothing was sent.
struct forward_failed {
  attempt_id attempt = 0;
};

// An attempt forwarded by the daemon on `vm`.
struct peer_call {
  std::string vm;
  attempt_id attempt = 0;
  call_info info;
};
// The ingress daemon cancelled the attempt.
struct peer_cancel {
  std::string vm;
  attempt_id attempt = 0;
};

enum class upstream_failure {
  kNotSent,  // No byte of the call was written to the upstream.
  kLost,     // The connection broke after a byte was written.
  kTimeout,  // No complete answer before the deadline.
};
struct upstream_answered {
  std::string vm;
  attempt_id attempt = 0;
  int http_status = 0;
  bool shed = false;      // Refused as overload; the call did not run.
  bool draining = false;  // The upstream asks for no further calls.
};
struct upstream_failed {
  std::string vm;
  attempt_id attempt = 0;
  upstream_failure failure = upstream_failure::kLost;
};
// Result of the host's probes of an upstream's health and load endpoints.
struct upstream_report {
  std::string upstream;
  bool healthy = true;
  bool draining = false;
  double load = 0;  // 0: idle, 1: full.
};

// The control link to the daemon on `vm` opened.
struct link_up {
  std::string vm;
};
// The control link to the daemon on `vm` closed or could not be opened.
struct link_down {
  std::string vm;
};
// The call link to `vm` closed: the outcome of attempts sent over it is
// unknown.
struct call_link_down {
  std::string vm;
};
struct message_received {
  std::string vm;
  message body;
};

enum class source_key { kManifest, kVmList, kPart };
// Answer to `read_source`. If `value` is empty, the source does not hold the
// key.
struct source_value {
  source_key key = source_key::kManifest;
  std::string digest;  // With kPart: the requested digest.
  std::uint64_t index = 0;
  std::optional<std::string> value;
};
struct source_failed {
  source_key key = source_key::kManifest;
  std::string digest;
};

// Starts a planned stop: the engine accepts no new calls and finishes the
// running ones.
struct begin_stop {};

using event = std::variant<tick, call_arrived, call_cancelled, peer_answer,
                           forward_failed, peer_call, peer_cancel,
                           upstream_answered, upstream_failed, upstream_report,
                           link_up, link_down, call_link_down, message_received,
                           source_value, source_failed, begin_stop>;

// ---------------------------------------------------------------------------
// Actions, which the host carries out for the engine.

// Ends a call. With kAnswered the host relays the answer of `attempt`;
// otherwise it sends `http_status` with the reason.
struct answer_call {
  call_id call = 0;
  attempt_id attempt = 0;
  outcome_kind outcome = outcome_kind::kNotRun;
  reason why = reason::kNone;
  int http_status = 0;
  std::optional<std::int64_t> retry_after_ms;
  std::string organisation;
};
struct forward_call {
  call_id call = 0;
  attempt_id attempt = 0;
  std::string vm;
  call_info info;
};
struct cancel_forward {
  std::string vm;
  attempt_id attempt = 0;
};

struct start_upstream_call {
  std::string vm;
  attempt_id attempt = 0;
  config::upstream upstream;
  call_info info;  // `remaining` is counted from now.
};
struct cancel_upstream_call {
  std::string vm;
  attempt_id attempt = 0;
};
struct answer_peer {
  std::string vm;
  attempt_id attempt = 0;
  outcome_kind outcome = outcome_kind::kNotRun;
  reason why = reason::kNone;
  int http_status = 0;
  upstream_load load;
};

struct send_message {
  std::string vm;
  message body;
};
// Opens a control link. The host replies with the event `link_up` or
// `link_down`.
struct open_link {
  std::string vm;
  std::string address;
  int port = 0;
};
struct close_link {
  std::string vm;
};

// Reads a key of the source. With a non-zero `index` the read waits up to
// `wait` for a value with another index.
struct read_source {
  source_key key = source_key::kManifest;
  std::string digest;  // With kPart.
  std::uint64_t index = 0;
  duration wait{0};
};

// A new set or VM list is in force; the host updates probes, pools and status.
struct config_in_force {
  std::shared_ptr<const config::config_set> set;
  std::shared_ptr<const config::vm_list> vms;
};

enum class log_level { kInfo, kWarning, kError };
struct log_entry {
  log_level level = log_level::kInfo;
  std::string text;
  std::vector<std::pair<std::string, std::string>> fields;
};

// All calls are finished; the process may exit.
struct stop_finished {};

using action =
    std::variant<answer_call, forward_call, cancel_forward, start_upstream_call,
                 cancel_upstream_call, answer_peer, send_message, open_link,
                 close_link, read_source, config_in_force, log_entry,
                 stop_finished>;
using actions = std::vector<action>;

// ---------------------------------------------------------------------------
// The engine.

// A peer to connect to before a VM list is in force.
struct bootstrap_peer {
  std::string vm;
  std::string address;
  int port = 0;
};

struct engine_options {
  std::string vm;
  std::string zone;
  std::uint64_t incarnation = 0;  // Random for each start of the process.
  std::uint64_t seed = 1;         // Seeds the engine's random choices.
  std::vector<bootstrap_peer> bootstrap_peers;
};

// Counters for metrics; they never decrease.
struct counters {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t failed_may_have_run = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t source_reads = 0;
  std::uint64_t refused_sets = 0;
  std::uint64_t upstream_calls = 0;
};

class engine {
 public:
  engine(engine_options options, instant start);
  ~engine();
  engine(engine&&) noexcept;
  engine& operator=(engine&&) noexcept;

  // Handles one event. `now` must not decrease between calls.
  actions Handle(const event& event, instant now);

  // The latest time at which the host must send `tick`.
  instant NextWake() const;

  // True while a set is in force, the version check at the start is done, the
  // daemon's own share is usable and no stop has begun. The host must begin to
  // accept calls only then.
  bool IsReady() const;

  std::shared_ptr<const config::config_set> Set() const;
  std::shared_ptr<const config::vm_list> Vms() const;
  const counters& Counters() const;

  // State as JSON, without keys or key digests. The same state gives the same
  // bytes.
  std::string Dump(instant now) const;

  // Explains, as JSON, why a call would be admitted, refused or routed as it
  // is. Changes no state.
  std::string Explain(const call_arrived& call, instant now) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_H_
