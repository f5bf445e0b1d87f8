#include "sim/source_model.h"

#include <algorithm>
#include <utility>

namespace pimentohall::sim {
namespace {

constexpr core::duration kLatency = std::chrono::milliseconds(3);

}  // namespace

std::string source_model::KeyOf(const core::read_source& read) {
  switch (read.key) {
    case core::source_key::kManifest:
      return "manifest";
    case core::source_key::kVmList:
      return "vms";
    case core::source_key::kPart:
      return "parts/" + read.digest;
  }
  return "";
}

const source_model::entry* source_model::Find(const std::string& key) const {
  const auto& entries = stale_ ? *stale_ : entries_;
  const auto found = entries.find(key);
  return found == entries.end() ? nullptr : &found->second;
}

void source_model::Put(const std::string& key, std::string value) {
  entries_[key] = {++index_, std::move(value)};
  if (!up_ || stale_) return;
  std::vector<watch> waiting;
  waiting.swap(watches_);
  for (watch& w : waiting) {
    if (KeyOf(w.read) == key) {
      Finish(w.read, w.done);
    } else {
      watches_.push_back(std::move(w));
    }
  }
}

void source_model::SetUp(bool up) {
  up_ = up;
  if (up) return;
  std::vector<watch> waiting;
  waiting.swap(watches_);
  for (const watch& w : waiting) Finish(w.read, w.done);
}

void source_model::SetStale(bool stale) {
  if (stale) {
    stale_ = entries_;
  } else {
    stale_.reset();
  }
}

void source_model::Read(const core::read_source& read, const reply& done) {
  ++reads_;
  const entry* found = Find(KeyOf(read));
  const bool waits =
      up_ && read.index != 0 && found != nullptr && found->index == read.index;
  if (!waits) return Finish(read, done);
  const std::uint64_t id = next_watch_++;
  watches_.push_back({id, read, done});
  queue_->After(read.wait, [this, id] {
    const auto it = std::find_if(watches_.begin(), watches_.end(),
                                 [id](const watch& w) { return w.id == id; });
    if (it == watches_.end()) return;
    const watch ended = std::move(*it);
    watches_.erase(it);
    Finish(ended.read, ended.done);
  });
}

void source_model::Finish(const core::read_source& read, const reply& done) {
  core::event event = core::source_failed{read.key, read.digest};
  if (up_) {
    core::source_value value;
    value.key = read.key;
    value.digest = read.digest;
    if (const entry* found = Find(KeyOf(read))) {
      value.index = found->index;
      value.value = found->value;
    }
    event = std::move(value);
  }
  queue_->After(kLatency, [done, event = std::move(event)] { done(event); });
}

}  // namespace pimentohall::sim
