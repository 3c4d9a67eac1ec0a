#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "front/execute_engine.h"

namespace ibishold {

namespace json = boost::json;

namespace {

// Returns the array of records in a leaf's answer to a non-repeatable request. The answer is
// that array or an object with the member "records".
std::optional<std::string> ExtractRecords(const std::string& answer_json) {
  boost::system::error_code error;
  const json::value value = json::parse(answer_json, error);
  const json::value* records = &value;
  if (const json::object* object = value.if_object()) {
    records = object->if_contains("records");
  }
  if (error || records == nullptr || !records->is_array()) {
    return std::nullopt;
  }
  return json::serialize(*records);
}

}  // namespace

void ExecuteEngine::StartExecution(std::uint64_t waiter_id,
                                   std::uint64_t dispatch_id,
                                   TimePoint now) {
  const Waiter& waiter = this->waiters.at(waiter_id);
  const CallerRequest& request = waiter.request;
  const std::uint64_t id = this->dispatcher.AllocateId();
  Execution& execution = this->executions[id];
  execution.header = {.local_request_id = id,
                      .kind = RequestKind::kExecute,
                      .request_id = request.request_id,
                      .service = request.service,
                      .tenant = request.tenant,
                      .request_class = request.request_class,
                      .deadline = waiter.answer_at,
                      .fingerprint = StableHash(request.body, StableHash(request.service.value)),
                      .body = std::make_shared<const std::string>(request.body)};
  execution.token = waiter.token;
  execution.dispatch_id = dispatch_id;
  execution.waiter_id = waiter_id;
  execution.key = request.key;
  // Cancels before the answer time, because the broker needs time to confirm that it removed the
  // request before its first byte was sent.
  const Duration margin = std::min(this->options.cancel_margin, (waiter.answer_at - now) / 4);
  this->dispatcher.timers.Add(
      {.due_at = waiter.answer_at - margin, .kind = TimerKind::kCancel, .id = id});
  this->dispatcher.timers.Add({.due_at = waiter.answer_at, .kind = TimerKind::kAnswer, .id = id});
  this->dispatcher.timers.Add({.due_at = waiter.answer_at + this->options.attempt_retention,
                               .kind = TimerKind::kExecutionExpiry,
                               .id = id});
  this->StartAttemptOrRefuse(execution, now);
}

bool ExecuteEngine::TryStartAttempt(Execution& execution, TimePoint now) {
  const std::optional<PinnedSnapshot> pinned = this->dispatcher.snapshot_tracker.Select(
      execution.header.service, this->dispatcher.MakeLeafFilter(execution.header.service, now),
      now);
  if (!pinned) {
    return false;
  }
  execution.header.snapshot = pinned->snapshot;
  const std::size_t shard_index = QueryPlanner::ShardOf(*pinned->service, execution.key);
  const Shard& shard = pinned->service->shards[shard_index];
  const LeafFilter leaf_filter = this->dispatcher.MakeLeafFilter(execution.header.service, now);
  QueryPlanner::Candidates candidates =
      this->planner.CandidatesFor(shard, pinned->snapshot, leaf_filter, {}, now);
  if (candidates.empty()) {
    candidates.possible = this->planner.LeavesToCheck(shard, leaf_filter, {}, now);
  }
  std::vector<const Leaf*> leaves = candidates.preferred();
  if (execution.refusal_reroute_count > 0) {
    // A request that a broker or leaf refused may be sent to the other owner of that leaf, but not
    // to another leaf.
    std::erase_if(leaves, [&](const Leaf* leaf) { return leaf->id != execution.leaf; });
  }
  const std::optional<ReplicaRoute> route =
      this->dispatcher.ChooseRoute(*pinned->service, leaves, execution.avoided_routes, now);
  if (!route) {
    return false;
  }
  execution.leaf = route->leaf->id;
  execution.attempt_id = this->dispatcher.StartAttempt(execution.header, shard_index,
                                                       {.shard = shard.id}, *route, now);
  ++this->dispatcher.counters.executes;
  this->dispatcher.QueueBatches(execution.header);
  return true;
}

void ExecuteEngine::StartAttemptOrRefuse(Execution& execution, TimePoint now) {
  if (this->TryStartAttempt(execution, now)) {
    return;
  }
  // A link may be opening or an owner changing. The request has not run, so a later try is safe.
  const std::uint32_t wait_limit =
      execution.owner_is_changing ? this->options.max_owner_waits : this->options.max_route_waits;
  if (execution.wait_count < wait_limit &&
      now + this->options.route_retry_delay + this->options.cancel_margin <
          execution.header.deadline) {
    ++execution.wait_count;
    this->dispatcher.timers.Add({.due_at = now + this->options.route_retry_delay,
                                 .kind = TimerKind::kRouteRetry,
                                 .id = execution.header.local_request_id});
    return;
  }
  this->FinishExecution(execution,
                        MakeErrorResult(503, "unavailable", "no owner of the leaf could be reached",
                                        Verdict::kNotRun, std::chrono::milliseconds(200)),
                        now);
}

void ExecuteEngine::OnReply(const Attempt& attempt, const LeafReply& reply, TimePoint now) {
  const auto found = this->executions.find(attempt.local_request_id);
  if (found == this->executions.end()) {
    ++this->dispatcher.counters.late_replies;
    return;
  }
  Execution& execution = found->second;
  if (execution.attempt_id != attempt.id) {
    ++this->dispatcher.counters.late_replies;
    return;
  }
  execution.attempt_id = 0;
  if (reply.outcome == wire::Outcome::OK && reply.verdict == Verdict::kRan) {
    this->dispatcher.latency_tracker.Record(attempt.leaf, now - attempt.sent_at);
    const std::optional<std::string> records = ExtractRecords(reply.records);
    if (!records) {
      ++this->dispatcher.counters.malformed_replies;
      this->FinishExecution(
          execution,
          MakeErrorResult(502, "failed", "it ran, but the leaf's answer cannot be read",
                          Verdict::kRan),
          now);
      return;
    }
    this->FinishExecution(
        execution,
        {.verdict = Verdict::kRan,
         .status = 200,
         .body = absl::StrCat(
             "{\"snapshot\":{\"index_version\":", reply.stated_snapshot.index_version,
             ",\"partition_map_version\":", reply.stated_snapshot.partition_map_version,
             "},\"verdict\":\"ran\",\"records\":", *records, "}")},
        now);
    return;
  }
  if (reply.verdict == Verdict::kRan) {
    this->FinishExecution(
        execution,
        MakeErrorResult(502, "failed",
                        reply.message.empty() ? "the leaf answered with an error" : reply.message,
                        Verdict::kRan),
        now);
    return;
  }
  if (reply.verdict == Verdict::kMayHaveRun) {
    this->FinishExecution(execution,
                          MakeErrorResult(504, "uncertain", "the connection to the leaf was lost",
                                          Verdict::kMayHaveRun),
                          now);
    return;
  }
  const bool has_time_left = now + this->options.cancel_margin < execution.header.deadline;
  // With these outcomes, the request has reached neither the leaf's queue nor the leaf.
  const bool is_route_failure = reply.outcome == wire::Outcome::NOT_OWNER ||
                                reply.outcome == wire::Outcome::UNREACHABLE ||
                                reply.outcome == wire::Outcome::DRAINING;
  if (!execution.finished && has_time_left && reply.outcome != wire::Outcome::CANCELLED &&
      reply.outcome != wire::Outcome::QUARANTINED &&
      (is_route_failure || execution.refusal_reroute_count == 0)) {
    execution.avoided_routes.emplace_back(attempt.leaf, attempt.broker);
    execution.refusal_reroute_count += is_route_failure ? 0 : 1;
    execution.owner_is_changing |= reply.outcome == wire::Outcome::NOT_OWNER;
    ++this->dispatcher.counters.reroutes;
    this->StartAttemptOrRefuse(execution, now);
    return;
  }
  const bool is_late = reply.outcome == wire::Outcome::DEADLINE ||
                       reply.outcome == wire::Outcome::CANCELLED || !has_time_left;
  this->FinishExecution(
      execution,
      is_late ? MakeErrorResult(504, "deadline", "it could not start within the deadline",
                                Verdict::kNotRun, reply.retry_after)
              : MakeErrorResult(
                    503, "unavailable", "the owners of the leaf refused it", Verdict::kNotRun,
                    std::max<Duration>(reply.retry_after, std::chrono::milliseconds(100))),
      now);
}

void ExecuteEngine::OnTimer(const Timer& timer, TimePoint now) {
  if (const auto waiter = this->waiters.find(timer.id); waiter != this->waiters.end()) {
    if (timer.kind == TimerKind::kForwardRetry) {
      this->ResolveToken(timer.id, now);
    } else if (timer.kind == TimerKind::kAnswer) {
      this->token_home.RemoveWaiter(waiter->second.token, timer.id);
      this->AnswerWaiter(
          timer.id,
          MakeErrorResult(504, "deadline", "no result within the deadline", Verdict::kMayHaveRun),
          now);
    }
    return;
  }
  const auto found = this->executions.find(timer.id);
  if (found == this->executions.end()) {
    return;
  }
  Execution& execution = found->second;
  switch (timer.kind) {
    case TimerKind::kRouteRetry:
      if (!execution.finished && execution.attempt_id == 0) {
        execution.avoided_routes.clear();
        this->StartAttemptOrRefuse(execution, now);
      }
      return;
    case TimerKind::kCancel:
      if (!execution.finished && execution.attempt_id != 0) {
        const std::uint64_t attempt_ids[] = {execution.attempt_id};
        this->dispatcher.CancelAttempts(attempt_ids);
      }
      return;
    case TimerKind::kAnswer:
      if (!execution.finished) {
        const bool was_sent = execution.attempt_id != 0;
        this->FinishExecution(execution,
                              MakeErrorResult(504, "deadline", "no result within the deadline",
                                              was_sent ? Verdict::kMayHaveRun : Verdict::kNotRun),
                              now);
      }
      return;
    case TimerKind::kExecutionExpiry:
      this->executions.erase(found);
      return;
    default:
      return;
  }
}

void ExecuteEngine::FinishExecution(Execution& execution,
                                    const TokenResult& result,
                                    TimePoint now) {
  // A result that follows the verdict "may have run" replaces that verdict in the token table.
  const std::uint64_t waiter_id = std::exchange(execution.waiter_id, 0);
  const bool is_first_result = !std::exchange(execution.finished, true);
  if (is_first_result && result.verdict == Verdict::kMayHaveRun) {
    ++this->dispatcher.counters.uncertain_executes;
  }
  for (const TokenReply& reply :
       this->token_home.Finish(execution.token, execution.dispatch_id, result, now)) {
    this->AnswerWaiter(reply.waiter_id, reply.result, now);
  }
  this->SendResultsToSuccessor(now);
  if (waiter_id != 0) {
    this->AnswerWaiter(waiter_id, result, now);
  }
}

}  // namespace ibishold
