// Guards against the verdict "not run" for a request that a leaf has received, and against
// non-repeatable requests that run twice or are lost on a silent connection.
#include <doctest/doctest.h>

#include "tests/broker/sim.h"

namespace ibishold {

namespace {

using namespace sim;

constexpr WarmUpShare kAllSlots{.primary = true, .primary_slots = 2, .total_slots = 2};

struct SingleLeafTest {
  explicit SingleLeafTest(std::uint64_t seed = 1,
                          SimLeafOptions leaf_options = {},
                          Duration execute_max_answer_age = 1s)
      : sim(seed), leaf(sim, WithTwoSlots(leaf_options)) {
    LeafDispatcherOptions options;
    options.leaf = LeafId("leaf");
    options.execute_max_answer_age = execute_max_answer_age;
    this->broker = std::make_shared<SimBroker>(this->sim, this->leaf, options);
    this->broker->Start(2, kAllSlots);
    this->sim.RunFor(100ms);
  }
  static SimLeafOptions WithTwoSlots(SimLeafOptions leaf_options) {
    leaf_options.slots = 2;
    leaf_options.straggler_share = 0;
    return leaf_options;
  }
  std::uint32_t CountStarts(std::uint64_t attempt) {
    return this->leaf.start_counts["b-" + std::to_string(attempt)];
  }

  Simulation sim;
  SimLeaf leaf;
  std::shared_ptr<SimBroker> broker;
};

}  // namespace

TEST_CASE("a cancel states the true verdict in every state of the attempt") {
  SingleLeafTest test;
  SimBroker& broker = *test.broker;
  const std::uint64_t running_attempt = broker.Submit(500ms);
  const std::uint64_t queued_attempt = broker.Submit(500ms);
  SUBCASE("queued: not run, and it is never sent to the leaf") {
    broker.Cancel(queued_attempt);
    CHECK(broker.cancel_verdicts.at(queued_attempt) == Verdict::kNotRun);
    test.sim.RunFor(2s);
    CHECK(test.CountStarts(queued_attempt) == 0);
    CHECK(broker.answer_counts[queued_attempt] == 0);
  }
  SUBCASE("sent but not yet received by the leaf: may have run") {
    REQUIRE(test.CountStarts(running_attempt) == 0);
    broker.Cancel(running_attempt);
    CHECK(broker.cancel_verdicts.at(running_attempt) == Verdict::kMayHaveRun);
    test.sim.RunFor(2s);
    CHECK(test.CountStarts(running_attempt) == 1);
    CHECK(broker.answer_counts[running_attempt] == 0);
  }
  SUBCASE("running at the leaf: may have run, and its slot stays occupied") {
    test.sim.RunFor(4ms);
    broker.Cancel(running_attempt);
    CHECK(broker.cancel_verdicts.at(running_attempt) == Verdict::kMayHaveRun);
    CHECK(broker.dispatcher.abandoned_count() == 1);
    test.sim.RunFor(100ms);
    CHECK(broker.dispatcher.abandoned_count() == 0);
    CHECK(broker.counters.abandoned_connections == 1);
  }
  SUBCASE("finished: ran") {
    test.sim.RunFor(100ms);
    broker.Cancel(running_attempt);
    CHECK(broker.cancel_verdicts.at(running_attempt) == Verdict::kRan);
  }
  SUBCASE("refused earlier: not run") {
    test.leaf.up = false;
    const std::uint64_t late_attempt = broker.Submit(-1ms);
    broker.Cancel(late_attempt);
    CHECK(broker.cancel_verdicts.at(late_attempt) == Verdict::kNotRun);
  }
  SUBCASE("unknown attempt: may have run") {
    broker.Cancel(77);
    CHECK(broker.cancel_verdicts.at(77) == Verdict::kMayHaveRun);
  }
}

TEST_CASE("a non-repeatable request is sent only on a recently verified connection") {
  SUBCASE("if all idle connections are silent, it waits for a new one") {
    SingleLeafTest test;
    test.sim.RunFor(1500ms);
    test.leaf.SilenceConnections();
    const std::uint64_t attempt = test.broker->Submit(5s, wire::RequestKind::EXECUTE);
    SUBCASE("a cancel while it waits states not run") {
      test.sim.RunFor(500ms);
      test.broker->Cancel(attempt);
      CHECK(test.broker->cancel_verdicts.at(attempt) == Verdict::kNotRun);
    }
    SUBCASE("it runs exactly once") {
      test.sim.RunFor(5s);
      REQUIRE(test.broker->answers.contains(attempt));
      CHECK(test.broker->answers.at(attempt).verdict == Verdict::kRan);
      CHECK(test.CountStarts(attempt) == 1);
    }
  }
  SUBCASE("without the verification it is lost on a silent connection") {
    SingleLeafTest test(1, {}, 1h);
    test.sim.RunFor(1500ms);
    test.leaf.SilenceConnections();
    const std::uint64_t attempt = test.broker->Submit(5s, wire::RequestKind::EXECUTE);
    test.sim.RunFor(6s);
    CHECK(test.broker->answers.at(attempt).verdict == Verdict::kMayHaveRun);
  }
}

TEST_CASE("when a front link is lost, queued work is dropped and a running execute goes on") {
  SingleLeafTest test;
  const std::uint64_t execute_attempt = test.broker->Submit(500ms, wire::RequestKind::EXECUTE);
  test.sim.RunFor(3ms);
  const std::uint64_t queued_attempt = test.broker->Submit(500ms);
  REQUIRE(test.broker->dispatcher.queued_count() == 1);
  test.broker->HandleEvent(
      [](LeafDispatcher& target, TimePoint now) { target.DropWorkOfLink(1, now); });
  // Guards against slots that are used for callers that no longer wait.
  CHECK(test.broker->dispatcher.queued_count() == 0);
  test.sim.RunFor(1s);
  CHECK(test.CountStarts(queued_attempt) == 0);
  CHECK(test.CountStarts(execute_attempt) == 1);
  CHECK(test.broker->answers.empty());
  CHECK(test.broker->dispatcher.busy_count() == 0);
}

TEST_CASE("verdicts are true under random restarts, silent connections, drains and cancels") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    SingleLeafTest test(seed, {.service_time = 8ms});
    std::map<std::uint64_t, wire::RequestKind> kinds;
    for (int i = 0; i < 3000; ++i) {
      const auto kind = test.sim.random.NextFraction() < 0.3 ? wire::RequestKind::EXECUTE
                                                             : wire::RequestKind::SEARCH;
      const auto time_left = std::chrono::milliseconds(5 + test.sim.random.NextBelow(300));
      const std::uint64_t attempt = test.broker->Submit(time_left, kind);
      kinds[attempt] = kind;
      if (test.sim.random.NextFraction() < 0.3) {
        test.sim.Schedule(std::chrono::milliseconds(test.sim.random.NextBelow(40)),
                          [broker = test.broker, attempt] { broker->Cancel(attempt); });
      }
      const double fault_draw = test.sim.random.NextFraction();
      if (fault_draw < 0.002) {
        test.leaf.Restart(test.sim.random.NextFraction() < 0.5);
      } else if (fault_draw < 0.004) {
        test.leaf.SilenceConnections();
      } else if (fault_draw < 0.006) {
        test.leaf.draining = !test.leaf.draining;
      } else if (fault_draw < 0.008) {
        const bool taken_out = !test.leaf.taken_out;
        test.leaf.taken_out = taken_out;
        test.broker->HandleEvent([taken_out](LeafDispatcher& target, TimePoint now) {
          target.SetTakenOut(taken_out, now);
        });
      }
      test.sim.RunFor(std::chrono::milliseconds(test.sim.random.NextBelow(12)));
    }
    test.sim.RunFor(5s);
    std::uint64_t not_run_count = 0;
    std::uint64_t wrong_verdicts = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t answered_twice = 0;
    std::uint64_t ran_twice = 0;
    for (const auto& [attempt, kind] : kinds) {
      const bool has_answer = test.broker->answers.contains(attempt);
      const bool has_cancel_verdict = test.broker->cancel_verdicts.contains(attempt);
      unanswered += !has_answer && !has_cancel_verdict ? 1 : 0;
      answered_twice += test.broker->answer_counts[attempt] > 1 ? 1 : 0;
      const Verdict verdict = has_answer ? test.broker->answers.at(attempt).verdict
                                         : test.broker->cancel_verdicts.at(attempt);
      not_run_count += verdict == Verdict::kNotRun ? 1 : 0;
      wrong_verdicts += verdict == Verdict::kNotRun && test.CountStarts(attempt) > 0 ? 1 : 0;
      wrong_verdicts += verdict == Verdict::kRan && test.CountStarts(attempt) == 0 ? 1 : 0;
      ran_twice += test.CountStarts(attempt) > 1 ? 1 : 0;
    }
    CHECK(not_run_count > 50);
    CHECK(wrong_verdicts == 0);
    CHECK(unanswered == 0);
    CHECK(answered_twice == 0);
    CHECK(ran_twice == 0);
    CHECK(test.broker->dispatcher.idle());
  }
}

}  // namespace ibishold
