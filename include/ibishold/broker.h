#ifndef IBISHOLD_BROKER_H_
#define IBISHOLD_BROKER_H_

// The broker of a VM: holds slots of leaves and runs the work that fronts send for them.
//
// Index of this header:
//   1. SlotPolicy    how limits are divided
//   2. BrokerOptions   addresses, limits and switches
//   3. Broker          threads link and leaf

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

// ---- 1. SlotPolicy ----------------------------------------------------------------------------

enum class SlotPolicy : std::uint8_t {
  kOwned,   // slots have owners; the owners' parts add up to the slots of the leaf
  kDirect,  // every broker uses all slots of every leaf with local limits only; for comparison
};

inline constexpr std::array<std::string_view, 2> kSlotPolicyNames = {"owned", "direct"};

// ---- 2. BrokerOptions ---------------------------------------------------------------------------

struct BrokerSettings {
  SlotPolicy policy = SlotPolicy::kOwned;            // "policy": owned
  bool warm_up = true;                               // "warm_up": true
  bool refuse_late = true;                           // "refuse_late": true
  Duration stop_limit = std::chrono::seconds(30);    // "stop_limit_ms": 1000..60000; 30 s
  Duration takeover_wait = std::chrono::seconds(8);  // "takeover_wait_ms": 0..60000; 8 s
  std::size_t ring_capacity = 8192;                  // "ring_capacity": 64..65536; 8192
};

// Reads the member "broker" of the settings. Errors: InvalidArgument with the key; unknown keys are
// refused.
absl::StatusOr<BrokerSettings> ParseBrokerSettings(const boost::json::value& document);

struct BrokerOptions {
  VmId vm;
  std::string address = "127.0.0.1";  // IP number of this VM
  std::uint16_t link_port = 8090;     // the same on all VMs; 8090
  Incarnation incarnation = 0;        // of this process
  BrokerSettings settings;
  Metrics* metrics = nullptr;  // required; must outlive the broker

  // Called on both threads, must be safe to call from any thread.
  std::function<TimePoint()> hold_until;  // leaf work may start before this time; required
  std::function<ControlViewPtr()> view;   // latest view; required

  // The front of this VM took over the tokens of a stopped run. Called on the link thread;
  // optional.
  std::function<void(const TokenHomeRun&)> on_successor;
};

// ---- 3. Broker ----------------------------------------------------------------------------------

class Broker {
 public:
  explicit Broker(BrokerOptions options);
  ~Broker();
  Broker(const Broker&) = delete;
  Broker& operator=(const Broker&) = delete;

  // Errors: Unavailable if the address of the links cannot be bound.
  absl::Status Start();

  // Takes a new view into use. Called from one thread only, which must not block.
  void OnView(ControlViewPtr view);

  // Planned stop: uses its slots for 2 s more, while the other VMs learn that this one leaves,
  // hands them over, refuses new work and finishes work in flight. Announce the leaving only after
  // this call. `on_stopped` runs once on a thread of the broker when nothing is in flight or the
  // limit has passed.
  void BeginStop(std::function<void()> on_stopped);

  void Stop();  // ends both threads at once; idempotent

  std::string StateJson() const;  // of /debug/state; at most 500 ms old; any thread

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace ibishold

#endif  // IBISHOLD_BROKER_H_
