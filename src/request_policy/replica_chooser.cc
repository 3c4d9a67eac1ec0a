#include "absl/strings/str_cat.h"
#include "ibishold/request_policy.h"

namespace ibishold {

namespace {

// Latency assumed for a leaf that has not answered yet. The value is low enough for the leaf to be
// chosen. The requests in flight raise its expected wait and so keep it from being overloaded.
constexpr Duration kUnknownLatency = std::chrono::milliseconds(5);

std::string MakeKey(const LeafId& leaf, const VmId& owner) {
  return absl::StrCat(leaf.value, "\n", owner.value);
}

}  // namespace

std::optional<std::size_t> ReplicaChooser::Choose(std::span<const ReplicaRoute> routes,
                                                  const LatencyTracker& latency) {
  double total_weight = 0;
  for (const ReplicaRoute& route : routes) {
    total_weight += route.weight;
  }
  if (total_weight <= 0) {
    return std::nullopt;
  }
  const std::size_t first_draw = this->DrawByWeight(routes, total_weight);
  const double other_weight = total_weight - routes[first_draw].weight;
  if (other_weight <= 0) {
    return first_draw;
  }
  const std::size_t second_draw = this->DrawByWeight(routes, total_weight);
  return this->EstimateWait(routes[second_draw], latency) <
                 this->EstimateWait(routes[first_draw], latency)
             ? second_draw
             : first_draw;
}

void ReplicaChooser::RecordStart(const LeafId& leaf, const VmId& owner) {
  ++this->in_flight[MakeKey(leaf, owner)];
}

void ReplicaChooser::RecordEnd(const LeafId& leaf, const VmId& owner) {
  const auto found = this->in_flight.find(MakeKey(leaf, owner));
  if (found == this->in_flight.end()) {
    return;
  }
  if (--found->second == 0) {
    this->in_flight.erase(found);
  }
}

std::uint32_t ReplicaChooser::CountInFlight(const LeafId& leaf, const VmId& owner) const {
  const auto found = this->in_flight.find(MakeKey(leaf, owner));
  return found == this->in_flight.end() ? 0 : found->second;
}

double ReplicaChooser::EstimateWait(const ReplicaRoute& route,
                                    const LatencyTracker& latency) const {
  const double request_count = this->CountInFlight(route.leaf->id, route.owner) + 1.0;
  const Duration mean_latency = latency.GetMean(route.leaf->id).value_or(kUnknownLatency);
  return request_count / route.slots * static_cast<double>(mean_latency.count() + 1);
}

std::size_t ReplicaChooser::DrawByWeight(std::span<const ReplicaRoute> routes,
                                         double total_weight) {
  double remaining_weight = this->random.NextFraction() * total_weight;
  std::size_t last_candidate = 0;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    if (routes[i].weight <= 0) {
      continue;
    }
    last_candidate = i;
    remaining_weight -= routes[i].weight;
    if (remaining_weight < 0) {
      return i;
    }
  }
  return last_candidate;  // reached only through rounding errors
}

}  // namespace ibishold
