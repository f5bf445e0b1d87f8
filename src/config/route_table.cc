#include "config/route_table.h"

#include <algorithm>
#include <functional>
#include <string>

#include "config/syntax.h"

namespace pimentohall::config {
namespace {

// Multiplier of Fibonacci hashing (2^64 / golden ratio); it spreads small
// node numbers over all bits of the hash.
constexpr std::uint64_t kHashMultiplier = 0x9e3779b97f4a7c15;

// Removes the first segment from `path`, which starts with "/", and returns
// it.
std::string_view TakeSegment(std::string_view* path) {
  path->remove_prefix(1);
  const std::size_t end = std::min(path->find('/'), path->size());
  const std::string_view segment = path->substr(0, end);
  path->remove_prefix(end);
  return segment;
}

bool AllowsMethod(const route& route, std::string_view method) {
  return std::find(route.methods.begin(), route.methods.end(), method) !=
         route.methods.end();
}

const route* FindMethod(const std::vector<const route*>& routes,
                        std::string_view method) {
  for (const route* route : routes) {
    if (AllowsMethod(*route, method)) return route;
  }
  return nullptr;
}

}  // namespace

std::size_t route_table::edge_hash::operator()(const edge& edge) const {
  return std::hash<std::string_view>()(edge.segment) ^
         static_cast<std::size_t>(edge.parent * kHashMultiplier);
}

route_table::route_table() : nodes_(1) {}

const route* route_table::Add(const route& added) {
  std::vector<const route*>& routes = nodes_[FindOrAddNode(added.path_prefix)];
  const route* clash = nullptr;
  for (const std::string& method : added.methods) {
    if (clash == nullptr) clash = FindMethod(routes, method);
  }
  routes.push_back(&added);
  return clash;
}

const route* route_table::Find(std::string_view method,
                               std::string_view path) const {
  if (path.empty() || path[0] != '/' || HasDotSegment(path)) return nullptr;
  const route* best = FindMethod(nodes_[0], method);
  std::uint32_t node = 0;
  while (!path.empty()) {
    const auto found = edges_.find({node, TakeSegment(&path)});
    if (found == edges_.end()) break;
    node = found->second;
    if (const route* route = FindMethod(nodes_[node], method)) best = route;
  }
  return best;
}

std::uint32_t route_table::FindOrAddNode(std::string_view prefix) {
  std::uint32_t node = 0;
  if (prefix == "/") return node;
  while (!prefix.empty()) {
    const auto new_node = static_cast<std::uint32_t>(nodes_.size());
    const auto [found, added] =
        edges_.emplace(edge{node, TakeSegment(&prefix)}, new_node);
    if (added) nodes_.emplace_back();
    node = found->second;
  }
  return node;
}

}  // namespace pimentohall::config
