#ifndef IBISHOLD_FLEET_H_
#define IBISHOLD_FLEET_H_

// What each VM knows about the published documents and about the other VMs. The classes read no
// clock and no socket; the caller passes in times and messages.
//
// Index of this header:
//   1. Document          one published key and its value
//   2. DocumentMirror    the newest known state of all documents
//   3. PeerTable         the VMs that this VM believes to be alive
//   4. FleetPlan         which VMs coordinate fan-out calls and which ones watch the store
//   5. DocumentFeed      when and where to read the published documents
//   6. Messages          datagrams and document updates between VMs

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "absl/hash/hash.h"
#include "ibishold/allowances.h"
#include "ibishold/call.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. Document --------------------------------------------------------------------------------

struct DocumentChange {
  std::string key;
  std::string value;  // empty if removed
  Revision revision;  // of the store at this change
  bool removed = false;
  ChangeOrigin origin = ChangeOrigin::kPublisher;
};

// ---- 2. DocumentMirror --------------------------------------------------------------------------

struct DocumentMirrorOptions {
  std::size_t change_log_limit = 4096;  // changes kept for peers that lag behind
};

// The newest known state of all documents, ordered by the store's revision. An older revision never
// replaces a newer one, whether it comes from the store or from a peer. All documents are of one
// epoch of the store: only a complete list leads from one epoch to the next.
class DocumentMirror {
 public:
  explicit DocumentMirror(DocumentMirrorOptions options = {});

  // Applies the complete list of documents at revision `as_of`. A document that is missing from the
  // list and is not newer than `as_of` has been removed. Returns the changes; those that a list of
  // a newer epoch makes to known documents have the origin kRestoredStore.
  std::vector<DocumentChange> ApplyList(const std::vector<DocumentChange>& documents,
                                        Revision as_of);

  // Applies all changes after the mirror's own as_of() up to revision `as_of`. Returns those that
  // the mirror did not know yet. Changes of another epoch are ignored.
  std::vector<DocumentChange> ApplyChanges(const std::vector<DocumentChange>& changes,
                                           Revision as_of);

  // Returns the changes after `revision`, or nothing if the change log does not reach back that
  // far.
  std::optional<std::vector<DocumentChange>> ChangesAfter(Revision revision) const;

  std::vector<DocumentChange> AllDocuments() const;

  // True once a list or changes have been applied, even if there are no documents.
  bool initialized() const { return !this->known_revision.none(); }
  Revision as_of() const { return this->known_revision; }  // none: nothing has been applied yet
  std::size_t size() const { return this->documents.size(); }

 private:
  bool Apply(const DocumentChange& change);
  void RemoveUnlisted(const std::unordered_set<std::string>& listed_keys,
                      Revision as_of,
                      ChangeOrigin origin,
                      std::vector<DocumentChange>& applied);

  DocumentMirrorOptions options;
  std::map<std::string, DocumentChange> documents;
  std::map<std::string, Revision> removals;  // revision of the removal, by key
  std::deque<DocumentChange> change_log;     // ordered by revision, oldest first
  Revision change_log_begin;                 // the log holds all changes after this revision
  Revision known_revision;
};

// ---- 3. PeerTable -------------------------------------------------------------------------------

struct PeerAddress {
  std::uint32_t ip = 0;  // IPv4, host byte order
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on a defaulted <=>.
  friend auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
  template <typename H>
  friend H AbslHashValue(H state, const PeerAddress& address) {
    return H::combine(std::move(state), address.ip, address.port);
  }
};

struct Peer {
  PeerAddress address;
  Incarnation incarnation = 0;
  DataCentre data_centre;
  double processor_share = 0;  // processor time available to the VM, in cores
  double fan_out_rate = 0;     // fan-out calls/s that callers send to this VM
  bool stopping = false;       // shutting down, takes no new work
};

struct PeerReport {
  Peer peer;
  Duration age{};  // time since the peer itself stated this
};

struct PeerTableOptions {
  Duration gossip_interval = std::chrono::milliseconds(500);  // between two gossip messages of a VM
  // Replaces gossip_interval for startup_duration after the VM's start.
  Duration startup_interval = std::chrono::milliseconds(100);
  Duration startup_duration = std::chrono::seconds(2);
  std::size_t targets_per_message = 2;   // VMs that receive each message
  std::size_t reports_per_message = 44;  // peers described in each message
  // Share of the reports in a message that are the most recent ones; the others are chosen at
  // random. Recent reports let receivers notice lost peers early, and the random choice spreads
  // every peer to the whole fleet.
  double recent_share = 0.5;
  // A peer counts as lost after this long without a newer report, plus loss_timeout_per_peer for
  // each known peer: the message size is fixed, so reports on one peer are rarer in a larger fleet.
  Duration loss_timeout = std::chrono::milliseconds(3500);
  Duration loss_timeout_per_peer = std::chrono::milliseconds(100);
  Duration forget_after = std::chrono::minutes(10);  // age at which a lost peer is deleted
  // A lost VM may still work where this VM cannot see it. It counts for ComputeReach() for this
  // long.
  Duration reach_window = std::chrono::seconds(60);
  double seed_probability = 0.25;  // share of the messages that also go to a seed
};

// Membership by gossip, bootstrapped from a few seed addresses. The message size is fixed, so the
// cost for each VM does not grow with the fleet.
class PeerTable {
 public:
  PeerTable(PeerTableOptions options,
            Peer self,
            std::vector<PeerAddress> seeds,
            std::uint64_t random_seed,
            TimePoint now);

  // Stores the report if it is newer than the known one. Returns true if this makes a peer live
  // that was not live before. If that peer itself sent the report, this VM sends it a sample of
  // the reports at once.
  bool ApplyReport(const PeerReport& report, TimePoint now);

  // The content and the receivers of the next gossip message, and the time until the one after it.
  std::vector<PeerReport> SampleReports(TimePoint now);
  std::vector<PeerAddress> ChooseTargets(TimePoint now);
  Duration Interval(TimePoint now) const;

  // The state of this VM, which every message carries.
  Peer& self() { return this->self_peer; }
  const Peer& self() const { return this->self_peer; }
  void SetSeeds(std::vector<PeerAddress> addresses) { this->seeds = std::move(addresses); }

  // A request to this peer failed or timed out: UsablePeers() leaves it out until `until`, or until
  // the peer reports a new incarnation.
  void Suspect(const PeerAddress& peer, TimePoint until);
  bool suspected(const PeerAddress& peer, TimePoint now) const;

  // This VM and all peers that are live and not suspected, ordered by address.
  std::vector<Peer> UsablePeers(TimePoint now) const;
  // Number of live VMs including this one and suspected peers; the divisor for shared limits.
  std::size_t LiveCount(TimePoint now) const;
  // Live VMs that take new work, including suspected peers; without this VM if it is stopping.
  std::vector<PeerAddress> WorkingPeers(TimePoint now) const;
  // Share of the fleet that this VM is in contact with: live VMs / VMs that were live lately.
  double ComputeReach(TimePoint now) const;

 private:
  struct PeerRecord {
    Peer peer;
    TimePoint stated_at{};  // when the peer itself stated this: arrival of the report minus its age
    TimePoint suspect_until{};
  };

  Duration ComputeLossTimeout() const;
  bool live(const PeerRecord& record, TimePoint now) const;

  PeerTableOptions options;
  Peer self_peer;
  std::vector<PeerAddress> seeds;
  Random random;
  TimePoint started_at;
  // Ordered, so that runs with the same random seed are equal.
  std::map<PeerAddress, PeerRecord> peers;
};

// ---- 4. FleetPlan -------------------------------------------------------------------------------

struct FleetPlanOptions {
  // Below this rate a coordinator's statistics on the leaves of a shard are too sparse, and its
  // connections to them do not stay warm.
  double min_coordinator_rate = 5;  // fan-out calls/s for each coordinator
  // The plan assumes at least this rate, so that it does not change in quiet periods and is valid
  // before the first call.
  double min_planned_rate = 60;     // fan-out calls/s of the fleet
  double sends_per_second = 20000;  // leaf requests/s that one full core can send
  double max_processor_use = 0.4;   // share of its processor that a coordinator may use
  double direct_threshold = 0.6;    // from this share of coordinators on, all VMs coordinate
  std::size_t watchers_per_data_centre = 2;
  // A data centre has coordinators only if its leaves cover at least this share of the shards,
  // relative to the data centre that covers most. The parts of an answer are larger than the merged
  // answer, so they should not cross between data centres.
  double min_leaf_share = 0.5;
};

// For each data centre, the share of the widest route's shards that have a usable leaf there.
using LeafShares = std::unordered_map<std::string, double>;

// Every VM computes the same plan from the same list of members. VMs with different lists still
// work correctly, only less efficiently.
struct FleetPlan {
  bool direct = true;                       // every VM coordinates its own calls
  std::vector<PeerAddress> coordinators;    // those of the own data centre first; empty if direct
  std::size_t local_coordinator_count = 0;  // coordinators in the own data centre
  std::vector<PeerAddress> watchers;        // without this VM; those of the own data centre first
  std::size_t local_watcher_count = 0;      // watchers in the own data centre
  bool self_coordinates = true;
  bool self_watches = true;
  std::size_t senders = 1;  // VMs that send fan-out requests to leaves
  std::size_t vms = 1;      // size of the fleet
};

// `shards` is the number of shards of the widest fan-out route, `live` includes `self`, and
// `leaf_shares` is empty if it is not known yet.
FleetPlan MakeFleetPlan(const FleetPlanOptions& options,
                        const Peer& self,
                        const std::vector<Peer>& live,
                        std::size_t shards,
                        const LeafShares& leaf_shares = {});

// ---- 5. DocumentFeed ----------------------------------------------------------------------------

struct DocumentFeedOptions {
  // Minimum time between the starts of two watch calls, so that a burst of changes costs one call.
  Duration watch_interval = std::chrono::milliseconds(500);
  // Time that the store may wait for a change before it answers a watch. A watch that was lost is
  // noticed only after this time plus `store_timeout`, and the sum must stay below the time that
  // the platform allows a VM to catch up after an outage of the store.
  Duration watch_wait = std::chrono::seconds(2);
  // The same for the first watch after a call that was not served. It shows whether the store
  // answers before a longer wait relies on it.
  Duration recheck_wait = std::chrono::milliseconds(1);
  // Time limit for an answer of the store, added to the time that a watch asks the store to wait.
  Duration store_timeout = std::chrono::milliseconds(1500);
  // The same while no document is known. It is shorter, because a store that did not answer may
  // answer a new request.
  Duration initial_store_timeout = std::chrono::milliseconds(600);
  // Time that a peer is asked to wait for new documents before it answers. A peer that hangs is
  // noticed within this time plus `peer_timeout`.
  Duration peer_wait = std::chrono::milliseconds(1000);
  Duration peer_timeout = std::chrono::milliseconds(400);     // for the answer, beyond that wait
  Duration initial_backoff = std::chrono::milliseconds(100);  // after the first failure; doubles
  Duration max_backoff = std::chrono::milliseconds(1000);
  // Maximum backoff while the VM has no documents: it refuses all callers then, so it retries
  // sooner.
  Duration empty_mirror_backoff = std::chrono::milliseconds(250);
  // Consecutive failures of the store after which a watcher alternates between a peer and the
  // store.
  int failures_before_peers = 1;
  // How long a peer is skipped that failed or whose own source does not answer.
  Duration peer_avoidance = std::chrono::seconds(2);
  // The call in progress is abandoned if its source does not deliver changes within this time after
  // another VM announced them. Must exceed watch_interval, by which VMs may normally differ.
  Duration stale_source_timeout = std::chrono::milliseconds(700);
  // A VM without documents asks the store even if the plan does not make it a watcher.
  bool ask_store_first = true;
};

enum class FeedStep : std::uint8_t {
  kWait,     // make no call until `at`
  kList,     // read all documents from the store
  kWatch,    // long poll at the store for changes after `after`
  kAskPeer,  // long poll at a peer for changes after `after`
};

inline constexpr std::array<std::string_view, 4> kFeedStepNames = {"wait", "list", "watch",
                                                                   "ask_peer"};

struct FeedAction {
  FeedStep step = FeedStep::kWait;
  TimePoint at{};
  Revision after;
  PeerAddress peer;       // for kAskPeer
  Duration wait{};        // for kWatch and kAskPeer: time that the source may wait for a change
  Duration time_limit{};  // the call has failed if its answer has not arrived after this time
};

enum class FeedOutcome : std::uint8_t {
  kApplied,      // the answer was applied to the mirror
  kHistoryGone,  // the store no longer holds the changes after `after`
  kRefused,      // the store answered, but did not serve the call
  kFailed,       // no answer, or an answer that could not be parsed
};

inline constexpr std::array<std::string_view, 4> kFeedOutcomeNames = {"news", "history_gone",
                                                                      "refused", "failed"};

// The outcome of an answer of the store that could be read, judged by its epoch: an answer of an
// older epoch than the known one is refused, and one of a newer epoch cannot continue what was read
// before. `continues` is true for an answer to a watch and for a further page of a list.
FeedOutcome JudgeEpoch(std::uint64_t epoch, std::uint64_t known_epoch, bool continues);

// Decides when and where to read documents. A watcher reads the store; other VMs wait for changes
// at a watcher. A VM that cannot reach its own source tries the other one.
class DocumentFeed {
 public:
  DocumentFeed(DocumentFeedOptions options, std::uint64_t random_seed);

  // The next call to make. kWait while a call is in progress (`at` is TimePoint::max()) or while
  // the next call is not due.
  FeedAction Next(Revision as_of, const FleetPlan& plan, TimePoint now);
  void OnStarted(const FeedAction& action, TimePoint now);
  // Ends the call in progress. `peer_in_touch` is what a peer stated about its own source (see
  // in_touch()); it is ignored for calls to the store.
  void OnEnded(FeedOutcome outcome, bool peer_in_touch, TimePoint now);

  // Another VM announced the revision up to which it knows all documents.
  void OnPeerRevision(const PeerAddress& peer, Revision their_as_of, Revision as_of, TimePoint now);
  // True if the caller must abandon the call in progress (OnEnded with kFailed), because its source
  // has not delivered changes that another VM knows. The next call then goes to that VM.
  bool ShouldAbandonCall(Revision as_of, TimePoint now);

  // The most recent call to the store succeeded.
  bool store_in_touch() const { return this->failures == 0 && this->store_succeeded; }
  // The most recent call succeeded, and its source (the store, or a peer whose own source answers)
  // is up to date.
  bool in_touch() const { return this->newest_call_in_touch; }

 private:
  std::optional<PeerAddress> ChoosePeer(const FleetPlan& plan, TimePoint now);
  FeedAction MakePeerCall(const PeerAddress& peer, Revision as_of, TimePoint now) const;

  DocumentFeedOptions options;
  Random random;
  bool call_in_progress = false;
  bool list_needed = true;
  bool store_succeeded = false;
  bool last_store_call_served = false;
  bool newest_call_in_touch = false;
  bool last_was_peer = false;
  int failures = 0;  // consecutive, of the store
  FeedAction current;
  struct NewerPeer {
    PeerAddress peer;  // the last one to announce the highest revision
    Revision as_of;
    TimePoint since{};
  };
  std::optional<NewerPeer> newer_peer;   // a VM that knows a newer revision than this one
  std::optional<PeerAddress> next_peer;  // source of the next call, whatever the plan says
  std::unordered_map<PeerAddress, TimePoint, absl::Hash<PeerAddress>> avoided_until;
  TimePoint store_not_before{};
  TimePoint store_failed_at{};
  TimePoint watch_started{};
};

// ---- 6. Messages --------------------------------------------------------------------------------

struct GossipMessage {
  Peer sender;
  std::vector<PeerReport> peers;
  std::vector<CallRefusal> refusals;        // fingerprints of calls that crash leaves
  Revision documents_as_of;                 // the sender knows all documents up to this revision
  std::vector<SilentLeaf> silent_leaves;    // just detected by the sender
  std::vector<LeavingLeaf> leaving_leaves;  // announced in the last seconds
  std::vector<LeafCrash> crashes;           // just detected by the sender
  std::vector<LeafLimitReport> limits;
  std::vector<TenantState> tenant_states;
};

std::string EncodeGossip(const GossipMessage& message);

// Returns nothing if the bytes are not a valid message.
std::optional<GossipMessage> DecodeGossip(std::string_view bytes);

using UsageMessage = std::variant<UsageReport, UsageAcknowledgement>;

// The result is not a valid message for DecodeGossip(), so that both can arrive at one port.
std::string EncodeUsage(const UsageMessage& message);
std::optional<UsageMessage> DecodeUsage(std::string_view bytes);

struct DocumentUpdate {
  Revision as_of;         // the changes are of the same epoch
  bool complete = false;  // `changes` lists all documents; else the changes after the requested one
  bool in_touch = false;  // the sender's own source is answering
  std::vector<DocumentChange> changes;
};

std::string EncodeDocumentUpdate(const DocumentUpdate& update);
std::optional<DocumentUpdate> DecodeDocumentUpdate(std::string_view bytes);

}  // namespace ibishold

#endif  // IBISHOLD_FLEET_H_
