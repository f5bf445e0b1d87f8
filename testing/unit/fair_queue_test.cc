#include "core/fair_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pimentohall::core {
namespace {

using config::route_class;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kInteractive = route_class::kInteractive;
constexpr auto kOvernight = route_class::kOvernight;

fair_queue::entry Call(std::uint64_t id, const std::string& organisation,
                       route_class traffic_class = kInteractive,
                       instant deadline = instant{} + seconds(60)) {
  return {id, organisation, traffic_class, deadline};
}

// Reference implementation of the order, straight from its definition: all
// waiting calls are in one list, which is searched anew for each decision.
class oracle {
 public:
  explicit oracle(std::map<std::string, double> weights)
      : weights_(std::move(weights)) {}

  // Returns the id of the refused call, or 0.
  std::uint64_t Push(const fair_queue::entry& call) {
    const flow_key key{call.traffic_class, call.organisation};
    if (Count(key) == 0) {
      tags_[key] = std::max(tags_[key], class_time_[call.traffic_class]);
    }
    calls_.push_back(call);
    if (calls_.size() <= fair_queue::kCapacity) return 0;
    std::string longest = call.organisation;
    for (const auto& [name, weight] : weights_) {
      if (Excess(name) > Excess(longest)) longest = name;
    }
    std::uint64_t newest = 0;
    for (const auto& call : calls_) {
      if (call.organisation == longest) newest = std::max(newest, call.id);
    }
    Remove(newest);
    return newest;
  }

  std::uint64_t Pop() {
    const bool has_interactive = CountClass(kInteractive) > 0;
    const bool has_overnight = CountClass(kOvernight) > 0;
    const bool is_overnight_turn = has_overnight && interactive_run_ >= 15;
    const auto lane =
        has_interactive && !is_overnight_turn ? kInteractive : kOvernight;
    interactive_run_ =
        lane == kInteractive && has_overnight ? interactive_run_ + 1 : 0;
    std::optional<flow_key> next_key;
    for (const auto& [key, tag] : tags_) {
      if (key.first != lane || Count(key) == 0) continue;
      if (!next_key || tag < tags_[*next_key]) next_key = key;
    }
    const auto first = std::find_if(
        calls_.begin(), calls_.end(), [&](const fair_queue::entry& call) {
          return flow_key{call.traffic_class, call.organisation} == *next_key;
        });
    const std::uint64_t id = first->id;
    calls_.erase(first);
    class_time_[lane] = std::max(class_time_[lane], tags_[*next_key]);
    tags_[*next_key] += costs_[next_key->second] / weights_[next_key->second];
    return id;
  }

  bool Remove(std::uint64_t id) {
    const auto found =
        std::find_if(calls_.begin(), calls_.end(),
                     [id](const auto& call) { return call.id == id; });
    if (found == calls_.end()) return false;
    calls_.erase(found);
    return true;
  }

  void SetCost(const std::string& organisation, double cost) {
    costs_[organisation] = cost;
  }
  std::size_t Size() const { return calls_.size(); }

 private:
  using flow_key = std::pair<route_class, std::string>;

  std::size_t Count(const flow_key& key) const {
    return static_cast<std::size_t>(std::count_if(
        calls_.begin(), calls_.end(), [&](const fair_queue::entry& call) {
          return flow_key{call.traffic_class, call.organisation} == key;
        }));
  }
  std::size_t CountClass(route_class lane) const {
    std::size_t count = 0;
    for (const auto& call : calls_) count += call.traffic_class == lane;
    return count;
  }
  std::pair<double, double> Excess(const std::string& name) {
    const auto count = static_cast<int>(Count({kInteractive, name}) +
                                        Count({kOvernight, name}));
    return {std::max(0, count - 8) / weights_[name], count / weights_[name]};
  }

  std::map<std::string, double> weights_;
  std::map<std::string, double> costs_;
  std::vector<fair_queue::entry> calls_;
  std::map<flow_key, double> tags_;
  std::map<route_class, double> class_time_;
  int interactive_run_ = 0;
};

// Guards against calls that are served or refused in another order than the
// definition says.
TEST_CASE("fair_queue agrees with a plain oracle") {
  const std::map<std::string, double> weights = {
      {"a", 1}, {"b", 2}, {"c", 5}, {"d", 40}};
  const std::map<std::string, int> costs = {
      {"a", 1000}, {"b", 30000}, {"c", 4000}, {"d", 700}};
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    fair_queue queue;
    queue.SetWeights(weights);
    oracle expected(weights);
    for (const auto& [name, cost] : costs) {
      queue.OnServed(name, duration(cost));
      expected.SetCost(name, cost);
    }
    std::uint64_t next = 1;
    for (int step = 0; step < 2000; ++step) {
      const auto action = random() % 100;
      // The queue fills for 250 of each 400 steps, then drains.
      if (action < (step % 400 < 250 ? 60 : 35)) {
        const std::string name(1, static_cast<char>('a' + random() % 4));
        const auto lane = random() % 3 == 0 ? kOvernight : kInteractive;
        const auto call =
            Call(next++, name, lane, instant{} + std::chrono::hours(9));
        const auto refused = queue.Push(call, 10, false, instant{});
        REQUIRE((refused ? refused->id : 0) == expected.Push(call));
      } else if (action < 95) {
        REQUIRE(queue.Size() == expected.Size());
        if (queue.Size() == 0) continue;
        const std::uint64_t front = queue.Front()->id;
        REQUIRE(queue.Pop().id == front);
        REQUIRE(front == expected.Pop());
      } else {
        const std::uint64_t id = 1 + random() % next;
        REQUIRE(queue.Remove(id) == expected.Remove(id));
      }
    }
  }
}

// Guards against overnight calls that starve or that delay interactive calls.
TEST_CASE("fair_queue gives one call in 16 to overnight calls") {
  fair_queue queue;
  std::uint64_t id = 1;
  for (int i = 0; i < 32; ++i) {
    queue.Push(Call(id++, "a"), 1, false, instant{});
    queue.Push(Call(id++, "b", kOvernight), 1, false, instant{});
  }
  int overnight = 0;
  for (int i = 0; i < 160; ++i) {
    if (queue.Pop().traffic_class == kOvernight) {
      ++overnight;
      queue.Push(Call(id++, "b", kOvernight), 1, false, instant{});
    } else {
      queue.Push(Call(id++, "a"), 1, false, instant{});
    }
  }
  CHECK(overnight == 10);
}

// Guards against a full queue that refuses the calls of a small organisation in
// favour of a large one, and against a flood that displaces the calls of
// others.
TEST_CASE("fair_queue refuses the newest call of the longest organisation") {
  struct test_row {
    const char* name;
    double weight_a;
    int queued_a;  // The rest of the 64 are calls of b, which arrived first.
    const char* newcomer;
    const char* refused_organisation;
  };
  const test_row rows[] = {
      {"flood of b", 1, 4, "a", "b"},
      {"b itself", 1, 4, "b", "b"},
      {"a third organisation", 1, 4, "c", "b"},
      {"small weight within the burst", 0.01, 7, "a", "b"},
      {"small weight beyond the burst", 0.01, 9, "c", "a"},
      {"equal: the newcomer loses", 1, 32, "a", "a"},
      {"a may hold more", 10, 50, "a", "b"},
      {"a holds too much", 10, 60, "c", "a"},
  };
  for (const test_row& row : rows) {
    CAPTURE(row.name);
    fair_queue queue;
    queue.SetWeights({{"a", row.weight_a}, {"b", 1}, {"c", 1}});
    std::uint64_t id = 1;
    std::map<std::string, std::uint64_t> newest;
    const auto push = [&](const std::string& name) {
      newest[name] = id;
      return queue.Push(Call(id++, name), 10, false, instant{});
    };
    while (id <= 64 - static_cast<std::uint64_t>(row.queued_a)) push("b");
    while (id <= 64) push("a");
    const auto refused = push(row.newcomer);
    REQUIRE(refused);
    CHECK(refused->id == newest[row.refused_organisation]);
    CHECK(refused->why == reason::kQueueFull);
    CHECK(queue.Size() == fair_queue::kCapacity);
  }
}

// Guards against calls that wait although they can't meet their deadline, and
// against the refusal of calls that would have met it.
TEST_CASE("fair_queue refuses calls that cannot meet their deadline") {
  struct test_row {
    const char* name;
    int queued;
    const char* organisation;
    int deadline_ms;
    bool can_start_now;
    bool refused;
  };
  // 10 slots and calls of 20 ms: 1 call each 2 ms.
  const test_row rows[] = {
      {"in time", 20, "b", 45, false, false},
      {"too late", 20, "b", 40, false, true},
      {"another organisation goes first", 20, "a", 10, false, false},
      {"empty and room", 0, "a", 1, true, false},
      {"no room", 0, "a", 1, false, true},
      {"passed", 0, "a", 0, true, true},
  };
  for (const test_row& row : rows) {
    CAPTURE(row.name);
    fair_queue queue;
    queue.SetWeights({{"a", 1}, {"b", 1}});
    for (const char* name : {"a", "b"}) queue.OnServed(name, milliseconds(20));
    std::uint64_t id = 1;
    for (int i = 0; i < row.queued; ++i) {
      queue.Push(Call(id++, "b"), 10, false, instant{});
    }
    const auto call = Call(id, row.organisation, kInteractive,
                           instant{} + milliseconds(row.deadline_ms));
    const auto refused = queue.Push(call, 10, row.can_start_now, instant{});
    CHECK(refused.has_value() == row.refused);
    if (refused) CHECK(refused->id == id);
    if (refused) CHECK(refused->why == reason::kDeadline);
  }
}

// Guards against an estimate that differs much from the actual wait.
TEST_CASE("fair_queue estimates the wait") {
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    fair_queue queue;
    queue.SetWeights({{"a", 1}, {"b", 3}, {"c", 9}});
    for (const char* name : {"a", "b", "c"}) {
      queue.OnServed(name, milliseconds(20));
    }
    std::uint64_t id = 1;
    const int waiting = 1 + static_cast<int>(random() % 60);
    for (int i = 0; i < waiting; ++i) {
      const std::string name(1, static_cast<char>('a' + random() % 3));
      const auto lane = random() % 4 == 0 ? kOvernight : kInteractive;
      queue.Push(Call(id++, name, lane), 1, false, instant{});
    }
    const duration estimate = queue.EstimatedWait("b", kInteractive, 1);
    queue.Push(Call(id, "b"), 1, false, instant{});
    int ahead = 0;
    while (queue.Pop().id != id) ++ahead;
    const auto calls = static_cast<int>(estimate / milliseconds(20));
    CHECK(std::abs(calls - 1 - ahead) <= 2);
  }
}

// Guards against calls that stay in the queue after their deadline.
TEST_CASE("fair_queue expires calls") {
  fair_queue queue;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    queue.Push(Call(id, id % 2 == 0 ? "a" : "b", kInteractive,
                    instant{} + milliseconds(static_cast<int>(id))),
               10, false, instant{});
  }
  std::set<std::uint64_t> expired;
  for (const auto& call : queue.Expire(instant{} + milliseconds(7))) {
    expired.insert(call.id);
  }
  CHECK(expired == std::set<std::uint64_t>{1, 2, 3, 4, 5, 6, 7});
  CHECK(queue.Size() == 13);
  CHECK(queue.Clear().size() == 13);
  CHECK(queue.Front() == nullptr);
}

// An organisation that sends calls at random times, at `load` times its share
// of the upstream's time.
struct sender {
  const char* name;
  double weight;
  double service_ms;
  double load;
};

// Simulates one upstream with 10 slots for 30 s of virtual time. Returns the
// share of its calls that was answered, by organisation.
std::map<std::string, double> AnsweredShare(const std::vector<sender>& senders,
                                            std::uint64_t seed) {
  constexpr int kSlots = 10;
  std::mt19937_64 random(seed);
  fair_queue queue;
  std::map<std::string, double> weights;
  double total_weight = 0;
  for (const sender& sender : senders) {
    weights[sender.name] = sender.weight;
    total_weight += sender.weight;
  }
  queue.SetWeights(weights);
  std::map<std::string, int> sent;
  std::map<std::string, int> answered;
  std::multimap<instant, std::size_t> arrivals;
  const auto schedule = [&](std::size_t i, instant start) {
    const sender& sender = senders[i];
    const double rate = sender.load * kSlots * sender.weight / total_weight /
                        sender.service_ms;  // Calls per ms.
    const double draw = static_cast<double>(random() >> 11) * 0x1.0p-53;
    const double gap_us = -std::log(1 - draw) / rate * 1000;
    arrivals.emplace(start + duration(1 + static_cast<std::int64_t>(gap_us)),
                     i);
  };
  for (std::size_t i = 0; i < senders.size(); ++i) schedule(i, instant{});
  std::multimap<instant, std::size_t> running;
  std::map<std::uint64_t, std::size_t> sender_of_call;
  std::uint64_t id = 1;
  instant now{};
  while (now < instant{} + seconds(30)) {
    const bool is_call_end =
        !running.empty() && running.begin()->first <= arrivals.begin()->first;
    now = is_call_end ? running.begin()->first : arrivals.begin()->first;
    if (is_call_end) {
      const sender& sender = senders[running.begin()->second];
      queue.OnServed(
          sender.name,
          duration(static_cast<std::int64_t>(1000 * sender.service_ms)));
      ++answered[sender.name];
      running.erase(running.begin());
    } else {
      const std::size_t i = arrivals.begin()->second;
      arrivals.erase(arrivals.begin());
      schedule(i, now);
      ++sent[senders[i].name];
      sender_of_call[id] = i;
      queue.Push(Call(id++, senders[i].name, kInteractive, now + seconds(2)),
                 kSlots, running.size() < kSlots, now);
    }
    queue.Expire(now);
    while (running.size() < kSlots && queue.Size() > 0) {
      const std::size_t i = sender_of_call[queue.Pop().id];
      running.emplace(now + duration(static_cast<std::int64_t>(
                                1000 * senders[i].service_ms)),
                      i);
    }
  }
  std::map<std::string, double> shares;
  for (const auto& [name, count] : sent) {
    shares[name] = static_cast<double>(answered[name]) / count;
  }
  return shares;
}

// Guards against an organisation that takes the time of others by sending more
// than its share, also with calls that take longer.
TEST_CASE("fair_queue serves a small organisation beside a flood") {
  struct test_row {
    const char* name;
    std::vector<sender> senders;
  };
  const test_row rows[] = {
      {"large at 5 times its share",
       {{"small", 1, 20, 0.9}, {"large", 9, 20, 5}}},
      {"equal shares, one at 5 times",
       {{"small", 1, 20, 0.9}, {"large", 1, 20, 5}}},
      {"one at 5 times with calls of 100 ms",
       {{"small", 1, 20, 0.9}, {"large", 9, 100, 5}}},
      {"seven within their share, one at 5 times",
       {{"small", 1, 20, 0.9},
        {"s2", 1, 20, 0.9},
        {"s3", 2, 20, 0.9},
        {"s4", 2, 40, 0.9},
        {"s5", 4, 20, 0.9},
        {"s6", 4, 5, 0.9},
        {"s7", 8, 20, 0.9},
        {"large", 10, 20, 5}}},
  };
  for (const test_row& row : rows) {
    for (std::uint64_t seed : {1, 2, 3}) {
      double min_share = 1;
      const auto shares = AnsweredShare(row.senders, seed);
      for (const auto& [name, share] : shares) {
        if (name != "large") min_share = std::min(min_share, share);
      }
      INFO("figure: fair_queue, ", std::string(row.name), ", seed ", seed,
           ": answered share of the worst organisation within its share ",
           min_share, ", of the large one ", shares.at("large"));
      CHECK(min_share >= 0.95);
    }
  }
}

}  // namespace
}  // namespace pimentohall::core
