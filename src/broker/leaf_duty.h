#ifndef IBISHOLD_BROKER_LEAF_DUTY_H_
#define IBISHOLD_BROKER_LEAF_DUTY_H_

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

// Work and connections of all leaves of which this VM owns slots. Everything runs on the thread of
// its io_context, except StateJson.
class LeafDuty {
 public:
  // Returns false if the link thread has no room; then the message was not taken.
  using PushToLink = std::function<bool(ToLink&&)>;

  LeafDuty(boost::asio::io_context& context, const BrokerOptions& options, PushToLink push);

  void Start();
  void OnLinkMessage(ToLeaf message);       // from the link thread
  void OnView(const PlannedView& planned);  // from the control thread
  // `on_left` runs when the slots have been given up, `on_stopped` when nothing is in flight.
  void BeginStop(std::function<void()> on_left, std::function<void()> on_stopped);
  void Close();

  std::string StateJson() const;  // any thread

 private:
  struct Entry {
    std::unique_ptr<LeafDispatcher> dispatcher;
    std::map<std::uint64_t, std::shared_ptr<LeafConnection>> connections;
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t total_slots = 0;
    TimePoint told_at{};  // last level message to the other owner
  };

  // Calls the event with the slots in force now and carries out what follows from it.
  template <typename Event>
  void Handle(Entry& entry, const Event& event) {
    const TimePoint now = BootClock::now();
    entry.dispatcher->SetShare(this->ShareOf(entry, now));
    entry.dispatcher->SetSlots(this->UsableSlots(entry, now), now);
    event(*entry.dispatcher, now);
    this->Perform(entry, now);
  }
  void Perform(Entry& entry, TimePoint now);
  void PerformAction(Entry& entry, LeafAction& action);
  void Open(Entry& entry, std::uint64_t id);
  void Emit(ToLink message);
  void FlushBacklog();
  std::uint32_t UsableSlots(const Entry& entry, TimePoint now);
  WarmUpShare ShareOf(const Entry& entry, TimePoint now) const;
  void OnWork(LeafWork work);
  void OnCancel(const CancelWork& cancel);

  // leaf_duty_peers.cc
  void OnPeerLevel(const PeerLevel& level);
  void TellOwners(Entry& entry, TimePoint now);
  void HandOver(const Entry& entry);
  void OnCrash(const LeafCrash& crash);
  void OnQuarantine(const PeerQuarantine& entry);
  void RefuseQuarantined(std::uint64_t fingerprint, TimePoint now);
  void SpreadQuarantine(TimePoint now);
  void RemoveUnused();

  Entry* Find(const LeafId& leaf);
  void ApplyLeaf(const Leaf& leaf, const Service& service, const ControlView& view, TimePoint now);

  void ScheduleTick();
  void Tick();
  void ContinueStop(TimePoint now);
  void PublishState();
  void PublishCounters();
  void RecordTimes(const AnswerWork& answer);

  boost::asio::io_context& context;
  const BrokerOptions& options;
  PushToLink push;
  boost::asio::steady_timer timer;
  std::unordered_map<std::string, std::unique_ptr<Entry>> entries;
  std::deque<ToLink> backlog;  // the link thread had no room
  DispatchCounters counters;
  DispatchCounters published;
  PlannedView latest;
  SlotHolder holder;
  Quarantine quarantine;
  bool suspects_changed = false;
  bool stopping = false;
  std::function<void()> on_left;
  std::function<void()> on_stopped;
  TimePoint stop_at{};
  TimePoint leave_at{};
  std::optional<TimePoint> left_at;  // slots were handed over
  TimePoint state_at{};
  mutable std::mutex state_mutex;
  std::string state_text = "{}";
};

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_LEAF_DUTY_H_
