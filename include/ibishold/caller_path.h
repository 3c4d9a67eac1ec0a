#ifndef IBISHOLD_CALLER_PATH_H_
#define IBISHOLD_CALLER_PATH_H_

// Estimates how much of a caller's time limit is spent outside the coordinator: on the transfer of
// the answer over the network links to the caller, and on the hand-over of the call to another VM.
// Reads no clock and no socket.
//
// Index of this header:
//   1. CallerPath   latency estimates from recent measurements

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "ibishold/core.h"
#include "ibishold/leaf_policy.h"
#include "ibishold/routing.h"

namespace ibishold {

// ---- 1. CallerPath ------------------------------------------------------------------------------

struct CallerPathOptions {
  double link_bytes_per_second = 85e6;  // of this VM's network link
  // Size of one shard's signature. Before the first answer of a route, the answer size is estimated
  // as the size of its records plus one signature for each shard.
  std::size_t signature_bytes = 40;
  // The estimated cost is this quantile of the measured hand-over costs. It is high, because an
  // answer that is slightly late counts as much as one that is very late.
  double hand_over_quantile = 0.95;
  // Estimated cost until enough hand-overs have been measured.
  Duration initial_hand_over_cost = std::chrono::milliseconds(5);
};

// Latency estimates of one VM, from the answer sizes that it recorded and from hand-over costs. A
// VM that hands over a call measures the cost and reports it to the coordinators with later calls,
// because a single VM of a large fleet hands over too few calls to know the distribution.
class CallerPath {
 public:
  explicit CallerPath(CallerPathOptions options = {}) : options(options) {}

  // The size estimate of a route is the decaying maximum of its recorded answer sizes.
  void RecordAnswerSize(const std::string& route, std::size_t bytes);
  // Returns the estimated transfer time of an answer of this route on this VM's link.
  Duration EstimateTransferTime(const Route& route) const;

  // Records how much longer a call took at the VM that handed it over than at the coordinator.
  void RecordHandOverCost(Duration cost) { this->hand_over_costs.Record(cost); }
  // Returns the time that a hand-over is expected to add to a call.
  Duration EstimateHandOverCost() const;

 private:
  CallerPathOptions options;
  std::unordered_map<std::string, double> max_answer_bytes;  // by route; decaying maximum
  RecentLatency hand_over_costs;
};

}  // namespace ibishold

#endif  // IBISHOLD_CALLER_PATH_H_
