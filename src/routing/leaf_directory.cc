#include <algorithm>
#include <utility>

#include "ibishold/routing.h"

namespace ibishold {

LeafDirectory::LeafDirectory(LeafDirectoryOptions options) : options(options) {}

DirectoryEvent LeafDirectory::Put(const LeafEntry& entry, TimePoint now, ChangeOrigin origin) {
  if (origin == ChangeOrigin::kRestoredStore && this->MayUndoKnown(entry)) {
    return this->Defer(entry, now);
  }
  DirectoryEvent event = {.leaf = entry.id, .service = entry.service, .revision = entry.revision};
  const auto found = this->leaves.find(entry.id);
  if (found == this->leaves.end()) {
    this->leaves[entry.id].entry = entry;
    this->by_service[entry.service].push_back(entry.id);
    this->deferred_entries.erase(entry.id);
    event.change = DirectoryChange::kAdded;
    return event;
  }
  Leaf& leaf = found->second;
  if (entry.revision <= leaf.entry.revision || entry.revision <= leaf.removal_revision) {
    return event;
  }
  this->deferred_entries.erase(entry.id);
  if (leaf.entry.service != entry.service) {
    this->Erase(entry.id, entry.revision, now);
    return this->Put(entry, now);
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

// True if the leaf is known to have stated something at the time of the entry or later, unless the
// entry takes the known run of the leaf out of use.
bool LeafDirectory::MayUndoKnown(const LeafEntry& entry) const {
  const auto stated = std::pair(entry.started, entry.sequence);
  if (const auto found = this->leaves.find(entry.id); found != this->leaves.end()) {
    const LeafEntry& known = found->second.entry;
    const bool drains = entry.state == LeafState::kDraining && entry.started == known.started;
    return !drains && stated <= std::pair(known.started, known.sequence);
  }
  const auto removed = this->removed_leaves.find(entry.id);
  return removed != this->removed_leaves.end() &&
         stated <= std::pair(removed->second.started, removed->second.sequence);
}

DirectoryEvent LeafDirectory::Defer(const LeafEntry& entry, TimePoint now) {
  if (const auto found = this->leaves.find(entry.id); found != this->leaves.end()) {
    found->second.remove_at.reset();
  }
  this->deferred_entries[entry.id] = {.entry = entry, .apply_at = now + this->options.rewrite_time};
  return {.change = DirectoryChange::kUpdateDeferred,
          .leaf = entry.id,
          .service = entry.service,
          .revision = entry.revision};
}

DirectoryEvent LeafDirectory::Remove(const LeafId& id,
                                     Revision revision,
                                     TimePoint now,
                                     ChangeOrigin origin) {
  this->deferred_entries.erase(id);
  DirectoryEvent event = {.leaf = id, .revision = revision};
  const auto found = this->leaves.find(id);
  if (found == this->leaves.end() || revision <= found->second.entry.revision) {
    return event;
  }
  Leaf& leaf = found->second;
  event.service = leaf.entry.service;
  const bool restored = origin == ChangeOrigin::kRestoredStore;
  if ((restored || this->source_doubtful(now)) && leaf.entry.state == LeafState::kReady) {
    if (!leaf.remove_at || restored) {
      leaf.remove_at = now + (restored ? this->options.rewrite_time : this->options.removal_delay);
      leaf.removal_revision = revision;
      event.change = DirectoryChange::kRemovalDeferred;
    }
    return event;
  }
  return this->Erase(id, revision, now);
}

std::vector<DirectoryEvent> LeafDirectory::ReplaceAll(const std::vector<LeafEntry>& entries,
                                                      Revision revision,
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

std::vector<DirectoryEvent> LeafDirectory::ApplyDeferredChanges(TimePoint now) {
  std::erase_if(this->removed_leaves, [&](const auto& item) {
    return now - item.second.removed_at > this->options.removal_memory;
  });
  std::vector<std::pair<LeafId, Revision>> removals;
  for (const auto& [id, leaf] : this->leaves) {
    if (leaf.remove_at && *leaf.remove_at <= now) {
      removals.emplace_back(id, leaf.removal_revision);
    }
  }
  std::vector<LeafEntry> updates;
  for (const auto& [id, deferred] : this->deferred_entries) {
    if (deferred.apply_at <= now) {
      updates.push_back(deferred.entry);
    }
  }
  std::vector<DirectoryEvent> events;
  events.reserve(removals.size() + updates.size());
  for (const auto& [id, revision] : removals) {
    events.push_back(this->Erase(id, revision, now));
  }
  for (const LeafEntry& entry : updates) {
    this->deferred_entries.erase(entry.id);
    events.push_back(this->Put(entry, now));
  }
  return events;
}

void LeafDirectory::OnSourceFailure(TimePoint now) {
  this->source_failed_at = now;
}

void LeafDirectory::BeginEvacuation(const DataCentre& data_centre) {
  this->evacuations[data_centre.value] = std::nullopt;
}

bool LeafDirectory::EndEvacuation(const DataCentre& data_centre,
                                  TimePoint now,
                                  ChangeOrigin origin) {
  const auto found = this->evacuations.find(data_centre.value);
  if (origin == ChangeOrigin::kRestoredStore && found != this->evacuations.end()) {
    found->second = now + this->options.rewrite_time;
    return false;
  }
  this->evacuations.erase(data_centre.value);
  return true;
}

std::vector<DataCentre> LeafDirectory::ApplyDeferredEvacuationEnds(TimePoint now) {
  std::vector<DataCentre> ended;
  std::erase_if(this->evacuations, [&](const auto& item) {
    const bool due = item.second && *item.second <= now;
    if (due) {
      ended.emplace_back(item.first);
    }
    return due;
  });
  return ended;
}

bool LeafDirectory::evacuated(const DataCentre& data_centre) const {
  return this->evacuations.contains(data_centre.value);
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

DirectoryEvent LeafDirectory::Erase(const LeafId& id, Revision revision, TimePoint now) {
  DirectoryEvent event = {.leaf = id, .revision = revision};
  const auto found = this->leaves.find(id);
  if (found == this->leaves.end()) {
    return event;
  }
  const LeafEntry& entry = found->second.entry;
  event.service = entry.service;
  event.change = DirectoryChange::kRemoved;
  this->removed_leaves[id] = {
      .started = entry.started, .sequence = entry.sequence, .removed_at = now};
  std::erase(this->by_service[event.service], id);
  this->leaves.erase(found);
  return event;
}

bool LeafDirectory::source_doubtful(TimePoint now) const {
  return this->source_failed_at &&
         now - *this->source_failed_at < this->options.source_failure_window;
}

}  // namespace ibishold
