// Invariants: a call is started at most once at an upstream; every caller's
// call ends exactly once.

#include "load_model/model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace pimentohall::testing {
namespace {

using core::duration;
using core::instant;

constexpr instant kStart{std::chrono::seconds(1000)};
constexpr int kZones = 3;
constexpr double kLinkMs = 1;
constexpr double kHeadBytes = 500;
constexpr int kMaxRefusals = 4;
constexpr int kMaxWaits = 4;  // As the ingress, for upstreams in backoff.
constexpr double kUntriedWaitMs = 15;
constexpr int kWindowS = 2;
constexpr double kTickMs = 100;       // As the egress.
constexpr double kMostOfTime = 0.75;  // Of what an attempt has.

duration Ms(double ms) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}
double ToMs(duration of) {
  return std::chrono::duration<double, std::milli>(of).count();
}

class model {
 public:
  model(const load_pattern& pattern, std::uint64_t seed,
        const load_options& options)
      : pattern_(pattern), options_(options), random_(seed) {
    for (const load_class& each : pattern.classes) {
      by_name_[each.name] = &each;
      result_.classes[each.name];
    }
    for (std::size_t i = 0; i < pattern.upstreams.size(); ++i) {
      auto at = std::make_unique<upstream>();
      at->what = &pattern.upstreams[i];
      at->id = "u" + std::to_string(i);
      at->queue.SetOrder(options.order);
      at->is_updated = IsUpdated(i);
      DrawStalls(seed * 1000 + i, at.get());
      const double cold = at->what->cold_until_s;
      if (cold > 0) {
        const instant from = kStart + Ms(at->what->from_s * 1000);
        at->gate.SetRate(at->what->cold_per_s, false, from);
        at->gate.SetCold(kStart + Ms(cold * 1000), from);
      }
      upstreams_.push_back(std::move(at));
    }
    for (int i = 0; i < pattern.daemons; ++i) {
      pickers_.emplace_back(seed * 100 + static_cast<std::uint64_t>(i) + 1);
      pickers_.back().SetCostRouting(UsesReports());
    }
    budgets_.resize(pickers_.size());
    pacers_.resize(pickers_.size());
    gates_.resize(pickers_.size());
    if (pattern.uses_cost_routing) sent_costs_.resize(pickers_.size());
    nested_.resize(pickers_.size());
  }

  load_result Run() {
    for (const load_class& each : pattern_.classes) {
      if (each.per_s > 0) ScheduleArrival(&each);
    }
    ScheduleNews();
    Tick();
    if (pattern_.lost_until_s > 0) ScheduleLoss();
    const instant end = kStart + Ms(pattern_.length_s * 1000) + Ms(10000);
    while (!events_.empty() && events_.top().at <= end) {
      event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    return Summary();
  }

 private:
  struct event {
    instant at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct upstream;
  // One attempt of a caller, or of an upstream's own call.
  struct call {
    const load_class* kind = nullptr;
    int daemon = 0;
    instant first{};  // The caller's first attempt.
    instant budget_end{};
    instant deadline{};  // Of this attempt.
    instant aim_at{};
    duration spent{0};  // On earlier attempts, as the daemon estimates it.
    int retries_left = 0;
    bool patient = true;  // Honours Retry-After.
    bool nested = false;
    std::vector<std::string> tried;
    int refusals = 0;
    int waits = 0;
    duration retry_after{0};
    bool ended = false;
    upstream* at = nullptr;
    bool running = false;
    std::uint64_t id = 0;
    instant queued{};
    instant started{};
    // Of a nested call: tells the parent whether it was answered.
    std::function<void(bool)> done;
  };
  using call_ptr = std::shared_ptr<call>;
  struct upstream {
    const load_upstream* what = nullptr;
    std::string id;
    mesh::work_queue queue;
    mesh::warmup_gate gate;
    mesh::time_estimator times;
    sched::cost_predictor costs;
    double slowness = 1;
    sched::speed_mean usual_slowness;
    sched::call_tree tree;
    sched::nested_reserve reserve;
    sched::need_reporter reports;
    sched::upstream_monitor monitor;
    std::vector<std::pair<double, double>> stalls;  // Start and end, in ms.
    // Inside an upstream with a queue of its own: runs by call, and calls that
    // wait. The egress may have cancelled them.
    std::set<std::uint64_t> inside_running;
    std::deque<std::pair<std::uint64_t, std::function<void()>>> inside_waiting;
    bool is_updated = false;  // The daemon beside it.
    instant link_free_at{};
    std::map<std::uint64_t, call_ptr> waiting;
    std::map<std::uint64_t, call_ptr> running;
    instant wake = instant::max();
  };
  // What a daemon knows of the calls that runs make.
  struct nested_state {
    sched::need_table needs;
    sched::callee_gate gate;
  };
  struct window {
    double owed = 0;
    double earned = 0;
  };

  void At(double after_ms, std::function<void()> run) {
    events_.push({now_ + Ms(after_ms), ++order_, std::move(run)});
  }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  double AtS() const { return ToMs(now_ - kStart) / 1000; }

  // -------------------------------------------------------------------------
  // Callers.

  void ScheduleArrival(const load_class* kind) {
    const double rate = kind->per_s * pattern_.rate(*kind, AtS());
    const double gap = -std::log(1 - Uniform()) / std::max(0.1, rate);
    At(gap * 1000, [this, kind] {
      if (AtS() > pattern_.length_s) return;
      Arrive(kind);
      ScheduleArrival(kind);
    });
  }

  void Arrive(const load_class* kind) {
    auto first = std::make_shared<call>();
    first->kind = kind;
    first->first = now_;
    first->budget_end = now_ + Ms(kind->budget_ms);
    first->retries_left = kind->retries;
    first->patient = Uniform() >= pattern_.ignore_share;
    if (!first->patient) first->retries_left *= 3;
    ++result_.classes[kind->name].asked;
    windows_[WindowOf(now_)].owed += kind->worth;
    Attempt(first);
    if (Uniform() < pattern_.leave_share) {
      At(kind->aim_ms / 2, [this, first] { Leave(first); });
    }
  }

  bool IsUpdated(std::size_t daemon) const {
    return pattern_.nested_control &&
           (!pattern_.half_updated || daemon % 2 == 0);
  }

  static int WindowOf(instant at) {
    return static_cast<int>(ToMs(at - kStart) / 1000);
  }

  // A daemon of the zone where the call arrives.
  int DrawDaemon() {
    if (Uniform() < pattern_.first_zone_share) {
      return kZones * static_cast<int>(Uniform() * pattern_.daemons / kZones);
    }
    return static_cast<int>(Uniform() * pattern_.daemons);
  }

  void Attempt(const call_ptr& which) {
    which->daemon = DrawDaemon();
    wanted_bytes_ += which->kind->bytes;
    const duration limit = which->nested ? Ms(which->kind->budget_ms)
                                         : Ms(which->kind->timeout_ms);
    which->deadline = std::min(which->budget_end, now_ + limit);
    which->aim_at = now_ + Ms(which->kind->aim_ms);
    which->spent = duration{0};
    if (options_.aims_of_retries && !which->nested) {
      which->spent = budgets_[static_cast<std::size_t>(which->daemon)].Spent(
          which->kind->name, which->budget_end - now_, now_);
      which->aim_at -= which->spent;
    }
    which->tried.clear();
    which->refusals = 0;
    which->waits = 0;
    which->retry_after = duration{0};
    if (!which->nested && IsUpdated(static_cast<std::size_t>(which->daemon)) &&
        !CalleesHaveRoom(which)) {
      Unanswered(which, true);
      return;
    }
    TryNext(which);
  }

  bool CalleesHaveRoom(const call_ptr& which) {
    const auto daemon = static_cast<std::size_t>(which->daemon);
    const auto refusal = nested_[daemon].gate.FindRefusal(
        nested_[daemon].needs.Needs(which->kind->name, now_),
        [this, daemon](const std::string& service) {
          std::vector<mesh::target_picker::candidate> candidates;
          for (const auto& at : upstreams_) {
            if (at->what->service != service || !IsUp(*at)) continue;
            candidates.push_back({at->id, at->what->slots});
          }
          return pickers_[daemon].LeastWait(candidates, duration{0}, now_);
        },
        now_);
    if (refusal) {
      which->retry_after = std::min(*refusal, (which->deadline - now_) / 3);
    }
    return !refusal;
  }

  void Leave(const call_ptr& which) {
    if (which->ended) return;
    which->ended = true;
    auto& counts = result_.classes[which->kind->name];
    --counts.asked;  // It isn't owed any more.
    windows_[WindowOf(which->first)].owed -= which->kind->worth;
    if (which->at == nullptr) return;
    upstream* const at = which->at;
    at->queue.Remove(which->id);
    at->waiting.erase(which->id);
    if (EndRun(which, at)) Abandon(at);
  }

  // True if the call was running.
  bool EndRun(const call_ptr& which, upstream* at) {
    if (at->running.erase(which->id) == 0) return false;
    at->tree.OnRunEnded(which->id, now_);
    return true;
  }

  void Answered(const call_ptr& which) {
    if (which->ended) return;
    which->ended = true;
    if (which->done) {
      which->done(true);
      return;
    }
    const double took = ToMs(now_ - which->first);
    auto& counts = result_.classes[which->kind->name];
    const bool in_aim = took <= which->kind->aim_ms;
    ++(in_aim ? counts.in_aim : counts.late);
    const double worth =
        which->kind->worth * (in_aim ? 1 : which->kind->late_worth);
    windows_[WindowOf(which->first)].earned += worth;
  }

  // The attempt ended without an answer; `refused`: it certainly didn't run.
  void Unanswered(const call_ptr& which, bool refused) {
    if (which->ended) return;
    if (which->done) {
      which->ended = true;
      which->done(false);
      return;
    }
    if (refused) {
      refused_wait_ms_ += ToMs(now_ - which->first);
      ++refused_count_;
    }
    const duration left = which->budget_end - now_;
    const bool may_retry = which->retries_left > 0 && left > Ms(20) && refused;
    if (may_retry) {
      --which->retries_left;
      const duration wait = which->patient ? RetryAfter(*which) : Ms(5);
      At(std::max(1.0, ToMs(wait)), [this, which] {
        if (!which->ended) Attempt(which);
      });
      return;
    }
    which->ended = true;
    auto& counts = result_.classes[which->kind->name];
    ++(refused ? counts.refused : counts.failed);
  }

  duration RetryAfter(const call& which) {
    const duration left = which.budget_end - now_;
    const duration room_in = which.retry_after.count() > 0
                                 ? which.retry_after
                                 : Ms(pattern_.no_upstream_ms);
    if (!options_.pacer) return std::min(room_in, left / 3);
    return pacers_[static_cast<std::size_t>(which.daemon)].RetryAfter(
        which.kind->service, room_in, left, now_);
  }

  // -------------------------------------------------------------------------
  // Daemons.

  bool IsLost() const {
    return AtS() >= pattern_.lost_from_s && AtS() < pattern_.lost_until_s;
  }

  bool IsUp(const upstream& at) const {
    return !IsLost() && AtS() >= at.what->from_s && AtS() < at.what->until_s;
  }

  void ScheduleLoss() {
    At(pattern_.lost_from_s * 1000, [this] { LoseAll(); });
    At(pattern_.lost_until_s * 1000, [this] {
      for (const auto& at : upstreams_) {
        at->gate.SetRate(pattern_.cold_after_loss_per_s, false, now_);
        at->gate.SetCold(now_ + Ms(pattern_.cold_after_loss_s * 1000), now_);
      }
    });
  }

  // All calls end, and daemons and upstreams forget what they know.
  void LoseAll() {
    std::vector<call_ptr> lost;
    for (const auto& at : upstreams_) {
      for (const auto& [id, each] : at->waiting) lost.push_back(each);
      for (const auto& [id, each] : at->running) lost.push_back(each);
      auto anew = std::make_unique<upstream>();
      anew->what = at->what;
      anew->id = at->id;
      anew->queue.SetOrder(options_.order);
      anew->is_updated = at->is_updated;
      *at = std::move(*anew);
    }
    for (auto& picker : pickers_) picker = mesh::target_picker(random_());
    std::fill(budgets_.begin(), budgets_.end(), sched::budget_history());
    std::fill(pacers_.begin(), pacers_.end(), sched::return_pacer());
    std::fill(gates_.begin(), gates_.end(), sched::admission_gate());
    std::fill(nested_.begin(), nested_.end(), nested_state());
    std::fill(sent_costs_.begin(), sent_costs_.end(), sched::cost_predictor());
    typical_ = mesh::time_estimator();
    for (const call_ptr& each : lost) Unanswered(each, false);
  }

  mesh::load_news LoadOf(const upstream& at) const {
    mesh::load_news load;
    load.upstream = at.id;
    load.running = static_cast<int>(at.running.size());
    load.queued = static_cast<int>(at.queue.Size());
    load.slots = at.what->slots;
    load.backlog_ms = ToMs(at.queue.Work() + RunningWork(at)) / at.what->slots;
    load.slowness = at.slowness;
    if (UsesReports()) {
      load.running += at.monitor.HiddenCalls(now_);
      load.slowness = at.monitor.Speed(now_);
      load.pace = at.monitor.Pace(now_);
    }
    load.rank_limit = at.queue.RankLimit();
    return load;
  }

  bool IsNear(std::size_t upstream, std::size_t daemon) const {
    const int zone = pattern_.upstreams[upstream].zone;
    const std::size_t upstream_zone =
        zone < 0 ? upstream % kZones : static_cast<std::size_t>(zone);
    return upstream_zone == daemon % kZones;
  }

  // Each daemon sends at a time of its own within the period.
  void ScheduleNews() {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      for (const bool near : {true, false}) {
        const double period = near ? pattern_.near_news_s : pattern_.far_news_s;
        At(Uniform() * period * 1000,
           [this, i, near, period] { SendNews(i, near, period); });
      }
    }
  }

  void SendNews(std::size_t from, bool near, double period_s) {
    const mesh::load_news load = LoadOf(*upstreams_[from]);
    for (std::size_t i = 0; i < pickers_.size(); ++i) {
      if (IsNear(from, i) == near) TakeNews(i, *upstreams_[from], load);
    }
    if (AtS() > pattern_.length_s) return;
    At(period_s * 1000,
       [this, from, near, period_s] { SendNews(from, near, period_s); });
  }

  void TakeNews(std::size_t daemon, const upstream& from,
                const mesh::load_news& load) {
    pickers_[daemon].OnNews(load, now_);
    gates_[daemon].OnReport(from.what->service, from.id, load.rank_limit, now_);
  }

  void TryNext(const call_ptr& which) {
    auto& picker = pickers_[static_cast<std::size_t>(which->daemon)];
    std::vector<mesh::target_picker::candidate> candidates;
    std::vector<upstream*> targets;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      upstream* const at = upstreams_[i].get();
      if (at->what->service != which->kind->service || !IsUp(*at)) continue;
      const bool near = IsNear(i, static_cast<std::size_t>(which->daemon));
      candidates.push_back(
          {at->id, at->what->slots, near, at->gate.IsCold(now_)});
      targets.push_back(at);
    }
    mesh::call_profile profile;
    profile.typical = Typical(*which->kind);
    if (pattern_.uses_cost_routing) {
      profile.cost = sent_costs_[static_cast<std::size_t>(which->daemon)]
                         .Predict(KeyOf(*which->kind), profile.typical, now_)
                         .mean;
    }
    profile.bytes = which->kind->bytes;
    if (options_.gate && !which->nested && which->tried.empty() &&
        !IsAdmitted(*which, candidates)) {
      Unanswered(which, true);
      return;
    }
    const auto best = picker.Pick(candidates, which->tried, profile, now_);
    const bool is_spared =
        which->nested && IsUpdated(static_cast<std::size_t>(which->daemon));
    if (!best && is_spared && which->tried.size() < candidates.size() &&
        which->waits++ < kMaxWaits) {
      At(kUntriedWaitMs, [this, which] {
        if (!which->ended) TryNext(which);
      });
      return;
    }
    if (!best || (which->refusals >= kMaxRefusals && !is_spared)) {
      Unanswered(which, true);
      return;
    }
    upstream* const at = targets[*best];
    which->tried.push_back(at->id);
    picker.OnSent(at->id, profile.cost.value_or(duration{0}));
    const bool is_far = !candidates[*best].is_near;
    const double head_ms = TransitMs(kHeadBytes, at);
    At(head_ms, [this, which, at, head_ms, is_far] {
      auto& sender = pickers_[static_cast<std::size_t>(which->daemon)];
      sender.OnTransit(at->id, Ms(head_ms + kLinkMs), now_);
      SendBody(which, at, is_far);
    });
  }

  bool IsAdmitted(
      const call& which,
      const std::vector<mesh::target_picker::candidate>& candidates) {
    std::vector<std::string> ids;
    ids.reserve(candidates.size());
    for (const auto& each : candidates) ids.push_back(each.id);
    return gates_[static_cast<std::size_t>(which.daemon)].Admits(
        which.kind->service, ids, which.kind->rank,
        which.spent.count() > 0 ? 1 : ++gate_key_, now_);
  }

  // The body follows once the egress has accepted the call by its head.
  void SendBody(const call_ptr& which, upstream* at, bool is_far) {
    if (which->kind->bytes <= 0) {
      Enqueue(which, at);
      return;
    }
    const auto checked = at->queue.Check(ItemOf(*which, *at), at->what->slots,
                                         WorkAhead(*at, which->nested), now_);
    if (!checked) {
      Refused(which, at, checked.error().retry_after);
      return;
    }
    if (is_far) far_bytes_ += which->kind->bytes;
    At(TransitMs(which->kind->bytes, at),
       [this, which, at] { Enqueue(which, at); });
  }

  // Time until bytes have passed the link to the upstream's VM.
  double TransitMs(double bytes, upstream* at) {
    if (at->what->link_bytes_per_ms <= 0) return kLinkMs;
    const instant start = std::max(now_, at->link_free_at);
    at->link_free_at = start + Ms(bytes / at->what->link_bytes_per_ms);
    return kLinkMs + ToMs(at->link_free_at - now_);
  }

  // -------------------------------------------------------------------------
  // The queue before an upstream.

  static const std::string& RouteOf(const load_class& kind) {
    return kind.route.empty() ? kind.name : kind.route;
  }

  static sched::cost_key KeyOf(const load_class& kind) {
    return sched::KeyOf({RouteOf(kind), "GET", kind.path, "", "", kind.bytes});
  }

  duration Typical(const load_class& kind) const {
    return typical_.Expect(RouteOf(kind), Ms(100), now_);
  }

  sched::cost_estimate Expected(const upstream& at,
                                const load_class& kind) const {
    const duration typical = Typical(kind);
    if (pattern_.uses_cost_routing) {
      const auto cost = at.costs.Predict(KeyOf(kind), typical, now_);
      return {Ms(ToMs(cost.mean) * TimeFactor(at)),
              Ms(ToMs(cost.high) * TimeFactor(at))};
    }
    const duration time =
        at.times.Expect(RouteOf(kind), Ms(ToMs(typical) * at.slowness), now_);
    return {time, time};
  }

  // Time of work at the upstream / usual time, as its egress believes.
  double TimeFactor(const upstream& at) const {
    return UsesReports() ? at.monitor.Speed(now_) * at.monitor.Pace(now_)
                         : at.usual_slowness.Value();
  }

  // As the egress.
  duration Remaining(const upstream& at, const call& which) const {
    const duration age = now_ - which.started;
    if (pattern_.uses_cost_routing) {
      const duration left =
          at.costs.Remaining(KeyOf(*which.kind), Ms(ToMs(age) / TimeFactor(at)),
                             Typical(*which.kind), now_);
      return Ms(ToMs(left) * TimeFactor(at));
    }
    const duration expected = Expected(at, *which.kind).mean;
    return std::max(expected / 4, expected - age);
  }

  duration RunningWork(const upstream& at) const {
    duration work{0};
    for (const auto& [id, each] : at.running) {
      work += Remaining(at, *each);
    }
    return work;
  }

  mesh::work_item ItemOf(const call& which, const upstream& at) const {
    mesh::work_item item;
    item.id = which.id;
    item.rank = which.kind->rank;
    item.nested = which.nested;
    item.aim_at =
        options_.aims_of_retries ? which.aim_at : now_ + Ms(which.kind->aim_ms);
    item.deadline = which.deadline;
    item.carried = which.kind->bytes > 0 && which.at != nullptr;
    item.group = std::hash<std::string>()(which.kind->name);
    const sched::cost_estimate time = Expected(at, *which.kind);
    item.expected = time.mean;
    if (pattern_.uses_cost_routing) item.high = time.high;
    return item;
  }

  // Work inside the upstream that its egress doesn't count as running.
  duration HiddenWork(const upstream& at) const {
    if (!UsesReports()) return duration{0};
    const duration usual =
        at.queue.Size() > 0
            ? at.queue.Work() / static_cast<duration::rep>(at.queue.Size())
            : Ms(100);
    return at.monitor.HiddenWork(usual, at.what->slots, now_);
  }

  // 0: a slot is free.
  duration WorkAhead(const upstream& at, bool nested) const {
    if (HasSlot(at, nested)) return duration{0};
    return RunningWork(at) + HiddenWork(at);
  }

  bool HasSlot(const upstream& at, bool nested) const {
    const int slots = UsesReports()
                          ? at.monitor.UsableSlots(at.what->slots, now_)
                          : at.what->slots;
    if (static_cast<int>(at.running.size()) >= slots) return false;
    if (nested || !at.is_updated) return true;
    const auto callers = std::count_if(
        at.running.begin(), at.running.end(),
        [](const auto& running) { return !running.second->nested; });
    return callers < at.what->slots - at.reserve.Slots(at.what->slots, now_);
  }

  bool CanStartOne(const upstream& at) const {
    return at.queue.Size() > 0 &&
           (HasSlot(at, false) || (at.queue.HasNested() && HasSlot(at, true)));
  }

  void Enqueue(const call_ptr& which, upstream* at) {
    if (which->ended) return;
    if (IsLost()) {
      Unanswered(which, false);
      return;
    }
    which->at = at;
    which->id = ++last_id_;
    which->queued = now_;
    ++enqueued_;
    const mesh::work_item item = ItemOf(*which, *at);
    if (which->nested) at->reserve.OnNestedCall(item.expected, now_);
    const auto taken = at->queue.Push(item, at->what->slots,
                                      WorkAhead(*at, which->nested), now_);
    if (!taken) {
      Refused(which, at, taken.error().retry_after);
      return;
    }
    at->waiting[which->id] = which;
    Pump(at);
  }

  void Refused(const call_ptr& which, upstream* at, duration retry_after) {
    which->at = nullptr;
    ++which->refusals;
    if (which->retry_after.count() == 0 || retry_after < which->retry_after) {
      which->retry_after = retry_after;
    }
    At(kLinkMs, [this, which, at] {
      if (which->ended) return;
      const auto daemon = static_cast<std::size_t>(which->daemon);
      auto& picker = pickers_[daemon];
      TakeNews(daemon, *at, LoadOf(*at));
      picker.OnRefused(at->id, Ms(15), now_);
      TryNext(which);
    });
  }

  void Pump(upstream* at) {
    while (CanStartOne(*at)) {
      if (!at->gate.Take(now_)) break;
      const auto next = HasSlot(*at, false)
                            ? at->queue.Pop(now_, RunningWork(*at))
                            : at->queue.PopNested(now_);
      const call_ptr which = at->waiting.at(next->id);
      at->waiting.erase(next->id);
      StartCall(which, at);
    }
    Drop(at, at->queue.Expire(now_));
    if (options_.order != mesh::queue_order::kEarliestAim) DropOvertaken(at);
    ScheduleWake(at);
  }

  void DropOvertaken(upstream* at) {
    Drop(at, at->queue.DropOvertaken(at->what->slots,
                                     RunningWork(*at) + HiddenWork(*at), now_));
  }

  void Drop(upstream* at, const std::vector<mesh::work_item>& items) {
    for (const mesh::work_item& each : items) {
      const call_ptr which = at->waiting.at(each.id);
      at->waiting.erase(each.id);
      const duration held = now_ - which->queued;
      if (held > kMostOfTime * (which->deadline - which->queued)) ++in_vain_;
      Refused(which, at, Ms(300));
    }
  }

  // What an egress does in each of its ticks.
  void Tick() {
    for (const auto& each : upstreams_) {
      if (UsesReports() && each->queue.Size() > 0) {
        if (!HasSlot(*each, false)) ReportLoad(each.get());
        Pump(each.get());
      }
      DropOvertaken(each.get());
      each->queue.UpdateRankLimit(each->what->slots, RunningWork(*each), now_);
    }
    At(kTickMs, [this] { Tick(); });
  }

  void ScheduleWake(upstream* at) {
    instant wake = instant::max();
    if (const auto expiry = at->queue.NextExpiry()) wake = *expiry;
    if (CanStartOne(*at)) wake = std::min(wake, at->gate.NextAt(now_));
    if (wake == instant::max() || wake == at->wake) return;
    at->wake = wake;
    At(std::max(1.0, ToMs(wake - now_)), [this, at] {
      at->wake = instant::max();
      Pump(at);
    });
  }

  // -------------------------------------------------------------------------
  // The upstream.

  bool UsesReports() const {
    return pattern_.uses_cost_routing &&
           pattern_.reports != load_reports::kNone;
  }

  // From a generator of their own, so that they change nothing else.
  void DrawStalls(std::uint64_t seed, upstream* at) const {
    if (at->what->stall_gap_ms <= 0) return;
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(1 / at->what->stall_gap_ms);
    double end = 0;
    while (end < pattern_.length_s * 1000) {
      const double start = end + gap(random);
      end = start + at->what->stall_ms;
      at->stalls.emplace_back(start, end);
    }
  }

  double PaceOf(const upstream& at) const {
    const double now_ms = AtS() * 1000;
    for (const auto& [start, end] : at.stalls) {
      if (start <= now_ms && now_ms < end) return at.what->stall_factor;
    }
    return 1;
  }

  // Time that work takes if it starts now.
  double TimeOfWork(double work_ms, const upstream& at) const {
    double now_ms = AtS() * 1000;
    const double begin_ms = now_ms;
    for (const auto& [start, end] : at.stalls) {
      if (end <= now_ms) continue;
      const double before = std::max(0.0, start - now_ms);
      if (work_ms <= before) break;
      work_ms -= before;
      now_ms += before;
      const double in_stall = (end - now_ms) / at.what->stall_factor;
      if (work_ms <= in_stall) {
        return now_ms + work_ms * at.what->stall_factor - begin_ms;
      }
      work_ms -= in_stall;
      now_ms = end;
    }
    return now_ms + work_ms - begin_ms;
  }

  // With an answer or a health check.
  void ReportLoad(upstream* at) {
    if (!UsesReports() || AtS() >= pattern_.reports_until_s) return;
    constexpr double kPercent = 100;
    constexpr int kManyCalls = 1000;
    const bool has_queue = at->what->own_queue > 0;
    sched::upstream_report report;
    report.running = static_cast<int>(has_queue ? at->inside_running.size()
                                                : at->running.size());
    report.waiting = static_cast<int>(at->inside_waiting.size());
    report.slots = at->what->slots;
    report.pace_percent = static_cast<int>(PaceOf(*at) * kPercent);
    switch (pattern_.reports) {
      case load_reports::kNonsense:
        report = {-1, 2'000'000'000, -7, 100'000};
        break;
      case load_reports::kAlwaysWaiting:
        report.waiting = kManyCalls;
        break;
      case load_reports::kAlwaysSlow:
        if (at->id == "u0" || at->id == "u4") report.pace_percent = 250;
        break;
      case load_reports::kNone:
      case load_reports::kTrue:
        break;
    }
    at->monitor.OnReport(report, static_cast<int>(at->running.size()), now_);
  }

  // The egress cancelled a running call and asks for the upstream's load.
  void Abandon(upstream* at) {
    if (UsesReports()) {
      at->monitor.OnAbandoned(now_);
      At(kLinkMs, [this, at] {
        ReportLoad(at);
        Pump(at);
      });
    }
    Pump(at);
  }

  void StartInside(upstream* at) {
    while (static_cast<int>(at->inside_running.size()) < at->what->slots &&
           !at->inside_waiting.empty()) {
      const auto next = std::move(at->inside_waiting.front());
      at->inside_waiting.pop_front();
      at->inside_running.insert(next.first);
      next.second();
    }
  }

  void EndInside(upstream* at, std::uint64_t id) {
    if (at->inside_running.erase(id) > 0) StartInside(at);
  }

  // False: the upstream's own queue is full, and it sheds the call.
  bool TakeInside(upstream* at, std::uint64_t id,
                  const std::function<void()>& run) {
    if (at->what->own_queue <= 0) {
      run();
      return true;
    }
    if (static_cast<int>(at->inside_running.size()) >= at->what->slots &&
        static_cast<int>(at->inside_waiting.size()) >= at->what->own_queue) {
      return false;
    }
    at->inside_waiting.emplace_back(id, run);
    StartInside(at);
    return true;
  }

  void StartCall(const call_ptr& which, upstream* at) {
    ++started_;
    at->monitor.OnStarted(at->what->slots, now_);
    which->started = now_;
    at->running[which->id] = which;
    at->tree.OnRunStarted(which->id, which->kind->name, now_);
    const load_class& kind = *which->kind;
    std::normal_distribution<double> normal(-kind.spread * kind.spread / 2,
                                            kind.spread);
    const double cold = at->gate.IsCold(now_) ? 2 : 1;
    const double work =
        kind.work_ms * std::exp(normal(random_)) * at->what->slowness * cold;
    const bool nests = !kind.nested.empty() && Uniform() < kind.nested_share;
    const int times = nests ? kind.nested_times : 0;
    const std::uint64_t id = which->id;
    const bool taken = TakeInside(at, id, [this, which, at, times, id, work] {
      At(TimeOfWork(work, *at),
         [this, which, at, times, id] { Nest(which, at, times, id); });
    });
    if (!taken) {
      ++shed_;
      ReportLoad(at);
      EndRun(which, at);
      Refused(which, at, Ms(300));
      return;
    }
    At(ToMs(which->deadline - now_), [this, which, at, id] {
      if (which->id != id || !EndRun(which, at)) return;
      Unanswered(which, false);
      Abandon(at);
    });
  }

  // Makes the call's own calls one after the other, then ends it.
  void Nest(const call_ptr& which, upstream* at, int times, std::uint64_t id) {
    if (at->running.count(id) == 0) {
      EndInside(at, id);
      return;
    }
    if (times == 0) {
      EndCall(which, at, Uniform() >= at->what->fails);
      return;
    }
    auto nested = std::make_shared<call>();
    nested->kind = by_name_.at(which->kind->nested);
    nested->nested = true;
    nested->first = now_;
    nested->budget_end =
        std::min(which->deadline, now_ + Ms(nested->kind->budget_ms));
    auto& counts = result_.classes[nested->kind->name];
    ++counts.asked;
    const duration useful =
        std::min(nested->budget_end - now_, Ms(nested->kind->aim_ms));
    at->tree.OnNestedCall(nested->kind->service, useful, now_);
    nested->done = [this, which, at, times, id, useful,
                    nested = nested.get()](bool ok) {
      const duration took = now_ - nested->first;
      at->tree.OnNestedDone(nested->kind->service, took, ok && took <= useful,
                            now_);
      auto& ended = result_.classes[nested->kind->name];
      ++(ok ? ended.in_aim : ended.refused);
      if (ok) {
        Nest(which, at, times - 1, id);
      } else if (at->running.count(id) > 0) {
        EndCall(which, at, false);
      } else {
        EndInside(at, id);
      }
    };
    Attempt(nested);
  }

  void EndCall(const call_ptr& which, upstream* at, bool answered) {
    EndInside(at, which->id);
    ReportLoad(at);
    EndRun(which, at);
    const duration took = now_ - which->started;
    auto& picker = pickers_[static_cast<std::size_t>(which->daemon)];
    picker.OnDone(at->id, !answered, now_);
    if (answered) {
      const double typical = std::max(1.0, ToMs(Typical(*which->kind)));
      at->times.Observe(RouteOf(*which->kind), took, now_);
      ObserveCost(*which, at, took);
      typical_.Observe(RouteOf(*which->kind), took, now_);
      constexpr double kSlownessWeight = 0.08;
      at->slowness += kSlownessWeight * (ToMs(took) / typical - at->slowness);
    }
    At(kLinkMs, [this, which, at, answered] {
      const auto daemon = static_cast<std::size_t>(which->daemon);
      TakeNews(daemon, *at, LoadOf(*at));
      ReportNeeds(*which, at);
      if (answered) {
        pacers_[daemon].OnAnswered(which->kind->service, now_);
        Answered(which);
      } else {
        Unanswered(which, false);
      }
    });
    Pump(at);
  }

  void ObserveCost(const call& which, upstream* at, duration took) {
    if (!pattern_.uses_cost_routing) return;
    const sched::cost_key key = KeyOf(*which.kind);
    const double factor = TimeFactor(*at);
    if (UsesReports()) {
      at->monitor.OnRun(took, Typical(*which.kind), now_);
    }
    at->costs.Observe(key, Ms(ToMs(took) / factor), now_);
    at->usual_slowness.Observe(ToMs(took) / ToMs(Typical(*which.kind)));
    sent_costs_[static_cast<std::size_t>(which.daemon)].Observe(
        key, Ms(ToMs(took) / at->slowness), now_);
  }

  void ReportNeeds(const call& which, upstream* at) {
    ++answers_;
    if (!at->is_updated) return;
    const auto needs = at->tree.Needs(which.kind->name, now_);
    if (!at->reports.ShouldReport(std::to_string(which.daemon),
                                  which.kind->name, needs, now_)) {
      return;
    }
    ++need_reports_;
    nested_[static_cast<std::size_t>(which.daemon)].needs.OnNeeds(
        which.kind->name, needs, now_);
  }

  load_result Summary() {
    double owed = 0;
    double earned = 0;
    double worst = 1;
    std::map<int, window> wide;
    for (const auto& [second, each] : windows_) {
      owed += each.owed;
      earned += each.earned;
      wide[second / kWindowS].owed += each.owed;
      wide[second / kWindowS].earned += each.earned;
      result_.worth_by_s.resize(static_cast<std::size_t>(second) + 1, 1);
      if (each.owed > 0) result_.worth_by_s.back() = each.earned / each.owed;
    }
    for (const auto& [index, each] : wide) {
      if (each.owed > 10) worst = std::min(worst, each.earned / each.owed);
    }
    int asked = 0;
    int served = 0;
    for (const load_class& each : pattern_.classes) {
      if (each.per_s <= 0) continue;
      const class_result& counts = result_.classes[each.name];
      asked += counts.asked;
      served += counts.in_aim + counts.late;
    }
    result_.worth = owed > 0 ? earned / owed : 1;
    result_.served = asked > 0 ? static_cast<double>(served) / asked : 1;
    result_.worst_window = worst;
    result_.refused_wait_ms =
        refused_count_ > 0 ? refused_wait_ms_ / refused_count_ : 0;
    result_.held_in_vain =
        enqueued_ > 0 ? static_cast<double>(in_vain_) / enqueued_ : 0;
    result_.need_reports =
        answers_ > 0 ? static_cast<double>(need_reports_) / answers_ : 0;
    result_.shed = started_ > 0 ? static_cast<double>(shed_) / started_ : 0;
    result_.far_bytes = wanted_bytes_ > 0 ? far_bytes_ / wanted_bytes_ : 0;
    return result_;
  }

  const load_pattern& pattern_;
  const load_options options_;
  std::mt19937_64 random_;
  std::map<std::string, const load_class*> by_name_;
  std::vector<std::unique_ptr<upstream>> upstreams_;
  std::vector<mesh::target_picker> pickers_;
  // Of each daemon.
  std::vector<sched::budget_history> budgets_;
  std::vector<sched::return_pacer> pacers_;
  std::vector<sched::admission_gate> gates_;
  std::uint64_t gate_key_ = 0;
  std::vector<sched::cost_predictor> sent_costs_;  // By daemon.
  std::vector<nested_state> nested_;               // By daemon.
  mesh::time_estimator typical_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::uint64_t last_id_ = 0;
  instant now_ = kStart;
  std::map<int, window> windows_;
  double refused_wait_ms_ = 0;
  int enqueued_ = 0;  // Attempts that came to a queue.
  int in_vain_ = 0;
  int started_ = 0;  // Calls sent to an upstream,
  int shed_ = 0;     // and those of them that it shed.
  int refused_count_ = 0;
  int answers_ = 0;
  int need_reports_ = 0;
  double wanted_bytes_ = 0;
  double far_bytes_ = 0;
  load_result result_;
};

}  // namespace

load_options OverloadControl() {
  return {mesh::queue_order::kLargestSet, true, true, true};
}

load_result RunLoad(const load_pattern& pattern, std::uint64_t seed,
                    const load_options& options) {
  return model(pattern, seed, options).Run();
}

}  // namespace pimentohall::testing
