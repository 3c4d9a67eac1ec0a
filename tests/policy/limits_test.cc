#include <doctest/doctest.h>

#include "ibishold/policy.h"

namespace ibishold {

namespace {

using namespace std::chrono_literals;
constexpr TimePoint kStart{1h};
constexpr WarmUpShare kPrimary{.primary = true, .primary_slots = 2, .total_slots = 4};
constexpr WarmUpShare kSecondary{.primary = false, .primary_slots = 2, .total_slots = 4};

void RecordSuccesses(WarmUp& warm_up, int times) {
  for (int i = 0; i < times; ++i) {
    warm_up.RecordSuccess(warm_up.stage());
  }
}

}  // namespace

TEST_CASE("an abandoned call keeps its slot until the leaf no longer runs it") {
  LeafLimiter limiter;
  limiter.SetLimit(2);
  REQUIRE(limiter.Start(1));
  REQUIRE(limiter.Start(2));
  CHECK_FALSE(limiter.Start(3));
  // Guards against cancelled calls that accumulate at the leaf while new calls are sent.
  limiter.Abandon(1, kStart + 2s);
  CHECK_FALSE(limiter.Start(3));
  CHECK(limiter.abandoned() == 1);
  limiter.Expire(kStart + 1999ms);
  CHECK_FALSE(limiter.Start(3));
  SUBCASE("the slot is freed at the time limit") {
    limiter.Expire(kStart + 2s);
    CHECK(limiter.Start(3));
  }
  SUBCASE("the slot is freed when the leaf confirms the end") {
    limiter.Finish(1);
    CHECK(limiter.Start(3));
  }
  SUBCASE("after a lower limit, no call starts until enough calls have ended") {
    limiter.SetLimit(1);
    limiter.Finish(1);
    CHECK_FALSE(limiter.Start(3));
    limiter.Finish(2);
    CHECK(limiter.Start(3));
  }
}

TEST_CASE("warm-up of a leaf") {
  WarmUp warm_up;
  warm_up.SetShare(kPrimary);
  // Guards against an owner that has just started and overloads a leaf whose state it does not
  // know.
  CHECK(warm_up.Allowance() == 1);
  RecordSuccesses(warm_up, 7);
  CHECK(warm_up.Level().level == 1);
  RecordSuccesses(warm_up, 1);
  CHECK(warm_up.Level().level == 2);

  SUBCASE("calls started at an earlier level do not raise the level") {
    const std::uint64_t stage = warm_up.stage();
    RecordSuccesses(warm_up, 8);
    REQUIRE(warm_up.Level().level == 3);
    for (int i = 0; i < 20; ++i) {
      warm_up.RecordSuccess(stage);
    }
    CHECK(warm_up.Level().level == 3);
  }
  SUBCASE("a burst of time-outs halves the level once") {
    RecordSuccesses(warm_up, 16);
    REQUIRE(warm_up.Level().level == 4);
    const std::uint64_t stage = warm_up.stage();
    warm_up.RecordTimeout(stage);
    warm_up.RecordTimeout(stage);
    warm_up.RecordShed(stage);
    CHECK(warm_up.Level().level == 2);
  }
  SUBCASE("it is warm after eight successes at the highest level") {
    RecordSuccesses(warm_up, 23);
    CHECK_FALSE(warm_up.is_warm());
    RecordSuccesses(warm_up, 1);
    CHECK(warm_up.is_warm());
    CHECK(warm_up.Allowance() == 2);
    SUBCASE("a changed incarnation makes it cold") {
      CHECK_FALSE(warm_up.RecordAnswer(5, 1h));
      CHECK(warm_up.is_warm());
      CHECK(warm_up.RecordAnswer(6, 1s));
      CHECK(warm_up.Level().level == 1);
    }
    SUBCASE("a delayed answer of an earlier run is ignored") {
      warm_up.RecordAnswer(6, 1h);
      CHECK_FALSE(warm_up.RecordAnswer(5, 1h));
      CHECK(warm_up.is_warm());
    }
    SUBCASE("a lower uptime makes it cold") {
      warm_up.RecordAnswer(5, 1h);
      CHECK(warm_up.RecordAnswer(5, 1s));
      CHECK(warm_up.Allowance() == 1);
    }
    SUBCASE("consecutive time-outs make it cold, single ones do not") {
      for (int i = 0; i < 10; ++i) {
        warm_up.RecordTimeout(warm_up.stage());
        warm_up.RecordSuccess(warm_up.stage());
      }
      CHECK(warm_up.is_warm());
      for (int i = 0; i < 4; ++i) {
        warm_up.RecordTimeout(warm_up.stage());
      }
      CHECK_FALSE(warm_up.is_warm());
    }
  }
}

TEST_CASE("two owners share the level of a cold leaf") {
  WarmUp primary;
  WarmUp secondary;
  primary.SetShare(kPrimary);
  secondary.SetShare(kSecondary);
  primary.RecordAnswer(5, 1h);
  secondary.RecordAnswer(5, 1h);
  const auto send_level = [](WarmUp& from, WarmUp& to) {
    if (const auto message = from.TakeMessage()) {
      to.MergePeerLevel(*message);
    }
  };
  // Guards against two owners that each allow one call.
  CHECK(primary.Allowance() + secondary.Allowance() == 1);
  for (std::uint32_t level = 1; level <= 4; ++level) {
    CHECK(primary.Level().level == level);
    send_level(primary, secondary);
    CHECK(primary.Allowance() + secondary.Allowance() == level);
    RecordSuccesses(primary, 8);
  }
  send_level(primary, secondary);
  CHECK(secondary.is_warm());
  CHECK(secondary.Allowance() == 2);

  SUBCASE("a restart seen by the secondary makes the primary cold") {
    secondary.RecordAnswer(6, 1s);
    CHECK(secondary.Allowance() == 0);
    send_level(secondary, primary);
    CHECK(primary.Allowance() == 1);
  }
  SUBCASE("a level of an earlier run does not warm up the secondary") {
    const LeafLevel old = primary.Level();
    secondary.RecordAnswer(6, 1s);
    secondary.MergePeerLevel(old);
    CHECK(secondary.Allowance() == 0);
  }
  SUBCASE("a secondary follows a primary that has just started") {
    WarmUp fresh;
    fresh.SetShare(kPrimary);
    send_level(fresh, secondary);
    CHECK(fresh.Allowance() + secondary.Allowance() == 1);
  }
  SUBCASE("a secondary that has just started does not make the primary cold") {
    WarmUp fresh;
    fresh.SetShare(kSecondary);
    send_level(fresh, primary);
    CHECK(primary.is_warm());
    send_level(primary, fresh);
    CHECK(fresh.Allowance() == 2);
  }
  SUBCASE("a promoted secondary restarts the warm-up unless the leaf is warm") {
    WarmUp follower;
    follower.SetShare(kSecondary);
    follower.MergePeerLevel({.incarnation = 5, .level = 3});
    REQUIRE(follower.Allowance() == 1);
    follower.SetShare(kPrimary);
    CHECK(follower.Level().level == 1);
    secondary.SetShare(kPrimary);
    CHECK(secondary.is_warm());
  }
}

TEST_CASE("service times far above the leaf's own history are detected") {
  // Guards against a leaf that became cold without a restart.
  ServiceTimes times;
  Random random(3);
  for (int i = 0; i < 200; ++i) {
    times.Record(random.ApplyJitter(8ms, 0.5));
    CHECK_FALSE(times.IsFarAboveHistory());
  }
  for (int i = 0; i < 4; ++i) {
    times.Record(100ms);
  }
  CHECK_FALSE(times.IsFarAboveHistory());
  for (int i = 0; i < 4; ++i) {
    times.Record(100ms);
  }
  CHECK(times.IsFarAboveHistory());
}

}  // namespace ibishold
