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

// A leaf request that was handed to a broker and has not been answered.
struct Attempt {
  std::uint64_t id = 0;
  std::uint64_t batch = 0;
  std::uint64_t request = 0;
  std::uint32_t epoch = 0;  // plan of the request that it belongs to
  std::size_t shard = 0;
  LeafId leaf;
  VmId broker;
  TimePoint sent_at{};
  bool hedge = false;
  bool cancelled = false;
};

// One way to a leaf that was tried without the request running there.
using RouteKey = std::pair<LeafId, VmId>;

// What the attempts of one request have in common.
struct BatchHeader {
  std::uint64_t request = 0;
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

// Knows the documents, chooses routes, and keeps the attempts that are out.
class Dispatcher {
 public:
  explicit Dispatcher(const FrontOptions& options);

  void SetView(ControlViewPtr view, TimePoint now);

  // Leaves of data centres that take work.
  LeafFilter UsableLeaves(const ServiceName& service, TimePoint now) const;

  // A route to one of the leaves, except those in `avoid` and those through owners that are lost
  // or whose link has just failed.
  std::optional<ReplicaRoute> Choose(const Service& service,
                                     const std::vector<const Leaf*>& leaves,
                                     const std::vector<RouteKey>& avoid,
                                     TimePoint now);

  // Adds an attempt to the open batch of the route's broker; Flush hands the batches over. The call
  // needs no attempt and leaf yet.
  std::uint64_t Start(const BatchHeader& header,
                      std::size_t shard,
                      LeafCall call,
                      const ReplicaRoute& route,
                      TimePoint now);
  void Flush(const BatchHeader& header);

  // Asks the brokers to give up the attempts. They stay known until a result arrives.
  void Cancel(std::span<const std::uint64_t> attempts);

  // Removes the attempt; nothing if it is unknown, which means that the reply is late.
  std::optional<Attempt> Take(std::uint64_t attempt);
  const Attempt* Find(std::uint64_t attempt) const;
  std::vector<std::uint64_t> AttemptsAt(const VmId& broker) const;
  std::size_t attempt_count() const { return this->attempts.size(); }

  // The broker said that it may not use slots of the leaf now; its other owner is asked first for a
  // while, which saves a round trip for each query while a leaf warms up at its primary.
  void Declined(const LeafId& leaf, const VmId& broker, TimePoint now);
  void BrokerFailed(const VmId& broker, TimePoint now);

  void Act(FrontAction action) { this->actions.push_back(std::move(action)); }
  std::vector<FrontAction> TakeActions() { return std::exchange(this->actions, {}); }

  const TableRow& LimitsOf(const ServiceName& service) const;
  const ControlViewPtr& view() const { return this->current_view; }
  std::uint64_t NextId() { return ++this->last_id; }

  SnapshotTracker tracker;
  LatencyTracker latency;
  TrafficShares shares;
  Admission admission;
  TimerQueue timers;
  FrontCounters counters;

 private:
  using Placement = std::unordered_map<std::string, std::vector<SlotOwner>>;  // by leaf
  struct FormerPlacement {
    Placement owners;
    TimePoint until{};
  };

  const std::vector<SlotOwner>& OwnersOf(const Leaf& leaf, std::uint32_t slots);
  std::vector<SlotOwner> FormerOwnersOf(const LeafId& leaf, TimePoint now) const;
  void RetirePlacement(TimePoint now);
  void NotWanted(std::uint64_t batch);
  bool Declines(const LeafId& leaf, const VmId& broker, TimePoint now) const;
  bool Reachable(const VmId& broker, TimePoint now) const;

  FrontOptions options;
  ControlViewPtr current_view;
  ReplicaChooser chooser;
  // Owners are computed on first use: placing all leaves of the growth target over 1,100 VMs at
  // once would stall requests for some 200 ms after each change of the VM list.
  Placement owners;
  std::deque<FormerPlacement> former;                       // newest first
  std::unordered_map<std::string, TimePoint> failed_until;  // by broker
  std::map<RouteKey, TimePoint> declined_until;
  std::unordered_map<std::uint64_t, Attempt> attempts;
  std::unordered_map<std::uint64_t, std::uint32_t> wanted_in_batch;  // attempts not given up
  std::map<VmId, SendBatch> open_batches;
  std::vector<FrontAction> actions;
  std::uint64_t last_id = 0;
};

}  // namespace ibishold

#endif  // SRC_FRONT_DISPATCHER_H_
