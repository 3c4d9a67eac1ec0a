#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "ibishold/quarantine.h"

// Simulates VMs that receive reports of each other's crashes with a delay, and a caller that keeps
// sending one crashing request through all of them in turn.

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr int kLeavesPerQuery = 51;
constexpr std::uint64_t kCrashingRequest = 1;

struct Scenario {
  int vm_count = 14;
  Duration resend_interval = seconds(1);      // sends go through the VMs in turn
  Duration gossip_delay = milliseconds(200);  // until all peers receive a report
  Duration duration = minutes(9);             // shorter than refusal_duration
  bool with_harmless_requests = false;        // each crash has one in flight
};

struct Losses {
  int leaves = 0;
  int refused_harmless_requests = 0;
};

Losses Simulate(const Scenario& scenario, std::uint64_t seed) {
  Random random(seed);
  std::vector<Quarantine> quarantines(static_cast<std::size_t>(scenario.vm_count));
  std::multimap<TimePoint, QuarantineReport> pending_reports;
  Losses losses;
  Incarnation incarnation = 1;
  TimePoint now{minutes(5)};
  const TimePoint end = now + scenario.duration;
  for (std::size_t turn = 0; now < end; ++turn, now += scenario.resend_interval) {
    while (!pending_reports.empty() && pending_reports.begin()->first <= now) {
      const QuarantineReport report = pending_reports.begin()->second;
      pending_reports.erase(pending_reports.begin());
      for (Quarantine& vm : quarantines) {
        vm.Merge(report, now);
      }
    }
    Quarantine& vm = quarantines[turn % quarantines.size()];
    const QuarantineAction action = vm.Decide(kCrashingRequest, true, now).action;
    if (action == QuarantineAction::kRefuse) {
      continue;
    }
    const bool alone = action != QuarantineAction::kRun;
    for (int leaf = 0; leaf < (alone ? 1 : kLeavesPerQuery); ++leaf) {
      LeafCrash crash{.leaf = LeafId("leaf-" + std::to_string(random.NextBelow(6300))),
                      .incarnation = ++incarnation,
                      .in_flight = {{.fingerprint = kCrashingRequest, .alone = alone}}};
      if (scenario.with_harmless_requests) {
        crash.in_flight.push_back({.fingerprint = 100 + random.NextBelow(50)});
      }
      vm.RecordCrash(crash, now);
      ++losses.leaves;
    }
    for (const QuarantineReport& report : vm.ExportChanged(now)) {
      pending_reports.emplace(now + scenario.gossip_delay, report);
    }
    if (scenario.with_harmless_requests) {
      // Each VM decides once on each harmless request and records a success.
      for (std::uint64_t fingerprint = 100; fingerprint < 150; ++fingerprint) {
        for (Quarantine& other_vm : quarantines) {
          const QuarantineDecision decision = other_vm.Decide(fingerprint, true, now);
          losses.refused_harmless_requests += decision.action == QuarantineAction::kRefuse ? 1 : 0;
          other_vm.RecordOutcome(fingerprint, true, now);
        }
      }
    }
  }
  return losses;
}

// Returns an upper bound derived from the rules of the quarantine, independent of the simulation.
// `early_sends` is the number of sends before the first crash report arrives. Each of these crashes
// a whole fan-out if its VM has not sent the request before. Of the runs alone, two crash before
// the refusal begins and `early_sends - 1` more before all VMs receive the refusal. No VM
// contributes more than two of these runs, because after two crashes it refuses the request by its
// own records.
int ComputeMaxLostLeaves(const Scenario& scenario) {
  const int early_sends =
      1 + static_cast<int>((scenario.gossip_delay - Duration(1)) / scenario.resend_interval);
  return std::min(early_sends, scenario.vm_count) * kLeavesPerQuery +
         std::min(early_sends + 1, 2 * scenario.vm_count);
}

}  // namespace

TEST_CASE("the leaves that one crashing request takes down in the whole fleet are bounded") {
  SUBCASE("if reports arrive before the next send, one fan-out and two leaves are lost") {
    const Scenario scenario;
    CHECK(ComputeMaxLostLeaves(scenario) == kLeavesPerQuery + 2);
    const Losses losses = Simulate(scenario, 1);
    MESSAGE("lost ", losses.leaves, " leaves, bound ", ComputeMaxLostLeaves(scenario));
    CHECK(losses.leaves <= ComputeMaxLostLeaves(scenario));
  }
  SUBCASE("if reports arrive late, the bound grows with the number of sends before they arrive") {
    for (const int gossip_delay : {500, 1500, 3500, 6000, 60'000}) {
      const Scenario scenario{.gossip_delay = milliseconds(gossip_delay)};
      const Losses losses = Simulate(scenario, 2);
      MESSAGE("gossip delay ", gossip_delay, " ms: lost ", losses.leaves, " leaves, bound ",
              ComputeMaxLostLeaves(scenario));
      CHECK(losses.leaves <= ComputeMaxLostLeaves(scenario));
    }
  }
  SUBCASE("the bound holds with 1,100 VMs") {
    const Scenario scenario{
        .vm_count = 1100, .resend_interval = milliseconds(500), .gossip_delay = milliseconds(1400)};
    const Losses losses = Simulate(scenario, 3);
    MESSAGE("lost ", losses.leaves, " leaves, bound ", ComputeMaxLostLeaves(scenario));
    CHECK(losses.leaves <= ComputeMaxLostLeaves(scenario));
  }
  SUBCASE("in an hour, each further refusal costs one more leaf per send within the gossip delay") {
    const Scenario scenario{.duration = minutes(60)};
    const Losses losses = Simulate(scenario, 4);
    MESSAGE("lost ", losses.leaves, " leaves, bound ", ComputeMaxLostLeaves(scenario) + 5);
    CHECK(losses.leaves <= ComputeMaxLostLeaves(scenario) + 5);
  }
  SUBCASE("harmless requests in flight at the crashed leaves are not refused") {
    // Guards against blaming harmless requests for crashes that happen while they are in flight.
    const Scenario scenario{.with_harmless_requests = true};
    const Losses losses = Simulate(scenario, 5);
    CHECK(losses.leaves <= ComputeMaxLostLeaves(scenario));
    CHECK(losses.refused_harmless_requests == 0);
  }
}

}  // namespace ibishold
