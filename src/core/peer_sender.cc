#include "core/peer_sender.h"

#include <utility>

namespace pimentohall::core {

peer_sender::peer_sender(membership* members) : members_(members) {}

void peer_sender::Route(actions produced, instant now, actions* out) {
  for (action& produced_action : produced) {
    auto* send = std::get_if<send_message>(&produced_action);
    if (send == nullptr) {
      out->push_back(std::move(produced_action));
      continue;
    }
    members_->KeepLink(send->vm, now + kKeepLink);
    if (members_->HasLink(send->vm)) {
      out->push_back(std::move(produced_action));
    } else {
      Enqueue(std::move(*send), now, out);
    }
  }
}

void peer_sender::Enqueue(send_message message, instant now, actions* out) {
  const config::vm* vm = members_->FindVm(message.vm);
  if (vm == nullptr) return;
  const auto [entry, added] = opening_.try_emplace(message.vm);
  if (added || now - entry->second.since >= kOpenTimeout) {
    entry->second.since = now;
    out->push_back(open_link{vm->name, vm->address, vm->link_port});
  }
  std::vector<core::message>& queued = entry->second.queued;
  if (queued.size() == kMaxQueued) queued.erase(queued.begin());
  queued.push_back(std::move(message.body));
}

void peer_sender::OnLinkUp(const std::string& vm, actions* out) {
  const auto found = opening_.find(vm);
  if (found == opening_.end()) return;
  for (message& queued : found->second.queued) {
    out->push_back(send_message{vm, std::move(queued)});
  }
  opening_.erase(found);
}

void peer_sender::OnLinkDown(const std::string& vm) { opening_.erase(vm); }

}  // namespace pimentohall::core
