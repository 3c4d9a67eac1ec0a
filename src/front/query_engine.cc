#include "front/query_engine.h"

#include <algorithm>
#include <utility>

#include "front/request_checks.h"

namespace ibishold {

namespace {

std::string_view GetFailureReason(wire::Outcome outcome) {
  switch (outcome) {
    case wire::Outcome::OK:
      return "malformed_answer";
    case wire::Outcome::VERSION_GONE:
      return "version_gone";
    case wire::Outcome::SHED:
      return "shed";
    case wire::Outcome::DEADLINE:
      return "deadline";
    case wire::Outcome::UNREACHABLE:
      return "unreachable";
    case wire::Outcome::LEAF_LOST:
      return "leaf_lost";
    case wire::Outcome::NOT_OWNER:
      return "not_owner";
    case wire::Outcome::DRAINING:
      return "draining";
    case wire::Outcome::QUARANTINED:
      return "quarantined";
    case wire::Outcome::CANCELLED:
      return "cancelled";
    case wire::Outcome::FAILED:
      return "failed";
  }
  return "failed";
}

// True if the request has not reached the leaf, so that another route adds no load there.
bool IsRouteFailure(const LeafReply& reply) {
  return reply.verdict == Verdict::kNotRun &&
         (reply.outcome == wire::Outcome::NOT_OWNER ||
          reply.outcome == wire::Outcome::UNREACHABLE || reply.outcome == wire::Outcome::DRAINING);
}

}  // namespace

QueryEngine::QueryEngine(const FrontOptions& options, Dispatcher& dispatcher)
    : options(options),
      dispatcher(dispatcher),
      planner(dispatcher.snapshot_tracker),
      current_hedge_budget(options.hedge_budget),
      current_retry_budget(options.retry_budget),
      quarantine(options.quarantine) {}

void QueryEngine::Start(CallerRequest request, TimePoint now) {
  if (RefuseIfFailed(CheckService(this->dispatcher, request), this->dispatcher, request)) {
    return;
  }
  if (RefuseIfFailed(CheckDeadline(this->options, request, now), this->dispatcher, request)) {
    return;
  }
  if (this->queries.size() >= this->options.request_limit) {
    SendRefusal(this->dispatcher, request,
                {.status = 503,
                 .error = "overload",
                 .message = "too many requests in progress",
                 .retry_after = std::chrono::milliseconds(200)});
    return;
  }
  if (RefuseIfFailed(CheckAdmission(this->dispatcher, request, now), this->dispatcher, request)) {
    return;
  }
  std::optional<PinnedSnapshot> pinned = this->dispatcher.snapshot_tracker.Select(
      request.service, this->dispatcher.MakeLeafFilter(request.service, now), now);

  const std::uint64_t id = this->dispatcher.AllocateId();
  Query& query = this->queries[id];
  this->query_by_ticket[request.ticket] = id;
  query.started_at = now;
  const Duration time_left = request.deadline - now;
  const auto margin = Duration(static_cast<Duration::rep>(static_cast<double>(time_left.count()) *
                                                          this->options.answer_margin_share));
  query.answer_at = request.deadline - std::min(this->options.answer_margin, margin);
  query.header = {.local_request_id = id,
                  .request_id = request.request_id,
                  .service = request.service,
                  .tenant = request.tenant,
                  .request_class = request.request_class,
                  .deadline = query.answer_at,
                  .fingerprint = ComputeFingerprint(request.service, request.body),
                  .body = std::make_shared<const std::string>(std::move(request.body))};
  request.body.clear();
  query.request = std::move(request);
  this->dispatcher.timers.Add({.due_at = query.answer_at, .kind = TimerKind::kAnswer, .id = id});
  if (!this->CheckQuarantine(query, pinned->service->shards.size() > 1, now)) {
    return;
  }
  this->StartPlan(query, *std::move(pinned), now);
  this->FinishIfDone(query, now);
}

void QueryEngine::OnReply(const Attempt& attempt, const LeafReply& reply, TimePoint now) {
  const auto found = this->queries.find(attempt.local_request_id);
  if (reply.outcome == wire::Outcome::OK) {
    this->dispatcher.latency_tracker.Record(attempt.leaf, now - attempt.sent_at);
  }
  if (found == this->queries.end() || found->second.header.epoch != attempt.epoch) {
    ++this->dispatcher.counters.late_replies;
    return;
  }
  Query& query = found->second;
  ShardRun& run = query.shards[attempt.shard_index];
  std::erase(run.outstanding_attempt_ids, attempt.id);
  query.may_have_run |= reply.verdict != Verdict::kNotRun;
  if (run.done) {
    ++this->dispatcher.counters.late_replies;
    return;
  }
  if (reply.outcome != wire::Outcome::OK) {
    this->OnAttemptFailure(query, attempt, reply, now);
    return;
  }
  if (run.is_canary) {
    this->ReleaseCanaryPermit(query, true, now);
    run.is_canary = false;
    query.canary_succeeded = true;
  }
  const MergeResult result = query.merger->Add(
      attempt.shard_index,
      {.snapshot = reply.stated_snapshot, .complete = reply.complete, .records = reply.records});
  switch (result) {
    case MergeResult::kFull:
      this->dispatcher.counters.hedge_wins += attempt.hedge ? 1 : 0;
      this->MarkShardDone(query, attempt.shard_index);
      break;
    case MergeResult::kPartial:
    case MergeResult::kDuplicate:
      // Another replica may hold the whole shard.
      if (run.outstanding_attempt_ids.empty() &&
          !(this->current_retry_budget.TryTake() &&
            this->TryStartAttempt(query, attempt.shard_index, AttemptKind::kRetry, now))) {
        this->MarkShardDone(query, attempt.shard_index);
      }
      break;
    case MergeResult::kOtherVersion: {
      ++this->dispatcher.counters.version_mismatches;
      LeafReply version_gone_reply;
      version_gone_reply.outcome = wire::Outcome::VERSION_GONE;
      this->OnAttemptFailure(query, attempt, version_gone_reply, now);
      return;
    }
    case MergeResult::kMalformed: {
      ++this->dispatcher.counters.malformed_replies;
      LeafReply failed_reply;
      failed_reply.outcome = wire::Outcome::FAILED;
      this->OnAttemptFailure(query, attempt, failed_reply, now);
      return;
    }
    case MergeResult::kClosed:
      return;
  }
  this->dispatcher.QueueBatches(query.header);
  this->FinishIfDone(query, now);
}

void QueryEngine::OnAttemptFailure(Query& query,
                                   const Attempt& attempt,
                                   const LeafReply& reply,
                                   TimePoint now) {
  const std::size_t shard_index = attempt.shard_index;
  ShardRun& run = query.shards[shard_index];
  query.may_have_run |= reply.verdict != Verdict::kNotRun;
  query.retry_after = std::max(query.retry_after, reply.retry_after);
  query.last_outcome = reply.outcome;
  query.merger->SetReason(shard_index, GetFailureReason(reply.outcome));

  bool shard_pending = false;
  if (IsRouteFailure(reply)) {
    if (reply.outcome != wire::Outcome::DRAINING) {
      std::erase(run.tried_leaves, attempt.leaf);  // the leaf's other owner may be tried
    }
    run.avoided_routes.emplace_back(attempt.leaf, attempt.broker);
    run.owner_is_changing |= reply.outcome == wire::Outcome::NOT_OWNER;
    --run.attempt_count;
    shard_pending = run.outstanding_attempt_ids.empty() &&
                    this->StartAttemptOrWait(query, shard_index, AttemptKind::kReroute, now);
    this->dispatcher.counters.reroutes += shard_pending ? 1 : 0;
  } else if (reply.outcome == wire::Outcome::SHED && reply.verdict == Verdict::kNotRun &&
             !std::exchange(run.rerouted_after_shed, true)) {
    // The shed attempt has not run, so one reroute to another replica needs no retry budget.
    shard_pending = run.outstanding_attempt_ids.empty() &&
                    this->TryStartAttempt(query, shard_index, AttemptKind::kReroute, now);
    this->dispatcher.counters.reroutes += shard_pending ? 1 : 0;
  } else if (reply.outcome == wire::Outcome::VERSION_GONE) {
    // Another replica may still hold the version. If none does, the query is replanned.
    const bool replica_holds_version =
        !this->planner
             .CandidatesFor(
                 this->GetPinnedSnapshot(query).service->shards[shard_index], query.header.snapshot,
                 this->dispatcher.MakeLeafFilter(query.request.service, now), run.tried_leaves, now)
             .holding.empty();
    const auto retry = [&] {
      return run.outstanding_attempt_ids.empty() && this->current_retry_budget.TryTake() &&
             this->TryStartAttempt(query, shard_index, AttemptKind::kRetry, now);
    };
    shard_pending = (replica_holds_version && retry()) || !run.outstanding_attempt_ids.empty();
    if (!shard_pending && this->TryReplan(query, now)) {
      this->FinishIfDone(query, now);
      return;
    }
    shard_pending = shard_pending || retry();
  } else if (reply.outcome != wire::Outcome::QUARANTINED) {
    shard_pending = run.outstanding_attempt_ids.empty() &&
                    this->MayRetryAfterCrash(query, attempt, reply, now) &&
                    this->current_retry_budget.TryTake() &&
                    this->TryStartAttempt(query, shard_index, AttemptKind::kRetry, now);
    this->dispatcher.counters.retries += shard_pending ? 1 : 0;
  }
  this->dispatcher.QueueBatches(query.header);
  if (!shard_pending && run.outstanding_attempt_ids.empty()) {
    this->MarkShardDone(query, shard_index);
  }
  this->FinishIfDone(query, now);
}

void QueryEngine::RecordAttemptVerdict(const Attempt& attempt, Verdict verdict) {
  const auto found = this->queries.find(attempt.local_request_id);
  if (found == this->queries.end()) {
    return;
  }
  found->second.may_have_run |= verdict != Verdict::kNotRun;
}

void QueryEngine::OnTimer(const Timer& timer, TimePoint now) {
  const auto found = this->queries.find(timer.id);
  if (found == this->queries.end()) {
    return;
  }
  Query& query = found->second;
  if (timer.kind == TimerKind::kAnswer) {
    this->FinishQuery(query, now);
    return;
  }
  if (timer.epoch != query.header.epoch || query.shards[timer.shard_index].done) {
    return;
  }
  ShardRun& run = query.shards[timer.shard_index];
  if (timer.kind == TimerKind::kRouteRetry) {
    run.avoided_routes.clear();
    if (run.outstanding_attempt_ids.empty() &&
        !this->StartAttemptOrWait(query, timer.shard_index, AttemptKind::kReroute, now)) {
      query.merger->SetReason(timer.shard_index, "unreachable");
      this->MarkShardDone(query, timer.shard_index);
    }
  } else if (timer.kind == TimerKind::kHedge && !run.hedged &&
             run.outstanding_attempt_ids.size() == 1 &&
             run.outstanding_attempt_ids[0] == timer.attempt_id &&
             this->current_hedge_budget.balance() >= 1 &&
             this->TryStartAttempt(query, timer.shard_index, AttemptKind::kHedge, now)) {
    run.hedged = true;
    this->current_hedge_budget.TryTake();
    ++this->dispatcher.counters.hedges;
  }
  this->dispatcher.QueueBatches(query.header);
  this->FinishIfDone(query, now);
}

void QueryEngine::Abandon(std::uint64_t ticket, TimePoint now) {
  const auto found = this->query_by_ticket.find(ticket);
  if (found == this->query_by_ticket.end()) {
    return;
  }
  Query& query = this->queries.at(found->second);
  ++this->dispatcher.counters.abandoned_requests;
  this->CancelOutstandingAttempts(query);
  this->RemoveQuery(query, now);
}

void QueryEngine::MarkShardDone(Query& query, std::size_t shard_index) {
  ShardRun& run = query.shards[shard_index];
  if (run.done) {
    return;
  }
  run.done = true;
  ++query.done_shard_count;
  this->dispatcher.CancelAttempts(run.outstanding_attempt_ids);
}

void QueryEngine::CancelOutstandingAttempts(Query& query) {
  std::vector<std::uint64_t> outstanding_attempt_ids;
  for (const ShardRun& run : query.shards) {
    outstanding_attempt_ids.insert(outstanding_attempt_ids.end(),
                                   run.outstanding_attempt_ids.begin(),
                                   run.outstanding_attempt_ids.end());
  }
  this->dispatcher.CancelAttempts(outstanding_attempt_ids);
}

void QueryEngine::FinishIfDone(Query& query, TimePoint now) {
  if (query.canary_shard && query.shards[*query.canary_shard].done) {
    this->FinishCanary(query, now);
  }
  if (query.done_shard_count == query.shards.size()) {
    this->FinishQuery(query, now);
  }
}

void QueryEngine::RemoveQuery(Query& query, TimePoint now) {
  this->ReleaseCanaryPermit(query, false, now);
  this->dispatcher.admission.RecordCompletion(query.request.service, query.request.tenant, now);
  this->query_by_ticket.erase(query.request.ticket);
  this->queries.erase(query.header.local_request_id);
}

}  // namespace ibishold
