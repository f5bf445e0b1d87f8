#include "node/crash_follower.h"

#include <algorithm>
#include <vector>

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kFetchTimeout = milliseconds(800);
// Between two requests. The longer time is reached where no peer answers, such
// as those of earlier versions.
constexpr duration kFirstRetryDelay = milliseconds(200);
constexpr duration kLongestRetryDelay = seconds(5);
// A daemon that has heard no elder peer for this long since its start was among
// the first.
constexpr duration kElderWait = milliseconds(1500);
// After a partition, those of the other side have mostly seen the same crashes.
constexpr std::size_t kMaxReturned = 3;

constexpr char kPath[] = "/pimentohall/crashes";

}  // namespace

crash_follower::crash_follower(fleet_state& fleet, egress& egress,
                               peer_transport& transport)
    : fleet_(fleet),
      egress_(egress),
      transport_(transport),
      retry_delay_(kFirstRetryDelay),
      rotation_(fleet.boot) {}

bool crash_follower::IsComplete(instant now) const {
  if (is_introduced_) return true;
  return now - fleet_.started_at >= kElderWait &&
         fleet_.peers.CountHeard(now) > 0 && !fleet_.HearsElder(now);
}

std::string crash_follower::FindPeer(instant now) const {
  if (IsComplete(now)) return returned_.empty() ? "" : *returned_.begin();
  std::vector<std::string> elders;
  std::vector<std::string> near_elders;
  std::vector<std::string> others;  // Which an elder may have told meanwhile.
  for (const auto& [address, peer] : fleet_.peers.Peers()) {
    if (!fleet_.peers.IsHeard(address, now)) continue;
    const bool is_elder = fleet_.IsElder(peer, now);
    (is_elder ? elders : others).push_back(address);
    if (is_elder && !fleet_.IsFar(address)) near_elders.push_back(address);
  }
  const bool has_failed = retry_delay_ != kFirstRetryDelay;
  const std::vector<std::string>& found = !near_elders.empty() && !has_failed
                                              ? near_elders
                                          : !elders.empty() ? elders
                                                            : others;
  return found.empty() ? "" : found[rotation_ % found.size()];
}

void crash_follower::Check() {
  const instant now = fleet_.loop.Now();
  if (asking_ || now < due_) return;
  const std::string peer = FindPeer(now);
  if (peer.empty()) return;
  asking_ = true;
  ++rotation_;
  returned_.erase(peer);
  transport_.Ask(peer, kPath, kFetchTimeout,
                 [this, peer](const std::optional<std::string>& answer) {
                   asking_ = false;
                   due_ = fleet_.loop.Now() + retry_delay_;
                   OnAnswer(peer, answer);
                 });
}

void crash_follower::OnAnswer(const std::string& peer,
                              const std::optional<std::string>& answer) {
  const auto history = answer ? mesh::DecodeCrashHistory(*answer)
                              : tl::expected<mesh::crash_history, std::string>(
                                    tl::unexpected(std::string("no answer")));
  net::Log(core::log_level::kInfo, "asked a peer for crashes",
           {{"peer", peer},
            {"reports", history ? std::to_string(history->reports.size()) : ""},
            {"complete", history && history->is_complete ? "yes" : "no"},
            {"problem", history ? "" : history.error()}});
  if (!history || !history->is_complete) {
    retry_delay_ = std::min(2 * retry_delay_, kLongestRetryDelay);
  }
  if (!history) return;
  for (const core::crash_report& report : history->reports) {
    egress_.OnCrashNews(report);
  }
  if (history->is_complete) {
    is_introduced_ = true;
    retry_delay_ = kFirstRetryDelay;
  }
}

void crash_follower::OnPeerReturned(const std::string& address) {
  if (returned_.size() < kMaxReturned) returned_.insert(address);
}

std::string crash_follower::Answer() const {
  return mesh::EncodeCrashHistory(
      {IsComplete(fleet_.loop.Now()), egress_.KnownCrashes()});
}

}  // namespace pimentohall::node
