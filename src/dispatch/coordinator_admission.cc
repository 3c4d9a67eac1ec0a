#include <algorithm>
#include <cmath>

#include "ibishold/dispatch.h"

namespace ibishold {

// Finds the route and the shards of the call. Ends the call and returns true if there is no route
// table or no matching route, if the call crashes leaves, if too few shards have a leaf that this
// VM may send to, or if the tenant has its share of a service without free capacity.
bool Coordinator::RouteOrRefuse(CallId id,
                                CallProgress& progress,
                                TimePoint now,
                                Actions& actions) {
  if (progress.route_table == nullptr) {
    this->Finish(id, progress,
                 this->BuildRefusal(progress, AnswerReason::kNoConfiguration,
                                    this->options.retry_after_no_configuration),
                 now, actions);
    return true;
  }
  progress.route = progress.route_table->Find(progress.call.host, progress.call.path);
  if (progress.route == nullptr) {
    this->Finish(id, progress, {.kind = AnswerKind::kNoRoute, .reason = AnswerReason::kNoRoute},
                 now, actions);
    return true;
  }
  if (const Duration refusal_time_left =
          this->call_crash_guard.GetRefusalTimeLeft(progress.call.fingerprint, now);
      refusal_time_left > Duration::zero()) {
    this->Finish(id, progress,
                 this->BuildRefusal(progress, AnswerReason::kCrashesLeaves, refusal_time_left), now,
                 actions);
    return true;
  }
  const Route& route = *progress.route;
  if (!this->HasTimeBeforeStop(route, now)) {
    this->Finish(
        id, progress,
        this->BuildRefusal(progress, AnswerReason::kStopping, this->options.retry_after_stopping),
        now, actions);
    return true;
  }
  this->AssignShards(progress);
  const int urgency = ComputeUrgency(progress, false);
  std::size_t servable_shards = 0;
  std::size_t shards_within_limits = 0;
  Duration longest_block{};
  for (const Shard& shard : progress.shards) {
    const Duration block_time_left =
        this->call_crash_guard.GetBlockTimeLeft(progress.call.fingerprint, shard.service_hash, now);
    longest_block = std::max(longest_block, block_time_left);
    const std::vector<const LeafEntry*> candidates = this->FindCandidates(shard, now);
    if (block_time_left > Duration::zero() || candidates.empty()) {
      continue;
    }
    ++servable_shards;
    shards_within_limits += this->IsWithinLimits(candidates, urgency, now) ? 1 : 0;
  }
  const std::size_t needed_shards = std::max<std::size_t>(1, CountRequiredShards(progress));
  if (shards_within_limits >= needed_shards) {
    return this->RefuseForFairShare(id, progress, now, actions);
  }
  if (servable_shards >= needed_shards) {
    this->RefuseForLimits(id, progress, now, actions);
    return true;
  }
  if (longest_block > Duration::zero()) {
    this->Finish(id, progress,
                 this->BuildRefusal(progress, AnswerReason::kCrashesLeaves, longest_block), now,
                 actions);
    return true;
  }
  this->Finish(id, progress,
               this->BuildRefusal(progress, AnswerReason::kNoLeaf,
                                  this->FindTimeUntilServable(progress, now).duration),
               now, actions);
  return true;
}

void Coordinator::AssignShards(CallProgress& progress) {
  const Route& route = *progress.route;
  if (route.fan_out()) {
    progress.shards.resize(route.shards.size());
    for (std::size_t i = 0; i < route.shards.size(); ++i) {
      progress.shards[i].service = route.shards[i];
    }
  } else {
    WeightedRoundRobin& target_picker =
        this->target_pickers.try_emplace(route.name, this->random.Next()).first->second;
    progress.shards.resize(1);
    progress.shards[0].service = route.targets[target_picker.Pick(route.targets)].service;
  }
  for (Shard& shard : progress.shards) {
    shard.service_hash = StableHash(shard.service.value);
  }
}

// Refuses the call before anything is sent, so that it uses no part of the limits.
void Coordinator::RefuseForLimits(CallId id,
                                  CallProgress& progress,
                                  TimePoint now,
                                  Actions& actions) {
  const int urgency = ComputeUrgency(progress, false);
  for (const Shard& shard : progress.shards) {
    const std::vector<const LeafEntry*> candidates = this->FindCandidates(shard, now);
    if (this->IsWithinLimits(candidates, urgency, now)) {
      continue;
    }
    for (const LeafEntry* leaf : candidates) {
      this->leaf_limits.RecordDenial(HashLeafRun(leaf->id, leaf->started), urgency, now);
    }
  }
  const LeafWait wait = this->FindTimeUntilServable(progress, now);
  if (wait.limited_leaf) {
    this->leaf_limits.ReserveReturn(*wait.limited_leaf, now);
  }
  this->Finish(id, progress, this->BuildRefusal(progress, AnswerReason::kLeafLimit, wait.duration),
               now, actions);
}

bool Coordinator::RefuseForFairShare(CallId id,
                                     CallProgress& progress,
                                     TimePoint now,
                                     Actions& actions) {
  if (progress.call.tenant == 0 && !progress.route_table->tenants.required()) {
    return false;
  }
  // The first shard stands for all shards of a fan-out call, which use the same capacity.
  const ServiceKey service = progress.shards.front().service_hash;
  if (this->tenant_shares.TryBegin(service, progress.call.tenant, now)) {
    progress.shared_service = service;
    return false;
  }
  // Most of the calls that the tenant has in progress now have ended by then.
  const Duration retry_after = std::max(this->options.retry_after_fair_share,
                                        2 * this->EstimateTypicalLatency(*progress.route));
  this->Finish(id, progress, this->BuildRefusal(progress, AnswerReason::kFairShare, retry_after),
               now, actions);
  return true;
}

bool Coordinator::IsWithinLimits(const std::vector<const LeafEntry*>& leaves,
                                 int urgency,
                                 TimePoint now) {
  if (this->leaf_limits.empty()) {
    return !leaves.empty();
  }
  return std::any_of(leaves.begin(), leaves.end(), [&](const LeafEntry* leaf) {
    return this->leaf_limits.CanSend(HashLeafRun(leaf->id, leaf->started), urgency, now);
  });
}

bool Coordinator::LacksLimitShare(const Route& route, TimePoint now) {
  if (this->leaf_limits.empty()) {
    return false;
  }
  return std::any_of(route.targets.begin(), route.targets.end(), [&](const RouteTarget& target) {
    const auto leaves = this->FindCandidates({.service = target.service}, now);
    return !leaves.empty() &&
           std::none_of(leaves.begin(), leaves.end(), [&](const LeafEntry* leaf) {
             return this->leaf_limits.HasShare(HashLeafRun(leaf->id, leaf->started), now);
           });
  });
}

int Coordinator::ComputeUrgency(const CallProgress& progress, bool is_hedge) {
  return 2 * progress.call.priority.value_or(progress.route->priority) + (is_hedge ? 1 : 0);
}

bool Coordinator::HasTimeBeforeStop(const Route& route, TimePoint now) {
  if (this->stop_ends_at == TimePoint::max()) {
    return true;
  }
  const auto usual_time = Duration(
      static_cast<Duration::rep>(this->options.stop_latency_factor *
                                 static_cast<double>(this->EstimateTypicalLatency(route).count())));
  return now + std::min(route.objective, usual_time) < this->stop_ends_at;
}

std::optional<TimePoint> Coordinator::FindEarliestBackoffEnd(const Shard& shard,
                                                             TimePoint now) const {
  std::optional<TimePoint> earliest;
  for (const LeafEntry* leaf : this->directory.UsableLeaves(shard.service)) {
    const auto backoff_end = this->leaf_notices.GetBackoffEnd(*leaf, now);
    if (backoff_end && !this->leaf_notices.IsLeaving(*leaf) &&
        !this->leaf_tracker.IsMisplaced(*leaf)) {
      earliest = std::min(earliest.value_or(*backoff_end), *backoff_end);
    }
  }
  return earliest;
}

Coordinator::LeafWait Coordinator::FindShortestWait(const Shard& shard,
                                                    int urgency,
                                                    TimePoint now) {
  std::optional<LeafWait> shortest;
  for (const LeafEntry* leaf : this->directory.UsableLeaves(shard.service)) {
    if (this->leaf_tracker.IsMisplaced(*leaf) || this->leaf_notices.IsLeaving(*leaf)) {
      continue;
    }
    const LeafRun run = HashLeafRun(leaf->id, leaf->started);
    LeafWait wait = {.duration = this->leaf_limits.GetReturnWait(run, urgency, now)};
    if (wait.duration > Duration::zero()) {
      wait.limited_leaf = run;
    }
    if (const auto backoff_end = this->leaf_notices.GetBackoffEnd(*leaf, now)) {
      wait.duration = std::max(wait.duration, *backoff_end - now);
    }
    if (!shortest || wait.duration < shortest->duration) {
      shortest = wait;
    }
  }
  return shortest.value_or(LeafWait{.duration = this->options.retry_after_no_leaf});
}

Coordinator::LeafWait Coordinator::FindTimeUntilServable(const CallProgress& progress,
                                                         TimePoint now) {
  const int urgency = ComputeUrgency(progress, false);
  std::vector<LeafWait> waits;
  for (const Shard& shard : progress.shards) {
    waits.push_back(this->FindShortestWait(shard, urgency, now));
  }
  const auto last_needed =
      waits.begin() +
      static_cast<std::ptrdiff_t>(
          std::clamp<std::size_t>(CountRequiredShards(progress), 1, waits.size()) - 1);
  std::nth_element(waits.begin(), last_needed, waits.end(),
                   [](const auto& a, const auto& b) { return a.duration < b.duration; });
  return *last_needed;
}

std::vector<const LeafEntry*> Coordinator::FindCandidates(const Shard& shard, TimePoint now) const {
  std::vector<const LeafEntry*> candidates = this->directory.UsableLeaves(shard.service);
  std::erase_if(candidates, [&](const LeafEntry* leaf) {
    return this->leaf_tracker.IsMisplaced(*leaf) ||
           this->leaf_notices.RefusesRequests(*leaf, now) ||
           std::find(shard.tried_leaves.begin(), shard.tried_leaves.end(), leaf->id) !=
               shard.tried_leaves.end();
  });
  return candidates;
}

std::size_t Coordinator::CountRequiredShards(const CallProgress& progress) {
  if (!progress.route->fan_out()) {
    return 1;
  }
  constexpr double kRoundingTolerance = 1e-9;
  return static_cast<std::size_t>(
      std::ceil(progress.route->min_coverage * static_cast<double>(progress.shards.size()) -
                kRoundingTolerance));
}

}  // namespace ibishold
