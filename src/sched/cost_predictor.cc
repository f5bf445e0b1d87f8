#include <algorithm>
#include <cmath>

#include "pimentohall/sched.h"

namespace pimentohall::sched {
namespace {

using std::chrono::minutes;

// 50 KB in all, see MemoryBytes().
constexpr std::size_t kRouteEntries = 64;
constexpr std::size_t kEffectEntries = 1024;
constexpr std::size_t kSpreadEntries = 192;
constexpr std::size_t kWays = 4;  // Places for one key.

constexpr duration kMaxWork = minutes(10);
// A run counts at most as this many times more or less than predicted.
const double kMaxLogStep = std::log(8.0);
// And by this much for an effect, since up to four of them change at once.
const double kMaxEffectStep = std::log(8.0);
// Each run of a route lets its mean differ from the fallback by this factor.
const double kTrustedPerRun = std::log(4.0);
// Weight of the parent's value against the runs of an effect, and of the
// fallback against the runs of a route.
constexpr double kEffectPriors[] = {2, 8, 8, 8};
// Number of runs that an effect is a mean over, at most. Effects that learned
// from the errors of others early must forget that soon.
constexpr double kMaxEffectWeight = 96;
constexpr double kRoutePrior = 2;
constexpr double kSpreadPrior = 16;
// Runs of a path shape after which errors count to a quarter.
constexpr double kMaturePrior = 6;
// A mean is over about this many runs, so that it follows a lasting change.
constexpr double kMaxWeight = 128;
constexpr double kMaxSpreadWeight = 400;
constexpr float kTrustDecay = 1 - 1.0F / 256;
// Bins of the ratio of cost and prediction, from 1/16 to 16, three to each
// factor of 2.
constexpr double kBinsPerOctave = 3;
constexpr double kLowestOctave = -4;
constexpr double kHighShare = 0.8;
// A run is assumed to have at least this share of its mean left.
constexpr double kMinLeft = 0.125;

double ToMs(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

duration FromMs(double ms) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

double Clip(double step, double most) { return std::clamp(step, -most, most); }

double BinStart(std::size_t bin) {
  return std::exp2(kLowestOctave + static_cast<double>(bin) / kBinsPerOctave);
}

std::size_t BinOf(double log_ratio, std::size_t bins) {
  const double place =
      (log_ratio / std::log(2.0) - kLowestOctave) * kBinsPerOctave;
  return static_cast<std::size_t>(
      std::clamp(place, 0.0, static_cast<double>(bins) - 1));
}

template <typename Array>
Array BinCenters() {
  Array centers{};
  for (std::size_t i = 0; i < centers.size(); ++i) {
    centers[i] =
        static_cast<float>(BinStart(i) * std::exp2(0.5 / kBinsPerOctave));
  }
  return centers;
}

// A log-normal distribution of usual width, with 2 in 100 runs far longer.
template <typename Array>
Array PriorBins() {
  const auto share_below = [](double ratio) {
    const double z = std::log(ratio) / std::sqrt(2.0);
    return 0.5 * (0.98 * std::erfc(-z / 0.5) + 0.02 * std::erfc(-z + 1.1));
  };
  Array bins{};
  double below = 0;
  for (std::size_t i = 0; i < bins.size(); ++i) {
    const double next = i + 1 == bins.size() ? 1 : share_below(BinStart(i + 1));
    bins[i] = static_cast<float>(next - below);
    below = next;
  }
  return bins;
}

template <typename Entry>
double WeightAt(const Entry& of, instant now) {
  const std::chrono::duration<double> age = now - of.at;
  if (age.count() <= 0) return of.weight;
  return of.weight * std::exp2(-age.count() / cost_predictor::kHalfLifeS);
}

template <typename Entry>
std::size_t FirstPlace(const std::vector<Entry>& table, std::uint64_t key) {
  return key % (table.size() / kWays) * kWays;
}

template <typename Entry>
const Entry* Find(const std::vector<Entry>& table, std::uint64_t key) {
  const std::size_t first = FirstPlace(table, key);
  for (std::size_t i = first; i < first + kWays; ++i) {
    if (table[i].key == key) return &table[i];
  }
  return nullptr;
}

// The entry of the key; the lightest one of its places if it has none.
template <typename Entry>
Entry& Take(std::vector<Entry>* table, std::uint64_t key, instant now) {
  const std::size_t first = FirstPlace(*table, key);
  Entry* lightest = &(*table)[first];
  for (std::size_t i = first; i < first + kWays; ++i) {
    Entry& each = (*table)[i];
    if (each.key == key) return each;
    if (WeightAt(each, now) < WeightAt(*lightest, now)) lightest = &each;
  }
  *lightest = Entry{};
  lightest->key = key;
  lightest->at = now;
  return *lightest;
}

// Adds a run to a mean that differs from it by `step`.
template <typename Entry>
void AddRun(Entry* mean, double step, double max_weight, instant now) {
  const double weight = std::min(WeightAt(*mean, now), max_weight - 1);
  mean->mean += static_cast<float>(step / (weight + 1));
  mean->weight = static_cast<float>(weight + 1);
  mean->at = std::max(mean->at, now);
}

template <typename Entry>
double Effect(const Entry* of, std::size_t kind, instant now) {
  if (of == nullptr) return 0;
  const double weight = WeightAt(*of, now);
  return of->mean * weight / (weight + kEffectPriors[kind]);
}

}  // namespace

float cost_predictor::trust::Value() const {
  return std::clamp(explained / squares, 0.0F, 1.0F);
}

cost_predictor::cost_predictor()
    : routes_(kRouteEntries),
      effects_(kEffectEntries),
      spreads_(kSpreadEntries) {}

cost_predictor::prediction cost_predictor::Sum(const route_entry& route,
                                               const cost_key& call,
                                               instant now) const {
  prediction sum;
  sum.log_mean = route.mean;
  sum.route_weight = WeightAt(route, now);
  for (std::size_t i = 0; i < cost_key::kEffects; ++i) {
    sum.effects[i] = Effect(Find(effects_, call.effects[i]), i, now);
    sum.log_mean += sum.effects[i] * route.trusts[i].Value();
  }
  return sum;
}

void cost_predictor::Observe(const cost_key& call, duration work, instant now) {
  if (work.count() <= 0 || work > kMaxWork) return;
  const double log_ms = std::log(ToMs(work));
  route_entry& route = Take(&routes_, call.route, now);
  if (route.weight > 0) {
    const double residual = LearnEffects(&route, call, log_ms, now);
    const double share = Maturity(call, now);
    LearnSpread(call.route, residual, share, now);
    LearnSpread(call.effects[cost_key::kPath], residual, share, now);
  }
  const double step = log_ms - route.mean;
  AddRun(&route, route.weight > 0 ? Clip(step, kMaxLogStep) : step, kMaxWeight,
         now);
}

// Each kind of effects learns what the kinds before it leave unexplained.
// Returns what is left, without the shrinkage of the path's effect: until that
// is learned, the shrinkage would be taken for a wide distribution.
double cost_predictor::LearnEffects(route_entry* route, const cost_key& call,
                                    double log_ms, instant now) {
  double left = log_ms - route->mean;
  double residual = left;
  for (std::size_t i = 0; i < cost_key::kEffects; ++i) {
    entry& learned = Take(&effects_, call.effects[i], now);
    const double effect = Effect(&learned, i, now);
    trust& trusted = route->trusts[i];
    trusted.explained =
        trusted.explained * kTrustDecay + static_cast<float>(left * effect);
    trusted.squares = trusted.squares * kTrustDecay +
                      static_cast<float>(effect * effect) + 1e-4F;
    AddRun(&learned, Clip(left - learned.mean, kMaxEffectStep),
           kMaxEffectWeight, now);
    const double updated = Effect(&learned, i, now);
    left -= updated * trusted.Value();
    residual -=
        (i == cost_key::kPath ? learned.mean : updated) * trusted.Value();
  }
  return residual;
}

// The errors made while an effect is still being learned would widen the
// distribution for long.
double cost_predictor::Maturity(const cost_key& call, instant now) const {
  const entry* const path = Find(effects_, call.effects[cost_key::kPath]);
  if (path == nullptr) return 0;
  const double weight = WeightAt(*path, now);
  return std::pow(weight / (weight + kMaturePrior), 2);
}

void cost_predictor::LearnSpread(std::uint64_t key, double residual,
                                 double share, instant now) {
  spread_entry& spread = Take(&spreads_, key, now);
  const double weight = std::min(WeightAt(spread, now), kMaxSpreadWeight - 1);
  const auto keep =
      static_cast<float>(spread.weight > 0 ? weight / spread.weight : 0);
  for (float& bin : spread.bins) bin *= keep;
  spread.bins[BinOf(Clip(residual, kMaxLogStep), kBins)] +=
      static_cast<float>(share);
  spread.weight = static_cast<float>(weight + share);
  spread.at = std::max(spread.at, now);
}

cost_predictor::distribution cost_predictor::Distribution(const cost_key& call,
                                                          duration fallback,
                                                          instant now) const {
  static const histogram kPrior = PriorBins<histogram>();
  static const histogram kCenters = BinCenters<histogram>();
  distribution result;
  result.mass = kPrior;
  const auto mix = [&](std::uint64_t key) {
    const spread_entry* const spread = Find(spreads_, key);
    if (spread == nullptr || spread->weight <= 0) return;
    const double weight = WeightAt(*spread, now);
    const auto parent =
        static_cast<float>(kSpreadPrior / (weight + kSpreadPrior));
    const float own = (1 - parent) / spread->weight;
    for (std::size_t i = 0; i < kBins; ++i) {
      result.mass[i] = result.mass[i] * parent + spread->bins[i] * own;
    }
  };
  mix(call.route);
  mix(call.effects[cost_key::kPath]);
  double mean_ratio = 0;
  for (std::size_t i = 0; i < kBins; ++i) {
    mean_ratio += result.mass[i] * kCenters[i];
  }
  result.mean_ms = std::max(ToMs(fallback), 0.001);
  if (const route_entry* const route = Find(routes_, call.route)) {
    const prediction sum = Sum(*route, call, now);
    const double weight = sum.route_weight;
    const double learned = std::exp(sum.log_mean) * mean_ratio;
    // A few runs may be wrong altogether.
    const double most = std::exp(kTrustedPerRun * std::min(weight, 20.0));
    const double bounded =
        std::clamp(learned, result.mean_ms / most, result.mean_ms * most);
    result.mean_ms +=
        (bounded - result.mean_ms) * weight / (weight + kRoutePrior);
  }
  result.base_ms = result.mean_ms / mean_ratio;
  return result;
}

cost_estimate cost_predictor::Predict(const cost_key& call, duration fallback,
                                      instant now) const {
  const distribution costs = Distribution(call, fallback, now);
  cost_estimate estimate;
  estimate.mean = FromMs(costs.mean_ms);
  double below = 0;
  std::size_t bin = 0;
  while (bin + 1 < kBins && below + costs.mass[bin] < kHighShare) {
    below += costs.mass[bin++];
  }
  const double part = (kHighShare - below) /
                      std::max(1e-6, static_cast<double>(costs.mass[bin]));
  estimate.high =
      FromMs(costs.base_ms * BinStart(bin) *
             std::exp2(std::clamp(part, 0.0, 1.0) / kBinsPerOctave));
  return estimate;
}

duration cost_predictor::Remaining(const cost_key& call, duration age,
                                   duration fallback, instant now) const {
  static const histogram kCenters = BinCenters<histogram>();
  const distribution costs = Distribution(call, fallback, now);
  const double age_ms = std::max(0.0, ToMs(age));
  if (age_ms == 0) return FromMs(costs.mean_ms);
  const double place = std::clamp(
      (std::log2(age_ms / costs.base_ms) - kLowestOctave) * kBinsPerOctave, 0.0,
      static_cast<double>(kBins));
  const auto first = static_cast<std::size_t>(place);
  double mass = 0;
  double left_ms = 0;
  for (std::size_t i = first; i < kBins; ++i) {
    // The runs of the bin that contains the age are spread evenly over it.
    const double above = i == first ? 1 - (place - std::floor(place)) : 1;
    const double center = i == first
                              ? (age_ms + costs.base_ms * BinStart(i + 1)) / 2
                              : costs.base_ms * kCenters[i];
    mass += costs.mass[i] * above;
    left_ms += costs.mass[i] * above * std::max(0.0, center - age_ms);
  }
  const double least = costs.mean_ms * kMinLeft;
  return FromMs(mass > 1e-6 ? std::max(least, left_ms / mass) : least);
}

std::size_t cost_predictor::Routes() const {
  return static_cast<std::size_t>(
      std::count_if(routes_.begin(), routes_.end(),
                    [](const route_entry& each) { return each.key != 0; }));
}

std::size_t cost_predictor::MemoryBytes() const {
  return sizeof(*this) + routes_.capacity() * sizeof(route_entry) +
         effects_.capacity() * sizeof(entry) +
         spreads_.capacity() * sizeof(spread_entry);
}

}  // namespace pimentohall::sched
