#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "ibishold/dispatch.h"

namespace ibishold {

Coordinator::Coordinator(CoordinatorOptions options, LeafDirectory& directory, std::uint64_t seed)
    : options(std::move(options)),
      directory(directory),
      random(seed),
      leaf_tracker(this->options.tracker, random.Next()),
      leaf_notices(this->options.notices),
      leaf_limits(this->options.limits),
      extra_attempt_budget(this->options.extra_attempts),
      call_crash_guard(this->options.crash_guard),
      tenant_shares(this->options.fair_share) {}

void Coordinator::SetRoutes(RouteTablePtr new_routes) {
  this->route_table = std::move(new_routes);
}

void Coordinator::SetSenderCounts(std::size_t fan_out_count, std::size_t single_count) {
  this->fan_out_senders = std::max<std::size_t>(fan_out_count, 1);
  this->single_senders = std::max<std::size_t>(single_count, 1);
}

void Coordinator::SetLimitSenders(RateSharers senders, TimePoint now) {
  this->leaf_limits.SetSenders(std::move(senders), now);
}

std::size_t Coordinator::CountSenders(const CallProgress& progress) const {
  return progress.route->fan_out() ? this->fan_out_senders : this->single_senders;
}

CallId Coordinator::Begin(Call call, TimePoint now, Actions& actions) {
  const CallId id = ++this->last_call_id;
  CallProgress& progress = this->calls[id];
  progress.call = std::move(call);
  progress.may_have_run = progress.call.may_have_been_sent;
  progress.arrived_at = now;
  progress.route_table = this->route_table;
  if (this->RouteOrRefuse(id, progress, now, actions)) {
    return id;
  }
  const Route& route = *progress.route;
  const Call& stored_call = progress.call;
  progress.attempt_limit = ComputeAttemptLimit(route, stored_call);
  progress.single_attempt_until = now + stored_call.single_attempt_time;
  if (progress.attempt_limit == 0) {
    this->Finish(id, progress, this->BuildFailureAnswer(progress, AnswerReason::kAttemptsUsed, now),
                 now, actions);
    return id;
  }
  // A caller's retry has less time left than its first attempt. The time that has passed since the
  // first attempt is estimated as the difference to the longest time_left seen on the route.
  Duration& longest_time = this->longest_time_left[route.name];
  longest_time = std::max(longest_time, std::min(stored_call.time_left, route.time_limit * 2));
  const Duration already_elapsed = std::max(Duration::zero(), longest_time - stored_call.time_left);
  progress.deadline = std::min(
      now + std::min(route.time_limit, stored_call.time_left - stored_call.external_latency) -
          this->options.time_limit_margin,
      this->stop_ends_at);
  progress.partial_answer_at = now + route.objective - already_elapsed -
                               stored_call.external_latency - this->options.objective_margin;
  if (!IsAnswerDue(progress, now)) {
    for (Shard& shard : progress.shards) {
      this->StartShard(id, progress, shard, now, actions);
    }
  }
  this->AnswerOrSchedule(id, progress, now, actions);
  return id;
}

int Coordinator::ComputeAttemptLimit(const Route& route, const Call& call) {
  if (!call.may_have_been_sent) {
    return std::max(1, route.attempt_limit);
  }
  // Another VM has sent at most one attempt for each shard (Call::single_attempt_time).
  return route.repeatable ? std::max(0, route.attempt_limit - 1) : 0;
}

bool Coordinator::HasAttemptsLeft(const CallProgress& progress, const Shard& shard, TimePoint now) {
  return shard.counted_attempts <
         (now < progress.single_attempt_until ? 1 : progress.attempt_limit);
}

void Coordinator::StartShard(CallId id,
                             CallProgress& progress,
                             Shard& shard,
                             TimePoint now,
                             Actions& actions) {
  if (!this->TrySend(id, progress, shard, false, now, actions) &&
      shard.state == ShardState::kFailed) {
    ++progress.failed_shards;
  }
}

// Sends the shard's request to the best leaf. Returns false if no request can be sent now. The
// shard then keeps its state if it has an attempt in progress. Otherwise it becomes kWaiting if its
// leaves are busy or accept requests again soon, and kFailed if not.
bool Coordinator::TrySend(CallId id,
                          CallProgress& progress,
                          Shard& shard,
                          bool is_extra,
                          TimePoint now,
                          Actions& actions) {
  const Route& route = *progress.route;
  if (this->call_crash_guard.GetBlockTimeLeft(progress.call.fingerprint, shard.service_hash, now) >
      Duration::zero()) {
    if (shard.running_attempts.empty()) {
      shard.state = ShardState::kFailed;
    }
    AddEventOnce(progress, now, "crashes_leaves", shard, {});
    return false;
  }
  const Duration typical_latency = this->EstimateTypicalLatency(route);
  std::vector<const LeafEntry*> candidates = this->FindCandidates(shard, now);
  if (candidates.empty() && shard.counted_attempts == 0 && shard.running_attempts.empty() &&
      !progress.refused_by_leaf) {
    // No attempt has reached a leaf, so all leaves may be tried again. If a leaf refused because of
    // overload, there is no retry, and the caller gets a Retry-After instead.
    shard.tried_leaves.clear();
    candidates = this->FindCandidates(shard, now);
  }
  const bool is_hedge = is_extra && !shard.running_attempts.empty();
  LeafChoice choice;
  if (shard.total_attempts < kSendLimit) {
    choice = this->ChooseLeaf(progress, shard, std::move(candidates), is_hedge, now);
  }
  const LeafEntry* leaf = choice.leaf;
  if (leaf == nullptr) {
    if (!is_extra) {
      const bool leaves_busy = choice.obstacle == SendObstacle::kLeavesBusy;
      // The shard may wait for a leaf that accepts requests again early enough to reply in time.
      const std::optional<TimePoint> earliest_backoff_end =
          this->FindEarliestBackoffEnd(shard, now);
      const bool backoff_ends_in_time = earliest_backoff_end && shard.total_attempts < kSendLimit &&
                                        *earliest_backoff_end + typical_latency <
                                            std::min(progress.partial_answer_at, progress.deadline);
      if (backoff_ends_in_time) {
        shard.tried_leaves.clear();
      }
      shard.state =
          leaves_busy || backoff_ends_in_time ? ShardState::kWaiting : ShardState::kFailed;
      shard.retry_at = leaves_busy ? now + this->options.busy_retry_interval
                                   : earliest_backoff_end.value_or(now);
    }
    AddEventOnce(progress, now, ToName(kSendObstacleNames, choice.obstacle), shard, {});
    return false;
  }
  // If another VM may have sent the call already, the first send is charged as an extra attempt.
  const bool is_charged =
      is_extra || (progress.call.may_have_been_sent && !shard.first_send_counted);
  if (is_charged && !this->extra_attempt_budget.TryTake(
                        shard.service, this->CountSenders(progress), now,
                        shard.running_attempts.empty() ? 0 : this->options.retry_budget_reserve)) {
    if (shard.running_attempts.empty()) {
      shard.state = ShardState::kFailed;
    }
    AddEventOnce(progress, now, "no_budget", shard, leaf->id);
    return false;
  }
  this->leaf_limits.TakeToken(HashLeafRun(leaf->id, leaf->started),
                              ComputeUrgency(progress, is_hedge), now);
  const AttemptId attempt = ++this->last_attempt_id;
  this->shards_by_attempt[attempt] = {id,
                                      static_cast<std::size_t>(&shard - progress.shards.data())};
  shard.running_attempts.push_back(
      {.id = attempt, .leaf = leaf->id, .leaf_started = leaf->started, .started_at = now});
  shard.tried_leaves.push_back(leaf->id);
  shard.state = ShardState::kRunning;
  shard.hedge_at = now + this->ComputeHedgeDelay(route);
  ++shard.total_attempts;
  ++shard.counted_attempts;
  ++progress.attempts;
  progress.extra_attempts += is_extra ? 1 : 0;
  progress.remote_attempts += leaf->data_centre == this->options.tracker.data_centre ? 0 : 1;
  if (!shard.first_send_counted) {
    shard.first_send_counted = true;
    if (!progress.call.may_have_been_sent) {
      this->extra_attempt_budget.RecordFirstAttempt(shard.service, this->CountSenders(progress),
                                                    now);
    }
  }
  this->leaf_tracker.RecordSend(attempt, *leaf, typical_latency, now);
  if (is_extra || !route.fan_out()) {
    AddEvent(progress, now, is_extra ? "sent_again" : "sent", shard, leaf->id);
  }
  actions.push_back(SendAction{.attempt = attempt,
                               .call = id,
                               .leaf = *leaf,
                               .time_left = progress.deadline - now,
                               .repeatable = route.repeatable,
                               .connection_limit = this->ComputeConnectionLimit(progress, *leaf)});
  return true;
}

Coordinator::LeafChoice Coordinator::ChooseLeaf(const CallProgress& progress,
                                                const Shard& shard,
                                                std::vector<const LeafEntry*> candidates,
                                                bool is_hedge,
                                                TimePoint now) {
  const Route& route = *progress.route;
  const int urgency = ComputeUrgency(progress, is_hedge);
  double warm_up_rate = 0;
  if (const auto found = progress.route_table->services.find(shard.service);
      found != progress.route_table->services.end()) {
    warm_up_rate = found->second.warm_up_rate;
  }
  LeafChoice choice;
  while (!candidates.empty()) {
    const LeafEntry* leaf = this->leaf_tracker.Choose(
        candidates, this->EstimateTypicalLatency(route), now, route.objective);
    const LeafRun run = HashLeafRun(leaf->id, leaf->started);
    if (!this->leaf_limits.CanSend(run, urgency, now)) {
      if (!is_hedge) {
        this->leaf_limits.RecordDenial(run, urgency, now);
      }
      if (choice.obstacle == SendObstacle::kNoLeaf) {
        choice.obstacle = SendObstacle::kLeafLimit;
      }
    } else if (this->leaf_tracker.CountInFlight(leaf->id) <
                   this->ComputeConnectionLimit(progress, *leaf) &&
               this->leaf_tracker.TryTakeWarmUpToken(*leaf, warm_up_rate,
                                                     this->CountSenders(progress), now)) {
      choice.leaf = leaf;
      return choice;
    } else {
      choice.obstacle = SendObstacle::kLeavesBusy;
    }
    std::erase(candidates, leaf);
  }
  return choice;
}

std::size_t Coordinator::ComputeConnectionLimit(const CallProgress& progress,
                                                const LeafEntry& leaf) const {
  const auto found = progress.route_table->services.find(leaf.service);
  if (found == progress.route_table->services.end() || found->second.connection_limit == 0) {
    return leaf.slots;
  }
  const double share = found->second.connection_limit * this->options.connection_share /
                       static_cast<double>(this->CountSenders(progress));
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

Duration Coordinator::ComputeHedgeDelay(const Route& route) {
  const auto scale = [](Duration duration, double factor) {
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
  };
  const double load_ratio =
      std::min(1.0, this->leaf_tracker.load() / this->options.hedge_full_delay_load);
  const double factor =
      this->options.hedge_delay_factor_idle +
      load_ratio * (this->options.hedge_delay_factor - this->options.hedge_delay_factor_idle);
  return std::clamp(scale(this->EstimateTypicalLatency(route), factor),
                    scale(route.objective, this->options.hedge_delay_min_share),
                    scale(route.objective, this->options.hedge_delay_max_share));
}

Duration Coordinator::EstimateTypicalLatency(const Route& route) {
  return this->GetRecentLatency(route).GetQuantile(
      0.5, Duration(static_cast<Duration::rep>(this->options.initial_latency_share *
                                               static_cast<double>(route.objective.count()))));
}

RecentLatency& Coordinator::GetRecentLatency(const Route& route) {
  return this->recent_latencies[route.name];
}

void Coordinator::AddEvent(CallProgress& progress,
                           TimePoint now,
                           std::string_view event,
                           const Shard& shard,
                           const LeafId& leaf,
                           std::string detail) {
  if (progress.events.size() < kEventLimit) {
    progress.events.push_back({.elapsed = now - progress.arrived_at,
                               .event = event,
                               .service = shard.service.value,
                               .leaf = leaf.value,
                               .detail = std::move(detail)});
  }
}

void Coordinator::AddEventOnce(CallProgress& progress,
                               TimePoint now,
                               std::string_view event,
                               Shard& shard,
                               const LeafId& leaf) {
  if (shard.last_not_sent_reason != event) {
    shard.last_not_sent_reason = event;
    AddEvent(progress, now, event, shard, leaf);
  }
}

std::vector<CallSummary> Coordinator::TakeSummaries() {
  return std::exchange(this->summaries, {});
}

}  // namespace ibishold
