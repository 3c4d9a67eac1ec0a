#include "membership/hold_clock.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace ibishold {

namespace {

// Number of recent heartbeats whose acknowledgement counts. Older heartbeats were sent longer ago
// than acknowledgement_limit, so their acknowledgements could not extend the hold.
constexpr std::size_t kMaxSentHeartbeats = 16;

}  // namespace

void HoldClock::SetMonitors(std::vector<VmId> list) {
  std::vector<TimePoint> kept(list.size(), TimePoint::min());
  for (std::size_t i = 0; i < list.size(); ++i) {
    const auto old = std::find(this->monitor_list.begin(), this->monitor_list.end(), list[i]);
    if (old != this->monitor_list.end()) {
      kept[i] = this->acknowledged[static_cast<std::size_t>(old - this->monitor_list.begin())];
    }
  }
  this->monitor_list = std::move(list);
  this->acknowledged = std::move(kept);
}

void HoldClock::RecordSent(std::uint64_t sequence, TimePoint now) {
  this->sent.emplace_back(sequence, now);
  if (this->sent.size() > kMaxSentHeartbeats) {
    this->sent.pop_front();
  }
}

void HoldClock::RecordAcknowledgement(const VmId& monitor, std::uint64_t sequence) {
  const auto place = std::find(this->monitor_list.begin(), this->monitor_list.end(), monitor);
  const auto heartbeat = std::find_if(this->sent.begin(), this->sent.end(),
                                      [&](const auto& item) { return item.first == sequence; });
  if (place == this->monitor_list.end() || heartbeat == this->sent.end()) {
    return;
  }
  TimePoint& at = this->acknowledged[static_cast<std::size_t>(place - this->monitor_list.begin())];
  at = std::max(at, heartbeat->second);
}

void HoldClock::Reset() {
  std::fill(this->acknowledged.begin(), this->acknowledged.end(), TimePoint::min());
  this->sent.clear();
}

TimePoint HoldClock::HoldUntil() const {
  if (this->monitor_list.empty()) {
    return TimePoint::max();
  }
  const std::size_t needed = (this->monitor_list.size() + 1) / 2;
  std::vector<TimePoint> sorted = this->acknowledged;
  std::sort(sorted.begin(), sorted.end(), std::greater<>());
  const TimePoint at = sorted[needed - 1];
  return at == TimePoint::min() ? at : at + this->limit;
}

}  // namespace ibishold
