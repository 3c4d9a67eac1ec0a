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
  this->decayed_completions = this->GetCompletionsPerSecond(now) * kTimeConstantSeconds + 1;
  this->updated_at = now;
}

double DrainRate::GetCompletionsPerSecond(TimePoint now) const {
  const double age_seconds = std::max(0.0, ToMilliseconds(now - this->updated_at) / 1000);
  return this->decayed_completions * std::exp(-age_seconds / kTimeConstantSeconds) /
         kTimeConstantSeconds;
}

Duration DrainRate::ComputeRetryAfter(std::size_t waiting_items,
                                      TimePoint now,
                                      Random& random) const {
  const double completions_per_second = std::max(this->GetCompletionsPerSecond(now), 0.001);
  const double wait_seconds =
      std::min(static_cast<double>(waiting_items + 1) / completions_per_second, 3600.0);
  const auto expected_wait =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait_seconds));
  return random.ApplyJitter(std::clamp(expected_wait, kMinRetryAfter, kMaxRetryAfter), 0.25);
}

}  // namespace ibishold
