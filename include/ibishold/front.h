#ifndef IBISHOLD_FRONT_H_
#define IBISHOLD_FRONT_H_

// The front: callers' requests to leaf requests and back to one answer.
//
// Index of this header:
//   1. Events          what brokers report
//   2. Actions         what the front asks its environment to do
//   3. FrontOptions    limits and margins
//   4. FrontCounters   what happened so far
//   5. FrontCore       all decisions of the front; no clock, no socket

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ibishold/caller.h"
#include "ibishold/config.h"
#include "ibishold/core.h"
#include "ibishold/idempotency.h"
#include "ibishold/quarantine.h"
#include "ibishold/request_policy.h"
#include "ibishold/snapshot.h"
#include "schema/ibishold.capnp.h"

namespace ibishold {

// ---- 1. Events ----------------------------------------------------------------------------------

// Answer of a broker for one attempt.
struct LeafReply {
  std::uint64_t attempt = 0;
  wire::Outcome outcome = wire::Outcome::OK;
  Verdict verdict = Verdict::kRan;
  bool complete = false;                      // as stated by the leaf
  std::string records;                        // JSON as sent by the leaf
  Snapshot stated;                            // by the leaf; zeros if it said nothing
  std::vector<std::uint64_t> index_versions;  // all that the leaf holds; empty if it said nothing
  Duration retry_after{};
  std::string message;
  // Run of the leaf that died with the attempt in flight (LEAF_LOST only); 0: the leaf may live.
  Incarnation dead_incarnation = 0;
};

// ---- 2. Actions ---------------------------------------------------------------------------------

struct LeafCall {
  std::uint64_t attempt = 0;  // unique per run of the front
  LeafId leaf;
  ShardId shard;
  bool hedge = false;
  bool canary = false;  // runs alone, because the request may crash leaves
};

// One frame to one broker.
struct SendBatch {
  VmId broker;
  std::uint64_t batch = 0;  // correlation of the frame, unique per run of the front
  RequestKind kind = RequestKind::kQuery;
  std::string request_id;
  ServiceName service;
  TenantName tenant;
  RequestClass request_class = RequestClass::kStandard;
  TimePoint deadline{};
  Snapshot snapshot;
  std::uint64_t fingerprint = 0;            // of service and body
  std::shared_ptr<const std::string> body;  // JSON of the query or the operation
  std::vector<LeafCall> calls;
};

struct SendCancel {
  VmId broker;
  std::uint64_t batch = 0;
  std::vector<std::uint64_t> attempts;
  bool whole_batch = false;  // true: the frame may be removed if it has not been written yet
};

struct Reply {
  CallerRequest request;  // without body
  CallerAnswer answer;
  Duration latency{};  // since the request was taken in
};

// Passes a request with a token to the front that decides about it.
struct ForwardExecute {
  std::uint64_t forward = 0;  // correlation of the frame, unique per run of the front
  VmId home;
  CallerRequest request;
  TimePoint deadline{};
};

// Answer to a ForwardExecute of another front.
struct ForwardResult {
  std::uint64_t waiter = 0;  // as returned by OnForwarded
  TokenResult result;
};

struct SendHandOver {
  TokenHandOver part;
};

using FrontAction =
    std::variant<SendBatch, SendCancel, Reply, ForwardExecute, ForwardResult, SendHandOver>;

// ---- 3. FrontOptions ----------------------------------------------------------------------------

struct FrontOptions {
  VmId vm;
  DataCentre data_centre;
  Incarnation incarnation = 1;  // of this process
  std::uint64_t seed = 1;
  Duration minimum_deadline = std::chrono::milliseconds(2);  // less time left: refused at once
  Duration answer_margin = std::chrono::milliseconds(10);    // kept for the way back to the caller
  double answer_margin_share = 0.05;                         // if that is less than 10 ms
  Duration default_hedge_delay = std::chrono::milliseconds(50);  // while a leaf has no quantile
  Duration minimum_hedge_delay = std::chrono::milliseconds(1);
  double hedge_quantile = 0.95;
  std::uint32_t attempts_per_shard = 4;  // all kinds together
  // Slots that move between owners are free again within some 100 ms; a query waits for them at
  // most half of its time.
  std::uint32_t owner_waits = 15;  // waits while brokers say that they are not the owner
  std::uint32_t route_waits = 3;   // waits for a reachable owner
  Duration route_wait = std::chrono::milliseconds(20);       // 20 ms each
  Duration broker_backoff = std::chrono::milliseconds(100);  // not chosen after a failed send
  Duration decline_memory = std::chrono::milliseconds(250);  // after NOT_OWNER
  Duration former_owner_memory = std::chrono::seconds(8);    // after a change of placement; 8 s
  Duration attempt_memory = std::chrono::seconds(2);         // past the deadline
  std::size_t request_limit = 8192;                          // requests in progress; more: 503
  Duration cancel_margin = std::chrono::milliseconds(20);    // for the broker to confirm a removal
  Duration forward_wait = std::chrono::milliseconds(20);     // between tries to reach a home
  Duration forward_limit = std::chrono::milliseconds(1000);  // 1 s; then the home is unreachable
  TokenHomeOptions tokens;                                   // self is set from vm and incarnation
  QuarantineOptions quarantine;
  SnapshotTrackerOptions snapshot;
  LatencyTrackerOptions latency;
  AdmissionOptions admission;
  TrafficSharesOptions shares;
  RatioBudgetOptions hedge_budget = {.share = 0.04, .maximum = 50};
  RatioBudgetOptions retry_budget = {.share = 0.05, .initial = 10};
};

// ---- 4. FrontCounters ---------------------------------------------------------------------------

struct FrontCounters {
  std::uint64_t requests = 0;
  std::uint64_t answers_full = 0;
  std::uint64_t answers_partial = 0;
  std::uint64_t refusals = 0;
  std::uint64_t leaf_attempts = 0;  // all, with hedges and retries
  std::uint64_t hedges = 0;
  std::uint64_t hedge_wins = 0;
  std::uint64_t retries = 0;   // from the retry budget
  std::uint64_t reroutes = 0;  // of attempts that had not run
  std::uint64_t replans = 0;
  std::uint64_t cancels = 0;
  std::uint64_t late_replies = 0;   // of unknown or given-up attempts
  std::uint64_t other_version = 0;  // answers that stated another snapshot
  std::uint64_t malformed = 0;
  std::uint64_t abandoned = 0;     // callers that left
  std::uint64_t quarantined = 0;   // refused as suspected of crashing leaves
  std::uint64_t canaries = 0;      // attempts that ran alone
  std::uint64_t executes = 0;      // non-repeatable requests sent to a leaf
  std::uint64_t replays = 0;       // answered from the token table
  std::uint64_t forwards = 0;      // passed to the home of their token
  std::uint64_t may_have_run = 0;  // non-repeatable requests that ended without certainty
};

// ---- 5. FrontCore -------------------------------------------------------------------------------

struct Attempt;
class Dispatcher;
class QueryEngine;
class ExecuteEngine;

// Every call takes the time and may leave actions, which the environment takes and carries out.
class FrontCore {
 public:
  explicit FrontCore(FrontOptions options);
  ~FrontCore();
  FrontCore(const FrontCore&) = delete;
  FrontCore& operator=(const FrontCore&) = delete;

  void SetView(ControlViewPtr view, TimePoint now);
  void OnRequest(CallerRequest request, TimePoint now);
  void OnAbandoned(std::uint64_t ticket, TimePoint now);  // the caller left
  void OnLeafReply(const VmId& broker, const LeafReply& reply, TimePoint now);
  void OnCancelResult(std::uint64_t attempt, Verdict verdict, TimePoint now);
  void OnNotSent(const SendBatch& batch, TimePoint now);  // none of its bytes was sent
  void OnLinkLost(const VmId& broker, TimePoint now);
  void OnQuarantineReport(const QuarantineReport& report, TimePoint now);
  void OnTimer(TimePoint now);

  // Fronts among themselves. OnForwarded returns the number that the ForwardResult will name.
  std::uint64_t OnForwarded(CallerRequest request, TimePoint now);
  void OnForwardedResult(std::uint64_t forward, const TokenResult& result, TimePoint now);
  void OnForwardNotSent(std::uint64_t forward, TimePoint now);  // none of its bytes was sent
  void OnForwardLost(std::uint64_t forward, TimePoint now);     // the link closed after sending
  void HandOver(const FrontRun& successor, TimePoint now);      // planned stop
  absl::Status OnHandOver(const TokenHandOver& part, TimePoint now);
  void OnSenderStopped(const FrontRun& sender, TimePoint now);
  std::vector<FrontRun> InheritedRuns() const;

  std::optional<TimePoint> NextTimer() const;
  std::vector<FrontAction> TakeActions();

  const FrontCounters& counters() const;
  std::size_t requests_in_progress() const;
  std::size_t attempts_outstanding() const;
  // JSON object for /debug/state.
  std::string DebugState(TimePoint now) const;

 private:
  void Deliver(const Attempt& attempt, const LeafReply& reply, TimePoint now);

  FrontOptions options;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<QueryEngine> queries;
  std::unique_ptr<ExecuteEngine> executes;
};

}  // namespace ibishold

#endif  // IBISHOLD_FRONT_H_
