#include <algorithm>

#include "ibishold/snapshot.h"

namespace ibishold {

QueryPlanner::Candidates QueryPlanner::CandidatesFor(const Shard& shard,
                                                     const Snapshot& snapshot,
                                                     const LeafFilter& usable,
                                                     const std::vector<LeafId>& tried,
                                                     TimePoint now) const {
  Candidates candidates;
  std::vector<const Leaf*> others;
  for (const Leaf& leaf : shard.leaves) {
    if (std::find(tried.begin(), tried.end(), leaf.id) != tried.end() ||
        (usable && !usable(leaf))) {
      continue;
    }
    if (this->tracker.Holds(leaf.id, snapshot)) {
      candidates.holding.push_back(&leaf);
    } else {
      others.push_back(&leaf);
    }
  }
  for (const Leaf* leaf : others) {
    if (!candidates.holding.empty() && this->tracker.ClaimRecheck(leaf->id, now)) {
      candidates.holding.push_back(leaf);
    } else if (this->tracker.MayHold(leaf->id, snapshot)) {
      candidates.possible.push_back(leaf);
    }
  }
  return candidates;
}

std::vector<const Leaf*> QueryPlanner::LeavesToCheck(const Shard& shard,
                                                     const LeafFilter& usable,
                                                     const std::vector<LeafId>& tried,
                                                     TimePoint now) const {
  std::vector<const Leaf*> due;
  for (const Leaf& leaf : shard.leaves) {
    const bool excluded =
        std::find(tried.begin(), tried.end(), leaf.id) != tried.end() || (usable && !usable(leaf));
    if (!excluded && this->tracker.ClaimRecheck(leaf.id, now)) {
      due.push_back(&leaf);
    }
  }
  return due;
}

std::size_t QueryPlanner::ShardOf(const Service& service, std::uint64_t key) {
  const auto after =
      std::upper_bound(service.shards.begin(), service.shards.end(), key,
                       [](std::uint64_t k, const Shard& shard) { return k < shard.range.begin; });
  return after == service.shards.begin()
             ? 0
             : static_cast<std::size_t>(after - service.shards.begin()) - 1;
}

}  // namespace ibishold
