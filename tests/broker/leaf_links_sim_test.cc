// Guards against leaf connections that go silent, answers that reach the wrong request, and new
// work for a leaf that leaves.
#include <doctest/doctest.h>

#include <set>

#include "tests/broker/sim.h"

namespace ibishold {

namespace {

using namespace sim;

constexpr WarmUpShare kAll{.primary = true, .primary_slots = 2, .total_slots = 2};

LeafDispatcherOptions Defaults() {
  LeafDispatcherOptions options;
  options.leaf = LeafId("leaf");
  return options;
}

struct Warm {
  explicit Warm(LeafDispatcherOptions options = Defaults())
      : broker(std::make_shared<Broker>(world, leaf, options)) {
    this->broker->Begin(2, kAll);
    this->world.Run(50ms);
    this->Load(300, 5ms, 200ms);
    this->world.Run(500ms);
    REQUIRE(this->broker->dispatcher.Level().warm);
    REQUIRE(this->broker->dispatcher.idle());
  }
  void Load(int count, Duration interval, Duration left) {
    for (int i = 0; i < count; ++i) {
      this->broker->Submit(left);
      this->world.Run(interval);
    }
  }
  std::uint64_t Answered(wire::Outcome outcome) const {
    std::uint64_t count = 0;
    for (const auto& [attempt, result] : this->broker->answers) {
      count += result.outcome == outcome ? 1 : 0;
    }
    return count;
  }

  World world{1};
  Leaf leaf{world, {.slots = 2, .straggler_share = 0, .starts_cold = false}};
  std::shared_ptr<Broker> broker;
};

}  // namespace

TEST_CASE("silent leaf connections are retired and replaced") {
  const auto run = [](LeafDispatcherOptions options) {
    Warm test(std::move(options));
    test.leaf.SilenceConnections();
    test.Load(400, 10ms, 200ms);
    const std::uint64_t before = test.Answered(wire::Outcome::OK);
    test.Load(200, 10ms, 200ms);
    return std::pair(test.Answered(wire::Outcome::OK) - before,
                     test.broker->counters.silent_connections);
  };
  SUBCASE("service is back within four seconds") {
    const auto [served, silent] = run(Defaults());
    CHECK(served > 150);
    CHECK(silent >= 2);
  }
  SUBCASE("without the limits nothing is served any more") {
    LeafDispatcherOptions options = Defaults();
    options.silent_after_deadline = 1h;
    options.verify_limit = 1h;
    const auto [served, silent] = run(options);
    CHECK(served == 0);
    CHECK(silent == 0);
  }
  SUBCASE("a request on a silent connection is answered at its deadline as may have run") {
    Warm test;
    test.leaf.SilenceConnections();
    const std::uint64_t attempt = test.broker->Submit(200ms);
    test.world.Run(215ms);
    REQUIRE(test.broker->answers.contains(attempt));
    CHECK(test.broker->answers.at(attempt).outcome == wire::Outcome::DEADLINE);
    CHECK(test.broker->answers.at(attempt).verdict == Verdict::kMayHaveRun);
    // The leaf may be running it, so its slot is not given away yet.
    CHECK(test.broker->dispatcher.abandoned() == 1);
    test.world.Run(2s);
    CHECK(test.broker->dispatcher.abandoned() == 0);
  }
  SUBCASE("the connections never exceed the slots and one") {
    Warm test;
    for (int i = 0; i < 2000; ++i) {
      if (i % 100 == 0) {
        test.leaf.SilenceConnections();
      }
      test.Load(1, 5ms, 50ms);
      REQUIRE(test.broker->dispatcher.connection_count() <= 3);
    }
  }
}

TEST_CASE("answers reach their own request only") {
  SUBCASE("an answer with another id is dropped and its connection closed") {
    Warm test;
    test.leaf.swap_ids = true;
    const std::uint64_t attempt = test.broker->Submit(200ms);
    test.world.Run(100ms);
    CHECK(test.broker->answers.at(attempt).outcome == wire::Outcome::LEAF_LOST);
    CHECK(test.broker->answers.at(attempt).verdict == Verdict::kMayHaveRun);
    CHECK(test.broker->counters.mismatched_answers == 1);
  }
  SUBCASE("nothing follows an abandoned answer on its connection") {
    Warm test;
    std::set<std::string> cancelled;
    for (int i = 0; i < 1000; ++i) {
      const std::uint64_t attempt = test.broker->Submit(200ms);
      test.world.Run(std::chrono::milliseconds(test.world.random.NextBelow(12)));
      if (test.world.random.NextFraction() < 0.3) {
        test.broker->Cancel(attempt);
        if (test.broker->cancels.at(attempt) == Verdict::kMayHaveRun) {
          cancelled.insert("b-" + std::to_string(attempt));
        }
      }
    }
    test.world.Run(1s);
    REQUIRE(cancelled.size() > 50);
    std::size_t followed = 0;
    for (const auto& [connection, ids] : test.broker->carried) {
      for (std::size_t i = 0; i + 1 < ids.size(); ++i) {
        followed += cancelled.contains(ids[i]) ? 1 : 0;
      }
    }
    CHECK(followed == 0);
    CHECK(test.broker->counters.late_answers > 0);
  }
}

TEST_CASE("a leaf that leaves gets no new work") {
  Warm test;
  SUBCASE("it drains: queued work is refused as not run") {
    test.leaf.draining = true;
    const TimePoint since = test.world.now;
    std::vector<std::uint64_t> attempts;
    for (int i = 0; i < 10; ++i) {
      attempts.push_back(test.broker->Submit(500ms));
    }
    test.Load(400, 10ms, 200ms);
    CHECK(test.leaf.unwanted <= 4);
    CHECK(test.leaf.last_unwanted - since < 100ms);
    const LeafResult& last = test.broker->answers.at(attempts.back());
    CHECK(last.outcome == wire::Outcome::DRAINING);
    CHECK(last.verdict == Verdict::kNotRun);
    SUBCASE("and comes back: served again, from a cold start") {
      test.leaf.draining = false;
      const std::uint64_t cold = test.broker->counters.cold_transitions;
      test.Load(1200, 10ms, 200ms);
      CHECK(test.broker->counters.cold_transitions == cold + 1);
      const std::uint64_t attempt = test.broker->Submit(200ms);
      test.world.Run(100ms);
      CHECK(test.broker->answers.at(attempt).outcome == wire::Outcome::OK);
    }
  }
  SUBCASE("an owner without traffic notices within 3 s") {
    test.world.Run(1s);
    test.leaf.draining = true;
    test.world.Run(2500ms);
    CHECK(test.broker->dispatcher.draining());
    CHECK(test.broker->dispatcher.connection_count() == 0);
  }
  SUBCASE("operators take it out: at once, with queued work and open connections") {
    for (int i = 0; i < 10; ++i) {
      test.broker->Submit(500ms);
    }
    const std::size_t sent = test.broker->sent.size();
    test.broker->Do([](LeafDispatcher& to, TimePoint now) { to.SetTakenOut(true, now); });
    CHECK(test.broker->dispatcher.queued() == 0);
    test.Load(100, 10ms, 200ms);
    CHECK(test.broker->sent.size() == sent);
    CHECK(test.broker->dispatcher.connection_count() == 0);
    CHECK(test.Answered(wire::Outcome::DRAINING) == 108);
  }
}

}  // namespace ibishold
