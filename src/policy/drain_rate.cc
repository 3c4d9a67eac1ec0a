#include <algorithm>
#include <cmath>

#include "ibishold/policy.h"

namespace ibishold {

namespace {

constexpr double kTimeConstantSeconds = 2.0;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

}  // namespace

void DrainRate::RecordCompletion(TimePoint now) {
  this->decayed_count = this->PerSecond(now) * kTimeConstantSeconds + 1;
  this->updated = now;
}

double DrainRate::PerSecond(TimePoint now) const {
  const double age = std::max(0.0, ToMilliseconds(now - this->updated) / 1000);
  return this->decayed_count * std::exp(-age / kTimeConstantSeconds) / kTimeConstantSeconds;
}

Duration DrainRate::RetryAfter(std::size_t waiting, TimePoint now, Random& random) const {
  const double rate = std::max(this->PerSecond(now), 0.001);
  const double seconds = std::min(static_cast<double>(waiting + 1) / rate, 3600.0);
  const auto base = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  return random.ApplyJitter(std::clamp(base, kMinRetryAfter, kMaxRetryAfter), 0.25);
}

}  // namespace ibishold
