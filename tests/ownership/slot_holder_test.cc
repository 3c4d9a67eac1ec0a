#include <doctest/doctest.h>

#include "ibishold/ownership.h"

namespace ibishold {

namespace {

using namespace std::chrono_literals;
constexpr TimePoint kStartTime{1h};
const LeafId kLeafId("leaf");

std::shared_ptr<const SlotPlan> MakePlan(const std::vector<std::string>& vms) {
  Topology topology;
  Service service{.name = ServiceName("s"), .slots = 4};
  service.shards.push_back({.id = ShardId("0"), .leaves = {{.id = kLeafId}}});
  topology.services.push_back(service);
  VmList list;
  for (const std::string& vm : vms) {
    list.vms.push_back({.id = VmId(vm)});
  }
  return std::make_shared<const SlotPlan>(topology, list);
}

SlotHolder MakeHolder(const std::string& vm) {
  SlotHolder holder({.vm = VmId(vm)});
  holder.UpdateRightToHold(TimePoint::max(), kStartTime);
  return holder;
}

// Updates the right to hold slots every 500 ms, which is within pause_limit, so that the holder
// detects no pause.
void UpdateRightRegularly(SlotHolder& holder, TimePoint start, TimePoint end) {
  for (TimePoint now = start; now <= end; now += 500ms) {
    holder.UpdateRightToHold(TimePoint::max(), now);
  }
}

}  // namespace

TEST_CASE("takeover of slots") {
  const auto plan_with_both = MakePlan({"a", "b"});
  const auto plan_with_only_b = MakePlan({"b"});
  SUBCASE("a VM uses its slots without a wait under the first list of a fleet") {
    SlotHolder holder = MakeHolder("a");
    holder.OnPlan(plan_with_both, 1, kStartTime);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime) == 2);
  }
  SUBCASE("a process that starts later waits, because a former holder may still use the slots") {
    SlotHolder holder = MakeHolder("a");
    holder.OnPlan(plan_with_both, 7, kStartTime);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 7999ms) == 0);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 8s) == 2);
  }
  SUBCASE("slots of a removed VM are used 8 s after the new list arrived") {
    SlotHolder holder = MakeHolder("b");
    holder.OnPlan(plan_with_both, 1, kStartTime);
    holder.OnPlan(plan_with_only_b, 2, kStartTime + 10s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 17999ms) == 2);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 18s) == 4);
  }
  SUBCASE("a release by the former holder ends the wait") {
    SlotHolder holder = MakeHolder("b");
    holder.OnPlan(plan_with_both, 1, kStartTime);
    holder.OnPlan(plan_with_only_b, 2, kStartTime + 10s);
    holder.OnRelease(kLeafId, 2, kStartTime + 10s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 10s) == 4);
  }
  SUBCASE("a release that arrives before the list ends the wait too") {
    SlotHolder holder = MakeHolder("b");
    holder.OnPlan(plan_with_both, 1, kStartTime);
    holder.OnRelease(kLeafId, 2, kStartTime + 9s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 9s) == 2);
    holder.OnPlan(plan_with_only_b, 2, kStartTime + 10s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 10s) == 4);
  }
  SUBCASE("the former holder stops at once and releases its slots when no call is in flight") {
    SlotHolder holder = MakeHolder("a");
    holder.OnPlan(plan_with_both, 1, kStartTime);
    UpdateRightRegularly(holder, kStartTime, kStartTime + 10s);
    holder.OnPlan(plan_with_only_b, 2, kStartTime + 10s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 10s) == 0);
    CHECK(holder.TakeHandOvers(kLeafId, 1).empty());
    CHECK(holder.TakeHandOvers(kLeafId, 0) ==
          std::vector<SlotHandOver>{{.leaf = kLeafId, .to = VmId("b"), .slots = 2}});
    CHECK(holder.TakeHandOvers(kLeafId, 0).empty());
  }
  SUBCASE("slots that were still pending are not released to a third VM") {
    SlotHolder holder = MakeHolder("b");
    holder.OnPlan(plan_with_both, 1, kStartTime);
    holder.OnPlan(plan_with_only_b, 2, kStartTime + 10s);
    holder.OnPlan(plan_with_both, 3, kStartTime + 11s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 30s) == 2);
    CHECK(holder.TakeHandOvers(kLeafId, 0).empty());
  }
  SUBCASE("regained slots are pending for the takeover wait even if they were not released yet") {
    SlotHolder holder = MakeHolder("a");
    holder.OnPlan(plan_with_both, 1, kStartTime);
    holder.OnPlan(plan_with_only_b, 2, kStartTime + 10s);
    holder.OnPlan(plan_with_both, 3, kStartTime + 11s);
    CHECK(holder.TakeHandOvers(kLeafId, 0).empty());
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 18s) == 0);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 19s) == 2);
  }
  SUBCASE("a planned stop releases all slots") {
    SlotHolder holder = MakeHolder("a");
    holder.OnPlan(plan_with_both, 1, kStartTime);
    holder.Leave(plan_with_only_b, 1, kStartTime + 1s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 1s) == 0);
    CHECK(holder.TakeHandOvers(kLeafId, 0).size() == 1);
    holder.OnPlan(plan_with_both, 2, kStartTime + 2s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 60s) == 0);
  }
}

// Guards against leaves that no VM uses while a new placement reaches the VMs one after the other,
// and against two VMs that both decide how many calls a cold leaf gets.
TEST_CASE("slots and the role of primary move at the same time") {
  const auto plan_with_both = MakePlan({"a", "b"});
  const std::string first_vm = plan_with_both->FindOwners(kLeafId).front().vm.value;
  const std::string second_vm = first_vm == "a" ? "b" : "a";
  const auto plan_without_first = MakePlan({second_vm});
  SlotHolder former_primary({.vm = VmId(first_vm), .release_delay = 1500ms});
  SlotHolder next_primary({.vm = VmId(second_vm), .release_delay = 1500ms});
  for (SlotHolder* holder : {&former_primary, &next_primary}) {
    holder->OnPlan(plan_with_both, 1, kStartTime);
    holder->UpdateRightToHold(TimePoint::max(), kStartTime);
  }
  CHECK(former_primary.ActsAsPrimary(kLeafId, kStartTime));
  CHECK_FALSE(next_primary.ActsAsPrimary(kLeafId, kStartTime));

  const TimePoint changed_at = kStartTime + 500ms;
  former_primary.OnPlan(plan_without_first, 2, changed_at);
  next_primary.OnPlan(plan_without_first, 2, changed_at);
  former_primary.UpdateRightToHold(TimePoint::max(), changed_at);
  SUBCASE("the former owner uses its slots and acts as primary during the release delay") {
    former_primary.UpdateRightToHold(TimePoint::max(), changed_at + 900ms);
    former_primary.UpdateRightToHold(TimePoint::max(), changed_at + 1499ms);
    CHECK(former_primary.CountUsableSlots(kLeafId, changed_at + 1499ms) == 2);
    CHECK(former_primary.ActsAsPrimary(kLeafId, changed_at + 1499ms));
    CHECK(former_primary.TakeHandOvers(kLeafId, 0).empty());
    CHECK_FALSE(former_primary.TakePrimaryHandOver(kLeafId));
    CHECK(former_primary.CountUsableSlots(kLeafId, changed_at + 1500ms) == 0);
    CHECK_FALSE(former_primary.ActsAsPrimary(kLeafId, changed_at + 1500ms));

    SUBCASE("slots and role are each handed over once after the delay") {
      former_primary.UpdateRightToHold(TimePoint::max(), changed_at + 1500ms);
      CHECK(former_primary.TakeHandOvers(kLeafId, 0).size() == 1);
      CHECK(former_primary.TakePrimaryHandOver(kLeafId) == VmId(second_vm));
      CHECK_FALSE(former_primary.TakePrimaryHandOver(kLeafId));
    }
  }
  SUBCASE("the next primary acts as primary when it is notified of the hand-over") {
    next_primary.OnPrimaryRelease(kLeafId, changed_at + 2s);
    CHECK(next_primary.ActsAsPrimary(kLeafId, changed_at + 2s));
    CHECK(next_primary.CountUsableSlots(kLeafId, changed_at + 2s) == 2);
  }
  SUBCASE("the next primary acts as primary after the takeover wait and the release delay") {
    CHECK_FALSE(next_primary.ActsAsPrimary(kLeafId, changed_at + 9499ms));
    CHECK(next_primary.ActsAsPrimary(kLeafId, changed_at + 9500ms));
    CHECK(next_primary.CountUsableSlots(kLeafId, changed_at + 9500ms) == 4);
  }
  SUBCASE("a primary that regains the role waits like any other VM") {
    former_primary.OnPlan(plan_with_both, 3, changed_at + 1s);
    CHECK_FALSE(former_primary.ActsAsPrimary(kLeafId, changed_at + 10s));
    CHECK(former_primary.ActsAsPrimary(kLeafId, changed_at + 11s));
  }
  SUBCASE("a planned stop releases slots and role without the release delay") {
    former_primary.Leave(plan_without_first, 2, changed_at + 100ms);
    CHECK(former_primary.CountUsableSlots(kLeafId, changed_at + 100ms) == 0);
    CHECK(former_primary.TakeHandOvers(kLeafId, 0).size() == 1);
    CHECK(former_primary.TakePrimaryHandOver(kLeafId) == VmId(second_vm));
  }
}

// Guards against a process that missed lists of VMs and then uses or releases slots that another VM
// has taken over. The simulation found both cases.
TEST_CASE("a process resumes after a pause") {
  const auto plan_with_both = MakePlan({"a", "b"});
  const auto plan_with_only_b = MakePlan({"b"});
  SlotHolder holder = MakeHolder("a");
  holder.OnPlan(plan_with_both, 4, kStartTime);
  UpdateRightRegularly(holder, kStartTime, kStartTime + 20s);
  REQUIRE(holder.CountUsableSlots(kLeafId, kStartTime + 20s) == 2);
  const TimePoint resumed_at = kStartTime + 35s;
  SUBCASE("it does not release slots that it loses") {
    holder.OnPlan(plan_with_only_b, 6, resumed_at);
    UpdateRightRegularly(holder, resumed_at, resumed_at + 10s);
    CHECK(holder.TakeHandOvers(kLeafId, 0).empty());
    CHECK_FALSE(holder.TakePrimaryHandOver(kLeafId));
  }
  SUBCASE("it does not release slots that it lost before the pause") {
    UpdateRightRegularly(holder, kStartTime + 20500ms, kStartTime + 21s);
    holder.OnPlan(plan_with_only_b, 5, kStartTime + 21s);
    holder.UpdateRightToHold(TimePoint::max(), resumed_at);
    CHECK(holder.TakeHandOvers(kLeafId, 0).empty());
  }
  SUBCASE("it waits after a missed list, even if the next list assigns its slots again") {
    holder.OnPlan(plan_with_both, 6, resumed_at);
    UpdateRightRegularly(holder, resumed_at, resumed_at + 7500ms);
    CHECK(holder.CountUsableSlots(kLeafId, resumed_at + 7500ms) == 0);
    UpdateRightRegularly(holder, resumed_at + 8s, resumed_at + 8s);
    CHECK(holder.CountUsableSlots(kLeafId, resumed_at + 8s) == 2);
  }
  SUBCASE("it waits only for resume_wait if it missed no list") {
    holder.OnPlan(plan_with_both, 5, resumed_at);
    UpdateRightRegularly(holder, resumed_at, resumed_at + 2s);
    CHECK(holder.CountUsableSlots(kLeafId, resumed_at + 2s) == 2);
  }
}

TEST_CASE("lapse of the right to hold") {
  SlotHolder holder({.vm = VmId("a")});
  holder.OnPlan(MakePlan({"a", "b"}), 1, kStartTime);
  CHECK(holder.CountUsableSlots(kLeafId, kStartTime) == 0);
  holder.UpdateRightToHold(kStartTime + 5s, kStartTime);
  CHECK(holder.CountUsableSlots(kLeafId, kStartTime) == 2);
  SUBCASE("it lapses without a renewal") {
    holder.UpdateRightToHold(kStartTime + 5s, kStartTime + 5s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 5s) == 0);
    holder.UpdateRightToHold(kStartTime + 11s, kStartTime + 6s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 6s) == 0);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 7999ms) == 0);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 8s) == 2);
  }
  SUBCASE("it lapses during a pause, and is renewed before the next check") {
    // Guards against a process that resumes and uses slots according to an outdated list.
    holder.UpdateRightToHold(kStartTime + 25s, kStartTime + 20s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 20s) == 0);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 22s) == 2);
  }
  SUBCASE("a short pause within the right to hold is followed by a wait for the newest list") {
    holder.UpdateRightToHold(kStartTime + 5s, kStartTime + 900ms);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 900ms) == 2);
    holder.UpdateRightToHold(kStartTime + 5s, kStartTime + 4s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 4s) == 0);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 6s) == 2);
  }
  SUBCASE(
      "the takeover wait follows a long lapse, in which VMs may take over without the platform") {
    holder.UpdateRightToHold(kStartTime + 105s, kStartTime + 100s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 107s) == 0);
    holder.UpdateRightToHold(kStartTime + 113s, kStartTime + 108s);
    CHECK(holder.CountUsableSlots(kLeafId, kStartTime + 108s) == 0);
  }
}

}  // namespace ibishold
