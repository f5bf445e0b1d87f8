#ifndef PIMENTOHALL_SIM_ORACLE_H_
#define PIMENTOHALL_SIM_ORACLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pimentohall/core.h"

namespace pimentohall::sim {

// What is true of one call, from the caller's and the upstreams' side.
struct call_record {
  std::string organisation;
  std::string ingress_vm;
  std::string path;
  bool idempotent = false;
  core::instant sent;
  core::instant admitted;  // First forwarded attempt.
  core::instant deadline;  // As told to the first egress daemon.
  std::string attempt_vm;  // Of the last attempt.
  bool was_admitted = false;
  int executions = 0;     // Starts at upstreams.
  bool answered = false;  // The caller got an answer or a refusal.
  bool broken = false;    // The ingress daemon died; the caller saw it.
  bool crossed = false;   // The relayed answer belongs to another call.
  core::outcome_kind outcome = core::outcome_kind::kNotRun;
  core::reason why = core::reason::kNone;
  int http_status = 0;
};

// Contract of an organisation from a moment on.
struct contract_record {
  core::instant since;
  double rate_per_s = 0;
  double burst = 0;
};

// Figures over all calls. All counts are of calls.
struct verdict {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost = 0;           // No answer although the daemon lives.
  std::uint64_t doubled = 0;        // Non-idempotent, started twice or more.
  std::uint64_t false_not_run = 0;  // Told "not run" but started.
  std::uint64_t crossed = 0;
  std::uint64_t overshoot = 0;  // Admitted beyond rate and burst.
  std::uint64_t inside_rate = 0;
  std::uint64_t wrongful_refusals = 0;  // Refused by limits, inside the rate.
  std::uint64_t unanswered_inside_rate = 0;
  double worst_share = 1;  // Of the worst-served organisation.
  std::string worst_organisation;

  double WrongfulPpm() const;
  double Success() const;  // Answered share of the calls inside the rate.
};

// The plain reference: one exact token bucket for each organisation, fed with
// all calls of the fleet in the order of their times.
class oracle {
 public:
  call_record& NewCall(core::call_id call) { return calls_[call]; }
  call_record* Find(core::call_id call);
  const std::map<core::call_id, call_record>& Calls() const { return calls_; }

  void SetContract(const std::string& organisation, contract_record contract);

  // `from` and `to` limit the calls by their time of sending.
  verdict Judge(core::instant from, core::instant to) const;

 private:
  using timed_calls = std::vector<std::pair<core::instant, const call_record*>>;
  struct organisation_tally {
    std::uint64_t allowed = 0;
    std::uint64_t answered = 0;
  };

  void JudgeRate(const std::string& organisation, const timed_calls& arrivals,
                 verdict* verdict, organisation_tally* tally) const;
  std::uint64_t CountOvershoot(const std::string& organisation,
                               timed_calls admitted) const;

  std::map<core::call_id, call_record> calls_;
  std::map<std::string, std::vector<contract_record>> contracts_;
};

}  // namespace pimentohall::sim

#endif  // PIMENTOHALL_SIM_ORACLE_H_
