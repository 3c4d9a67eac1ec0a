#ifndef IBISHOLD_OWNERSHIP_H_
#define IBISHOLD_OWNERSHIP_H_

// Which VM may use which slots of a leaf.
//
// Index of this header:
//   1. PlacementOptions   how many owners a leaf has
//   2. SlotOwner          one owner and its part of a leaf's slots
//   3. PlaceLeaf          owners of one leaf over a list of VMs
//   4. SlotPlan           owners of all leaves, for lookup by leaf and by VM

#include <cstdint>
#include <unordered_map>
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

 private:
  std::unordered_map<std::string, std::vector<SlotOwner>> owners;
};

}  // namespace ibishold

#endif  // IBISHOLD_OWNERSHIP_H_
