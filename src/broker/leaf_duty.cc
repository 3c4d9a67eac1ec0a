#include "broker/leaf_duty.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>
#include <utility>

namespace ibishold {

namespace {

// Deadlines and expiries are kept to this accuracy.
constexpr Duration kTick = std::chrono::milliseconds(10);
// At a planned stop: for the other VMs to learn that this one leaves, and for the link thread to
// write what it has.
constexpr Duration kAnnounceTime = std::chrono::seconds(2);
// For the news of a placement to reach all VMs, and for a VM that returns to be acknowledged by its
// monitors. Without it leaves had no usable slot for up to 0.5 s after each return of a VM.
constexpr Duration kGiveUpDelay = std::chrono::milliseconds(1500);
constexpr Duration kFlushTime = std::chrono::milliseconds(500);
constexpr Duration kStateInterval = std::chrono::milliseconds(500);

}  // namespace

LeafDuty::LeafDuty(boost::asio::io_context& context, const BrokerOptions& options, PushToLink push)
    : context(context),
      options(options),
      push(std::move(push)),
      timer(context),
      holder({.vm = options.vm,
              .takeover_wait = options.settings.takeover_wait,
              .release_delay = kGiveUpDelay}) {}

void LeafDuty::Start() {
  this->ScheduleTick();
}

void LeafDuty::OnLinkMessage(ToLeaf message) {
  if (auto* work = std::get_if<LeafWork>(&message)) {
    this->OnWork(std::move(*work));
  } else if (const auto* cancel = std::get_if<CancelWork>(&message)) {
    this->OnCancel(*cancel);
  } else if (const auto* lost = std::get_if<LinkLost>(&message)) {
    for (const auto& [name, entry] : this->entries) {
      this->Handle(*entry, [lost](LeafDispatcher& dispatcher, TimePoint time) {
        dispatcher.DropLink(lost->link, time);
      });
    }
  } else if (const auto* level = std::get_if<PeerLevel>(&message)) {
    this->OnPeerLevel(*level);
  } else if (const auto* release = std::get_if<PeerRelease>(&message)) {
    const TimePoint now = BootClock::now();
    if (release->slots > 0) {
      this->holder.OnRelease(release->leaf, release->slots, now);
    }
    if (release->primary) {
      this->holder.OnPrimaryRelease(release->leaf, now);
    }
  } else if (const auto* quarantined = std::get_if<PeerQuarantine>(&message)) {
    this->OnQuarantine(*quarantined);
  }
}

void LeafDuty::OnWork(LeafWork work) {
  const Duration refused_for = this->quarantine.RefusalTimeLeft(work.fingerprint, BootClock::now());
  Entry* entry = this->Find(work.leaf);
  if (entry != nullptr && refused_for == Duration{}) {
    this->Handle(*entry, [&work](LeafDispatcher& dispatcher, TimePoint time) {
      dispatcher.Submit(std::move(work), time);
    });
    return;
  }
  AnswerWork refusal;
  refusal.result.verdict = Verdict::kNotRun;
  refusal.result.retry_after = refused_for;
  if (refused_for > Duration{}) {
    refusal.result.outcome = wire::Outcome::QUARANTINED;
    refusal.result.message = "request has crashed leaves";
  } else {
    refusal.result.outcome = wire::Outcome::NOT_OWNER;
    refusal.result.message = "no slot of this leaf is held here";
  }
  refusal.work = std::move(work);
  this->Emit(std::move(refusal));
}

void LeafDuty::OnCancel(const CancelWork& cancel) {
  // An attempt goes to one leaf only; the one that knows it answers.
  for (const auto& [name, entry] : this->entries) {
    if (entry->dispatcher->Knows(cancel.link, cancel.attempt)) {
      this->Handle(*entry, [&cancel](LeafDispatcher& dispatcher, TimePoint time) {
        dispatcher.Cancel(cancel.link, cancel.correlation, cancel.attempt, time);
      });
      return;
    }
  }
  this->Emit(AnswerCancel{.link = cancel.link,
                          .correlation = cancel.correlation,
                          .attempt = cancel.attempt,
                          .verdict = Verdict::kMayHaveRun});
}

void LeafDuty::OnView(const PlannedView& planned) {
  const TimePoint now = BootClock::now();
  const ControlView& view = *planned.view;
  const bool placed = this->latest.plan != planned.plan;
  this->latest = planned;
  if (placed && !this->stopping) {
    this->holder.OnPlan(planned.plan, view.vms->generation, now);
  }
  std::set<std::string> known;
  for (const Service& service : view.topology->services) {
    for (const Shard& shard : service.shards) {
      for (const Leaf& leaf : shard.leaves) {
        known.insert(leaf.id.value);
        this->ApplyLeaf(leaf, service, view, now);
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
  const bool direct = this->options.settings.policy == SlotPolicy::kDirect;
  const bool owned = direct || this->holder.plan().SlotsOf(this->options.vm, leaf.id) > 0;
  Entry* entry = this->Find(leaf.id);
  if (entry == nullptr) {
    if (!owned) {
      return;
    }
    LeafDispatcherOptions dispatcher_options;
    dispatcher_options.leaf = leaf.id;
    dispatcher_options.refuse_late = this->options.settings.refuse_late;
    dispatcher_options.warm_up.enabled = this->options.settings.warm_up;
    dispatcher_options.warm_up.first_report = this->options.incarnation;
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
  const TableRow* row =
      view.table == nullptr ? nullptr : view.table->Find(service.name, leaf.data_centre);
  const TableRow defaults;
  const TableRow& rules = row == nullptr ? defaults : *row;
  this->Handle(*entry, [&](LeafDispatcher& dispatcher, TimePoint) {
    dispatcher.SetQueueLimit(rules.queue_limit);
    dispatcher.SetTakenOut(rules.state == RowState::kOut, now);
  });
}

std::uint32_t LeafDuty::UsableSlots(const Entry& entry, TimePoint now) {
  if (this->options.settings.policy == SlotPolicy::kDirect) {
    return this->left_at ? 0 : entry.total_slots;
  }
  this->holder.CheckHold(this->options.hold_until(), now);
  return this->holder.Usable(entry.dispatcher->leaf(), now);
}

// A VM that is not the primary counts all slots but its own as the primary's, so that the owners
// together never exceed the level of a cold leaf while slots and the role of primary move.
WarmUpShare LeafDuty::ShareOf(const Entry& entry, TimePoint now) const {
  const std::uint32_t total = entry.total_slots;
  if (this->options.settings.policy == SlotPolicy::kDirect) {
    return {.primary = true, .primary_slots = total, .total_slots = total};
  }
  const LeafId& leaf = entry.dispatcher->leaf();
  const std::uint32_t held = std::min(total, this->holder.Held(leaf, now));
  const bool primary = this->holder.ActsAsPrimary(leaf, now);
  return {.primary = primary, .primary_slots = primary ? held : total - held, .total_slots = total};
}

LeafDuty::Entry* LeafDuty::Find(const LeafId& leaf) {
  const auto found = this->entries.find(leaf.value);
  return found == this->entries.end() ? nullptr : found->second.get();
}

void LeafDuty::Perform(Entry& entry, TimePoint now) {
  for (LeafAction& action : entry.dispatcher->TakeActions()) {
    this->PerformAction(entry, action);
  }
  this->TellOwners(entry, now);
  this->HandOver(entry);
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
  } else if (const auto* report = std::get_if<ReportSuspects>(&action)) {
    this->OnCrash(report->crash);
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
  this->backlog.push_back(std::move(message));
  this->FlushBacklog();
}

// In order; what the link thread has no room for stays for the next tick.
void LeafDuty::FlushBacklog() {
  while (!this->backlog.empty() && this->push(std::move(this->backlog.front()))) {
    this->backlog.pop_front();
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
  this->FlushBacklog();
  if (std::exchange(this->suspects_changed, false)) {
    const TimePoint now = BootClock::now();
    for (const QuarantineReport& report : this->quarantine.Export(now)) {
      this->RefuseQuarantined(report.fingerprint, now);
    }
  }
  for (const auto& [name, entry] : this->entries) {
    this->Handle(*entry, [](LeafDispatcher& dispatcher, TimePoint now) { dispatcher.Tick(now); });
  }
  const TimePoint now = BootClock::now();
  if (now - this->state_at >= kStateInterval) {
    this->state_at = now;
    this->PublishState();
    this->PublishCounters();
    this->RemoveUnused();
  }
  if (this->stopping) {
    this->ContinueStop(now);
  }
}

// The slots are used until the other VMs know their new owners; otherwise a leaf whose owners all
// stop would be unreachable until the news has spread. Then the slots go to the new owners as soon
// as each leaf is idle, and the process ends when nothing is in flight.
void LeafDuty::ContinueStop(TimePoint now) {
  if (!this->left_at) {
    if (now >= this->leave_at) {
      this->left_at = now;
      if (this->latest.view) {
        this->holder.Leave(this->latest.plan_without, this->latest.view->vms->generation, now);
      }
      this->on_left();
    }
    return;
  }
  bool idle = true;
  for (const auto& [name, entry] : this->entries) {
    idle = idle && entry->dispatcher->idle();
  }
  // The last answers and releases must have left the link thread.
  const bool flushed = now >= *this->left_at + kFlushTime && this->backlog.empty();
  if (this->on_stopped && ((idle && flushed) || now >= this->stop_at)) {
    std::exchange(this->on_stopped, nullptr)();
  }
}

void LeafDuty::BeginStop(std::function<void()> new_on_left, std::function<void()> new_on_stopped) {
  this->stopping = true;
  this->stop_at = BootClock::now() + this->options.settings.stop_limit;
  this->leave_at = BootClock::now() + kAnnounceTime;
  this->on_left = std::move(new_on_left);
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
