#include <algorithm>

#include "ibishold/policy.h"

namespace ibishold {

namespace {

constexpr std::size_t kRecentCalls = 8;  // calls that suffice to detect a change soon
// Calls before the usual median is used; fewer may cover only the warm-up of a cold leaf.
constexpr std::uint64_t kMinHistory = 64;

}  // namespace

void ServiceTimes::Record(Duration time) {
  this->window[this->next] = time;
  this->next = (this->next + 1) % this->window.size();
  this->filled = std::min(this->filled + 1, this->window.size());
  ++this->samples;
  std::array<Duration, 32> sorted = this->window;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(this->filled / 2);
  std::nth_element(sorted.begin(), middle,
                   sorted.begin() + static_cast<std::ptrdiff_t>(this->filled));
  this->recent_median = *middle;
  if (this->samples == this->window.size()) {
    this->usual_median = this->recent_median;
  } else if (this->samples > this->window.size()) {
    this->usual_median += (this->recent_median - this->usual_median) / 256;
  }
}

void ServiceTimes::Forget() {
  *this = ServiceTimes{};
}

bool ServiceTimes::IsFarAboveHistory() const {
  if (this->samples < kMinHistory) {
    return false;
  }
  std::array<Duration, kRecentCalls> last{};
  for (std::size_t i = 0; i < kRecentCalls; ++i) {
    last[i] = this->window[(this->next + this->window.size() - 1 - i) % this->window.size()];
  }
  std::nth_element(last.begin(), last.begin() + (kRecentCalls - 1) / 2, last.end());
  const Duration median = last[(kRecentCalls - 1) / 2];
  return median > this->usual_median * 4 &&
         median > this->usual_median + std::chrono::milliseconds(20);
}

}  // namespace ibishold
