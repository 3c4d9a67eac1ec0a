#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "front/execute_engine.h"

namespace ibishold {

namespace json = boost::json;

namespace {

// Returns the array of records in a leaf's answer to a non-repeatable request. The text is that
// array or an object with the member "records".
std::optional<std::string> RecordsOf(const std::string& text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
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

void ExecuteEngine::Dispatch(std::uint64_t waiter_id, std::uint64_t dispatch, TimePoint now) {
  const Waiter& waiter = this->waiters.at(waiter_id);
  const CallerRequest& request = waiter.request;
  const std::uint64_t id = this->dispatcher.NextId();
  Execution& execution = this->executions[id];
  execution.header = {.request = id,
                      .kind = RequestKind::kExecute,
                      .request_id = request.request_id,
                      .service = request.service,
                      .tenant = request.tenant,
                      .request_class = request.request_class,
                      .deadline = waiter.answer_at,
                      .fingerprint = StableHash(request.body, StableHash(request.service.value)),
                      .body = std::make_shared<const std::string>(request.body)};
  execution.token = waiter.token;
  execution.dispatch = dispatch;
  execution.waiter = waiter_id;
  execution.key = request.key;
  // Cancels before the answer time, so that the broker can still confirm that the request did not
  // run.
  const Duration margin = std::min(this->options.cancel_margin, (waiter.answer_at - now) / 4);
  this->dispatcher.timers.Add(
      {.at = waiter.answer_at - margin, .kind = TimerKind::kCancel, .id = id});
  this->dispatcher.timers.Add({.at = waiter.answer_at, .kind = TimerKind::kAnswer, .id = id});
  this->dispatcher.timers.Add({.at = waiter.answer_at + this->options.attempt_memory,
                               .kind = TimerKind::kForget,
                               .id = id});
  this->AskOrRefuse(execution, now);
}

bool ExecuteEngine::Ask(Execution& execution, TimePoint now) {
  const std::optional<PinnedSnapshot> pinned = this->dispatcher.tracker.Select(
      execution.header.service, this->dispatcher.UsableLeaves(execution.header.service, now), now);
  if (!pinned) {
    return false;
  }
  execution.header.snapshot = pinned->snapshot;
  const std::size_t shard_index = QueryPlanner::ShardOf(*pinned->service, execution.key);
  const Shard& shard = pinned->service->shards[shard_index];
  const LeafFilter usable = this->dispatcher.UsableLeaves(execution.header.service, now);
  QueryPlanner::Candidates candidates =
      this->planner.CandidatesFor(shard, pinned->snapshot, usable, {}, now);
  if (candidates.empty()) {
    candidates.possible = this->planner.LeavesToCheck(shard, usable, {}, now);
  }
  std::vector<const Leaf*> leaves = candidates.preferred();
  if (execution.passes > 0) {
    // A request that a broker or leaf refused may be sent to the other owner of that leaf, but not
    // to another leaf.
    std::erase_if(leaves, [&](const Leaf* leaf) { return leaf->id != execution.leaf; });
  }
  const std::optional<ReplicaRoute> route =
      this->dispatcher.Choose(*pinned->service, leaves, execution.avoid, now);
  if (!route) {
    return false;
  }
  execution.leaf = route->leaf->id;
  execution.attempt =
      this->dispatcher.Start(execution.header, shard_index, {.shard = shard.id}, *route, now);
  ++this->dispatcher.counters.executes;
  this->dispatcher.Flush(execution.header);
  return true;
}

void ExecuteEngine::AskOrRefuse(Execution& execution, TimePoint now) {
  if (this->Ask(execution, now)) {
    return;
  }
  // A link may be opening or an owner changing. The request has not run, so a later try is safe.
  const std::uint32_t wait_limit =
      execution.owner_changes ? this->options.owner_waits : this->options.route_waits;
  if (execution.waits < wait_limit &&
      now + this->options.route_wait + this->options.cancel_margin < execution.header.deadline) {
    ++execution.waits;
    this->dispatcher.timers.Add({.at = now + this->options.route_wait,
                                 .kind = TimerKind::kRoute,
                                 .id = execution.header.request});
    return;
  }
  this->Finish(execution,
               RefusedResult(503, "unavailable", "no owner of the leaf is reachable",
                             Verdict::kNotRun, std::chrono::milliseconds(200)),
               now);
}

void ExecuteEngine::OnReply(const Attempt& attempt, const LeafReply& reply, TimePoint now) {
  const auto found = this->executions.find(attempt.request);
  if (found == this->executions.end()) {
    ++this->dispatcher.counters.late_replies;
    return;
  }
  Execution& execution = found->second;
  if (execution.attempt != attempt.id) {
    ++this->dispatcher.counters.late_replies;
    return;
  }
  execution.attempt = 0;
  if (reply.outcome == wire::Outcome::OK && reply.verdict == Verdict::kRan) {
    this->dispatcher.latency.Record(attempt.leaf, now - attempt.sent_at);
    const std::optional<std::string> records = RecordsOf(reply.records);
    if (!records) {
      ++this->dispatcher.counters.malformed;
      this->Finish(
          execution,
          RefusedResult(502, "failed", "the request ran, but the leaf's answer is malformed",
                        Verdict::kRan),
          now);
      return;
    }
    this->Finish(
        execution,
        {.verdict = Verdict::kRan,
         .status = 200,
         .body = absl::StrCat("{\"snapshot\":{\"index_version\":", reply.stated.index_version,
                              ",\"partition_map_version\":", reply.stated.partition_map_version,
                              "},\"verdict\":\"ran\",\"records\":", *records, "}")},
        now);
    return;
  }
  if (reply.verdict == Verdict::kRan) {
    this->Finish(
        execution,
        RefusedResult(502, "failed",
                      reply.message.empty() ? "the leaf answered with an error" : reply.message,
                      Verdict::kRan),
        now);
    return;
  }
  if (reply.verdict == Verdict::kMayHaveRun) {
    this->Finish(execution,
                 RefusedResult(504, "uncertain", "the connection to the leaf was lost",
                               Verdict::kMayHaveRun),
                 now);
    return;
  }
  const bool time_left = now + this->options.cancel_margin < execution.header.deadline;
  // With these outcomes, the request has not reached the leaf's queue.
  const bool no_route = reply.outcome == wire::Outcome::NOT_OWNER ||
                        reply.outcome == wire::Outcome::UNREACHABLE ||
                        reply.outcome == wire::Outcome::DRAINING;
  if (!execution.finished && time_left && reply.outcome != wire::Outcome::CANCELLED &&
      reply.outcome != wire::Outcome::QUARANTINED && (no_route || execution.passes == 0)) {
    execution.avoid.emplace_back(attempt.leaf, attempt.broker);
    execution.passes += no_route ? 0 : 1;
    execution.owner_changes |= reply.outcome == wire::Outcome::NOT_OWNER;
    ++this->dispatcher.counters.reroutes;
    this->AskOrRefuse(execution, now);
    return;
  }
  const bool late = reply.outcome == wire::Outcome::DEADLINE ||
                    reply.outcome == wire::Outcome::CANCELLED || !time_left;
  this->Finish(
      execution,
      late ? RefusedResult(504, "deadline", "the request could not start before its deadline",
                           Verdict::kNotRun, reply.retry_after)
           : RefusedResult(503, "unavailable", "the owners of the leaf refused the request",
                           Verdict::kNotRun,
                           std::max<Duration>(reply.retry_after, std::chrono::milliseconds(100))),
      now);
}

void ExecuteEngine::OnTimer(const Timer& timer, TimePoint now) {
  if (const auto waiting = this->waiters.find(timer.id); waiting != this->waiters.end()) {
    if (timer.kind == TimerKind::kForward) {
      this->Begin(timer.id, now);
    } else if (timer.kind == TimerKind::kAnswer) {
      this->home.RemoveWaiter(waiting->second.token, timer.id);
      this->Answer(
          timer.id,
          RefusedResult(504, "deadline", "no result within the deadline", Verdict::kMayHaveRun),
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
    case TimerKind::kRoute:
      if (!execution.finished && execution.attempt == 0) {
        execution.avoid.clear();
        this->AskOrRefuse(execution, now);
      }
      return;
    case TimerKind::kCancel:
      if (!execution.finished && execution.attempt != 0) {
        const std::uint64_t out[] = {execution.attempt};
        this->dispatcher.Cancel(out);
      }
      return;
    case TimerKind::kAnswer:
      if (!execution.finished) {
        const bool handed_over = execution.attempt != 0;
        this->Finish(execution,
                     RefusedResult(504, "deadline", "no result within the deadline",
                                   handed_over ? Verdict::kMayHaveRun : Verdict::kNotRun),
                     now);
      }
      return;
    case TimerKind::kForget:
      this->executions.erase(found);
      return;
    default:
      return;
  }
}

void ExecuteEngine::Finish(Execution& execution, const TokenResult& result, TimePoint now) {
  // A result that follows the verdict "may have run" replaces that verdict in the token table.
  const std::uint64_t waiter = std::exchange(execution.waiter, 0);
  const bool first = !std::exchange(execution.finished, true);
  if (first && result.verdict == Verdict::kMayHaveRun) {
    ++this->dispatcher.counters.may_have_run;
  }
  for (const TokenReply& reply :
       this->home.Finish(execution.token, execution.dispatch, result, now)) {
    this->Answer(reply.waiter, reply.result, now);
  }
  this->SendLateResults(now);
  if (waiter != 0) {
    this->Answer(waiter, result, now);
  }
}

}  // namespace ibishold
