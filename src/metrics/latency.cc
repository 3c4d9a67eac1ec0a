#include <boost/accumulators/statistics/extended_p_square.hpp>

#include "ibishold/metrics.h"

namespace ibishold {

namespace {

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

}  // namespace

Latency::Latency(prometheus::Histogram& histogram)
    : histogram(&histogram),
      statistics(boost::accumulators::extended_p_square_probabilities = kQuantiles) {}

void Latency::Record(Duration duration) {
  const double milliseconds = ToMilliseconds(duration);
  this->histogram->Observe(milliseconds / 1000.0);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->statistics(milliseconds);
}

LatencySummary Latency::Summarize() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  LatencySummary summary;
  summary.count = boost::accumulators::count(this->statistics);
  if (summary.count == 0) {
    return summary;
  }
  summary.mean_ms = boost::accumulators::mean(this->statistics);
  summary.max_ms = boost::accumulators::max(this->statistics);
  const auto quantiles = boost::accumulators::extended_p_square(this->statistics);
  summary.p50_ms = quantiles[0];
  summary.p90_ms = quantiles[1];
  summary.p99_ms = quantiles[2];
  return summary;
}

}  // namespace ibishold
