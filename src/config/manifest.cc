#include <nlohmann/json.hpp>

#include "config/document_reader.h"
#include "config/syntax.h"
#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

constexpr std::int64_t kFormat = 1;
constexpr std::string_view kFileSuffix = ".json";

void ReadPartRef(object_reader& reader, part_ref* out) {
  reader.Text("name", kPartNameRule, &out->name);
  reader.Text("sha256", kDigestRule, &out->sha256);
  reader.Integer("bytes", {0, kMaxValueBytes}, &out->bytes);
}

void ReadManifest(object_reader& reader, manifest* out) {
  std::int64_t format = 0;
  reader.Integer("format", {kFormat, kFormat}, &format);
  reader.Integer("version", kVersionRange, &out->version);
  reader.Objects("parts", emptiness::kRefused, &part_ref::name, &out->parts,
                 ReadPartRef);
  std::size_t total = 0;
  for (const part_ref& part : out->parts) total += part.bytes;
  if (total > kMaxSetBytes) {
    reader.Report("parts",
                  "parts of " + std::to_string(total) +
                      " bytes together, more than the limit of " +
                      std::to_string(kMaxSetBytes),
                  "remove parts or make them smaller");
  }
}

}  // namespace

tl::expected<manifest, faults> ParseManifest(std::string_view bytes,
                                             const std::string& document) {
  auto parsed =
      ReadDocument<manifest>(bytes, document, kMaxManifestBytes, ReadManifest);
  if (parsed) parsed->digest = Sha256Hex(bytes);
  return parsed;
}

std::string BuildManifest(std::uint64_t version,
                          const std::map<std::string, std::string>& parts) {
  // The text is written by hand with one part per line, so that a diff of two
  // manifests is easy to read. Names are escaped, since they may be invalid.
  std::string text =
      "{\"format\":1,\"version\":" + std::to_string(version) + ",\"parts\":[";
  const char* separator = "\n";
  for (const auto& [name, bytes] : parts) {
    const nlohmann::json name_json = name;
    text += separator;
    text += "{\"name\":";
    text += name_json.dump(-1, ' ', /*ensure_ascii=*/true,
                           nlohmann::json::error_handler_t::replace);
    text += ",\"sha256\":\"" + Sha256Hex(bytes) + "\"";
    text += ",\"bytes\":" + std::to_string(bytes.size()) + "}";
    separator = ",\n";
  }
  text += "\n]}\n";
  return text;
}

std::map<std::string, std::string> PartsByDigest(
    const std::map<std::string, std::string>& parts) {
  std::map<std::string, std::string> by_digest;
  for (const auto& [name, bytes] : parts) {
    by_digest.emplace(Sha256Hex(bytes), bytes);
  }
  return by_digest;
}

tl::expected<std::string, fault> PartNameOfFile(std::string_view path) {
  const bool has_suffix =
      path.size() > kFileSuffix.size() &&
      path.substr(path.size() - kFileSuffix.size()) == kFileSuffix;
  if (has_suffix) {
    const std::string_view name =
        path.substr(0, path.size() - kFileSuffix.size());
    if (kPartNameRule.accepts(name)) return std::string(name);
  }
  return tl::unexpected(
      fault{Printable(path), 0, "", "no part has this file name",
            "use zones.json, services/NAME.json or organisations/NAME.json"});
}

}  // namespace pimentohall::config
