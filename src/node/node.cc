// Connects the parts of a daemon and maintains its view of the fleet.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "node/crash_follower.h"
#include "node/egress.h"
#include "node/fleet_state.h"
#include "node/ingress.h"
#include "node/news_service.h"
#include "node/page_server.h"
#include "node/peer_follower.h"
#include "node/source_mirror.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

constexpr duration kMaintenancePeriod = milliseconds(100);
constexpr duration kClientLimitsLogPeriod = std::chrono::seconds(1);
// In a planned stop, callers notice within this time that the daemon isn't
// ready. Then it refuses new calls, closes its listeners, tells the other
// daemons that it is stopping, and ends when it is idle or the grace time is
// nearly over.
constexpr duration kUnreadyTime = milliseconds(2300);
constexpr duration kHandOverDuration = milliseconds(400);
// Part of the grace time that is reserved for the process's exit.
constexpr duration kGraceMargin = milliseconds(400);
// Calls that are still pending are answered this long before the process ends.
constexpr duration kFinalAnswerTime = milliseconds(100);
constexpr duration kStopPollPeriod = milliseconds(50);

std::uint32_t RandomBoot() { return std::random_device{}(); }

}  // namespace

class node::impl {
 public:
  impl(net::event_loop& loop, net::timer_service& timers,
       node_settings settings, adapter platform_adapter)
      : adapter_(std::move(platform_adapter)),
        fleet_(loop, timers, std::move(settings), *adapter_.dialect,
               RandomBoot()),
        ingress_(fleet_),
        egress_(fleet_),
        mirror_(fleet_, *adapter_.reader, *adapter_.decoder),
        news_(fleet_),
        transport_(fleet_),
        follower_(fleet_, mirror_, transport_),
        crashes_(fleet_, egress_, transport_),
        ready_(loop, timers, fleet_.settings.ready,
               ClientLimitsFor(listener_kind::kPages, fleet_.settings)),
        admin_(loop, timers, fleet_.settings.admin,
               ClientLimitsFor(listener_kind::kPages, fleet_.settings)) {
    mirror_.on_item = [this](const source_mirror::item_change& change) {
      OnItem(change);
    };
    mirror_.on_changes_applied = [this](source_area) {
      OnChangesApplied();
      // Followers wait for a reader to report the change.
      if (mirror_.IsReading()) SendNewsToAll();
    };
    news_.on_news = [this](mesh::peer_news news) { OnNews(std::move(news)); };
    egress_.on_mirror_request = [this](const std::string& target) {
      return follower_.Answer(target);
    };
    egress_.on_crashes_request = [this] { return crashes_.Answer(); };
  }

  ~impl() {
    maintenance_timer_.disconnect();
    news_timer_.disconnect();
    stop_timer_.disconnect();
  }

  tl::expected<void, std::string> Start() {
    AddPages();
    if (auto open = news_.Open(); !open) return open;
    for (const auto& listening : {egress_.Listen(), ready_.Listen(),
                                  admin_.Listen(), ingress_.Listen()}) {
      if (!listening) return tl::unexpected(listening.error());
    }
    mirror_.Start();
    maintenance_timer_ = fleet_.timers.Every(
        kMaintenancePeriod, sigc::slot<void()>([this] { RunMaintenance(); }));
    ScheduleNews();
    net::Log(
        core::log_level::kInfo, "started",
        {{"node", fleet_.settings.name},
         {"version", net::VersionText()},
         {"boot", std::to_string(fleet_.boot)},
         {"zone", fleet_.settings.zone},
         {"service", fleet_.settings.caller_service},
         {"level", std::to_string(static_cast<int>(fleet_.settings.level))}});
    return {};
  }

  void BeginStop() {
    if (fleet_.stopping) return;
    fleet_.stopping = true;
    stop_began_ = fleet_.loop.Now();
    fleet_.stop_ends_at = stop_began_ + fleet_.settings.grace - kGraceMargin;
    fleet_.final_answers_at = fleet_.stop_ends_at - kFinalAnswerTime;
    net::Log(core::log_level::kInfo, "stop began",
             {{"pending", std::to_string(ingress_.Pending())},
              {"running", std::to_string(egress_.Running())}});
    ingress_.BeginStop();
    egress_.LimitQueue();
    stop_timer_ = fleet_.timers.Every(
        kStopPollPeriod, sigc::slot<void()>([this] { AdvanceStop(); }));
  }

  void Reload(const node_settings& settings) {
    net::Log(core::log_level::kInfo, "settings reloaded",
             {{"service", settings.caller_service},
              {"before", fleet_.settings.caller_service}});
    fleet_.settings.caller_service = settings.caller_service;
    fleet_.settings.zone_regions = settings.zone_regions;
    fleet_.settings.upstream = settings.upstream;
    fleet_.settings.grace = settings.grace;
    egress_.OnDirectory();
  }

 private:
  // -------------------------------------------------------------------------
  // The source.

  void OnItem(const source_mirror::item_change& change) {
    const instant now = fleet_.loop.Now();
    const source_item& item = change.item;
    if (item.removed) {
      OnRemoved(item, change.expiry_grace);
      return;
    }
    if (change.same_value) {
      fleet_.directory.SetRevision(
          adapter_.decoder->UpstreamIdFromKey(item.key), item.revision);
      return;
    }
    const decoded_item meaning = adapter_.decoder->Decode(item);
    if (const auto* parts = std::get_if<mesh::configuration_parts>(&meaning)) {
      OnConfiguration(*parts, change);
    } else if (const auto* upstream = std::get_if<mesh::upstream>(&meaning)) {
      fleet_.directory.Put(*upstream, now);
      fleet_.directory_at = now;
      directory_changed_ = true;
    } else if (const auto* evacuated = std::get_if<evacuated_zone>(&meaning)) {
      zones_out_.insert(evacuated->zone);
      directory_changed_ = true;
      net::Log(core::log_level::kInfo, "zone taken out",
               {{"zone", evacuated->zone},
                {"revision", std::to_string(item.revision)}});
    } else if (const auto* unreadable = std::get_if<malformed_item>(&meaning)) {
      OnUnreadable(item, unreadable->reason);
    }
  }

  void OnRemoved(const source_item& item, duration expiry_grace) {
    const instant now = fleet_.loop.Now();
    const std::string upstream = adapter_.decoder->UpstreamIdFromKey(item.key);
    if (!upstream.empty()) {
      fleet_.directory.Remove(upstream, expiry_grace, now);
      fleet_.directory_at = now;
      directory_changed_ = true;
      net::Log(core::log_level::kInfo, "upstream entry removed",
               {{"upstream", upstream},
                {"revision", std::to_string(item.revision)},
                {"kept_ms", MsText(expiry_grace)}});
      return;
    }
    const decoded_item meaning = adapter_.decoder->Decode(item);
    if (const auto* evacuated = std::get_if<evacuated_zone>(&meaning)) {
      zones_out_.erase(evacuated->zone);
      directory_changed_ = true;
      net::Log(core::log_level::kInfo, "zone taken back",
               {{"zone", evacuated->zone},
                {"revision", std::to_string(item.revision)}});
    }
  }

  void OnUnreadable(const source_item& item, const std::string& reason) {
    net::Log(core::log_level::kWarning, "item of the source is unreadable",
             {{"key", item.key},
              {"revision", std::to_string(item.revision)},
              {"reason", reason}});
    const std::string upstream = adapter_.decoder->UpstreamIdFromKey(item.key);
    if (upstream.empty()) return;
    fleet_.directory.Drop(upstream);
    directory_changed_ = true;
  }

  void OnConfiguration(const mesh::configuration_parts& parts,
                       const source_mirror::item_change& change) {
    const source_item& item = change.item;
    const std::uint64_t current_version =
        fleet_.config ? fleet_.config->Version() : 0;
    // The source's own value of a version replaces one that was carried.
    const bool is_newer =
        parts.version > current_version ||
        (parts.version == current_version && change.ends_carried);
    if (!is_newer) {
      net::Log(core::log_level::kWarning, "older configuration ignored",
               {{"version", std::to_string(parts.version)},
                {"in_force", std::to_string(current_version)},
                {"revision", std::to_string(item.revision)}});
      return;
    }
    auto built = mesh::configuration::Build(parts);
    if (!built) {
      net::Log(core::log_level::kError, "configuration refused",
               {{"version", std::to_string(parts.version)},
                {"in_force", std::to_string(current_version)},
                {"fault", built.error().front().ToString()},
                {"faults", std::to_string(built.error().size())}});
      return;
    }
    const instant now = fleet_.loop.Now();
    fleet_.config = *built;
    fleet_.config_at = now;
    fleet_.allotments.SetConfiguration(fleet_.config, now);
    ingress_.OnConfiguration();
    directory_changed_ = true;
    net::Log(core::log_level::kInfo, "configuration in force",
             {{"version", std::to_string(parts.version)},
              {"before", std::to_string(current_version)},
              {"revision", std::to_string(item.revision)},
              {"routes", std::to_string(parts.routes.size())},
              {"tenants", std::to_string(parts.tenants.size())}});
  }

  void OnChangesApplied() {
    if (!directory_changed_) return;
    directory_changed_ = false;
    fleet_.directory.SetZonesOut(zones_out_);
    fleet_.zone_of_address.clear();
    for (const auto& [id, entry] : fleet_.directory.Entries()) {
      fleet_.zone_of_address[entry.what.address] = entry.what.zone;
    }
    fleet_.retries.SetFleet(fleet_.directory.Addresses().size());
    egress_.OnDirectory();
    // Peers answer the first news at once, so that calls can be sent to them
    // before their next regular news.
    if (!first_news_sent_ && fleet_.config &&
        !fleet_.directory.Entries().empty()) {
      first_news_sent_ = true;
      SendNewsToAll();
    }
  }

  // -------------------------------------------------------------------------
  // Peers.

  // `since`: the counts of tenants called since then are included.
  mesh::peer_news NewsFor(const mesh::peer_table::peer* peer, duration period,
                          instant since) {
    const instant now = fleet_.loop.Now();
    mesh::peer_news news;
    news.period = period;
    news.address = fleet_.settings.peers.address;
    news.boot = fleet_.boot;
    news.sequence = ++news_sequence_;
    news.uptime_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now - fleet_.started_at)
            .count());
    news.stopping = handing_over_;
    if (peer != nullptr) {
      // Only recent news prove that the path from the peer to us works.
      if (fleet_.peers.IsHeard(peer->address, now)) {
        news.heard_boot = peer->boot;
        news.heard_sequence = peer->sequence;
      }
    }
    news.settings_position = mirror_.ChangePosition(source_area::kSettings);
    news.upstreams_position = mirror_.ChangePosition(source_area::kUpstreams);
    news.reads_source = mirror_.IsReading();
    news.load = egress_.Load();
    news.admitted = fleet_.allotments.News(now, since);
    news.crashes = egress_.CrashNews();
    return news;
  }

  std::vector<std::string> PeerAddresses() const {
    std::set<std::string> addresses;
    for (const std::string& address : fleet_.directory.Addresses()) {
      addresses.insert(address);
    }
    for (const auto& [address, peer] : fleet_.peers.Peers()) {
      addresses.insert(address);
    }
    addresses.erase(fleet_.settings.peers.address);
    return {addresses.begin(), addresses.end()};
  }

  mesh::news_periods NewsPeriods() const {
    const bool needs_counts = !fleet_.config || fleet_.config->LimitsDemand();
    return mesh::NewsPeriods(fleet_.directory.Addresses().size(), needs_counts);
  }

  void ScheduleNews() {
    news_timer_ =
        fleet_.timers.After(NewsPeriods().near, sigc::slot<void()>([this] {
                              SendNews(false);
                              ScheduleNews();
                            }));
  }

  // Sends news to the near peers, and to the far ones if their news are due or
  // `to_all` is set.
  void SendNews(bool to_all) {
    const instant now = fleet_.loop.Now();
    mesh::news_periods periods = NewsPeriods();
    // Readers send to all with the near period, as followers wait for their
    // reports. There are few readers.
    if (mirror_.IsReading()) periods.far = periods.near;
    const bool far_news_due = to_all || far_news_.IsDue(periods, now);
    // The newest counts of the previous news are repeated in case that datagram
    // was lost. Older counts are corrected by the tenant's next call.
    const instant near_since = near_news_at_ - periods.near;
    const instant far_since = far_news_.SentAt() - periods.near;
    near_news_at_ = now;
    if (far_news_due) far_news_.OnSent(periods.far, now);
    for (const std::string& address : PeerAddresses()) {
      const bool is_near = fleet_.ZoneOf(address) == fleet_.settings.zone;
      if (!is_near && !far_news_due) continue;
      const auto* const peer = fleet_.peers.Find(address);
      news_.Send(address, is_near ? NewsFor(peer, periods.near, near_since)
                                  : NewsFor(peer, periods.far, far_since));
    }
  }

  // Answers the first news after a daemon's start, which tells it that its path
  // to this daemon works, and what was admitted here.
  void ReplyToFirstNews(const std::string& address) {
    const bool is_near = fleet_.ZoneOf(address) == fleet_.settings.zone;
    const mesh::news_periods periods = NewsPeriods();
    news_.Send(address,
               NewsFor(fleet_.peers.Find(address),
                       is_near ? periods.near : periods.far, instant{}));
  }

  // Empty: not listed.
  std::string ServiceOf(const std::string& upstream) const {
    const auto found = fleet_.directory.Entries().find(upstream);
    return found == fleet_.directory.Entries().end()
               ? ""
               : found->second.what.service;
  }

  // Reports a change to all peers at once.
  void SendNewsToAll() { SendNews(true); }

  void OnNews(mesh::peer_news news) {
    if (news.address == fleet_.settings.peers.address) return;
    const instant now = fleet_.loop.Now();
    const auto change = fleet_.peers.OnNews(news, now);
    if (change == mesh::peer_table::change::kStale) return;
    if (change != mesh::peer_table::change::kUpdate) {
      lost_peers_.erase(news.address);
      net::Log(core::log_level::kInfo, "peer heard",
               {{"peer", news.address},
                {"boot", std::to_string(news.boot)},
                {"uptime_ms", std::to_string(news.uptime_ms)}});
    }
    if (change == mesh::peer_table::change::kNewBoot) {
      ingress_.OnPeerRestarted(news.address);
    }
    const bool is_first = change == mesh::peer_table::change::kFirst;
    if (is_first || change == mesh::peer_table::change::kNewBoot) {
      ReplyToFirstNews(news.address);
      crashes_.Check();
    }
    if (change == mesh::peer_table::change::kReturned) {
      crashes_.OnPeerReturned(news.address);
    }
    fleet_.allotments.OnNews(news, is_first, now);
    if (news.load) fleet_.OnLoad(ServiceOf(news.load->upstream), *news.load);
    for (const core::crash_report& report : news.crashes) {
      egress_.OnCrashNews(report);
    }
    const bool is_ahead =
        news.settings_position > mirror_.Position(source_area::kSettings) ||
        news.upstreams_position > mirror_.Position(source_area::kUpstreams);
    if (is_ahead) follower_.Check();
  }

  // -------------------------------------------------------------------------
  // Maintenance and planned stop.

  void RunMaintenance() {
    const instant now = fleet_.loop.Now();
    if (fleet_.directory.Expire(now)) {
      directory_changed_ = true;
      OnChangesApplied();
    }
    for (const auto& [address, peer] : fleet_.peers.Peers()) {
      const bool lost = !fleet_.peers.IsHeard(address, now);
      if (lost && lost_peers_.insert(address).second) {
        net::Log(
            core::log_level::kWarning, "peer lost",
            {{"peer", address}, {"silent_ms", MsText(now - peer.heard_at)}});
      }
    }
    fleet_.peers.Forget(now);
    const std::size_t fleet_size = fleet_.directory.Addresses().size();
    fleet_.allotments.SetFleet(fleet_size, fleet_.peers.CountHeard(now) + 1,
                               now);
    mirror_.RunMaintenance();
    follower_.Check();
    crashes_.Check();
    LogClientLimits(now);
  }

  bool IsReady() const { return fleet_.config != nullptr && !fleet_.stopping; }

  void AdvanceStop() {
    const instant now = fleet_.loop.Now();
    const duration age = now - stop_began_;
    if (!handing_over_ && age >= kUnreadyTime) {
      handing_over_ = true;
      handed_over_at_ = now;
      egress_.BeginStop();
      ingress_.StopListening();
      SendNewsToAll();
    }
    ingress_.WithdrawHopelessCalls();
    if (now >= fleet_.final_answers_at) {
      egress_.RefuseQueued();
      ingress_.EndPendingCalls();
    }
    // An open connection may hold a request that was received but not yet read.
    const bool idle = handing_over_ && ingress_.Pending() == 0 &&
                      ingress_.Connections() == 0 && egress_.IsIdle() &&
                      now - handed_over_at_ >= kHandOverDuration;
    if (!idle && now < fleet_.stop_ends_at) return;
    net::Log(core::log_level::kInfo, "stopped",
             {{"pending", std::to_string(ingress_.Pending())},
              {"running", std::to_string(egress_.Running())},
              {"after_ms", MsText(age)}});
    stop_timer_.disconnect();
    fleet_.loop.Stop();
  }

  // -------------------------------------------------------------------------
  // Pages.

  static net::http_answer Page(int status, const char* type, std::string text) {
    return {status, {{"Content-Type", type}}, net::ShareBytes(std::move(text))};
  }

  void AddPages() {
    ready_.AddPage(fleet_.settings.ready_path, [this] {
      return IsReady() ? Page(200, "text/plain", "ready\n")
                       : Page(503, "text/plain", "not ready\n");
    });
    admin_.AddPage("/metrics", [this] {
      return Page(200, "text/plain; version=0.0.4", Metrics());
    });
    admin_.AddPage("/state",
                   [this] { return Page(200, "application/json", State()); });
  }

  std::vector<std::pair<const char*, const stream::server*>> Listeners() const {
    return {{"callers", &ingress_.Server()},
            {"peers", &egress_.Server()},
            {"ready", &ready_.Server()},
            {"admin", &admin_.Server()}};
  }

  // Reports connections that were closed to make room, at most once a second
  // and listener.
  void LogClientLimits(instant now) {
    if (now - client_limits_logged_at_ < kClientLimitsLogPeriod) return;
    client_limits_logged_at_ = now;
    for (const auto& [name, server] : Listeners()) {
      const stream::client_counts& counts = server->Counts();
      const std::uint64_t closed = counts.closed_for_connections +
                                   counts.closed_for_bytes + counts.closed_slow;
      std::uint64_t& logged = closed_clients_logged_[name];
      if (closed == logged) continue;
      net::Log(core::log_level::kWarning, "clients closed to make room",
               {{"listener", name},
                {"closed", std::to_string(closed - logged)},
                {"connections", std::to_string(server->Connections())},
                {"bytes", std::to_string(server->ClientBytes())}});
      logged = closed;
    }
  }

  std::string Metrics() {
    const instant now = fleet_.loop.Now();
    node_metrics::gauges gauges;
    gauges.ready = IsReady();
    gauges.config_version = fleet_.config ? fleet_.config->Version() : 0;
    gauges.config_age_s =
        std::chrono::duration<double>(now - fleet_.config_at).count();
    gauges.source_age_s =
        std::chrono::duration<double>(now - mirror_.AnsweredAt()).count();
    gauges.peers = fleet_.peers.CountHeard(now);
    gauges.running = egress_.Running();
    gauges.queued = egress_.Queued();
    gauges.speed = egress_.Monitor().Speed(now);
    gauges.pace = egress_.Monitor().Pace(now);
    gauges.usable_slots = egress_.UsableSlots(now);
    gauges.hidden_calls = egress_.Monitor().HiddenCalls(now);
    gauges.rank_limit = egress_.RankLimit();
    gauges.limited_upstreams = fleet_.gate.Size();
    gauges.reserved_slots = egress_.ReservedSlots(now);
    fleet_.metrics.SetUpstreamConnections(egress_.UpstreamConnections());
    fleet_.metrics.CountDroppedLogLines(net::DroppedLogLines());
    for (const auto& [name, server] : Listeners()) {
      fleet_.metrics.SetListener({name, server->Connections(),
                                  server->ClientBytes(), server->Counts()});
    }
    for (const source_area area : kSourceAreas) {
      fleet_.metrics.SetSourcePosition(AreaName(area), mirror_.Position(area),
                                       mirror_.Answered(area),
                                       mirror_.Carried(area));
    }
    return fleet_.metrics.Render(gauges);
  }

  // The daemon's view of the fleet as JSON, without keys.
  std::string State() {
    const instant now = fleet_.loop.Now();
    nlohmann::ordered_json state;
    state["node"] = fleet_.settings.name;
    state["boot"] = fleet_.boot;
    state["ready"] = IsReady();
    state["config_version"] = fleet_.config ? fleet_.config->Version() : 0;
    state["reads_source"] = mirror_.IsReading();
    for (const source_area area : kSourceAreas) {
      state["source"][AreaName(area)] = {
          {"copy", mesh::ToText(mirror_.Position(area))},
          {"answered", mesh::ToText(mirror_.Answered(area))},
          {"carried", mirror_.Carried(area)}};
    }
    state["zones_out"] = zones_out_;
    for (const auto& [id, entry] : fleet_.directory.Entries()) {
      state["upstreams"][id] = {
          {"service", entry.what.service},
          {"address", entry.what.address},
          {"zone", entry.what.zone},
          {"draining", entry.what.draining},
          {"revision", entry.what.revision},
          {"missing", entry.missing_until.has_value()},
          {"reachable", fleet_.peers.IsReachable(entry.what.address, now)}};
    }
    for (const auto& [address, peer] : fleet_.peers.Peers()) {
      state["peers"][address] = {{"boot", peer.boot},
                                 {"silent_ms", MsText(now - peer.heard_at)},
                                 {"stopping", peer.stopping}};
    }
    if (fleet_.config) {
      for (const mesh::tenant& tenant : fleet_.config->Parts().tenants) {
        state["allotments"][tenant.name] =
            fleet_.allotments.Level(tenant.name, now);
      }
    }
    state["running"] = egress_.Running();
    state["queued"] = egress_.Queued();
    const auto load = egress_.Load();
    state["cost"] = {{"used", fleet_.UsesCostRouting()},
                     {"routes", fleet_.costs.Routes()},
                     {"backlog_ms", load ? load->backlog_ms : 0}};
    state["speed"] = egress_.Monitor().Speed(now);
    state["pace"] = egress_.Monitor().Pace(now);
    state["usable_slots"] = egress_.UsableSlots(now);
    state["hidden_calls"] = egress_.Monitor().HiddenCalls(now);
    state["overload"] = {{"on", fleet_.UsesOverloadControl()},
                         {"rank_limit", egress_.RankLimit()},
                         {"limited_upstreams", fleet_.gate.Size()}};
    state["reserved_slots"] = egress_.ReservedSlots(now);
    if (fleet_.config) {
      for (const mesh::route& route : fleet_.config->Parts().routes) {
        AddNeeds(route.name, now, &state);
      }
    }
    return state.dump(1);
  }

  void AddNeeds(const std::string& route, instant now,
                nlohmann::ordered_json* state) {
    for (const sched::callee_need& need : fleet_.needs.Needs(route, now)) {
      (*state)["needs"][route][need.service] = {
          {"calls", need.calls},
          {"time_ms", MsText(need.time)},
          {"budget_ms", MsText(need.budget)},
          {"in_time", need.in_time},
          {"admitted_share", fleet_.callees.Share(need.service)}};
    }
  }

  adapter adapter_;
  fleet_state fleet_;
  std::set<std::string> zones_out_;
  bool directory_changed_ = false;
  std::uint64_t news_sequence_ = 0;
  bool first_news_sent_ = false;
  instant near_news_at_{};
  mesh::far_news_schedule far_news_;
  std::set<std::string> lost_peers_;
  instant stop_began_{};
  instant handed_over_at_{};
  bool handing_over_ = false;  // News tell peers to send no more calls.
  sigc::connection maintenance_timer_;
  sigc::connection news_timer_;
  sigc::connection stop_timer_;

  // Declared last, so that they are destroyed first: their handlers refer to
  // the members above.
  ingress ingress_;
  egress egress_;
  source_mirror mirror_;
  news_service news_;
  http_peer_transport transport_;
  peer_follower follower_;
  crash_follower crashes_;
  page_server ready_;
  page_server admin_;
  instant client_limits_logged_at_{};
  std::map<std::string, std::uint64_t> closed_clients_logged_;
};

node::node(net::event_loop& loop, net::timer_service& timers,
           node_settings settings, adapter platform_adapter)
    : impl_(std::make_unique<impl>(loop, timers, std::move(settings),
                                   std::move(platform_adapter))) {}
node::~node() = default;

tl::expected<void, std::string> node::Start() { return impl_->Start(); }
void node::BeginStop() { impl_->BeginStop(); }
void node::Reload(const node_settings& settings) { impl_->Reload(settings); }

}  // namespace pimentohall::node
