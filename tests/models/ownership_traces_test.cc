#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "ibishold/ownership.h"
#include "models/one_slot.h"

// Replays counterexamples of models/ownership.pml, each found with one guard removed, against
// HoldClock, SilenceDetector and SlotHolder. The holder and the new owner must never use the slot
// together.

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const LeafId kLeaf("leaf");

std::shared_ptr<const SlotPlan> PlanOf(const std::vector<std::string>& vms) {
  Topology topology;
  Service service{.name = ServiceName("s"), .slots = 2};
  service.shards.push_back({.id = ShardId("0"), .leaves = {{.id = kLeaf}}});
  topology.services.push_back(service);
  VmList list;
  for (const std::string& vm : vms) {
    list.vms.push_back({.id = VmId(vm)});
  }
  return std::make_shared<const SlotPlan>(topology, list);
}

}  // namespace

TEST_CASE("traces of the ownership model, takeover by the monitors") {
  OneSlot slot;
  SUBCASE("COUNT_FROM_RECEIPT: an acknowledgement that was late is read after a pause") {
    const std::uint64_t beat = slot.Beat();
    CHECK(slot.Hear(0));
    CHECK(slot.Hear(1));
    slot.Advance(seconds(60));
    CHECK(slot.Report(0, false));
    CHECK(slot.Report(1, true));
    CHECK(slot.taken_over());
    slot.Acknowledge(0, beat);
    slot.Acknowledge(1, beat);
    CHECK_FALSE(slot.holder_sends());
  }
  SUBCASE("NO_HOLD_CHECK: the holder wakes up late and has heard nothing since") {
    const std::uint64_t beat = slot.Beat();
    CHECK(slot.Hear(0));
    slot.Acknowledge(0, beat);
    CHECK(slot.holder_sends());
    slot.Advance(seconds(5));
    CHECK_FALSE(slot.holder_sends());
  }
  SUBCASE("REPORTER_ACKNOWLEDGES: the link of a monitor returns right after its report") {
    slot.Advance(seconds(60));
    CHECK(slot.Report(1, true));
    const std::uint64_t beat = slot.Beat();
    if (slot.Hear(1)) {
      slot.Acknowledge(1, beat);
    }
    CHECK(slot.Report(0, false));
    CHECK(slot.taken_over());
    CHECK_FALSE(slot.holder_sends());
  }
  SUBCASE("TAKEOVER_BY_HALF: one of two monitors does not hear the holder") {
    slot.Advance(seconds(60));
    const std::uint64_t beat = slot.Beat();
    CHECK(slot.Hear(1));
    slot.Acknowledge(1, beat);
    CHECK(slot.Report(0, true));
    CHECK_FALSE(slot.taken_over());
    CHECK(slot.holder_sends());
  }
}

TEST_CASE("traces of the ownership model, takeover by the list") {
  const TimePoint learned{std::chrono::hours(1)};  // the new owner learns the list without "h"
  const TimePoint hold_until = learned + seconds(5);
  const auto both = PlanOf({"h", "n"});
  const auto without = PlanOf({"n"});
  SlotHolder holder({.vm = VmId("h")});
  SlotHolder owner({.vm = VmId("n")});
  holder.UpdateRightToHold(hold_until, learned - milliseconds(100));
  owner.UpdateRightToHold(TimePoint::max(), learned - milliseconds(100));
  holder.OnPlan(both, 1, learned - milliseconds(100));
  owner.OnPlan(both, 1, learned - milliseconds(100));
  REQUIRE(owner.CountUsableSlots(kLeaf, learned) == 1);
  owner.OnPlan(without, 2, learned);

  SUBCASE(
      "NO_WAIT and SHORT_WAIT: the holder has not heard of the list and sends until its hold "
      "ends") {
    for (TimePoint now = learned; now < hold_until; now += milliseconds(100)) {
      holder.UpdateRightToHold(hold_until, now);
      CHECK(holder.CountUsableSlots(kLeaf, now) == 1);
    }
    holder.UpdateRightToHold(hold_until, hold_until);
    CHECK(holder.CountUsableSlots(kLeaf, hold_until) == 0);
    // The last request may occupy its slot for 3 s.
    const TimePoint busy_until = hold_until + seconds(3) - milliseconds(1);
    CHECK(owner.CountUsableSlots(kLeaf, busy_until) == 1);
    CHECK(owner.CountUsableSlots(kLeaf, learned + seconds(8)) == 2);
  }
  SUBCASE("RELEASE_WHILE_BUSY: the holder learns the list while a request runs") {
    holder.OnPlan(without, 2, learned);
    CHECK(holder.CountUsableSlots(kLeaf, learned) == 0);
    CHECK(holder.TakeHandOvers(kLeaf, 1).empty());
    const auto given = holder.TakeHandOvers(kLeaf, 0);
    REQUIRE(given.size() == 1);
    CHECK(given[0].to == VmId("n"));
    owner.OnRelease(kLeaf, given[0].slots, learned + seconds(1));
    CHECK(owner.CountUsableSlots(kLeaf, learned + seconds(1)) == 2);
  }
}

}  // namespace ibishold
