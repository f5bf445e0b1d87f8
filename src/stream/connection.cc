// One HTTP/1.1 connection on a bufferevent.
//
// Bytes are parsed where libevent received them. The parser pauses at the end
// of each message, so that bytes of a pipelined request, or bytes behind a
// complete answer, are seen for what they are and not taken for a body.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdio>

#include "net/socket.h"
#include "pimentohall/stream.h"

namespace pimentohall::stream {
namespace {

// Received and not yet parsed bytes that a connection holds at most; the peer
// is slowed down beyond that.
constexpr std::size_t kReadAheadBytes = 64 * 1024;
constexpr std::size_t kChunkHeadBytes = 20;

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         evutil_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

// Header names listed in `Connection`, and those that always concern one
// connection, are not passed on.
void DropConnectionHeaders(net::header_list* headers) {
  std::vector<std::string> listed;
  for (const net::header& each : *headers) {
    if (!SameName(each.first, "Connection")) continue;
    std::string_view rest = each.second;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      std::string_view name = rest.substr(0, comma);
      while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
      while (!name.empty() && name.back() == ' ') name.remove_suffix(1);
      listed.emplace_back(name);
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
    }
  }
  net::header_list kept;
  for (net::header& each : *headers) {
    bool drop = net::IsHopByHop(each.first) ||
                SameName(each.first, "Content-Length") ||
                SameName(each.first, "Expect");
    for (const std::string& name : listed) {
      drop = drop || SameName(name, each.first);
    }
    if (!drop) kept.push_back(std::move(each));
  }
  *headers = std::move(kept);
}

// The seconds of "timeout=N" in a Keep-Alive header, or 0.
int KeepAliveSeconds(std::string_view value) {
  const std::size_t at = value.find("timeout=");
  if (at == std::string_view::npos) return 0;
  int seconds = 0;
  for (char digit : value.substr(at + 8)) {
    if (digit < '0' || digit > '9' || seconds > 100000) break;
    seconds = seconds * 10 + (digit - '0');
  }
  return seconds;
}

enum class socket_state { kNothing, kBytes, kClosed };

// What the kernel holds of a connection for the next read.
socket_state PeekSocket(int socket) {
  char byte = 0;
  const ssize_t got = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) return socket_state::kBytes;
  const bool nothing =
      got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return nothing ? socket_state::kNothing : socket_state::kClosed;
}

}  // namespace

// Handlers are called through copies: a handler may replace itself.
namespace detail {

class parser {
 public:
  parser(connection* owner, connection::side side) : owner_(owner) {
    http_parser_init(&state_, side == connection::side::kServer
                                  ? HTTP_REQUEST
                                  : HTTP_RESPONSE);
    state_.data = this;
  }

  // Takes bytes and returns the number taken; stops at a message's end.
  std::size_t Take(const char* bytes, std::size_t size) {
    return http_parser_execute(&state_, &Settings(), bytes, size);
  }
  // The other end closed. True if that ends a message properly or falls
  // between two messages.
  bool TakeEof() {
    if (!in_message_) return true;
    Take(nullptr, 0);
    return !in_message_;
  }
  bool IsPaused() const { return HTTP_PARSER_ERRNO(&state_) == HPE_PAUSED; }
  bool HasFailed() const {
    return HTTP_PARSER_ERRNO(&state_) != HPE_OK && !IsPaused();
  }
  bool InMessage() const { return in_message_; }
  bool HeadTooLong() const {
    return HTTP_PARSER_ERRNO(&state_) == HPE_HEADER_OVERFLOW;
  }
  void Resume() {
    if (IsPaused()) http_parser_pause(&state_, 0);
  }
  void ExpectHeadAnswer(bool head) { answers_head_ = head; }

 private:
  static parser* Self(http_parser* state) {
    return static_cast<parser*>(state->data);
  }
  static const http_parser_settings& Settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_message_begin = [](http_parser* p) { return Self(p)->OnBegin(); };
      s.on_url = [](http_parser* p, const char* at, std::size_t n) {
        Self(p)->head_.target.append(at, n);
        return 0;
      };
      s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
        return Self(p)->OnName(at, n);
      };
      s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
        Self(p)->in_value_ = true;
        Self(p)->head_.headers.back().second.append(at, n);
        return 0;
      };
      s.on_headers_complete = [](http_parser* p) { return Self(p)->OnHead(); };
      s.on_body = [](http_parser* p, const char* at, std::size_t n) {
        return Self(p)->OnBody(at, n);
      };
      s.on_message_complete = [](http_parser* p) { return Self(p)->OnEnd(); };
      return s;
    }();
    return kSettings;
  }

  int OnBegin() {
    in_message_ = true;
    in_value_ = true;
    head_ = message_head{};
    return 0;
  }

  int OnName(const char* at, std::size_t size) {
    if (in_value_) head_.headers.emplace_back();
    in_value_ = false;
    head_.headers.back().first.append(at, size);
    return 0;
  }

  // Returns what http-parser expects: 1 if no body follows.
  int OnHead() {
    state_.upgrade = 0;  // The other protocol isn't offered.
    const bool is_request = owner_->side_ == connection::side::kServer;
    if (is_request) {
      head_.method = http_method_str(static_cast<http_method>(state_.method));
      if (state_.method == HTTP_CONNECT) return -1;
    } else {
      head_.status = state_.status_code;
      if (head_.status / 100 == 1) {
        is_interim_ = true;
        return 0;
      }
    }
    head_.close = http_should_keep_alive(&state_) == 0;
    if ((state_.flags & F_CHUNKED) != 0) {
      head_.framing = body_framing::kChunked;
    } else if ((state_.flags & F_CONTENTLENGTH) != 0) {
      head_.framing = body_framing::kLength;
      head_.length = state_.content_length;
    } else if (!is_request && !answers_head_ && head_.status != 204 &&
               head_.status != 304) {
      head_.framing = body_framing::kChunked;
      head_.ends_with_connection = true;
      head_.close = true;
    }
    const bool no_body = !is_request && answers_head_;
    head_.keep_alive_s =
        KeepAliveSeconds(net::FindHeader(head_.headers, "Keep-Alive"));
    if (is_request &&
        SameName(net::FindHeader(head_.headers, "Expect"), "100-continue") &&
        head_.framing != body_framing::kNone) {
      evbuffer_add_printf(bufferevent_get_output(owner_->stream_),
                          "HTTP/1.1 100 Continue\r\n\r\n");
    }
    DropConnectionHeaders(&head_.headers);
    if (const auto handler = owner_->on_head) handler(std::move(head_));
    if (!owner_->IsOpen()) return -1;
    return no_body ? 1 : 0;
  }

  int OnBody(const char* at, std::size_t size) {
    if (const auto handler = owner_->on_data) handler({at, size});
    return owner_->IsOpen() ? 0 : -1;
  }

  int OnEnd() {
    if (is_interim_) {
      is_interim_ = false;
      return 0;
    }
    in_message_ = false;
    http_parser_pause(&state_, 1);
    if (const auto handler = owner_->on_end) handler();
    return owner_->IsOpen() ? 0 : -1;
  }

  connection* const owner_;
  http_parser state_{};
  message_head head_;
  bool in_message_ = false;
  bool in_value_ = true;
  bool is_interim_ = false;
  bool answers_head_ = false;
};

}  // namespace detail

connection::connection(net::event_loop& loop, side which, int socket)
    : side_(which),
      stream_(bufferevent_socket_new(
          loop.Base(), socket,
          BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
      parser_(std::make_unique<detail::parser>(this, which)) {}

connection::~connection() { Close(); }

void connection::Open() {
  bufferevent_setcb(stream_, &connection::OnRead, &connection::OnWrite,
                    &connection::OnEvent, this);
  bufferevent_setwatermark(stream_, EV_READ, 0, kReadAheadBytes);
  evbuffer_add_cb(bufferevent_get_output(stream_), &connection::CountSent,
                  this);
  bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

bool connection::Connect(const net::endpoint& target) {
  sockaddr_storage address{};
  int size = sizeof(address);
  const std::string text = target.address + ":" + std::to_string(target.port);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (evutil_parse_sockaddr_port(text.c_str(), generic, &size) != 0) {
    return false;
  }
  if (bufferevent_socket_connect(stream_, generic, size) != 0) return false;
  net::DisableNagle(Socket());
  return true;
}

int connection::Socket() const { return bufferevent_getfd(stream_); }

void connection::SendHead(const message_head& head) {
  if (stream_ == nullptr) return;
  if (side_ == side::kClient) {
    parser_->ExpectHeadAnswer(head.method == "HEAD");
  }
  std::string text;
  text.reserve(512);
  if (side_ == side::kClient) {
    text.append(head.method).append(" ").append(head.target);
    text.append(" HTTP/1.1\r\n");
  } else {
    const char* phrase = http_status_str(static_cast<http_status>(head.status));
    text.append("HTTP/1.1 ").append(std::to_string(head.status));
    text.append(" ").append(phrase).append("\r\n");
  }
  for (const auto& [name, value] : head.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  chunked_out_ = head.framing == body_framing::kChunked;
  if (chunked_out_) text.append("Transfer-Encoding: chunked\r\n");
  if (head.framing == body_framing::kLength) {
    text.append("Content-Length: ").append(std::to_string(head.length));
    text.append("\r\n");
  }
  if (head.close) text.append("Connection: close\r\n");
  text.append("\r\n");
  bufferevent_write(stream_, text.data(), text.size());
}

void connection::SendData(std::string_view bytes) {
  if (stream_ == nullptr || bytes.empty()) return;
  if (!chunked_out_) {
    bufferevent_write(stream_, bytes.data(), bytes.size());
    return;
  }
  char head[kChunkHeadBytes];
  const int size = std::snprintf(head, sizeof(head), "%zx\r\n", bytes.size());
  evbuffer* output = bufferevent_get_output(stream_);
  evbuffer_add(output, head, static_cast<std::size_t>(size));
  evbuffer_add(output, bytes.data(), bytes.size());
  evbuffer_add(output, "\r\n", 2);
}

void connection::SendEnd() {
  if (stream_ == nullptr) return;
  if (chunked_out_) bufferevent_write(stream_, "0\r\n\r\n", 5);
  chunked_out_ = false;
}

void connection::Close() {
  if (stream_ == nullptr) return;
  bufferevent* const stream = stream_;
  stream_ = nullptr;
  bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr);
  evbuffer_remove_cb(bufferevent_get_output(stream), &connection::CountSent,
                     this);
  bufferevent_free(stream);
  // Handlers often own what owns this connection.
  on_head = nullptr;
  on_data = nullptr;
  on_end = nullptr;
  on_closed = nullptr;
  on_drained = nullptr;
}

void connection::CloseWhenSent() {
  if (stream_ == nullptr) return;
  if (Unsent() == 0) {
    End(end_reason::kClosed);
    return;
  }
  close_when_sent_ = true;
}

void connection::SetReading(bool on) {
  if (stream_ == nullptr || reading_ == on) return;
  reading_ = on;
  if (!on) {
    bufferevent_disable(stream_, EV_READ);
    return;
  }
  bufferevent_enable(stream_, EV_READ);
  if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
    bufferevent_trigger(stream_, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
  }
}

void connection::NextMessage() {
  if (stream_ == nullptr) return;
  parser_->Resume();
  if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
    bufferevent_trigger(stream_, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
  }
}

std::size_t connection::Unsent() const {
  if (stream_ == nullptr) return 0;
  return evbuffer_get_length(bufferevent_get_output(stream_));
}

bool connection::IsInMessage() const { return parser_->InMessage(); }

bool connection::IsQuiet() const {
  if (stream_ == nullptr) return false;
  if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) return false;
  return PeekSocket(Socket()) == socket_state::kNothing;
}

bool connection::HasPeerClosed() const {
  return stream_ == nullptr || PeekSocket(Socket()) == socket_state::kClosed;
}

std::string connection::PeerAddress() const {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (stream_ == nullptr ||
      getpeername(Socket(), reinterpret_cast<sockaddr*>(&address), &size) !=
          0 ||
      address.ss_family != AF_INET) {
    return {};
  }
  char text[64];
  evutil_inet_ntop(AF_INET, &reinterpret_cast<sockaddr_in*>(&address)->sin_addr,
                   text, sizeof(text));
  return text;
}

void connection::OnRead(bufferevent*, void* self) {
  const auto alive = static_cast<connection*>(self)->shared_from_this();
  alive->Parse();
}

void connection::Parse() {
  while (stream_ != nullptr && reading_ && !parser_->IsPaused()) {
    evbuffer* input = bufferevent_get_input(stream_);
    evbuffer_iovec piece{};
    if (evbuffer_peek(input, -1, nullptr, &piece, 1) < 1) return;
    if (piece.iov_len == 0) return;
    const std::size_t taken =
        parser_->Take(static_cast<const char*>(piece.iov_base), piece.iov_len);
    if (stream_ == nullptr) return;
    if (parser_->HasFailed()) {
      End(end_reason::kBadBytes);
      return;
    }
    evbuffer_drain(input, taken);
  }
  // Bytes where no message is expected: on the client side they follow a
  // complete answer.
  if (stream_ != nullptr && side_ == side::kClient && parser_->IsPaused() &&
      evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
    End(end_reason::kBadBytes);
  }
}

void connection::OnWrite(bufferevent*, void* self) {
  const auto alive = static_cast<connection*>(self)->shared_from_this();
  if (alive->Unsent() > 0) return;
  if (alive->close_when_sent_) {
    alive->End(end_reason::kClosed);
    return;
  }
  if (const auto handler = alive->on_drained) handler();
}

void connection::OnEvent(bufferevent*, short what, void* self) {
  const auto alive = static_cast<connection*>(self)->shared_from_this();
  if ((what & BEV_EVENT_CONNECTED) != 0) return;
  if ((what & BEV_EVENT_EOF) != 0) {
    // Nothing more will come, so what was held back is taken now.
    alive->reading_ = true;
    alive->Parse();
    if (!alive->IsOpen()) return;
    const bool whole = alive->parser_->TakeEof();
    if (!alive->IsOpen()) return;
    alive->End(whole ? end_reason::kClosed : end_reason::kReset);
    return;
  }
  alive->End(end_reason::kReset);
}

void connection::CountSent(evbuffer*, const evbuffer_cb_info* info,
                           void* self) {
  // Nothing but the socket takes bytes out of this buffer.
  static_cast<connection*>(self)->sent_bytes_ += info->n_deleted;
}

void connection::End(end_reason why) {
  if (stream_ == nullptr) return;
  const auto handler = on_closed;
  Close();
  if (handler) handler(why);
}

}  // namespace pimentohall::stream
