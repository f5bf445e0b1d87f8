#ifndef PIMENTOHALL_CHECK_VALUE_TEXT_H_
#define PIMENTOHALL_CHECK_VALUE_TEXT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "pimentohall/mesh.h"

namespace pimentohall::check {

// Texts of values. Different values have different texts.
std::string ToText(const std::string& value);
std::string ToText(double value);
std::string ToText(mesh::duration value);  // In milliseconds.
std::string ToText(const std::vector<std::string>& values);
std::string ToText(const std::vector<mesh::route_part>& parts);
inline std::string ToText(bool value) { return value ? "true" : "false"; }
inline std::string ToText(int value) { return std::to_string(value); }
inline std::string ToText(std::uint64_t value) { return std::to_string(value); }

}  // namespace pimentohall::check

#endif  // PIMENTOHALL_CHECK_VALUE_TEXT_H_
