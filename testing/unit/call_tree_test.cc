// Tests what is learned about nested calls, and what is decided by it.

#include <doctest/doctest.h>

#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <random>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart{seconds(1000)};
constexpr duration kBudget = milliseconds(400);

double CallsOf(const std::vector<callee_need>& needs,
               const std::string& service) {
  for (const callee_need& each : needs) {
    if (each.service == service) return each.calls;
  }
  return 0;
}

// A run of 1 ms that calls each service in turn.
void Run(call_tree* tree, const std::string& route,
         const std::vector<std::string>& services, instant now) {
  static std::uint64_t last_run = 0;
  const std::uint64_t run = ++last_run;
  tree->OnRunStarted(run, route, now);
  for (const std::string& service : services) {
    tree->OnNestedCall(service, kBudget, now);
    tree->OnNestedDone(service, milliseconds(30), true, now);
  }
  tree->OnRunEnded(run, now + milliseconds(1));
}

// A route under load: each of its runs makes `calls` nested calls to "ledger",
// one after the other, with the probability `kNestedShare`, else none.
struct route_load {
  std::string name;
  double per_s;
  int calls;
};
constexpr double kNestedShare = 0.7;
constexpr duration kLoadLength = seconds(30);
using timeline = std::multimap<instant, std::function<void()>>;

void AddRuns(const route_load& route, std::mt19937_64* random, call_tree* tree,
             timeline* events) {
  std::exponential_distribution<double> gap_s(route.per_s);
  std::bernoulli_distribution nests(kNestedShare);
  std::uniform_int_distribution<int> work_ms(20, 120);
  instant start = kStart;
  while (start < kStart + kLoadLength) {
    start += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(gap_s(*random)));
    const std::uint64_t run = events->size();
    events->emplace(start, [tree, run, start, name = route.name] {
      tree->OnRunStarted(run, name, start);
    });
    instant now = start + milliseconds(work_ms(*random));
    const int calls = nests(*random) ? route.calls : 0;
    for (int i = 0; i < calls; ++i) {
      events->emplace(
          now, [tree, now] { tree->OnNestedCall("ledger", kBudget, now); });
      now += milliseconds(30);
    }
    events->emplace(now, [tree, run, now] { tree->OnRunEnded(run, now); });
  }
}

// Guards against needs ascribed to a route that makes no calls: its callers
// would be refused for a service that they don't use. The oracle is the mean
// number of calls that the runs make.
TEST_CASE("calls are ascribed to the routes that make them") {
  const std::vector<std::vector<route_load>> cases = {
      {{"read", 50, 2}},
      {{"read", 50, 2}, {"list", 50, 0}},
      {{"read", 20, 2}, {"list", 80, 0}},
      {{"read", 40, 2}, {"list", 30, 0}, {"post", 30, 1}},
  };
  for (const auto& routes : cases) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      std::mt19937_64 random(seed);
      timeline events;
      call_tree tree;
      for (const route_load& each : routes) {
        AddRuns(each, &random, &tree, &events);
      }
      for (const auto& [at, run] : events) run();
      for (const route_load& each : routes) {
        CAPTURE(routes.size());
        CAPTURE(each.name);
        CAPTURE(seed);
        const double calls =
            CallsOf(tree.Needs(each.name, kStart + kLoadLength), "ledger");
        CHECK(std::abs(calls - kNestedShare * each.calls) <= 0.15);
      }
    }
  }
}

TEST_CASE("needs are known after a few runs, and forgotten without any") {
  call_tree tree;
  const int known_after = 3;
  for (int runs = 1; runs <= 10; ++runs) {
    Run(&tree, "read", {"ledger", "ledger"}, kStart);
    CAPTURE(runs);
    CHECK(tree.Needs("read", kStart).empty() == (runs < known_after));
  }
  const callee_need need = tree.Needs("read", kStart).at(0);
  CHECK(need.service == "ledger");
  CHECK(need.calls == doctest::Approx(2));
  CHECK(need.time == milliseconds(30));
  CHECK(need.budget == kBudget);
  CHECK(need.in_time == 1);
  CHECK(tree.Needs("list", kStart).empty());
  CHECK(tree.Needs("read", kStart + seconds(120)).empty());
}

// R6 and R9: nothing that a daemon sees may grow its memory or set a mean.
TEST_CASE("names are bounded, and wrong times move a mean by a bounded part") {
  call_tree tree;
  for (int i = 0; i < 500; ++i) {
    const instant now = kStart + milliseconds(i);
    Run(&tree, "route-" + std::to_string(i), {"s-" + std::to_string(i)}, now);
  }
  for (int i = 0; i < 8; ++i) {
    Run(&tree, "wide", {"a", "b", "c", "d", "e"}, kStart + seconds(1));
  }
  CHECK(tree.Needs("wide", kStart + seconds(1)).size() == call_tree::kMaxNeeds);
  for (int i = 0; i < 8; ++i) Run(&tree, "read", {"ledger"}, kStart);
  for (const duration wrong : {duration(-1), duration::max(), duration(0)}) {
    tree.OnNestedDone("ledger", wrong, true, kStart);
    tree.OnNestedDone("unknown", wrong, true, kStart);
    tree.OnNestedCall("ledger", wrong, kStart);
  }
  const callee_need need = tree.Needs("read", kStart).at(0);
  CHECK(need.time <= seconds(7));
  CHECK(need.budget <= seconds(7));
  CHECK(need.budget.count() > 0);
}

TEST_CASE("refused nested calls lower the share in time for a while") {
  call_tree tree;
  for (int i = 0; i < 10; ++i) Run(&tree, "read", {"ledger"}, kStart);
  for (int i = 0; i < 20; ++i) {
    tree.OnNestedDone("ledger", milliseconds(1), false, kStart);
  }
  CHECK(tree.Needs("read", kStart).at(0).in_time < 0.2);
  CHECK(tree.Needs("read", kStart + seconds(15)).at(0).in_time > 0.95);
  CHECK(tree.Needs("read", kStart).at(0).time == milliseconds(30));
}

TEST_CASE("reports of several daemons are merged, and nonsense is ignored") {
  need_table table;
  const callee_need ledger{"ledger", 2, milliseconds(30), kBudget, 1};
  table.OnNeeds("read", {ledger}, kStart);
  CHECK(table.Needs("read", kStart) == std::vector<callee_need>{ledger});
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const callee_need& wrong : std::vector<callee_need>{
           {"ledger", -1, milliseconds(30), kBudget, 1},
           {"ledger", nan, milliseconds(30), kBudget, 1},
           {"ledger", 1e9, milliseconds(30), kBudget, 1},
           {"ledger", 2, milliseconds(-1), kBudget, 1},
           {"ledger", 2, milliseconds(30), seconds(100), 1},
           {"ledger", 2, milliseconds(30), kBudget, 1.5},
           {"ledger", 2, milliseconds(30), kBudget, nan},
           {"", 2, milliseconds(30), kBudget, 1}}) {
    table.OnNeeds("read", {wrong}, kStart);
    CHECK(table.Needs("read", kStart) == std::vector<callee_need>{ledger});
  }
  table.OnNeeds("read", {{"vault", 1, milliseconds(9), kBudget, 1}}, kStart);
  CHECK(CallsOf(table.Needs("read", kStart), "vault") == 1);
  CHECK(CallsOf(table.Needs("read", kStart), "ledger") < 2);
  for (int i = 0; i < 30; ++i) table.OnNeeds("read", {}, kStart);
  CHECK(table.Needs("read", kStart).empty());
  table.OnNeeds("read", {ledger}, kStart);
  CHECK(table.Needs("read", kStart + need_table::kMemory).size() == 1);
  CHECK(table.Needs("read", kStart + need_table::kMemory + seconds(1)).empty());
}

// R7: the field must not be on every answer.
TEST_CASE("needs are reported after a change, else rarely") {
  const std::vector<callee_need> some{
      {"ledger", 2, milliseconds(30), kBudget, 1}};
  std::vector<callee_need> similar = some;
  similar[0].calls = 1.9;
  std::vector<callee_need> failing = some;
  failing[0].in_time = 0.5;
  struct step {
    int at_ms;
    std::string receiver;
    std::vector<callee_need> needs;
    bool reported;
  };
  const std::vector<step> steps = {
      {0, "a", {}, false},         {0, "a", some, true},
      {10, "a", some, false},      {10, "b", some, true},
      {2000, "a", similar, false}, {2000, "a", failing, true},
      {2500, "a", some, false},    {3000, "a", some, true},
      {7900, "a", some, false},    {8000, "a", some, true},
      {9000, "a", {}, true},       {9500, "a", {}, false},
  };
  need_reporter reporter;
  for (const step& each : steps) {
    CAPTURE(each.at_ms);
    CHECK(reporter.ShouldReport(each.receiver, "read", each.needs,
                                kStart + milliseconds(each.at_ms)) ==
          each.reported);
  }
}

// Share that the gate admits of the second half of the calls.
double AdmittedShare(const callee_need& need, std::optional<duration> wait,
                     callee_gate* gate, instant from) {
  int admitted = 0;
  constexpr int kCalls = 1000;
  for (int i = 0; i < 2 * kCalls; ++i) {
    const auto refusal = gate->FindRefusal(
        {need}, [wait](const std::string&) { return wait; },
        from + milliseconds(5 * i));
    if (refusal) {
      CHECK(*refusal >= milliseconds(50));
    }
    if (i >= kCalls && !refusal) ++admitted;
  }
  return static_cast<double>(admitted) / kCalls;
}

// Guards against refusals on one sign alone: a long queue that nested calls
// overtake, or failures that a free upstream causes.
TEST_CASE("a call is refused if its callee is full and fails nested calls") {
  struct gate_case {
    std::optional<duration> wait;
    double in_time;
    bool all_admitted;
  };
  const gate_case cases[] = {
      {milliseconds(0), 1, true},      {milliseconds(900), 1, true},
      {milliseconds(0), 0.1, true},    {milliseconds(900), 0.1, false},
      {milliseconds(900), 0.7, false}, {milliseconds(900), 0.85, true},
      {std::nullopt, 0.1, true},       {milliseconds(369), 0.1, true},
      {milliseconds(371), 0.1, false},
  };
  for (const gate_case& each : cases) {
    CAPTURE(each.in_time);
    callee_gate gate;
    const callee_need need{"ledger", 2, milliseconds(30), kBudget,
                           each.in_time};
    const double share = AdmittedShare(need, each.wait, &gate, kStart);
    CHECK((share == 1) == each.all_admitted);
    CHECK(share >= callee_gate::kMinShare - 0.01);
    // The end of the shortage is noticed.
    CHECK(AdmittedShare(need, milliseconds(0), &gate, kStart + seconds(20)) ==
          1);
  }
}

// Guards against runs whose nested calls fail, and against a gate that shuts
// out more than the callee lacks. The oracle is the callee's capacity.
TEST_CASE("as many runs are admitted as the callee can take") {
  for (const double capacity : {0.3, 0.5, 0.8, 1.2}) {
    callee_gate gate;
    call_tree tree;
    int admitted = 0;
    int answered = 0;
    double room = 0;
    constexpr int kCalls = 20000;
    for (int i = 0; i < kCalls; ++i) {
      const instant now = kStart + milliseconds(2 * i);
      room = std::min(room + capacity, 20.0);
      const auto needs = tree.Needs("read", now);
      const auto refusal = gate.FindRefusal(
          needs, [](const std::string&) { return milliseconds(900); }, now);
      if (refusal) continue;
      const bool has_room = room >= 1;
      if (has_room) room -= 1;
      const auto run = static_cast<std::uint64_t>(i);
      tree.OnRunStarted(run, "read", now);
      tree.OnNestedCall("ledger", kBudget, now);
      tree.OnNestedDone("ledger", milliseconds(30), has_room, now);
      tree.OnRunEnded(run, now + milliseconds(1));
      if (i < kCalls / 2) continue;
      ++admitted;
      answered += has_room ? 1 : 0;
    }
    CAPTURE(capacity);
    constexpr double kAsked = kCalls / 2.0;
    CHECK(answered / kAsked >= 0.9 * std::min(1.0, capacity));
    CHECK(answered >= 0.75 * admitted);
  }
}

TEST_CASE("slots are reserved as far as nested calls fill them") {
  struct reserve_case {
    double busy;  // Slots that nested calls fill.
    int slots;
    int reserved;
  };
  const reserve_case cases[] = {{0, 6, 0},   {0.5, 6, 0}, {1.5, 6, 1},
                                {2.5, 6, 2}, {9, 6, 3},   {9, 1, 0},
                                {9, 0, 0},   {9, 2, 1}};
  for (const reserve_case& each : cases) {
    nested_reserve reserve;
    instant now = kStart;
    for (int i = 0; i < 2000; ++i) {
      now += milliseconds(10);
      const auto work = std::chrono::duration<double>(each.busy * 0.01);
      reserve.OnNestedCall(std::chrono::duration_cast<duration>(work), now);
    }
    CAPTURE(each.busy);
    CHECK(reserve.Slots(each.slots, now) == each.reserved);
    CHECK((reserve.Places(512, now) > 0) == (each.busy > 0));
    CHECK(reserve.Slots(each.slots, now + seconds(20)) == 0);
    CHECK(reserve.Places(512, now + seconds(20)) == 0);
  }
}

}  // namespace
}  // namespace pimentohall::sched
