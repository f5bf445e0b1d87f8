#include "core/dedup_cache.h"

#include <doctest/doctest.h>

#include <string>

namespace pimentohall::core {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using begin_result = dedup_cache::begin_result;
using key_outcome = dedup_cache::key_outcome;

std::string Key(int i) { return "key-" + std::to_string(i); }

// Guards against a second run of a call with a key, and against a key that
// stays held although its call did not run.
TEST_CASE("dedup_cache holds a key by the outcome of its call") {
  struct test_case {
    duration after;
    key_outcome outcome;
    begin_result expected;
  };
  const test_case tests[] = {
      {seconds(0), key_outcome::kNotRun, begin_result::kFresh},
      {seconds(0), key_outcome::kAnswered, begin_result::kDuplicate},
      {minutes(10) - seconds(1), key_outcome::kAnswered,
       begin_result::kDuplicate},
      {minutes(10), key_outcome::kAnswered, begin_result::kFresh},
      {seconds(0), key_outcome::kMayHaveRun, begin_result::kDuplicate},
      {minutes(10) - seconds(1), key_outcome::kMayHaveRun,
       begin_result::kDuplicate},
      {minutes(10), key_outcome::kMayHaveRun, begin_result::kFresh},
  };
  for (const test_case& test : tests) {
    dedup_cache cache(1);
    const instant start = instant{} + minutes(1);
    CHECK(cache.Begin("yamaga", "a", start) == begin_result::kFresh);
    CHECK(cache.Begin("yamaga", "a", start) == begin_result::kDuplicate);
    // The key is held while the call runs, however long that takes.
    const instant end = start + minutes(30);
    CHECK(cache.Begin("yamaga", "a", end) == begin_result::kDuplicate);
    cache.Finish("yamaga", "a", test.outcome, end);
    CHECK(cache.Begin("yamaga", "a", end + test.after) == test.expected);
  }
}

// Guards against keys of one organisation that block those of another.
TEST_CASE("dedup_cache keeps organisations apart") {
  dedup_cache cache(1);
  CHECK(cache.Begin("a", "bc", instant{}) == begin_result::kFresh);
  CHECK(cache.Begin("ab", "c", instant{}) == begin_result::kFresh);
  CHECK(cache.Begin("", "abc", instant{}) == begin_result::kFresh);
  CHECK(cache.Size() == 3);
}

// Guards against a second, late Finish that releases a key that is still held.
TEST_CASE("dedup_cache ignores a second end of a key") {
  dedup_cache cache(1);
  cache.Begin("a", "k", instant{});
  cache.Finish("a", "k", key_outcome::kAnswered, instant{});
  cache.Finish("a", "k", key_outcome::kNotRun, instant{});
  CHECK(cache.Begin("a", "k", instant{}) == begin_result::kDuplicate);
}

// Guards against the early eviction of keys of calls that may have run.
TEST_CASE("dedup_cache evicts keys only from calls answered long ago") {
  struct test_case {
    const char* name;
    bool finishes;
    key_outcome outcome;
    duration age;
    begin_result expected;
    std::uint64_t evicted;
  };
  const test_case tests[] = {
      {"running", false, key_outcome::kNotRun, minutes(9), begin_result::kFull,
       0},
      {"unknown", true, key_outcome::kMayHaveRun, minutes(9),
       begin_result::kFull, 0},
      {"just answered", true, key_outcome::kAnswered, seconds(59),
       begin_result::kFull, 0},
      {"answered", true, key_outcome::kAnswered, seconds(60),
       begin_result::kFresh, 1},
      {"expired", true, key_outcome::kMayHaveRun, minutes(10),
       begin_result::kFresh, 0},
  };
  constexpr int kCapacity = dedup_cache::kCapacity;
  for (const test_case& test : tests) {
    CAPTURE(test.name);
    dedup_cache cache(1);
    for (int i = 0; i < kCapacity; ++i) {
      REQUIRE(cache.Begin("a", Key(i), instant{}) == begin_result::kFresh);
      if (test.finishes) cache.Finish("a", Key(i), test.outcome, instant{});
    }
    const instant later = instant{} + test.age;
    CHECK(cache.Begin("a", Key(kCapacity), later) == test.expected);
    CHECK(cache.EvictedEarly() == test.evicted);
    CHECK(cache.Size() <= dedup_cache::kCapacity);
    // The newest key is still held.
    if (test.evicted > 0) {
      CHECK(cache.Begin("a", Key(kCapacity - 1), later) ==
            begin_result::kDuplicate);
    }
  }
}

}  // namespace
}  // namespace pimentohall::core
