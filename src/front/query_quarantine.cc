#include <utility>

#include "front/query_engine.h"
#include "front/request_checks.h"

namespace ibishold {

bool QueryEngine::PassQuarantine(Query& query, bool fan_out, TimePoint now) {
  const QuarantineDecision decision =
      this->quarantine.Decide(query.header.fingerprint, fan_out, now);
  if (decision.action == QuarantineAction::kRefuse) {
    ++this->dispatcher.counters.quarantined;
    Refuse(this->dispatcher, query.request,
           {.status = 503,
            .error = "quarantined",
            .message = "the request is suspected of crashing leaves; nothing was sent",
            .retry_after = decision.retry_after});
    this->Release(query, now);
    return false;
  }
  if (decision.action != QuarantineAction::kRun) {
    query.canary_shard = 0;
    query.holds_permit = true;
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
  ShardRun& run = query.shards[attempt.shard];
  this->quarantine.RecordCrash(
      {.leaf = attempt.leaf,
       .incarnation = reply.dead_incarnation,
       .in_flight = {{.fingerprint = query.header.fingerprint, .alone = run.alone}}},
      now);
  if (run.alone) {
    query.holds_permit = false;  // RecordCrash has ended the canary run
    return false;
  }
  // A suspect query retries one shard at a time. If that attempt crashes its leaf too, the other
  // shards remain missing.
  const QuarantineDecision decision = this->quarantine.Decide(query.header.fingerprint, false, now);
  if (decision.action == QuarantineAction::kRefuse) {
    return false;
  }
  run.alone = decision.action != QuarantineAction::kRun;
  query.holds_permit = query.holds_permit || run.alone;
  return true;
}

void QueryEngine::ReturnPermit(Query& query, bool success, TimePoint now) {
  if (std::exchange(query.holds_permit, false)) {
    this->quarantine.RecordOutcome(query.header.fingerprint, success, now);
  }
}

void QueryEngine::CanaryDone(Query& query, TimePoint now) {
  const std::size_t canary = *std::exchange(query.canary_shard, std::nullopt);
  this->ReturnPermit(query, query.canary_succeeded, now);
  for (std::size_t shard = 0; shard < query.shards.size(); ++shard) {
    if (shard == canary) {
      continue;
    }
    if (!query.canary_succeeded) {
      query.merger->SetReason(shard, "canary_failed");
      this->ShardDone(query, shard);
    } else if (!this->AskOrWait(query, shard, Extra::kFirst, now)) {
      query.merger->SetReason(shard, "no_replica");
      this->ShardDone(query, shard);
    }
  }
  this->dispatcher.Flush(query.header);
}

void QueryEngine::OnQuarantineReport(const QuarantineReport& report, TimePoint now) {
  this->quarantine.Merge(report, now);
}

}  // namespace ibishold
