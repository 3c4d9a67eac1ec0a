#ifndef IBISHOLD_BROKER_LEAF_DISPATCHER_H_
#define IBISHOLD_BROKER_LEAF_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "broker/leaf_work.h"
#include "ibishold/leaf.h"
#include "ibishold/policy.h"
#include "ibishold/quarantine.h"

namespace ibishold {

// ---- Actions ------------------------------------------------------------------------------------

// The caller of LeafDispatcher carries out these actions. Connections are identified by numbers
// that the dispatcher assigns.

struct OpenConnection {
  std::uint64_t connection = 0;
};
struct CloseConnection {
  std::uint64_t connection = 0;
};
struct CallLeaf {
  std::uint64_t connection = 0;
  LeafCall call;
};
// Sends the result of an attempt to its front.
struct AnswerWork {
  LeafWork work;
  LeafResult result;
};
// Sends the verdict on a cancelled attempt to its front.
struct AnswerCancel {
  std::uint64_t link_id = 0;
  std::uint64_t correlation = 0;
  std::uint64_t attempt = 0;
  Verdict verdict = Verdict::kMayHaveRun;
};
// Reports the attempts that were running when the leaf restarted or all its connections were reset,
// since one of them may have crashed the leaf.
struct ReportSuspects {
  LeafCrash crash;
};

using LeafAction = std::
    variant<OpenConnection, CloseConnection, CallLeaf, AnswerWork, AnswerCancel, ReportSuspects>;

// ---- LeafDispatcher -----------------------------------------------------------------------------

// Event counts, summed over all leaves of a broker.
struct DispatchCounters {
  std::uint64_t sent = 0;           // searches and executes handed to a leaf connection
  std::uint64_t sheds = 0;          // attempts refused because the queue was full or the leaf cold
  std::uint64_t late_refusals = 0;  // attempts refused that could not finish before their deadline
  std::uint64_t leaf_sheds = 0;     // answers of the leaf with status 503
  std::uint64_t timeouts = 0;       // calls whose deadline passed while they ran
  std::uint64_t cancelled_queued = 0;       // attempts cancelled before their first byte was sent
  std::uint64_t cancelled_running = 0;      // attempts cancelled after their first byte was sent
  std::uint64_t abandoned_connections = 0;  // closed because nobody waited for the answer any more
  std::uint64_t silent_connections = 0;     // closed because an answer was overdue
  std::uint64_t late_answers = 0;           // answers dropped because nobody waited for them
  std::uint64_t mismatched_answers = 0;     // answers dropped that state another X-Request-Id
  std::uint64_t cold_transitions = 0;       // times that a leaf was found cold
};

struct LeafDispatcherOptions {
  LeafId leaf;
  std::size_t queue_limit = 64;  // attempts
  bool refuse_late = true;       // see DeadlineQueueOptions
  WarmUpOptions warm_up;
  // An abandoned call occupies its slot for this long after its deadline.
  Duration slot_hold_after_deadline = std::chrono::seconds(2);
  // A connection without an answer this long after the deadline of its call is closed.
  Duration silent_after_deadline = std::chrono::seconds(1);
  // An idle connection is verified if its last answer is older than connection_verify_interval. If
  // the leaf has not answered on any connection for leaf_verify_interval, one is verified as well.
  Duration connection_verify_interval = std::chrono::seconds(5);
  Duration leaf_verify_interval = std::chrono::seconds(2);
  // Time for the answer to a verification or a cancel.
  Duration verify_timeout = std::chrono::seconds(1);
  // A connection whose last answer is older is verified before it carries an execute.
  Duration execute_max_answer_age = std::chrono::seconds(1);
  Duration min_reconnect_backoff = std::chrono::milliseconds(50);  // doubles with each failure
  Duration max_reconnect_backoff = std::chrono::seconds(2);
  // Interval of connections to a draining leaf, to detect the end of the drain.
  Duration draining_recheck_interval = std::chrono::seconds(10);
  std::size_t remembered_verdict_limit = 1024;  // verdicts kept to answer later cancels
  std::uint64_t seed = 1;                       // seed of the random jitter of retry_after
};

// Why a connection to the leaf was closed.
enum class ConnectionLoss : std::uint8_t {
  kEnded,         // it failed to open, was reset or ended; the leaf may have crashed
  kInvalidReply,  // the leaf sent an invalid reply, so it has not crashed
};

// Decides which attempts run at one leaf and on which connections. It does no input or output:
// every function that is not const may append actions, which the caller takes with TakeActions and
// carries out in order.
class LeafDispatcher {
 public:
  LeafDispatcher(LeafDispatcherOptions options, DispatchCounters& counters);

  // Requests of fronts.
  void Submit(LeafWork work, TimePoint now);
  void Cancel(std::uint64_t link_id,
              std::uint64_t correlation,
              std::uint64_t attempt,
              TimePoint now);
  // Returns whether the attempt is queued or running, or its verdict is kept.
  bool HasAttempt(std::uint64_t link_id, std::uint64_t attempt) const;
  void DropWorkOfLink(std::uint64_t link_id, TimePoint now);  // the link to the front was closed

  // Changes of slots, of the level at the other owner and of the table and topology.
  void SetUsableSlots(std::uint32_t slots, TimePoint now);  // slots that this VM may use now
  void SetShare(const WarmUpShare& share) { this->warm_up.SetShare(share); }
  void SetQueueLimit(std::size_t limit) { this->queue.SetLimit(limit); }
  void SetTakenOut(bool taken_out, TimePoint now);  // state "out" in the table
  void OnPeerLevel(const LeafLevel& level, TimePoint now);
  void RefuseFingerprint(std::uint64_t fingerprint, TimePoint now);  // refuses its queued attempts
  void RemoveLeaf(TimePoint now);  // the leaf is no longer in the topology

  // Connection events.
  void OnConnectionOpened(std::uint64_t id, TimePoint now);
  void OnReply(std::uint64_t id, const LeafReply& reply, TimePoint now);
  void OnConnectionClosed(std::uint64_t id, ConnectionLoss loss, TimePoint now);

  // Checks deadlines, verifies connections and reconnects. Must be called at least every 50 ms.
  void Tick(TimePoint now);

  // Starts queued attempts while slots and connections are free. Most functions above call it. It
  // must also be called after TakeLevelMessage.
  void StartQueued(TimePoint now);

  std::vector<LeafAction> TakeActions() { return std::exchange(this->actions, {}); }
  std::optional<LeafLevel> TakeLevelMessage() { return this->warm_up.TakeMessage(); }
  LeafLevel GetLevel() const { return this->warm_up.GetLevel(); }

  const LeafId& leaf() const { return this->options.leaf; }
  std::uint32_t slot_count() const { return this->usable_slots; }
  std::uint32_t busy_count() const {
    return this->limiter.busy_slots();
  }  // calls that occupy a slot
  std::uint32_t abandoned_count() const { return this->limiter.abandoned_calls(); }
  // Calls that the warm-up permits at the same time.
  std::uint32_t allowance() const { return this->warm_up.GetAllowance(); }
  std::size_t queued_count() const { return this->queue.size(); }
  std::size_t connection_count() const { return this->connections.size(); }
  bool draining() const { return this->taken_out || this->leaf_draining; }
  ColdReason last_cold_reason() const { return this->warm_up.last_reason(); }
  bool idle() const { return this->limiter.busy_slots() == 0 && this->queued_work.empty(); }

 private:
  enum class ConnectionState : std::uint8_t { kOpening, kVerifying, kIdle, kWorking, kCancelling };

  struct Connection {
    ConnectionState state = ConnectionState::kOpening;
    TimePoint last_answer_at{};   // last answer of any kind on this connection
    TimePoint answer_due_at{};    // for a verification or cancel
    Incarnation incarnation = 0;  // run of the leaf that answered on this connection
    std::uint64_t call_id = 0;    // call that it carries or cancels
  };

  struct RunningCall {
    LeafWork work;
    std::uint64_t connection_id = 0;  // 0: the connection was lost
    std::uint64_t warm_up_stage = 0;  // WarmUp::stage() when the call started
    Incarnation incarnation = 0;      // run of the leaf when the call was sent
    TimePoint sent_at{};
    bool reported_as_suspect = false;  // in a ReportSuspects action
    bool front_notified = false;       // the front got its answer or no longer waits for it
  };

  using AttemptKey = std::pair<std::uint64_t, std::uint64_t>;  // link, attempt

  // Defined in leaf_dispatcher.cc.
  void Refuse(const LeafWork& work, wire::Outcome outcome, std::string message, TimePoint now);
  void RefuseQueued(wire::Outcome outcome, const std::string& message, TimePoint now);
  void RefuseQueueItems(const std::vector<RefusedItem>& refused_items, TimePoint now);
  std::optional<LeafWork> TakeQueuedWork(std::uint64_t call_id);
  void AnswerAttempt(const LeafWork& work, LeafResult result);
  void RecordVerdict(const LeafWork& work, Verdict verdict);
  ServiceSpeed EstimateServiceSpeed() const;
  void UpdateColdCounter();

  // Defined in leaf_dispatcher_calls.cc.
  void StartCall(std::uint64_t call_id, std::uint64_t connection_id, TimePoint now);
  void AbandonCall(std::uint64_t call_id, bool cancel_at_leaf);
  void HandleWorkReply(std::uint64_t call_id, const LeafReply& reply, TimePoint now);
  LeafResult MakeResult(RunningCall& call, const LeafReply& reply, TimePoint now);
  void HandleLostCall(std::uint64_t call_id,
                      wire::Outcome outcome,
                      const std::string& message,
                      TimePoint now);
  void ReportSuspectCalls();
  void CheckDeadlines(TimePoint now);

  // Defined in leaf_dispatcher_connections.cc.
  void MaintainConnections(TimePoint now);
  std::size_t GetTargetConnectionCount(TimePoint now) const;
  std::optional<std::uint64_t> PickConnection(bool for_execute, TimePoint now);
  void VerifyConnection(std::uint64_t id, TimePoint now);
  void VerifyOldestConnection(TimePoint now);
  void SendCancels(TimePoint now);
  void DropConnection(std::uint64_t id);
  void CloseUnusedConnections();
  void UpdateLeafState(const LeafReply& reply, TimePoint now);
  void HandleLeafRestart(Incarnation incarnation, TimePoint now);
  void HandleCancelReply(std::uint64_t call_id, const LeafReply& reply);
  bool IsReachable() const;

  LeafDispatcherOptions options;
  DispatchCounters& counters;
  Random random;
  LeafLimiter limiter;
  WarmUp warm_up;
  ServiceTimes service_times;
  DeadlineQueue queue;
  DrainRate queue_drain_rate;
  std::uint32_t usable_slots = 0;
  bool taken_out = false;
  bool leaf_draining = false;
  bool leaf_removed = false;
  TimePoint draining_recheck_at{};  // time of the next connection to a draining leaf
  // Set when a connection opens, reset when the leaf closes the last open one.
  bool connected = false;
  // This broker closed all connections, so it cannot detect a restart of the leaf.
  bool leaf_unobserved = false;
  bool unreachable = false;
  Duration reconnect_backoff{};
  TimePoint next_open_at{};                      // no new connection before this time
  TimePoint leaf_last_answer_at{};               // on any connection
  std::uint64_t last_call_or_connection_id = 0;  // calls and connections share one number sequence
  std::uint64_t counted_cold_transitions = 0;
  std::unordered_map<std::uint64_t, LeafWork> queued_work;
  std::unordered_map<std::uint64_t, RunningCall> running_calls;
  // Call ids of queued and running attempts without an answer.
  std::map<AttemptKey, std::uint64_t> open_attempts;
  std::map<AttemptKey, Verdict> recent_verdicts;
  std::deque<AttemptKey> recent_verdicts_order;  // oldest first
  std::map<std::uint64_t, Connection> connections;
  std::set<std::uint64_t> calls_to_cancel;  // ids of running calls to be cancelled at the leaf
  std::vector<LeafAction> actions;
};

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_LEAF_DISPATCHER_H_
