#ifndef IBISHOLD_DISPATCH_H_
#define IBISHOLD_DISPATCH_H_

// Fans calls out to leaves: chooses leaves, sends hedges and retries, builds complete or partial
// answers and decides the final verdict. A state machine that reads no clock and no socket: the
// caller passes in events and the current time and carries out the returned actions.
//
// Index of this header:
//   1. Coordinator   state machine of the calls in progress

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ibishold/call.h"
#include "ibishold/core.h"
#include "ibishold/crash_guard.h"
#include "ibishold/fair_share.h"
#include "ibishold/leaf_limits.h"
#include "ibishold/leaf_policy.h"
#include "ibishold/routing.h"

namespace ibishold {

// ---- 1. Coordinator -----------------------------------------------------------------------------

struct CoordinatorOptions {
  LeafTrackerOptions tracker;
  LeafNoticeOptions notices;
  LeafLimitOptions limits;
  ExtraAttemptOptions extra_attempts;
  CrashGuardOptions crash_guard;
  FairShareOptions fair_share;
  // Subtracted from the objective, because this VM needs this time to build the answer.
  Duration objective_margin = std::chrono::milliseconds(4);
  // Subtracted from the time limit, so that the final answer reaches the caller within it.
  Duration time_limit_margin = std::chrono::milliseconds(15);
  // A hedge is sent after this multiple of the route's typical latency. The delay is limited to the
  // range from hedge_delay_min_share to hedge_delay_max_share of the objective.
  double hedge_delay_factor = 2.2;
  // While leaves have free slots, hedges delay no other request and may be sent earlier. The factor
  // rises linearly with LeafTracker::load: from hedge_delay_factor_idle at load 0 to
  // hedge_delay_factor at hedge_full_delay_load.
  double hedge_delay_factor_idle = 1.2;
  double hedge_full_delay_load = 0.1;
  double hedge_delay_min_share = 0.2;
  double hedge_delay_max_share = 0.5;
  // The connection of a cancelled attempt stays open if the reply arrives within this time.
  Duration late_reply_grace = std::chrono::milliseconds(60);
  // Share of a leaf's connection limit that all VMs together may use. Each VM uses an equal part.
  double connection_share = 0.85;
  // Estimate of the typical latency before the first sample, as a share of the objective.
  double initial_latency_share = 0.2;
  // Interval at which a shard's send is retried while no leaf has a free connection.
  Duration busy_retry_interval = std::chrono::milliseconds(5);
  // Share of the budget for extra attempts that is reserved for retries after failures.
  double retry_budget_reserve = 0.1;
  // Retry-After of calls that are refused because no leaf accepts requests, or because this VM has
  // no route table yet.
  Duration retry_after_no_leaf = std::chrono::milliseconds(400);
  Duration retry_after_no_configuration = std::chrono::milliseconds(250);
  // During a planned stop, a call is refused if less than this multiple of its route's typical
  // latency is left, or less than its objective if that is shorter. Other VMs serve it at once.
  double stop_latency_factor = 3;
  Duration retry_after_stopping = std::chrono::milliseconds(50);
  // Least Retry-After of calls of tenants that have their share; at least 50 ms with jitter.
  Duration retry_after_fair_share = std::chrono::milliseconds(75);
};

// One step in the processing of a call, for the log.
struct CallEvent {
  Duration elapsed{};      // time since the arrival of the call
  std::string_view event;  // string literal: sent, sent_again, no_leaf, leaf_failed, ...
  std::string service;
  std::string leaf;
  std::string detail;
};

struct CallSummary {
  std::string request_id;
  std::uint64_t fingerprint = 0;  // Call::fingerprint
  std::string route;
  std::uint64_t route_table_version = 0;
  AnswerKind kind = AnswerKind::kRefused;
  AnswerReason reason = AnswerReason::kComplete;
  Duration duration{};
  Duration objective{};
  std::uint32_t shards = 0;
  std::uint32_t missing_shards = 0;
  std::uint32_t attempts = 0;
  std::uint32_t extra_attempts = 0;
  std::uint32_t remote_attempts = 0;  // to leaves in other data centres
  std::vector<CallEvent> events;
};

class Coordinator {
 public:
  Coordinator(CoordinatorOptions options, LeafDirectory& directory, std::uint64_t seed);

  void SetRoutes(RouteTablePtr new_routes);
  // Sets how many VMs send to the leaves of fan-out routes and to the leaves of other routes. This
  // VM gets an equal part of the retry budgets and connection limits.
  void SetSenderCounts(std::size_t fan_out_count, std::size_t single_count);
  // Sets the VMs that share the request rates that leaves state as their limits.
  void SetLimitSenders(RateSharers senders, TimePoint now);
  // True if all leaves of a service of the route state limits of which this VM has no share. Other
  // VMs should run the call then.
  bool LacksLimitShare(const Route& route, TimePoint now);
  const RouteTablePtr& routes() const { return this->route_table; }

  CallId Begin(Call call, TimePoint now, Actions& actions);
  void OnSent(AttemptId attempt, TimePoint now);  // first byte was written to the socket
  void OnReply(AttemptId attempt, LeafReply reply, TimePoint now, Actions& actions);
  // Records that the leaf is leaving or sent Retry-After. Applies to any reply, also to one that
  // arrives after its attempt was cancelled.
  void OnLeafNotice(const LeafId& leaf,
                    std::uint64_t started,
                    const LeafReply& reply,
                    TimePoint now);
  void OnFailure(AttemptId attempt, AttemptFailure failure, TimePoint now, Actions& actions);
  void OnCallerLeft(CallId call, TimePoint now, Actions& actions);
  void OnTimer(TimePoint now, Actions& actions);
  // Begins a planned stop, at the end of which EndAll is called. Calls that begin from now on get
  // no more time than that, and are refused as not run if they cannot be expected to end by then.
  void BeginStop(TimePoint end);
  // False if a call on this route would be refused because of a planned stop.
  bool HasTimeBeforeStop(const Route& route, TimePoint now);
  // The end of the planned stop; TimePoint::max() if none has begun.
  TimePoint stop_end() const { return this->stop_ends_at; }
  // Answers all calls before shutdown: with a partial answer if enough shards have replied, else
  // with a failure.
  void EndAll(TimePoint now, Actions& actions);

  // Returns the time at which OnTimer must be called next; nullopt if no call is in progress.
  std::optional<TimePoint> NextTimer() const;

  // Returns the summaries of the calls that ended since the previous invocation.
  std::vector<CallSummary> TakeSummaries();

  std::size_t in_progress() const { return this->calls.size(); }
  LeafTracker& tracker() { return this->leaf_tracker; }
  LeafNotices& notices() { return this->leaf_notices; }
  LeafLimits& limits() { return this->leaf_limits; }
  const LeafLimits& limits() const { return this->leaf_limits; }
  CrashGuard& crash_guard() { return this->call_crash_guard; }
  const FairShare& fair_share() const { return this->tenant_shares; }

 private:
  // Limit of the attempts for one shard, including those known not to have run.
  static constexpr int kSendLimit = 6;
  static constexpr std::size_t kEventLimit = 48;  // events in the summary of one call

  struct Attempt {
    AttemptId id = 0;
    LeafId leaf;
    std::uint64_t leaf_started = 0;  // LeafEntry::started of the leaf's run
    bool sent = false;               // the first byte was written to the socket
    TimePoint started_at{};
  };
  enum class ShardState : std::uint8_t { kWaiting, kRunning, kDone, kFailed };
  struct Shard {
    ServiceName service;
    std::uint64_t service_hash = 0;
    ShardState state = ShardState::kWaiting;
    std::vector<Attempt> running_attempts;
    std::vector<LeafId> tried_leaves;
    int counted_attempts = 0;               // attempts that ran or may have run
    int total_attempts = 0;                 // all attempts, at most kSendLimit
    bool first_send_counted = false;        // extra_attempt_budget has counted the first send
    TimePoint retry_at{};                   // kWaiting: time of the next try to send
    TimePoint hedge_at{};                   // kRunning: time to consider a hedge
    LeafReply reply;                        // kDone: the reply of this shard
    std::string_view last_not_sent_reason;  // event name: why the last try to send failed
  };
  struct CallProgress {
    Call call;
    RouteTablePtr route_table;
    const Route* route = nullptr;
    TimePoint arrived_at{};
    TimePoint partial_answer_at{};  // if enough shards have replied by then
    TimePoint deadline{};
    std::vector<Shard> shards;
    int attempt_limit = 1;             // limit of Shard::counted_attempts
    TimePoint single_attempt_until{};  // until then, the limit is 1
    std::size_t done_shards = 0;
    std::size_t failed_shards = 0;
    bool may_have_run = false;
    bool refused_by_leaf = false;               // a leaf refused the request without running it
    std::optional<LeafReply> leaf_error_reply;  // signed error; passed through if no leaf succeeds
    std::optional<ServiceKey> shared_service;   // set while tenant_shares counts the call
    std::uint32_t attempts = 0;
    std::uint32_t extra_attempts = 0;
    std::uint32_t remote_attempts = 0;
    std::vector<CallEvent> events;
    TimePoint timer_at{};
  };
  // Why no request of a shard can be sent now.
  enum class SendObstacle : std::uint8_t {
    kNoLeaf,      // no leaf accepts requests, or all have been tried
    kLeavesBusy,  // all connections to the leaves are in use, or the leaves are cold
    kLeafLimit,   // this VM's share of the leaves' limits is used up
  };
  static constexpr std::array<std::string_view, 3> kSendObstacleNames = {"no_leaf", "leaves_busy",
                                                                         "leaf_limit"};
  struct LeafChoice {
    const LeafEntry* leaf = nullptr;
    SendObstacle obstacle = SendObstacle::kNoLeaf;  // if `leaf` is null
  };
  // Time until a leaf accepts a request.
  struct LeafWait {
    Duration duration{};
    std::optional<LeafRun> limited_leaf;  // set if the leaf's limit is the reason
  };
  using CallMap = std::unordered_map<CallId, CallProgress>;

  void StartShard(CallId id, CallProgress& progress, Shard& shard, TimePoint now, Actions& actions);
  bool TrySend(CallId id,
               CallProgress& progress,
               Shard& shard,
               bool is_extra,
               TimePoint now,
               Actions& actions);
  // Sends the request of a shard without running attempts again, or marks the shard as failed.
  void RetryShard(CallId id, CallProgress& progress, Shard& shard, TimePoint now, Actions& actions);
  void HandleAttemptEnd(CallId id,
                        CallProgress& progress,
                        Shard& shard,
                        bool not_run,
                        TimePoint now,
                        Actions& actions);
  void AnswerOrSchedule(CallId id, CallProgress& progress, TimePoint now, Actions& actions);
  // Number of leaves that the call may still be sent to for each shard, if no leaf has it yet; 0 if
  // another VM may have used up the attempts.
  static int ComputeAttemptLimit(const Route& route, const Call& call);
  static bool HasAttemptsLeft(const CallProgress& progress, const Shard& shard, TimePoint now);
  // Sends the waiting shards whose retry is due, and considers the hedges that are due.
  void SendDueShards(CallId id, CallProgress& progress, TimePoint now, Actions& actions);
  void ConsiderHedge(CallId id,
                     CallProgress& progress,
                     Shard& shard,
                     TimePoint now,
                     Actions& actions);
  std::vector<const LeafEntry*> FindCandidates(const Shard& shard, TimePoint now) const;
  // Chooses the leaf among the candidates that gets the shard's next request.
  LeafChoice ChooseLeaf(const CallProgress& progress,
                        const Shard& shard,
                        std::vector<const LeafEntry*> candidates,
                        bool is_hedge,
                        TimePoint now);
  // Rank of a request among those that share a leaf's limit; lower is more urgent. Hedges come
  // after other requests of calls with the same priority.
  static int ComputeUrgency(const CallProgress& progress, bool is_hedge);
  // True if one of the leaves has no limit, or this VM may send it a request now.
  bool IsWithinLimits(const std::vector<const LeafEntry*>& leaves, int urgency, TimePoint now);
  void RefuseForLimits(CallId id, CallProgress& progress, TimePoint now, Actions& actions);
  // Returns the earliest time at which a leaf of the shard that sent Retry-After accepts requests
  // again; nullopt if no leaf sent one.
  std::optional<TimePoint> FindEarliestBackoffEnd(const Shard& shard, TimePoint now) const;
  // Returns the shortest time until a leaf of the shard accepts a request, by the leaves' limits
  // and Retry-After; retry_after_no_leaf if it has no leaf.
  LeafWait FindShortestWait(const Shard& shard, int urgency, TimePoint now);
  // Returns the time until enough shards for an answer have a leaf that accepts requests.
  LeafWait FindTimeUntilServable(const CallProgress& progress, TimePoint now);
  // Counts the call in its tenant's share of the service. Ends the call and returns true if the
  // tenant has its share.
  bool RefuseForFairShare(CallId id, CallProgress& progress, TimePoint now, Actions& actions);
  bool RouteOrRefuse(CallId id, CallProgress& progress, TimePoint now, Actions& actions);
  // Sets the services of the call's shards: all of a fan-out route, or one of the other routes'
  // targets by weight.
  void AssignShards(CallProgress& progress);
  // Removes the attempt's SendAction. Returns false if it is not in `actions`, because it was
  // carried out in an earlier step.
  static bool WithdrawSend(AttemptId attempt, Actions& actions);
  // Ends the call. Sends that the same step requested are withdrawn, because the answer may state
  // that the call has not run and will not run.
  void Finish(CallId id, CallProgress& progress, Answer answer, TimePoint now, Actions& actions);
  static Answer BuildMergedAnswer(CallProgress& progress, AnswerReason reason);
  Answer BuildFailureAnswer(CallProgress& progress, AnswerReason reason, TimePoint now);
  // Returns a refusal, or a failure if leaves may have run the call.
  Answer BuildRefusal(const CallProgress& progress, AnswerReason reason, Duration retry_after);
  static std::size_t CountRequiredShards(const CallProgress& progress);
  // True if enough shards have replied for an answer, possibly a partial one.
  static bool HasEnoughShards(const CallProgress& progress);
  // True if the deadline has passed, or if a partial answer is possible and due. Nothing may be
  // sent for the call any more.
  static bool IsAnswerDue(const CallProgress& progress, TimePoint now);
  Duration ComputeHedgeDelay(const Route& route);
  void ScheduleTimer(CallId id, CallProgress& progress);
  static void AddEvent(CallProgress& progress,
                       TimePoint now,
                       std::string_view event,
                       const Shard& shard,
                       const LeafId& leaf,
                       std::string detail = {});
  // Records why a send was not made, unless the shard's last try failed for the same reason.
  // Repeated tries would otherwise fill the list of events.
  static void AddEventOnce(CallProgress& progress,
                           TimePoint now,
                           std::string_view event,
                           Shard& shard,
                           const LeafId& leaf);
  Duration EstimateTypicalLatency(const Route& route);
  RecentLatency& GetRecentLatency(const Route& route);
  std::pair<CallProgress*, Shard*> FindAttempt(AttemptId attempt);
  std::optional<Attempt> RemoveAttempt(AttemptId attempt, Shard& shard);
  std::size_t ComputeConnectionLimit(const CallProgress& progress, const LeafEntry& leaf) const;
  std::size_t CountSenders(const CallProgress& progress) const;

  CoordinatorOptions options;
  LeafDirectory& directory;
  RouteTablePtr route_table;
  std::size_t fan_out_senders = 1;
  std::size_t single_senders = 1;
  Random random;
  LeafTracker leaf_tracker;
  LeafNotices leaf_notices;
  LeafLimits leaf_limits;
  ExtraAttemptBudget extra_attempt_budget;
  CrashGuard call_crash_guard;
  FairShare tenant_shares;
  TimePoint stop_ends_at = TimePoint::max();
  CallId last_call_id = 0;
  AttemptId last_attempt_id = 0;
  CallMap calls;
  // Key: attempt. Value: its call, and the index of its shard in CallProgress::shards.
  std::unordered_map<AttemptId, std::pair<CallId, std::size_t>> shards_by_attempt;
  std::set<std::pair<TimePoint, CallId>> timers;
  std::unordered_map<std::string, RecentLatency> recent_latencies;     // by route
  std::unordered_map<std::string, Duration> longest_time_left;         // by route
  std::unordered_map<std::string, WeightedRoundRobin> target_pickers;  // by route
  std::vector<CallSummary> summaries;
};

}  // namespace ibishold

#endif  // IBISHOLD_DISPATCH_H_
