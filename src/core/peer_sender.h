#ifndef PIMENTOHALL_CORE_PEER_SENDER_H_
#define PIMENTOHALL_CORE_PEER_SENDER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/membership.h"
#include "pimentohall/core.h"

namespace pimentohall::core {

// Delivers messages to VMs that the distribution topology does not link, such
// as the home VM of an organisation. Opens a link on first use, holds the
// messages until it is up, and keeps the link while it is used.
//
// Messages to a VM whose link does not come up are dropped: every sender
// repeats what it still needs.
class peer_sender {
 public:
  // Held for one VM while its link is opening; the oldest is dropped first.
  static constexpr std::size_t kMaxHeld = 16;
  // A link without such messages for this long is no longer kept.
  static constexpr duration kKeepLink = std::chrono::seconds(60);
  // An open_link that was not answered in this time is repeated.
  static constexpr duration kOpenTimeout = std::chrono::seconds(2);

  // `members` must outlive this object.
  explicit peer_sender(membership* members);

  // Moves the `send_message` actions of `made` to `out`, after an `open_link`
  // where there is no link yet; other actions are moved as they are.
  void Route(actions made, instant now, actions* out);

  void OnLinkUp(const std::string& vm, actions* out);
  void OnLinkDown(const std::string& vm);

 private:
  struct opening {
    instant since;
    std::vector<message> held;
  };

  void Hold(send_message message, instant now, actions* out);

  membership* members_;
  std::map<std::string, opening> opening_;
};

}  // namespace pimentohall::core

#endif  // PIMENTOHALL_CORE_PEER_SENDER_H_
