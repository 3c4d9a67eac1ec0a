#include "ibishold/caller_path.h"

#include <algorithm>

namespace ibishold {

namespace {

constexpr double kLargestSizeDecay = 0.98;  // factor per answer

}  // namespace

void CallerPath::RecordAnswerSize(const std::string& route, std::size_t bytes) {
  double& known = this->answer_bytes[route];
  known = std::max(known * kLargestSizeDecay, static_cast<double>(bytes));
}

Duration CallerPath::TransferTime(const Route& route) const {
  const auto found = this->answer_bytes.find(route.name);
  const double bytes =
      found != this->answer_bytes.end()
          ? found->second
          : static_cast<double>(route.shards.size() * this->options.signature_bytes +
                                route.record_limit * kRecordBytes);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(bytes / this->options.link_bytes_per_second));
}

Duration CallerPath::HandOverCost() const {
  return this->hand_overs.GetQuantile(this->options.hand_over_quantile,
                                      this->options.initial_hand_over_cost);
}

}  // namespace ibishold
