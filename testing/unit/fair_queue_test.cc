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

// The same order from its definition: every waiting call in one list, every
// tag computed again for each decision.
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
      if (Relative(name) > Relative(longest)) longest = name;
    }
    std::uint64_t newest = 0;
    for (const auto& each : calls_) {
      if (each.organisation == longest) newest = std::max(newest, each.id);
    }
    Remove(newest);
    return newest;
  }

  std::uint64_t Pop() {
    const bool has_interactive = CountClass(kInteractive) > 0;
    const bool has_overnight = CountClass(kOvernight) > 0;
    const bool is_overnight_turn = has_overnight && run_ >= 15;
    const auto lane =
        has_interactive && !is_overnight_turn ? kInteractive : kOvernight;
    run_ = lane == kInteractive && has_overnight ? run_ + 1 : 0;
    std::optional<flow_key> best;
    for (const auto& [key, tag] : tags_) {
      if (key.first != lane || Count(key) == 0) continue;
      if (!best || tag < tags_[*best]) best = key;
    }
    const auto first = std::find_if(
        calls_.begin(), calls_.end(), [&](const fair_queue::entry& each) {
          return flow_key{each.traffic_class, each.organisation} == *best;
        });
    const std::uint64_t id = first->id;
    calls_.erase(first);
    class_time_[lane] = std::max(class_time_[lane], tags_[*best]);
    tags_[*best] += costs_[best->second] / weights_[best->second];
    return id;
  }

  bool Remove(std::uint64_t id) {
    const auto found =
        std::find_if(calls_.begin(), calls_.end(),
                     [id](const auto& each) { return each.id == id; });
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
        calls_.begin(), calls_.end(), [&](const fair_queue::entry& each) {
          return flow_key{each.traffic_class, each.organisation} == key;
        }));
  }
  std::size_t CountClass(route_class lane) const {
    std::size_t count = 0;
    for (const auto& each : calls_) count += each.traffic_class == lane;
    return count;
  }
  std::pair<double, double> Relative(const std::string& name) {
    const auto count = static_cast<int>(Count({kInteractive, name}) +
                                        Count({kOvernight, name}));
    return {std::max(0, count - 8) / weights_[name], count / weights_[name]};
  }

  std::map<std::string, double> weights_;
  std::map<std::string, double> costs_;
  std::vector<fair_queue::entry> calls_;
  std::map<flow_key, double> tags_;
  std::map<route_class, double> class_time_;
  int run_ = 0;
};

// Guards against an order or a loss that differs from the definition.
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
      // Fills for some time, then drains.
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

// Guards against overnight calls that wait forever or that delay others.
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

// Guards against a full queue that refuses a small organisation for the calls
// of a large one, and against one that a flood empties.
TEST_CASE("fair_queue takes the newest call of the longest organisation") {
  struct row {
    const char* name;
    double weight_a;
    int queued_a;  // The rest of the 64 are calls of b, which came first.
    const char* newcomer;
    const char* loser;
  };
  const row rows[] = {
      {"flood of b", 1, 4, "a", "b"},
      {"b itself", 1, 4, "b", "b"},
      {"a third organisation", 1, 4, "c", "b"},
      {"small weight within the burst", 0.01, 7, "a", "b"},
      {"small weight beyond the burst", 0.01, 9, "c", "a"},
      {"equal: the newcomer loses", 1, 32, "a", "a"},
      {"a may hold more", 10, 50, "a", "b"},
      {"a holds too much", 10, 60, "c", "a"},
  };
  for (const row& each : rows) {
    CAPTURE(each.name);
    fair_queue queue;
    queue.SetWeights({{"a", each.weight_a}, {"b", 1}, {"c", 1}});
    std::uint64_t id = 1;
    std::map<std::string, std::uint64_t> newest;
    const auto push = [&](const std::string& name) {
      newest[name] = id;
      return queue.Push(Call(id++, name), 10, false, instant{});
    };
    while (id <= 64 - static_cast<std::uint64_t>(each.queued_a)) push("b");
    while (id <= 64) push("a");
    const auto refused = push(each.newcomer);
    REQUIRE(refused);
    CHECK(refused->id == newest[each.loser]);
    CHECK(refused->why == reason::kQueueFull);
    CHECK(queue.Size() == fair_queue::kCapacity);
  }
}

// Guards against calls that wait in vain, and against refusals of calls that
// would have been in time.
TEST_CASE("fair_queue refuses what cannot meet its deadline") {
  struct row {
    const char* name;
    int queued;
    const char* organisation;
    int deadline_ms;
    bool has_room;
    bool refused;
  };
  // 10 slots and calls of 20 ms: 1 call each 2 ms.
  const row rows[] = {
      {"in time", 20, "b", 45, false, false},
      {"too late", 20, "b", 40, false, true},
      {"another organisation goes first", 20, "a", 10, false, false},
      {"empty and room", 0, "a", 1, true, false},
      {"no room", 0, "a", 1, false, true},
      {"passed", 0, "a", 0, true, true},
  };
  for (const row& each : rows) {
    CAPTURE(each.name);
    fair_queue queue;
    queue.SetWeights({{"a", 1}, {"b", 1}});
    for (const char* name : {"a", "b"}) queue.OnServed(name, milliseconds(20));
    std::uint64_t id = 1;
    for (int i = 0; i < each.queued; ++i) {
      queue.Push(Call(id++, "b"), 10, false, instant{});
    }
    const auto call = Call(id, each.organisation, kInteractive,
                           instant{} + milliseconds(each.deadline_ms));
    const auto refused = queue.Push(call, 10, each.has_room, instant{});
    CHECK(refused.has_value() == each.refused);
    if (refused) CHECK(refused->id == id);
    if (refused) CHECK(refused->why == reason::kDeadline);
  }
}

// Guards against an estimate that is far from the wait that follows.
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

// Guards against calls that stay after their deadline.
TEST_CASE("fair_queue expires calls") {
  fair_queue queue;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    queue.Push(Call(id, id % 2 == 0 ? "a" : "b", kInteractive,
                    instant{} + milliseconds(static_cast<int>(id))),
               10, false, instant{});
  }
  std::set<std::uint64_t> expired;
  for (const auto& each : queue.Expire(instant{} + milliseconds(7))) {
    expired.insert(each.id);
  }
  CHECK(expired == std::set<std::uint64_t>{1, 2, 3, 4, 5, 6, 7});
  CHECK(queue.Size() == 13);
  CHECK(queue.Clear().size() == 13);
  CHECK(queue.Front() == nullptr);
}

// One upstream with 10 slots. Each organisation sends calls at random times at
// `load` times its share of the upstream's time.
struct sender {
  const char* name;
  double weight;
  double service_ms;
  double load;
};
std::map<std::string, double> AnsweredShare(const std::vector<sender>& senders,
                                            std::uint64_t seed) {
  constexpr int kSlots = 10;
  std::mt19937_64 random(seed);
  fair_queue queue;
  std::map<std::string, double> weights;
  double all_weights = 0;
  for (const sender& each : senders) {
    weights[each.name] = each.weight;
    all_weights += each.weight;
  }
  queue.SetWeights(weights);
  std::map<std::string, int> sent;
  std::map<std::string, int> answered;
  std::multimap<instant, std::size_t> arrivals;
  const auto schedule = [&](std::size_t i, instant from) {
    const sender& each = senders[i];
    const double rate = each.load * kSlots * each.weight / all_weights /
                        each.service_ms;  // Calls per ms.
    const double draw = static_cast<double>(random() >> 11) * 0x1.0p-53;
    const double gap_us = -std::log(1 - draw) / rate * 1000;
    arrivals.emplace(from + duration(1 + static_cast<std::int64_t>(gap_us)), i);
  };
  for (std::size_t i = 0; i < senders.size(); ++i) schedule(i, instant{});
  std::multimap<instant, std::size_t> running;
  std::map<std::uint64_t, std::size_t> owner;
  std::uint64_t id = 1;
  instant now{};
  while (now < instant{} + seconds(30)) {
    const bool is_end =
        !running.empty() && running.begin()->first <= arrivals.begin()->first;
    now = is_end ? running.begin()->first : arrivals.begin()->first;
    if (is_end) {
      const sender& each = senders[running.begin()->second];
      queue.OnServed(
          each.name,
          duration(static_cast<std::int64_t>(1000 * each.service_ms)));
      ++answered[each.name];
      running.erase(running.begin());
    } else {
      const std::size_t i = arrivals.begin()->second;
      arrivals.erase(arrivals.begin());
      schedule(i, now);
      ++sent[senders[i].name];
      owner[id] = i;
      queue.Push(Call(id++, senders[i].name, kInteractive, now + seconds(2)),
                 kSlots, running.size() < kSlots, now);
    }
    queue.Expire(now);
    while (running.size() < kSlots && queue.Size() > 0) {
      const std::size_t i = owner[queue.Pop().id];
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

// Guards against an organisation that takes the time of another by sending
// more than its share, also with calls that cost more.
TEST_CASE("fair_queue serves a small organisation beside a flood") {
  struct row {
    const char* name;
    std::vector<sender> senders;
  };
  const row rows[] = {
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
  for (const row& each : rows) {
    for (std::uint64_t seed : {1, 2, 3}) {
      double least = 1;
      const auto shares = AnsweredShare(each.senders, seed);
      for (const auto& [name, share] : shares) {
        if (name != "large") least = std::min(least, share);
      }
      INFO("figure: fair_queue, ", std::string(each.name), ", seed ", seed,
           ": answered share of the worst organisation within its share ",
           least, ", of the large one ", shares.at("large"));
      CHECK(least >= 0.95);
    }
  }
}

}  // namespace
}  // namespace pimentohall::core
