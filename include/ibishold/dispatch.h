#ifndef IBISHOLD_DISPATCH_H_
#define IBISHOLD_DISPATCH_H_

// Carries calls to the leaves that answer them: choice of leaves, second sends, partial answers,
// final verdict. Reads no clock and no socket: events and time go in, actions come out.
//
// Index of this header:
//   1. Coordinator   the calls in progress

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
#include "ibishold/leaf_policy.h"
#include "ibishold/routing.h"

namespace ibishold {

// ---- 1. Coordinator -----------------------------------------------------------------------------

struct CoordinatorOptions {
  LeafTrackerOptions tracker;
  LeafNoticeOptions notices;
  ExtraSendOptions extra_attempts;
  CrashGuardOptions crash_guard;
  // Kept back from the objective for this VM's own work on the answer.
  Duration objective_margin = std::chrono::milliseconds(4);
  // Kept back from a time limit, so that the final answer arrives within it.
  Duration limit_margin = std::chrono::milliseconds(15);
  // Second sends: at the given multiple of the usual duration, within these shares of the
  // objective.
  double hedge_delay_factor = 2.2;
  // While leaves have room, second sends hurt nobody and may come earlier: at this multiple when
  // leaves are idle, rising to hedge_delay_factor at the given load of their slots.
  double hedge_delay_factor_idle = 1.2;
  double hedge_full_delay_load = 0.1;
  double hedge_delay_min_share = 0.2;
  double hedge_delay_max_share = 0.5;
  // A reply that comes this soon after the call has been answered keeps its connection.
  Duration late_reply_grace = std::chrono::milliseconds(60);
  // Share of a leaf's connection limit that all VMs together use.
  double connection_share = 0.85;
  // First estimate of a leaf's time, as a share of the objective, before any sample.
  double initial_latency_share = 0.2;
  // Wait between two tries while no leaf has a free connection.
  Duration busy_retry_interval = std::chrono::milliseconds(5);
  // Share of the budget of extra sends that second sends leave for sends after a failure.
  double retry_budget_reserve = 0.1;
  // Told to callers that are refused because no leaf may receive work or no configuration is known.
  Duration retry_after_no_leaf = std::chrono::milliseconds(400);
  Duration retry_after_no_configuration = std::chrono::milliseconds(250);
};

// What a call went through, for the log.
struct CallEvent {
  Duration elapsed{};      // since the call arrived
  std::string_view event;  // static text: sent, second_send, replied, failed, no_leaf, ...
  std::string service;
  std::string leaf;
  std::string detail;
};

struct CallSummary {
  std::string request_id;
  std::string route;
  std::uint64_t version = 0;  // of the routes
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

  void SetRoutes(RouteTablePtr table);
  // VMs that send to the leaves of fan-out routes, and to those of other routes.
  void SetSenderCounts(std::size_t fan_out, std::size_t single);
  const RouteTablePtr& routes() const { return this->table; }

  CallId Begin(Call call, TimePoint now, Actions& actions);
  void OnSent(AttemptId attempt, TimePoint now);  // its first byte was handed to the network
  void OnReply(AttemptId attempt, LeafReply reply, TimePoint now, Actions& actions);
  // What a leaf tells with any answer, also with one that no call waits for any more.
  void OnLeafNotice(const LeafId& leaf,
                    std::uint64_t started,
                    const LeafReply& reply,
                    TimePoint now);
  void OnFailure(AttemptId attempt, AttemptFailure failure, TimePoint now, Actions& actions);
  void OnCallerLeft(CallId call, TimePoint now, Actions& actions);
  void OnTimer(TimePoint now, Actions& actions);
  // Answers every call with what is there.
  void EndAll(TimePoint now, Actions& actions);

  // When OnTimer is due; nothing if no call waits.
  std::optional<TimePoint> NextTimer() const;

  // Summaries of the calls that ended since the last time.
  std::vector<CallSummary> TakeSummaries();

  std::size_t in_progress() const { return this->calls.size(); }
  LeafTracker& tracker() { return this->leaves; }
  LeafNotices& notices() { return this->leaf_notices; }
  CrashGuard& crash_guard() { return this->crashes; }

 private:
  // Sends for one shard, with those that did not run.
  static constexpr int kSendLimit = 6;
  static constexpr std::size_t kEventLimit = 48;  // notes kept for one call

  struct Attempt {
    AttemptId id = 0;
    LeafId leaf;
    std::uint64_t leaf_started = 0;  // LeafEntry::started
    bool sent = false;
    TimePoint started{};
  };
  enum class ShardState : std::uint8_t { kWaiting, kRunning, kDone, kFailed };
  struct Shard {
    ServiceName service;
    std::uint64_t service_hash = 0;
    ShardState state = ShardState::kWaiting;
    std::vector<Attempt> running;
    std::vector<LeafId> tried;
    int attempts = 0;  // sends so far, without those that did not run
    int sends = 0;     // all sends, bounded by kSendLimit
    bool first_send_counted = false;
    TimePoint retry_at{};            // kWaiting
    TimePoint hedge_at{};            // kRunning: when a second send is considered
    LeafReply reply;                 // kDone
    std::string_view last_obstacle;  // why a send was not made, noted last
  };
  struct Progress {
    Call call;
    RouteTablePtr table;
    const Route* route = nullptr;
    TimePoint arrived{};
    TimePoint partial_answer_at{};  // answer with what is there, if that is enough
    TimePoint deadline{};
    std::vector<Shard> shards;
    int attempt_limit = 1;  // leaves for each shard
    std::size_t done = 0;
    std::size_t failed = 0;
    bool may_have_run = false;
    bool shed = false;                          // a leaf refused it as not run
    std::optional<LeafReply> leaf_error_reply;  // of a leaf that ran it without success
    std::uint32_t attempts = 0;
    std::uint32_t extra_attempts = 0;
    std::uint32_t remote_attempts = 0;
    std::vector<CallEvent> events;
    TimePoint timer{};
  };
  using CallMap = std::unordered_map<CallId, Progress>;

  void StartShard(CallId id, Progress& progress, Shard& shard, TimePoint now, Actions& actions);
  bool TrySend(CallId id,
               Progress& progress,
               Shard& shard,
               bool is_extra,
               TimePoint now,
               Actions& actions);
  void HandleAttemptEnd(CallId id,
                        Progress& progress,
                        Shard& shard,
                        bool not_run,
                        TimePoint now,
                        Actions& actions);
  void Evaluate(CallId id, Progress& progress, TimePoint now, Actions& actions);
  void ConsiderHedge(CallId id, Progress& progress, Shard& shard, TimePoint now, Actions& actions);
  std::vector<const LeafEntry*> FindCandidates(const Shard& shard, TimePoint now) const;
  // When the first leaf of the shard that asked to be left alone takes work again; nothing if there
  // is none.
  std::optional<TimePoint> EarliestReopening(const Shard& shard, TimePoint now) const;
  // When enough shards for an answer have a leaf again, as far as leaves have said so.
  Duration TimeUntilServable(const Progress& progress, TimePoint now) const;
  bool RouteOrRefuse(CallId id, Progress& progress, TimePoint now, Actions& actions);
  void Finish(CallId id, Progress& progress, Answer answer, TimePoint now, Actions& actions);
  static Answer BuildMergedAnswer(Progress& progress, AnswerReason reason);
  Answer BuildFailureAnswer(Progress& progress, AnswerReason reason, TimePoint now);
  Answer BuildRefusal(AnswerReason reason, Duration retry_after);
  static std::size_t MinShards(const Progress& progress);
  Duration HedgeDelay(const Route& route);
  void Schedule(CallId id, Progress& progress);
  static void AddEvent(Progress& progress,
                       TimePoint now,
                       std::string_view event,
                       const Shard& shard,
                       const LeafId& leaf,
                       std::string detail = {});
  // Notes an obstacle that tries in quick succession meet only once.
  static void AddEventOnce(Progress& progress,
                           TimePoint now,
                           std::string_view event,
                           Shard& shard,
                           const LeafId& leaf);
  Duration TypicalLatency(const Route& route);
  ClassLatency& LatencyOf(const Route& route);
  std::pair<Progress*, Shard*> FindAttempt(AttemptId attempt);
  std::optional<Attempt> TakeAttempt(AttemptId attempt, Shard& shard);
  std::size_t ConnectionLimit(const Progress& progress, const LeafEntry& leaf) const;
  std::size_t SenderCount(const Progress& progress) const;

  CoordinatorOptions options;
  LeafDirectory& directory;
  RouteTablePtr table;
  std::size_t fan_out_senders = 1;
  std::size_t single_senders = 1;
  Random random;
  LeafTracker leaves;
  LeafNotices leaf_notices;
  ExtraSendBudget budget;
  CrashGuard crashes;
  CallId last_call = 0;
  AttemptId last_attempt = 0;
  CallMap calls;
  std::unordered_map<AttemptId, std::pair<CallId, std::size_t>> attempts;  // to call and shard
  std::set<std::pair<TimePoint, CallId>> timers;
  std::unordered_map<std::string, ClassLatency> latencies;      // by route
  std::unordered_map<std::string, Duration> longest_time_left;  // by route: greatest time_left seen
  std::unordered_map<std::string, WeightedPick> target_picks;   // by route
  std::vector<CallSummary> summaries;
};

}  // namespace ibishold

#endif  // IBISHOLD_DISPATCH_H_
