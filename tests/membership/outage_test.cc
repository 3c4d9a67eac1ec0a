#include <doctest/doctest.h>

#include <vector>

#include "membership/fake_fleet.h"
#include "membership/platform_schedule.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("document distribution while the platform is faulty") {
  FakeFleet fleet({.seed = 4, .datagram_loss = 0.01});
  fleet.StartAll();
  fleet.RunFor(seconds(30));
  REQUIRE(fleet.AllHave("table", 1));
  const std::size_t total = fleet.nodes.size();

  SUBCASE("the platform is down for an hour") {
    fleet.platform.down = true;
    fleet.RunFor(seconds(60));
    fleet.ResetCounters();
    fleet.RunFor(std::chrono::hours(1));
    // Guards against a fleet that stops working, or overloads the platform with retries, while the
    // platform is unreachable.
    CHECK(fleet.CountHolding() == total);
    CHECK(fleet.platform.PeakCallsPerSecond() <= 2 * total);
    // A VM that restarts during the outage gets all documents from peers named in its settings.
    fleet.options.seeds = true;
    fleet.Stop(2);
    fleet.Start(2);
    const Duration ready = fleet.RunUntilTrue(
        [&] { return fleet.nodes[2].membership->ready(fleet.now) && fleet.MayHold(2); },
        seconds(20));
    CHECK(ready <= seconds(6));
    // The platform recovers with a changed table.
    fleet.platform.down = false;
    const std::uint64_t generation = fleet.platform.PublishTable("out");
    const Duration took =
        fleet.RunUntilTrue([&] { return fleet.AllHave("table", generation); }, seconds(30));
    CHECK(took <= seconds(6));
  }
  SUBCASE("the platform serves old documents") {
    const std::uint64_t newest = fleet.platform.PublishTable("out");
    fleet.RunFor(seconds(5));
    fleet.platform.stale = true;
    fleet.platform.Publish("table", 1, "unused");
    // A VM restarts while the platform serves generation 1 again.
    fleet.platform.stale = false;
    fleet.platform.Publish("table", 1, R"({"generation":1,"rows":[]})");
    fleet.Stop(3);
    fleet.Start(3);
    fleet.RunFor(seconds(5));
    CHECK(fleet.AllHave("table", newest));
    CHECK(fleet.nodes[3].membership->ready(fleet.now));
  }
  SUBCASE("only one VM can reach the platform") {
    // Guards against VMs that receive updates only from the platform and not from peers.
    for (std::size_t i = 1; i < total; ++i) {
      fleet.nodes[i].cut_from_platform = true;
    }
    const std::uint64_t generation = fleet.platform.PublishTable("out");
    const Duration took =
        fleet.RunUntilTrue([&] { return fleet.AllHave("table", generation); }, seconds(60));
    MESSAGE("one VM reads: " << ToMilliseconds(took) << " ms");
    // The VM that can reach the platform may not be a watcher; it then polls every 5 s.
    CHECK(took <= seconds(6));
  }
  SUBCASE("watches never return") {
    // Guards against a watch that never returns and hides all later changes.
    fleet.platform.watches_silent = true;
    fleet.RunFor(seconds(30));
    for (int change = 0; change < 5; ++change) {
      const std::uint64_t generation = fleet.platform.PublishTable(change % 2 == 0 ? "out" : "in");
      const Duration took =
          fleet.RunUntilTrue([&] { return fleet.AllHave("table", generation); }, seconds(30));
      CHECK(took <= seconds(3));
      const std::uint64_t list = fleet.PublishVms();
      CHECK(fleet.RunUntilTrue([&] { return fleet.AllHave("vms", list); }, seconds(30)) <=
            seconds(6));
    }
  }
  SUBCASE("two operators publish different tables with the same generation") {
    // Guards against a fleet that stays inconsistent when replicas of the platform differ.
    const std::string first = R"({"generation":9,"rows":[]})";
    const std::string second = R"({"generation":9,"base":3,"rows":[]})";
    fleet.platform.Publish("table", 9, first);
    fleet.RunFor(milliseconds(6));
    fleet.platform.Publish("table", 9, second);
    fleet.Stop(0);
    fleet.Start(0);
    fleet.RunFor(seconds(100));
    const std::uint64_t expected = std::min(StableHash(first), StableHash(second));
    for (const auto& node : fleet.nodes) {
      CHECK(node.membership->store().Find(kTableKey)->digest.hash == expected);
    }
  }
  SUBCASE("all VMs refuse an invalid table") {
    fleet.platform.Publish("table", 5, R"({"generation":5,"rows":[{"service":"a"}]})");
    fleet.RunFor(seconds(10));
    CHECK(fleet.CountHaving("table", 5) == 0);
    CHECK(fleet.CountHaving("table", 1) == total);
    // Guards against watches that return the refused text repeatedly.
    fleet.ResetCounters();
    fleet.RunFor(seconds(20));
    for (const auto& node : fleet.nodes) {
      CHECK(node.bytes_received < 20 * 4000);
    }
    CHECK(fleet.platform.calls <= 20 * total);
    fleet.platform.Publish("table", 6, R"({"generation":6,"rows":[]})");
    fleet.RunFor(seconds(6));
    CHECK(fleet.AllHave("table", 6));
  }
}

TEST_CASE("a watch that never returns ends at its own deadline") {
  // Guards against a watcher that waits on a dead connection forever.
  MembershipOptions options;
  Random random(1);
  PlatformSchedule schedule(options, random);
  const ConfigStore store;
  TimePoint now{std::chrono::hours(5)};
  schedule.SetRole(true, 14, now);
  std::map<std::string, int> watches;
  const TimePoint end = now + seconds(60);
  while (now < end) {
    MembershipActions actions;
    schedule.Plan(store, now, actions);
    for (const MembershipAction& action : actions) {
      const auto& call = std::get<CallPlatform>(action);
      watches[call.key] += call.wait > Duration{} ? 1 : 0;
    }
    now = std::max(schedule.NextWake(now), now + milliseconds(1));
  }
  for (const std::string_view key : {kVmsKey, kTableKey, kTopologyKey}) {
    // Each watch takes 20 s plus 2 s until it has failed, followed by the backoff.
    CHECK(watches[std::string(key)] >= 2);
    CHECK(watches[std::string(key)] <= 4);
  }
}

TEST_CASE("the fleet recovers from all faults combined, twice") {
  // Guards against faults that are harmless alone but leave the fleet inconsistent when combined.
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    FakeFleet fleet({.centres = {10, 10, 8}, .seed = seed, .datagram_loss = 0.1});
    const std::size_t total = fleet.nodes.size();
    fleet.StartAll();
    fleet.RunFor(seconds(15));
    for (int round = 0; round < 2; ++round) {
      fleet.platform.watches_silent = true;
      fleet.nodes[1].cut_from_platform = true;
      fleet.Freeze(2);
      fleet.Stop(3);
      for (std::size_t i = 20; i < total; ++i) {
        fleet.nodes[i].partition = 1;
      }
      fleet.Call(4, [&](Membership& member, MembershipActions&) { member.Leave(fleet.now); });
      fleet.platform.PublishTable("out");
      fleet.RunFor(seconds(30));
      fleet.platform.down = true;
      fleet.RunFor(seconds(70));
      CHECK(fleet.CountSeeing(3, VmState::kLost) > 0);
      fleet.platform.down = false;
      fleet.platform.watches_silent = false;
      fleet.Wake(2);
      fleet.Stop(4);
      fleet.Start(4);
      fleet.Start(3);
      for (auto& node : fleet.nodes) {
        node.partition = 0;
        node.cut_from_platform = false;
      }
      const std::uint64_t generation = fleet.platform.PublishTable("in");
      CHECK(fleet.RunUntilTrue([&] { return fleet.AllHave("table", generation); }, seconds(30)) <=
            seconds(6));
      fleet.RunFor(seconds(10));
      CAPTURE(seed);
      CAPTURE(round);
      CHECK(fleet.CountHolding() == total);
      for (const std::size_t index : {2, 3, 4}) {
        CHECK(fleet.CountSeeing(index, VmState::kLive) == total - 1);
      }
    }
  }
}

}  // namespace ibishold
