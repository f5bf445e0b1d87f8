// Any bytes as a frame of either kind of link: refused, or encoded again to a
// frame that decodes to the same bytes.

#include <string>

#include "fuzz_check.h"
#include "pimentohall/net.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace net = pimentohall::net;
  const std::string_view bytes = pimentohall::config::AsText(data, size);
  if (const auto message = net::DecodeMessage(bytes)) {
    const std::string again = net::EncodeMessage(*message);
    const auto decoded = net::DecodeMessage(again);
    FUZZ_CHECK(decoded.has_value());
    FUZZ_CHECK(net::EncodeMessage(*decoded) == again);
  }
  if (const auto frame = net::DecodeFrame(bytes)) {
    const std::string again = net::EncodeFrame(*frame);
    const auto decoded = net::DecodeFrame(again);
    FUZZ_CHECK(decoded.has_value());
    FUZZ_CHECK(net::EncodeFrame(*decoded) == again);
  }
  return 0;
}
