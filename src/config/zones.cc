#include "config/document_reader.h"
#include "config/syntax.h"
#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

constexpr choice<zone_state> kZoneStates[] = {{"in", zone_state::kIn},
                                              {"out", zone_state::kOut}};

void ReadZone(object_reader& reader, zone* out) {
  reader.Text("name", kNameRule, &out->name);
  reader.Text("region", kNameRule, &out->region);
  reader.Choice("state", kZoneStates, &out->state);
}

void ReadZones(object_reader& reader, std::vector<zone>* out) {
  reader.Objects("zones", emptiness::kRefused, &zone::name, out, ReadZone);
}

}  // namespace

tl::expected<std::vector<zone>, faults> ParseZones(
    std::string_view bytes, const std::string& document) {
  return ReadDocument<std::vector<zone>>(bytes, document, kMaxValueBytes,
                                         ReadZones);
}

}  // namespace pimentohall::config
