#include <doctest/doctest.h>

#include "ibishold/caller_path.h"

namespace ibishold {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE("the transfer time of an answer on the link of a small VM") {
  // Guards against answers that are slightly late because their transfer is not counted: one with
  // 180 signatures has 8 KB or more, and a link of 34 Mbit/s carries 4 KB per ms.
  CallerPath path({.link_bytes_per_second = 34e6 / 8});
  Route wide = {.name = "wide", .record_limit = 20};
  wide.shards.resize(180);
  const Route narrow = {.name = "narrow"};
  SUBCASE("is estimated from the route before the first answer") {
    CHECK(path.TransferTime(wide) > microseconds(1500));
    CHECK(path.TransferTime(wide) < microseconds(2500));
    CHECK(path.TransferTime(narrow) == Duration::zero());
  }
  SUBCASE("is estimated from the sizes of answers afterwards") {
    path.RecordAnswerSize("wide", 8500);
    CHECK(path.TransferTime(wide) == milliseconds(2));
    SUBCASE("one small answer hardly lowers the estimate") {
      path.RecordAnswerSize("wide", 300);
      CHECK(path.TransferTime(wide) > microseconds(1900));
    }
    SUBCASE("many small answers lower it") {
      for (int i = 0; i < 300; ++i) {
        path.RecordAnswerSize("wide", 300);
      }
      CHECK(path.TransferTime(wide) < microseconds(100));
    }
  }
}

TEST_CASE("the estimated cost of a hand-over covers nearly all measured ones") {
  CallerPath path;
  CHECK(path.HandOverCost() == CallerPathOptions{}.initial_hand_over_cost);
  Random random(3);
  // Most hand-overs take 2 to 3 ms; one in fifty reaches a busy VM and takes 40 ms.
  const auto cost = [&] {
    return random.NextBelow(50) == 0
               ? milliseconds(40)
               : std::chrono::duration_cast<Duration>(microseconds(2000 + random.NextBelow(1000)));
  };
  for (int i = 0; i < 300; ++i) {
    path.RecordHandOverCost(cost());
  }
  CHECK(path.HandOverCost() >= microseconds(2800));
  CHECK(path.HandOverCost() < milliseconds(5));
  SUBCASE("and follows a change of the measured costs") {
    for (int i = 0; i < 300; ++i) {
      path.RecordHandOverCost(cost() + milliseconds(10));
    }
    CHECK(path.HandOverCost() >= milliseconds(12));
  }
  int late = 0;
  for (int i = 0; i < 2000; ++i) {
    late += cost() > path.HandOverCost() ? 1 : 0;
  }
  CHECK(late < 2000 / 10);
}

}  // namespace ibishold
