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
  std::uint32_t owners_per_leaf = 2;  // reduced to the number of the leaf's slots
};

// ---- 2. SlotOwner -------------------------------------------------------------------------------

struct SlotOwner {
  VmId vm;
  std::uint32_t slots = 0;  // sum over all owners: slots of the leaf

  friend bool operator==(const SlotOwner&, const SlotOwner&) = default;
};

// ---- 3. PlaceLeaf -------------------------------------------------------------------------------

// Chooses the owners of a leaf by rendezvous hashing among the live VMs. VMs in the leaf's data
// centre are preferred. Returns the primary first, and nothing if no VM is live. The result depends
// only on the arguments, so all VMs with the same list choose the same owners.
std::vector<SlotOwner> PlaceLeaf(const Leaf& leaf,
                                 std::uint32_t slots,
                                 const VmList& vms,
                                 const PlacementOptions& options = {});

// ---- 4. SlotPlan --------------------------------------------------------------------------------

// Owners of the slots of all leaves of a topology.
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
  // Time from the arrival of a new list of VMs until gained slots may be used. By then the former
  // holder of a slot has the list too, and its requests have ended.
  Duration takeover_wait = std::chrono::seconds(8);
  // Time for which no slots are used after a pause of the process or a lapse of the right to hold
  // slots. The newest list of VMs arrives within it.
  Duration resume_wait = std::chrono::seconds(2);
  // If UpdateRightToHold is not invoked for longer than this, the process was paused and may have
  // missed a list of VMs. Normally the interval is far shorter.
  Duration pause_limit = std::chrono::seconds(1);
  // After a lapse of the right to hold slots that is longer than this, other VMs may have taken
  // slots over without the platform, so takeover_wait is used instead of resume_wait.
  Duration long_lapse = std::chrono::seconds(30);
  // Slots that a new placement takes away stay in use for this time, so that the other VMs learn
  // the new owner first. The new owner adds it to takeover_wait, so it must be equal on all VMs.
  Duration release_delay{};
};

// Slots that this VM releases to another VM.
struct SlotHandOver {
  LeafId leaf;
  VmId to;
  std::uint32_t slots = 0;

  friend bool operator==(const SlotHandOver&, const SlotHandOver&) = default;
};

// Decides which slots this VM may use now. Two VMs can use a slot at the same time only if one of
// them has a stale list of VMs while its monitors still renew its right to hold slots.
class SlotHolder {
 public:
  explicit SlotHolder(SlotHolderOptions options) : options(std::move(options)) {}

  // Applies a new placement. Lost slots are used until release_delay has passed, gained slots only
  // after the takeover wait. The first placement of this process needs no wait if the list of VMs
  // has never changed (generation 1). A process that restarts under such a list may use slots on
  // which requests of the previous process are still running.
  void OnPlan(std::shared_ptr<const SlotPlan> new_plan,
              std::uint64_t list_generation,
              TimePoint now);

  // Records that the former holder released slots to this VM and has no requests in flight on them.
  // The release may arrive before the placement that assigns the slots to this VM.
  void OnRelease(const LeafId& leaf, std::uint32_t slots, TimePoint now);

  // Records that the former primary no longer acts as primary. The message may arrive before the
  // placement that makes this VM the primary.
  void OnPrimaryRelease(const LeafId& leaf, TimePoint now);

  // Updates the right to hold slots, which lapses at `hold_until` unless it is renewed. Must be
  // called before each CountUsableSlots and at least every 100 ms. After a lapse, no slots may be
  // used until the right has been renewed and resume_wait has passed (takeover_wait after a lapse
  // longer than long_lapse). After a pause of the process, resume_wait must pass too.
  void UpdateRightToHold(TimePoint hold_until, TimePoint now);

  // Returns the number of slots that may be used now; 0 while this VM is suspended or leaving.
  std::uint32_t CountUsableSlots(const LeafId& leaf, TimePoint now) const;

  // Returns the slots to be released to other VMs as of the last UpdateRightToHold, each of them
  // only once. Returns nothing while more calls are in flight than this VM still holds slots.
  std::vector<SlotHandOver> TakeHandOvers(const LeafId& leaf, std::uint32_t in_flight);

  // Returns the number of slots that this VM holds, even if its right to hold them has lapsed.
  std::uint32_t CountHeldSlots(const LeafId& leaf, TimePoint now) const;

  // Returns whether this VM acts as primary of the leaf. The primary decides how many calls a cold
  // leaf gets, so only one VM may act as primary at a time. A new primary acts as primary once the
  // former one has reported that it stopped, or after the takeover wait.
  bool ActsAsPrimary(const LeafId& leaf, TimePoint now) const;

  // Returns the new primary, which must be notified that this VM no longer acts as primary; nullopt
  // if there is none or it was returned before. Must be called only while this VM has no call in
  // flight to the leaf if the leaf is cold.
  std::optional<VmId> TakePrimaryHandOver(const LeafId& leaf);

  // Releases all slots at once for a planned stop. The plan is one without this VM.
  void Leave(std::shared_ptr<const SlotPlan> plan_without_vm,
             std::uint64_t list_generation,
             TimePoint now);

  const SlotPlan& plan() const { return *this->current_plan; }
  // Returns whether no slots may be used after a lapse or a pause (see UpdateRightToHold).
  bool IsSuspended(TimePoint now) const { return this->hold_expired || now < this->resume_at; }

 private:
  struct LeafSlots {
    std::uint32_t held_slots = 0;     // usable if not suspended
    std::uint32_t pending_slots = 0;  // usable from pending_usable_from on
    TimePoint pending_usable_from{};
    std::uint32_t lost_slots = 0;  // part of held_slots; not usable from release_at on
    TimePoint release_at{};
    std::map<VmId, std::uint32_t> planned_releases;  // part of lost_slots, by new owner
    std::map<VmId, std::uint32_t> due_releases;      // by new owner; for TakeHandOvers
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
    // Removes pending slots first and marks the rest as lost. Returns the number of lost slots.
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
  std::uint64_t current_generation = 0;  // of the list of VMs of current_plan
  // Lists of VMs and takeovers by other VMs may have been missed since current_plan arrived.
  bool may_have_missed_lists = false;
  bool leaving = false;
  std::unordered_map<std::string, LeafSlots> slots_by_leaf;
  std::unordered_map<std::string, EarlyRelease> early_releases;
  // Key: leaf. Value: arrival of the report that the former primary stopped.
  std::unordered_map<std::string, TimePoint> early_primary_releases;
  bool hold_expired = true;  // until the right to hold is granted for the first time
  TimePoint hold_valid_until{};
  TimePoint last_checked_at{};
  TimePoint resume_at{};
};

}  // namespace ibishold

#endif  // IBISHOLD_OWNERSHIP_H_
