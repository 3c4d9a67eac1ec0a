#include <doctest/doctest.h>

#include "ibishold/core.h"

namespace ibishold {

TEST_CASE("core functions") {
  SUBCASE("hashes are equal on every machine") {
    // Guards against VMs that compute different placements, so that a slot gets two owners.
    CHECK(StableHash("leaf-1") == 838969419156503770ULL);
    CHECK(RendezvousScore("leaf-1", "vm-1") != RendezvousScore("leaf-1", "vm-2"));
  }
  SUBCASE("equal seeds give equal random numbers") {
    Random first(7);
    Random second(7);
    for (int i = 0; i < 100; ++i) {
      CHECK(first.NextBelow(10) == second.NextBelow(10));
    }
  }
  SUBCASE("enumerators are converted to names and back") {
    CHECK(ToName(kVerdictNames, Verdict::kMayHaveRun) == "may_have_run");
    CHECK(FromName<Verdict>(kVerdictNames, "ran") == Verdict::kRan);
    CHECK_FALSE(FromName<Verdict>(kVerdictNames, "maybe").has_value());
  }
}

}  // namespace ibishold
