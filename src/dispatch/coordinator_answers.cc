#include <algorithm>
#include <utility>

#include "ibishold/dispatch.h"

namespace ibishold {

// Answers the call if that is possible or due now, else schedules its next timer.
void Coordinator::Evaluate(CallId id, Progress& progress, TimePoint now, Actions& actions) {
  const std::size_t total = progress.shards.size();
  const bool enough = progress.done > 0 && progress.done >= MinShards(progress);
  if (progress.done == total) {
    if (progress.route->fan_out()) {
      this->Finish(id, progress, BuildMergedAnswer(progress, AnswerReason::kComplete), now,
                   actions);
    } else {
      this->Finish(id, progress,
                   {.kind = AnswerKind::kPassedThrough,
                    .reason = AnswerReason::kLeafAnswer,
                    .reply = std::move(progress.shards[0].reply)},
                   now, actions);
    }
    return;
  }
  if (progress.done + progress.failed == total) {
    this->Finish(id, progress,
                 enough ? BuildMergedAnswer(progress, AnswerReason::kPartialShardsFailed)
                        : this->BuildFailureAnswer(progress, AnswerReason::kAttemptsUsed, now),
                 now, actions);
    return;
  }
  if (total - progress.failed < MinShards(progress)) {
    this->Finish(id, progress, this->BuildFailureAnswer(progress, AnswerReason::kTooFewShards, now),
                 now, actions);
    return;
  }
  if (now >= progress.partial_answer_at && enough) {
    this->Finish(id, progress, BuildMergedAnswer(progress, AnswerReason::kPartialAtObjective), now,
                 actions);
    return;
  }
  if (now >= progress.deadline) {
    this->Finish(id, progress,
                 enough ? BuildMergedAnswer(progress, AnswerReason::kPartialAtLimit)
                        : this->BuildFailureAnswer(progress, AnswerReason::kTimeLimit, now),
                 now, actions);
    return;
  }
  this->Schedule(id, progress);
}

void Coordinator::Schedule(CallId id, Progress& progress) {
  TimePoint next = progress.deadline;
  if (progress.done > 0 && progress.done >= MinShards(progress)) {
    next = std::min(next, progress.partial_answer_at);
  }
  for (const Shard& shard : progress.shards) {
    if (shard.state == ShardState::kWaiting) {
      next = std::min(next, shard.retry_at);
    } else if (shard.state == ShardState::kRunning) {
      next = std::min(next, shard.hedge_at);
    }
  }
  if (next == progress.timer) {
    return;
  }
  this->timers.erase({progress.timer, id});
  progress.timer = next;
  this->timers.emplace(next, id);
}

void Coordinator::Finish(CallId id,
                         Progress& progress,
                         Answer answer,
                         TimePoint now,
                         Actions& actions) {
  CallSummary summary = {.request_id = progress.call.request_id,
                         .kind = answer.kind,
                         .reason = answer.reason,
                         .duration = now - progress.arrived,
                         .shards = static_cast<std::uint32_t>(progress.shards.size()),
                         .attempts = progress.attempts,
                         .extra_attempts = progress.extra_attempts,
                         .remote_attempts = progress.remote_attempts};
  summary.missing_shards = summary.shards - static_cast<std::uint32_t>(progress.done);
  if (progress.table != nullptr) {
    summary.version = progress.table->version;
  }
  if (progress.route != nullptr) {
    summary.route = progress.route->name;
    summary.objective = progress.route->objective;
  }
  const bool left = answer.reason == AnswerReason::kCallerLeft;
  for (Shard& shard : progress.shards) {
    for (const Attempt& running : shard.running) {
      if (!left) {
        AddEvent(progress, now, "given_up", shard, running.leaf);
      }
      this->attempts.erase(running.id);
      this->leaf_tracker.RecordCancellation(running.id, now);
      actions.push_back(CancelAction{
          .attempt = running.id,
          .late_reply_grace = left ? Duration::zero() : this->options.late_reply_grace});
    }
  }
  summary.events = std::move(progress.events);
  this->summaries.push_back(std::move(summary));
  this->timers.erase({progress.timer, id});
  this->calls.erase(id);
  if (!left) {
    actions.push_back(AnswerAction{.call = id, .answer = std::move(answer)});
  }
}

Answer Coordinator::BuildMergedAnswer(Progress& progress, AnswerReason reason) {
  Answer answer = {.kind = AnswerKind::kMerged, .reason = reason};
  std::vector<std::string_view> parts;
  for (const Shard& shard : progress.shards) {
    if (shard.state == ShardState::kDone) {
      parts.push_back(shard.reply.body);
      answer.signatures.push_back(shard.reply.signature);
    }
  }
  answer.missing_shards =
      static_cast<std::uint32_t>(progress.shards.size() - answer.signatures.size());
  answer.records = MergeTopRecords(parts, progress.route->record_limit);
  return answer;
}

Answer Coordinator::BuildFailureAnswer(Progress& progress, AnswerReason reason, TimePoint now) {
  if (progress.leaf_error_reply) {
    return {.kind = AnswerKind::kPassedThrough,
            .reason = AnswerReason::kLeafAnswer,
            .reply = std::move(*progress.leaf_error_reply)};
  }
  const bool sent =
      std::any_of(progress.shards.begin(), progress.shards.end(), [](const Shard& shard) {
        return std::any_of(shard.running.begin(), shard.running.end(),
                           [](const Attempt& attempt) { return attempt.sent; });
      });
  if (progress.may_have_run || sent) {
    return {
        .kind = reason == AnswerReason::kTimeLimit ? AnswerKind::kTimedOut : AnswerKind::kFailed,
        .reason = reason};
  }
  if (progress.shed) {
    return this->BuildRefusal(AnswerReason::kOverload,
                              std::max(2 * this->TypicalLatency(*progress.route),
                                       this->TimeUntilServable(progress, now)));
  }
  return this->BuildRefusal(
      reason, std::max(this->options.retry_after_no_leaf, this->TimeUntilServable(progress, now)));
}

Answer Coordinator::BuildRefusal(AnswerReason reason, Duration retry_after) {
  // Jitter keeps callers that were refused together from retrying at the same moment.
  constexpr double kJitter = 0.3;
  return {.kind = AnswerKind::kRefused,
          .reason = reason,
          .retry_after = this->random.ApplyJitter(retry_after, kJitter)};
}

}  // namespace ibishold
