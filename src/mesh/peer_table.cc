#include <xxhash.h>

#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

// A daemon that was silent for this long is forgotten.
constexpr duration kMemory = std::chrono::minutes(1);

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
  } else if (now - known->second.heard_at > kSilence) {
    what = change::kBack;
  }
  peer& at = peers_[news.address];
  if (what == change::kNewBoot) at = peer{};
  at.address = news.address;
  at.boot = news.boot;
  at.sequence = news.sequence;
  at.heard_at = now;
  if (news.heard_boot == own_boot_) at.echoed_at = now;
  at.stopping = news.stopping;
  at.settings_revision = news.settings_revision;
  at.upstreams_revision = news.upstreams_revision;
  at.uptime_ms = news.uptime_ms;
  return what;
}

bool peer_table::IsReachable(std::string_view address, instant now) const {
  if (address == own_address_) return true;
  const auto found = peers_.find(address);
  return found != peers_.end() && now - found->second.heard_at <= kSilence &&
         now - found->second.echoed_at <= kSilence;
}

bool peer_table::IsHeard(std::string_view address, instant now) const {
  if (address == own_address_) return true;
  const auto found = peers_.find(address);
  return found != peers_.end() && now - found->second.heard_at <= kSilence;
}

const peer_table::peer* peer_table::Find(std::string_view address) const {
  const auto found = peers_.find(address);
  return found == peers_.end() ? nullptr : &found->second;
}

std::size_t peer_table::CountHeard(instant now) const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [now](const auto& each) {
        return now - each.second.heard_at <= kSilence;
      }));
}

bool peer_table::IsOneOf(std::size_t count, instant now) const {
  const auto rank = [](std::string_view address) {
    return std::make_pair(XXH32(address.data(), address.size(), 0), address);
  };
  const auto own = rank(own_address_);
  const auto before =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& each) {
        return now - each.second.heard_at <= kSilence && rank(each.first) < own;
      });
  return static_cast<std::size_t>(before) < count;
}

void peer_table::Forget(instant now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = now - it->second.heard_at > kMemory ? peers_.erase(it) : std::next(it);
  }
}

}  // namespace pimentohall::mesh
