#ifndef PIMENTOHALL_NODE_HELD_BODY_H_
#define PIMENTOHALL_NODE_HELD_BODY_H_

// What ingress and egress hold of bodies.

#include <cstddef>

namespace pimentohall::node {

// Bodies up to this size are held, so that a call can be sent again and an
// answer is known to be whole before its first byte goes out. Longer ones pass
// through.
inline constexpr std::size_t kHeldBodyBytes = 64 * 1024;
// A longer body stops its sender when this many bytes wait to be sent on.
inline constexpr std::size_t kStreamAheadBytes = 256 * 1024;

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_HELD_BODY_H_
