#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "ibishold/quarantine.h"

// Simulates VMs that hear of each other's crashes late, and a caller that sends one crashing
// request again and again through all of them.

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr int kFanOut = 51;  // leaves of one query
constexpr std::uint64_t kPoison = 1;

struct Setting {
  int vms = 14;
  Duration resend = seconds(1);          // time between two sendings, each through the next VM
  Duration hearing = milliseconds(200);  // until all peers know
  Duration length = minutes(9);          // shorter than a refusal
  bool innocents = false;                // other requests in flight at the leaves that crash
};

struct Lost {
  int leaves = 0;
  int refused_innocents = 0;
};

Lost Simulate(const Setting& setting, std::uint64_t seed) {
  Random random(seed);
  std::vector<Quarantine> vms(static_cast<std::size_t>(setting.vms));
  std::multimap<TimePoint, QuarantineReport> on_the_way;
  Lost lost;
  Incarnation incarnation = 1;
  TimePoint now{minutes(5)};
  const TimePoint end = now + setting.length;
  for (std::size_t turn = 0; now < end; ++turn, now += setting.resend) {
    while (!on_the_way.empty() && on_the_way.begin()->first <= now) {
      const QuarantineReport report = on_the_way.begin()->second;
      on_the_way.erase(on_the_way.begin());
      for (Quarantine& vm : vms) {
        vm.Merge(report, now);
      }
    }
    Quarantine& vm = vms[turn % vms.size()];
    const QuarantineAction action = vm.Decide(kPoison, true, now).action;
    if (action == QuarantineAction::kRefuse) {
      continue;
    }
    const bool alone = action != QuarantineAction::kRun;
    for (int leaf = 0; leaf < (alone ? 1 : kFanOut); ++leaf) {
      LeafCrash crash{.leaf = LeafId("leaf-" + std::to_string(random.Below(6300))),
                      .incarnation = ++incarnation,
                      .in_flight = {{.fingerprint = kPoison, .alone = alone}}};
      if (setting.innocents) {
        crash.in_flight.push_back({.fingerprint = 100 + random.Below(50)});
      }
      vm.Observe(crash, now);
      ++lost.leaves;
    }
    for (const QuarantineReport& report : vm.ExportChanged(now)) {
      on_the_way.emplace(now + setting.hearing, report);
    }
    if (setting.innocents) {
      // Each innocent request runs once at each VM, and where it must run alone it succeeds.
      for (std::uint64_t fingerprint = 100; fingerprint < 150; ++fingerprint) {
        for (Quarantine& other : vms) {
          const QuarantineDecision decision = other.Decide(fingerprint, true, now);
          lost.refused_innocents += decision.action == QuarantineAction::kRefuse ? 1 : 0;
          other.Finished(fingerprint, true, now);
        }
      }
    }
  }
  return lost;
}

// Stated before it is measured. `early` sendings leave before the first report arrives; each costs
// a fan-out if its VM has not sent the request before. Of the sendings that run alone, two crash
// before the refusal begins and `early - 1` more before all VMs hear of it, but no VM takes part
// with more than two, because it refuses by its own knowledge then.
int Bound(const Setting& setting) {
  const int early = 1 + static_cast<int>((setting.hearing - Duration(1)) / setting.resend);
  return std::min(early, setting.vms) * kFanOut + std::min(early + 1, 2 * setting.vms);
}

}  // namespace

TEST_CASE("leaves lost to one crashing request over the whole fleet are bounded") {
  SUBCASE("peers hear before the next sending: one fan-out and two leaves") {
    const Setting setting;
    CHECK(Bound(setting) == kFanOut + 2);
    const Lost lost = Simulate(setting, 1);
    MESSAGE("lost ", lost.leaves, " bound ", Bound(setting));
    CHECK(lost.leaves <= Bound(setting));
  }
  SUBCASE("peers hear late: the bound grows with the sendings in that time") {
    for (const int hearing : {500, 1500, 3500, 6000, 60'000}) {
      const Setting setting{.hearing = milliseconds(hearing)};
      const Lost lost = Simulate(setting, 2);
      MESSAGE("hearing ", hearing, " ms: lost ", lost.leaves, " bound ", Bound(setting));
      CHECK(lost.leaves <= Bound(setting));
    }
  }
  SUBCASE("with 1,100 VMs") {
    const Setting setting{.vms = 1100, .resend = milliseconds(500), .hearing = milliseconds(1400)};
    const Lost lost = Simulate(setting, 3);
    MESSAGE("lost ", lost.leaves, " bound ", Bound(setting));
    CHECK(lost.leaves <= Bound(setting));
  }
  SUBCASE("for an hour: one leaf more after each refusal, for each sending in the hearing time") {
    const Setting setting{.length = minutes(60)};
    const Lost lost = Simulate(setting, 4);
    MESSAGE("lost ", lost.leaves, " bound ", Bound(setting) + 5);
    CHECK(lost.leaves <= Bound(setting) + 5);
  }
  SUBCASE("requests in flight at the same leaves are not refused") {
    // Guards against counting each crash that an innocent request happens to see.
    const Setting setting{.innocents = true};
    const Lost lost = Simulate(setting, 5);
    CHECK(lost.leaves <= Bound(setting));
    CHECK(lost.refused_innocents == 0);
  }
}

}  // namespace ibishold
