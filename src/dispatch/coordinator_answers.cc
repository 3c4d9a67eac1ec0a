#include <algorithm>
#include <utility>

#include "ibishold/dispatch.h"

namespace ibishold {

// Decides whether the call can be answered now; else waits for the next event.
void Coordinator::Evaluate(CallId id, Progress& progress, TimePoint now, Actions& actions) {
  const std::size_t total = progress.shards.size();
  const bool enough = progress.done > 0 && progress.done >= LeastShards(progress);
  if (progress.done == total) {
    if (progress.route->fan_out()) {
      this->Finish(id, progress, Merged(progress, AnswerReason::kComplete), now, actions);
    } else {
      this->Finish(id, progress,
                   {.kind = AnswerKind::kPassed,
                    .reason = AnswerReason::kLeafAnswer,
                    .reply = std::move(progress.shards[0].reply)},
                   now, actions);
    }
    return;
  }
  if (progress.done + progress.failed == total) {
    this->Finish(id, progress,
                 enough ? Merged(progress, AnswerReason::kPartialShardsFailed)
                        : this->Failure(progress, AnswerReason::kAttemptsUsed, now),
                 now, actions);
    return;
  }
  if (total - progress.failed < LeastShards(progress)) {
    this->Finish(id, progress, this->Failure(progress, AnswerReason::kTooFewShards, now), now,
                 actions);
    return;
  }
  if (now >= progress.cut_at && enough) {
    this->Finish(id, progress, Merged(progress, AnswerReason::kPartialAtObjective), now, actions);
    return;
  }
  if (now >= progress.deadline) {
    this->Finish(id, progress,
                 enough ? Merged(progress, AnswerReason::kPartialAtLimit)
                        : this->Failure(progress, AnswerReason::kTimeLimit, now),
                 now, actions);
    return;
  }
  this->Schedule(id, progress);
}

void Coordinator::Schedule(CallId id, Progress& progress) {
  TimePoint next = progress.deadline;
  if (progress.done > 0 && progress.done >= LeastShards(progress)) {
    next = std::min(next, progress.cut_at);
  }
  for (const Shard& shard : progress.shards) {
    if (shard.state == ShardState::kWaiting) {
      next = std::min(next, shard.retry_at);
    } else if (shard.state == ShardState::kRunning) {
      next = std::min(next, shard.second_at);
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
                         .took = now - progress.arrived,
                         .shards = static_cast<std::uint32_t>(progress.shards.size()),
                         .sends = progress.sends,
                         .extra_sends = progress.extra,
                         .remote_sends = progress.remote};
  summary.missing = summary.shards - static_cast<std::uint32_t>(progress.done);
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
        Note(progress, now, "given_up", shard, running.leaf);
      }
      this->attempts.erase(running.id);
      this->leaves.RecordCancellation(running.id, now);
      actions.push_back(CancelAction{.attempt = running.id,
                                     .linger = left ? Duration::zero() : this->options.linger});
    }
  }
  summary.notes = std::move(progress.notes);
  this->summaries.push_back(std::move(summary));
  this->timers.erase({progress.timer, id});
  this->calls.erase(id);
  if (!left) {
    actions.push_back(AnswerAction{.call = id, .answer = std::move(answer)});
  }
}

Answer Coordinator::Merged(Progress& progress, AnswerReason reason) {
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
  answer.records = MergeGreatest(parts, progress.route->record_limit);
  return answer;
}

Answer Coordinator::Failure(Progress& progress, AnswerReason reason, TimePoint now) {
  if (progress.failed_reply) {
    return {.kind = AnswerKind::kPassed,
            .reason = AnswerReason::kLeafAnswer,
            .reply = std::move(*progress.failed_reply)};
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
    return this->Refusal(AnswerReason::kOverload, std::max(2 * this->Usual(*progress.route),
                                                           this->ReturnTime(progress, now)));
  }
  return this->Refusal(reason,
                       std::max(this->options.retry_no_leaf, this->ReturnTime(progress, now)));
}

Answer Coordinator::Refusal(AnswerReason reason, Duration retry_after) {
  // Jitter, so that callers who were refused together do not return together.
  constexpr double kJitter = 0.3;
  return {.kind = AnswerKind::kRefused,
          .reason = reason,
          .retry_after = this->random.Jitter(retry_after, kJitter)};
}

}  // namespace ibishold
