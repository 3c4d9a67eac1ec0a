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
struct AnswerWork {
  LeafWork work;
  LeafResult result;
};
struct AnswerCancel {
  std::uint64_t link_id = 0;
  std::uint64_t correlation = 0;
  std::uint64_t attempt = 0;
  Verdict verdict = Verdict::kMayHaveRun;
};
// These attempts were running when the leaf restarted or all its connections were reset.
struct ReportSuspects {
  LeafCrash crash;
};

using LeafAction = std::
    variant<OpenConnection, CloseConnection, CallLeaf, AnswerWork, AnswerCancel, ReportSuspects>;

// ---- LeafDispatcher -----------------------------------------------------------------------------

// Events over all leaves of a broker.
struct DispatchCounters {
  std::uint64_t sent = 0;                   // searches and executes handed to a leaf connection
  std::uint64_t sheds = 0;                  // refused: queue full or leaf cold
  std::uint64_t late_refusals = 0;          // refused: could not finish in time
  std::uint64_t leaf_sheds = 0;             // 503 from the leaf
  std::uint64_t timeouts = 0;               // deadline passed while running
  std::uint64_t cancelled_queued = 0;       // removed before the first byte
  std::uint64_t cancelled_running = 0;      // cancelled after the first byte
  std::uint64_t abandoned_connections = 0;  // closed because an answer was abandoned on them
  std::uint64_t silent_connections = 0;     // closed 1 s after the deadline of an answer
  std::uint64_t late_answers = 0;           // dropped
  std::uint64_t mismatched_answers = 0;     // X-Request-Id of another request; dropped
  std::uint64_t cold_transitions = 0;
};

struct LeafDispatcherOptions {
  LeafId leaf;
  std::size_t queue_limit = 64;                                   // 64
  bool refuse_late = true;                                        // DeadlineQueueOptions; true
  WarmUpOptions warm_up;                                          // see WarmUpOptions
  Duration slot_hold_after_deadline = std::chrono::seconds(2);    // 2 s
  Duration silent_after_deadline = std::chrono::seconds(1);       // 1 s
  Duration connection_verify_interval = std::chrono::seconds(5);  // 5 s for each idle connection
  Duration leaf_verify_interval = std::chrono::seconds(2);    // 2 s without any answer: verify one
  Duration verify_timeout = std::chrono::seconds(1);          // 1 s for the answer
  Duration execute_max_answer_age = std::chrono::seconds(1);  // 1 s, for executes
  Duration min_reconnect_backoff = std::chrono::milliseconds(50);  // 50 ms, doubles per failure
  Duration max_reconnect_backoff = std::chrono::seconds(2);        // 2 s
  Duration draining_recheck_interval = std::chrono::seconds(10);   // 10 s
  std::size_t remembered_verdict_limit = 1024;                     // verdicts kept for cancels
  std::uint64_t seed = 1;                                          // of the retry jitter
};

// Decides about the work and the connections of one leaf. Performs nothing itself: every call may
// append actions, which the caller takes and carries out in order.
class LeafDispatcher {
 public:
  LeafDispatcher(LeafDispatcherOptions options, DispatchCounters& counters);

  // Requests of fronts.
  void Submit(LeafWork work, TimePoint now);
  void Cancel(std::uint64_t link_id,
              std::uint64_t correlation,
              std::uint64_t attempt,
              TimePoint now);
  bool HasAttempt(std::uint64_t link_id,
                  std::uint64_t attempt) const;               // waits, runs or is remembered
  void DropWorkOfLink(std::uint64_t link_id, TimePoint now);  // nobody waits for its work any more

  // Rights and state of the leaf.
  void SetUsableSlots(std::uint32_t slots, TimePoint now);  // slots that this VM may use now
  void SetShare(const WarmUpShare& share) { this->warm_up.SetShare(share); }
  void SetQueueLimit(std::size_t limit) { this->queue.SetLimit(limit); }
  void SetTakenOut(bool taken_out, TimePoint now);  // by the operators' table
  void OnPeerLevel(const LeafLevel& level, TimePoint now);
  void RefuseFingerprint(std::uint64_t fingerprint, TimePoint now);  // drops queued work
  void RemoveLeaf(TimePoint now);                                    // the leaf left the topology

  // Events of connections.
  void OnConnectionOpened(std::uint64_t id, TimePoint now);
  void OnReply(std::uint64_t id, const LeafReply& reply, TimePoint now);
  void OnConnectionClosed(std::uint64_t id, TimePoint now);  // failed to open, reset or ended

  // Deadlines, verification, reconnects; call at least every 50 ms.
  void Tick(TimePoint now);

  // Starts what may be started. Called by all of the above; call it after TakeLevelMessage too.
  void StartQueued(TimePoint now);

  std::vector<LeafAction> TakeActions() { return std::exchange(this->actions, {}); }
  std::optional<LeafLevel> TakeLevelMessage() { return this->warm_up.TakeMessage(); }
  LeafLevel GetLevel() const { return this->warm_up.Level(); }

  const LeafId& leaf() const { return this->options.leaf; }
  std::uint32_t slot_count() const { return this->usable_slots; }
  std::uint32_t busy_count() const { return this->limiter.busy(); }
  std::uint32_t abandoned_count() const { return this->limiter.abandoned(); }
  std::uint32_t allowance() const { return this->warm_up.Allowance(); }
  std::size_t queued_count() const { return this->queue.size(); }
  std::size_t connection_count() const { return this->connections.size(); }
  bool draining() const { return this->taken_out || this->leaf_draining; }
  ColdReason last_cold_reason() const { return this->warm_up.last_reason(); }
  bool idle() const { return this->limiter.busy() == 0 && this->queued_work.empty(); }

 private:
  enum class ConnectionState : std::uint8_t { kOpening, kVerifying, kIdle, kWorking, kCancelling };

  struct Connection {
    ConnectionState state = ConnectionState::kOpening;
    TimePoint last_answer_at{};   // last answer on it
    TimePoint answer_due_at{};    // an answer to a verification or cancel is due by then
    Incarnation incarnation = 0;  // run of the leaf at its other end
    std::uint64_t call_id = 0;    // call it runs or cancels
  };

  struct RunningCall {
    LeafWork work;
    std::uint64_t connection_id = 0;  // 0: lost
    std::uint64_t warm_up_stage = 0;  // of the warm-up
    Incarnation incarnation = 0;      // of the leaf when it was sent
    TimePoint sent_at{};
    bool reported_as_suspect = false;  // as a suspect
    bool front_notified = false;       // the front has been told or does not wait
  };

  using AttemptKey = std::pair<std::uint64_t, std::uint64_t>;  // link, attempt

  // leaf_dispatcher.cc
  void Refuse(const LeafWork& work, wire::Outcome outcome, std::string message, TimePoint now);
  void RefuseQueued(wire::Outcome outcome, const std::string& message, TimePoint now);
  void RefuseQueueItems(const std::vector<RefusedItem>& refused_items, TimePoint now);
  std::optional<LeafWork> TakeQueuedWork(std::uint64_t call_id);
  void AnswerAttempt(const LeafWork& work, LeafResult result);
  void RecordVerdict(const LeafWork& work, Verdict verdict);
  ServiceSpeed EstimateServiceSpeed() const;
  void UpdateColdCounter();

  // leaf_dispatcher_calls.cc
  void StartCall(std::uint64_t call_id, std::uint64_t connection_id, TimePoint now);
  void AbandonCall(std::uint64_t call_id, bool cancel_at_leaf);
  void HandleWorkReply(std::uint64_t call_id, const LeafReply& reply, TimePoint now);
  LeafResult MakeResult(RunningCall& call, const LeafReply& reply, TimePoint now);
  void HandleLostCall(std::uint64_t call_id, const std::string& message, TimePoint now);
  void ReportSuspectCalls();
  void CheckDeadlines(TimePoint now);

  // leaf_dispatcher_connections.cc
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
  TimePoint draining_recheck_at{};  // while the leaf drains
  bool connected = false;           // a connection was open and the leaf has not dropped all since
  bool leaf_unobserved = false;     // all connections were closed here, so the leaf was not watched
  bool unreachable = false;
  Duration reconnect_backoff{};
  TimePoint next_open_at{};
  TimePoint leaf_last_answer_at{};               // last answer of any kind
  std::uint64_t last_call_or_connection_id = 0;  // of calls and connections
  std::uint64_t counted_cold_transitions = 0;
  std::unordered_map<std::uint64_t, LeafWork> queued_work;
  std::unordered_map<std::uint64_t, RunningCall> running_calls;
  std::map<AttemptKey, std::uint64_t>
      open_attempts;  // attempts that wait or run and are not answered
  std::map<AttemptKey, Verdict> recent_verdicts;
  std::deque<AttemptKey> recent_verdicts_order;
  std::map<std::uint64_t, Connection> connections;
  std::set<std::uint64_t> calls_to_cancel;  // calls to be cancelled at the leaf
  std::vector<LeafAction> actions;
};

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_LEAF_DISPATCHER_H_
