// One HTTP/1.1 connection on a bufferevent.
//
// Bytes are parsed in place in libevent's input buffer. The parser pauses at
// the end of each message, so that a pipelined request, or bytes that follow a
// complete answer, aren't mistaken for a part of the body.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdio>
#include <utility>

#include "net/request_check.h"
#include "net/socket.h"
#include "net/syntax_check.h"
#include "pimentohall/stream.h"

namespace pimentohall::stream {
namespace {

// The most received bytes that a connection buffers before parsing; beyond
// that, TCP flow control slows the peer down.
constexpr std::size_t kMaxReadAheadBytes = 64 * 1024;
constexpr std::size_t kMaxChunkHeadBytes = 20;
// ": " and the line's end.
constexpr std::size_t kHeaderSeparators = 4;
// Of a header in a vector that may have grown to twice its size.
constexpr std::size_t kHeaderMemory = 2 * sizeof(net::header);
constexpr int kStatusContinue = 100;
// Interim answers (1xx) to one request. Without a limit, a server could keep a
// request open for ever.
constexpr int kMaxInterimAnswers = 32;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusHeadTooLong = 431;

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         evutil_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

// Removes the headers that must not be forwarded: those that `Connection`
// lists, those that always apply to one connection only, Content-Length and
// Expect.
void DropConnectionHeaders(net::header_list* headers) {
  std::vector<std::string> listed;
  for (const net::header& entry : *headers) {
    if (!EqualsIgnoringCase(entry.first, "Connection")) continue;
    std::string_view remaining = entry.second;
    while (!remaining.empty()) {
      const std::size_t comma = remaining.find(',');
      std::string_view name = remaining.substr(0, comma);
      while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
      while (!name.empty() && name.back() == ' ') name.remove_suffix(1);
      listed.emplace_back(name);
      if (comma == std::string_view::npos) break;
      remaining.remove_prefix(comma + 1);
    }
  }
  net::header_list kept;
  for (net::header& entry : *headers) {
    bool drop = net::IsHopByHop(entry.first) ||
                EqualsIgnoringCase(entry.first, "Content-Length") ||
                EqualsIgnoringCase(entry.first, "Expect");
    for (const std::string& name : listed) {
      drop = drop || EqualsIgnoringCase(name, entry.first);
    }
    if (!drop) kept.push_back(std::move(entry));
  }
  *headers = std::move(kept);
}

// Returns the seconds of "timeout=N" in a Keep-Alive header, or 0.
int KeepAliveSeconds(std::string_view value) {
  const std::size_t position = value.find("timeout=");
  if (position == std::string_view::npos) return 0;
  int seconds = 0;
  for (char digit : value.substr(position + 8)) {
    if (digit < '0' || digit > '9' || seconds > 100000) break;
    seconds = seconds * 10 + (digit - '0');
  }
  return seconds;
}

enum class socket_state { kEmpty, kBytes, kClosed };

// Returns what the next read of the socket would find.
socket_state PeekSocketState(int socket) {
  char byte = 0;
  const ssize_t received = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) return socket_state::kBytes;
  const bool is_empty =
      received < 0 &&
      (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return is_empty ? socket_state::kEmpty : socket_state::kClosed;
}

}  // namespace

std::size_t MemoryOf(const message_head& head) {
  std::size_t bytes = head.target.size();
  for (const auto& [name, value] : head.headers) {
    bytes += kHeaderMemory + name.size() + value.size();
  }
  return bytes;
}

// Handlers are called through copies, since a handler may replace itself.
namespace detail {

class parser {
 public:
  parser(connection* owner, connection::side side)
      : owner_(owner),
        syntax_(side == connection::side::kServer
                    ? net::syntax_check::first_line::kRequest
                    : net::syntax_check::first_line::kStatus) {
    http_parser_init(&state_, side == connection::side::kServer
                                  ? HTTP_REQUEST
                                  : HTTP_RESPONSE);
    state_.data = this;
  }

  // Parses bytes up to the end of a message, or less, and returns how many were
  // parsed.
  std::size_t ParseBytes(const char* bytes, std::size_t size) {
    const std::optional<std::size_t> valid = syntax_.Check({bytes, size});
    is_malformed_ = !valid;
    if (is_malformed_) return 0;
    return http_parser_execute(&state_, &Settings(), bytes, *valid);
  }
  // Handles the end of the stream. `by_peer`: the peer sent it, so it also ends
  // a body without a length. Returns true if it ends a message properly or
  // falls between two messages.
  bool ParseEof(bool by_peer) {
    if (!in_message_) return true;
    if (!by_peer) return false;
    ParseBytes(nullptr, 0);
    return !in_message_;
  }
  bool IsPaused() const { return HTTP_PARSER_ERRNO(&state_) == HPE_PAUSED; }
  bool HasFailed() const {
    return is_malformed_ ||
           (HTTP_PARSER_ERRNO(&state_) != HPE_OK && !IsPaused());
  }
  bool InMessage() const { return in_message_; }
  // Whether a message ended since the last call.
  bool TakeEnd() { return std::exchange(ended_, false); }
  bool HeadTooLong() const {
    return head_too_long_ || HTTP_PARSER_ERRNO(&state_) == HPE_HEADER_OVERFLOW;
  }
  void Resume() {
    if (IsPaused()) http_parser_pause(&state_, 0);
  }
  void SetAnswersHeadRequest(bool head) { answers_head_request_ = head; }
  void SetMaxHeadBytes(std::size_t bytes) { max_head_bytes_ = bytes; }
  // Memory of the head that is being parsed.
  std::size_t HeadMemory() const { return head_memory_; }

 private:
  static parser* Self(http_parser* state) {
    return static_cast<parser*>(state->data);
  }
  static const http_parser_settings& Settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_message_begin = [](http_parser* p) { return Self(p)->OnBegin(); };
      s.on_url = [](http_parser* p, const char* bytes, std::size_t n) {
        if (!Self(p)->CountHead(n)) return -1;
        Self(p)->head_.target.append(bytes, n);
        return 0;
      };
      s.on_header_field = [](http_parser* p, const char* bytes, std::size_t n) {
        return Self(p)->OnName(bytes, n);
      };
      s.on_header_value = [](http_parser* p, const char* bytes, std::size_t n) {
        return Self(p)->OnValue(bytes, n);
      };
      s.on_headers_complete = [](http_parser* p) { return Self(p)->OnHead(); };
      s.on_body = [](http_parser* p, const char* bytes, std::size_t n) {
        return Self(p)->OnBody(bytes, n);
      };
      s.on_message_complete = [](http_parser* p) { return Self(p)->OnEnd(); };
      return s;
    }();
    return kSettings;
  }

  int OnBegin() {
    in_message_ = true;
    in_value_ = true;
    in_head_ = true;
    head_bytes_ = 0;
    head_memory_ = 0;
    head_ = message_head{};
    return 0;
  }

  // Counts bytes of the head or the trailers; false if there are too many.
  bool CountHead(std::size_t size) {
    head_bytes_ += size;
    if (in_head_) head_memory_ += size;
    head_too_long_ = max_head_bytes_ > 0 && head_bytes_ > max_head_bytes_;
    return !head_too_long_;
  }

  int OnName(const char* bytes, std::size_t size) {
    if (!CountHead(in_value_ ? size + kHeaderSeparators : size)) return -1;
    const bool is_new = in_value_;
    in_value_ = false;
    if (!in_head_) return 0;
    if (is_new) {
      head_.headers.emplace_back();
      head_memory_ += kHeaderMemory;
    }
    head_.headers.back().first.append(bytes, size);
    return 0;
  }

  int OnValue(const char* bytes, std::size_t size) {
    in_value_ = true;
    if (!CountHead(size)) return -1;
    if (in_head_) head_.headers.back().second.append(bytes, size);
    return 0;
  }

  // Returns what http-parser expects: 1 if no body follows.
  int OnHead() {
    state_.upgrade = 0;  // No protocol upgrade is supported.
    const bool is_request = owner_->side_ == connection::side::kServer;
    if (is_request) {
      head_.method = http_method_str(static_cast<http_method>(state_.method));
      if (state_.method == HTTP_CONNECT) return -1;
    } else {
      head_.status = state_.status_code;
      if (head_.status / 100 == 1) {
        if (++interim_answers_ > kMaxInterimAnswers) return -1;
        is_interim_ = true;
        const auto handler = owner_->on_continue;
        if (head_.status == kStatusContinue && handler) handler();
        return owner_->IsOpen() ? 0 : -1;
      }
    }
    if (net::FindLengthProblem(head_.headers) != nullptr) return -1;
    syntax_.BeginBody((state_.flags & F_CHUNKED) != 0);
    head_.close = http_should_keep_alive(&state_) == 0;
    // Such answers end with their head, whatever their fields say (RFC 9112,
    // section 6.3).
    const bool has_no_body =
        !is_request && (head_.status == 204 || head_.status == 304);
    if (has_no_body) {
      head_.framing = body_framing::kNone;
    } else if ((state_.flags & F_CHUNKED) != 0) {
      head_.framing = body_framing::kChunked;
    } else if ((state_.flags & F_CONTENTLENGTH) != 0) {
      head_.framing = body_framing::kLength;
      head_.length = state_.content_length;
    } else if (!is_request && !answers_head_request_) {
      head_.framing = body_framing::kChunked;
      head_.ends_with_connection = true;
      head_.close = true;
    }
    const bool skips_body =
        has_no_body || (!is_request && answers_head_request_);
    head_.keep_alive_s =
        KeepAliveSeconds(net::FindHeader(head_.headers, "Keep-Alive"));
    head_.expects_continue =
        is_request && head_.framing != body_framing::kNone &&
        EqualsIgnoringCase(net::FindHeader(head_.headers, "Expect"),
                           "100-continue");
    DropConnectionHeaders(&head_.headers);
    in_head_ = false;
    head_memory_ = 0;
    if (const auto handler = owner_->on_head) handler(std::move(head_));
    if (!owner_->IsOpen()) return -1;
    return skips_body ? 1 : 0;
  }

  int OnBody(const char* bytes, std::size_t size) {
    if (const auto handler = owner_->on_data) handler({bytes, size});
    return owner_->IsOpen() ? 0 : -1;
  }

  int OnEnd() {
    syntax_.BeginHead();
    if (is_interim_) {
      is_interim_ = false;
      return 0;
    }
    in_message_ = false;
    interim_answers_ = 0;
    ended_ = true;
    http_parser_pause(&state_, 1);
    return 0;
  }

  connection* const owner_;
  net::syntax_check syntax_;
  bool is_malformed_ = false;
  http_parser state_{};
  message_head head_;
  std::size_t max_head_bytes_ = 0;  // 0: only http-parser's limit.
  std::size_t head_bytes_ = 0;      // Of the head and the trailers.
  std::size_t head_memory_ = 0;
  bool head_too_long_ = false;
  bool in_head_ = false;
  bool in_message_ = false;
  bool ended_ = false;  // Not reported yet.
  bool in_value_ = true;
  bool is_interim_ = false;
  int interim_answers_ = 0;
  bool answers_head_request_ = false;
};

}  // namespace detail

connection::connection(net::event_loop& loop, side own_side, int socket)
    : side_(own_side),
      stream_(bufferevent_socket_new(
          loop.Base(), socket,
          BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
      parser_(std::make_unique<detail::parser>(this, own_side)) {}

connection::~connection() { Close(); }

void connection::Open() {
  bufferevent_setcb(stream_, &connection::OnRead, &connection::OnWrite,
                    &connection::OnEvent, this);
  bufferevent_setwatermark(stream_, EV_READ, 0, kMaxReadAheadBytes);
  evbuffer_add_cb(bufferevent_get_output(stream_), &connection::CountSent,
                  this);
  evbuffer_add_cb(bufferevent_get_input(stream_), &connection::CountRead, this);
  bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

bool connection::Connect(const net::endpoint& target) {
  sockaddr_storage address{};
  int size = sizeof(address);
  const std::string text = target.address + ":" + std::to_string(target.port);
  auto* const raw_address = reinterpret_cast<sockaddr*>(&address);
  if (evutil_parse_sockaddr_port(text.c_str(), raw_address, &size) != 0) {
    return false;
  }
  if (bufferevent_socket_connect(stream_, raw_address, size) != 0) return false;
  net::DisableNagle(Socket());
  return true;
}

int connection::Socket() const { return bufferevent_getfd(stream_); }

void connection::SendHead(const message_head& head) {
  if (stream_ == nullptr) return;
  if (side_ == side::kClient) {
    parser_->SetAnswersHeadRequest(head.method == "HEAD");
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
  char head[kMaxChunkHeadBytes];
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
  evbuffer_remove_cb(bufferevent_get_input(stream), &connection::CountRead,
                     this);
  // Closed here, as libevent frees a bufferevent with deferred callbacks only
  // in the next turn of the loop: many ends in one turn would keep descriptors.
  const int socket = bufferevent_getfd(stream);
  bufferevent_setfd(stream, -1);
  if (socket >= 0) evutil_closesocket(socket);
  bufferevent_free(stream);
  // Handlers often own the object that owns this connection.
  on_head = nullptr;
  on_data = nullptr;
  on_end = nullptr;
  on_closed = nullptr;
  on_drained = nullptr;
  on_progress = nullptr;
  on_continue = nullptr;
  on_bad_message = nullptr;
}

void connection::Abort() {
  if (stream_ == nullptr) return;
  const linger reset_on_close = {1, 0};
  setsockopt(Socket(), SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  Close();
}

void connection::CloseWhenSent() {
  if (stream_ == nullptr) return;
  // A peer that still sends is waited for: a close would reset the connection
  // under the answer.
  const bool is_quiet = IsQuiet() && !has_dropped_;
  // Not parsed from now on: a malformed message would end the connection before
  // all is sent.
  drops_received_ = true;
  DropReceivedBytes();
  if (UnsentBytes() > 0) {
    close_when_sent_ = true;
    return;
  }
  if (is_quiet || HasPeerClosed()) {
    CloseAndReport(end_reason::kClosed);
    return;
  }
  shutdown(Socket(), SHUT_WR);
  SetReading(true);
}

void connection::DropReceivedBytes() {
  evbuffer* input = bufferevent_get_input(stream_);
  has_dropped_ = has_dropped_ || evbuffer_get_length(input) > 0;
  evbuffer_drain(input, evbuffer_get_length(input));
}

void connection::SendContinue() {
  if (stream_ == nullptr) return;
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  bufferevent_write(stream_, kContinue.data(), kContinue.size());
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
  if (reading_) bufferevent_enable(stream_, EV_READ);
  if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
    bufferevent_trigger(stream_, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
  }
}

std::size_t connection::UnsentBytes() const {
  if (stream_ == nullptr) return 0;
  return evbuffer_get_length(bufferevent_get_output(stream_));
}

std::size_t connection::ReceivedBytes() const {
  if (stream_ == nullptr) return 0;
  return evbuffer_get_length(bufferevent_get_input(stream_)) +
         parser_->HeadMemory();
}

void connection::SetMaxHeadBytes(std::size_t bytes) {
  parser_->SetMaxHeadBytes(bytes);
}

bool connection::IsInMessage() const { return parser_->InMessage(); }

bool connection::IsQuiet() const {
  if (stream_ == nullptr) return false;
  if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) return false;
  return PeekSocketState(Socket()) == socket_state::kEmpty;
}

bool connection::HasPeerClosed() const {
  return stream_ == nullptr ||
         PeekSocketState(Socket()) == socket_state::kClosed;
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
  const auto conn = static_cast<connection*>(self)->shared_from_this();
  conn->Parse();
  if (const auto handler = conn->on_progress) handler();
}

void connection::Parse() {
  if (drops_received_) {
    DropReceivedBytes();
    return;
  }
  while (stream_ != nullptr && reading_ && !parser_->IsPaused()) {
    evbuffer* input = bufferevent_get_input(stream_);
    evbuffer_iovec chunk{};
    if (evbuffer_peek(input, -1, nullptr, &chunk, 1) < 1) return;
    if (chunk.iov_len == 0) return;
    const std::size_t parsed = parser_->ParseBytes(
        static_cast<const char*>(chunk.iov_base), chunk.iov_len);
    if (stream_ == nullptr) return;
    if (parser_->HasFailed()) {
      const auto handler = on_bad_message;
      if (!handler) {
        CloseAndReport(end_reason::kBadBytes);
        return;
      }
      drops_received_ = true;
      DropReceivedBytes();
      handler(parser_->HeadTooLong() ? kStatusHeadTooLong : kStatusBadRequest);
      return;
    }
    evbuffer_drain(input, parsed);
    ReportEnd();
  }
  PauseFullBuffer();
  // On the client side, bytes that follow a complete answer are an error.
  if (stream_ != nullptr && side_ == side::kClient && parser_->IsPaused() &&
      evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
    CloseAndReport(end_reason::kBadBytes);
  }
}

// Called when the message's bytes have left the buffer: the handler may start
// the next request on this connection, which must look unused.
void connection::ReportEnd() {
  if (!parser_->TakeEnd()) return;
  if (const auto handler = on_end) handler();
}

// libevent reports a full buffer again and again, although nothing of it can be
// parsed before the next message may be read.
void connection::PauseFullBuffer() {
  if (stream_ == nullptr || !parser_->IsPaused()) return;
  evbuffer* input = bufferevent_get_input(stream_);
  if (evbuffer_get_length(input) < kMaxReadAheadBytes) return;
  bufferevent_disable(stream_, EV_READ);
}

void connection::OnWrite(bufferevent*, void* self) {
  const auto conn = static_cast<connection*>(self)->shared_from_this();
  if (const auto handler = conn->on_progress) handler();
  if (!conn->IsOpen() || conn->UnsentBytes() > 0) return;
  if (conn->close_when_sent_) {
    conn->close_when_sent_ = false;
    conn->CloseWhenSent();
    return;
  }
  if (const auto handler = conn->on_drained) handler();
}

void connection::OnEvent(bufferevent*, short events, void* self) {
  const auto conn = static_cast<connection*>(self)->shared_from_this();
  if ((events & BEV_EVENT_CONNECTED) != 0) return;
  if ((events & BEV_EVENT_EOF) != 0) {
    // No more bytes will arrive, so parse those that were held back.
    conn->reading_ = true;
    conn->Parse();
    if (!conn->IsOpen()) return;
    // A failed write takes the socket's error: the next read then finds the end
    // of a stream that the peer reset. libevent reports both at once.
    const bool by_peer = (events & BEV_EVENT_ERROR) == 0;
    const bool whole =
        conn->drops_received_ || conn->parser_->ParseEof(by_peer);
    if (!conn->IsOpen()) return;
    conn->ReportEnd();
    if (!conn->IsOpen()) return;
    conn->CloseAndReport(whole ? end_reason::kClosed : end_reason::kReset);
    return;
  }
  conn->CloseAndReport(end_reason::kReset);
}

void connection::CountSent(evbuffer*, const evbuffer_cb_info* info,
                           void* self) {
  // Only writes to the socket remove bytes from this buffer.
  static_cast<connection*>(self)->sent_bytes_ += info->n_deleted;
}

void connection::CountRead(evbuffer*, const evbuffer_cb_info* info,
                           void* self) {
  static_cast<connection*>(self)->read_bytes_ += info->n_added;
}

void connection::CloseAndReport(end_reason reason) {
  if (stream_ == nullptr) return;
  const auto handler = on_closed;
  Close();
  if (handler) handler(reason);
}

}  // namespace pimentohall::stream
