#include "fleet/source_sampler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fleet/http_client.h"

namespace pimentohall::testing {
namespace {

constexpr std::chrono::milliseconds kPollInterval(50);
constexpr std::chrono::seconds kWindow(1);

}  // namespace

fleet_result<source_counts> ReadSourceCounts(int admin_port) {
  const auto body = HttpGet(admin_port, "/counts");
  if (!body) return tl::make_unexpected(body.error());
  const auto report = nlohmann::json::parse(*body, nullptr, false);
  if (!report.is_object()) return FleetError("the counts are not JSON");
  source_counts counts;
  counts.reads = report.value("reads", std::uint64_t{0});
  counts.refused = report.value("refused", std::uint64_t{0});
  counts.waiting = report.value("waiting", std::uint64_t{0});
  return counts;
}

source_sampler::source_sampler(int admin_port)
    : port_(admin_port), thread_([this] { Run(); }) {}

source_sampler::~source_sampler() { Peak(); }

double source_sampler::Peak() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
  return peak_;
}

void source_sampler::Run() {
  while (!stopping_) {
    auto counts = ReadSourceCounts(port_);
    if (counts) AddSample(*counts);
    std::this_thread::sleep_for(kPollInterval);
  }
}

void source_sampler::AddSample(const source_counts& counts) {
  const auto now = std::chrono::steady_clock::now();
  while (!last_second_.empty() && last_second_.front().time + kWindow < now) {
    last_second_.pop_front();
  }
  last_second_.push_back({now, counts.reads});
  const std::uint64_t reads = counts.reads - last_second_.front().reads;
  peak_ = std::max(peak_, static_cast<double>(reads + counts.waiting));
}

}  // namespace pimentohall::testing
