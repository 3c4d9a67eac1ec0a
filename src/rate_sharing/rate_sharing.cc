#include "ibishold/rate_sharing.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>

namespace ibishold {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool RateSharers::includes_self() const {
  return std::find(this->vms.begin(), this->vms.end(), this->self) != this->vms.end();
}

std::uint64_t ScoreVm(std::uint64_t key, std::uint64_t vm) {
  // The first number of a generator is a hash of its seed.
  return Random(key ^ std::rotl(vm, 1)).Next();
}

std::vector<std::uint64_t> RankVms(std::uint64_t key,
                                   const std::vector<std::uint64_t>& vms,
                                   std::size_t count) {
  std::vector<std::pair<std::uint64_t, std::uint64_t>> scored;  // score, VM
  scored.reserve(vms.size());
  for (const std::uint64_t vm : vms) {
    scored.emplace_back(ScoreVm(key, vm), vm);
  }
  const auto end = scored.begin() + static_cast<std::ptrdiff_t>(std::min(count, scored.size()));
  std::partial_sort(scored.begin(), end, scored.end(), std::greater<>());
  std::vector<std::uint64_t> ranked;
  std::transform(scored.begin(), end, std::back_inserter(ranked),
                 [](const auto& entry) { return entry.second; });
  return ranked;
}

RateShare ComputeHolderShare(std::uint64_t key,
                             const RateShare& fleet,
                             const RateSharers& sharers) {
  if (!sharers.includes_self() || sharers.reach <= 0) {
    return {};
  }
  const double holders =
      std::clamp(std::floor(fleet.burst), 1.0, static_cast<double>(sharers.vms.size()));
  const std::uint64_t own_score = ScoreVm(key, sharers.self);
  const auto before = std::count_if(sharers.vms.begin(), sharers.vms.end(),
                                    [&](std::uint64_t vm) { return ScoreVm(key, vm) > own_score; });
  if (static_cast<double>(before) >= holders) {
    return {};
  }
  return {.rate = fleet.rate / holders, .burst = std::max(1.0, fleet.burst / holders)};
}

void TokenBucket::Refill(const RateShare& share, TimePoint now) {
  const double seconds = std::max(0.0, ToSeconds(now - this->updated_at));
  this->tokens = std::min(share.burst, this->tokens + share.rate * seconds);
  this->updated_at = std::max(this->updated_at, now);
}

}  // namespace ibishold
