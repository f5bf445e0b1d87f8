#include "node/news_service.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace pimentohall::node {
namespace {

constexpr std::size_t kReceiveBytes = 4096;
// Limits the datagrams read in one turn of the loop.
constexpr int kMaxReceivesPerEvent = 64;

bool FillAddress(const std::string& text, int port, sockaddr_in* address) {
  *address = sockaddr_in{};
  address->sin_family = AF_INET;
  address->sin_port = htons(static_cast<std::uint16_t>(port));
  return inet_pton(AF_INET, text.c_str(), &address->sin_addr) == 1;
}

}  // namespace

news_service::news_service(fleet_state& fleet) : fleet_(fleet) {}

news_service::~news_service() {
  readable_.reset();
  if (socket_ >= 0) close(socket_);
}

tl::expected<void, std::string> news_service::Open() {
  const net::endpoint& endpoint = fleet_.settings.news;
  sockaddr_in address{};
  if (!FillAddress(endpoint.address, endpoint.port, &address)) {
    return tl::unexpected(endpoint.address + ": not an IPv4 address");
  }
  socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket_ < 0 || bind(socket_, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) != 0) {
    return tl::unexpected("news port " + std::to_string(endpoint.port) + ": " +
                          std::strerror(errno));
  }
  readable_.reset(event_new(
      fleet_.loop.Base(), socket_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        static_cast<news_service*>(self)->Receive();
      },
      this));
  event_add(readable_.get(), nullptr);
  return {};
}

void news_service::Send(const std::string& address,
                        const mesh::peer_news& news) {
  sockaddr_in to{};
  if (!FillAddress(address, fleet_.settings.news.port, &to)) return;
  const std::string bytes = mesh::EncodeNews(news);
  const ssize_t sent = sendto(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT,
                              reinterpret_cast<sockaddr*>(&to), sizeof(to));
  if (sent > 0) Count(true, address, bytes.size());
}

void news_service::Count(bool sent, const std::string& address,
                         std::size_t bytes) {
  fleet_.metrics.CountNews(sent, bytes);
  fleet_.metrics.CountPeerBytes(node_metrics::peer_traffic::kStatus,
                                fleet_.IsFar(address), sent, bytes);
}

void news_service::Receive() {
  char bytes[kReceiveBytes];
  for (int i = 0; i < kMaxReceivesPerEvent; ++i) {
    sockaddr_in sender{};
    socklen_t sender_size = sizeof(sender);
    const ssize_t size =
        recvfrom(socket_, bytes, sizeof(bytes), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr*>(&sender), &sender_size);
    if (size < 0) return;
    char address[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &sender.sin_addr, address, sizeof(address));
    Count(false, address, static_cast<std::size_t>(size));
    auto news =
        mesh::DecodeNews({bytes, static_cast<std::size_t>(size)}, address);
    if (news) {
      on_news(std::move(*news));
    } else {
      net::Log(core::log_level::kWarning, "news is unreadable",
               {{"problem", news.error()}});
    }
  }
}

}  // namespace pimentohall::node
