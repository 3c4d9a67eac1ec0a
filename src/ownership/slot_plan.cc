#include "ibishold/ownership.h"

namespace ibishold {

SlotPlan::SlotPlan(const Topology& topology, const VmList& vms, const PlacementOptions& options) {
  for (const Service& service : topology.services) {
    for (const Shard& shard : service.shards) {
      for (const Leaf& leaf : shard.leaves) {
        this->owners[leaf.id.value] = PlaceLeaf(leaf, service.slots, vms, options);
      }
    }
  }
}

const std::vector<SlotOwner>& SlotPlan::FindOwners(const LeafId& leaf) const {
  static const std::vector<SlotOwner> kNoOwners;
  const auto found = this->owners.find(leaf.value);
  return found == this->owners.end() ? kNoOwners : found->second;
}

std::uint32_t SlotPlan::CountSlots(const VmId& vm, const LeafId& leaf) const {
  for (const SlotOwner& owner : this->FindOwners(leaf)) {
    if (owner.vm == vm) {
      return owner.slots;
    }
  }
  return 0;
}

void SlotPlan::ForEachLeaf(
    const std::function<void(const LeafId&, const std::vector<SlotOwner>&)>& visit) const {
  for (const auto& [leaf, leaf_owners] : this->owners) {
    visit(LeafId(leaf), leaf_owners);
  }
}

}  // namespace ibishold
