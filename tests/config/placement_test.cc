#include <doctest/doctest.h>

#include <map>
#include <string>

#include "ibishold/ownership.h"

namespace ibishold {

namespace {

VmList MakeVmList() {
  VmList list;
  for (int i = 0; i < 14; ++i) {
    list.vms.push_back({.id = VmId("vm-" + std::to_string(i)),
                        .data_centre = DataCentre("dc-" + std::to_string(i % 3))});
  }
  return list;
}

Leaf MakeLeaf(int number) {
  return {.id = LeafId("leaf-" + std::to_string(number)), .data_centre = DataCentre("dc-1")};
}

}  // namespace

TEST_CASE("PlaceLeaf assigns the slots of a leaf to VMs") {
  VmList vms = MakeVmList();
  SUBCASE("the owners are in the leaf's data centre and share its slots") {
    const auto owners = PlaceLeaf(MakeLeaf(1), 3, vms);
    REQUIRE(owners.size() == 2);
    CHECK(owners[0].slots + owners[1].slots == 3);
    for (const SlotOwner& owner : owners) {
      CHECK(vms.Find(owner.vm)->data_centre == DataCentre("dc-1"));
    }
  }
  SUBCASE("a leaf with one slot has one owner, so that its slot is never counted twice") {
    CHECK(PlaceLeaf(MakeLeaf(1), 1, vms).size() == 1);
  }
  SUBCASE("the loss of a VM moves only the slots that it owned") {
    // Guards against a placement that moves warm leaves to new owners without need.
    VmList fewer = vms;
    fewer.vms[4].state = VmState::kLeaving;
    for (int i = 0; i < 200; ++i) {
      const auto before = PlaceLeaf(MakeLeaf(i), 2, vms);
      const auto after = PlaceLeaf(MakeLeaf(i), 2, fewer);
      for (const SlotOwner& owner : before) {
        const bool kept = after[0].vm == owner.vm || after[1].vm == owner.vm;
        CHECK(kept == (owner.vm != vms.vms[4].id));
      }
    }
  }
  SUBCASE("slots are spread evenly over the VMs of the data centre") {
    std::map<VmId, int> count;
    for (int i = 0; i < 1000; ++i) {
      for (const SlotOwner& owner : PlaceLeaf(MakeLeaf(i), 2, vms)) {
        ++count[owner.vm];
      }
    }
    CHECK(count.size() == 5);  // the VMs of the data centre
    for (const auto& [vm, owned] : count) {
      CHECK(owned > 300);
      CHECK(owned < 500);
    }
  }
}

}  // namespace ibishold
