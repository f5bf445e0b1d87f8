#include "core/slot_limiter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pimentohall::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using result = slot_limiter::call_result;

enum class noise_kind { kConstant, kExponential, kHeavyTail };

// A simulated upstream with `slots` workers and a queue. Calls that find both
// full are shed after 1 ms. While cold it has only `cold_slots` workers.
struct upstream_model {
  std::string name;
  int slots = 10;
  int queue = 1000;
  int cold_slots = 10;
  duration cold_duration{0};
  noise_kind noise = noise_kind::kConstant;
  std::vector<duration> routes = {milliseconds(20)};
  // Share of each second in which there are calls to send.
  double duty_cycle = 1;
  duration restart_at{0};  // Becomes cold again without an error; 0: never.
  double hang_share = 0;   // Share of the calls that time out after 1 s.
};

struct run_result {
  // Throughput after `measure_from` as a share of the capacity of `slots`.
  double share = 0;
  int cold_peak = 0;  // Maximum of the calls in flight while cold.
  int cold_shed = 0;  // Calls shed while cold.
  int shed = 0;
  // Share of the time at limit 1 after `measure_from`.
  double at_limit_one = 0;
  int last_limit = 0;
  double warm_after_s = -1;  // Until 90% of the slots are in use.
};

// Sends as many calls as the limiter permits, in virtual time.
class simulation {
 public:
  simulation(upstream_model model, std::uint64_t seed)
      : model_(std::move(model)), random_(seed) {
    limiter_.SetMax(100);
  }

  // Continues until `length` and measures from `measure_from`; both count from
  // the start of the simulation.
  run_result Run(duration length, duration measure_from) {
    const instant end = instant{} + length;
    measure_from_ = instant{} + measure_from;
    answered_ = 0;
    at_limit_one_ = duration{0};
    while (now_ < end) {
      SendAll();
      const instant before = now_;
      const bool is_at_one = limiter_.Limit(now_) == 1;
      Step();
      if (is_at_one && before >= measure_from_) at_limit_one_ += now_ - before;
    }
    const double capacity = model_.slots / MeanService() * model_.duty_cycle;
    outcome_.share = answered_ / Seconds(length - measure_from) / capacity;
    outcome_.at_limit_one =
        Seconds(at_limit_one_) / Seconds(length - measure_from);
    outcome_.last_limit = limiter_.Limit(now_);
    return outcome_;
  }

  // Mean service time of a call in seconds.
  double MeanService() const {
    double sum = 0;
    for (duration route : model_.routes) sum += Seconds(route);
    return sum / static_cast<double>(model_.routes.size());
  }
  slot_limiter& Limiter() { return limiter_; }
  instant Now() const { return now_; }

 private:
  struct call {
    slot_limiter::ticket ticket;
    std::size_t route = 0;
    duration service{0};
    result outcome = result::kAnswered;
  };

  static double Seconds(duration time) {
    return std::chrono::duration<double>(time).count();
  }
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  double Noise() {
    switch (model_.noise) {
      case noise_kind::kConstant:
        return 1;
      case noise_kind::kExponential:
        return -std::log(1 - Uniform());
      case noise_kind::kHeavyTail:
        // 1 call in 20 takes 10 times as long; the mean is 1.
        return (Uniform() < 0.05 ? 10 : 1) / 1.45;
    }
    return 1;
  }
  bool IsCold() const {
    const duration age = now_ - instant{};
    if (model_.restart_at.count() > 0 && age >= model_.restart_at) {
      return age < model_.restart_at + model_.cold_duration;
    }
    return age < model_.cold_duration;
  }
  int Workers() const { return IsCold() ? model_.cold_slots : model_.slots; }

  void SendAll() {
    const auto in_second = (now_ - instant{}) % seconds(1);
    if (Seconds(in_second) >= model_.duty_cycle) return;
    while (auto ticket = limiter_.TryStart(now_)) {
      if (outcome_.warm_after_s < 0 && 10 * ticket->level >= 9 * model_.slots) {
        outcome_.warm_after_s = Seconds(now_ - instant{});
      }
      call next;
      next.ticket = *ticket;
      next.route = random_() % model_.routes.size();
      next.service = duration(static_cast<std::int64_t>(
          static_cast<double>(model_.routes[next.route].count()) * Noise()));
      if (Uniform() < model_.hang_share) {
        next.service = seconds(1);
        next.outcome = result::kTimedOut;
      }
      Accept(next);
    }
    if (IsCold()) {
      outcome_.cold_peak = std::max(outcome_.cold_peak, limiter_.InFlight());
    }
  }

  void Accept(call next) {
    if (busy_ < Workers()) {
      ++busy_;
      ends_.emplace(now_ + next.service, next);
    } else if (static_cast<int>(waiting_.size()) < model_.queue) {
      waiting_.push_back(next);
    } else {
      next.outcome = result::kShed;
      ends_.emplace(now_ + milliseconds(1), next);
    }
  }

  // Advances to the next end of a call, by at most 1 ms.
  void Step() {
    const instant limit = now_ + milliseconds(1);
    if (ends_.empty() || ends_.begin()->first > limit) {
      now_ = limit;
      FillWorkers();
      return;
    }
    now_ = std::max(now_, ends_.begin()->first);
    const call done = ends_.begin()->second;
    ends_.erase(ends_.begin());
    if (done.outcome == result::kShed) {
      ++outcome_.shed;
      if (IsCold()) ++outcome_.cold_shed;
    } else {
      --busy_;
      if (now_ >= measure_from_) ++answered_;
    }
    limiter_.OnResult(done.ticket, std::to_string(done.route), done.outcome,
                      now_);
    FillWorkers();
  }

  void FillWorkers() {
    while (busy_ < Workers() && !waiting_.empty()) {
      ++busy_;
      ends_.emplace(now_ + waiting_.front().service, waiting_.front());
      waiting_.pop_front();
    }
  }

  upstream_model model_;
  std::mt19937_64 random_;
  slot_limiter limiter_;
  instant now_{};
  instant measure_from_{};
  int busy_ = 0;
  double answered_ = 0;
  duration at_limit_one_{0};
  std::multimap<instant, call> ends_;
  std::deque<call> waiting_;
  run_result outcome_;
};

upstream_model Model(std::string name, int slots, int queue, noise_kind noise) {
  upstream_model model;
  model.name = std::move(name);
  model.slots = slots;
  model.queue = queue;
  model.cold_slots = slots;
  model.noise = noise;
  return model;
}

// Guards against a limit that stays below the number of slots because noise,
// slow routes or calls that take long are mistaken for overload.
TEST_CASE("slot_limiter uses at least 90% of the slots") {
  std::vector<upstream_model> models = {
      Model("10 slots, queue", 10, 1000, noise_kind::kConstant),
      Model("6 slots, queue", 6, 1000, noise_kind::kConstant),
      Model("10 slots, shed", 10, 0, noise_kind::kConstant),
      Model("6 slots, shed", 6, 0, noise_kind::kConstant),
      Model("10 slots, shed, exponential", 10, 0, noise_kind::kExponential),
      Model("6 slots, shed, exponential", 6, 0, noise_kind::kExponential),
      Model("10 slots, queue, exponential", 10, 1000, noise_kind::kExponential),
      Model("6 slots, queue, exponential", 6, 1000, noise_kind::kExponential),
      Model("10 slots, queue, heavy tail", 10, 1000, noise_kind::kHeavyTail),
      Model("6 slots, shed, heavy tail", 6, 0, noise_kind::kHeavyTail),
  };
  upstream_model routes = Model("10 slots, queue, routes of 2, 20, 400 ms", 10,
                                1000, noise_kind::kExponential);
  routes.routes = {milliseconds(2), milliseconds(20), milliseconds(400)};
  models.push_back(routes);
  upstream_model slow =
      Model("6 slots, queue, 1 s calls", 6, 1000, noise_kind::kExponential);
  slow.routes = {seconds(1)};
  models.push_back(slow);
  for (const upstream_model& model : models) {
    for (std::uint64_t seed : {1, 2, 3}) {
      simulation run(model, seed);
      // Warming up takes a number of calls, so the time is in units of the mean
      // service time.
      const duration call_time(
          static_cast<std::int64_t>(1e6 * run.MeanService()));
      const run_result measured = run.Run(2000 * call_time, 200 * call_time);
      INFO("figure: ", model.name, " seed ", seed, ": share ", measured.share,
           ", at limit 1 ", measured.at_limit_one, ", last limit ",
           measured.last_limit, ", shed ", measured.shed, ", warm after ",
           measured.warm_after_s, " s");
      CHECK(measured.share >= 0.9);
      CHECK(measured.at_limit_one < 0.05);
      CHECK(measured.last_limit <= 2 * model.slots);
    }
  }
}

// Guards against growth that overloads a cold upstream.
TEST_CASE("slot_limiter stays within the capacity of a cold upstream") {
  struct test_row {
    std::string name;
    int cold_slots;
    int queue;
    noise_kind noise;
    int max_in_flight;  // Bound of the calls in flight while cold.
    int max_shed;       // Bound of the calls shed while cold.
  };
  // The limiter must exceed the slots by one call to detect their number; noise
  // delays the detection by a few answers.
  const test_row rows[] = {
      {"1 of 10 slots, queue", 1, 1000, noise_kind::kConstant, 2, 0},
      {"2 of 10 slots, queue", 2, 1000, noise_kind::kConstant, 3, 0},
      {"1 of 10 slots, shed", 1, 0, noise_kind::kConstant, 2, 12},
      {"2 of 10 slots, shed", 2, 0, noise_kind::kConstant, 3, 12},
      {"2 of 10 slots, queue, exponential", 2, 1000, noise_kind::kExponential,
       5, 0},
      {"2 of 10 slots, shed, exponential", 2, 0, noise_kind::kExponential, 3,
       16},
  };
  for (const test_row& row : rows) {
    for (std::uint64_t seed : {1, 2, 3}) {
      upstream_model model = Model(row.name, 10, row.queue, row.noise);
      model.cold_slots = row.cold_slots;
      model.cold_duration = seconds(10);
      simulation run(model, seed);
      const run_result measured = run.Run(seconds(60), seconds(25));
      INFO("figure: cold, ", row.name, " seed ", seed, ": in flight ",
           measured.cold_peak, ", shed while cold ", measured.cold_shed,
           ", share after ", measured.share);
      CHECK(measured.cold_peak <= row.max_in_flight);
      CHECK(measured.cold_shed <= row.max_shed);
      CHECK(measured.share >= 0.9);
    }
  }
}

// Guards against a limit that stays high when the upstream restarts without an
// error: only the calls in flight at that moment may exceed its capacity.
TEST_CASE("slot_limiter notices an upstream that becomes cold again") {
  for (int queue : {0, 1000}) {
    upstream_model model = Model("restart", 10, queue, noise_kind::kConstant);
    model.cold_slots = 2;
    model.cold_duration = seconds(10);
    model.restart_at = seconds(30);
    simulation run(model, 1);
    run.Run(seconds(30), seconds(20));
    const run_result cold = run.Run(seconds(32), seconds(31));
    INFO("figure: restart, queue ", queue, ": limit after 2 s ",
         cold.last_limit, ", shed ", cold.shed);
    CHECK(cold.last_limit <= 3);
    const run_result warm = run.Run(seconds(90), seconds(55));
    INFO("figure: restart, queue ", queue, ": share after the cold phase ",
         warm.share);
    CHECK(warm.share >= 0.9);
  }
}

// Guards against idle time that is mistaken for spare capacity, and against a
// limit that is kept over a long idle time in which the upstream may have
// restarted.
TEST_CASE("slot_limiter infers nothing from an idle upstream") {
  slot_limiter limiter;
  instant now{};
  for (int i = 0; i < 10000; ++i) {
    const auto call = limiter.TryStart(now);
    REQUIRE(call);
    now += milliseconds(10);
    limiter.OnResult(*call, "route", result::kAnswered, now);
    now += milliseconds(50);
  }
  CHECK(limiter.Limit(now) <= 2);

  simulation busy(Model("busy", 10, 0, noise_kind::kConstant), 1);
  busy.Run(seconds(10), seconds(5));
  REQUIRE(busy.Limiter().Limit(busy.Now()) >= 9);
  while (busy.Limiter().InFlight() > 0) {
    busy.Limiter().OnResult({}, "0", result::kAbandoned, busy.Now());
  }
  REQUIRE(busy.Limiter().TryStart(busy.Now() + seconds(40)));
  CHECK(busy.Limiter().Limit(busy.Now() + seconds(40)) <= 1);
}

// Guards against randomly hanging calls that block all others.
TEST_CASE("slot_limiter keeps most slots although some calls hang") {
  upstream_model model = Model("hang", 10, 1000, noise_kind::kConstant);
  model.hang_share = 0.02;
  simulation run(model, 1);
  const run_result measured = run.Run(seconds(120), seconds(10));
  // A hanging call holds its slot for 1 s, 50 times as long as a normal call.
  const double possible = 1 / (0.98 + 0.02 * 50);
  INFO("figure: 2% of the calls hang: share of the possible ",
       measured.share / possible, ", at limit 1 ", measured.at_limit_one);
  CHECK(measured.share >= 0.8 * possible);
  CHECK(measured.at_limit_one < 0.05);
}

// Guards against wrong reports that reduce the throughput permanently.
TEST_CASE("slot_limiter lets answers override reports") {
  struct test_row {
    bool healthy;
    double load;
  };
  for (const test_row& row :
       {test_row{false, 0}, test_row{true, 1}, test_row{false, 1}}) {
    simulation run(Model("reports", 10, 0, noise_kind::kConstant), 1);
    run.Run(seconds(10), seconds(5));
    slot_limiter& limiter = run.Limiter();
    const int before = limiter.Limit(run.Now());
    limiter.OnReport(row.healthy, row.load, run.Now());
    CHECK(limiter.Limit(run.Now()) <= before);
    double share = 0;
    for (int second = 11; second <= 70; ++second) {
      limiter.OnReport(row.healthy, row.load, run.Now());
      const run_result measured = run.Run(seconds(second), seconds(second - 1));
      if (second > 20) share += measured.share / 50;
    }
    INFO("figure: report healthy ", row.healthy, " load ", row.load, ": limit ",
         before, " before, share with reports each second ", share);
    CHECK(share >= 0.9);
  }
}

// Guards against reports that raise the limit.
TEST_CASE("slot_limiter lowers the limit for a report but never raises it") {
  simulation run(Model("reports", 10, 0, noise_kind::kConstant), 1);
  run.Run(seconds(10), seconds(5));
  slot_limiter& limiter = run.Limiter();
  const int before = limiter.Limit(run.Now());
  limiter.OnReport(true, 0, run.Now());
  CHECK(limiter.Limit(run.Now()) == before);
  limiter.OnReport(false, 0, run.Now());
  CHECK(limiter.Limit(run.Now()) == before / 2);
  limiter.OnReport(true, 0, run.Now());
  CHECK(limiter.Limit(run.Now()) == before / 2);
  CHECK(limiter.Limit(run.Now() + seconds(6)) == before);
}

// Guards against an upstream that is treated as warm after it crashed.
TEST_CASE("slot_limiter falls back to cold") {
  struct test_row {
    const char* name;
    std::vector<result> results;
    duration gap;
    bool is_cold;
  };
  const test_row rows[] = {
      {"refused", {result::kRefused}, duration{0}, true},
      {"two lost at once",
       {result::kLost, result::kLost},
       milliseconds(5),
       true},
      {"one lost", {result::kLost}, duration{0}, false},
      {"two lost far apart", {result::kLost, result::kLost}, seconds(1), false},
      {"cancelled",
       {result::kAbandoned, result::kAbandoned},
       duration{0},
       false},
  };
  for (const test_row& row : rows) {
    CAPTURE(row.name);
    simulation run(Model("fall", 10, 0, noise_kind::kConstant), 1);
    run.Run(seconds(10), seconds(5));
    slot_limiter& limiter = run.Limiter();
    instant now = run.Now();
    for (result outcome : row.results) {
      limiter.OnResult({}, "0", outcome, now);
      now += row.gap;
    }
    CHECK((limiter.Limit(now) == 1) == row.is_cold);
  }
}

// Guards against calls immediately after a refused connection, and against a
// backoff that grows without bound.
TEST_CASE("slot_limiter backs off after refused connections") {
  slot_limiter limiter;
  instant now{};
  duration backoff{0};
  for (int i = 0; i < 10; ++i) {
    const auto call = limiter.TryStart(now);
    REQUIRE(call);
    limiter.OnResult(*call, "route", result::kRefused, now);
    CHECK_FALSE(limiter.CanStart(now));
    backoff = limiter.BackoffUntil() - now;
    now = limiter.BackoffUntil();
  }
  CHECK(limiter.IsDown());
  CHECK(backoff == seconds(1));
  const auto call = limiter.TryStart(now);
  limiter.OnResult(*call, "route", result::kAnswered, now);
  CHECK_FALSE(limiter.IsDown());
  CHECK(limiter.CanStart(now));
}

}  // namespace
}  // namespace pimentohall::core
