#include <utility>

#include "broker/leaf_duty.h"

namespace ibishold {

void LeafDuty::OnPeerLevel(const PeerLevel& level) {
  Entry* entry = this->Find(level.leaf);
  // Only the other owner may speak of the level; a stale plan of a third VM must not.
  bool from_owner = false;
  for (const SlotOwner& owner : this->holder.plan().OwnersOf(level.leaf)) {
    from_owner = from_owner || owner.vm == level.vm;
  }
  if (entry != nullptr && from_owner) {
    this->Handle(*entry, [&level](LeafDispatcher& dispatcher, TimePoint time) {
      dispatcher.OnPeerLevel(level.level, time);
    });
  }
}

void LeafDuty::TellOwners(Entry& entry, TimePoint now) {
  if (this->options.settings.policy == SlotPolicy::kDirect || !this->options.settings.warm_up) {
    entry.dispatcher->TakeLevelMessage();
    return;
  }
  const std::vector<SlotOwner>& owners = this->holder.plan().OwnersOf(entry.dispatcher->leaf());
  std::optional<LeafLevel> level = entry.dispatcher->TakeLevelMessage();
  const bool primary = this->holder.ActsAsPrimary(entry.dispatcher->leaf(), now);
  // The other owner hears of the level again after this time, because a message may be lost.
  constexpr Duration kTellInterval = std::chrono::seconds(2);
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

void LeafDuty::HandOver(const Entry& entry) {
  const LeafDispatcher& dispatcher = *entry.dispatcher;
  for (const SlotHandOver& given :
       this->holder.TakeHandOvers(dispatcher.leaf(), dispatcher.busy())) {
    this->Emit(PeerRelease{.vm = given.to, .leaf = given.leaf, .slots = given.slots});
  }
  if (dispatcher.busy() == 0 || dispatcher.Level().warm) {
    if (const std::optional<VmId> vm = this->holder.TakePrimaryHandOver(dispatcher.leaf())) {
      this->Emit(PeerRelease{.vm = *vm, .leaf = dispatcher.leaf(), .primary = true});
    }
  }
}

void LeafDuty::OnCrash(const LeafCrash& crash) {
  const TimePoint now = BootClock::now();
  this->quarantine.RecordCrash(crash, now);
  // Queued work that is refused from now on is dropped at the next tick, because the dispatcher
  // that reported the crash is at work.
  this->suspects_changed = true;
  this->SpreadQuarantine(now);
}

void LeafDuty::OnQuarantine(const PeerQuarantine& entry) {
  const TimePoint now = BootClock::now();
  if (this->quarantine.Merge(entry.report, now)) {
    this->RefuseQuarantined(entry.report.fingerprint, now);
    this->SpreadQuarantine(now);
  }
}

void LeafDuty::RefuseQuarantined(std::uint64_t fingerprint, TimePoint now) {
  if (this->quarantine.RefusalTimeLeft(fingerprint, now) == Duration{}) {
    return;
  }
  for (const auto& [name, entry] : this->entries) {
    this->Handle(*entry, [fingerprint](LeafDispatcher& dispatcher, TimePoint time) {
      dispatcher.RefuseFingerprint(fingerprint, time);
    });
  }
}

void LeafDuty::SpreadQuarantine(TimePoint now) {
  for (QuarantineReport& report : this->quarantine.ExportChanged(now)) {
    const Duration refused_for = this->quarantine.RefusalTimeLeft(report.fingerprint, now);
    this->Emit(PeerQuarantine{.report = std::move(report), .refused_for = refused_for});
  }
}

// A leaf whose slots went to other VMs needs no state here once its work has ended.
void LeafDuty::RemoveUnused() {
  if (this->options.settings.policy == SlotPolicy::kDirect || this->stopping) {
    return;
  }
  std::erase_if(this->entries, [this](const auto& item) {
    const LeafDispatcher& dispatcher = *item.second->dispatcher;
    return dispatcher.idle() && item.second->connections.empty() &&
           this->holder.plan().SlotsOf(this->options.vm, dispatcher.leaf()) == 0;
  });
}

}  // namespace ibishold
