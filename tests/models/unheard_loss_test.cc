#include <doctest/doctest.h>

#include "models/one_slot.h"

// Replays the counterexample LOSS_UNHEARD of models/ownership.pml against HoldClock and
// SilenceDetector.

namespace ibishold {

using std::chrono::seconds;

TEST_CASE("a monitor that reported a run and did not hear of its loss") {
  // Guards against a holder that is acknowledged again by the monitors whose reports let another VM
  // take its slots. One monitor collects both reports and is cut off with the new owner.
  OneSlot slot;
  slot.Advance(seconds(60));
  CHECK(slot.Report(1, true));
  CHECK(slot.Report(0, false));
  REQUIRE(slot.taken_over());
  slot.Advance(seconds(10));
  const std::uint64_t beat = slot.Beat();
  if (slot.Hear(1)) {
    slot.Acknowledge(1, beat);
  }
  CHECK_FALSE(slot.holder_sends());
}

}  // namespace ibishold
