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

// Runs repeatable queries: pin, scatter, gather, hedge, retry, replan, answer.
class QueryEngine {
 public:
  QueryEngine(const FrontOptions& options, Dispatcher& dispatcher);

  void Start(CallerRequest request, TimePoint now);
  void Abandon(std::uint64_t ticket, TimePoint now);
  // The reply to an attempt of one of the queries.
  void OnReply(const Attempt& attempt, const LeafReply& reply, TimePoint now);
  // The attempt was given up; the verdict says whether it had run.
  void OnGivenUp(const Attempt& attempt, Verdict verdict);
  void OnTimer(const Timer& timer, TimePoint now);
  void OnQuarantineReport(const QuarantineReport& report, TimePoint now);

  std::size_t size() const { return this->queries.size(); }
  const RatioBudget& hedge_budget() const { return this->hedges; }
  const RatioBudget& retry_budget() const { return this->retries; }

 private:
  struct ShardRun {
    std::vector<LeafId> tried;       // leaves that have or may have run it under this plan
    std::vector<RouteKey> avoid;     // routes that failed before running it
    std::vector<std::uint64_t> out;  // attempts without a reply
    std::uint32_t attempts = 0;
    std::uint32_t waits = 0;
    bool owner_changes = false;  // a broker said that it is not the owner
    bool hedged = false;
    bool moved_on = false;  // to another replica after a shed
    bool alone = false;     // its attempt runs alone, because the request is a suspect
    bool done = false;
  };

  struct Query {
    CallerRequest request;
    BatchHeader header;
    TimePoint started{};
    TimePoint answer_at{};
    std::unique_ptr<AnswerMerger> merger;
    std::vector<ShardRun> shards;
    std::size_t done_count = 0;
    bool replanned = false;
    bool may_have_run = false;  // an attempt was handed over and not confirmed as not run
    Duration retry_after{};     // longest that a broker or a leaf asked for
    wire::Outcome last_outcome = wire::Outcome::OK;
    // Only the canary shard is asked until it has succeeded.
    std::optional<std::size_t> canary_shard;
    bool canary_succeeded = false;
    bool holds_permit = false;  // the one permit of its fingerprint to run alone
  };

  enum class Extra : std::uint8_t { kFirst, kHedge, kRetry, kReroute };

  const PinnedSnapshot& PinOf(const Query& query) const { return query.merger->pinned_snapshot(); }
  void Plan(Query& query, PinnedSnapshot pinned, TimePoint now);
  // Adds an attempt for the shard; false if no route is left.
  bool Ask(Query& query, std::size_t shard, Extra extra, TimePoint now);
  bool AskOrWait(Query& query, std::size_t shard, Extra extra, TimePoint now);
  void OnFailure(Query& query, const Attempt& attempt, const LeafReply& reply, TimePoint now);
  bool TryReplan(Query& query, TimePoint now);
  // False if the request is refused; a suspect gets a canary shard.
  bool PassQuarantine(Query& query, bool fan_out, TimePoint now);
  bool MayRetryAfterCrash(Query& query,
                          const Attempt& attempt,
                          const LeafReply& reply,
                          TimePoint now);
  void ReturnPermit(Query& query, bool success, TimePoint now);
  void CanaryDone(Query& query, TimePoint now);
  void ShardDone(Query& query, std::size_t shard);
  void CancelOut(Query& query);
  void FinishIfDone(Query& query, TimePoint now);
  void Finish(Query& query, TimePoint now);
  std::string AnswerBody(Query& query);
  void RefuseFinished(Query& query, TimePoint now);
  void Release(Query& query, TimePoint now);

  FrontOptions options;
  Dispatcher& dispatcher;
  QueryPlanner planner;
  HedgeBudget hedges;
  RetryBudget retries;
  Quarantine quarantine;
  std::unordered_map<std::uint64_t, Query> queries;
  std::unordered_map<std::uint64_t, std::uint64_t> by_ticket;
};

}  // namespace ibishold

#endif  // SRC_FRONT_QUERY_ENGINE_H_
