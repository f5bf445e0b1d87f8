#include "node/peer_follower.h"

#include <charconv>

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// An open watch usually delivers a change within this time.
constexpr duration kWatchGracePeriod = milliseconds(250);
constexpr duration kFetchTimeout = milliseconds(800);
// After this many failures of peers in a row, the source is read instead.
constexpr int kMaxPeerFailures = 3;
// Allows for a configuration of some thousands of routes.
constexpr std::int64_t kMaxAnswerBytes = 8 * 1024 * 1024;

// Answers of at least this size are sent no more often than this: a compressed
// configuration of some tens of kilobytes then uses a fifth of the slowest VM's
// 10 Mbit/s. A daemon that gets an empty answer asks another peer.
constexpr std::size_t kLargeAnswerBytes = 8 * 1024;
constexpr duration kMinLargeAnswerInterval = milliseconds(150);

constexpr char kPath[] = "/pimentohall/mirror?";

// The queries of `kPath`. The revision that the asking daemon holds follows.
struct query_form {
  std::string_view prefix;
  source_area area;
  source_mirror::export_form form;
};
using export_form = source_mirror::export_form;
constexpr query_form kQueries[] = {
    {"settings=", source_area::kSettings, export_form::kChanges},
    {"patches=", source_area::kSettings, export_form::kPatches},
    {"settings_list=", source_area::kSettings, export_form::kList},
    {"upstreams=", source_area::kUpstreams, export_form::kChanges},
    {"upstreams_list=", source_area::kUpstreams, export_form::kList},
};

std::string Query(source_area area, export_form form, std::uint64_t revision) {
  for (const query_form& query : kQueries) {
    if (query.area != area || query.form != form) continue;
    return std::string(query.prefix) + std::to_string(revision);
  }
  return {};
}

// Parses a number; the text must hold nothing else.
std::optional<std::uint64_t> ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

std::uint64_t ReportedChangeRevision(const mesh::peer_table::peer& peer,
                                     source_area area) {
  return area == source_area::kSettings ? peer.settings_revision
                                        : peer.upstreams_revision;
}

}  // namespace

peer_follower::peer_follower(fleet_state& fleet, source_mirror& mirror)
    : fleet_(fleet),
      mirror_(mirror),
      client_(fleet.loop, fleet.timers, 1, kMaxAnswerBytes),
      peer_rotation_(fleet.boot) {}

void peer_follower::Check() {
  const instant now = fleet_.loop.Now();
  for (const source_area area : kSourceAreas) {
    CatchUp(area, &progress_[area], now);
  }
}

std::string peer_follower::FindPeerAhead(source_area area, instant now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [address, peer] : fleet_.peers.Peers()) {
    if (!fleet_.peers.IsHeard(address, now)) continue;
    if (ReportedChangeRevision(peer, area) <= mirror_.Revision(area)) continue;
    const bool is_near = fleet_.ZoneOf(address) == fleet_.settings.zone;
    (is_near ? near : far).push_back(address);
  }
  const std::vector<std::string>& ahead = near.empty() ? far : near;
  return ahead.empty() ? "" : ahead[peer_rotation_ % ahead.size()];
}

void peer_follower::CatchUp(source_area area, area_progress* progress,
                            instant now) {
  if (progress->fetching) return;
  const std::string ahead = FindPeerAhead(area, now);
  if (ahead.empty()) {
    progress->behind_since.reset();
    progress->failures = 0;
    progress->needs_whole = false;
    progress->needs_list = false;
    return;
  }
  if (!progress->behind_since) progress->behind_since = now;
  if (mirror_.IsWatching(area) &&
      now - *progress->behind_since < kWatchGracePeriod) {
    return;
  }
  const bool peers_fail = progress->failures >= kMaxPeerFailures;
  if ((progress->needs_whole || peers_fail) && mirror_.CanRead(area)) {
    mirror_.RequestRead(area);
    return;
  }
  Fetch(area, progress, ahead);
}

export_form peer_follower::NextForm(source_area area,
                                    const area_progress& progress) {
  if (progress.needs_list) return export_form::kList;
  if (area == source_area::kUpstreams || progress.needs_whole) {
    return export_form::kChanges;
  }
  return export_form::kPatches;
}

void peer_follower::Fetch(source_area area, area_progress* progress,
                          const std::string& peer) {
  progress->fetching = true;
  ++peer_rotation_;
  net::http_request request;
  request.target = fleet_.PeerEndpoint(peer);
  // A list that refers to items which this daemon lacks was rejected.
  const bool needs_values = progress->needs_list && progress->failures > 0;
  request.path = kPath + Query(area, NextForm(area, *progress),
                               needs_values ? 0 : mirror_.Revision(area));
  request.timeout = kFetchTimeout;
  client_.Start(
      request,
      [this, area, progress,
       peer](const tl::expected<net::http_answer, net::http_failure>& answer) {
        progress->fetching = false;
        OnAnswer(area, progress, peer, answer);
      });
}

void peer_follower::OnAnswer(
    source_area area, area_progress* progress, const std::string& peer,
    const tl::expected<net::http_answer, net::http_failure>& answer) {
  using import_result = source_mirror::import_result;
  const bool answered = answer && answer->status == 200 && answer->body;
  if (answered) {
    fleet_.metrics.CountPeerBytes(node_metrics::peer_traffic::kItems,
                                  fleet_.IsFar(peer), false,
                                  answer->body->size());
  }
  auto result = import_result::kRejected;
  if (answered && !answer->body->empty()) {
    result = mirror_.Import(*answer->body);
  }
  switch (result) {
    case import_result::kApplied:
      progress->failures = 0;
      progress->needs_whole = false;
      progress->needs_list = false;
      return;
    case import_result::kDiffers:
      progress->needs_list = true;
      net::Log(core::log_level::kInfo, "items differ from a peer's",
               {{"peer", peer},
                {"revision", std::to_string(mirror_.Revision(area))}});
      Fetch(area, progress, peer);
      return;
    case import_result::kRejected:
      break;
  }
  OnNoItems(area, progress, peer, answered);
}

void peer_follower::OnNoItems(source_area area, area_progress* progress,
                              const std::string& peer, bool answered) {
  // A peer that answered without items has no patch, or may not send a large
  // answer yet. Items that the mirror rejected count as none.
  if (answered && area == source_area::kSettings) {
    progress->needs_whole = true;
  } else {
    ++progress->failures;
  }
  net::Log(core::log_level::kInfo, "peer gave no items",
           {{"peer", peer},
            {"answered", answered ? "yes" : "no"},
            {"needs_whole", progress->needs_whole ? "yes" : "no"},
            {"failures", std::to_string(progress->failures)}});
}

std::string peer_follower::Answer(const std::string& target) {
  std::string_view text = target;
  text.remove_prefix(sizeof(kPath) - 1);
  for (const query_form& query : kQueries) {
    if (text.substr(0, query.prefix.size()) != query.prefix) continue;
    const auto since = ReadNumber(text.substr(query.prefix.size()));
    if (!since) break;
    if (query.area == source_area::kUpstreams ||
        query.form == export_form::kPatches) {
      return mirror_.Export(query.area, *since, query.form);
    }
    return AnswerWhole(query.area, *since, query.form);
  }
  net::Log(core::log_level::kWarning, "request of a peer is unreadable",
           {{"target", target}});
  return {};
}

std::string peer_follower::AnswerWhole(source_area area, std::uint64_t since,
                                       export_form form) {
  const instant now = fleet_.loop.Now();
  std::string bytes = mirror_.Export(area, since, form);
  if (bytes.size() < kLargeAnswerBytes) return bytes;
  if (now - large_answer_sent_at_ < kMinLargeAnswerInterval) return {};
  large_answer_sent_at_ = now;
  return bytes;
}

}  // namespace pimentohall::node
