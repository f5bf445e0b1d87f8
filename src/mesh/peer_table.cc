#include <xxhash.h>

#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

// A daemon that was silent for this long is forgotten.
constexpr duration kMemory = std::chrono::minutes(1);
// The longest period that a daemon may tell.
constexpr duration kMaxPeriod = std::chrono::seconds(5);

// The order in which daemons are chosen, the same for all.
std::pair<std::uint32_t, std::string_view> Rank(std::string_view address) {
  return {XXH32(address.data(), address.size(), 0), address};
}

bool IsFresh(const peer_table::peer& which, instant now) {
  return now - which.heard_at <= which.silence;
}

}  // namespace

peer_table::change peer_table::OnNews(const peer_news& news, instant now) {
  const auto known = peers_.find(news.address);
  change what = change::kUpdate;
  if (known == peers_.end()) {
    what = change::kFirst;
  } else if (known->second.boot != news.boot) {
    what = change::kNewBoot;
  } else if (news.sequence <= known->second.sequence) {
    return change::kStale;
  } else if (now - known->second.heard_at > known->second.silence) {
    what = change::kBack;
  }
  peer& at = peers_[news.address];
  if (what == change::kNewBoot) at = peer{};
  at.address = news.address;
  at.boot = news.boot;
  at.sequence = news.sequence;
  at.heard_at = now;
  at.silence = std::max(
      kSilence, std::chrono::duration_cast<duration>(
                    std::min(news.period, kMaxPeriod) * kSilencePeriods));
  if (news.heard_boot == own_boot_) at.echoed_at = now;
  at.stopping = news.stopping;
  at.reads_source = news.reads_source;
  at.settings_revision = news.settings_revision;
  at.upstreams_revision = news.upstreams_revision;
  at.uptime_ms = news.uptime_ms;
  return what;
}

bool peer_table::IsReachable(std::string_view address, instant now) const {
  if (address == own_address_) return true;
  const auto found = peers_.find(address);
  return found != peers_.end() && IsFresh(found->second, now) &&
         now - found->second.echoed_at <= found->second.silence;
}

bool peer_table::IsHeard(std::string_view address, instant now) const {
  if (address == own_address_) return true;
  const auto found = peers_.find(address);
  return found != peers_.end() && IsFresh(found->second, now);
}

const peer_table::peer* peer_table::Find(std::string_view address) const {
  const auto found = peers_.find(address);
  return found == peers_.end() ? nullptr : &found->second;
}

std::size_t peer_table::CountHeard(instant now) const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [now](const auto& each) { return IsFresh(each.second, now); }));
}

std::size_t peer_table::CountBefore(bool (*counts)(const peer&),
                                    instant now) const {
  const auto own = Rank(own_address_);
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& each) {
        return IsFresh(each.second, now) && counts(each.second) &&
               Rank(each.first) < own;
      }));
}

bool peer_table::IsOneOf(std::size_t count, instant now) const {
  return CountBefore([](const peer&) { return true; }, now) < count;
}

bool peer_table::IsOneOf(std::size_t count,
                         const std::vector<std::string>& addresses) const {
  const auto own = Rank(own_address_);
  const auto before = std::count_if(
      addresses.begin(), addresses.end(),
      [&own](const std::string& each) { return Rank(each) < own; });
  return static_cast<std::size_t>(before) < count;
}

std::size_t peer_table::CountReadersBefore(instant now) const {
  return CountBefore([](const peer& each) { return each.reads_source; }, now);
}

void peer_table::Forget(instant now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = now - it->second.heard_at > kMemory ? peers_.erase(it) : std::next(it);
  }
}

}  // namespace pimentohall::mesh
