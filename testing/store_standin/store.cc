#include "store_standin/store.h"

#include <openssl/evp.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "http_standin/http_server.h"

namespace pimentohall::testing {
namespace {

using nlohmann::json;

std::string EncodeBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string Value(const std::map<std::string, std::string>& query,
                  const char* name) {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

}  // namespace

store_standin::store_standin(event_base* base)
    : base_(base), http_(evhttp_new(base)) {
  evhttp_bound_socket* const bound =
      evhttp_bind_socket_with_handle(http_, "127.0.0.1", 0);
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(bound),
              reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  evhttp_set_gencb(http_, &store_standin::OnRequest, this);
}

store_standin::~store_standin() {
  for (watch* each : watches_) {
    event_free(each->timer);
    delete each;
  }
  evhttp_free(http_);
}

std::uint64_t store_standin::Put(const std::string& key,
                                 const std::string& value) {
  item& at = items_[key];
  at.value = value;
  at.revision = ++revision_;
  if (at.created == 0) at.created = revision_;
  history_.push_back({key, revision_, false, at});
  Notify();
  return revision_;
}

void store_standin::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back({key, ++revision_, true, {}});
  Notify();
}

std::optional<std::string> store_standin::Find(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end()) return std::nullopt;
  return found->second.value;
}

void store_standin::Compact() {
  history_.clear();
  oldest_ = revision_;
  for (watch* each : watches_) Finish(each, true);
  watches_.clear();
}

void store_standin::SetMode(store_mode mode) { mode_ = mode; }

std::shared_ptr<const store_standin::copy> store_standin::Copy() const {
  return std::make_shared<copy>(copy{revision_, oldest_, items_, history_});
}

void store_standin::Restore(const copy& from) {
  CutWatches();
  revision_ = from.revision;
  oldest_ = from.oldest;
  items_ = from.items;
  history_ = from.history;
  if (era_) ++*era_;
}

void store_standin::CutWatches() {
  for (watch* each : std::exchange(watches_, {})) {
    event_free(each->timer);
    evhttp_connection_free(evhttp_request_get_connection(each->request));
    delete each;
  }
}

void store_standin::Answer(evhttp_request* request, int status,
                           const std::string& body) {
  if (era_) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era",
                      std::to_string(*era_).c_str());
  }
  Reply(request, status, body);
}

void store_standin::OnRequest(evhttp_request* request, void* self) {
  static_cast<store_standin*>(self)->Serve(request);
}

void store_standin::Serve(evhttp_request* request) {
  ++calls_;
  switch (mode_) {
    case store_mode::kBusy:
      Answer(request, 503, "{}");
      return;
    case store_mode::kLimited:
      Answer(request, 429, "{}");
      return;
    case store_mode::kSilent:
      return;
    case store_mode::kGarbage:
      Answer(request, 200, "{\"items\":[{\"key\":7}],\"events\":3}");
      return;
    case store_mode::kServing:
      break;
  }
  const std::string path = Path(request);
  const auto query = Query(request);
  const std::string prefix = Value(query, "prefix");
  const std::string after = Value(query, "after");
  if (path == "/api/kv-range") {
    ServeRange(request, prefix, after, Value(query, "allowStale") == "1");
  } else if (path == "/api/kv-watch") {
    ServeWatch(request, prefix, std::stoull("0" + after),
               std::stoi("0" + Value(query, "waitMs")));
  } else {
    Answer(request, 404, "{}");
  }
}

void store_standin::ServeRange(evhttp_request* request,
                               const std::string& prefix,
                               const std::string& after, bool may_lag) {
  json items = json::array();
  bool truncated = false;
  const auto& held = may_lag && lagging_ ? *lagging_ : items_;
  for (const auto& [key, at] : held) {
    if (!StartsWith(key, prefix) || (!after.empty() && key <= after)) continue;
    if (items.size() == page_size_) {
      truncated = true;
      break;
    }
    items.push_back({{"key", key},
                     {"value", EncodeBase64(at.value)},
                     {"revision", at.revision},
                     {"createRevision", at.created},
                     {"lease", 0}});
  }
  Answer(request, 200,
         json{{"items", items}, {"truncated", truncated}, {"asOf", revision_}}
             .dump());
}

void store_standin::ServeWatch(evhttp_request* request,
                               const std::string& prefix, std::uint64_t after,
                               int wait_ms) {
  if (after < oldest_ || after > revision_) {
    Answer(request, 410, "{}");
    return;
  }
  auto* const added = new watch{request, prefix, after, nullptr, this};
  added->timer = evtimer_new(base_, &store_standin::OnWatchTime, added);
  if (Finish(added, false)) return;
  const timeval wait = {wait_ms / 1000, wait_ms % 1000 * 1000};
  evtimer_add(added->timer, &wait);
  watches_.push_back(added);
}

bool store_standin::Finish(watch* which, bool time_over) {
  json events = json::array();
  for (const change& each : history_) {
    if (each.revision <= which->after || !StartsWith(each.key, which->prefix)) {
      continue;
    }
    json event = {{"key", each.key}, {"revision", each.revision}};
    if (each.removed) {
      event["removed"] = true;
    } else {
      event["value"] = EncodeBase64(each.what.value);
      event["createRevision"] = each.what.created;
      event["lease"] = 0;
    }
    events.push_back(std::move(event));
  }
  if (events.empty() && !time_over) return false;
  Answer(which->request, 200,
         json{{"events", events}, {"asOf", revision_}}.dump());
  event_free(which->timer);
  delete which;
  return true;
}

void store_standin::Notify() {
  if (mode_ != store_mode::kServing) return;
  watches_.erase(
      std::remove_if(watches_.begin(), watches_.end(),
                     [this](watch* each) { return Finish(each, false); }),
      watches_.end());
}

void store_standin::OnWatchTime(evutil_socket_t, short, void* which) {
  auto* const ended = static_cast<watch*>(which);
  store_standin* const store = ended->store;
  if (store->mode_ == store_mode::kSilent) return;
  store->watches_.erase(
      std::find(store->watches_.begin(), store->watches_.end(), ended));
  store->Finish(ended, true);
}

}  // namespace pimentohall::testing
