#include <tuple>

#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

// Faults are printed to terminals and logs, and may quote bytes of a document.
std::string OneLine(const std::string& text) {
  std::string result = text;
  for (char& c : result) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) c = '?';
  }
  return result;
}

}  // namespace

std::string fault::ToString() const {
  std::string text = document + ":" + std::to_string(line) + ": ";
  if (!field.empty()) text += field + ": ";
  text += problem;
  if (!fix.empty()) text += "; " + fix;
  return OneLine(text);
}

bool operator==(const fault& a, const fault& b) {
  return std::tie(a.document, a.line, a.field, a.problem, a.fix) ==
         std::tie(b.document, b.line, b.field, b.problem, b.fix);
}

}  // namespace pimentohall::config
