#include "core/crash_guard.h"

#include <algorithm>

namespace pimentohall::core {
namespace {

constexpr duration kExpiryPeriod = std::chrono::seconds(30);

}  // namespace

std::vector<crash_report> crash_guard::OnCrash(
    std::uint64_t crash, const std::vector<std::uint64_t>& in_flight,
    bool alone, instant now) {
  Expire(now);
  std::vector<crash_report> reports;
  for (std::uint64_t fingerprint : in_flight) {
    Record(crash, fingerprint, alone, now);
    crash_report report;
    report.fingerprint = fingerprint;
    report.crash = crash;
    report.alone = alone;
    reports.push_back(report);
  }
  return reports;
}

void crash_guard::Merge(const crash_report& report, instant now) {
  const duration age =
      std::chrono::milliseconds(std::max<std::int64_t>(0, report.age_ms));
  if (age >= kMemory) return;
  Expire(now);
  Record(report.crash, report.fingerprint, report.alone, now - age);
}

void crash_guard::Record(std::uint64_t crash, std::uint64_t fingerprint,
                         bool alone, instant at) {
  auto known = suspects_.find(fingerprint);
  if (known == suspects_.end()) {
    MakeRoom();
    known = suspects_.try_emplace(fingerprint).first;
  }
  auto& own = known->second.crashes;
  if (std::find(own.begin(), own.end(), crash) != own.end()) return;
  own.push_back(crash);
  known->second.last = std::max(known->second.last, at);
  auto [fact, is_new] = crashes_.try_emplace(crash);
  if (is_new) fact->second.at = at;
  fact->second.alone = alone;
  fact->second.fingerprints.push_back(fingerprint);
  if (own.size() > kCrashesKept) {
    const std::uint64_t oldest = own.front();
    own.erase(own.begin());
    RemoveFact(oldest, fingerprint);
  }
}

void crash_guard::RemoveFact(std::uint64_t crash, std::uint64_t fingerprint) {
  auto fact = crashes_.find(crash);
  if (fact == crashes_.end()) return;
  auto& all = fact->second.fingerprints;
  all.erase(std::remove(all.begin(), all.end(), fingerprint), all.end());
  if (all.empty()) crashes_.erase(fact);
}

void crash_guard::Forget(std::uint64_t fingerprint) {
  auto known = suspects_.find(fingerprint);
  if (known == suspects_.end()) return;
  for (std::uint64_t crash : known->second.crashes) {
    RemoveFact(crash, fingerprint);
  }
  suspects_.erase(known);
}

// Forgets the fingerprint with the fewest crashes, the oldest of these first.
void crash_guard::MakeRoom() {
  if (suspects_.size() < kMaxFingerprints) return;
  auto weakest = suspects_.begin();
  for (auto it = suspects_.begin(); it != suspects_.end(); ++it) {
    const auto rank = [](const auto& entry) {
      return std::make_tuple(entry.second.crashes.size(), entry.second.last,
                             entry.first);
    };
    if (rank(*it) < rank(*weakest)) weakest = it;
  }
  Forget(weakest->first);
}

void crash_guard::OnAnswered(std::uint64_t fingerprint) {
  if (suspects_.empty()) return;
  Forget(fingerprint);
}

void crash_guard::Expire(instant now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriod;
  std::vector<std::uint64_t> old;
  for (const auto& [fingerprint, entry] : suspects_) {
    if (entry.last + kMemory <= now) old.push_back(fingerprint);
  }
  for (std::uint64_t fingerprint : old) Forget(fingerprint);
}

// True if another fingerprint of the crash occurs in more crashes.
bool crash_guard::IsExplained(std::uint64_t fingerprint, std::size_t crashes,
                              const crash_fact& fact) const {
  return std::any_of(fact.fingerprints.begin(), fact.fingerprints.end(),
                     [&](std::uint64_t other) {
                       if (other == fingerprint) return false;
                       auto entry = suspects_.find(other);
                       return entry != suspects_.end() &&
                              entry->second.crashes.size() > crashes;
                     });
}

crash_guard::verdict crash_guard::Judge(std::uint64_t fingerprint,
                                        instant now) const {
  verdict result;
  auto known = suspects_.find(fingerprint);
  if (known == suspects_.end()) return result;
  for (std::uint64_t crash : known->second.crashes) {
    auto found = crashes_.find(crash);
    if (found == crashes_.end()) continue;
    const crash_fact& fact = found->second;
    if (fact.at + kMemory <= now) continue;
    if (IsExplained(fingerprint, known->second.crashes.size(), fact)) continue;
    ++result.crashes;
    if (fact.alone) ++result.crashes_alone;
    if (!result.last || fact.at > *result.last) result.last = fact.at;
  }
  return result;
}

bool crash_guard::IsQuarantined(std::uint64_t fingerprint, instant now) const {
  const verdict result = Judge(fingerprint, now);
  if (!result.last || *result.last + kQuarantine <= now) return false;
  return result.crashes_alone >= kCrashesAlone ||
         result.crashes >= kCrashesTogether;
}

bool crash_guard::IsSuspect(std::uint64_t fingerprint, instant now) const {
  return Judge(fingerprint, now).crashes > 0;
}

}  // namespace pimentohall::core
