#include "bed.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <random>

namespace bed {
namespace {

constexpr seconds kGraceS = 6;
constexpr seconds kRestartDelayS = 0.3;
// Changes that are older are no longer in the store's history.
constexpr std::size_t kHistory = 20000;

std::mt19937_64& Random() {
  static std::mt19937_64 engine{std::random_device{}()};
  return engine;
}

std::string Hex(std::uint64_t number, int digits) {
  char text[32];
  std::snprintf(text, sizeof(text), "%0*llx", digits,
                static_cast<unsigned long long>(number));
  return text;
}

bool SameName(const std::string& a, const std::string& b) {
  return strcasecmp(a.c_str(), b.c_str()) == 0;
}

sockaddr_in Address(const std::string& address, int port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

int Bound(const std::string& address, int port, int type) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const sockaddr_in local = Address(address, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text.push_back(k <= count ? kDigits[group >> (18 - 6 * k) & 63] : '=');
    }
  }
  return text;
}

std::string PercentDecode(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result.push_back(static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      result.push_back(text[i]);
    }
  }
  return result;
}

std::map<std::string, std::string> Query(const std::string& path) {
  std::map<std::string, std::string> fields;
  std::size_t at = path.find('?');
  while (at != std::string::npos) {
    const std::size_t next = path.find('&', at + 1);
    const std::string part = path.substr(at + 1, next - at - 1);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos) {
      fields[part.substr(0, equals)] = PercentDecode(part.substr(equals + 1));
    }
    at = next;
  }
  return fields;
}

}  // namespace

bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---------------------------------------------------------------------------
// loop

loop::loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), start_(0) {
  start_ = Now();
}
loop::~loop() { close(epoll_); }

seconds loop::Now() const {
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9 - start_;
}

void loop::At(seconds when, std::function<void()> task) {
  timers_[{when, ++next_timer_}] = std::move(task);
}

void loop::Every(seconds period, const std::function<void()>& task) {
  After(period, [this, period, task] {
    task();
    Every(period, task);
  });
}

void loop::Watch(int fd, bool read, bool write,
                 std::function<void(std::uint32_t)> handler) {
  watches_[fd] =
      std::make_shared<std::function<void(std::uint32_t)>>(std::move(handler));
  epoll_event event{};
  event.events = (read ? EPOLLIN : 0U) | (write ? EPOLLOUT : 0U);
  event.data.fd = fd;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
}

void loop::Change(int fd, bool read, bool write) {
  epoll_event event{};
  event.events = (read ? EPOLLIN : 0U) | (write ? EPOLLOUT : 0U);
  event.data.fd = fd;
  epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
}

void loop::Forget(int fd) {
  epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
  watches_.erase(fd);
}

void loop::RunUntil(seconds when) {
  while (Now() < when) {
    while (!timers_.empty() && timers_.begin()->first.first <= Now()) {
      const auto task = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      task();
    }
    seconds wait = when - Now();
    if (!timers_.empty()) {
      wait = std::min(wait, timers_.begin()->first.first - Now());
    }
    epoll_event events[64];
    const int wait_ms = std::max(0, static_cast<int>(wait * 1000) + 1);
    const int count = epoll_wait(epoll_, events, 64, wait_ms);
    for (int i = 0; i < count; ++i) {
      const auto found = watches_.find(events[i].data.fd);
      if (found == watches_.end()) continue;
      const auto handler = found->second;
      (*handler)(events[i].events);
    }
  }
}

// ---------------------------------------------------------------------------
// message

std::string message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) return value;
  }
  return {};
}
std::string message::Method() const {
  return first_line.substr(0, first_line.find(' '));
}
std::string message::Target() const {
  const std::size_t from = first_line.find(' ') + 1;
  return first_line.substr(from, first_line.find(' ', from) - from);
}
int message::Status() const {
  return std::atoi(first_line.substr(first_line.find(' ') + 1).c_str());
}

std::string Answer(
    int status, const std::vector<std::pair<std::string, std::string>>& extra,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : extra) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

// ---------------------------------------------------------------------------
// http_connection

http_connection::http_connection(loop& owner, int fd, bool is_server)
    : loop_(owner), fd_(fd), is_server_(is_server) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}
http_connection::~http_connection() { Close(); }

void http_connection::Start() {
  loop_.Watch(fd_, true, !out_.empty(),
              [weak = weak_from_this()](std::uint32_t events) {
                if (const auto self = weak.lock()) self->OnReady(events);
              });
}

void http_connection::Send(const std::string& bytes) {
  if (fd_ < 0) return;
  out_ += bytes;
  Write();
}

void http_connection::Close() {
  if (fd_ < 0) return;
  loop_.Forget(fd_);
  close(fd_);
  fd_ = -1;
}

void http_connection::Reset() {
  if (fd_ < 0) return;
  const linger now = {1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

void http_connection::CloseWhenSent() {
  close_when_sent_ = true;
  if (out_.empty()) Close();
}

void http_connection::OnReady(std::uint32_t events) {
  const auto self = shared_from_this();
  if ((events & EPOLLOUT) != 0) Write();
  if (fd_ >= 0 && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) Read();
}

void http_connection::Write() {
  while (fd_ >= 0 && !out_.empty()) {
    const ssize_t sent = send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      out_.erase(0, static_cast<std::size_t>(sent));
      continue;
    }
    if (errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN) {
      loop_.Change(fd_, true, true);
      return;
    }
    Fail(false);
    return;
  }
  if (fd_ < 0) return;
  loop_.Change(fd_, true, false);
  if (close_when_sent_) Close();
}

void http_connection::Fail(bool whole) {
  Close();
  const auto handler = std::move(on_closed);
  on_closed = nullptr;
  if (handler) handler(whole);
}

void http_connection::Read() {
  char bytes[65536];
  while (fd_ >= 0) {
    const ssize_t got = recv(fd_, bytes, sizeof(bytes), 0);
    if (got > 0) {
      in_.append(bytes, static_cast<std::size_t>(got));
      while (fd_ >= 0 && Parse()) {
      }
      continue;
    }
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    peer_ended_ = true;
    while (fd_ >= 0 && Parse()) {
    }
    if (fd_ >= 0) Fail(got == 0 && in_.empty());
    return;
  }
}

// Takes one message from what was received; false if none is complete.
bool http_connection::Parse() {
  const std::size_t end = in_.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  message read;
  std::size_t at = 0;
  while (at < end + 2) {
    const std::size_t line_end = in_.find("\r\n", at);
    const std::string line = in_.substr(at, line_end - at);
    at = line_end + 2;
    if (read.first_line.empty()) {
      read.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    read.headers.emplace_back(line.substr(0, colon), value == std::string::npos
                                                         ? ""
                                                         : line.substr(value));
  }
  std::size_t next = end + 4;
  const std::string length = read.Header("Content-Length");
  const bool chunked = SameName(read.Header("Transfer-Encoding"), "chunked");
  const bool interim = !is_server_ && read.Status() / 100 == 1;
  if (interim) {
    in_.erase(0, next);
    return true;
  }
  if (chunked) {
    while (true) {
      const std::size_t line_end = in_.find("\r\n", next);
      if (line_end == std::string::npos) return false;
      const std::size_t size =
          std::strtoul(in_.substr(next, line_end - next).c_str(), nullptr, 16);
      if (in_.size() < line_end + 2 + size + 2) return false;
      read.body += in_.substr(line_end + 2, size);
      next = line_end + 2 + size + 2;
      if (size == 0) break;
    }
  } else if (!length.empty()) {
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    if (in_.size() < next + size) return false;
    read.body = in_.substr(next, size);
    next += size;
  } else if (!is_server_ && read.Status() != 204 && read.Status() != 304) {
    if (!peer_ended_) return false;
    read.body = in_.substr(next);
    next = in_.size();
  }
  in_.erase(0, next);
  const auto self = shared_from_this();
  if (const auto handler = on_message) handler(std::move(read));
  return true;
}

// ---------------------------------------------------------------------------
// http_server

bool http_server::Listen(const std::string& address, int port) {
  fd_ = Bound(address, port, SOCK_STREAM);
  if (fd_ < 0 || listen(fd_, 1024) != 0) return false;
  loop_.Watch(fd_, true, false, [this](std::uint32_t) { Accept(); });
  return true;
}

void http_server::Accept() {
  while (fd_ >= 0) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    auto conn = std::make_shared<http_connection>(loop_, fd, true);
    const std::weak_ptr<http_connection> weak = conn;
    conn->on_message = [this, weak](message what) {
      if (const auto self = weak.lock()) on_request(self, std::move(what));
    };
    conn->on_closed = [this, weak](bool) {
      const auto self = weak.lock();
      if (!self) return;
      if (on_closed) on_closed(self.get());
      connections_.erase(self);
    };
    connections_.insert(conn);
    conn->Start();
  }
}

void http_server::Stop() {
  if (fd_ >= 0) {
    loop_.Forget(fd_);
    close(fd_);
    fd_ = -1;
  }
  for (const auto& conn : connections_) {
    conn->on_message = nullptr;
    conn->on_closed = nullptr;
    conn->Reset();
  }
  connections_.clear();
}

// ---------------------------------------------------------------------------
// recorder

recorder::recorder(const loop& clock, const std::string& file)
    : clock_(clock), file_(std::fopen(file.c_str(), "w")) {}
recorder::~recorder() {
  if (file_ != nullptr) std::fclose(file_);
}

void recorder::Write(const char* format, ...) {
  if (file_ == nullptr) return;
  std::fprintf(file_, "%9.3f ", clock_.Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file_, format, arguments);
  va_end(arguments);
  std::fputc('\n', file_);
}

// ---------------------------------------------------------------------------
// store

bool store::Listen(const std::string& address, int port) {
  server_.on_request = [this](const std::shared_ptr<http_connection>& conn,
                              const message& what) { Serve(conn, what); };
  return server_.Listen(address, port);
}

void store::Put(const std::string& key, const std::string& value) {
  item& held = items_[key];
  held.revision = ++revision_;
  if (held.created == 0) held.created = revision_;
  held.value = value;
  history_.push_back({key, revision_, false, held});
  if (history_.size() > kHistory) {
    oldest_ = history_.front().revision;
    history_.erase(history_.begin());
  }
  Notify();
}

void store::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back({key, ++revision_, true, {}});
  Notify();
}

void store::SetSilent(bool silent) {
  silent_ = silent;
  record_.Write("the store is %s", silent ? "down (silent)" : "back");
  // A connection on which an answer is lost returns nothing further.
  if (silent) watches_.clear();
}

std::shared_ptr<store::copy> store::Copy() const {
  auto result = std::make_shared<copy>();
  result->revision = revision_;
  result->items = items_;
  result->history = history_;
  return result;
}

void store::Restore(const copy& from) {
  revision_ = from.revision;
  items_ = from.items;
  history_ = from.history;
  if (era_) ++*era_;
  watches_.clear();
  record_.Write("the store comes back from a copy of revision %llu",
                static_cast<unsigned long long>(revision_));
}

namespace {
std::string ItemText(const std::string& key, const std::string& value,
                     std::uint64_t revision, std::uint64_t created) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
         "\",\"revision\":" + std::to_string(revision) +
         ",\"createRevision\":" + std::to_string(created) + ",\"lease\":0}";
}
}  // namespace

void store::Serve(const std::shared_ptr<http_connection>& conn,
                  const message& call) {
  if (silent_) return;
  const std::string path = call.Target();
  auto query = Query(path);
  if (path.rfind("/api/kv-range", 0) == 0) {
    const std::string prefix = query["prefix"];
    std::string list;
    std::size_t count = 0;
    bool truncated = false;
    for (const auto& [key, held] : items_) {
      if (key.rfind(prefix, 0) != 0 || key <= query["after"]) continue;
      if (++count > 500) {
        truncated = true;
        break;
      }
      if (!list.empty()) list += ",";
      list += ItemText(key, held.value, held.revision, held.created);
    }
    Reply(conn, 200,
          "{\"items\":[" + list +
              "],\"truncated\":" + (truncated ? "true" : "false") +
              ",\"asOf\":" + std::to_string(revision_) + "}");
    return;
  }
  if (path.rfind("/api/kv-watch", 0) == 0) {
    watch which = {conn, query["prefix"],
                   std::strtoull(query["after"].c_str(), nullptr, 10),
                   ++next_watch_};
    if (which.after < oldest_ || which.after > revision_) {
      Reply(conn, 410, "{}");
      return;
    }
    if (FinishWatch(which, false)) return;
    watches_.push_back(which);
    const double wait = std::atof(query["waitMs"].c_str()) / 1000;
    loop_.After(wait, [this, id = which.id] {
      for (auto it = watches_.begin(); it != watches_.end(); ++it) {
        if (it->id != id) continue;
        const watch over = *it;
        watches_.erase(it);
        FinishWatch(over, true);
        return;
      }
    });
    return;
  }
  Reply(conn, 404, "{}");
}

bool store::FinishWatch(const watch& which, bool time_over) {
  std::string list;
  for (const change& each : history_) {
    if (each.revision <= which.after || each.key.rfind(which.prefix, 0) != 0) {
      continue;
    }
    if (!list.empty()) list += ",";
    list += each.removed
                ? "{\"key\":\"" + each.key +
                      "\",\"revision\":" + std::to_string(each.revision) +
                      ",\"removed\":true}"
                : ItemText(each.key, each.what.value, each.revision,
                           each.what.created);
  }
  if (list.empty() && !time_over) return false;
  Reply(
      which.conn, 200,
      "{\"events\":[" + list + "],\"asOf\":" + std::to_string(revision_) + "}");
  return true;
}

void store::Notify() {
  std::vector<watch> waiting = std::move(watches_);
  watches_.clear();
  for (const watch& each : waiting) {
    if (!FinishWatch(each, false)) watches_.push_back(each);
  }
}

void store::Reply(const std::shared_ptr<http_connection>& conn, int status,
                  const std::string& body) {
  std::vector<std::pair<std::string, std::string>> headers = {
      {"Content-Type", "application/json"}};
  if (era_) headers.emplace_back("Store-Era", std::to_string(*era_));
  // The store takes some milliseconds for an answer.
  loop_.After(0.004, [this, conn, text = Answer(status, headers, body)] {
    if (!silent_) conn->Send(text);
  });
}

// ---------------------------------------------------------------------------
// target

target::target(deployment& owner, int vm, std::string service)
    : deployment_(owner),
      vm_(vm),
      service_(std::move(service)),
      server_(owner.Loop()) {
  server_.on_request = [this](const std::shared_ptr<http_connection>& conn,
                              message what) {
    OnRequest(conn, std::move(what));
  };
  // Most targets drop a request when its connection closes.
  server_.on_closed = [this](const http_connection* closed) {
    queue_.erase(std::remove_if(queue_.begin(), queue_.end(),
                                [closed](const waiting& each) {
                                  return each.conn.get() == closed;
                                }),
                 queue_.end());
  };
  deployment_.Loop().Every(deployment_.Options().heartbeat_s, [this] {
    if (IsUp()) WriteEntry();
  });
}

bool target::Start(seconds cold_for) {
  ++boot_;
  id_ = "i-" + Hex(Random()() & 0xffffffffULL, 8);
  sequence_ = 0;
  running_ = 0;
  timespec time{};
  clock_gettime(CLOCK_REALTIME, &time);
  born_ms_ = time.tv_sec * 1000 + time.tv_nsec / 1000000;
  cold_until_ = deployment_.Now() + cold_for;
  if (!server_.Listen(deployment_.At(vm_).address, deployment_.AppPort())) {
    return false;
  }
  deployment_.Record().Write("target %s of %s starts on %s, cold for %.1f s",
                             id_.c_str(), service_.c_str(),
                             deployment_.At(vm_).name.c_str(), cold_for);
  WriteEntry();
  return true;
}

void target::Crash(seconds down, seconds cold_for) {
  deployment_.Record().Write("target %s ends", id_.c_str());
  server_.Stop();
  ++boot_;
  queue_.clear();
  running_ = 0;
  // Its entry is removed after three status report intervals of silence.
  deployment_.Loop().After(
      3 * deployment_.Options().heartbeat_s,
      [this, id = id_] { deployment_.Store().Remove("servers/" + id); });
  deployment_.Loop().After(down, [this, cold_for] { Start(cold_for); });
}

void target::BecomeCold(seconds cold_for) {
  cold_until_ = deployment_.Now() + cold_for;
  deployment_.Record().Write("target %s of %s is cold for %.1f s", id_.c_str(),
                             service_.c_str(), cold_for);
  WriteEntry();
}

seconds target::WarmupLeft() const {
  return std::max(0.0, cold_until_ - deployment_.Now());
}

void target::WriteEntry() {
  ++sequence_;
  if (deployment_.Store().IsSilent()) return;
  const std::string value =
      "{\"service\":\"" + service_ + "\",\"address\":\"" +
      deployment_.At(vm_).address + ":" +
      std::to_string(deployment_.AppPort()) + "\",\"zone\":\"" +
      deployment_.At(vm_).zone + "\",\"version\":\"v1\",\"slots\":" +
      std::to_string(deployment_.Options().slots) +
      ",\"state\":\"ready\",\"warmupLeftMs\":" +
      std::to_string(static_cast<int>(WarmupLeft() * 1000)) +
      ",\"sequence\":" + std::to_string(sequence_) +
      ",\"born\":" + std::to_string(born_ms_) + "}";
  // The entry changes when more than its sequence does.
  const std::string kind = id_ + (WarmupLeft() > 0 ? " cold" : " warm");
  if (registered_ == kind && WarmupLeft() <= 0) return;
  registered_ = kind;
  deployment_.Store().Put("servers/" + id_, value);
}

void target::OnRequest(const std::shared_ptr<http_connection>& conn,
                       message what) {
  const std::string load = std::to_string(running_) + "," +
                           std::to_string(queue_.size()) + "," +
                           std::to_string(deployment_.Options().slots);
  if (what.Target() == "/health") {
    std::vector<std::pair<std::string, std::string>> headers = {
        {"X-Instance-Id", id_}, {"X-Instance-Load", load}};
    if (WarmupLeft() > 0) {
      headers.emplace_back(
          "X-Warmup-Ms", std::to_string(static_cast<int>(WarmupLeft() * 1000)));
    }
    deployment_.Record().Write("status check of %s, cold for %.2f s more",
                               id_.c_str(), WarmupLeft());
    conn->Send(Answer(200, headers, ""));
    return;
  }
  auto seen = std::make_shared<arrival>();
  seen->id = what.Header("X-Attempt-Id");
  seen->vm = vm_;
  seen->at = deployment_.Now();
  const std::string expected = what.Header("X-Expected-Instance");
  if (!expected.empty() && expected != id_) {
    conn->Send(Answer(421,
                      {{"X-Attempt-Id", seen->id},
                       {"X-Instance-Id", id_},
                       {"X-Not-Executed", "1"}},
                      ""));
    return;
  }
  seen->what = what;
  deployment_.Arrivals().push_back(seen);
  if (intercept && intercept(*this, conn, what, *seen)) return;
  const waiting next = {conn, std::move(what), seen};
  if (running_ < deployment_.Options().slots) {
    StartOne(next);
  } else if (static_cast<int>(queue_.size()) < deployment_.Options().queue) {
    queue_.push_back(next);
  } else {
    conn->Send(
        Answer(503, {{"X-Attempt-Id", seen->id}, {"X-Not-Executed", "1"}}, ""));
  }
}

void target::StartOne(const waiting& next) {
  ++running_;
  next.seen->ran = true;
  seconds time = work ? work(next.what) : 0.1;
  if (WarmupLeft() > 0) time *= 2;
  deployment_.Loop().After(time,
                           [this, next, boot = boot_] { Finish(next, boot); });
}

void target::Finish(const waiting& done, std::uint64_t boot) {
  if (boot != boot_) return;
  --running_;
  done.seen->ended = deployment_.Now();
  if (done.conn->IsOpen()) {
    done.conn->Send(Answer(200,
                           {{"X-Attempt-Id", done.seen->id},
                            {"X-Response-Seal", id_ + "." + done.seen->id}},
                           "done " + done.seen->id));
  }
  StartWaiting();
}

void target::StartWaiting() {
  while (!queue_.empty() && running_ < deployment_.Options().slots) {
    const waiting next = queue_.front();
    queue_.pop_front();
    if (next.conn->IsOpen()) StartOne(next);
  }
}

// ---------------------------------------------------------------------------
// deployment

deployment::deployment(options chosen)
    : options_(std::move(chosen)),
      record_(loop_, options_.record),
      store_(loop_, record_) {
  signal(SIGPIPE, SIG_IGN);
}

deployment::~deployment() {
  ending_ = true;
  for (const auto& each : vms_) {
    if (each->daemon <= 0) continue;
    kill(each->daemon, SIGCONT);
    kill(each->daemon, SIGKILL);
    waitpid(each->daemon, nullptr, 0);
  }
}

// Ports are the same on all VMs: callers, peers, ready, app, store, and the
// news over UDP; the platform's template has a fixed one for the metrics.
bool deployment::FindPorts() {
  for (int round = 0; round < 50; ++round) {
    net_ = "127." + std::to_string(20 + Random()() % 200) + "." +
           std::to_string(Random()() % 250) + ".";
    port_ = 20000 + static_cast<int>(Random()() % 10000);
    bool free = true;
    for (int vm = 0; vm <= static_cast<int>(options_.vms.size()) && free;
         ++vm) {
      const std::string address = net_ + std::to_string(1 + vm);
      for (const int port :
           {port_, port_ + 1, port_ + 2, port_ + 3, port_ + 4, 7015}) {
        const int fd = Bound(address, port, SOCK_STREAM);
        free = free && fd >= 0;
        if (fd >= 0) close(fd);
      }
      const int news = Bound(address, port_ + 5, SOCK_DGRAM);
      free = free && news >= 0;
      if (news >= 0) close(news);
    }
    if (free) return true;
  }
  return false;
}

void deployment::WriteSettings(int index, const std::string& service) {
  const vm& which = At(index);
  std::set<std::string> zones;
  for (const auto& [zone, app] : options_.vms) zones.insert(zone);
  std::string zone_list;
  for (const std::string& zone : zones) {
    zone_list +=
        (zone_list.empty() ? "" : ",") + ("\"" + zone) + "\":\"region\"";
  }
  const auto address = [&which](int port) {
    return "\"" + which.address + ":" + std::to_string(port) + "\"";
  };
  const std::string file = options_.folder + "/" + which.name + ".json";
  std::FILE* const out = std::fopen((file + ".new").c_str(), "w");
  if (out == nullptr) return;
  std::fprintf(
      out,
      "{\"name\": \"%s\", \"zone\": \"%s\", \"zones\": {%s},\n"
      "\"service\": \"%s\", \"callers\": %s, \"peers\": %s, \"ready\": %s,\n"
      "\"upstream\": %s, \"source\": \"%s:%d\", \"news_port\": %d,\n"
      "\"admin_port\": 7015, \"memory_mb\": 260, \"max_descriptors\": 4100,\n"
      "\"bounds\": {\"seedLagS\":3,\"addrReuseS\":2,\"contactMs\":3000,"
      "\"ackMs\":4000,\"syncS\":4,\"drainMs\":2000,\"graceS\":6,"
      "\"lossSlackMs\":200,\"applyMs\":2000,\"revertSlackMs\":250,"
      "\"outerMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,"
      "\"retrySlack\":56,\"quotaWindowS\":5,\"quotaOvershoot\":0.25,"
      "\"quotaSlack\":20,\"warmupOvershoot\":1.5,\"warmupSlack\":5,"
      "\"evacMs\":5000,\"recoverS\":15}}\n",
      which.name.c_str(), which.zone.c_str(), zone_list.c_str(),
      service.c_str(), address(port_).c_str(), address(port_ + 1).c_str(),
      address(port_ + 2).c_str(), address(port_ + 3).c_str(),
      (net_ + "1").c_str(), port_ + 4, port_ + 5);
  std::fclose(out);
  std::rename((file + ".new").c_str(), file.c_str());
}

bool deployment::StartDaemon(int index) {
  vm& which = At(index);
  const std::string file = options_.folder + "/" + which.name + ".json";
  const std::string log = options_.folder + "/" + which.name + ".log";
  which.disturbed_at = Now();
  const pid_t child = fork();
  if (child < 0) return false;
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    setenv("PIMENTOHALL_NODE_FILE", file.c_str(), 1);
    execl("target/pimentohalld", "target/pimentohalld", "--platform",
          static_cast<char*>(nullptr));
    _exit(127);
  }
  which.daemon = child;
  return true;
}

void deployment::Signal(int index, int signal) {
  vm& which = At(index);
  which.disturbed_at = Now();
  record_.Write("signal %d to %s", signal, which.name.c_str());
  if (which.daemon > 0) kill(which.daemon, signal);
}

void deployment::RestartDaemon(int index) {
  Signal(index, SIGTERM);
  loop_.After(kGraceS, [this, index, ended = At(index).daemon] {
    if (At(index).daemon == ended) Signal(index, SIGKILL);
  });
}

void deployment::Reap() {
  for (int i = 0; i < Count(); ++i) {
    vm& which = At(i);
    int status = 0;
    if (which.daemon <= 0 || waitpid(which.daemon, &status, WNOHANG) <= 0) {
      continue;
    }
    which.daemon = -1;
    which.disturbed_at = Now();
    record_.Write("the daemon on %s ended, status %d", which.name.c_str(),
                  status);
    loop_.After(kRestartDelayS, [this, i] {
      if (ending_) return;
      record_.Write("the daemon on %s starts", At(i).name.c_str());
      StartDaemon(i);
    });
  }
}

bool deployment::Start(const std::string& configuration) {
  if (!FindPorts()) return false;
  if (!store_.Listen(net_ + "1", port_ + 4)) return false;
  int index = 0;
  for (const auto& [zone, service] : options_.vms) {
    auto each = std::make_unique<vm>();
    each->name = "sidecar-" + zone + "-" + std::to_string(index + 1);
    each->zone = zone;
    each->address = net_ + std::to_string(2 + index);
    vms_.push_back(std::move(each));
    At(index).app = std::make_unique<target>(*this, index, service);
    if (!At(index).app->Start(0)) return false;
    ++index;
  }
  store_.Put("op/config", configuration);
  for (int i = 0; i < Count(); ++i) {
    WriteSettings(i, options_.vms[static_cast<std::size_t>(i)].second);
    if (!StartDaemon(i)) return false;
  }
  loop_.Every(0.05, [this] { Reap(); });
  for (int tries = 0; tries < 80; ++tries) {
    loop_.RunUntil(Now() + 0.1);
    for (int i = 0; i < Count(); ++i) IsReady(i);
    if (static_cast<int>(ready_.size()) == Count()) {
      // Traffic starts 8 s after the machines.
      loop_.RunUntil(8);
      return true;
    }
  }
  return false;
}

// Asks once a call; the answer counts when it comes.
bool deployment::IsReady(int index) {
  if (ready_.count(index) != 0) return true;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in peer = Address(At(index).address, port_ + 2);
  // It goes on in the background; a failure shows on the connection.
  (void)connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer));
  auto conn = std::make_shared<http_connection>(loop_, fd, false);
  conn->on_message = [this, index, conn](const message& answer) {
    if (answer.Status() == 200) ready_.insert(index);
    conn->Close();
  };
  conn->Start();
  conn->Send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
  loop_.After(1, [conn] {
    conn->Close();
    conn->on_message = nullptr;
  });
  return false;
}

std::shared_ptr<attempt> deployment::Send(int index, const request& what,
                                          const std::function<void()>& done) {
  auto sent = std::make_shared<attempt>();
  sent->id = Hex(Random()(), 16);
  ++next_id_;
  sent->vm = index;
  sent->what = what;
  sent->sent = Now();
  attempts_.push_back(sent);
  const int fd = Bound(At(index).address, 0, SOCK_STREAM);
  const sockaddr_in peer = Address(At(index).address, port_);
  // It goes on in the background; a failure shows on the connection.
  (void)connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer));
  auto conn = std::make_shared<http_connection>(loop_, fd, false);
  conn->on_message = [this, sent, conn, done](const message& answer) {
    sent->ended = Now();
    sent->status = answer.Status();
    sent->sealed = !answer.Header("X-Response-Seal").empty();
    sent->body = answer.body;
    conn->Close();
    if (done) done();
  };
  conn->on_closed = [this, sent, done](bool) {
    if (sent->ended >= 0) return;
    sent->ended = Now();
    if (done) done();
  };
  conn->Start();
  std::string text =
      what.method + " " + what.path + " HTTP/1.1\r\nHost: " + what.host +
      "\r\nX-Attempt-Id: " + sent->id +
      "\r\nX-Deadline-Ms: " + std::to_string(what.deadline_ms) + "\r\n";
  if (!what.key.empty()) text += "Authorization: Token " + what.key + "\r\n";
  if (!what.body.empty()) {
    text += "Content-Length: " + std::to_string(what.body.size()) + "\r\n";
  }
  conn->Send(text + "\r\n" + what.body);
  loop_.After(what.deadline_ms / 1000.0 + 0.5, [sent, conn, done, this] {
    if (sent->ended < 0) {
      sent->ended = Now();
      if (done) done();
    }
    conn->on_message = nullptr;
    conn->on_closed = nullptr;
    conn->Close();
  });
  return sent;
}

void deployment::WriteTraffic() {
  record_.Write("requests: id, machine, method and path, sent, ended, status");
  for (const auto& each : attempts_) {
    record_.Write("sent %s %s %s %s %.3f %.3f %d", each->id.c_str(),
                  At(each->vm).name.c_str(), each->what.method.c_str(),
                  each->what.path.c_str(), each->sent, each->ended,
                  each->status);
  }
  record_.Write("arrivals at targets: id, machine, path, at, ran, ended");
  for (const auto& each : arrivals_) {
    record_.Write("arrived %s %s %s %.3f %s %.3f", each->id.c_str(),
                  At(each->vm).name.c_str(), each->what.Target().c_str(),
                  each->at, each->ran ? "ran" : "not run", each->ended);
  }
}

}  // namespace bed
