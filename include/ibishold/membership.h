#ifndef IBISHOLD_MEMBERSHIP_H_
#define IBISHOLD_MEMBERSHIP_H_

// Decides which VMs are alive and how documents are distributed to all of them. This code does no
// I/O: it takes events and the current time and returns actions.
//
// Index of this header:
//   1. HeartbeatMessage     messages between VMs
//   2. MembershipAction     actions that the caller must carry out
//   3. MembershipOptions    intervals and limits
//   4. Membership           the decisions of one VM

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "ibishold/config.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. HeartbeatMessage ------------------------------------------------------------------------

// State of one run of a VM. Of two facts about a VM, the one with the higher incarnation applies;
// within one incarnation, the worse state applies.
struct VmFact {
  VmId vm;
  Incarnation incarnation = 0;
  VmState state = VmState::kLive;

  friend bool operator==(const VmFact&, const VmFact&) = default;
};

// A VM that has not been heard from, as reported by one of its monitors.
struct SilentVm {
  VmId vm;
  Incarnation incarnation = 0;
};

struct HeartbeatMessage {
  bool acknowledgement = false;
  VmId vm;                      // sender
  Incarnation incarnation = 0;  // of the sender
  // Number of the heartbeat, which its acknowledgement repeats. A heartbeat with 0 requests no
  // acknowledgement; an acknowledgement with 0 does not extend the hold.
  std::uint64_t sequence = 0;
  VmState state = VmState::kLive;
  std::vector<Digest> digests;   // in an acknowledgement only if different from the heartbeat's
  std::vector<VmFact> facts;     // at most MembershipOptions::facts_per_heartbeat
  std::vector<SilentVm> silent;  // monitored VMs not heard from for loss_limit
  std::vector<std::pair<TokenHomeRun, TokenSuccessor>> successors;  // of stopped runs of fronts
};

// ---- 2. MembershipAction ------------------------------------------------------------------------

struct SendDatagram {
  std::string address;
  HeartbeatMessage message;
};

// Fetches a document from the broker at this address. The result goes to
// Membership::OnDocumentFetched.
struct FetchDocument {
  std::uint64_t call = 0;
  std::string address;
  std::string key;
};

// Reads or watches a key of the platform. The result goes to Membership::OnPlatformAnswer.
struct CallPlatform {
  std::uint64_t call = 0;
  std::string key;
  bool conditional = false;      // false: plain read of the value
  std::uint64_t generation = 0;  // conditional: only a newer value is returned
  Duration wait{};               // conditional: how long the platform waits for a newer value
};

using MembershipAction = std::variant<SendDatagram, FetchDocument, CallPlatform>;
using MembershipActions = std::vector<MembershipAction>;

// Result of a platform call.
struct PlatformAnswer {
  std::uint64_t generation = 0;     // as stated by the platform; 0: not stated
  std::optional<std::string> text;  // nullopt: a conditional call found nothing newer
};

// ---- 3. MembershipOptions -----------------------------------------------------------------------

struct MembershipOptions {
  VmId vm;                         // this VM
  DataCentre data_centre;          // of this VM
  Incarnation incarnation = 0;     // of this process
  std::uint64_t seed = 1;          // of jitter and random choices
  std::vector<std::string> seeds;  // peers to ask while no VM list is known
  std::uint32_t monitors = 5;      // per VM
  Duration heartbeat_interval = std::chrono::seconds(1);
  // How long after sending an acknowledged heartbeat this VM may hold slots.
  Duration acknowledgement_limit = std::chrono::seconds(5);
  Duration loss_limit = std::chrono::seconds(60);   // silence after which a monitor reports a VM
  Duration max_tick_gap = std::chrono::seconds(3);  // longer: the process was paused
  std::size_t facts_per_heartbeat = 8;
  std::size_t push_fanout = 4;                               // random peers per push
  Duration push_delay = std::chrono::milliseconds(20);       // batches changes
  Duration fetch_timeout = std::chrono::milliseconds(1500);  // for a fetch from a peer
  std::uint32_t peer_requests_before_platform = 3;
  Duration peer_interval = std::chrono::milliseconds(300);  // between these requests
  Duration peer_contact_timeout = std::chrono::seconds(3);  // then this VM is ready without a peer
  std::size_t watchers_per_data_centre = 3;
  Duration watch_wait = std::chrono::seconds(20);  // how long the platform waits for a newer value
  Duration watch_slack = std::chrono::seconds(2);  // after watch_wait, then the watch has failed
  Duration table_read_interval = std::chrono::milliseconds(2000);  // of a watcher, for the table
  Duration read_interval = std::chrono::milliseconds(4000);        // of a watcher, for other keys
  // Watchers read the whole value at these intervals to detect a different text with the same
  // generation. The table is small and edited by hand; the other documents are large, and reading
  // them as often would cost kilobytes per second.
  Duration table_full_read_interval = std::chrono::seconds(60);
  Duration full_read_interval = std::chrono::hours(1);
  Duration recheck_interval = std::chrono::seconds(30);     // for a value that was refused
  Duration read_timeout = std::chrono::milliseconds(2500);  // then a read has failed
  Duration min_poll_interval = std::chrono::seconds(5);     // below the 6 s allowed for a change
  double polls_per_second = 20;                             // by all VMs of the fleet together
  Duration minimum_backoff = std::chrono::seconds(1);       // after a failed watch
  Duration maximum_backoff = std::chrono::seconds(10);
  // At this rate, 1,100 VMs stay below the platform's limit of 2,000 calls/s.
  double calls_per_second = 1.5;  // by this VM
  // Combined rate of first reads by VMs that started together and found no peer with documents. The
  // delay lets the watchers receive the documents first, so that peers have them.
  double first_reads_per_second = 200;
  double call_burst = 4;  // calls that this VM may make at once
  std::size_t successor_limit = 4096;
};

// ---- 4. Membership ------------------------------------------------------------------------------

class DocumentExchange;
class FactQueue;
class HoldClock;
class PlatformSchedule;
class SilenceDetector;
class VmTable;

// The membership state of one VM: heartbeats and their monitors, documents, and the time until
// which this VM may hold slots.
class Membership {
 public:
  explicit Membership(MembershipOptions options);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Each call appends to `actions`. After each call, NextWake gives the time for the next Tick.
  void Start(TimePoint now, MembershipActions& actions);
  void Tick(TimePoint now, MembershipActions& actions);
  TimePoint NextWake(TimePoint now);

  // `address` is the IP address of the sender.
  void OnDatagram(const std::string& address,
                  const HeartbeatMessage& message,
                  TimePoint now,
                  MembershipActions& actions);

  // Errors: NotFound means that the platform has no such key; any other that the call failed.
  void OnPlatformAnswer(std::uint64_t call,
                        absl::StatusOr<PlatformAnswer> answer,
                        TimePoint now,
                        MembershipActions& actions);

  // `document` is the peer's document, nullopt if it has none, or an error if it did not answer.
  void OnDocumentFetched(std::uint64_t call,
                         absl::StatusOr<std::optional<Document>> document,
                         TimePoint now,
                         MembershipActions& actions);

  void Leave(TimePoint now);  // planned stop
  void AddSuccessor(const TokenHomeRun& home, const TokenSuccessor& successor, TimePoint now);

  // Returns true once after each change of the result of BuildView.
  bool TakeChange(TimePoint now);
  ControlView BuildView(TimePoint now);

  TimePoint HoldUntil() const;  // leaf work may start only before this time
  const ConfigStore& store() const { return this->documents; }
  Incarnation incarnation() const { return this->own_incarnation; }
  bool ready(TimePoint now) const;

 private:
  bool HasNewerList(const HeartbeatMessage& message) const;
  void ApplyFact(const VmFact& fact, TimePoint now);
  void ApplySelfFact(const VmFact& fact, TimePoint now);
  void ApplyReport(const VmId& reporter, const SilentVm& report, TimePoint now);
  void OnVmListChange(TimePoint now);
  bool AcceptDocument(Document document, TimePoint now);
  void SendHeartbeats(TimePoint now, MembershipActions& actions);
  void SendReports(TimePoint now, MembershipActions& actions);
  void Push(MembershipActions& actions);
  void Bootstrap(TimePoint now, MembershipActions& actions);
  void RequestPush(TimePoint now);
  HeartbeatMessage BuildMessage(bool acknowledgement,
                                std::uint64_t message_sequence,
                                bool with_digests);
  const VmEntry* ChooseRandomPeer(bool prefer_other_data_centre);
  std::optional<std::string> ChooseRandomPeerAddress();
  VmState OwnState() const;

  struct MissingDocument {
    std::uint32_t peers_asked = 0;
    TimePoint ask_at{};
    bool delayed = false;             // the delay before the platform is read was scheduled
    bool absent_on_platform = false;  // the platform has no such key
  };

  MembershipOptions options;
  Random random;
  Incarnation own_incarnation;
  ConfigStore documents;
  std::unique_ptr<VmTable> table;
  std::unique_ptr<FactQueue> facts;
  std::unique_ptr<HoldClock> hold;
  std::unique_ptr<SilenceDetector> silence;
  std::unique_ptr<DocumentExchange> exchange;
  std::unique_ptr<PlatformSchedule> schedule;
  std::map<std::string, MissingDocument> missing;
  std::map<TokenHomeRun, TokenSuccessor> successors;
  std::deque<std::pair<TokenHomeRun, std::uint32_t>> successors_to_send;  // with sends left
  TokenHomeRun successor_cursor;
  std::uint64_t sequence = 0;
  TimePoint started_at{};
  TimePoint last_tick_at{};
  TimePoint next_heartbeat_at{};
  TimePoint push_at = TimePoint::max();
  bool leaving = false;
  bool declared_lost = false;         // peers declared this run lost; reset by a new incarnation
  bool superseded = false;            // a newer run of this VM exists
  bool acknowledged_by_peer = false;  // a peer acknowledged a heartbeat of this run
  bool changed = false;
  bool published_hold = false;
  bool published_ready = false;
};

}  // namespace ibishold

#endif  // IBISHOLD_MEMBERSHIP_H_
