#include <algorithm>
#include <utility>

#include "ibishold/ownership.h"

namespace ibishold {

namespace {

std::uint32_t CountSlots(const std::vector<SlotOwner>& owners, const VmId& vm) {
  for (const SlotOwner& owner : owners) {
    if (owner.vm == vm) {
      return owner.slots;
    }
  }
  return 0;
}

}  // namespace

void SlotHolder::OnPlan(std::shared_ptr<const SlotPlan> new_plan,
                        std::uint64_t list_generation,
                        TimePoint now) {
  if (this->leaving) {
    return;
  }
  const std::shared_ptr<const SlotPlan> former_plan =
      std::exchange(this->current_plan, std::move(new_plan));
  const bool is_first_plan = !std::exchange(this->has_plan, true);
  const Duration takeover_delay = is_first_plan && list_generation <= 1
                                      ? Duration{}
                                      : this->options.takeover_wait + this->options.release_delay;
  if (this->WasPaused(now)) {
    this->MarkMissedLists();
  }
  if (!is_first_plan && this->may_have_missed_lists &&
      list_generation > this->current_generation + 1) {
    // A missed list may have assigned this VM's slots to another VM, which may still use them.
    this->resume_at = std::max(this->resume_at, now + takeover_delay);
  }
  this->current_generation = list_generation;
  std::erase_if(this->early_releases, [&](const auto& entry) {
    return now - entry.second.received_at > this->options.takeover_wait;
  });
  std::erase_if(this->early_primary_releases, [&](const auto& entry) {
    return now - entry.second > this->options.takeover_wait;
  });
  this->current_plan->ForEachLeaf([&](const LeafId& leaf,
                                      const std::vector<SlotOwner>& new_owners) {
    const std::uint32_t target_slots = CountSlots(new_owners, this->options.vm);
    const auto found = this->slots_by_leaf.find(leaf.value);
    if (found == this->slots_by_leaf.end() && target_slots == 0) {
      return;
    }
    LeafSlots& leaf_slots = this->slots_by_leaf[leaf.value];
    leaf_slots.ApplyDueChanges(now);
    const std::uint32_t assigned_slots = leaf_slots.retained_slots() + leaf_slots.pending_slots;
    if (target_slots < assigned_slots) {
      if (!leaf_slots.releasing()) {
        leaf_slots.release_at = now + this->options.release_delay;
      }
      const std::uint32_t lost_slots = leaf_slots.RemoveSlots(assigned_slots - target_slots);
      if (!this->may_have_missed_lists) {
        this->AssignLostSlots(leaf_slots, lost_slots, former_plan->FindOwners(leaf), new_owners);
      }
    } else if (target_slots > assigned_slots) {
      leaf_slots.ReleaseLostSlots();
      leaf_slots.AddSlots(target_slots - assigned_slots, now + takeover_delay);
    }
    this->SetPrimary(leaf_slots, new_owners, now, takeover_delay);
    leaf_slots.ApplyDueChanges(now);
    this->ApplyEarlyReleases(leaf, now);
  });
  // The slots of leaves that were removed from the topology are not handed over.
  std::erase_if(this->slots_by_leaf, [this](const auto& entry) {
    return this->current_plan->FindOwners(LeafId(entry.first)).empty();
  });
}

void SlotHolder::OnRelease(const LeafId& leaf, std::uint32_t slots, TimePoint now) {
  const auto found = this->slots_by_leaf.find(leaf.value);
  if (found != this->slots_by_leaf.end()) {
    found->second.ApplyDueChanges(now);
  }
  if (found == this->slots_by_leaf.end() || found->second.pending_slots == 0) {
    EarlyRelease& release = this->early_releases[leaf.value];
    const bool is_recent = now - release.received_at <= this->options.takeover_wait;
    release.slots = is_recent ? release.slots + slots : slots;
    release.received_at = now;
    return;
  }
  LeafSlots& leaf_slots = found->second;
  const std::uint32_t gained_slots = std::min(slots, leaf_slots.pending_slots);
  leaf_slots.held_slots += gained_slots;
  leaf_slots.pending_slots -= gained_slots;
}

void SlotHolder::OnPrimaryRelease(const LeafId& leaf, TimePoint now) {
  const auto found = this->slots_by_leaf.find(leaf.value);
  if (found == this->slots_by_leaf.end() || !found->second.becomes_primary) {
    this->early_primary_releases[leaf.value] = now;
    return;
  }
  found->second.primary_from = now;
  found->second.ApplyDueChanges(now);
}

void SlotHolder::ApplyEarlyReleases(const LeafId& leaf, TimePoint now) {
  const LeafSlots& leaf_slots = this->slots_by_leaf.at(leaf.value);
  if (leaf_slots.pending_slots > 0) {
    const auto early_release = this->early_releases.extract(leaf.value);
    if (!early_release.empty()) {
      this->OnRelease(leaf, early_release.mapped().slots, now);
    }
  }
  if (leaf_slots.becomes_primary && this->early_primary_releases.erase(leaf.value) > 0) {
    this->OnPrimaryRelease(leaf, now);
  }
}

void SlotHolder::SetPrimary(LeafSlots& leaf_slots,
                            const std::vector<SlotOwner>& new_owners,
                            TimePoint now,
                            Duration takeover_delay) {
  const bool is_new_primary = !new_owners.empty() && new_owners.front().vm == this->options.vm;
  if (!is_new_primary) {
    leaf_slots.becomes_primary = false;
    if (this->may_have_missed_lists) {
      leaf_slots.primary = false;
    }
    if (leaf_slots.primary && !new_owners.empty()) {
      if (!leaf_slots.releasing()) {
        leaf_slots.release_at = now + this->options.release_delay;
      }
      leaf_slots.new_primary = new_owners.front().vm;
    }
    return;
  }
  if (leaf_slots.new_primary) {
    leaf_slots.ReleaseLostSlots();  // the new primary may act as primary already
  }
  leaf_slots.primary_release_to.reset();
  if (!leaf_slots.primary && !leaf_slots.becomes_primary) {
    leaf_slots.becomes_primary = true;
    leaf_slots.primary_from = now + takeover_delay;
  }
}

void SlotHolder::UpdateRightToHold(TimePoint hold_until, TimePoint now) {
  const bool is_valid = now < hold_until;
  // The right that was known at the last check has expired. This is also the case if the process
  // was paused past the expiry and the right has been renewed since.
  const bool had_lapsed = this->hold_valid_until != TimePoint{} && now >= this->hold_valid_until;
  const bool was_paused = this->WasPaused(now);
  this->last_checked_at = now;
  if (had_lapsed || was_paused) {
    this->MarkMissedLists();
  }
  if (is_valid && had_lapsed && now - this->hold_valid_until > this->options.long_lapse) {
    this->resume_at = now + this->options.takeover_wait;
  } else if ((is_valid && had_lapsed) || was_paused) {
    this->resume_at = std::max(this->resume_at, now + this->options.resume_wait);
  }
  this->hold_expired = !is_valid;
  if (is_valid) {
    this->hold_valid_until = hold_until;
  }
  if (!this->IsSuspended(now)) {
    this->may_have_missed_lists = false;
  }
}

bool SlotHolder::WasPaused(TimePoint now) const {
  return this->last_checked_at != TimePoint{} &&
         now - this->last_checked_at > this->options.pause_limit;
}

// Drops all releases that are planned or due. Other VMs may have taken these slots over, and might
// count a late release for other slots.
void SlotHolder::MarkMissedLists() {
  this->may_have_missed_lists = true;
  for (auto& [leaf, leaf_slots] : this->slots_by_leaf) {
    leaf_slots.planned_releases.clear();
    leaf_slots.due_releases.clear();
    leaf_slots.primary_release_to.reset();
    if (leaf_slots.new_primary) {
      leaf_slots.primary = false;
      leaf_slots.new_primary.reset();
    }
  }
}

std::uint32_t SlotHolder::CountUsableSlots(const LeafId& leaf, TimePoint now) const {
  if (this->leaving || this->IsSuspended(now)) {
    return 0;
  }
  return this->CountHeldSlots(leaf, now);
}

std::uint32_t SlotHolder::CountHeldSlots(const LeafId& leaf, TimePoint now) const {
  const auto found = this->slots_by_leaf.find(leaf.value);
  if (found == this->slots_by_leaf.end()) {
    return 0;
  }
  const LeafSlots& leaf_slots = found->second;
  return (now >= leaf_slots.release_at ? leaf_slots.retained_slots() : leaf_slots.held_slots) +
         (now >= leaf_slots.pending_usable_from ? leaf_slots.pending_slots : 0);
}

bool SlotHolder::ActsAsPrimary(const LeafId& leaf, TimePoint now) const {
  const auto found = this->slots_by_leaf.find(leaf.value);
  if (found == this->slots_by_leaf.end()) {
    return false;
  }
  const LeafSlots& leaf_slots = found->second;
  return (leaf_slots.primary && !(leaf_slots.new_primary && now >= leaf_slots.release_at)) ||
         (leaf_slots.becomes_primary && now >= leaf_slots.primary_from);
}

std::optional<VmId> SlotHolder::TakePrimaryHandOver(const LeafId& leaf) {
  const auto found = this->slots_by_leaf.find(leaf.value);
  return found == this->slots_by_leaf.end()
             ? std::nullopt
             : std::exchange(found->second.primary_release_to, std::nullopt);
}

std::vector<SlotHandOver> SlotHolder::TakeHandOvers(const LeafId& leaf, std::uint32_t in_flight) {
  std::vector<SlotHandOver> hand_overs;
  const auto found = this->slots_by_leaf.find(leaf.value);
  if (found == this->slots_by_leaf.end()) {
    return hand_overs;
  }
  found->second.ApplyDueChanges(this->last_checked_at);
  if (found->second.due_releases.empty() || in_flight > found->second.held_slots) {
    return hand_overs;
  }
  for (const auto& [vm, slots] : found->second.due_releases) {
    hand_overs.push_back({.leaf = leaf, .to = vm, .slots = slots});
  }
  found->second.due_releases.clear();
  return hand_overs;
}

void SlotHolder::Leave(std::shared_ptr<const SlotPlan> plan_without_vm,
                       std::uint64_t list_generation,
                       TimePoint now) {
  this->OnPlan(std::move(plan_without_vm), list_generation, now);
  for (auto& [leaf, leaf_slots] : this->slots_by_leaf) {
    leaf_slots.ReleaseLostSlots();
  }
  this->leaving = true;
}

// Decides to which new owner each lost slot is released. The owners that lost slots, in the order
// of the former placement, are matched with the owners that gained slots, in the order of the new
// one. All VMs with the same two placements get the same result.
void SlotHolder::AssignLostSlots(LeafSlots& leaf_slots,
                                 std::uint32_t lost_slots,
                                 const std::vector<SlotOwner>& former_owners,
                                 const std::vector<SlotOwner>& new_owners) const {
  std::vector<SlotOwner> gaining_owners;
  for (const SlotOwner& owner : new_owners) {
    const std::uint32_t former_slots = CountSlots(former_owners, owner.vm);
    if (owner.slots > former_slots) {
      gaining_owners.push_back({.vm = owner.vm, .slots = owner.slots - former_slots});
    }
  }
  std::size_t gaining_index = 0;
  for (const SlotOwner& owner : former_owners) {
    const std::uint32_t new_slots = CountSlots(new_owners, owner.vm);
    std::uint32_t unassigned_slots = owner.slots > new_slots ? owner.slots - new_slots : 0;
    while (unassigned_slots > 0 && gaining_index < gaining_owners.size()) {
      const std::uint32_t moved_slots =
          std::min(unassigned_slots, gaining_owners[gaining_index].slots);
      unassigned_slots -= moved_slots;
      gaining_owners[gaining_index].slots -= moved_slots;
      if (owner.vm == this->options.vm) {
        // Pending slots are not released, because their former holder may still use them.
        const std::uint32_t released_slots = std::min(moved_slots, lost_slots);
        lost_slots -= released_slots;
        if (released_slots > 0) {
          leaf_slots.planned_releases[gaining_owners[gaining_index].vm] += released_slots;
        }
      }
      if (gaining_owners[gaining_index].slots == 0) {
        ++gaining_index;
      }
    }
  }
}

void SlotHolder::LeafSlots::ApplyDueChanges(TimePoint now) {
  if (now >= this->pending_usable_from) {
    this->held_slots += std::exchange(this->pending_slots, 0);
  }
  if (this->becomes_primary && now >= this->primary_from) {
    this->primary = true;
    this->becomes_primary = false;
  }
  if (now >= this->release_at) {
    this->ReleaseLostSlots();
  }
}

void SlotHolder::LeafSlots::ReleaseLostSlots() {
  this->held_slots -= std::exchange(this->lost_slots, 0);
  for (const auto& [vm, slots] : std::exchange(this->planned_releases, {})) {
    this->due_releases[vm] += slots;
  }
  if (this->new_primary) {
    this->primary = false;
    this->primary_release_to = std::exchange(this->new_primary, std::nullopt);
  }
}

void SlotHolder::LeafSlots::AddSlots(std::uint32_t gained_slots, TimePoint usable_from) {
  // Slots that this VM regains before it released them are not released any more. The other owner
  // may have taken them over already, so this VM must wait for them like for other gained slots.
  std::uint32_t returned_slots = gained_slots;
  while (returned_slots > 0 && !this->due_releases.empty()) {
    const auto entry = this->due_releases.begin();
    const std::uint32_t cancelled_slots = std::min(returned_slots, entry->second);
    returned_slots -= cancelled_slots;
    entry->second -= cancelled_slots;
    if (entry->second == 0) {
      this->due_releases.erase(entry);
    }
  }
  this->pending_slots += gained_slots;
  this->pending_usable_from = std::max(this->pending_usable_from, usable_from);
}

std::uint32_t SlotHolder::LeafSlots::RemoveSlots(std::uint32_t count) {
  const std::uint32_t from_pending = std::min(count, this->pending_slots);
  this->pending_slots -= from_pending;
  this->lost_slots += count - from_pending;
  return count - from_pending;
}

}  // namespace ibishold
