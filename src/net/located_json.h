#ifndef PIMENTOHALL_NET_LOCATED_JSON_H_
#define PIMENTOHALL_NET_LOCATED_JSON_H_

// JSON with comments, and the line of each field.

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "pimentohall/config.h"

namespace pimentohall::net {

struct located_json {
  nlohmann::json root;
  std::map<std::string, int> lines;  // JSON pointer -> line, 1-based.
  // Pointers of fields that occur more than once in their object.
  std::vector<std::string> repeated;

  // The line of the field or of the closest enclosing one.
  int LineOf(std::string pointer) const;
};

tl::expected<located_json, config::fault> ParseLocatedJson(
    std::string_view bytes, const std::string& document);

}  // namespace pimentohall::net

#endif  // PIMENTOHALL_NET_LOCATED_JSON_H_
