#include "sim/oracle.h"

#include <algorithm>

namespace pimentohall::sim {
namespace {

// An exact token bucket whose contract changes over time. A change keeps the
// tokens, up to the new burst.
class reference_bucket {
 public:
  explicit reference_bucket(const std::vector<contract_record>& contracts)
      : contracts_(contracts) {
    if (!contracts_.empty()) tokens_ = contracts_.front().burst;
  }

  bool Take(core::instant now) {
    if (contracts_.empty()) return false;
    Advance(now);
    // Absorbs rounding of times to whole microseconds.
    constexpr double kEpsilon = 1e-6;
    if (tokens_ + kEpsilon < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  void Advance(core::instant now) {
    while (current_ + 1 < contracts_.size() &&
           contracts_[current_ + 1].since <= now) {
      Refill(contracts_[current_ + 1].since);
      ++current_;
      tokens_ = std::min(tokens_, contracts_[current_].burst);
    }
    Refill(now);
  }

  void Refill(core::instant now) {
    const contract_record& contract = contracts_[current_];
    const std::chrono::duration<double> elapsed = now - updated_;
    tokens_ = std::min(contract.burst,
                       tokens_ + contract.rate_per_s * elapsed.count());
    updated_ = now;
  }

  const std::vector<contract_record>& contracts_;
  std::size_t current_ = 0;
  double tokens_ = 0;
  core::instant updated_{};
};

// Above its rate an organisation may have other calls admitted than the
// reference bucket would choose, so the counts of each window are compared.
constexpr core::duration kWindow = std::chrono::seconds(1);

struct window_tally {
  std::uint64_t allowed = 0;  // By the reference bucket.
  std::uint64_t admitted = 0;
  std::uint64_t answered = 0;
};

std::uint64_t Shortfall(std::uint64_t wanted, std::uint64_t got) {
  return wanted > got ? wanted - got : 0;
}

bool IsLimitRefusal(core::reason why) {
  return why == core::reason::kRateExceeded ||
         why == core::reason::kConcurrencyExceeded;
}

bool IsAnswered(const call_record& call) {
  return call.answered && call.outcome == core::outcome_kind::kAnswered &&
         call.http_status < 500;
}

}  // namespace

double verdict::WrongfulPpm() const {
  if (inside_rate == 0) return 0;
  return 1e6 * static_cast<double>(wrongful_refusals) /
         static_cast<double>(inside_rate);
}

double verdict::Success() const {
  if (inside_rate == 0) return 1;
  return 1 - static_cast<double>(unanswered_inside_rate) /
                 static_cast<double>(inside_rate);
}

call_record* oracle::Find(core::call_id call) {
  const auto found = calls_.find(call);
  return found == calls_.end() ? nullptr : &found->second;
}

void oracle::SetContract(const std::string& organisation,
                         contract_record contract) {
  contracts_[organisation].push_back(contract);
}

std::uint64_t oracle::CountOvershoot(const std::string& organisation,
                                     timed_calls admitted) const {
  std::sort(admitted.begin(), admitted.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  reference_bucket bucket(contracts_.at(organisation));
  std::uint64_t overshoot = 0;
  for (const auto& [when, call] : admitted) {
    if (!bucket.Take(when)) ++overshoot;
  }
  return overshoot;
}

void oracle::JudgeRate(const std::string& organisation,
                       const timed_calls& arrivals, verdict* verdict,
                       organisation_tally* tally) const {
  reference_bucket bucket(contracts_.at(organisation));
  std::map<core::instant::rep, window_tally> windows;
  for (const auto& [when, call] : arrivals) {
    window_tally& window = windows[when.time_since_epoch() / kWindow];
    const bool answered = IsAnswered(*call);
    if (answered) ++tally->answered;
    if (answered) ++window.answered;
    if (!IsLimitRefusal(call->why)) ++window.admitted;
    if (bucket.Take(when)) ++window.allowed;
  }
  for (const auto& [index, window] : windows) {
    tally->allowed += window.allowed;
    verdict->inside_rate += window.allowed;
    verdict->wrongful_refusals += Shortfall(window.allowed, window.admitted);
    verdict->unanswered_inside_rate +=
        Shortfall(window.allowed, window.answered);
  }
}

verdict oracle::Judge(core::instant from, core::instant to) const {
  verdict result;
  std::map<std::string, timed_calls> arrivals;
  std::map<std::string, timed_calls> admitted;
  for (const auto& [id, call] : calls_) {
    if (call.sent < from || call.sent > to) continue;
    ++result.calls;
    if (IsAnswered(call)) ++result.answered;
    if (call.answered && call.outcome != core::outcome_kind::kAnswered) {
      ++result.refused;
    }
    if (!call.answered && !call.broken) ++result.lost;
    if (!call.idempotent && call.executions > 1) ++result.doubled;
    if (call.answered && call.outcome == core::outcome_kind::kNotRun &&
        call.executions > 0) {
      ++result.false_not_run;
    }
    if (call.crossed) ++result.crossed;
    if (contracts_.count(call.organisation) == 0) continue;
    arrivals[call.organisation].emplace_back(call.sent, &call);
    // A call that certainly did not run gives its token back.
    const bool spent =
        call.was_admitted && (call.executions > 0 || !call.answered ||
                              call.outcome != core::outcome_kind::kNotRun);
    if (spent) admitted[call.organisation].emplace_back(call.admitted, &call);
  }
  for (auto& [organisation, calls] : arrivals) {
    std::stable_sort(
        calls.begin(), calls.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    organisation_tally tally;
    JudgeRate(organisation, calls, &result, &tally);
    result.overshoot += CountOvershoot(organisation, admitted[organisation]);
    if (tally.allowed == 0) continue;
    const double share = static_cast<double>(tally.answered) /
                         static_cast<double>(tally.allowed);
    if (share < result.worst_share) {
      result.worst_share = share;
      result.worst_organisation = organisation;
    }
  }
  return result;
}

}  // namespace pimentohall::sim
