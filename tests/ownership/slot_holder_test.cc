#include <doctest/doctest.h>

#include "ibishold/ownership.h"

namespace ibishold {

namespace {

using namespace std::chrono_literals;
constexpr TimePoint kStart{1h};
const LeafId kLeaf("leaf");

std::shared_ptr<const SlotPlan> MakePlan(const std::vector<std::string>& vms) {
  Topology topology;
  Service service{.name = ServiceName("s"), .slots = 4};
  service.shards.push_back({.id = ShardId("0"), .leaves = {{.id = kLeaf}}});
  topology.services.push_back(service);
  VmList list;
  for (const std::string& vm : vms) {
    list.vms.push_back({.id = VmId(vm)});
  }
  return std::make_shared<const SlotPlan>(topology, list);
}

SlotHolder MakeHolder(const std::string& vm) {
  SlotHolder holder({.vm = VmId(vm)});
  holder.UpdateRightToHold(TimePoint::max(), kStart);
  return holder;
}

// Runs the checks of a process that is never paused.
void CheckRegularly(SlotHolder& holder, TimePoint from, TimePoint to) {
  for (TimePoint now = from; now <= to; now += 500ms) {
    holder.UpdateRightToHold(TimePoint::max(), now);
  }
}

}  // namespace

TEST_CASE("takeover of slots") {
  const auto both = MakePlan({"a", "b"});
  const auto only_b = MakePlan({"b"});
  SUBCASE("a fleet that starts for the first time uses its slots without a wait") {
    SlotHolder holder = MakeHolder("a");
    holder.OnPlan(both, 1, kStart);
    CHECK(holder.CountUsableSlots(kLeaf, kStart) == 2);
  }
  SUBCASE("a process that starts later waits, because a former holder may still use the slots") {
    SlotHolder holder = MakeHolder("a");
    holder.OnPlan(both, 7, kStart);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 7999ms) == 0);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 8s) == 2);
  }
  SUBCASE("slots of a removed VM are used 8 s after the new list arrived") {
    SlotHolder holder = MakeHolder("b");
    holder.OnPlan(both, 1, kStart);
    holder.OnPlan(only_b, 2, kStart + 10s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 17999ms) == 2);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 18s) == 4);
  }
  SUBCASE("a release by the former holder ends the wait") {
    SlotHolder holder = MakeHolder("b");
    holder.OnPlan(both, 1, kStart);
    holder.OnPlan(only_b, 2, kStart + 10s);
    holder.OnRelease(kLeaf, 2, kStart + 10s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 10s) == 4);
  }
  SUBCASE("a release that arrives before the list ends the wait too") {
    SlotHolder holder = MakeHolder("b");
    holder.OnPlan(both, 1, kStart);
    holder.OnRelease(kLeaf, 2, kStart + 9s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 9s) == 2);
    holder.OnPlan(only_b, 2, kStart + 10s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 10s) == 4);
  }
  SUBCASE("the former holder stops at once and releases when nothing is in flight") {
    SlotHolder holder = MakeHolder("a");
    holder.OnPlan(both, 1, kStart);
    CheckRegularly(holder, kStart, kStart + 10s);
    holder.OnPlan(only_b, 2, kStart + 10s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 10s) == 0);
    CHECK(holder.TakeHandOvers(kLeaf, 1).empty());
    CHECK(holder.TakeHandOvers(kLeaf, 0) ==
          std::vector<SlotHandOver>{{.leaf = kLeaf, .to = VmId("b"), .slots = 2}});
    CHECK(holder.TakeHandOvers(kLeaf, 0).empty());
  }
  SUBCASE("slots that were still pending are not released to a third VM") {
    SlotHolder holder = MakeHolder("b");
    holder.OnPlan(both, 1, kStart);
    holder.OnPlan(only_b, 2, kStart + 10s);
    holder.OnPlan(both, 3, kStart + 11s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 30s) == 2);
    CHECK(holder.TakeHandOvers(kLeaf, 0).empty());
  }
  SUBCASE(
      "slots that return are pending for the takeover wait even if they were not released yet") {
    SlotHolder holder = MakeHolder("a");
    holder.OnPlan(both, 1, kStart);
    holder.OnPlan(only_b, 2, kStart + 10s);
    holder.OnPlan(both, 3, kStart + 11s);
    CHECK(holder.TakeHandOvers(kLeaf, 0).empty());
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 18s) == 0);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 19s) == 2);
  }
  SUBCASE("a planned stop releases all slots") {
    SlotHolder holder = MakeHolder("a");
    holder.OnPlan(both, 1, kStart);
    holder.Leave(only_b, 1, kStart + 1s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 1s) == 0);
    CHECK(holder.TakeHandOvers(kLeaf, 0).size() == 1);
    holder.OnPlan(both, 2, kStart + 2s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 60s) == 0);
  }
}

// Guards against leaves that no VM serves while a new placement is spreading, and against two VMs
// that both decide how many calls a cold leaf gets.
TEST_CASE("slots and the primary role move together") {
  const auto both = MakePlan({"a", "b"});
  const std::string first = both->FindOwners(kLeaf).front().vm.value;
  const std::string second = first == "a" ? "b" : "a";
  const auto without_first = MakePlan({second});
  SlotHolder former({.vm = VmId(first), .release_delay = 1500ms});
  SlotHolder next({.vm = VmId(second), .release_delay = 1500ms});
  for (SlotHolder* holder : {&former, &next}) {
    holder->OnPlan(both, 1, kStart);
    holder->UpdateRightToHold(TimePoint::max(), kStart);
  }
  CHECK(former.ActsAsPrimary(kLeaf, kStart));
  CHECK_FALSE(next.ActsAsPrimary(kLeaf, kStart));

  const TimePoint changed = kStart + 500ms;
  former.OnPlan(without_first, 2, changed);
  next.OnPlan(without_first, 2, changed);
  former.UpdateRightToHold(TimePoint::max(), changed);
  SUBCASE("the former owner uses both during the release delay") {
    former.UpdateRightToHold(TimePoint::max(), changed + 900ms);
    former.UpdateRightToHold(TimePoint::max(), changed + 1499ms);
    CHECK(former.CountUsableSlots(kLeaf, changed + 1499ms) == 2);
    CHECK(former.ActsAsPrimary(kLeaf, changed + 1499ms));
    CHECK(former.TakeHandOvers(kLeaf, 0).empty());
    CHECK_FALSE(former.TakePrimaryHandOver(kLeaf));
    CHECK(former.CountUsableSlots(kLeaf, changed + 1500ms) == 0);
    CHECK_FALSE(former.ActsAsPrimary(kLeaf, changed + 1500ms));

    SUBCASE("both are handed over once after the delay") {
      former.UpdateRightToHold(TimePoint::max(), changed + 1500ms);
      CHECK(former.TakeHandOvers(kLeaf, 0).size() == 1);
      CHECK(former.TakePrimaryHandOver(kLeaf) == VmId(second));
      CHECK_FALSE(former.TakePrimaryHandOver(kLeaf));
    }
  }
  SUBCASE("the next primary acts as primary when it is notified") {
    next.OnPrimaryRelease(kLeaf, changed + 2s);
    CHECK(next.ActsAsPrimary(kLeaf, changed + 2s));
    CHECK(next.CountUsableSlots(kLeaf, changed + 2s) == 2);
  }
  SUBCASE("the next primary acts as primary after the takeover wait and the release delay") {
    CHECK_FALSE(next.ActsAsPrimary(kLeaf, changed + 9499ms));
    CHECK(next.ActsAsPrimary(kLeaf, changed + 9500ms));
    CHECK(next.CountUsableSlots(kLeaf, changed + 9500ms) == 4);
  }
  SUBCASE("a primary that returns waits like any other") {
    former.OnPlan(both, 3, changed + 1s);
    CHECK_FALSE(former.ActsAsPrimary(kLeaf, changed + 10s));
    CHECK(former.ActsAsPrimary(kLeaf, changed + 11s));
  }
  SUBCASE("a planned stop releases both without the release delay") {
    former.Leave(without_first, 2, changed + 100ms);
    CHECK(former.CountUsableSlots(kLeaf, changed + 100ms) == 0);
    CHECK(former.TakeHandOvers(kLeaf, 0).size() == 1);
    CHECK(former.TakePrimaryHandOver(kLeaf) == VmId(second));
  }
}

// Guards against slots that are used or released twice by a process that missed lists while another
// VM took the slots over. The simulation found both cases.
TEST_CASE("a process resumes after a pause") {
  const auto both = MakePlan({"a", "b"});
  const auto only_b = MakePlan({"b"});
  SlotHolder holder = MakeHolder("a");
  holder.OnPlan(both, 4, kStart);
  CheckRegularly(holder, kStart, kStart + 20s);
  REQUIRE(holder.CountUsableSlots(kLeaf, kStart + 20s) == 2);
  const TimePoint back = kStart + 35s;
  SUBCASE("it does not release slots that it loses") {
    holder.OnPlan(only_b, 6, back);
    CheckRegularly(holder, back, back + 10s);
    CHECK(holder.TakeHandOvers(kLeaf, 0).empty());
    CHECK_FALSE(holder.TakePrimaryHandOver(kLeaf));
  }
  SUBCASE("it does not release slots that it lost before the pause") {
    CheckRegularly(holder, kStart + 20500ms, kStart + 21s);
    holder.OnPlan(only_b, 5, kStart + 21s);
    holder.UpdateRightToHold(TimePoint::max(), back);
    CHECK(holder.TakeHandOvers(kLeaf, 0).empty());
  }
  SUBCASE("it waits after a missed list, even if the next list assigns its slots again") {
    holder.OnPlan(both, 6, back);
    CheckRegularly(holder, back, back + 7500ms);
    CHECK(holder.CountUsableSlots(kLeaf, back + 7500ms) == 0);
    CheckRegularly(holder, back + 8s, back + 8s);
    CHECK(holder.CountUsableSlots(kLeaf, back + 8s) == 2);
  }
  SUBCASE("it waits only the resume wait if it missed no list") {
    holder.OnPlan(both, 5, back);
    CheckRegularly(holder, back, back + 2s);
    CHECK(holder.CountUsableSlots(kLeaf, back + 2s) == 2);
  }
}

TEST_CASE("lapse of the right to hold") {
  SlotHolder holder({.vm = VmId("a")});
  holder.OnPlan(MakePlan({"a", "b"}), 1, kStart);
  CHECK(holder.CountUsableSlots(kLeaf, kStart) == 0);
  holder.UpdateRightToHold(kStart + 5s, kStart);
  CHECK(holder.CountUsableSlots(kLeaf, kStart) == 2);
  SUBCASE("it lapses without a renewal") {
    holder.UpdateRightToHold(kStart + 5s, kStart + 5s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 5s) == 0);
    holder.UpdateRightToHold(kStart + 11s, kStart + 6s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 6s) == 0);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 7999ms) == 0);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 8s) == 2);
  }
  SUBCASE("it lapses during a pause, and is renewed before the next check") {
    // Guards against a process that resumes late and acts on a list that has been replaced.
    holder.UpdateRightToHold(kStart + 25s, kStart + 20s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 20s) == 0);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 22s) == 2);
  }
  SUBCASE("a short pause within the right to hold is followed by a wait for the newest list") {
    holder.UpdateRightToHold(kStart + 5s, kStart + 900ms);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 900ms) == 2);
    holder.UpdateRightToHold(kStart + 5s, kStart + 4s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 4s) == 0);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 6s) == 2);
  }
  SUBCASE(
      "the takeover wait follows a long lapse, in which VMs may take over without the platform") {
    holder.UpdateRightToHold(kStart + 105s, kStart + 100s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 107s) == 0);
    holder.UpdateRightToHold(kStart + 113s, kStart + 108s);
    CHECK(holder.CountUsableSlots(kLeaf, kStart + 108s) == 0);
  }
}

}  // namespace ibishold
