#include "front/query_engine.h"

#include <algorithm>
#include <utility>

#include "front/request_checks.h"

namespace ibishold {

namespace {

std::string_view ReasonOf(wire::Outcome outcome) {
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
      planner(dispatcher.tracker),
      hedges(options.hedge_budget),
      retries(options.retry_budget),
      quarantine(options.quarantine) {}

void QueryEngine::Start(CallerRequest request, TimePoint now) {
  if (RefusedBy(CheckService(this->dispatcher, request), this->dispatcher, request)) {
    return;
  }
  if (RefusedBy(CheckDeadline(this->options, request, now), this->dispatcher, request)) {
    return;
  }
  if (this->queries.size() >= this->options.request_limit) {
    Refuse(this->dispatcher, request,
           {.status = 503,
            .error = "overload",
            .message = "too many requests in progress",
            .retry_after = std::chrono::milliseconds(200)});
    return;
  }
  if (RefusedBy(CheckAdmission(this->dispatcher, request, now), this->dispatcher, request)) {
    return;
  }
  std::optional<PinnedSnapshot> pinned = this->dispatcher.tracker.Select(
      request.service, this->dispatcher.UsableLeaves(request.service, now), now);

  const std::uint64_t id = this->dispatcher.NextId();
  Query& query = this->queries[id];
  this->by_ticket[request.ticket] = id;
  query.started = now;
  const Duration left = request.deadline - now;
  const auto share = Duration(static_cast<Duration::rep>(static_cast<double>(left.count()) *
                                                         this->options.answer_margin_share));
  query.answer_at = request.deadline - std::min(this->options.answer_margin, share);
  query.header = {.request = id,
                  .request_id = request.request_id,
                  .service = request.service,
                  .tenant = request.tenant,
                  .request_class = request.request_class,
                  .deadline = query.answer_at,
                  .fingerprint = Fingerprint(request.service, request.body),
                  .body = std::make_shared<const std::string>(std::move(request.body))};
  request.body.clear();
  query.request = std::move(request);
  this->dispatcher.timers.Add({.at = query.answer_at, .kind = TimerKind::kAnswer, .id = id});
  if (!this->PassQuarantine(query, pinned->service->shards.size() > 1, now)) {
    return;
  }
  this->Plan(query, *std::move(pinned), now);
  this->FinishIfDone(query, now);
}

void QueryEngine::OnReply(const Attempt& attempt, const LeafReply& reply, TimePoint now) {
  const auto found = this->queries.find(attempt.request);
  if (reply.outcome == wire::Outcome::OK) {
    this->dispatcher.latency.Record(attempt.leaf, now - attempt.sent_at);
  }
  if (found == this->queries.end() || found->second.header.epoch != attempt.epoch) {
    ++this->dispatcher.counters.late_replies;
    return;
  }
  Query& query = found->second;
  ShardRun& run = query.shards[attempt.shard];
  std::erase(run.out, attempt.id);
  query.may_have_run |= reply.verdict != Verdict::kNotRun;
  if (run.done) {
    ++this->dispatcher.counters.late_replies;
    return;
  }
  if (reply.outcome != wire::Outcome::OK) {
    this->OnFailure(query, attempt, reply, now);
    return;
  }
  if (run.alone) {
    this->ReturnPermit(query, true, now);
    run.alone = false;
    query.canary_succeeded = true;
  }
  const MergeResult result = query.merger->Add(
      attempt.shard,
      {.snapshot = reply.stated, .complete = reply.complete, .records = reply.records});
  switch (result) {
    case MergeResult::kFull:
      this->dispatcher.counters.hedge_wins += attempt.hedge ? 1 : 0;
      this->ShardDone(query, attempt.shard);
      break;
    case MergeResult::kPartial:
    case MergeResult::kDuplicate:
      // Another replica may hold the whole shard.
      if (run.out.empty() &&
          !(this->retries.TryTake() && this->Ask(query, attempt.shard, Extra::kRetry, now))) {
        this->ShardDone(query, attempt.shard);
      }
      break;
    case MergeResult::kOtherVersion: {
      ++this->dispatcher.counters.other_version;
      LeafReply gone;
      gone.outcome = wire::Outcome::VERSION_GONE;
      this->OnFailure(query, attempt, gone, now);
      return;
    }
    case MergeResult::kMalformed: {
      ++this->dispatcher.counters.malformed;
      LeafReply failed;
      failed.outcome = wire::Outcome::FAILED;
      this->OnFailure(query, attempt, failed, now);
      return;
    }
    case MergeResult::kClosed:
      return;
  }
  this->dispatcher.Flush(query.header);
  this->FinishIfDone(query, now);
}

void QueryEngine::OnFailure(Query& query,
                            const Attempt& attempt,
                            const LeafReply& reply,
                            TimePoint now) {
  const std::size_t shard = attempt.shard;
  ShardRun& run = query.shards[shard];
  query.may_have_run |= reply.verdict != Verdict::kNotRun;
  query.retry_after = std::max(query.retry_after, reply.retry_after);
  query.last_outcome = reply.outcome;
  query.merger->SetReason(shard, ReasonOf(reply.outcome));

  bool asked = false;
  if (IsRouteFailure(reply)) {
    if (reply.outcome != wire::Outcome::DRAINING) {
      std::erase(run.tried, attempt.leaf);  // the leaf's other owner may be tried
    }
    run.avoid.emplace_back(attempt.leaf, attempt.broker);
    run.owner_changes |= reply.outcome == wire::Outcome::NOT_OWNER;
    --run.attempts;
    asked = run.out.empty() && this->AskOrWait(query, shard, Extra::kReroute, now);
    this->dispatcher.counters.reroutes += asked ? 1 : 0;
  } else if (reply.outcome == wire::Outcome::SHED && reply.verdict == Verdict::kNotRun &&
             !std::exchange(run.moved_on, true)) {
    // The shed attempt has not run, so one reroute to another replica needs no retry budget.
    asked = run.out.empty() && this->Ask(query, shard, Extra::kReroute, now);
    this->dispatcher.counters.reroutes += asked ? 1 : 0;
  } else if (reply.outcome == wire::Outcome::VERSION_GONE) {
    // Another replica may still hold the version. If none does, the query is replanned.
    const bool held =
        !this->planner
             .CandidatesFor(this->PinOf(query).service->shards[shard], query.header.snapshot,
                            this->dispatcher.UsableLeaves(query.request.service, now), run.tried,
                            now)
             .holding.empty();
    const auto retry = [&] {
      return run.out.empty() && this->retries.TryTake() &&
             this->Ask(query, shard, Extra::kRetry, now);
    };
    asked = (held && retry()) || !run.out.empty();
    if (!asked && this->TryReplan(query, now)) {
      this->FinishIfDone(query, now);
      return;
    }
    asked = asked || retry();
  } else if (reply.outcome != wire::Outcome::QUARANTINED) {
    asked = run.out.empty() && this->MayRetryAfterCrash(query, attempt, reply, now) &&
            this->retries.TryTake() && this->Ask(query, shard, Extra::kRetry, now);
    this->dispatcher.counters.retries += asked ? 1 : 0;
  }
  this->dispatcher.Flush(query.header);
  if (!asked && run.out.empty()) {
    this->ShardDone(query, shard);
  }
  this->FinishIfDone(query, now);
}

void QueryEngine::OnGivenUp(const Attempt& attempt, Verdict verdict) {
  const auto found = this->queries.find(attempt.request);
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
    this->Finish(query, now);
    return;
  }
  if (timer.epoch != query.header.epoch || query.shards[timer.shard].done) {
    return;
  }
  ShardRun& run = query.shards[timer.shard];
  if (timer.kind == TimerKind::kRoute) {
    run.avoid.clear();
    if (run.out.empty() && !this->AskOrWait(query, timer.shard, Extra::kReroute, now)) {
      query.merger->SetReason(timer.shard, "unreachable");
      this->ShardDone(query, timer.shard);
    }
  } else if (timer.kind == TimerKind::kHedge && !run.hedged && run.out.size() == 1 &&
             run.out[0] == timer.attempt && this->hedges.balance() >= 1 &&
             this->Ask(query, timer.shard, Extra::kHedge, now)) {
    run.hedged = true;
    this->hedges.TryTake();
    ++this->dispatcher.counters.hedges;
  }
  this->dispatcher.Flush(query.header);
  this->FinishIfDone(query, now);
}

void QueryEngine::Abandon(std::uint64_t ticket, TimePoint now) {
  const auto found = this->by_ticket.find(ticket);
  if (found == this->by_ticket.end()) {
    return;
  }
  Query& query = this->queries.at(found->second);
  ++this->dispatcher.counters.abandoned;
  this->CancelOut(query);
  this->Release(query, now);
}

void QueryEngine::ShardDone(Query& query, std::size_t shard) {
  ShardRun& run = query.shards[shard];
  if (run.done) {
    return;
  }
  run.done = true;
  ++query.done_count;
  this->dispatcher.Cancel(run.out);
}

void QueryEngine::CancelOut(Query& query) {
  std::vector<std::uint64_t> out;
  for (const ShardRun& run : query.shards) {
    out.insert(out.end(), run.out.begin(), run.out.end());
  }
  this->dispatcher.Cancel(out);
}

void QueryEngine::FinishIfDone(Query& query, TimePoint now) {
  if (query.canary_shard && query.shards[*query.canary_shard].done) {
    this->CanaryDone(query, now);
  }
  if (query.done_count == query.shards.size()) {
    this->Finish(query, now);
  }
}

void QueryEngine::Release(Query& query, TimePoint now) {
  this->ReturnPermit(query, false, now);
  this->dispatcher.admission.RecordCompletion(query.request.service, query.request.tenant, now);
  this->by_ticket.erase(query.request.ticket);
  this->queries.erase(query.header.request);
}

}  // namespace ibishold
