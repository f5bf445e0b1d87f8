#include "node/carry_rules.h"

#include <tuple>

namespace pimentohall::node {
namespace {

struct conflict {
  const source_decoder& decoder;
  const source_item& held;
  const source_item* offered;
  offer_origin origin;

  // The decoded value that the source offers; null: none, or of another kind.
  template <typename kind>
  std::optional<kind> Offered() const {
    if (offered == nullptr) return std::nullopt;
    const decoded_item decoded = decoder.Decode(*offered);
    const kind* const value = std::get_if<kind>(&decoded);
    return value == nullptr ? std::nullopt : std::optional<kind>(*value);
  }
};

std::optional<duration> CarryConfiguration(
    const conflict& in, const mesh::configuration_parts& held) {
  // Versions only increase: a lower one that is written now is one of several
  // that the operators write again in order.
  const auto offered = in.Offered<mesh::configuration_parts>();
  const bool is_later = offered && offered->version >= held.version;
  return is_later ? std::nullopt : std::optional<duration>(kUntilWritten);
}

std::optional<duration> CarryEvacuation(const conflict& in) {
  if (in.origin != offer_origin::kCopy) return std::nullopt;
  if (in.offered == nullptr) return kUntilWritten;
  // The copy may also show an evacuation that was written after the source's
  // return. Unlike the one that was taken back, it has a revision of its own.
  const bool was_taken_back = in.held.removed &&
                              in.held.revision == in.offered->revision &&
                              in.held.value == in.offered->value;
  return was_taken_back ? std::optional<duration>(kUntilWritten) : std::nullopt;
}

auto ReportOrder(const mesh::upstream& entry) {
  return std::make_tuple(entry.born_ms, entry.reports, entry.draining);
}

std::optional<duration> CarryUpstream(
    const conflict& in, const std::optional<mesh::upstream>& held) {
  if (in.origin == offer_origin::kWritten) return std::nullopt;
  if (in.offered == nullptr) {
    const bool may_be_lost = in.origin == offer_origin::kCopy;
    return may_be_lost ? std::optional<duration>(kMissingTime) : std::nullopt;
  }
  const auto offered = in.Offered<mesh::upstream>();
  if (!offered) return std::nullopt;
  // The last entry of a removed upstream isn't always known.
  if (!held) return kRewriteTime;
  const bool is_older = in.held.removed
                            ? ReportOrder(*offered) <= ReportOrder(*held)
                            : ReportOrder(*offered) < ReportOrder(*held);
  return is_older ? std::optional<duration>(kRewriteTime) : std::nullopt;
}

}  // namespace

std::optional<duration> CarryTime(const source_decoder& decoder,
                                  const source_item& held,
                                  const source_item* offered,
                                  offer_origin origin) {
  const conflict in{decoder, held, offered, origin};
  const decoded_item decoded = decoder.Decode(held);
  if (const auto* parts = std::get_if<mesh::configuration_parts>(&decoded)) {
    return CarryConfiguration(in, *parts);
  }
  if (std::holds_alternative<evacuated_zone>(decoded)) {
    return CarryEvacuation(in);
  }
  if (const auto* entry = std::get_if<mesh::upstream>(&decoded)) {
    return CarryUpstream(in, *entry);
  }
  const bool is_upstream = !decoder.UpstreamIdFromKey(held.key).empty();
  if (is_upstream && held.removed) return CarryUpstream(in, std::nullopt);
  return std::nullopt;
}

}  // namespace pimentohall::node
