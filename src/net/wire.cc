// CBOR codec of the frames on links.
//
// Decoding doesn't trust the peer. nlohmann::json's CBOR reader recurses for
// each nesting level, so a frame of nested arrays could overflow the stack;
// `bounded_builder` stops after `kMaxDepth` nested arrays. It also bounds
// element counts, for which the reader would otherwise throw an exception.

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

using nlohmann::json;

// Nested arrays. Valid frames have 3 levels: frame, list, item of the list. A
// fourth, an array as a field of an item, is refused by `array_reader`.
constexpr int kMaxDepth = 4;
constexpr std::size_t kMaxElements = 65536;
constexpr std::size_t kMaxTextBytes = 64 * 1024;
constexpr std::int64_t kMaxTime = std::int64_t{1} << 53;  // 285 years in us.

enum frame_type : int {
  kStatus = 1,
  kFetchRequest = 2,
  kFetchReply = 3,
  kGrantRequest = 4,
  kGrantReply = 5,
  kPermitReturn = 6,
  kCrashReport = 7,
  kForward = 16,
  kCancel = 17,
  kAnswer = 18,
};

class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json> {
 public:
  explicit bounded_builder(json* root) : json_sax_dom_parser(*root, false) {}

  // The names below are nlohmann's SAX interface.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_array(std::size_t size) {
    if (depth_ == kMaxDepth || !IsBounded(size)) return false;
    ++depth_;
    return json_sax_dom_parser::start_array(size);
  }
  bool end_array() {
    --depth_;
    return json_sax_dom_parser::end_array();
  }
  // Frames contain no maps.
  bool start_object(std::size_t /*size*/) { return false; }
  // NOLINTEND(readability-identifier-naming)

 private:
  static bool IsBounded(std::size_t size) {
    // The largest value marks an array of unknown length.
    return size == std::numeric_limits<std::size_t>::max() ||
           size <= kMaxElements;
  }
  int depth_ = 0;
};

// Reads the elements of an array in order. After a mismatch every read returns
// an empty value and `Finished` returns false.
class array_reader {
 public:
  explicit array_reader(json* source) : source_(source) {
    if (!source->is_array()) valid_ = false;
  }

  json* Next() {
    if (!valid_ || position_ >= source_->size()) return Fail();
    return &(*source_)[position_++];
  }
  std::uint64_t U64() {
    const json* item = Next();
    if (item == nullptr || !item->is_number_unsigned()) {
      Fail();
      return 0;
    }
    return item->get<std::uint64_t>();
  }
  std::int64_t I64(std::int64_t min, std::int64_t max) {
    const json* item = Next();
    std::int64_t value = min;
    if (item != nullptr && item->is_number_unsigned()) {
      const auto number = item->get<std::uint64_t>();
      if (number > static_cast<std::uint64_t>(
                       std::numeric_limits<std::int64_t>::max())) {
        Fail();
        return min;
      }
      value = static_cast<std::int64_t>(number);
    } else if (item != nullptr && item->is_number_integer()) {
      value = item->get<std::int64_t>();
    } else {
      Fail();
      return min;
    }
    if (value < min || value > max) Fail();
    return valid_ ? value : min;
  }
  int Int(int min, int max) { return static_cast<int>(I64(min, max)); }
  template <typename enumeration>
  enumeration Enum(enumeration max_value) {
    return static_cast<enumeration>(Int(0, static_cast<int>(max_value)));
  }
  bool Bool() {
    const json* item = Next();
    if (item == nullptr || !item->is_boolean()) {
      Fail();
      return false;
    }
    return item->get<bool>();
  }
  // Reads a finite number that isn't negative.
  double NonNegative() {
    const json* item = Next();
    if (item == nullptr || !item->is_number()) {
      Fail();
      return 0;
    }
    const double value = item->get<double>();
    if (!std::isfinite(value) || value < 0) {
      Fail();
      return 0;
    }
    return value;
  }
  std::string Text() {
    json* item = Next();
    if (item == nullptr || !item->is_string() ||
        item->get_ref<const std::string&>().size() > kMaxTextBytes) {
      Fail();
      return {};
    }
    return std::move(item->get_ref<std::string&>());
  }
  std::string Bytes() {
    const json* item = Next();
    if (item == nullptr || !item->is_binary()) {
      Fail();
      return {};
    }
    const auto& bytes = item->get_binary();
    return {bytes.begin(), bytes.end()};
  }
  core::duration Duration() { return core::duration(I64(0, kMaxTime)); }

  // Calls `read(reader)` for each element of a nested list of arrays.
  template <typename reader_function>
  void List(reader_function read) {
    json* list = Next();
    if (list == nullptr || !list->is_array()) {
      Fail();
      return;
    }
    for (json& item : *list) {
      array_reader reader(&item);
      read(&reader);
      if (!reader.Finished()) Fail();
    }
  }

  // True if every element was read and none mismatched.
  bool Finished() const { return valid_ && position_ == source_->size(); }

 private:
  json* Fail() {
    valid_ = false;
    return nullptr;
  }

  json* source_;
  std::size_t position_ = 0;
  bool valid_ = true;
};

json Binary(const std::string& bytes) {
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

json HeaderArray(const header_list& headers) {
  json list = json::array();
  for (const auto& [name, value] : headers) {
    list.push_back(json::array({name, value}));
  }
  return list;
}

header_list ReadHeaders(array_reader* reader) {
  header_list headers;
  reader->List([&headers](array_reader* item) {
    std::string name = item->Text();
    std::string value = item->Text();
    headers.emplace_back(std::move(name), std::move(value));
  });
  return headers;
}

std::string ToBytes(const json& frame) {
  std::string bytes;
  json::to_cbor(frame, bytes);
  return bytes;
}

tl::expected<json, wire_fault> Parse(std::string_view bytes) {
  if (bytes.size() > kMaxFrameBytes) {
    return tl::unexpected(wire_fault{"frame too large"});
  }
  json frame;
  bounded_builder builder(&frame);
  if (!json::sax_parse(bytes.begin(), bytes.end(), &builder,
                       json::input_format_t::cbor)) {
    return tl::unexpected(wire_fault{"not a CBOR frame"});
  }
  return frame;
}

// One encoder for each kind of frame; the matching decoders follow below.

json ToJson(const core::status_message& m) {
  return json::array({kStatus, m.vm, m.incarnation, m.config_version,
                      m.config_digest, m.vms_version, m.vms_digest,
                      m.source_age_ms, m.stopping});
}
json ToJson(const core::fetch_request& m) {
  return json::array(
      {kFetchRequest, static_cast<int>(m.kind), m.digest, m.offset});
}
json ToJson(const core::fetch_reply& m) {
  return json::array({kFetchReply, static_cast<int>(m.kind), m.digest, m.offset,
                      m.total_bytes, Binary(m.bytes)});
}
json ToJson(const core::grant_request& m) {
  json items = json::array();
  for (const core::grant_item& item : m.items) {
    items.push_back(
        json::array({item.organisation, item.tokens, item.permits}));
  }
  return json::array(
      {kGrantRequest, m.id, static_cast<int>(m.mode), std::move(items)});
}
json ToJson(const core::grant_reply& m) {
  json grants = json::array();
  for (const core::grant& g : m.grants) {
    grants.push_back(json::array({g.organisation, g.rate_per_s, g.burst,
                                  g.tokens, g.permits, g.term.count()}));
  }
  return json::array({kGrantReply, m.id, std::move(grants)});
}
json ToJson(const core::permit_return& m) {
  return json::array({kPermitReturn, m.organisation, m.permits});
}
json ToJson(const core::crash_report& m) {
  return json::array({kCrashReport, m.fingerprint, m.crash, m.alone, m.age_ms});
}
json ToJson(const forward_frame& f) {
  const core::call_info& i = f.info;
  return json::array({kForward, f.attempt, i.organisation, i.route, i.service,
                      i.upstream, i.method, i.path, i.idempotency_key,
                      i.fingerprint, static_cast<int>(i.traffic_class),
                      i.idempotent, i.retry, i.depth, i.remaining.count(),
                      i.config_version, HeaderArray(f.request.headers),
                      f.request.body ? Binary(*f.request.body) : Binary({})});
}
json ToJson(const cancel_frame& f) { return json::array({kCancel, f.attempt}); }
json ToJson(const answer_frame& f) {
  return json::array({kAnswer, f.attempt, static_cast<int>(f.outcome),
                      static_cast<int>(f.why), f.load.in_flight, f.load.queued,
                      f.load.limit, f.answer.status,
                      HeaderArray(f.answer.headers),
                      f.answer.body ? Binary(*f.answer.body) : Binary({})});
}

constexpr std::int64_t kMaxI64 = std::numeric_limits<std::int64_t>::max();
constexpr int kMaxInt = std::numeric_limits<int>::max();

core::status_message ReadStatus(array_reader* reader) {
  core::status_message m;
  m.vm = reader->Text();
  m.incarnation = reader->U64();
  m.config_version = reader->U64();
  m.config_digest = reader->Text();
  m.vms_version = reader->U64();
  m.vms_digest = reader->Text();
  m.source_age_ms = reader->I64(-1, kMaxTime);
  m.stopping = reader->Bool();
  return m;
}
core::fetch_request ReadFetchRequest(array_reader* reader) {
  core::fetch_request m;
  m.kind = reader->Enum(core::blob_kind::kVmList);
  m.digest = reader->Text();
  m.offset = reader->U64();
  return m;
}
core::fetch_reply ReadFetchReply(array_reader* reader) {
  core::fetch_reply m;
  m.kind = reader->Enum(core::blob_kind::kVmList);
  m.digest = reader->Text();
  m.offset = reader->U64();
  m.total_bytes = reader->U64();
  m.bytes = reader->Bytes();
  return m;
}
core::grant_request ReadGrantRequest(array_reader* reader) {
  core::grant_request m;
  m.id = reader->U64();
  m.mode = reader->Enum(core::grant_mode::kTokens);
  reader->List([&m](array_reader* item) {
    core::grant_item requested;
    requested.organisation = item->Text();
    requested.tokens = item->NonNegative();
    requested.permits = item->I64(0, kMaxI64);
    m.items.push_back(std::move(requested));
  });
  return m;
}
core::grant_reply ReadGrantReply(array_reader* reader) {
  core::grant_reply m;
  m.id = reader->U64();
  reader->List([&m](array_reader* item) {
    core::grant g;
    g.organisation = item->Text();
    g.rate_per_s = item->NonNegative();
    g.burst = item->NonNegative();
    g.tokens = item->NonNegative();
    g.permits = item->I64(0, kMaxI64);
    g.term = item->Duration();
    m.grants.push_back(std::move(g));
  });
  return m;
}
core::permit_return ReadPermitReturn(array_reader* reader) {
  core::permit_return m;
  m.organisation = reader->Text();
  m.permits = reader->I64(0, kMaxI64);
  return m;
}
core::crash_report ReadCrashReport(array_reader* reader) {
  core::crash_report m;
  m.fingerprint = reader->U64();
  m.crash = reader->U64();
  m.alone = reader->Bool();
  m.age_ms = reader->I64(0, kMaxTime);
  return m;
}
forward_frame ReadForward(array_reader* reader) {
  forward_frame f;
  f.attempt = reader->U64();
  f.info.organisation = reader->Text();
  f.info.route = reader->Text();
  f.info.service = reader->Text();
  f.info.upstream = reader->Text();
  f.info.method = reader->Text();
  f.info.path = reader->Text();
  f.info.idempotency_key = reader->Text();
  f.info.fingerprint = reader->U64();
  f.info.traffic_class = reader->Enum(config::route_class::kOvernight);
  f.info.idempotent = reader->Bool();
  f.info.retry = reader->Bool();
  f.info.depth = reader->Int(0, kMaxInt - 1);
  f.info.remaining = core::duration(reader->I64(-kMaxTime, kMaxTime));
  f.info.config_version = reader->U64();
  f.request.headers = ReadHeaders(reader);
  f.request.body = ShareBytes(reader->Bytes());
  return f;
}
cancel_frame ReadCancel(array_reader* reader) { return {reader->U64()}; }
answer_frame ReadAnswer(array_reader* reader) {
  answer_frame f;
  f.attempt = reader->U64();
  f.outcome = reader->Enum(core::outcome_kind::kMayHaveRun);
  f.why = reader->Enum(core::reason::kPeerLost);
  f.load.in_flight = reader->Int(0, kMaxInt);
  f.load.queued = reader->Int(0, kMaxInt);
  f.load.limit = reader->Int(0, kMaxInt);
  f.answer.status = reader->Int(0, 999);
  f.answer.headers = ReadHeaders(reader);
  f.answer.body = ShareBytes(reader->Bytes());
  return f;
}

template <typename result, typename reader_function>
tl::expected<result, wire_fault> DecodeBody(array_reader* reader,
                                            reader_function read) {
  result value = read(reader);
  if (!reader->Finished()) return tl::unexpected(wire_fault{"bad field"});
  return value;
}

}  // namespace

std::string EncodeMessage(const core::message& message) {
  return std::visit([](const auto& m) { return ToBytes(ToJson(m)); }, message);
}

std::string EncodeFrame(const call_frame& frame) {
  return std::visit([](const auto& f) { return ToBytes(ToJson(f)); }, frame);
}

tl::expected<core::message, wire_fault> DecodeMessage(std::string_view bytes) {
  auto frame = Parse(bytes);
  if (!frame) return tl::unexpected(frame.error());
  array_reader reader(&*frame);
  switch (reader.Int(0, kMaxInt)) {
    case kStatus:
      return DecodeBody<core::message>(&reader, ReadStatus);
    case kFetchRequest:
      return DecodeBody<core::message>(&reader, ReadFetchRequest);
    case kFetchReply:
      return DecodeBody<core::message>(&reader, ReadFetchReply);
    case kGrantRequest:
      return DecodeBody<core::message>(&reader, ReadGrantRequest);
    case kGrantReply:
      return DecodeBody<core::message>(&reader, ReadGrantReply);
    case kPermitReturn:
      return DecodeBody<core::message>(&reader, ReadPermitReturn);
    case kCrashReport:
      return DecodeBody<core::message>(&reader, ReadCrashReport);
    default:
      return tl::unexpected(wire_fault{"unknown type"});
  }
}

tl::expected<call_frame, wire_fault> DecodeFrame(std::string_view bytes) {
  auto frame = Parse(bytes);
  if (!frame) return tl::unexpected(frame.error());
  array_reader reader(&*frame);
  switch (reader.Int(0, kMaxInt)) {
    case kForward:
      return DecodeBody<call_frame>(&reader, ReadForward);
    case kCancel:
      return DecodeBody<call_frame>(&reader, ReadCancel);
    case kAnswer:
      return DecodeBody<call_frame>(&reader, ReadAnswer);
    default:
      return tl::unexpected(wire_fault{"unknown type"});
  }
}

}  // namespace pimentohall::net
