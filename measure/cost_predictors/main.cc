// cost_predictors [SEEDS [FIRST]]: compares predictors of the cost of a call on
// the same generated loads, mean over SEEDS seeds (default 8) from FIRST (1)
// on. Each call is predicted before it is learned from; the first 2 s aren't
// counted. The last line is the time of cost_predictor::Remaining.
//
//   error    mean absolute error of the mean, as a share of the mean cost
//   rms      root of the mean squared error, likewise
//   explains RMS of the expected cost of the call's kind - prediction, likewise
//   below    share of the calls below the high estimate; 0.80 is right

#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "cost_predictors/candidates.h"

namespace pimentohall::measure {
namespace {

using std::chrono::milliseconds;

constexpr core::instant kStart{std::chrono::seconds(1000)};

struct drawn_call {
  sched::call_features features;
  double kind_ms = 100;  // Expected cost.
  core::duration work{0};
};

struct load {
  const char* name;
  double sigma;
  // Sets the features and the expected cost.
  void (*draw)(std::mt19937_64*, drawn_call*);
};

int Below(std::mt19937_64* random, int count) {
  return std::uniform_int_distribution<int>(0, count - 1)(*random);
}

template <std::size_t Count>
const char* OneOf(std::mt19937_64* random, const char* const (&names)[Count]) {
  return names[Below(random, static_cast<int>(Count))];
}

constexpr const char* kCallers[] = {"desk", "shop", "till", "night"};
constexpr const char* kTenants[] = {"a", "b", "c", "d", "e", "f", "g", "h"};
constexpr const char* kPaths[] = {"/items/1", "/items/1/lines", "/search",
                                  "/totals/7", "/people/3"};

void DrawAny(std::mt19937_64* random, drawn_call* call) {
  call->features = {"read",
                    "GET",
                    OneOf(random, kPaths),
                    OneOf(random, kCallers),
                    OneOf(random, kTenants),
                    static_cast<double>(Below(random, 60000))};
}

// The path tells, by a factor of up to 10.
void DrawByPath(std::mt19937_64* random, drawn_call* call) {
  DrawAny(random, call);
  constexpr double kMs[] = {30, 60, 300, 120, 90};
  for (std::size_t i = 0; i < std::size(kPaths); ++i) {
    if (call->features.path == kPaths[i]) call->kind_ms = kMs[i];
  }
}

// One tenant in eight and one caller in four are costly.
void DrawByOrigin(std::mt19937_64* random, drawn_call* call) {
  DrawAny(random, call);
  call->kind_ms = 60 * (call->features.tenant == "c" ? 4 : 1) *
                  (call->features.caller_service == "night" ? 3 : 1);
}

void DrawBySize(std::mt19937_64* random, drawn_call* call) {
  DrawAny(random, call);
  call->kind_ms = 40 + call->features.body_bytes / 200;
}

// No feature tells.
void DrawHidden(std::mt19937_64* random, drawn_call* call) {
  DrawAny(random, call);
  call->kind_ms = 130;
}

constexpr load kLoads[] = {
    {"the path tells", 0.5, DrawByPath},
    {"tenant and caller tell", 0.5, DrawByOrigin},
    {"the size tells", 0.5, DrawBySize},
    {"nothing tells, narrow", 0.3, DrawHidden},
    {"nothing tells, wide", 0.8, DrawHidden},
};

core::duration DrawWork(std::mt19937_64* random, const load& from,
                        double kind_ms) {
  std::normal_distribution<double> normal(-from.sigma * from.sigma / 2,
                                          from.sigma);
  double ms = kind_ms * std::exp(normal(*random));
  // 1 in 100 takes 3 to 7 times as long.
  if (Below(random, 100) == 0) ms *= 3 + Below(random, 5);
  return core::duration(static_cast<std::int64_t>(ms * 1000) + 1);
}

struct score {
  double error = 0;
  double squares = 0;
  double kind_squares = 0;
  double cost = 0;
  int below = 0;
  int calls = 0;
  std::size_t bytes = 0;
  double ns = 0;  // A call: one prediction and one observation.
};

void Play(const load& from, const named_candidate& which, std::uint64_t seed,
          score* sum) {
  constexpr int kCalls = 6000;
  constexpr int kLearning = 200;
  constexpr double kTail = 1.04;  // Mean effect of the 1 in 100.
  std::mt19937_64 random(seed);
  const auto costs = which.make();
  core::instant now = kStart;
  for (int i = 0; i < kCalls; ++i, now += milliseconds(10)) {
    drawn_call call;
    from.draw(&random, &call);
    call.work = DrawWork(&random, from, call.kind_ms);
    const auto before = std::chrono::steady_clock::now();
    const prediction guess = costs->Predict(call.features, now);
    costs->Observe(call.features, call.work, now);
    const auto after = std::chrono::steady_clock::now();
    if (i < kLearning) continue;
    const double ms = static_cast<double>(call.work.count()) / 1000;
    sum->error += std::abs(guess.mean - ms);
    sum->squares += std::pow(guess.mean - ms, 2);
    sum->kind_squares += std::pow(guess.mean - call.kind_ms * kTail, 2);
    sum->cost += ms;
    sum->below += ms <= guess.high ? 1 : 0;
    ++sum->calls;
    sum->ns += std::chrono::duration<double, std::nano>(after - before).count();
  }
  sum->bytes = std::max(sum->bytes, costs->MemoryBytes());
}

void PrintScore(const load& from, const named_candidate& which,
                const score& sum) {
  const double mean = sum.cost / sum.calls;
  std::printf("| %s | %s | %.3f | %.3f | %.3f | %.2f | %.1f | %.0f |\n",
              from.name, which.name.c_str(), sum.error / sum.calls / mean,
              std::sqrt(sum.squares / sum.calls) / mean,
              std::sqrt(sum.kind_squares / sum.calls) / mean,
              static_cast<double>(sum.below) / sum.calls,
              static_cast<double>(sum.bytes) / 1024, sum.ns / sum.calls);
}

void PrintRemaining() {
  constexpr int kCalls = 1'000'000;
  sched::cost_predictor costs;
  const sched::cost_key key = sched::KeyOf({"read", "GET", "/a", "b", "c", 0});
  for (int i = 0; i < 100; ++i) costs.Observe(key, milliseconds(100), kStart);
  core::duration sum{0};
  const auto before = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls; ++i) {
    sum +=
        costs.Remaining(key, milliseconds(i % 300), milliseconds(100), kStart);
  }
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - before;
  std::printf("remaining time: %.0f ns, mean %.0f ms\n", took.count() / kCalls,
              static_cast<double>(sum.count()) / kCalls / 1000);
}

}  // namespace
}  // namespace pimentohall::measure

int main(int argc, char** argv) {
  using namespace pimentohall::measure;  // NOLINT
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 8;
  const int first = argc > 2 ? std::atoi(argv[2]) : 1;
  std::printf(
      "| load | predictor | error | rms | explains | below | KB | ns |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const load& from : kLoads) {
    for (const named_candidate& which : Candidates()) {
      score sum;
      for (int seed = first; seed < first + seeds; ++seed) {
        Play(from, which, static_cast<std::uint64_t>(seed), &sum);
      }
      PrintScore(from, which, sum);
    }
  }
  PrintRemaining();
  return 0;
}
