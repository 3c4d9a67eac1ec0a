#include <doctest/doctest.h>

#include <boost/json.hpp>

#include "ibishold/snapshot.h"
#include "tests/front/front_documents.h"
#include "tests/front/sim_front.h"

namespace ibishold {

using std::chrono::milliseconds;
using testing::DocumentOptions;
using testing::SimFront;

namespace {

AnswerMerger MakeMerger(const DocumentOptions& documents) {
  const auto topology = testing::MakeTopology(documents);
  return AnswerMerger({.topology = topology,
                       .service = &topology->services[0],
                       .snapshot = {documents.index_version, documents.map_version}});
}

std::string Record(std::uint64_t key) {
  return absl::StrCat("{\"key\":", key, ",\"value\":1}");
}

std::size_t CountRecords(const AnswerMerger& merger) {
  return boost::json::parse(merger.Records()).as_array().size();
}

}  // namespace

TEST_CASE("merging leaf answers by key range") {
  const DocumentOptions documents{.shards = 2};
  const Snapshot pinned{7, 1};
  AnswerMerger merger = MakeMerger(documents);
  constexpr std::uint64_t kHalf = 1ULL << 63U;

  SUBCASE("records outside the shard's key range are dropped") {
    // Guards against duplicate records while a leaf still holds key ranges of an older partition
    // map.
    const std::string both = absl::StrCat("[", Record(1), ",", Record(kHalf + 1), "]");
    CHECK(merger.Add(0, {pinned, true, both}) == MergeResult::kFull);
    CHECK(merger.Add(1, {pinned, true, both}) == MergeResult::kFull);
    CHECK(CountRecords(merger) == 2);
    CHECK(merger.Close().fraction == 1.0);
  }
  SUBCASE("the highest possible key is merged, and repeated keys are dropped") {
    const std::string records =
        absl::StrCat("[", Record(~0ULL), ",", Record(~0ULL), ",", Record(kHalf), "]");
    CHECK(merger.Add(1, {pinned, true, records}) == MergeResult::kFull);
    CHECK(CountRecords(merger) == 2);
  }
  SUBCASE("an answer of another index version or partition map is not merged") {
    CHECK(merger.Add(0, {{8, 1}, true, "[]"}) == MergeResult::kOtherVersion);
    CHECK(merger.Add(0, {{7, 2}, true, "[]"}) == MergeResult::kOtherVersion);
    CHECK(merger.empty());
    CHECK(merger.Close().fraction == 0.0);
  }
  SUBCASE("a second complete answer for a shard is ignored") {
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", Record(1), "]")}) == MergeResult::kFull);
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", Record(2), "]")}) ==
          MergeResult::kDuplicate);
    CHECK(CountRecords(merger) == 1);
    CHECK(merger.Close().fraction == doctest::Approx(0.5));
  }
  SUBCASE("a complete answer replaces all records of a partial one") {
    CHECK(merger.Add(0, {pinned, false, absl::StrCat("[", Record(1), "]")}) ==
          MergeResult::kPartial);
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", Record(1), ",", Record(2), "]")}) ==
          MergeResult::kFull);
    CHECK(CountRecords(merger) == 2);
  }
  SUBCASE("a shard with a partial answer is stated as partial") {
    CHECK(merger.Add(0, {pinned, false, absl::StrCat("[", Record(1), "]")}) ==
          MergeResult::kPartial);
    CHECK(merger.Add(1, {pinned, true, "[]"}) == MergeResult::kFull);
    const Coverage coverage = merger.Close();
    CHECK(coverage.fraction == doctest::Approx(0.5));
    CHECK(coverage.shards[0].state == ShardState::kPartial);
    CHECK(coverage.shards[0].reason == "leaf_partial");
    CHECK_FALSE(coverage.full());
  }
  SUBCASE("an answer that arrives after Close is ignored") {
    const Coverage before = merger.Close();
    CHECK(merger.Add(0, {pinned, true, absl::StrCat("[", Record(1), "]")}) == MergeResult::kClosed);
    CHECK(CountRecords(merger) == 0);
    CHECK(before.fraction == 0.0);
  }
  SUBCASE("malformed records are refused") {
    for (const char* text : {"", "{", "{}", "[1]", "[{}]", R"([{"key":-1}])", R"([{"key":"1"}])"}) {
      CHECK(merger.Add(0, {pinned, true, text}) == MergeResult::kMalformed);
    }
    CHECK(merger.Close().fraction == 0.0);
  }
  SUBCASE("an incomplete answer is never rounded up to full coverage") {
    AnswerMerger many = MakeMerger({.shards = 3});
    CHECK(many.Add(0, {pinned, true, "[]"}) == MergeResult::kFull);
    CHECK(many.Add(1, {pinned, true, "[]"}) == MergeResult::kFull);
    CHECK(many.Close().fraction < 1.0);
  }
}

TEST_CASE("coverage in answers to callers") {
  SimFront front;
  SUBCASE("a shard without a reply by the deadline is stated as missing") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      if (call.shard != ShardId("s1")) {
        front.ReplyIn(milliseconds(5), batch, front.Good(batch, call));
      }
    };
    const std::uint64_t ticket = front.Ask("a", milliseconds(200));
    front.Run(milliseconds(200));
    REQUIRE(front.Answered(ticket));
    CHECK(front.replies.at(ticket).latency <= milliseconds(200));
    CHECK(front.FractionOf(ticket) == doctest::Approx(0.75));
    const auto shard = front.BodyOf(ticket).at("coverage").at("shards").as_array()[1];
    CHECK(shard.at("state").as_string() == "missing");
    CHECK(shard.at("reason").as_string() == "deadline");
  }
  SUBCASE("a leaf reply that arrives after the answer is counted and otherwise ignored") {
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      const bool late = call.shard == ShardId("s1");
      front.ReplyIn(milliseconds(late ? 300 : 5), batch, front.Good(batch, call));
    };
    const std::uint64_t ticket = front.Ask("a", milliseconds(200));
    front.Run(milliseconds(200));
    const std::string before = front.AnswerOf(ticket).body;
    front.Run(milliseconds(1000));
    CHECK(front.AnswerOf(ticket).body == before);
    CHECK(front.reply_counts[ticket] == 1);
    CHECK(front.core.counters().late_replies >= 1);
  }
  SUBCASE("a change of slot owners does not reduce coverage") {
    // Guards against partial answers during planned stops. A rolling stop once gave answers with
    // the reason "not_owner".
    const TimePoint moved = front.now + milliseconds(150);
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ReplyIn(milliseconds(2), batch,
                    front.now < moved
                        ? SimFront::Failed(call, wire::Outcome::NOT_OWNER, Verdict::kNotRun)
                        : front.Good(batch, call));
    };
    const std::uint64_t ticket = front.Ask("a", milliseconds(1000));
    front.Run(milliseconds(1000));
    CHECK(front.FractionOf(ticket) == 1.0);
    CHECK(front.replies.at(ticket).latency < milliseconds(250));
    // A query that finds no owner is refused after half of its time.
    front.on_call = [&](const SendBatch& batch, const LeafCall& call) {
      front.ReplyIn(milliseconds(2), batch,
                    SimFront::Failed(call, wire::Outcome::NOT_OWNER, Verdict::kNotRun));
    };
    const std::uint64_t refused = front.Ask("a", milliseconds(400));
    front.Run(milliseconds(210));
    REQUIRE(front.Answered(refused));
    CHECK(front.AnswerOf(refused).verdict == Verdict::kNotRun);
  }
  SUBCASE("shards are missing only if all their replicas are in data centres out of service") {
    ControlView view = testing::MakeView({});
    auto table = std::make_shared<Table>();
    table->generation = 2;
    table->rows.push_back(testing::MakeRow("dc-0", RowState::kOut));
    view.table = table;
    front.SetView(view);
    const std::uint64_t ticket = front.Ask("a");
    front.Run(milliseconds(600));
    CHECK(front.FractionOf(ticket) == 1.0);
    for (const SendBatch& batch : front.batches) {
      for (const LeafCall& call : batch.calls) {
        CHECK(call.leaf.value.back() == '1');
      }
    }
    auto both = std::make_shared<Table>(*table);
    both->rows.push_back(testing::MakeRow("dc-1", RowState::kOut));
    view.table = both;
    front.SetView(view);
    const std::size_t sent = front.batches.size();
    const std::uint64_t refused = front.Ask("a");
    front.Run(milliseconds(600));
    CHECK(front.AnswerOf(refused).status == 503);
    CHECK(front.AnswerOf(refused).verdict == Verdict::kNotRun);
    CHECK(front.batches.size() == sent);
  }
}

}  // namespace ibishold
