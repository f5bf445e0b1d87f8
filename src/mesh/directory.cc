#include <algorithm>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

bool operator==(const upstream& a, const upstream& b) {
  return a.id == b.id && a.service == b.service && a.address == b.address &&
         a.port == b.port && a.zone == b.zone && a.slots == b.slots &&
         a.draining == b.draining && a.warmup_left == b.warmup_left &&
         a.born_ms == b.born_ms && a.revision == b.revision;
}

void directory::Put(const upstream& what, instant now) {
  entries_[what.id] = {what, now, std::nullopt};
}

void directory::Remove(const std::string& id, duration grace, instant now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  // An upstream that said it is leaving didn't lapse.
  if (grace.count() <= 0 || found->second.what.draining) {
    entries_.erase(found);
    return;
  }
  if (!found->second.missing_until) {
    found->second.missing_until = now + grace;
  }
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
  for (const auto& [id, each] : entries_) {
    if (each.what.service != service || each.what.draining) continue;
    if (zones_out_.count(each.what.zone) != 0) continue;
    // The entry of a start that ended stays for a while.
    if (FindByAddress(each.what.address, each.what.port) != &each) continue;
    usable.push_back(&each);
  }
  return usable;
}

const directory::entry* directory::FindByAddress(std::string_view address,
                                                 int port) const {
  const entry* newest = nullptr;
  const auto age = [](const entry* of) {
    return std::make_pair(of->what.born_ms, of->what.revision);
  };
  for (const auto& [id, each] : entries_) {
    if (each.what.address != address || each.what.port != port) continue;
    if (newest == nullptr || age(&each) > age(newest)) newest = &each;
  }
  return newest;
}

std::vector<std::string> directory::Addresses() const {
  std::set<std::string> addresses;
  for (const auto& [id, each] : entries_) addresses.insert(each.what.address);
  return {addresses.begin(), addresses.end()};
}

}  // namespace pimentohall::mesh
