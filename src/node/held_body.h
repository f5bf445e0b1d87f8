#ifndef PIMENTOHALL_NODE_HELD_BODY_H_
#define PIMENTOHALL_NODE_HELD_BODY_H_

// Limits on how much of a body ingress and egress buffer.

#include <cstddef>

namespace pimentohall::node {

// Bodies up to this size are buffered, so that a call can be sent again and an
// answer is known to be complete before its first byte is sent. Larger bodies
// are streamed.
inline constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;
// Reading of a streamed body stops while more than this is still unsent.
inline constexpr std::size_t kMaxUnsentBytes = 256 * 1024;

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_HELD_BODY_H_
