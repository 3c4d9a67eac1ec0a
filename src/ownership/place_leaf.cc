#include <algorithm>
#include <utility>

#include "ibishold/ownership.h"

namespace ibishold {

namespace {

struct Candidate {
  bool same_data_centre = false;
  std::uint64_t score = 0;
  const VmEntry* vm = nullptr;

  // Candidates with equal scores are ordered by id, so that all VMs choose the same owners.
  bool RanksBefore(const Candidate& other) const {
    if (this->same_data_centre != other.same_data_centre) {
      return this->same_data_centre;
    }
    if (this->score != other.score) {
      return this->score > other.score;
    }
    return this->vm->id < other.vm->id;
  }
};

}  // namespace

std::vector<SlotOwner> PlaceLeaf(const Leaf& leaf,
                                 std::uint32_t slots,
                                 const VmList& vms,
                                 const PlacementOptions& options) {
  std::vector<Candidate> candidates;
  candidates.reserve(vms.vms.size());
  for (const VmEntry& vm : vms.vms) {
    if (vm.state == VmState::kLive) {
      candidates.push_back({.same_data_centre = vm.data_centre == leaf.data_centre,
                            .score = RendezvousScore(leaf.id.value, vm.id.value),
                            .vm = &vm});
    }
  }
  const std::size_t owner_count =
      std::min<std::size_t>({candidates.size(), slots, options.owners_per_leaf});
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(owner_count), candidates.end(),
                    [](const Candidate& a, const Candidate& b) { return a.RanksBefore(b); });
  std::vector<SlotOwner> owners;
  for (std::size_t i = 0; i < owner_count; ++i) {
    const auto owner_slots =
        static_cast<std::uint32_t>(slots / owner_count + (i < slots % owner_count ? 1 : 0));
    owners.push_back({.vm = candidates[i].vm->id, .slots = owner_slots});
  }
  return owners;
}

}  // namespace ibishold
