#ifndef SRC_MEMBERSHIP_HOLD_CLOCK_H_
#define SRC_MEMBERSHIP_HOLD_CLOCK_H_

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "ibishold/core.h"

namespace ibishold {

// A VM may hold slots for acknowledgement_limit after the moment at which it SENT a heartbeat that
// at least half (rounded up) of its monitors acknowledged. Counting from the sending makes late
// acknowledgements, as found in a socket after a pause, harmless.
class HoldClock {
 public:
  explicit HoldClock(Duration limit) : limit(limit) {}

  void SetMonitors(std::vector<VmId> list);
  void RecordSent(std::uint64_t sequence, TimePoint now);
  void RecordAcknowledgement(const VmId& monitor, std::uint64_t sequence);
  void Reset();  // forgets all acknowledgements and sent heartbeats

  TimePoint HoldUntil() const;  // TimePoint::max() without monitors
  const std::vector<VmId>& monitors() const { return this->monitor_list; }

 private:
  Duration limit;
  std::vector<VmId> monitor_list;
  std::vector<TimePoint> acknowledged;  // sending time, by monitor; TimePoint::min(): never
  std::deque<std::pair<std::uint64_t, TimePoint>> sent;
};

}  // namespace ibishold

#endif  // SRC_MEMBERSHIP_HOLD_CLOCK_H_
