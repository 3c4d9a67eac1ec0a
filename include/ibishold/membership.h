#ifndef IBISHOLD_MEMBERSHIP_H_
#define IBISHOLD_MEMBERSHIP_H_

// Which VMs are alive, and how documents reach all of them. Decision code only: events and the time
// go in, actions come out.
//
// Index of this header:
//   1. HeartbeatMessage     what VMs tell each other
//   2. MembershipAction     what the caller must do
//   3. MembershipOptions    intervals and limits
//   4. TokenBucket          bound on platform calls of one VM
//   5. MonitorsOf           monitors of a VM, watchers of a data centre
//   6. VmTable              published list merged with the peers' facts
//   7. FactQueue            facts that heartbeats still have to carry
//   8. HoldClock            how long this VM may hold slots
//   9. SilenceDetector      VMs that their monitors do not hear
//  10. DocumentExchange     fetching from peers what they have newer
//  11. PlatformSchedule     watches, polls and reads of the platform
//  12. Membership           all of it for one VM

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "ibishold/config.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. HeartbeatMessage ------------------------------------------------------------------------

// State of one run of a VM. Of two facts the one with the higher incarnation holds; within one
// incarnation the worse state holds.
struct VmFact {
  VmId vm;
  Incarnation incarnation = 0;
  VmState state = VmState::kLive;

  friend bool operator==(const VmFact&, const VmFact&) = default;
};

struct SilentVm {
  VmId vm;
  Incarnation incarnation = 0;
};

struct HeartbeatMessage {
  bool acknowledgement = false;
  VmId vm;                      // sender
  Incarnation incarnation = 0;  // of the sender
  std::uint64_t sequence = 0;   // 0: no acknowledgement wanted; in one: that of the heartbeat
  VmState state = VmState::kLive;
  std::vector<Digest> digests;   // in an acknowledgement only if they differ from the heartbeat's
  std::vector<VmFact> facts;     // at most MembershipOptions::facts_per_heartbeat
  std::vector<SilentVm> silent;  // VMs that the sender monitors and has not heard for loss_limit
  std::vector<std::pair<TokenHomeRun, TokenSuccessor>> successors;  // of stopped runs of fronts
};

// ---- 2. MembershipAction ------------------------------------------------------------------------

struct SendDatagram {
  std::string address;
  HeartbeatMessage message;
};

// Ask the broker at this address for a document; answer with Membership::OnDocument.
struct FetchDocument {
  std::uint64_t call = 0;
  std::string address;
  std::string key;
};

// Read or watch a key; answer with Membership::OnPlatform.
struct CallPlatform {
  std::uint64_t call = 0;
  std::string key;
  bool conditional = false;      // false: plain read of the value
  std::uint64_t generation = 0;  // conditional: only a value above it
  Duration wait{};               // conditional: how long the platform waits for one
};

using MembershipAction = std::variant<SendDatagram, FetchDocument, CallPlatform>;
using MembershipActions = std::vector<MembershipAction>;

// What a platform call returned.
struct PlatformAnswer {
  std::uint64_t generation = 0;     // as stated beside the value; 0: not stated
  std::optional<std::string> text;  // empty: a conditional call found nothing newer
};

// ---- 3. MembershipOptions -----------------------------------------------------------------------

struct MembershipOptions {
  VmId vm;                                                         // this VM
  DataCentre data_centre;                                          // of this VM
  Incarnation incarnation = 0;                                     // of this process
  std::uint64_t seed = 1;                                          // of jitter and choices
  std::vector<std::string> seeds;                                  // peers to ask before any list
  std::uint32_t monitors = 5;                                      // 5
  Duration heartbeat_interval = std::chrono::seconds(1);           // 1 s
  Duration acknowledgement_limit = std::chrono::seconds(5);        // 5 s
  Duration loss_limit = std::chrono::seconds(60);                  // 60 s
  Duration gap_limit = std::chrono::seconds(3);                    // 3 s without a tick: was paused
  std::size_t facts_per_heartbeat = 8;                             // 8
  std::size_t push_fanout = 4;                                     // 4 random peers per change
  Duration push_delay = std::chrono::milliseconds(20);             // 20 ms, collects changes
  Duration fetch_limit = std::chrono::milliseconds(1500);          // 1.5 s for a peer's document
  std::uint32_t peers_asked_first = 3;                             // 3, before the platform
  Duration peer_interval = std::chrono::milliseconds(300);         // 300 ms between these
  Duration contact_limit = std::chrono::seconds(3);                // 3 s, then ready without peers
  std::size_t watchers_per_data_centre = 3;                        // 3
  Duration watch_wait = std::chrono::seconds(20);                  // 20 s
  Duration watch_slack = std::chrono::seconds(2);                  // 2 s, then the watch is silent
  Duration table_read_interval = std::chrono::milliseconds(2000);  // 2 s beside a watch, table
  Duration read_interval = std::chrono::milliseconds(4000);        // 4 s beside a watch, the others
  // Watchers read the whole value this often, which shows another text of the same generation. The
  // table is small and edited by hand; the others are large and would cost kilobytes a second.
  Duration table_full_read_interval = std::chrono::seconds(60);  // 1 min
  Duration full_read_interval = std::chrono::hours(1);           // 1 h
  Duration recheck_interval = std::chrono::seconds(30);          // 30 s, a value that was refused
  Duration read_limit = std::chrono::milliseconds(2500);         // 2.5 s, then a read is silent
  Duration minimum_poll = std::chrono::seconds(5);               // 5 s, below the 6 s of a change
  double polls_per_second = 20;                                  // 20, of the whole fleet
  Duration minimum_backoff = std::chrono::seconds(1);            // 1 s after a failed watch
  Duration maximum_backoff = std::chrono::seconds(10);           // 10 s
  // 1,100 VMs that call at this rate stay below the platform's 2,000 calls/s.
  double calls_per_second = 1.5;  // 1.5
  // VMs that started together and found no peer with documents ask at this rate together, by
  // then the watchers have received them.
  double first_reads_per_second = 200;  // 200, of the whole fleet
  double call_burst = 4;                // 4
  std::size_t successor_limit = 4096;
};

// ---- 4. TokenBucket -----------------------------------------------------------------------------

class TokenBucket {
 public:
  TokenBucket(double rate, double capacity, double initial)
      : rate(rate), capacity(capacity), tokens(initial) {}

  bool Take(TimePoint now);
  TimePoint NextAt(TimePoint now);  // when Take succeeds

 private:
  void Refill(TimePoint now);

  double rate;      // tokens per second
  double capacity;  // tokens
  double tokens;
  std::optional<TimePoint> filled_at;
};

// ---- 5. MonitorsOf ------------------------------------------------------------------------------

// The VMs with the highest rendezvous scores for this VM among those of its data centre that are
// published as live, without itself. Depends on the published list only, never on reports of
// peers: if loss reports shrank the set, both sides of a partition would run out of monitors and
// hold the same slots.
std::vector<VmId> MonitorsOf(const VmId& vm,
                             const DataCentre& data_centre,
                             const VmList& published,
                             std::size_t count);

// Whether this VM is one of the `count` VMs of its data centre that keep watches.
bool IsWatcher(const VmId& vm,
               const DataCentre& data_centre,
               const VmList& merged,
               std::size_t count);

// ---- 6. VmTable ---------------------------------------------------------------------------------

class VmTable {
 public:
  // Returns true if the merged list changed.
  bool SetPublished(std::shared_ptr<const VmList> list);
  bool Apply(const VmFact& fact);

  VmFact FactOf(const VmId& vm) const;  // incarnation 0 if nothing is known
  const VmEntry* Published(const VmId& vm) const;
  const std::shared_ptr<const VmList>& published() const { return this->published_list; }
  std::shared_ptr<const VmList> Merged();  // null until a list is published
  std::set<VmId> Lost();

 private:
  std::shared_ptr<const VmList> published_list;
  std::shared_ptr<const VmList> merged;  // null: to be rebuilt
  std::unordered_map<std::string, std::size_t> places;
  std::unordered_map<std::string, VmFact> facts;
};

// ---- 7. FactQueue -------------------------------------------------------------------------------

class FactQueue {
 public:
  void Add(const VmFact& fact, std::size_t fleet);  // replaces an older fact about the VM
  std::vector<VmFact> Take(std::size_t count);      // least often sent first
  bool empty() const { return this->entries.empty(); }

 private:
  struct Entry {
    VmFact fact;
    std::uint32_t sends_left = 0;
  };
  std::vector<Entry> entries;
};

// ---- 8. HoldClock -------------------------------------------------------------------------------

// A VM may hold slots for acknowledgement_limit after the moment at which it SENT a heartbeat that
// at least half (rounded up) of its monitors acknowledged. Counting from the sending makes late
// acknowledgements, as found in a socket after a pause, harmless.
class HoldClock {
 public:
  explicit HoldClock(Duration limit) : limit(limit) {}

  void SetMonitors(std::vector<VmId> list);
  void Sent(std::uint64_t sequence, TimePoint now);
  void Acknowledged(const VmId& monitor, std::uint64_t sequence);
  void Reset();  // forgets all acknowledgements and sent heartbeats

  TimePoint HoldUntil() const;  // TimePoint::max() without monitors
  const std::vector<VmId>& monitors() const { return this->monitor_list; }

 private:
  Duration limit;
  std::vector<VmId> monitor_list;
  std::vector<TimePoint> acknowledged;  // sending time, by monitor; TimePoint::min(): never
  std::deque<std::pair<std::uint64_t, TimePoint>> sent;
};

// ---- 9. SilenceDetector -------------------------------------------------------------------------

class SilenceDetector {
 public:
  SilenceDetector(VmId self, Duration loss_limit, Duration report_limit)
      : self(std::move(self)), loss_limit(loss_limit), report_limit(report_limit) {}

  // Computes whom this VM monitors, and the other monitors of these.
  void SetPublished(const VmList& list, std::size_t monitors, TimePoint now);
  void Heard(const VmId& vm, TimePoint now);
  // This VM was paused: silence counts from now on again.
  void Resume(TimePoint now);

  struct Silent {
    VmId vm;
    std::vector<VmId> monitors;  // all monitors of the VM
  };
  std::vector<Silent> SilentVms(TimePoint now) const;

  // Notes the report of a monitor, or of this VM itself. True if more than half of the monitors of
  // the VM report this incarnation silent.
  bool Report(const VmId& reporter, const SilentVm& report, TimePoint now);

  // False for ever once this VM has reported that run silent: its report may have made others
  // declare the run lost without this VM hearing of it, and an acknowledgement would let the run
  // hold slots that have a new owner. The run must return with a new incarnation.
  bool MayAcknowledge(const VmId& vm, Incarnation incarnation) const;

 private:
  struct Watched {
    TimePoint heard_at{};
    std::vector<VmId> monitors;
    std::map<VmId, std::pair<Incarnation, TimePoint>> reports;
    std::optional<Incarnation> own_report;  // run that this VM reported last
  };

  VmId self;
  Duration loss_limit;
  Duration report_limit;
  std::map<std::string, Watched> watched;
};

// ---- 10. DocumentExchange -----------------------------------------------------------------------

// At most one fetch a key, and a second one if a peer shows a newer text meanwhile.
class DocumentExchange {
 public:
  explicit DocumentExchange(Duration fetch_limit) : fetch_limit(fetch_limit) {}

  // A peer at this address has these documents.
  void Offered(const std::string& address,
               const std::vector<Digest>& digests,
               const ConfigStore& store,
               TimePoint now,
               MembershipActions& actions);
  // Asks a peer that may have any text of this key.
  void Ask(const std::string& address,
           const std::string& key,
           TimePoint now,
           MembershipActions& actions);
  bool Pending(const std::string& key) const;
  // The fetch ended, well or not; tries the next peer that offered a newer text.
  void Ended(std::uint64_t call,
             const ConfigStore& store,
             TimePoint now,
             MembershipActions& actions);
  void Expire(const ConfigStore& store, TimePoint now, MembershipActions& actions);
  TimePoint NextWake() const;

 private:
  struct Fetch {
    std::uint64_t call = 0;
    Digest digest;  // generation 0: whatever the peer has
    TimePoint deadline{};
  };
  struct Offer {
    std::string address;
    Digest digest;
  };
  struct Key {
    std::vector<Fetch> fetches;
    std::deque<Offer> offers;  // newest last
  };

  void Begin(Key& key,
             const std::string& address,
             const Digest& digest,
             TimePoint now,
             MembershipActions& actions);
  void Next(Key& key, const ConfigStore& store, TimePoint now, MembershipActions& actions);

  Duration fetch_limit;
  std::uint64_t last_call = 0;
  std::map<std::string, Key> keys;
};

// ---- 11. PlatformSchedule -----------------------------------------------------------------------

// A VM without documents reads when told to. A watcher keeps one watch a key, each with its own
// deadline, and reads the keys periodically beside them. All others poll.
class PlatformSchedule {
 public:
  PlatformSchedule(const MembershipOptions& options, Random& random);

  void SetRole(bool watcher, std::size_t fleet, TimePoint now);
  void RequestRead(const std::string& key, TimePoint now);  // plain read as soon as allowed
  bool Reading(const std::string& key) const;               // a read is requested or running
  void Plan(const ConfigStore& store, TimePoint now, MembershipActions& actions);
  // The key of the call; empty if the call has ended by its deadline before.
  std::string Ended(std::uint64_t call,
                    const absl::StatusOr<PlatformAnswer>& answer,
                    TimePoint now);
  TimePoint NextWake(TimePoint now);
  std::uint64_t calls() const { return this->last_call; }
  bool watcher() const { return this->is_watcher; }

 private:
  struct Call {
    std::uint64_t id = 0;  // 0: none
    TimePoint deadline{};
  };
  struct Key {
    std::string name;
    Call watch;
    Call read;
    TimePoint watch_at{};
    Duration watch_backoff{};
    TimePoint read_at = TimePoint::max();
    TimePoint full_read_at = TimePoint::max();
    bool full_read = false;
    // Generation of the last value served. Above the one in force if that value was refused or
    // states another generation in its text; asking from here on keeps it from being sent again
    // with every call.
    std::uint64_t served = 0;
    TimePoint recheck_at{};
  };

  void WatchFailed(Key& key, TimePoint now);
  TimePoint NextRead(const Key& key, TimePoint now);
  Duration ReadInterval(const Key& key) const;
  Duration FullReadInterval(const Key& key) const;

  const MembershipOptions& options;
  Random& random;
  TokenBucket bucket;
  std::vector<Key> keys;
  bool is_watcher = false;
  bool has_role = false;
  Duration poll_interval{};
  std::uint64_t last_call = 0;
};

// ---- 12. Membership -----------------------------------------------------------------------------

class Membership {
 public:
  explicit Membership(MembershipOptions options);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Each call appends to `actions`; afterwards Tick must be called at NextWake.
  void Start(TimePoint now, MembershipActions& actions);
  void Tick(TimePoint now, MembershipActions& actions);
  TimePoint NextWake(TimePoint now);

  // `address` is the IP number of the sender.
  void OnDatagram(const std::string& address,
                  const HeartbeatMessage& message,
                  TimePoint now,
                  MembershipActions& actions);

  // Errors: NotFound means that the platform has no such key; any other, that the call failed.
  void OnPlatform(std::uint64_t call,
                  absl::StatusOr<PlatformAnswer> answer,
                  TimePoint now,
                  MembershipActions& actions);

  // The peer's text, nothing if it has none, or an error if it did not answer.
  void OnDocument(std::uint64_t call,
                  absl::StatusOr<std::optional<Document>> document,
                  TimePoint now,
                  MembershipActions& actions);

  void Leave(TimePoint now);  // planned stop
  void AddSuccessor(const TokenHomeRun& home, const TokenSuccessor& successor, TimePoint now);

  // True once after each change of what View returns.
  bool TakeChange(TimePoint now);
  ControlView View(TimePoint now);

  TimePoint HoldUntil() const;  // leaf work may start while the time is below
  const ConfigStore& store() const { return this->documents; }
  const PlatformSchedule& platform() const { return this->schedule; }
  Incarnation incarnation() const { return this->own_incarnation; }
  bool ready(TimePoint now) const;

 private:
  bool HasNewerList(const HeartbeatMessage& message) const;
  void ApplyFact(const VmFact& fact, TimePoint now);
  void ApplySelfFact(const VmFact& fact, TimePoint now);
  void ApplyReport(const VmId& reporter, const SilentVm& report, TimePoint now);
  void ListChanged(TimePoint now);
  bool Accept(Document document, TimePoint now);
  void SendHeartbeats(TimePoint now, MembershipActions& actions);
  void SendReports(TimePoint now, MembershipActions& actions);
  void Push(MembershipActions& actions);
  void Bootstrap(TimePoint now, MembershipActions& actions);
  void RequestPush(TimePoint now);
  HeartbeatMessage Message(bool acknowledgement, std::uint64_t message_sequence, bool with_digests);
  const VmEntry* RandomPeer(bool elsewhere);
  std::optional<std::string> RandomPeerAddress();
  VmState OwnState() const;

  struct Missing {
    std::uint32_t asked = 0;  // peers
    TimePoint ask_at{};
    bool waited = false;  // the pause before the platform is asked is over
    bool absent = false;  // the platform has no such key
  };

  MembershipOptions options;
  Random random;
  Incarnation own_incarnation;
  ConfigStore documents;
  VmTable table;
  FactQueue facts;
  HoldClock hold;
  SilenceDetector silence;
  DocumentExchange exchange;
  PlatformSchedule schedule;
  std::map<std::string, Missing> missing;
  std::map<TokenHomeRun, TokenSuccessor> successors;
  std::deque<std::pair<TokenHomeRun, std::uint32_t>> fresh_successors;  // with sends left
  TokenHomeRun successor_cursor;
  std::uint64_t sequence = 0;
  TimePoint started_at{};
  TimePoint ticked_at{};
  TimePoint heartbeat_at{};
  TimePoint push_at = TimePoint::max();
  bool leaving = false;
  bool self_lost = false;   // peers took this run for lost; ends with a new incarnation
  bool superseded = false;  // a newer run of this VM exists
  bool heard_peer = false;  // a peer acknowledged a heartbeat of this run
  bool changed = false;
  bool published_hold = false;
  bool published_ready = false;
};

}  // namespace ibishold

#endif  // IBISHOLD_MEMBERSHIP_H_
