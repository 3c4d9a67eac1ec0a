#include <doctest/doctest.h>

#include "ibishold/policy.h"

namespace ibishold {

namespace {

using namespace std::chrono_literals;
constexpr TimePoint kStart{1h};
constexpr WarmUpShare kPrimary{.primary = true, .primary_slots = 2, .total_slots = 4};
constexpr WarmUpShare kSecondary{.primary = false, .primary_slots = 2, .total_slots = 4};

void RecordSuccesses(WarmUp& warm_up, int count) {
  for (int i = 0; i < count; ++i) {
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
  // Guards against new calls to a leaf that is still running cancelled ones.
  limiter.Abandon(1, kStart + 2s);
  CHECK_FALSE(limiter.Start(3));
  CHECK(limiter.abandoned_calls() == 1);
  limiter.Expire(kStart + 1999ms);
  CHECK_FALSE(limiter.Start(3));
  SUBCASE("the slot is freed when the time limit of the call passes") {
    limiter.Expire(kStart + 2s);
    CHECK(limiter.Start(3));
  }
  SUBCASE("the slot is freed when the leaf confirms the end of the call") {
    limiter.Finish(1);
    CHECK(limiter.Start(3));
  }
  SUBCASE("after the limit is lowered, no call starts until enough calls have ended") {
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
  // Guards against an owner that has just started and overloads a leaf that may be cold.
  CHECK(warm_up.GetAllowance() == 1);
  RecordSuccesses(warm_up, 7);
  CHECK(warm_up.GetLevel().level == 1);
  RecordSuccesses(warm_up, 1);
  CHECK(warm_up.GetLevel().level == 2);

  SUBCASE("calls started at an earlier level do not raise the level") {
    const std::uint64_t stage = warm_up.stage();
    RecordSuccesses(warm_up, 8);
    REQUIRE(warm_up.GetLevel().level == 3);
    for (int i = 0; i < 20; ++i) {
      warm_up.RecordSuccess(stage);
    }
    CHECK(warm_up.GetLevel().level == 3);
  }
  SUBCASE("a burst of time-outs halves the level once") {
    RecordSuccesses(warm_up, 16);
    REQUIRE(warm_up.GetLevel().level == 4);
    const std::uint64_t stage = warm_up.stage();
    warm_up.RecordTimeout(stage);
    warm_up.RecordTimeout(stage);
    warm_up.RecordShed(stage);
    CHECK(warm_up.GetLevel().level == 2);
  }
  SUBCASE("the leaf is warm after eight successes at the highest level") {
    RecordSuccesses(warm_up, 23);
    CHECK_FALSE(warm_up.is_warm());
    RecordSuccesses(warm_up, 1);
    CHECK(warm_up.is_warm());
    CHECK(warm_up.GetAllowance() == 2);
    SUBCASE("a changed incarnation makes the leaf cold") {
      CHECK_FALSE(warm_up.RecordAnswer(5, 1h));
      CHECK(warm_up.is_warm());
      CHECK(warm_up.RecordAnswer(6, 1s));
      CHECK(warm_up.GetLevel().level == 1);
    }
    SUBCASE("a delayed answer of an earlier run of the leaf is ignored") {
      warm_up.RecordAnswer(6, 1h);
      CHECK_FALSE(warm_up.RecordAnswer(5, 1h));
      CHECK(warm_up.is_warm());
    }
    SUBCASE("a lower uptime makes the leaf cold") {
      warm_up.RecordAnswer(5, 1h);
      CHECK(warm_up.RecordAnswer(5, 1s));
      CHECK(warm_up.GetAllowance() == 1);
    }
    SUBCASE("consecutive time-outs make the leaf cold, single time-outs do not") {
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
  // Guards against two owners that each send one call to a leaf that may have one call in total.
  CHECK(primary.GetAllowance() + secondary.GetAllowance() == 1);
  for (std::uint32_t level = 1; level <= 4; ++level) {
    CHECK(primary.GetLevel().level == level);
    send_level(primary, secondary);
    CHECK(primary.GetAllowance() + secondary.GetAllowance() == level);
    RecordSuccesses(primary, 8);
  }
  send_level(primary, secondary);
  CHECK(secondary.is_warm());
  CHECK(secondary.GetAllowance() == 2);

  SUBCASE("a restart detected by the secondary restarts the warm-up at the primary") {
    secondary.RecordAnswer(6, 1s);
    CHECK(secondary.GetAllowance() == 0);
    send_level(secondary, primary);
    CHECK(primary.GetAllowance() == 1);
  }
  SUBCASE("the secondary ignores a level that the primary sent for an earlier run of the leaf") {
    const LeafLevel earlier_level = primary.GetLevel();
    secondary.RecordAnswer(6, 1s);
    secondary.MergePeerLevel(earlier_level);
    CHECK(secondary.GetAllowance() == 0);
  }
  SUBCASE("the secondary adopts the low level of a primary that has just started") {
    WarmUp restarted_owner;
    restarted_owner.SetShare(kPrimary);
    send_level(restarted_owner, secondary);
    CHECK(restarted_owner.GetAllowance() + secondary.GetAllowance() == 1);
  }
  SUBCASE("a secondary that has just started does not restart the warm-up at the primary") {
    WarmUp restarted_owner;
    restarted_owner.SetShare(kSecondary);
    send_level(restarted_owner, primary);
    CHECK(primary.is_warm());
    send_level(primary, restarted_owner);
    CHECK(restarted_owner.GetAllowance() == 2);
  }
  SUBCASE("a secondary that becomes the primary restarts the warm-up unless the leaf is warm") {
    WarmUp promoted_secondary;
    promoted_secondary.SetShare(kSecondary);
    promoted_secondary.MergePeerLevel({.incarnation = 5, .level = 3});
    REQUIRE(promoted_secondary.GetAllowance() == 1);
    promoted_secondary.SetShare(kPrimary);
    CHECK(promoted_secondary.GetLevel().level == 1);
    secondary.SetShare(kPrimary);
    CHECK(secondary.is_warm());
  }
}

TEST_CASE("service times far above the leaf's own history are detected") {
  // Guards against full load on a leaf that became cold without a restart.
  ServiceTimes service_times;
  Random random(3);
  for (int i = 0; i < 200; ++i) {
    service_times.Record(random.ApplyJitter(8ms, 0.5));
    CHECK_FALSE(service_times.IsFarAboveHistory());
  }
  for (int i = 0; i < 4; ++i) {
    service_times.Record(100ms);
  }
  CHECK_FALSE(service_times.IsFarAboveHistory());
  for (int i = 0; i < 4; ++i) {
    service_times.Record(100ms);
  }
  CHECK(service_times.IsFarAboveHistory());
}

}  // namespace ibishold
