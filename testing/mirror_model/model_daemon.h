#ifndef PIMENTOHALL_TESTING_MIRROR_MODEL_MODEL_DAEMON_H_
#define PIMENTOHALL_TESTING_MIRROR_MODEL_MODEL_DAEMON_H_

// One start of a daemon: the real mirror, follower and peer table, with the
// calls to the source and to peers handed to the model.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "mirror_model/schedule.h"
#include "node/peer_follower.h"
#include "node/source_mirror.h"
#include "platform/platform.h"

namespace pimentohall::testing {

class model_daemon : public node::source_reader, public node::peer_transport {
 public:
  using source_handler = node::source_reader::handler;
  using peer_handler = node::peer_transport::handler;

  // What the model does for a daemon.
  struct hooks {
    std::function<void(node::source_area, const std::string& after, bool stale,
                       core::duration timeout, source_handler)>
        read_page;
    std::function<void(node::source_area, std::uint64_t revision,
                       core::duration wait, core::duration timeout,
                       source_handler)>
        watch;
    std::function<void(const std::string& peer, const std::string& target,
                       core::duration timeout, peer_handler)>
        ask;
    std::function<void(const std::string& peer, const mesh::peer_news&)> news;
    std::function<void(const std::string& what)> broken;
    // An upstream whose leaving was in force is in use.
    std::function<void(const std::string& key)> returned;
    std::function<void(const std::string& what)> note;
    // Whether what the source has lost of late is made again in time.
    std::function<bool()> is_calm;
    // Whether this start of an upstream serves on.
    std::function<bool(const std::string& key, const std::string& value)>
        serves;
  };
  model_daemon(schedule& events, const std::string& address, std::uint32_t boot,
               std::vector<std::string> addresses, hooks used);
  ~model_daemon() override;

  void Start() { mirror_.Start(); }
  // Runs due timers and what they posted.
  void RunDue();
  std::optional<core::instant> NextDue() const { return timers_.NextDue(); }
  void OnNews(const mesh::peer_news& news);
  std::string Answer(const std::string& target) {
    return follower_.Answer(target);
  }

  // What is in force.
  std::uint64_t Version() const { return version_; }
  const std::map<std::string, std::string>& Items() const { return items_; }
  bool IsUsed(const std::string& key) const;
  const node::source_mirror& Mirror() const { return mirror_; }
  core::instant StartedAt() const { return fleet_.started_at; }

  void ReadPage(node::source_area area, const std::string& after,
                node::read_consistency quality, core::duration timeout,
                source_handler done) override;
  void Watch(node::source_area area, std::uint64_t revision,
             core::duration wait, core::duration timeout,
             source_handler done) override;
  void Ask(const std::string& peer, const std::string& target,
           core::duration timeout, peer_handler done) override;

 private:
  void OnItem(const node::source_mirror::item_change& change);
  void OnUpstream(const node::source_item& item, core::duration grace);
  void SendNews();
  void RunMaintenance();

  const hooks hooks_;
  const std::vector<std::string> addresses_;
  net::event_loop loop_;
  net::timer_service timers_;
  node::adapter adapter_;
  node::fleet_state fleet_;
  node::source_mirror mirror_;
  node::peer_follower follower_;
  std::uint64_t sequence_ = 0;
  std::uint64_t version_ = 0;
  std::map<std::string, std::string> items_;
  // Starts of upstreams (their values without state) that were seen to leave.
  std::set<std::string> left_;
};

// Names one start of an upstream: its key and when it was born.
std::string StartName(const std::string& key, const std::string& value);

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_MIRROR_MODEL_MODEL_DAEMON_H_
