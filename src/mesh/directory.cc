#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

bool operator==(const upstream& a, const upstream& b) {
  return a.id == b.id && a.service == b.service && a.address == b.address &&
         a.port == b.port && a.zone == b.zone && a.slots == b.slots &&
         a.draining == b.draining && a.warmup_left == b.warmup_left &&
         a.born_ms == b.born_ms && a.reports == b.reports &&
         a.revision == b.revision;
}

void directory::Put(const upstream& listed, instant now) {
  entries_[listed.id] = {listed, now, std::nullopt};
}

void directory::Remove(const std::string& id, duration grace, instant now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  // The entry of a draining upstream was removed on purpose and didn't just
  // expire.
  if (grace.count() <= 0 || found->second.what.draining) {
    entries_.erase(found);
    return;
  }
  if (!found->second.missing_until) {
    found->second.missing_until = now + grace;
  }
}

void directory::SetRevision(const std::string& id, std::uint64_t revision) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) found->second.what.revision = revision;
}

void directory::Drop(const std::string& id) { entries_.erase(id); }

bool directory::Expire(instant now) {
  bool dropped = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto& until = it->second.missing_until;
    if (until && *until <= now) {
      it = entries_.erase(it);
      dropped = true;
    } else {
      ++it;
    }
  }
  return dropped;
}

std::vector<const directory::entry*> directory::Usable(
    std::string_view service) const {
  std::vector<const entry*> usable;
  for (const auto& [id, entry] : entries_) {
    if (entry.what.service != service || entry.what.draining) continue;
    if (zones_out_.count(entry.what.zone) != 0) continue;
    // The entry of an ended start stays listed for a while.
    if (FindByAddress(entry.what.address, entry.what.port) != &entry) continue;
    usable.push_back(&entry);
  }
  return usable;
}

const directory::entry* directory::FindByAddress(std::string_view address,
                                                 int port) const {
  const entry* newest = nullptr;
  const auto order = [](const entry* listed) {
    return std::make_pair(listed->what.born_ms, listed->what.revision);
  };
  for (const auto& [id, entry] : entries_) {
    if (entry.what.address != address || entry.what.port != port) continue;
    if (newest == nullptr || order(&entry) > order(newest)) newest = &entry;
  }
  return newest;
}

std::vector<std::string> directory::Addresses() const {
  std::set<std::string> addresses;
  for (const auto& [id, entry] : entries_) addresses.insert(entry.what.address);
  return {addresses.begin(), addresses.end()};
}

}  // namespace pimentohall::mesh
