#include <algorithm>

#include "ibishold/core.h"

namespace ibishold {

namespace {

constexpr Duration kMinPause = std::chrono::milliseconds(300);
// Time after a pause in which the messages that arrived during it are read.
constexpr Duration kDrainTime = std::chrono::seconds(1);

}  // namespace

PauseDetector::PauseDetector(Duration tick_interval, TimePoint now)
    : tick_interval(tick_interval), ticked_at(now) {}

void PauseDetector::OnTick(TimePoint now) {
  if (const Duration lag = this->MeasureLag(now); lag >= kMinPause) {
    this->pause = lag;
    this->resumed_at = now;
  }
  this->ticked_at = now;
}

Duration PauseDetector::EstimateWait(TimePoint now) const {
  if (const Duration lag = this->MeasureLag(now); lag >= kMinPause) {
    return lag;
  }
  return now - this->resumed_at < kDrainTime ? this->pause : Duration::zero();
}

Duration PauseDetector::MeasureLag(TimePoint now) const {
  return now - this->ticked_at - this->tick_interval;
}

}  // namespace ibishold
