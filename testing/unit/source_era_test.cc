// Tests of the copy of a source that comes back from an older copy: its
// revisions are given out again, in a new era.

#include <memory>

#include "mirror_fixture.h"
#include "mirror_model/documents.h"
#include "node/carry_rules.h"

namespace pimentohall::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using export_form = source_mirror::export_form;
using result = source_mirror::import_result;
constexpr auto kSettings = source_area::kSettings;
constexpr auto kUpstreams = source_area::kUpstreams;

source_item Entry(const std::string& id, std::uint64_t revision, int reports,
                  const std::string& state = "ready",
                  std::uint64_t born = 1000) {
  return {"servers/" + id, testing::EntryDocument(reports, state, born),
          revision, false};
}

source_item Config(int version, std::uint64_t revision, std::size_t size = 0) {
  return {"op/config", testing::ConfigDocument(version, size), revision, false};
}

source_item Evacuation(std::uint64_t revision) {
  return {"op/evacuate/z", "{}", revision, false};
}

source_page Page(std::vector<source_item> items, std::uint64_t revision,
                 std::uint64_t era) {
  return {std::move(items), false, revision, era};
}

// A daemon in era 1, at revision 20.
struct in_first_era : mirrored {
  explicit in_first_era(std::vector<source_item> upstreams,
                        std::vector<source_item> settings = {}) {
    StartInEra(Page(std::move(settings), 20, 1),
               Page(std::move(upstreams), 20, 1));
  }

  // The source is back with this content; both areas are read anew.
  void Return(std::vector<source_item> upstreams,
              std::vector<source_item> settings, std::uint64_t revision,
              std::uint64_t era) {
    for (const source_area area : kSourceAreas) {
      source.AnswerWatch(area, Page({}, revision, era));
    }
    net.RunFor(milliseconds(200));
    source.AnswerRead(kSettings, Page(std::move(settings), revision, era));
    source.AnswerRead(kUpstreams, Page(std::move(upstreams), revision, era));
    net.RunFor(milliseconds(10));
  }
  void Event(source_area area, source_item item, std::uint64_t era) {
    const std::uint64_t revision = item.revision;
    source.AnswerWatch(area, Page({std::move(item)}, revision, era));
    net.RunFor(milliseconds(300));
  }
  // Maintenance runs every 0.1 s in a daemon; the source answers watches.
  void RunFor(core::duration time) {
    for (core::duration run{0}; run < time; run += milliseconds(100)) {
      net.RunFor(milliseconds(100));
      mirror.RunMaintenance();
      for (const source_area area : kSourceAreas) {
        if (!answers_watches || source.watches[area].empty()) continue;
        const mesh::source_position at = mirror.Position(area);
        source.AnswerWatch(area, Page({}, at.revision, at.era));
      }
    }
  }
  bool answers_watches = true;
  std::map<std::string, std::string> Upstreams() const {
    auto upstreams = values;
    upstreams.erase("op/config");
    return upstreams;
  }
  bool Draining(const std::string& id) {
    return values["servers/" + id].find("draining") != std::string::npos;
  }
  bool HasVersion(int version) {
    return values["op/config"].find("\"r" + std::to_string(version) + "\"") !=
           std::string::npos;
  }
};

// Guards against the incident of issue 38 (CONFIG, DRAIN): copies that followed
// nothing until the source's counter had passed their own.
TEST_CASE("a copy follows a source that came back with lower revisions") {
  in_first_era daemon({Entry("a", 12, 1), Entry("b", 13, 1)}, {Config(1, 11)});
  daemon.Return({Entry("a", 12, 1), Entry("b", 13, 1)}, {Config(1, 11)}, 14, 2);
  CHECK(daemon.mirror.Position(kUpstreams) == mesh::source_position{2, 14});
  REQUIRE(!daemon.source.watches[kUpstreams].empty());
  CHECK(daemon.source.watches[kUpstreams].front().revision == 14);
  daemon.Event(kUpstreams, Removal("servers/b", 15), 2);
  daemon.Event(kSettings, Config(2, 16), 2);
  CHECK(daemon.in_force.count("servers/b") == 0);
  CHECK(daemon.in_force["op/config"] == 16);
  CHECK(daemon.mirror.ChangePosition(kSettings) ==
        mesh::source_position{2, 16});
}

TEST_CASE("an answer of the era before that comes late is dropped") {
  in_first_era daemon({Entry("a", 12, 1)});
  // The settings' watch tells of the new era; the upstreams' is still waiting.
  daemon.source.AnswerWatch(kSettings, Page({}, 14, 2));
  REQUIRE(!daemon.source.reads[kUpstreams].empty());
  daemon.source.AnswerWatch(kUpstreams, Page({Entry("old", 22, 1)}, 22, 1));
  CHECK(daemon.in_force.count("servers/old") == 0);
  // The read that was begun then is answered by the era before, too.
  daemon.source.AnswerRead(kUpstreams, Page({Entry("old", 22, 1)}, 22, 1));
  CHECK(daemon.in_force.count("servers/old") == 0);
  CHECK(daemon.source.reads[kUpstreams].empty());
  daemon.net.RunFor(milliseconds(200));
  daemon.source.AnswerRead(kUpstreams, Page({Entry("a", 12, 1)}, 14, 2));
  CHECK(daemon.mirror.Position(kUpstreams) == mesh::source_position{2, 14});
}

TEST_CASE("an era that changes between two pages begins the list anew") {
  in_first_era daemon({Entry("a", 12, 1)});
  daemon.source.AnswerWatch(kUpstreams,
                            tl::unexpected(source_problem::kHistoryGone));
  daemon.source.AnswerRead(kUpstreams, {{Entry("a", 12, 1)}, true, 30, 1});
  daemon.source.AnswerRead(kUpstreams, Page({Entry("b", 9, 1)}, 14, 2));
  CHECK(daemon.mirror.Position(kUpstreams) == mesh::source_position{1, 20});
  daemon.net.RunFor(milliseconds(200));
  daemon.source.AnswerRead(kUpstreams,
                           Page({Entry("a", 12, 1), Entry("b", 9, 1)}, 14, 2));
  CHECK(daemon.mirror.Position(kUpstreams) == mesh::source_position{2, 14});
  CHECK(daemon.in_force.count("servers/b") == 1);
}

// Guards against an entry that is hidden by the removal of an earlier one: its
// revision is below the removal's.
TEST_CASE("an entry that is written anew outlives a removal of an era before") {
  in_first_era daemon({Entry("a", 12, 1), Entry("b", 13, 1)});
  daemon.Event(kUpstreams, Removal("servers/b", 25), 1);
  daemon.Return({Entry("a", 12, 1)}, {}, 14, 2);
  daemon.Event(kUpstreams, Entry("b", 15, 1, "ready", 2000), 2);
  CHECK(daemon.in_force["servers/b"] == 15);
}

TEST_CASE("a removal that the source lost stays in force for a time") {
  in_first_era daemon({Entry("a", 12, 1), Entry("b", 13, 4)});
  daemon.Event(kUpstreams, Removal("servers/b", 25), 1);
  daemon.Return({Entry("a", 12, 1), Entry("b", 13, 4)}, {}, 14, 2);
  CHECK(daemon.in_force.count("servers/b") == 0);
  CHECK(daemon.mirror.Carried(kUpstreams) == 1);
  SUBCASE("it's made again") {
    daemon.Event(kUpstreams, Removal("servers/b", 15), 2);
    CHECK(daemon.mirror.Carried(kUpstreams) == 0);
    daemon.RunFor(kRewriteTime);
    CHECK(daemon.in_force.count("servers/b") == 0);
  }
  SUBCASE("the upstream lives: it reports again") {
    daemon.Event(kUpstreams, Entry("b", 15, 5), 2);
    CHECK(daemon.in_force["servers/b"] == 15);
  }
  SUBCASE("nobody makes it again") {
    daemon.RunFor(kRewriteTime - milliseconds(500));
    CHECK(daemon.in_force.count("servers/b") == 0);
    daemon.RunFor(seconds(1));
    CHECK(daemon.in_force["servers/b"] == 13);
  }
  SUBCASE("the source comes back once more") {
    daemon.Return({Entry("a", 12, 1), Entry("b", 13, 4)}, {}, 13, 3);
    CHECK(daemon.in_force.count("servers/b") == 0);
    CHECK(daemon.mirror.Position(kUpstreams) == mesh::source_position{3, 13});
  }
}

TEST_CASE("a leaving that the source lost stays in force for a time") {
  in_first_era daemon({Entry("a", 12, 4)});
  int reports = 5;
  // An entry's writer need not count each of its changes.
  SUBCASE("told in the same report") { reports = 4; }
  SUBCASE("told in a later report") {}
  daemon.Event(kUpstreams, Entry("a", 25, reports, "draining"), 1);
  daemon.Return({Entry("a", 12, 4)}, {}, 14, 2);
  CHECK(daemon.Draining("a"));
  daemon.Event(kUpstreams, Entry("a", 15, 6, "draining"), 2);
  CHECK(daemon.Draining("a"));
  CHECK(daemon.mirror.Carried(kUpstreams) == 0);
  // A new start under the same id is another upstream.
  daemon.Event(kUpstreams, Entry("a", 16, 1, "ready", 2000), 2);
  CHECK_FALSE(daemon.Draining("a"));
}

// Guards against a daemon that was cut off, or paused, while a change was made
// again, and that ends it before it learns so.
TEST_CASE("a daemon that the source's changes don't reach ends no change") {
  in_first_era daemon({Entry("a", 12, 4)});
  daemon.Event(kUpstreams, Entry("a", 25, 5, "draining"), 1);
  daemon.Return({Entry("a", 12, 4)}, {}, 14, 2);
  daemon.answers_watches = false;
  daemon.RunFor(kRewriteTime + seconds(10));
  CHECK(daemon.Draining("a"));
  daemon.answers_watches = true;
  daemon.RunFor(seconds(2));
  CHECK_FALSE(daemon.Draining("a"));
}

TEST_CASE("an upstream that the source lost is kept until it is back") {
  in_first_era daemon({Entry("a", 12, 1), Entry("b", 19, 1)});
  daemon.Return({Entry("a", 12, 1)}, {}, 14, 2);
  CHECK(daemon.in_force.count("servers/b") == 1);
  SUBCASE("it's back") {
    daemon.Event(kUpstreams, Entry("b", 15, 2), 2);
    daemon.RunFor(kMissingTime + seconds(1));
    CHECK(daemon.in_force["servers/b"] == 15);
  }
  SUBCASE("it's gone") {
    daemon.RunFor(kMissingTime - milliseconds(300));
    CHECK(daemon.in_force.count("servers/b") == 1);
    daemon.RunFor(milliseconds(500));
    CHECK(daemon.in_force.count("servers/b") == 0);
  }
}

// Guards against a withdrawn key that is accepted again, and against a version
// that is ignored for ever.
TEST_CASE("the configuration doesn't go back until its operators say so") {
  in_first_era daemon({}, {Config(5, 11)});
  daemon.Event(kSettings, Config(9, 25), 1);
  daemon.Return({}, {Config(5, 11)}, 14, 2);
  CHECK(daemon.HasVersion(9));
  SUBCASE("written again, in order, then a newer one") {
    daemon.Event(kSettings, Config(7, 15), 2);
    CHECK(daemon.HasVersion(9));
    daemon.Event(kSettings, Config(9, 16), 2);
    CHECK(daemon.HasVersion(9));
    CHECK(daemon.mirror.Carried(kSettings) == 0);
    daemon.Event(kSettings, Config(10, 17), 2);
    CHECK(daemon.HasVersion(10));
  }
  SUBCASE("written again at any pace") {
    for (const int pace_s : {4, 60, 600}) {
      CAPTURE(pace_s);
      daemon.RunFor(seconds(pace_s));
      CHECK(daemon.HasVersion(9));
      daemon.Event(kSettings,
                   Config(pace_s == 4    ? 6
                          : pace_s == 60 ? 7
                                         : 8,
                          15 + static_cast<std::uint64_t>(pace_s)),
                   2);
      CHECK(daemon.HasVersion(9));
    }
    daemon.RunFor(seconds(60));
    CHECK(daemon.HasVersion(9));
    daemon.Event(kSettings, Config(10, 700), 2);
    CHECK(daemon.HasVersion(10));
    CHECK(daemon.mirror.Carried(kSettings) == 0);
  }
  SUBCASE("the source comes back once more, between two versions") {
    daemon.RunFor(seconds(20));
    daemon.Event(kSettings, Config(7, 15), 2);
    daemon.Return({}, {Config(5, 11)}, 14, 3);
    daemon.RunFor(seconds(60));
    CHECK(daemon.HasVersion(9));
    daemon.Event(kSettings, Config(9, 16), 3);
    CHECK(daemon.mirror.Carried(kSettings) == 0);
  }
  SUBCASE("never written again") {
    daemon.RunFor(seconds(600));
    CHECK(daemon.HasVersion(9));
  }
}

// The same for daemons that start at any time after the return, also when all
// those have gone that were there before it.
TEST_CASE("daemons that are replaced in turn keep the newest configuration") {
  std::vector<std::unique_ptr<in_first_era>> chain;
  chain.push_back(std::make_unique<in_first_era>(
      std::vector<source_item>{}, std::vector<source_item>{Config(5, 11)}));
  chain[0]->Event(kSettings, Config(9, 25), 1);
  chain[0]->Return({}, {Config(5, 11)}, 14, 2);
  for (int i = 0; i < 4; ++i) {
    chain.back()->RunFor(seconds(50));
    auto next = std::make_unique<in_first_era>(std::vector<source_item>{});
    // What the operators have written by then.
    next->Return({}, {Config(5 + i, 11 + static_cast<std::uint64_t>(i) * 5)},
                 40, 2);
    REQUIRE(next->mirror.Import(chain.back()->mirror.Export(
                {kSettings, export_form::kList,
                 next->mirror.Position(kSettings), true})) == result::kApplied);
    CHECK(next->HasVersion(9));
    CHECK(next->mirror.IsIntroduced(kSettings));
    chain.push_back(std::move(next));
  }
  chain.back()->RunFor(seconds(600));
  CHECK(chain.back()->HasVersion(9));
}

// Guards against calls to a zone whose evacuation was acknowledged and then
// lost by the source, while its operators take their time (EVAC).
TEST_CASE("an evacuation that the source lost stays in force until undone") {
  in_first_era daemon({}, {Config(5, 11)});
  daemon.Event(kSettings, Evacuation(25), 1);
  daemon.Return({}, {Config(5, 11)}, 14, 2);
  CHECK(daemon.in_force.count("op/evacuate/z") == 1);
  SUBCASE("made again and taken back") {
    daemon.Event(kSettings, Evacuation(15), 2);
    CHECK(daemon.mirror.Carried(kSettings) == 0);
    daemon.Event(kSettings, Removal("op/evacuate/z", 16), 2);
    CHECK(daemon.in_force.count("op/evacuate/z") == 0);
  }
  SUBCASE("made again after a minute") {
    daemon.RunFor(seconds(60));
    CHECK(daemon.in_force.count("op/evacuate/z") == 1);
    daemon.Event(kSettings, Evacuation(15), 2);
    CHECK(daemon.in_force.count("op/evacuate/z") == 1);
    CHECK(daemon.mirror.Carried(kSettings) == 0);
    daemon.Event(kSettings, Removal("op/evacuate/z", 16), 2);
    CHECK(daemon.in_force.count("op/evacuate/z") == 0);
  }
  SUBCASE("made again and taken back while this daemon missed changes") {
    in_first_era peer({}, {Config(5, 11)});
    peer.Event(kSettings, Evacuation(25), 1);
    peer.Return({}, {Config(5, 11)}, 14, 2);
    peer.RunFor(seconds(1));
    peer.Event(kSettings, Evacuation(15), 2);
    peer.Event(kSettings, Removal("op/evacuate/z", 16), 2);
    daemon.source.AnswerWatch(kSettings,
                              tl::unexpected(source_problem::kHistoryGone));
    daemon.net.RunFor(milliseconds(200));
    daemon.source.AnswerRead(kSettings, Page({Config(5, 11)}, 18, 2));
    CHECK(daemon.in_force.count("op/evacuate/z") == 1);
    CHECK_FALSE(daemon.mirror.IsIntroduced(kSettings));
    CHECK(daemon.mirror.Import(peer.mirror.Export(
              {kSettings, export_form::kList, daemon.mirror.Position(kSettings),
               true})) == result::kApplied);
    CHECK(daemon.in_force.count("op/evacuate/z") == 0);
    CHECK(daemon.mirror.Carried(kSettings) == 0);
  }
}

TEST_CASE("a zone taken back stays so while the copy shows it taken out") {
  in_first_era daemon({}, {Config(5, 11), Evacuation(12)});
  daemon.Event(kSettings, Removal("op/evacuate/z", 25), 1);
  SUBCASE("the copy shows the evacuation that was taken back") {
    daemon.Return({}, {Config(5, 11), Evacuation(12)}, 14, 2);
    daemon.RunFor(seconds(60));
    CHECK(daemon.in_force.count("op/evacuate/z") == 0);
    // A new one is in force at once.
    daemon.Event(kSettings, Evacuation(15), 2);
    CHECK(daemon.in_force.count("op/evacuate/z") == 1);
  }
  SUBCASE("the copy shows one that was made after the return") {
    daemon.Return({}, {Config(5, 11), Evacuation(14)}, 14, 2);
    CHECK(daemon.in_force.count("op/evacuate/z") == 1);
  }
}

// Guards against a first read that may be stale, and so may show the era before
// with the revisions of the present one.
TEST_CASE("a read that may be stale has no place in a source with eras") {
  mirrored daemon;
  daemon.source.AnswerRead(kSettings, Page({}, 20, 2));
  daemon.source.AnswerRead(kUpstreams, Page({Entry("old", 19, 1)}, 20, 2));
  CHECK(daemon.in_force.count("servers/old") == 1);
  CHECK(daemon.mirror.Position(kUpstreams).era == 0);
  CHECK(daemon.mirror.ChangePosition(kUpstreams) == mesh::source_position{});
  CHECK(daemon.mirror.Export({kUpstreams, export_form::kList, {2, 5}, true})
            .empty());
  daemon.net.RunFor(seconds(2));
  daemon.source.AnswerRead(kUpstreams, Page({Entry("a", 12, 1)}, 14, 2));
  CHECK(daemon.in_force.count("servers/old") == 0);
  CHECK(daemon.mirror.Position(kUpstreams) == mesh::source_position{2, 14});
}

// A peer's copy and this daemon's, in era 1, then the peer in era 2.
struct two_copies {
  two_copies()
      : daemon({Entry("a", 12, 1), Entry("b", 19, 1)}, {Config(5, 11, 20000)}),
        peer({Entry("a", 12, 1), Entry("b", 19, 1)}, {Config(5, 11, 20000)}) {}

  std::string Ask(source_area area, export_form form) {
    return peer.mirror.Export({area, form, daemon.mirror.Position(area), true});
  }

  in_first_era daemon;
  in_first_era peer;
};

// Guards against an item that is taken for another one: its key and revision
// were given out again.
TEST_CASE("copies of two eras are compared by value") {
  two_copies f;
  // Revision 19 is given out again; revision 12 is the same item.
  f.peer.Return({Entry("a", 12, 1), Entry("b", 19, 7)}, {Config(5, 11, 20000)},
                19, 2);
  CHECK(f.Ask(kUpstreams, export_form::kPatches).empty());
  const std::string list = f.Ask(kUpstreams, export_form::kList);
  CHECK(f.daemon.mirror.Import(list) == result::kApplied);
  CHECK(f.daemon.values == f.peer.values);
  CHECK(f.daemon.mirror.Position(kUpstreams) == mesh::source_position{2, 19});
  // Settings that are the same aren't sent again.
  const std::string settings = f.Ask(kSettings, export_form::kList);
  CHECK(settings.size() < 200);
  CHECK(f.daemon.mirror.Import(settings) == result::kApplied);
  CHECK(f.daemon.mirror.Position(kSettings) == mesh::source_position{2, 19});
  // Within the era, changes and patches are enough.
  f.peer.Event(kSettings, Config(6, 21, 20000), 2);
  const std::string patch = f.Ask(kSettings, export_form::kPatches);
  CHECK(!patch.empty());
  CHECK(patch.size() < 1000);
  CHECK(f.daemon.mirror.Import(patch) == result::kApplied);
  CHECK(f.daemon.HasVersion(6));
}

TEST_CASE("a list that names an item of another value is refused") {
  two_copies f;
  // The daemon got another item "a" of revision 12 than the peer holds.
  f.daemon.Return({Entry("a", 12, 9), Entry("b", 19, 1)}, {}, 19, 2);
  f.peer.Return({Entry("a", 12, 1), Entry("b", 19, 1)}, {}, 19, 2);
  f.peer.Event(kUpstreams, Entry("b", 20, 2), 2);
  CHECK(f.daemon.mirror.Import(f.Ask(kUpstreams, export_form::kChanges)) ==
        result::kDiffers);
  CHECK(f.daemon.mirror.Import(f.Ask(kUpstreams, export_form::kList)) ==
        result::kRejected);
  CHECK(f.daemon.mirror.Import(f.peer.mirror.Export(
            {kUpstreams, export_form::kList, {}, true})) == result::kApplied);
  CHECK(f.daemon.Upstreams() == f.peer.Upstreams());
}

// Guards against a daemon that starts in the middle and calls an upstream that
// left, or follows an older configuration, as the source shows both.
TEST_CASE("a daemon that starts takes over what the source has lost") {
  in_first_era peer({Entry("a", 12, 1), Entry("b", 13, 1)}, {Config(5, 11)});
  peer.Event(kUpstreams, Removal("servers/b", 25), 1);
  peer.Event(kSettings, Config(9, 26), 1);
  peer.Return({Entry("a", 12, 1), Entry("b", 13, 1)}, {Config(5, 11)}, 14, 2);
  in_first_era daemon({});
  daemon.Return({Entry("a", 12, 1), Entry("b", 13, 1)}, {Config(5, 11)}, 14, 2);
  CHECK(daemon.in_force.count("servers/b") == 1);
  CHECK_FALSE(daemon.mirror.IsIntroduced(kUpstreams));
  for (const source_area area : kSourceAreas) {
    CHECK(daemon.mirror.Import(peer.mirror.Export({area, export_form::kList,
                                                   daemon.mirror.Position(area),
                                                   true})) == result::kApplied);
  }
  CHECK(daemon.mirror.IsIntroduced(kUpstreams));
  CHECK(daemon.in_force.count("servers/b") == 0);
  CHECK(daemon.HasVersion(9));
  // Carried changes end as with the peer.
  daemon.RunFor(kRewriteTime + milliseconds(200));
  CHECK(daemon.in_force.count("servers/b") == 1);
}

// The same for what a peer holds that the source doesn't: the daemon's first
// read may be stale, and the current list lacks both.
TEST_CASE("a daemon that starts from a stale read takes over lost items") {
  in_first_era peer({Entry("a", 12, 1)}, {Config(5, 11)});
  peer.Event(kUpstreams, Entry("lost", 25, 1), 1);
  peer.Event(kSettings, Evacuation(26), 1);
  peer.Return({Entry("a", 12, 1)}, {Config(5, 11)}, 14, 2);
  mirrored daemon;
  daemon.source.AnswerRead(kSettings, Page({Config(5, 11)}, 14, 2));
  daemon.source.AnswerRead(kUpstreams, Page({Entry("a", 12, 1)}, 14, 2));
  for (const source_area area : kSourceAreas) {
    CHECK(daemon.mirror.Import(peer.mirror.Export({area, export_form::kList,
                                                   daemon.mirror.Position(area),
                                                   true})) == result::kApplied);
  }
  CHECK(daemon.in_force.count("servers/lost") == 1);
  CHECK(daemon.in_force.count("op/evacuate/z") == 1);
  CHECK(daemon.mirror.IsIntroduced(kSettings));
}

// Guards against a daemon that drops all answers of the source for ever.
TEST_CASE("a peer's message with an impossible era is refused") {
  in_first_era daemon({Entry("a", 12, 1)});
  mirror_message message;
  message.area = kUpstreams;
  message.is_full = true;
  message.position = {mesh::kMaxSourceEra + 1, 30};
  CHECK(daemon.mirror.Import(Encode(message)) == result::kRejected);
  CHECK(daemon.mirror.Era() == 1);
}

// Guards against a reader that hears of the era first from a peer, while its
// own watch still waits at the era before.
TEST_CASE("a peer's copy of a new era ends the watch of the era before") {
  two_copies f;
  f.peer.Return({Entry("a", 12, 1)}, {}, 14, 2);
  CHECK(f.daemon.mirror.Import(f.Ask(kUpstreams, export_form::kList)) ==
        result::kApplied);
  CHECK(f.daemon.mirror.Era() == 2);
  CHECK(!f.daemon.source.reads[kUpstreams].empty());
  // What the watch still brings isn't complete from the copy's place on.
  f.daemon.source.AnswerWatch(kUpstreams, Page({Entry("c", 30, 1)}, 30, 2));
  CHECK(f.daemon.in_force.count("servers/c") == 0);
}

// Guards against a fleet of two versions that falls apart.
TEST_CASE("a daemon of an earlier version gets items without an era") {
  two_copies f;
  f.peer.Return({Entry("a", 12, 1), Entry("b", 13, 1)}, {}, 14, 2);
  f.peer.Event(kUpstreams, Entry("c", 16, 1), 2);
  const auto message = DecodeMirrorMessage(
      f.peer.mirror.Export({kUpstreams, export_form::kChanges, {0, 14}}));
  REQUIRE(message);
  CHECK(message->position == mesh::source_position{0, 16});
  CHECK_FALSE(message->is_full);
  CHECK(message->items.size() == 1);
  mirrored earlier;
  earlier.Start(Page({Entry("a", 12, 1), Entry("b", 13, 1)}, 14, 0));
  CHECK(earlier.mirror.Import(f.peer.mirror.Export(
            {kUpstreams, export_form::kChanges, {0, 14}})) == result::kApplied);
  CHECK(earlier.values == f.peer.Upstreams());
  // Its own items don't undo those of a copy whose place is known.
  CHECK(f.daemon.mirror.Import(earlier.mirror.Export(
            {kUpstreams, export_form::kList, {}})) == result::kApplied);
  CHECK(f.daemon.mirror.Position(kUpstreams) == mesh::source_position{1, 20});
}

}  // namespace
}  // namespace pimentohall::node
