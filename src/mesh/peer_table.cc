#include <xxhash.h>

#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

// A daemon is forgotten after this long without news.
constexpr duration kForgetAfter = std::chrono::minutes(1);
// Longer periods in news are treated as this one.
constexpr duration kMaxPeriod = std::chrono::seconds(5);

// The order in which daemons are selected; every daemon computes the same one.
std::pair<std::uint32_t, std::string_view> Rank(std::string_view address) {
  return {XXH32(address.data(), address.size(), 0), address};
}

bool IsFresh(const peer_table::peer& checked, instant now) {
  return now - checked.heard_at <= checked.silence;
}

}  // namespace

peer_table::change peer_table::OnNews(const peer_news& news, instant now) {
  const auto known = peers_.find(news.address);
  change result = change::kUpdate;
  if (known == peers_.end()) {
    result = change::kFirst;
  } else if (known->second.boot != news.boot) {
    result = change::kNewBoot;
  } else if (news.sequence <= known->second.sequence) {
    return change::kStale;
  } else if (now - known->second.heard_at > known->second.silence) {
    result = change::kReturned;
  }
  peer& sender = peers_[news.address];
  if (result == change::kNewBoot) sender = peer{};
  sender.address = news.address;
  sender.boot = news.boot;
  sender.sequence = news.sequence;
  sender.heard_at = now;
  sender.silence =
      std::max(kSilenceTimeout,
               std::chrono::duration_cast<duration>(
                   std::min(news.period, kMaxPeriod) * kSilenceTimeoutPeriods));
  if (news.heard_boot == own_boot_) sender.echoed_at = now;
  sender.stopping = news.stopping;
  sender.reads_source = news.reads_source;
  sender.settings_position = news.settings_position;
  sender.upstreams_position = news.upstreams_position;
  sender.uptime_ms = news.uptime_ms;
  return result;
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

bool peer_table::IsSelected(std::size_t count, instant now) const {
  return CountBefore([](const peer&) { return true; }, now) < count;
}

bool peer_table::IsSelected(std::size_t count,
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
    it = now - it->second.heard_at > kForgetAfter ? peers_.erase(it)
                                                  : std::next(it);
  }
}

}  // namespace pimentohall::mesh
