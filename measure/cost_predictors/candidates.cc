#include "cost_predictors/candidates.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <unordered_map>

#include "pimentohall/mesh.h"

namespace pimentohall::measure {
namespace {

using sched::call_features;
using sched::cost_key;

constexpr core::duration kFallback = std::chrono::milliseconds(100);
constexpr double kHighZ = 0.8416;  // Of a normal distribution.
constexpr double kNodeBytes = 48;  // Of a map's node beside its value.

double ToMs(core::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// What the egress does without cost routing. Its high estimate is its mean.
class route_mean : public candidate {
 public:
  prediction Predict(const call_features& call,
                     core::instant now) const override {
    const double mean =
        ToMs(mean_.Expect(std::string(call.route), kFallback, now));
    return {mean, mean};
  }
  void Observe(const call_features& call, core::duration work,
               core::instant now) override {
    mean_.Observe(std::string(call.route), work, now);
    routes_[std::string(call.route)] = true;
  }
  std::size_t MemoryBytes() const override {
    constexpr std::size_t kValueBytes = 64;
    return routes_.size() *
           (kValueBytes + static_cast<std::size_t>(kNodeBytes));
  }

 private:
  mesh::time_estimator mean_;
  std::map<std::string, bool> routes_;  // For the memory only.
};

class hierarchical : public candidate {
 public:
  prediction Predict(const call_features& call,
                     core::instant now) const override {
    const sched::cost_estimate cost = costs_.Predict(call, kFallback, now);
    return {ToMs(cost.mean), ToMs(cost.high)};
  }
  void Observe(const call_features& call, core::duration work,
               core::instant now) override {
    costs_.Observe(call, work, now);
  }
  std::size_t MemoryBytes() const override { return costs_.MemoryBytes(); }

 private:
  sched::cost_predictor costs_;
};

// Weights of hashed features for the logarithm of the cost, by stochastic
// gradient steps. One variance for all calls.
class hashed_regression : public candidate {
 public:
  prediction Predict(const call_features& call, core::instant) const override {
    const double log_ms = Sum(sched::KeyOf(call));
    const double sigma = std::sqrt(variance_);
    return {std::exp(log_ms + variance_ / 2),
            std::exp(log_ms + kHighZ * sigma)};
  }
  void Observe(const call_features& call, core::duration work,
               core::instant) override {
    constexpr double kRate = 0.02;
    const cost_key key = sched::KeyOf(call);
    const double error = std::log(ToMs(work)) - Sum(key);
    variance_ += kRate * (error * error - variance_);
    weights_[Place(key.route)] += kRate * error;
    for (const auto each : key.effects) weights_[Place(each)] += kRate * error;
  }
  std::size_t MemoryBytes() const override { return sizeof(*this); }

 private:
  static constexpr std::size_t kWeights = 4096;
  static std::size_t Place(std::uint64_t hash) { return hash % kWeights; }
  double Sum(const cost_key& key) const {
    double sum = std::log(ToMs(kFallback)) + weights_[Place(key.route)];
    for (const auto each : key.effects) sum += weights_[Place(each)];
    return sum;
  }
  std::array<double, kWeights> weights_{};
  double variance_ = 0.25;
};

// One sketch of the distribution for each route and path shape: counts in
// logarithmic bins, halved at a limit.
class bucket_sketches : public candidate {
 public:
  prediction Predict(const call_features& call, core::instant) const override {
    const auto found =
        sketches_.find(sched::KeyOf(call).effects[cost_key::kPath]);
    if (found == sketches_.end()) return {ToMs(kFallback), ToMs(kFallback)};
    const sketch& seen = found->second;
    prediction result;
    double below = 0;
    for (std::size_t i = 0; i < kBins; ++i) {
      const double share = seen.counts[i] / seen.total;
      result.mean += share * Center(i);
      if (below < 0.8) result.high = Center(i) * kHalfBin;
      below += share;
    }
    return result;
  }
  void Observe(const call_features& call, core::duration work,
               core::instant) override {
    constexpr float kMaxTotal = 400;
    sketch& seen = sketches_[sched::KeyOf(call).effects[cost_key::kPath]];
    const double place = std::log2(std::max(ToMs(work), 1.0)) * kPerOctave;
    ++seen.counts[static_cast<std::size_t>(
        std::min(place, static_cast<double>(kBins - 1)))];
    if (++seen.total < kMaxTotal) return;
    seen.total /= 2;
    for (float& count : seen.counts) count /= 2;
  }
  std::size_t MemoryBytes() const override {
    return sketches_.size() *
           (sizeof(sketch) + static_cast<std::size_t>(kNodeBytes));
  }

 private:
  static constexpr std::size_t kBins = 52;  // From 1 ms to 8 s.
  static constexpr double kPerOctave = 4;
  static constexpr double kHalfBin = 1.0905;  // 2^(1/8)
  static double Center(std::size_t bin) {
    return std::exp2((static_cast<double>(bin) + 0.5) / kPerOctave);
  }
  struct sketch {
    std::array<float, kBins> counts{};
    float total = 0;
  };
  std::unordered_map<std::uint64_t, sketch> sketches_;
};

template <typename Kind>
named_candidate Named(const char* name) {
  return {name, [] { return std::make_unique<Kind>(); }};
}

}  // namespace

const std::vector<named_candidate>& Candidates() {
  static const std::vector<named_candidate> kAll = {
      Named<route_mean>("mean by route"), Named<hierarchical>("hierarchical"),
      Named<hashed_regression>("hashed regression"),
      Named<bucket_sketches>("sketch by bucket")};
  return kAll;
}

}  // namespace pimentohall::measure
