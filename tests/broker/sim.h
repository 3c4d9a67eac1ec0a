#ifndef TESTS_BROKER_SIM_H_
#define TESTS_BROKER_SIM_H_

// Virtual clock, network and leaf for tests of dispatch. One seed gives one run.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "broker/leaf_dispatcher.h"

namespace ibishold::sim {

using namespace std::chrono_literals;

class World {
 public:
  explicit World(std::uint64_t seed) : random(seed) {}

  void At(Duration delay, std::function<void()> action) {
    this->events.emplace(std::pair(this->now + delay, ++this->sequence), std::move(action));
  }
  void Run(Duration duration) {
    const TimePoint end = this->now + duration;
    while (!this->events.empty() && this->events.begin()->first.first <= end) {
      auto node = this->events.extract(this->events.begin());
      this->now = std::max(this->now, node.key().first);
      node.mapped()();
    }
    this->now = end;
  }
  Duration Delay() { return std::chrono::microseconds(200 + this->random.NextBelow(1800)); }

  TimePoint now = TimePoint(std::chrono::hours(1));
  Random random;

 private:
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events;
  std::uint64_t sequence = 0;
};

class Broker;

struct Wire {  // one connection between a broker and the leaf
  std::weak_ptr<Broker> broker;
  std::uint64_t id = 0;
  std::uint64_t epoch = 0;  // of the leaf's run
  bool open = true;         // as the broker sees it
  bool silent = false;      // neither answers nor closes any more
  TimePoint last_up{};
  TimePoint last_down{};
};
using WirePtr = std::shared_ptr<Wire>;

struct LeafSettings {
  std::uint32_t slots = 4;
  Duration service_time = 10ms;
  double straggler_share = 0.02;            // 20 times slower
  std::uint32_t completions_per_level = 8;  // completed calls that raise a cold leaf's capacity
  bool starts_cold = true;
  bool crash_on_overload = false;
  Duration restart_time = 50ms;
};

// Counts what it runs; a cold one has room for one call and gains with completed work.
class Leaf {
 public:
  Leaf(World& world, LeafSettings settings) : world(world), settings(settings) {
    if (!settings.starts_cold) {
      this->completed = 1000000;
    }
  }

  std::uint32_t Capacity() const {
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        this->settings.slots, 1 + this->completed / this->settings.completions_per_level));
  }
  void Arrive(const WirePtr& wire, const LeafCall& call);
  void Reply(const WirePtr& wire, LeafReply reply, const std::string& id);
  void Restart(bool reset_connections);
  void SilenceConnections() {
    for (const WirePtr& wire : this->wires) {
      wire->silent = true;
    }
  }

  World& world;
  LeafSettings settings;
  bool up = true;
  bool draining = false;
  std::uint64_t epoch = 1;
  Incarnation incarnation = 1000;
  TimePoint started{};
  std::uint64_t completed = 0;
  std::set<std::string> running;
  std::map<std::string, std::uint32_t> starts;  // by request id
  std::set<WirePtr> wires;
  std::uint32_t most = 0;       // running at a time
  std::uint32_t overloads = 0;  // starts beyond the capacity
  bool out = false;             // taken out by operators
  std::uint32_t unwanted = 0;   // work received while draining or out
  TimePoint last_unwanted{};
  unsigned forced_status = 0;  // answered to all work instead of running it
  bool swap_ids = false;       // answers with another request's id
};

// One owner's dispatcher with its connections.
class Broker : public std::enable_shared_from_this<Broker> {
 public:
  Broker(World& world, Leaf& leaf, LeafDispatcherOptions options)
      : world(world), leaf(leaf), dispatcher(std::move(options), counters) {}

  void Begin(std::uint32_t slots, const WarmUpShare& share) {
    this->slots = slots;
    this->dispatcher.SetShare(share);
    this->Tick();
  }
  void Kill() {  // the process is gone; what it sent stays at the leaf
    this->alive = false;
    for (const auto& [id, wire] : this->wires) {
      wire->open = false;
    }
  }

  void Thaw() {
    this->frozen = false;
    for (const auto& event : std::exchange(this->stalled, {})) {
      event();
    }
  }

  // Events must own what they refer to, because they wait while the process is frozen.
  template <typename Event>
  void Do(const Event& event) {
    if (!this->alive) {
      return;
    }
    if (this->frozen) {  // what arrives meanwhile waits in the process's sockets
      this->stalled.emplace_back([this, event] { this->Do(event); });
      return;
    }
    if (this->usable) {
      this->slots = this->usable(this->world.now);
    }
    this->dispatcher.SetSlots(this->slots, this->world.now);
    event(this->dispatcher, this->world.now);
    for (LeafAction& action : this->dispatcher.TakeActions()) {
      this->Perform(action);
    }
    if (const auto level = this->dispatcher.TakeLevelMessage()) {
      this->Tell(*level);
    }
  }

  void Tell(const LeafLevel& level) {
    const std::shared_ptr<Broker> other = this->peer.lock();
    if (other) {
      // Links keep their order.
      this->last_told = std::max(this->last_told, this->world.now + this->world.Delay());
      this->world.At(this->last_told - this->world.now, [other, level] {
        other->Do([level](LeafDispatcher& to, TimePoint now) { to.OnPeerLevel(level, now); });
      });
    }
  }

  std::uint64_t Submit(Duration left,
                       wire::RequestKind kind = wire::RequestKind::SEARCH,
                       RequestClass request_class = RequestClass::kStandard) {
    LeafWork work;
    work.link = this->link;
    work.attempt = ++this->last_attempt;
    work.id = this->name + "-" + std::to_string(work.attempt);
    work.kind = kind;
    work.request_class = request_class;
    work.received = this->world.now;
    work.deadline = this->world.now + left;
    work.fingerprint = work.attempt;
    this->Do([work](LeafDispatcher& to, TimePoint now) { to.Submit(work, now); });
    return work.attempt;
  }
  void Cancel(std::uint64_t attempt) {
    this->Do([this, attempt](LeafDispatcher& to, TimePoint now) {
      to.Cancel(this->link, 1, attempt, now);
    });
  }

  void Tick() {
    if (!this->alive) {
      return;
    }
    if (!this->frozen) {
      this->Do([](LeafDispatcher& to, TimePoint now) { to.Tick(now); });
    }
    if (!this->frozen && ++this->ticks % 200 == 0) {
      this->Tell(this->dispatcher.Level());
    }
    this->world.At(10ms, [self = this->shared_from_this()] { self->Tick(); });
  }

  void Perform(LeafAction& action);

  World& world;
  Leaf& leaf;
  DispatchCounters counters;
  LeafDispatcher dispatcher;
  std::string name = "b";
  std::uint64_t link = 1;
  std::uint32_t slots = 0;
  bool alive = true;
  bool frozen = false;
  std::vector<std::function<void()>> stalled;
  std::function<std::uint32_t(TimePoint)> usable;  // in place of `slots`
  std::weak_ptr<Broker> peer;
  TimePoint last_told{};
  std::uint64_t ticks = 0;
  std::uint64_t last_attempt = 0;
  std::map<std::uint64_t, WirePtr> wires;
  std::map<std::uint64_t, LeafResult> answers;  // by attempt
  std::map<std::uint64_t, int> answer_count;
  std::map<std::uint64_t, Verdict> cancels;
  std::vector<LeafCrash> crashes;
  std::map<std::uint64_t, std::vector<std::string>> carried;  // by connection, in order
  std::vector<std::string> sent;  // ids of searches and executes, in order
};

inline void Leaf::Arrive(const WirePtr& wire, const LeafCall& call) {
  if (wire->silent || wire->epoch != this->epoch || !this->up) {
    return;
  }
  LeafReply reply;
  reply.status = 200;
  if (call.kind == LeafCallKind::kLoad) {
    this->Reply(wire, reply, call.id);
    return;
  }
  if (call.kind == LeafCallKind::kCancel) {
    reply.body = this->running.contains(call.id)  ? "{\"state\":\"running\"}"
                 : this->starts.contains(call.id) ? "{\"state\":\"finished\"}"
                                                  : "{\"state\":\"unknown\"}";
    this->Reply(wire, reply, call.id);
    return;
  }
  if (this->draining || this->out) {
    this->last_unwanted = this->world.now;
    ++this->unwanted;
  }
  if (this->forced_status != 0) {
    reply.status = this->forced_status;
    this->Reply(wire, reply, call.id);
    return;
  }
  ++this->starts[call.id];
  this->running.insert(call.id);
  this->most = std::max(this->most, static_cast<std::uint32_t>(this->running.size()));
  if (this->running.size() > this->Capacity()) {
    ++this->overloads;
    if (this->settings.crash_on_overload) {
      this->Restart(true);
      return;
    }
  }
  Duration time = this->world.random.ApplyJitter(this->settings.service_time, 0.5);
  if (this->world.random.NextFraction() < this->settings.straggler_share) {
    time *= 20;
  }
  this->world.At(time, [this, wire, id = call.id, run = this->epoch] {
    if (run != this->epoch) {
      return;
    }
    this->running.erase(id);
    ++this->completed;
    LeafReply done;
    done.status = 200;
    done.body = "{\"records\":[],\"complete\":true}";
    this->Reply(wire, done, id);
  });
}

inline void Leaf::Reply(const WirePtr& wire, LeafReply reply, const std::string& id) {
  if (wire->silent) {
    return;
  }
  reply.id = this->swap_ids ? "other" : id;
  reply.incarnation = this->incarnation;
  reply.uptime = this->world.now - this->started;
  reply.draining = this->draining;
  wire->last_down = std::max(wire->last_down, this->world.now + this->world.Delay());
  this->world.At(wire->last_down - this->world.now, [wire, reply] {
    const std::shared_ptr<Broker> broker = wire->broker.lock();
    if (broker && wire->open) {
      broker->Do([id = wire->id, reply](LeafDispatcher& to, TimePoint now) {
        to.Replied(id, reply, now);
      });
    }
  });
}

inline void Leaf::Restart(bool reset_connections) {
  this->up = false;
  ++this->epoch;
  this->running.clear();
  this->completed = 0;
  for (const WirePtr& wire : this->wires) {
    if (!reset_connections || wire->silent) {
      wire->silent = true;
      continue;
    }
    this->world.At(this->world.Delay(), [wire] {
      const std::shared_ptr<Broker> broker = wire->broker.lock();
      if (broker && wire->open) {
        wire->open = false;
        broker->wires.erase(wire->id);
        broker->Do([id = wire->id](LeafDispatcher& to, TimePoint now) { to.Closed(id, now); });
      }
    });
  }
  this->wires.clear();
  this->world.At(this->settings.restart_time, [this, run = this->epoch] {
    if (run == this->epoch) {
      this->up = true;
      this->started = this->world.now;
      ++this->incarnation;
    }
  });
}

inline void Broker::Perform(LeafAction& action) {
  if (const auto* open = std::get_if<OpenConnection>(&action)) {
    auto wire = std::make_shared<Wire>();
    wire->broker = this->weak_from_this();
    wire->id = open->connection;
    this->wires[wire->id] = wire;
    this->world.At(this->world.Delay() + 1ms, [this, self = this->shared_from_this(), wire] {
      if (!wire->open) {
        return;
      }
      const bool accepted = this->leaf.up;
      if (accepted) {
        wire->epoch = this->leaf.epoch;
        this->leaf.wires.insert(wire);
      } else {
        wire->open = false;
        this->wires.erase(wire->id);
      }
      this->Do([accepted, id = wire->id](LeafDispatcher& to, TimePoint now) {
        accepted ? to.Opened(id, now) : to.Closed(id, now);
      });
    });
  } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
    const auto found = this->wires.find(close->connection);
    if (found != this->wires.end()) {
      found->second->open = false;
      this->leaf.wires.erase(found->second);
      this->wires.erase(found);
    }
  } else if (const auto* call = std::get_if<CallLeaf>(&action)) {
    if (call->call.kind == LeafCallKind::kSearch || call->call.kind == LeafCallKind::kExecute) {
      this->sent.push_back(call->call.id);
      this->carried[call->connection].push_back(call->call.id);
    }
    const auto found = this->wires.find(call->connection);
    if (found == this->wires.end()) {
      return;
    }
    const WirePtr wire = found->second;
    wire->last_up = std::max(wire->last_up, this->world.now + this->world.Delay());
    this->world.At(wire->last_up - this->world.now,
                   [this, self = this->shared_from_this(), wire, sent = call->call] {
                     this->leaf.Arrive(wire, sent);
                   });
  } else if (const auto* answer = std::get_if<AnswerWork>(&action)) {
    this->answers[answer->work.attempt] = answer->result;
    ++this->answer_count[answer->work.attempt];
  } else if (const auto* cancel = std::get_if<AnswerCancel>(&action)) {
    this->cancels[cancel->attempt] = cancel->verdict;
  } else if (const auto* report = std::get_if<ReportSuspects>(&action)) {
    this->crashes.push_back(report->crash);
  }
}

}  // namespace ibishold::sim

#endif  // TESTS_BROKER_SIM_H_
