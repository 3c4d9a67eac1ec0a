// Guards against more work at a cold leaf than it can take, from either of its two owners.
#include <doctest/doctest.h>

#include "tests/broker/sim.h"

namespace ibishold {

namespace {

using namespace sim;

constexpr std::uint64_t kSeeds = 15;

struct Storm {
  std::uint64_t seed = 1;
  std::uint32_t slots = 4;
  bool warm_up = true;
  bool change_owner = false;
  bool silent_restarts = false;
};

struct Outcome {
  std::uint32_t overloads = 0;
  std::uint32_t most = 0;
  std::uint64_t completed = 0;
  std::uint32_t final_level = 0;
};

LeafDispatcherOptions OptionsOf(const Storm& storm) {
  LeafDispatcherOptions options;
  options.leaf = LeafId("leaf");
  options.warm_up.enabled = storm.warm_up;
  options.seed = storm.seed;
  return options;
}

void Load(World& world, const std::vector<std::shared_ptr<Broker>*>& owners) {
  // Twice as much as a warm leaf of four slots can do, with bursts of stored-up work.
  const std::uint64_t count = world.random.NextFraction() < 0.05 ? 40 : 1;
  for (std::uint64_t i = 0; i < count; ++i) {
    const std::size_t first = world.random.NextBelow(owners.size());
    const auto left = std::chrono::milliseconds(15 + world.random.NextBelow(250));
    const auto kind =
        world.random.NextFraction() < 0.05 ? wire::RequestKind::EXECUTE : wire::RequestKind::SEARCH;
    const std::shared_ptr<Broker> broker = *owners[first];
    const std::uint64_t attempt = broker->Submit(left, kind);
    if (world.random.NextFraction() < 0.2) {
      world.At(std::chrono::milliseconds(world.random.NextBelow(30)),
               [broker, attempt] { broker->Cancel(attempt); });
    }
    if (world.random.NextFraction() < 0.1) {
      const std::shared_ptr<Broker> other = *owners[(first + 1) % owners.size()];
      world.At(5ms, [other, left] { other->Submit(left); });
    }
  }
  world.At(std::chrono::microseconds(500 + world.random.NextBelow(2000)),
           [&world, owners] { Load(world, owners); });
}

Outcome Run(const Storm& storm) {
  World world(storm.seed);
  Leaf leaf(world, {.slots = storm.slots, .crash_on_overload = true});
  const WarmUpShare primary{
      .primary = true, .primary_slots = (storm.slots + 1) / 2, .total_slots = storm.slots};
  WarmUpShare secondary = primary;
  secondary.primary = false;
  auto first = std::make_shared<Broker>(world, leaf, OptionsOf(storm));
  auto second = std::make_shared<Broker>(world, leaf, OptionsOf(storm));
  first->name = "p";
  second->name = "s";
  first->peer = second;
  second->peer = first;
  first->Begin(primary.primary_slots, primary);
  second->Begin(storm.slots - primary.primary_slots, secondary);
  Load(world, {&first, &second});
  for (int round = 0; round < 6; ++round) {
    world.Run(std::chrono::milliseconds(300 + world.random.NextBelow(1500)));
    if (storm.change_owner && round % 2 == 0) {
      // The primary's VM is replaced: its successor waits for the takeover and knows nothing.
      first->Kill();
      auto fresh = std::make_shared<Broker>(world, leaf, OptionsOf(storm));
      fresh->name = "p" + std::to_string(round);
      fresh->peer = second;
      second->peer = fresh;
      first = fresh;
      first->Begin(0, primary);
      world.Run(8s);
      first->slots = primary.primary_slots;
      world.Run(std::chrono::milliseconds(world.random.NextBelow(60)));
    }
    leaf.Restart(!storm.silent_restarts || world.random.NextFraction() < 0.5);
  }
  world.Run(20s);
  return {.overloads = leaf.overloads,
          .most = leaf.most,
          .completed = leaf.completed,
          .final_level = first->dispatcher.Level().level};
}

}  // namespace

TEST_CASE("a cold leaf never gets more than it can take") {
  SUBCASE("restarts that reset all connections") {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const Outcome outcome = Run({.seed = seed});
      CAPTURE(seed);
      CHECK(outcome.overloads == 0);
      CHECK(outcome.completed > 1000);
    }
  }
  SUBCASE("two slots: one for each owner") {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const Outcome outcome = Run({.seed = seed, .slots = 2});
      CAPTURE(seed);
      CHECK(outcome.overloads == 0);
    }
  }
  SUBCASE("restarts that leave the old connections silent") {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const Outcome outcome = Run({.seed = seed, .silent_restarts = true});
      CAPTURE(seed);
      CHECK(outcome.overloads == 0);
    }
  }
  SUBCASE("the primary is replaced in the middle of the ramp") {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const Outcome outcome = Run({.seed = seed, .change_owner = true});
      CAPTURE(seed);
      CHECK(outcome.overloads == 0);
      CHECK(outcome.completed > 1000);
    }
  }
  SUBCASE("without warm-up the same load crashes the leaf") {
    std::uint32_t crashes = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      crashes += Run({.seed = seed, .warm_up = false}).overloads;
    }
    CHECK(crashes > 0);
  }
}

}  // namespace ibishold
