#include "front/dispatcher.h"

#include <algorithm>

namespace ibishold {

namespace {

// Maximum number of former placements that are kept. A rolling restart can change the placement
// several times during one hand-over.
constexpr std::size_t kMaxFormerPlacements = 4;

}  // namespace

Dispatcher::Dispatcher(const FrontOptions& options)
    : snapshot_tracker(options.snapshot),
      latency_tracker(options.latency),
      traffic_shares(options.shares),
      admission(options.admission, options.seed),
      options(options),
      chooser(options.seed) {}

void Dispatcher::SetView(ControlViewPtr view, TimePoint now) {
  const ControlViewPtr previous_view = std::exchange(this->current_view, std::move(view));
  const ControlViewPtr& new_view = this->current_view;
  if (new_view->topology && (!previous_view || previous_view->topology != new_view->topology)) {
    this->snapshot_tracker.SetTopology(new_view->topology, now);
    this->RetirePlacement(now);
  }
  if (!previous_view || previous_view->vms != new_view->vms) {
    this->RetirePlacement(now);
  }
  if (!previous_view || previous_view->table != new_view->table) {
    this->traffic_shares.SetTable(new_view->table, now);
  }
  std::erase_if(this->backoff_until, [now](const auto& entry) { return entry.second <= now; });
  std::erase_if(this->declined_until, [now](const auto& entry) { return entry.second <= now; });
}

LeafFilter Dispatcher::MakeLeafFilter(const ServiceName& service, TimePoint now) const {
  return [this, service, now](const Leaf& leaf) {
    return this->traffic_shares.GetWeight(service, leaf.data_centre, now) > 0;
  };
}

std::optional<ReplicaRoute> Dispatcher::ChooseRoute(const Service& service,
                                                    const std::vector<const Leaf*>& leaves,
                                                    const std::vector<RouteKey>& avoided_routes,
                                                    TimePoint now) {
  std::vector<ReplicaRoute> routes;
  std::vector<ReplicaRoute> declining_routes;
  const auto add_routes = [&](const Leaf& leaf, const std::vector<SlotOwner>& owners) {
    const double weight = this->traffic_shares.GetWeight(service.name, leaf.data_centre, now);
    for (const SlotOwner& owner : owners) {
      const bool is_avoided = std::any_of(
          avoided_routes.begin(), avoided_routes.end(),
          [&](const RouteKey& key) { return key.first == leaf.id && key.second == owner.vm; });
      if (weight > 0 && !is_avoided && this->IsReachable(owner.vm, now)) {
        const ReplicaRoute route{
            .leaf = &leaf, .owner = owner.vm, .slots = owner.slots, .weight = weight};
        (this->IsDeclining(leaf.id, owner.vm, now) ? declining_routes : routes).push_back(route);
      }
    }
  };
  for (const Leaf* leaf : leaves) {
    add_routes(*leaf, this->GetOwners(*leaf, service.slots));
  }
  if (routes.empty()) {
    // A former owner serves its slots until the hand-over to the new owner.
    for (const Leaf* leaf : leaves) {
      add_routes(*leaf, this->GetFormerOwners(leaf->id, now));
    }
  }
  if (routes.empty()) {
    routes = std::move(declining_routes);
  }
  const std::optional<std::size_t> route_index =
      this->chooser.Choose(routes, this->latency_tracker);
  return route_index ? std::optional(routes[*route_index]) : std::nullopt;
}

std::uint64_t Dispatcher::StartAttempt(const BatchHeader& header,
                                       std::size_t shard_index,
                                       LeafCall call,
                                       const ReplicaRoute& route,
                                       TimePoint now) {
  SendBatch& batch = this->open_batches[route.owner];
  if (batch.batch_id == 0) {
    batch.broker = route.owner;
    batch.batch_id = this->AllocateId();
  }
  const std::uint64_t id = this->AllocateId();
  call.attempt_id = id;
  call.leaf = route.leaf->id;
  this->attempts[id] = {.id = id,
                        .batch_id = batch.batch_id,
                        .local_request_id = header.local_request_id,
                        .epoch = header.epoch,
                        .shard_index = shard_index,
                        .leaf = route.leaf->id,
                        .broker = route.owner,
                        .sent_at = now,
                        .hedge = call.hedge};
  batch.calls.push_back(std::move(call));
  ++this->active_attempt_counts[batch.batch_id];
  this->chooser.RecordStart(route.leaf->id, route.owner);
  this->timers.Add({.due_at = header.deadline + this->options.attempt_retention,
                    .kind = TimerKind::kAttemptExpiry,
                    .id = id});
  ++this->counters.leaf_attempts;
  return id;
}

void Dispatcher::QueueBatches(const BatchHeader& header) {
  for (auto& [broker, batch] : this->open_batches) {
    batch.kind = header.kind;
    batch.request_id = header.request_id;
    batch.service = header.service;
    batch.tenant = header.tenant;
    batch.request_class = header.request_class;
    batch.deadline = header.deadline;
    batch.snapshot = header.snapshot;
    batch.fingerprint = header.fingerprint;
    batch.body = header.body;
    this->AddAction(std::move(batch));
  }
  this->open_batches.clear();
}

void Dispatcher::CancelAttempts(std::span<const std::uint64_t> attempt_ids) {
  std::map<std::uint64_t, SendCancel> cancel_by_batch;
  for (const std::uint64_t id : attempt_ids) {
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end() || found->second.cancelled) {
      continue;
    }
    Attempt& attempt = found->second;
    attempt.cancelled = true;
    this->DecrementActiveAttempts(attempt.batch_id);
    SendCancel& cancel = cancel_by_batch[attempt.batch_id];
    cancel.broker = attempt.broker;
    cancel.batch_id = attempt.batch_id;
    cancel.attempt_ids.push_back(id);
    ++this->counters.cancels;
  }
  for (auto& [batch_id, cancel] : cancel_by_batch) {
    // The link may drop the frame only if all its attempts are cancelled or answered.
    cancel.may_drop_frame = !this->active_attempt_counts.contains(batch_id);
    this->AddAction(std::move(cancel));
  }
}

std::optional<Attempt> Dispatcher::TakeAttempt(std::uint64_t id) {
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    return std::nullopt;
  }
  Attempt attempt = std::move(found->second);
  this->attempts.erase(found);
  if (!attempt.cancelled) {
    this->DecrementActiveAttempts(attempt.batch_id);
  }
  this->chooser.RecordEnd(attempt.leaf, attempt.broker);
  return attempt;
}

void Dispatcher::DecrementActiveAttempts(std::uint64_t batch_id) {
  const auto found = this->active_attempt_counts.find(batch_id);
  if (found != this->active_attempt_counts.end() && --found->second == 0) {
    this->active_attempt_counts.erase(found);
  }
}

const Attempt* Dispatcher::FindAttempt(std::uint64_t id) const {
  const auto found = this->attempts.find(id);
  return found == this->attempts.end() ? nullptr : &found->second;
}

std::vector<std::uint64_t> Dispatcher::ListAttempts(const VmId& broker) const {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, attempt] : this->attempts) {
    if (attempt.broker == broker) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void Dispatcher::RecordBrokerFailure(const VmId& broker, TimePoint now) {
  this->backoff_until[broker.value] = now + this->options.broker_backoff;
}

const TableRow& Dispatcher::GetLimits(const ServiceName& service) const {
  return this->traffic_shares.GetRow(service, this->options.data_centre);
}

const std::vector<SlotOwner>& Dispatcher::GetOwners(const Leaf& leaf, std::uint32_t slots) {
  static const std::vector<SlotOwner> kNoOwners;
  if (!this->current_view || !this->current_view->vms) {
    return kNoOwners;
  }
  const auto [entry, is_new] = this->owners_by_leaf.try_emplace(leaf.id.value);
  if (is_new) {
    entry->second = PlaceLeaf(leaf, slots, *this->current_view->vms);
  }
  return entry->second;
}

std::vector<SlotOwner> Dispatcher::GetFormerOwners(const LeafId& leaf, TimePoint now) const {
  std::vector<SlotOwner> former_owners;
  const auto current_owners = this->owners_by_leaf.find(leaf.value);
  for (const FormerPlacement& placement : this->former_placements) {
    const auto found = placement.owners_by_leaf.find(leaf.value);
    if (placement.expires_at <= now || found == placement.owners_by_leaf.end()) {
      continue;
    }
    for (const SlotOwner& owner : found->second) {
      const auto is_same_vm = [&owner](const SlotOwner& candidate) {
        return candidate.vm == owner.vm;
      };
      const bool is_current_owner =
          current_owners != this->owners_by_leaf.end() &&
          std::any_of(current_owners->second.begin(), current_owners->second.end(), is_same_vm);
      if (!is_current_owner &&
          std::none_of(former_owners.begin(), former_owners.end(), is_same_vm)) {
        former_owners.push_back(owner);
      }
    }
  }
  return former_owners;
}

void Dispatcher::RetirePlacement(TimePoint now) {
  if (!this->owners_by_leaf.empty()) {
    this->former_placements.push_front({.owners_by_leaf = std::exchange(this->owners_by_leaf, {}),
                                        .expires_at = now + this->options.former_owner_retention});
  }
  while (!this->former_placements.empty() &&
         (this->former_placements.size() > kMaxFormerPlacements ||
          this->former_placements.back().expires_at <= now)) {
    this->former_placements.pop_back();
  }
}

void Dispatcher::RecordDecline(const LeafId& leaf, const VmId& broker, TimePoint now) {
  this->declined_until[{leaf, broker}] = now + this->options.decline_retention;
}

bool Dispatcher::IsDeclining(const LeafId& leaf, const VmId& broker, TimePoint now) const {
  const auto found = this->declined_until.find({leaf, broker});
  return found != this->declined_until.end() && found->second > now;
}

bool Dispatcher::IsReachable(const VmId& broker, TimePoint now) const {
  const auto backoff = this->backoff_until.find(broker.value);
  return (backoff == this->backoff_until.end() || backoff->second <= now) &&
         !this->current_view->lost_vms.contains(broker);
}

}  // namespace ibishold
