// Guards against refusals that say "not run" about a request that a leaf has seen, and against
// non-repeatable requests that run twice or are lost on a dead connection.
#include <doctest/doctest.h>

#include "tests/broker/sim.h"

namespace ibishold {

namespace {

using namespace sim;

constexpr WarmUpShare kAll{.primary = true, .primary_slots = 2, .total_slots = 2};

struct Single {
  explicit Single(std::uint64_t seed = 1, LeafSettings settings = {}, Duration fresh = 1s)
      : world(seed), leaf(world, Fill(settings)) {
    LeafDispatcherOptions options;
    options.leaf = LeafId("leaf");
    options.fresh_limit = fresh;
    this->broker = std::make_shared<Broker>(this->world, this->leaf, options);
    this->broker->Begin(2, kAll);
    this->world.Run(100ms);
  }
  static LeafSettings Fill(LeafSettings settings) {
    settings.slots = 2;
    settings.straggler_share = 0;
    return settings;
  }
  std::uint32_t Starts(std::uint64_t attempt) {
    return this->leaf.starts["b-" + std::to_string(attempt)];
  }

  World world;
  Leaf leaf;
  std::shared_ptr<Broker> broker;
};

}  // namespace

TEST_CASE("cancel answers truly in every state") {
  Single test;
  Broker& broker = *test.broker;
  const std::uint64_t running = broker.Submit(500ms);
  const std::uint64_t queued = broker.Submit(500ms);
  SUBCASE("waiting in the queue: not run, and it never reaches the leaf") {
    broker.Cancel(queued);
    CHECK(broker.cancels.at(queued) == Verdict::kNotRun);
    test.world.Run(2s);
    CHECK(test.Starts(queued) == 0);
    CHECK(broker.answer_count[queued] == 0);
  }
  SUBCASE("handed to the connection, not yet at the leaf: may have run") {
    REQUIRE(test.Starts(running) == 0);
    broker.Cancel(running);
    CHECK(broker.cancels.at(running) == Verdict::kMayHaveRun);
    test.world.Run(2s);
    CHECK(test.Starts(running) == 1);
    CHECK(broker.answer_count[running] == 0);
  }
  SUBCASE("running at the leaf: may have run, and its slot stays occupied") {
    test.world.Run(4ms);
    broker.Cancel(running);
    CHECK(broker.cancels.at(running) == Verdict::kMayHaveRun);
    CHECK(broker.dispatcher.abandoned() == 1);
    test.world.Run(100ms);
    CHECK(broker.dispatcher.abandoned() == 0);
    CHECK(broker.counters.abandoned_connections == 1);
  }
  SUBCASE("finished: ran") {
    test.world.Run(100ms);
    broker.Cancel(running);
    CHECK(broker.cancels.at(running) == Verdict::kRan);
  }
  SUBCASE("refused before: not run") {
    test.leaf.up = false;
    const std::uint64_t late = broker.Submit(-1ms);
    broker.Cancel(late);
    CHECK(broker.cancels.at(late) == Verdict::kNotRun);
  }
  SUBCASE("unknown: may have run") {
    broker.Cancel(77);
    CHECK(broker.cancels.at(77) == Verdict::kMayHaveRun);
  }
}

TEST_CASE("a non-repeatable request needs a connection that was just seen working") {
  SUBCASE("idle connections have gone silent: it waits for one that works") {
    Single test;
    test.world.Run(1500ms);
    test.leaf.SilenceConnections();
    const std::uint64_t attempt = test.broker->Submit(5s, wire::RequestKind::EXECUTE);
    SUBCASE("and can be cancelled truly meanwhile") {
      test.world.Run(500ms);
      test.broker->Cancel(attempt);
      CHECK(test.broker->cancels.at(attempt) == Verdict::kNotRun);
    }
    SUBCASE("and runs once") {
      test.world.Run(5s);
      REQUIRE(test.broker->answers.contains(attempt));
      CHECK(test.broker->answers.at(attempt).verdict == Verdict::kRan);
      CHECK(test.Starts(attempt) == 1);
    }
  }
  SUBCASE("without the rule it is lost on a silent connection") {
    Single test(1, {}, 1h);
    test.world.Run(1500ms);
    test.leaf.SilenceConnections();
    const std::uint64_t attempt = test.broker->Submit(5s, wire::RequestKind::EXECUTE);
    test.world.Run(6s);
    CHECK(test.broker->answers.at(attempt).verdict == Verdict::kMayHaveRun);
  }
}

TEST_CASE("work of a lost front link") {
  Single test;
  const std::uint64_t execute = test.broker->Submit(500ms, wire::RequestKind::EXECUTE);
  test.world.Run(3ms);
  const std::uint64_t queued = test.broker->Submit(500ms);
  REQUIRE(test.broker->dispatcher.queued() == 1);
  test.broker->Do([](LeafDispatcher& to, TimePoint now) { to.DropLink(1, now); });
  // Guards against slots that are spent on callers who have gone.
  CHECK(test.broker->dispatcher.queued() == 0);
  test.world.Run(1s);
  CHECK(test.Starts(queued) == 0);
  CHECK(test.Starts(execute) == 1);
  CHECK(test.broker->answers.empty());
  CHECK(test.broker->dispatcher.busy() == 0);
}

TEST_CASE("verdicts hold under disturbances") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Single test(seed, {.service_time = 8ms});
    std::map<std::uint64_t, wire::RequestKind> kinds;
    for (int i = 0; i < 3000; ++i) {
      const auto kind = test.world.random.NextFraction() < 0.3 ? wire::RequestKind::EXECUTE
                                                               : wire::RequestKind::SEARCH;
      const auto left = std::chrono::milliseconds(5 + test.world.random.NextBelow(300));
      const std::uint64_t attempt = test.broker->Submit(left, kind);
      kinds[attempt] = kind;
      if (test.world.random.NextFraction() < 0.3) {
        test.world.At(std::chrono::milliseconds(test.world.random.NextBelow(40)),
                      [broker = test.broker, attempt] { broker->Cancel(attempt); });
      }
      const double disturbance = test.world.random.NextFraction();
      if (disturbance < 0.002) {
        test.leaf.Restart(test.world.random.NextFraction() < 0.5);
      } else if (disturbance < 0.004) {
        test.leaf.SilenceConnections();
      } else if (disturbance < 0.006) {
        test.leaf.draining = !test.leaf.draining;
      } else if (disturbance < 0.008) {
        const bool out = !test.leaf.out;
        test.leaf.out = out;
        test.broker->Do([out](LeafDispatcher& to, TimePoint now) { to.SetTakenOut(out, now); });
      }
      test.world.Run(std::chrono::milliseconds(test.world.random.NextBelow(12)));
    }
    test.world.Run(5s);
    std::uint64_t not_run = 0;
    std::uint64_t wrong = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t answered_twice = 0;
    std::uint64_t ran_twice = 0;
    for (const auto& [attempt, kind] : kinds) {
      const bool answered = test.broker->answers.contains(attempt);
      const bool cancelled = test.broker->cancels.contains(attempt);
      unanswered += !answered && !cancelled ? 1 : 0;
      answered_twice += test.broker->answer_count[attempt] > 1 ? 1 : 0;
      const Verdict verdict =
          answered ? test.broker->answers.at(attempt).verdict : test.broker->cancels.at(attempt);
      not_run += verdict == Verdict::kNotRun ? 1 : 0;
      wrong += verdict == Verdict::kNotRun && test.Starts(attempt) > 0 ? 1 : 0;
      wrong += verdict == Verdict::kRan && test.Starts(attempt) == 0 ? 1 : 0;
      ran_twice += test.Starts(attempt) > 1 ? 1 : 0;
    }
    CHECK(not_run > 50);
    CHECK(wrong == 0);
    CHECK(unanswered == 0);
    CHECK(answered_twice == 0);
    CHECK(ran_twice == 0);
    CHECK(test.broker->dispatcher.idle());
  }
}

}  // namespace ibishold
