#ifndef IBISHOLD_RATE_SHARING_H_
#define IBISHOLD_RATE_SHARING_H_

// How the VMs of a fleet share a rate that is stated for all of them together. Used for the limits
// that leaves state and for the allowances of tenants.
//
// Index of this header:
//   1. RateSharers       the VMs that share rates
//   2. RankVms           order of the VMs for one rate, the same on all VMs
//   3. RateShare         this VM's part of a rate
//   4. TokenBucket       unused parts of a share

#include <cstdint>
#include <vector>

#include "ibishold/core.h"

namespace ibishold {

// ---- 1. RateSharers -----------------------------------------------------------------------------

// VMs with different lists still share the rates, but their shares don't add up to exactly one.
struct RateSharers {
  std::vector<std::uint64_t> vms;  // a number for each VM, the same on all VMs
  std::uint64_t self = 0;          // a VM that is not in `vms` has no share
  // Share of the fleet's VMs that this VM is in contact with, 0 to 1; 0: not known yet. The parts
  // of a divided fleet use only that share of a rate, so that together they keep to it.
  double reach = 1;

  bool includes_self() const;

  friend bool operator==(const RateSharers&, const RateSharers&) = default;
};

// ---- 2. RankVms ---------------------------------------------------------------------------------

// Rendezvous hashing of a VM for the rate with this key; the highest score comes first.
std::uint64_t ScoreVm(std::uint64_t key, std::uint64_t vm);

// Returns at most `count` VMs with the highest scores, the highest first.
std::vector<std::uint64_t> RankVms(std::uint64_t key,
                                   const std::vector<std::uint64_t>& vms,
                                   std::size_t count);

// ---- 3. RateShare -------------------------------------------------------------------------------

struct RateShare {
  double rate = 0;   // requests/s
  double burst = 0;  // largest number of tokens; 0: no share
};

// Returns this VM's part if as many VMs as possible hold equal parts with a burst of at least one
// request, which a holder needs to send anything. ScoreVm() selects the holders.
RateShare ComputeHolderShare(std::uint64_t key, const RateShare& fleet, const RateSharers& sharers);

// ---- 4. TokenBucket -----------------------------------------------------------------------------

struct TokenBucket {
  double tokens = 0;
  TimePoint updated_at{};

  void Refill(const RateShare& share, TimePoint now);
};

double ToSeconds(Duration duration);
Duration FromSeconds(double seconds);

}  // namespace ibishold

#endif  // IBISHOLD_RATE_SHARING_H_
