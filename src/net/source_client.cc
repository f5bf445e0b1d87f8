// Reads from the Consul KV API: GET /v1/kv/KEY?raw&index=N&wait=Ns, with
// the index in X-Consul-Index and status 404 for an absent key.

#include "net/request_check.h"
#include "pimentohall/net.h"

namespace pimentohall::net {
namespace {

// Time for the answer beyond the wait of a blocking query. By the published
// protocol such a query may also return up to wait/16 late.
constexpr auto kAnswerMargin = std::chrono::seconds(3);
// The manifest and the VM list each have one blocking query; parts are read in
// bursts.
constexpr int kConnectionsPerAddress = 16;

}  // namespace

class source_client::impl {
 public:
  impl(event_loop& loop, timer_service& timers, source_settings settings,
       source_client* owner)
      : settings_(std::move(settings)),
        owner_(owner),
        loop_(loop),
        client_(loop, timers, kConnectionsPerAddress) {}

  void Read(const core::read_source& action) {
    if (settings_.addresses.empty()) {
      loop_.Post([this, action, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) owner_->on_failed({action.key, action.digest});
      });
      return;
    }
    const std::size_t address = next_ % settings_.addresses.size();
    http_request request;
    request.target = settings_.addresses[address];
    request.path = RequestPath(action);
    request.timeout = action.wait + action.wait / 16 + kAnswerMargin;
    client_.Start(request, [this, action, address](auto answer) {
      if (auto value = ParseAnswer(action, answer)) {
        owner_->on_value(std::move(*value));
        return;
      }
      // Several reads may have failed at this address; switch only once.
      if (next_ % settings_.addresses.size() == address) ++next_;
      owner_->on_failed({action.key, action.digest});
    });
  }

 private:
  std::string RequestPath(const core::read_source& action) const {
    std::string path = "/v1/kv/" + settings_.prefix + "/";
    switch (action.key) {
      case core::source_key::kManifest:
        path += "manifest";
        break;
      case core::source_key::kVmList:
        path += "vms";
        break;
      case core::source_key::kPart:
        path += "parts/" + action.digest;
        break;
    }
    path += "?raw";
    if (action.index != 0) {
      const auto wait = std::chrono::ceil<std::chrono::seconds>(action.wait);
      path += "&index=" + std::to_string(action.index) +
              "&wait=" + std::to_string(wait.count()) + "s";
    }
    return path;
  }

  static std::optional<core::source_value> ParseAnswer(
      const core::read_source& action,
      const tl::expected<http_answer, http_failure>& end) {
    if (!end || (end->status != 200 && end->status != 404)) return std::nullopt;
    const auto index = ParseDigits(FindHeader(end->headers, "X-Consul-Index"));
    if (!index) return std::nullopt;
    core::source_value value;
    value.key = action.key;
    value.digest = action.digest;
    value.index = static_cast<std::uint64_t>(*index);
    if (end->status == 200) value.value = *end->body;
    return value;
  }

  const source_settings settings_;
  source_client* const owner_;
  event_loop& loop_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::size_t next_ = 0;
  http_client client_;
};

source_client::source_client(event_loop& loop, timer_service& timers,
                             source_settings settings)
    : impl_(std::make_unique<impl>(loop, timers, std::move(settings), this)) {}
source_client::~source_client() = default;

void source_client::Read(const core::read_source& action) {
  impl_->Read(action);
}

}  // namespace pimentohall::net
