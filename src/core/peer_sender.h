#ifndef PIMENTOHALL_CORE_PEER_SENDER_H_
#define PIMENTOHALL_CORE_PEER_SENDER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/membership.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Delivers messages to VMs that the distribution topology does not link to this
// one, such as the home VM of an organisation. Opens a link on first use,
// queues messages until it is up, and keeps the link while it is used.
//
// Messages to a VM whose link does not come up are dropped: every sender
// repeats the messages that it still needs.
class peer_sender {
 public:
  // Messages queued for one VM while its link opens; the oldest is dropped
  // first.
  static constexpr std::size_t kMaxQueued = 16;
  // A link is kept for this long after the last message that needed it.
  static constexpr duration kKeepLink = std::chrono::seconds(60);
  // If the link is not up after this time, the next message repeats the
  // `open_link`.
  static constexpr duration kOpenTimeout = std::chrono::seconds(2);

  // `members` must outlive this object.
  explicit peer_sender(membership* members);

  // Moves `produced` to `out`. Where there is no link yet for a `send_message`,
  // queues its message and adds an `open_link` instead.
  void Route(actions produced, instant now, actions* out);

  // Sends the queued messages.
  void OnLinkUp(const std::string& vm, actions* out);
  // Drops the queued messages.
  void OnLinkDown(const std::string& vm);

 private:
  struct opening {
    instant since;  // Time of the last `open_link`.
    std::vector<message> queued;
  };

  void Enqueue(send_message message, instant now, actions* out);

  membership* members_;
  std::map<std::string, opening> opening_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_PEER_SENDER_H_
