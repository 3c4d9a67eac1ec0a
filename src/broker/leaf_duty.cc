#include "broker/leaf_duty.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>
#include <utility>

namespace ibishold {

namespace {

// Deadlines and expiries are kept to this accuracy.
constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kStateInterval = std::chrono::milliseconds(500);
// The other owner hears of the level again after this time, because a message may be lost.
constexpr Duration kTellInterval = std::chrono::seconds(2);

}  // namespace

LeafDuty::LeafDuty(boost::asio::io_context& context, const BrokerOptions& options, PushToLink push)
    : context(context), options(options), push(std::move(push)), timer(context) {}

void LeafDuty::Start() {
  this->ScheduleTick();
}

void LeafDuty::OnLinkMessage(ToLeaf message) {
  if (auto* work = std::get_if<LeafWork>(&message)) {
    Entry* entry = this->Find(work->leaf);
    if (entry == nullptr) {
      this->RefuseUnknown(std::move(*work));
      return;
    }
    this->Handle(*entry, [work](LeafDispatcher& dispatcher, TimePoint time) {
      dispatcher.Submit(std::move(*work), time);
    });
  } else if (const auto* cancel = std::get_if<CancelWork>(&message)) {
    // An attempt goes to one leaf only; the one that knows it answers.
    for (const auto& [name, entry] : this->entries) {
      if (entry->dispatcher->Knows(cancel->link, cancel->attempt)) {
        this->Handle(*entry, [cancel](LeafDispatcher& dispatcher, TimePoint time) {
          dispatcher.Cancel(cancel->link, cancel->correlation, cancel->attempt, time);
        });
        return;
      }
    }
    this->Emit(AnswerCancel{.link = cancel->link,
                            .correlation = cancel->correlation,
                            .attempt = cancel->attempt,
                            .verdict = Verdict::kMayHaveRun});
  } else if (const auto* lost = std::get_if<LinkLost>(&message)) {
    for (const auto& [name, entry] : this->entries) {
      this->Handle(*entry, [lost](LeafDispatcher& dispatcher, TimePoint time) {
        dispatcher.DropLink(lost->link, time);
      });
    }
  } else if (const auto* level = std::get_if<PeerLevel>(&message)) {
    Entry* entry = this->Find(level->leaf);
    // Only the other owner may speak of the level; a stale plan of a third VM must not.
    bool from_owner = false;
    for (const SlotOwner& owner : this->plan.OwnersOf(level->leaf)) {
      from_owner = from_owner || owner.vm == level->vm;
    }
    if (entry != nullptr && from_owner) {
      this->Handle(*entry, [level](LeafDispatcher& dispatcher, TimePoint time) {
        dispatcher.OnPeerLevel(level->level, time);
      });
    }
  }
}

void LeafDuty::OnView(const ControlViewPtr& view) {
  if (!view || !view->topology || !view->vms) {
    return;
  }
  const TimePoint now = BootClock::now();
  this->plan = SlotPlan(*view->topology, *view->vms);
  std::set<std::string> known;
  for (const Service& service : view->topology->services) {
    for (const Shard& shard : service.shards) {
      for (const Leaf& leaf : shard.leaves) {
        known.insert(leaf.id.value);
        this->ApplyLeaf(leaf, service, *view, now);
      }
    }
  }
  for (const auto& [name, entry] : this->entries) {
    if (!known.contains(name)) {
      this->Handle(*entry,
                   [](LeafDispatcher& dispatcher, TimePoint time) { dispatcher.Close(time); });
    }
  }
}

void LeafDuty::ApplyLeaf(const Leaf& leaf,
                         const Service& service,
                         const ControlView& view,
                         TimePoint now) {
  const bool direct = this->options.limits.policy == BrokerPolicy::kDirect;
  const std::vector<SlotOwner>& owners = this->plan.OwnersOf(leaf.id);
  const bool owned = direct || this->plan.SlotsOf(this->options.vm, leaf.id) > 0;
  Entry* entry = this->Find(leaf.id);
  if (entry == nullptr) {
    if (!owned) {
      return;
    }
    LeafDispatcherOptions dispatcher_options;
    dispatcher_options.leaf = leaf.id;
    dispatcher_options.refuse_late = this->options.limits.refuse_late;
    dispatcher_options.warm_up.enabled = this->options.limits.warm_up;
    dispatcher_options.seed = StableHash(leaf.id.value, this->options.incarnation);
    auto added = std::make_unique<Entry>();
    added->dispatcher =
        std::make_unique<LeafDispatcher>(std::move(dispatcher_options), this->counters);
    entry = added.get();
    this->entries.emplace(leaf.id.value, std::move(added));
  }
  entry->address = leaf.address;
  entry->port = leaf.port;
  entry->total_slots = service.slots;
  WarmUpShare share{.primary = true, .primary_slots = service.slots, .total_slots = service.slots};
  if (!direct && !owners.empty()) {
    share.primary = owners.front().vm == this->options.vm;
    share.primary_slots = owners.front().slots;
  }
  const TableRow* row =
      view.table == nullptr ? nullptr : view.table->Find(service.name, leaf.data_centre);
  const TableRow defaults;
  const TableRow& rules = row == nullptr ? defaults : *row;
  this->Handle(*entry, [&](LeafDispatcher& dispatcher, TimePoint) {
    dispatcher.SetShare(share);
    dispatcher.SetQueueLimit(rules.queue_limit);
    dispatcher.SetTakenOut(rules.state == RowState::kOut, now);
  });
}

std::uint32_t LeafDuty::UsableSlots(const Entry& entry, TimePoint now) const {
  if (this->options.limits.policy == BrokerPolicy::kDirect) {
    return entry.total_slots;
  }
  if (this->stopping || now >= this->options.hold_until()) {
    return 0;
  }
  return this->plan.SlotsOf(this->options.vm, entry.dispatcher->leaf());
}

LeafDuty::Entry* LeafDuty::Find(const LeafId& leaf) {
  const auto found = this->entries.find(leaf.value);
  return found == this->entries.end() ? nullptr : found->second.get();
}

void LeafDuty::RefuseUnknown(LeafWork work) {
  AnswerWork answer{.work = std::move(work)};
  answer.result.outcome = wire::Outcome::NOT_OWNER;
  answer.result.verdict = Verdict::kNotRun;
  answer.result.message = "no slot of this leaf is held here";
  this->Emit(std::move(answer));
}

template <typename Event>
void LeafDuty::Handle(Entry& entry, const Event& event) {
  const TimePoint now = BootClock::now();
  entry.dispatcher->SetSlots(this->UsableSlots(entry, now), now);
  event(*entry.dispatcher, now);
  this->Perform(entry, now);
}

void LeafDuty::Perform(Entry& entry, TimePoint now) {
  for (LeafAction& action : entry.dispatcher->TakeActions()) {
    this->PerformAction(entry, action);
  }
  this->TellOwners(entry, now);
}

void LeafDuty::PerformAction(Entry& entry, LeafAction& action) {
  if (const auto* open = std::get_if<OpenConnection>(&action)) {
    this->Open(entry, open->connection);
  } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
    const auto found = entry.connections.find(close->connection);
    if (found != entry.connections.end()) {
      found->second->Close();
      entry.connections.erase(found);
    }
  } else if (const auto* call = std::get_if<CallLeaf>(&action)) {
    const auto found = entry.connections.find(call->connection);
    if (found != entry.connections.end()) {
      found->second->Send(call->call);
    }
  } else if (auto* answer = std::get_if<AnswerWork>(&action)) {
    this->RecordTimes(*answer);
    this->Emit(std::move(*answer));
  } else if (const auto* cancel = std::get_if<AnswerCancel>(&action)) {
    this->Emit(*cancel);
  }
}

void LeafDuty::Open(Entry& entry, std::uint64_t id) {
  auto connection = std::make_shared<LeafConnection>(this->context, LeafConnectionOptions{});
  entry.connections[id] = connection;
  LeafConnection::Handlers handlers;
  handlers.on_open = [this, &entry, id] {
    this->Handle(entry,
                 [id](LeafDispatcher& dispatcher, TimePoint now) { dispatcher.Opened(id, now); });
  };
  handlers.on_reply = [this, &entry, id](const LeafReply& reply) {
    this->Handle(entry, [id, &reply](LeafDispatcher& dispatcher, TimePoint now) {
      dispatcher.Replied(id, reply, now);
    });
  };
  handlers.on_close = [this, &entry, id](const absl::Status&) {
    entry.connections.erase(id);
    this->Handle(entry,
                 [id](LeafDispatcher& dispatcher, TimePoint now) { dispatcher.Closed(id, now); });
  };
  connection->Open(entry.address, entry.port, std::move(handlers));
}

void LeafDuty::Emit(ToLink message) {
  // The order of messages is kept, so nothing overtakes the backlog.
  if (!this->backlog.empty() || !this->push(std::move(message))) {
    this->backlog.push_back(std::move(message));
  }
}

void LeafDuty::TellOwners(Entry& entry, TimePoint now) {
  if (this->options.limits.policy == BrokerPolicy::kDirect || !this->options.limits.warm_up) {
    entry.dispatcher->TakeLevelMessage();
    return;
  }
  const std::vector<SlotOwner>& owners = this->plan.OwnersOf(entry.dispatcher->leaf());
  std::optional<LeafLevel> level = entry.dispatcher->TakeLevelMessage();
  const bool primary = !owners.empty() && owners.front().vm == this->options.vm;
  if (!level && primary && now - entry.told_at >= kTellInterval) {
    level = entry.dispatcher->Level();
  }
  if (!level) {
    return;
  }
  entry.told_at = now;
  for (const SlotOwner& owner : owners) {
    if (owner.vm != this->options.vm) {
      this->Emit(PeerLevel{.vm = owner.vm, .leaf = entry.dispatcher->leaf(), .level = *level});
    }
  }
}

void LeafDuty::ScheduleTick() {
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Tick();
      this->ScheduleTick();
    }
  });
}

void LeafDuty::Tick() {
  while (!this->backlog.empty() && this->push(std::move(this->backlog.front()))) {
    this->backlog.pop_front();
  }
  bool idle = true;
  for (const auto& [name, entry] : this->entries) {
    this->Handle(*entry, [](LeafDispatcher& dispatcher, TimePoint now) { dispatcher.Tick(now); });
    idle = idle && entry->dispatcher->idle();
  }
  const TimePoint now = BootClock::now();
  if (now - this->state_at >= kStateInterval) {
    this->state_at = now;
    this->PublishState();
    this->PublishCounters();
  }
  if (this->stopping && this->on_stopped && (idle || now >= this->stop_at)) {
    std::exchange(this->on_stopped, nullptr)();
  }
}

void LeafDuty::BeginStop(std::function<void()> new_on_stopped) {
  this->stopping = true;
  this->stop_at = BootClock::now() + this->options.limits.stop_limit;
  this->on_stopped = std::move(new_on_stopped);
}

void LeafDuty::Close() {
  this->timer.cancel();
  for (const auto& [name, entry] : this->entries) {
    for (const auto& [id, connection] : entry->connections) {
      connection->Close();
    }
    entry->connections.clear();
  }
}

}  // namespace ibishold
