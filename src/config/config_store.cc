#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ibishold/config.h"

namespace ibishold {

namespace {

// Number of refused texts that are kept. One mistake of an operator yields one or two.
constexpr std::size_t kMaxRefusedDocuments = 16;

struct ParsedDocument {
  std::uint64_t generation = 0;
  std::shared_ptr<const Topology> topology;
  std::shared_ptr<const Table> table;
  std::shared_ptr<const VmList> vms;
};

template <typename T>
absl::Status StoreParsed(absl::StatusOr<T> document,
                         std::shared_ptr<const T>& member,
                         std::uint64_t& generation) {
  if (!document.ok()) {
    return document.status();
  }
  generation = document->generation;
  member = std::make_shared<const T>(*std::move(document));
  return absl::OkStatus();
}

absl::StatusOr<ParsedDocument> ParseDocument(const Document& document) {
  ParsedDocument parsed;
  absl::Status status;
  if (document.digest.key == kTopologyKey) {
    status = StoreParsed(ParseTopology(document.text), parsed.topology, parsed.generation);
  } else if (document.digest.key == kTableKey) {
    status = StoreParsed(ParseTable(document.text), parsed.table, parsed.generation);
  } else if (document.digest.key == kVmsKey) {
    status = StoreParsed(ParseVmList(document.text), parsed.vms, parsed.generation);
  } else {
    status = absl::InvalidArgumentError(absl::StrCat("unknown document key ", document.digest.key));
  }
  if (!status.ok()) {
    return status;
  }
  return parsed;
}

}  // namespace

bool Supersedes(const Digest& candidate, const Digest& current) {
  if (candidate.generation != current.generation) {
    return candidate.generation > current.generation;
  }
  return candidate.hash < current.hash;
}

OfferResult ConfigStore::Offer(Document document) {
  document.digest.hash = StableHash(document.text);
  const Document* current = this->Find(document.digest.key);
  if (current != nullptr && current->digest.hash == document.digest.hash) {
    return OfferResult::kKnown;
  }
  if (this->IsRefused(document.digest)) {
    return OfferResult::kInvalid;
  }
  absl::StatusOr<ParsedDocument> parsed = ParseDocument(document);
  if (!parsed.ok()) {
    ++this->refused_total;
    this->refusals.push_back({document.digest, std::string(parsed.status().message())});
    if (this->refusals.size() > kMaxRefusedDocuments) {
      this->refusals.pop_front();
    }
    return OfferResult::kInvalid;
  }
  document.digest.generation = parsed->generation;
  OfferResult result = OfferResult::kAccepted;
  if (current != nullptr) {
    if (parsed->generation < current->digest.generation) {
      return OfferResult::kOlder;
    }
    if (parsed->generation == current->digest.generation) {
      ++this->conflict_count;
      if (!Supersedes(document.digest, current->digest)) {
        return OfferResult::kConflictKept;
      }
      result = OfferResult::kConflictApplied;
    }
  }
  if (parsed->topology) {
    this->topology_in_force = std::move(parsed->topology);
  } else if (parsed->table) {
    this->table_in_force = std::move(parsed->table);
  } else {
    this->vms_in_force = std::move(parsed->vms);
  }
  const auto existing =
      std::find_if(this->in_force.begin(), this->in_force.end(),
                   [&](const Document& each) { return each.digest.key == document.digest.key; });
  if (existing != this->in_force.end()) {
    *existing = std::move(document);
  } else {
    // Ordered by key, so that equal sets of documents give equal lists of digests.
    const auto next = std::upper_bound(
        this->in_force.begin(), this->in_force.end(), document.digest.key,
        [](const std::string& key, const Document& each) { return key < each.digest.key; });
    this->in_force.insert(next, std::move(document));
  }
  return result;
}

bool ConfigStore::ShouldFetch(const Digest& digest) const {
  if (this->IsRefused(digest)) {
    return false;
  }
  const Document* current = this->Find(digest.key);
  return current == nullptr || Supersedes(digest, current->digest);
}

std::vector<Digest> ConfigStore::digests() const {
  std::vector<Digest> result;
  result.reserve(this->in_force.size());
  for (const Document& document : this->in_force) {
    result.push_back(document.digest);
  }
  return result;
}

const Document* ConfigStore::Find(std::string_view key) const {
  const auto found = std::find_if(this->in_force.begin(), this->in_force.end(),
                                  [&](const Document& each) { return each.digest.key == key; });
  return found == this->in_force.end() ? nullptr : &*found;
}

bool ConfigStore::IsRefused(const Digest& digest) const {
  return std::any_of(this->refusals.begin(), this->refusals.end(),
                     [&](const RefusedDocument& each) {
                       return each.digest.key == digest.key && each.digest.hash == digest.hash;
                     });
}

}  // namespace ibishold
