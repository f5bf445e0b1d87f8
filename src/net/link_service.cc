// All links of a daemon.
//
// Invariants:
// - `on_link_up` and `on_link_down` alternate for each peer, with three
//   exceptions: a failed dial calls only `on_link_down`, `Open` of a link that
//   is up calls `on_link_up` again, and `Close` calls neither.
// - After simultaneous dials both connections stay open. Each end sends on the
//   connection that opened first at that end. The link stays up until both are
//   closed, so neither end can close the connection that the other end uses.
// - A forwarded attempt is in `waiting` until it is passed to an open
//   connection and in `sent` from then on. `on_forward_failed` is called only
//   for attempts that were not sent.

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

// A dialled call connection receives nothing while it is idle (at most 60 s) or
// while its calls run (at most 60 s).
constexpr auto kDialledIdleTimeout = std::chrono::seconds(75);
// The accepting end may receive nothing for the sum of both times.
constexpr auto kAcceptedIdleTimeout = std::chrono::seconds(150);
// There is one call connection per peer and direction. The limit bounds how
// many connections unknown peers can open. It is compared with the number of
// all connections, also control connections; accepting allows 256 more.
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
        timers_.Every(std::max<core::duration>(options_.call_idle_timeout / 4,
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
    peer& state = peers_[action.vm];
    if (!state.control.empty()) {
      PostTask([this, vm = action.vm] {
        // If the link went down meanwhile, `on_link_down` was called.
        if (!peers_[vm].control.empty()) owner_->on_link_up({vm});
      });
      return;
    }
    if (state.dialling != nullptr) return;
    if (CountControlConnections() >=
        static_cast<std::size_t>(options_.max_links)) {
      PostTask([this, vm = action.vm] { owner_->on_link_down({vm}); });
      return;
    }
    state.dialling =
        Dial(action.vm, link_kind::kControl, {action.address, action.port});
  }

  void Close(const std::string& vm) {
    peer& state = peers_[vm];
    for (link_connection* connection : std::exchange(state.control, {})) {
      Drop(connection);
    }
    if (state.dialling != nullptr) Drop(std::exchange(state.dialling, nullptr));
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
    peer& state = peers_[vm];
    if (state.calls != nullptr && state.calls->IsOpen()) {
      if (!SendForward(&state, frame.attempt, EncodeFrame(frame))) {
        FailForward(frame.attempt);
      }
      return;
    }
    if (state.calls == nullptr) {
      if (state.address.port == 0 ||
          CountConnections() >= kMaxCallConnections) {
        FailForward(frame.attempt);
        return;
      }
      state.calls = Dial(vm, link_kind::kCalls, state.address);
    }
    state.waiting.emplace_back(frame.attempt, EncodeFrame(frame));
  }

  void CancelForward(const std::string& vm, core::attempt_id attempt) {
    const auto found = peers_.find(vm);
    if (found == peers_.end()) return;
    peer& state = found->second;
    const auto waiting = std::find_if(
        state.waiting.begin(), state.waiting.end(),
        [attempt](const auto& entry) { return entry.first == attempt; });
    if (waiting != state.waiting.end()) {
      state.waiting.erase(waiting);
      return;
    }
    if (state.sent.erase(attempt) != 0) {
      state.calls->Send(EncodeFrame(cancel_frame{attempt}));
    }
  }

  void AnswerPeer(const std::string& vm, const answer_frame& frame) {
    const auto found = peer_calls_.find({vm, frame.attempt});
    if (found == peer_calls_.end()) return;
    link_connection* connection = found->second;
    peer_calls_.erase(found);
    if (connection->Send(EncodeFrame(frame))) return;
    // The answer is too large, or the peer doesn't read. Report to the peer
    // that the call may have run.
    answer_frame unknown_outcome;
    unknown_outcome.attempt = frame.attempt;
    unknown_outcome.outcome = core::outcome_kind::kMayHaveRun;
    unknown_outcome.why = core::reason::kConnectionLost;
    unknown_outcome.load = frame.load;
    if (!connection->Send(EncodeFrame(unknown_outcome))) {
      PostTask([this, vm] { CloseCalls(vm); });
    }
  }

  link_counts Counts() const {
    link_counts counts = counts_;
    for (const auto& [vm, state] : peers_) {
      if (!state.control.empty()) ++counts.links_up;
    }
    return counts;
  }

  // link_connection::observer

  void OnOpen(link_connection* connection) override {
    connections_[connection].timer.disconnect();
    const std::string vm = connection->PeerVm();
    peer& state = peers_[vm];
    if (connection->Kind() == link_kind::kControl) {
      connection->SetIdleTimeout(options_.control_silence_timeout);
      if (state.dialling == connection) state.dialling = nullptr;
      state.control.push_back(connection);
      if (state.control.size() == 1) owner_->on_link_up({vm});
      return;
    }
    if (!connection->IsDialled()) {
      connection->SetIdleTimeout(kAcceptedIdleTimeout);
      state.accepted.push_back(connection);
      return;
    }
    connection->SetIdleTimeout(kDialledIdleTimeout);
    state.last_used = loop_.Now();
    for (auto& [attempt, frame] : std::exchange(state.waiting, {})) {
      if (!SendForward(&state, attempt, frame)) FailForward(attempt);
    }
  }

  void OnFrame(link_connection* connection, std::string_view frame) override {
    const bool is_valid = connection->Kind() == link_kind::kControl
                              ? HandleMessage(connection, frame)
                              : HandleCallFrame(connection, frame);
    if (is_valid) return;
    ++counts_.bad_frames;
    Log(core::log_level::kWarning, "bad frame", {{"vm", connection->PeerVm()}});
    connection->Close();
    OnClosed(connection);
  }

  void OnClosed(link_connection* connection) override {
    const std::string vm = connection->PeerVm();
    const auto found = peers_.find(vm);
    if (found == peers_.end()) return Drop(connection);
    peer& state = found->second;
    if (connection->Kind() == link_kind::kControl) {
      const bool was_dialling = state.dialling == connection;
      if (was_dialling) state.dialling = nullptr;
      const bool was_open = Remove(&state.control, connection);
      Drop(connection);
      if ((was_open || was_dialling) && state.control.empty()) {
        owner_->on_link_down({vm});
      }
      return;
    }
    const bool was_accepted = Remove(&state.accepted, connection);
    if (state.calls == connection) {
      if (state.sent.empty()) {
        state.calls = nullptr;
        Drop(connection);
        for (const auto& [attempt, frame] : std::exchange(state.waiting, {})) {
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
    link_connection* dialling = nullptr;    // Control connection, not open yet.
    endpoint address;
    link_connection* calls = nullptr;        // Dialled; opening or open.
    std::vector<link_connection*> accepted;  // Accepted call connections.
    std::deque<std::pair<core::attempt_id, std::string>> waiting;  // Not sent.
    std::set<core::attempt_id> sent;  // Without an answer yet.
    core::instant last_used;
  };
  struct connection_entry {
    std::unique_ptr<link_connection> connection;
    sigc::connection timer;  // The opening timeout.
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
    AddConnection(std::make_unique<link_connection>(loop_, this, options_.vm,
                                                    fd, tls_.get(), &server_));
  }

  link_connection* Dial(const std::string& vm, link_kind kind,
                        const endpoint& address) {
    return AddConnection(std::make_unique<link_connection>(
        loop_, this, options_.vm, vm, kind, address, tls_.get(), &client_));
  }

  link_connection* AddConnection(std::unique_ptr<link_connection> created) {
    link_connection* connection = created.get();
    connection_entry entry;
    entry.connection = std::move(created);
    entry.timer = timers_.After(options_.open_timeout,
                                sigc::slot<void()>([this, connection] {
                                  connection->Close();
                                  OnClosed(connection);
                                }));
    connections_[connection] = std::move(entry);
    return connection;
  }

  // Frees the connection in the next iteration of the event loop, since its own
  // callback may be running.
  void Drop(link_connection* connection) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return;
    connection->Close();
    found->second.timer.disconnect();
    discarded_.push_back(std::move(found->second.connection));
    connections_.erase(found);
    if (discarded_.size() == 1) PostTask([this] { discarded_.clear(); });
  }

  void PostTask(std::function<void()> task) {
    loop_.Post([alive = std::weak_ptr<int>(alive_), task = std::move(task)] {
      if (!alive.expired()) task();
    });
  }

  void FailForward(core::attempt_id attempt) {
    PostTask([this, attempt] { owner_->on_forward_failed({attempt}); });
  }

  bool SendForward(peer* state, core::attempt_id attempt,
                   const std::string& frame) {
    if (!state->calls->Send(frame)) return false;
    state->sent.insert(attempt);
    state->last_used = loop_.Now();
    return true;
  }

  // Closes all call connections with `vm`, in both directions, and calls
  // `on_call_link_down` once.
  void CloseCalls(const std::string& vm) {
    peer& state = peers_[vm];
    std::vector<link_connection*> closing = std::exchange(state.accepted, {});
    if (state.calls != nullptr) {
      closing.push_back(std::exchange(state.calls, nullptr));
    }
    state.sent.clear();
    const auto waiting = std::exchange(state.waiting, {});
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

  static bool Remove(std::vector<link_connection*>* connections,
                     link_connection* connection) {
    const auto found =
        std::find(connections->begin(), connections->end(), connection);
    if (found == connections->end()) return false;
    connections->erase(found);
    return true;
  }

  bool HandleMessage(link_connection* connection, std::string_view frame) {
    counts_.control_bytes_received += frame.size();
    auto message = DecodeMessage(frame);
    if (!message) return false;
    owner_->on_message({connection->PeerVm(), std::move(*message)});
    return true;
  }

  bool HandleCallFrame(link_connection* connection, std::string_view bytes) {
    auto frame = DecodeFrame(bytes);
    if (!frame) return false;
    return std::visit(
        [this, connection](auto& typed_frame) {
          return HandleFrame(connection, std::move(typed_frame));
        },
        *frame);
  }

  bool HandleFrame(link_connection* connection, forward_frame&& frame) {
    if (connection->IsDialled()) return false;
    const std::string vm = connection->PeerVm();
    const bool is_new =
        peer_calls_.emplace(std::pair(vm, frame.attempt), connection).second;
    if (!is_new) return false;
    owner_->on_call({vm, frame.attempt, std::move(frame.info)},
                    std::move(frame.request));
    return true;
  }

  bool HandleFrame(link_connection* connection, cancel_frame&& frame) {
    if (connection->IsDialled()) return false;
    const std::string& vm = connection->PeerVm();
    // The answer may have been sent before the cancellation arrived.
    if (peer_calls_.erase({vm, frame.attempt}) != 0) {
      owner_->on_cancel({vm, frame.attempt});
    }
    return true;
  }

  bool HandleFrame(link_connection* connection, answer_frame&& frame) {
    if (!connection->IsDialled()) return false;
    const std::string& vm = connection->PeerVm();
    peer& source = peers_[vm];
    // The attempt may have been cancelled before the answer arrived.
    if (source.sent.erase(frame.attempt) == 0) return true;
    source.last_used = loop_.Now();
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
    const core::instant limit = loop_.Now() - options_.call_idle_timeout;
    for (auto& [vm, state] : peers_) {
      if (state.calls != nullptr && state.calls->IsOpen() &&
          state.sent.empty() && state.last_used <= limit) {
        Drop(std::exchange(state.calls, nullptr));
      }
    }
  }

  std::size_t CountControlConnections() const {
    std::size_t count = 0;
    for (const auto& [vm, state] : peers_) {
      count += state.control.size() + (state.dialling != nullptr ? 1 : 0);
    }
    return count;
  }
  std::size_t CountConnections() const { return connections_.size(); }

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
  std::unordered_map<link_connection*, connection_entry> connections_;
  std::vector<std::unique_ptr<link_connection>> discarded_;
  link_counts counts_;  // `links_up` is computed in `Counts`.
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
