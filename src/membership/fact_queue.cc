#include "membership/fact_queue.h"

#include <algorithm>
#include <bit>

namespace ibishold {

void FactQueue::Add(const VmFact& fact, std::size_t fleet) {
  // Number of times that each VM forwards a fact. A small multiple of the logarithm of the fleet
  // size reaches all VMs with high probability even if some datagrams are lost.
  const auto sends = static_cast<std::uint32_t>(2 * std::bit_width(fleet + 1) + 4);
  const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                  [&](const Entry& entry) { return entry.fact.vm == fact.vm; });
  if (found != this->entries.end()) {
    *found = {fact, sends};
    return;
  }
  this->entries.push_back({fact, sends});
}

std::vector<VmFact> FactQueue::Take(std::size_t count) {
  std::vector<VmFact> result;
  const std::size_t taken = std::min(count, this->entries.size());
  if (taken == 0) {
    return result;
  }
  std::partial_sort(
      this->entries.begin(), this->entries.begin() + static_cast<std::ptrdiff_t>(taken),
      this->entries.end(),
      [](const Entry& left, const Entry& right) { return left.sends_left > right.sends_left; });
  for (std::size_t i = 0; i < taken; ++i) {
    result.push_back(this->entries[i].fact);
    --this->entries[i].sends_left;
  }
  std::erase_if(this->entries, [](const Entry& entry) { return entry.sends_left == 0; });
  return result;
}

}  // namespace ibishold
