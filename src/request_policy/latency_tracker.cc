#include <algorithm>

#include "ibishold/request_policy.h"

namespace ibishold {

namespace {

constexpr std::size_t kQuantileRefreshSamples = 8;
constexpr float kMeanSampleWeight = 1.0F / 8;

Duration FromMicroseconds(float microseconds) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(microseconds) * 1000));
}

}  // namespace

LatencyTracker::LatencyTracker(LatencyTrackerOptions options) : options(options) {}

void LatencyTracker::Record(const LeafId& leaf, Duration latency) {
  const auto found = this->windows.find(leaf.value);
  if (found == this->windows.end() && this->windows.size() >= this->options.max_leaves) {
    return;
  }
  Window& window = found == this->windows.end() ? this->windows[leaf.value] : found->second;
  const float latency_us = static_cast<float>(static_cast<double>(latency.count()) / 1000);
  if (window.samples_us.size() < this->options.window_samples) {
    window.mean_us = window.samples_us.empty() ? latency_us : window.mean_us;
    window.samples_us.push_back(latency_us);
  } else {
    window.samples_us[window.next_index] = latency_us;
    window.next_index = (window.next_index + 1) % this->options.window_samples;
  }
  window.mean_us += (latency_us - window.mean_us) * kMeanSampleWeight;
  ++window.samples_since_cached;
}

std::optional<Duration> LatencyTracker::GetQuantile(const LeafId& leaf, double quantile) const {
  const auto found = this->windows.find(leaf.value);
  if (found == this->windows.end() || found->second.samples_us.size() < this->options.min_samples) {
    return std::nullopt;
  }
  const Window& window = found->second;
  if (window.cached_quantile != quantile ||
      window.samples_since_cached >= kQuantileRefreshSamples) {
    std::vector<float> sorted = window.samples_us;
    const auto sample_index = static_cast<std::ptrdiff_t>(std::min(
        static_cast<double>(sorted.size() - 1), quantile * static_cast<double>(sorted.size())));
    std::nth_element(sorted.begin(), sorted.begin() + sample_index, sorted.end());
    window.cached_value_us = sorted[static_cast<std::size_t>(sample_index)];
    window.cached_quantile = quantile;
    window.samples_since_cached = 0;
  }
  return FromMicroseconds(window.cached_value_us);
}

std::optional<Duration> LatencyTracker::GetMean(const LeafId& leaf) const {
  const auto found = this->windows.find(leaf.value);
  if (found == this->windows.end()) {
    return std::nullopt;
  }
  return FromMicroseconds(found->second.mean_us);
}

}  // namespace ibishold
