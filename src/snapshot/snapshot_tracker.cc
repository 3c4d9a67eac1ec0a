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
    this->previous_until = now + this->options.keep_previous_map;
  }
  this->current = std::move(topology);
  this->ForgetRemovedLeaves();
}

void SnapshotTracker::RecordStatement(const LeafStatement& statement) {
  const auto found = this->known.find(statement.leaf.value);
  if (found == this->known.end() && this->known.size() >= this->options.leaf_limit) {
    return;
  }
  Known& entry = found == this->known.end() ? this->known[statement.leaf.value] : found->second;
  if (statement.asked_at < entry.asked_at) {
    return;
  }
  entry.index_versions = statement.index_versions;
  entry.map_version = statement.map_version;
  entry.asked_at = statement.asked_at;
  entry.unreachable_until = TimePoint{};
}

void SnapshotTracker::MarkUnreachable(const LeafId& leaf, TimePoint now) {
  if (this->known.size() >= this->options.leaf_limit && !this->known.contains(leaf.value)) {
    return;
  }
  this->known[leaf.value].unreachable_until = now + this->options.forget_unreachable;
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
    if (!topology || (topology == this->previous && now >= this->previous_until)) {
      continue;
    }
    const Service* found = topology->Find(service);
    if (found == nullptr) {
      continue;
    }
    const Choice choice = this->BestVersion(*topology, *found, usable, now);
    const double share =
        static_cast<double>(choice.possible) / static_cast<double>(found->shards.size());
    if (share > best_share) {
      best_share = share;
      best = PinnedSnapshot{.topology = topology,
                            .service = found,
                            .snapshot = {.index_version = choice.index_version,
                                         .partition_map_version = topology->partition_map_version}};
    }
    if (share >= 1) {
      break;  // the newer map is preferred
    }
  }
  return best;
}

bool SnapshotTracker::MayHold(const LeafId& leaf, const Snapshot& snapshot) const {
  const Known* entry = this->Find(leaf);
  return entry == nullptr || entry->index_versions.empty() || this->Holds(leaf, snapshot);
}

bool SnapshotTracker::Holds(const LeafId& leaf, const Snapshot& snapshot) const {
  const Known* entry = this->Find(leaf);
  return entry != nullptr && entry->map_version == snapshot.partition_map_version &&
         std::find(entry->index_versions.begin(), entry->index_versions.end(),
                   snapshot.index_version) != entry->index_versions.end();
}

bool SnapshotTracker::DueForCheck(const LeafId& leaf, TimePoint now) {
  const auto found = this->known.find(leaf.value);
  if (found == this->known.end()) {
    if (this->known.size() < this->options.leaf_limit) {
      this->known[leaf.value].checked_at = now;
    }
    return true;
  }
  Known& entry = found->second;
  if (now - entry.asked_at < this->options.recheck ||
      now - entry.checked_at < this->options.recheck || entry.unreachable_until > now) {
    return false;
  }
  entry.checked_at = now;
  return true;
}

SnapshotTracker::Choice SnapshotTracker::BestVersion(const Topology& topology,
                                                     const Service& service,
                                                     const LeafFilter& usable,
                                                     TimePoint now) const {
  // Few versions live at a time, so a linear list is enough.
  std::vector<Choice> choices = {{.index_version = service.index_version}};
  std::vector<std::uint64_t> of_shard;
  std::size_t silent_shards = 0;  // with a leaf that has stated nothing
  for (const Shard& shard : service.shards) {
    of_shard.clear();
    bool silent = false;
    for (const Leaf& leaf : shard.leaves) {
      const Known* entry = this->Find(leaf.id);
      if ((usable && !usable(leaf)) || (entry != nullptr && entry->unreachable_until > now)) {
        continue;
      }
      if (entry == nullptr || entry->index_versions.empty()) {
        silent = true;
        continue;
      }
      if (entry->map_version == topology.partition_map_version) {
        of_shard.insert(of_shard.end(), entry->index_versions.begin(), entry->index_versions.end());
      }
    }
    std::sort(of_shard.begin(), of_shard.end());
    of_shard.erase(std::unique(of_shard.begin(), of_shard.end()), of_shard.end());
    silent_shards += silent ? 1 : 0;
    for (const std::uint64_t version : of_shard) {
      auto found = std::find_if(choices.begin(), choices.end(), [version](const Choice& choice) {
        return choice.index_version == version;
      });
      if (found == choices.end()) {
        choices.push_back({.index_version = version});
        found = choices.end() - 1;
      }
      ++found->stated;
      found->possible += silent ? 0 : 1;
    }
  }
  const auto rank = [&](const Choice& choice) {
    const bool certain = choice.stated == service.shards.size();
    return std::make_tuple(choice.possible + silent_shards, certain,
                           !certain && choice.index_version == service.index_version,
                           choice.index_version);
  };
  Choice best =
      *std::max_element(choices.begin(), choices.end(),
                        [&rank](const Choice& a, const Choice& b) { return rank(a) < rank(b); });
  best.possible += silent_shards;
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
  std::erase_if(this->known, [&listed](const auto& item) { return !listed.contains(item.first); });
}

const SnapshotTracker::Known* SnapshotTracker::Find(const LeafId& leaf) const {
  const auto found = this->known.find(leaf.value);
  return found == this->known.end() ? nullptr : &found->second;
}

}  // namespace ibishold
