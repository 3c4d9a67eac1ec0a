#include <algorithm>
#include <utility>

#include "front/query_engine.h"

namespace ibishold {

void QueryEngine::Plan(Query& query, PinnedSnapshot pinned, TimePoint now) {
  ++query.header.epoch;
  query.header.snapshot = pinned.snapshot;
  query.merger = std::make_unique<AnswerMerger>(std::move(pinned));
  const std::size_t count = this->PinOf(query).service->shards.size();
  query.shards.assign(count, {});
  query.done_count = 0;
  if (query.canary_shard) {
    query.canary_shard = query.header.fingerprint % count;
  }
  for (std::size_t shard = 0; shard < count; ++shard) {
    if (query.canary_shard.value_or(shard) != shard) {
      continue;
    }
    query.shards[shard].alone = query.canary_shard.has_value();
    if (!this->AskOrWait(query, shard, Extra::kFirst, now)) {
      query.merger->SetReason(shard, "no_replica");
      this->ShardDone(query, shard);
    }
  }
  this->dispatcher.Flush(query.header);
}

bool QueryEngine::Ask(Query& query, std::size_t shard, Extra extra, TimePoint now) {
  const Service& service = *this->PinOf(query).service;
  ShardRun& run = query.shards[shard];
  if (run.attempts >= this->options.attempts_per_shard) {
    return false;
  }
  const LeafFilter usable = this->dispatcher.UsableLeaves(service.name, now);
  QueryPlanner::Candidates candidates = this->planner.CandidatesFor(
      service.shards[shard], query.header.snapshot, usable, run.tried, now);
  if (candidates.empty() && extra != Extra::kHedge) {
    candidates.possible =
        this->planner.LeavesToCheck(service.shards[shard], usable, run.tried, now);
  }
  std::optional<ReplicaRoute> route =
      this->dispatcher.Choose(service, candidates.preferred(), run.avoid, now);
  if (!route) {
    route = this->dispatcher.Choose(service, candidates.possible, run.avoid, now);
  }
  if (!route) {
    return false;
  }
  const std::uint64_t attempt = this->dispatcher.Start(
      query.header, shard,
      {.shard = service.shards[shard].id, .hedge = extra == Extra::kHedge, .canary = run.alone},
      *route, now);
  this->dispatcher.counters.canaries += run.alone ? 1 : 0;
  run.tried.push_back(route->leaf->id);
  run.out.push_back(attempt);
  ++run.attempts;
  if (extra == Extra::kFirst) {
    this->hedges.RecordRequest();
    this->retries.RecordRequest();
  }
  if (!run.hedged && !run.alone && service.shards[shard].leaves.size() > 1 &&
      this->dispatcher.shares.RowOf(service.name, route->leaf->data_centre).hedge) {
    const Duration delay =
        this->dispatcher.latency.Quantile(route->leaf->id, this->options.hedge_quantile)
            .value_or(this->options.default_hedge_delay);
    this->dispatcher.timers.Add({.at = now + std::max(delay, this->options.minimum_hedge_delay),
                                 .kind = TimerKind::kHedge,
                                 .id = query.header.request,
                                 .epoch = query.header.epoch,
                                 .shard = shard,
                                 .attempt = attempt});
  }
  return true;
}

bool QueryEngine::AskOrWait(Query& query, std::size_t shard, Extra extra, TimePoint now) {
  if (this->Ask(query, shard, extra, now)) {
    return true;
  }
  // A link may be opening or an owner changing. The attempt has not run, so a later try is safe.
  ShardRun& run = query.shards[shard];
  const std::vector<LeafId> none;
  const bool any =
      !this->planner
           .CandidatesFor(this->PinOf(query).service->shards[shard], query.header.snapshot,
                          this->dispatcher.UsableLeaves(query.request.service, now), run.tried, now)
           .empty();
  const std::uint32_t wait_limit =
      run.owner_changes ? this->options.owner_waits : this->options.route_waits;
  const TimePoint wait_until = query.started + (query.answer_at - query.started) / 2;
  if (!any || run.waits >= wait_limit || now + this->options.route_wait >= wait_until) {
    return false;
  }
  ++run.waits;
  this->dispatcher.timers.Add({.at = now + this->options.route_wait,
                               .kind = TimerKind::kRoute,
                               .id = query.header.request,
                               .epoch = query.header.epoch,
                               .shard = shard});
  return true;
}

bool QueryEngine::TryReplan(Query& query, TimePoint now) {
  if (query.replanned) {
    return false;
  }
  std::optional<PinnedSnapshot> pinned = this->dispatcher.tracker.Select(
      query.request.service, this->dispatcher.UsableLeaves(query.request.service, now), now);
  if (!pinned || pinned->snapshot == query.header.snapshot) {
    return false;
  }
  query.replanned = true;
  // Attempts of the first plan may have run, although their replies are ignored from now on.
  query.may_have_run |= std::any_of(query.shards.begin(), query.shards.end(),
                                    [](const ShardRun& run) { return !run.out.empty(); });
  ++this->dispatcher.counters.replans;
  this->CancelOut(query);
  this->Plan(query, *std::move(pinned), now);
  return true;
}

}  // namespace ibishold
