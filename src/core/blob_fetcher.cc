#include "core/blob_fetcher.h"

#include <algorithm>

#include "pimentohall/config.h"

namespace pimentohall::core {
namespace {

bool HasUntriedPeer(const std::vector<std::string>& peers,
                    const std::set<std::string>& tried) {
  return std::any_of(peers.begin(), peers.end(), [&](const std::string& vm) {
    return tried.count(vm) == 0;
  });
}

}  // namespace

void blob_fetcher::SetWanted(const std::vector<wanted_blob>& blobs, instant now,
                             actions* out) {
  std::map<blob_id, const wanted_blob*> wanted;
  for (const wanted_blob& blob : blobs) wanted.emplace(blob.id, &blob);
  for (auto it = running_.begin(); it != running_.end();) {
    it = wanted.count(it->first) > 0 ? std::next(it) : running_.erase(it);
  }
  PruneFailed(wanted);
  for (const wanted_blob& blob : blobs) {
    const auto known = running_.find(blob.id);
    if (known != running_.end()) {
      known->second.wanted.peers = blob.peers;
      continue;
    }
    if (running_.size() >= kMaxRunning || failed_.count(blob.id) > 0) {
      continue;
    }
    fetch started;
    started.wanted = blob;
    if (Start(&started, now, out)) running_.emplace(blob.id, started);
  }
}

void blob_fetcher::PruneFailed(
    const std::map<blob_id, const wanted_blob*>& wanted) {
  for (auto it = failed_.begin(); it != failed_.end();) {
    const auto blob = wanted.find(it->first);
    const bool keep = blob != wanted.end() &&
                      !HasUntriedPeer(blob->second->peers, it->second);
    it = keep ? std::next(it) : failed_.erase(it);
  }
}

bool blob_fetcher::Start(fetch* fetch, instant now, actions* out) {
  if (fetch->wanted.peers.empty()) return false;
  fetch->peer = fetch->wanted.peers.front();
  fetch->asked_at = now;
  Ask(fetch, now, out);
  return true;
}

void blob_fetcher::Ask(fetch* fetch, instant now, actions* out) {
  fetch_request request;
  request.kind = fetch->wanted.id.first;
  request.digest = fetch->wanted.id.second;
  request.offset = fetch->bytes.size();
  fetch->deadline = now + kReplyTimeout;
  out->push_back(send_message{fetch->peer, request});
}

void blob_fetcher::Restart(fetch* fetch) {
  fetch->bytes.clear();
  fetch->senders.clear();
  fetch->total = 0;
}

void blob_fetcher::AskNextPeer(fetch* fetch, instant now, actions* out) {
  if (!fetch->peer.empty()) fetch->tried.insert(fetch->peer);
  fetch->peer.clear();
  fetch->replies = 0;
  if (fetch->single_peer_only) Restart(fetch);
  for (const std::string& vm : fetch->wanted.peers) {
    if (fetch->tried.count(vm) > 0) continue;
    fetch->peer = vm;
    fetch->asked_at = now;
    Ask(fetch, now, out);
    return;
  }
  // All peers were tried. The next round starts after a delay, because a peer
  // may have been switching from one version to another.
  ++fetch->rounds;
  fetch->tried.clear();
  fetch->deadline = now + kReplyTimeout;
}

const char* blob_fetcher::FindFault(const fetch& fetch,
                                    const fetch_reply& reply) {
  const std::size_t exact = fetch.wanted.exact_bytes;
  if (reply.total_bytes > fetch.wanted.max_bytes) return "total over the limit";
  if (exact != 0 && reply.total_bytes != exact) return "wrong total";
  if (reply.bytes.size() > kPieceBytes) return "piece too large";
  if (reply.bytes.empty()) return "empty piece";
  if (reply.offset + reply.bytes.size() > reply.total_bytes) {
    return "piece beyond the end";
  }
  if (fetch.replies >= kMaxRepliesPerPeer) return "too many pieces";
  return nullptr;
}

std::optional<fetched_blob> blob_fetcher::OnReply(const std::string& vm,
                                                  const fetch_reply& reply,
                                                  instant now, actions* out) {
  const auto it = running_.find(blob_id(reply.kind, reply.digest));
  if (it == running_.end() || it->second.peer != vm) return std::nullopt;
  fetch& fetch = it->second;
  if (reply.total_bytes == 0) {
    AskNextPeer(&fetch, now, out);
    return std::nullopt;
  }
  if (reply.offset != fetch.bytes.size()) return std::nullopt;
  const char* fault = FindFault(fetch, reply);
  if (fault != nullptr) {
    AddViolation(vm, fault);
    AskNextPeer(&fetch, now, out);
    return std::nullopt;
  }
  if (fetch.total != 0 && fetch.total != reply.total_bytes) {
    // One of the peers is wrong. To find out which, the blob must come whole
    // from a single peer.
    fetch.single_peer_only = true;
    AskNextPeer(&fetch, now, out);
    return std::nullopt;
  }
  fetch.total = static_cast<std::size_t>(reply.total_bytes);
  fetch.bytes += reply.bytes;
  fetch.senders.insert(vm);
  ++fetch.replies;
  // Bytes that may be discarded again don't count as progress.
  if (!fetch.single_peer_only) fetch.rounds = 0;
  if (fetch.bytes.size() < fetch.total) {
    Ask(&fetch, now, out);
    return std::nullopt;
  }
  return Finish(&fetch, now, out);
}

std::optional<fetched_blob> blob_fetcher::Finish(fetch* fetch, instant now,
                                                 actions* out) {
  if (config::Sha256Hex(fetch->bytes) != fetch->wanted.id.second) {
    if (fetch->senders.size() == 1) AddViolation(fetch->peer, "wrong digest");
    fetch->single_peer_only = true;
    AskNextPeer(fetch, now, out);
    return std::nullopt;
  }
  fetched_blob blob{fetch->wanted.id, std::move(fetch->bytes)};
  running_.erase(blob.id);
  return blob;
}

void blob_fetcher::OnLinkDown(const std::string& vm, instant now,
                              actions* out) {
  for (auto& [id, fetch] : running_) {
    std::vector<std::string>& peers = fetch.wanted.peers;
    peers.erase(std::remove(peers.begin(), peers.end(), vm), peers.end());
    if (fetch.peer == vm) AskNextPeer(&fetch, now, out);
  }
}

void blob_fetcher::Tick(instant now, actions* out) {
  for (auto it = running_.begin(); it != running_.end();) {
    fetch& fetch = it->second;
    const bool slow =
        !fetch.peer.empty() && now - fetch.asked_at >= kBlobTimeout;
    if (slow || fetch.deadline <= now) AskNextPeer(&fetch, now, out);
    if (fetch.rounds < kMaxRounds) {
      ++it;
      continue;
    }
    const std::vector<std::string>& peers = fetch.wanted.peers;
    failed_[it->first].insert(peers.begin(), peers.end());
    it = running_.erase(it);
  }
}

void blob_fetcher::Shift(duration gap) {
  for (auto& [id, fetch] : running_) {
    fetch.deadline += gap;
    fetch.asked_at += gap;
  }
}

instant blob_fetcher::NextWake() const {
  instant wake = instant::max();
  for (const auto& [id, fetch] : running_) {
    wake = std::min(wake, fetch.deadline);
  }
  return wake;
}

bool blob_fetcher::HasFailed(const blob_id& id) const {
  return failed_.count(id) > 0;
}

std::vector<std::pair<std::string, std::string>>
blob_fetcher::TakeViolations() {
  return std::exchange(violations_, {});
}

void blob_fetcher::AddViolation(const std::string& vm,
                                const std::string& reason) {
  violations_.emplace_back(vm, reason);
}

}  // namespace pimentohall::core
