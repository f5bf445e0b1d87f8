#include "config/document_reader.h"
#include "config/syntax.h"
#include "pimentohall/config.h"

namespace pimentohall::config {
namespace {

// The upper bound is the maximum deadline of a call.
constexpr integer_range kTimeoutRangeMs = {1, 60000};
constexpr integer_range kConnectionsRange = {1, 10000};
constexpr choice<route_class> kRouteClasses[] = {
    {"interactive", route_class::kInteractive},
    {"overnight", route_class::kOvernight}};

void ReadRoute(object_reader& reader, route* out) {
  reader.Text("name", kNameRule, &out->name);
  reader.Text("path_prefix", kPathPrefixRule, &out->path_prefix);
  reader.TextList("methods", kMethodRule, &out->methods);
  reader.Boolean("idempotent", &out->idempotent);
  reader.Choice("class", kRouteClasses, &out->traffic_class);
  reader.Integer("timeout_ms", kTimeoutRangeMs, &out->timeout_ms,
                 presence::kOptional);
  reader.Boolean("open", &out->open);
}

void ReadUpstream(object_reader& reader, upstream* out) {
  reader.Text("name", kNameRule, &out->name);
  reader.Text("vm", kNameRule, &out->vm);
  reader.Text("address", kAddressRule, &out->address);
  reader.Integer("port", kPortRange, &out->port);
  reader.Integer("max_connections", kConnectionsRange, &out->max_connections,
                 presence::kOptional);
}

void ReadService(object_reader& reader, service* out) {
  reader.Text("name", kNameRule, &out->name);
  reader.Objects("routes", emptiness::kRefused, &route::name, &out->routes,
                 ReadRoute);
  reader.Objects("upstreams", emptiness::kRefused, &upstream::name,
                 &out->upstreams, ReadUpstream);
  reader.Text("health_path", kRequestPathRule, &out->health_path,
              presence::kOptional);
  reader.Text("load_path", kRequestPathRule, &out->load_path,
              presence::kOptional);
  for (route& route : out->routes) route.service = out->name;
  for (upstream& upstream : out->upstreams) upstream.service = out->name;
}

}  // namespace

tl::expected<service, faults> ParseService(std::string_view bytes,
                                           const std::string& document) {
  return ReadDocument<service>(bytes, document, kMaxValueBytes, ReadService);
}

}  // namespace pimentohall::config
