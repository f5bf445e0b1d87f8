// All links of a daemon.
//
// Invariants:
// - `on_link_up` and `on_link_down` alternate for each peer, but for a failed
//   dial, which gives `on_link_down` alone, for `Open` of a link that is up,
//   which gives `on_link_up` again, and for `Close`, which gives nothing.
// - After simultaneous dials both connections stay. Each end sends on the one
//   that opened first there; closing one of them doesn't take the link down,
//   so the two ends can't close each other's choice.
// - A forwarded attempt is in `waiting` until it is handed to an open
//   connection and in `sent` from then on; only a waiting one gives
//   `on_forward_failed`.

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "net/link_connection.h"
#include "net/socket.h"
#include "net/tls.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

// A dialled call connection hears nothing only while it is idle (at most 60 s)
// or its calls run (at most 60 s).
constexpr auto kDialledSilence = std::chrono::seconds(75);
// The accepting end may hear nothing for both times together.
constexpr auto kAcceptedSilence = std::chrono::seconds(150);
// Call connections are one for each peer and direction; this bounds what
// strangers can open.
constexpr std::size_t kMaxCallConnections = 8192;

}  // namespace

class link_service::impl : public link_connection::observer {
 public:
  impl(event_loop& loop, timer_service& timers, link_options options,
       link_service* owner)
      : loop_(loop),
        timers_(timers),
        options_(std::move(options)),
        owner_(owner) {
    idle_timer_ =
        timers_.Every(std::max<core::duration>(options_.call_idle / 4,
                                               std::chrono::milliseconds(10)),
                      sigc::slot<void()>([this] { CloseIdle(); }));
  }
  ~impl() override {
    idle_timer_.disconnect();
    for (auto& [connection, entry] : connections_) entry.timer.disconnect();
  }

  tl::expected<int, std::string> Listen() {
    if (auto loaded = ReloadCertificates(); !loaded) {
      return tl::unexpected(loaded.error());
    }
    auto socket = OpenListeningSocket(options_.listen);
    if (!socket) return tl::unexpected(socket.error());
    listener_.reset(evconnlistener_new(
        loop_.Base(), &impl::OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, *socket));
    return BoundPort(*socket);
  }

  tl::expected<void, std::string> ReloadCertificates() {
    if (!options_.tls.IsSet()) return {};
    auto context = LoadTlsContext(options_.tls);
    if (!context) return tl::unexpected(context.error());
    tls_ = std::move(*context);
    return {};
  }

  void Open(const core::open_link& action) {
    peer& to = peers_[action.vm];
    if (!to.control.empty()) {
      Later([this, vm = action.vm] {
        // If the link went down meanwhile, that was reported.
        if (!peers_[vm].control.empty()) owner_->on_link_up({vm});
      });
      return;
    }
    if (to.dialling != nullptr) return;
    if (CountControl() >= static_cast<std::size_t>(options_.max_links)) {
      Later([this, vm = action.vm] { owner_->on_link_down({vm}); });
      return;
    }
    to.dialling =
        Dial(action.vm, link_kind::kControl, {action.address, action.port});
  }

  void Close(const std::string& vm) {
    peer& to = peers_[vm];
    for (link_connection* connection : std::exchange(to.control, {})) {
      Drop(connection);
    }
    if (to.dialling != nullptr) Drop(std::exchange(to.dialling, nullptr));
  }

  void Send(const std::string& vm, const core::message& message) {
    const auto found = peers_.find(vm);
    if (found == peers_.end() || found->second.control.empty()) return;
    const std::string bytes = EncodeMessage(message);
    if (!found->second.control.front()->Send(bytes)) return;
    counts_.control_bytes_sent += bytes.size();
  }

  void SetAddress(const std::string& vm, const endpoint& address) {
    peers_[vm].address = address;
  }

  void Forward(const std::string& vm, const forward_frame& frame) {
    peer& to = peers_[vm];
    if (to.calls != nullptr && to.calls->IsOpen()) {
      if (!SendForward(&to, frame.attempt, EncodeFrame(frame))) {
        FailForward(frame.attempt);
      }
      return;
    }
    if (to.calls == nullptr) {
      if (to.address.port == 0 || CountCalls() >= kMaxCallConnections) {
        FailForward(frame.attempt);
        return;
      }
      to.calls = Dial(vm, link_kind::kCalls, to.address);
    }
    to.waiting.emplace_back(frame.attempt, EncodeFrame(frame));
  }

  void CancelForward(const std::string& vm, core::attempt_id attempt) {
    const auto found = peers_.find(vm);
    if (found == peers_.end()) return;
    peer& to = found->second;
    const auto waiting = std::find_if(
        to.waiting.begin(), to.waiting.end(),
        [attempt](const auto& entry) { return entry.first == attempt; });
    if (waiting != to.waiting.end()) {
      to.waiting.erase(waiting);
      return;
    }
    if (to.sent.erase(attempt) != 0) {
      to.calls->Send(EncodeFrame(cancel_frame{attempt}));
    }
  }

  void AnswerPeer(const std::string& vm, const answer_frame& frame) {
    const auto found = peer_calls_.find({vm, frame.attempt});
    if (found == peer_calls_.end()) return;
    link_connection* connection = found->second;
    peer_calls_.erase(found);
    if (connection->Send(EncodeFrame(frame))) return;
    // The answer can't be sent, for size or because the peer doesn't read. The
    // peer must learn that the call's fate is unknown.
    answer_frame lost;
    lost.attempt = frame.attempt;
    lost.outcome = core::outcome_kind::kMayHaveRun;
    lost.why = core::reason::kConnectionLost;
    lost.load = frame.load;
    if (!connection->Send(EncodeFrame(lost))) {
      Later([this, vm] { CloseCalls(vm); });
    }
  }

  link_counts Counts() const {
    link_counts counts = counts_;
    for (const auto& [vm, to] : peers_) {
      if (!to.control.empty()) ++counts.links_up;
    }
    return counts;
  }

  // link_connection::observer

  void OnOpen(link_connection* connection) override {
    connections_[connection].timer.disconnect();
    const std::string vm = connection->PeerVm();
    peer& to = peers_[vm];
    if (connection->Kind() == link_kind::kControl) {
      connection->SetSilence(options_.control_silence);
      if (to.dialling == connection) to.dialling = nullptr;
      to.control.push_back(connection);
      if (to.control.size() == 1) owner_->on_link_up({vm});
      return;
    }
    if (!connection->IsDialled()) {
      connection->SetSilence(kAcceptedSilence);
      to.accepted.push_back(connection);
      return;
    }
    connection->SetSilence(kDialledSilence);
    to.last_used = loop_.Now();
    for (auto& [attempt, frame] : std::exchange(to.waiting, {})) {
      if (!SendForward(&to, attempt, frame)) FailForward(attempt);
    }
  }

  void OnFrame(link_connection* connection, std::string_view frame) override {
    const bool good = connection->Kind() == link_kind::kControl
                          ? TakeMessage(connection, frame)
                          : TakeCallFrame(connection, frame);
    if (good) return;
    ++counts_.bad_frames;
    Log(core::log_level::kWarning, "bad frame", {{"vm", connection->PeerVm()}});
    connection->Close();
    OnClosed(connection);
  }

  void OnClosed(link_connection* connection) override {
    const std::string vm = connection->PeerVm();
    const auto found = peers_.find(vm);
    if (found == peers_.end()) return Drop(connection);
    peer& to = found->second;
    if (connection->Kind() == link_kind::kControl) {
      const bool was_dialling = to.dialling == connection;
      if (was_dialling) to.dialling = nullptr;
      const bool was_open = Remove(&to.control, connection);
      Drop(connection);
      if ((was_open || was_dialling) && to.control.empty()) {
        owner_->on_link_down({vm});
      }
      return;
    }
    const bool was_accepted = Remove(&to.accepted, connection);
    if (to.calls == connection) {
      if (to.sent.empty()) {
        to.calls = nullptr;
        Drop(connection);
        for (const auto& [attempt, frame] : std::exchange(to.waiting, {})) {
          owner_->on_forward_failed({attempt});
        }
        return;
      }
      return CloseCalls(vm);
    }
    const bool in_use = was_accepted && HasPeerCalls(connection);
    Drop(connection);
    if (in_use) CloseCalls(vm);
  }

 private:
  struct peer {
    std::vector<link_connection*> control;  // Open ones, oldest first.
    link_connection* dialling = nullptr;    // Control, not open yet.
    endpoint address;
    link_connection* calls = nullptr;  // Dialled; opening or open.
    std::vector<link_connection*> accepted;
    std::deque<std::pair<core::attempt_id, std::string>> waiting;
    std::set<core::attempt_id> sent;
    core::instant last_used;
  };
  struct owned {
    std::unique_ptr<link_connection> connection;
    sigc::connection timer;
  };

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* self) {
    static_cast<impl*>(self)->Accept(fd);
  }

  void Accept(int fd) {
    evutil_make_socket_nonblocking(fd);
    if (connections_.size() >= kMaxCallConnections + 256) {
      evutil_closesocket(fd);
      return;
    }
    Own(std::make_unique<link_connection>(loop_, this, options_.vm, fd,
                                          tls_.get(), &server_));
  }

  link_connection* Dial(const std::string& vm, link_kind kind,
                        const endpoint& address) {
    return Own(std::make_unique<link_connection>(
        loop_, this, options_.vm, vm, kind, address, tls_.get(), &client_));
  }

  link_connection* Own(std::unique_ptr<link_connection> made) {
    link_connection* connection = made.get();
    owned entry;
    entry.connection = std::move(made);
    entry.timer = timers_.After(options_.open_timeout,
                                sigc::slot<void()>([this, connection] {
                                  connection->Close();
                                  OnClosed(connection);
                                }));
    connections_[connection] = std::move(entry);
    return connection;
  }

  // Frees the connection on a later turn: its own callback may be running.
  void Drop(link_connection* connection) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return;
    connection->Close();
    found->second.timer.disconnect();
    dropped_.push_back(std::move(found->second.connection));
    connections_.erase(found);
    if (dropped_.size() == 1) Later([this] { dropped_.clear(); });
  }

  void Later(std::function<void()> task) {
    loop_.Post([alive = std::weak_ptr<int>(alive_), task = std::move(task)] {
      if (!alive.expired()) task();
    });
  }

  void FailForward(core::attempt_id attempt) {
    Later([this, attempt] { owner_->on_forward_failed({attempt}); });
  }

  bool SendForward(peer* to, core::attempt_id attempt,
                   const std::string& frame) {
    if (!to->calls->Send(frame)) return false;
    to->sent.insert(attempt);
    to->last_used = loop_.Now();
    return true;
  }

  // Closes all call connections with `vm`, in both directions, and reports it
  // once.
  void CloseCalls(const std::string& vm) {
    peer& to = peers_[vm];
    std::vector<link_connection*> closing = std::exchange(to.accepted, {});
    if (to.calls != nullptr) {
      closing.push_back(std::exchange(to.calls, nullptr));
    }
    to.sent.clear();
    const auto waiting = std::exchange(to.waiting, {});
    for (auto it = peer_calls_.begin(); it != peer_calls_.end();) {
      it = it->first.first == vm ? peer_calls_.erase(it) : std::next(it);
    }
    for (link_connection* connection : closing) Drop(connection);
    for (const auto& [attempt, frame] : waiting) {
      owner_->on_forward_failed({attempt});
    }
    owner_->on_call_link_down({vm});
  }

  bool HasPeerCalls(const link_connection* connection) const {
    return std::any_of(
        peer_calls_.begin(), peer_calls_.end(),
        [connection](const auto& call) { return call.second == connection; });
  }

  static bool Remove(std::vector<link_connection*>* list,
                     link_connection* connection) {
    const auto found = std::find(list->begin(), list->end(), connection);
    if (found == list->end()) return false;
    list->erase(found);
    return true;
  }

  bool TakeMessage(link_connection* connection, std::string_view frame) {
    counts_.control_bytes_received += frame.size();
    auto message = DecodeMessage(frame);
    if (!message) return false;
    owner_->on_message({connection->PeerVm(), std::move(*message)});
    return true;
  }

  bool TakeCallFrame(link_connection* connection, std::string_view bytes) {
    auto frame = DecodeFrame(bytes);
    if (!frame) return false;
    return std::visit(
        [this, connection](auto& f) { return Take(connection, std::move(f)); },
        *frame);
  }

  bool Take(link_connection* connection, forward_frame&& frame) {
    if (connection->IsDialled()) return false;
    const std::string vm = connection->PeerVm();
    const bool is_new =
        peer_calls_.emplace(std::pair(vm, frame.attempt), connection).second;
    if (!is_new) return false;
    owner_->on_call({vm, frame.attempt, std::move(frame.info)},
                    std::move(frame.request));
    return true;
  }

  bool Take(link_connection* connection, cancel_frame&& frame) {
    if (connection->IsDialled()) return false;
    const std::string& vm = connection->PeerVm();
    // An answer may have crossed the cancellation.
    if (peer_calls_.erase({vm, frame.attempt}) != 0) {
      owner_->on_cancel({vm, frame.attempt});
    }
    return true;
  }

  bool Take(link_connection* connection, answer_frame&& frame) {
    if (!connection->IsDialled()) return false;
    const std::string& vm = connection->PeerVm();
    peer& from = peers_[vm];
    // A cancellation may have crossed the answer.
    if (from.sent.erase(frame.attempt) == 0) return true;
    from.last_used = loop_.Now();
    core::peer_answer answer;
    answer.vm = vm;
    answer.attempt = frame.attempt;
    answer.outcome = frame.outcome;
    answer.why = frame.why;
    answer.http_status = frame.answer.status;
    answer.load = frame.load;
    owner_->on_answer(std::move(answer), std::move(frame.answer));
    return true;
  }

  void CloseIdle() {
    const core::instant limit = loop_.Now() - options_.call_idle;
    for (auto& [vm, to] : peers_) {
      if (to.calls != nullptr && to.calls->IsOpen() && to.sent.empty() &&
          to.last_used <= limit) {
        Drop(std::exchange(to.calls, nullptr));
      }
    }
  }

  std::size_t CountControl() const {
    std::size_t count = 0;
    for (const auto& [vm, to] : peers_) {
      count += to.control.size() + (to.dialling != nullptr ? 1 : 0);
    }
    return count;
  }
  std::size_t CountCalls() const { return connections_.size(); }

  event_loop& loop_;
  timer_service& timers_;
  const link_options options_;
  link_service* const owner_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  ssl_context_ptr tls_;
  websocket_server server_;
  websocket_client client_;
  listener_ptr listener_;
  std::map<std::string, peer> peers_;
  std::map<std::pair<std::string, core::attempt_id>, link_connection*>
      peer_calls_;
  std::unordered_map<link_connection*, owned> connections_;
  std::vector<std::unique_ptr<link_connection>> dropped_;
  link_counts counts_;  // `links_up` is counted on request.
  sigc::connection idle_timer_;
};

link_service::link_service(event_loop& loop, timer_service& timers,
                           link_options options)
    : impl_(std::make_unique<impl>(loop, timers, std::move(options), this)) {}
link_service::~link_service() = default;

tl::expected<int, std::string> link_service::Listen() {
  return impl_->Listen();
}
tl::expected<void, std::string> link_service::ReloadCertificates() {
  return impl_->ReloadCertificates();
}
void link_service::Open(const core::open_link& action) { impl_->Open(action); }
void link_service::Close(const std::string& vm) { impl_->Close(vm); }
void link_service::Send(const std::string& vm, const core::message& message) {
  impl_->Send(vm, message);
}
void link_service::SetAddress(const std::string& vm, const endpoint& address) {
  impl_->SetAddress(vm, address);
}
void link_service::Forward(const std::string& vm, const forward_frame& frame) {
  impl_->Forward(vm, frame);
}
void link_service::CancelForward(const std::string& vm,
                                 core::attempt_id attempt) {
  impl_->CancelForward(vm, attempt);
}
void link_service::AnswerPeer(const std::string& vm,
                              const answer_frame& frame) {
  impl_->AnswerPeer(vm, frame);
}
link_counts link_service::Counts() const { return impl_->Counts(); }

}  // namespace pimentohall::net
