#include "core/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace pimentohall::core {
namespace {

// Used until service times are known. With the same cost for all calls, the
// upstream is shared by the number of calls.
constexpr double kUnknownCost = 1;
// Weight of a new service time in the running mean of its organisation.
constexpr double kCostSmoothing = 1.0 / 16;
// Bounds the entries of organisations that were removed. Callers can't add
// entries, since organisation names come from the configuration.
constexpr std::size_t kMaxCosts = 1024;

void UpdateMean(double* mean, double sample) {
  *mean = *mean == 0 ? sample : *mean + kCostSmoothing * (sample - *mean);
}

}  // namespace

std::size_t fair_queue::LaneIndex(config::route_class traffic_class) {
  return traffic_class == config::route_class::kInteractive ? 0 : 1;
}

void fair_queue::SetWeights(std::map<std::string, double> weights) {
  weights_ = std::move(weights);
  min_weight_ = 0;
  for (const auto& [name, weight] : weights_) {
    if (weight <= 0) continue;
    if (min_weight_ == 0 || weight < min_weight_) min_weight_ = weight;
  }
  if (min_weight_ == 0) min_weight_ = 1;
}

double fair_queue::Weight(const std::string& organisation) const {
  auto found = weights_.find(organisation);
  if (found == weights_.end()) return min_weight_;
  return std::max(min_weight_, found->second);
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
  UpdateMean(&mean_cost_, sample);
  if (costs_.size() >= kMaxCosts) costs_.clear();
  UpdateMean(&costs_[organisation], sample);
}

std::size_t fair_queue::NextLane() const {
  if (lanes_[0].size == 0) return 1;
  if (lanes_[1].size == 0) return 0;
  return interactive_run_ >= kOvernightShare - 1 ? 1 : 0;
}

const fair_queue::entry* fair_queue::FirstEntry(const class_lane& lane) {
  const flow* first = nullptr;
  for (const auto& [name, candidate] : lane.flows) {
    if (candidate.calls.empty()) continue;
    if (first == nullptr || candidate.virtual_time < first->virtual_time) {
      first = &candidate;
    }
  }
  return first == nullptr ? nullptr : &first->calls.front();
}

const fair_queue::entry* fair_queue::Front() const {
  return FirstEntry(lanes_[NextLane()]);
}

fair_queue::entry fair_queue::Pop() {
  const std::size_t index = NextLane();
  class_lane& lane = lanes_[index];
  if (index == 1) {
    interactive_run_ = 0;
  } else {
    interactive_run_ = lanes_[1].size == 0 ? 0 : interactive_run_ + 1;
  }
  const std::string organisation = FirstEntry(lane)->organisation;
  auto found = lane.flows.find(organisation);
  entry result = std::move(found->second.calls.front());
  found->second.calls.pop_front();
  lane.virtual_time = std::max(lane.virtual_time, found->second.virtual_time);
  found->second.virtual_time += Cost(organisation) / Weight(organisation);
  --lane.size;
  --size_;
  DropIdleFlows(&lane);
  return result;
}

// Drops idle flows that are not ahead of the lane: a new flow starts at the
// virtual time of the lane anyway.
void fair_queue::DropIdleFlows(class_lane* lane) {
  for (auto it = lane->flows.begin(); it != lane->flows.end();) {
    const bool is_idle = it->second.calls.empty() &&
                         it->second.virtual_time <= lane->virtual_time;
    it = is_idle ? lane->flows.erase(it) : std::next(it);
  }
}

std::optional<fair_queue::refusal> fair_queue::Push(const entry& call,
                                                    int slots,
                                                    bool can_start_now,
                                                    instant now) {
  if (call.deadline <= now) return refusal{call.id, reason::kDeadline};
  const bool starts_now = can_start_now && size_ == 0;
  if (!starts_now) {
    const duration wait =
        EstimatedWait(call.organisation, call.traffic_class, slots);
    if (now + wait >= call.deadline) {
      return refusal{call.id, reason::kDeadline};
    }
  }
  class_lane& lane = lanes_[LaneIndex(call.traffic_class)];
  flow& own_flow = lane.flows[call.organisation];
  if (own_flow.calls.empty()) {
    own_flow.virtual_time = std::max(own_flow.virtual_time, lane.virtual_time);
  }
  own_flow.calls.push_back(call);
  ++lane.size;
  ++size_;
  if (size_ <= kCapacity) return std::nullopt;
  const std::uint64_t dropped =
      RemoveNewest(LongestOrganisation(call.organisation));
  return refusal{dropped, reason::kQueueFull};
}

std::size_t fair_queue::Queued(const std::string& organisation) const {
  std::size_t count = 0;
  for (const class_lane& lane : lanes_) {
    auto found = lane.flows.find(organisation);
    if (found != lane.flows.end()) count += found->second.calls.size();
  }
  return count;
}

std::pair<double, double> fair_queue::Excess(
    const std::string& organisation) const {
  const std::size_t queued = Queued(organisation);
  const std::size_t beyond_burst = queued - std::min(queued, kBurst);
  const double weight = Weight(organisation);
  return {static_cast<double>(beyond_burst) / weight,
          static_cast<double>(queued) / weight};
}

// Returns the organisation with the largest excess. Among equals it is
// `newcomer`, else the first by name.
std::string fair_queue::LongestOrganisation(const std::string& newcomer) const {
  std::string longest = newcomer;
  auto max_excess = Excess(newcomer);
  for (const class_lane& lane : lanes_) {
    for (const auto& [name, candidate] : lane.flows) {
      const auto excess = Excess(name);
      const bool is_longer =
          excess > max_excess ||
          (excess == max_excess && longest != newcomer && name < longest);
      if (!is_longer) continue;
      max_excess = excess;
      longest = name;
    }
  }
  return longest;
}

// Removes the newest call of an organisation and returns its id. Ids grow in
// order of arrival, so the newest call has the largest id.
std::uint64_t fair_queue::RemoveNewest(const std::string& organisation) {
  class_lane* newest_lane = nullptr;
  std::uint64_t newest_id = 0;
  for (class_lane& lane : lanes_) {
    auto found = lane.flows.find(organisation);
    if (found == lane.flows.end() || found->second.calls.empty()) continue;
    const std::uint64_t candidate_id = found->second.calls.back().id;
    if (newest_lane != nullptr && candidate_id < newest_id) continue;
    newest_id = candidate_id;
    newest_lane = &lane;
  }
  if (newest_lane == nullptr) return 0;
  auto found = newest_lane->flows.find(organisation);
  EraseCall(newest_lane, found, found->second.calls.size() - 1);
  return newest_id;
}

void fair_queue::EraseCall(class_lane* lane, flow_iterator found,
                           std::size_t position) {
  auto& calls = found->second.calls;
  calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(position));
  --lane->size;
  --size_;
}

bool fair_queue::Remove(std::uint64_t id) {
  for (class_lane& lane : lanes_) {
    for (auto it = lane.flows.begin(); it != lane.flows.end(); ++it) {
      const auto& calls = it->second.calls;
      for (std::size_t i = 0; i < calls.size(); ++i) {
        if (calls[i].id != id) continue;
        EraseCall(&lane, it, i);
        DropIdleFlows(&lane);
        return true;
      }
    }
  }
  return false;
}

std::vector<fair_queue::entry> fair_queue::Expire(instant now) {
  std::vector<entry> expired;
  for (class_lane& lane : lanes_) {
    for (auto it = lane.flows.begin(); it != lane.flows.end(); ++it) {
      auto& calls = it->second.calls;
      for (std::size_t i = 0; i < calls.size();) {
        if (calls[i].deadline > now) {
          ++i;
          continue;
        }
        expired.push_back(calls[i]);
        EraseCall(&lane, it, i);
      }
    }
    DropIdleFlows(&lane);
  }
  return expired;
}

std::vector<fair_queue::entry> fair_queue::Clear() {
  return Expire(instant::max());
}

double fair_queue::TotalWork(const class_lane& lane) const {
  double work = 0;
  for (const auto& [name, candidate] : lane.flows) {
    work += static_cast<double>(candidate.calls.size()) * Cost(name);
  }
  return work;
}

// Total service time of the calls in this lane that start before a new call of
// the organisation, that is, those with an earlier start tag.
double fair_queue::WorkAhead(const class_lane& lane,
                             const std::string& organisation) const {
  auto own_flow = lane.flows.find(organisation);
  double tag = lane.virtual_time;
  if (own_flow != lane.flows.end()) {
    tag = std::max(tag, own_flow->second.virtual_time);
    tag += static_cast<double>(own_flow->second.calls.size()) *
           Cost(organisation) / Weight(organisation);
  }
  double work = 0;
  for (const auto& [name, candidate] : lane.flows) {
    if (candidate.calls.empty() || candidate.virtual_time > tag) continue;
    const double tag_step = Cost(name) / Weight(name);
    const double calls_before_tag =
        std::floor((tag - candidate.virtual_time) / tag_step) + 1;
    const auto queued = static_cast<double>(candidate.calls.size());
    work += std::min(queued, calls_before_tag) * Cost(name);
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
  const double other_lane_work = TotalWork(lanes_[1 - index]);
  const double calls_ahead = work / mean;
  if (index == 0) {
    work += std::min(other_lane_work,
                     mean * std::floor(calls_ahead / kOvernightShare));
  } else {
    work += std::min(other_lane_work,
                     mean * (kOvernightShare - 1) * (calls_ahead + 1));
  }
  // All slots are busy: the first one becomes free after about the service time
  // of one call divided by the number of slots.
  const double wait = (work + mean) / std::max(1, slots);
  return duration(static_cast<std::int64_t>(wait));
}

}  // namespace pimentohall::core
