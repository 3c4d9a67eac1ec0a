#ifndef SRC_FRONT_DISPATCHER_H_
#define SRC_FRONT_DISPATCHER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "front/timer_queue.h"
#include "ibishold/front.h"
#include "ibishold/ownership.h"

namespace ibishold {

// A leaf request that was sent to a broker and has no reply yet.
struct Attempt {
  std::uint64_t id = 0;
  std::uint64_t batch_id = 0;
  std::uint64_t local_request_id = 0;
  std::uint32_t epoch = 0;  // number of the query plan that it belongs to
  std::size_t shard_index = 0;
  LeafId leaf;
  VmId broker;
  TimePoint sent_at{};
  bool hedge = false;
  bool cancelled = false;
};

// A leaf and the broker through which it is reached.
using RouteKey = std::pair<LeafId, VmId>;

// Fields that all batches of one request share.
struct BatchHeader {
  std::uint64_t local_request_id = 0;
  std::uint32_t epoch = 0;
  RequestKind kind = RequestKind::kQuery;
  std::string request_id;
  ServiceName service;
  TenantName tenant;
  RequestClass request_class = RequestClass::kStandard;
  TimePoint deadline{};
  Snapshot snapshot;
  std::uint64_t fingerprint = 0;
  std::shared_ptr<const std::string> body;
};

// Chooses routes to leaves from the control documents, builds batches and tracks the attempts in
// flight.
class Dispatcher {
 public:
  explicit Dispatcher(const FrontOptions& options);

  void SetView(ControlViewPtr view, TimePoint now);

  // Returns a filter for leaves in data centres with a weight above 0.
  LeafFilter MakeLeafFilter(const ServiceName& service, TimePoint now) const;

  // Chooses a route to one of the leaves. Routes in `avoided_routes` and routes through lost VMs or
  // brokers in backoff are left out. Former owners and then declining owners are a fallback.
  std::optional<ReplicaRoute> ChooseRoute(const Service& service,
                                          const std::vector<const Leaf*>& leaves,
                                          const std::vector<RouteKey>& avoided_routes,
                                          TimePoint now);

  // Adds an attempt to the open batch of the route's broker and returns its ID. Sets attempt_id
  // and leaf of `call`. QueueBatches queues the open batches for sending.
  std::uint64_t StartAttempt(const BatchHeader& header,
                             std::size_t shard_index,
                             LeafCall call,
                             const ReplicaRoute& route,
                             TimePoint now);
  void QueueBatches(const BatchHeader& header);

  // Asks the brokers to cancel the attempts, which remain tracked until a result arrives or they
  // expire.
  void CancelAttempts(std::span<const std::uint64_t> attempt_ids);

  // Removes and returns the attempt; nullopt if it is unknown, which means that the reply is late.
  std::optional<Attempt> TakeAttempt(std::uint64_t attempt_id);
  const Attempt* FindAttempt(std::uint64_t attempt_id) const;
  std::vector<std::uint64_t> ListAttempts(const VmId& broker) const;
  std::size_t attempt_count() const { return this->attempts.size(); }

  // Records that the broker may not use slots of the leaf at present. The leaf's other owners are
  // preferred for decline_retention, which saves each query a round trip while the leaf warms up at
  // its primary.
  void RecordDecline(const LeafId& leaf, const VmId& broker, TimePoint now);
  void RecordBrokerFailure(const VmId& broker, TimePoint now);

  void AddAction(FrontAction action) { this->actions.push_back(std::move(action)); }
  std::vector<FrontAction> TakeActions() { return std::exchange(this->actions, {}); }

  const TableRow& GetLimits(const ServiceName& service) const;
  const ControlViewPtr& view() const { return this->current_view; }
  std::uint64_t AllocateId() { return ++this->last_id; }

  SnapshotTracker snapshot_tracker;
  LatencyTracker latency_tracker;
  TrafficShares traffic_shares;
  Admission admission;
  TimerQueue timers;
  FrontCounters counters;

 private:
  using Placement = std::unordered_map<std::string, std::vector<SlotOwner>>;  // by leaf
  struct FormerPlacement {
    Placement owners_by_leaf;
    TimePoint expires_at{};
  };

  const std::vector<SlotOwner>& GetOwners(const Leaf& leaf, std::uint32_t slots);
  std::vector<SlotOwner> GetFormerOwners(const LeafId& leaf, TimePoint now) const;
  void RetirePlacement(TimePoint now);
  void DecrementActiveAttempts(std::uint64_t batch_id);
  bool IsDeclining(const LeafId& leaf, const VmId& broker, TimePoint now) const;
  bool IsReachable(const VmId& broker, TimePoint now) const;

  FrontOptions options;
  ControlViewPtr current_view;
  ReplicaChooser chooser;
  // Owners are computed on first use. At the growth target of 1,100 VMs, placing all leaves at once
  // would block requests for about 200 ms after each change of the VM list.
  Placement owners_by_leaf;
  std::deque<FormerPlacement> former_placements;             // newest first
  std::unordered_map<std::string, TimePoint> backoff_until;  // by broker
  std::map<RouteKey, TimePoint> declined_until;
  std::unordered_map<std::uint64_t, Attempt> attempts;
  // By batch ID: number of attempts that are neither cancelled nor answered.
  std::unordered_map<std::uint64_t, std::uint32_t> active_attempt_counts;
  std::map<VmId, SendBatch> open_batches;
  std::vector<FrontAction> actions;
  std::uint64_t last_id = 0;
};

}  // namespace ibishold

#endif  // SRC_FRONT_DISPATCHER_H_
