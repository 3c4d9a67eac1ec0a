#include "membership/monitors.h"

#include <algorithm>
#include <utility>

namespace ibishold {

std::vector<VmId> SelectMonitors(const VmId& vm,
                                 const DataCentre& data_centre,
                                 const VmList& published,
                                 std::size_t count) {
  std::vector<std::pair<std::uint64_t, const VmId*>> scored;
  for (const VmEntry& entry : published.vms) {
    if (entry.data_centre == data_centre && entry.state == VmState::kLive && entry.id != vm) {
      scored.emplace_back(RendezvousScore(vm.value, entry.id.value), &entry.id);
    }
  }
  const std::size_t kept = std::min(count, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                    scored.end(), [](const auto& left, const auto& right) {
                      return left.first != right.first ? left.first > right.first
                                                       : *left.second < *right.second;
                    });
  std::vector<VmId> result;
  for (std::size_t i = 0; i < kept; ++i) {
    result.push_back(*scored[i].second);
  }
  return result;
}

bool IsWatcher(const VmId& vm,
               const DataCentre& data_centre,
               const VmList& merged,
               std::size_t count) {
  const std::string key = "watch/" + data_centre.value;
  const std::uint64_t own = RendezvousScore(key, vm.value);
  std::size_t better = 0;
  for (const VmEntry& entry : merged.vms) {
    if (entry.data_centre == data_centre && entry.state == VmState::kLive && entry.id != vm &&
        RendezvousScore(key, entry.id.value) > own) {
      ++better;
    }
  }
  return better < count;
}

}  // namespace ibishold
