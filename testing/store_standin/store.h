#ifndef PIMENTOHALL_TESTING_STORE_STANDIN_STORE_H_
#define PIMENTOHALL_TESTING_STORE_STANDIN_STORE_H_

// A stand-in of the platform's metadata store on the caller's event loop: keys,
// ranges with pages, watches, and the ways in which it fails.
//
//   store_standin store(loop.Base());
//   store.Put("op/config", bytes);
//   store.SetMode(store_mode::kSilent);

#include <event2/event.h>
#include <event2/http.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentohall::testing {

enum class store_mode {
  kServing,
  kBusy,     // 503 to every call.
  kLimited,  // 429 to every call.
  kSilent,   // Takes calls and never answers.
  kGarbage,  // Answers what isn't the store's format.
};

class store_standin {
 public:
  explicit store_standin(event_base* base);
  ~store_standin();
  store_standin(const store_standin&) = delete;
  store_standin& operator=(const store_standin&) = delete;

  int Port() const { return port_; }
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Drops the history; waiting watches are cut.
  void Compact();
  void SetMode(store_mode mode);

  // Everything that the store holds at one moment.
  struct copy;
  std::shared_ptr<const copy> Copy() const;
  // The store comes back from an older copy: what was written since is gone,
  // and its revisions are given out again. Waiting watches are cut, and watches
  // from a revision that the copy doesn't have get 410.
  void Restore(const copy& from);
  // All answers tell the era, which rises with each `Restore`. Without a call
  // of this, none does.
  void SetEra(std::uint64_t era) { era_ = era; }
  std::uint64_t Revision() const { return revision_; }
  // The value of a key; none: the store doesn't hold it.
  std::optional<std::string> Find(const std::string& key) const;
  // Reads that may lag get the items as they are now, from now on.
  void FreezeLaggingReads() { lagging_ = items_; }
  void SetPageSize(std::size_t items) { page_size_ = items; }
  int Calls() const { return calls_; }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct change {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    item what;
  };
  struct watch {
    evhttp_request* request = nullptr;
    std::string prefix;
    std::uint64_t after = 0;
    event* timer = nullptr;
    store_standin* store = nullptr;
  };

  static void OnRequest(evhttp_request* request, void* self);
  static void OnWatchTime(evutil_socket_t, short, void* which);
  void Serve(evhttp_request* request);
  void ServeRange(evhttp_request* request, const std::string& prefix,
                  const std::string& after, bool may_lag);
  void ServeWatch(evhttp_request* request, const std::string& prefix,
                  std::uint64_t after, int wait_ms);
  // Answers the watch if it has events, or if its time is over.
  bool Finish(watch* which, bool time_over);
  void Notify();
  void CutWatches();
  void Answer(evhttp_request* request, int status, const std::string& body);

  event_base* base_;
  evhttp* http_;
  int port_ = 0;
  store_mode mode_ = store_mode::kServing;
  std::size_t page_size_ = 500;
  std::uint64_t revision_ = 100;
  std::uint64_t oldest_ = 100;        // Changes after this are held.
  std::optional<std::uint64_t> era_;  // None: answers don't tell.
  int calls_ = 0;
  std::map<std::string, item> items_;
  std::optional<std::map<std::string, item>> lagging_;
  std::vector<change> history_;
  std::vector<watch*> watches_;
};

struct store_standin::copy {
  std::uint64_t revision = 0;
  std::uint64_t oldest = 0;
  std::map<std::string, item> items;
  std::vector<change> history;
};

}  // namespace pimentohall::testing

#endif  // PIMENTOHALL_TESTING_STORE_STANDIN_STORE_H_
