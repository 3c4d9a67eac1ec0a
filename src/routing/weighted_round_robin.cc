#include <algorithm>

#include "ibishold/routing.h"

namespace ibishold {

std::size_t WeightedRoundRobin::Pick(const std::vector<RouteTarget>& targets) {
  double total = 0;
  bool same = this->last_services.size() == targets.size();
  for (std::size_t i = 0; i < targets.size(); ++i) {
    total += targets[i].weight;
    same = same && this->last_services[i] == targets[i].service.value;
  }
  if (!same) {
    this->last_services.clear();
    this->credit.clear();
    for (const RouteTarget& target : targets) {
      this->last_services.push_back(target.service.value);
      this->credit.push_back(total * this->random.NextFraction());
    }
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    this->credit[i] += targets[i].weight;
    if (this->credit[i] > this->credit[best]) {
      best = i;
    }
  }
  this->credit[best] -= total;
  return best;
}

}  // namespace ibishold
