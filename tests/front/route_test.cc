#include <doctest/doctest.h>

#include <map>
#include <string>

#include "tests/front/sim_front.h"

namespace ibishold::testing {

TEST_CASE("selection of a route among the owners of a leaf") {
  SimFront front({}, {.shards = 4, .replicas = 1, .vms = 2});
  std::map<std::string, int> asked;  // calls by broker
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    ++asked[batch.broker.value];
    const bool declines = batch.broker == VmId("vm-1");
    front.ReplyIn(milliseconds(1), batch,
                  declines ? SimFront::Failed(call, wire::Outcome::NOT_OWNER, Verdict::kNotRun)
                           : front.Good(batch, call));
  };

  SUBCASE("an owner that replied NOT_OWNER is avoided for a while") {
    // Guards against an extra round trip in each query while leaves warm up at their primary.
    for (int i = 0; i < 10; ++i) {
      const std::uint64_t ticket = front.Ask("tray");
      front.Run(milliseconds(20));
      CHECK(front.FractionOf(ticket) == doctest::Approx(1.0));
    }
    CHECK(asked["vm-1"] <= 4);  // at most once for each leaf

    SUBCASE("the owner is used again after that time") {
      asked.clear();
      front.Run(milliseconds(300));
      for (int i = 0; i < 10; ++i) {
        front.Ask("tray");
        front.Run(milliseconds(2));
      }
      CHECK(asked["vm-1"] > 0);
    }
  }

  SUBCASE("an owner that replied NOT_OWNER is used if the other owner is unreachable") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      const bool other = batch.broker == VmId("vm-0");
      front.ReplyIn(milliseconds(1), batch,
                    other ? SimFront::Failed(call, wire::Outcome::UNREACHABLE, Verdict::kNotRun)
                          : front.Good(batch, call));
    };
    const std::uint64_t ticket = front.Ask("tray");
    front.Run(milliseconds(100));
    CHECK(front.FractionOf(ticket) == doctest::Approx(1.0));
  }
}

TEST_CASE("routes after a change of the leaves' owners") {
  // Guards against requests that reach no holder of the slots while these move to another VM.
  SimFront front({}, {.shards = 4, .replicas = 1, .vms = 2});
  front.Ask("tray");
  front.Run(milliseconds(50));
  ControlView changed = *front.view;
  VmList without = *changed.vms;
  const VmId former = without.vms[0].id;
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    front.ReplyIn(milliseconds(1), batch,
                  batch.broker == former
                      ? front.Good(batch, call)
                      : SimFront::Failed(call, wire::Outcome::NOT_OWNER, Verdict::kNotRun));
  };
  without.generation += 1;
  without.vms[0].state = VmState::kLeaving;
  changed.vms = std::make_shared<const VmList>(without);
  front.SetView(changed);

  SUBCASE("a former owner is used until it has handed its slots over") {
    const std::uint64_t ticket = front.Ask("tray");
    front.Run(milliseconds(100));
    CHECK(front.FractionOf(ticket) == doctest::Approx(1.0));
  }
  SUBCASE("a former owner is not used after the longest possible hand-over") {
    front.Run(milliseconds(9000));
    const std::uint64_t ticket = front.Ask("tray");
    front.Run(milliseconds(600));
    CHECK(front.AnswerOf(ticket).status == 503);
    CHECK(front.AnswerOf(ticket).verdict == Verdict::kNotRun);
  }
}

}  // namespace ibishold::testing
