#include <algorithm>

#include "ibishold/request_policy.h"

namespace ibishold {

namespace {

constexpr std::size_t kSamplesPerQuantile = 8;
constexpr float kMeanWeight = 1.0F / 8;

Duration FromMicroseconds(float value) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(value) * 1000));
}

}  // namespace

LatencyTracker::LatencyTracker(LatencyTrackerOptions options) : options(options) {}

void LatencyTracker::Record(const LeafId& leaf, Duration latency) {
  const auto found = this->windows.find(leaf.value);
  if (found == this->windows.end() && this->windows.size() >= this->options.leaf_limit) {
    return;
  }
  Window& window = found == this->windows.end() ? this->windows[leaf.value] : found->second;
  const float value = static_cast<float>(static_cast<double>(latency.count()) / 1000);
  if (window.microseconds.size() < this->options.window) {
    window.mean = window.microseconds.empty() ? value : window.mean;
    window.microseconds.push_back(value);
  } else {
    window.microseconds[window.next] = value;
    window.next = (window.next + 1) % this->options.window;
  }
  window.mean += (value - window.mean) * kMeanWeight;
  ++window.uncached_samples;
}

std::optional<Duration> LatencyTracker::Quantile(const LeafId& leaf, double share) const {
  const auto found = this->windows.find(leaf.value);
  if (found == this->windows.end() ||
      found->second.microseconds.size() < this->options.minimum_samples) {
    return std::nullopt;
  }
  const Window& window = found->second;
  if (window.cached_share != share || window.uncached_samples >= kSamplesPerQuantile) {
    std::vector<float> sorted = window.microseconds;
    const auto rank = static_cast<std::ptrdiff_t>(std::min(
        static_cast<double>(sorted.size() - 1), share * static_cast<double>(sorted.size())));
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
    window.cached_quantile = sorted[static_cast<std::size_t>(rank)];
    window.cached_share = share;
    window.uncached_samples = 0;
  }
  return FromMicroseconds(window.cached_quantile);
}

std::optional<Duration> LatencyTracker::Mean(const LeafId& leaf) const {
  const auto found = this->windows.find(leaf.value);
  if (found == this->windows.end()) {
    return std::nullopt;
  }
  return FromMicroseconds(found->second.mean);
}

}  // namespace ibishold
