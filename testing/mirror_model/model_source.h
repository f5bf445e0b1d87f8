#ifndef PIMENTOHALL_TESTING_MIRROR_MODEL_MODEL_SOURCE_H_
#define PIMENTOHALL_TESTING_MIRROR_MODEL_MODEL_SOURCE_H_

// A source in virtual time: items, history, watches, reads that may be stale,
// and copies to come back from.

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "mirror_model/schedule.h"
#include "pimentohall/node.h"

namespace pimentohall::testing {

class model_source {
 public:
  using handler = node::source_reader::handler;
  using page = tl::expected<node::source_page, node::source_problem>;

  enum class mode { kServing, kRefusing, kSilent };

  model_source(schedule& events, std::mt19937_64& random)
      : events_(events), random_(random) {}

  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // The value of a key; null: none.
  const std::string* Find(const std::string& key) const;
  const std::map<std::string, node::source_item>& Items() const {
    return items_;
  }
  void Compact();
  void SetMode(mode chosen) { mode_ = chosen; }
  // Goes back to the state of `age` ago, in a new era.
  core::instant Restore(core::duration age);
  // To be called often: states to come back from, and for stale reads.
  void TakeCopy();
  // Without eras, as daemons see a source of earlier versions of this platform.
  void HideEras() { shows_eras_ = false; }

  // Both answer later, by `done`; it may be dropped.
  void ReadPage(node::source_area area, const std::string& after, bool stale,
                const handler& done);
  void Watch(node::source_area area, std::uint64_t after, core::duration wait,
             const handler& done);

  int Calls() const { return calls_; }
  std::uint64_t Revision() const { return revision_; }

 private:
  struct state {
    core::instant at{};
    std::uint64_t revision = 0;
    std::map<std::string, node::source_item> items;
  };
  struct waiting {
    std::uint64_t id;
    node::source_area area;
    std::uint64_t after;
    handler done;
  };

  core::duration Latency();
  std::uint64_t ShownEra() const { return shows_eras_ ? era_ : 0; }
  void Answer(const handler& done, page answer);
  // False if the call fails in the present mode.
  bool Serves(const handler& done);
  bool AnswerEvents(const waiting& watch);
  void Notify();

  schedule& events_;
  std::mt19937_64& random_;
  mode mode_ = mode::kServing;
  bool shows_eras_ = true;
  std::uint64_t era_ = 1;
  std::uint64_t revision_ = 100;
  std::uint64_t oldest_ = 100;  // Changes after this are held.
  int calls_ = 0;
  std::map<std::string, node::source_item> items_;
  std::vector<node::source_item> history_;
  std::vector<state> copies_;
  std::list<waiting> watches_;
  std::uint64_t last_watch_ = 0;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_MIRROR_MODEL_MODEL_SOURCE_H_
