#include "core/ingress.h"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/membership.h"
#include "unit/config_files.h"

namespace pimentohall::core {
namespace {

// An ingress on VM `v`, where the only upstream of an open, non-idempotent
// route runs. The route is open so that no call needs an organisation.
class ingress_fixture {
 public:
  ingress_fixture() : members_("v", "z", {}), router_(&members_, "z", 1) {
    const std::map<std::string, std::string> config_parts = {
        {"zones", R"({"zones":[{"name":"z","region":"r","state":"in"}]})"},
        {"services/s",
         R"({"name":"s","routes":[{"name":"r","path_prefix":"/r",)"
         R"("methods":["POST"],"open":true}],"upstreams":[{"name":"u",)"
         R"("vm":"v","address":"127.0.0.1","port":1}]})"}};
    store_.OfferManifest(config::BuildManifest(1, config_parts));
    for (const auto& [digest, bytes] : config::PartsByDigest(config_parts)) {
      store_.OfferPart(digest, bytes);
    }
    REQUIRE(store_.Set() != nullptr);
    auto vms = std::make_shared<config::vm_list>();
    config::vm vm;
    vm.name = "v";
    vm.zone = "z";
    vm.address = "127.0.0.1";
    vms->vms.push_back(vm);
    members_.SetVms(vms);
    router_.SetConfig(store_.Set());
    router_.SetVms(vms);
    ingress::modules modules;
    modules.store = &store_;
    modules.routes = &router_;
    modules.retries = &retries_;
    modules.is_quarantined = [](std::uint64_t, instant) { return false; };
    modules.on_answered = [](std::uint64_t) {};
    ingress_ = std::make_unique<ingress>("v", 1, modules);
  }

  // Lets a call arrive and returns the attempt that it is forwarded with.
  attempt_id Forward(call_id id) {
    call_arrived arrived;
    arrived.call = id;
    arrived.method = "POST";
    arrived.path = "/r";
    actions out;
    ingress_->OnCallArrived(arrived, now_, &out);
    REQUIRE(out.size() == 1);
    REQUIRE(std::holds_alternative<forward_call>(out[0]));
    return std::get<forward_call>(out[0]).attempt;
  }

  // Feeds the answer of a peer and returns the answers to callers.
  std::vector<answer_call> Answer(const std::string& vm, attempt_id attempt) {
    peer_answer answer;
    answer.vm = vm;
    answer.attempt = attempt;
    answer.outcome = outcome_kind::kAnswered;
    answer.http_status = 200;
    actions out;
    ingress_->OnPeerAnswer(answer, now_, &out);
    return AnswersIn(out);
  }

  std::vector<answer_call> LoseLink() {
    actions out;
    ingress_->OnCallLinkDown("v", now_, &out);
    return AnswersIn(out);
  }

 private:
  static std::vector<answer_call> AnswersIn(const actions& out) {
    std::vector<answer_call> answers;
    for (const action& item : out) {
      if (const auto* answer = std::get_if<answer_call>(&item)) {
        answers.push_back(*answer);
      }
    }
    return answers;
  }

  instant now_ = instant{} + std::chrono::seconds(1000);
  config_store store_;
  membership members_;
  router router_;
  retry_policy retries_;
  std::unique_ptr<ingress> ingress_;
};

// Guards against a caller that gets the answer to another call on the same VM.
TEST_CASE("ingress matches answers by VM and attempt") {
  ingress_fixture fixture;
  const std::vector<attempt_id> attempts = {
      fixture.Forward(1), fixture.Forward(2), fixture.Forward(3)};
  CHECK(fixture.Answer("other", attempts[1]).empty());
  CHECK(fixture.Answer("v", attempts[2] + 1).empty());
  for (const call_id id : {2, 1, 3}) {
    CAPTURE(id);
    const attempt_id attempt = attempts[id - 1];
    const std::vector<answer_call> answers = fixture.Answer("v", attempt);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].call == id);
    CHECK(answers[0].attempt == attempt);
    CHECK(fixture.Answer("v", attempt).empty());
  }
}

// Guards against "not run" for a call that the egress daemon may have started
// before the link broke.
TEST_CASE("ingress answers may have run when a call link is lost") {
  ingress_fixture fixture;
  fixture.Forward(1);
  const std::vector<answer_call> answers = fixture.LoseLink();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].outcome == outcome_kind::kMayHaveRun);
}

}  // namespace
}  // namespace pimentohall::core
