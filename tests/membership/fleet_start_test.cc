#include <doctest/doctest.h>

#include <vector>

#include "membership/fake_fleet.h"

namespace ibishold {

using std::chrono::seconds;

namespace {

struct StartupLoad {
  std::uint64_t first_start_peak = 0;  // calls/s while all VMs start at once
  double steady = 0;                   // calls/s afterwards
  std::uint64_t centre_peak = 0;       // calls/s while one data centre restarts
  Duration centre_ready{};             // until all its VMs are ready and may hold slots
};

StartupLoad MeasureStart(std::vector<std::size_t> centres, std::uint64_t seed) {
  StartupLoad load;
  const std::size_t restarted = centres.back();
  FakeFleet fleet({.centres = std::move(centres), .seed = seed, .datagram_loss = 0.01});
  fleet.StartAll();
  fleet.RunFor(seconds(15));
  REQUIRE(fleet.CountHolding() == fleet.nodes.size());
  load.first_start_peak = fleet.platform.PeakCallsPerSecond();
  fleet.ResetCounters();
  fleet.RunFor(seconds(20));
  load.steady = static_cast<double>(fleet.platform.calls) / 20;
  fleet.ResetCounters();
  const std::size_t first = fleet.nodes.size() - restarted;
  for (std::size_t i = first; i < fleet.nodes.size(); ++i) {
    fleet.Stop(i);
    fleet.Start(i);
  }
  load.centre_ready = fleet.RunUntilTrue(
      [&] {
        for (std::size_t i = first; i < fleet.nodes.size(); ++i) {
          if (!fleet.MayHold(i) || !fleet.nodes[i].membership->ready(fleet.now)) {
            return false;
          }
        }
        return true;
      },
      seconds(30), std::chrono::milliseconds(100));
  load.centre_peak = fleet.platform.PeakCallsPerSecond();
  return load;
}

}  // namespace

TEST_CASE("platform calls stay within the platform's capacity") {
  // Guards against overloading the platform when the fleet starts.
  const StartupLoad small = MeasureStart({15, 15, 15, 15}, 1);
  const StartupLoad large = MeasureStart({275, 275, 275, 275}, 2);
  for (const StartupLoad& each : {small, large}) {
    MESSAGE("peak platform calls when all VMs start: "
            << each.first_start_peak << "/s, steady: " << each.steady
            << "/s, peak when one data centre starts: " << each.centre_peak << "/s, ready after "
            << ToMilliseconds(each.centre_ready) << " ms");
    CHECK(each.first_start_peak <= 2000);
    CHECK(each.centre_peak <= 2000);
    CHECK(each.centre_ready <= seconds(10));
  }
  // The fleet is 18 times as large.
  CHECK(large.steady < small.steady * 18 / 2);
  CHECK(large.steady <= 200);
}

}  // namespace ibishold
