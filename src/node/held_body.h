#ifndef PIMENTOHALL_NODE_HELD_BODY_H_
#define PIMENTOHALL_NODE_HELD_BODY_H_

// Limits on how much of a body ingress and egress buffer.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace pimentohall::node {

// Answers up to this size are buffered, so that an answer is known to be
// complete before its first byte is sent. Larger ones are streamed.
inline constexpr std::size_t kMaxBufferedAnswerBytes = 64 * 1024;
// Requests up to this size are buffered, so that they can be sent again, and
// hold no slot of an upstream while they arrive.
inline constexpr std::size_t kMaxBufferedRequestBytes = 512 * 1024;
// The sum of the buffered requests of a daemon; beyond it, a body is streamed
// as soon as it exceeds `kMinBufferedRequestBytes`.
inline constexpr std::size_t kMaxBufferedTotalBytes = 16 * 1024 * 1024;
inline constexpr std::size_t kMinBufferedRequestBytes = 64 * 1024;
// Reading of a streamed body stops while more than this is still unsent.
inline constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
// The same for answers while the clients of a listener hold much.
inline constexpr std::size_t kMaxUnsentBytesCrowded = 32 * 1024;
inline std::size_t MaxUnsentBytes(bool is_crowded) {
  return is_crowded ? kMaxUnsentBytesCrowded : kMaxUnsentBytes;
}
// For bodies from this size on, the egress is asked whether it takes the call
// before the body is sent.
inline constexpr std::size_t kMinAskedBodyBytes = 16 * 1024;

// The buffered part of a request's body. Counts its bytes in a sum over the
// daemon. They share the sum: a call may outlive the daemon's other state.
class held_body {
 public:
  explicit held_body(std::shared_ptr<std::size_t> total)
      : total_(std::move(total)) {}
  ~held_body() { Clear(); }
  held_body(const held_body&) = delete;
  held_body& operator=(const held_body&) = delete;

  void Append(std::string_view bytes) {
    bytes_.append(bytes);
    *total_ += bytes.size();
  }
  void Clear() {
    *total_ -= bytes_.size();
    bytes_ = std::string();
  }
  const std::string& Bytes() const { return bytes_; }
  // True if the body has become too large to be buffered whole.
  bool IsTooLarge() const {
    const bool is_crowded = *total_ > kMaxBufferedTotalBytes;
    return bytes_.size() >
           (is_crowded ? kMinBufferedRequestBytes : kMaxBufferedRequestBytes);
  }

 private:
  std::shared_ptr<std::size_t> total_;
  std::string bytes_;
};

}  // namespace pimentohall::node

#endif  // PIMENTOHALL_NODE_HELD_BODY_H_
