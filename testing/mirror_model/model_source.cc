#include "mirror_model/model_source.h"

#include <algorithm>

namespace pimentohall::testing {
namespace {

using node::source_area;
using node::source_item;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kPageItems = 3;
constexpr std::size_t kMaxCopies = 200;

bool IsIn(source_area area, const std::string& key) {
  const char* const prefix =
      area == source_area::kSettings ? "op/" : "servers/";
  return key.rfind(prefix, 0) == 0;
}

}  // namespace

core::duration model_source::Latency() {
  // Some answers are slow enough to arrive after an era has changed.
  const bool slow = std::uniform_int_distribution<int>(0, 19)(random_) == 0;
  return microseconds(
      std::uniform_int_distribution<int>(500, slow ? 400000 : 6000)(random_));
}

void model_source::Answer(const handler& done, page answer) {
  events_.After(Latency(),
                [done, answer = std::move(answer)] { done(answer); });
}

std::uint64_t model_source::Put(const std::string& key,
                                const std::string& value) {
  items_[key] = {key, value, ++revision_, false};
  history_.push_back(items_[key]);
  Notify();
  return revision_;
}

void model_source::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back({key, "", ++revision_, true});
  Notify();
}

const std::string* model_source::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second.value;
}

void model_source::Compact() {
  history_.clear();
  oldest_ = revision_;
}

void model_source::TakeCopy() {
  copies_.push_back({events_.now, revision_, items_});
  if (copies_.size() > kMaxCopies) copies_.erase(copies_.begin());
}

core::instant model_source::Restore(core::duration age) {
  const state* chosen = &copies_.front();
  for (const state& each : copies_) {
    if (each.at <= events_.now - age) chosen = &each;
  }
  revision_ = chosen->revision;
  items_ = chosen->items;
  history_.erase(std::remove_if(history_.begin(), history_.end(),
                                [this](const source_item& each) {
                                  return each.revision > revision_;
                                }),
                 history_.end());
  oldest_ = std::min(oldest_, revision_);
  if (oldest_ == revision_) history_.clear();
  ++era_;
  const core::instant taken_at = chosen->at;
  // Some watches are cut; the others are never answered.
  for (const waiting& each : std::exchange(watches_, {})) {
    if (std::uniform_int_distribution<int>(0, 1)(random_) == 0) {
      Answer(each.done, tl::unexpected(node::source_problem::kUnreachable));
    }
  }
  return taken_at;
}

bool model_source::Serves(const handler& done) {
  ++calls_;
  if (mode_ == mode::kServing) return true;
  if (mode_ == mode::kRefusing) {
    Answer(done, tl::unexpected(node::source_problem::kRefused));
  }
  return false;
}

void model_source::ReadPage(source_area area, const std::string& after,
                            bool stale, const handler& done) {
  events_.After(Latency(), [=] {
    if (!Serves(done)) return;
    const std::map<std::string, source_item>* items = &items_;
    if (stale && !copies_.empty()) {
      // Up to 3 s old, also of the era before.
      const std::size_t most = std::min<std::size_t>(copies_.size(), 30);
      const auto age =
          std::uniform_int_distribution<std::size_t>(0, most - 1)(random_);
      items = &copies_[copies_.size() - 1 - age].items;
    }
    node::source_page answer;
    answer.revision = revision_;
    answer.era = ShownEra();
    for (const auto& [key, item] : *items) {
      if (!IsIn(area, key) || key <= after) continue;
      if (answer.items.size() == kPageItems) {
        answer.has_more = true;
        break;
      }
      answer.items.push_back(item);
    }
    Answer(done, std::move(answer));
  });
}

void model_source::Watch(source_area area, std::uint64_t after,
                         core::duration wait, const handler& done) {
  events_.After(Latency(), [=] {
    if (!Serves(done)) return;
    if (after < oldest_ || after > revision_) {
      Answer(done, tl::unexpected(node::source_problem::kHistoryGone));
      return;
    }
    const waiting added = {++last_watch_, area, after, done};
    if (AnswerEvents(added)) return;
    watches_.push_back(added);
    events_.After(wait, [this, id = added.id, done] {
      const auto found =
          std::find_if(watches_.begin(), watches_.end(),
                       [id](const waiting& each) { return each.id == id; });
      if (found == watches_.end()) return;
      watches_.erase(found);
      Answer(done, node::source_page{{}, false, revision_, ShownEra()});
    });
  });
}

bool model_source::AnswerEvents(const waiting& watch) {
  node::source_page answer;
  answer.revision = revision_;
  answer.era = ShownEra();
  for (const source_item& each : history_) {
    if (each.revision > watch.after && IsIn(watch.area, each.key)) {
      answer.items.push_back(each);
    }
  }
  if (answer.items.empty()) return false;
  Answer(watch.done, std::move(answer));
  return true;
}

void model_source::Notify() {
  if (mode_ != mode::kServing) return;
  watches_.remove_if(
      [this](const waiting& each) { return AnswerEvents(each); });
}

}  // namespace pimentohall::testing
