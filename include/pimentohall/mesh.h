#ifndef PIMENTOHALL_MESH_H_
#define PIMENTOHALL_MESH_H_

// Library `mesh`: the decisions of a daemon that proxies calls in a fleet whose
// configuration and upstream list are published as plain values.
//
// Nothing here reads a clock, a socket, a file or global random state: times
// and random numbers are passed in. Each class makes one decision:
//
//   configuration   which route, service and tenant a call belongs to
//   route_splitter  which service of a weighted route takes the next call
//   directory       which upstreams exist, as last published
//   peer_table      which daemons are alive, and what they last reported
//   NewsPeriods     how often daemons report to one another
//   allotment_table whether a tenant's fleet-wide rate allows a call
//   retry_budget    whether the service's budget allows a retry
//   repeat_ascriber which calls of an upstream belong to repeated runs
//   target_picker   which upstream takes the next attempt
//   work_queue      which call waiting for an upstream starts next
//   warmup_gate     whether a cold upstream may get another call
//   attempt_register which attempts started, and which never will
//   patch_history   which patches bring a peer's older value up to date
//
// Durations and instants are `core::duration` (microseconds) and
// `core::instant` unless the name carries a unit. Functions without an error
// type can't fail, except that `Pack` returns an empty string when it lacks
// memory.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pimentohall/core.h"
#include "pimentohall/sched.h"

namespace pimentohall::mesh {

using core::duration;
using core::instant;

// ---------------------------------------------------------------------------
// Configuration.

// A service that takes a share of a route's calls.
struct route_part {
  std::string service;
  double weight = 1;  // Relative to the other parts of the route.
  friend bool operator==(const route_part& a, const route_part& b);
};

struct route {
  std::string name;
  std::string host;         // Lower case, without port.
  std::string path_prefix;  // Begins and ends with a slash.
  std::vector<route_part> parts;
  bool idempotent = false;
  duration timeout{0};   // Longest time until the answer; 0: no limit.
  duration aim{0};       // The answer has its full value within this time.
  int max_attempts = 1;  // Upstreams that one call may be sent to.
  int priority = 0;      // 0 is served first.
  bool open = false;     // Callers need no key.
  std::vector<std::string> regions;  // Allowed regions; empty: all.
  friend bool operator==(const route& a, const route& b);
};

struct service {
  std::string name;
  std::string health_path;
  int max_connections = 100;
  duration warmup{0};  // An upstream is cold for this long after its start.
  double warmup_per_s = 0;  // Calls per second to a cold upstream.
  friend bool operator==(const service& a, const service& b);
};

struct tenant {
  std::string name;
  std::vector<std::string> key_digests;  // SHA-256, lower-case hexadecimal.
  std::optional<int> priority;           // Takes precedence over the route's.
  double rate_per_s = 0;                 // Over the whole fleet; 0: no limit.
  double burst = 0;                      // Calls.
  std::vector<std::string> regions;      // Allowed regions; empty: all.
  friend bool operator==(const tenant& a, const tenant& b);
};

// Limits on the requests and connections of callers.
struct caller_limits {
  std::uint64_t header_bytes = 64 * 1024;
  std::uint64_t body_bytes = 64 * 1024 * 1024;
  duration header_timeout = std::chrono::seconds(10);
  duration idle_timeout = std::chrono::seconds(60);
  friend bool operator==(const caller_limits& a, const caller_limits& b);
};

struct configuration_parts {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  std::vector<tenant> tenants;
  caller_limits limits;
  friend bool operator==(const configuration_parts& a,
                         const configuration_parts& b);
};

// An immutable, validated configuration. Pointers returned by lookups stay
// valid as long as the configuration.
class configuration {
 public:
  // Reports every fault it finds, such as duplicate service names, parts with
  // an unknown service, weights below zero or all 0, malformed prefixes, and
  // keys shared by two tenants. Names of routes aren't checked.
  static tl::expected<std::shared_ptr<const configuration>, config::faults>
  Build(configuration_parts parts);

  std::uint64_t Version() const { return parts_.version; }
  const configuration_parts& Parts() const { return parts_; }
  // The route of `host` with the longest prefix of `path`; null if none
  // matches.
  const route* FindRoute(std::string_view host, std::string_view path) const;
  const service* FindService(std::string_view name) const;
  const tenant* FindTenant(std::string_view name) const;
  const tenant* FindTenantByKeyDigest(std::string_view digest) const;
  bool HasTenants() const { return !parts_.tenants.empty(); }
  // Callers have tenants with limited rates, which bound the demand.
  bool LimitsDemand() const;

 private:
  configuration_parts parts_;
  // Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
  std::unordered_map<std::string, const service*> services_;
  std::unordered_map<std::string, const tenant*> tenants_;
  std::unordered_map<std::string, const tenant*> by_key_;
};

// Splits the calls of weighted routes by smooth weighted round-robin, so that
// even short runs of calls stay close to the weights.
class route_splitter {
 public:
  explicit route_splitter(std::uint64_t seed) : seed_(seed) {}
  // The service that takes the next call of the route.
  const std::string& Pick(const route& split);

 private:
  struct state {
    std::vector<route_part> parts;
    std::vector<double> credit;  // By part; the largest one is picked next.
  };
  std::uint64_t seed_;
  std::unordered_map<std::string, state> states_;
};

// ---------------------------------------------------------------------------
// Upstreams, as published.

struct upstream {
  std::string id;  // Identifies one start of one upstream.
  std::string service;
  std::string address;  // The VM's IP number.
  int port = 0;
  std::string zone;
  int slots = 1;
  bool draining = false;
  duration warmup_left{0};    // As of the time the entry was read.
  std::uint64_t born_ms = 0;  // Unix time of the start; 0: unknown.
  std::uint64_t reports = 0;  // The upstream's own count since its start.
  std::uint64_t revision = 0;
  friend bool operator==(const upstream& a, const upstream& b);
};

// The published upstreams. An entry that disappears around an outage of the
// source may merely have expired there, so it is kept for a grace period.
class directory {
 public:
  struct entry {
    upstream what;
    instant read_at{};
    // End of the grace period of an entry that was removed.
    std::optional<instant> missing_until;
  };

  void Put(const upstream& listed, instant now);
  // Called when the entry was removed at the source. Keeps it for `grace`
  // unless it is draining.
  void Remove(const std::string& id, duration grace, instant now);
  // The same entry has another revision now.
  void SetRevision(const std::string& id, std::uint64_t revision);
  // Deletes the entry at once: it no longer describes an upstream.
  void Drop(const std::string& id);
  // Deletes missing entries whose grace period has ended; true if any did.
  bool Expire(instant now);
  void SetZonesOut(std::set<std::string> zones) {
    zones_out_ = std::move(zones);
  }
  const std::set<std::string>& ZonesOut() const { return zones_out_; }

  const std::map<std::string, entry>& Entries() const { return entries_; }
  // Entries of this service that may get calls: not draining, in a zone that
  // isn't taken out, and without a newer start at the same address.
  std::vector<const entry*> Usable(std::string_view service) const;
  // The newest start at this address, or null.
  const entry* FindByAddress(std::string_view address, int port) const;
  // Addresses of all VMs that have an entry, sorted.
  std::vector<std::string> Addresses() const;

 private:
  std::map<std::string, entry> entries_;
  std::set<std::string> zones_out_;
};

// ---------------------------------------------------------------------------
// The source's history.

// A place in the source's history. A source that comes back from an older copy
// loses its newest changes and gives their revisions out again, for others;
// each time its era rises by one. Positions are ordered by era, then by
// revision.
struct source_position {
  std::uint64_t era = 0;  // 0: unknown, or a source that has no eras.
  std::uint64_t revision = 0;
  friend bool operator==(const source_position& a, const source_position& b);
  friend bool operator<(const source_position& a, const source_position& b);
  friend bool operator>(const source_position& a, const source_position& b) {
    return b < a;
  }
  friend bool operator<=(const source_position& a, const source_position& b) {
    return !(b < a);
  }
};
// As text: "revision" without an era, otherwise "era.revision".
std::string ToText(const source_position& position);
// Larger ones are invalid: news have 20 bits for the era.
inline constexpr std::uint64_t kMaxSourceEra = (std::uint64_t{1} << 20U) - 1;

// ---------------------------------------------------------------------------
// News between daemons.

inline constexpr int kNoRankLimit = sched::rank_limiter::kNone;

// Load of an upstream as measured by the daemon on its VM.
struct load_news {
  std::string upstream;
  int running = 0;
  int queued = 0;
  // 0: takes no calls. `target_picker` doesn't exclude such an upstream; it
  // uses the directory's slots.
  int slots = 0;
  // Expected time of the queued and running work, divided by the slots. News
  // round it to whole milliseconds.
  double backlog_ms = 0;
  // Duration of calls relative to what is expected for their routes; 1: as
  // expected. News round it to steps of 0.01.
  double slowness = 1;
  // Duration of work on the upstream's machine at the moment, relative to what
  // is usual there; 1: as usual, or unknown. News round it to steps of 0.01.
  double pace = 1;
  // Calls with a higher rank aren't taken at present.
  int rank_limit = kNoRankLimit;
  friend bool operator==(const load_news& a, const load_news& b);
};

// Calls of one tenant at one daemon.
struct tenant_count {
  std::uint32_t tenant = 0;    // `TenantHash` of the name.
  std::uint64_t admitted = 0;  // Since the start of the daemon.
  int demand_per_s = 0;        // Calls received, including refused ones.
  friend bool operator==(const tenant_count& a, const tenant_count& b);
};

// The status that a daemon sends to all others: several times a second to those
// in its zone, usually less often to the rest and in large fleets. A datagram
// makes up for a lost one before it: it repeats the state, and the newest
// counts of the previous datagram.
struct peer_news {
  // Address of the VM, which identifies the daemon. Not in the datagram: the
  // receiver takes it from the sender's address.
  std::string address;
  std::uint32_t boot = 0;  // Random for each start of the daemon.
  std::uint64_t sequence = 0;
  std::uint64_t uptime_ms = 0;
  // Approximate time until the next news to this receiver.
  duration period = std::chrono::milliseconds(300);
  bool stopping = false;
  // Of the last news that the sender got from the receiver.
  std::uint64_t heard_sequence = 0;
  std::uint32_t heard_boot = 0;
  // Positions of the newest known change in each area of the source. Of two
  // eras only the newer one is sent; the other area's position is then zero.
  source_position settings_position;
  source_position upstreams_position;
  bool reads_source = false;  // The source answers this daemon's own reads.
  std::optional<load_news> load;
  std::vector<tenant_count> admitted;
  // News with more are rejected.
  static constexpr std::size_t kMaxCrashes = 64;
  std::vector<core::crash_report> crashes;
  friend bool operator==(const peer_news& a, const peer_news& b);
};

std::string EncodeNews(const peer_news& news);
// Rejects bytes that `EncodeNews` can't have produced. `address` is the
// sender's.
tl::expected<peer_news, std::string> DecodeNews(std::string_view bytes,
                                                const std::string& address);

// What a daemon holds of crashes, for one that asks.
struct crash_history {
  // Whether the sender has seen or been told of all of them.
  bool is_complete = false;
  std::vector<core::crash_report> reports;
};
std::string EncodeCrashHistory(const crash_history& history);
// Rejects bytes that `EncodeCrashHistory` can't have produced.
tl::expected<crash_history, std::string> DecodeCrashHistory(
    std::string_view bytes);

// How often a daemon sends news to the daemons of its own availability zone
// (near) and of other ones (far).
struct news_periods {
  duration near{0};
  duration far{0};
  friend bool operator==(const news_periods& a, const news_periods& b);
};

// `needs_counts`: some tenant has a rate limit, so daemons need one another's
// counts of calls. Traffic between zones is expensive; without counts, far news
// are sent less often.
news_periods NewsPeriods(std::size_t fleet_size, bool needs_counts);

// When a daemon's next news to other zones are due. Receivers wait for news in
// proportion to the period that the last ones announced, so a longer period is
// announced at the end of a shorter one.
class far_news_schedule {
 public:
  // Far news that are nearly due are sent together with near ones.
  bool IsDue(const news_periods& periods, instant now) const;
  // News were sent that announced this period.
  void OnSent(duration far_period, instant now);
  instant SentAt() const { return sent_at_; }

 private:
  instant sent_at_{};
  duration announced_{0};
};

// Tracks which daemons are alive, by the news that they send.
class peer_table {
 public:
  // A daemon that sends news often is unreachable after this long without any:
  // three losses in a row at the shortest period.
  static constexpr duration kSilenceTimeout = std::chrono::milliseconds(1000);
  // The same in periods of the sender, for daemons that send less often: one
  // datagram may be lost.
  static constexpr double kSilenceTimeoutPeriods = 2.4;

  struct peer {
    std::string address;
    std::uint32_t boot = 0;
    std::uint64_t sequence = 0;
    instant heard_at{};
    // Last time its news confirmed that it receives ours.
    instant echoed_at{};
    // It counts as heard until this long after its last news.
    duration silence = kSilenceTimeout;
    bool stopping = false;
    bool reads_source = false;
    source_position settings_position;
    source_position upstreams_position;
    std::uint64_t uptime_ms = 0;
  };
  // Effect of news: kStale is older than what is known, kReturned ends a
  // silence.
  enum class change { kStale, kUpdate, kNewBoot, kFirst, kReturned };

  peer_table(std::string own_address, std::uint32_t own_boot)
      : own_address_(std::move(own_address)), own_boot_(own_boot) {}

  // Records the news, unless they are stale.
  change OnNews(const peer_news& news, instant now);
  // News arrive in both directions.
  bool IsReachable(std::string_view address, instant now) const;
  // Its news arrive, whether or not ours reach it.
  bool IsHeard(std::string_view address, instant now) const;
  const peer* Find(std::string_view address) const;
  std::size_t CountHeard(instant now) const;
  // True if this daemon is among the `count` selected from itself and the
  // daemons that it hears. Daemons that hear the same ones compute the same
  // selection on their own, from a hash of the addresses.
  bool IsSelected(std::size_t count, instant now) const;
  // The same for the selection from `addresses`, heard or not.
  bool IsSelected(std::size_t count,
                  const std::vector<std::string>& addresses) const;
  // Number of heard daemons that read the source and rank before this one in
  // the order of `IsSelected`.
  std::size_t CountReadersBefore(instant now) const;
  const std::map<std::string, peer, std::less<>>& Peers() const {
    return peers_;
  }
  // Forgets daemons that have been silent for long.
  void Forget(instant now);

 private:
  // Number of heard daemons that rank before this one and that `counts`
  // accepts.
  std::size_t CountBefore(bool (*counts)(const peer&), instant now) const;

  std::string own_address_;
  std::uint32_t own_boot_;
  std::map<std::string, peer, std::less<>> peers_;
};

// ---------------------------------------------------------------------------
// Allotments.

std::uint32_t TenantHash(std::string_view name);

// Enforces one rate per tenant over the whole fleet without shared state. Every
// daemon keeps a bucket for the whole fleet: it refills at the tenant's rate,
// and calls admitted by this daemon or reported as admitted by others take
// tokens from it. Calls that others admit before they report them may bring the
// level below zero; that debt is refilled before another call is admitted.
//
// While demand exceeds the rate, each daemon is also paced: it admits at most
// its share of the rate, in proportion to its share of the demand. Otherwise
// all daemons would admit at once whenever the bucket has refilled, and then
// none for a long time.
//
// Daemons that aren't heard may still admit calls. While some aren't, the
// bucket refills at this side's share of the rate, so that the sides of a
// partition together stay near the rate.
class allotment_table {
 public:
  // The sides of a partition together may admit up to this multiple of the
  // rate; the published limit is a quarter over the rate.
  static constexpr double kPartitionExcess = 1.1;
  // Share of the burst that a daemon assumes to be left when it starts.
  static constexpr double kStartLevel = 0.25;
  // Daemons are paced while demand is above this multiple of the rate.
  static constexpr double kPacingThreshold = 1.05;
  // With at least this share of the burst left, calls aren't paced.
  static constexpr double kUnpacedBurstShare = 0.5;
  // Burst of a paced daemon, in seconds of its share of the rate.
  static constexpr double kPacedBurstS = 0.25;
  // Debt is limited to this many seconds of the rate.
  static constexpr double kMaxDebtS = 2.0;

  explicit allotment_table(instant start) : start_(start) {}

  void SetConfiguration(const std::shared_ptr<const configuration>& config,
                        instant now);
  // Admits a call of the tenant, or returns the time after which to retry.
  tl::expected<void, duration> Admit(const tenant& caller, instant now);
  // Returns the token of an admitted call that didn't reach an upstream.
  void ReturnToken(const tenant& caller, instant now);
  // `fleet` daemons exist and `heard` of them are heard; both include this
  // one.
  void SetFleet(std::size_t fleet, std::size_t heard, instant now);
  // `is_first`: the first news from this peer.
  void OnNews(const peer_news& news, bool is_first, instant now);
  // This daemon's counts of the tenants that called at `since` or later.
  std::vector<tenant_count> News(instant now, instant since) const;
  // Tokens in the tenant's bucket.
  double Level(const std::string& tenant, instant now);

 private:
  // Demand that was reported longer ago is ignored.
  static constexpr duration kDemandMemory = std::chrono::milliseconds(1500);

  struct bucket {
    double rate_per_s = 0;
    double burst = 0;
    double level = 0;
    instant refilled_at{};
    std::uint64_t admitted = 0;
    instant called_at{};
    double demand_per_s = 0;  // This daemon's decaying mean at `called_at`.
    double paced_tokens = 0;  // Tokens left to this daemon while it is paced.
    // This daemon's share of the fleet's demand, as of `demand_share_at`.
    double demand_share = 1;
    bool is_paced = false;
    instant demand_share_at{};
  };
  struct reported_count {
    std::uint64_t admitted = 0;
    int demand_per_s = 0;
    instant reported_at{};
  };
  struct peer_counts {
    std::uint32_t boot = 0;
    std::unordered_map<std::uint32_t, reported_count> counts;
    // The first count of each tenant covers calls from before this daemon's
    // start, so it takes no tokens.
    bool skips_first_counts = false;
  };
  void Refill(bucket* tokens, instant now) const;
  static double DemandOf(const bucket& tokens, instant now);
  static void RecordDemand(bucket* tokens, instant now);
  // Recomputes whether the tenant is paced, and this daemon's share of demand.
  void UpdatePacing(std::uint32_t tenant, bucket* tokens, instant now) const;

  instant start_;
  double partition_share_ = 1;  // Of the rate, for this side of a partition.
  std::unordered_map<std::uint32_t, bucket> buckets_;
  std::unordered_map<std::string, peer_counts> peers_;
};

// ---------------------------------------------------------------------------
// Retries.

struct retry_limits {
  double ratio = 0;  // Retries per call.
  double slack = 0;  // Further retries per window, over the whole fleet.
  duration window{0};
};

// Estimates which of the calls that an upstream makes belong to a repeated run.
// The calls don't tell, so each repeat is assumed to make as many as a run that
// makes any, and the calls are ascribed to running repeats first.
class repeat_ascriber {
 public:
  // Calls per run that is assumed for a repeat, as a multiple of the mean: runs
  // that are repeated are mostly those whose own calls failed.
  static constexpr double kRepeatFactor = 2;

  void OnRunStarted(std::uint64_t run, bool is_repeat);
  void OnRunEnded(std::uint64_t run);
  // The upstream made a call. True if it counts as a repeat's.
  bool OnNestedCall();

 private:
  double runs_ = 0;          // Decaying counts of runs,
  double nested_calls_ = 0;  // and of the calls that they made.
  // Calls already ascribed, by running repeat.
  std::map<std::uint64_t, int> ascribed_;
};

// The fleet's retry budget of each service, kept without coordination: the
// ratio applies to this daemon's own calls, which add up over the fleet, and
// the slack is divided evenly between the daemons.
class retry_budget {
 public:
  // Share of the budget up to which calls of callers are retried. Each repeat
  // makes calls to other services, mostly two. These count as retries there and
  // can't be refused.
  static constexpr double kUsedShare = 0.35;
  // The same for calls of upstreams. Their retry is cheaper than a repeat of
  // the whole call that made them.
  static constexpr double kNestedUsedShare = 0.8;

  // The same for the fixed part of the budget in the first window after the
  // daemon's start, as the one that it replaces may have spent its own.
  static constexpr double kNewNestedSlackShare = 0.25;

  explicit retry_budget(retry_limits limits,
                        instant started_at = instant::min())
      : limits_(limits), started_at_(started_at) {}
  void SetFleet(std::size_t daemons) {
    daemons_ = std::max<std::size_t>(1, daemons);
  }
  void OnCall(const std::string& service, instant now);
  // A call made by a repeated run of this VM's upstream: it counts as a retry.
  void OnRepeatsCall(const std::string& service, instant now);
  // Spends one retry if the budget allows it. `nested`: of an upstream's call.
  bool TakeRetry(const std::string& service, bool nested, instant now);

 private:
  struct window_counts {
    std::deque<instant> calls;
    std::deque<instant> retries;
  };
  void Expire(window_counts* counts, instant now) const;

  retry_limits limits_;
  instant started_at_;
  std::size_t daemons_ = 1;
  std::unordered_map<std::string, window_counts> services_;
};

// ---------------------------------------------------------------------------
// Choice of the upstream.

// What the choice of an upstream needs to know about a call.
struct call_profile {
  duration typical{0};  // Usual duration at an upstream of usual speed.
  double bytes = 0;     // Of the request and its answer, as far as known.
  // Expected duration of this call at an upstream of usual speed. If known, the
  // wait is derived from the work ahead, otherwise from the number of calls.
  std::optional<duration> cost = {};
};

// Ranks upstreams by their expected time to answer: from the load that the
// daemon on each one's VM last reported, the calls sent there since, the
// upstream's speed, the time that calls spent on the way there, and its recent
// failures. A call to another zone costs more the more bytes it carries.
//
// A reported pace counts for some hundred milliseconds, so that an upstream
// whose machine is busy is avoided from its first answer on, and is soon tried
// again. With cost routing (`SetCostRouting`):
//   - Reports that aren't renewed lose their weight: what they say about the
//     load first, what they say about the speed later.
//   - An upstream of another zone gets a bounded number of calls of this daemon
//     between two of its reports, as the other daemons see it free as well. The
//     bound doesn't apply if no other candidate is left.
//   - While no upstream of another zone is used, one needs a larger advantage
//     than while one is, so that calls don't change zones with every report.
class target_picker {
 public:
  explicit target_picker(std::uint64_t seed) : random_(seed | 1) {}

  void SetCostRouting(bool on) { cost_routing_ = on; }
  // Upstreams whose last report says that they take no calls are used only if
  // no other candidate is left.
  void SetAvoidsClosed(bool on) { avoids_closed_ = on; }

  struct candidate {
    std::string id;
    int slots = 1;
    bool is_near = false;  // In this daemon's zone.
    bool is_cold = false;
  };

  void OnNews(const load_news& news, instant now);
  // `cost`: expected duration at an upstream of usual speed; 0: unknown.
  void OnSent(const std::string& id, duration cost);
  // `failed`: the call failed through a fault of the upstream.
  void OnDone(const std::string& id, bool failed, instant now);
  // The daemon on the upstream's VM refused a call: sends none for `backoff`.
  void OnRefused(const std::string& id, duration backoff, instant now);
  // A call and its answer spent this time on the way, not in a queue nor at the
  // upstream. A slow or full link shows in it.
  void OnTransit(const std::string& id, duration transit, instant now);

  // Index of a candidate with a low score that isn't in `tried`; none if all
  // are tried or in backoff.
  std::optional<std::size_t> Pick(const std::vector<candidate>& candidates,
                                  const std::vector<std::string>& tried,
                                  const call_profile& call, instant now);
  // Expected time until one of the candidates starts a call, at the least; none
  // without candidates. Candidates that haven't reported count as idle.
  std::optional<duration> LeastWait(const std::vector<candidate>& candidates,
                                    duration typical, instant now) const;
  // Expected time until the answer, in milliseconds, plus penalties for recent
  // failures and for another zone. `Pick` prefers low scores.
  double ScoreMs(const candidate& target, const call_profile& call,
                 instant now) const;

 private:
  struct state {
    load_news last;
    instant reported_at{};
    int sent_since = 0;        // Calls sent since the last news,
    double sent_work_ms = 0;   // and their cost.
    double failure_share = 0;  // Decaying mean at `failed_at`.
    instant failed_at{};       // End of the last call, failed or not.
    instant backoff_until{};
    double transit_ms = 0;  // Decaying mean at `transit_at`.
    instant transit_at{};
    // Last time that `Pick` chose it although it is in another zone.
    std::optional<instant> far_pick_at;
  };
  // The last report, as far as it still counts.
  load_news WeightedNews(const state& target, instant now) const;
  // Cost of a call to another zone, as a share of the call's usual duration.
  double FarShare(const std::vector<candidate>& candidates, instant now) const;
  double ScoreMs(const candidate& target, const call_profile& call,
                 double far_share, instant now) const;
  // This daemon has sent it as many calls since its last report as it may.
  bool IsAtFarBound(const candidate& target) const;
  double FailureShare(const state& target, instant now) const;
  double TransitMs(const state& target, instant now) const;
  static double WaitMs(const load_news& news, const state& target,
                       const call_profile& call, double slots, double call_ms);
  std::uint64_t Random();

  std::uint64_t random_;
  bool cost_routing_ = false;
  bool avoids_closed_ = false;
  std::unordered_map<std::string, state> states_;
};

// Mean duration of calls by key (a route). Without new measurements a mean
// decays towards the caller's fallback: a mean that is too high would keep
// calls away and so would never be corrected.
class time_estimator {
 public:
  static constexpr double kHalfLifeS = 2.0;

  void Observe(const std::string& key, duration took, instant now);
  // The mean, weighted towards `fallback` by the age of the last measurement.
  duration Expect(const std::string& key, duration fallback, instant now) const;

 private:
  struct mean {
    double ms = 0;
    int count = 0;  // Calls, up to a limit.
    instant observed_at{};
  };
  std::unordered_map<std::string, mean> means_;
};

// Mean bytes of a call's request and answer by key (a route).
class size_estimator {
 public:
  void Observe(const std::string& key, double bytes);
  // 0: never observed.
  double Expect(const std::string& key) const;

 private:
  std::unordered_map<std::string, double> means_;
};

// ---------------------------------------------------------------------------
// The queue before an upstream.

struct work_item {
  std::uint64_t id = 0;
  // 0 goes first. By the tenant's priority, then by the route's: tenant * 100 +
  // route, each limited to 0..99.
  int rank = 0;
  bool nested = false;  // Made by a running call, which holds a slot meanwhile.
  instant aim_at{};     // The answer has its full value until then.
  instant deadline{};   // The answer has no value after that.
  duration expected{0};  // Time that the call takes once started.
  duration high{0};      // 80th percentile of that time; 0: not known.
  // Calls of one group (a tenant's calls on a route) are served alike.
  std::uint64_t group = 0;
  // Its large body was sent here after `work_queue::Check` had accepted it. If
  // it were refused now, the body would go over a link again.
  bool carried = false;
};

// Which of the calls in a queue go first, and which are admitted.
enum class queue_order {
  // The order without overload control; see `work_queue`.
  kEarliestAim,
  // As `kTwoClasses`, but the newest call first while calls in time take nearly
  // all slots.
  kNewestFirst,
  // The largest set of calls that can all end in time, by earliest aim. Where
  // not all can, the highest rank leaves the set first, then the longest call.
  kLargestSet,
  // Calls in time by rank, then by earliest aim; late ones only where a slot is
  // free.
  kTwoClasses,
};

// Why a call isn't queued, and when to retry it.
struct work_refusal {
  core::reason why = core::reason::kQueueFull;
  duration retry_after{0};
};

// Orders the calls that wait for one upstream. Calls that can still be answered
// in time (within their aim; nested ones, within their deadline) go first:
// nested ones, then by rank, then by earliest aim (nested ones: deadline). Late
// calls start only when no other waits. Every `kOldestFirstInterval`-th start
// goes to the call that has waited longest, so that no rank starves.
//
// This is `queue_order::kEarliestAim`. The other orders are for overload. With
// them a call counts as in time if the high estimate of its time fits its aim;
// a late one is refused unless a slot is free or its body was carried; and a
// group that is served much less often than the mean goes first, in place of
// the call that has waited longest (see `sched::service_floor`).
class work_queue {
 public:
  static constexpr int kOldestFirstInterval = 20;
  // Calls beyond this are refused at once.
  static constexpr std::size_t kMaxWaiting = 512;

  // Takes effect from the next call on; queued calls stay.
  void SetOrder(queue_order order) { order_ = order; }
  // The highest rank that is taken at present (`sched::rank_limiter`);
  // `kNoRankLimit` with `kEarliestAim`. To be called several times a second.
  int UpdateRankLimit(int slots, duration running, instant now);
  int RankLimit() const {
    return order_ == queue_order::kEarliestAim ? kNoRankLimit : ranks_.Limit();
  }
  // Whether `Push` would refuse the call now; nothing is queued.
  tl::expected<void, work_refusal> Check(const work_item& item, int slots,
                                         duration running, instant now) const;
  // Refuses a call that can't end in time behind the queued and running ones.
  // `running` is the expected remaining time of all running calls together; 0:
  // a slot is free.
  tl::expected<void, work_refusal> Push(const work_item& item, int slots,
                                        duration running, instant now);
  // Removes and returns the call to start now; none if the queue is empty.
  // `running`: expected remaining time of the running calls.
  std::optional<work_item> Pop(instant now, duration running = duration{0});
  // The same among the nested calls.
  std::optional<work_item> PopNested(instant now);
  bool HasNested() const;
  bool Remove(std::uint64_t id);
  // Removes and returns calls that can no longer end before their deadline.
  std::vector<work_item> Expire(instant now);
  // Removes and returns calls that won't start in time because others overtook
  // them, while there is still time to try another upstream. `running` as for
  // `Push`.
  std::vector<work_item> DropOvertaken(int slots, duration running,
                                       instant now);
  // Calls must end by `end`: deadlines of queued calls after it become `end`.
  // Doesn't affect calls that are pushed later.
  void CapDeadlines(instant end);
  // Removes and returns all calls.
  std::vector<work_item> Clear();
  std::size_t Size() const { return items_.size(); }
  // Expected time of all queued calls together.
  duration Work() const;
  // The earliest time at which a queued call expires.
  std::optional<instant> NextExpiry() const;

 private:
  enum class admission { kInTime, kLate };
  // A waiting call at its place in the order of starts.
  struct place {
    const work_item* item;
    bool owed;  // By the floor of its group.
    bool late;
  };
  tl::expected<admission, work_refusal> Judge(const work_item& item, int slots,
                                              duration running,
                                              instant now) const;
  // The queued calls, and `added` unless null, in the order of their starts.
  std::vector<place> Plan(const work_item* added, int slots, duration running,
                          instant now) const;
  void DisplaceLate(std::vector<place>* plan, int slots, duration running,
                    instant now) const;
  duration WorkBefore(const work_item& item, int slots, duration running,
                      instant now) const;
  const work_item* First(duration running, instant now) const;
  double OnTimeShare(int slots, instant now) const;
  bool IsBehind(int slots, instant now) const;
  double LateShare(int slots, instant now) const;
  void RecordOnTime(const work_item& item, instant now);

  queue_order order_ = queue_order::kEarliestAim;
  std::vector<work_item> items_;  // In order of arrival.
  int starts_ = 0;
  int slots_ = 1;  // As of the last `Push`.
  sched::service_floor floor_;
  sched::rank_limiter ranks_;
  // Expected time of the calls queued as in time, in seconds of slot time;
  // decays from `on_time_at_`.
  double on_time_work_s_ = 0;
  instant on_time_at_{};
};

// ---------------------------------------------------------------------------
// Cold upstreams.

// The most calls that a cold upstream may get in a second: `factor` times its
// rate, and `calls` more.
struct cold_bound {
  double factor = 1.5;
  double calls = 5;
};

// Limits the rate of calls to an upstream that is cold, or may be.
//
// An upstream may become cold again at any moment, and the calls that it
// answers don't show it. So one that counts as warm gets only so many calls
// without proof of it that, if it became cold before them, they and those that
// a cold one gets next stay within the bound on calls in a second. Its answer
// that it is warm proves this for the calls before it was asked.
class warmup_gate {
 public:
  // Calls that may start at once; below the burst that the platform's bound on
  // calls to a cold upstream allows.
  static constexpr double kBurst = 3;

  explicit warmup_gate(cold_bound bound = {}) : bound_(bound) {}
  // `rate_per_s`: calls that a cold upstream bears; 0: any. `can_ask`: whether
  // it can be asked if it is warm.
  void SetRate(double rate_per_s, bool can_ask, instant now);
  // Forgets what was known of another upstream.
  void Reset(instant now);
  // Known to be cold until then, at least.
  void SetCold(instant until, instant now);
  bool IsCold(instant now) const { return now < cold_until_; }
  instant ColdUntil() const { return cold_until_; }
  // Takes a token for one call if there is one.
  bool Take(instant now);
  // The earliest time at which the next call may start without proof.
  instant NextAt(instant now) const;

  // Whether the upstream should be asked if it is warm.
  bool ShouldAsk(instant now) const;
  // To be kept while the upstream is asked.
  std::uint64_t Taken() const { return taken_; }
  // It said that it was warm when it was asked; `taken`: as of then.
  void OnWarm(std::uint64_t taken);

 private:
  // Most calls in a second, cold or not, without proof.
  double Limit() const;
  // The calls of the busiest second that begins with an unproven call, if the
  // upstream were known to be cold from now on.
  double Unproven(instant now) const;
  // The upstream is asked this many calls before the limit, so that its answer
  // comes in time.
  double AskMargin() const;
  void Refill(instant now);
  double LevelAt(instant now) const;

  cold_bound bound_;
  instant cold_until_{};
  double rate_per_s_ = 0;
  bool can_ask_ = false;
  double level_ = 0;  // Of a cold upstream.
  instant refilled_at_{};
  std::uint64_t taken_ = 0;
  double taken_while_asking_ = 0;  // Usually, at most.
  std::deque<instant> unproven_;   // Calls of the last second; oldest first.
};

// ---------------------------------------------------------------------------
// Attempts whose link broke.

// An egress's record of attempts, for an ingress that asks whether one ran. A
// barred attempt will never start, and a started one can't be barred. The first
// outcome recorded for an attempt is final.
class attempt_register {
 public:
  // Meant to be longer than a call's budget, within which an ingress asks.
  static constexpr duration kMemory = std::chrono::seconds(60);
  // Bounds the memory; the oldest attempts are forgotten first.
  static constexpr std::size_t kMaxAttempts = 20'000;

  void NoteStarted(const std::string& attempt, instant now);
  void Bar(const std::string& attempt, instant now);
  bool HasStarted(const std::string& attempt) const;
  bool IsBarred(const std::string& attempt) const;
  // Forgets attempts over the age and count limits; call it often.
  void Expire(instant now);

 private:
  enum class outcome { kStarted, kBarred };
  void Record(const std::string& id, outcome result, instant now);

  std::unordered_map<std::string, outcome> outcomes_;
  std::deque<std::pair<instant, std::string>> order_;
};

// ---------------------------------------------------------------------------
// Large values between peers.

// Compresses a value for a peer that holds `base`; with an empty base, for any
// peer.
std::string Pack(std::string_view value, std::string_view base);
// Restores the value. Fails if the bytes are truncated or changed, if `base`
// isn't the one that they were packed with, or if the value has more than
// `max_bytes`.
tl::expected<std::string, std::string> Unpack(std::string_view packed,
                                              std::string_view base,
                                              std::size_t max_bytes);

// The change of a value from one revision to a later one.
struct value_patch {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::string packed;  // `Pack` with the value at `from` as the base.
};

// The last patches of one value, each starting at the revision where the
// previous one ended.
class patch_history {
 public:
  // A peer that is more patches behind reads the whole value.
  static constexpr std::size_t kMaxPatches = 8;
  // Bounds the memory; beyond it a patch saves little over the whole value.
  static constexpr std::size_t kMaxBytes = 64 * 1024;

  // The revision that the last patch leads to; 0: no patches.
  std::uint64_t Newest() const;
  // Clears the older patches if `patch` doesn't start at the newest revision.
  void Add(value_patch patch);
  // The patches for a peer that has all changes up to `revision`; none if they
  // aren't known. The peer must check that it holds the first patch's base.
  std::optional<std::vector<value_patch>> Since(std::uint64_t revision) const;

 private:
  std::deque<value_patch> patches_;
  std::size_t bytes_ = 0;
};

}  // namespace pimentohall::mesh

#endif  // PIMENTOHALL_MESH_H_
