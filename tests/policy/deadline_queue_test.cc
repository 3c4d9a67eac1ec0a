#include <doctest/doctest.h>

#include "ibishold/policy.h"

namespace ibishold {

namespace {

using namespace std::chrono_literals;
constexpr TimePoint kStart{1h};
constexpr ServiceSpeed kUnknown{};

QueueItem Item(std::uint64_t id, Duration left, RequestClass request_class) {
  return {.id = id, .request_class = request_class, .deadline = kStart + left};
}

}  // namespace

TEST_CASE("items are ordered by class and deadline") {
  DeadlineQueue queue;
  std::vector<RefusedItem> refused;
  queue.Push(Item(1, 50ms, RequestClass::kBulk), kStart, kUnknown);
  queue.Push(Item(2, 90ms, RequestClass::kInteractive), kStart, kUnknown);
  queue.Push(Item(3, 70ms, RequestClass::kInteractive), kStart, kUnknown);
  queue.Push(Item(4, 60ms, RequestClass::kStandard), kStart, kUnknown);
  CHECK(queue.Pop(kStart, kUnknown, refused)->id == 3);
  CHECK(queue.Pop(kStart, kUnknown, refused)->id == 2);
  CHECK(queue.Pop(kStart, kUnknown, refused)->id == 4);
  CHECK(queue.Pop(kStart, kUnknown, refused)->id == 1);
  CHECK_FALSE(queue.Pop(kStart, kUnknown, refused));
  CHECK(refused.empty());
}

TEST_CASE("a full queue sheds the lowest class first") {
  DeadlineQueue queue({.limit = 2});
  queue.Push(Item(1, 50ms, RequestClass::kBulk), kStart, kUnknown);
  queue.Push(Item(2, 80ms, RequestClass::kStandard), kStart, kUnknown);
  SUBCASE("an item of a higher class replaces one of a lower class") {
    const auto refused_item =
        queue.Push(Item(3, 50ms, RequestClass::kInteractive), kStart, kUnknown);
    REQUIRE(refused_item);
    CHECK(refused_item->id == 1);
    CHECK(refused_item->reason == QueueRefusal::kFull);
  }
  SUBCASE("a new item of the lowest class is shed itself") {
    CHECK(queue.Push(Item(3, 60ms, RequestClass::kBulk), kStart, kUnknown)->id == 3);
  }
  CHECK(queue.size() == 2);
}

TEST_CASE("work that cannot finish in time uses no slot") {
  const ServiceSpeed speed{.median = 20ms, .parallel = 2};
  std::vector<RefusedItem> refused;
  DeadlineQueue queue;
  SUBCASE("an item is refused on arrival if its time left is below the median") {
    CHECK(queue.Push(Item(1, 19ms, RequestClass::kStandard), kStart, speed)->reason ==
          QueueRefusal::kLate);
    CHECK_FALSE(queue.Push(Item(2, 21ms, RequestClass::kStandard), kStart, speed));
  }
  SUBCASE("an item is refused on arrival if the queue ahead takes too long") {
    for (std::uint64_t id = 1; id <= 4; ++id) {
      CHECK_FALSE(queue.Push(Item(id, 50ms + id * 10ms, RequestClass::kStandard), kStart, speed));
    }
    // Four items of a higher class run first, two at a time, so this one would end after 60 ms.
    CHECK(queue.Push(Item(5, 59ms, RequestClass::kBulk), kStart, speed)->id == 5);
    CHECK_FALSE(queue.Push(Item(6, 61ms, RequestClass::kBulk), kStart, speed));
    CHECK_FALSE(queue.Push(Item(7, 25ms, RequestClass::kInteractive), kStart, speed));
  }
  SUBCASE("an item is refused while it waits") {
    queue.Push(Item(1, 30ms, RequestClass::kStandard), kStart, speed);
    queue.Push(Item(2, 90ms, RequestClass::kStandard), kStart, speed);
    queue.Sweep(kStart + 10ms, speed, refused);
    CHECK(refused.empty());
    queue.Sweep(kStart + 11ms, speed, refused);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].id == 1);
    CHECK(queue.Pop(kStart + 71ms, speed, refused) == std::nullopt);
    CHECK(refused.size() == 2);
  }
  SUBCASE("without refuse_late, only items past their deadline are refused") {
    DeadlineQueue without_late_refusal({.refuse_late = false});
    CHECK_FALSE(without_late_refusal.Push(Item(1, 5ms, RequestClass::kStandard), kStart, speed));
    CHECK_FALSE(without_late_refusal.Pop(kStart + 5ms, speed, refused));
    CHECK(refused.size() == 1);
  }
}

TEST_CASE("retry time for refused callers") {
  Random random(1);
  DrainRate drain;
  SUBCASE("it is the maximum if no call completes") {
    CHECK(drain.RetryAfter(10, kStart, random) >= 3s);
  }
  SUBCASE("it is the queue length divided by the completion rate, with jitter") {
    TimePoint now = kStart;
    for (int i = 0; i < 2000; ++i) {
      now += 10ms;
      drain.RecordCompletion(now);
    }
    CHECK(drain.PerSecond(now) == doctest::Approx(100).epsilon(0.02));
    Duration shortest = 1h;
    Duration longest{};
    for (int i = 0; i < 100; ++i) {
      const Duration time = drain.RetryAfter(99, now, random);
      shortest = std::min(shortest, time);
      longest = std::max(longest, time);
    }
    CHECK(shortest > 740ms);
    CHECK(longest < 1270ms);
    // Guards against callers that all retry at the same moment.
    CHECK(longest - shortest > 300ms);
  }
}

TEST_CASE("an item waits no longer than wait_share of its time left") {
  // Guards against requests that are refused only just before their deadline. That is too late for
  // another replica, and refusals must be sent at once.
  const ServiceSpeed speed{.median = 10ms, .parallel = 1};
  std::vector<RefusedItem> refused;
  DeadlineQueue queue({.wait_share = 0.25});
  for (std::uint64_t id = 1; id <= 11; ++id) {
    REQUIRE_FALSE(queue.Push(Item(id, 400ms, RequestClass::kStandard), kStart, speed));
  }
  SUBCASE("an item that would wait longer is refused on arrival") {
    const auto late = queue.Push(Item(12, 400ms, RequestClass::kStandard), kStart, speed);
    REQUIRE(late);
    CHECK(late->reason == QueueRefusal::kLongWait);
    CHECK_FALSE(queue.Push(Item(13, 400ms, RequestClass::kInteractive), kStart, speed));
  }
  SUBCASE("an item delayed by higher classes is refused when its share is used up") {
    queue.Sweep(kStart + 100ms, speed, refused);
    CHECK(refused.empty());
    queue.Sweep(kStart + 101ms, speed, refused);
    CHECK(refused.size() == 11);
    CHECK(refused[0].reason == QueueRefusal::kLongWait);
    CHECK(queue.size() == 0);
  }
}

}  // namespace ibishold
