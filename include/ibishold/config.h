#ifndef IBISHOLD_CONFIG_H_
#define IBISHOLD_CONFIG_H_

// Documents that the platform publishes and the rules for accepting them.
//
// Index of this header:
//   1. Topology       services, shards, leaves
//   2. Table          operators' weights and limits, one row per service and data centre
//   3. VmList         VMs of the system and their states
//   4. Parsing        JSON text to documents and back; errors name the faulty field
//   5. Acceptance     Digest, Document, ConfigStore
//   6. Operators      table as CSV, effects of a change, warnings
//   7. ControlView    immutable view of the documents and peers for other threads and the front

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
  std::string address;     // IP address
  std::uint16_t port = 0;  // of its HTTP server
};

struct Shard {
  ShardId id;                // unique within the service
  KeyRange range;            // keys of the records that it holds
  std::vector<Leaf> leaves;  // replicas, at least one
};

struct Service {
  ServiceName name;
  std::uint32_t slots = 2;                               // requests a leaf runs at a time
  std::uint32_t connections = 50;                        // connections a leaf accepts
  Duration connect_cost = std::chrono::milliseconds(5);  // cost of a new connection
  std::uint64_t index_version = 0;  // hint; the version stated in answers counts
  std::vector<Shard> shards;        // ordered by range.begin
};

struct Topology {
  std::uint64_t generation = 0;
  std::uint64_t partition_map_version = 0;
  std::vector<Service> services;

  const Service* Find(const ServiceName& name) const;  // null if not published
};

// ---- 2. Table -----------------------------------------------------------------------------------

enum class RowState : std::uint8_t {
  kIn,   // accepts work
  kOut,  // taken out of service by operators; accepts no new work
};

inline constexpr std::array<std::string_view, 2> kRowStateNames = {"in", "out"};

struct TableRow {
  ServiceName service;
  DataCentre data_centre;
  RowState state = RowState::kIn;
  std::uint32_t weight = 100;         // 0..100, relative share of the traffic among data centres
  std::uint32_t max_in_flight = 256;  // 1..100000 queries in flight per VM
  std::uint32_t rate_limit = 10000;   // 1..1000000 queries/s per VM and tenant
  std::uint32_t queue_limit = 64;     // 1..10000 requests waiting per leaf and slot owner
  bool hedge = true;  // whether to send a hedged request after the p95 of the latency
};

struct Table {
  std::uint64_t generation = 0;
  std::uint64_t base = 0;  // generation that the operator's edit started from
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
  std::string address;          // IP address
  Incarnation incarnation = 0;  // 0: not published
  VmState state = VmState::kLive;
};

struct VmList {
  std::uint64_t generation = 0;
  std::vector<VmEntry> vms;

  const VmEntry* Find(const VmId& id) const;  // null if not listed
};

// ---- 4. Parsing ---------------------------------------------------------------------------------

// Errors of ParseTopology, ParseTable and ParseVmList: InvalidArgument with the path of the faulty
// field ("rows[3].weight: 120 is outside 0..100"). Whether a document is accepted depends on its
// text alone.
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

// Identifies one version of the document of a key.
struct Digest {
  std::string key;
  std::uint64_t generation = 0;
  std::uint64_t hash = 0;  // StableHash of the text

  friend bool operator==(const Digest&, const Digest&) = default;
};

struct Document {
  Digest digest;
  std::string text;  // JSON as published
  // Raw deflate stream of the text. It is compressed once, so that the link thread spends no time
  // on it when it answers a peer. Null if the text is short or was not compressed.
  std::shared_ptr<const std::string> packed;
};

// True if `candidate` replaces `current` of the same key. A higher generation replaces a lower one.
// Of two texts with the same generation, the one with the lower hash wins, so that all VMs end with
// the same text.
bool Supersedes(const Digest& candidate, const Digest& current);

enum class OfferResult : std::uint8_t {
  kAccepted,         // newer; it is now in force
  kKnown,            // the same text is in force already
  kOlder,            // lower generation than the one in force
  kConflictApplied,  // same generation with a lower hash; now in force, raises an alarm
  kConflictKept,     // same generation with a higher hash; not applied, raises an alarm
  kInvalid,          // the text is invalid and refused as a whole
};

inline constexpr std::array<std::string_view, 6> kOfferResultNames = {
    "accepted", "known", "older", "conflict_applied", "conflict_kept", "invalid"};

// True if the offered document is now in force.
constexpr bool Applied(OfferResult result) {
  return result == OfferResult::kAccepted || result == OfferResult::kConflictApplied;
}

// A text that was refused. It is kept so that the same text is neither fetched nor parsed again.
struct RefusedDocument {
  Digest digest;       // its generation is the one claimed by the sender
  std::string reason;  // error of the parser, with the path of the field
};

// The documents in force on this VM. They depend only on the set of texts offered, never on the
// order, and a document is only replaced by one that supersedes it. Not thread-safe.
class ConfigStore {
 public:
  // Takes generation and hash from the text. The digest of the argument gives the key and, for a
  // text that cannot be parsed, the generation to record with the refusal.
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

// The table as CSV: a heading line with the names of the columns, then one row per service and data
// centre. Columns: service,data_centre,state,weight,max_in_flight,rate_limit,queue_limit,hedge.
std::string TableToCsv(const Table& table);

// Errors: InvalidArgument with row (the heading is row 1) and column, for example
// "row 4, column weight: 120 is outside 0..100". generation and base are left at 0.
absl::StatusOr<Table> TableFromCsv(std::string_view csv);

// Effects of a new table on one service.
struct ServiceEffect {
  ServiceName service;
  std::uint32_t slots_before = 0;           // slots of leaves that accept work
  std::uint32_t slots_after = 0;            // the same under the new table
  std::vector<ShardId> shards_lost;         // shards that no leaf accepts work for any more
  std::vector<std::string> changed_fields;  // "bole: weight 100 -> 50"
};

// Returns the effects on the services whose rows or slots differ.
std::vector<ServiceEffect> ExplainChange(const Table& before,
                                         const Table& after,
                                         const Topology& topology);

// Warns of rows that name a service or data centre which the topology does not have, and of
// services without a row in a data centre where they have leaves ("rows[2]: no service wash-lin").
// The warnings don't block a table, because its acceptance depends on its text alone.
std::vector<std::string> TableWarnings(const Table& table, const Topology& topology);

// True if the leaves of the service in the data centre accept new work: state in, weight above 0.
bool AcceptsNewWork(const Table& table, const ServiceName& service, const DataCentre& data_centre);

// ---- 7. ControlView -----------------------------------------------------------------------------

// One run of a front process that issued idempotency tokens.
struct TokenHomeRun {
  VmId vm;
  Incarnation incarnation = 0;

  friend bool operator==(const TokenHomeRun&, const TokenHomeRun&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  friend std::strong_ordering operator<=>(const TokenHomeRun&, const TokenHomeRun&) = default;
};

// The VM that took over the idempotency tokens of a run after the run had stopped.
struct TokenSuccessor {
  VmId vm;
  std::uint32_t hops = 1;  // number of takeovers so far; the report with the highest number counts

  friend bool operator==(const TokenSuccessor&, const TokenSuccessor&) = default;
};

// One consistent view of the documents and the peers. Immutable once shared.
struct ControlView {
  std::shared_ptr<const Topology> topology;  // null until received
  std::shared_ptr<const Table> table;        // null until received
  std::shared_ptr<const VmList> vms;         // null until received; states include reports by peers
  std::set<VmId> lost_vms;                   // VMs that their monitors cannot reach
  bool ready = false;                        // true once a topology and a VM list are in force
  bool may_hold_slots = false;  // false: this VM may be cut off and starts no leaf work
  std::map<TokenHomeRun, TokenSuccessor> successors;  // by the run that has stopped
  std::vector<Document> documents;  // in force; sent to peers and the front if they lack them
};

using ControlViewPtr = std::shared_ptr<const ControlView>;

}  // namespace ibishold

#endif  // IBISHOLD_CONFIG_H_
