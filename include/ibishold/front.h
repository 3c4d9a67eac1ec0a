#ifndef IBISHOLD_FRONT_H_
#define IBISHOLD_FRONT_H_

// The front turns a caller's request into leaf requests and merges their replies into one answer.
//
// Index of this header:
//   1. Events          reports of brokers
//   2. Actions         side effects that the environment carries out
//   3. FrontOptions    limits, timeouts and margins
//   4. FrontCounters   event counts since the start of the process
//   5. FrontCore       decision logic of the front, without clock or sockets

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

// A broker's reply to one attempt.
struct LeafReply {
  std::uint64_t attempt_id = 0;
  wire::Outcome outcome = wire::Outcome::OK;
  Verdict verdict = Verdict::kRan;
  bool complete = false;                      // the leaf states that it covers the whole shard
  std::string records;                        // JSON, unchanged from the leaf
  Snapshot stated_snapshot;                   // zeros if the leaf stated none
  std::vector<std::uint64_t> index_versions;  // held by the leaf; empty if not stated
  Duration retry_after{};
  std::string message;
  // Incarnation of the leaf that ended while the attempt was in flight. Set only with LEAF_LOST; 0
  // if the leaf may still be running.
  Incarnation dead_incarnation = 0;
};

// ---- 2. Actions ---------------------------------------------------------------------------------

struct LeafCall {
  std::uint64_t attempt_id = 0;  // unique per run of the front
  LeafId leaf;
  ShardId shard;
  bool hedge = false;
  bool canary = false;  // sent to a single leaf, because the request may crash leaves
};

// Sends the leaf requests of one caller's request that go to the same broker in one frame.
struct SendBatch {
  VmId broker;
  std::uint64_t batch_id = 0;  // frame correlation ID, unique per run of the front
  RequestKind kind = RequestKind::kQuery;
  std::string request_id;
  ServiceName service;
  TenantName tenant;
  RequestClass request_class = RequestClass::kStandard;
  TimePoint deadline{};
  Snapshot snapshot;
  std::uint64_t fingerprint = 0;            // hash of service and body
  std::shared_ptr<const std::string> body;  // JSON of the query or the operation
  std::vector<LeafCall> calls;
};

// Asks a broker to cancel attempts of one batch.
struct SendCancel {
  VmId broker;
  std::uint64_t batch_id = 0;
  std::vector<std::uint64_t> attempt_ids;
  bool may_drop_frame = false;  // the link may drop the batch's frame if it is still unsent
};

// Sends the answer to a caller.
struct Reply {
  CallerRequest request;  // without body
  CallerAnswer answer;
  Duration latency{};  // since the front received the request
};

// Forwards a request to the home of its token, which decides whether it runs.
struct ForwardExecute {
  std::uint64_t forward_id = 0;  // frame correlation ID, unique per run of the front
  VmId home;
  CallerRequest request;
  TimePoint deadline{};
};

// Sends the result of a request that another front forwarded here.
struct ForwardResult {
  std::uint64_t waiter_id = 0;  // ID that OnForwardedRequest returned
  TokenResult result;
};

// Sends one part of the token table to the successor of this front.
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
  // Requests with less time left until their deadline are refused.
  Duration minimum_deadline = std::chrono::milliseconds(2);
  // Time reserved for sending the answer to the caller: the smaller of answer_margin and
  // answer_margin_share of the time left when the request arrives.
  Duration answer_margin = std::chrono::milliseconds(10);
  double answer_margin_share = 0.05;
  // A hedge is sent once an attempt takes longer than hedge_quantile of the leaf's latencies. The
  // default applies while the leaf has too few latency samples.
  Duration default_hedge_delay = std::chrono::milliseconds(50);
  Duration minimum_hedge_delay = std::chrono::milliseconds(1);
  double hedge_quantile = 0.95;
  std::uint32_t max_attempts_per_shard = 4;  // under one plan, with hedges and retries
  // If no owner of a shard's leaves accepts an attempt, the front waits and tries again. Slots that
  // change their owner become available within about 100 ms. A query spends at most half of its
  // time on these waits.
  std::uint32_t max_owner_waits = 15;                          // after a NOT_OWNER reply
  std::uint32_t max_route_waits = 3;                           // after other route failures
  Duration route_retry_delay = std::chrono::milliseconds(20);  // length of one wait
  // Time after a failed send or a lost link for which the broker is not chosen.
  Duration broker_backoff = std::chrono::milliseconds(100);
  // Time after a NOT_OWNER reply for which the owner is used only if there is no other route.
  Duration decline_retention = std::chrono::milliseconds(250);
  // Time after a change of placement for which a leaf's former owners are used as a fallback.
  Duration former_owner_retention = std::chrono::seconds(8);
  // Time past the deadline for which an attempt or execution waits for a late reply.
  Duration attempt_retention = std::chrono::seconds(2);
  std::size_t request_limit = 8192;  // queries in progress; more are refused with status 503
  // Time before the answer at which a non-repeatable request is cancelled, so that the broker can
  // confirm that the request did not run.
  Duration cancel_margin = std::chrono::milliseconds(20);
  // A forward that could not be sent is retried after the delay. After the timeout, the home counts
  // as unreachable.
  Duration forward_retry_delay = std::chrono::milliseconds(20);
  Duration forward_timeout = std::chrono::milliseconds(1000);
  TokenHomeOptions token_options;  // self is set from vm and incarnation
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
  std::uint64_t leaf_attempts = 0;  // with hedges, retries and reroutes
  std::uint64_t hedges = 0;
  std::uint64_t hedge_wins = 0;
  std::uint64_t retries = 0;   // attempts sent after a failure, from the retry budget
  std::uint64_t reroutes = 0;  // attempts sent by another route, because the last one had not run
  std::uint64_t replans = 0;   // queries that changed to another snapshot
  std::uint64_t cancels = 0;   // attempts that brokers were asked to cancel
  std::uint64_t late_replies = 0;         // replies to unknown, cancelled or finished attempts
  std::uint64_t version_mismatches = 0;   // replies of another snapshot than requested
  std::uint64_t malformed_replies = 0;    // leaf replies that could not be parsed
  std::uint64_t abandoned_requests = 0;   // requests whose caller disconnected before the answer
  std::uint64_t quarantined_queries = 0;  // queries refused as suspected of crashing leaves
  std::uint64_t canary_attempts = 0;      // attempts that test a suspect query on one leaf
  std::uint64_t executes = 0;             // non-repeatable requests sent to a leaf
  std::uint64_t replays = 0;              // requests answered with the stored result of their token
  std::uint64_t forwards = 0;             // requests forwarded to the home of their token
  std::uint64_t uncertain_executes = 0;   // non-repeatable requests with verdict may_have_run
};

// ---- 5. FrontCore -------------------------------------------------------------------------------

struct Attempt;
class Dispatcher;
class QueryEngine;
class ExecuteEngine;

// Decides how requests are answered; has neither clock nor sockets. Each event handler receives the
// current time. It may queue actions, which the environment fetches with TakeActions and carries
// out.
class FrontCore {
 public:
  explicit FrontCore(FrontOptions options);
  ~FrontCore();
  FrontCore(const FrontCore&) = delete;
  FrontCore& operator=(const FrontCore&) = delete;

  void SetView(ControlViewPtr view, TimePoint now);
  void OnRequest(CallerRequest request, TimePoint now);
  // Begins a planned stop. A request whose deadline is later than `end` is refused as not run from
  // now on, because the process may end before its answer.
  void BeginStop(TimePoint end);
  void OnRequestAbandoned(std::uint64_t ticket, TimePoint now);  // the caller disconnected
  void OnLeafReply(const VmId& broker, const LeafReply& reply, TimePoint now);
  void OnCancelResult(std::uint64_t attempt_id, Verdict verdict, TimePoint now);
  void OnBatchNotSent(const SendBatch& batch, TimePoint now);  // no byte of the frame was sent
  void OnLinkLost(const VmId& broker, TimePoint now);
  void OnQuarantineReport(const QuarantineReport& report, TimePoint now);
  void OnTimer(TimePoint now);

  // Messages between fronts. OnForwardedRequest returns the waiter ID that the ForwardResult will
  // carry.
  std::uint64_t OnForwardedRequest(CallerRequest request, TimePoint now);
  void OnForwardedResult(std::uint64_t forward_id, const TokenResult& result, TimePoint now);
  void OnForwardNotSent(std::uint64_t forward_id, TimePoint now);  // no byte of the frame was sent
  void OnForwardLost(std::uint64_t forward_id, TimePoint now);  // the link closed before the result
  void HandOverTokens(const FrontRun& successor, TimePoint now);  // before a planned stop
  absl::Status OnTokenHandOver(const TokenHandOver& part, TimePoint now);
  void OnSenderStopped(const FrontRun& sender, TimePoint now);
  // Returns the front runs whose tokens were handed over to this front.
  std::vector<FrontRun> GetInheritedRuns() const;

  std::optional<TimePoint> GetNextTimer() const;
  std::vector<FrontAction> TakeActions();

  const FrontCounters& counters() const;
  std::size_t requests_in_progress() const;
  std::size_t attempts_outstanding() const;
  // Returns the JSON object of /debug/state.
  std::string BuildDebugState(TimePoint now) const;

 private:
  void DeliverReply(const Attempt& attempt, const LeafReply& reply, TimePoint now);

  FrontOptions options;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<QueryEngine> query_engine;
  std::unique_ptr<ExecuteEngine> execute_engine;
  TimePoint stop_ends_at = TimePoint::max();  // of a planned stop
};

}  // namespace ibishold

#endif  // IBISHOLD_FRONT_H_
