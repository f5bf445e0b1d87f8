#include "node/peer_follower.h"

#include <charconv>

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

// An open watch mostly tells of a change within this time.
constexpr duration kWatchPatience = milliseconds(250);
constexpr duration kFetchTimeout = milliseconds(800);
// Peers that fail before the source is asked instead.
constexpr int kMaxPeerFailures = 3;
// A configuration of some thousands of routes.
constexpr std::int64_t kMaxAnswerBytes = 8 * 1024 * 1024;

constexpr char kPath[] = "/pimentohall/mirror?";
constexpr char kSettingsQuery[] = "settings=";
constexpr char kUpstreamsQuery[] = "upstreams=";

const char* QueryOf(source_area area) {
  return area == source_area::kSettings ? kSettingsQuery : kUpstreamsQuery;
}

std::uint64_t ChangeToldBy(const mesh::peer_table::peer& peer,
                           source_area area) {
  return area == source_area::kSettings ? peer.settings_revision
                                        : peer.upstreams_revision;
}

}  // namespace

peer_follower::peer_follower(fleet_state& fleet, source_mirror& mirror)
    : fleet_(fleet),
      mirror_(mirror),
      client_(fleet.loop, fleet.timers, 1, kMaxAnswerBytes),
      turn_(fleet.boot) {}

void peer_follower::Check() {
  const instant now = fleet_.loop.Now();
  for (const source_area area : kSourceAreas) {
    Follow(area, &progress_[area], now);
  }
}

std::string peer_follower::FindAhead(source_area area, instant now) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [address, peer] : fleet_.peers.Peers()) {
    if (!fleet_.peers.IsHeard(address, now)) continue;
    if (ChangeToldBy(peer, area) <= mirror_.Revision(area)) continue;
    const bool is_near = fleet_.ZoneOf(address) == fleet_.settings.zone;
    (is_near ? near : far).push_back(address);
  }
  const std::vector<std::string>& ahead = near.empty() ? far : near;
  return ahead.empty() ? "" : ahead[turn_ % ahead.size()];
}

void peer_follower::Follow(source_area area, area_progress* progress,
                           instant now) {
  if (progress->fetching) return;
  const std::string ahead = FindAhead(area, now);
  if (ahead.empty()) {
    progress->behind_since.reset();
    progress->failures = 0;
    return;
  }
  if (!progress->behind_since) progress->behind_since = now;
  if (mirror_.IsWatching(area) &&
      now - *progress->behind_since < kWatchPatience) {
    return;
  }
  const bool peers_fail = progress->failures >= kMaxPeerFailures;
  const bool at_source = area == source_area::kSettings || peers_fail;
  if (at_source && mirror_.CanRead(area)) {
    mirror_.Nudge(area);
    return;
  }
  Fetch(area, progress, ahead);
}

void peer_follower::Fetch(source_area area, area_progress* progress,
                          const std::string& peer) {
  progress->fetching = true;
  ++turn_;
  net::http_request request;
  request.target = fleet_.PeerEndpoint(peer);
  request.path =
      kPath + (QueryOf(area) + std::to_string(mirror_.Revision(area)));
  request.timeout = kFetchTimeout;
  client_.Start(
      request,
      [this, progress,
       peer](const tl::expected<net::http_answer, net::http_failure>& answer) {
        progress->fetching = false;
        const bool taken = answer && answer->status == 200 && answer->body &&
                           mirror_.Import(*answer->body);
        progress->failures = taken ? 0 : progress->failures + 1;
        if (!taken) {
          net::Log(core::log_level::kInfo, "peer gave no items",
                   {{"peer", peer},
                    {"failures", std::to_string(progress->failures)}});
        }
      });
}

std::string peer_follower::Answer(const std::string& target) const {
  for (const source_area area : kSourceAreas) {
    const std::string begin = std::string(kPath) + QueryOf(area);
    if (target.rfind(begin, 0) != 0) continue;
    std::uint64_t since = 0;
    const char* const end = target.data() + target.size();
    const auto parsed =
        std::from_chars(target.data() + begin.size(), end, since);
    if (parsed.ec != std::errc() || parsed.ptr != end) break;
    return mirror_.Export(area, since);
  }
  net::Log(core::log_level::kWarning, "question of a peer is unreadable",
           {{"target", target}});
  return {};
}

}  // namespace pimentohall::node
