#include "mirror_model/documents.h"

#include <nlohmann/json.hpp>

namespace pimentohall::testing {

using nlohmann::json;

std::string EntryDocument(int reports, const std::string& state,
                          std::uint64_t born) {
  return json{{"service", "ledger"}, {"address", "10.0.0.1:80"},
              {"zone", "z"},         {"version", "v1"},
              {"slots", 4},          {"state", state},
              {"warmupLeftMs", 0},   {"sequence", reports},
              {"born", born}}
      .dump();
}

std::string ConfigDocument(int version, std::size_t padding) {
  return json{{"version", "r" + std::to_string(version)},
              {"routes", json::array()},
              {"services", json::array()},
              {"padding", std::string(padding, 'p')}}
      .dump();
}

}  // namespace pimentohall::testing
