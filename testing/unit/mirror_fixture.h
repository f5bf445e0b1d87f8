#ifndef PIMENTOHALL_UNIT_MIRROR_FIXTURE_H_
#define PIMENTOHALL_UNIT_MIRROR_FIXTURE_H_

// A copy of the source in virtual time, with scripted answers of the source.

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <string>

#include "mirror_model/virtual_harness.h"
#include "node/source_mirror.h"
#include "platform/platform.h"

namespace pimentohall::node {

// A source that answers when the test says so.
class scripted_source : public source_reader {
 public:
  struct watch_call {
    std::uint64_t revision = 0;
    handler done;
  };

  void ReadPage(source_area area, const std::string&, read_consistency,
                duration, handler done) override {
    reads[area].push_back(std::move(done));
  }
  void Watch(source_area area, std::uint64_t revision, duration, duration,
             handler done) override {
    watches[area].push_back({revision, std::move(done)});
  }

  void AnswerRead(source_area area, source_page page) {
    REQUIRE(!reads[area].empty());
    const handler done = std::move(reads[area].front());
    reads[area].pop_front();
    done(std::move(page));
  }
  void AnswerWatch(source_area area,
                   tl::expected<source_page, source_problem> page) {
    REQUIRE(!watches[area].empty());
    const handler done = std::move(watches[area].front().done);
    watches[area].pop_front();
    done(std::move(page));
  }

  std::map<source_area, std::deque<handler>> reads;
  std::map<source_area, std::deque<watch_call>> watches;
};

inline source_item Item(const std::string& key, std::uint64_t revision) {
  return {key, key + "@" + std::to_string(revision), revision, false};
}

inline source_item Removal(const std::string& key, std::uint64_t revision) {
  return {key, "", revision, true};
}

// A daemon's copy of the source, and the items that it put in force.
struct mirrored {
  mirrored()
      : platform(platform::MakeAdapter(net.loop, net.timers, {"127.0.0.1", 1})),
        fleet(net.loop, net.timers, {}, *platform.dialect, 1),
        mirror(fleet, source, *platform.decoder) {
    mirror.on_item = [this](const source_mirror::item_change& change) {
      if (change.item.removed) {
        in_force.erase(change.item.key);
        values.erase(change.item.key);
      } else {
        in_force[change.item.key] = change.item.revision;
        values[change.item.key] = change.item.value;
      }
    };
    mirror.Start();
  }

  // Answers the first reads; the settings are empty.
  void Start(source_page upstreams) {
    source.AnswerRead(source_area::kSettings,
                      {{}, false, upstreams.revision, upstreams.era});
    source.AnswerRead(source_area::kUpstreams, std::move(upstreams));
    net.RunFor(std::chrono::seconds(2));
    REQUIRE(!source.watches[source_area::kUpstreams].empty());
  }

  // Answers the first reads, and those that tell the copy's place in an era.
  void StartInEra(const source_page& settings, const source_page& upstreams) {
    for (int round = 0; round < 2; ++round) {
      source.AnswerRead(source_area::kSettings, settings);
      source.AnswerRead(source_area::kUpstreams, upstreams);
      net.RunFor(std::chrono::seconds(2));
    }
    REQUIRE(!source.watches[source_area::kUpstreams].empty());
    REQUIRE(!source.watches[source_area::kSettings].empty());
  }

  net::virtual_harness net;
  adapter platform;
  fleet_state fleet;
  scripted_source source;
  source_mirror mirror;
  std::map<std::string, std::uint64_t> in_force;  // Revisions by key.
  std::map<std::string, std::string> values;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_UNIT_MIRROR_FIXTURE_H_
