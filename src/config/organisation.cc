#include <algorithm>
#include <unordered_set>

#include "config/document_reader.h"
#include "config/syntax.h"
#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

// The upper bound is ten times the call rate of the whole target fleet; a
// higher rate is a typing error. The lower bound is one call in about 17
// minutes.
constexpr number_range kRateRangePerS = {0.001, 1e7};
constexpr integer_range kBurstRange = {1, 10'000'000};
constexpr integer_range kConcurrentRange = {1, 1'000'000};

void ReadContract(object_reader& reader, contract* out) {
  reader.Number("rate_per_s", kRateRangePerS, &out->rate_per_s);
  reader.Integer("burst", kBurstRange, &out->burst);
  reader.Integer("max_concurrent", kConcurrentRange, &out->max_concurrent);
  reader.TextList("routes", kRouteOrAllRule, &out->routes);
  std::sort(out->routes.begin(), out->routes.end());
}

void ReadKey(object_reader& reader, key_digest* out) {
  reader.Text("id", kNameRule, &out->id);
  reader.Text("sha256", kDigestRule, &out->sha256);
}

void CheckDigestsDiffer(object_reader& reader,
                        const std::vector<key_digest>& keys) {
  std::unordered_set<std::string_view> seen;
  for (const key_digest& key : keys) {
    if (key.sha256.empty() || seen.insert(key.sha256).second) continue;
    reader.ReportElement("keys", static_cast<std::size_t>(&key - keys.data()),
                         "key " + key.id + " repeats the digest of another key",
                         "remove one of them or make a new key");
  }
}

void ReadOrganisation(object_reader& reader, organisation* out) {
  reader.Text("name", kNameRule, &out->name);
  reader.Object("contract", [out](object_reader& contract_reader) {
    ReadContract(contract_reader, &out->limits);
  });
  // Without keys an organisation can only use open routes. This is allowed so
  // that its last key can be withdrawn.
  reader.Objects("keys", emptiness::kAllowed, &key_digest::id, &out->keys,
                 ReadKey);
  CheckDigestsDiffer(reader, out->keys);
}

}  // namespace

tl::expected<organisation, faults> ParseOrganisation(
    std::string_view bytes, const std::string& document) {
  return ReadDocument<organisation>(bytes, document, kMaxValueBytes,
                                    ReadOrganisation);
}

}  // namespace pimentohall::config
