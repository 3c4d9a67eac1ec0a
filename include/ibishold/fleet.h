#ifndef IBISHOLD_FLEET_H_
#define IBISHOLD_FLEET_H_

// What the VMs know of the published documents and of each other. Reads no clock and no socket.
//
// Index of this header:
//   1. Document          one published key and its value
//   2. DocumentMirror    the newest known state of all documents
//   3. PeerTable         the VMs that are alive, as far as is known here
//   4. FleetPlan         which VMs coordinate fan-out calls and which watch the store
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
#include <vector>

#include "absl/hash/hash.h"

#include "ibishold/call.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. Document --------------------------------------------------------------------------------

struct DocumentChange {
  std::string key;
  std::string value;           // empty if removed
  std::uint64_t revision = 0;  // of this change
  bool removed = false;
};

// ---- 2. DocumentMirror --------------------------------------------------------------------------

struct DocumentMirrorOptions {
  std::size_t change_log_limit = 4096;  // changes kept for peers that are a little behind
};

// Follows one revision counter; older news never replaces newer news, whatever way it came.
class DocumentMirror {
 public:
  explicit DocumentMirror(DocumentMirrorOptions options = {});

  // All documents, complete at `as_of`: what is not listed and not newer has been removed.
  // Returns what changed.
  std::vector<DocumentChange> ApplyList(const std::vector<DocumentChange>& documents,
                                        std::uint64_t as_of);

  // All changes after the mirror's own as_of up to `as_of`. Returns those that were news.
  std::vector<DocumentChange> ApplyChanges(const std::vector<DocumentChange>& changes,
                                           std::uint64_t as_of);

  // Changes after `revision`, or nothing if the log does not reach back so far.
  std::optional<std::vector<DocumentChange>> ChangesAfter(std::uint64_t revision) const;

  // All documents.
  std::vector<DocumentChange> AllDocuments() const;

  bool has_documents() const { return this->known_revision > 0; }
  std::uint64_t as_of() const { return this->known_revision; }  // 0: nothing is known
  std::size_t size() const { return this->documents.size(); }

 private:
  bool Apply(const DocumentChange& change);

  DocumentMirrorOptions options;
  std::map<std::string, DocumentChange> documents;
  std::map<std::string, std::uint64_t> removals;  // revisions of removed keys
  std::deque<DocumentChange> change_log;          // by revision, oldest first
  std::uint64_t change_log_begin = 0;             // the log holds all changes after it
  std::uint64_t known_revision = 0;
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
  double processor_share = 0;  // of a core
  double fan_out_rate = 0;     // fan-out calls/s that arrive there
  bool stopping = false;       // takes no new work
};

struct PeerReport {
  Peer peer;
  Duration age{};  // since the peer itself said so
};

struct PeerTableOptions {
  Duration gossip_interval = std::chrono::milliseconds(500);   // between two messages of a VM
  Duration startup_interval = std::chrono::milliseconds(100);  // right after its start
  Duration startup_duration = std::chrono::seconds(2);         // how long that is
  std::size_t targets_per_message = 2;                         // receivers of each message
  std::size_t reports_per_message = 44;                        // peers named in each message
  // Share of a message that names the peers heard of last; the rest is chosen by chance. Fresh news
  // show lost peers early, chance makes every peer known everywhere.
  double recent_share = 0.5;
  // A peer is taken as lost when nothing newer has been heard for this long. News of one peer
  // arrive more rarely in a larger fleet, because messages do not grow.
  Duration loss_timeout = std::chrono::milliseconds(3500);
  Duration loss_timeout_per_peer = std::chrono::milliseconds(100);
  Duration forget_after = std::chrono::minutes(10);  // lost peers are dropped
  double seed_probability = 0.25;                    // messages that go to a seed
};

// Membership by gossip from a few seeds. A message has constant size, so the cost for each VM does
// not grow with the fleet.
class PeerTable {
 public:
  PeerTable(PeerTableOptions options,
            Peer self,
            std::vector<PeerAddress> seeds,
            std::uint64_t seed,
            TimePoint now);

  // Takes a report over if it is newer than what is known. True if the peer was not live before;
  // one that speaks for itself then is answered at once with a sample.
  bool ApplyReport(const PeerReport& report, TimePoint now);

  // What to tell, and to whom.
  std::vector<PeerReport> SampleReports(TimePoint now);
  std::vector<PeerAddress> ChooseTargets(TimePoint now);
  Duration Interval(TimePoint now) const;

  // Own state, told with every message.
  Peer& self() { return this->self_peer; }
  const Peer& self() const { return this->self_peer; }
  void SetSeeds(std::vector<PeerAddress> addresses) { this->seeds = std::move(addresses); }

  // A request to this peer has failed or gone unanswered: it is not live until `until`.
  void Suspect(const PeerAddress& peer, TimePoint until);
  bool suspected(const PeerAddress& peer, TimePoint now) const;

  // This VM and all peers that are live and not suspected, by address.
  std::vector<Peer> UsablePeers(TimePoint now) const;
  // The same with the suspected ones: the size of the fleet for shared limits.
  std::size_t LiveCount(TimePoint now) const;

 private:
  struct PeerRecord {
    Peer peer;
    TimePoint heard_at{};  // when the peer itself said so
    TimePoint suspect_until{};
  };

  bool live(const PeerRecord& known, TimePoint now) const;

  PeerTableOptions options;
  Peer self_peer;
  std::vector<PeerAddress> seeds;
  Random random;
  TimePoint started_at;
  std::map<PeerAddress, PeerRecord> peers;  // ordered: equal on every run for the same seed
};

// ---- 4. FleetPlan -------------------------------------------------------------------------------

struct FleetPlanOptions {
  // A sender that sees a shard less often than this knows too little of its leaves, and its
  // connections to them do not stay warm.
  double min_coordinator_rate = 5;  // fan-out calls/s for each coordinator
  // Planned for at least, so that the plan does not follow lulls and holds before any call.
  double min_planned_rate = 60;     // fan-out calls/s of the fleet
  double sends_per_second = 20000;  // leaf requests/s that one whole core carries
  double max_processor_use = 0.4;   // share of its processor that a coordinator may need
  double direct_threshold = 0.6;    // this share of the fleet as coordinators: all coordinate
  std::size_t watchers_per_data_centre = 2;  // for each data centre
  // Data centres with leaves of at least this share of the shards, relative to the one with most,
  // have coordinators: the parts of an answer weigh more than the answer itself.
  double min_leaf_share = 0.5;
};

// By data centre: the share of the widest route's shards that have a usable leaf there.
using LeafShares = std::unordered_map<std::string, double>;

// Every VM computes the same plan from the same members; differing views cost only efficiency.
struct FleetPlan {
  bool direct = true;                       // every VM coordinates its own calls
  std::vector<PeerAddress> coordinators;    // own data centre first; empty if direct
  std::size_t local_coordinator_count = 0;  // of them in the own data centre
  std::vector<PeerAddress> watchers;        // without this VM; own data centre first
  std::size_t local_watcher_count = 0;      // of them in the own data centre
  bool self_coordinates = true;
  bool self_watches = true;
  std::size_t senders = 1;  // VMs that send fan-out requests to leaves
  std::size_t vms = 1;
};

// `shards`: of the widest fan-out route. `live` holds `self`. `leaf_shares`: empty if not known.
FleetPlan MakeFleetPlan(const FleetPlanOptions& options,
                        const Peer& self,
                        const std::vector<Peer>& live,
                        std::size_t shards,
                        const LeafShares& leaf_shares = {});

// ---- 5. DocumentFeed ----------------------------------------------------------------------------

struct DocumentFeedOptions {
  // Least time between the starts of two watches: events that come together cost one call.
  Duration watch_interval = std::chrono::milliseconds(500);
  Duration watch_wait = std::chrono::seconds(30);             // the store's longest wait, 30 s
  Duration initial_backoff = std::chrono::milliseconds(100);  // after a failure, doubles
  Duration max_backoff = std::chrono::milliseconds(1000);     // 1 s
  // Without any document, callers are refused meanwhile: the store is asked again sooner.
  Duration empty_mirror_backoff = std::chrono::milliseconds(250);
  // Failures of the store after which a watcher asks its peers as well, in turn with the store.
  int failures_before_peers = 1;
  Duration peer_avoidance = std::chrono::seconds(2);  // after a peer did not help
  // A source that is silent about changes which another VM knows for this long is given up. Longer
  // than watch_interval, within which VMs rightly differ.
  Duration stale_source_timeout = std::chrono::milliseconds(700);
  // Without any document, the store is asked whatever the plan says.
  bool ask_store_first = true;
};

enum class FeedStep : std::uint8_t {
  kWait,     // until `at`
  kList,     // read all documents from the store
  kWatch,    // wait at the store for changes after `after`
  kAskPeer,  // wait at a peer for changes after `after`
};

struct FeedAction {
  FeedStep step = FeedStep::kWait;
  TimePoint at{};
  std::uint64_t after = 0;
  PeerAddress peer;  // kPeer
};

// Reads the store if this VM is a watcher, else waits at a watcher for its news. Whoever cannot
// reach its source turns to the other one.
enum class FeedOutcome : std::uint8_t {
  kApplied,      // the answer was applied to the mirror
  kHistoryGone,  // the store no longer holds the changes after `after`
  kRefused,      // the store is there and did not serve the call
  kFailed,       // no answer, or no readable one
};

inline constexpr std::array<std::string_view, 4> kFeedOutcomeNames = {"news", "history_gone",
                                                                      "refused", "failed"};

class DocumentFeed {
 public:
  DocumentFeed(DocumentFeedOptions options, std::uint64_t seed);

  // The next call. kWait while a call is in progress (at: far away) or must wait.
  FeedAction Next(std::uint64_t as_of, const FleetPlan& plan, TimePoint now);
  void OnStarted(const FeedAction& action, TimePoint now);
  // Ends the call in progress. `peer_in_touch`: what a peer said of its own contact to the store.
  void OnEnded(FeedOutcome outcome, bool peer_in_touch, TimePoint now);

  // Another VM says up to which revision it knows all documents.
  void OnPeerRevision(const PeerAddress& peer,
                      std::uint64_t their_as_of,
                      std::uint64_t as_of,
                      TimePoint now);
  // True if the call in progress is to be given up (Ended with kFailed): its source has been silent
  // for too long about what another VM knows. The next call goes to that VM.
  bool ShouldAbandonCall(std::uint64_t as_of, TimePoint now);

  // The newest call to the store succeeded.
  bool store_in_touch() const { return this->failures == 0 && this->store_succeeded; }
  // The newest call, wherever it went, brought news or a confirmation from a source in touch.
  bool in_touch() const { return this->newest_call_in_touch; }

 private:
  std::optional<PeerAddress> ChoosePeer(const FleetPlan& plan, TimePoint now);

  DocumentFeedOptions options;
  Random random;
  bool call_in_progress = false;
  bool list_needed = true;
  bool store_succeeded = false;
  bool newest_call_in_touch = false;
  bool last_was_peer = false;
  int failures = 0;  // of the store, in a row
  FeedAction current;
  struct NewerPeer {
    PeerAddress peer;  // heard of last among those that know most
    std::uint64_t as_of = 0;
    TimePoint since{};
  };
  std::optional<NewerPeer> newer_peer;   // a VM that knows more than this one
  std::optional<PeerAddress> next_peer;  // next, out of turn
  std::unordered_map<PeerAddress, TimePoint, absl::Hash<PeerAddress>> avoided_until;  // until
  TimePoint store_not_before{};
  TimePoint store_failed_at{};
  TimePoint watch_started{};
};

// ---- 6. Messages --------------------------------------------------------------------------------

struct GossipMessage {
  Peer sender;
  std::vector<PeerReport> peers;
  std::vector<CallRefusal> refusals;        // calls that crash leaves
  std::uint64_t documents_as_of = 0;        // revision up to which the sender knows all documents
  std::vector<SilentLeaf> silent_leaves;    // just seen by the sender
  std::vector<LeavingLeaf> leaving_leaves;  // of the last seconds
  std::vector<LeafCrash> crashes;           // just seen by the sender
};

std::string EncodeGossip(const GossipMessage& message);

// Nothing if the bytes are no such message.
std::optional<GossipMessage> DecodeGossip(std::string_view bytes);

struct DocumentUpdate {
  std::uint64_t as_of = 0;
  bool complete = false;  // `changes` are all documents; else the changes after what was asked for
  bool in_touch = false;  // the sender's own source answers
  std::vector<DocumentChange> changes;
};

std::string EncodeDocumentUpdate(const DocumentUpdate& update);
std::optional<DocumentUpdate> DecodeDocumentUpdate(std::string_view bytes);

}  // namespace ibishold

#endif  // IBISHOLD_FLEET_H_
