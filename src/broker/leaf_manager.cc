#include "broker/leaf_manager.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>
#include <utility>

namespace ibishold {

namespace {

// Deadlines and expiries are checked at this interval.
constexpr Duration kTickInterval = std::chrono::milliseconds(10);
// In a planned stop, time for the other VMs to learn that this one leaves before it releases its
// slots.
constexpr Duration kAnnounceDuration = std::chrono::seconds(2);
// Time for a new placement to reach all VMs, and for a VM that returns to be acknowledged by its
// monitors. Without this delay leaves had no usable slot for up to 0.5 s after each return of a VM.
constexpr Duration kSlotReleaseDelay = std::chrono::milliseconds(1500);
// In a planned stop, time for the link thread to write the last answers and releases.
constexpr Duration kFlushDuration = std::chrono::milliseconds(500);
// Maximum age of the state shown to operators.
constexpr Duration kStatePublishInterval = std::chrono::milliseconds(500);

}  // namespace

LeafManager::LeafManager(boost::asio::io_context& context,
                         const BrokerOptions& options,
                         PushToLinkThread push)
    : context(context),
      options(options),
      push_to_link_thread(std::move(push)),
      tick_timer(context),
      slot_holder({.vm = options.vm,
                   .takeover_wait = options.settings.takeover_wait,
                   .release_delay = kSlotReleaseDelay}) {}

void LeafManager::Start() {
  this->ScheduleTick();
}

void LeafManager::OnLinkMessage(LeafThreadMessage message) {
  if (auto* work = std::get_if<LeafWork>(&message)) {
    this->OnWork(std::move(*work));
  } else if (const auto* cancel = std::get_if<CancelWork>(&message)) {
    this->OnCancel(*cancel);
  } else if (const auto* closed = std::get_if<LinkClosed>(&message)) {
    for (const auto& [name, entry] : this->entries) {
      this->HandleEvent(*entry, [closed](LeafDispatcher& dispatcher, TimePoint time) {
        dispatcher.DropWorkOfLink(closed->link_id, time);
      });
    }
  } else if (const auto* level = std::get_if<PeerLeafLevel>(&message)) {
    this->OnPeerLevel(*level);
  } else if (const auto* release = std::get_if<PeerSlotRelease>(&message)) {
    const TimePoint now = BootClock::now();
    if (release->slots > 0) {
      this->slot_holder.OnRelease(release->leaf, release->slots, now);
    }
    if (release->primary) {
      this->slot_holder.OnPrimaryRelease(release->leaf, now);
    }
  } else if (const auto* quarantined = std::get_if<PeerQuarantine>(&message)) {
    this->OnPeerQuarantine(*quarantined);
  }
}

void LeafManager::OnWork(LeafWork work) {
  const Duration refused_for =
      this->quarantine.GetRefusalTimeLeft(work.fingerprint, BootClock::now());
  LeafEntry* entry = this->FindLeaf(work.leaf);
  if (entry != nullptr && refused_for == Duration{}) {
    this->HandleEvent(*entry, [&work](LeafDispatcher& dispatcher, TimePoint time) {
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
  this->SendToLinkThread(std::move(refusal));
}

void LeafManager::OnCancel(const CancelWork& cancel) {
  // An attempt is sent to one leaf only, so at most one dispatcher has it.
  for (const auto& [name, entry] : this->entries) {
    if (entry->dispatcher->HasAttempt(cancel.link_id, cancel.attempt)) {
      this->HandleEvent(*entry, [&cancel](LeafDispatcher& dispatcher, TimePoint time) {
        dispatcher.Cancel(cancel.link_id, cancel.correlation, cancel.attempt, time);
      });
      return;
    }
  }
  this->SendToLinkThread(AnswerCancel{.link_id = cancel.link_id,
                                      .correlation = cancel.correlation,
                                      .attempt = cancel.attempt,
                                      .verdict = Verdict::kMayHaveRun});
}

void LeafManager::OnView(const PlannedView& new_view) {
  const TimePoint now = BootClock::now();
  const ControlView& view = *new_view.view;
  const bool plan_changed = this->latest_view.plan != new_view.plan;
  this->latest_view = new_view;
  if (plan_changed && !this->stopping) {
    this->slot_holder.OnPlan(new_view.plan, view.vms->generation, now);
  }
  std::set<std::string> listed_leaves;
  for (const Service& service : view.topology->services) {
    for (const Shard& shard : service.shards) {
      for (const Leaf& leaf : shard.leaves) {
        listed_leaves.insert(leaf.id.value);
        this->ApplyLeafConfig(leaf, service, view, now);
      }
    }
  }
  for (const auto& [name, entry] : this->entries) {
    if (!listed_leaves.contains(name)) {
      this->HandleEvent(
          *entry, [](LeafDispatcher& dispatcher, TimePoint time) { dispatcher.RemoveLeaf(time); });
    }
  }
}

void LeafManager::ApplyLeafConfig(const Leaf& leaf,
                                  const Service& service,
                                  const ControlView& view,
                                  TimePoint now) {
  const bool direct = this->options.settings.policy == SlotPolicy::kDirect;
  const bool owned = direct || this->slot_holder.plan().CountSlots(this->options.vm, leaf.id) > 0;
  LeafEntry* entry = this->FindLeaf(leaf.id);
  if (entry == nullptr) {
    if (!owned) {
      return;
    }
    LeafDispatcherOptions dispatcher_options;
    dispatcher_options.leaf = leaf.id;
    dispatcher_options.refuse_late = this->options.settings.refuse_late;
    dispatcher_options.warm_up.enabled = this->options.settings.warm_up;
    dispatcher_options.warm_up.first_report_number = this->options.incarnation;
    dispatcher_options.seed = StableHash(leaf.id.value, this->options.incarnation);
    auto new_entry = std::make_unique<LeafEntry>();
    new_entry->dispatcher =
        std::make_unique<LeafDispatcher>(std::move(dispatcher_options), this->counters);
    entry = new_entry.get();
    this->entries.emplace(leaf.id.value, std::move(new_entry));
  }
  entry->address = leaf.address;
  entry->port = leaf.port;
  entry->total_slots = service.slots;
  const TableRow* row =
      view.table == nullptr ? nullptr : view.table->Find(service.name, leaf.data_centre);
  const TableRow default_row;
  const TableRow& effective_row = row == nullptr ? default_row : *row;
  this->HandleEvent(*entry, [&](LeafDispatcher& dispatcher, TimePoint) {
    dispatcher.SetQueueLimit(effective_row.queue_limit);
    dispatcher.SetTakenOut(effective_row.state == RowState::kOut, now);
  });
}

std::uint32_t LeafManager::UpdateUsableSlots(const LeafEntry& entry, TimePoint now) {
  if (this->options.settings.policy == SlotPolicy::kDirect) {
    return this->slots_released_at ? 0 : entry.total_slots;
  }
  this->slot_holder.UpdateRightToHold(this->options.hold_until(), now);
  return this->slot_holder.CountUsableSlots(entry.dispatcher->leaf(), now);
}

// A VM that is not the primary counts all slots that it does not hold as the primary's. So the
// owners together never exceed the level of a cold leaf while slots or the primary role move.
WarmUpShare LeafManager::ComputeWarmUpShare(const LeafEntry& entry, TimePoint now) const {
  const std::uint32_t total_slots = entry.total_slots;
  if (this->options.settings.policy == SlotPolicy::kDirect) {
    return {.primary = true, .primary_slots = total_slots, .total_slots = total_slots};
  }
  const LeafId& leaf = entry.dispatcher->leaf();
  const std::uint32_t held_slots =
      std::min(total_slots, this->slot_holder.CountHeldSlots(leaf, now));
  const bool primary = this->slot_holder.ActsAsPrimary(leaf, now);
  return {.primary = primary,
          .primary_slots = primary ? held_slots : total_slots - held_slots,
          .total_slots = total_slots};
}

LeafManager::LeafEntry* LeafManager::FindLeaf(const LeafId& leaf) {
  const auto found = this->entries.find(leaf.value);
  return found == this->entries.end() ? nullptr : found->second.get();
}

void LeafManager::PerformActions(LeafEntry& entry, TimePoint now) {
  for (LeafAction& action : entry.dispatcher->TakeActions()) {
    this->PerformAction(entry, action);
  }
  this->SendLevelToOwners(entry, now);
  this->HandOverSlots(entry);
}

void LeafManager::PerformAction(LeafEntry& entry, LeafAction& action) {
  if (const auto* open = std::get_if<OpenConnection>(&action)) {
    this->ConnectToLeaf(entry, open->connection);
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
    this->RecordLatency(*answer);
    this->SendToLinkThread(std::move(*answer));
  } else if (const auto* cancel = std::get_if<AnswerCancel>(&action)) {
    this->SendToLinkThread(*cancel);
  } else if (const auto* report = std::get_if<ReportSuspects>(&action)) {
    this->OnCrash(report->crash);
  }
}

void LeafManager::ConnectToLeaf(LeafEntry& entry, std::uint64_t id) {
  auto connection = std::make_shared<LeafConnection>(this->context, LeafConnectionOptions{});
  entry.connections[id] = connection;
  LeafConnection::Handlers handlers;
  handlers.on_open = [this, &entry, id] {
    this->HandleEvent(entry, [id](LeafDispatcher& dispatcher, TimePoint now) {
      dispatcher.OnConnectionOpened(id, now);
    });
  };
  handlers.on_reply = [this, &entry, id](const LeafReply& reply) {
    this->HandleEvent(entry, [id, &reply](LeafDispatcher& dispatcher, TimePoint now) {
      dispatcher.OnReply(id, reply, now);
    });
  };
  handlers.on_close = [this, &entry, id](const absl::Status& reason) {
    const ConnectionLoss loss =
        absl::IsInternal(reason) ? ConnectionLoss::kInvalidReply : ConnectionLoss::kEnded;
    entry.connections.erase(id);
    this->HandleEvent(entry, [id, loss](LeafDispatcher& dispatcher, TimePoint now) {
      dispatcher.OnConnectionClosed(id, loss, now);
    });
  };
  connection->Open(entry.address, entry.port, std::move(handlers));
}

void LeafManager::SendToLinkThread(LinkThreadMessage message) {
  this->backlog.push_back(std::move(message));
  this->FlushBacklog();
}

// Sends the queued messages in order. Those that do not fit into the ring stay for the next tick.
void LeafManager::FlushBacklog() {
  while (!this->backlog.empty() && this->push_to_link_thread(std::move(this->backlog.front()))) {
    this->backlog.pop_front();
  }
}

void LeafManager::ScheduleTick() {
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Tick();
      this->ScheduleTick();
    }
  });
}

void LeafManager::Tick() {
  this->FlushBacklog();
  if (std::exchange(this->quarantine_changed, false)) {
    const TimePoint now = BootClock::now();
    for (const QuarantineReport& report : this->quarantine.Export(now)) {
      this->RefuseQuarantined(report.fingerprint, now);
    }
  }
  for (const auto& [name, entry] : this->entries) {
    this->HandleEvent(*entry,
                      [](LeafDispatcher& dispatcher, TimePoint now) { dispatcher.Tick(now); });
  }
  const TimePoint now = BootClock::now();
  if (now - this->state_published_at >= kStatePublishInterval) {
    this->state_published_at = now;
    this->PublishState();
    this->PublishCounters();
    this->RemoveUnusedLeaves();
  }
  if (this->stopping) {
    this->ContinueStop(now);
  }
}

// Uses the slots until the other VMs know the new owners; otherwise a leaf whose owners all stop
// would have no usable slot until then. After that the slots of each leaf are released to its new
// owners as soon as it is idle, and the process ends when no work is in flight.
void LeafManager::ContinueStop(TimePoint now) {
  if (!this->slots_released_at) {
    if (now >= this->release_slots_at) {
      this->slots_released_at = now;
      if (this->latest_view.view) {
        this->slot_holder.Leave(this->latest_view.plan_after_leaving,
                                this->latest_view.view->vms->generation, now);
      }
      this->on_slots_released();
    }
    return;
  }
  bool all_idle = true;
  for (const auto& [name, entry] : this->entries) {
    all_idle = all_idle && entry->dispatcher->idle();
  }
  // The link thread must have had time to write the last answers and releases.
  const bool flushed = now >= *this->slots_released_at + kFlushDuration && this->backlog.empty();
  if (this->on_stopped && ((all_idle && flushed) || now >= this->stop_deadline)) {
    std::exchange(this->on_stopped, nullptr)();
  }
}

void LeafManager::BeginStop(std::function<void()> new_on_slots_released,
                            std::function<void()> new_on_stopped) {
  this->stopping = true;
  this->stop_deadline = BootClock::now() + this->options.settings.stop_limit;
  this->release_slots_at = BootClock::now() + kAnnounceDuration;
  this->on_slots_released = std::move(new_on_slots_released);
  this->on_stopped = std::move(new_on_stopped);
}

void LeafManager::Close() {
  this->tick_timer.cancel();
  for (const auto& [name, entry] : this->entries) {
    for (const auto& [id, connection] : entry->connections) {
      connection->Close();
    }
    entry->connections.clear();
  }
}

}  // namespace ibishold
