#ifndef IBISHOLD_BROKER_LEAF_MANAGER_H_
#define IBISHOLD_BROKER_LEAF_MANAGER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "broker/leaf_dispatcher.h"
#include "broker/messages.h"
#include "ibishold/broker.h"
#include "ibishold/leaf.h"
#include "ibishold/ownership.h"
#include "ibishold/quarantine.h"

namespace ibishold {

// Runs work at all leaves of which this VM owns slots: one LeafDispatcher and its connections for
// each leaf. All functions but StateJson must be called on the thread of the io_context.
class LeafManager {
 public:
  // Returns false, and leaves the message unchanged, if the ring to the link thread is full.
  using PushToLinkThread = std::function<bool(LinkThreadMessage&&)>;

  LeafManager(boost::asio::io_context& context,
              const BrokerOptions& options,
              PushToLinkThread push);

  void Start();
  void OnLinkMessage(LeafThreadMessage message);  // from the link thread
  void OnView(const PlannedView& new_view);       // from the control thread
  // Begins a planned stop. `on_slots_released` runs when the slots have been released, `on_stopped`
  // when no work is in flight or the stop_limit has passed.
  void BeginStop(std::function<void()> on_slots_released, std::function<void()> on_stopped);
  void Close();

  std::string StateJson() const;  // any thread

 private:
  struct LeafEntry {
    std::unique_ptr<LeafDispatcher> dispatcher;
    std::map<std::uint64_t, std::shared_ptr<LeafConnection>> connections;
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t total_slots = 0;
    TimePoint level_sent_at{};  // last level message to the other owner
  };

  // Updates the slots of the leaf, calls `handler` with its dispatcher and the time, and carries
  // out the actions that result.
  template <typename Handler>
  void HandleEvent(LeafEntry& entry, const Handler& handler) {
    const TimePoint now = BootClock::now();
    entry.dispatcher->SetShare(this->ComputeWarmUpShare(entry, now));
    entry.dispatcher->SetUsableSlots(this->UpdateUsableSlots(entry, now), now);
    handler(*entry.dispatcher, now);
    this->PerformActions(entry, now);
  }
  void PerformActions(LeafEntry& entry, TimePoint now);
  void PerformAction(LeafEntry& entry, LeafAction& action);
  void ConnectToLeaf(LeafEntry& entry, std::uint64_t id);
  void SendToLinkThread(LinkThreadMessage message);
  void FlushBacklog();
  std::uint32_t UpdateUsableSlots(const LeafEntry& entry, TimePoint now);
  WarmUpShare ComputeWarmUpShare(const LeafEntry& entry, TimePoint now) const;
  void OnWork(LeafWork work);
  void OnCancel(const CancelWork& cancel);

  // Defined in leaf_manager_peers.cc.
  void OnPeerLevel(const PeerLeafLevel& level);
  void SendLevelToOwners(LeafEntry& entry, TimePoint now);
  void HandOverSlots(const LeafEntry& entry);
  void OnCrash(const LeafCrash& crash);
  void OnPeerQuarantine(const PeerQuarantine& quarantined);
  void RefuseQuarantined(std::uint64_t fingerprint, TimePoint now);
  void PublishQuarantine(TimePoint now);
  void RemoveUnusedLeaves();

  LeafEntry* FindLeaf(const LeafId& leaf);
  void ApplyLeafConfig(const Leaf& leaf,
                       const Service& service,
                       const ControlView& view,
                       TimePoint now);

  void ScheduleTick();
  void Tick();
  void ContinueStop(TimePoint now);
  void PublishState();
  void PublishCounters();
  void RecordLatency(const AnswerWork& answer);

  boost::asio::io_context& context;
  const BrokerOptions& options;
  PushToLinkThread push_to_link_thread;
  boost::asio::steady_timer tick_timer;
  std::unordered_map<std::string, std::unique_ptr<LeafEntry>> entries;
  std::deque<LinkThreadMessage> backlog;  // did not fit into the ring to the link thread
  DispatchCounters counters;
  DispatchCounters published_counters;
  PlannedView latest_view;
  SlotHolder slot_holder;
  Quarantine quarantine;
  bool quarantine_changed = false;
  bool stopping = false;
  std::function<void()> on_slots_released;
  std::function<void()> on_stopped;
  TimePoint stop_deadline{};
  TimePoint release_slots_at{};
  std::optional<TimePoint> slots_released_at;  // set once the slots were released
  TimePoint state_published_at{};
  mutable std::mutex state_mutex;
  std::string state_json = "{}";
};

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_LEAF_MANAGER_H_
