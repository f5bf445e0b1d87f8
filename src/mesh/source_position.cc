#include <tuple>

#include "pimentohall/mesh.h"

namespace pimentohall::mesh {

bool operator==(const source_position& a, const source_position& b) {
  return a.era == b.era && a.revision == b.revision;
}

bool operator<(const source_position& a, const source_position& b) {
  return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
}

std::string ToText(const source_position& position) {
  const std::string revision = std::to_string(position.revision);
  return position.era == 0 ? revision
                           : std::to_string(position.era) + "." + revision;
}

}  // namespace pimentohall::mesh
