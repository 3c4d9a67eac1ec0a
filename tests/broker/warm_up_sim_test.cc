// Guards against more calls at a cold leaf than its capacity. Its two owners send independently.
#include <doctest/doctest.h>

#include "tests/broker/sim.h"

namespace ibishold {

namespace {

using namespace sim;

constexpr std::uint64_t kSeedCount = 15;

struct Scenario {
  std::uint64_t seed = 1;
  std::uint32_t slots = 4;
  bool warm_up = true;
  bool change_owner = false;
  bool silent_restarts = false;
};

struct RunResult {
  std::uint32_t overload_count = 0;
  std::uint32_t max_running = 0;
  std::uint64_t completed_calls = 0;
  std::uint32_t final_level = 0;
};

LeafDispatcherOptions MakeOptions(const Scenario& scenario) {
  LeafDispatcherOptions options;
  options.leaf = LeafId("leaf");
  options.warm_up.enabled = scenario.warm_up;
  options.seed = scenario.seed;
  return options;
}

void ScheduleLoad(Simulation& sim, const std::vector<std::shared_ptr<SimBroker>*>& owners) {
  // Offers twice the load that a warm leaf with four slots can serve. Bursts stand for work that
  // piled up.
  const std::uint64_t burst_size = sim.random.NextFraction() < 0.05 ? 40 : 1;
  for (std::uint64_t i = 0; i < burst_size; ++i) {
    const std::size_t owner_index = sim.random.NextBelow(owners.size());
    const auto time_left = std::chrono::milliseconds(15 + sim.random.NextBelow(250));
    const auto kind =
        sim.random.NextFraction() < 0.05 ? wire::RequestKind::EXECUTE : wire::RequestKind::SEARCH;
    const std::shared_ptr<SimBroker> broker = *owners[owner_index];
    const std::uint64_t attempt = broker->Submit(time_left, kind);
    if (sim.random.NextFraction() < 0.2) {
      sim.Schedule(std::chrono::milliseconds(sim.random.NextBelow(30)),
                   [broker, attempt] { broker->Cancel(attempt); });
    }
    if (sim.random.NextFraction() < 0.1) {
      const std::shared_ptr<SimBroker> other_owner = *owners[(owner_index + 1) % owners.size()];
      sim.Schedule(5ms, [other_owner, time_left] { other_owner->Submit(time_left); });
    }
  }
  sim.Schedule(std::chrono::microseconds(500 + sim.random.NextBelow(2000)),
               [&sim, owners] { ScheduleLoad(sim, owners); });
}

RunResult RunScenario(const Scenario& scenario) {
  Simulation sim(scenario.seed);
  SimLeaf leaf(sim, {.slots = scenario.slots, .crash_on_overload = true});
  const WarmUpShare primary_share{
      .primary = true, .primary_slots = (scenario.slots + 1) / 2, .total_slots = scenario.slots};
  WarmUpShare secondary_share = primary_share;
  secondary_share.primary = false;
  auto primary_broker = std::make_shared<SimBroker>(sim, leaf, MakeOptions(scenario));
  auto secondary_broker = std::make_shared<SimBroker>(sim, leaf, MakeOptions(scenario));
  primary_broker->name = "p";
  secondary_broker->name = "s";
  primary_broker->peer = secondary_broker;
  secondary_broker->peer = primary_broker;
  primary_broker->Start(primary_share.primary_slots, primary_share);
  secondary_broker->Start(scenario.slots - primary_share.primary_slots, secondary_share);
  ScheduleLoad(sim, {&primary_broker, &secondary_broker});
  for (int round = 0; round < 6; ++round) {
    sim.RunFor(std::chrono::milliseconds(300 + sim.random.NextBelow(1500)));
    if (scenario.change_owner && round % 2 == 0) {
      // Another VM becomes the primary. It waits for the takeover and has no state of the leaf.
      primary_broker->Kill();
      auto replacement = std::make_shared<SimBroker>(sim, leaf, MakeOptions(scenario));
      replacement->name = "p" + std::to_string(round);
      replacement->peer = secondary_broker;
      secondary_broker->peer = replacement;
      primary_broker = replacement;
      primary_broker->Start(0, primary_share);
      sim.RunFor(8s);
      primary_broker->slots = primary_share.primary_slots;
      sim.RunFor(std::chrono::milliseconds(sim.random.NextBelow(60)));
    }
    leaf.Restart(!scenario.silent_restarts || sim.random.NextFraction() < 0.5);
  }
  sim.RunFor(20s);
  return {.overload_count = leaf.overload_count,
          .max_running = leaf.max_running,
          .completed_calls = leaf.completed_calls,
          .final_level = primary_broker->dispatcher.GetLevel().level};
}

}  // namespace

TEST_CASE("a cold leaf never gets more calls than its capacity") {
  SUBCASE("restarts that reset all connections") {
    for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
      const RunResult result = RunScenario({.seed = seed});
      CAPTURE(seed);
      CHECK(result.overload_count == 0);
      CHECK(result.completed_calls > 1000);
    }
  }
  SUBCASE("each owner has one of two slots") {
    for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
      const RunResult result = RunScenario({.seed = seed, .slots = 2});
      CAPTURE(seed);
      CHECK(result.overload_count == 0);
    }
  }
  SUBCASE("restarts that leave the old connections silent") {
    for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
      const RunResult result = RunScenario({.seed = seed, .silent_restarts = true});
      CAPTURE(seed);
      CHECK(result.overload_count == 0);
    }
  }
  SUBCASE("the primary is replaced during the warm-up") {
    for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
      const RunResult result = RunScenario({.seed = seed, .change_owner = true});
      CAPTURE(seed);
      CHECK(result.overload_count == 0);
      CHECK(result.completed_calls > 1000);
    }
  }
  SUBCASE("without warm-up this load crashes the leaf") {
    std::uint32_t crashes = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      crashes += RunScenario({.seed = seed, .warm_up = false}).overload_count;
    }
    CHECK(crashes > 0);
  }
}

}  // namespace ibishold
