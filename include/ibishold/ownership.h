#ifndef IBISHOLD_OWNERSHIP_H_
#define IBISHOLD_OWNERSHIP_H_

// Which VM may use which slots of a leaf.
//
// Index of this header:
//   1. PlacementOptions   how many owners a leaf has
//   2. SlotOwner          one owner and its part of a leaf's slots
//   3. PlaceLeaf          owners of one leaf over a list of VMs
//   4. SlotPlan           owners of all leaves, for lookup by leaf and by VM
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
  std::uint32_t owners_per_leaf = 2;  // 2; capped at the leaf's slots
};

// ---- 2. SlotOwner -------------------------------------------------------------------------------

struct SlotOwner {
  VmId vm;
  std::uint32_t slots = 0;  // this owner's part; all owners' parts add up to the leaf's slots

  friend bool operator==(const SlotOwner&, const SlotOwner&) = default;
};

// ---- 3. PlaceLeaf -------------------------------------------------------------------------------

// Owners of a leaf, primary first: the live VMs with the highest rendezvous scores, those of the
// leaf's data centre before all others. Depends only on the arguments, so that VMs with equal lists
// agree. Empty if no VM is live.
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

  // Primary first; empty if the leaf is unknown.
  const std::vector<SlotOwner>& OwnersOf(const LeafId& leaf) const;

  // Slots that this VM owns of the leaf; 0 if none.
  std::uint32_t SlotsOf(const VmId& vm, const LeafId& leaf) const;

  void ForEach(
      const std::function<void(const LeafId&, const std::vector<SlotOwner>&)>& visit) const;

 private:
  std::unordered_map<std::string, std::vector<SlotOwner>> owners;
};

// ---- 5. SlotHolder ------------------------------------------------------------------------------

struct SlotHolderOptions {
  VmId vm;  // this VM
  // Requests of the former holder have ended and it has learned the new list after this time; 8 s.
  Duration takeover_wait = std::chrono::seconds(8);
  // After a pause or a lapse of the right to hold, the newest list arrives before this time; 2 s.
  Duration resume_wait = std::chrono::seconds(2);
  // Checks are far more frequent, so a longer time between two means that the process was paused
  // and may have missed a list; 1 s.
  Duration pause_limit = std::chrono::seconds(1);
  // After a longer lapse other VMs may have taken over without the platform; 30 s.
  Duration long_lapse = std::chrono::seconds(30);
  // Slots lost by a new placement are used for this time more, until the other VMs know their new
  // owner and it may hold slots. The takeover wait is longer by as much, so it must be the same on
  // all VMs; 0 s.
  Duration release_delay{};
};

// Slots that this VM gives to another one.
struct SlotHandOver {
  LeafId leaf;
  VmId to;
  std::uint32_t slots = 0;

  friend bool operator==(const SlotHandOver&, const SlotHandOver&) = default;
};

// Decides which slots this VM may use now. Two VMs use a slot at the same time only while one of
// them has a stale list and its monitors acknowledge it all the same.
class SlotHolder {
 public:
  explicit SlotHolder(SlotHolderOptions options) : options(std::move(options)) {}

  // A new placement. Slots that were lost are not used after the give-up delay; slots that were
  // gained are used after the takeover wait. Only in the first placement of a list that never
  // changed (generation 1) there is no wait; a process that was restarted under such a list may
  // overlap with what its predecessor left running.
  void OnPlan(std::shared_ptr<const SlotPlan> new_plan,
              std::uint64_t list_generation,
              TimePoint now);

  // The former holder gave these slots to this VM and has nothing in flight on them. It may arrive
  // before the placement that it belongs to.
  void OnRelease(const LeafId& leaf, std::uint32_t slots, TimePoint now);

  // The former primary stopped acting as such. It may arrive before the placement as well.
  void OnPrimaryRelease(const LeafId& leaf, TimePoint now);

  // To be called before each Usable, at least every 100 ms: `hold_until` is the end of the right to
  // hold as known now. After a lapse nothing may be used until the right was renewed and the wait
  // is over.
  void CheckHold(TimePoint hold_until, TimePoint now);

  // Slots that may be used now; 0 while the right to hold has lapsed.
  std::uint32_t Usable(const LeafId& leaf, TimePoint now) const;

  // Slots to be given to other VMs, once, when no more calls than `in_flight` run at the leaf, as
  // of the last CheckHold.
  std::vector<SlotHandOver> TakeHandOvers(const LeafId& leaf, std::uint32_t in_flight);

  // Slots that this VM has, whether or not the right to hold has lapsed.
  std::uint32_t Held(const LeafId& leaf, TimePoint now) const;

  // The primary of a leaf decides how many calls a cold leaf gets, so only one VM may act as
  // primary at a time. A VM that becomes primary by a placement acts as such once the former
  // primary has said that it stopped, or after the takeover wait.
  bool ActsAsPrimary(const LeafId& leaf, TimePoint now) const;

  // The VM to be told, once, that this VM no longer acts as primary; to be called only while this
  // VM has no call at a cold leaf.
  std::optional<VmId> TakePrimaryHandOver(const LeafId& leaf);

  // Planned stop: all slots are handed over at once as in a placement without this VM.
  void Leave(std::shared_ptr<const SlotPlan> plan_without, std::uint64_t generation, TimePoint now);

  const SlotPlan& plan() const { return *this->current; }
  bool lapsed(TimePoint now) const { return this->suspended || now < this->resume_at; }

 private:
  struct Part {
    std::uint32_t held = 0;     // usable now
    std::uint32_t pending = 0;  // usable from pending_until on
    TimePoint pending_until{};
    std::uint32_t lost = 0;  // of those held: not usable from release_at on
    TimePoint release_at{};
    std::map<VmId, std::uint32_t> planned_releases;  // of those lost: to whom, from release_at on
    std::map<VmId, std::uint32_t> due_releases;      // given up, not yet released
    bool primary = false;                            // acts as primary
    bool becomes_primary = false;                    // acts as primary from primary_from on
    TimePoint primary_from{};
    std::optional<VmId> new_primary;         // acts no longer as primary from release_at on
    std::optional<VmId> primary_release_to;  // the new primary, to be told

    std::uint32_t retained() const { return this->held - this->lost; }
    bool releasing() const { return this->lost > 0 || this->new_primary.has_value(); }
    void ApplyDue(TimePoint now);
    void ReleaseLost();
    void AddSlots(std::uint32_t gained, TimePoint until);
    std::uint32_t RemoveSlots(std::uint32_t count);  // how many of them were held
  };
  struct EarlyRelease {
    std::uint32_t slots = 0;
    TimePoint at{};
  };

  void SetPrimary(Part& part, const std::vector<SlotOwner>& after, TimePoint now, Duration wait);
  void ApplyEarlyReleases(const LeafId& leaf, TimePoint now);
  void MarkMissedLists();
  bool WasPaused(TimePoint now) const;
  void AssignLostSlots(Part& part,
                       std::uint32_t lost,
                       const std::vector<SlotOwner>& before,
                       const std::vector<SlotOwner>& after) const;

  SlotHolderOptions options;
  std::shared_ptr<const SlotPlan> current = std::make_shared<const SlotPlan>();
  bool has_plan = false;
  std::uint64_t generation = 0;  // of the list of the current placement
  bool may_have_missed_lists =
      false;  // lists and takeovers may have been missed since the last placement
  bool leaving = false;
  std::unordered_map<std::string, Part> parts;
  std::unordered_map<std::string, EarlyRelease> early_releases;
  std::unordered_map<std::string, TimePoint>
      early_primary_releases;  // when the former primary stopped
  bool suspended = true;       // until the first right to hold
  TimePoint hold_known_until{};
  TimePoint checked_at{};
  TimePoint resume_at{};
};

}  // namespace ibishold

#endif  // IBISHOLD_OWNERSHIP_H_
