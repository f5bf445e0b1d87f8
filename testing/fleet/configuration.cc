#include "fleet/configuration.h"

#include <utility>

#include "cli/folder.h"
#include "fleet/http_client.h"
#include "pimentohall/config.h"

namespace pimentohall::testing {
namespace {

using json = nlohmann::ordered_json;

constexpr std::chrono::milliseconds kPutTimeout(10000);
constexpr int kOk = 200;

fleet_result<json> ParseDocument(const std::string& name,
                                 const std::string& bytes) {
  json document = json::parse(bytes, nullptr, false, true);
  if (document.is_discarded()) return FleetError(name + " is not JSON");
  return document;
}

}  // namespace

fleet_result<configuration> ReadConfiguration(const std::string& folder) {
  const auto files = cli::ReadFolder(folder);
  if (!files) return FleetError(files.error().ToString());
  configuration result;
  for (const auto& [name, bytes] : files->parts) {
    auto document = ParseDocument(name, bytes);
    if (!document) return tl::make_unexpected(document.error());
    result.parts[name] = std::move(*document);
  }
  auto vms = ParseDocument("vms", files->vms);
  if (!vms) return tl::make_unexpected(vms.error());
  result.vms = std::move(*vms);
  return result;
}

std::map<std::string, std::string> PartBytes(const configuration& documents) {
  std::map<std::string, std::string> bytes;
  for (const auto& [name, document] : documents.parts) {
    bytes[name] = document.dump();
  }
  return bytes;
}

void AddKey(configuration* documents, const std::string& organisation,
            const std::string& id, const std::string& key) {
  documents->parts["organisations/" + organisation]["keys"].push_back(
      {{"id", id}, {"sha256", config::Sha256Hex(key)}});
}

void WithdrawKey(configuration* documents, const std::string& organisation,
                 const std::string& id) {
  json& keys = documents->parts["organisations/" + organisation]["keys"];
  json kept = json::array();
  for (json& key : keys) {
    if (key["id"] != id) kept.push_back(std::move(key));
  }
  keys = std::move(kept);
}

void SetZoneState(configuration* documents, const std::string& zone,
                  const std::string& state) {
  for (json& entry : documents->parts["zones"]["zones"]) {
    if (entry["name"] == zone) entry["state"] = state;
  }
}

void SetRate(configuration* documents, const std::string& organisation,
             double rate_per_s) {
  documents->parts["organisations/" + organisation]["contract"]["rate_per_s"] =
      rate_per_s;
}

fleet_result<void> publisher::Publish(configuration* documents) {
  ++documents->version;
  const std::map<std::string, std::string> parts = PartBytes(*documents);
  for (const auto& [digest, bytes] : config::PartsByDigest(parts)) {
    if (published_digests_.count(digest) != 0) continue;
    auto put = Put("parts/" + digest, bytes);
    if (!put) return put;
    published_digests_.insert(digest);
  }
  return Put("manifest", config::BuildManifest(documents->version, parts));
}

fleet_result<void> publisher::PublishVms(const configuration& documents) {
  return Put("vms", documents.vms.dump());
}

fleet_result<void> publisher::Put(const std::string& key,
                                  const std::string& bytes) {
  http_client source(port_, kPutTimeout);
  const auto reply = source.Send(
      {"PUT", "/kv/" + std::string(kSourcePrefix) + "/" + key, bytes, {}});
  if (!reply) return tl::make_unexpected(reply.error());
  if (reply->status == kOk) return {};
  return FleetError("the source answered " + std::to_string(reply->status) +
                    " to " + key);
}

}  // namespace pimentohall::testing
