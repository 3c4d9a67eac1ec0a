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
  const std::shared_ptr<const SlotPlan> before = std::exchange(this->current, std::move(new_plan));
  const bool first = !std::exchange(this->has_plan, true);
  const Duration wait = first && list_generation <= 1
                            ? Duration{}
                            : this->options.takeover_wait + this->options.release_delay;
  if (this->WasPaused(now)) {
    this->MarkMissedLists();
  }
  if (!first && this->may_have_missed_lists && list_generation > this->generation + 1) {
    // A missed list may have assigned these slots to another VM, which still uses them.
    this->resume_at = std::max(this->resume_at, now + wait);
  }
  this->generation = list_generation;
  std::erase_if(this->early_releases, [&](const auto& entry) {
    return now - entry.second.at > this->options.takeover_wait;
  });
  std::erase_if(this->early_primary_releases, [&](const auto& entry) {
    return now - entry.second > this->options.takeover_wait;
  });
  this->current->ForEachLeaf([&](const LeafId& leaf, const std::vector<SlotOwner>& after) {
    const std::uint32_t target = CountSlots(after, this->options.vm);
    const auto found = this->parts.find(leaf.value);
    if (found == this->parts.end() && target == 0) {
      return;
    }
    Part& part = this->parts[leaf.value];
    part.ApplyDue(now);
    const std::uint32_t owned = part.retained() + part.pending;
    if (target < owned) {
      if (!part.releasing()) {
        part.release_at = now + this->options.release_delay;
      }
      const std::uint32_t lost = part.RemoveSlots(owned - target);
      if (!this->may_have_missed_lists) {
        this->AssignLostSlots(part, lost, before->FindOwners(leaf), after);
      }
    } else if (target > owned) {
      part.ReleaseLost();
      part.AddSlots(target - owned, now + wait);
    }
    this->SetPrimary(part, after, now, wait);
    part.ApplyDue(now);
    this->ApplyEarlyReleases(leaf, now);
  });
  // Leaves that were removed from the topology need no hand-over.
  std::erase_if(this->parts, [this](const auto& entry) {
    return this->current->FindOwners(LeafId(entry.first)).empty();
  });
}

void SlotHolder::OnRelease(const LeafId& leaf, std::uint32_t slots, TimePoint now) {
  const auto found = this->parts.find(leaf.value);
  if (found != this->parts.end()) {
    found->second.ApplyDue(now);
  }
  if (found == this->parts.end() || found->second.pending == 0) {
    EarlyRelease& release = this->early_releases[leaf.value];
    const bool recent = now - release.at <= this->options.takeover_wait;
    release.slots = recent ? release.slots + slots : slots;
    release.at = now;
    return;
  }
  Part& part = found->second;
  const std::uint32_t gained = std::min(slots, part.pending);
  part.held += gained;
  part.pending -= gained;
}

void SlotHolder::OnPrimaryRelease(const LeafId& leaf, TimePoint now) {
  const auto found = this->parts.find(leaf.value);
  if (found == this->parts.end() || !found->second.becomes_primary) {
    this->early_primary_releases[leaf.value] = now;
    return;
  }
  found->second.primary_from = now;
  found->second.ApplyDue(now);
}

void SlotHolder::ApplyEarlyReleases(const LeafId& leaf, TimePoint now) {
  const Part& part = this->parts.at(leaf.value);
  if (part.pending > 0) {
    const auto released = this->early_releases.extract(leaf.value);
    if (!released.empty()) {
      this->OnRelease(leaf, released.mapped().slots, now);
    }
  }
  if (part.becomes_primary && this->early_primary_releases.erase(leaf.value) > 0) {
    this->OnPrimaryRelease(leaf, now);
  }
}

void SlotHolder::SetPrimary(Part& part,
                            const std::vector<SlotOwner>& after,
                            TimePoint now,
                            Duration wait) {
  const bool next = !after.empty() && after.front().vm == this->options.vm;
  if (!next) {
    part.becomes_primary = false;
    if (this->may_have_missed_lists) {
      part.primary = false;
    }
    if (part.primary && !after.empty()) {
      if (!part.releasing()) {
        part.release_at = now + this->options.release_delay;
      }
      part.new_primary = after.front().vm;
    }
    return;
  }
  if (part.new_primary) {
    part.ReleaseLost();  // the new primary may act as primary already
  }
  part.primary_release_to.reset();
  if (!part.primary && !part.becomes_primary) {
    part.becomes_primary = true;
    part.primary_from = now + wait;
  }
}

void SlotHolder::UpdateRightToHold(TimePoint hold_until, TimePoint now) {
  const bool valid = now < hold_until;
  // The right to hold known at the last check has expired: either it lapsed, or this process was
  // suspended and the renewal came afterwards.
  const bool lapsed_before = this->hold_known_until != TimePoint{} && now >= this->hold_known_until;
  const bool paused = this->WasPaused(now);
  this->checked_at = now;
  if (lapsed_before || paused) {
    this->MarkMissedLists();
  }
  if (valid && lapsed_before && now - this->hold_known_until > this->options.long_lapse) {
    this->resume_at = now + this->options.takeover_wait;
  } else if ((valid && lapsed_before) || paused) {
    this->resume_at = std::max(this->resume_at, now + this->options.resume_wait);
  }
  this->suspended = !valid;
  if (valid) {
    this->hold_known_until = hold_until;
  }
  if (!this->IsSuspended(now)) {
    this->may_have_missed_lists = false;
  }
}

bool SlotHolder::WasPaused(TimePoint now) const {
  return this->checked_at != TimePoint{} && now - this->checked_at > this->options.pause_limit;
}

// Other VMs may have taken over the slots that were to be released. A late release could be counted
// for other slots, so all pending releases are dropped.
void SlotHolder::MarkMissedLists() {
  this->may_have_missed_lists = true;
  for (auto& [leaf, part] : this->parts) {
    part.planned_releases.clear();
    part.due_releases.clear();
    part.primary_release_to.reset();
    if (part.new_primary) {
      part.primary = false;
      part.new_primary.reset();
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
  const auto found = this->parts.find(leaf.value);
  if (found == this->parts.end()) {
    return 0;
  }
  const Part& part = found->second;
  return (now >= part.release_at ? part.retained() : part.held) +
         (now >= part.pending_until ? part.pending : 0);
}

bool SlotHolder::ActsAsPrimary(const LeafId& leaf, TimePoint now) const {
  const auto found = this->parts.find(leaf.value);
  if (found == this->parts.end()) {
    return false;
  }
  const Part& part = found->second;
  return (part.primary && !(part.new_primary && now >= part.release_at)) ||
         (part.becomes_primary && now >= part.primary_from);
}

std::optional<VmId> SlotHolder::TakePrimaryHandOver(const LeafId& leaf) {
  const auto found = this->parts.find(leaf.value);
  return found == this->parts.end() ? std::nullopt
                                    : std::exchange(found->second.primary_release_to, std::nullopt);
}

std::vector<SlotHandOver> SlotHolder::TakeHandOvers(const LeafId& leaf, std::uint32_t in_flight) {
  std::vector<SlotHandOver> ready;
  const auto found = this->parts.find(leaf.value);
  if (found == this->parts.end()) {
    return ready;
  }
  found->second.ApplyDue(this->checked_at);
  if (found->second.due_releases.empty() || in_flight > found->second.held) {
    return ready;
  }
  for (const auto& [vm, slots] : found->second.due_releases) {
    ready.push_back({.leaf = leaf, .to = vm, .slots = slots});
  }
  found->second.due_releases.clear();
  return ready;
}

void SlotHolder::Leave(std::shared_ptr<const SlotPlan> plan_without,
                       std::uint64_t generation,
                       TimePoint now) {
  this->OnPlan(std::move(plan_without), generation, now);
  for (auto& [leaf, part] : this->parts) {
    part.ReleaseLost();
  }
  this->leaving = true;
}

// Assigns the slots lost by owners of the former placement, in its order, to the owners that gained
// slots, in the order of the new one. All VMs with the same two placements get the same result.
void SlotHolder::AssignLostSlots(Part& part,
                                 std::uint32_t lost,
                                 const std::vector<SlotOwner>& before,
                                 const std::vector<SlotOwner>& after) const {
  std::vector<SlotOwner> gains;
  for (const SlotOwner& owner : after) {
    const std::uint32_t had = CountSlots(before, owner.vm);
    if (owner.slots > had) {
      gains.push_back({.vm = owner.vm, .slots = owner.slots - had});
    }
  }
  std::size_t next = 0;
  for (const SlotOwner& owner : before) {
    const std::uint32_t kept = CountSlots(after, owner.vm);
    std::uint32_t left = owner.slots > kept ? owner.slots - kept : 0;
    while (left > 0 && next < gains.size()) {
      const std::uint32_t moved = std::min(left, gains[next].slots);
      left -= moved;
      gains[next].slots -= moved;
      if (owner.vm == this->options.vm) {
        // Slots that were not held yet are not released: their former holder may still use them.
        const std::uint32_t given = std::min(moved, lost);
        lost -= given;
        if (given > 0) {
          part.planned_releases[gains[next].vm] += given;
        }
      }
      if (gains[next].slots == 0) {
        ++next;
      }
    }
  }
}

void SlotHolder::Part::ApplyDue(TimePoint now) {
  if (now >= this->pending_until) {
    this->held += std::exchange(this->pending, 0);
  }
  if (this->becomes_primary && now >= this->primary_from) {
    this->primary = true;
    this->becomes_primary = false;
  }
  if (now >= this->release_at) {
    this->ReleaseLost();
  }
}

void SlotHolder::Part::ReleaseLost() {
  this->held -= std::exchange(this->lost, 0);
  for (const auto& [vm, slots] : std::exchange(this->planned_releases, {})) {
    this->due_releases[vm] += slots;
  }
  if (this->new_primary) {
    this->primary = false;
    this->primary_release_to = std::exchange(this->new_primary, std::nullopt);
  }
}

void SlotHolder::Part::AddSlots(std::uint32_t gained, TimePoint until) {
  // Slots that return before their release are not released any more. Their new owner may have
  // taken them over already, so the wait applies to them as well.
  std::uint32_t back = gained;
  while (back > 0 && !this->due_releases.empty()) {
    const auto entry = this->due_releases.begin();
    const std::uint32_t kept = std::min(back, entry->second);
    back -= kept;
    entry->second -= kept;
    if (entry->second == 0) {
      this->due_releases.erase(entry);
    }
  }
  this->pending += gained;
  this->pending_until = std::max(this->pending_until, until);
}

std::uint32_t SlotHolder::Part::RemoveSlots(std::uint32_t count) {
  const std::uint32_t from_pending = std::min(count, this->pending);
  this->pending -= from_pending;
  this->lost += count - from_pending;
  return count - from_pending;
}

}  // namespace ibishold
