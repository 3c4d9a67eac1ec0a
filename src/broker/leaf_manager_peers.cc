#include <utility>

#include "broker/leaf_manager.h"

namespace ibishold {

void LeafManager::OnPeerLevel(const PeerLeafLevel& level) {
  LeafEntry* entry = this->FindLeaf(level.leaf);
  // Accepts a level only from an owner of the leaf. A third VM may send one because its plan is
  // stale.
  bool from_owner = false;
  for (const SlotOwner& owner : this->slot_holder.plan().FindOwners(level.leaf)) {
    from_owner = from_owner || owner.vm == level.vm;
  }
  if (entry != nullptr && from_owner) {
    this->HandleEvent(*entry, [&level](LeafDispatcher& dispatcher, TimePoint time) {
      dispatcher.OnPeerLevel(level.level, time);
    });
  }
}

void LeafManager::SendLevelToOwners(LeafEntry& entry, TimePoint now) {
  if (this->options.settings.policy == SlotPolicy::kDirect || !this->options.settings.warm_up) {
    entry.dispatcher->TakeLevelMessage();
    return;
  }
  const std::vector<SlotOwner>& owners =
      this->slot_holder.plan().FindOwners(entry.dispatcher->leaf());
  std::optional<LeafLevel> level = entry.dispatcher->TakeLevelMessage();
  const bool primary = this->slot_holder.ActsAsPrimary(entry.dispatcher->leaf(), now);
  // The level is sent again after this time, because a message may be lost.
  constexpr Duration kLevelResendInterval = std::chrono::seconds(2);
  if (!level && primary && now - entry.level_sent_at >= kLevelResendInterval) {
    level = entry.dispatcher->GetLevel();
  }
  if (!level) {
    return;
  }
  entry.level_sent_at = now;
  for (const SlotOwner& owner : owners) {
    if (owner.vm != this->options.vm) {
      this->SendToLinkThread(
          PeerLeafLevel{.vm = owner.vm, .leaf = entry.dispatcher->leaf(), .level = *level});
    }
  }
}

void LeafManager::HandOverSlots(const LeafEntry& entry) {
  const LeafDispatcher& dispatcher = *entry.dispatcher;
  for (const SlotHandOver& hand_over :
       this->slot_holder.TakeHandOvers(dispatcher.leaf(), dispatcher.busy_count())) {
    this->SendToLinkThread(
        PeerSlotRelease{.vm = hand_over.to, .leaf = hand_over.leaf, .slots = hand_over.slots});
  }
  if (dispatcher.busy_count() == 0 || dispatcher.GetLevel().warm) {
    if (const std::optional<VmId> new_primary =
            this->slot_holder.TakePrimaryHandOver(dispatcher.leaf())) {
      this->SendToLinkThread(
          PeerSlotRelease{.vm = *new_primary, .leaf = dispatcher.leaf(), .primary = true});
    }
  }
}

void LeafManager::OnCrash(const LeafCrash& crash) {
  const TimePoint now = BootClock::now();
  this->quarantine.RecordCrash(crash, now);
  // The next tick refuses queued attempts of the quarantined requests. It cannot be done here,
  // because this function is called while a dispatcher's actions are being carried out.
  this->quarantine_changed = true;
  this->PublishQuarantine(now);
}

void LeafManager::OnPeerQuarantine(const PeerQuarantine& quarantined) {
  const TimePoint now = BootClock::now();
  if (this->quarantine.Merge(quarantined.report, now)) {
    this->RefuseQuarantined(quarantined.report.fingerprint, now);
    this->PublishQuarantine(now);
  }
}

void LeafManager::RefuseQuarantined(std::uint64_t fingerprint, TimePoint now) {
  if (this->quarantine.GetRefusalTimeLeft(fingerprint, now) == Duration{}) {
    return;
  }
  for (const auto& [name, entry] : this->entries) {
    this->HandleEvent(*entry, [fingerprint](LeafDispatcher& dispatcher, TimePoint time) {
      dispatcher.RefuseFingerprint(fingerprint, time);
    });
  }
}

void LeafManager::PublishQuarantine(TimePoint now) {
  for (QuarantineReport& report : this->quarantine.ExportChanged(now)) {
    const Duration refused_for = this->quarantine.GetRefusalTimeLeft(report.fingerprint, now);
    this->SendToLinkThread(PeerQuarantine{.report = std::move(report), .refused_for = refused_for});
  }
}

// Removes the entries of leaves that are idle and of which this VM owns no slots any more.
void LeafManager::RemoveUnusedLeaves() {
  if (this->options.settings.policy == SlotPolicy::kDirect || this->stopping) {
    return;
  }
  std::erase_if(this->entries, [this](const auto& named_entry) {
    const LeafDispatcher& dispatcher = *named_entry.second->dispatcher;
    return dispatcher.idle() && named_entry.second->connections.empty() &&
           this->slot_holder.plan().CountSlots(this->options.vm, dispatcher.leaf()) == 0;
  });
}

}  // namespace ibishold
