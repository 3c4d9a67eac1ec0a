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
      budget(this->options.extra_attempts),
      crashes(this->options.crash_guard) {}

void Coordinator::SetRoutes(RouteTablePtr routes) {
  this->table = std::move(routes);
}

void Coordinator::SetSenderCounts(std::size_t fan_out, std::size_t single) {
  this->fan_out_senders = std::max<std::size_t>(fan_out, 1);
  this->single_senders = std::max<std::size_t>(single, 1);
}

std::size_t Coordinator::SenderCount(const Progress& progress) const {
  return progress.route->fan_out() ? this->fan_out_senders : this->single_senders;
}

CallId Coordinator::Begin(Call call, TimePoint now, Actions& actions) {
  const CallId id = ++this->last_call;
  Progress& progress = this->calls[id];
  progress.call = std::move(call);
  progress.arrived = now;
  progress.table = this->table;
  if (this->RouteOrRefuse(id, progress, now, actions)) {
    return id;
  }
  const Route& route = *progress.route;
  const Call& kept = progress.call;
  // A call that another VM may have sent already counts as one attempt for each shard.
  progress.attempt_limit = std::max(1, route.attempt_limit - (kept.may_have_been_sent ? 1 : 0));
  // A retry of the caller has less time left than its first attempt. The difference to the longest
  // known time is the time that has already passed.
  Duration& longest = this->longest_time_left[route.name];
  longest = std::max(longest, std::min(kept.time_left, route.time_limit * 2));
  const Duration passed = std::max(Duration::zero(), longest - kept.time_left);
  progress.deadline = now + std::min(route.time_limit, kept.time_left - kept.external_latency) -
                      this->options.limit_margin;
  progress.partial_answer_at =
      now + route.objective - passed - kept.external_latency - this->options.objective_margin;
  for (Shard& shard : progress.shards) {
    this->StartShard(id, progress, shard, now, actions);
  }
  this->Evaluate(id, progress, now, actions);
  return id;
}

// Finds the route and the shards of the call. Refuses the call and returns true if no route, no
// configuration or too few shards with a leaf are available, or if the call crashes leaves.
bool Coordinator::RouteOrRefuse(CallId id, Progress& progress, TimePoint now, Actions& actions) {
  if (progress.table == nullptr) {
    this->Finish(id, progress,
                 this->BuildRefusal(AnswerReason::kNoConfiguration,
                                    this->options.retry_after_no_configuration),
                 now, actions);
    return true;
  }
  progress.route = progress.table->Find(progress.call.host, progress.call.path);
  if (progress.route == nullptr) {
    this->Finish(id, progress, {.kind = AnswerKind::kNoRoute, .reason = AnswerReason::kNoRoute},
                 now, actions);
    return true;
  }
  if (const Duration left = this->crashes.GetRefusalTimeLeft(progress.call.fingerprint, now);
      left > Duration::zero()) {
    this->Finish(id, progress, this->BuildRefusal(AnswerReason::kCrashesLeaves, left), now,
                 actions);
    return true;
  }
  const Route& route = *progress.route;
  if (route.fan_out()) {
    progress.shards.resize(route.shards.size());
    for (std::size_t i = 0; i < route.shards.size(); ++i) {
      progress.shards[i].service = route.shards[i];
    }
  } else {
    WeightedRoundRobin& pick =
        this->target_picks.try_emplace(route.name, this->random.Next()).first->second;
    progress.shards.resize(1);
    progress.shards[0].service = route.targets[pick.Pick(route.targets)].service;
  }
  std::size_t served = 0;
  Duration blocked{};
  for (Shard& shard : progress.shards) {
    shard.service_hash = StableHash(shard.service.value);
    const Duration left =
        this->crashes.GetBlockTimeLeft(progress.call.fingerprint, shard.service_hash, now);
    blocked = std::max(blocked, left);
    served += left > Duration::zero() || this->FindCandidates(shard, now).empty() ? 0 : 1;
  }
  if (served >= std::max<std::size_t>(1, MinShards(progress))) {
    return false;
  }
  if (blocked > Duration::zero()) {
    this->Finish(id, progress, this->BuildRefusal(AnswerReason::kCrashesLeaves, blocked), now,
                 actions);
    return true;
  }
  this->Finish(id, progress,
               this->BuildRefusal(AnswerReason::kNoLeaf, this->TimeUntilServable(progress, now)),
               now, actions);
  return true;
}

std::optional<TimePoint> Coordinator::EarliestReopening(const Shard& shard, TimePoint now) const {
  std::optional<TimePoint> next;
  for (const LeafEntry* leaf : this->directory.UsableLeaves(shard.service)) {
    const auto closed = this->leaf_notices.GetBackoffEnd(*leaf, now);
    if (closed && !this->leaf_notices.IsLeaving(*leaf) && !this->leaf_tracker.IsMisplaced(*leaf)) {
      next = std::min(next.value_or(*closed), *closed);
    }
  }
  return next;
}

Duration Coordinator::TimeUntilServable(const Progress& progress, TimePoint now) const {
  std::vector<Duration> waits;
  for (const Shard& shard : progress.shards) {
    const auto usable = this->directory.UsableLeaves(shard.service);
    const bool open = std::any_of(usable.begin(), usable.end(), [&](const LeafEntry* leaf) {
      return !this->leaf_tracker.IsMisplaced(*leaf) &&
             !this->leaf_notices.RefusesRequests(*leaf, now);
    });
    const std::optional<TimePoint> opening = this->EarliestReopening(shard, now);
    waits.push_back(open      ? Duration::zero()
                    : opening ? *opening - now
                              : this->options.retry_after_no_leaf);
  }
  const auto last_needed =
      waits.begin() + static_cast<std::ptrdiff_t>(
                          std::clamp<std::size_t>(MinShards(progress), 1, waits.size()) - 1);
  std::nth_element(waits.begin(), last_needed, waits.end());
  return *last_needed;
}

std::vector<const LeafEntry*> Coordinator::FindCandidates(const Shard& shard, TimePoint now) const {
  std::vector<const LeafEntry*> candidates = this->directory.UsableLeaves(shard.service);
  std::erase_if(candidates, [&](const LeafEntry* leaf) {
    return this->leaf_tracker.IsMisplaced(*leaf) ||
           this->leaf_notices.RefusesRequests(*leaf, now) ||
           std::find(shard.tried.begin(), shard.tried.end(), leaf->id) != shard.tried.end();
  });
  return candidates;
}

void Coordinator::StartShard(CallId id,
                             Progress& progress,
                             Shard& shard,
                             TimePoint now,
                             Actions& actions) {
  if (!this->TrySend(id, progress, shard, false, now, actions) &&
      shard.state == ShardState::kFailed) {
    ++progress.failed;
  }
}

// Sends the shard's request to the best leaf. Returns false if that is not possible now: the shard
// is then kWaiting if its leaves are only busy or closed for a short time, unchanged if it has an
// attempt in progress, and kFailed otherwise.
bool Coordinator::TrySend(CallId id,
                          Progress& progress,
                          Shard& shard,
                          bool is_extra,
                          TimePoint now,
                          Actions& actions) {
  const Route& route = *progress.route;
  if (this->crashes.GetBlockTimeLeft(progress.call.fingerprint, shard.service_hash, now) >
      Duration::zero()) {
    if (shard.running.empty()) {
      shard.state = ShardState::kFailed;
    }
    AddEventOnce(progress, now, "crashes_leaves", shard, {});
    return false;
  }
  const Duration typical_latency = this->TypicalLatency(route);
  std::vector<const LeafEntry*> candidates = this->FindCandidates(shard, now);
  if (candidates.empty() && shard.attempts == 0 && shard.running.empty() && !progress.shed) {
    // No leaf could be connected to, so each of them may be tried again. Leaves that refused
    // because of overload are not retried; the caller gets a Retry-After instead.
    shard.tried.clear();
    candidates = this->FindCandidates(shard, now);
  }
  const bool any = !candidates.empty() && shard.total_attempts < kSendLimit;
  double rate = 0;
  if (const auto found = progress.table->services.find(shard.service);
      found != progress.table->services.end()) {
    rate = found->second.warm_up_rate;
  }
  const LeafEntry* leaf = nullptr;
  while (any && !candidates.empty()) {
    leaf = this->leaf_tracker.Choose(candidates, typical_latency, now, route.objective);
    const bool full =
        this->leaf_tracker.CountInFlight(leaf->id) >= this->ConnectionLimit(progress, *leaf);
    if (!full &&
        this->leaf_tracker.TryTakeWarmUpToken(*leaf, rate, this->SenderCount(progress), now)) {
      break;
    }
    std::erase(candidates, leaf);
    leaf = nullptr;
  }
  if (leaf == nullptr) {
    if (!is_extra) {
      // Waits for a leaf that accepts requests again early enough to reply in time.
      const std::optional<TimePoint> opening = this->EarliestReopening(shard, now);
      const bool opens =
          opening && shard.total_attempts < kSendLimit &&
          *opening + typical_latency < std::min(progress.partial_answer_at, progress.deadline);
      if (opens) {
        shard.tried.clear();
      }
      shard.state = any || opens ? ShardState::kWaiting : ShardState::kFailed;
      shard.retry_at = any ? now + this->options.busy_retry_interval : opening.value_or(now);
    }
    AddEventOnce(progress, now, any ? "leaves_busy" : "no_leaf", shard, {});
    return false;
  }
  // If another VM may have sent the call already, this send is an extra attempt for the service.
  const bool costs = is_extra || (progress.call.may_have_been_sent && !shard.first_send_counted);
  if (costs &&
      !this->budget.TryTake(shard.service, this->SenderCount(progress), now,
                            shard.running.empty() ? 0 : this->options.retry_budget_reserve)) {
    if (shard.running.empty()) {
      shard.state = ShardState::kFailed;
    }
    AddEventOnce(progress, now, "no_budget", shard, leaf->id);
    return false;
  }
  const AttemptId attempt = ++this->last_attempt;
  this->attempts[attempt] = {id, static_cast<std::size_t>(&shard - progress.shards.data())};
  shard.running.push_back(
      {.id = attempt, .leaf = leaf->id, .leaf_started = leaf->started, .started = now});
  shard.tried.push_back(leaf->id);
  shard.state = ShardState::kRunning;
  shard.hedge_at = now + this->HedgeDelay(route);
  ++shard.total_attempts;
  ++shard.attempts;
  ++progress.attempts;
  progress.extra_attempts += is_extra ? 1 : 0;
  progress.remote_attempts += leaf->data_centre == this->options.tracker.data_centre ? 0 : 1;
  if (!shard.first_send_counted) {
    shard.first_send_counted = true;
    if (!progress.call.may_have_been_sent) {
      this->budget.RecordFirstAttempt(shard.service, this->SenderCount(progress), now);
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
                               .connection_limit = this->ConnectionLimit(progress, *leaf)});
  return true;
}

std::size_t Coordinator::ConnectionLimit(const Progress& progress, const LeafEntry& leaf) const {
  const auto found = progress.table->services.find(leaf.service);
  if (found == progress.table->services.end() || found->second.connection_limit == 0) {
    return leaf.slots;
  }
  const double share = found->second.connection_limit * this->options.connection_share /
                       static_cast<double>(this->SenderCount(progress));
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

std::size_t Coordinator::MinShards(const Progress& progress) {
  if (!progress.route->fan_out()) {
    return 1;
  }
  constexpr double kRounding = 1e-9;
  return static_cast<std::size_t>(std::ceil(
      progress.route->min_coverage * static_cast<double>(progress.shards.size()) - kRounding));
}

Duration Coordinator::HedgeDelay(const Route& route) {
  const auto share = [](Duration duration, double factor) {
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
  };
  const double loaded =
      std::min(1.0, this->leaf_tracker.load() / this->options.hedge_full_delay_load);
  const double factor =
      this->options.hedge_delay_factor_idle +
      loaded * (this->options.hedge_delay_factor - this->options.hedge_delay_factor_idle);
  return std::clamp(share(this->TypicalLatency(route), factor),
                    share(route.objective, this->options.hedge_delay_min_share),
                    share(route.objective, this->options.hedge_delay_max_share));
}

Duration Coordinator::TypicalLatency(const Route& route) {
  return this->LatencyOf(route).GetQuantile(
      0.5, Duration(static_cast<Duration::rep>(this->options.initial_latency_share *
                                               static_cast<double>(route.objective.count()))));
}

RecentLatency& Coordinator::LatencyOf(const Route& route) {
  return this->latencies[route.name];
}

void Coordinator::AddEvent(Progress& progress,
                           TimePoint now,
                           std::string_view event,
                           const Shard& shard,
                           const LeafId& leaf,
                           std::string detail) {
  if (progress.events.size() < kEventLimit) {
    progress.events.push_back({.elapsed = now - progress.arrived,
                               .event = event,
                               .service = shard.service.value,
                               .leaf = leaf.value,
                               .detail = std::move(detail)});
  }
}

void Coordinator::AddEventOnce(Progress& progress,
                               TimePoint now,
                               std::string_view event,
                               Shard& shard,
                               const LeafId& leaf) {
  if (shard.last_obstacle != event) {
    shard.last_obstacle = event;
    AddEvent(progress, now, event, shard, leaf);
  }
}

std::vector<CallSummary> Coordinator::TakeSummaries() {
  return std::exchange(this->summaries, {});
}

}  // namespace ibishold
