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

TEST_CASE("choice of the snapshot") {
  const TimePoint now{seconds(100)};
  SnapshotTracker tracker;
  const DocumentOptions documents;  // 4 shards, 2 replicas, suggested version 7, map 1
  tracker.SetTopology(MakeTopology(documents), now);
  const auto version = [&](const LeafFilter& usable = {}) {
    return tracker.Select(kStock, usable, now)->snapshot.index_version;
  };

  SUBCASE("a newer version than the suggested one is chosen once a leaf of every shard states it") {
    CHECK(version() == 7);
    for (std::size_t shard = 0; shard < 3; ++shard) {
      tracker.RecordStatement(MakeStatement(shard, 0, {7, 8}, now));
    }
    // Guards against pinning a version that one shard may not have loaded.
    CHECK(version() == 7);
    tracker.RecordStatement(MakeStatement(3, 1, {7, 8}, now));
    CHECK(version() == 8);
  }
  SUBCASE("the suggested version is not chosen once a shard has dropped it") {
    // Guards against pinning 7 although no leaf of shard 0 can answer it.
    tracker.RecordStatement(MakeStatement(0, 0, {8}, now));
    tracker.RecordStatement(MakeStatement(0, 1, {8}, now));
    CHECK(version() == 8);
  }
  SUBCASE("leaves that take no work do not count") {
    for (std::size_t shard = 0; shard < 4; ++shard) {
      tracker.RecordStatement(MakeStatement(shard, 0, {8}, now));
      tracker.RecordStatement(MakeStatement(shard, 1, {7}, now));
    }
    CHECK(version() == 8);
    CHECK(version([](const Leaf& leaf) { return leaf.data_centre != DataCentre("dc-0"); }) == 7);
  }
  SUBCASE("unreachable leaves do not count") {
    for (std::size_t shard = 0; shard < 4; ++shard) {
      tracker.RecordStatement(MakeStatement(shard, 0, {8}, now));
      tracker.RecordStatement(MakeStatement(shard, 1, {7}, now));
    }
    tracker.MarkUnreachable(LeafId("leaf-2-0"), now);
    CHECK(version() == 7);
    tracker.RecordStatement(MakeStatement(2, 0, {8}, now + milliseconds(1)));
    CHECK(version() == 8);
  }
  SUBCASE("statements older than the last one are ignored") {
    // Guards against a delayed answer that restores a version which the leaf has dropped.
    tracker.RecordStatement(MakeStatement(0, 0, {8}, now));
    tracker.RecordStatement(MakeStatement(0, 0, {7}, now - milliseconds(5)));
    CHECK(tracker.Holds(LeafId("leaf-0-0"), {8, 1}));
    CHECK_FALSE(tracker.Holds(LeafId("leaf-0-0"), {7, 1}));
  }
  SUBCASE("the old map stays pinned until the leaves serve the new one") {
    for (std::size_t shard = 0; shard < 4; ++shard) {
      for (std::size_t replica = 0; replica < 2; ++replica) {
        tracker.RecordStatement(MakeStatement(shard, replica, {7}, now, 1));
      }
    }
    DocumentOptions next = documents;
    next.map_version = 2;
    next.generation = 2;
    tracker.SetTopology(MakeTopology(next), now);
    CHECK(tracker.Select(kStock, {}, now)->snapshot.partition_map_version == 1);
    for (std::size_t shard = 0; shard < 4; ++shard) {
      tracker.RecordStatement(MakeStatement(shard, 1, {7}, now, 2));
    }
    CHECK(tracker.Select(kStock, {}, now)->snapshot.partition_map_version == 2);
  }
  SUBCASE("a leaf that lacked the version is asked again") {
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

// Guards against shards that stay missing forever: the last leaf to load a version is known not to
// hold the pinned one, so no query asks it and its record is never updated.
TEST_CASE("a shard without a leaf known to hold the snapshot is asked again") {
  DocumentOptions documents;
  documents.replicas = 1;
  SimFront front({}, documents);
  bool shard_outdated = true;  // shard s0 holds only the old versions
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    LeafReply reply = front.Good(batch, call);
    const bool old = shard_outdated && call.shard == ShardId("s0");
    reply.index_versions = old ? std::vector<std::uint64_t>{6, 7} : std::vector<std::uint64_t>{8};
    if (batch.snapshot.index_version != (old ? 7 : 8)) {
      reply.outcome = wire::Outcome::VERSION_GONE;
      reply.verdict = Verdict::kNotRun;
      reply.records.clear();
      reply.stated.index_version = reply.index_versions.back();
    }
    front.ReplyIn(milliseconds(2), batch, reply);
  };
  const std::uint64_t first = front.Ask("a");
  front.Run(milliseconds(600));
  REQUIRE(front.Answered(first));
  CHECK(front.VersionOf(first) == 8);
  CHECK(front.FractionOf(first) == doctest::Approx(0.75));

  front.Run(seconds(2));
  SUBCASE("a query asks it at most once a second while it lacks the version") {
    std::size_t before = front.CallCount();
    front.Ask("b");
    front.Run(milliseconds(100));
    CHECK(front.CallCount() == before + 4);
    before = front.CallCount();
    front.Ask("c");
    front.Run(milliseconds(100));
    CHECK(front.CallCount() == before + 3);
  }
  SUBCASE("a query is complete once the leaf holds the version") {
    shard_outdated = false;
    const std::uint64_t second = front.Ask("b");
    front.Run(milliseconds(600));
    CHECK(front.VersionOf(second) == 8);
    CHECK(front.FractionOf(second) == 1.0);
  }
  SUBCASE("a non-repeatable request asks it too") {
    shard_outdated = false;
    const std::uint64_t executed = front.Execute(front.NewToken(), "b");
    front.Run(milliseconds(600));
    CHECK(front.AnswerOf(executed).status == 200);
  }
}

TEST_CASE("a query is replanned as a whole when its version is gone") {
  SimFront front;
  std::uint64_t leaf_version = 8;  // held by all leaves
  front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
    LeafReply reply = front.Good(batch, call);
    reply.index_versions = {leaf_version};
    if (batch.snapshot.index_version != leaf_version) {
      reply.outcome = wire::Outcome::VERSION_GONE;
      reply.verdict = Verdict::kNotRun;
      reply.records.clear();
      reply.stated.index_version = leaf_version;
    }
    // Leaves answer one after another, so that some answer before the version is gone.
    front.ReplyIn(milliseconds(2 + call.attempt % 3), batch, reply);
  };
  SUBCASE("the first query of a front with an outdated suggested version") {
    const std::uint64_t ticket = front.Ask("a");
    front.Run(milliseconds(600));
    REQUIRE(front.Answered(ticket));
    CHECK(front.VersionOf(ticket) == 8);
    CHECK(front.FractionOf(ticket) == 1.0);
    CHECK(front.core.counters().replans == 1);
  }
  SUBCASE("a replan during a query does not mix versions") {
    // Guards against an answer that holds shards of two versions.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      LeafReply reply = front.Good(batch, call);
      const bool first_plan = batch.snapshot.index_version == 7;
      reply.index_versions = {first_plan && call.shard == ShardId("s0") ? 7UL : 8UL};
      if (first_plan && call.shard != ShardId("s0")) {
        reply.outcome = wire::Outcome::VERSION_GONE;
        reply.verdict = Verdict::kNotRun;
      }
      front.ReplyIn(milliseconds(call.shard == ShardId("s0") && first_plan ? 1 : 4), batch, reply);
    };
    const std::uint64_t ticket = front.Ask("a");
    front.Run(milliseconds(600));
    const auto body = front.BodyOf(ticket);
    CHECK(front.VersionOf(ticket) == 8);
    CHECK(body.at("records").as_array().size() == 4);
    CHECK(front.FractionOf(ticket) == 1.0);
  }
  SUBCASE("a query is replanned only once; then the answer is partial and of one version") {
    // Guards against a query that replans forever while versions change faster than it runs.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      LeafReply reply = front.Good(batch, call);
      const bool steady = call.shard == ShardId("s0");
      reply.index_versions = {batch.snapshot.index_version + (steady ? 0 : 1)};
      if (!steady) {
        reply.outcome = wire::Outcome::VERSION_GONE;
        reply.verdict = Verdict::kNotRun;
      }
      front.ReplyIn(milliseconds(2), batch, reply);
    };
    const std::uint64_t ticket = front.Ask("a");
    front.Run(milliseconds(600));
    CHECK(front.core.counters().replans == 1);
    CHECK(front.AnswerOf(ticket).status == 200);
    CHECK(front.FractionOf(ticket) == doctest::Approx(0.25));
    CHECK(front.BodyOf(ticket).at("records").as_array().size() == 1);
  }
  SUBCASE("an answer that states another version than the requested one is not merged") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      LeafReply reply = front.Good(batch, call);
      if (call.shard == ShardId("s2")) {
        reply.stated.index_version = 6;  // the version that it used, which is not the requested one
        reply.index_versions = {6, 7};
      }
      front.ReplyIn(milliseconds(2), batch, reply);
    };
    const std::uint64_t ticket = front.Ask("a");
    front.Run(milliseconds(600));
    CHECK(front.VersionOf(ticket) == 7);
    CHECK(front.FractionOf(ticket) == doctest::Approx(0.75));
    CHECK(front.core.counters().other_version >= 1);
  }
  SUBCASE("a new partition map during a query causes a replan") {
    DocumentOptions next;
    next.map_version = 2;
    next.generation = 2;
    next.shards = 8;
    next.shard_id_prefix = "t";
    const std::uint64_t ticket = [&] {
      front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
        LeafReply reply = front.Good(batch, call);
        reply.index_versions = {7};
        reply.stated.partition_map_version = front.view->topology->partition_map_version;
        front.ReplyIn(milliseconds(5), batch, reply);
      };
      return front.Ask("a");
    }();
    front.Run(milliseconds(1));
    front.SetView(testing::MakeView(next));
    for (auto& batch : front.batches) {
      for (const LeafCall& call : batch.calls) {
        LeafReply late = front.Good(batch, call);
        late.stated = {7, 2};
        front.core.OnLeafReply(batch.broker, late, front.now);
      }
    }
    front.Run(milliseconds(600));
    CHECK(front.BodyOf(ticket).at("snapshot").at("partition_map_version").to_number<int>() == 2);
    CHECK(front.BodyOf(ticket).at("records").as_array().size() == 8);
    CHECK(front.FractionOf(ticket) == 1.0);
  }
}

}  // namespace ibishold
