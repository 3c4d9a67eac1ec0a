#ifndef IBISHOLD_SNAPSHOT_H_
#define IBISHOLD_SNAPSHOT_H_

// One snapshot of the index per query: which versions to pin, whom to ask, what may be merged.
//
// Index of this header:
//   1. Snapshot          the pair of versions that a query is pinned to
//   2. SnapshotTracker   versions that leaves state, and the choice of a snapshot
//   3. QueryPlanner      leaves that can answer a shard at a snapshot
//   4. Coverage          how much of the pinned map an answer holds
//   5. AnswerMerger      leaf answers to one answer

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
  std::uint64_t partition_map_version = 0;  // of the topology that lists the shards

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

// A snapshot together with the documents that it refers to.
struct PinnedSnapshot {
  std::shared_ptr<const Topology> topology;  // keeps service alive
  const Service* service = nullptr;          // within topology
  Snapshot snapshot;
};

// ---- 2. SnapshotTracker -------------------------------------------------------------------------

struct SnapshotTrackerOptions {
  Duration previous_map_retention =
      std::chrono::seconds(60);                         // 60 s that an older map may be pinned
  Duration unreachable_time = std::chrono::seconds(5);  // 5 s without choosing for a lost leaf
  Duration recheck_interval =
      std::chrono::seconds(1);     // 1 s between requests to a leaf that lacks a version
  std::size_t leaf_limit = 65536;  // leaves remembered; 65536
};

// What one answer of a leaf states about itself.
struct LeafStatement {
  LeafId leaf;
  std::vector<std::uint64_t> index_versions;  // all that it holds
  std::uint64_t map_version = 0;              // map that it serves
  TimePoint asked_at{};                       // when the request was sent
};

// Tells whether a leaf may be sent work now (its data centre is in, an owner is reachable).
using LeafFilter = std::function<bool(const Leaf&)>;

class SnapshotTracker {
 public:
  explicit SnapshotTracker(SnapshotTrackerOptions options = {});

  // Learns a topology. The one with the previous map stays available for previous_map_retention.
  void SetTopology(std::shared_ptr<const Topology> topology, TimePoint now);

  // Statements of requests that were sent earlier than the last one learnt are ignored.
  void RecordStatement(const LeafStatement& statement);

  // The leaf could not be reached: its versions do not count until it answers again.
  void MarkUnreachable(const LeafId& leaf, TimePoint now);

  // The newest version that a usable leaf of every shard states. Leaves that have not answered yet
  // may hold any version; while they are needed to cover all shards, the topology's hint is
  // preferred. If no version can cover all shards, the one that covers the most. Empty if the
  // service is not published.
  std::optional<PinnedSnapshot> Select(const ServiceName& service,
                                       const LeafFilter& usable,
                                       TimePoint now) const;

  // False if the leaf is known not to hold the snapshot.
  bool MayHold(const LeafId& leaf, const Snapshot& snapshot) const;
  // True if the leaf's last answer stated that it holds the snapshot.
  bool Holds(const LeafId& leaf, const Snapshot& snapshot) const;

  // True once per recheck interval for a leaf that has stated nothing within it. Such a leaf is
  // asked although it is not known to hold the version, since only its answers tell when it does.
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
    std::size_t shards_stated = 0;    // shards of which a leaf states it
    std::size_t shards_possible = 0;  // those, and shards with a leaf that has stated nothing
  };

  void ForgetRemovedLeaves();
  VersionCandidate BestVersion(const Topology& topology,
                               const Service& service,
                               const LeafFilter& usable,
                               TimePoint now) const;
  const LeafRecord* Find(const LeafId& leaf) const;

  SnapshotTrackerOptions options;
  std::shared_ptr<const Topology> current;
  std::shared_ptr<const Topology> previous;  // with another map; null if none
  TimePoint previous_until{};
  std::unordered_map<std::string, LeafRecord> leaf_records;
};

// ---- 3. QueryPlanner ----------------------------------------------------------------------------

// Leaves of a shard in the order of preference: those known to hold the snapshot, then those that
// may hold it. Leaves that are not usable, were tried, or are known to lack it are left out.
class QueryPlanner {
 public:
  explicit QueryPlanner(SnapshotTracker& tracker) : tracker(tracker) {}

  struct Candidates {
    std::vector<const Leaf*> holding;   // stated the snapshot, or due to be asked again
    std::vector<const Leaf*> possible;  // said nothing yet

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

  // Leaves of a shard without candidates that are due to be asked again. Marks them as asked. Their
  // last statements may be outdated, and no other request would renew them.
  std::vector<const Leaf*> LeavesToCheck(const Shard& shard,
                                         const LeafFilter& usable,
                                         const std::vector<LeafId>& tried,
                                         TimePoint now) const;

  // Index of the shard that holds the key; the service's shards cover all keys.
  static std::size_t ShardOf(const Service& service, std::uint64_t key);

 private:
  SnapshotTracker& tracker;
};

// ---- 4. Coverage --------------------------------------------------------------------------------

enum class ShardState : std::uint8_t {
  kFull,     // a leaf gave its complete answer
  kPartial,  // a leaf gave an answer that it called incomplete
  kMissing,  // no answer of the pinned version
};

inline constexpr std::array<std::string_view, 3> kShardStateNames = {"full", "partial", "missing"};

struct ShardCoverage {
  ShardId shard;
  ShardState state = ShardState::kMissing;
  std::string reason;  // why it is not full; empty if full
};

struct Coverage {
  double fraction = 0;  // 0..1, share of the pinned map's keys that are full; 1 only if all are
  std::vector<ShardCoverage> shards;  // all shards of the pinned map, ordered by key

  bool full() const;
};

// ---- 5. AnswerMerger ----------------------------------------------------------------------------

enum class MergeResult : std::uint8_t {
  kFull,          // the shard is complete now
  kPartial,       // merged; a complete answer may still replace it
  kDuplicate,     // the shard was complete, or this adds nothing
  kOtherVersion,  // states another snapshot; not merged
  kMalformed,     // records are not an array of objects with an unsigned integer "key"
  kClosed,        // the final answer has been given
};

struct ShardAnswer {
  Snapshot snapshot;         // as stated by the leaf
  bool complete = false;     // as stated by the leaf
  std::string_view records;  // JSON array of {"key","value"}
};

// Merges at most one answer per shard of the pinned map. Records outside of the shard's key range
// are left out, so that a leaf that still holds the ranges of another map adds no duplicates.
class AnswerMerger {
 public:
  explicit AnswerMerger(PinnedSnapshot pinned);

  MergeResult Add(std::size_t shard, const ShardAnswer& answer);

  // Why a shard has no complete answer; the last reason given is shown.
  void SetReason(std::size_t shard, std::string_view reason);

  ShardState StateOf(std::size_t shard) const { return this->parts[shard].state; }
  bool complete() const { return this->full_count == this->parts.size(); }
  bool empty() const { return this->merged_count == 0; }

  // Closes the merger: later answers change nothing.
  Coverage Close();
  // JSON array of all records, ordered by shard.
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
