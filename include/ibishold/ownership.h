#ifndef IBISHOLD_OWNERSHIP_H_
#define IBISHOLD_OWNERSHIP_H_

// Assigns the slots of each leaf to VMs and decides when a VM may use them.
//
// Index of this header:
//   1. PlacementOptions   number of owners of a leaf
//   2. SlotOwner          one owner and its part of a leaf's slots
//   3. PlaceLeaf          chooses the owners of one leaf from a list of VMs
//   4. SlotPlan           owners of all leaves, by leaf and by VM
//   5. SlotHolder         slots that this VM may use now

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ibishold/config.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. PlacementOptions ------------------------------------------------------------------------

struct PlacementOptions {
  std::uint32_t owners_per_leaf = 2;  // at most the leaf's slots
};

// ---- 2. SlotOwner -------------------------------------------------------------------------------

struct SlotOwner {
  VmId vm;
  std::uint32_t slots = 0;  // the slots of all owners add up to the leaf's slots

  friend bool operator==(const SlotOwner&, const SlotOwner&) = default;
};

// ---- 3. PlaceLeaf -------------------------------------------------------------------------------

// Returns the owners of a leaf, primary first: the live VMs with the highest rendezvous scores,
// those of the leaf's data centre before all others. The result depends only on the arguments, so
// VMs with equal lists agree. Empty if no VM is live.
std::vector<SlotOwner> PlaceLeaf(const Leaf& leaf,
                                 std::uint32_t slots,
                                 const VmList& vms,
                                 const PlacementOptions& options = {});

// ---- 4. SlotPlan --------------------------------------------------------------------------------

// Placement of every leaf of a topology.
class SlotPlan {
 public:
  SlotPlan() = default;
  SlotPlan(const Topology& topology, const VmList& vms, const PlacementOptions& options = {});

  // Returns the owners, primary first; empty if the leaf is unknown.
  const std::vector<SlotOwner>& FindOwners(const LeafId& leaf) const;

  // Returns the number of slots of the leaf that the VM owns; 0 if it is no owner.
  std::uint32_t CountSlots(const VmId& vm, const LeafId& leaf) const;

  void ForEachLeaf(
      const std::function<void(const LeafId&, const std::vector<SlotOwner>&)>& visit) const;

 private:
  std::unordered_map<std::string, std::vector<SlotOwner>> owners;
};

// ---- 5. SlotHolder ------------------------------------------------------------------------------

struct SlotHolderOptions {
  VmId vm;  // this VM
  // This long after this VM got a new list of VMs, the former holder of a slot knows the list too,
  // and its requests have ended.
  Duration takeover_wait = std::chrono::seconds(8);
  // After a pause of the process or a lapse of the right to hold, the newest list arrives within
  // this time.
  Duration resume_wait = std::chrono::seconds(2);
  // A longer time between two checks means that the process was paused and may have missed a list,
  // because checks normally are far more frequent.
  Duration pause_limit = std::chrono::seconds(1);
  // After a longer lapse other VMs may have taken slots over without the platform.
  Duration long_lapse = std::chrono::seconds(30);
  // Slots lost by a new placement stay in use for this time, until the other VMs know the new owner
  // and it may use them. It is added to the takeover wait and so must be equal on all VMs.
  Duration release_delay{};
};

// Slots that this VM releases to another one.
struct SlotHandOver {
  LeafId leaf;
  VmId to;
  std::uint32_t slots = 0;

  friend bool operator==(const SlotHandOver&, const SlotHandOver&) = default;
};

// Decides which slots this VM may use now. Two VMs can use a slot at the same time only while one
// of them has a stale list and its monitors acknowledge it nevertheless.
class SlotHolder {
 public:
  explicit SlotHolder(SlotHolderOptions options) : options(std::move(options)) {}

  // Applies a new placement. Lost slots are used until the release delay has passed, gained slots
  // only after the takeover wait. There is no wait only for the first placement of a list that
  // never changed (generation 1); a process that restarts under such a list may overlap with
  // requests that its predecessor left running.
  void OnPlan(std::shared_ptr<const SlotPlan> new_plan,
              std::uint64_t list_generation,
              TimePoint now);

  // The former holder released these slots to this VM and has no requests in flight on them. The
  // release may arrive before the placement that it belongs to.
  void OnRelease(const LeafId& leaf, std::uint32_t slots, TimePoint now);

  // The former primary stopped acting as primary. This may arrive before the placement as well.
  void OnPrimaryRelease(const LeafId& leaf, TimePoint now);

  // Updates the right to hold slots, which ends at `hold_until` as far as known now. Must be called
  // before each CountUsableSlots and at least every 100 ms. After a lapse no slots may be used
  // until the right was renewed and resume_wait has passed (takeover_wait after a lapse longer than
  // long_lapse). A pause of the process is followed by resume_wait as well.
  void UpdateRightToHold(TimePoint hold_until, TimePoint now);

  // Returns the slots that may be used now; 0 while the right to hold has lapsed.
  std::uint32_t CountUsableSlots(const LeafId& leaf, TimePoint now) const;

  // Returns, once, the slots to be released to other VMs as of the last UpdateRightToHold; empty
  // while the `in_flight` calls at the leaf need more slots than this VM keeps.
  std::vector<SlotHandOver> TakeHandOvers(const LeafId& leaf, std::uint32_t in_flight);

  // Returns the slots that this VM holds, whether or not its right to hold has lapsed.
  std::uint32_t CountHeldSlots(const LeafId& leaf, TimePoint now) const;

  // Returns whether this VM acts as primary of the leaf. The primary decides how many calls a cold
  // leaf gets, so only one VM may act as primary at a time. A VM that a placement makes primary
  // acts as primary once the former one reported that it stopped, or after the takeover wait.
  bool ActsAsPrimary(const LeafId& leaf, TimePoint now) const;

  // Returns, once, the VM to be notified that this VM no longer acts as primary. Must be called
  // only while this VM has no call at a cold leaf.
  std::optional<VmId> TakePrimaryHandOver(const LeafId& leaf);

  // Planned stop: releases all slots at once, as for a placement without this VM.
  void Leave(std::shared_ptr<const SlotPlan> plan_without_vm,
             std::uint64_t list_generation,
             TimePoint now);

  const SlotPlan& plan() const { return *this->current_plan; }
  bool IsSuspended(TimePoint now) const { return this->hold_expired || now < this->resume_at; }

 private:
  struct LeafSlots {
    std::uint32_t held_slots = 0;     // usable now
    std::uint32_t pending_slots = 0;  // usable from pending_usable_from on
    TimePoint pending_usable_from{};
    std::uint32_t lost_slots = 0;  // of those held: not usable from release_at on
    TimePoint release_at{};
    std::map<VmId, std::uint32_t> planned_releases;  // of those lost: to whom, from release_at on
    std::map<VmId, std::uint32_t> due_releases;      // lost, not yet taken by TakeHandOvers
    bool primary = false;
    bool becomes_primary = false;  // acts as primary from primary_from on
    TimePoint primary_from{};
    std::optional<VmId> new_primary;         // replaces this VM as primary from release_at on
    std::optional<VmId> primary_release_to;  // new primary, not yet notified

    std::uint32_t retained_slots() const { return this->held_slots - this->lost_slots; }
    bool releasing() const { return this->lost_slots > 0 || this->new_primary.has_value(); }
    void ApplyDueChanges(TimePoint now);
    void ReleaseLostSlots();
    void AddSlots(std::uint32_t gained_slots, TimePoint usable_from);
    // Takes pending slots first and marks the rest as lost. Returns the number of the lost ones.
    std::uint32_t RemoveSlots(std::uint32_t count);
  };
  struct EarlyRelease {
    std::uint32_t slots = 0;
    TimePoint received_at{};
  };

  void SetPrimary(LeafSlots& leaf_slots,
                  const std::vector<SlotOwner>& new_owners,
                  TimePoint now,
                  Duration takeover_delay);
  void ApplyEarlyReleases(const LeafId& leaf, TimePoint now);
  void MarkMissedLists();
  bool WasPaused(TimePoint now) const;
  void AssignLostSlots(LeafSlots& leaf_slots,
                       std::uint32_t lost_slots,
                       const std::vector<SlotOwner>& former_owners,
                       const std::vector<SlotOwner>& new_owners) const;

  SlotHolderOptions options;
  std::shared_ptr<const SlotPlan> current_plan = std::make_shared<const SlotPlan>();
  bool has_plan = false;
  std::uint64_t current_generation = 0;  // of the list of the current placement
  // Since the last placement lists and takeovers may have been missed.
  bool may_have_missed_lists = false;
  bool leaving = false;
  std::unordered_map<std::string, LeafSlots> slots_by_leaf;
  std::unordered_map<std::string, EarlyRelease> early_releases;
  // By leaf: time at which the former primary stopped.
  std::unordered_map<std::string, TimePoint> early_primary_releases;
  bool hold_expired = true;
  TimePoint hold_valid_until{};
  TimePoint last_checked_at{};
  TimePoint resume_at{};
};

}  // namespace ibishold

#endif  // IBISHOLD_OWNERSHIP_H_
