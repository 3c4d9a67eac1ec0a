#include <algorithm>

#include "ibishold/policy.h"

namespace ibishold {

bool LeafLimiter::Start(std::uint64_t call) {
  if (this->free_slots() == 0) {
    return false;
  }
  this->calls.emplace(call, std::nullopt);
  return true;
}

void LeafLimiter::Abandon(std::uint64_t call, TimePoint expiry) {
  const auto found = this->calls.find(call);
  if (found != this->calls.end()) {
    found->second = expiry;
  }
}

void LeafLimiter::Expire(TimePoint now) {
  std::erase_if(this->calls,
                [now](const auto& call) { return call.second.has_value() && *call.second <= now; });
}

std::uint32_t LeafLimiter::abandoned_calls() const {
  return static_cast<std::uint32_t>(
      std::count_if(this->calls.begin(), this->calls.end(),
                    [](const auto& call) { return call.second.has_value(); }));
}

}  // namespace ibishold
