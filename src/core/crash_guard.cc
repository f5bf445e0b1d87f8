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
  if (age >= kRetention) return;
  Expire(now);
  Record(report.crash, report.fingerprint, report.alone, now - age);
}

std::vector<crash_report> crash_guard::Reports(instant now) const {
  std::vector<std::pair<std::size_t, std::uint64_t>> order;
  for (const auto& [fingerprint, entry] : suspects_) {
    order.emplace_back(entry.crashes.size(), fingerprint);
  }
  std::sort(order.rbegin(), order.rend());
  std::vector<crash_report> reports;
  for (const auto& [count, fingerprint] : order) {
    for (const std::uint64_t crash : suspects_.at(fingerprint).crashes) {
      const auto record = crashes_.find(crash);
      if (record == crashes_.end()) continue;
      const duration age = now - record->second.time;
      if (age >= kRetention) continue;
      if (reports.size() == kMaxReports) return reports;
      reports.push_back(
          {fingerprint, crash, record->second.alone,
           std::chrono::duration_cast<std::chrono::milliseconds>(age).count()});
    }
  }
  return reports;
}

void crash_guard::Record(std::uint64_t crash, std::uint64_t fingerprint,
                         bool alone, instant time) {
  auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) {
    EvictWeakest();
    found = suspects_.try_emplace(fingerprint).first;
  }
  auto& crashes = found->second.crashes;
  if (std::find(crashes.begin(), crashes.end(), crash) != crashes.end()) return;
  crashes.push_back(crash);
  found->second.last_crash = std::max(found->second.last_crash, time);
  auto [record, is_new] = crashes_.try_emplace(crash);
  if (is_new) record->second.time = time;
  record->second.alone = alone;
  record->second.fingerprints.push_back(fingerprint);
  if (crashes.size() > kMaxCrashesKept) {
    const std::uint64_t oldest = crashes.front();
    crashes.erase(crashes.begin());
    RemoveFromCrash(oldest, fingerprint);
  }
}

void crash_guard::RemoveFromCrash(std::uint64_t crash,
                                  std::uint64_t fingerprint) {
  auto record = crashes_.find(crash);
  if (record == crashes_.end()) return;
  auto& fingerprints = record->second.fingerprints;
  fingerprints.erase(
      std::remove(fingerprints.begin(), fingerprints.end(), fingerprint),
      fingerprints.end());
  if (fingerprints.empty()) crashes_.erase(record);
}

void crash_guard::Remove(std::uint64_t fingerprint) {
  auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return;
  for (std::uint64_t crash : found->second.crashes) {
    RemoveFromCrash(crash, fingerprint);
  }
  suspects_.erase(found);
}

// If the table is full, removes the fingerprint with the fewest crashes; among
// equals, the one whose last crash is the oldest.
void crash_guard::EvictWeakest() {
  if (suspects_.size() < kMaxFingerprints) return;
  auto weakest = suspects_.begin();
  for (auto it = suspects_.begin(); it != suspects_.end(); ++it) {
    const auto rank = [](const auto& entry) {
      return std::make_tuple(entry.second.crashes.size(),
                             entry.second.last_crash, entry.first);
    };
    if (rank(*it) < rank(*weakest)) weakest = it;
  }
  Remove(weakest->first);
}

void crash_guard::OnAnswered(std::uint64_t fingerprint) {
  if (suspects_.empty()) return;
  Remove(fingerprint);
}

void crash_guard::Expire(instant now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriod;
  std::vector<std::uint64_t> expired;
  for (const auto& [fingerprint, entry] : suspects_) {
    if (entry.last_crash + kRetention <= now) expired.push_back(fingerprint);
  }
  for (std::uint64_t fingerprint : expired) Remove(fingerprint);
}

// True if another fingerprint in flight in this crash occurs in more crashes
// than `crashes`.
bool crash_guard::IsExplained(std::uint64_t fingerprint, std::size_t crashes,
                              const crash_record& record) const {
  return std::any_of(record.fingerprints.begin(), record.fingerprints.end(),
                     [&](std::uint64_t other) {
                       if (other == fingerprint) return false;
                       auto entry = suspects_.find(other);
                       return entry != suspects_.end() &&
                              entry->second.crashes.size() > crashes;
                     });
}

crash_guard::verdict crash_guard::Evaluate(std::uint64_t fingerprint,
                                           instant now) const {
  verdict result;
  auto self = suspects_.find(fingerprint);
  if (self == suspects_.end()) return result;
  for (std::uint64_t crash : self->second.crashes) {
    auto crash_entry = crashes_.find(crash);
    if (crash_entry == crashes_.end()) continue;
    const crash_record& record = crash_entry->second;
    if (record.time + kRetention <= now) continue;
    if (IsExplained(fingerprint, self->second.crashes.size(), record)) continue;
    ++result.crashes;
    if (record.alone) ++result.crashes_alone;
    if (!result.last || record.time > *result.last) result.last = record.time;
  }
  return result;
}

bool crash_guard::IsQuarantined(std::uint64_t fingerprint, instant now) const {
  const verdict result = Evaluate(fingerprint, now);
  if (!result.last || *result.last + kQuarantineTime <= now) return false;
  return result.crashes_alone >= kMinCrashesAlone ||
         result.crashes >= kMinCrashesTogether;
}

bool crash_guard::IsSuspect(std::uint64_t fingerprint, instant now) const {
  return Evaluate(fingerprint, now).crashes > 0;
}

}  // namespace pimentohall::core
