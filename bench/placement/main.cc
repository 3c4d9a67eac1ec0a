#include <cstdio>
#include <string>

#include "ibishold/ownership.h"

// Time to place all leaves over all VMs, for the capacity page.

namespace {

using namespace ibishold;  // NOLINT(google-build-using-namespace): one small program

constexpr int kDataCentres = 4;
constexpr int kRuns = 5;

DataCentre CentreOf(int number) {
  return DataCentre("dc-" + std::to_string(number % kDataCentres));
}

VmList Vms(int count) {
  VmList list;
  for (int i = 0; i < count; ++i) {
    list.vms.push_back({.id = VmId("vm-" + std::to_string(i)), .data_centre = CentreOf(i)});
  }
  return list;
}

Topology Leaves(int count) {
  Topology topology;
  Service service{.name = ServiceName("service"), .slots = 4};
  for (int i = 0; i < count; ++i) {
    service.shards.push_back(
        {.id = ShardId(std::to_string(i)),
         .leaves = {{.id = LeafId("leaf-" + std::to_string(i)), .data_centre = CentreOf(i)}}});
  }
  topology.services.push_back(std::move(service));
  return topology;
}

void Measure(int vms, int leaves) {
  const VmList list = Vms(vms);
  const Topology topology = Leaves(leaves);
  Duration best = Duration::max();
  for (int run = 0; run < kRuns; ++run) {
    const TimePoint start = BootClock::now();
    const SlotPlan plan(topology, list);
    best = std::min(best, BootClock::now() - start);
  }
  std::printf("{\"vms\":%d,\"leaves\":%d,\"ms\":%.2f,\"ns_per_pair\":%.1f}\n", vms, leaves,
              ToMilliseconds(best), static_cast<double>(best.count()) / vms / leaves);
}

}  // namespace

int main() {
  Measure(15, 113);
  Measure(60, 500);
  Measure(200, 1200);
  Measure(1100, 6300);
  return 0;
}
