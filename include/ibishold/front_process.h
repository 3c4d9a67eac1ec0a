#ifndef IBISHOLD_FRONT_PROCESS_H_
#define IBISHOLD_FRONT_PROCESS_H_

// The front as a process: runs FrontCore with its threads, links and HTTP server.
//
// Index of this header:
//   1. FrontProcessOptions   addresses, ports, intervals
//   2. ReadFrontSettings     converts settings to options
//   3. FrontProcess          start, planned stop, debug state for operators

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
  std::string address;                                      // IP address of this VM
  PortSettings ports;                                       // identical on all VMs
  Incarnation incarnation = 0;                              // of this process run
  Duration view_interval = std::chrono::milliseconds(200);  // between view requests; 200 ms
  // Time between /ready answering 503 and the end of accepting connections, so that the load
  // balancer can notice; 3 s.
  Duration stop_lag = std::chrono::seconds(3);
  Duration stop_limit = std::chrono::seconds(30);  // longest planned stop; 30 s
  std::size_t preconnect_vm_limit = 64;  // with more VMs, broker links open on first use; 64
  // Entries of each ring between the threads. Above the connection limit, so that every answer
  // fits.
  std::size_t ring_capacity = 16384;
  FrontOptions core;
  CallerServerOptions caller;
  LinkOptions link;
};

// ---- 2. ReadFrontSettings -----------------------------------------------------------------------

// Errors: InvalidArgument that starts with the settings key ("front.stop_lag_ms: ...").
absl::StatusOr<FrontProcessOptions> ReadFrontSettings(const Settings& settings);

// ---- 3. FrontProcess ----------------------------------------------------------------------------

// The front of one VM. Start, BeginStop, stopped, ready and DebugState may be called from any
// thread.
class FrontProcess {
 public:
  FrontProcess(FrontProcessOptions options, Metrics& metrics);
  ~FrontProcess();
  FrontProcess(const FrontProcess&) = delete;
  FrontProcess& operator=(const FrontProcess&) = delete;

  // Errors: Unavailable if an address cannot be bound.
  absl::Status Start();

  // Starts the planned stop and returns immediately. stopped() becomes true when the stop is done.
  void BeginStop();
  const std::atomic<bool>& stopped() const;

  bool ready() const;              // has a ready view and is not stopping
  std::string DebugState() const;  // JSON, at most view_interval old

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace ibishold

#endif  // IBISHOLD_FRONT_PROCESS_H_
