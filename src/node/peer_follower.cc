#include "node/peer_follower.h"

#include <algorithm>
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

// Between two requests for what the source has lost. The list of a large fleet
// takes some hundred kilobytes.
constexpr duration kIntroductionRetryDelay = milliseconds(300);

// The queries of `kPath`. The position that the asking daemon holds follows, as
// "era.revision". Daemons of earlier versions, and those whose source has no
// eras, send the revision only.
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

using export_query = source_mirror::export_query;

std::string QueryText(const export_query& query) {
  const std::string since =
      (query.knows_eras ? std::to_string(query.since.era) + "." : "") +
      std::to_string(query.since.revision);
  for (const query_form& each : kQueries) {
    if (each.area != query.area || each.form != query.form) continue;
    return std::string(each.prefix) + since;
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

// Parses what `QueryText` returns.
std::optional<export_query> ReadQuery(std::string_view text) {
  for (const query_form& each : kQueries) {
    if (text.substr(0, each.prefix.size()) != each.prefix) continue;
    text.remove_prefix(each.prefix.size());
    export_query query = {each.area, each.form, {}, false};
    const std::size_t dot = text.find('.');
    if (dot != std::string_view::npos) {
      const auto era = ReadNumber(text.substr(0, dot));
      if (!era) return std::nullopt;
      query.since.era = *era;
      query.knows_eras = true;
      text.remove_prefix(dot + 1);
    }
    const auto revision = ReadNumber(text);
    if (!revision) return std::nullopt;
    query.since.revision = *revision;
    return query;
  }
  return std::nullopt;
}

const mesh::source_position& ReportedPosition(
    const mesh::peer_table::peer& peer, source_area area) {
  return area == source_area::kSettings ? peer.settings_position
                                        : peer.upstreams_position;
}

}  // namespace

http_peer_transport::http_peer_transport(fleet_state& fleet)
    : fleet_(fleet), client_(fleet.loop, fleet.timers, 1, kMaxAnswerBytes) {}

void http_peer_transport::Ask(const std::string& peer,
                              const std::string& target, duration timeout,
                              handler done) {
  net::http_request request;
  request.target = fleet_.PeerEndpoint(peer);
  request.path = target;
  request.timeout = timeout;
  client_.Start(
      request,
      [this, peer, done = std::move(done)](
          const tl::expected<net::http_answer, net::http_failure>& answer) {
        if (!answer || answer->status != 200 || !answer->body) {
          done(std::nullopt);
          return;
        }
        fleet_.metrics.CountPeerBytes(node_metrics::peer_traffic::kItems,
                                      fleet_.IsFar(peer), false,
                                      answer->body->size());
        done(*answer->body);
      });
}

peer_follower::peer_follower(fleet_state& fleet, source_mirror& mirror,
                             peer_transport& transport)
    : fleet_(fleet),
      mirror_(mirror),
      transport_(transport),
      peer_rotation_(fleet.boot) {}

void peer_follower::Check() {
  const instant now = fleet_.loop.Now();
  for (const source_area area : kSourceAreas) {
    CatchUp(area, &progress_[area], now);
  }
}

std::string peer_follower::FindPeer(instant now, const peer_filter& passes,
                                    bool prefers_near) const {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [address, peer] : fleet_.peers.Peers()) {
    if (!fleet_.peers.IsHeard(address, now) || !passes(peer)) continue;
    const bool is_near =
        prefers_near && fleet_.ZoneOf(address) == fleet_.settings.zone;
    (is_near ? near : far).push_back(address);
  }
  const std::vector<std::string>& found = near.empty() ? far : near;
  return found.empty() ? "" : found[peer_rotation_ % found.size()];
}

std::string peer_follower::FindPeerAhead(source_area area, instant now) const {
  const mesh::source_position own = mirror_.Position(area);
  return FindPeer(now, [area, &own](const mesh::peer_table::peer& peer) {
    return ReportedPosition(peer, area) > own;
  });
}

bool peer_follower::AskForLostChanges(source_area area, area_progress* progress,
                                      instant now) {
  if (mirror_.IsIntroduced(area) || now < progress->introduction_due) {
    return false;
  }
  const auto is_in_era = [this, area](const mesh::peer_table::peer& peer) {
    const std::uint64_t era = ReportedPosition(peer, area).era;
    return era != 0 && era >= mirror_.Era();
  };
  // Daemons that started earlier know more.
  const bool prefers_near = progress->failures == 0;
  std::string peer = FindPeer(
      now,
      [this, now, &is_in_era](const mesh::peer_table::peer& each) {
        return is_in_era(each) && fleet_.IsElder(each, now);
      },
      prefers_near);
  if (peer.empty() && mirror_.KnowsPast(area)) {
    peer = FindPeer(now, is_in_era, prefers_near);
  }
  if (peer.empty()) return false;
  progress->introduction_due = now + kIntroductionRetryDelay;
  Fetch(area, progress, peer);
  return true;
}

void peer_follower::ReadForUnknownEra(source_area area, area_progress* progress,
                                      instant now) {
  const mesh::source_position own = mirror_.Position(area);
  if (own.era == 0 || !mirror_.CanRead(area)) return;
  std::uint64_t newest = 0;
  FindPeer(now, [area, &newest](const mesh::peer_table::peer& peer) {
    const mesh::source_position& position = ReportedPosition(peer, area);
    if (position.era == 0) newest = std::max(newest, position.revision);
    return false;
  });
  if (newest <= std::max(own.revision, progress->read_for_revision)) return;
  if (mirror_.RequestRead(area)) progress->read_for_revision = newest;
}

void peer_follower::CatchUp(source_area area, area_progress* progress,
                            instant now) {
  if (progress->fetching) return;
  ReadForUnknownEra(area, progress, now);
  if (AskForLostChanges(area, progress, now)) return;
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
                                    const area_progress& progress,
                                    const mesh::source_position& of) const {
  const bool other_era = of.era != mirror_.Position(area).era;
  const bool introduces = of.era != 0 && !mirror_.IsIntroduced(area);
  if (progress.needs_list || other_era || introduces) {
    return export_form::kList;
  }
  if (area == source_area::kUpstreams || progress.needs_whole) {
    return export_form::kChanges;
  }
  return export_form::kPatches;
}

void peer_follower::Fetch(source_area area, area_progress* progress,
                          const std::string& peer) {
  progress->fetching = true;
  ++peer_rotation_;
  const auto* const asked = fleet_.peers.Find(peer);
  const mesh::source_position reported = asked == nullptr
                                             ? mesh::source_position{}
                                             : ReportedPosition(*asked, area);
  export_query query = {area, NextForm(area, *progress, reported),
                        mirror_.Position(area), reported.era != 0};
  // A list that refers to items which this daemon lacks was rejected.
  if (query.form == export_form::kList &&
      (progress->failures > 0 || progress->needs_whole)) {
    query.since = {};
  }
  transport_.Ask(
      peer, kPath + QueryText(query), kFetchTimeout,
      [this, area, progress, peer](const std::optional<std::string>& answer) {
        progress->fetching = false;
        OnAnswer(area, progress, peer, answer);
      });
}

void peer_follower::OnAnswer(source_area area, area_progress* progress,
                             const std::string& peer,
                             const std::optional<std::string>& answer) {
  using import_result = source_mirror::import_result;
  auto result = import_result::kRejected;
  if (answer && !answer->empty()) result = mirror_.Import(*answer);
  switch (result) {
    case import_result::kApplied:
      progress->failures = 0;
      progress->needs_whole = false;
      progress->needs_list = false;
      return;
    case import_result::kDiffers:
      progress->needs_list = true;
      net::Log(
          core::log_level::kInfo, "items differ from a peer's",
          {{"peer", peer}, {"revision", mesh::ToText(mirror_.Position(area))}});
      Fetch(area, progress, peer);
      return;
    case import_result::kRejected:
      break;
  }
  OnNoItems(area, progress, peer, answer.has_value());
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
  const auto query = ReadQuery(text);
  if (!query) {
    net::Log(core::log_level::kWarning, "request of a peer is unreadable",
             {{"target", target}});
    return {};
  }
  if (query->area == source_area::kUpstreams ||
      query->form == export_form::kPatches) {
    return mirror_.Export(*query);
  }
  return AnswerWhole(*query);
}

std::string peer_follower::AnswerWhole(const export_query& query) {
  const instant now = fleet_.loop.Now();
  std::string bytes = mirror_.Export(query);
  if (bytes.size() < kLargeAnswerBytes) return bytes;
  if (now - large_answer_sent_at_ < kMinLargeAnswerInterval) return {};
  large_answer_sent_at_ = now;
  return bytes;
}

}  // namespace pimentohall::node
