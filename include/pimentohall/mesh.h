#ifndef PIMENTOHALL_MESH_H_
#define PIMENTOHALL_MESH_H_

// Library `mesh`: the decisions of a daemon that carries calls for a fleet
// whose configuration and upstream list are published as plain values.
//
// Nothing here reads a clock, a socket, a file or global random state: times
// and random numbers are passed in. Each class is one decision:
//
//   configuration   which route, service and tenant a call belongs to
//   route_splitter  which part of a weighted route takes the next call
//   directory       which upstreams exist, as last published
//   peer_table      which daemons are alive, and what they last told
//   allotment_table whether a tenant's rate over the whole fleet has room
//   retry_budget    whether another attempt fits the service's budget
//   target_picker   which upstream takes the next attempt
//   work_queue      which call waiting for an upstream starts next
//   warmup_gate     whether a cold upstream bears one more call
//   attempt_register which attempts an ingress was told will never run
//   patch_history   which patches bring a peer's older value up to date
//
// Durations and instants are `core::duration` (microseconds) and
// `core::instant` unless the name carries a unit. Functions without an error
// type can't fail.

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

namespace pimentohall::mesh {

using core::duration;
using core::instant;

// ---------------------------------------------------------------------------
// Configuration.

struct route_part {
  std::string service;
  double weight = 1;
  friend bool operator==(const route_part& a, const route_part& b);
};

struct route {
  std::string name;
  std::string host;         // Lower case, without port.
  std::string path_prefix;  // Begins and ends with a slash.
  std::vector<route_part> parts;
  bool idempotent = false;
  duration timeout{0};   // The longest time until the answer; 0: none.
  duration aim{0};       // The answer is worth most within this time.
  int max_attempts = 1;  // Upstreams that may get one caller's attempt.
  int priority = 0;      // 0 goes first.
  bool open = false;     // No key is needed.
  std::vector<std::string> regions;  // Allowed ones; empty: all.
  friend bool operator==(const route& a, const route& b);
};

struct service {
  std::string name;
  std::string health_path;
  int max_connections = 100;
  duration warmup{0};
  double warmup_per_s = 0;  // Calls a second that a cold upstream bears.
  friend bool operator==(const service& a, const service& b);
};

struct tenant {
  std::string name;
  std::vector<std::string> key_digests;  // SHA-256, lower-case hexadecimal.
  std::optional<int> priority;           // Goes before the route's.
  double rate_per_s = 0;                 // 0: no limit.
  double burst = 0;
  std::vector<std::string> regions;
  friend bool operator==(const tenant& a, const tenant& b);
};

// What callers may send.
struct caller_limits {
  std::uint64_t header_bytes = 64 * 1024;
  std::uint64_t body_bytes = 64 * 1024 * 1024;
  duration header_time = std::chrono::seconds(10);
  duration idle_time = std::chrono::seconds(60);
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

// An immutable, checked configuration. Pointers that a look-up returns are
// valid while the configuration lives.
class configuration {
 public:
  // Reports every fault: names that stand twice, parts without a service or a
  // weight, prefixes of another form, keys that two tenants share.
  static tl::expected<std::shared_ptr<const configuration>, config::faults>
  Build(configuration_parts parts);

  std::uint64_t Version() const { return parts_.version; }
  const configuration_parts& Parts() const { return parts_; }
  // The route with the longest prefix that begins `path`, among those of
  // `host`; null if there is none.
  const route* FindRoute(std::string_view host, std::string_view path) const;
  const service* FindService(std::string_view name) const;
  const tenant* FindTenant(std::string_view name) const;
  const tenant* FindTenantByKeyDigest(std::string_view digest) const;
  bool HasTenants() const { return !parts_.tenants.empty(); }

 private:
  configuration_parts parts_;
  // By host; longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> by_host_;
  std::unordered_map<std::string, const service*> services_;
  std::unordered_map<std::string, const tenant*> tenants_;
  std::unordered_map<std::string, const tenant*> by_key_;
};

// Deals the calls of weighted routes so that every run of calls keeps close to
// the weights (smooth weighted round-robin).
class route_splitter {
 public:
  explicit route_splitter(std::uint64_t seed) : seed_(seed) {}
  const std::string& Pick(const route& from);

 private:
  struct state {
    std::vector<route_part> parts;
    std::vector<double> credit;
  };
  std::uint64_t seed_;
  std::unordered_map<std::string, state> states_;
};

// ---------------------------------------------------------------------------
// Upstreams, as published.

struct upstream {
  std::string id;  // One start of one upstream.
  std::string service;
  std::string address;  // The VM's IP number.
  int port = 0;
  std::string zone;
  int slots = 1;
  bool draining = false;
  duration warmup_left{0};    // When the entry was read.
  std::uint64_t born_ms = 0;  // Unix time of the start; 0: not told.
  std::uint64_t revision = 0;
  friend bool operator==(const upstream& a, const upstream& b);
};

// The upstreams that may get calls. An entry that went missing around an outage
// of the source may only have lapsed, and is kept for a grace time.
class directory {
 public:
  struct entry {
    upstream what;
    instant read_at{};
    std::optional<instant> missing_until;
  };

  void Put(const upstream& what, instant now);
  // The entry was removed; it is kept for `grace` if it isn't draining.
  void Remove(const std::string& id, duration grace, instant now);
  // The entry names no upstream any more.
  void Drop(const std::string& id);
  // Drops missing entries whose time is over; true if there were any.
  bool Expire(instant now);
  void SetZonesOut(std::set<std::string> zones) {
    zones_out_ = std::move(zones);
  }
  const std::set<std::string>& ZonesOut() const { return zones_out_; }

  const std::map<std::string, entry>& Entries() const { return entries_; }
  // Entries of this service that may get calls: not draining, zone in service,
  // and no newer start at the same address.
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
// News between daemons.

// Load of an upstream as the daemon beside it sees it.
struct load_news {
  std::string upstream;
  int running = 0;
  int queued = 0;
  int slots = 0;          // 0: takes no calls.
  double backlog_ms = 0;  // Work that waits or runs, divided by the slots.
                          // Whole in news.
  // Time of calls relative to the expectation for their routes; 1: as usual. In
  // steps of 0.01 in news.
  double slowness = 1;
  friend bool operator==(const load_news& a, const load_news& b);
};

struct tenant_count {
  std::uint32_t tenant = 0;    // Hash of the name.
  std::uint64_t admitted = 0;  // Since the start of the daemon.
  int demand_per_s = 0;        // Calls asked for, refused ones included.
  friend bool operator==(const tenant_count& a, const tenant_count& b);
};

// What a daemon tells all others several times a second. Each datagram stands
// alone: a lost one is made good by the next.
struct peer_news {
  // Of the VM; names the daemon. Not in the datagram: the receiver takes it
  // from the sender's address.
  std::string address;
  std::uint32_t boot = 0;  // Random for each start of the daemon.
  std::uint64_t sequence = 0;
  std::uint64_t uptime_ms = 0;
  // The receiver gets the next news after about this time.
  duration period = std::chrono::milliseconds(300);
  bool stopping = false;
  std::uint64_t heard_sequence = 0;  // The last news from the receiver.
  std::uint32_t heard_boot = 0;
  // Revisions of the newest change known, by area of the source.
  std::uint64_t settings_revision = 0;
  std::uint64_t upstreams_revision = 0;
  bool reads_source = false;  // Its own calls to the source are answered.
  std::optional<load_news> load;
  std::vector<tenant_count> admitted;
  std::vector<core::crash_report> crashes;
  friend bool operator==(const peer_news& a, const peer_news& b);
};

std::string EncodeNews(const peer_news& news);
// Rejects what `EncodeNews` can't have made. `address` is the sender's.
tl::expected<peer_news, std::string> DecodeNews(std::string_view bytes,
                                                const std::string& address);

// Which daemons are alive.
class peer_table {
 public:
  // Without news for this long a daemon counts as unreachable, if its news come
  // often: three losses in a row at the shortest period.
  static constexpr duration kSilence = std::chrono::milliseconds(1000);
  // The same in periods of the sender, for news that come less often: one may
  // be lost.
  static constexpr double kSilencePeriods = 2.4;

  struct peer {
    std::string address;
    std::uint32_t boot = 0;
    std::uint64_t sequence = 0;
    instant heard_at{};
    instant echoed_at{};          // It had heard from us.
    duration silence = kSilence;  // Without news for longer it isn't heard.
    bool stopping = false;
    bool reads_source = false;
    std::uint64_t settings_revision = 0;
    std::uint64_t upstreams_revision = 0;
    std::uint64_t uptime_ms = 0;
  };
  enum class change { kStale, kUpdate, kNewBoot, kFirst, kBack };

  peer_table(std::string own_address, std::uint32_t own_boot)
      : own_address_(std::move(own_address)), own_boot_(own_boot) {}

  // Takes news over; kStale: older than what is known.
  change OnNews(const peer_news& news, instant now);
  // The daemon hears us and we hear it.
  bool IsReachable(std::string_view address, instant now) const;
  // Heard lately, whether or not it hears us.
  bool IsHeard(std::string_view address, instant now) const;
  const peer* Find(std::string_view address) const;
  std::size_t CountHeard(instant now) const;
  // True for `count` of the daemons that hear each other, this one included:
  // each derives the same ones by itself, spread over the addresses.
  bool IsOneOf(std::size_t count, instant now) const;
  // The same over these addresses, whoever is heard.
  bool IsOneOf(std::size_t count,
               const std::vector<std::string>& addresses) const;
  // Daemons heard that read the source and come before this one in the order of
  // `IsOneOf`.
  std::size_t CountReadersBefore(instant now) const;
  const std::map<std::string, peer, std::less<>>& Peers() const {
    return peers_;
  }
  void Forget(instant now);

 private:
  // Daemons heard before this one that `counts` accepts.
  std::size_t CountBefore(bool (*counts)(const peer&), instant now) const;

  std::string own_address_;
  std::uint32_t own_boot_;
  std::map<std::string, peer, std::less<>> peers_;
};

// ---------------------------------------------------------------------------
// Allotments.

std::uint32_t TenantHash(std::string_view name);

// One rate for the whole fleet without shared state. Every daemon keeps a
// bucket for the whole fleet: it refills at the tenant's rate, and what this
// daemon admits and what the others tell to have admitted is taken from it.
// The level may fall below zero by what was admitted before it was told; that
// debt is paid back before anything else is admitted.
//
// While the fleet is asked for more than the rate, each daemon also keeps to
// its part of the rate, by its part of the demand: else all would admit at once
// whenever the bucket has filled, and none for long after.
//
// Daemons that aren't heard may still admit. While some are missing the bucket
// refills at this side's share, so that the sides of a partition together stay
// near the rate.
class allotment_table {
 public:
  // Share of the rate that the sides of a partition may exceed together; the
  // published overshoot allows a quarter.
  static constexpr double kPartitionExcess = 1.1;
  // Part of the burst that a fresh daemon assumes to be left.
  static constexpr double kStartLevel = 0.25;
  // The fleet counts as asked for too much above this part of the rate.
  static constexpr double kPacedAbove = 1.05;
  // With this part of the burst left, nobody is held to its part.
  static constexpr double kFreeShare = 0.5;
  // What a paced daemon may save up, in seconds of its part of the rate.
  static constexpr double kPacedBurstS = 0.25;
  // Debt is forgotten beyond this many seconds of the rate.
  static constexpr double kMaxDebtS = 2.0;

  explicit allotment_table(instant start) : start_(start) {}

  void SetConfiguration(const std::shared_ptr<const configuration>& config,
                        instant now);
  // Admits a call of the tenant, or returns when to come back.
  tl::expected<void, duration> Admit(const tenant& from, instant now);
  // The call didn't reach an upstream.
  void GiveBack(const tenant& from, instant now);
  // `fleet` daemons exist, `heard` of them are in contact, this one included.
  void SetFleet(std::size_t fleet, std::size_t heard, instant now);
  void OnNews(const peer_news& news, bool is_first, instant now);
  // Own counts of the tenants that called at `since` or later.
  std::vector<tenant_count> News(instant now, instant since) const;
  double Level(const std::string& tenant, instant now);

 private:
  // Demand told longer ago counts as none.
  static constexpr duration kDemandMemory = std::chrono::milliseconds(1500);

  struct bucket {
    double rate_per_s = 0;
    double burst = 0;
    double level = 0;
    instant filled_at{};
    std::uint64_t admitted = 0;
    instant asked_at{};
    double demand_per_s = 0;  // Own, decaying; as of `asked_at`.
    double paced = 0;         // Calls that a paced daemon may admit now.
    double part = 1;          // Of the fleet's demand, as of `part_at`.
    bool is_paced = false;
    instant part_at{};
  };
  struct told_count {
    std::uint64_t admitted = 0;
    int demand_per_s = 0;
    instant told_at{};
  };
  struct peer_counts {
    std::uint32_t boot = 0;
    std::unordered_map<std::uint32_t, told_count> counts;
    bool baseline = false;  // Counts seen first are taken as past.
  };
  void Refill(bucket* at, instant now) const;
  static double DemandOf(const bucket& of, instant now);
  static void NoteDemand(bucket* at, instant now);
  // Works out whether the tenant is paced, and this daemon's part.
  void UpdatePart(std::uint32_t tenant, bucket* at, instant now) const;

  instant start_;
  double share_ = 1;
  std::unordered_map<std::uint32_t, bucket> buckets_;
  std::unordered_map<std::string, peer_counts> peers_;
};

// ---------------------------------------------------------------------------
// Retries.

struct retry_limits {
  double ratio = 0;  // Repeats for each call.
  double slack = 0;  // Repeats in a window besides, over the fleet.
  duration window{0};
};

// The fleet's budget of repeats for each service, spent without agreement: the
// ratio counts this daemon's own calls, which sum up over the fleet, and the
// slack is divided evenly.
class retry_budget {
 public:
  // Part of the budget that is used. The rest is for the calls that repeats
  // make at other services: they count there, and can't be refused.
  static constexpr double kUsedShare = 0.55;

  explicit retry_budget(retry_limits limits) : limits_(limits) {}
  void SetFleet(std::size_t daemons) {
    daemons_ = std::max<std::size_t>(1, daemons);
  }
  void OnCall(const std::string& service, instant now);
  // A call of an upstream on this VM; `repeat_share` of its running calls are
  // repeats, so that part of it counts as one.
  void OnNestedCall(const std::string& service, double repeat_share,
                    instant now);
  // Takes a repeat if the budget has room.
  bool TakeRepeat(const std::string& service, instant now);

 private:
  struct window_counts {
    std::deque<instant> calls;
    std::deque<std::pair<instant, double>> repeats;
    double repeated = 0;  // Sum of `repeats`.
  };
  void Expire(window_counts* at, instant now) const;

  retry_limits limits_;
  std::size_t daemons_ = 1;
  std::unordered_map<std::string, window_counts> services_;
};

// ---------------------------------------------------------------------------
// Choice of the upstream.

// Ranks upstreams by when an answer may be expected: the load that the daemon
// beside each told last, what was sent there since, its speed, and how often
// it failed lately.
class target_picker {
 public:
  explicit target_picker(std::uint64_t seed) : random_(seed | 1) {}

  struct candidate {
    std::string id;
    int slots = 1;
    bool is_near = false;  // In this daemon's zone.
    bool is_cold = false;
  };

  void OnNews(const load_news& news, instant now);
  void OnSent(const std::string& id);
  // `failed`: the upstream, not the call, was at fault.
  void OnDone(const std::string& id, bool failed, instant now);
  // The daemon beside it refused: no call for a moment.
  void OnRefused(const std::string& id, duration pause, instant now);

  // The index of the best candidate that isn't in `tried`, or none.
  // `typical` is the usual time of the call at an upstream of usual speed.
  std::optional<std::size_t> Pick(const std::vector<candidate>& candidates,
                                  const std::vector<std::string>& tried,
                                  duration typical, instant now);
  // Expected time until the answer, in milliseconds; for logs and tests.
  double ScoreMs(const candidate& of, duration typical, instant now) const;

 private:
  struct state {
    load_news last;
    instant told_at{};
    int sent_since = 0;
    double failure_share = 0;
    instant failed_at{};
    instant paused_until{};
  };
  double FailureShare(const state& of, instant now) const;
  std::uint64_t Random();

  std::uint64_t random_;
  std::unordered_map<std::string, state> states_;
};

// Mean time of calls by key (a route), from those that were measured. A mean
// without new calls fades into the caller's fallback: one that is too high
// would keep calls away, and so never be corrected.
class time_estimator {
 public:
  static constexpr double kHalfLifeS = 2.0;

  void Observe(const std::string& key, duration took, instant now);
  // The mean, or `fallback` as far as nothing was measured lately.
  duration Expect(const std::string& key, duration fallback, instant now) const;

 private:
  struct mean {
    double ms = 0;
    int count = 0;
    instant at{};
  };
  std::unordered_map<std::string, mean> means_;
};

// ---------------------------------------------------------------------------
// The queue before an upstream.

struct work_item {
  std::uint64_t id = 0;
  int rank = 0;         // 0 goes first; tenant before route.
  bool nested = false;  // Made by a running call, which holds a slot meanwhile.
  instant aim_at{};     // The answer is worth most until then.
  instant deadline{};   // No answer is wanted after that.
  duration expected{0};
};

// Why a call isn't taken, and when room may be expected.
struct work_refusal {
  core::reason why = core::reason::kQueueFull;
  duration retry_after{0};
};

// Orders the calls that wait for one upstream. Calls that can still be answered
// in time (within their aim; nested ones, within their deadline) go first:
// nested ones, then by rank, then the earliest.
// Calls that can't are started only when no other waits. Every
// `kTurnOfOldest`-th start goes to the call that has waited longest, so that no
// rank starves.
class work_queue {
 public:
  static constexpr int kTurnOfOldest = 20;
  // Calls that wait at most; beyond that a call is refused at once.
  static constexpr std::size_t kMaxWaiting = 512;

  // Refuses what can't end in time behind what waits and runs already.
  // `running` is the expected rest of the running calls together; 0: a slot is
  // free.
  tl::expected<void, work_refusal> Push(const work_item& item, int slots,
                                        duration running, instant now);
  // Removes and returns the call to start now; none if nothing waits that can
  // still be answered in time.
  std::optional<work_item> Pop(instant now);
  bool Remove(std::uint64_t id);
  // Removes calls that can't end before their deadline any more.
  std::vector<work_item> Expire(instant now);
  // Removes calls that others have overtaken, so that they won't start in time:
  // they are told at once, while there is time to try elsewhere. `running` as
  // with `Push`.
  std::vector<work_item> DropOvertaken(int slots, duration running,
                                       instant now);
  std::vector<work_item> Clear();
  std::size_t Size() const { return items_.size(); }
  duration Work() const;
  // The earliest time at which `Expire` has something to do.
  std::optional<instant> NextExpiry() const;

 private:
  duration WorkBefore(const work_item& item, instant now) const;
  double OnTimeShare(int slots, instant now) const;
  void NoteOnTime(const work_item& item, instant now);

  std::vector<work_item> items_;  // In order of arrival.
  int starts_ = 0;
  // Work that was taken to be in time, decaying; seconds of slot time.
  double on_time_work_s_ = 0;
  instant on_time_at_{};
};

// ---------------------------------------------------------------------------
// Cold upstreams.

// Lets a cold upstream have no more calls in any second than it bears.
class warmup_gate {
 public:
  // Calls that may start at once; the bound leaves more than this.
  static constexpr double kBurst = 3;

  void SetCold(instant until, double per_s, instant now);
  bool IsCold(instant now) const { return now < cold_until_; }
  instant ColdUntil() const { return cold_until_; }
  bool Take(instant now);
  // When the next call may start.
  instant NextAt(instant now) const;

 private:
  void Refill(instant now);
  instant cold_until_{};
  double per_s_ = 0;
  double level_ = 0;
  instant filled_at_{};
};

// ---------------------------------------------------------------------------
// Attempts whose link broke.

// What an egress remembers of attempts, for an ingress that asks whether one
// ran. An attempt that was barred will never start; one that started can't be
// barred any more.
class attempt_register {
 public:
  // An ingress asks within its call's budget.
  static constexpr duration kMemory = std::chrono::seconds(60);
  // Bounds the memory; the oldest are forgotten first.
  static constexpr std::size_t kMost = 20'000;

  void NoteStarted(const std::string& attempt, instant now);
  void Bar(const std::string& attempt, instant now);
  bool HasStarted(const std::string& attempt) const;
  bool IsBarred(const std::string& attempt) const;
  // Forgets what is too old or too much; call often.
  void Expire(instant now);

 private:
  enum class fate { kStarted, kBarred };
  void Note(const std::string& attempt, fate what, instant now);

  std::unordered_map<std::string, fate> fates_;
  std::deque<std::pair<instant, std::string>> order_;
};

// ---------------------------------------------------------------------------
// Large values between peers.

// Compresses a value for a peer that holds `base`; an empty base serves any
// peer.
std::string Pack(std::string_view value, std::string_view base);
// Gives the value again. Fails if the bytes are cut or changed, if `base` isn't
// the one that they were made with, or if the value has more than `most_bytes`.
tl::expected<std::string, std::string> Unpack(std::string_view packed,
                                              std::string_view base,
                                              std::size_t most_bytes);

// One step from a value's revision to a later one.
struct value_patch {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::string packed;  // With the value at `from` as the base.
};

// The last steps of one value, each beginning where the one before ended.
class patch_history {
 public:
  // A peer that is more steps behind reads the value whole.
  static constexpr std::size_t kMaxPatches = 8;
  // Bounds the memory; beyond it a patch saves little over the whole value.
  static constexpr std::size_t kMaxBytes = 64 * 1024;

  // The revision that the last step leads to; 0: none.
  std::uint64_t Newest() const;
  // A step that doesn't begin at the newest revision makes the others useless.
  void Add(value_patch patch);
  // The steps for a peer that has all changes up to `revision`; none if they
  // aren't known. The peer has to check that it holds the first one's base.
  std::optional<std::vector<value_patch>> Since(std::uint64_t revision) const;

 private:
  std::deque<value_patch> patches_;
  std::size_t bytes_ = 0;
};

}  // namespace pimentohall::mesh

#endif  // PIMENTOHALL_MESH_H_
