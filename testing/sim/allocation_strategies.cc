#include "sim/allocation_strategies.h"

#include <utility>

namespace pimentohall::sim {

using core::acquire_result;
using core::actions;
using core::instant;

namespace {

class lent_shares : public allocation_strategy {
 public:
  lent_shares(core::fleet_directory directory, std::uint64_t incarnation,
              instant start)
      : allocator_(std::move(directory), incarnation, start) {}
  void SetOrganisations(const std::vector<config::organisation>& organisations,
                        instant now) override {
    allocator_.SetOrganisations(organisations, now);
  }
  void SetVms(const config::vm_list& vms, instant now) override {
    allocator_.SetVms(vms, now);
  }
  acquire_result Acquire(const std::string& organisation, bool /*retry*/,
                         instant now, actions* out) override {
    return allocator_.Acquire(organisation, now, out);
  }
  void Release(const std::string& organisation, bool refund,
               instant now) override {
    allocator_.Release(organisation, refund, now);
  }
  std::uint64_t Generation() const override { return allocator_.Generation(); }
  void OnMessage(const std::string& vm, const core::message& body, instant now,
                 actions* out) override {
    allocator_.OnMessage(vm, body, now, out);
  }
  void Tick(instant now, actions* out) override { allocator_.Tick(now, out); }
  instant NextWake() const override { return allocator_.NextWake(); }

 private:
  core::contract_allocator allocator_;
};

// The parts that both alternatives share: limits by organisation, and nothing
// to do in ticks.
class plain_strategy : public allocation_strategy {
 public:
  void SetOrganisations(const std::vector<config::organisation>& organisations,
                        instant now) override {
    organisations_ = organisations;
    Refresh(now);
  }
  std::uint64_t Generation() const override { return generation_; }
  void OnMessage(const std::string& /*vm*/, const core::message& /*body*/,
                 instant /*now*/, actions* /*out*/) override {}
  void Tick(instant now, actions* /*out*/) override {
    Refresh(now);
    next_wake_ = now + std::chrono::seconds(1);
  }
  instant NextWake() const override { return next_wake_; }

 protected:
  virtual void Refresh(instant now) = 0;

  std::vector<config::organisation> organisations_;
  std::uint64_t generation_ = 0;
  instant next_wake_;
};

class static_shares : public plain_strategy {
 public:
  explicit static_shares(const std::string& self) : shares_(self) {}
  void SetVms(const config::vm_list& vms, instant now) override {
    shares_.SetVms(vms, now);
    Refresh(now);
  }
  acquire_result Acquire(const std::string& organisation, bool /*retry*/,
                         instant now, actions* /*out*/) override {
    const auto account = accounts_.find(organisation);
    if (account == accounts_.end()) {
      return acquire_result::kRateExceeded;
    }
    account->second.AdvanceTo(now);
    if (!account->second.HasPermit()) {
      return acquire_result::kConcurrencyExceeded;
    }
    if (!account->second.HasToken()) {
      return acquire_result::kRateExceeded;
    }
    account->second.Take();
    return acquire_result::kAcquired;
  }
  void Release(const std::string& organisation, bool refund,
               instant now) override {
    const auto account = accounts_.find(organisation);
    if (account != accounts_.end()) {
      account->second.AdvanceTo(now);
      account->second.Release(refund);
    }
  }

 protected:
  void Refresh(instant now) override {
    shares_.Expire(now);
    const bool waits =
        !shares_.IsListed() ||
        now < shares_.ListedSince() + core::contract_allocator::kMaxListDelay;
    for (const config::organisation& organisation : organisations_) {
      core::own_share share;
      if (!waits) {
        const auto divisor = static_cast<double>(shares_.Divisor());
        share.rate_per_s = organisation.limits.rate_per_s / divisor;
        share.cap = static_cast<double>(organisation.limits.burst) / divisor;
        share.permits = shares_.Permits(organisation.name,
                                        organisation.limits.max_concurrent);
      }
      accounts_.try_emplace(organisation.name, now)
          .first->second.SetShare(share, now);
    }
  }

 private:
  core::fleet_shares shares_;
  std::map<std::string, core::contract_account> accounts_;
};

class one_owner : public plain_strategy {
 public:
  explicit one_owner(core::fleet_directory directory)
      : directory_(std::move(directory)) {}
  void SetVms(const config::vm_list& /*vms*/, instant now) override {
    Refresh(now);
  }
  acquire_result Acquire(const std::string& organisation, bool retry,
                         instant now, actions* out) override {
    const std::string owner = directory_.home_of(organisation, now);
    if (owner == directory_.self) {
      return Take(organisation, now) ? acquire_result::kAcquired
                                     : acquire_result::kRateExceeded;
    }
    // Calls that wait are tried again the oldest first, and each answer is for
    // one of them.
    answer& last = answers_[organisation];
    if (retry) {
      return std::exchange(last, answer::kNone) == answer::kGranted
                 ? acquire_result::kAcquired
                 : acquire_result::kWait;
    }
    core::grant_request request{++last_id_, core::grant_mode::kTokens, {}};
    request.items.push_back({organisation, 1, 0});
    open_[request.id] = owner;
    out->push_back(core::send_message{owner, std::move(request)});
    return acquire_result::kWait;
  }
  void Release(const std::string& /*organisation*/, bool /*refund*/,
               instant /*now*/) override {}
  void OnMessage(const std::string& vm, const core::message& body, instant now,
                 actions* out) override {
    if (const auto* request = std::get_if<core::grant_request>(&body)) {
      const std::string& organisation = request->items.front().organisation;
      core::grant loan;
      loan.organisation = organisation;
      loan.tokens = Take(organisation, now) ? 1 : 0;
      out->push_back(
          core::send_message{vm, core::grant_reply{request->id, {loan}}});
    } else if (const auto* reply = std::get_if<core::grant_reply>(&body)) {
      if (open_.erase(reply->id) == 0) {
        return;
      }
      const core::grant& loan = reply->grants.front();
      if (loan.tokens > 0) {
        answers_[loan.organisation] = answer::kGranted;
        ++generation_;
      }
    }
  }

 protected:
  void Refresh(instant now) override {
    for (const config::organisation& organisation : organisations_) {
      core::token_bucket& bucket =
          buckets_.try_emplace(organisation.name, now).first->second;
      const auto burst = static_cast<double>(organisation.limits.burst);
      const bool is_new = bucket.Cap() == 0;
      bucket.Advance(now);
      bucket.SetLimits(organisation.limits.rate_per_s, burst);
      if (is_new) {
        bucket.Add(burst);
      }
    }
  }

 private:
  // A refused call waits until it gives up.
  enum class answer { kNone, kGranted };

  bool Take(const std::string& organisation, instant now) {
    const auto bucket = buckets_.find(organisation);
    if (bucket == buckets_.end()) {
      return false;
    }
    bucket->second.Advance(now);
    return bucket->second.Take();
  }

  core::fleet_directory directory_;
  std::map<std::string, core::token_bucket> buckets_;
  std::map<std::string, answer> answers_;
  std::map<std::uint64_t, std::string> open_;
  std::uint64_t last_id_ = 0;
};

}  // namespace

strategy_factory LentShares() {
  return [](core::fleet_directory directory, std::uint64_t incarnation,
            instant start) -> std::unique_ptr<allocation_strategy> {
    return std::make_unique<lent_shares>(std::move(directory), incarnation,
                                         start);
  };
}

strategy_factory StaticShares() {
  return [](const core::fleet_directory& directory, std::uint64_t,
            instant) -> std::unique_ptr<allocation_strategy> {
    return std::make_unique<static_shares>(directory.self);
  };
}

strategy_factory OneOwner() {
  return [](core::fleet_directory directory, std::uint64_t,
            instant) -> std::unique_ptr<allocation_strategy> {
    return std::make_unique<one_owner>(std::move(directory));
  };
}

}  // namespace pimentohall::sim
