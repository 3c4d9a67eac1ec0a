#include <doctest/doctest.h>

#include "ibishold/caller_path.h"

namespace ibishold {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE("the time that an answer takes on the link of a small VM") {
  // Pattern: an answer of 180 signatures is 8 KB and more; a link of 34 Mbit/s carries 4 KB a ms,
  // so that answers cut just in time were late by a hair.
  CallerPath path({.link_bytes_per_second = 34e6 / 8});
  Route wide = {.name = "wide", .top = 20};
  wide.shards.resize(180);
  const Route narrow = {.name = "narrow"};
  SUBCASE("is estimated from the route before any answer") {
    CHECK(path.TransferTime(wide) > microseconds(1500));
    CHECK(path.TransferTime(wide) < microseconds(2500));
    CHECK(path.TransferTime(narrow) == Duration::zero());
  }
  SUBCASE("then from answers") {
    path.RecordAnswerSize("wide", 8500);
    CHECK(path.TransferTime(wide) == milliseconds(2));
    SUBCASE("a small one does not hide the usual ones") {
      path.RecordAnswerSize("wide", 300);
      CHECK(path.TransferTime(wide) > microseconds(1900));
    }
    SUBCASE("but many do") {
      for (int i = 0; i < 300; ++i) {
        path.RecordAnswerSize("wide", 300);
      }
      CHECK(path.TransferTime(wide) < microseconds(100));
    }
  }
}

TEST_CASE("the cost of a hand-over covers nearly all of those measured") {
  CallerPath path;
  CHECK(path.HandOverCost() == CallerPathOptions{}.initial_hand_over_cost);
  Random random(3);
  // Most take 2 to 3 ms, one in fifty meets a busy VM.
  const auto cost = [&] {
    return random.Below(50) == 0
               ? milliseconds(40)
               : std::chrono::duration_cast<Duration>(microseconds(2000 + random.Below(1000)));
  };
  for (int i = 0; i < 300; ++i) {
    path.RecordHandOverCost(cost());
  }
  CHECK(path.HandOverCost() >= microseconds(2800));
  CHECK(path.HandOverCost() < milliseconds(5));
  SUBCASE("and follows a change of the load") {
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
