// News as CBOR arrays in the order of the struct.

#include <cmath>
#include <nlohmann/json.hpp>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

using nlohmann::json;

constexpr std::size_t kFields = 14;
constexpr double kSlownessSteps = 100;
constexpr std::size_t kMaxCounts = 1000;
constexpr std::size_t kMaxCrashes = 64;

json EncodeLoad(const std::optional<load_news>& load) {
  if (!load) return nullptr;
  return json::array({load->upstream, load->running, load->queued, load->slots,
                      std::llround(load->backlog_ms),
                      std::llround(load->slowness * kSlownessSteps)});
}

load_news DecodeLoad(const json& from) {
  load_news load;
  load.upstream = from.at(0).get<std::string>();
  load.running = from.at(1).get<int>();
  load.queued = from.at(2).get<int>();
  load.slots = from.at(3).get<int>();
  load.backlog_ms = from.at(4).get<double>();
  load.slowness = from.at(5).get<double>() / kSlownessSteps;
  return load;
}

json EncodeCrash(const core::crash_report& report) {
  return json::array(
      {report.fingerprint, report.crash, report.alone, report.age_ms});
}

core::crash_report DecodeCrash(const json& from) {
  core::crash_report report;
  report.fingerprint = from.at(0).get<std::uint64_t>();
  report.crash = from.at(1).get<std::uint64_t>();
  report.alone = from.at(2).get<bool>();
  report.age_ms = from.at(3).get<std::int64_t>();
  return report;
}

peer_news DecodeFields(const json& from) {
  peer_news news;
  news.boot = from.at(0).get<std::uint32_t>();
  news.sequence = from.at(1).get<std::uint64_t>();
  news.uptime_ms = from.at(2).get<std::uint64_t>();
  news.stopping = from.at(3).get<bool>();
  news.heard_sequence = from.at(4).get<std::uint64_t>();
  news.heard_boot = from.at(5).get<std::uint32_t>();
  news.settings_revision = from.at(6).get<std::uint64_t>();
  news.upstreams_revision = from.at(7).get<std::uint64_t>();
  if (!from.at(8).is_null()) news.load = DecodeLoad(from.at(8));
  for (const json& each : from.at(9)) {
    news.admitted.push_back({each.at(0).get<std::uint32_t>(),
                             each.at(1).get<std::uint64_t>(),
                             each.at(2).get<int>()});
  }
  for (const json& each : from.at(10)) {
    news.crashes.push_back(DecodeCrash(each));
  }
  news.reads_source = from.at(11).get<bool>();
  news.period = std::chrono::milliseconds(from.at(12).get<std::uint32_t>());
  return news;
}

}  // namespace

bool operator==(const load_news& a, const load_news& b) {
  return a.upstream == b.upstream && a.running == b.running &&
         a.queued == b.queued && a.slots == b.slots &&
         a.backlog_ms == b.backlog_ms && a.slowness == b.slowness;
}
bool operator==(const tenant_count& a, const tenant_count& b) {
  return a.tenant == b.tenant && a.admitted == b.admitted &&
         a.demand_per_s == b.demand_per_s;
}
bool operator==(const peer_news& a, const peer_news& b) {
  return a.address == b.address && EncodeNews(a) == EncodeNews(b);
}

std::string EncodeNews(const peer_news& news) {
  json counts = json::array();
  for (const tenant_count& each : news.admitted) {
    counts.push_back(
        json::array({each.tenant, each.admitted, each.demand_per_s}));
  }
  json crashes = json::array();
  for (const core::crash_report& each : news.crashes) {
    crashes.push_back(EncodeCrash(each));
  }
  const json fields = json::array(
      {news.boot, news.sequence, news.uptime_ms, news.stopping,
       news.heard_sequence, news.heard_boot, news.settings_revision,
       news.upstreams_revision, EncodeLoad(news.load), std::move(counts),
       std::move(crashes), news.reads_source,
       std::chrono::duration_cast<std::chrono::milliseconds>(news.period)
           .count(),
       kFields});
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

tl::expected<peer_news, std::string> DecodeNews(std::string_view bytes,
                                                const std::string& address) {
  try {
    const json from = json::from_cbor(bytes.begin(), bytes.end());
    if (!from.is_array() || from.size() != kFields || from.back() != kFields) {
      return tl::unexpected(std::string("not news of this version"));
    }
    if (from.at(9).size() > kMaxCounts || from.at(10).size() > kMaxCrashes) {
      return tl::unexpected(std::string("lists are too long"));
    }
    peer_news news = DecodeFields(from);
    news.address = address;
    return news;
  } catch (const json::exception& problem) {
    return tl::unexpected(std::string(problem.what()));
  }
}

}  // namespace pimentohall::mesh
