#include <algorithm>
#include <unordered_set>
#include <utility>

#include "ibishold/fleet.h"

namespace ibishold {

DocumentMirror::DocumentMirror(DocumentMirrorOptions options) : options(options) {}

bool DocumentMirror::Apply(const DocumentChange& change) {
  const auto found = this->documents.find(change.key);
  const auto removal = this->removals.find(change.key);
  const Revision known = found != this->documents.end()    ? found->second.revision
                         : removal != this->removals.end() ? removal->second
                                                           : Revision();
  if (change.revision <= known) {
    return false;
  }
  if (change.removed) {
    this->removals[change.key] = change.revision;
    if (found == this->documents.end()) {
      return false;
    }
    this->documents.erase(found);
  } else {
    this->documents[change.key] = change;
    if (removal != this->removals.end()) {
      this->removals.erase(removal);
    }
  }
  return true;
}

std::vector<DocumentChange> DocumentMirror::ApplyList(const std::vector<DocumentChange>& listed,
                                                      Revision as_of) {
  std::vector<DocumentChange> applied;
  if (as_of < this->known_revision) {
    return applied;
  }
  const bool restored = this->initialized() && as_of.epoch > this->known_revision.epoch;
  const ChangeOrigin origin = restored ? ChangeOrigin::kRestoredStore : ChangeOrigin::kPublisher;
  if (restored) {
    this->removals.clear();
  }
  std::unordered_set<std::string> keys;
  for (const DocumentChange& document : listed) {
    keys.insert(document.key);
    const auto known = this->documents.find(document.key);
    if (restored && known != this->documents.end() && known->second.value == document.value) {
      known->second.revision = document.revision;
    } else if (this->Apply(document)) {
      applied.push_back(document);
      applied.back().origin = origin;
    }
  }
  this->RemoveUnlisted(keys, as_of, origin, applied);
  this->known_revision = as_of;
  this->change_log.clear();
  this->change_log_begin = as_of;
  return applied;
}

void DocumentMirror::RemoveUnlisted(const std::unordered_set<std::string>& listed_keys,
                                    Revision as_of,
                                    ChangeOrigin origin,
                                    std::vector<DocumentChange>& applied) {
  std::vector<std::string> removed;
  for (const auto& [key, document] : this->documents) {
    if (!listed_keys.contains(key) && document.revision <= as_of) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    // The exact revision of the removal is unknown; as_of is the highest one possible.
    this->documents.erase(key);
    this->removals[key] = as_of;
    applied.push_back({.key = key, .revision = as_of, .removed = true, .origin = origin});
  }
}

std::vector<DocumentChange> DocumentMirror::ApplyChanges(const std::vector<DocumentChange>& changes,
                                                         Revision as_of) {
  std::vector<DocumentChange> applied;
  if (as_of.epoch != this->known_revision.epoch) {
    return applied;
  }
  for (const DocumentChange& change : changes) {
    if (change.revision > this->known_revision) {
      this->change_log.push_back(change);
    }
    if (this->Apply(change)) {
      applied.push_back(change);
    }
  }
  this->known_revision = std::max(this->known_revision, as_of);
  while (this->change_log.size() > this->options.change_log_limit) {
    this->change_log_begin = this->change_log.front().revision;
    this->change_log.pop_front();
  }
  return applied;
}

std::optional<std::vector<DocumentChange>> DocumentMirror::ChangesAfter(Revision revision) const {
  if (revision < this->change_log_begin || !this->initialized()) {
    return std::nullopt;
  }
  std::vector<DocumentChange> changes;
  std::copy_if(this->change_log.begin(), this->change_log.end(), std::back_inserter(changes),
               [&](const DocumentChange& change) { return change.revision > revision; });
  return changes;
}

std::vector<DocumentChange> DocumentMirror::AllDocuments() const {
  std::vector<DocumentChange> all;
  all.reserve(this->documents.size());
  for (const auto& [key, document] : this->documents) {
    all.push_back(document);
  }
  return all;
}

}  // namespace ibishold
