#ifndef SRC_CONTROL_CONTROL_STATE_H_
#define SRC_CONTROL_CONTROL_STATE_H_

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "ibishold/control.h"
#include "ibishold/membership.h"
#include "ibishold/net.h"
#include "ibishold/platform.h"

namespace ibishold {

// Executes the actions that Membership returns, using sockets. All methods except the constructor
// and Bind run on the control thread; other threads only read the atomics and latest_view.
struct ControlThread::State {
  explicit State(ControlOptions initial_options);

  absl::Status Bind();
  void StartMembership();
  // Calls `operation` with the membership state and the current time, then publishes a changed
  // view, raises alarms, executes the returned actions and schedules the next tick.
  template <typename Operation>
  void RunOperation(Operation operation);

  void ReceiveDatagram();
  void Execute(const SendDatagram& action);
  void Execute(const FetchDocument& action);
  void Execute(const CallPlatform& action);
  void PublishView(TimePoint now);
  void RaiseAlarms();
  void ScheduleWake(TimePoint now);

  ControlOptions options;
  boost::asio::io_context context{1};
  boost::asio::steady_timer wake_timer;
  boost::asio::ip::udp::socket udp_socket;
  boost::asio::ip::udp::endpoint sender_endpoint;
  std::array<char, 65536> receive_buffer{};
  PlatformClient platform_client;
  Membership membership;
  LinkOptions link_options;
  std::thread thread;

  // Deflated texts of the documents in force, by hash of the uncompressed text.
  std::map<std::uint64_t, std::shared_ptr<const std::string>> deflated_texts;
  std::uint64_t reported_conflicts = 0;
  std::uint64_t reported_refusals = 0;

  mutable std::mutex view_mutex;  // protects latest_view
  ControlViewPtr latest_view = std::make_shared<ControlView>();
  std::atomic<Duration::rep> hold_until{TimePoint::min().time_since_epoch().count()};

  std::atomic<std::uint64_t> platform_calls{0};
  std::atomic<std::uint64_t> datagrams_sent{0};
  std::atomic<std::uint64_t> datagrams_received{0};
  std::atomic<std::uint64_t> datagram_bytes_sent{0};
  std::atomic<std::uint64_t> datagram_bytes_received{0};
  std::atomic<std::uint64_t> documents_fetched{0};
  std::atomic<std::uint64_t> documents_refused{0};
  std::atomic<std::uint64_t> document_conflicts{0};
};

template <typename Operation>
void ControlThread::State::RunOperation(Operation operation) {
  const TimePoint now = BootClock::now();
  MembershipActions actions;
  operation(this->membership, now, actions);
  this->hold_until.store(this->membership.HoldUntil().time_since_epoch().count(),
                         std::memory_order_release);
  if (this->membership.TakeChange(now)) {
    this->PublishView(now);
  }
  this->RaiseAlarms();
  for (const MembershipAction& action : actions) {
    std::visit([this](const auto& concrete_action) { this->Execute(concrete_action); }, action);
  }
  this->ScheduleWake(now);
}

}  // namespace ibishold

#endif  // SRC_CONTROL_CONTROL_STATE_H_
