#include <algorithm>
#include <cmath>

#include "ibishold/leaf_policy.h"

namespace ibishold {

namespace {

constexpr std::size_t kMinSamples = 16;           // fewer samples give no usable tail quantile
constexpr std::size_t kSortIntervalSamples = 32;  // samples recorded between two sorts

}  // namespace

void RecentLatency::Record(Duration duration) {
  const auto duration_ms = static_cast<float>(ToMilliseconds(duration));
  if (this->samples_ms.size() < kWindowSamples) {
    this->samples_ms.push_back(duration_ms);
  } else {
    this->samples_ms[this->next_index] = duration_ms;
    this->next_index = (this->next_index + 1) % kWindowSamples;
  }
  ++this->samples_since_sort;
}

Duration RecentLatency::GetQuantile(double quantile, Duration fallback) const {
  if (this->samples_ms.size() < kMinSamples) {
    return fallback;
  }
  if (this->sorted_samples_ms.empty() || this->samples_since_sort >= kSortIntervalSamples) {
    this->sorted_samples_ms = this->samples_ms;
    std::sort(this->sorted_samples_ms.begin(), this->sorted_samples_ms.end());
    this->samples_since_sort = 0;
  }
  const auto index =
      static_cast<std::size_t>(quantile * static_cast<double>(this->sorted_samples_ms.size() - 1));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(this->sorted_samples_ms[index]));
}

}  // namespace ibishold
