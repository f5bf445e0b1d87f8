#ifndef PIMENTOHALL_NODE_H_
#define PIMENTOHALL_NODE_H_

// Library `node`: a daemon that runs beside one upstream VM, for a platform
// that publishes configuration and upstreams as plain key-value items.
//
//   node::node daemon(loop, timers, settings, adapter);
//   auto started = daemon.Start();
//   if (!started) return Report(started.error());
//   loop.OnSignal(SIGTERM, [&] { daemon.BeginStop(); });
//   loop.Run();
//
// The platform's names, formats and calls are known to an `adapter` only; this
// library handles typed values. Its decisions are made by library `mesh`.
//
// A call: the caller's daemon (ingress) authenticates it, admits it against the
// tenant's allotment, picks an upstream and forwards it to the daemon beside
// that upstream (egress), which queues it and passes it to the upstream.
// Between daemons, HTTP/1.1 streams carry calls and UDP datagrams carry news
// (`mesh::peer_news`).

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "pimentohall/mesh.h"
#include "pimentohall/net.h"
#include "pimentohall/stream.h"

namespace pimentohall::node {

using core::duration;
using core::instant;

struct node_settings {
  std::string name;
  std::string zone;
  std::map<std::string, std::string> zone_regions;  // Region by zone.
  std::string caller_service;  // The VM's service; sent to upstreams.
  net::endpoint callers;       // Where callers connect.
  net::endpoint peers;         // Where other daemons connect; the port is the
                               // same on every VM.
  net::endpoint news;          // UDP; the port is the same on every VM.
  net::endpoint ready;         // Serves the readiness page.
  std::string ready_path;
  net::endpoint admin;     // Serves the pages `/metrics` and `/state`.
  net::endpoint upstream;  // The upstream on this VM.
  net::endpoint source;    // Where configuration and upstreams are read.
  // Time from SIGTERM until the process is killed.
  duration grace = std::chrono::seconds(6);
  mesh::retry_limits retries;
  mesh::cold_bound cold_upstreams;
  // Requests of one caller's connection that are passed on before the first of
  // them is answered.
  std::size_t max_pipelined = 8;
  // Limits of the VM: memory of the process, and its descriptors. They bound
  // what clients may hold open (`ClientLimitsFor`).
  std::size_t memory_mb = 160;
  std::size_t max_descriptors = 4096;
  // Admission control and queue order for lasting overload.
  sched::feature_mode overload_control = sched::feature_mode::kAuto;
  // Choice of upstreams by the predicted cost of calls.
  sched::feature_mode cost_routing = sched::feature_mode::kAuto;
  core::log_level level = core::log_level::kInfo;
};

// What the clients of a listener may hold, as a share of the VM's limits.
enum class listener_kind { kCallers, kPeers, kPages };
stream::client_limits ClientLimitsFor(listener_kind kind,
                                      const node_settings& settings);
// Connections that a daemon may open to other daemons.
std::size_t MaxLinks(const node_settings& settings);
// Of these, connections for calls to one daemon; and further ones that ask it
// for the outcome of attempts. Together they stay below what a daemon with the
// same settings accepts from one address: it closes connections above its
// limit, which loses the calls on them.
int MaxLinksPerPeer(const node_settings& settings);
int MaxQueryLinksPerPeer(const node_settings& settings);

// ---------------------------------------------------------------------------
// The adapter.

// The parts of a caller's request that the daemon interprets.
struct caller_request {
  std::string id;                  // The caller's attempt id; may be empty.
  std::optional<duration> budget;  // How long the caller waits.
  std::string key;                 // The tenant's key; wiped after use.
};

// What the daemon adds to a request to an upstream.
struct upstream_request {
  duration budget{0};    // Time left until the deadline.
  std::string upstream;  // Id of one start of an upstream; any other refuses.
  std::string tenant;    // Empty: none.
  std::string caller_service;
};

// What an upstream's answer reports besides its status.
struct upstream_answer {
  std::string id;               // Id of the request; empty: not reported.
  bool not_run = false;         // The upstream refused it.
  bool wrong_instance = false;  // Another start uses the address; not run.
  sched::upstream_report load;
};

// What an upstream's health check reports.
struct health_answer {
  bool healthy = false;  // The egress ignores it.
  // False: the check was refused like a call, so nothing follows from it.
  bool is_own_word = false;
  std::string upstream;
  duration warmup_left{0};
  sched::upstream_report load;
};

// Translates between the platform's HTTP headers and typed values. Stateless.
class call_dialect {
 public:
  virtual ~call_dialect() = default;
  virtual caller_request ReadRequest(
      const stream::message_head& head) const = 0;
  // Removes headers that an upstream must not see from a forwarded request.
  virtual void StripRequest(net::header_list* headers) const = 0;
  virtual void WriteRequest(const upstream_request& facts,
                            net::header_list* headers) const = 0;
  virtual upstream_answer ReadAnswer(
      const stream::message_head& head) const = 0;
  virtual health_answer ReadHealth(const net::http_answer& answer) const = 0;
  virtual void WriteRetryAfter(duration wait,
                               net::header_list* headers) const = 0;
  // Adds the request's id to an answer that the daemon itself makes.
  virtual void WriteAnswerId(const std::string& id,
                             net::header_list* headers) const = 0;
};

// The parts of the source that are watched separately.
enum class source_area { kSettings, kUpstreams };
inline constexpr source_area kSourceAreas[] = {source_area::kSettings,
                                               source_area::kUpstreams};

struct source_item {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  // Of the item's last change.
  bool removed = false;        // Set in events only.
};

// Part of an area's items, or changes to them.
struct source_page {
  std::vector<source_item> items;
  bool has_more = false;       // Further pages follow.
  std::uint64_t revision = 0;  // The source's revision when it answered.
  std::uint64_t era = 0;       // See `mesh::source_position`.
};

enum class source_problem {
  kUnreachable,  // No answer in time, or the connection broke.
  kRefused,      // The source refused the call.
  kHistoryGone,  // The source has compacted the requested history: read anew.
  kMalformed,    // The answer is malformed.
  kOlderEra,     // The answer is of an earlier era than others.
};

// The consistency that a read requires.
enum class read_consistency {
  kCurrent,
  kAllowStale,  // May be stale by seconds; cheaper for the source.
};

// Makes calls to the source. Handlers run later, never inside the call itself.
class source_reader {
 public:
  using handler =
      std::function<void(tl::expected<source_page, source_problem>)>;
  virtual ~source_reader() = default;
  // Reads a page of the area's items whose keys come after `after`.
  virtual void ReadPage(source_area area, const std::string& after,
                        read_consistency quality, duration timeout,
                        handler done) = 0;
  // Reads the changes after `revision`. The source waits up to `wait` for one.
  virtual void Watch(source_area area, std::uint64_t revision, duration wait,
                     duration timeout, handler done) = 0;
};

// An item that takes a zone out of service.
struct evacuated_zone {
  std::string zone;
};
// An item of a kind that the daemon doesn't use.
struct unknown_item {};
// A malformed item.
struct malformed_item {
  std::string reason;
};
// The decoded value of an item of the source.
using decoded_item = std::variant<mesh::configuration_parts, mesh::upstream,
                                  evacuated_zone, unknown_item, malformed_item>;

// Decodes items of the source.
class source_decoder {
 public:
  virtual ~source_decoder() = default;
  virtual decoded_item Decode(const source_item& item) const = 0;
  // The id of the upstream that an item with this key describes; empty: none.
  virtual std::string UpstreamIdFromKey(const std::string& key) const = 0;
};

// Everything that depends on the platform.
struct adapter {
  std::unique_ptr<call_dialect> dialect;
  std::unique_ptr<source_reader> reader;
  std::unique_ptr<source_decoder> decoder;
};

// ---------------------------------------------------------------------------
// The daemon.

class node {
 public:
  node(net::event_loop& loop, net::timer_service& timers,
       node_settings settings, adapter platform_adapter);
  ~node();

  tl::expected<void, std::string> Start();
  // Begins a planned stop: reports not ready, finishes pending calls and stops
  // the event loop.
  void BeginStop();
  // Applies those settings that may change while the daemon runs.
  void Reload(const node_settings& settings);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_H_
