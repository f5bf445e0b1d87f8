#include "mirror_model/model.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "mirror_model/documents.h"
#include "mirror_model/model_daemon.h"
#include "mirror_model/model_source.h"
#include "node/carry_rules.h"

namespace pimentohall::testing {
namespace {

using core::duration;
using core::instant;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Time bounds of the deployments.
constexpr duration kApplyBound = seconds(2);
constexpr duration kCalm = seconds(3);
constexpr duration kWarmUp = seconds(4);
constexpr duration kActive = seconds(25);
// Exceeds the time for which lost changes are carried.
constexpr duration kQuiet = seconds(18);
constexpr duration kCheckPeriod = milliseconds(250);
// Each area is called at most every 0.1 s after a failure; twice that.
constexpr int kCallsPerDaemonAndSecond = 40;
// Upstreams make a change that the source lost again within this time, and so
// do operators, unless they are slow: these take longer for each change.
constexpr int kMaxRewriteMs = 1500;
constexpr int kMinSlowRewriteMs = 3000;
constexpr int kMaxSlowRewriteMs = 30000;
constexpr int kUpstreams = 6;
// Until a daemon that follows others ends a carried removal.
constexpr duration kMaxCarried = node::kRewriteTime + milliseconds(3400);
constexpr std::size_t kLargeConfig = 9000;
constexpr std::size_t kMaxViolations = 20;
constexpr char kConfigKey[] = "op/config";

struct member {
  std::string address;
  std::uint32_t boot = 0;
  std::unique_ptr<model_daemon> daemon;  // Null: it's down.
  std::optional<instant> paused_until;
  bool cut_from_source = false;
  bool cut_from_peers = false;
  instant disturbed_until{};
};

struct wanted {
  std::optional<std::string> value;  // None: removed.
  instant changed_at{};
  // Lost at once, or followed by an older change that was made again; and not
  // made again itself yet.
  bool unseen = false;
};

class mirror_model {
 public:
  explicit mirror_model(const model_options& options)
      : options_(options),
        random_(options.seed),
        source_(events_, random_),
        upstreams_(kUpstreams) {
    if (options.hide_eras) source_.HideEras();
  }

  model_report Run() {
    WriteVersion();
    for (int i = 0; i < kUpstreams; ++i) StartUpstream(i);
    for (int i = 0; i < options_.daemons; ++i) {
      addresses_.push_back("10.0.0." + std::to_string(1 + i));
    }
    members_.resize(addresses_.size());
    for (std::size_t i = 0; i < members_.size(); ++i) {
      members_[i].address = addresses_[i];
      StartDaemon(i);
    }
    TakeCopies();
    CountCalls();
    RunFor(kWarmUp);
    ScheduleOperation();
    ScheduleCheck();
    RunFor(kActive);
    active_ = false;
    Mend();
    RunFor(kQuiet);
    RunFor(RewriteTime());
    CheckEqual();
    report_.source_calls = source_.Calls();
    return std::move(report_);
  }

 private:
  // -------------------------------------------------------------------------
  // Time.

  void RunFor(duration time) {
    const instant end = events_.now + time;
    for (;;) {
      std::optional<instant> next = events_.NextDue();
      model_daemon* due = nullptr;
      for (const member& each : members_) {
        if (each.daemon == nullptr || each.paused_until) continue;
        const auto at = each.daemon->NextDue();
        if (at && (!next || *at < *next)) {
          next = at;
          due = each.daemon.get();
        }
      }
      if (!next || *next > end) break;
      if (due == nullptr) {
        events_.RunNext();
      } else {
        events_.now = std::max(events_.now, *next);
        due->RunDue();
      }
    }
    events_.now = end;
  }
  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  bool Chance(int percent) { return Draw(0, 99) < percent; }
  milliseconds DrawMs(int least, int most) {
    return milliseconds(Draw(least, most));
  }
  duration LinkDelay() { return microseconds(Draw(200, 3000)); }

  void Note(const std::string& what) const {
    if (!options_.trace) return;
    const auto at = (events_.now - began_) / milliseconds(1);
    std::fprintf(stderr, "%6d ms %s\n", static_cast<int>(at), what.c_str());
  }
  void Violation(const std::string& what) {
    Note("VIOLATION " + what);
    if (report_.violations.size() >= kMaxViolations) return;
    const auto at = (events_.now - began_) / milliseconds(1);
    report_.violations.push_back(std::to_string(at) + " ms: " + what);
  }
  // The source's and a daemon's disturbances.
  void Disturb(duration time) {
    one_before_last_disturbance_ = last_disturbance_;
    last_disturbance_ = events_.now + time;
    calm_at_ = std::max(calm_at_, events_.now + time + kCalm);
  }
  void Disturb(member* at, duration time) {
    at->disturbed_until =
        std::max(at->disturbed_until, events_.now + time + kCalm);
  }

  // -------------------------------------------------------------------------
  // Daemons and the network.

  // Runs `run` at this start of a daemon, when it isn't paused.
  void Deliver(std::size_t to, std::uint32_t boot,
               const std::function<void(model_daemon*)>& run) {
    const member& at = members_[to];
    if (at.daemon == nullptr || at.boot != boot) return;
    if (!at.paused_until) {
      run(at.daemon.get());
      return;
    }
    events_.After(*at.paused_until - events_.now + milliseconds(1),
                  [this, to, boot, run] { Deliver(to, boot, run); });
  }

  // A call to the source that fails if it isn't answered in time.
  model_source::handler Guard(std::size_t caller, duration timeout,
                              const model_source::handler& done) {
    const std::uint32_t boot = members_[caller].boot;
    auto ended = std::make_shared<bool>(false);
    const auto end = [this, caller, boot, ended,
                      done](const model_source::page& answer) {
      if (*ended) return;
      Deliver(caller, boot, [ended, done, answer](model_daemon*) {
        if (std::exchange(*ended, true)) return;
        done(answer);
      });
    };
    events_.After(timeout, [end] {
      end(tl::unexpected(node::source_problem::kUnreachable));
    });
    return [this, caller, end](const model_source::page& answer) {
      if (!members_[caller].cut_from_source) end(answer);
    };
  }

  void Ask(std::size_t caller, const std::string& peer,
           const std::string& target, duration timeout,
           const node::peer_transport::handler& done) {
    const std::uint32_t boot = members_[caller].boot;
    auto ended = std::make_shared<bool>(false);
    const auto end = [this, caller, boot, ended,
                      done](const std::optional<std::string>& answer) {
      Deliver(caller, boot, [ended, done, answer](model_daemon*) {
        if (!std::exchange(*ended, true)) done(answer);
      });
    };
    events_.After(timeout, [end] { end(std::nullopt); });
    const std::size_t to = IndexOf(peer);
    Note(addresses_[caller] + " asks " + peer + " for " + target);
    if (AreCut(caller, to) || Chance(2)) return;
    events_.After(LinkDelay(), [this, to, target, end] {
      Deliver(to, members_[to].boot, [this, target, end](model_daemon* asked) {
        events_.After(LinkDelay(),
                      [end, bytes = asked->Answer(target)] { end(bytes); });
      });
    });
  }

  std::size_t IndexOf(const std::string& address) const {
    return static_cast<std::size_t>(
        std::find(addresses_.begin(), addresses_.end(), address) -
        addresses_.begin());
  }
  bool AreCut(std::size_t a, std::size_t b) const {
    return members_[a].cut_from_peers || members_[b].cut_from_peers;
  }

  void SendNews(std::size_t from, const std::string& peer,
                const mesh::peer_news& news) {
    const std::size_t to = IndexOf(peer);
    if (AreCut(from, to) || Chance(3)) return;
    events_.After(LinkDelay(), [this, to, news] {
      Deliver(to, members_[to].boot,
              [news](model_daemon* heard) { heard->OnNews(news); });
    });
  }

  void StartDaemon(std::size_t index) {
    member& at = members_[index];
    at.boot = ++boots_;
    at.paused_until.reset();
    model_daemon::hooks hooks;
    hooks.read_page = [this, index](node::source_area area,
                                    const std::string& after, bool stale,
                                    duration timeout,
                                    const model_source::handler& done) {
      const auto guarded = Guard(index, timeout, done);
      if (members_[index].cut_from_source) return;
      source_.ReadPage(area, after, stale, guarded);
    };
    hooks.watch = [this, index](node::source_area area, std::uint64_t revision,
                                duration wait, duration timeout,
                                const model_source::handler& done) {
      const auto guarded = Guard(index, timeout, done);
      if (members_[index].cut_from_source) return;
      source_.Watch(area, revision, wait, guarded);
    };
    hooks.ask = [this, index](const std::string& peer,
                              const std::string& target, duration timeout,
                              const node::peer_transport::handler& done) {
      Ask(index, peer, target, timeout, done);
    };
    hooks.news = [this, index](const std::string& peer,
                               const mesh::peer_news& news) {
      SendNews(index, peer, news);
    };
    hooks.broken = [this, index](const std::string& what) {
      Violation(what + " at " + addresses_[index]);
    };
    // One answer may hold both an upstream's entry and its removal.
    hooks.returned = [this, index, boot = at.boot](const std::string& key) {
      events_.After(milliseconds(1), [this, index, boot, key] {
        const member& in = members_[index];
        if (in.daemon == nullptr || in.boot != boot) return;
        if (in.daemon->IsUsed(key) && !wanted_[key].value) {
          Violation("returned: " + key + " at " + in.address);
        }
      });
    };
    hooks.note = [this, index](const std::string& what) {
      Note(addresses_[index] + ": " + what);
    };
    hooks.is_calm = [this, index] { return IsCalm(members_[index]); };
    hooks.serves = [this](const std::string& key, const std::string& value) {
      const auto found = wanted_.find(key);
      return found != wanted_.end() && found->second.value &&
             IsReady(*found->second.value) &&
             StartName(key, *found->second.value) == StartName(key, value);
    };
    at.daemon = std::make_unique<model_daemon>(events_, at.address, at.boot,
                                               addresses_, std::move(hooks));
    at.daemon->Start();
    Disturb(&at, {});
  }

  // The machine is calm, and the source at most came back once of late: what it
  // lost is then made again in time.
  bool IsCalm(const member& at) const {
    return events_.now > at.disturbed_until &&
           events_.now > one_before_last_disturbance_ + seconds(5);
  }

  static bool IsReady(const std::string& value) {
    return value.find("\"ready\"") != std::string::npos;
  }

  // -------------------------------------------------------------------------
  // What operators and upstreams make.

  void Write(const std::string& key, const std::optional<std::string>& value) {
    wanted_[key] = {value, events_.now};
    Note("wanted: " + key + " " + value.value_or("removed").substr(0, 200));
    WriteAgain(key);
  }
  // Makes a change that the source lost again.
  void WriteAgain(const std::string& key) {
    if (is_away_) {
      events_.After(DrawMs(50, 400), [this, key] { WriteAgain(key); });
      return;
    }
    const std::string* const held = source_.Find(key);
    const auto& value = wanted_[key].value;
    if (!value) {
      source_.Remove(key);
    } else if (held == nullptr || *held != *value) {
      source_.Put(key, *value);
    }
  }

  struct upstream_state {
    int starts = 0;
    int reports = 0;
    std::string key;
    bool listed = false;
    bool draining = false;
  };

  void PutEntry(upstream_state* at) {
    Write(at->key,
          EntryDocument(++at->reports, at->draining ? "draining" : "ready",
                        1000 + static_cast<std::uint64_t>(at->starts)));
  }
  void StartUpstream(int index) {
    upstream_state& at = upstreams_[static_cast<std::size_t>(index)];
    ++at.starts;
    // A start may have the id of the one before.
    if (at.key.empty() || Chance(70)) {
      at.key =
          "servers/u" + std::to_string(index) + "-" + std::to_string(at.starts);
    }
    at.reports = 0;
    at.listed = true;
    at.draining = false;
    PutEntry(&at);
  }
  void ChangeUpstream() {
    const int index = Draw(0, kUpstreams - 1);
    upstream_state& at = upstreams_[static_cast<std::size_t>(index)];
    if (!at.listed) {
      StartUpstream(index);
    } else if (!at.draining && Chance(50)) {
      at.draining = true;
      PutEntry(&at);
    } else {
      at.listed = false;
      Write(at.key, std::nullopt);
    }
  }
  // What operators write, in order. What the source has lost of it is written
  // again before anything new.
  struct operator_write {
    std::string key;
    std::optional<std::string> value;  // None: a removal.
    instant written_at{};              // The last time.
    bool is_new = true;                // Not acknowledged yet.
  };
  void Operate(const std::string& key,
               const std::optional<std::string>& value) {
    writes_.push_back({key, value});
    if (writes_in_source_ + 1 == writes_.size()) WriteNext();
  }
  void WriteNext() {
    if (writes_in_source_ == writes_.size()) return;
    if (is_away_) {
      ScheduleNextWrite(DrawMs(50, 400));
      return;
    }
    operator_write& next = writes_[writes_in_source_++];
    if (std::exchange(next.is_new, false)) {
      wanted_[next.key] = {next.value, events_.now};
    }
    Note("operator writes " + next.key + " " +
         next.value.value_or("removed").substr(0, 60));
    if (next.value) {
      source_.Put(next.key, *next.value);
    } else {
      source_.Remove(next.key);
    }
    next.written_at = events_.now;
    wanted& shown = wanted_[next.key];
    // An older evacuation, or its end, that is made again is in force
    // meanwhile. An older configuration isn't.
    if (next.key != kConfigKey && shown.value != next.value) {
      shown.unseen = true;
    }
    if (shown.value == next.value && std::exchange(shown.unseen, false)) {
      shown.changed_at = events_.now;
    }
    ScheduleNextWrite(OperatorPace());
  }
  void ScheduleNextWrite(duration wait) {
    events_.After(wait, [this, run = ++write_schedule_] {
      if (run == write_schedule_) WriteNext();
    });
  }
  // What they wrote after the source's copy was taken.
  void LoseOperatorWrites(instant taken_at) {
    while (writes_in_source_ > 0 &&
           writes_[writes_in_source_ - 1].written_at > taken_at) {
      const operator_write& lost = writes_[--writes_in_source_];
      // No daemon need have got it before it was lost.
      if (events_.now - lost.written_at < kApplyBound) {
        wanted_[lost.key].unseen = true;
      }
    }
    ScheduleNextWrite(OperatorPace());
  }
  void WriteVersion() {
    last_version_ += Draw(1, 3);
    Operate(kConfigKey, ConfigDocument(last_version_, kLargeConfig));
  }
  // Pause before the next change that operators make again.
  duration OperatorPace() {
    return options_.slow_operators
               ? DrawMs(kMinSlowRewriteMs, kMaxSlowRewriteMs)
               : DrawMs(100, kMaxRewriteMs);
  }
  // Until operators have made all lost changes again.
  duration RewriteTime() const {
    return (writes_.size() - writes_in_source_ + 1) *
           milliseconds(options_.slow_operators ? kMaxSlowRewriteMs
                                                : kMaxRewriteMs);
  }
  static bool IsOfOperators(const std::string& key) {
    return key.rfind("op/", 0) == 0;
  }
  void ChangeEvacuation() {
    const std::string key = "op/evacuate/z" + std::to_string(Draw(0, 1));
    const bool is_out = !zones_out_.insert(key).second;
    if (is_out) zones_out_.erase(key);
    Operate(key, is_out ? std::nullopt : std::optional<std::string>("{}"));
  }
  void WriteOthers() {
    const int count = Draw(1, 30);
    for (int i = 0; i < count; ++i) {
      source_.Put("else/" + std::to_string(i), "x");
    }
  }

  // -------------------------------------------------------------------------
  // Faults.

  void GoAway(duration time) {
    if (is_away_) return;
    is_away_ = true;
    Note("source is away for " + std::to_string(time / milliseconds(1)) +
         " ms");
    source_.SetMode(Chance(50) ? model_source::mode::kRefusing
                               : model_source::mode::kSilent);
    Disturb(time);
    events_.After(time, [this] {
      is_away_ = false;
      source_.SetMode(model_source::mode::kServing);
    });
  }
  void ComeBackOlder() {
    if (is_away_ || !options_.eras) return;
    const milliseconds away = DrawMs(0, 500);
    GoAway(away);
    // Before the source serves again.
    events_.After(away, [this] {
      const milliseconds age = DrawMs(200, 5000);
      const instant taken_at = source_.Restore(age);
      Note("source is back as " + std::to_string(age.count()) + " ms ago, at " +
           std::to_string(source_.Revision()));
      ++report_.returns;
      LoseOperatorWrites(taken_at);
      for (const auto& [key, change] : wanted_) {
        if (IsOfOperators(key)) continue;
        const std::string* const held = source_.Find(key);
        const bool same =
            held == nullptr ? !change.value : change.value == *held;
        if (same) continue;
        events_.After(DrawMs(100, kMaxRewriteMs),
                      [this, key = key] { WriteAgain(key); });
      }
    });
  }
  // Nobody knows what the source has lost once all daemons are down.
  void ForgetIfAllAreDown() {
    for (const member& each : members_) {
      if (each.daemon != nullptr) return;
    }
    for (std::size_t i = writes_in_source_; i < writes_.size(); ++i) {
      if (!writes_[i].is_new) wanted_[writes_[i].key].unseen = true;
    }
  }
  void Kill(std::size_t index) {
    member& at = members_[index];
    if (at.daemon == nullptr) return;
    Note("kill " + at.address);
    at.daemon.reset();
    ForgetIfAllAreDown();
    const milliseconds down = DrawMs(20, 800);
    Disturb(&at, down);
    events_.After(down, [this, index] {
      if (members_[index].daemon == nullptr) StartDaemon(index);
    });
  }
  void Pause(std::size_t index) {
    member& at = members_[index];
    if (at.daemon == nullptr || at.paused_until) return;
    const milliseconds time = DrawMs(200, 4000);
    at.paused_until = events_.now + time;
    Note("pause " + at.address + " for " + std::to_string(time.count()));
    Disturb(&at, time);
    events_.After(time, [this, index, boot = at.boot] {
      if (members_[index].boot == boot) members_[index].paused_until.reset();
    });
  }
  void Cut(std::size_t index) {
    member& at = members_[index];
    const milliseconds time = DrawMs(300, 8000);
    at.cut_from_source = Chance(80);
    at.cut_from_peers = Chance(40);
    Note("cut " + at.address + " for " + std::to_string(time.count()) +
         (at.cut_from_source ? " from the source" : "") +
         (at.cut_from_peers ? " from peers" : ""));
    Disturb(&at, time);
    events_.After(time, [this, index] {
      members_[index].cut_from_source = false;
      members_[index].cut_from_peers = false;
    });
  }
  void Mend() {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      members_[i].cut_from_source = false;
      members_[i].cut_from_peers = false;
    }
  }

  std::size_t DrawMember() {
    return static_cast<std::size_t>(
        Draw(0, static_cast<int>(members_.size()) - 1));
  }
  void KillSome() {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (Chance(60)) Kill(i);
    }
  }

  void ScheduleOperation() {
    events_.After(DrawMs(50, 700), [this] {
      if (!active_) return;
      Operate(Draw(0, 19));
      ScheduleOperation();
    });
  }
  void Operate(int which) {
    if (which < 5) {
      ChangeUpstream();
    } else if (which < 8) {
      WriteVersion();
    } else if (which < 9) {
      ChangeEvacuation();
    } else if (which < 11) {
      if (!is_away_) WriteOthers();
    } else if (which < 14) {
      ComeBackOlder();
    } else if (which < 15) {
      GoAway(DrawMs(100, 2500));
    } else if (which < 16) {
      Disturb({});
      source_.Compact();
    } else if (which < 17) {
      Kill(DrawMember());
    } else if (which < 18) {
      Pause(DrawMember());
    } else if (which < 19) {
      Cut(DrawMember());
    } else {
      KillSome();
    }
  }

  // -------------------------------------------------------------------------
  // Checks.

  void TakeCopies() {
    if (!is_away_) source_.TakeCopy();
    events_.After(milliseconds(100), [this] { TakeCopies(); });
  }

  void CountCalls() {
    const int before = source_.Calls();
    events_.After(seconds(1), [this, before] {
      const int calls = source_.Calls() - before;
      if (calls > options_.daemons * kCallsPerDaemonAndSecond) {
        Violation("flooded: " + std::to_string(calls) + " calls in a second");
      }
      CountCalls();
    });
  }

  void ScheduleCheck() {
    events_.After(kCheckPeriod, [this] {
      for (const member& each : members_) CheckInTime(each);
      ScheduleCheck();
    });
  }

  void CheckInTime(const member& at) {
    if (at.daemon == nullptr || at.paused_until || is_away_) return;
    const instant calm = std::max(calm_at_, at.disturbed_until);
    for (const auto& [key, change] : wanted_) {
      if (change.unseen) continue;
      duration bound = kApplyBound;
      // An upstream that was missing in one era counts as gone for a time if a
      // later one shows the entry again unchanged.
      if (change.value && IsReady(*change.value)) bound += kMaxCarried;
      if (events_.now <= std::max(calm, change.changed_at) + bound) continue;
      if (!Holds(*at.daemon, key, change) &&
          reported_.insert(at.address + key).second) {
        Violation("late: " + key + " at " + at.address);
      }
    }
  }

  bool Holds(const model_daemon& daemon, const std::string& key,
             const wanted& change) const {
    if (key == kConfigKey) {
      return daemon.Items().at(key) == *change.value;
    }
    if (key.rfind("servers/", 0) == 0) {
      return daemon.IsUsed(key) == (change.value && IsReady(*change.value));
    }
    return (daemon.Items().count(key) != 0) == change.value.has_value();
  }

  void CheckEqual() {
    std::map<std::string, std::string> expected;
    for (const auto& [key, item] : source_.Items()) {
      if (key.rfind("else/", 0) != 0) expected[key] = item.value;
    }
    for (const member& each : members_) {
      if (each.daemon == nullptr) continue;
      if (each.daemon->Items() != expected) {
        Violation("differs: " + each.address);
      }
      for (const node::source_area area : node::kSourceAreas) {
        if (each.daemon->Mirror().Carried(area) != 0) {
          Violation("differs: carried changes at " + each.address);
        }
      }
    }
  }

  const model_options options_;
  std::mt19937_64 random_;
  schedule events_;
  const instant began_ = events_.now;
  model_report report_;
  model_source source_;
  bool is_away_ = false;
  bool active_ = true;
  std::vector<operator_write> writes_;
  std::size_t writes_in_source_ = 0;
  int write_schedule_ = 0;
  int last_version_ = 0;
  std::set<std::string> zones_out_;  // Once all is written.
  std::uint32_t boots_ = 0;
  std::vector<upstream_state> upstreams_;
  std::map<std::string, wanted> wanted_;
  std::vector<std::string> addresses_;
  std::vector<member> members_;
  instant calm_at_{};
  instant last_disturbance_{};  // Of the source.
  instant one_before_last_disturbance_{};
  std::set<std::string> reported_;
};

}  // namespace

model_report RunMirrorModel(const model_options& options) {
  return mirror_model(options).Run();
}

}  // namespace pimentohall::testing
