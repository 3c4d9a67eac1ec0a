#include <doctest/doctest.h>

#include "ibishold/snapshot.h"
#include "tests/front/front_documents.h"
#include "tests/front/sim_front.h"

namespace ibishold {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::DocumentOptions;
using testing::MakeTopology;
using testing::SimFront;

namespace {

const ServiceName kStock("stock");

LeafStatement MakeStatement(std::size_t shard,
                            std::size_t replica,
                            std::vector<std::uint64_t> versions,
                            TimePoint asked_at,
                            std::uint64_t map_version = 1) {
  return {.leaf = LeafId(absl::StrCat("leaf-", shard, "-", replica)),
          .index_versions = std::move(versions),
          .map_version = map_version,
          .asked_at = asked_at};
}

}  // namespace

TEST_CASE("selection of the snapshot of a query") {
  const TimePoint now{seconds(100)};
  SnapshotTracker tracker;
  // By default 4 shards, 2 replicas, suggested index version 7 and map version 1.
  const DocumentOptions documents;
  tracker.SetTopology(MakeTopology(documents), now);
  const auto select_version = [&](const LeafFilter& leaf_filter = {}) {
    return tracker.Select(kStock, leaf_filter, now)->snapshot.index_version;
  };

  SUBCASE("a newer version than the suggested one is chosen once a leaf of every shard states it") {
    CHECK(select_version() == 7);
    for (std::size_t shard = 0; shard < 3; ++shard) {
      tracker.RecordStatement(MakeStatement(shard, 0, {7, 8}, now));
    }
    // Guards against pinning a version before every shard is known to have loaded it.
    CHECK(select_version() == 7);
    tracker.RecordStatement(MakeStatement(3, 1, {7, 8}, now));
    CHECK(select_version() == 8);
  }
  SUBCASE("the suggested version is not chosen once a shard has dropped it") {
    // Guards against pinning 7 although no leaf of shard 0 can answer it.
    tracker.RecordStatement(MakeStatement(0, 0, {8}, now));
    tracker.RecordStatement(MakeStatement(0, 1, {8}, now));
    CHECK(select_version() == 8);
  }
  SUBCASE("versions of leaves that are out of service are ignored") {
    for (std::size_t shard = 0; shard < 4; ++shard) {
      tracker.RecordStatement(MakeStatement(shard, 0, {8}, now));
      tracker.RecordStatement(MakeStatement(shard, 1, {7}, now));
    }
    CHECK(select_version() == 8);
    CHECK(select_version([](const Leaf& leaf) { return leaf.data_centre != DataCentre("dc-0"); }) ==
          7);
  }
  SUBCASE("versions of unreachable leaves are ignored") {
    for (std::size_t shard = 0; shard < 4; ++shard) {
      tracker.RecordStatement(MakeStatement(shard, 0, {8}, now));
      tracker.RecordStatement(MakeStatement(shard, 1, {7}, now));
    }
    tracker.MarkUnreachable(LeafId("leaf-2-0"), now);
    CHECK(select_version() == 7);
    tracker.RecordStatement(MakeStatement(2, 0, {8}, now + milliseconds(1)));
    CHECK(select_version() == 8);
  }
  SUBCASE("statements older than the last one are ignored") {
    // Guards against a delayed answer that restores a version which the leaf has dropped.
    tracker.RecordStatement(MakeStatement(0, 0, {8}, now));
    tracker.RecordStatement(MakeStatement(0, 0, {7}, now - milliseconds(5)));
    CHECK(tracker.Holds(LeafId("leaf-0-0"), {8, 1}));
    CHECK_FALSE(tracker.Holds(LeafId("leaf-0-0"), {7, 1}));
  }
  SUBCASE("the old partition map stays pinned until the leaves serve the new one") {
    for (std::size_t shard = 0; shard < 4; ++shard) {
      for (std::size_t replica = 0; replica < 2; ++replica) {
        tracker.RecordStatement(MakeStatement(shard, replica, {7}, now, 1));
      }
    }
    DocumentOptions new_documents = documents;
    new_documents.map_version = 2;
    new_documents.generation = 2;
    tracker.SetTopology(MakeTopology(new_documents), now);
    CHECK(tracker.Select(kStock, {}, now)->snapshot.partition_map_version == 1);
    for (std::size_t shard = 0; shard < 4; ++shard) {
      tracker.RecordStatement(MakeStatement(shard, 1, {7}, now, 2));
    }
    CHECK(tracker.Select(kStock, {}, now)->snapshot.partition_map_version == 2);
  }
  SUBCASE("a leaf that lacked the version becomes a candidate again after the recheck interval") {
    // Guards against a replica that never receives work again because it loaded a version late.
    tracker.RecordStatement(MakeStatement(0, 0, {8}, now));
    tracker.RecordStatement(MakeStatement(0, 1, {7}, now));
    const Shard& shard = tracker.topology()->services[0].shards[0];
    QueryPlanner planner(tracker);
    CHECK(planner.CandidatesFor(shard, {8, 1}, {}, {}, now).holding.size() == 1);
    CHECK(planner.CandidatesFor(shard, {8, 1}, {}, {}, now + seconds(2)).holding.size() == 2);
    CHECK(planner.CandidatesFor(shard, {8, 1}, {}, {}, now + seconds(2)).holding.size() == 1);
  }
  SUBCASE("an unknown service has no snapshot") {
    CHECK_FALSE(tracker.Select(ServiceName("none"), {}, now).has_value());
  }
}

// Guards against a shard that is missing from all answers for good. The last leaf to load a version
// is known not to hold the pinned one; without rechecks, no query is sent to that leaf, so its
// record is never updated.
TEST_CASE("a shard whose leaves are known to lack the snapshot is rechecked") {
  DocumentOptions documents;
  documents.replicas = 1;
  SimFront front({}, documents);
  bool shard_outdated = true;  // shard s0 holds only versions 6 and 7
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    LeafReply reply = front.MakeReply(batch, call);
    const bool is_outdated = shard_outdated && call.shard == ShardId("s0");
    reply.index_versions =
        is_outdated ? std::vector<std::uint64_t>{6, 7} : std::vector<std::uint64_t>{8};
    if (batch.snapshot.index_version != (is_outdated ? 7 : 8)) {
      reply.outcome = wire::Outcome::VERSION_GONE;
      reply.verdict = Verdict::kNotRun;
      reply.records.clear();
      reply.stated_snapshot.index_version = reply.index_versions.back();
    }
    front.ScheduleReply(milliseconds(2), batch, reply);
  };
  const std::uint64_t first_ticket = front.SendQuery("a");
  front.Advance(milliseconds(600));
  REQUIRE(front.IsAnswered(first_ticket));
  CHECK(front.GetIndexVersion(first_ticket) == 8);
  CHECK(front.GetCoverage(first_ticket) == doctest::Approx(0.75));

  front.Advance(seconds(2));
  SUBCASE("queries are sent to the outdated shard at most once a second") {
    std::size_t calls_before = front.CountCalls();
    front.SendQuery("b");
    front.Advance(milliseconds(100));
    CHECK(front.CountCalls() == calls_before + 4);
    calls_before = front.CountCalls();
    front.SendQuery("c");
    front.Advance(milliseconds(100));
    CHECK(front.CountCalls() == calls_before + 3);
  }
  SUBCASE("a query has full coverage once the leaf holds the version") {
    shard_outdated = false;
    const std::uint64_t second_ticket = front.SendQuery("b");
    front.Advance(milliseconds(600));
    CHECK(front.GetIndexVersion(second_ticket) == 8);
    CHECK(front.GetCoverage(second_ticket) == 1.0);
  }
  SUBCASE("a non-repeatable request is sent to the rechecked leaf") {
    shard_outdated = false;
    const std::uint64_t execute_ticket = front.SendExecute(front.RequestToken(), "b");
    front.Advance(milliseconds(600));
    CHECK(front.GetAnswer(execute_ticket).status == 200);
  }
}

TEST_CASE("a query is replanned as a whole when its version is gone") {
  SimFront front;
  std::uint64_t leaf_version = 8;  // held by all leaves
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    LeafReply reply = front.MakeReply(batch, call);
    reply.index_versions = {leaf_version};
    if (batch.snapshot.index_version != leaf_version) {
      reply.outcome = wire::Outcome::VERSION_GONE;
      reply.verdict = Verdict::kNotRun;
      reply.records.clear();
      reply.stated_snapshot.index_version = leaf_version;
    }
    // Different delays, so that the replan starts while some leaves have not replied.
    front.ScheduleReply(milliseconds(2 + call.attempt_id % 3), batch, reply);
  };
  SUBCASE("the first query of a front whose topology suggests a version that is gone") {
    const std::uint64_t ticket = front.SendQuery("a");
    front.Advance(milliseconds(600));
    REQUIRE(front.IsAnswered(ticket));
    CHECK(front.GetIndexVersion(ticket) == 8);
    CHECK(front.GetCoverage(ticket) == 1.0);
    CHECK(front.core.counters().replans == 1);
  }
  SUBCASE("a replan during a query does not mix versions") {
    // Guards against an answer that merges shards of two versions.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      LeafReply reply = front.MakeReply(batch, call);
      const bool is_first_plan = batch.snapshot.index_version == 7;
      reply.index_versions = {is_first_plan && call.shard == ShardId("s0") ? 7UL : 8UL};
      if (is_first_plan && call.shard != ShardId("s0")) {
        reply.outcome = wire::Outcome::VERSION_GONE;
        reply.verdict = Verdict::kNotRun;
      }
      front.ScheduleReply(milliseconds(call.shard == ShardId("s0") && is_first_plan ? 1 : 4), batch,
                          reply);
    };
    const std::uint64_t ticket = front.SendQuery("a");
    front.Advance(milliseconds(600));
    const auto body = front.GetBody(ticket);
    CHECK(front.GetIndexVersion(ticket) == 8);
    CHECK(body.at("records").as_array().size() == 4);
    CHECK(front.GetCoverage(ticket) == 1.0);
  }
  SUBCASE("a query is replanned only once, and its partial answer has a single version") {
    // Guards against endless replans while versions change faster than a query runs.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      LeafReply reply = front.MakeReply(batch, call);
      const bool holds_version = call.shard == ShardId("s0");
      reply.index_versions = {batch.snapshot.index_version + (holds_version ? 0 : 1)};
      if (!holds_version) {
        reply.outcome = wire::Outcome::VERSION_GONE;
        reply.verdict = Verdict::kNotRun;
      }
      front.ScheduleReply(milliseconds(2), batch, reply);
    };
    const std::uint64_t ticket = front.SendQuery("a");
    front.Advance(milliseconds(600));
    CHECK(front.core.counters().replans == 1);
    CHECK(front.GetAnswer(ticket).status == 200);
    CHECK(front.GetCoverage(ticket) == doctest::Approx(0.25));
    CHECK(front.GetBody(ticket).at("records").as_array().size() == 1);
  }
  SUBCASE("an answer that states another version than the requested one is not merged") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      LeafReply reply = front.MakeReply(batch, call);
      if (call.shard == ShardId("s2")) {
        reply.stated_snapshot.index_version = 6;  // not the requested version
        reply.index_versions = {6, 7};
      }
      front.ScheduleReply(milliseconds(2), batch, reply);
    };
    const std::uint64_t ticket = front.SendQuery("a");
    front.Advance(milliseconds(600));
    CHECK(front.GetIndexVersion(ticket) == 7);
    CHECK(front.GetCoverage(ticket) == doctest::Approx(0.75));
    CHECK(front.core.counters().version_mismatches >= 1);
  }
  SUBCASE("a new partition map during a query causes a replan") {
    DocumentOptions new_documents;
    new_documents.map_version = 2;
    new_documents.generation = 2;
    new_documents.shards = 8;
    new_documents.shard_id_prefix = "t";
    const std::uint64_t ticket = [&] {
      front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
        LeafReply reply = front.MakeReply(batch, call);
        reply.index_versions = {7};
        reply.stated_snapshot.partition_map_version = front.view->topology->partition_map_version;
        front.ScheduleReply(milliseconds(5), batch, reply);
      };
      return front.SendQuery("a");
    }();
    front.Advance(milliseconds(1));
    front.SetView(testing::MakeView(new_documents));
    for (auto& batch : front.batches) {
      for (const LeafCall& call : batch.calls) {
        LeafReply late_reply = front.MakeReply(batch, call);
        late_reply.stated_snapshot = {7, 2};
        front.core.OnLeafReply(batch.broker, late_reply, front.now);
      }
    }
    front.Advance(milliseconds(600));
    CHECK(front.GetBody(ticket).at("snapshot").at("partition_map_version").to_number<int>() == 2);
    CHECK(front.GetBody(ticket).at("records").as_array().size() == 8);
    CHECK(front.GetCoverage(ticket) == 1.0);
  }
}

}  // namespace ibishold
