#ifndef SRC_FRONT_QUERY_ENGINE_H_
#define SRC_FRONT_QUERY_ENGINE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "front/dispatcher.h"
#include "front/timer_queue.h"
#include "ibishold/front.h"
#include "ibishold/quarantine.h"
#include "ibishold/request_policy.h"
#include "ibishold/snapshot.h"

namespace ibishold {

// Runs repeatable queries: pins a snapshot, sends attempts to a leaf of each shard, hedges and
// retries them, replans if the snapshot is gone, and merges the replies into one answer.
class QueryEngine {
 public:
  QueryEngine(const FrontOptions& options, Dispatcher& dispatcher);

  void Start(CallerRequest request, TimePoint now);
  void Abandon(std::uint64_t ticket, TimePoint now);
  void OnReply(const Attempt& attempt, const LeafReply& reply, TimePoint now);
  // Records the verdict of an attempt that was cancelled or has expired.
  void RecordAttemptVerdict(const Attempt& attempt, Verdict verdict);
  void OnTimer(const Timer& timer, TimePoint now);
  void OnQuarantineReport(const QuarantineReport& report, TimePoint now);

  std::size_t query_count() const { return this->queries.size(); }
  const RatioBudget& hedge_budget() const { return this->current_hedge_budget; }
  const RatioBudget& retry_budget() const { return this->current_retry_budget; }

 private:
  // Progress of one shard under the current plan.
  struct ShardRun {
    std::vector<LeafId> tried_leaves;                    // leaves that may have run the query
    std::vector<RouteKey> avoided_routes;                // failed before the leaf was reached
    std::vector<std::uint64_t> outstanding_attempt_ids;  // attempts without a reply
    std::uint32_t attempt_count = 0;
    std::uint32_t wait_count = 0;
    bool owner_is_changing = false;  // a broker replied NOT_OWNER
    bool hedged = false;
    bool rerouted_after_shed = false;  // another replica was tried after a shed
    bool is_canary = false;  // its attempt is a canary, because the query may crash leaves
    bool done = false;
  };

  struct Query {
    CallerRequest request;
    BatchHeader header;
    TimePoint started_at{};
    TimePoint answer_at{};
    std::unique_ptr<AnswerMerger> merger;
    std::vector<ShardRun> shards;
    std::size_t done_shard_count = 0;
    bool replanned = false;
    bool may_have_run = false;  // an attempt was sent and not confirmed as not run
    Duration retry_after{};     // longest retry time that a broker or leaf stated
    wire::Outcome last_outcome = wire::Outcome::OK;
    // While set, attempts are sent for this shard only.
    std::optional<std::size_t> canary_shard;
    bool canary_succeeded = false;
    bool holds_canary_permit = false;  // the only canary permit of its fingerprint
  };

  enum class AttemptKind : std::uint8_t { kFirst, kHedge, kRetry, kReroute };

  const PinnedSnapshot& GetPinnedSnapshot(const Query& query) const {
    return query.merger->pinned_snapshot();
  }
  void StartPlan(Query& query, PinnedSnapshot pinned, TimePoint now);
  // Starts an attempt for the shard; false if it has no route or no attempts left.
  bool TryStartAttempt(Query& query, std::size_t shard_index, AttemptKind kind, TimePoint now);
  // Starts an attempt, or schedules a later try if a route may become available; false if neither.
  bool StartAttemptOrWait(Query& query, std::size_t shard_index, AttemptKind kind, TimePoint now);
  void OnAttemptFailure(Query& query,
                        const Attempt& attempt,
                        const LeafReply& reply,
                        TimePoint now);
  // Starts a second plan with another snapshot; false if there is none or the query has one
  // already.
  bool TryReplan(Query& query, TimePoint now);
  // Returns false and refuses the query if its fingerprint is quarantined. Limits a suspect query
  // to a canary shard.
  bool CheckQuarantine(Query& query, bool fan_out, TimePoint now);
  // Records a leaf crash if the reply reports one; false if the attempt must not be retried.
  bool MayRetryAfterCrash(Query& query,
                          const Attempt& attempt,
                          const LeafReply& reply,
                          TimePoint now);
  void ReleaseCanaryPermit(Query& query, bool success, TimePoint now);
  void FinishCanary(Query& query, TimePoint now);
  void MarkShardDone(Query& query, std::size_t shard_index);
  void CancelOutstandingAttempts(Query& query);
  void FinishIfDone(Query& query, TimePoint now);
  void FinishQuery(Query& query, TimePoint now);
  std::string BuildAnswerBody(Query& query);
  void SendErrorAnswer(Query& query, TimePoint now);
  void RemoveQuery(Query& query, TimePoint now);

  FrontOptions options;
  Dispatcher& dispatcher;
  QueryPlanner planner;
  HedgeBudget current_hedge_budget;
  RetryBudget current_retry_budget;
  Quarantine quarantine;
  std::unordered_map<std::uint64_t, Query> queries;
  std::unordered_map<std::uint64_t, std::uint64_t> query_by_ticket;
};

}  // namespace ibishold

#endif  // SRC_FRONT_QUERY_ENGINE_H_
