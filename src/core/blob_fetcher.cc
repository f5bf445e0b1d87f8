#include "core/blob_fetcher.h"

#include <algorithm>

#include "pimentohall/config.h"

namespace pimentohall::core {
namespace {

bool HasOther(const std::vector<std::string>& peers,
              const std::set<std::string>& tried) {
  return std::any_of(peers.begin(), peers.end(), [&](const std::string& vm) {
    return tried.count(vm) == 0;
  });
}

}  // namespace

void blob_fetcher::Want(const std::vector<wanted_blob>& blobs, instant now,
                        actions* out) {
  std::map<blob_id, const wanted_blob*> wanted;
  for (const wanted_blob& blob : blobs) wanted.emplace(blob.id, &blob);
  for (auto it = running_.begin(); it != running_.end();) {
    it = wanted.count(it->first) > 0 ? std::next(it) : running_.erase(it);
  }
  ForgetHopeless(wanted);
  for (const wanted_blob& blob : blobs) {
    const auto known = running_.find(blob.id);
    if (known != running_.end()) {
      known->second.wanted.peers = blob.peers;
      continue;
    }
    if (running_.size() >= kMaxRunning || hopeless_.count(blob.id) > 0) {
      continue;
    }
    fetch started;
    started.wanted = blob;
    if (Start(&started, now, out)) running_.emplace(blob.id, started);
  }
}

void blob_fetcher::ForgetHopeless(
    const std::map<blob_id, const wanted_blob*>& wanted) {
  for (auto it = hopeless_.begin(); it != hopeless_.end();) {
    const auto blob = wanted.find(it->first);
    const bool keep =
        blob != wanted.end() && !HasOther(blob->second->peers, it->second);
    it = keep ? std::next(it) : hopeless_.erase(it);
  }
}

bool blob_fetcher::Start(fetch* fetch, instant now, actions* out) {
  if (fetch->wanted.peers.empty()) return false;
  fetch->peer = fetch->wanted.peers.front();
  fetch->asked_since = now;
  Ask(fetch, now, out);
  return true;
}

void blob_fetcher::Ask(fetch* fetch, instant now, actions* out) {
  fetch_request request;
  request.kind = fetch->wanted.id.first;
  request.digest = fetch->wanted.id.second;
  request.offset = fetch->bytes.size();
  fetch->deadline = now + kReplyWait;
  out->push_back(send_message{fetch->peer, request});
}

void blob_fetcher::Restart(fetch* fetch) {
  fetch->bytes.clear();
  fetch->sources.clear();
  fetch->total = 0;
}

void blob_fetcher::Advance(fetch* fetch, instant now, actions* out) {
  if (!fetch->peer.empty()) fetch->tried.insert(fetch->peer);
  fetch->peer.clear();
  fetch->replies = 0;
  if (fetch->whole_from_one) Restart(fetch);
  for (const std::string& vm : fetch->wanted.peers) {
    if (fetch->tried.count(vm) > 0) continue;
    fetch->peer = vm;
    fetch->asked_since = now;
    Ask(fetch, now, out);
    return;
  }
  // All were tried: the next round starts after a pause, as a peer may only
  // have been between two versions.
  ++fetch->rounds;
  fetch->tried.clear();
  fetch->deadline = now + kReplyWait;
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
  if (fetch.replies >= kMaxReplies) return "too many pieces";
  return nullptr;
}

std::optional<fetched_blob> blob_fetcher::OnReply(const std::string& vm,
                                                  const fetch_reply& reply,
                                                  instant now, actions* out) {
  const auto it = running_.find(blob_id(reply.kind, reply.digest));
  if (it == running_.end() || it->second.peer != vm) return std::nullopt;
  fetch& fetch = it->second;
  if (reply.total_bytes == 0) {
    Advance(&fetch, now, out);
    return std::nullopt;
  }
  if (reply.offset != fetch.bytes.size()) return std::nullopt;
  const char* fault = FindFault(fetch, reply);
  if (fault != nullptr) {
    Blame(vm, fault);
    Advance(&fetch, now, out);
    return std::nullopt;
  }
  if (fetch.total != 0 && fetch.total != reply.total_bytes) {
    // One of the peers is wrong; only a whole blob from one of them tells.
    fetch.whole_from_one = true;
    Advance(&fetch, now, out);
    return std::nullopt;
  }
  fetch.total = static_cast<std::size_t>(reply.total_bytes);
  fetch.bytes += reply.bytes;
  fetch.sources.insert(vm);
  ++fetch.replies;
  // Bytes that may be thrown away again are no progress.
  if (!fetch.whole_from_one) fetch.rounds = 0;
  if (fetch.bytes.size() < fetch.total) {
    Ask(&fetch, now, out);
    return std::nullopt;
  }
  return Finish(&fetch, now, out);
}

std::optional<fetched_blob> blob_fetcher::Finish(fetch* fetch, instant now,
                                                 actions* out) {
  if (config::Sha256Hex(fetch->bytes) != fetch->wanted.id.second) {
    if (fetch->sources.size() == 1) Blame(fetch->peer, "wrong digest");
    fetch->whole_from_one = true;
    Advance(fetch, now, out);
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
    if (fetch.peer == vm) Advance(&fetch, now, out);
  }
}

void blob_fetcher::Tick(instant now, actions* out) {
  for (auto it = running_.begin(); it != running_.end();) {
    fetch& fetch = it->second;
    const bool slow =
        !fetch.peer.empty() && now - fetch.asked_since >= kBlobWait;
    if (slow || fetch.deadline <= now) Advance(&fetch, now, out);
    if (fetch.rounds < kRounds) {
      ++it;
      continue;
    }
    const std::vector<std::string>& peers = fetch.wanted.peers;
    hopeless_[it->first].insert(peers.begin(), peers.end());
    it = running_.erase(it);
  }
}

void blob_fetcher::Shift(duration gap) {
  for (auto& [id, fetch] : running_) {
    fetch.deadline += gap;
    fetch.asked_since += gap;
  }
}

instant blob_fetcher::NextWake() const {
  instant wake = instant::max();
  for (const auto& [id, fetch] : running_) {
    wake = std::min(wake, fetch.deadline);
  }
  return wake;
}

bool blob_fetcher::IsHopeless(const blob_id& id) const {
  return hopeless_.count(id) > 0;
}

std::vector<std::pair<std::string, std::string>> blob_fetcher::TakeOffenders() {
  return std::exchange(offenders_, {});
}

void blob_fetcher::Blame(const std::string& vm, const std::string& why) {
  offenders_.emplace_back(vm, why);
}

}  // namespace pimentohall::core
