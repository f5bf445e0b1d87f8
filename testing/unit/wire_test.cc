#include <doctest/doctest.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

using nlohmann::json;

std::vector<core::message> SampleMessages() {
  core::status_message status;
  status.vm = "vm-a1";
  status.incarnation = UINT64_MAX;
  status.config_version = 17;
  status.config_digest = std::string(64, 'a');
  status.vms_version = 5;
  status.stopping = true;
  core::fetch_reply reply;
  reply.kind = core::blob_kind::kManifest;
  reply.digest = "d";
  reply.offset = 65536;
  reply.total_bytes = 70000;
  reply.bytes = std::string("\0\xff\n", 3);
  return {status,
          core::fetch_request{core::blob_kind::kVmList, "d", 12},
          reply,
          core::grant_request{
              4, core::grant_mode::kShare, {{"yamaga", 2.5, 3}, {"b", 0, 0}}},
          core::grant_reply{
              4, {{"yamaga", 10, 20.25, 3, 1, core::duration(2000000)}}},
          core::permit_return{"yamaga", 2},
          core::crash_report{UINT64_MAX, 9, true, 1500}};
}

std::vector<call_frame> SampleFrames() {
  forward_frame forward;
  forward.attempt = UINT64_MAX;
  forward.info.organisation = "yamaga";
  forward.info.route = "r";
  forward.info.service = "s";
  forward.info.upstream = "u";
  forward.info.method = "POST";
  forward.info.path = "/a?b=\xe9";
  forward.info.idempotency_key = "k";
  forward.info.fingerprint = 77;
  forward.info.traffic_class = config::route_class::kOvernight;
  forward.info.idempotent = true;
  forward.info.depth = 24;
  forward.info.remaining = core::duration(4999999);
  forward.info.config_version = 17;
  forward.request = {{{"Accept", "*/*"}, {"X", ""}},
                     ShareBytes(std::string("\0body\xff", 6))};
  answer_frame answer;
  answer.attempt = 3;
  answer.outcome = core::outcome_kind::kAnswered;
  answer.why = core::reason::kPeerLost;
  answer.load = {1, 2, 3};
  answer.answer = {200, {{"Content-Type", "text/plain"}}, ShareBytes("ok")};
  return {forward, cancel_frame{5}, answer};
}

// Guards against a field that is lost, swapped or changed by encoding and
// decoding. Encoding the decoded value again must give the same bytes.
TEST_CASE("every message and frame is unchanged by encoding and decoding") {
  for (const core::message& message : SampleMessages()) {
    const std::string bytes = EncodeMessage(message);
    const auto decoded = DecodeMessage(bytes);
    REQUIRE(decoded);
    CHECK(decoded->index() == message.index());
    CHECK(EncodeMessage(*decoded) == bytes);
  }
  for (const call_frame& frame : SampleFrames()) {
    const std::string bytes = EncodeFrame(frame);
    const auto decoded = DecodeFrame(bytes);
    REQUIRE(decoded);
    CHECK(decoded->index() == frame.index());
    CHECK(EncodeFrame(*decoded) == bytes);
  }
  const auto decoded = DecodeFrame(EncodeFrame(SampleFrames()[0]));
  const auto& forward = std::get<forward_frame>(*decoded);
  CHECK(forward.info.path == "/a?b=\xe9");
  CHECK(forward.info.remaining == core::duration(4999999));
  CHECK(forward.request.headers == header_list{{"Accept", "*/*"}, {"X", ""}});
  CHECK(*forward.request.body == std::string("\0body\xff", 6));
}

// Guards against a decoder that accepts a part of a frame or trailing bytes.
TEST_CASE("no prefix or extension of a frame is accepted") {
  for (const core::message& message : SampleMessages()) {
    const std::string bytes = EncodeMessage(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(DecodeMessage(bytes.substr(0, size)));
    }
    CHECK_FALSE(DecodeMessage(bytes + '\0'));
    CHECK_FALSE(DecodeFrame(bytes));
  }
  for (const call_frame& frame : SampleFrames()) {
    const std::string bytes = EncodeFrame(frame);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(DecodeFrame(bytes.substr(0, size)));
    }
    CHECK_FALSE(DecodeMessage(bytes));
  }
}

std::string Cbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

// Guards against invalid values that reach the engine.
TEST_CASE("bad values are refused") {
  const std::vector<std::pair<const char*, std::string>> test_cases = {
      {"empty", ""},
      {"not an array", Cbor(json{{"a", 1}})},
      {"empty array", Cbor(json::array())},
      {"unknown type", Cbor(json::array({99}))},
      {"negative count", Cbor(json::array({6, "org", -1}))},
      {"extra element", Cbor(json::array({6, "org", 1, 1}))},
      {"missing element", Cbor(json::array({6, "org"}))},
      {"text for number", Cbor(json::array({6, "org", "1"}))},
      {"number for text", Cbor(json::array({6, 1, 1}))},
      {"enumerator out of range", Cbor(json::array({2, 3, "d", 0}))},
      {"not a number",
       Cbor(json::array(
           {4, 1, 0, json::array({json::array({"o", std::nan(""), 0})})}))},
      {"infinite tokens",
       Cbor(json::array(
           {4, 1, 0, json::array({json::array({"o", HUGE_VAL, 0})})}))},
      {"negative tokens",
       Cbor(
           json::array({4, 1, 0, json::array({json::array({"o", -1.0, 0})})}))},
      {"text for bytes", Cbor(json::array({3, 0, "d", 0, 1, "bytes"}))},
      {"long text", Cbor(json::array({6, std::string(70000, 'a'), 1}))},
      {"map in a frame", Cbor(json::array({6, json{{"a", 1}}, 1}))},
  };
  for (const auto& entry : test_cases) {
    const auto& name = entry.first;
    const auto& bytes = entry.second;
    CAPTURE(name);
    CHECK_FALSE(DecodeMessage(bytes));
    CHECK_FALSE(DecodeFrame(bytes));
  }
}

// Guards against a stack overflow, since nlohmann's reader recurses for each
// level, and against reserving memory for a length that exceeds the frame.
TEST_CASE("nested and huge arrays are refused") {
  CHECK_FALSE(DecodeMessage(std::string(kMaxFrameBytes, '\x81')));
  CHECK_FALSE(DecodeMessage(std::string(kMaxFrameBytes, '\x9f')));
  CHECK_FALSE(DecodeMessage("\x9b\xff\xff\xff\xff\xff\xff\xff\xfe"));
  CHECK_FALSE(DecodeMessage("\x5b\xff\xff\xff\xff\xff\xff\xff\xfe"));
  CHECK_FALSE(DecodeMessage(std::string(kMaxFrameBytes + 1, '\x01')));
}

}  // namespace
}  // namespace pimentohall::net
