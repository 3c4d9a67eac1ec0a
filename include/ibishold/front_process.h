#ifndef IBISHOLD_FRONT_PROCESS_H_
#define IBISHOLD_FRONT_PROCESS_H_

// The front as a process: threads, links and servers around FrontCore.
//
// Index of this header:
//   1. FrontProcessOptions   addresses, ports, intervals
//   2. ReadFrontSettings     settings to options
//   3. FrontProcess          start, planned stop, state for operators

#include <atomic>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "ibishold/caller.h"
#include "ibishold/daemon.h"
#include "ibishold/front.h"
#include "ibishold/metrics.h"
#include "ibishold/net.h"

namespace ibishold {

// ---- 1. FrontProcessOptions ---------------------------------------------------------------------

struct FrontProcessOptions {
  std::string address;                                      // IP number of this VM
  PortSettings ports;                                       // the same on every VM
  Incarnation incarnation = 0;                              // of this process
  Duration view_interval = std::chrono::milliseconds(200);  // between requests for the view; 200 ms
  Duration stop_lag = std::chrono::seconds(3);  // accept after /ready is 503; balancer's lag; 3 s
  Duration stop_limit = std::chrono::seconds(30);  // a planned stop never takes longer; 30 s
  std::size_t preconnect_vm_limit =
      64;  // up to so many VMs, links are opened before they are needed; 64
  std::size_t ring_capacity =
      16384;  // items; above the limit of connections, so answers always fit
  FrontOptions core;
  CallerServerOptions caller;
  LinkOptions link;
};

// ---- 2. ReadFrontSettings -----------------------------------------------------------------------

// Errors: InvalidArgument with the path of the key ("front.stop_lag_ms: ...").
absl::StatusOr<FrontProcessOptions> ReadFrontSettings(const Settings& settings);

// ---- 3. FrontProcess ----------------------------------------------------------------------------

// Start, Stop and the state for operators may be called from any thread.
class FrontProcess {
 public:
  FrontProcess(FrontProcessOptions options, Metrics& metrics);
  ~FrontProcess();
  FrontProcess(const FrontProcess&) = delete;
  FrontProcess& operator=(const FrontProcess&) = delete;

  // Errors: Unavailable if an address cannot be bound.
  absl::Status Start();

  // Begins the planned stop and returns at once; stopped() turns true when it is done.
  void BeginStop();
  const std::atomic<bool>& stopped() const;

  bool ready() const;              // has a view and is not stopping
  std::string DebugState() const;  // JSON, at most view_interval old

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace ibishold

#endif  // IBISHOLD_FRONT_PROCESS_H_
