// Without keys, every call of callers on the VM counted as nested: it went
// ahead of others, was late up to its deadline, and was retried like a nested
// one.

#include <doctest/doctest.h>

#include <random>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

using std::chrono::milliseconds;

TEST_CASE("nested_routes judges a call by what it may take") {
  struct row {
    const char* what;
    std::optional<duration> budget;
    std::optional<duration> longest_run;
    bool nested;
  };
  const row rows[] = {
      {"no run is open", milliseconds(100), {}, false},
      {"without a budget", {}, milliseconds(900), false},
      {"longer than every run", milliseconds(1500), milliseconds(800), false},
      {"ends with its run", milliseconds(400), milliseconds(400), true},
      {"rounded", milliseconds(400), milliseconds(396), true},
      {"shorter", milliseconds(120), milliseconds(800), true},
  };
  for (const row& each : rows) {
    CAPTURE(each.what);
    nested_routes routes;
    CHECK(routes.OnCall("r", each.budget, each.longest_run) == each.nested);
  }
}

// A load as at a VM with several open runs: callers with a budget of 1,500 ms,
// two in five of them later attempts with less; nested calls of 400 ms, one in
// ten made by a cancelled run.
TEST_CASE("nested_routes tells routes apart under load") {
  std::mt19937 random(11);
  const auto draw = [&random](int most) {
    return static_cast<int>(random() % static_cast<unsigned>(most));
  };
  nested_routes routes;
  int wrong = 0;
  for (int i = 0; i < 2000; ++i) {
    const duration longest = milliseconds(300 + draw(1150));
    const int first = draw(5) < 3 ? 1500 : 200 + draw(1000);
    const bool callers = routes.OnCall("view", milliseconds(first), longest);
    const bool of_cancelled = draw(10) == 0;
    const bool nested = routes.OnCall(
        "check", milliseconds(of_cancelled ? 400 : 250 + draw(50)),
        of_cancelled ? std::optional<duration>() : longest);
    if (i < 20) continue;
    if (callers) ++wrong;
    if (!nested && !of_cancelled) ++wrong;
  }
  CHECK(wrong <= 20);
}

TEST_CASE("nested_routes bounds its memory") {
  nested_routes routes;
  for (std::size_t i = 0; i <= nested_routes::kMaxRoutes; ++i) {
    routes.OnCall(std::to_string(i), milliseconds(1), milliseconds(10));
  }
  CHECK_FALSE(routes.OnCall("beyond", milliseconds(1), milliseconds(10)));
}

}  // namespace
}  // namespace pimentohall::sched
