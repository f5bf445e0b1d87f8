// Client connections, pooled by target.
//
// Invariants:
// - A connection carries one exchange at a time. It returns to the pool only
//   if both messages ended properly and nothing came behind the answer.
// - "Not sent" is reported only if the socket took no byte of the request.
// - Handlers are called on a later turn than `Start`.

#include "net/socket.h"
#include "pimentohall/stream.h"

namespace pimentohall::stream {
namespace {

constexpr auto kSweepPeriod = std::chrono::seconds(1);
// A server may close a connection a little before the time that it told.
constexpr auto kKeepAliveMargin = std::chrono::milliseconds(1500);
std::string KeyOf(const net::endpoint& target) {
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
  if (!finished_) pool_->Release(this);
}

void exchange::SetReading(bool on) {
  if (conn_) conn_->SetReading(on);
}

std::size_t exchange::Unsent() const { return conn_ ? conn_->Unsent() : 0; }

bool exchange::WasSent() const {
  return conn_ != nullptr && conn_->SentBytes() > 0;
}

// ---------------------------------------------------------------------------
// client_pool

client_pool::client_pool(net::event_loop& loop, net::timer_service& timers,
                         pool_options options)
    : loop_(loop), timers_(timers), options_(options) {
  sweep_timer_ =
      timers.Every(kSweepPeriod, sigc::slot<void()>([this] { Sweep(); }));
}

client_pool::~client_pool() {
  sweep_timer_.disconnect();
  for (auto& [key, at] : targets_) {
    for (auto& [raw, running] : at.running) {
      running->handlers_ = {};
      if (running->conn_) running->conn_->Close();
    }
    for (idle_connection& each : at.idle) each.conn->Close();
  }
}

std::shared_ptr<connection> client_pool::TakeIdle(target_state* at) {
  while (!at->idle.empty()) {
    idle_connection last = std::move(at->idle.back());
    at->idle.pop_back();
    if (last.usable_until > loop_.Now() && last.conn->IsQuiet()) {
      return last.conn;
    }
    last.conn->Close();
    --at->open;
  }
  return nullptr;
}

std::shared_ptr<exchange> client_pool::Start(
    const net::endpoint& target, const message_head& head,
    exchange_handlers handlers,
    std::function<bool(const message_head&)> is_own_answer) {
  const std::string key = KeyOf(target);
  target_state& at = targets_[key];
  auto which = std::make_shared<exchange>();
  which->pool_ = this;
  which->key_ = key;
  which->handlers_ = std::move(handlers);
  which->conn_ = TakeIdle(&at);
  const bool reused = which->conn_ != nullptr;
  if (!reused) {
    if (at.open >= static_cast<std::size_t>(options_.connections_per_target)) {
      return nullptr;
    }
    which->conn_ =
        std::make_shared<connection>(loop_, connection::side::kClient, -1);
    ++at.open;
    ++opened_;
  }
  at.running[which.get()] = which;
  Attach(which, std::move(is_own_answer));
  which->conn_->ResetSentCount();
  if (reused) {
    which->conn_->NextMessage();
  } else {
    which->conn_->Open();
    if (!which->conn_->Connect(target)) {
      loop_.Post([this, which, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) Fail(which.get(), failure::kNotSent);
      });
      return which;
    }
    net::SetSilenceLimit(which->conn_->Socket(), options_.silence);
    timers_.After(
        options_.connect_time,
        sigc::slot<void()>([this, weak = std::weak_ptr<exchange>(which),
                            alive = std::weak_ptr<int>(alive_)] {
          const auto late = weak.lock();
          if (alive.expired() || !late || late->finished_) return;
          if (!late->WasSent()) Fail(late.get(), failure::kNotSent);
        }));
  }
  which->conn_->SendHead(head);
  if (head.framing == body_framing::kNone) which->request_ended_ = true;
  return which;
}

void client_pool::Attach(
    const std::shared_ptr<exchange>& which,
    std::function<bool(const message_head&)> is_own_answer) {
  exchange* const raw = which.get();
  connection* const conn = which->conn_.get();
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
  conn->on_closed = [this, raw](end_reason why) {
    const bool sent = raw->conn_->SentBytes() > 0;
    const bool bad = why == end_reason::kBadBytes;
    Fail(raw, !sent ? failure::kNotSent
              : bad ? failure::kBadAnswer
                    : failure::kLost);
  };
}

void client_pool::OnHead(
    exchange* which, message_head head,
    const std::function<bool(const message_head&)>& is_own_answer) {
  if (head.close || head.ends_with_connection) which->reusable_ = false;
  which->keep_alive_s_ = head.keep_alive_s;
  which->skipping_ = is_own_answer && !is_own_answer(head);
  if (which->skipping_) {
    which->reusable_ = false;
    return;
  }
  if (const auto handler = which->handlers_.on_head) handler(std::move(head));
}

void client_pool::OnAnswerEnd(exchange* which) {
  if (which->skipping_) {
    which->skipping_ = false;
    which->conn_->NextMessage();
    return;
  }
  const auto self = which->shared_from_this();
  which->answer_ended_ = true;
  const auto on_end = std::move(which->handlers_.on_end);
  // A request whose body is still due keeps its connection until it is sent.
  if (which->request_ended_) Release(which);
  if (on_end) on_end();
}

void client_pool::Release(exchange* which) {
  if (which->finished_) return;
  const auto self = which->shared_from_this();
  which->finished_ = true;
  const auto conn = which->conn_;
  target_state& at = targets_[which->key_];
  at.running.erase(which);
  conn->on_head = nullptr;
  conn->on_data = nullptr;
  conn->on_end = nullptr;
  conn->on_drained = nullptr;
  which->handlers_ = {};  // They may own the exchange.
  const bool keep = which->reusable_ && which->answer_ended_ &&
                    which->request_ended_ && conn->IsOpen();
  if (!keep) {
    conn->on_closed = nullptr;
    conn->Close();
    --at.open;
    return;
  }
  core::duration usable = options_.idle;
  if (which->keep_alive_s_ > 0) {
    usable = std::min<core::duration>(
        usable, std::chrono::seconds(which->keep_alive_s_) - kKeepAliveMargin);
  }
  conn->on_closed = [this, key = which->key_, raw = conn.get()](end_reason) {
    target_state& from = targets_[key];
    for (auto it = from.idle.begin(); it != from.idle.end(); ++it) {
      if (it->conn.get() != raw) continue;
      from.idle.erase(it);
      --from.open;
      return;
    }
  };
  conn->SetReading(true);
  at.idle.push_back({conn, loop_.Now() + usable});
}

void client_pool::Fail(exchange* which, failure why) {
  if (which->finished_) return;
  const auto self = which->shared_from_this();
  const bool answered = which->answer_ended_;
  const auto on_failed = std::move(which->handlers_.on_failed);
  which->reusable_ = false;
  Release(which);
  if (on_failed && !answered) on_failed(why);
}

void client_pool::DropIdle(const net::endpoint& target) {
  const auto found = targets_.find(KeyOf(target));
  if (found == targets_.end()) return;
  for (idle_connection& each : found->second.idle) {
    each.conn->on_closed = nullptr;
    each.conn->Close();
    --found->second.open;
  }
  found->second.idle.clear();
}

void client_pool::FailAll(const net::endpoint& target) {
  DropIdle(target);
  const auto found = targets_.find(KeyOf(target));
  if (found == targets_.end()) return;
  std::vector<std::shared_ptr<exchange>> running;
  for (auto& [raw, each] : found->second.running) running.push_back(each);
  for (const auto& each : running) {
    Fail(each.get(), each->WasSent() ? failure::kLost : failure::kNotSent);
  }
}

void client_pool::Sweep() {
  const core::instant now = loop_.Now();
  for (auto it = targets_.begin(); it != targets_.end();) {
    target_state& at = it->second;
    while (!at.idle.empty() && at.idle.front().usable_until <= now) {
      at.idle.front().conn->on_closed = nullptr;
      at.idle.front().conn->Close();
      at.idle.pop_front();
      --at.open;
    }
    const bool unused = at.idle.empty() && at.running.empty();
    it = unused ? targets_.erase(it) : std::next(it);
  }
}

}  // namespace pimentohall::stream
