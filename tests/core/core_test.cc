#include <doctest/doctest.h>

#include "ibishold/core.h"

namespace ibishold {

TEST_CASE("shared vocabulary") {
  SUBCASE("hashes are equal on every machine") {
    // Guards against placement that differs between VMs, which would give a slot two owners.
    CHECK(StableHash("leaf-1") == 838969419156503770ULL);
    CHECK(RendezvousScore("leaf-1", "vm-1") != RendezvousScore("leaf-1", "vm-2"));
  }
  SUBCASE("seeded randomness repeats") {
    Random first(7);
    Random second(7);
    for (int i = 0; i < 100; ++i) {
      CHECK(first.NextBelow(10) == second.NextBelow(10));
    }
  }
  SUBCASE("enumerators convert to names and back") {
    CHECK(ToName(kVerdictNames, Verdict::kMayHaveRun) == "may_have_run");
    CHECK(FromName<Verdict>(kVerdictNames, "ran") == Verdict::kRan);
    CHECK_FALSE(FromName<Verdict>(kVerdictNames, "maybe").has_value());
  }
}

}  // namespace ibishold
