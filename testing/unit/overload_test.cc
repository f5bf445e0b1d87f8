// Tests of admission control and of the return of refused callers.

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{seconds(1000)};

TEST_CASE("a group far below the mean is owed, until it is served") {
  service_floor floor;
  CHECK_FALSE(floor.IsOwed(1));
  for (int i = 0; i < 100; ++i) {
    floor.OnOffered(1, 1, kStart);
    floor.OnOffered(2, 1, kStart);
    floor.OnServed(2, kStart);
  }
  CHECK(floor.IsOwed(1));
  CHECK_FALSE(floor.IsOwed(2));
  for (int i = 0; i < 30; ++i) floor.OnServed(1, kStart);
  CHECK_FALSE(floor.IsOwed(1));
  CHECK_FALSE(floor.IsOwed(3));
}

// R6: groups come from callers.
TEST_CASE("the floor's groups are bounded, and old ones make room") {
  service_floor floor;
  for (std::uint64_t i = 0; i < 10 * service_floor::kMaxGroups; ++i) {
    for (int call = 0; call < 8; ++call) floor.OnOffered(i, 1, kStart);
  }
  floor.OnServed(0, kStart);
  CHECK(floor.IsOwed(1));
  CHECK_FALSE(floor.IsOwed(5 * service_floor::kMaxGroups));
  const instant later = kStart + seconds(60);
  for (int call = 0; call < 8; ++call) {
    floor.OnOffered(5 * service_floor::kMaxGroups, 1, later);
    floor.OnOffered(7, 1, later);
    floor.OnServed(7, later);
  }
  CHECK(floor.IsOwed(5 * service_floor::kMaxGroups));
}

TEST_CASE("ranks behind a full capacity of demand are cut") {
  struct row {
    double load_of_rank[3];
    int backlog_ms;
    int limit;
  };
  const row rows[] = {
      {{0.4, 0.3, 0.2}, 500, rank_limiter::kNone},  // Enough for all.
      {{0.5, 0.5, 0.5}, 500, rank_limiter::kNone},  // Rank 2 gets a part.
      {{0.7, 0.7, 0.7}, 500, 1},
      {{1.3, 0.5, 0.5}, 500, 0},
      {{1.3, 0.5, 0.5}, 20, rank_limiter::kNone},  // Nobody waits.
      {{2.0, 0.0, 0.0}, 500, rank_limiter::kNone},
  };
  for (const row& each : rows) {
    CAPTURE(each.limit);
    rank_limiter limiter;
    for (int rank = 0; rank < 3; ++rank) {
      if (each.load_of_rank[rank] <= 0) continue;
      const duration work = std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(4 * each.load_of_rank[rank]));
      limiter.OnOffered(rank, work, kStart);
    }
    CHECK(limiter.Update(4, milliseconds(each.backlog_ms), kStart) ==
          each.limit);
  }
}

// Nested calls count as rank -1. A service full of them cut every route.
TEST_CASE("the most urgent rank is never cut") {
  rank_limiter limiter;
  limiter.OnOffered(-1, seconds(9), kStart);
  limiter.OnOffered(0, seconds(1), kStart);
  limiter.OnOffered(1, seconds(1), kStart);
  CHECK(limiter.Update(4, seconds(1), kStart) == 0);
}

// A limit that lowers the demand that it is derived from would end at once and
// come back, several times a second.
TEST_CASE("a steady load has a steady limit") {
  rank_limiter limiter;
  instant now = kStart;
  int calls = 0;
  int changes = 0;
  int limit = rank_limiter::kNone;
  for (int tick = 0; tick < 300; ++tick) {
    for (int i = 0; i < 13; ++i) {
      // 1.3 slots of each rank; the ingress passes a third of what is cut.
      limiter.OnOffered(0, milliseconds(10), now);
      if (limit >= 1 || ++calls % rank_limiter::kPassInterval == 0) {
        limiter.OnOffered(1, milliseconds(10), now);
      }
      now += milliseconds(100) / 13;
    }
    const int next = limiter.Update(1, milliseconds(150), now);
    if (next != limit && tick > 30) ++changes;
    limit = next;
  }
  CHECK(limit == 0);
  CHECK(changes <= 1);
  now += seconds(10);
  CHECK(limiter.Update(1, duration{0}, now) == rank_limiter::kNone);
}

// Compares with the plain rule: refused if every upstream has a fresh, lower
// limit.
TEST_CASE("the gate refuses only what every upstream would refuse") {
  std::mt19937_64 random(5);
  const std::vector<std::string> ids = {"a", "b", "c"};
  for (int round = 0; round < 2000; ++round) {
    admission_gate gate;
    bool refused = true;
    const int rank = static_cast<int>(random() % 4);
    for (const std::string& id : ids) {
      const int limit = random() % 3 == 0 ? rank_limiter::kNone
                                          : static_cast<int>(random() % 4);
      const duration age = milliseconds(random() % 1300);
      const bool is_reported = random() % 8 != 0;
      if (is_reported) gate.OnReport("s", id, limit, kStart - age);
      const bool is_fresh = age <= admission_gate::kMaxAge;
      refused = refused && is_reported && is_fresh && rank > limit;
    }
    gate.OnReport("other", "d", 0, kStart);
    CHECK(gate.Admits("s", ids, rank, 1, kStart) == !refused);
    CHECK(gate.Admits("s", ids, rank, rank_limiter::kPassInterval, kStart));
  }
}

TEST_CASE("the gate ignores nonsense and forgets old limits") {
  admission_gate gate;
  gate.OnReport("s", "a", -5, kStart);
  CHECK(gate.Admits("s", {"a"}, 3, 1, kStart));
  CHECK(gate.Admits("s", {}, 3, 1, kStart));
  gate.OnReport("s", "a", 1, kStart);
  CHECK_FALSE(gate.Admits("s", {"a"}, 3, 1, kStart));
  gate.Expire(kStart + admission_gate::kMaxAge);
  CHECK(gate.Size() == 1);
  gate.Expire(kStart + admission_gate::kMaxAge + milliseconds(1));
  CHECK(gate.Size() == 0);
}

// Callers refused at one moment got one Retry-After and came back as a wave.
TEST_CASE("callers refused together return spread out") {
  return_pacer pacer;
  for (int i = 0; i < 200; ++i) {
    pacer.OnAnswered("s", kStart - seconds(1) + milliseconds(5 * i));
  }
  constexpr duration kLeft = milliseconds(1500);
  constexpr duration kWindow = milliseconds(25);
  std::map<std::int64_t, int> returns;
  for (int i = 0; i < 400; ++i) {
    const duration wait =
        pacer.RetryAfter("s", milliseconds(100), kLeft, kStart);
    CHECK(wait <= kLeft / 3);
    CHECK(wait >= milliseconds(100));
    ++returns[wait / kWindow];
  }
  for (const auto& [window, count] : returns) CHECK(count <= 400 / 16 * 2);
}

TEST_CASE("the time left bounds Retry-After") {
  return_pacer pacer;
  for (const int left_ms : {-20, 0, 1, 30, 1000}) {
    for (int i = 0; i < 50; ++i) {
      const duration left = milliseconds(left_ms);
      const duration wait = pacer.RetryAfter("s", seconds(9), left, kStart);
      CHECK(wait >= duration{0});
      CHECK(wait <= std::max(duration{0}, left) / 3);
    }
  }
}

TEST_CASE("a budget below the usual one is a later attempt's") {
  budget_history budgets;
  const auto spent = [&budgets](int budget_ms, duration after) {
    return budgets.Spent("r", milliseconds(budget_ms), kStart + after);
  };
  CHECK(spent(1500, {}) == duration{0});
  CHECK(spent(1100, {}) == milliseconds(400));
  CHECK(spent(1498, {}) == duration{0});
  CHECK(spent(-3, {}) == duration{0});
  CHECK(budgets.Spent("other", milliseconds(700), kStart) == duration{0});
  // The largest budget is forgotten after two periods.
  CHECK(spent(1000, budget_history::kPeriod) == milliseconds(500));
  CHECK(spent(1000, 2 * budget_history::kPeriod) == duration{0});
}

// One caller with a huge budget must not make all others' calls late.
TEST_CASE("a route whose callers have different budgets has no aim moved") {
  budget_history budgets;
  (void)budgets.Spent("r", seconds(6), kStart);
  duration last{0};
  for (int i = 0; i < 100; ++i) {
    last = budgets.Spent("r", seconds(2), kStart);
  }
  CHECK(last == duration{0});
}

// A crowd that states huge budgets must not make all other calls late: these
// would be refused for as long as the crowd is there.
TEST_CASE("calls beside a crowd with huge budgets have no aim moved") {
  budget_history budgets;
  for (int i = 0; i < 1000; ++i) {
    (void)budgets.Spent("r", seconds(60), kStart);
    if (i % 100 != 0) continue;
    CHECK(budgets.Spent("r", seconds(5), kStart) == duration{0});
  }
  CHECK(budgets.Spent("r", seconds(40), kStart) == seconds(20));
}

}  // namespace
}  // namespace pimentohall::sched
