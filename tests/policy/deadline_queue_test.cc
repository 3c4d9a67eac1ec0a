#include <doctest/doctest.h>

#include "ibishold/policy.h"

namespace ibishold {

namespace {

using namespace std::chrono_literals;
constexpr TimePoint kStart{1h};
constexpr ServiceSpeed kUnknownSpeed{};

QueueItem MakeItem(std::uint64_t id, Duration time_left, RequestClass request_class) {
  return {.id = id, .request_class = request_class, .deadline = kStart + time_left};
}

}  // namespace

TEST_CASE("items are ordered by class and deadline") {
  DeadlineQueue queue;
  std::vector<RefusedItem> refused;
  queue.Push(MakeItem(1, 50ms, RequestClass::kBulk), kStart, kUnknownSpeed);
  queue.Push(MakeItem(2, 90ms, RequestClass::kInteractive), kStart, kUnknownSpeed);
  queue.Push(MakeItem(3, 70ms, RequestClass::kInteractive), kStart, kUnknownSpeed);
  queue.Push(MakeItem(4, 60ms, RequestClass::kStandard), kStart, kUnknownSpeed);
  CHECK(queue.Pop(kStart, kUnknownSpeed, refused)->id == 3);
  CHECK(queue.Pop(kStart, kUnknownSpeed, refused)->id == 2);
  CHECK(queue.Pop(kStart, kUnknownSpeed, refused)->id == 4);
  CHECK(queue.Pop(kStart, kUnknownSpeed, refused)->id == 1);
  CHECK_FALSE(queue.Pop(kStart, kUnknownSpeed, refused));
  CHECK(refused.empty());
}

TEST_CASE("a full queue sheds the lowest class first") {
  DeadlineQueue queue({.limit = 2});
  queue.Push(MakeItem(1, 50ms, RequestClass::kBulk), kStart, kUnknownSpeed);
  queue.Push(MakeItem(2, 80ms, RequestClass::kStandard), kStart, kUnknownSpeed);
  SUBCASE("an item of a higher class replaces one of a lower class") {
    const auto refused_item =
        queue.Push(MakeItem(3, 50ms, RequestClass::kInteractive), kStart, kUnknownSpeed);
    REQUIRE(refused_item);
    CHECK(refused_item->id == 1);
    CHECK(refused_item->reason == QueueRefusal::kFull);
  }
  SUBCASE("a new item of the lowest class is shed if it has the most time left") {
    CHECK(queue.Push(MakeItem(3, 60ms, RequestClass::kBulk), kStart, kUnknownSpeed)->id == 3);
  }
  CHECK(queue.size() == 2);
}

TEST_CASE("items that cannot finish before their deadline are refused") {
  const ServiceSpeed speed{.median_service_time = 20ms, .parallel_calls = 2};
  std::vector<RefusedItem> refused;
  DeadlineQueue queue;
  SUBCASE("an item is refused on arrival if its time left is below the median service time") {
    CHECK(queue.Push(MakeItem(1, 19ms, RequestClass::kStandard), kStart, speed)->reason ==
          QueueRefusal::kLate);
    CHECK_FALSE(queue.Push(MakeItem(2, 21ms, RequestClass::kStandard), kStart, speed));
  }
  SUBCASE("an item is refused on arrival if the items ahead of it take too long") {
    for (std::uint64_t id = 1; id <= 4; ++id) {
      CHECK_FALSE(
          queue.Push(MakeItem(id, 50ms + id * 10ms, RequestClass::kStandard), kStart, speed));
    }
    // Four items of a higher class run first, two at a time, so a bulk item would end after 60 ms.
    CHECK(queue.Push(MakeItem(5, 59ms, RequestClass::kBulk), kStart, speed)->id == 5);
    CHECK_FALSE(queue.Push(MakeItem(6, 61ms, RequestClass::kBulk), kStart, speed));
    CHECK_FALSE(queue.Push(MakeItem(7, 25ms, RequestClass::kInteractive), kStart, speed));
  }
  SUBCASE("a waiting item is refused once it cannot finish in time") {
    queue.Push(MakeItem(1, 30ms, RequestClass::kStandard), kStart, speed);
    queue.Push(MakeItem(2, 90ms, RequestClass::kStandard), kStart, speed);
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
    CHECK_FALSE(
        without_late_refusal.Push(MakeItem(1, 5ms, RequestClass::kStandard), kStart, speed));
    CHECK_FALSE(without_late_refusal.Pop(kStart + 5ms, speed, refused));
    CHECK(refused.size() == 1);
  }
}

TEST_CASE("retry-after time for refused callers") {
  Random random(1);
  DrainRate drain_rate;
  SUBCASE("the time is close to the maximum if no call completes") {
    CHECK(drain_rate.ComputeRetryAfter(10, kStart, random) >= 3s);
  }
  SUBCASE("the time is the queue length divided by the completion rate, with jitter") {
    TimePoint now = kStart;
    for (int i = 0; i < 2000; ++i) {
      now += 10ms;
      drain_rate.RecordCompletion(now);
    }
    CHECK(drain_rate.GetCompletionsPerSecond(now) == doctest::Approx(100).epsilon(0.02));
    Duration shortest = 1h;
    Duration longest{};
    for (int i = 0; i < 100; ++i) {
      const Duration retry_after = drain_rate.ComputeRetryAfter(99, now, random);
      shortest = std::min(shortest, retry_after);
      longest = std::max(longest, retry_after);
    }
    CHECK(shortest > 740ms);
    CHECK(longest < 1270ms);
    // Guards against refused callers that all retry at the same time.
    CHECK(longest - shortest > 300ms);
  }
}

TEST_CASE("an item waits no longer than wait_share of its time left") {
  // Refusals must be sent at once. A request refused only just before its deadline has no time left
  // for another replica.
  const ServiceSpeed speed{.median_service_time = 10ms, .parallel_calls = 1};
  std::vector<RefusedItem> refused;
  DeadlineQueue queue({.wait_share = 0.25});
  for (std::uint64_t id = 1; id <= 11; ++id) {
    REQUIRE_FALSE(queue.Push(MakeItem(id, 400ms, RequestClass::kStandard), kStart, speed));
  }
  SUBCASE("an item that would wait longer than its share is refused on arrival") {
    const auto refused_item =
        queue.Push(MakeItem(12, 400ms, RequestClass::kStandard), kStart, speed);
    REQUIRE(refused_item);
    CHECK(refused_item->reason == QueueRefusal::kLongWait);
    CHECK_FALSE(queue.Push(MakeItem(13, 400ms, RequestClass::kInteractive), kStart, speed));
  }
  SUBCASE("a waiting item is refused when it has waited longer than its share") {
    queue.Sweep(kStart + 100ms, speed, refused);
    CHECK(refused.empty());
    queue.Sweep(kStart + 101ms, speed, refused);
    CHECK(refused.size() == 11);
    CHECK(refused[0].reason == QueueRefusal::kLongWait);
    CHECK(queue.size() == 0);
  }
}

}  // namespace ibishold
