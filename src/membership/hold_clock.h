#ifndef SRC_MEMBERSHIP_HOLD_CLOCK_H_
#define SRC_MEMBERSHIP_HOLD_CLOCK_H_

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "ibishold/core.h"

namespace ibishold {

// Computes until when this VM may hold slots: for acknowledgement_limit after it sent the latest
// heartbeat that at least half (rounded up) of its monitors acknowledged. The time counts from the
// send, so that late acknowledgements, such as those read from the socket after a pause, do no
// harm.
class HoldClock {
 public:
  explicit HoldClock(Duration limit) : limit(limit) {}

  void SetMonitors(std::vector<VmId> list);
  void RecordSent(std::uint64_t sequence, TimePoint now);
  void RecordAcknowledgement(const VmId& monitor, std::uint64_t sequence);
  void Reset();  // discards all acknowledgements and sent heartbeats

  TimePoint HoldUntil() const;  // TimePoint::max() without monitors
  const std::vector<VmId>& monitors() const { return this->monitor_list; }

 private:
  Duration limit;
  std::vector<VmId> monitor_list;
  std::vector<TimePoint> acknowledged;  // send time, by monitor; TimePoint::min(): never
  std::deque<std::pair<std::uint64_t, TimePoint>> sent;
};

}  // namespace ibishold

#endif  // SRC_MEMBERSHIP_HOLD_CLOCK_H_
