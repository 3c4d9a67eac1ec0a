#ifndef IBISHOLD_SNAPSHOT_H_
#define IBISHOLD_SNAPSHOT_H_

// Answers each query from one snapshot of the index: which versions the query is pinned to, which
// leaves are asked, and which answers may be merged.
//
// Index of this header:
//   1. Snapshot          the two versions that a query is pinned to
//   2. SnapshotTracker   versions that the leaves hold, and the choice of a snapshot
//   3. QueryPlanner      the leaves that can answer for a shard at a snapshot
//   4. Coverage          the share of the key ranges that an answer holds
//   5. AnswerMerger      merges the answers of leaves into one

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ibishold/config.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. Snapshot --------------------------------------------------------------------------------

struct Snapshot {
  std::uint64_t index_version = 0;          // as stated by leaves
  std::uint64_t partition_map_version = 0;  // of the topology that defines the shards

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

// A snapshot together with the documents that it refers to.
struct PinnedSnapshot {
  std::shared_ptr<const Topology> topology;  // owns `service`
  const Service* service = nullptr;          // points into `topology`
  Snapshot snapshot;
};

// ---- 2. SnapshotTracker -------------------------------------------------------------------------

struct SnapshotTrackerOptions {
  // How long the previous partition map may still be pinned after a new one.
  Duration previous_map_retention = std::chrono::seconds(60);
  // How long an unreachable leaf does not count in the choice of a snapshot.
  Duration unreachable_time = std::chrono::seconds(5);
  // Minimum time between requests to a leaf that lacks the version.
  Duration recheck_interval = std::chrono::seconds(1);
  std::size_t leaf_limit = 65536;  // maximum number of leaves with a record
};

// What a leaf states about its versions in one answer.
struct LeafStatement {
  LeafId leaf;
  std::vector<std::uint64_t> index_versions;  // all versions that the leaf holds
  std::uint64_t map_version = 0;              // partition map version that the leaf serves
  TimePoint asked_at{};                       // when the request was sent
};

// True if a leaf may receive work now: its data centre is in service and an owner is reachable.
using LeafFilter = std::function<bool(const Leaf&)>;

class SnapshotTracker {
 public:
  explicit SnapshotTracker(SnapshotTrackerOptions options = {});

  // Sets the current topology. If its partition map is new, the previous topology may still be
  // pinned for previous_map_retention.
  void SetTopology(std::shared_ptr<const Topology> topology, TimePoint now);

  // Ignores a statement if its request was sent earlier than that of the last recorded one.
  void RecordStatement(const LeafStatement& statement);

  // The leaf could not be reached. Its versions do not count for unreachable_time or until it
  // answers again.
  void MarkUnreachable(const LeafId& leaf, TimePoint now);

  // Selects the newest version that a usable leaf of every shard states. A leaf that has not
  // answered yet may hold any version; while such leaves are needed to cover all shards, the
  // version that the topology suggests is preferred. If no version can cover all shards, the result
  // is the one that covers the most. Returns nothing if the service is not published.
  std::optional<PinnedSnapshot> Select(const ServiceName& service,
                                       const LeafFilter& usable,
                                       TimePoint now) const;

  // False if the leaf is known not to hold the snapshot.
  bool MayHold(const LeafId& leaf, const Snapshot& snapshot) const;
  // True if the last answer of the leaf stated that it holds the snapshot.
  bool Holds(const LeafId& leaf, const Snapshot& snapshot) const;

  // Returns true at most once per recheck_interval for a leaf without a statement in that time, and
  // records the check. The leaf is then asked although it is not known to hold the version, because
  // only its answer can show that it does by now.
  bool ClaimRecheck(const LeafId& leaf, TimePoint now);

  const std::shared_ptr<const Topology>& topology() const { return this->current; }

 private:
  struct LeafRecord {
    std::vector<std::uint64_t> index_versions;
    std::uint64_t map_version = 0;
    TimePoint asked_at{};
    TimePoint checked_at{};
    TimePoint unreachable_until{};
  };

  struct VersionCandidate {
    std::uint64_t index_version = 0;
    std::size_t shards_stated = 0;    // shards with a leaf that states the version
    std::size_t shards_possible = 0;  // shards with such a leaf or one that has not answered yet
  };

  void ForgetRemovedLeaves();
  VersionCandidate BestVersion(const Topology& topology,
                               const Service& service,
                               const LeafFilter& usable,
                               TimePoint now) const;
  const LeafRecord* Find(const LeafId& leaf) const;

  SnapshotTrackerOptions options;
  std::shared_ptr<const Topology> current;
  std::shared_ptr<const Topology> previous;  // the last one with another partition map, or null
  TimePoint previous_expires_at{};
  std::unordered_map<std::string, LeafRecord> leaf_records;
};

// ---- 3. QueryPlanner ----------------------------------------------------------------------------

// Lists the leaves that can answer for a shard, in two groups: those known to hold the snapshot are
// preferred to those that may hold it. Leaves that are not usable, were already tried or are known
// to lack the snapshot are left out.
class QueryPlanner {
 public:
  explicit QueryPlanner(SnapshotTracker& tracker) : tracker(tracker) {}

  struct Candidates {
    std::vector<const Leaf*> holding;   // state the snapshot, or are due for a recheck
    std::vector<const Leaf*> possible;  // have not stated their versions yet

    bool empty() const { return this->holding.empty() && this->possible.empty(); }
    // The group to choose from first.
    const std::vector<const Leaf*>& preferred() const {
      return this->holding.empty() ? this->possible : this->holding;
    }
  };

  Candidates CandidatesFor(const Shard& shard,
                           const Snapshot& snapshot,
                           const LeafFilter& usable,
                           const std::vector<LeafId>& tried,
                           TimePoint now) const;

  // For a shard without candidates: the leaves that are due for a recheck. Records the check. Their
  // last statements may be outdated, and no other request would update them.
  std::vector<const Leaf*> LeavesToCheck(const Shard& shard,
                                         const LeafFilter& usable,
                                         const std::vector<LeafId>& tried,
                                         TimePoint now) const;

  // Returns the index of the shard that holds the key. The service's shards cover all keys.
  static std::size_t ShardOf(const Service& service, std::uint64_t key);

 private:
  SnapshotTracker& tracker;
};

// ---- 4. Coverage --------------------------------------------------------------------------------

enum class ShardState : std::uint8_t {
  kFull,     // a leaf returned a complete answer
  kPartial,  // a leaf returned an answer that it marked as incomplete
  kMissing,  // no answer from the pinned snapshot
};

inline constexpr std::array<std::string_view, 3> kShardStateNames = {"full", "partial", "missing"};

struct ShardCoverage {
  ShardId shard;
  ShardState state = ShardState::kMissing;
  std::string reason;  // why the shard is not full; empty if it is
};

struct Coverage {
  // 0..1, share of the key space in full shards; 1 only if all shards are full.
  double fraction = 0;
  std::vector<ShardCoverage> shards;  // all shards of the pinned partition map, ordered by key

  bool full() const;
};

// ---- 5. AnswerMerger ----------------------------------------------------------------------------

enum class MergeResult : std::uint8_t {
  kFull,          // merged; the shard is complete
  kPartial,       // merged; a complete answer may still replace it
  kDuplicate,     // not merged; the shard is complete, or partial and this answer is partial too
  kOtherVersion,  // not merged; states another snapshot
  kMalformed,     // records are not an array of objects with an unsigned integer "key"
  kClosed,        // not merged; the final answer was already produced
};

struct ShardAnswer {
  Snapshot snapshot;         // as stated by the leaf
  bool complete = false;     // as stated by the leaf
  std::string_view records;  // JSON array of {"key","value"}
};

// Merges at most one answer for each shard of the pinned partition map. Records outside the shard's
// key range are dropped, so that a leaf that still holds the ranges of another map adds no
// duplicates.
class AnswerMerger {
 public:
  explicit AnswerMerger(PinnedSnapshot pinned);

  MergeResult Add(std::size_t shard, const ShardAnswer& answer);

  // Sets the reason why a shard is missing; the last reason is the one that Close() reports.
  void SetReason(std::size_t shard, std::string_view reason);

  ShardState StateOf(std::size_t shard) const { return this->parts[shard].state; }
  bool complete() const { return this->full_count == this->parts.size(); }
  bool empty() const { return this->merged_count == 0; }

  // Ends merging and returns the coverage; later answers are ignored.
  Coverage Close();
  // Returns a JSON array of all records, ordered by shard.
  std::string Records() const;

  const PinnedSnapshot& pinned_snapshot() const { return this->pinned; }

 private:
  struct Part {
    ShardState state = ShardState::kMissing;
    std::string reason;
    std::string records;  // JSON objects separated by commas, without brackets
  };

  PinnedSnapshot pinned;
  std::vector<Part> parts;  // one per shard
  std::size_t full_count = 0;
  std::size_t merged_count = 0;
  bool closed = false;
};

}  // namespace ibishold

#endif  // IBISHOLD_SNAPSHOT_H_
