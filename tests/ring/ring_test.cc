#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <thread>

#include "ibishold/ring.h"

namespace ibishold {

namespace asio = boost::asio;

// Guards against a lost wake-up: an item that is pushed while the consumer finishes a drain stays
// in the ring until the next push.
TEST_CASE("every item is handled without a further push") {
  asio::io_context context;
  auto work = asio::make_work_guard(context);
  std::atomic<int> handled{0};
  Ring<int> ring(context.get_executor(), [&](int value) { handled.store(value); });
  std::thread consumer([&] { context.run(); });
  constexpr int kItems = 300000;
  bool stuck = false;
  for (int i = 1; i <= kItems && !stuck; ++i) {
    REQUIRE(ring.Push(int(i)));
    if (i % 3 != 0) {
      continue;  // pushes three items at a time, so that pushes coincide with the end of a drain
    }
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (handled.load() != i && !stuck) {
      stuck = std::chrono::steady_clock::now() > limit;
    }
  }
  CHECK_FALSE(stuck);
  work.reset();
  context.stop();
  consumer.join();
}

TEST_CASE("Push on a full ring returns false and counts the rejected item") {
  asio::io_context context;
  int handled = 0;
  Ring<int> ring(context.get_executor(), [&](int) { ++handled; }, {.capacity = 2});
  CHECK(ring.Push(1));
  CHECK(ring.Push(2));
  CHECK_FALSE(ring.Push(3));
  CHECK(ring.rejected_count() == 1);
  context.run();
  CHECK(handled == 2);
}

}  // namespace ibishold
