#ifndef IBISHOLD_CONFIG_H_
#define IBISHOLD_CONFIG_H_

// Documents that the platform publishes and the rules for accepting them.
//
// Index of this header:
//   1. Topology       services, shards, leaves
//   2. Table          operators' weights and limits, one row per service and data centre
//   3. VmList         live and leaving VMs
//   4. Parsing        JSON text to documents, with the place of a mistake
//   5. Acceptance     Digest, Document, ConfigStore
//   6. Operators      CSV, ExplainChange
//   7. ControlView    what the other threads and the front see

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. Topology --------------------------------------------------------------------------------

// Half-open range [begin, end) of record keys; end == 0 means up to the highest key, inclusive.
struct KeyRange {
  std::uint64_t begin = 0;
  std::uint64_t end = 0;

  bool Contains(std::uint64_t key) const { return key >= begin && (end == 0 || key < end); }
  friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

struct Leaf {
  LeafId id;               // unique over all services
  DataCentre data_centre;  // where it runs
  std::string address;     // IP number
  std::uint16_t port = 0;  // HTTP
};

struct Shard {
  ShardId id;                // unique within the service
  KeyRange range;            // records that it holds
  std::vector<Leaf> leaves;  // replicas, at least one
};

struct Service {
  ServiceName name;
  std::uint32_t slots = 2;                               // requests a leaf runs at a time; 2
  std::uint32_t connections = 50;                        // connections a leaf accepts; 50
  Duration connect_cost = std::chrono::milliseconds(5);  // cost of a new connection; 5 ms
  std::uint64_t index_version = 0;                       // hint; answers state the truth
  std::vector<Shard> shards;                             // ordered by range.begin
};

struct Topology {
  std::uint64_t generation = 0;
  std::uint64_t partition_map_version = 0;
  std::vector<Service> services;

  const Service* Find(const ServiceName& name) const;  // null if not published
};

// ---- 2. Table -----------------------------------------------------------------------------------

enum class RowState : std::uint8_t {
  kIn,   // takes work
  kOut,  // taken out by operators: no new work
};

inline constexpr std::array<std::string_view, 2> kRowStateNames = {"in", "out"};

struct TableRow {
  ServiceName service;
  DataCentre data_centre;
  RowState state = RowState::kIn;  // in
  std::uint32_t weight = 100;      // 0..100, share of traffic relative to other data centres; 100
  std::uint32_t max_in_flight = 256;  // 1..100000 queries in flight per VM; 256
  std::uint32_t rate_limit = 10000;   // 1..1000000 queries/s per VM and tenant; 10000
  std::uint32_t queue_limit = 64;     // 1..10000 requests waiting per leaf and owner; 64
  bool hedge = true;                  // send a second attempt after the p95; true
};

struct Table {
  std::uint64_t generation = 0;
  std::uint64_t base = 0;  // generation that the operator edited
  std::vector<TableRow> rows;

  // Null if the table has no such row; then the defaults of TableRow apply.
  const TableRow* Find(const ServiceName& service, const DataCentre& data_centre) const;
};

// ---- 3. VmList ----------------------------------------------------------------------------------

enum class VmState : std::uint8_t { kLive, kLeaving, kLost };

inline constexpr std::array<std::string_view, 3> kVmStateNames = {"live", "leaving", "lost"};

struct VmEntry {
  VmId id;
  DataCentre data_centre;
  std::string address;          // IP number
  Incarnation incarnation = 0;  // 0: not published
  VmState state = VmState::kLive;
};

struct VmList {
  std::uint64_t generation = 0;
  std::vector<VmEntry> vms;

  const VmEntry* Find(const VmId& id) const;  // null if not listed
};

// ---- 4. Parsing ---------------------------------------------------------------------------------

// All return InvalidArgument with the place of the mistake ("rows[3].weight: 120 is outside
// 0..100") and accept or refuse a document by its text alone.
absl::StatusOr<Topology> ParseTopology(std::string_view json);
absl::StatusOr<Table> ParseTable(std::string_view json);
absl::StatusOr<VmList> ParseVmList(std::string_view json);

// Canonical JSON text of a document; parsing it gives an equal document.
std::string ToJson(const Topology& topology);
std::string ToJson(const Table& table);
std::string ToJson(const VmList& list);

// ---- 5. Acceptance ------------------------------------------------------------------------------

inline constexpr std::string_view kTopologyKey = "topology";
inline constexpr std::string_view kTableKey = "table";
inline constexpr std::string_view kVmsKey = "vms";

// Names one accepted text of a key.
struct Digest {
  std::string key;
  std::uint64_t generation = 0;
  std::uint64_t hash = 0;  // StableHash of the text

  friend bool operator==(const Digest&, const Digest&) = default;
};

struct Document {
  Digest digest;
  std::string text;  // JSON as published
  // Raw deflate stream of the text, made once so that answering a peer costs the link thread
  // nothing; null if the text is short or was not packed.
  std::shared_ptr<const std::string> packed;
};

// True if `candidate` replaces `current` of the same key: a higher generation does, and of two
// texts that claim one generation the one with the lower hash does, so that all VMs end with the
// same one.
bool Supersedes(const Digest& candidate, const Digest& current);

enum class OfferResult : std::uint8_t {
  kAccepted,         // newer: now in force
  kKnown,            // the text that is in force
  kOlder,            // lower generation than the one in force
  kConflictApplied,  // same generation with a lower hash: now in force, alarm
  kConflictKept,     // same generation with a higher hash: not applied, alarm
  kInvalid,          // refused as a whole for its text
};

inline constexpr std::array<std::string_view, 6> kOfferResultNames = {
    "accepted", "known", "older", "conflict_applied", "conflict_kept", "invalid"};

// True if the offer changed what is in force.
constexpr bool Applied(OfferResult result) {
  return result == OfferResult::kAccepted || result == OfferResult::kConflictApplied;
}

// A text that was refused, kept so that it is neither fetched nor parsed again.
struct RefusedDocument {
  Digest digest;       // generation as claimed by whoever offered it
  std::string reason;  // place and kind of the mistake
};

// Documents in force on this VM. What is in force depends only on the set of texts offered, never
// on their order, and its (generation, hash) only moves forward. Not thread-safe.
class ConfigStore {
 public:
  // Generation and hash are taken from the text; the digest of the argument names the key and, for
  // a text that cannot be read, the generation to remember.
  OfferResult Offer(Document document);

  // True if a text with this digest would be applied and is not known to be invalid.
  bool ShouldFetch(const Digest& digest) const;

  std::vector<Digest> digests() const;               // of the documents in force
  const Document* Find(std::string_view key) const;  // null if none is in force
  const std::shared_ptr<const Topology>& topology() const { return this->topology_in_force; }
  const std::shared_ptr<const Table>& table() const { return this->table_in_force; }
  const std::shared_ptr<const VmList>& vms() const { return this->vms_in_force; }
  const std::vector<Document>& documents() const { return this->in_force; }
  const std::deque<RefusedDocument>& refused() const { return this->refusals; }  // oldest first
  std::uint64_t refusal_count() const { return this->refused_total; }            // since start
  std::uint64_t conflicts() const { return this->conflict_count; }               // since start

 private:
  bool IsRefused(const Digest& digest) const;

  std::shared_ptr<const Topology> topology_in_force;
  std::shared_ptr<const Table> table_in_force;
  std::shared_ptr<const VmList> vms_in_force;
  std::vector<Document> in_force;
  std::deque<RefusedDocument> refusals;
  std::uint64_t refused_total = 0;
  std::uint64_t conflict_count = 0;
};

// ---- 6. Operators -------------------------------------------------------------------------------

// Comma-separated text, one row per service and data centre below a heading line with the names of
// the columns: service,data_centre,state,weight,max_in_flight,rate_limit,queue_limit,hedge.
std::string TableToCsv(const Table& table);

// Errors: InvalidArgument with row (the heading is row 1) and column, for example
// "row 4, column weight: 120 is outside 0..100". generation and base are left at 0.
absl::StatusOr<Table> TableFromCsv(std::string_view csv);

// What a new table changes for one service.
struct ServiceEffect {
  ServiceName service;
  std::uint32_t slots_before = 0;    // slots of leaves that take work
  std::uint32_t slots_after = 0;     // the same under the new table
  std::vector<ShardId> shards_lost;  // without any leaf that takes work, only after the change
  std::vector<std::string> changed_fields;  // "bole: weight 100 -> 50"
};

// Effects on the services whose rows differ, and on those whose slots differ.
std::vector<ServiceEffect> ExplainChange(const Table& before,
                                         const Table& after,
                                         const Topology& topology);

// Rows that name a service or data centre which the topology does not have, and services without
// any row in a data centre where they have leaves ("rows[2]: no service wash-lin"). Warnings only:
// acceptance depends on the table alone.
std::vector<std::string> TableWarnings(const Table& table, const Topology& topology);

// True if leaves of the service in the data centre take new work (state in and weight above 0).
bool AcceptsNewWork(const Table& table, const ServiceName& service, const DataCentre& data_centre);

// ---- 7. ControlView -----------------------------------------------------------------------------

// A run of a front that issued tokens.
struct TokenHomeRun {
  VmId vm;
  Incarnation incarnation = 0;

  friend bool operator==(const TokenHomeRun&, const TokenHomeRun&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  friend std::strong_ordering operator<=>(const TokenHomeRun&, const TokenHomeRun&) = default;
};

// The VM that took over the tokens of a stopped run.
struct TokenSuccessor {
  VmId vm;
  std::uint32_t hops = 1;  // hand-overs of the run so far; the report with the most holds

  friend bool operator==(const TokenSuccessor&, const TokenSuccessor&) = default;
};

// One consistent view of the documents and the peers. Immutable once shared.
struct ControlView {
  std::shared_ptr<const Topology> topology;  // null until received
  std::shared_ptr<const Table> table;        // null until received
  std::shared_ptr<const VmList> vms;         // null until received; states include peers' reports
  std::set<VmId> lost_vms;                   // not reachable by their monitors
  bool ready = false;                        // topology and VM list are in force
  bool may_hold_slots = false;  // false: this VM may be cut off and starts no leaf work
  std::map<TokenHomeRun, TokenSuccessor> successors;  // of stopped runs of fronts
  std::vector<Document> documents;                    // texts, for passing on
};

using ControlViewPtr = std::shared_ptr<const ControlView>;

}  // namespace ibishold

#endif  // IBISHOLD_CONFIG_H_
