#include "check/value_text.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <iomanip>
#include <sstream>

namespace pimentohall::check {
namespace {

bool IsPlain(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("-_./:").find(c) != std::string_view::npos;
}

template <typename value, typename text_of>
std::string Join(const std::vector<value>& values, text_of text) {
  std::string joined;
  for (const value& each : values) {
    joined += (joined.empty() ? "" : ", ") + text(each);
  }
  return "[" + joined + "]";
}

}  // namespace

std::string ToText(const std::string& value) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) {
    return value;
  }
  std::ostringstream text;
  text << std::quoted(value);
  return text.str();
}

std::string ToText(double value) {
  constexpr int kUsualDigits = 15;
  constexpr int kExactDigits = 17;
  char text[40];
  std::snprintf(text, sizeof text, "%.*g", kUsualDigits, value);
  if (std::strtod(text, nullptr) != value) {
    std::snprintf(text, sizeof text, "%.*g", kExactDigits, value);
  }
  return text;
}

std::string ToText(mesh::duration value) {
  return ToText(std::chrono::duration<double, std::milli>(value).count()) +
         " ms";
}

std::string ToText(const std::vector<std::string>& values) {
  return Join(values, [](const std::string& each) { return ToText(each); });
}

std::string ToText(const std::vector<mesh::route_part>& parts) {
  return Join(parts, [](const mesh::route_part& each) {
    return ToText(each.service) + " " + ToText(each.weight);
  });
}

}  // namespace pimentohall::check
