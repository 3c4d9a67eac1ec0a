#ifndef IBISHOLD_ROUTING_H_
#define IBISHOLD_ROUTING_H_

// Which service answers a call, and which leaves of that service may receive new work.
//
// Index of this header:
//   1. Route                the services that answer calls to one host and path prefix
//   2. RouteTable           one version of the route configuration
//   3. WeightedRoundRobin   spreads calls over the targets of a split route
//   4. LeafEntry            published entry of one leaf
//   5. LeafDirectory        the leaves that may receive work

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "absl/hash/hash.h"
#include "ibishold/core.h"
#include "ibishold/tenants.h"

namespace ibishold {

// ---- 1. Route -----------------------------------------------------------------------------------

struct RouteTarget {
  ServiceName service;
  double weight = 1;  // share of the route's calls, relative to the other targets
};

struct Route {
  std::string name;
  std::string host;         // lower case, without port
  std::string prefix;       // begins and ends with a slash
  bool repeatable = false;  // calls may be executed more than once
  Duration time_limit{};    // maximum time until the caller gets an answer
  Duration objective{};     // response time objective
  int priority = 0;         // 0 is the highest
  int attempt_limit = 1;    // maximum number of leaves that one call is sent to, for each shard
  std::uint32_t record_limit = 0;  // maximum number of records in a merged answer
  double min_coverage = 1;  // share of the shards below which a merged answer counts as failed
  bool anonymous = false;   // calls need no key, even if the configuration has tenants

  // Exactly one of these two is not empty.
  std::vector<RouteTarget> targets;  // one of these services answers the call
  std::vector<ServiceName> shards;   // each of these services answers with a part of the result

  bool fan_out() const { return !this->shards.empty(); }
};

// ---- 2. RouteTable ------------------------------------------------------------------------------

struct ServiceSettings {
  std::uint32_t connection_limit = 0;  // for each leaf, over all senders; 0: unknown
  double warm_up_rate = 0;             // requests/s that a cold leaf can take; 0: no limit
};

// Limits on what a caller may send and on how long it may stay idle.
struct CallerLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 262144;
  Duration header_time = std::chrono::seconds(3);  // to receive a whole header
  Duration idle_time = std::chrono::seconds(15);   // between two requests
};

class RouteTable {
 public:
  std::uint64_t version = 0;  // a higher version is newer
  std::vector<Route> routes;
  std::unordered_map<ServiceName, ServiceSettings, absl::Hash<ServiceName>> services;
  CallerLimits limits;
  TenantTable tenants;

  // Builds the index that Find() uses. Call it once after filling `routes`.
  void BuildIndex();

  // Returns the host's route with the longest matching path prefix, or null. The comparison ignores
  // the host's case and port.
  const Route* Find(std::string_view host, std::string_view path) const;

 private:
  std::unordered_map<std::string, std::size_t> by_host_and_prefix;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

// Converts a Host header to the form of Route::host: lower case, without port.
std::string CanonicalHost(std::string_view host);

// ---- 3. WeightedRoundRobin ----------------------------------------------------------------------

// Smooth weighted round robin: in any run of picks each target gets its share within one call.
class WeightedRoundRobin {
 public:
  explicit WeightedRoundRobin(std::uint64_t seed) : random(seed) {}

  // Returns an index into `targets`, which must not be empty. The sequence starts at a random
  // phase, so that many VMs do not pick the same target at the same time.
  std::size_t Pick(const std::vector<RouteTarget>& targets);

 private:
  Random random;
  std::vector<std::string> last_services;  // names of all targets' services at the last pick
  std::vector<double> credit;
};

// ---- 4. LeafEntry -------------------------------------------------------------------------------

enum class LeafState : std::uint8_t { kReady, kDraining };

inline constexpr std::array<std::string_view, 2> kLeafStateNames = {"ready", "draining"};

struct LeafEntry {
  LeafId id;
  ServiceName service;
  std::string address;  // IP address
  std::uint16_t port = 0;
  DataCentre data_centre;
  std::uint32_t slots = 1;  // requests that the leaf runs at the same time
  LeafState state = LeafState::kReady;
  Duration warm_up_left{};  // remaining warm-up time when the entry was written
  // Start time, ms since 1970; differs between two runs with the same id.
  std::uint64_t started = 0;
  std::uint64_t sequence = 0;  // rises with each statement of one run of the leaf; 0: unknown
  Revision revision;           // of the entry
};

// ---- 5. LeafDirectory ---------------------------------------------------------------------------

struct LeafDirectoryOptions {
  // Delay of a deferred removal. By the platform's contract, entries that expired while the
  // platform was unreachable are back within about 2 s of its return; until then a missing entry
  // does not show that the leaf has stopped.
  Duration removal_delay = std::chrono::milliseconds(2300);
  // Removals are deferred for this long after a failed or refused call to the source.
  Duration source_failure_window = std::chrono::seconds(4);
  // Time in which publishers write again what a restored store has lost. Until then, older
  // statements that the store holds are not applied. Exceeds three report intervals of a leaf,
  // after which the store deletes the entry of a leaf that has stopped.
  Duration rewrite_time = std::chrono::seconds(6);
  // Time for which removed leaves are remembered. Exceeds the age of the copy that a store is
  // restored from.
  Duration removal_memory = std::chrono::seconds(60);
};

enum class DirectoryChange : std::uint8_t {
  kAdded,
  kRestarted,
  kDraining,
  kReady,
  kRemoved,
  kRemovalDeferred,
  kRemovalCancelled,
  kUpdateDeferred,
  kUnchanged
};

inline constexpr std::array<std::string_view, 9> kDirectoryChangeNames = {
    "added", "restarted",       "draining", "ready", "removed", "removal_deferred",
    "kept",  "update_deferred", "unchanged"};

struct DirectoryEvent {
  DirectoryChange change = DirectoryChange::kUnchanged;
  LeafId leaf;
  ServiceName service;
  Revision revision;  // of the change that caused the event
};

// Holds the published entries of all leaves. Changes that take a leaf out of use (draining,
// removed, data centre evacuated) take effect at once, except for removals that arrive soon after a
// failure of the source: these are deferred by removal_delay.
//
// A store that was restored from an older copy shows older states as if they were new. Of such
// changes, those that would remove a leaf, undo what a leaf stated later or end an evacuation are
// deferred by rewrite_time, and given up if the publisher states something meanwhile.
class LeafDirectory {
 public:
  explicit LeafDirectory(LeafDirectoryOptions options = {});

  DirectoryEvent Put(const LeafEntry& entry,
                     TimePoint now,
                     ChangeOrigin origin = ChangeOrigin::kPublisher);
  DirectoryEvent Remove(const LeafId& id,
                        Revision revision,
                        TimePoint now,
                        ChangeOrigin origin = ChangeOrigin::kPublisher);

  // Applies the complete list at `revision`: leaves that it does not contain are removed. Returns
  // only the events of entries that changed.
  std::vector<DirectoryEvent> ReplaceAll(const std::vector<LeafEntry>& entries,
                                         Revision revision,
                                         TimePoint now);

  // Carries out the deferred changes of leaves that are due.
  std::vector<DirectoryEvent> ApplyDeferredChanges(TimePoint now);

  // A call to the source of the entries failed or was refused; defers removals for a time.
  void OnSourceFailure(TimePoint now);

  // The leaves of an evacuated data centre receive no new work.
  void BeginEvacuation(const DataCentre& data_centre);
  // Returns false if the end is deferred.
  bool EndEvacuation(const DataCentre& data_centre,
                     TimePoint now,
                     ChangeOrigin origin = ChangeOrigin::kPublisher);
  // Ends the evacuations whose deferred end is due, and returns their data centres.
  std::vector<DataCentre> ApplyDeferredEvacuationEnds(TimePoint now);
  bool evacuated(const DataCentre& data_centre) const;

  // Leaves that may receive new work, in a stable order. Pointers stay valid until the next change.
  std::vector<const LeafEntry*> UsableLeaves(const ServiceName& service) const;

  const LeafEntry* Find(const LeafId& id) const;
  std::size_t size() const { return this->leaves.size(); }
  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [id, leaf] : this->leaves) {
      visit(leaf.entry);
    }
  }

 private:
  struct Leaf {
    LeafEntry entry;
    std::optional<TimePoint> remove_at;  // deferred removal
    Revision removal_revision;
  };
  struct RemovedLeaf {
    std::uint64_t started = 0;
    std::uint64_t sequence = 0;  // last one known
    TimePoint removed_at{};
  };
  struct DeferredEntry {
    LeafEntry entry;
    TimePoint apply_at{};
  };

  bool MayUndoKnown(const LeafEntry& entry) const;
  DirectoryEvent Defer(const LeafEntry& entry, TimePoint now);
  DirectoryEvent Erase(const LeafId& id, Revision revision, TimePoint now);
  bool source_doubtful(TimePoint now) const;

  LeafDirectoryOptions options;
  std::unordered_map<LeafId, Leaf, absl::Hash<LeafId>> leaves;
  std::unordered_map<ServiceName, std::vector<LeafId>, absl::Hash<ServiceName>> by_service;
  std::unordered_map<LeafId, DeferredEntry, absl::Hash<LeafId>> deferred_entries;
  std::unordered_map<LeafId, RemovedLeaf, absl::Hash<LeafId>> removed_leaves;
  // By data centre: the deferred end of its evacuation; nothing while the evacuation is in force.
  std::unordered_map<std::string, std::optional<TimePoint>> evacuations;
  std::optional<TimePoint> source_failed_at;
};

}  // namespace ibishold

#endif  // IBISHOLD_ROUTING_H_
