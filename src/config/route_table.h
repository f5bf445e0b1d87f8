#ifndef PIMENTOHALL_CONFIG_ROUTE_TABLE_H_
#define PIMENTOHALL_CONFIG_ROUTE_TABLE_H_

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentohall/config.h"

namespace pimentohall::config {

// Finds routes by path, in a tree with one level for each path segment. All
// edges are in one hash map, so a lookup costs one hash for each segment of the
// path that is in the tree, regardless of the number of routes.
class route_table {
 public:
  route_table();

  // Adds a route, which must outlive the table and have a valid prefix. Returns
  // a route that was added before with the same prefix and one of its methods,
  // or null. The first such route keeps matching.
  const route* Add(const route& added);

  // As `config_set::FindRoute`.
  const route* Find(std::string_view method, std::string_view path) const;

 private:
  struct edge {
    std::uint32_t parent;  // Node that the edge starts at.
    std::string_view segment;
    friend bool operator==(const edge& a, const edge& b) {
      return a.parent == b.parent && a.segment == b.segment;
    }
  };
  struct edge_hash {
    std::size_t operator()(const edge& edge) const;
  };

  // Returns the node of a path prefix and adds the missing nodes on the way.
  std::uint32_t FindOrAddNode(std::string_view prefix);

  std::unordered_map<edge, std::uint32_t, edge_hash> edges_;
  // The routes that end at each node. Node 0 is the root, for prefix "/".
  std::vector<std::vector<const route*>> nodes_;
};

}  // namespace pimentohall::config

#endif  // PIMENTOHALL_CONFIG_ROUTE_TABLE_H_
