#include "absl/strings/str_cat.h"
#include "ibishold/request_policy.h"

namespace ibishold {

namespace {

// Latency assumed for a leaf that has not answered yet. It is low enough for the leaf to be tried;
// the leaf's requests in flight keep it from being overloaded.
constexpr Duration kUnknownLatency = std::chrono::milliseconds(5);

std::string KeyOf(const LeafId& leaf, const VmId& owner) {
  return absl::StrCat(leaf.value, "\n", owner.value);
}

}  // namespace

std::optional<std::size_t> ReplicaChooser::Choose(std::span<const ReplicaRoute> routes,
                                                  const LatencyTracker& latency) {
  double total = 0;
  for (const ReplicaRoute& route : routes) {
    total += route.weight;
  }
  if (total <= 0) {
    return std::nullopt;
  }
  const std::size_t first = this->DrawByWeight(routes, total);
  const double rest = total - routes[first].weight;
  if (rest <= 0) {
    return first;
  }
  const std::size_t second = this->DrawByWeight(routes, total);
  return this->Score(routes[second], latency) < this->Score(routes[first], latency) ? second
                                                                                    : first;
}

void ReplicaChooser::RecordStart(const LeafId& leaf, const VmId& owner) {
  ++this->in_flight[KeyOf(leaf, owner)];
}

void ReplicaChooser::RecordEnd(const LeafId& leaf, const VmId& owner) {
  const auto found = this->in_flight.find(KeyOf(leaf, owner));
  if (found == this->in_flight.end()) {
    return;
  }
  if (--found->second == 0) {
    this->in_flight.erase(found);
  }
}

std::uint32_t ReplicaChooser::InFlight(const LeafId& leaf, const VmId& owner) const {
  const auto found = this->in_flight.find(KeyOf(leaf, owner));
  return found == this->in_flight.end() ? 0 : found->second;
}

double ReplicaChooser::Score(const ReplicaRoute& route, const LatencyTracker& latency) const {
  const double waiting = this->InFlight(route.leaf->id, route.owner) + 1.0;
  const Duration mean = latency.Mean(route.leaf->id).value_or(kUnknownLatency);
  return waiting / route.slots * static_cast<double>(mean.count() + 1);
}

std::size_t ReplicaChooser::DrawByWeight(std::span<const ReplicaRoute> routes, double total) {
  double point = this->random.NextFraction() * total;
  std::size_t last = 0;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    if (routes[i].weight <= 0) {
      continue;
    }
    last = i;
    point -= routes[i].weight;
    if (point < 0) {
      return i;
    }
  }
  return last;  // reached only through rounding errors
}

}  // namespace ibishold
