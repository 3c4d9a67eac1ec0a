#include <doctest/doctest.h>

#include "leaf_limits/limited_leaf_fleet.h"

namespace ibishold {

namespace {

// Targets of the platform: from kContactTime after a leaf has first stated a limit, it may get one
// and a half times as much in any 4 s, and 5 requests more.
constexpr Duration kContactTime = seconds(4);

std::size_t ComputeAllowedArrivals(double limit) {
  return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

struct FleetSize {
  std::size_t vms;
  std::size_t senders;
  double demand;  // requests/s
};

// In the fleets of 117 and 295 VMs a few coordinators send; in the others each VM does.
constexpr FleetSize kFleetSizes[] = {{13, 13, 90}, {117, 3, 45}, {295, 5, 48}, {1100, 1100, 1940}};

// All VMs send at first, and know of the limit of 40 requests/s.
LimitedLeafFleet MakeLimitedFleetOf21(std::uint64_t seed) {
  LimitedLeafFleet fleet({.vms = 21, .senders = 21, .demand = 300, .seed = seed});
  fleet.stated_limit = 40;
  fleet.RunFor(kContactTime);
  return fleet;
}

}  // namespace

// Guards against VMs that each keep to the whole limit, and against shares that every VM saves up
// to one request: 1,100 saved requests arrive at once.
TEST_CASE("a leaf that states a limit") {
  for (const FleetSize& size : kFleetSizes) {
    for (const double limit_share : {0.5, 0.1, 0.01}) {
      for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        CAPTURE(size.vms);
        CAPTURE(limit_share);
        CAPTURE(seed);
        LimitedLeafFleet fleet(
            {.vms = size.vms, .senders = size.senders, .demand = size.demand, .seed = seed});
        const double limit = limit_share * size.demand;
        fleet.RunFor(seconds(2));
        CHECK(fleet.denied == 0);
        fleet.stated_limit = limit;
        fleet.RunFor(kContactTime);
        const TimePoint since = fleet.now;
        CHECK(fleet.CountLimited() == size.vms);
        fleet.RunFor(seconds(16));

        CHECK(fleet.CountMostArrivals(since) <= ComputeAllowedArrivals(limit));
        // The limit is used, and the requests that reveal its end are sent.
        CHECK(fleet.ComputeArrivalRate(since) >= 0.5 * limit);

        fleet.stated_limit = std::nullopt;
        fleet.RunFor(std::max<Duration>(seconds(2), std::chrono::duration_cast<Duration>(
                                                        std::chrono::duration<double>(4 / limit))));
        const std::uint64_t denied = fleet.denied;
        fleet.RunFor(seconds(2));
        CHECK(fleet.denied == denied);
      }
    }
  }
}

TEST_CASE("a fleet of 15 VMs that keeps to a limit of 20 requests/s") {
  LimitedLeafFleet fleet({.vms = 15, .senders = 15, .demand = 90, .seed = 3});
  fleet.stated_limit = 20;
  fleet.RunFor(kContactTime);
  const TimePoint since = fleet.now;
  const auto check_arrivals = [&](double limit) {
    CHECK(fleet.CountMostArrivals(since) <= ComputeAllowedArrivals(limit));
  };
  SUBCASE("while all VMs are restarted one after the other") {
    for (std::size_t vm = 0; vm < 15; ++vm) {
      fleet.Restart(vm);
      fleet.RunFor(seconds(1));
    }
    check_arrivals(20);
  }
  SUBCASE("while each VM knows only a random nine tenths of the others") {
    Random random(4);
    for (int round = 0; round < 10; ++round) {
      for (std::size_t vm = 0; vm < 15; ++vm) {
        std::vector<std::uint64_t> known;
        for (std::size_t other = 0; other < 15; ++other) {
          if (other == vm || random.NextBelow(10) != 0) {
            known.push_back(LimitedLeafFleet::GetVmHash(other));
          }
        }
        fleet.SetSenders(vm, known, 1);
      }
      fleet.RunFor(seconds(1));
    }
    check_arrivals(20);
  }
  SUBCASE("while it is divided into two parts that reach the leaf") {
    for (std::size_t vm = 0; vm < 15; ++vm) {
      fleet.SetGroup(vm, vm < 8 ? 1 : 2);
    }
    fleet.RunFor(seconds(5));  // until VMs that are not heard from count as lost
    for (std::size_t vm = 0; vm < 15; ++vm) {
      std::vector<std::uint64_t> known;
      for (std::size_t other = vm < 8 ? 0 : 8; other < (vm < 8 ? 8 : 15); ++other) {
        known.push_back(LimitedLeafFleet::GetVmHash(other));
      }
      fleet.SetSenders(vm, known, (vm < 8 ? 8.0 : 7.0) / 15);
    }
    fleet.RunFor(seconds(10));
    check_arrivals(20);
    CHECK(fleet.ComputeArrivalRate(since) >= 0.8 * 20);
    SUBCASE("and joined again") {
      for (std::size_t vm = 0; vm < 15; ++vm) {
        fleet.SetGroup(vm, 0);
      }
      fleet.RunFor(seconds(5));
      check_arrivals(20);
    }
  }
  SUBCASE("after the leaf has lowered it to 2 requests/s") {
    fleet.stated_limit = 2;
    fleet.RunFor(seconds(1));
    const TimePoint lowered_at = fleet.now;
    fleet.RunFor(seconds(10));
    CHECK(fleet.CountMostArrivals(lowered_at) <= ComputeAllowedArrivals(2));
  }
  SUBCASE("after the leaf has lowered it to nothing") {
    fleet.stated_limit = 0;
    fleet.RunFor(seconds(1));
    const TimePoint lowered_at = fleet.now;
    fleet.RunFor(seconds(20));
    CHECK(fleet.CountMostArrivals(lowered_at) <= 5);
    SUBCASE("and finds the end of the limit") {
      fleet.stated_limit = std::nullopt;
      fleet.RunFor(seconds(8));
      CHECK(fleet.CountLimited() == 0);
    }
  }
  SUBCASE("and then raised to 60 requests/s") {
    fleet.stated_limit = 60;
    fleet.RunFor(seconds(2));
    const TimePoint raised_at = fleet.now;
    fleet.RunFor(seconds(10));
    CHECK(fleet.ComputeArrivalRate(raised_at) >= 0.8 * 60);
    CHECK(fleet.CountMostArrivals(raised_at) <= ComputeAllowedArrivals(60));
  }
}

// Guards against VMs that each take the larger share while they disagree on who sends: 18 of 21 VMs
// with 1/21 each, and three coordinators with 1/3 each, together take 1.9 times the limit.
TEST_CASE("VMs of which some know sooner than others who sends") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    LimitedLeafFleet fleet = MakeLimitedFleetOf21(seed);
    const TimePoint since = fleet.now;
    const std::vector<std::uint64_t> all = LimitedLeafFleet::ListVmHashes(21);
    const std::vector<std::uint64_t> coordinators(all.begin(), all.begin() + 3);
    Random random(seed);
    for (int change = 0; change < 6; ++change) {
      // Coordinators learn of the change at once, the others within 4 s.
      const std::vector<std::uint64_t>& senders = change % 2 == 0 ? coordinators : all;
      std::vector<Duration> learns_after;
      for (std::size_t vm = 0; vm < 21; ++vm) {
        learns_after.push_back(milliseconds(vm < 3 ? 0 : 3000 + random.NextBelow(1000)));
      }
      for (Duration elapsed{}; elapsed < seconds(6); elapsed += milliseconds(100)) {
        for (std::size_t vm = 0; vm < 21; ++vm) {
          if (elapsed <= learns_after[vm] && learns_after[vm] < elapsed + milliseconds(100)) {
            fleet.SetSenders(vm, senders, 1);
          }
        }
        fleet.RunFor(milliseconds(100));
      }
    }
    CHECK(fleet.CountMostArrivals(since) <= ComputeAllowedArrivals(40));
    CHECK(fleet.ComputeArrivalRate(since) >= 0.5 * 40);
  }
}

// Guards against a second change that ends the settling of the first: coordinators that take their
// full share while the other VMs still send.
TEST_CASE("VMs that learn of another change before their shares have settled") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    LimitedLeafFleet fleet = MakeLimitedFleetOf21(seed);
    const TimePoint since = fleet.now;
    const std::vector<std::uint64_t> all = LimitedLeafFleet::ListVmHashes(21);
    const std::vector<std::uint64_t> coordinators(all.begin(), all.begin() + 3);
    const auto set_senders = [&](const std::vector<std::uint64_t>& senders, double reach,
                                 std::size_t first, std::size_t last) {
      for (std::size_t vm = first; vm < last; ++vm) {
        fleet.SetSenders(vm, senders, reach);
      }
    };
    for (int round = 0; round < 3; ++round) {
      // The coordinators also notice VMs that are lost and found again.
      for (const double reach : {1.0, 0.99, 0.98, 0.97, 0.98, 0.99, 1.0}) {
        set_senders(coordinators, reach, 0, 3);
        fleet.RunFor(milliseconds(550));
      }
      set_senders(coordinators, 1, 3, 21);
      fleet.RunFor(seconds(6));
      set_senders(all, 1, 0, 21);
      fleet.RunFor(seconds(6));
    }
    CHECK(fleet.CountMostArrivals(since) <= ComputeAllowedArrivals(40));
    CHECK(fleet.ComputeArrivalRate(since) >= 0.5 * 40);
  }
}

// Guards against news that each VM passes on again and again.
TEST_CASE("a limit that does not change costs the regular messages only") {
  LimitedLeafFleet fleet({.vms = 295, .senders = 5, .demand = 48, .seed = 5});
  fleet.stated_limit = 10;
  fleet.RunFor(kContactTime);
  const std::uint64_t datagrams = fleet.datagrams_sent;
  fleet.RunFor(seconds(10));
  CHECK(fleet.datagrams_sent - datagrams <= 295 * 2 * 20);
}

}  // namespace ibishold
