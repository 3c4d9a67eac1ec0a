#include <algorithm>

#include "ibishold/policy.h"

namespace ibishold {

namespace {

constexpr std::size_t kRecentCalls = 8;  // few, so that a change is detected soon
// Number of calls before the usual median is used. Fewer may cover only the warm-up of a cold leaf.
constexpr std::uint64_t kMinHistoryCalls = 64;

}  // namespace

void ServiceTimes::Record(Duration service_time) {
  this->window[this->next_index] = service_time;
  this->next_index = (this->next_index + 1) % this->window.size();
  this->window_count = std::min(this->window_count + 1, this->window.size());
  ++this->total_samples;
  std::array<Duration, 32> sorted = this->window;
  const auto median_position = sorted.begin() + static_cast<std::ptrdiff_t>(this->window_count / 2);
  std::nth_element(sorted.begin(), median_position,
                   sorted.begin() + static_cast<std::ptrdiff_t>(this->window_count));
  this->recent_median = *median_position;
  if (this->total_samples == this->window.size()) {
    this->usual_median = this->recent_median;
  } else if (this->total_samples > this->window.size()) {
    this->usual_median += (this->recent_median - this->usual_median) / 256;
  }
}

void ServiceTimes::Forget() {
  *this = ServiceTimes{};
}

bool ServiceTimes::IsFarAboveHistory() const {
  if (this->total_samples < kMinHistoryCalls) {
    return false;
  }
  std::array<Duration, kRecentCalls> recent_times{};
  for (std::size_t i = 0; i < kRecentCalls; ++i) {
    recent_times[i] =
        this->window[(this->next_index + this->window.size() - 1 - i) % this->window.size()];
  }
  std::nth_element(recent_times.begin(), recent_times.begin() + (kRecentCalls - 1) / 2,
                   recent_times.end());
  const Duration median_of_recent = recent_times[(kRecentCalls - 1) / 2];
  return median_of_recent > this->usual_median * 4 &&
         median_of_recent > this->usual_median + std::chrono::milliseconds(20);
}

}  // namespace ibishold
