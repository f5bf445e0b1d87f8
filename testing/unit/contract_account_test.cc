// Tests the rules of single loans and messages, with handwritten messages.

#include "core/contract_account.h"

#include <doctest/doctest.h>

#include <utility>

#include "core/contract_allocator.h"

namespace pimentohall::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant kStart{std::chrono::hours(1)};

// Guards against tokens in transit that no cap covers: a renewal of the same
// cap must grant none, even if the lender's bucket has filled again.
TEST_CASE("a renewal grants tokens only for growth of the cap") {
  contract_account lender(kStart);
  lender.SetShare({1000, 100, 0, 0}, kStart);
  instant now = kStart + seconds(1);
  lender.AdvanceTo(now);
  const loan_party borrower{"x", grant_mode::kShare, 1};
  CHECK(lender.Lend(borrower, {0, 50, 0, 0}, {}, seconds(2), now).tokens == 50);
  now += milliseconds(200);
  lender.AdvanceTo(now);
  CHECK(lender.Bucket().Level() == 50);
  CHECK(lender.Lend(borrower, {0, 50, 0, 0}, {}, seconds(2), now).tokens == 0);
  CHECK(lender.Lend(borrower, {0, 60, 0, 0}, {}, seconds(2), now).tokens == 10);
  CHECK(lender.Bucket().Cap() == 40);
}

// Guards against counting returned tokens that arrive after the term, when the
// lender's bucket has filled the same cap again.
TEST_CASE("returned tokens count only within the term") {
  for (const bool is_late : {false, true}) {
    CAPTURE(is_late);
    contract_account lender(kStart);
    lender.SetShare({10, 100, 0, 0}, kStart);
    instant now = kStart + seconds(10);
    lender.AdvanceTo(now);
    const loan_party borrower{"x", grant_mode::kShare, 1};
    lender.Lend(borrower, {0, 80, 0, 0}, {}, seconds(2), now);
    now += is_late ? milliseconds(2100) : milliseconds(100);
    lender.AdvanceTo(now);
    const double before = lender.Bucket().Level();
    lender.ApplyDeclaredUse(borrower, {0, true, 70}, now);
    CHECK(lender.Bucket().Level() - before == (is_late ? 0 : 70));
  }
}

// Guards against refunds that admit more than burst + rate * w in a window of
// length w: the token of the first call would have been lost when the bucket
// was full.
TEST_CASE("a refund returns no token that the full bucket would have lost") {
  contract_account account(kStart);
  account.SetShare({1, 2, 10, 0}, kStart);
  account.AdvanceTo(kStart + seconds(2));
  account.Take();
  account.AdvanceTo(kStart + seconds(4));  // Full again.
  account.Take();
  account.Take();
  account.Release(true);  // Counts as the first call.
  CHECK_FALSE(account.HasToken());
  account.Release(true);
  CHECK(account.HasToken());
}

// One allocator whose actions are recorded.
struct allocator_fixture {
  explicit allocator_fixture(std::uint64_t incarnation = 1,
                             const std::string& home = "home")
      : allocator({"self", [home](const std::string&, instant) { return home; },
                   [](const std::string&, instant) { return true; }},
                  incarnation, kStart) {
    config::organisation organisation;
    organisation.name = "yamaga";
    organisation.limits = {90, 90, 9, {}};
    allocator.SetOrganisations({organisation}, kStart);
    config::vm_list vms;
    vms.vms.resize(3);
    vms.vms[0].name = "home";
    vms.vms[1].name = "other";
    vms.vms[2].name = "self";
    allocator.SetVms(vms, kStart);
  }

  void RunUntil(instant until) {
    for (; now < until; now += milliseconds(500)) {
      allocator.Tick(now, &out);
    }
  }

  acquire_result Acquire() { return allocator.Acquire("yamaga", now, &out); }
  void Receive(const std::string& vm, const message& body) {
    allocator.OnMessage(vm, body, now, &out);
  }

  template <typename kind>
  kind Last() const {
    kind last;
    for (const action& emitted : out) {
      const auto* send = std::get_if<send_message>(&emitted);
      if (send != nullptr && std::holds_alternative<kind>(send->body)) {
        last = std::get<kind>(send->body);
      }
    }
    return last;
  }

  contract_allocator allocator;
  instant now = kStart;
  actions out;
};

grant_reply TenTokens(std::uint64_t id) {
  return {id, {{"yamaga", 0, 10, 10, 10, contract_allocator::kTokenTerm}}};
}

// Guards against accepting a reply twice, late, from another VM, or to a
// request of another process.
TEST_CASE("only the first reply of the requested VM within the term counts") {
  const struct {
    const char* name;
    const char* sender;
    std::uint64_t id_change;
    int delay_ms;
    bool is_accepted;
  } cases[] = {
      {"good", "home", 0, 5, true},
      {"from another VM", "other", 0, 5, false},
      {"at the end of the term less 5%", "home", 0, 570, false},
      {"of another process", "home", 1ULL << 40, 5, false},
  };
  for (const auto& test : cases) {
    CAPTURE(test.name);
    allocator_fixture borrower;
    REQUIRE(borrower.Acquire() == acquire_result::kWait);
    const auto request = borrower.Last<grant_request>();
    borrower.now += milliseconds(test.delay_ms);
    const grant_reply reply = TenTokens(request.id + test.id_change);
    borrower.Receive(test.sender, reply);
    CHECK(borrower.allocator.View(borrower.now)[0].tokens ==
          (test.is_accepted ? 10 : 0));
    for (int call = 0; test.is_accepted && call < 9; ++call) {
      CHECK(borrower.Acquire() == acquire_result::kAcquired);
    }
    borrower.Receive(test.sender, reply);
    CHECK(borrower.allocator.View(borrower.now)[0].tokens ==
          (test.is_accepted ? 1 : 0));
  }
}

// Guards against a late reply whose tokens fill the cap of the own share.
TEST_CASE("tokens of a late reply are not added to the own share") {
  allocator_fixture borrower;
  borrower.RunUntil(kStart + contract_allocator::kPermitStartDelay +
                    seconds(1));
  while (borrower.Acquire() == acquire_result::kAcquired) {
    borrower.allocator.Release("yamaga", false, borrower.now);
  }
  grant_reply reply = TenTokens(borrower.Last<grant_request>().id);
  reply.grants[0].term = milliseconds(10);
  borrower.now += milliseconds(10);
  borrower.Receive("home", reply);
  CHECK(borrower.allocator.View(borrower.now)[0].tokens < 2);
}

// Guards against a restarted process that accepts replies to requests of its
// previous process.
TEST_CASE("request identifiers derive from the incarnation") {
  allocator_fixture first(1);
  allocator_fixture second(2);
  first.Acquire();
  second.Acquire();
  CHECK(first.Last<grant_request>().id != second.Last<grant_request>().id);
}

// Guards against a duplicate or reordered request that returns permits again.
TEST_CASE("a lender accepts each request once and in order") {
  allocator_fixture lender;
  lender.RunUntil(kStart + contract_allocator::kPermitStartDelay + seconds(1));
  const auto request_permits = [&](const char* vm, std::uint64_t id,
                                   std::int64_t permits) {
    lender.out.clear();
    lender.Receive(
        vm, grant_request{id, grant_mode::kShare, {{"yamaga", 1, permits}}});
    const auto reply = lender.Last<grant_reply>();
    return reply.grants.empty() ? 0 : reply.grants[0].permits;
  };
  // One of the three permits is never lent.
  CHECK(request_permits("home", 7, 0) == 0);
  CHECK(request_permits("home", 8, 5) == 2);
  CHECK(request_permits("home", 7, 0) == 0);
  CHECK(request_permits("other", 1, 5) == 0);
  // A request of the borrower's next process returns no permits of the previous
  // one.
  CHECK(request_permits("home", 1ULL << 40, 0) == 0);
  CHECK(request_permits("other", 2, 5) == 0);
  CHECK(request_permits("home", 9, 0) == 0);
  CHECK(request_permits("other", 3, 5) == 2);
}

// Guards against a confirmation by a VM that still uses loans of the starting
// VM or has another VM list.
TEST_CASE("a start check is confirmed only without use of the sender's loans") {
  allocator_fixture borrower;
  borrower.RunUntil(kStart + milliseconds(500));
  const grant_item own_check = borrower.Last<grant_request>().items.at(0);
  REQUIRE(own_check.organisation.empty());
  REQUIRE(borrower.Acquire() == acquire_result::kWait);
  borrower.Receive("home", TenTokens(borrower.Last<grant_request>().id));
  REQUIRE(borrower.Acquire() == acquire_result::kAcquired);
  const auto is_confirmed = [&](std::uint64_t id, const grant_item& item) {
    borrower.Receive("home", grant_request{id, grant_mode::kShare, {item}});
    return borrower.Last<grant_reply>().id == id;
  };
  CHECK_FALSE(is_confirmed(21, own_check));  // A call runs on a lent permit.
  CHECK(borrower.allocator.View(borrower.now)[0].tokens == 0);
  borrower.allocator.Release("yamaga", false, borrower.now);
  CHECK_FALSE(is_confirmed(22, {"", 0, own_check.permits + 1}));
  CHECK(is_confirmed(23, own_check));
}

// Guards against calls that wait again for a home that doesn't answer.
TEST_CASE("calls do not wait again for an unresponsive home") {
  allocator_fixture borrower;
  CHECK(borrower.Acquire() == acquire_result::kWait);
  borrower.now += contract_allocator::kAcquireTimeout;
  CHECK(borrower.Acquire() != acquire_result::kWait);
  borrower.now += milliseconds(100);
  CHECK(borrower.Acquire() != acquire_result::kWait);
}

}  // namespace
}  // namespace pimentohall::core
