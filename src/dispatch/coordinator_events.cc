#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "ibishold/dispatch.h"

namespace ibishold {

namespace {

// Time until a hedge is tried again if its last try was not possible.
constexpr Duration kHedgeRetryInterval = std::chrono::milliseconds(20);
// A hedge is sent only if this share of the typical latency is left for it.
constexpr double kMinUsefulTimeShare = 0.7;
// HTTP statuses by which a server usually rejects a request before it runs.
constexpr std::array<int, 4> kNotRunStatuses = {408, 421, 429, 503};

}  // namespace

void Coordinator::OnSent(AttemptId attempt, TimePoint /*now*/) {
  const auto [progress, shard] = this->FindAttempt(attempt);
  if (progress == nullptr) {
    return;
  }
  for (Attempt& running : shard->running) {
    if (running.id == attempt) {
      running.sent = true;
    }
  }
}

std::pair<Coordinator::Progress*, Coordinator::Shard*> Coordinator::FindAttempt(AttemptId attempt) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return {nullptr, nullptr};
  }
  Progress& progress = this->calls.at(found->second.first);
  return {&progress, &progress.shards[found->second.second]};
}

std::optional<Coordinator::Attempt> Coordinator::TakeAttempt(AttemptId attempt, Shard& shard) {
  this->attempts.erase(attempt);
  const auto found = std::find_if(shard.running.begin(), shard.running.end(),
                                  [&](const Attempt& running) { return running.id == attempt; });
  if (found == shard.running.end()) {
    return std::nullopt;
  }
  Attempt taken = *found;
  shard.running.erase(found);
  return taken;
}

void Coordinator::OnLeafNotice(const LeafId& leaf,
                               std::uint64_t started,
                               const LeafReply& reply,
                               TimePoint now) {
  if (reply.wrong_leaf) {
    return;  // the notice is about the leaf that has the address now
  }
  if (reply.leaving) {
    this->leaf_notices.RecordLeaving(leaf, started, now);
  }
  if (reply.retry_after) {
    this->leaf_notices.RecordBackoff(leaf, started, *reply.retry_after, now);
  }
}

void Coordinator::OnReply(AttemptId attempt, LeafReply reply, TimePoint now, Actions& actions) {
  this->leaf_tracker.RecordReply(attempt, reply, now);
  const auto [progress, shard] = this->FindAttempt(attempt);
  if (progress == nullptr) {
    return;
  }
  const CallId id = this->attempts.at(attempt).first;
  const std::optional<Attempt> taken = this->TakeAttempt(attempt, *shard);
  const Route& route = *progress->route;
  this->OnLeafNotice(taken->leaf, taken->leaf_started, reply, now);
  if (reply.wrong_leaf) {
    if (const LeafEntry* leaf = this->directory.Find(taken->leaf)) {
      this->leaf_tracker.MarkMisplaced(leaf->id, leaf->revision);
    }
  }
  if (reply.not_run || reply.wrong_leaf) {
    progress->shed = progress->shed || !reply.wrong_leaf;
    AddEvent(*progress, now, "not_run", *shard, taken->leaf, absl::StrCat("status=", reply.status));
    --shard->attempts;
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
    this->LatencyOf(route).Record(now - taken->started);
    this->crashes.RecordSuccess(progress->call.fingerprint, shard->service_hash);
    shard->state = ShardState::kDone;
    shard->reply = std::move(reply);
    if (route.fan_out()) {
      // Later records of a part cannot be in the merged answer, so they are not kept.
      shard->reply.body = MergeTopRecords({shard->reply.body}, route.record_limit);
      shard->reply.headers.clear();
    }
    ++progress->done;
    for (const Attempt& running : std::exchange(shard->running, {})) {
      this->attempts.erase(running.id);
      this->leaf_tracker.RecordCancellation(running.id, now);
      actions.push_back(
          CancelAction{.attempt = running.id, .late_reply_grace = this->options.late_reply_grace});
    }
    this->Evaluate(id, *progress, now, actions);
    return;
  }
  AddEvent(*progress, now, "leaf_failed", *shard, taken->leaf,
           absl::StrCat("status=", reply.status, " signed=", reply.signature.empty() ? 0 : 1));
  const bool client_error = reply.status >= 400 && reply.status < 500;
  const bool status_means_not_run = std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(),
                                              reply.status) != kNotRunStatuses.end();
  if (!route.fan_out() && !status_means_not_run && !reply.signature.empty() &&
      reply.status >= 300) {
    progress->leaf_error_reply = std::move(reply);
    if (client_error) {
      shard->attempts = progress->attempt_limit;  // another leaf would give the same answer
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
  const CallId id = this->attempts.at(attempt).first;
  const std::optional<Attempt> taken = this->TakeAttempt(attempt, *shard);
  const bool not_run = failure == AttemptFailure::kNoConnection;
  AddEvent(*progress, now, ToName(kAttemptFailureNames, failure), *shard, taken->leaf);
  if (not_run) {
    --shard->attempts;
  } else {
    progress->may_have_run = true;
    if (failure == AttemptFailure::kBroken) {
      this->crashes.RecordCrash({.fingerprint = progress->call.fingerprint,
                                 .request = StableHash(progress->call.request_id),
                                 .service = shard->service_hash,
                                 .leaf = StableHash(taken->leaf.value, taken->leaf_started)},
                                now);
    }
  }
  this->HandleAttemptEnd(id, *progress, *shard, not_run, now, actions);
}

void Coordinator::HandleAttemptEnd(CallId id,
                                   Progress& progress,
                                   Shard& shard,
                                   bool not_run,
                                   TimePoint now,
                                   Actions& actions) {
  if (!shard.running.empty()) {
    return;  // another attempt for this shard is still in progress
  }
  const Route& route = *progress.route;
  const bool retry_allowed = (not_run || route.repeatable) &&
                             shard.attempts < progress.attempt_limit &&
                             shard.total_attempts < kSendLimit && now < progress.deadline;
  shard.state = ShardState::kFailed;
  if (retry_allowed) {
    // Until the first send has been counted, the new attempt is the first one and costs no budget.
    this->TrySend(id, progress, shard, shard.first_send_counted, now, actions);
  }
  if (shard.state == ShardState::kFailed) {
    ++progress.failed;
  }
  this->Evaluate(id, progress, now, actions);
}

void Coordinator::OnCallerLeft(CallId id, TimePoint now, Actions& actions) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  this->Finish(id, found->second,
               {.kind = AnswerKind::kTimedOut, .reason = AnswerReason::kCallerLeft}, now, actions);
}

void Coordinator::EndAll(TimePoint now, Actions& actions) {
  std::vector<CallId> open;
  open.reserve(this->calls.size());
  for (const auto& [id, progress] : this->calls) {
    open.push_back(id);
  }
  for (const CallId id : open) {
    Progress& progress = this->calls.at(id);
    const bool enough =
        progress.route->fan_out() && progress.done > 0 && progress.done >= MinShards(progress);
    this->Finish(id, progress,
                 enough ? BuildMergedAnswer(progress, AnswerReason::kPartialAtStop)
                        : this->BuildFailureAnswer(progress, AnswerReason::kStopping, now),
                 now, actions);
  }
}

void Coordinator::OnTimer(TimePoint now, Actions& actions) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const CallId id = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    Progress& progress = this->calls.at(id);
    progress.timer = {};
    for (Shard& shard : progress.shards) {
      if (shard.state == ShardState::kWaiting && shard.retry_at <= now) {
        this->StartShard(id, progress, shard, now, actions);
      } else if (shard.state == ShardState::kRunning && shard.hedge_at <= now) {
        this->ConsiderHedge(id, progress, shard, now, actions);
      }
    }
    this->Evaluate(id, progress, now, actions);
  }
}

void Coordinator::ConsiderHedge(CallId id,
                                Progress& progress,
                                Shard& shard,
                                TimePoint now,
                                Actions& actions) {
  const Route& route = *progress.route;
  shard.hedge_at = TimePoint::max();
  for (const Attempt& running : shard.running) {
    this->leaf_tracker.RecordOverdue(running.id, now);
  }
  if (!route.repeatable || shard.attempts >= progress.attempt_limit || shard.running.size() != 1) {
    return;
  }
  const auto min_useful_time = Duration(static_cast<Duration::rep>(
      kMinUsefulTimeShare * static_cast<double>(this->TypicalLatency(route).count())));
  const bool enough = progress.done >= MinShards(progress) && progress.done > 0;
  if (now + min_useful_time > (enough ? progress.partial_answer_at : progress.deadline)) {
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
