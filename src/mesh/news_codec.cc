// News are encoded as a CBOR array of fields, the number of fields last.

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {
namespace {

using nlohmann::json;

constexpr std::size_t kFields = 14;
// The upper bits of the sequence hold the era of the positions. Daemons of
// earlier versions, which require exactly these fields, see a sequence that
// rises, as the era never falls within a boot.
constexpr unsigned kSequenceBits = 44;
constexpr std::uint64_t kMaxSequence = (std::uint64_t{1} << kSequenceBits) - 1;
static_assert(kMaxSourceEra <= ~std::uint64_t{0} >> kSequenceBits);
constexpr double kSlownessSteps = 100;
constexpr std::size_t kMaxCounts = 1000;

// Tenant counts are packed into bytes, since they are most of the traffic
// between zones: the hash as 4 bytes in little-endian order, then both numbers
// as varints: 7 bits per byte, lowest first, with the top bit set on all bytes
// but the last.
constexpr int kHashBytes = 4;
constexpr unsigned kNumberBits = 7;
constexpr unsigned kMoreBit = 1U << kNumberBits;

void AppendNumber(std::uint64_t number, std::vector<std::uint8_t>* bytes) {
  while (number >= kMoreBit) {
    bytes->push_back(static_cast<std::uint8_t>(number | kMoreBit));
    number >>= kNumberBits;
  }
  bytes->push_back(static_cast<std::uint8_t>(number));
}

std::vector<std::uint8_t> EncodeCounts(
    const std::vector<tenant_count>& counts) {
  std::vector<std::uint8_t> bytes;
  for (const tenant_count& each : counts) {
    for (int i = 0; i < kHashBytes; ++i) {
      bytes.push_back(static_cast<std::uint8_t>(each.tenant >> (8 * i)));
    }
    AppendNumber(each.admitted, &bytes);
    AppendNumber(static_cast<std::uint64_t>(std::max(0, each.demand_per_s)),
                 &bytes);
  }
  return bytes;
}

// Reads numbers from the front of `bytes`. `failed` is set once the bytes are
// truncated or a number is too long.
struct byte_reader {
  const std::vector<std::uint8_t>& bytes;
  std::size_t offset = 0;
  bool failed = false;

  bool AtEnd() const { return offset == bytes.size(); }
  std::uint8_t Byte() {
    failed = failed || AtEnd();
    return failed ? 0 : bytes[offset++];
  }
  std::uint32_t Hash() {
    std::uint32_t hash = 0;
    for (int i = 0; i < kHashBytes; ++i) {
      hash |= static_cast<std::uint32_t>(Byte()) << (8 * i);
    }
    return hash;
  }
  std::uint64_t Number() {
    std::uint64_t number = 0;
    for (unsigned shift = 0; shift < 64; shift += kNumberBits) {
      const std::uint8_t byte = Byte();
      number |= static_cast<std::uint64_t>(byte & (kMoreBit - 1)) << shift;
      if ((byte & kMoreBit) == 0) return number;
    }
    failed = true;
    return 0;
  }
};

tl::expected<std::vector<tenant_count>, std::string> DecodeCounts(
    const std::vector<std::uint8_t>& bytes) {
  std::vector<tenant_count> counts;
  byte_reader reader{bytes};
  while (!reader.AtEnd()) {
    tenant_count count;
    count.tenant = reader.Hash();
    count.admitted = reader.Number();
    const std::uint64_t demand = reader.Number();
    if (reader.failed || counts.size() == kMaxCounts ||
        demand > std::numeric_limits<int>::max()) {
      return tl::unexpected<std::string>(
          "tenant counts are truncated or too long");
    }
    count.demand_per_s = static_cast<int>(demand);
    counts.push_back(count);
  }
  return counts;
}

json EncodeLoad(const std::optional<load_news>& load) {
  if (!load) return nullptr;
  return json::array({load->upstream, load->running, load->queued, load->slots,
                      std::llround(load->backlog_ms),
                      std::llround(load->slowness * kSlownessSteps),
                      std::llround(load->pace * kSlownessSteps),
                      load->rank_limit});
}

load_news DecodeLoad(const json& fields) {
  load_news load;
  load.upstream = fields.at(0).get<std::string>();
  load.running = fields.at(1).get<int>();
  load.queued = fields.at(2).get<int>();
  load.slots = fields.at(3).get<int>();
  load.backlog_ms = fields.at(4).get<double>();
  load.slowness = fields.at(5).get<double>() / kSlownessSteps;
  // Daemons of earlier versions don't send these.
  constexpr std::size_t kFields = 8;
  if (fields.size() < kFields) return load;
  load.pace = fields.at(6).get<double>() / kSlownessSteps;
  load.rank_limit = fields.at(7).get<int>();
  return load;
}

json EncodeCrash(const core::crash_report& report) {
  return json::array(
      {report.fingerprint, report.crash, report.alone, report.age_ms});
}

core::crash_report DecodeCrash(const json& fields) {
  core::crash_report report;
  report.fingerprint = fields.at(0).get<std::uint64_t>();
  report.crash = fields.at(1).get<std::uint64_t>();
  report.alone = fields.at(2).get<bool>();
  report.age_ms = fields.at(3).get<std::int64_t>();
  return report;
}

std::uint64_t EraOf(const peer_news& news) {
  return std::max(news.settings_position.era, news.upstreams_position.era);
}

std::uint64_t EncodeRevision(const source_position& position,
                             std::uint64_t era) {
  return position.era == era ? position.revision : 0;
}

source_position DecodePosition(const json& revision, std::uint64_t era) {
  const auto number = revision.get<std::uint64_t>();
  return number == 0 ? source_position{} : source_position{era, number};
}

peer_news DecodeFields(const json& fields) {
  peer_news news;
  news.boot = fields.at(0).get<std::uint32_t>();
  const auto sequence = fields.at(1).get<std::uint64_t>();
  const std::uint64_t era = sequence >> kSequenceBits;
  news.sequence = sequence & kMaxSequence;
  news.uptime_ms = fields.at(2).get<std::uint64_t>();
  news.stopping = fields.at(3).get<bool>();
  news.heard_sequence = fields.at(4).get<std::uint64_t>();
  news.heard_boot = fields.at(5).get<std::uint32_t>();
  news.settings_position = DecodePosition(fields.at(6), era);
  news.upstreams_position = DecodePosition(fields.at(7), era);
  if (!fields.at(8).is_null()) news.load = DecodeLoad(fields.at(8));
  for (const json& each : fields.at(10)) {
    news.crashes.push_back(DecodeCrash(each));
  }
  news.reads_source = fields.at(11).get<bool>();
  news.period = std::chrono::milliseconds(fields.at(12).get<std::uint32_t>());
  return news;
}

}  // namespace

bool operator==(const load_news& a, const load_news& b) {
  return a.upstream == b.upstream && a.running == b.running &&
         a.queued == b.queued && a.slots == b.slots &&
         a.backlog_ms == b.backlog_ms && a.slowness == b.slowness &&
         a.pace == b.pace && a.rank_limit == b.rank_limit;
}
bool operator==(const tenant_count& a, const tenant_count& b) {
  return a.tenant == b.tenant && a.admitted == b.admitted &&
         a.demand_per_s == b.demand_per_s;
}
bool operator==(const peer_news& a, const peer_news& b) {
  return a.address == b.address && EncodeNews(a) == EncodeNews(b);
}

std::string EncodeNews(const peer_news& news) {
  json crashes = json::array();
  for (const core::crash_report& each : news.crashes) {
    crashes.push_back(EncodeCrash(each));
  }
  const std::uint64_t era = EraOf(news);
  const json fields = json::array(
      {news.boot, era << kSequenceBits | (news.sequence & kMaxSequence),
       news.uptime_ms, news.stopping, news.heard_sequence, news.heard_boot,
       EncodeRevision(news.settings_position, era),
       EncodeRevision(news.upstreams_position, era), EncodeLoad(news.load),
       json::binary(EncodeCounts(news.admitted)), std::move(crashes),
       news.reads_source,
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
    const json fields = json::from_cbor(bytes.begin(), bytes.end());
    if (!fields.is_array() || fields.size() != kFields ||
        fields.back() != kFields) {
      return tl::unexpected(std::string("not news of this version"));
    }
    auto counts = DecodeCounts(fields.at(9).get_binary());
    if (!counts) return tl::unexpected(counts.error());
    if (fields.at(10).size() > peer_news::kMaxCrashes) {
      return tl::unexpected(std::string("lists are too long"));
    }
    peer_news news = DecodeFields(fields);
    news.admitted = std::move(*counts);
    news.address = address;
    return news;
  } catch (const json::exception& problem) {
    return tl::unexpected(std::string(problem.what()));
  }
}

// An array: whether the history is complete, and the reports.
std::string EncodeCrashHistory(const crash_history& history) {
  json reports = json::array();
  for (const core::crash_report& each : history.reports) {
    reports.push_back(EncodeCrash(each));
  }
  std::string bytes;
  json::to_cbor(json::array({history.is_complete, std::move(reports)}), bytes);
  return bytes;
}

tl::expected<crash_history, std::string> DecodeCrashHistory(
    std::string_view bytes) {
  try {
    const json fields = json::from_cbor(bytes.begin(), bytes.end());
    crash_history history;
    history.is_complete = fields.at(0).get<bool>();
    for (const json& each : fields.at(1)) {
      history.reports.push_back(DecodeCrash(each));
    }
    return history;
  } catch (const json::exception& problem) {
    return tl::unexpected(std::string(problem.what()));
  }
}

}  // namespace pimentohall::mesh
