#include <utility>

#include "front/query_engine.h"
#include "front/request_checks.h"

namespace ibishold {

bool QueryEngine::CheckQuarantine(Query& query, bool fan_out, TimePoint now) {
  const QuarantineDecision decision =
      this->quarantine.Decide(query.header.fingerprint, fan_out, now);
  if (decision.action == QuarantineAction::kRefuse) {
    ++this->dispatcher.counters.quarantined_queries;
    SendRefusal(this->dispatcher, query.request,
                {.status = 503,
                 .error = "quarantined",
                 .message = "the request is suspected of crashing leaves; nothing was sent",
                 .retry_after = decision.retry_after});
    this->RemoveQuery(query, now);
    return false;
  }
  if (decision.action != QuarantineAction::kRun) {
    query.canary_shard = 0;
    query.holds_canary_permit = true;
  }
  return true;
}

bool QueryEngine::MayRetryAfterCrash(Query& query,
                                     const Attempt& attempt,
                                     const LeafReply& reply,
                                     TimePoint now) {
  if (reply.outcome != wire::Outcome::LEAF_LOST || reply.dead_incarnation == 0) {
    return true;
  }
  ShardRun& run = query.shards[attempt.shard_index];
  this->quarantine.RecordCrash(
      {.leaf = attempt.leaf,
       .incarnation = reply.dead_incarnation,
       .in_flight = {{.fingerprint = query.header.fingerprint, .alone = run.is_canary}}},
      now);
  if (run.is_canary) {
    query.holds_canary_permit = false;  // RecordCrash has ended the canary run
    return false;
  }
  // A suspect query retries one shard at a time. If that attempt crashes its leaf too, the other
  // shards remain missing.
  const QuarantineDecision decision = this->quarantine.Decide(query.header.fingerprint, false, now);
  if (decision.action == QuarantineAction::kRefuse) {
    return false;
  }
  run.is_canary = decision.action != QuarantineAction::kRun;
  query.holds_canary_permit = query.holds_canary_permit || run.is_canary;
  return true;
}

void QueryEngine::ReleaseCanaryPermit(Query& query, bool success, TimePoint now) {
  if (std::exchange(query.holds_canary_permit, false)) {
    this->quarantine.RecordOutcome(query.header.fingerprint, success, now);
  }
}

void QueryEngine::FinishCanary(Query& query, TimePoint now) {
  const std::size_t canary_index = *std::exchange(query.canary_shard, std::nullopt);
  this->ReleaseCanaryPermit(query, query.canary_succeeded, now);
  for (std::size_t shard_index = 0; shard_index < query.shards.size(); ++shard_index) {
    if (shard_index == canary_index) {
      continue;
    }
    if (!query.canary_succeeded) {
      query.merger->SetReason(shard_index, "canary_failed");
      this->MarkShardDone(query, shard_index);
    } else if (!this->StartAttemptOrWait(query, shard_index, AttemptKind::kFirst, now)) {
      query.merger->SetReason(shard_index, "no_replica");
      this->MarkShardDone(query, shard_index);
    }
  }
  this->dispatcher.QueueBatches(query.header);
}

void QueryEngine::OnQuarantineReport(const QuarantineReport& report, TimePoint now) {
  this->quarantine.Merge(report, now);
}

}  // namespace ibishold
