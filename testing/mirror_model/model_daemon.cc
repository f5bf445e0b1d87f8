#include "mirror_model/model_daemon.h"

#include <event2/event.h>

#include <nlohmann/json.hpp>

namespace pimentohall::testing {
namespace {

using node::source_area;
using node::source_item;
using std::chrono::milliseconds;

constexpr core::duration kNewsPeriod = milliseconds(300);
constexpr core::duration kMaintenancePeriod = milliseconds(100);

node::node_settings SettingsOf(const std::string& address) {
  node::node_settings settings;
  settings.peers = {address, 1};
  settings.zone = "z";
  return settings;
}

bool IsDraining(const std::string& value) {
  return value.find("draining") != std::string::npos;
}

}  // namespace

std::string StartName(const std::string& key, const std::string& value) {
  const auto entry = nlohmann::json::parse(value);
  return key + "/" + entry.at("born").dump();
}

model_daemon::model_daemon(schedule& events, const std::string& address,
                           std::uint32_t boot,
                           std::vector<std::string> addresses, hooks used)
    : hooks_(std::move(used)),
      addresses_(std::move(addresses)),
      loop_([&events] { return events.now; }),
      timers_(loop_),
      adapter_(platform::MakeAdapter(loop_, timers_, {"127.0.0.1", 1})),
      fleet_(loop_, timers_, SettingsOf(address), *adapter_.dialect, boot),
      mirror_(fleet_, *this, *adapter_.decoder),
      follower_(fleet_, mirror_, *this) {
  mirror_.on_item = [this](const node::source_mirror::item_change& change) {
    OnItem(change);
  };
  mirror_.on_changes_applied = [this](source_area) {
    if (mirror_.IsReading()) SendNews();
  };
  timers_.Every(kNewsPeriod, sigc::slot<void()>([this] { SendNews(); }));
  timers_.Every(kMaintenancePeriod,
                sigc::slot<void()>([this] { RunMaintenance(); }));
}

model_daemon::~model_daemon() = default;

void model_daemon::RunDue() {
  timers_.RunDue(loop_.Now());
  event_base_loop(loop_.Base(), EVLOOP_NONBLOCK);
}

void model_daemon::RunMaintenance() {
  const core::instant now = loop_.Now();
  fleet_.directory.Expire(now);
  fleet_.peers.Forget(now);
  mirror_.RunMaintenance();
  follower_.Check();
}

void model_daemon::SendNews() {
  for (const std::string& address : addresses_) {
    if (address == fleet_.settings.peers.address) continue;
    mesh::peer_news news;
    news.address = fleet_.settings.peers.address;
    news.boot = fleet_.boot;
    news.sequence = ++sequence_;
    news.uptime_ms = static_cast<std::uint64_t>(
        (loop_.Now() - fleet_.started_at) / milliseconds(1));
    news.settings_position = mirror_.ChangePosition(source_area::kSettings);
    news.upstreams_position = mirror_.ChangePosition(source_area::kUpstreams);
    news.reads_source = mirror_.IsReading();
    // The codec decides what a peer learns.
    const auto sent = mesh::DecodeNews(mesh::EncodeNews(news), news.address);
    if (sent) hooks_.news(address, *sent);
  }
}

void model_daemon::OnNews(const mesh::peer_news& news) {
  using change = mesh::peer_table::change;
  const auto result = fleet_.peers.OnNews(news, loop_.Now());
  if (result == change::kStale) return;
  if (result == change::kFirst || result == change::kNewBoot) SendNews();
  const bool is_ahead =
      news.settings_position > mirror_.Position(source_area::kSettings) ||
      news.upstreams_position > mirror_.Position(source_area::kUpstreams);
  if (is_ahead) follower_.Check();
}

void model_daemon::OnItem(const node::source_mirror::item_change& change) {
  const source_item& item = change.item;
  hooks_.note(item.key + (item.removed ? " removed" : " in force") +
              (change.ends_carried ? ", ends a carried change" : "") + " at " +
              mesh::ToText(mirror_.Position(change.area)));
  if (item.key == "op/config") {
    const auto decoded = adapter_.decoder->Decode(item);
    const auto* const parts = std::get_if<mesh::configuration_parts>(&decoded);
    if (parts == nullptr || item.removed) return;
    if (parts->version <= version_ && !change.ends_carried) return;
    if (parts->version < version_) {
      hooks_.broken("back: version " + std::to_string(parts->version) +
                    " after " + std::to_string(version_));
    }
    version_ = parts->version;
    items_[item.key] = item.value;
    return;
  }
  if (change.area == source_area::kUpstreams) {
    OnUpstream(item, change.expiry_grace);
  }
  if (item.removed) {
    items_.erase(item.key);
  } else {
    items_[item.key] = item.value;
  }
}

void model_daemon::OnUpstream(const source_item& item, core::duration grace) {
  const auto held = items_.find(item.key);
  if (item.removed) {
    fleet_.directory.Remove(adapter_.decoder->UpstreamIdFromKey(item.key),
                            grace, loop_.Now());
    if (held == items_.end()) return;
    // One that serves on was lost by the source.
    if (!hooks_.serves(item.key, held->second)) {
      left_.insert(StartName(item.key, held->second));
    }
    if (hooks_.is_calm() && grace.count() == 0 && !IsDraining(held->second) &&
        hooks_.serves(item.key, held->second)) {
      hooks_.broken("dropped: " + item.key);
    }
    return;
  }
  const auto decoded = adapter_.decoder->Decode(item);
  const auto* const entry = std::get_if<mesh::upstream>(&decoded);
  if (entry == nullptr) return;
  fleet_.directory.Put(*entry, loop_.Now());
  const std::string start = StartName(item.key, item.value);
  if (entry->draining) {
    left_.insert(start);
  } else if (left_.count(start) != 0 && !hooks_.serves(item.key, item.value)) {
    hooks_.returned(item.key);
  }
}

bool model_daemon::IsUsed(const std::string& key) const {
  const auto found = items_.find(key);
  return found != items_.end() && !IsDraining(found->second);
}

void model_daemon::ReadPage(source_area area, const std::string& after,
                            node::read_consistency quality,
                            core::duration timeout, source_handler done) {
  hooks_.read_page(area, after, quality == node::read_consistency::kAllowStale,
                   timeout, std::move(done));
}

void model_daemon::Watch(source_area area, std::uint64_t revision,
                         core::duration wait, core::duration timeout,
                         source_handler done) {
  hooks_.watch(area, revision, wait, timeout, std::move(done));
}

void model_daemon::Ask(const std::string& peer, const std::string& target,
                       core::duration timeout, peer_handler done) {
  hooks_.ask(peer, target, timeout, std::move(done));
}

}  // namespace pimentohall::testing
