#include <algorithm>
#include <cmath>

#include "ibishold/leaf_policy.h"

namespace ibishold {

namespace {

constexpr std::size_t kMinSamples = 16;    // fewer give no usable tail quantile
constexpr std::size_t kSortInterval = 32;  // samples recorded between two sorts

}  // namespace

void RecentLatency::Record(Duration duration) {
  const auto value = static_cast<float>(ToMilliseconds(duration));
  if (this->milliseconds.size() < kWindow) {
    this->milliseconds.push_back(value);
  } else {
    this->milliseconds[this->next] = value;
    this->next = (this->next + 1) % kWindow;
  }
  ++this->unsorted;
}

Duration RecentLatency::Quantile(double share, Duration fallback) const {
  if (this->milliseconds.size() < kMinSamples) {
    return fallback;
  }
  if (this->sorted.empty() || this->unsorted >= kSortInterval) {
    this->sorted = this->milliseconds;
    std::sort(this->sorted.begin(), this->sorted.end());
    this->unsorted = 0;
  }
  const auto index = static_cast<std::size_t>(share * static_cast<double>(this->sorted.size() - 1));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(this->sorted[index]));
}

}  // namespace ibishold
