#include <algorithm>
#include <utility>

#include "ibishold/dispatch.h"

namespace ibishold {

bool Coordinator::HasEnoughShards(const CallProgress& progress) {
  return progress.done_shards > 0 && progress.done_shards >= CountRequiredShards(progress);
}

bool Coordinator::IsAnswerDue(const CallProgress& progress, TimePoint now) {
  return now >= progress.deadline ||
         (now >= progress.partial_answer_at && HasEnoughShards(progress));
}

// Answers the call if no better answer is possible or a deadline has passed, else schedules its
// timer.
void Coordinator::AnswerOrSchedule(CallId id,
                                   CallProgress& progress,
                                   TimePoint now,
                                   Actions& actions) {
  const std::size_t shard_count = progress.shards.size();
  const bool enough_shards = HasEnoughShards(progress);
  if (progress.done_shards == shard_count) {
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
  if (progress.done_shards + progress.failed_shards == shard_count) {
    this->Finish(id, progress,
                 enough_shards
                     ? BuildMergedAnswer(progress, AnswerReason::kPartialShardsFailed)
                     : this->BuildFailureAnswer(progress, AnswerReason::kAttemptsUsed, now),
                 now, actions);
    return;
  }
  if (shard_count - progress.failed_shards < CountRequiredShards(progress)) {
    this->Finish(id, progress, this->BuildFailureAnswer(progress, AnswerReason::kTooFewShards, now),
                 now, actions);
    return;
  }
  if (now >= progress.partial_answer_at && enough_shards) {
    this->Finish(id, progress, BuildMergedAnswer(progress, AnswerReason::kPartialAtObjective), now,
                 actions);
    return;
  }
  if (now >= progress.deadline) {
    this->Finish(id, progress,
                 enough_shards ? BuildMergedAnswer(progress, AnswerReason::kPartialAtLimit)
                               : this->BuildFailureAnswer(progress, AnswerReason::kTimeLimit, now),
                 now, actions);
    return;
  }
  this->ScheduleTimer(id, progress);
}

void Coordinator::ScheduleTimer(CallId id, CallProgress& progress) {
  TimePoint next_timer = progress.deadline;
  if (HasEnoughShards(progress)) {
    next_timer = std::min(next_timer, progress.partial_answer_at);
  }
  for (const Shard& shard : progress.shards) {
    if (shard.state == ShardState::kWaiting) {
      next_timer = std::min(next_timer, shard.retry_at);
    } else if (shard.state == ShardState::kRunning) {
      next_timer = std::min(next_timer, shard.hedge_at);
    }
  }
  if (next_timer == progress.timer_at) {
    return;
  }
  this->timers.erase({progress.timer_at, id});
  progress.timer_at = next_timer;
  this->timers.emplace(next_timer, id);
}

bool Coordinator::WithdrawSend(AttemptId attempt, Actions& actions) {
  return std::erase_if(actions, [attempt](const Action& action) {
           const auto* send = std::get_if<SendAction>(&action);
           return send != nullptr && send->attempt == attempt;
         }) > 0;
}

void Coordinator::Finish(CallId id,
                         CallProgress& progress,
                         Answer answer,
                         TimePoint now,
                         Actions& actions) {
  CallSummary summary = {.request_id = progress.call.request_id,
                         .fingerprint = progress.call.fingerprint,
                         .kind = answer.kind,
                         .reason = answer.reason,
                         .duration = now - progress.arrived_at,
                         .shards = static_cast<std::uint32_t>(progress.shards.size()),
                         .attempts = progress.attempts,
                         .extra_attempts = progress.extra_attempts,
                         .remote_attempts = progress.remote_attempts};
  summary.missing_shards = summary.shards - static_cast<std::uint32_t>(progress.done_shards);
  if (progress.route_table != nullptr) {
    summary.route_table_version = progress.route_table->version;
  }
  if (progress.route != nullptr) {
    summary.route = progress.route->name;
    summary.objective = progress.route->objective;
  }
  if (progress.shared_service) {
    this->tenant_shares.End(*progress.shared_service, progress.call.tenant, now);
  }
  const bool caller_left = answer.reason == AnswerReason::kCallerLeft;
  for (Shard& shard : progress.shards) {
    for (const Attempt& running_attempt : shard.running_attempts) {
      const bool withdrawn = !running_attempt.sent && WithdrawSend(running_attempt.id, actions);
      if (!caller_left) {
        AddEvent(progress, now, withdrawn ? "withdrawn" : "given_up", shard, running_attempt.leaf);
      }
      this->shards_by_attempt.erase(running_attempt.id);
      this->leaf_tracker.RecordCancellation(running_attempt.id, now);
      if (withdrawn) {
        this->leaf_limits.ReturnToken(
            HashLeafRun(running_attempt.leaf, running_attempt.leaf_started), now);
        continue;
      }
      actions.push_back(CancelAction{
          .attempt = running_attempt.id,
          .late_reply_grace = caller_left ? Duration::zero() : this->options.late_reply_grace});
    }
  }
  summary.events = std::move(progress.events);
  this->summaries.push_back(std::move(summary));
  this->timers.erase({progress.timer_at, id});
  this->calls.erase(id);
  if (!caller_left) {
    actions.push_back(AnswerAction{.call = id, .answer = std::move(answer)});
  }
}

Answer Coordinator::BuildMergedAnswer(CallProgress& progress, AnswerReason reason) {
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

Answer Coordinator::BuildFailureAnswer(CallProgress& progress, AnswerReason reason, TimePoint now) {
  if (progress.leaf_error_reply) {
    return {.kind = AnswerKind::kPassedThrough,
            .reason = AnswerReason::kLeafAnswer,
            .reply = std::move(*progress.leaf_error_reply)};
  }
  const bool has_sent_attempt =
      std::any_of(progress.shards.begin(), progress.shards.end(), [](const Shard& shard) {
        return std::any_of(shard.running_attempts.begin(), shard.running_attempts.end(),
                           [](const Attempt& attempt) { return attempt.sent; });
      });
  if (progress.may_have_run || has_sent_attempt) {
    return {
        .kind = reason == AnswerReason::kTimeLimit ? AnswerKind::kTimedOut : AnswerKind::kFailed,
        .reason = reason};
  }
  if (progress.refused_by_leaf) {
    return this->BuildRefusal(progress, AnswerReason::kOverload,
                              std::max(2 * this->EstimateTypicalLatency(*progress.route),
                                       this->FindTimeUntilServable(progress, now).duration));
  }
  return this->BuildRefusal(progress, reason,
                            std::max(this->options.retry_after_no_leaf,
                                     this->FindTimeUntilServable(progress, now).duration));
}

Answer Coordinator::BuildRefusal(const CallProgress& progress,
                                 AnswerReason reason,
                                 Duration retry_after) {
  if (progress.may_have_run) {
    return {.kind = AnswerKind::kFailed, .reason = reason};
  }
  // Without jitter, callers that were refused at the same moment would retry at the same moment.
  // LeafLimits gives each caller a time of its own.
  constexpr double kRetryAfterJitterShare = 0.3;
  const double jitter_share = reason == AnswerReason::kLeafLimit ? 0 : kRetryAfterJitterShare;
  return {.kind = AnswerKind::kRefused,
          .reason = reason,
          .retry_after = this->random.ApplyJitter(retry_after, jitter_share)};
}

}  // namespace ibishold
