#ifndef PIMENTOHALL_NODE_H_
#define PIMENTOHALL_NODE_H_

// Library `node`: a daemon beside one upstream VM, for a platform that
// publishes configuration and upstreams as plain values.
//
//   node::node daemon(loop, settings, adapter);
//   if (auto started = daemon.Start(); !started) return
//   Report(started.error()); loop.OnSignal(SIGTERM, [&] { daemon.BeginStop();
//   }); loop.Run();
//
// What the platform's names, formats and calls are is an `adapter`'s matter;
// this library sees typed facts only. The decisions are those of library
// `mesh`.
//
// A call: the caller's daemon (ingress) authenticates it, admits it against the
// tenant's allotment, picks an upstream and forwards it to the daemon beside
// that upstream (egress), which queues it and runs it. Between daemons HTTP/1.1
// streams carry calls, and UDP datagrams carry news (`mesh::peer_news`).

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
  std::map<std::string, std::string> zone_regions;
  std::string caller_service;  // Of the VM; told to upstreams.
  net::endpoint callers;       // Where callers connect.
  net::endpoint peers;         // Where other daemons connect; the port is the
                               // same on every VM.
  net::endpoint news;          // UDP; the port is the same on every VM.
  net::endpoint ready;
  std::string ready_path;
  net::endpoint admin;  // Metrics, state and explanations.
  net::endpoint upstream;
  net::endpoint source;
  // From SIGTERM until the process is killed.
  duration grace = std::chrono::seconds(6);
  mesh::retry_limits retries;
  core::log_level level = core::log_level::kInfo;
};

// ---------------------------------------------------------------------------
// The adapter.

// A caller's request, as far as the daemon needs to understand it.
struct caller_request {
  std::string id;                  // One attempt of the caller; may be empty.
  std::optional<duration> budget;  // How long the caller waits.
  std::string key;                 // The tenant's key; wiped after use.
};

// What a request to an upstream tells it.
struct upstream_request {
  duration budget{0};
  std::string upstream;  // The start that is meant; another refuses.
  std::string tenant;    // Empty: none.
  std::string caller_service;
};

// What an upstream's answer says besides its status.
struct upstream_answer {
  std::string id;               // The request it answers; empty: not told.
  bool not_run = false;         // The upstream refused it.
  bool wrong_instance = false;  // Another start has the address; not run.
  std::optional<int> running;
  std::optional<int> waiting;
  std::optional<int> slots;
};

struct health_answer {
  bool healthy = false;
  std::string upstream;
  duration warmup_left{0};
};

// Translates HTTP heads. Stateless.
class call_dialect {
 public:
  virtual ~call_dialect() = default;
  virtual caller_request ReadRequest(
      const stream::message_head& head) const = 0;
  // Removes what an upstream must not see from a request that is forwarded.
  virtual void StripRequest(net::header_list* headers) const = 0;
  virtual void WriteRequest(const upstream_request& facts,
                            net::header_list* headers) const = 0;
  virtual upstream_answer ReadAnswer(
      const stream::message_head& head) const = 0;
  virtual health_answer ReadHealth(const net::http_answer& answer) const = 0;
  virtual void WriteRetryAfter(duration wait,
                               net::header_list* headers) const = 0;
  // Echoes the id of the request in an answer of the daemon's own.
  virtual void WriteAnswerId(const std::string& id,
                             net::header_list* headers) const = 0;
};

// The areas of the source that are watched.
enum class source_area { kSettings, kUpstreams };
inline constexpr source_area kSourceAreas[] = {source_area::kSettings,
                                               source_area::kUpstreams};

struct source_item {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;  // In events only.
};

struct source_page {
  std::vector<source_item> items;
  bool more = false;
  std::uint64_t revision = 0;  // Of the source, when it answered.
};

enum class source_problem {
  kUnreachable,  // No answer in time, or the connection broke.
  kRefused,      // The source turned the call away.
  kHistoryGone,  // The history asked for is no longer held: read anew.
  kUnreadable,   // The answer isn't in the source's format.
};

// How current a read must be.
enum class read_quality {
  kCurrent,
  kMayLag,  // May be seconds old, and costs the source less.
};

// Calls to the source. Handlers are never called from inside the call.
class source_reader {
 public:
  using handler =
      std::function<void(tl::expected<source_page, source_problem>)>;
  virtual ~source_reader() = default;
  // A page of the area's items, after the key `after`.
  virtual void ReadPage(source_area area, const std::string& after,
                        read_quality quality, duration timeout,
                        handler done) = 0;
  // Changes after `revision`; waits up to `wait` for one.
  virtual void Watch(source_area area, std::uint64_t revision, duration wait,
                     duration timeout, handler done) = 0;
};

// What an item of the source means.
struct zone_out {
  std::string zone;
};
struct unknown_item {};
struct unreadable_item {
  std::string reason;
};
using item_meaning = std::variant<mesh::configuration_parts, mesh::upstream,
                                  zone_out, unknown_item, unreadable_item>;

class source_decoder {
 public:
  virtual ~source_decoder() = default;
  virtual item_meaning Decode(const source_item& item) const = 0;
  // The upstream that an item of this key would name; empty: none.
  virtual std::string UpstreamOfKey(const std::string& key) const = 0;
};

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
  // A planned stop: leaves readiness, finishes what it holds, stops the loop.
  void BeginStop();
  // Takes over settings that may change while the daemon runs.
  void Reload(const node_settings& settings);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_H_
