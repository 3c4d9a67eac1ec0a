#ifndef IBISHOLD_BROKER_H_
#define IBISHOLD_BROKER_H_

// Broker of a VM: holds slots of leaves and runs the attempts that fronts send for these leaves.
//
// Index of this header:
//   1. SlotPolicy       how brokers divide the slots of a leaf
//   2. BrokerSettings   member "broker" of the settings
//   3. BrokerOptions    addresses, settings and callbacks
//   4. Broker           link thread and leaf thread

#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "ibishold/config.h"
#include "ibishold/control.h"
#include "ibishold/core.h"
#include "ibishold/metrics.h"

namespace ibishold {

// ---- 1. SlotPolicy ------------------------------------------------------------------------------

enum class SlotPolicy : std::uint8_t {
  kOwned,   // each slot has one owner; the slots of all owners add up to those of the leaf
  kDirect,  // every broker uses all slots of every leaf; only for comparison with kOwned
};

inline constexpr std::array<std::string_view, 2> kSlotPolicyNames = {"owned", "direct"};

// ---- 2. BrokerSettings --------------------------------------------------------------------------

// Comments give the key, its valid range and its default.
struct BrokerSettings {
  SlotPolicy policy = SlotPolicy::kOwned;            // "policy": owned or direct; owned
  bool warm_up = true;                               // "warm_up": true
  bool refuse_late = true;                           // "refuse_late": true
  Duration stop_limit = std::chrono::seconds(30);    // "stop_limit_ms": 1000..60000; 30 s
  Duration takeover_wait = std::chrono::seconds(8);  // "takeover_wait_ms": 0..60000; 8 s
  std::size_t ring_capacity = 8192;                  // "ring_capacity": 64..65536 messages; 8192
};

// Reads the member "broker" of the settings. Errors: InvalidArgument, which names the invalid or
// unknown key.
absl::StatusOr<BrokerSettings> ParseBrokerSettings(const boost::json::value& document);

// ---- 3. BrokerOptions ---------------------------------------------------------------------------

struct BrokerOptions {
  VmId vm;                            // this VM
  std::string address = "127.0.0.1";  // IP address of this VM
  std::uint16_t link_port = 8090;     // must be equal on all VMs; 8090
  Incarnation incarnation = 0;        // identifies this run of the process
  BrokerSettings settings;
  Metrics* metrics = nullptr;  // required; must outlive the broker

  // Both are required and must be safe to call from any thread.
  std::function<TimePoint()> hold_until;  // end of this VM's right to start leaf work
  std::function<ControlViewPtr()> view;   // latest view of the control thread

  // Optional. Called on the link thread when the front of this VM has taken over the tokens of a
  // run that ended.
  std::function<void(const TokenHomeRun&)> on_successor;
};

// ---- 4. Broker ----------------------------------------------------------------------------------

// Runs a link thread for links to fronts and other brokers, and a leaf thread for connections to
// leaves. The threads exchange messages over rings.
class Broker {
 public:
  explicit Broker(BrokerOptions options);
  ~Broker();
  Broker(const Broker&) = delete;
  Broker& operator=(const Broker&) = delete;

  // Starts both threads. Errors: Unavailable if the link address cannot be bound.
  absl::Status Start();

  // Applies a new view. Must always be called from the same thread; does not block.
  void OnView(ControlViewPtr view);

  // Begins a planned stop. The broker uses its slots for another 2 s, in which the other VMs learn
  // that this VM leaves. Then it hands the slots over, refuses new work and finishes the work in
  // flight. Announce that this VM leaves only after this call, or the broker releases its slots
  // early. `on_stopped` runs once, on the leaf thread, when no work is in flight or the stop_limit
  // has passed.
  void BeginStop(std::function<void()> on_stopped);

  // Ends both threads without waiting for work in flight. Idempotent.
  void Stop();

  // Returns the body of /debug/state, at most 500 ms old. May be called from any thread.
  std::string StateJson() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_H_
