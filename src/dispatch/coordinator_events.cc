#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "ibishold/dispatch.h"

namespace ibishold {

namespace {

// Time until the next try if a hedge could not be sent.
constexpr Duration kHedgeRetryInterval = std::chrono::milliseconds(20);
// A hedge is sent only if at least this share of the typical latency is left until the answer.
constexpr double kMinUsefulTimeShare = 0.7;
// HTTP statuses with which servers usually reject a request without running it.
constexpr std::array<int, 4> kNotRunStatuses = {408, 421, 429, 503};

// True if the leaf has as many requests as it takes. With Retry-After it is out of service instead.
bool IsCapacityRefusal(const LeafReply& reply) {
  return reply.not_run && !reply.wrong_leaf && !reply.leaving && !reply.retry_after &&
         reply.status == 503;
}

CallPart GetCallPart(const Route& route) {
  return route.fan_out() ? CallPart::kShard : CallPart::kWhole;
}

}  // namespace

void Coordinator::OnSent(AttemptId attempt, TimePoint /*now*/) {
  const auto [progress, shard] = this->FindAttempt(attempt);
  if (progress == nullptr) {
    return;
  }
  for (Attempt& running_attempt : shard->running_attempts) {
    if (running_attempt.id == attempt) {
      running_attempt.sent = true;
    }
  }
}

std::pair<Coordinator::CallProgress*, Coordinator::Shard*> Coordinator::FindAttempt(
    AttemptId attempt) {
  const auto found = this->shards_by_attempt.find(attempt);
  if (found == this->shards_by_attempt.end()) {
    return {nullptr, nullptr};
  }
  CallProgress& progress = this->calls.at(found->second.first);
  return {&progress, &progress.shards[found->second.second]};
}

std::optional<Coordinator::Attempt> Coordinator::RemoveAttempt(AttemptId attempt, Shard& shard) {
  this->shards_by_attempt.erase(attempt);
  const auto found =
      std::find_if(shard.running_attempts.begin(), shard.running_attempts.end(),
                   [&](const Attempt& running_attempt) { return running_attempt.id == attempt; });
  if (found == shard.running_attempts.end()) {
    return std::nullopt;
  }
  Attempt ended_attempt = *found;
  shard.running_attempts.erase(found);
  return ended_attempt;
}

void Coordinator::OnLeafNotice(const LeafId& leaf,
                               std::uint64_t started,
                               const LeafReply& reply,
                               TimePoint now) {
  if (reply.wrong_leaf) {
    return;  // the reply came from another leaf that now has the address
  }
  if (reply.leaving) {
    this->leaf_notices.RecordLeaving(leaf, started, now);
  }
  if (reply.retry_after) {
    this->leaf_notices.RecordBackoff(leaf, started, *reply.retry_after, now);
  }
  if (reply.rate_limit) {
    this->leaf_limits.RecordLimit(HashLeafRun(leaf, started), *reply.rate_limit, now);
  }
}

void Coordinator::OnReply(AttemptId attempt, LeafReply reply, TimePoint now, Actions& actions) {
  this->leaf_tracker.RecordReply(attempt, reply, now);
  const auto [progress, shard] = this->FindAttempt(attempt);
  if (progress == nullptr) {
    return;
  }
  const CallId id = this->shards_by_attempt.at(attempt).first;
  const std::optional<Attempt> ended_attempt = this->RemoveAttempt(attempt, *shard);
  const Route& route = *progress->route;
  this->OnLeafNotice(ended_attempt->leaf, ended_attempt->leaf_started, reply, now);
  // Only replies that are certainly from the leaf show that it states no limit.
  if (!reply.rate_limit && !reply.wrong_leaf && (reply.not_run || !reply.signature.empty())) {
    this->leaf_limits.RecordNoLimit(HashLeafRun(ended_attempt->leaf, ended_attempt->leaf_started),
                                    ended_attempt->started_at, now);
  }
  if (reply.wrong_leaf) {
    if (const LeafEntry* leaf = this->directory.Find(ended_attempt->leaf)) {
      this->leaf_tracker.MarkMisplaced(leaf->id, leaf->revision);
    }
  }
  if (progress->shared_service && IsCapacityRefusal(reply)) {
    this->tenant_shares.RecordRefusal(*progress->shared_service, now);
  }
  if (reply.not_run || reply.wrong_leaf) {
    progress->refused_by_leaf = progress->refused_by_leaf || !reply.wrong_leaf;
    AddEvent(*progress, now, "not_run", *shard, ended_attempt->leaf,
             absl::StrCat("status=", reply.status));
    --shard->counted_attempts;
    this->HandleAttemptEnd(id, *progress, *shard, true, now, actions);
    return;
  }
  progress->may_have_run = true;
  const bool repeated_signature =
      route.fan_out() && reply.success() &&
      std::any_of(progress->shards.begin(), progress->shards.end(), [&](const Shard& other) {
        return other.state == ShardState::kDone && other.reply.signature == reply.signature;
      });
  if (reply.success() && !repeated_signature) {
    this->GetRecentLatency(route).Record(now - ended_attempt->started_at);
    this->call_crash_guard.RecordSuccess(progress->call.fingerprint, shard->service_hash,
                                         GetCallPart(route), now);
    shard->state = ShardState::kDone;
    shard->reply = std::move(reply);
    if (route.fan_out()) {
      // Records after the first record_limit cannot be in the merged answer, so they are dropped.
      shard->reply.body = MergeTopRecords({shard->reply.body}, route.record_limit);
      shard->reply.headers.clear();
    }
    ++progress->done_shards;
    for (const Attempt& running_attempt : std::exchange(shard->running_attempts, {})) {
      this->shards_by_attempt.erase(running_attempt.id);
      this->leaf_tracker.RecordCancellation(running_attempt.id, now);
      actions.push_back(CancelAction{.attempt = running_attempt.id,
                                     .late_reply_grace = this->options.late_reply_grace});
    }
    this->AnswerOrSchedule(id, *progress, now, actions);
    return;
  }
  AddEvent(*progress, now, "leaf_failed", *shard, ended_attempt->leaf,
           absl::StrCat("status=", reply.status, " signed=", reply.signature.empty() ? 0 : 1));
  const bool client_error = reply.status >= 400 && reply.status < 500;
  const bool status_means_not_run = std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(),
                                              reply.status) != kNotRunStatuses.end();
  if (!route.fan_out() && !status_means_not_run && !reply.signature.empty() &&
      reply.status >= 300) {
    progress->leaf_error_reply = std::move(reply);
    if (client_error) {
      shard->counted_attempts = progress->attempt_limit;  // another leaf would give the same answer
    }
  }
  this->HandleAttemptEnd(id, *progress, *shard, false, now, actions);
}

void Coordinator::OnFailure(AttemptId attempt,
                            AttemptFailure failure,
                            TimePoint now,
                            Actions& actions) {
  this->leaf_tracker.RecordFailure(attempt, failure, now);
  const auto [progress, shard] = this->FindAttempt(attempt);
  if (progress == nullptr) {
    return;
  }
  const CallId id = this->shards_by_attempt.at(attempt).first;
  const std::optional<Attempt> ended_attempt = this->RemoveAttempt(attempt, *shard);
  const bool not_run = failure == AttemptFailure::kNoConnection;
  AddEvent(*progress, now, ToName(kAttemptFailureNames, failure), *shard, ended_attempt->leaf);
  if (not_run) {
    --shard->counted_attempts;
    this->leaf_limits.ReturnToken(HashLeafRun(ended_attempt->leaf, ended_attempt->leaf_started),
                                  now);
  } else {
    progress->may_have_run = true;
    if (failure == AttemptFailure::kBroken) {
      this->call_crash_guard.RecordCrash(
          {.fingerprint = progress->call.fingerprint,
           .part = GetCallPart(*progress->route),
           .request = StableHash(progress->call.request_id),
           .service = shard->service_hash,
           .leaf = HashLeafRun(ended_attempt->leaf, ended_attempt->leaf_started)},
          now);
    }
  }
  this->HandleAttemptEnd(id, *progress, *shard, not_run, now, actions);
}

void Coordinator::HandleAttemptEnd(CallId id,
                                   CallProgress& progress,
                                   Shard& shard,
                                   bool not_run,
                                   TimePoint now,
                                   Actions& actions) {
  if (!shard.running_attempts.empty()) {
    return;  // another attempt for this shard is still in progress
  }
  const Route& route = *progress.route;
  const bool retry_allowed = (not_run || route.repeatable) &&
                             shard.counted_attempts < progress.attempt_limit &&
                             shard.total_attempts < kSendLimit && !IsAnswerDue(progress, now);
  if (!retry_allowed) {
    shard.state = ShardState::kFailed;
    ++progress.failed_shards;
  } else if (HasAttemptsLeft(progress, shard, now)) {
    this->RetryShard(id, progress, shard, now, actions);
  } else {
    shard.state = ShardState::kWaiting;
    shard.retry_at = progress.single_attempt_until;
  }
  this->AnswerOrSchedule(id, progress, now, actions);
}

void Coordinator::RetryShard(CallId id,
                             CallProgress& progress,
                             Shard& shard,
                             TimePoint now,
                             Actions& actions) {
  shard.state = ShardState::kFailed;
  // If the budget has not counted a first send yet, this attempt is the first one, not an extra.
  this->TrySend(id, progress, shard, shard.first_send_counted, now, actions);
  if (shard.state == ShardState::kFailed) {
    ++progress.failed_shards;
  }
}

void Coordinator::OnCallerLeft(CallId id, TimePoint now, Actions& actions) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  this->Finish(id, found->second,
               {.kind = AnswerKind::kTimedOut, .reason = AnswerReason::kCallerLeft}, now, actions);
}

void Coordinator::BeginStop(TimePoint end) {
  this->stop_ends_at = end;
}

void Coordinator::EndAll(TimePoint now, Actions& actions) {
  std::vector<CallId> call_ids;
  call_ids.reserve(this->calls.size());
  for (const auto& [id, progress] : this->calls) {
    call_ids.push_back(id);
  }
  for (const CallId id : call_ids) {
    CallProgress& progress = this->calls.at(id);
    const bool enough_shards = progress.route->fan_out() && HasEnoughShards(progress);
    this->Finish(id, progress,
                 enough_shards ? BuildMergedAnswer(progress, AnswerReason::kPartialAtStop)
                               : this->BuildFailureAnswer(progress, AnswerReason::kStopping, now),
                 now, actions);
  }
}

void Coordinator::OnTimer(TimePoint now, Actions& actions) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const CallId id = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    CallProgress& progress = this->calls.at(id);
    progress.timer_at = {};
    // The process may have been paused, so several times of the call can be due at once.
    if (!IsAnswerDue(progress, now)) {
      this->SendDueShards(id, progress, now, actions);
    }
    this->AnswerOrSchedule(id, progress, now, actions);
  }
}

void Coordinator::SendDueShards(CallId id,
                                CallProgress& progress,
                                TimePoint now,
                                Actions& actions) {
  for (Shard& shard : progress.shards) {
    if (shard.state == ShardState::kWaiting && shard.retry_at <= now) {
      if (shard.counted_attempts > 0) {
        this->RetryShard(id, progress, shard, now, actions);
      } else {
        this->StartShard(id, progress, shard, now, actions);
      }
    } else if (shard.state == ShardState::kRunning && shard.hedge_at <= now) {
      this->ConsiderHedge(id, progress, shard, now, actions);
    }
  }
}

void Coordinator::ConsiderHedge(CallId id,
                                CallProgress& progress,
                                Shard& shard,
                                TimePoint now,
                                Actions& actions) {
  const Route& route = *progress.route;
  if (shard.counted_attempts < progress.attempt_limit && !HasAttemptsLeft(progress, shard, now)) {
    shard.hedge_at = progress.single_attempt_until;
    return;
  }
  shard.hedge_at = TimePoint::max();
  for (const Attempt& running_attempt : shard.running_attempts) {
    this->leaf_tracker.RecordOverdue(running_attempt.id, now);
  }
  if (!route.repeatable || shard.counted_attempts >= progress.attempt_limit ||
      shard.running_attempts.size() != 1) {
    return;
  }
  const auto min_useful_time = Duration(static_cast<Duration::rep>(
      kMinUsefulTimeShare * static_cast<double>(this->EstimateTypicalLatency(route).count())));
  if (now + min_useful_time >
      (HasEnoughShards(progress) ? progress.partial_answer_at : progress.deadline)) {
    AddEventOnce(progress, now, "too_late", shard, {});
    return;
  }
  if (!this->TrySend(id, progress, shard, true, now, actions)) {
    shard.hedge_at = now + kHedgeRetryInterval;
  } else {
    shard.hedge_at = TimePoint::max();
  }
}

std::optional<TimePoint> Coordinator::NextTimer() const {
  if (this->timers.empty()) {
    return std::nullopt;
  }
  return this->timers.begin()->first;
}

}  // namespace ibishold
