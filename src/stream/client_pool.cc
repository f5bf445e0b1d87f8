// Client connections, pooled by target.
//
// Invariants:
// - A connection carries one exchange at a time. It returns to the pool only
//   if both messages ended properly and no bytes follow the answer.
// - "Not sent" is reported only if no byte of the request was written to the
//   socket.
// - Handlers are never called from inside `Start`.

#include "net/socket.h"
#include "pimentohall/stream.h"

namespace pimentohall::stream {
namespace {

constexpr auto kExpiryCheckPeriod = std::chrono::seconds(1);
// A server may close a connection a little before the timeout that it
// announced in its Keep-Alive header.
constexpr auto kKeepAliveMargin = std::chrono::milliseconds(1500);

std::string TargetKey(const net::endpoint& target) {
  return target.address + ":" + std::to_string(target.port);
}

}  // namespace

// ---------------------------------------------------------------------------
// exchange

void exchange::SendData(std::string_view bytes) {
  if (conn_) conn_->SendData(bytes);
}

void exchange::SendEnd() {
  if (!conn_ || request_ended_) return;
  conn_->SendEnd();
  request_ended_ = true;
  if (answer_ended_) pool_->Release(this);
}

void exchange::Cancel() {
  const auto self = shared_from_this();
  handlers_ = {};
  reusable_ = false;
  end_ = connection_end::kCancelled;
  if (!finished_) pool_->Release(this);
}

void exchange::SetReading(bool on) {
  if (conn_) conn_->SetReading(on);
}

std::size_t exchange::UnsentBytes() const {
  return conn_ ? conn_->UnsentBytes() : 0;
}

bool exchange::WasSent() const {
  return conn_ != nullptr && conn_->SentBytes() > 0;
}

// ---------------------------------------------------------------------------
// client_pool

client_pool::client_pool(net::event_loop& loop, net::timer_service& timers,
                         pool_options options)
    : loop_(loop), timers_(timers), options_(options) {
  expiry_timer_ = timers.Every(kExpiryCheckPeriod,
                               sigc::slot<void()>([this] { CloseExpired(); }));
}

client_pool::~client_pool() {
  expiry_timer_.disconnect();
  for (auto& [key, state] : targets_) {
    for (auto& [raw, running] : state.running) {
      running->handlers_ = {};
      if (running->conn_) running->conn_->Close();
    }
    for (idle_connection& unused : state.idle) unused.conn->Close();
  }
}

std::shared_ptr<connection> client_pool::TakeIdle(target_state* state) {
  while (!state->idle.empty()) {
    idle_connection last = std::move(state->idle.back());
    state->idle.pop_back();
    const bool is_usable = last.usable_until > loop_.Now();
    if (is_usable && last.conn->IsQuiet()) return last.conn;
    CountEnd(is_usable ? connection_end::kBrokenIdle
                       : connection_end::kExpired);
    last.conn->Close();
    --state->open;
  }
  return nullptr;
}

bool client_pool::MakeRoom() {
  if (options_.connections == 0) return true;
  std::size_t open = 0;
  target_state* oldest = nullptr;
  for (auto& [key, state] : targets_) {
    open += state.open;
    if (state.idle.empty()) continue;
    if (oldest == nullptr ||
        state.idle.front().usable_until < oldest->idle.front().usable_until) {
      oldest = &state;
    }
  }
  if (open < options_.connections) return true;
  if (oldest == nullptr) return false;
  oldest->idle.front().conn->on_closed = nullptr;
  oldest->idle.front().conn->Close();
  oldest->idle.pop_front();
  --oldest->open;
  CountEnd(connection_end::kNotNeeded);
  return true;
}

std::shared_ptr<exchange> client_pool::Start(
    const net::endpoint& target, const message_head& head,
    exchange_handlers handlers,
    std::function<bool(const message_head&)> is_own_answer) {
  const std::string key = TargetKey(target);
  target_state& state = targets_[key];
  auto call = std::make_shared<exchange>();
  call->pool_ = this;
  call->key_ = key;
  call->handlers_ = std::move(handlers);
  call->conn_ = TakeIdle(&state);
  const bool reused = call->conn_ != nullptr;
  if (!reused) {
    const bool target_is_full =
        state.open >= static_cast<std::size_t>(options_.connections_per_target);
    if (target_is_full || !MakeRoom()) return nullptr;
    call->conn_ =
        std::make_shared<connection>(loop_, connection::side::kClient, -1);
    ++state.open;
    ++counts_.opened;
  }
  if (reused) ++counts_.reused;
  call->reused_connection_ = reused;
  state.running[call.get()] = call;
  InstallHandlers(call, std::move(is_own_answer));
  call->conn_->ResetCounts();
  if (reused) {
    call->conn_->NextMessage();
  } else {
    call->conn_->Open();
    if (!call->conn_->Connect(target)) {
      loop_.Post([this, call, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) Fail(call.get(), failure::kNotSent);
      });
      return call;
    }
    net::SetPeerTimeout(call->conn_->Socket(), options_.unacknowledged_timeout);
    timers_.After(
        options_.connect_timeout,
        sigc::slot<void()>([this, weak = std::weak_ptr<exchange>(call),
                            alive = std::weak_ptr<int>(alive_)] {
          const auto unsent = weak.lock();
          if (alive.expired() || !unsent || unsent->finished_) return;
          if (!unsent->WasSent()) Fail(unsent.get(), failure::kNotSent);
        }));
  }
  call->conn_->SendHead(head);
  if (head.framing == body_framing::kNone) call->request_ended_ = true;
  return call;
}

void client_pool::InstallHandlers(
    const std::shared_ptr<exchange>& call,
    std::function<bool(const message_head&)> is_own_answer) {
  exchange* const raw = call.get();
  connection* const conn = call->conn_.get();
  conn->on_head = [this, raw, own = std::move(is_own_answer)](
                      message_head head) { OnHead(raw, std::move(head), own); };
  conn->on_data = [raw](std::string_view bytes) {
    if (raw->skipping_) return;
    if (const auto handler = raw->handlers_.on_data) handler(bytes);
  };
  conn->on_end = [this, raw] { OnAnswerEnd(raw); };
  conn->on_drained = [raw] {
    if (const auto handler = raw->handlers_.on_drained) handler();
  };
  conn->on_continue = [raw] {
    if (const auto handler = raw->handlers_.on_continue) handler();
  };
  conn->on_closed = [this, raw](end_reason reason) {
    const bool sent = raw->conn_->SentBytes() > 0;
    const bool bad = reason == end_reason::kBadBytes;
    const bool had_answer = raw->answer_ended_ || raw->skipping_;
    if (!had_answer) {
      raw->end_ = bad ? connection_end::kBadAnswer : connection_end::kFailed;
    }
    Fail(raw, !sent ? failure::kNotSent
              : bad ? failure::kBadAnswer
                    : failure::kLost);
  };
}

void client_pool::OnHead(
    exchange* call, message_head head,
    const std::function<bool(const message_head&)>& is_own_answer) {
  if (head.close || head.ends_with_connection) {
    call->reusable_ = false;
    call->end_ = connection_end::kAnnounced;
  }
  call->keep_alive_s_ = head.keep_alive_s;
  call->skipping_ = is_own_answer && !is_own_answer(head);
  if (call->skipping_) {
    call->reusable_ = false;
    call->end_ = connection_end::kOtherAnswer;
    return;
  }
  if (const auto handler = call->handlers_.on_head) handler(std::move(head));
}

void client_pool::OnAnswerEnd(exchange* call) {
  if (call->skipping_) {
    call->skipping_ = false;
    call->conn_->NextMessage();
    return;
  }
  const auto self = call->shared_from_this();
  call->answer_ended_ = true;
  const auto on_end = std::move(call->handlers_.on_end);
  // If the request's body isn't complete, the connection is kept until it is.
  if (call->request_ended_) Release(call);
  if (on_end) on_end();
}

void client_pool::Release(exchange* call) {
  if (call->finished_) return;
  const auto self = call->shared_from_this();
  call->finished_ = true;
  const auto conn = call->conn_;
  target_state& state = targets_[call->key_];
  state.running.erase(call);
  conn->on_head = nullptr;
  conn->on_data = nullptr;
  conn->on_end = nullptr;
  conn->on_drained = nullptr;
  conn->on_continue = nullptr;
  call->handlers_ = {};  // The handlers may own the exchange.
  if (on_released) {
    on_released(*call, {conn->SentBytes(), conn->ReadBytes(),
                        call->reused_connection_});
  }
  const bool keep = call->reusable_ && call->answer_ended_ &&
                    call->request_ended_ && conn->IsOpen();
  if (!keep) {
    conn->on_closed = nullptr;
    CountEnd(call->end_);
    // A request that was given up must not arrive after a loss on the way.
    if (call->answer_ended_) {
      conn->Close();
    } else {
      conn->Abort();
    }
    --state.open;
    return;
  }
  core::duration usable_time = options_.idle_timeout;
  if (call->keep_alive_s_ > 0) {
    usable_time = std::min<core::duration>(
        usable_time,
        std::chrono::seconds(call->keep_alive_s_) - kKeepAliveMargin);
  }
  conn->on_closed = [this, key = call->key_, raw = conn.get()](end_reason) {
    target_state& pool = targets_[key];
    for (auto it = pool.idle.begin(); it != pool.idle.end(); ++it) {
      if (it->conn.get() != raw) continue;
      pool.idle.erase(it);
      --pool.open;
      CountEnd(connection_end::kBrokenIdle);
      return;
    }
  };
  conn->SetReading(true);
  state.idle.push_back({conn, loop_.Now() + usable_time});
}

void client_pool::Fail(exchange* call, failure reason) {
  if (call->finished_) return;
  const auto self = call->shared_from_this();
  const bool answered = call->answer_ended_;
  const auto on_failed = std::move(call->handlers_.on_failed);
  call->reusable_ = false;
  Release(call);
  if (on_failed && !answered) on_failed(reason);
}

void client_pool::CloseIdle(const net::endpoint& target) {
  const auto found = targets_.find(TargetKey(target));
  if (found == targets_.end()) return;
  for (idle_connection& unused : found->second.idle) {
    unused.conn->on_closed = nullptr;
    unused.conn->Close();
    CountEnd(connection_end::kNotNeeded);
    --found->second.open;
  }
  found->second.idle.clear();
}

void client_pool::FailAll(const net::endpoint& target) {
  CloseIdle(target);
  const auto found = targets_.find(TargetKey(target));
  if (found == targets_.end()) return;
  std::vector<std::shared_ptr<exchange>> running;
  for (auto& [raw, call] : found->second.running) running.push_back(call);
  for (const auto& call : running) {
    Fail(call.get(), call->WasSent() ? failure::kLost : failure::kNotSent);
  }
}

void client_pool::CloseExpired() {
  const core::instant now = loop_.Now();
  for (auto it = targets_.begin(); it != targets_.end();) {
    target_state& state = it->second;
    while (!state.idle.empty() && state.idle.front().usable_until <= now) {
      state.idle.front().conn->on_closed = nullptr;
      state.idle.front().conn->Close();
      state.idle.pop_front();
      --state.open;
      CountEnd(connection_end::kExpired);
    }
    const bool is_unused = state.idle.empty() && state.running.empty();
    it = is_unused ? targets_.erase(it) : std::next(it);
  }
}

}  // namespace pimentohall::stream
