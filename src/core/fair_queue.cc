#include "core/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace pimentohall::core {
namespace {

// Any equal value shares by number of calls until service times are known.
constexpr double kUnknownCost = 1;
// Weight of a new service time in the running mean of its organisation.
constexpr double kCostGain = 1.0 / 16;
// Callers choose no organisation names, but removed organisations would stay.
constexpr std::size_t kMaxCosts = 1024;

void Average(double* mean, double sample) {
  *mean = *mean == 0 ? sample : *mean + kCostGain * (sample - *mean);
}

}  // namespace

std::size_t fair_queue::LaneIndex(config::route_class traffic_class) {
  return traffic_class == config::route_class::kInteractive ? 0 : 1;
}

void fair_queue::SetWeights(std::map<std::string, double> weights) {
  weights_ = std::move(weights);
  least_weight_ = 0;
  for (const auto& [name, weight] : weights_) {
    if (weight <= 0) continue;
    if (least_weight_ == 0 || weight < least_weight_) least_weight_ = weight;
  }
  if (least_weight_ == 0) least_weight_ = 1;
}

double fair_queue::Weight(const std::string& organisation) const {
  auto found = weights_.find(organisation);
  if (found == weights_.end()) return least_weight_;
  return std::max(least_weight_, found->second);
}

double fair_queue::Cost(const std::string& organisation) const {
  auto found = costs_.find(organisation);
  if (found != costs_.end()) return found->second;
  return mean_cost_ == 0 ? kUnknownCost : mean_cost_;
}

void fair_queue::OnServed(const std::string& organisation,
                          duration service_time) {
  const double sample =
      std::max<double>(1, static_cast<double>(service_time.count()));
  Average(&mean_cost_, sample);
  if (costs_.size() >= kMaxCosts) costs_.clear();
  Average(&costs_[organisation], sample);
}

std::size_t fair_queue::NextLane() const {
  if (lanes_[0].size == 0) return 1;
  if (lanes_[1].size == 0) return 0;
  return interactive_run_ >= kOvernightShare - 1 ? 1 : 0;
}

const fair_queue::entry* fair_queue::FirstOf(const lane& waiting) {
  const flow* first = nullptr;
  for (const auto& [name, candidate] : waiting.flows) {
    if (candidate.calls.empty()) continue;
    if (first == nullptr || candidate.virtual_time < first->virtual_time) {
      first = &candidate;
    }
  }
  return first == nullptr ? nullptr : &first->calls.front();
}

const fair_queue::entry* fair_queue::Front() const {
  return FirstOf(lanes_[NextLane()]);
}

fair_queue::entry fair_queue::Pop() {
  const std::size_t index = NextLane();
  lane& waiting = lanes_[index];
  if (index == 1) {
    interactive_run_ = 0;
  } else {
    interactive_run_ = lanes_[1].size == 0 ? 0 : interactive_run_ + 1;
  }
  const std::string organisation = FirstOf(waiting)->organisation;
  auto found = waiting.flows.find(organisation);
  entry result = std::move(found->second.calls.front());
  found->second.calls.pop_front();
  waiting.virtual_time =
      std::max(waiting.virtual_time, found->second.virtual_time);
  found->second.virtual_time += Cost(organisation) / Weight(organisation);
  --waiting.size;
  --size_;
  ForgetIdle(&waiting);
  return result;
}

// Drops idle flows that are not ahead of the class: they would start at the
// virtual time of the class anyway. An empty lane restarts at zero.
void fair_queue::ForgetIdle(lane* waiting) {
  for (auto it = waiting->flows.begin(); it != waiting->flows.end();) {
    const bool is_idle = it->second.calls.empty() &&
                         it->second.virtual_time <= waiting->virtual_time;
    it = is_idle ? waiting->flows.erase(it) : std::next(it);
  }
}

std::optional<fair_queue::refusal> fair_queue::Push(const entry& call,
                                                    int slots, bool has_room,
                                                    instant now) {
  if (call.deadline <= now) return refusal{call.id, reason::kDeadline};
  const bool starts_now = has_room && size_ == 0;
  if (!starts_now) {
    const duration wait =
        EstimatedWait(call.organisation, call.traffic_class, slots);
    if (now + wait >= call.deadline) {
      return refusal{call.id, reason::kDeadline};
    }
  }
  lane& waiting = lanes_[LaneIndex(call.traffic_class)];
  flow& own = waiting.flows[call.organisation];
  if (own.calls.empty()) {
    own.virtual_time = std::max(own.virtual_time, waiting.virtual_time);
  }
  own.calls.push_back(call);
  ++waiting.size;
  ++size_;
  if (size_ <= kCapacity) return std::nullopt;
  const std::uint64_t dropped =
      RemoveNewest(LongestOrganisation(call.organisation));
  return refusal{dropped, reason::kQueueFull};
}

std::size_t fair_queue::Queued(const std::string& organisation) const {
  std::size_t count = 0;
  for (const lane& waiting : lanes_) {
    auto found = waiting.flows.find(organisation);
    if (found != waiting.flows.end()) count += found->second.calls.size();
  }
  return count;
}

std::pair<double, double> fair_queue::Excess(
    const std::string& organisation) const {
  const std::size_t queued = Queued(organisation);
  const std::size_t beyond = queued - std::min(queued, kBurst);
  const double weight = Weight(organisation);
  return {static_cast<double>(beyond) / weight,
          static_cast<double>(queued) / weight};
}

// Among equals `preferred` loses, then the first by name.
std::string fair_queue::LongestOrganisation(
    const std::string& preferred) const {
  std::string longest = preferred;
  auto greatest = Excess(preferred);
  for (const lane& waiting : lanes_) {
    for (const auto& [name, candidate] : waiting.flows) {
      const auto excess = Excess(name);
      const bool is_longer =
          excess > greatest ||
          (excess == greatest && longest != preferred && name < longest);
      if (!is_longer) continue;
      greatest = excess;
      longest = name;
    }
  }
  return longest;
}

// Ids grow with the arrival, so the newest call has the greatest.
std::uint64_t fair_queue::RemoveNewest(const std::string& organisation) {
  lane* newest_lane = nullptr;
  std::uint64_t newest = 0;
  for (lane& waiting : lanes_) {
    auto found = waiting.flows.find(organisation);
    if (found == waiting.flows.end() || found->second.calls.empty()) continue;
    const std::uint64_t last = found->second.calls.back().id;
    if (newest_lane != nullptr && last < newest) continue;
    newest = last;
    newest_lane = &waiting;
  }
  if (newest_lane == nullptr) return 0;
  auto found = newest_lane->flows.find(organisation);
  EraseAt(newest_lane, found, found->second.calls.size() - 1);
  return newest;
}

void fair_queue::EraseAt(lane* waiting, lane_flow found, std::size_t position) {
  auto& calls = found->second.calls;
  calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(position));
  --waiting->size;
  --size_;
}

bool fair_queue::Remove(std::uint64_t id) {
  for (lane& waiting : lanes_) {
    for (auto it = waiting.flows.begin(); it != waiting.flows.end(); ++it) {
      const auto& calls = it->second.calls;
      for (std::size_t i = 0; i < calls.size(); ++i) {
        if (calls[i].id != id) continue;
        EraseAt(&waiting, it, i);
        ForgetIdle(&waiting);
        return true;
      }
    }
  }
  return false;
}

std::vector<fair_queue::entry> fair_queue::Expire(instant now) {
  std::vector<entry> expired;
  for (lane& waiting : lanes_) {
    for (auto it = waiting.flows.begin(); it != waiting.flows.end(); ++it) {
      auto& calls = it->second.calls;
      for (std::size_t i = 0; i < calls.size();) {
        if (calls[i].deadline > now) {
          ++i;
          continue;
        }
        expired.push_back(calls[i]);
        EraseAt(&waiting, it, i);
      }
    }
    ForgetIdle(&waiting);
  }
  return expired;
}

std::vector<fair_queue::entry> fair_queue::Clear() {
  return Expire(instant::max());
}

double fair_queue::TotalWork(const lane& waiting) const {
  double work = 0;
  for (const auto& [name, candidate] : waiting.flows) {
    work += static_cast<double>(candidate.calls.size()) * Cost(name);
  }
  return work;
}

// Service time of the calls that start before a new call of the organisation:
// those with an earlier start tag.
double fair_queue::WorkAhead(const lane& waiting,
                             const std::string& organisation) const {
  auto own = waiting.flows.find(organisation);
  double tag = waiting.virtual_time;
  if (own != waiting.flows.end()) {
    tag = std::max(tag, own->second.virtual_time);
    tag += static_cast<double>(own->second.calls.size()) * Cost(organisation) /
           Weight(organisation);
  }
  double work = 0;
  for (const auto& [name, candidate] : waiting.flows) {
    if (candidate.calls.empty() || candidate.virtual_time > tag) continue;
    const double step = Cost(name) / Weight(name);
    const double earlier =
        std::floor((tag - candidate.virtual_time) / step) + 1;
    const auto queued = static_cast<double>(candidate.calls.size());
    work += std::min(queued, earlier) * Cost(name);
  }
  return work;
}

duration fair_queue::EstimatedWait(const std::string& organisation,
                                   config::route_class traffic_class,
                                   int slots) const {
  if (mean_cost_ == 0) return duration{0};
  const std::size_t index = LaneIndex(traffic_class);
  double work = WorkAhead(lanes_[index], organisation);
  const double mean = mean_cost_;
  const double other = TotalWork(lanes_[1 - index]);
  const double calls_ahead = work / mean;
  if (index == 0) {
    work += std::min(other, mean * std::floor(calls_ahead / kOvernightShare));
  } else {
    work += std::min(other, mean * (kOvernightShare - 1) * (calls_ahead + 1));
  }
  // All slots are busy: the first one is free after about one call's time
  // divided by the slots.
  const double wait = (work + mean) / std::max(1, slots);
  return duration(static_cast<std::int64_t>(wait));
}

}  // namespace pimentohall::core
