#include "ibishold/caller_path.h"

#include <algorithm>

namespace ibishold {

namespace {

// Factor by which the decaying maximum is multiplied at each answer.
constexpr double kMaxSizeDecayPerAnswer = 0.98;

}  // namespace

void CallerPath::RecordAnswerSize(const std::string& route, std::size_t bytes) {
  double& size_estimate = this->max_answer_bytes[route];
  size_estimate = std::max(size_estimate * kMaxSizeDecayPerAnswer, static_cast<double>(bytes));
}

Duration CallerPath::EstimateTransferTime(const Route& route) const {
  const auto found = this->max_answer_bytes.find(route.name);
  const double bytes =
      found != this->max_answer_bytes.end()
          ? found->second
          : static_cast<double>(route.shards.size() * this->options.signature_bytes +
                                route.record_limit * kRecordBytes);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(bytes / this->options.link_bytes_per_second));
}

Duration CallerPath::EstimateHandOverCost() const {
  return this->hand_over_costs.GetQuantile(this->options.hand_over_quantile,
                                           this->options.initial_hand_over_cost);
}

}  // namespace ibishold
