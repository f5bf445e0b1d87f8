// Tests of the copy of the source against scripted answers of the source.

#include "node/source_mirror.h"

#include <doctest/doctest.h>

#include <deque>

#include "net_harness.h"
#include "node/call_header.h"
#include "platform/platform.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;

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

source_item Item(const std::string& key, std::uint64_t revision) {
  return {key, key + "@" + std::to_string(revision), revision, false};
}

source_item Removal(const std::string& key, std::uint64_t revision) {
  return {key, "", revision, true};
}

// A daemon's copy of the source, and the items that it put in force.
struct mirrored {
  mirrored()
      : platform(platform::MakeAdapter(net.loop, net.timers, {"127.0.0.1", 1})),
        fleet(net.loop, net.timers, {}, *platform.dialect, 1),
        mirror(fleet, source) {
    mirror.on_item = [this](source_area, const source_item& item, duration) {
      if (item.removed) {
        in_force.erase(item.key);
      } else {
        in_force[item.key] = item.revision;
      }
    };
    mirror.Start();
  }

  // Answers the first reads; the settings are empty.
  void Start(source_page upstreams) {
    source.AnswerRead(source_area::kSettings, {{}, false, upstreams.revision});
    source.AnswerRead(source_area::kUpstreams, std::move(upstreams));
    REQUIRE(net.RunUntil(
        [this] { return !source.watches[source_area::kUpstreams].empty(); }));
  }

  net::net_harness net;
  adapter platform;
  fleet_state fleet;
  scripted_source source;
  source_mirror mirror;
  std::map<std::string, std::uint64_t> in_force;
};

// Guards against CONFIG in review/2: pages of a first read differ in age, and
// changes between their ages were never watched for.
TEST_CASE("a first read is complete up to its oldest page only") {
  mirrored daemon;
  // Revision 7, a change of `a`, is younger than the first page.
  daemon.source.AnswerRead(source_area::kUpstreams, {{Item("a", 5)}, true, 9});
  daemon.source.AnswerRead(source_area::kUpstreams, {{Item("b", 9)}, false, 9});
  CHECK(daemon.mirror.Revision(source_area::kUpstreams) == 5);
  daemon.source.AnswerRead(source_area::kSettings, {{}, false, 9});
  REQUIRE(daemon.net.RunUntil([&daemon] {
    return !daemon.source.watches[source_area::kUpstreams].empty();
  }));
  CHECK(daemon.source.watches[source_area::kUpstreams].front().revision == 5);
  daemon.source.AnswerWatch(
      source_area::kUpstreams,
      source_page{{Item("a", 7), Item("b", 9)}, false, 9});
  CHECK(daemon.in_force["a"] == 7);
  CHECK(daemon.mirror.Revision(source_area::kUpstreams) == 9);
}

// The same for a page without items: nothing is known of its age.
TEST_CASE("a first read with an empty last page is complete up to nothing") {
  mirrored daemon;
  daemon.source.AnswerRead(source_area::kUpstreams, {{Item("a", 5)}, true, 9});
  daemon.source.AnswerRead(source_area::kUpstreams, {{}, false, 9});
  CHECK(daemon.mirror.Revision(source_area::kUpstreams) == 0);
}

// Guards against an upstream that comes back: a watch was answered late, after
// a peer had told of a removal that is newer than the answer.
TEST_CASE("a late answer of a watch doesn't undo a newer removal") {
  const auto area = source_area::kUpstreams;
  mirrored daemon;
  mirrored peer;
  daemon.Start({{Item("a", 5), Item("b", 6)}, false, 6});
  peer.Start({{Item("a", 5), Item("b", 6)}, false, 6});
  peer.source.AnswerWatch(
      area, source_page{{Item("a", 7), Removal("a", 9)}, false, 9});
  CHECK(daemon.mirror.Import(peer.mirror.Export(
            area, 6, source_mirror::export_form::kChanges)) ==
        source_mirror::import_result::kApplied);
  CHECK(daemon.in_force.count("a") == 0);
  daemon.source.AnswerWatch(area, source_page{{Item("a", 7)}, false, 7});
  CHECK(daemon.in_force.count("a") == 0);
  CHECK(daemon.mirror.Revision(area) == 9);
}

// The same for a read, when the copy is still without other changes of the
// peer.
TEST_CASE("a late answer of a read doesn't undo a newer removal") {
  const auto area = source_area::kUpstreams;
  mirrored daemon;
  mirrored peer;
  daemon.Start({{Item("a", 5), Item("b", 6)}, false, 6});
  peer.Start({{Item("a", 5), Item("b", 6), Item("x", 4)}, false, 6});
  peer.source.AnswerWatch(area, source_page{{Removal("a", 9)}, false, 9});
  daemon.source.AnswerWatch(area, tl::unexpected(source_problem::kHistoryGone));
  CHECK(daemon.mirror.Import(peer.mirror.Export(
            area, 6, source_mirror::export_form::kChanges)) ==
        source_mirror::import_result::kDiffers);
  CHECK(daemon.in_force.count("a") == 0);
  daemon.source.AnswerRead(
      area, {{Item("a", 5), Item("b", 6), Item("x", 4)}, false, 7});
  CHECK(daemon.in_force.count("a") == 0);
  CHECK(daemon.in_force.count("x") == 1);
}

// Guards against a copy that stays without an item which its peers take for
// held.
TEST_CASE("a list from the beginning brings items that were missed") {
  const auto area = source_area::kUpstreams;
  using form = source_mirror::export_form;
  using result = source_mirror::import_result;
  mirrored daemon;
  mirrored peer;
  daemon.Start({{Item("b", 6)}, false, 6});
  peer.Start({{Item("a", 5), Item("b", 6)}, false, 6});
  peer.source.AnswerWatch(area, source_page{{Item("c", 8)}, false, 8});
  CHECK(daemon.mirror.Import(peer.mirror.Export(area, 6, form::kChanges)) ==
        result::kDiffers);
  CHECK(daemon.mirror.Import(peer.mirror.Export(area, 6, form::kList)) ==
        result::kRejected);
  CHECK(daemon.mirror.Revision(area) == 6);
  CHECK(daemon.mirror.Import(peer.mirror.Export(area, 0, form::kList)) ==
        result::kApplied);
  CHECK(daemon.mirror.Revision(area) == 8);
  CHECK(daemon.in_force == peer.in_force);
}

// Guards against an upstream that is lost until its next change: the daemon
// held it from a later page of a read, and the peer's list is older than that.
TEST_CASE("a list that is older than an item doesn't remove it") {
  const auto area = source_area::kUpstreams;
  mirrored daemon;
  mirrored peer;
  daemon.Start({{Item("a", 5)}, false, 6});
  daemon.source.AnswerWatch(area, tl::unexpected(source_problem::kHistoryGone));
  daemon.source.AnswerRead(area, {{Item("a", 5)}, true, 6});
  daemon.source.AnswerRead(area, {{Item("c", 9)}, false, 9});
  CHECK(daemon.in_force.count("c") == 1);
  peer.Start({{Item("a", 5), Item("b", 7)}, false, 7});
  using form = source_mirror::export_form;
  CHECK(daemon.mirror.Import(peer.mirror.Export(area, 6, form::kChanges)) ==
        source_mirror::import_result::kDiffers);
  CHECK(daemon.mirror.Import(peer.mirror.Export(area, 6, form::kList)) ==
        source_mirror::import_result::kApplied);
  CHECK(daemon.in_force.count("b") == 1);
  CHECK(daemon.in_force.count("c") == 1);
}

}  // namespace
}  // namespace pimentohall::node
