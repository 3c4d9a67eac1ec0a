#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "ibishold/snapshot.h"

namespace ibishold {

SnapshotTracker::SnapshotTracker(SnapshotTrackerOptions options) : options(options) {}

void SnapshotTracker::SetTopology(std::shared_ptr<const Topology> topology, TimePoint now) {
  if (this->current && topology &&
      this->current->partition_map_version != topology->partition_map_version) {
    this->previous = this->current;
    this->previous_expires_at = now + this->options.previous_map_retention;
  }
  this->current = std::move(topology);
  this->ForgetRemovedLeaves();
}

void SnapshotTracker::RecordStatement(const LeafStatement& statement) {
  const auto found = this->leaf_records.find(statement.leaf.value);
  if (found == this->leaf_records.end() && this->leaf_records.size() >= this->options.leaf_limit) {
    return;
  }
  LeafRecord& entry =
      found == this->leaf_records.end() ? this->leaf_records[statement.leaf.value] : found->second;
  if (statement.asked_at < entry.asked_at) {
    return;
  }
  entry.index_versions = statement.index_versions;
  entry.map_version = statement.map_version;
  entry.asked_at = statement.asked_at;
  entry.unreachable_until = TimePoint{};
}

void SnapshotTracker::MarkUnreachable(const LeafId& leaf, TimePoint now) {
  if (this->leaf_records.size() >= this->options.leaf_limit &&
      !this->leaf_records.contains(leaf.value)) {
    return;
  }
  this->leaf_records[leaf.value].unreachable_until = now + this->options.unreachable_time;
}

std::optional<PinnedSnapshot> SnapshotTracker::Select(const ServiceName& service,
                                                      const LeafFilter& usable,
                                                      TimePoint now) const {
  if (!this->current) {
    return std::nullopt;
  }
  std::optional<PinnedSnapshot> best;
  double best_share = -1;
  for (const auto& topology : {this->current, this->previous}) {
    if (!topology || (topology == this->previous && now >= this->previous_expires_at)) {
      continue;
    }
    const Service* found = topology->Find(service);
    if (found == nullptr) {
      continue;
    }
    const VersionCandidate candidate = this->BestVersion(*topology, *found, usable, now);
    const double share =
        static_cast<double>(candidate.shards_possible) / static_cast<double>(found->shards.size());
    if (share > best_share) {
      best_share = share;
      best = PinnedSnapshot{.topology = topology,
                            .service = found,
                            .snapshot = {.index_version = candidate.index_version,
                                         .partition_map_version = topology->partition_map_version}};
    }
    if (share >= 1) {
      break;  // the current map covers all shards, so the previous one is not needed
    }
  }
  return best;
}

bool SnapshotTracker::MayHold(const LeafId& leaf, const Snapshot& snapshot) const {
  const LeafRecord* entry = this->Find(leaf);
  return entry == nullptr || entry->index_versions.empty() || this->Holds(leaf, snapshot);
}

bool SnapshotTracker::Holds(const LeafId& leaf, const Snapshot& snapshot) const {
  const LeafRecord* entry = this->Find(leaf);
  return entry != nullptr && entry->map_version == snapshot.partition_map_version &&
         std::find(entry->index_versions.begin(), entry->index_versions.end(),
                   snapshot.index_version) != entry->index_versions.end();
}

bool SnapshotTracker::ClaimRecheck(const LeafId& leaf, TimePoint now) {
  const auto found = this->leaf_records.find(leaf.value);
  if (found == this->leaf_records.end()) {
    if (this->leaf_records.size() < this->options.leaf_limit) {
      this->leaf_records[leaf.value].checked_at = now;
    }
    return true;
  }
  LeafRecord& entry = found->second;
  if (now - entry.asked_at < this->options.recheck_interval ||
      now - entry.checked_at < this->options.recheck_interval || entry.unreachable_until > now) {
    return false;
  }
  entry.checked_at = now;
  return true;
}

SnapshotTracker::VersionCandidate SnapshotTracker::BestVersion(const Topology& topology,
                                                               const Service& service,
                                                               const LeafFilter& usable,
                                                               TimePoint now) const {
  // Only a few versions exist at a time, so linear search is fast enough.
  std::vector<VersionCandidate> candidates = {{.index_version = service.index_version}};
  std::vector<std::uint64_t> shard_versions;
  std::size_t shards_with_unknown_leaf = 0;  // shards with a leaf that has stated no versions
  for (const Shard& shard : service.shards) {
    shard_versions.clear();
    bool has_unknown_leaf = false;
    for (const Leaf& leaf : shard.leaves) {
      const LeafRecord* entry = this->Find(leaf.id);
      if ((usable && !usable(leaf)) || (entry != nullptr && entry->unreachable_until > now)) {
        continue;
      }
      if (entry == nullptr || entry->index_versions.empty()) {
        has_unknown_leaf = true;
        continue;
      }
      if (entry->map_version == topology.partition_map_version) {
        shard_versions.insert(shard_versions.end(), entry->index_versions.begin(),
                              entry->index_versions.end());
      }
    }
    std::sort(shard_versions.begin(), shard_versions.end());
    shard_versions.erase(std::unique(shard_versions.begin(), shard_versions.end()),
                         shard_versions.end());
    shards_with_unknown_leaf += has_unknown_leaf ? 1 : 0;
    for (const std::uint64_t version : shard_versions) {
      auto found = std::find_if(candidates.begin(), candidates.end(),
                                [version](const VersionCandidate& candidate) {
                                  return candidate.index_version == version;
                                });
      if (found == candidates.end()) {
        candidates.push_back({.index_version = version});
        found = candidates.end() - 1;
      }
      ++found->shards_stated;
      found->shards_possible += has_unknown_leaf ? 0 : 1;
    }
  }
  const auto rank = [&](const VersionCandidate& candidate) {
    const bool certain = candidate.shards_stated == service.shards.size();
    return std::make_tuple(candidate.shards_possible + shards_with_unknown_leaf, certain,
                           !certain && candidate.index_version == service.index_version,
                           candidate.index_version);
  };
  VersionCandidate best = *std::max_element(
      candidates.begin(), candidates.end(),
      [&rank](const VersionCandidate& a, const VersionCandidate& b) { return rank(a) < rank(b); });
  best.shards_possible += shards_with_unknown_leaf;
  return best;
}

void SnapshotTracker::ForgetRemovedLeaves() {
  std::unordered_set<std::string_view> listed;
  for (const auto& topology : {this->current, this->previous}) {
    if (!topology) {
      continue;
    }
    for (const Service& service : topology->services) {
      for (const Shard& shard : service.shards) {
        for (const Leaf& leaf : shard.leaves) {
          listed.insert(leaf.id.value);
        }
      }
    }
  }
  std::erase_if(this->leaf_records,
                [&listed](const auto& item) { return !listed.contains(item.first); });
}

const SnapshotTracker::LeafRecord* SnapshotTracker::Find(const LeafId& leaf) const {
  const auto found = this->leaf_records.find(leaf.value);
  return found == this->leaf_records.end() ? nullptr : &found->second;
}

}  // namespace ibishold
