#include "load/plan.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace pimentohall::load {

tl::expected<std::vector<stream>, std::string> ParsePlan(
    const std::string& text) {
  std::vector<stream> streams;
  std::istringstream lines(text);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    line = line.substr(0, line.find('#'));
    if (line.find_first_not_of(" \t") == std::string::npos) continue;
    std::istringstream words(line);
    stream s;
    words >> s.organisation >> s.key >> s.rate_per_s >> s.method >> s.path;
    if (words.fail() || s.rate_per_s <= 0) {
      return tl::make_unexpected(
          "line " + std::to_string(number) +
          ": expected ORGANISATION KEY RATE METHOD PATH");
    }
    streams.push_back(std::move(s));
  }
  return streams;
}

std::vector<planned_call> PlanArrivals(const std::vector<stream>& streams,
                                       std::chrono::microseconds duration,
                                       std::uint64_t seed) {
  std::vector<planned_call> calls;
  for (std::size_t i = 0; i < streams.size(); ++i) {
    std::mt19937_64 random(seed + i);
    std::exponential_distribution<double> gap(streams[i].rate_per_s);
    std::chrono::duration<double> at(gap(random));
    while (at < duration) {
      calls.push_back(
          {std::chrono::duration_cast<std::chrono::microseconds>(at), i});
      at += std::chrono::duration<double>(gap(random));
    }
  }
  std::stable_sort(
      calls.begin(), calls.end(),
      [](const planned_call& a, const planned_call& b) { return a.at < b.at; });
  return calls;
}

}  // namespace pimentohall::load
