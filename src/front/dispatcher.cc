#include "front/dispatcher.h"

#include <algorithm>

namespace ibishold {

namespace {

// Number of former placements in use. A rolling restart can change the placement several times
// during one hand-over.
constexpr std::size_t kFormerPlacements = 4;

}  // namespace

Dispatcher::Dispatcher(const FrontOptions& options)
    : tracker(options.snapshot),
      latency(options.latency),
      shares(options.shares),
      admission(options.admission, options.seed),
      options(options),
      chooser(options.seed) {}

void Dispatcher::SetView(ControlViewPtr view, TimePoint now) {
  const ControlViewPtr before = std::exchange(this->current_view, std::move(view));
  const ControlViewPtr& next = this->current_view;
  if (next->topology && (!before || before->topology != next->topology)) {
    this->tracker.SetTopology(next->topology, now);
    this->RetirePlacement(now);
  }
  if (!before || before->vms != next->vms) {
    this->RetirePlacement(now);
  }
  if (!before || before->table != next->table) {
    this->shares.SetTable(next->table, now);
  }
  std::erase_if(this->failed_until, [now](const auto& item) { return item.second <= now; });
  std::erase_if(this->declined_until, [now](const auto& item) { return item.second <= now; });
}

LeafFilter Dispatcher::UsableLeaves(const ServiceName& service, TimePoint now) const {
  return [this, service, now](const Leaf& leaf) {
    return this->shares.WeightOf(service, leaf.data_centre, now) > 0;
  };
}

std::optional<ReplicaRoute> Dispatcher::Choose(const Service& service,
                                               const std::vector<const Leaf*>& leaves,
                                               const std::vector<RouteKey>& avoid,
                                               TimePoint now) {
  std::vector<ReplicaRoute> routes;
  std::vector<ReplicaRoute> declining;
  const auto add = [&](const Leaf& leaf, const std::vector<SlotOwner>& from) {
    const double weight = this->shares.WeightOf(service.name, leaf.data_centre, now);
    for (const SlotOwner& owner : from) {
      const bool avoided = std::any_of(avoid.begin(), avoid.end(), [&](const RouteKey& key) {
        return key.first == leaf.id && key.second == owner.vm;
      });
      if (weight > 0 && !avoided && this->Reachable(owner.vm, now)) {
        const ReplicaRoute route{
            .leaf = &leaf, .owner = owner.vm, .slots = owner.slots, .weight = weight};
        (this->Declines(leaf.id, owner.vm, now) ? declining : routes).push_back(route);
      }
    }
  };
  for (const Leaf* leaf : leaves) {
    add(*leaf, this->OwnersOf(*leaf, service.slots));
  }
  if (routes.empty()) {
    // A former owner serves its slots until the hand-over to the new owner.
    for (const Leaf* leaf : leaves) {
      add(*leaf, this->FormerOwnersOf(leaf->id, now));
    }
  }
  if (routes.empty()) {
    routes = std::move(declining);
  }
  const std::optional<std::size_t> chosen = this->chooser.Choose(routes, this->latency);
  return chosen ? std::optional(routes[*chosen]) : std::nullopt;
}

std::uint64_t Dispatcher::Start(const BatchHeader& header,
                                std::size_t shard,
                                LeafCall call,
                                const ReplicaRoute& route,
                                TimePoint now) {
  SendBatch& batch = this->open_batches[route.owner];
  if (batch.batch == 0) {
    batch.broker = route.owner;
    batch.batch = this->NextId();
  }
  const std::uint64_t id = this->NextId();
  call.attempt = id;
  call.leaf = route.leaf->id;
  this->attempts[id] = {.id = id,
                        .batch = batch.batch,
                        .request = header.request,
                        .epoch = header.epoch,
                        .shard = shard,
                        .leaf = route.leaf->id,
                        .broker = route.owner,
                        .sent_at = now,
                        .hedge = call.hedge};
  batch.calls.push_back(std::move(call));
  ++this->wanted_in_batch[batch.batch];
  this->chooser.RecordStart(route.leaf->id, route.owner);
  this->timers.Add({.at = header.deadline + this->options.attempt_memory,
                    .kind = TimerKind::kAttempt,
                    .id = id});
  ++this->counters.leaf_attempts;
  return id;
}

void Dispatcher::Flush(const BatchHeader& header) {
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
    this->Act(std::move(batch));
  }
  this->open_batches.clear();
}

void Dispatcher::Cancel(std::span<const std::uint64_t> ids) {
  std::map<std::uint64_t, SendCancel> by_batch;
  for (const std::uint64_t id : ids) {
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end() || found->second.cancelled) {
      continue;
    }
    Attempt& attempt = found->second;
    attempt.cancelled = true;
    this->NotWanted(attempt.batch);
    SendCancel& cancel = by_batch[attempt.batch];
    cancel.broker = attempt.broker;
    cancel.batch = attempt.batch;
    cancel.attempts.push_back(id);
    ++this->counters.cancels;
  }
  for (auto& [batch, cancel] : by_batch) {
    // The link may drop the frame only if all its attempts are cancelled or answered.
    cancel.whole_batch = !this->wanted_in_batch.contains(batch);
    this->Act(std::move(cancel));
  }
}

std::optional<Attempt> Dispatcher::Take(std::uint64_t id) {
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    return std::nullopt;
  }
  Attempt attempt = std::move(found->second);
  this->attempts.erase(found);
  if (!attempt.cancelled) {
    this->NotWanted(attempt.batch);
  }
  this->chooser.RecordEnd(attempt.leaf, attempt.broker);
  return attempt;
}

void Dispatcher::NotWanted(std::uint64_t batch) {
  const auto found = this->wanted_in_batch.find(batch);
  if (found != this->wanted_in_batch.end() && --found->second == 0) {
    this->wanted_in_batch.erase(found);
  }
}

const Attempt* Dispatcher::Find(std::uint64_t id) const {
  const auto found = this->attempts.find(id);
  return found == this->attempts.end() ? nullptr : &found->second;
}

std::vector<std::uint64_t> Dispatcher::AttemptsAt(const VmId& broker) const {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, attempt] : this->attempts) {
    if (attempt.broker == broker) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void Dispatcher::BrokerFailed(const VmId& broker, TimePoint now) {
  this->failed_until[broker.value] = now + this->options.broker_backoff;
}

const TableRow& Dispatcher::LimitsOf(const ServiceName& service) const {
  return this->shares.RowOf(service, this->options.data_centre);
}

const std::vector<SlotOwner>& Dispatcher::OwnersOf(const Leaf& leaf, std::uint32_t slots) {
  static const std::vector<SlotOwner> kNone;
  if (!this->current_view || !this->current_view->vms) {
    return kNone;
  }
  const auto [entry, added] = this->owners.try_emplace(leaf.id.value);
  if (added) {
    entry->second = PlaceLeaf(leaf, slots, *this->current_view->vms);
  }
  return entry->second;
}

std::vector<SlotOwner> Dispatcher::FormerOwnersOf(const LeafId& leaf, TimePoint now) const {
  std::vector<SlotOwner> result;
  const auto current = this->owners.find(leaf.value);
  for (const FormerPlacement& placement : this->former) {
    const auto found = placement.owners.find(leaf.value);
    if (placement.until <= now || found == placement.owners.end()) {
      continue;
    }
    for (const SlotOwner& owner : found->second) {
      const auto same = [&owner](const SlotOwner& other) { return other.vm == owner.vm; };
      const bool owns = current != this->owners.end() &&
                        std::any_of(current->second.begin(), current->second.end(), same);
      if (!owns && std::none_of(result.begin(), result.end(), same)) {
        result.push_back(owner);
      }
    }
  }
  return result;
}

void Dispatcher::RetirePlacement(TimePoint now) {
  if (!this->owners.empty()) {
    this->former.push_front({.owners = std::exchange(this->owners, {}),
                             .until = now + this->options.former_owner_memory});
  }
  while (!this->former.empty() &&
         (this->former.size() > kFormerPlacements || this->former.back().until <= now)) {
    this->former.pop_back();
  }
}

void Dispatcher::Declined(const LeafId& leaf, const VmId& broker, TimePoint now) {
  this->declined_until[{leaf, broker}] = now + this->options.decline_memory;
}

bool Dispatcher::Declines(const LeafId& leaf, const VmId& broker, TimePoint now) const {
  const auto found = this->declined_until.find({leaf, broker});
  return found != this->declined_until.end() && found->second > now;
}

bool Dispatcher::Reachable(const VmId& broker, TimePoint now) const {
  const auto failed = this->failed_until.find(broker.value);
  return (failed == this->failed_until.end() || failed->second <= now) &&
         !this->current_view->lost_vms.contains(broker);
}

}  // namespace ibishold
