#include "core/dedup_cache.h"

#include <doctest/doctest.h>

#include <string>

namespace pimentohall::core {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using begin_result = dedup_cache::begin_result;
using fate = dedup_cache::fate;

std::string Key(int i) { return "key-" + std::to_string(i); }

// Guards against a second run of a keyed call, and against a key that stays
// taken although its call did not run.
TEST_CASE("dedup_cache holds a key by the fate of its call") {
  struct row {
    duration after;
    fate how;
    begin_result expected;
  };
  const row rows[] = {
      {seconds(0), fate::kNotRun, begin_result::kFresh},
      {seconds(0), fate::kAnswered, begin_result::kDuplicate},
      {minutes(10) - seconds(1), fate::kAnswered, begin_result::kDuplicate},
      {minutes(10), fate::kAnswered, begin_result::kFresh},
      {seconds(0), fate::kMayHaveRun, begin_result::kDuplicate},
      {minutes(10) - seconds(1), fate::kMayHaveRun, begin_result::kDuplicate},
      {minutes(10), fate::kMayHaveRun, begin_result::kFresh},
  };
  for (const row& each : rows) {
    dedup_cache cache(1);
    const instant start = instant{} + minutes(1);
    CHECK(cache.Begin("yamaga", "a", start) == begin_result::kFresh);
    CHECK(cache.Begin("yamaga", "a", start) == begin_result::kDuplicate);
    // A call that runs keeps its key, however long it takes.
    const instant end = start + minutes(30);
    CHECK(cache.Begin("yamaga", "a", end) == begin_result::kDuplicate);
    cache.Finish("yamaga", "a", each.how, end);
    CHECK(cache.Begin("yamaga", "a", end + each.after) == each.expected);
  }
}

// Guards against organisations that take each other's keys.
TEST_CASE("dedup_cache keeps organisations apart") {
  dedup_cache cache(1);
  CHECK(cache.Begin("a", "bc", instant{}) == begin_result::kFresh);
  CHECK(cache.Begin("ab", "c", instant{}) == begin_result::kFresh);
  CHECK(cache.Begin("", "abc", instant{}) == begin_result::kFresh);
  CHECK(cache.Size() == 3);
}

// Guards against a late end of a call that frees the key of the next one.
TEST_CASE("dedup_cache ends a key once") {
  dedup_cache cache(1);
  cache.Begin("a", "k", instant{});
  cache.Finish("a", "k", fate::kAnswered, instant{});
  cache.Finish("a", "k", fate::kNotRun, instant{});
  CHECK(cache.Begin("a", "k", instant{}) == begin_result::kDuplicate);
}

// Guards against keys of calls that may have run, dropped early to make room.
TEST_CASE("dedup_cache makes room only from answered calls of old age") {
  struct row {
    const char* name;
    bool finish;
    fate how;
    duration age;
    begin_result expected;
    std::uint64_t dropped;
  };
  const row rows[] = {
      {"running", false, fate::kNotRun, minutes(9), begin_result::kFull, 0},
      {"unknown", true, fate::kMayHaveRun, minutes(9), begin_result::kFull, 0},
      {"just answered", true, fate::kAnswered, seconds(59), begin_result::kFull,
       0},
      {"answered", true, fate::kAnswered, seconds(60), begin_result::kFresh, 1},
      {"expired", true, fate::kMayHaveRun, minutes(10), begin_result::kFresh,
       0},
  };
  constexpr int kCapacity = dedup_cache::kCapacity;
  for (const row& each : rows) {
    CAPTURE(each.name);
    dedup_cache cache(1);
    for (int i = 0; i < kCapacity; ++i) {
      REQUIRE(cache.Begin("a", Key(i), instant{}) == begin_result::kFresh);
      if (each.finish) cache.Finish("a", Key(i), each.how, instant{});
    }
    const instant later = instant{} + each.age;
    CHECK(cache.Begin("a", Key(kCapacity), later) == each.expected);
    CHECK(cache.DroppedEarly() == each.dropped);
    CHECK(cache.Size() <= dedup_cache::kCapacity);
    // The newest key is still held.
    if (each.dropped > 0) {
      CHECK(cache.Begin("a", Key(kCapacity - 1), later) ==
            begin_result::kDuplicate);
    }
  }
}

}  // namespace
}  // namespace pimentohall::core
