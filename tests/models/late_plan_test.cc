#include <doctest/doctest.h>

#include <boost/json.hpp>

#include "tests/front/sim_front.h"
#include "tests/models/split_map.h"

// Replays the counterexample of models/snapshot.pml with ONE_LEAF and NO_EPOCH against QueryEngine.

namespace ibishold {

using std::chrono::milliseconds;
using testing::kIndex;
using testing::kNewMap;
using testing::kOldMap;
using testing::kThird;
using testing::MakeMap;
using testing::SimFront;

TEST_CASE("an answer to the first plan comes during the second one") {
  // Guards against an answer that is merged for the shard that has its index in the new map: its
  // records lie outside of that shard, which is then stated as full without any record.
  SimFront front;
  ControlView view = testing::MakeView({});
  view.topology = MakeMap(kOldMap);
  front.SetView(view);
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    LeafReply reply = front.MakeReply(batch, call);
    reply.stated_snapshot = {kIndex, kNewMap};
    const bool first_plan = batch.snapshot.partition_map_version == kOldMap;
    const std::uint64_t range = call.shard == ShardId("c") ? 2 : call.shard == ShardId("b") ? 1 : 0;
    reply.records = absl::StrCat("[{\"key\":", range * kThird + 1, "}]");
    // Leaf c answers the first plan while the second one waits for its leaves.
    const int delay = !first_plan ? 6 : call.shard == ShardId("c") ? 5 : 2;
    front.ScheduleReply(milliseconds(delay), batch, reply);
  };

  const std::uint64_t ticket = front.SendQuery("a");
  view.topology = MakeMap(kNewMap);
  front.SetView(view);
  front.Advance(milliseconds(600));

  REQUIRE(front.IsAnswered(ticket));
  CHECK(front.core.counters().replans == 1);
  CHECK(front.core.counters().late_replies == 1);
  CHECK(front.GetBody(ticket).at("snapshot").at("partition_map_version").to_number<int>() == 2);
  CHECK(front.GetBody(ticket).at("records").as_array().size() == 3);
  CHECK(front.GetCoverage(ticket) == 1.0);
}

}  // namespace ibishold
