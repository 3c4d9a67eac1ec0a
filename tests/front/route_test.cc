#include <doctest/doctest.h>

#include <map>
#include <string>

#include "tests/front/sim_front.h"

namespace ibishold::testing {

TEST_CASE("selection of a route among the owners of a leaf") {
  SimFront front({}, {.shards = 4, .replicas = 1, .vms = 2});
  std::map<std::string, int> calls_by_broker;
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    ++calls_by_broker[batch.broker.value];
    const bool is_declining = batch.broker == VmId("vm-1");
    front.ScheduleReply(
        milliseconds(1), batch,
        is_declining ? SimFront::MakeFailure(call, wire::Outcome::NOT_OWNER, Verdict::kNotRun)
                     : front.MakeReply(batch, call));
  };

  SUBCASE("an owner that replied NOT_OWNER is avoided for a while") {
    // Guards against an extra round trip in each query while leaves warm up at their primary.
    for (int i = 0; i < 10; ++i) {
      const std::uint64_t ticket = front.SendQuery("tray");
      front.Advance(milliseconds(20));
      CHECK(front.GetCoverage(ticket) == doctest::Approx(1.0));
    }
    CHECK(calls_by_broker["vm-1"] <= 4);  // at most once for each leaf

    SUBCASE("the owner is used again after decline_retention") {
      calls_by_broker.clear();
      front.Advance(milliseconds(300));
      for (int i = 0; i < 10; ++i) {
        front.SendQuery("tray");
        front.Advance(milliseconds(2));
      }
      CHECK(calls_by_broker["vm-1"] > 0);
    }
  }

  SUBCASE("an owner that replied NOT_OWNER is used if the other owner is unreachable") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      const bool is_unreachable = batch.broker == VmId("vm-0");
      front.ScheduleReply(
          milliseconds(1), batch,
          is_unreachable ? SimFront::MakeFailure(call, wire::Outcome::UNREACHABLE, Verdict::kNotRun)
                         : front.MakeReply(batch, call));
    };
    const std::uint64_t ticket = front.SendQuery("tray");
    front.Advance(milliseconds(100));
    CHECK(front.GetCoverage(ticket) == doctest::Approx(1.0));
  }
}

TEST_CASE("routes after a change of the leaves' owners") {
  // Guards against requests that reach no holder of the slots while these move to another VM.
  SimFront front({}, {.shards = 4, .replicas = 1, .vms = 2});
  front.SendQuery("tray");
  front.Advance(milliseconds(50));
  ControlView new_view = *front.view;
  VmList new_vms = *new_view.vms;
  const VmId former_owner = new_vms.vms[0].id;
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    front.ScheduleReply(
        milliseconds(1), batch,
        batch.broker == former_owner
            ? front.MakeReply(batch, call)
            : SimFront::MakeFailure(call, wire::Outcome::NOT_OWNER, Verdict::kNotRun));
  };
  new_vms.generation += 1;
  new_vms.vms[0].state = VmState::kLeaving;
  new_view.vms = std::make_shared<const VmList>(new_vms);
  front.SetView(new_view);

  SUBCASE("a former owner is used until it has handed its slots over") {
    const std::uint64_t ticket = front.SendQuery("tray");
    front.Advance(milliseconds(100));
    CHECK(front.GetCoverage(ticket) == doctest::Approx(1.0));
  }
  SUBCASE("a former owner is not used after the longest possible hand-over") {
    front.Advance(milliseconds(9000));
    const std::uint64_t ticket = front.SendQuery("tray");
    front.Advance(milliseconds(600));
    CHECK(front.GetAnswer(ticket).status == 503);
    CHECK(front.GetAnswer(ticket).verdict == Verdict::kNotRun);
  }
}

}  // namespace ibishold::testing
