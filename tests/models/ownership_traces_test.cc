#include <doctest/doctest.h>

#include "models/one_slot.h"

// Replays counterexamples of models/ownership.pml, each found with one guard removed, against
// HoldClock and SilenceDetector. The holder and the new owner must never use the slot together.

namespace ibishold {

using std::chrono::seconds;

TEST_CASE("traces of the ownership model") {
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

}  // namespace ibishold
