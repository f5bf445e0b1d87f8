// Tests of the copy of the source against scripted answers of the source.

#include "mirror_fixture.h"

namespace pimentohall::node {
namespace {

// Guards against CONFIG in review/2: pages of a first read differ in age, and
// changes between their ages were never watched for.
TEST_CASE("a first read is complete up to its oldest page only") {
  mirrored daemon;
  // Revision 7, a change of `a`, is younger than the first page.
  daemon.source.AnswerRead(source_area::kUpstreams, {{Item("a", 5)}, true, 9});
  daemon.source.AnswerRead(source_area::kUpstreams, {{Item("b", 9)}, false, 9});
  CHECK(daemon.mirror.Position(source_area::kUpstreams) ==
        mesh::source_position{0, 5});
  daemon.source.AnswerRead(source_area::kSettings, {{}, false, 9});
  daemon.net.RunFor(std::chrono::seconds(2));
  REQUIRE(!daemon.source.watches[source_area::kUpstreams].empty());
  CHECK(daemon.source.watches[source_area::kUpstreams].front().revision == 5);
  daemon.source.AnswerWatch(
      source_area::kUpstreams,
      source_page{{Item("a", 7), Item("b", 9)}, false, 9});
  CHECK(daemon.in_force["a"] == 7);
  CHECK(daemon.mirror.Position(source_area::kUpstreams) ==
        mesh::source_position{0, 9});
}

// The same for a page without items: nothing is known of its age.
TEST_CASE("a first read with an empty last page is complete up to nothing") {
  mirrored daemon;
  daemon.source.AnswerRead(source_area::kUpstreams, {{Item("a", 5)}, true, 9});
  daemon.source.AnswerRead(source_area::kUpstreams, {{}, false, 9});
  CHECK(daemon.mirror.Position(source_area::kUpstreams) ==
        mesh::source_position{0, 0});
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
            {area, source_mirror::export_form::kChanges, {0, 6}})) ==
        source_mirror::import_result::kApplied);
  CHECK(daemon.in_force.count("a") == 0);
  daemon.source.AnswerWatch(area, source_page{{Item("a", 7)}, false, 7});
  CHECK(daemon.in_force.count("a") == 0);
  CHECK(daemon.mirror.Position(area) == mesh::source_position{0, 9});
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
            {area, source_mirror::export_form::kChanges, {0, 6}})) ==
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
  CHECK(daemon.mirror.Import(peer.mirror.Export(
            {area, form::kChanges, {0, 6}})) == result::kDiffers);
  CHECK(daemon.mirror.Import(peer.mirror.Export({area, form::kList, {0, 6}})) ==
        result::kRejected);
  CHECK(daemon.mirror.Position(area) == mesh::source_position{0, 6});
  CHECK(daemon.mirror.Import(peer.mirror.Export({area, form::kList, {0, 0}})) ==
        result::kApplied);
  CHECK(daemon.mirror.Position(area) == mesh::source_position{0, 8});
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
  CHECK(daemon.mirror.Import(
            peer.mirror.Export({area, form::kChanges, {0, 6}})) ==
        source_mirror::import_result::kDiffers);
  CHECK(daemon.mirror.Import(peer.mirror.Export({area, form::kList, {0, 6}})) ==
        source_mirror::import_result::kApplied);
  CHECK(daemon.in_force.count("b") == 1);
  CHECK(daemon.in_force.count("c") == 1);
}

// Calls for upstreams within 2 s to a source that always answers the same.
int CountCalls(mirrored* daemon, const std::function<source_page()>& page,
               const tl::expected<source_page, source_problem>& events) {
  int calls = 0;
  auto& reads = daemon->source.reads[source_area::kUpstreams];
  auto& watches = daemon->source.watches[source_area::kUpstreams];
  for (int turn = 0; turn < 200; ++turn) {
    for (int i = 0; i < 100 && !(reads.empty() && watches.empty()); ++i) {
      ++calls;
      if (reads.empty()) {
        daemon->source.AnswerWatch(source_area::kUpstreams, events);
      } else {
        daemon->source.AnswerRead(source_area::kUpstreams, page());
      }
    }
    daemon->net.RunFor(std::chrono::milliseconds(10));
  }
  return calls;
}

// Guards against a million calls to the source in some seconds (issue 38): a
// watch was refused, and the next read and watch were sent at once.
TEST_CASE("a source whose history is always gone is read with pauses") {
  mirrored daemon;
  daemon.Start({{Item("a", 5)}, false, 20});
  const auto gone = tl::unexpected(source_problem::kHistoryGone);
  // Delays of 0.1, 0.2, 0.4 and 0.8 s, and two calls after each.
  CHECK(CountCalls(
            &daemon,
            [] {
              return source_page{{Item("a", 5)}, false, 20};
            },
            gone) <= 12);
  // The same while its counter is below the copy's.
  CHECK(CountCalls(
            &daemon,
            [] {
              return source_page{{Item("a", 5)}, false, 9};
            },
            gone) <= 12);
}

// A source that cuts a watch may answer it early and without events.
TEST_CASE("watches that are cut at once are repeated with pauses") {
  mirrored daemon;
  daemon.Start({{Item("a", 5)}, false, 20});
  CHECK(CountCalls(
            &daemon,
            [] {
              return source_page{{}, false, 20};
            },
            source_page{{}, false, 20}) <= 22);
}

// Guards against a list that is taken for whole though the source says that it
// isn't, and against reading the same page for ever.
TEST_CASE("a list whose pages don't advance is no list") {
  const auto area = source_area::kUpstreams;
  mirrored daemon;
  daemon.Start({{Item("a", 5)}, false, 20});
  daemon.source.AnswerWatch(area, tl::unexpected(source_problem::kHistoryGone));
  daemon.source.AnswerRead(area, {{}, true, 30});
  CHECK(daemon.source.reads[area].empty());
  CHECK(daemon.in_force.count("a") == 1);
  daemon.net.RunFor(std::chrono::milliseconds(200));
  daemon.source.AnswerRead(area, {{Item("a", 5)}, true, 30});
  daemon.source.AnswerRead(area, {{Item("a", 5)}, true, 30});
  CHECK(daemon.source.reads[area].empty());
}

}  // namespace
}  // namespace pimentohall::node
