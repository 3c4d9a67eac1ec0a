#ifndef IBISHOLD_CALLER_PATH_H_
#define IBISHOLD_CALLER_PATH_H_

// How much of a caller's waiting time passes outside the VM that decides when to answer: the way
// back to the caller, the bytes of the answer on each link, and the hops of a call that is handed
// over. Reads no clock and no socket.
//
// Index of this header:
//   1. CallerPath   estimates from what was measured lately

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
  double link_bytes_per_second = 85e6;  // of this VM's link, 680 Mbit/s
  // Before any answer of a route was seen, its size is that of its records and of this much for the
  // signature of each shard.
  std::size_t signature_bytes = 40;
  // Answers that are late by a hair cost as much as ones that are late by far, so the estimate
  // covers all but one in twenty.
  double hand_over_quantile = 0.95;
  // A hand-over there and back, before enough of them were measured.
  Duration initial_hand_over_cost = std::chrono::milliseconds(5);
};

// The costs of hand-overs are measured by the VMs that hand over and told to the coordinator with
// later calls: a single VM of a large fleet hands over too few calls to know a distribution.
class CallerPath {
 public:
  explicit CallerPath(CallerPathOptions options = {}) : options(options) {}

  // An answer of this size left for the caller.
  void RecordAnswerSize(const std::string& route, std::size_t bytes);
  // Time that an answer of this route takes on the link of this VM.
  Duration TransferTime(const Route& route) const;

  // A hand-over took this much longer at the VM that handed over than at the coordinator.
  void RecordHandOverCost(Duration cost) { this->hand_overs.Record(cost); }
  Duration HandOverCost() const;

 private:
  CallerPathOptions options;
  std::unordered_map<std::string, double> answer_bytes;  // by route: decaying maximum
  ClassLatency hand_overs;
};

}  // namespace ibishold

#endif  // IBISHOLD_CALLER_PATH_H_
