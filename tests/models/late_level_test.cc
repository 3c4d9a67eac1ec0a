#include <doctest/doctest.h>

#include "ibishold/policy.h"

// Replays the counterexample of models/cold.pml without ECHO against WarmUp.

namespace ibishold {

TEST_CASE("a level that the primary sent before it noticed the restart") {
  // Guards against a secondary that uses its slots at a leaf that has just started, while the
  // primary sends its first request there.
  WarmUp secondary;
  secondary.SetShare({.primary = false, .primary_slots = 1, .total_slots = 2});
  secondary.RecordAnswer(100, std::chrono::hours(1));
  const LeafLevel late{.incarnation = 100, .level = 2, .warm = true};
  secondary.MergePeerLevel(late);
  REQUIRE(secondary.GetAllowance() == 1);

  secondary.MarkCold(ColdReason::kReset);
  CHECK(secondary.GetAllowance() == 0);
  secondary.MergePeerLevel(late);
  CHECK(secondary.GetAllowance() == 0);
}

}  // namespace ibishold
