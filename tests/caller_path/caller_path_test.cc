#include <doctest/doctest.h>

#include "ibishold/caller_path.h"

namespace ibishold {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE("the transfer time of an answer on the link of a small VM") {
  // Guards against answers that are slightly late because their transfer time is not subtracted. An
  // answer with 180 signatures has 8 KB or more, and a link of 34 Mbit/s carries 4 KB per ms.
  CallerPath caller_path({.link_bytes_per_second = 34e6 / 8});
  Route wide_route = {.name = "wide", .record_limit = 20};
  wide_route.shards.resize(180);
  const Route narrow_route = {.name = "narrow"};
  SUBCASE("is estimated from the route before the first answer") {
    CHECK(caller_path.EstimateTransferTime(wide_route) > microseconds(1500));
    CHECK(caller_path.EstimateTransferTime(wide_route) < microseconds(2500));
    CHECK(caller_path.EstimateTransferTime(narrow_route) == Duration::zero());
  }
  SUBCASE("is estimated from the sizes of answers after the first answer") {
    caller_path.RecordAnswerSize("wide", 8500);
    CHECK(caller_path.EstimateTransferTime(wide_route) == milliseconds(2));
    SUBCASE("one small answer hardly lowers the estimate") {
      caller_path.RecordAnswerSize("wide", 300);
      CHECK(caller_path.EstimateTransferTime(wide_route) > microseconds(1900));
    }
    SUBCASE("many small answers lower the estimate") {
      for (int i = 0; i < 300; ++i) {
        caller_path.RecordAnswerSize("wide", 300);
      }
      CHECK(caller_path.EstimateTransferTime(wide_route) < microseconds(100));
    }
  }
}

TEST_CASE("the estimated cost of a hand-over covers nearly all measured ones") {
  CallerPath caller_path;
  CHECK(caller_path.EstimateHandOverCost() == CallerPathOptions{}.initial_hand_over_cost);
  Random random(3);
  // Most hand-overs take 2 to 3 ms; one in fifty reaches a busy VM and takes 40 ms.
  const auto draw_cost = [&] {
    return random.NextBelow(50) == 0
               ? milliseconds(40)
               : std::chrono::duration_cast<Duration>(microseconds(2000 + random.NextBelow(1000)));
  };
  for (int i = 0; i < 300; ++i) {
    caller_path.RecordHandOverCost(draw_cost());
  }
  CHECK(caller_path.EstimateHandOverCost() >= microseconds(2800));
  CHECK(caller_path.EstimateHandOverCost() < milliseconds(5));
  SUBCASE("and rises when the measured costs rise") {
    for (int i = 0; i < 300; ++i) {
      caller_path.RecordHandOverCost(draw_cost() + milliseconds(10));
    }
    CHECK(caller_path.EstimateHandOverCost() >= milliseconds(12));
  }
  int late_count = 0;
  for (int i = 0; i < 2000; ++i) {
    late_count += draw_cost() > caller_path.EstimateHandOverCost() ? 1 : 0;
  }
  CHECK(late_count < 2000 / 10);
}

}  // namespace ibishold
