#include <algorithm>
#include <utility>

#include "front/query_engine.h"

namespace ibishold {

void QueryEngine::StartPlan(Query& query, PinnedSnapshot pinned, TimePoint now) {
  ++query.header.epoch;
  query.header.snapshot = pinned.snapshot;
  query.merger = std::make_unique<AnswerMerger>(std::move(pinned));
  const std::size_t shard_count = this->GetPinnedSnapshot(query).service->shards.size();
  query.shards.assign(shard_count, {});
  query.done_shard_count = 0;
  if (query.canary_shard) {
    query.canary_shard = query.header.fingerprint % shard_count;
  }
  for (std::size_t shard_index = 0; shard_index < shard_count; ++shard_index) {
    if (query.canary_shard.value_or(shard_index) != shard_index) {
      continue;
    }
    query.shards[shard_index].is_canary = query.canary_shard.has_value();
    if (!this->StartAttemptOrWait(query, shard_index, AttemptKind::kFirst, now)) {
      query.merger->SetReason(shard_index, "no_replica");
      this->MarkShardDone(query, shard_index);
    }
  }
  this->dispatcher.QueueBatches(query.header);
}

bool QueryEngine::TryStartAttempt(Query& query,
                                  std::size_t shard_index,
                                  AttemptKind kind,
                                  TimePoint now) {
  const Service& service = *this->GetPinnedSnapshot(query).service;
  ShardRun& run = query.shards[shard_index];
  if (run.attempt_count >= this->options.max_attempts_per_shard) {
    return false;
  }
  const LeafFilter leaf_filter = this->dispatcher.MakeLeafFilter(service.name, now);
  QueryPlanner::Candidates candidates = this->planner.CandidatesFor(
      service.shards[shard_index], query.header.snapshot, leaf_filter, run.tried_leaves, now);
  if (candidates.empty() && kind != AttemptKind::kHedge) {
    candidates.possible = this->planner.LeavesToCheck(service.shards[shard_index], leaf_filter,
                                                      run.tried_leaves, now);
  }
  std::optional<ReplicaRoute> route =
      this->dispatcher.ChooseRoute(service, candidates.preferred(), run.avoided_routes, now);
  if (!route) {
    route = this->dispatcher.ChooseRoute(service, candidates.possible, run.avoided_routes, now);
  }
  if (!route) {
    return false;
  }
  const std::uint64_t attempt_id =
      this->dispatcher.StartAttempt(query.header, shard_index,
                                    {.shard = service.shards[shard_index].id,
                                     .hedge = kind == AttemptKind::kHedge,
                                     .canary = run.is_canary},
                                    *route, now);
  this->dispatcher.counters.canary_attempts += run.is_canary ? 1 : 0;
  run.tried_leaves.push_back(route->leaf->id);
  run.outstanding_attempt_ids.push_back(attempt_id);
  ++run.attempt_count;
  if (kind == AttemptKind::kFirst) {
    this->current_hedge_budget.RecordRequest();
    this->current_retry_budget.RecordRequest();
  }
  if (!run.hedged && !run.is_canary && service.shards[shard_index].leaves.size() > 1 &&
      this->dispatcher.traffic_shares.GetRow(service.name, route->leaf->data_centre).hedge) {
    const Duration delay =
        this->dispatcher.latency_tracker.GetQuantile(route->leaf->id, this->options.hedge_quantile)
            .value_or(this->options.default_hedge_delay);
    this->dispatcher.timers.Add({.due_at = now + std::max(delay, this->options.minimum_hedge_delay),
                                 .kind = TimerKind::kHedge,
                                 .id = query.header.local_request_id,
                                 .epoch = query.header.epoch,
                                 .shard_index = shard_index,
                                 .attempt_id = attempt_id});
  }
  return true;
}

bool QueryEngine::StartAttemptOrWait(Query& query,
                                     std::size_t shard_index,
                                     AttemptKind kind,
                                     TimePoint now) {
  if (this->TryStartAttempt(query, shard_index, kind, now)) {
    return true;
  }
  // A link may be opening or an owner changing. The attempt has not run, so a later try is safe.
  ShardRun& run = query.shards[shard_index];
  const std::vector<LeafId> no_leaves;
  const bool has_candidates =
      !this->planner
           .CandidatesFor(
               this->GetPinnedSnapshot(query).service->shards[shard_index], query.header.snapshot,
               this->dispatcher.MakeLeafFilter(query.request.service, now), run.tried_leaves, now)
           .empty();
  const std::uint32_t wait_limit =
      run.owner_is_changing ? this->options.max_owner_waits : this->options.max_route_waits;
  const TimePoint wait_until = query.started_at + (query.answer_at - query.started_at) / 2;
  if (!has_candidates || run.wait_count >= wait_limit ||
      now + this->options.route_retry_delay >= wait_until) {
    return false;
  }
  ++run.wait_count;
  this->dispatcher.timers.Add({.due_at = now + this->options.route_retry_delay,
                               .kind = TimerKind::kRouteRetry,
                               .id = query.header.local_request_id,
                               .epoch = query.header.epoch,
                               .shard_index = shard_index});
  return true;
}

bool QueryEngine::TryReplan(Query& query, TimePoint now) {
  if (query.replanned) {
    return false;
  }
  std::optional<PinnedSnapshot> pinned = this->dispatcher.snapshot_tracker.Select(
      query.request.service, this->dispatcher.MakeLeafFilter(query.request.service, now), now);
  if (!pinned || pinned->snapshot == query.header.snapshot) {
    return false;
  }
  query.replanned = true;
  // Attempts of the first plan may have run, although their replies are ignored from now on.
  query.may_have_run |=
      std::any_of(query.shards.begin(), query.shards.end(),
                  [](const ShardRun& run) { return !run.outstanding_attempt_ids.empty(); });
  ++this->dispatcher.counters.replans;
  this->CancelOutstandingAttempts(query);
  this->StartPlan(query, *std::move(pinned), now);
  return true;
}

}  // namespace ibishold
