#include <algorithm>
#include <utility>

#include "ibishold/routing.h"

namespace ibishold {

LeafDirectory::LeafDirectory(LeafDirectoryOptions options) : options(options) {}

DirectoryEvent LeafDirectory::Put(const LeafEntry& entry, TimePoint /*now*/) {
  DirectoryEvent event = {.leaf = entry.id, .service = entry.service, .revision = entry.revision};
  const auto found = this->leaves.find(entry.id);
  if (found == this->leaves.end()) {
    this->leaves[entry.id].entry = entry;
    this->by_service[entry.service].push_back(entry.id);
    event.change = DirectoryChange::kAdded;
    return event;
  }
  Leaf& leaf = found->second;
  if (entry.revision <= leaf.entry.revision || entry.revision <= leaf.removal_revision) {
    return event;
  }
  if (leaf.entry.service != entry.service) {
    this->Erase(entry.id, entry.revision);
    return this->Put(entry, {});
  }
  if (leaf.remove_at) {
    leaf.remove_at.reset();
    event.change = DirectoryChange::kRemovalCancelled;
  }
  if (leaf.entry.started != entry.started) {
    event.change = DirectoryChange::kRestarted;
  } else if (leaf.entry.state != entry.state) {
    event.change =
        entry.state == LeafState::kDraining ? DirectoryChange::kDraining : DirectoryChange::kReady;
  }
  leaf.entry = entry;
  return event;
}

DirectoryEvent LeafDirectory::Remove(const LeafId& id, std::uint64_t revision, TimePoint now) {
  DirectoryEvent event = {.leaf = id, .revision = revision};
  const auto found = this->leaves.find(id);
  if (found == this->leaves.end() || revision <= found->second.entry.revision) {
    return event;
  }
  Leaf& leaf = found->second;
  event.service = leaf.entry.service;
  if (this->source_doubtful(now) && leaf.entry.state == LeafState::kReady) {
    if (!leaf.remove_at) {
      leaf.remove_at = now + this->options.removal_delay;
      leaf.removal_revision = revision;
      event.change = DirectoryChange::kRemovalDeferred;
    }
    return event;
  }
  return this->Erase(id, revision);
}

std::vector<DirectoryEvent> LeafDirectory::ReplaceAll(const std::vector<LeafEntry>& entries,
                                                      std::uint64_t revision,
                                                      TimePoint now) {
  std::vector<DirectoryEvent> events;
  std::unordered_set<std::string> listed;
  for (const LeafEntry& entry : entries) {
    listed.insert(entry.id.value);
    events.push_back(this->Put(entry, now));
  }
  std::vector<LeafId> missing;
  for (const auto& [id, leaf] : this->leaves) {
    if (!listed.contains(id.value)) {
      missing.push_back(id);
    }
  }
  for (const LeafId& id : missing) {
    events.push_back(this->Remove(id, revision, now));
  }
  std::erase_if(events, [](const DirectoryEvent& event) {
    return event.change == DirectoryChange::kUnchanged;
  });
  return events;
}

std::vector<DirectoryEvent> LeafDirectory::ApplyDeferredRemovals(TimePoint now) {
  std::vector<DirectoryEvent> events;
  std::vector<std::pair<LeafId, std::uint64_t>> due;
  for (const auto& [id, leaf] : this->leaves) {
    if (leaf.remove_at && *leaf.remove_at <= now) {
      due.emplace_back(id, leaf.removal_revision);
    }
  }
  events.reserve(due.size());
  for (const auto& [id, revision] : due) {
    events.push_back(this->Erase(id, revision));
  }
  return events;
}

void LeafDirectory::OnSourceFailure(TimePoint now) {
  this->source_failed_at = now;
}

void LeafDirectory::SetEvacuated(std::unordered_set<std::string> data_centres) {
  this->evacuated_centres = std::move(data_centres);
}

bool LeafDirectory::evacuated(const DataCentre& data_centre) const {
  return this->evacuated_centres.contains(data_centre.value);
}

std::vector<const LeafEntry*> LeafDirectory::UsableLeaves(const ServiceName& service) const {
  std::vector<const LeafEntry*> usable;
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) {
    return usable;
  }
  for (const LeafId& id : found->second) {
    const LeafEntry& entry = this->leaves.at(id).entry;
    if (entry.state == LeafState::kReady && !this->evacuated(entry.data_centre)) {
      usable.push_back(&entry);
    }
  }
  return usable;
}

const LeafEntry* LeafDirectory::Find(const LeafId& id) const {
  const auto found = this->leaves.find(id);
  return found == this->leaves.end() ? nullptr : &found->second.entry;
}

DirectoryEvent LeafDirectory::Erase(const LeafId& id, std::uint64_t revision) {
  DirectoryEvent event = {.leaf = id, .revision = revision};
  const auto found = this->leaves.find(id);
  if (found == this->leaves.end()) {
    return event;
  }
  event.service = found->second.entry.service;
  event.change = DirectoryChange::kRemoved;
  std::erase(this->by_service[event.service], id);
  this->leaves.erase(found);
  return event;
}

bool LeafDirectory::source_doubtful(TimePoint now) const {
  return this->source_failed_at &&
         now - *this->source_failed_at < this->options.source_failure_window;
}

}  // namespace ibishold
