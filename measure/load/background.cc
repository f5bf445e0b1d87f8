#include "load/background.h"

#include "load/summary.h"

namespace pimentohall::load {
namespace {

// Above the greatest timeout of a route under test, so that a refusal for a
// passed deadline still counts as an answer.
constexpr std::chrono::seconds kAnswerTimeout(20);

}  // namespace

background_load::background_load(const std::vector<int>& ports,
                                 std::vector<stream> streams,
                                 std::chrono::milliseconds duration,
                                 const std::string& id_prefix,
                                 std::uint64_t seed)
    : streams_(std::move(streams)),
      plan_(PlanArrivals(streams_, duration, seed)) {
  for (const int port : ports) options_.targets.push_back({"127.0.0.1", port});
  options_.id_prefix = id_prefix + std::to_string(seed) + "-";
  options_.answer_timeout = kAnswerTimeout;
  run_ = std::async(std::launch::async,
                    [this] { return Run(options_, streams_, plan_); });
}

tally background_load::Finish() { return Sum(run_.get()); }

std::vector<stream> TsurumakiStreams() {
  return {
      {"yamaga", "demo-key-yamaga", 40, "GET", "/ledger/balance/7"},
      {"yamaga", "demo-key-yamaga", 20, "POST", "/ledger/postings"},
      {"hakata", "demo-key-hakata", 30, "GET", "/counter/cards/1"},
      {"hakata", "demo-key-hakata", 15, "POST", "/refunds"},
      {"moji", "demo-key-moji", 20, "GET", "/refunds/3"},
      {"moji", "demo-key-moji", 10, "POST", "/counter/postings"},
      {"karatsu", "demo-key-karatsu", 4, "GET", "/ledger/balance/9"},
      {"dazaifu", "demo-key-dazaifu", 5, "GET", "/statements/2026"},
      {"-", "-", 10, "GET", "/counter/hours"},
  };
}

}  // namespace pimentohall::load
